package quota

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"jackdawbay.dev/core/quota"
	"jackdawbay.dev/core/replica"
	"jackdawbay.dev/daemon/clock"
	"jackdawbay.dev/daemon/transport"
)

// Times of an issuer.
const (
	confirmTimeout = 300 * time.Millisecond // Well above a round trip between regions.
	// activeFor is the time after the last request for units in which the members confirm each other. Deployments without
	// limits send no messages.
	activeFor = 10 * time.Minute
	// maxActivationWait is the time for which the first request waits for confirmations. It is below quota.IssuerTimeout.
	maxActivationWait = 45 * time.Millisecond
)

// IssuerConfig configures an Issuer.
type IssuerConfig struct {
	VM        string
	Disk      string
	View      func() replica.View // The newest view that the replica has adopted.
	Tolerance quota.Tolerance     // Inaccuracy that the limits may have.
	Client    *http.Client
	Log       *slog.Logger
	Metrics   *metrics.Set
}

// Issuer issues units on the listener of a replica. It is safe for concurrent use.
type Issuer struct {
	cfg      IssuerConfig
	activate chan struct{}

	mu       sync.Mutex
	issuer   *quota.Issuer
	lastUsed time.Time       // Last request for units at any of the members; zero if there was none.
	asking   map[string]bool // Members with a request in flight.
	hadLease bool
	members  map[string]replica.Member // By key; members of the sets of the views in force and of the previous one.

	issued      *metrics.Counter
	unavailable *metrics.Counter
	otherView   *metrics.Counter
}

// NewIssuer returns an issuer. Run must be called for it to issue units.
func NewIssuer(cfg IssuerConfig) *Issuer {
	key := replica.Member{VM: cfg.VM, Disk: cfg.Disk}.Key()
	i := &Issuer{
		cfg: cfg, activate: make(chan struct{}, 1), asking: map[string]bool{}, members: map[string]replica.Member{},
		issuer:      quota.NewIssuer(key, quota.MinCapacity(cfg.Tolerance.Slack), cfg.Tolerance, time.Now()),
		issued:      cfg.Metrics.NewCounter(`jackdawbay_quota_units_total{state="issued"}`),
		unavailable: cfg.Metrics.NewCounter(`jackdawbay_quota_rejected_total{reason="unconfirmed"}`),
		otherView:   cfg.Metrics.NewCounter(`jackdawbay_quota_rejected_total{reason="other_view"}`),
	}
	cfg.Metrics.NewGauge("jackdawbay_quota_share", func() float64 {
		i.mu.Lock()
		defer i.mu.Unlock()
		return i.issuer.Share(time.Now())
	})
	return i
}

// adoptView passes the newest view of the replica on to the decisions. The caller holds the lock.
func (i *Issuer) adoptView(now time.Time) {
	v := i.cfg.View()
	if v.Version <= i.issuer.Version() {
		return
	}
	previous := i.members
	i.members = map[string]replica.Member{}
	for _, m := range replica.Union(v.Sets) {
		i.members[m.Key()] = m
	}
	i.issuer.SetView(issuerView(v), now)
	for _, key := range i.issuer.Members(now) {
		if _, ok := i.members[key]; !ok {
			i.members[key] = previous[key]
		}
	}
}

// use records a request for units, which may have been at another member. The caller holds the lock.
func (i *Issuer) use(now, at time.Time) {
	if now.Sub(i.lastUsed) > activeFor {
		i.issuer.Activate(now)
		select {
		case i.activate <- struct{}{}:
		default:
		}
	}
	if at.After(i.lastUsed) {
		i.lastUsed = at
	}
}

// Run asks the other members for their confirmation while units are in use. It returns when the context ends.
func (i *Issuer) Run(ctx context.Context) error {
	tick := time.NewTicker(quota.ConfirmInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		case <-i.activate:
		}
		i.askMembers(ctx)
	}
}

func (i *Issuer) askMembers(ctx context.Context) {
	now := time.Now()
	i.mu.Lock()
	defer i.mu.Unlock()
	i.adoptView(now)
	if now.Sub(i.lastUsed) > activeFor {
		return
	}
	i.issuer.Tick(now)
	i.logLease(now)
	if !i.issuer.IsMember() {
		return
	}
	idle := now.Sub(i.lastUsed)
	for _, key := range i.issuer.Members(now) {
		m, ok := i.members[key]
		if !ok || m.Address == "" || i.asking[key] {
			continue
		}
		i.asking[key] = true
		go i.ask(ctx, m, idle)
	}
}

// logLease logs when this issuer starts or ends to issue units. The caller holds the lock.
func (i *Issuer) logLease(now time.Time) {
	if has := i.issuer.Available(now); has != i.hadLease {
		i.hadLease = has
		i.cfg.Log.Info("issuer of rate limits changed", "issues", has, "share", i.issuer.Share(now), "view", i.issuer.Version())
	}
}

// ask asks one member for its confirmation.
func (i *Issuer) ask(ctx context.Context, m replica.Member, idle time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	sentAt := time.Now()
	var r confirmResponse
	self := replica.Member{VM: i.cfg.VM, Disk: i.cfg.Disk}.Key()
	err := post(ctx, i.cfg.Client, m.Address, PathConfirm, confirmRequest{From: self, Disk: m.Disk, IdleMillis: idle.Milliseconds()}, &r)
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.asking, m.Key())
	if err != nil {
		return // The lease ends if this persists; logLease reports that.
	}
	i.issuer.Receive(m.Key(), quota.Confirmation(r), sentAt, time.Now())
}

// HandleConfirm answers a member that asks for a confirmation.
func (i *Issuer) HandleConfirm(w http.ResponseWriter, r *http.Request) {
	var req confirmRequest
	if !readJSON(w, r, &req) {
		return
	}
	if req.Disk != i.cfg.Disk {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	i.mu.Lock()
	now := time.Now()
	i.adoptView(now)
	i.use(now, now.Add(-max(time.Duration(req.IdleMillis)*time.Millisecond, 0)))
	c := i.issuer.Confirm(req.From, now)
	i.mu.Unlock()
	writeJSON(w, confirmResponse(c))
}

// HandleQuota issues units to a gateway. It responds with status 409 if the view of the gateway is newer or does not contain
// this replica, and with 503 while the other members have not confirmed this issuer.
func (i *Issuer) HandleQuota(w http.ResponseWriter, r *http.Request) {
	var req unitsRequest
	if !readJSON(w, r, &req) {
		return
	}
	if len(req.Requests) > maxRequests {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	i.mu.Lock()
	now := time.Now()
	i.adoptView(now)
	i.use(now, now)
	if req.Disk != i.cfg.Disk || req.View > i.issuer.Version() || !i.issuer.IsMember() {
		i.mu.Unlock()
		i.otherView.Inc()
		w.WriteHeader(http.StatusConflict)
		return
	}
	available := i.issuer.Available(now)
	i.mu.Unlock()
	for waited := time.Duration(0); !available && waited < maxActivationWait; waited += 3 * time.Millisecond {
		if !clock.Sleep(r.Context(), 3*time.Millisecond) {
			return
		}
		i.mu.Lock()
		available = i.issuer.Available(time.Now())
		i.mu.Unlock()
	}
	if !available {
		i.unavailable.Inc()
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	response := unitsResponse{Grants: make([]grant, len(req.Requests))}
	i.mu.Lock()
	now = time.Now()
	for k, o := range req.Requests {
		limit := quota.Limit{RatePerSecond: o.Rate, Burst: o.Burst, Version: o.Version}
		units, retryAfter := i.issuer.Issue(now, o.Organisation, limit, min(o.Units, maxUnits))
		i.issued.Add(units)
		response.Grants[k] = grant{Units: units, RetryMillis: millis(retryAfter)}
	}
	i.mu.Unlock()
	writeJSON(w, response)
}

func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxMessageBytes)).Decode(v); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // A write error means that the sender has disconnected.
}

// errRejected means that a replica did not accept a request.
var errRejected = errors.New("replica rejected the request")

// post posts a JSON body and decodes the response.
func post(ctx context.Context, client *http.Client, address, path string, body, response any) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode request")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(raw))
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }() // The body was read.
	answer, err := transport.ReadAll(resp.Body, maxMessageBytes)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Wrapf(errRejected, "status %d", resp.StatusCode)
	}
	return errors.Wrap(json.Unmarshal(answer, response), "decode response")
}
