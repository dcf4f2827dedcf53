package quota

import (
	"context"
	"hash/fnv"
	"log/slog"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"jackdawbay.dev/api/errkind"
	"jackdawbay.dev/core/quota"
	"jackdawbay.dev/core/replica"
	"jackdawbay.dev/core/route"
)

// Limits of a client.
const (
	maxWaiters       = 1024             // Requests of one organisation that wait for units; further ones are refused.
	maxOrganisations = 8192             // Organisations with a state in memory.
	idleAfter        = 30 * time.Second // Time without a request after which the state of an organisation may be dropped.
	logLinesPerS     = 5                // Log lines about refusals.
)

// Config configures a Client.
type Config struct {
	VM         string // Spreads gateways over issuers at the same distance.
	DataCentre string
	Region     string
	RegionOf   func(dataCentre string) string
	ViewOf     func(organisation string) replica.View // The view of the group that issues the units of an organisation.
	Views      func() []replica.View                  // The views of all groups.
	HasLimits  func() (configVersion uint64, ok bool) // Whether an organisation of the configuration has a limit.
	Lifetime   time.Duration                          // Time until a unit expires.
	Client     *http.Client
	Log        *slog.Logger
	Metrics    *metrics.Set
}

// Client gets units for the requests of a gateway. It is safe for concurrent use.
type Client struct {
	cfg     Config
	ctx     context.Context
	logs    *rate.Limiter
	mu      sync.Mutex
	entries map[string]*entry

	granted, expired, returned *metrics.Counter
	calls, failedCalls         *metrics.Counter
	overLimit, unavailable     *metrics.Counter
	waitSeconds                *metrics.Histogram
}

// Intervals of announcements.
const (
	announceCheckInterval = time.Second
	announceInterval      = time.Minute // Well below activeFor.
	announceAttempts      = 3
)

// Run announces to the issuers that there are limits, so that their buckets are full when the first requests arrive. Without
// limits, it sends nothing. It returns when the context ends.
func (c *Client) Run(ctx context.Context) error {
	tick := time.NewTicker(announceCheckInterval)
	defer tick.Stop()
	var announcedVersion uint64
	var announcedAt time.Time
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		version, ok := c.cfg.HasLimits()
		if !ok || version == announcedVersion && time.Since(announcedAt) < announceInterval {
			continue
		}
		if c.announce() {
			announcedVersion, announcedAt = version, time.Now()
		}
	}
}

// announce sends a request for no units to one member of each group, which informs the others. It reports whether a member of
// each group has answered.
func (c *Client) announce() bool {
	all := true
	for _, v := range c.cfg.Views() {
		set := v.CurrentSet()
		answered := false
		for n := 0; n < min(announceAttempts, len(set)) && !answered; n++ {
			m := set[(int(hash(c.cfg.VM)%uint32(len(set)))+n)%len(set)]
			_, err := c.call(m.Address, unitsRequest{View: v.Version, Disk: m.Disk})
			answered = err == nil
		}
		all = all && answered
	}
	return all
}

func hash(s string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(s)) // Writing to a hash never fails.
	return h.Sum32()
}

// entry is the state of one organisation.
type entry struct {
	name string

	mu        sync.Mutex
	allowance *quota.Allowance
	waiters   []*waiter // In the order of their arrival.
	asking    bool      // A round of calls is in progress.
	order     []string  // Keys of the issuers, nearest first, for the view with viewVersion.
	members   map[string]replica.Member
	version   uint64    // Version of the view.
	answered  time.Time // Last answer of an issuer.
	skipped   int       // Refusals since the last log line.
	dropped   bool      // The entry is no longer in the map.
}

// waiter is a request that waits for a unit.
type waiter struct {
	result chan result // Has room for the result.
}

type result struct {
	expires time.Time
	err     error
}

// NewClient returns a client. Its calls end with the context.
func NewClient(ctx context.Context, cfg Config) *Client {
	set := cfg.Metrics
	c := &Client{
		cfg: cfg, ctx: ctx, logs: rate.NewLimiter(logLinesPerS, logLinesPerS), entries: map[string]*entry{},
		granted:     set.NewCounter(`jackdawbay_quota_units_total{state="granted"}`),
		expired:     set.NewCounter(`jackdawbay_quota_units_total{state="expired"}`),
		returned:    set.NewCounter(`jackdawbay_quota_units_total{state="returned"}`),
		calls:       set.NewCounter("jackdawbay_quota_calls_total"),
		failedCalls: set.NewCounter("jackdawbay_quota_calls_failed_total"),
		overLimit:   set.NewCounter(`jackdawbay_quota_refused_total{reason="limit"}`),
		unavailable: set.NewCounter(`jackdawbay_quota_refused_total{reason="unavailable"}`),
		waitSeconds: set.NewHistogram("jackdawbay_quota_wait_seconds"),
	}
	return c
}

// Acquire takes a unit of an organisation for one request. It waits for at most quota.MaxWait if the gateway holds none. The
// function release returns the unit of a request that never ran. The error has the kind OrganisationLimit or QuotaUnavailable,
// or is that of the context.
func (c *Client) Acquire(ctx context.Context, o *route.Organisation, configVersion uint64) (release func(), err error) {
	if o == nil || o.RatePerSecond <= 0 {
		return func() {}, nil
	}
	now := time.Now()
	e := c.lockEntry(o.Name, now)
	if e == nil {
		c.unavailable.Inc()
		return nil, errkind.New(errkind.QuotaUnavailable, "").WithRetryAfter(quota.MaxWait)
	}
	a := e.allowance
	a.SetLimit(quota.Limit{RatePerSecond: o.RatePerSecond, Burst: o.Burst, Version: configVersion})
	a.Arrive(now)
	if len(e.waiters) == 0 {
		if expires, ok := a.Take(now); ok {
			c.startRound(e, now)
			e.mu.Unlock()
			return c.releaser(e, expires), nil
		}
	}
	if len(e.waiters) >= maxWaiters {
		err := c.refuse(e, now, len(e.waiters))
		e.mu.Unlock()
		return nil, err
	}
	w := &waiter{result: make(chan result, 1)}
	e.waiters = append(e.waiters, w)
	c.startRound(e, now)
	e.mu.Unlock()

	timer := time.NewTimer(quota.MaxWait)
	defer timer.Stop()
	defer c.waitSeconds.UpdateDuration(now)
	select {
	case r := <-w.result:
		return c.finish(e, r)
	case <-timer.C:
	case <-ctx.Done():
	}
	e.mu.Lock()
	ahead, waiting := e.remove(w)
	if waiting && ctx.Err() == nil {
		err = c.refuse(e, time.Now(), ahead)
	}
	e.mu.Unlock()
	switch {
	case waiting && ctx.Err() != nil:
		return nil, ctx.Err()
	case waiting:
		return nil, err
	}
	return c.finish(e, <-w.result) // It was decided at the same time.
}

// finish returns the result of a waiter.
func (c *Client) finish(e *entry, r result) (release func(), err error) {
	if r.err != nil {
		return nil, r.err
	}
	return c.releaser(e, r.expires), nil
}

func (c *Client) releaser(e *entry, expires time.Time) func() {
	return sync.OnceFunc(func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		now := time.Now()
		if e.allowance.Return(now, expires) {
			c.returned.Inc()
			c.serveWaiters(e, now)
		}
	})
}

// lockEntry returns the entry of an organisation and locks it. It returns nil if there are too many organisations.
func (c *Client) lockEntry(name string, now time.Time) *entry {
	for {
		c.mu.Lock()
		e, ok := c.entries[name]
		if !ok {
			if len(c.entries) >= maxOrganisations {
				c.dropIdle(now)
			}
			if len(c.entries) >= maxOrganisations {
				c.mu.Unlock()
				return nil
			}
			e = &entry{name: name, allowance: quota.NewAllowance(c.cfg.Lifetime)}
			c.entries[name] = e
		}
		c.mu.Unlock()
		e.mu.Lock()
		if !e.dropped {
			return e
		}
		e.mu.Unlock()
	}
}

// dropIdle drops organisations without a recent request. The caller holds the lock of the client.
func (c *Client) dropIdle(now time.Time) {
	for name, e := range c.entries {
		e.mu.Lock()
		if !e.asking && len(e.waiters) == 0 && now.Sub(e.allowance.LastArrival()) > idleAfter {
			e.dropped = true
			delete(c.entries, name)
		}
		e.mu.Unlock()
	}
}

// startRound starts a round of calls if units are needed and none is in progress. The caller holds the lock of the entry.
func (c *Client) startRound(e *entry, now time.Time) {
	if e.asking || e.allowance.Wants(now, len(e.waiters)) == 0 {
		return
	}
	e.asking = true
	go c.runRound(e)
}

// runRound asks the issuers one after the other until no more units are needed or none is left.
func (c *Client) runRound(e *entry) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for c.ctx.Err() == nil {
		now := time.Now()
		c.serveWaiters(e, now)
		c.updateOrder(e)
		key, units, ok := e.allowance.Next(now, e.order, len(e.waiters))
		if !ok {
			break
		}
		request := unitsRequest{View: e.version, Disk: e.members[key].Disk, Requests: []organisation{{
			Organisation: e.name, Rate: e.allowance.Limit().RatePerSecond, Burst: e.allowance.Limit().Burst,
			Version: e.allowance.Limit().Version, Units: min(units, maxUnits),
		}}}
		address := e.members[key].Address
		e.mu.Unlock()
		grants, err := c.call(address, request)
		e.mu.Lock()
		if err != nil {
			e.allowance.Unreachable(time.Now(), key)
			continue
		}
		g := grants[0]
		e.answered = time.Now()
		c.granted.Add(g.Units)
		e.allowance.Granted(e.answered, now, key, g.Units, time.Duration(g.RetryMillis*float64(time.Millisecond)))
	}
	now := time.Now()
	for ahead, w := range e.waiters {
		w.result <- result{err: c.refuse(e, now, ahead)}
	}
	e.waiters = nil
	e.allowance.EndRound()
	e.asking = false
	c.expired.AddInt64(int64(e.allowance.TakeExpired()))
}

// call asks an issuer for units. The response has a grant for each organisation of the request.
func (c *Client) call(address string, request unitsRequest) ([]grant, error) {
	ctx, cancel := context.WithTimeout(c.ctx, quota.IssuerTimeout)
	defer cancel()
	c.calls.Inc()
	var r unitsResponse
	err := post(ctx, c.cfg.Client, address, PathQuota, request, &r)
	if err == nil {
		err = r.check(request)
	}
	if err != nil {
		c.failedCalls.Inc()
		c.cfg.Log.Debug("issuer gave no answer", "address", address, "error", err)
	}
	return r.Grants, err
}

// check reports whether the response fits the request.
func (r unitsResponse) check(request unitsRequest) error {
	if len(r.Grants) != len(request.Requests) {
		return errors.Newf("want %d grants, have %d", len(request.Requests), len(r.Grants))
	}
	for i, g := range r.Grants {
		if g.Units < 0 || g.Units > request.Requests[i].Units || g.RetryMillis < 0 {
			return errors.Newf("grant of %d units for a request of %d", g.Units, request.Requests[i].Units)
		}
	}
	return nil
}

// serveWaiters gives the units that the gateway holds to the requests that wait. The caller holds the lock of the entry.
func (c *Client) serveWaiters(e *entry, now time.Time) {
	for len(e.waiters) > 0 {
		expires, ok := e.allowance.Take(now)
		if !ok {
			return
		}
		e.waiters[0].result <- result{expires: expires}
		e.waiters = e.waiters[1:]
	}
}

// remove removes a waiter. It returns the number of requests before it, and whether it was still waiting.
func (e *entry) remove(w *waiter) (ahead int, waiting bool) {
	for i, other := range e.waiters {
		if other == w {
			e.waiters = append(e.waiters[:i:i], e.waiters[i+1:]...)
			return i, true
		}
	}
	return 0, false
}

// updateOrder sorts the issuers by distance if the view has changed. The caller holds the lock of the entry.
func (c *Client) updateOrder(e *entry) {
	v := c.cfg.ViewOf(e.name)
	if v.Version == e.version && e.members != nil {
		return
	}
	e.version, e.order, e.members = v.Version, nil, map[string]replica.Member{}
	distance, hashes := map[string]int{}, map[string]uint32{}
	for _, m := range v.CurrentSet() {
		key := m.Key()
		e.order, e.members[key] = append(e.order, key), m
		if m.DataCentre != c.cfg.DataCentre {
			distance[key]++
		}
		if c.cfg.RegionOf(m.DataCentre) != c.cfg.Region {
			distance[key]++
		}
		hashes[key] = hash(c.cfg.VM + " " + e.name + " " + m.VM)
	}
	sort.Slice(e.order, func(i, j int) bool {
		a, b := e.order[i], e.order[j]
		if distance[a] != distance[b] {
			return distance[a] < distance[b]
		}
		return hashes[a] < hashes[b]
	})
	e.allowance.Forget(e.order)
}

// refuse returns the error for a request without a unit and logs the decision. The caller holds the lock of the entry.
func (c *Client) refuse(e *entry, now time.Time, ahead int) error {
	retryAfter, overLimit := e.allowance.Refusal(now, e.order, ahead)
	kind := errkind.QuotaUnavailable
	if overLimit {
		kind = errkind.OrganisationLimit
		c.overLimit.Inc()
	} else {
		c.unavailable.Inc()
	}
	if !c.logs.AllowN(now, 1) {
		e.skipped++
	} else {
		age := "never"
		if !e.answered.IsZero() {
			age = now.Sub(e.answered).Round(time.Millisecond).String()
		}
		l := e.allowance.Limit()
		c.cfg.Log.Warn("request refused by the limit of its organisation", "organisation", e.name, "reason", string(kind), "rate", l.RatePerSecond,
			"burst", l.Burst, "version", l.Version, "answer_age", age, "issuers", len(e.order), "view", e.version, "ahead", ahead,
			"retry_after", retryAfter.Round(time.Millisecond), "skipped", e.skipped)
		e.skipped = 0
	}
	return errkind.New(kind, "").WithRetryAfter(retryAfter)
}
