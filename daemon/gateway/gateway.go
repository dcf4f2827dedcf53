// Package gateway serves the routes of the operator's configuration. It accepts requests of callers, chooses an upstream for
// each, and forwards the response. Turns of programs have a token budget and a history, which the replicas store.
//
// The handler is a plain http.Handler and not a gorilla/mux router. Routes come from the configuration, and a router that
// cleans paths would respond with redirects.
package gateway

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"jackdawbay.dev/core/placement"
	"jackdawbay.dev/daemon/catalog"
	"jackdawbay.dev/daemon/forward"
	"jackdawbay.dev/daemon/intake"
	"jackdawbay.dev/daemon/quorum"
)

// RequestMeta holds the decoded headers of a caller's request.
type RequestMeta struct {
	RequestID     string        // Identifies one attempt of a caller.
	Program       string        // Empty for a request outside of a program.
	Session       string        // ID of a sequence of turns within the program.
	CallerTimeout time.Duration // Time that the caller waits for the response; zero if not stated.
	FinishWithin  time.Duration // Time until the program should be finished; zero if not stated.
	TokenBudget   int64         // Tokens that all turns of the program may generate; negative if not stated.
	MaxTokens     int64         // Max tokens that the turn generates.
	Prompt        []placement.PromptPart
	AffinityKey   string // Identifies the object that the request concerns; empty if not stated.
	PreviousTurn  string // Turn that this turn continues; empty at the start of a chain.
	LastEventID   string // The caller wants the events after this one.

	// ResumedRequest is the ID of the request that brought the first event of the stream of which the caller wants the rest; empty
	// if not stated.
	ResumedRequest string
}

// UpstreamRequestMeta holds the values that the gateway adds to the headers of a request for an upstream.
type UpstreamRequestMeta struct {
	Remaining        time.Duration // Time until the deadline of the request.
	ExpectedInstance string        // The only upstream that may execute the request.
	LastEventID      string        // The stream continues after this event; empty for a stream from its start.
	HasOrganisations bool          // The configuration has organisations: the key of the caller is not forwarded.
	Organisation     string        // Name of the organisation, in place of one that the caller sent; empty if there is none.
}

// ResponseMeta holds the decoded headers of an upstream's response.
type ResponseMeta struct {
	RequestID   string
	Signed      bool // The response has the signature of an upstream.
	NotExecuted bool // The upstream states that it did not execute the request.
	Leaving     bool // The upstream states that it leaves and must get no new requests.
	Instance    string
	Load        placement.Load
	HasLoad     bool
}

// Codec encodes and decodes the headers of requests and responses.
type Codec interface {
	DecodeRequest(h http.Header) (RequestMeta, error)
	EncodeRequest(from http.Header, o UpstreamRequestMeta) http.Header
	DecodeResponse(h http.Header) ResponseMeta
	EncodeResponse(from http.Header, signed bool) http.Header
	EncodeRetryAfter(h http.Header, after time.Duration)
}

// Config configures a Gateway.
type Config struct {
	DataCentre string
	Region     string
	RegionOf   func(dataCentre string) string
	Codec      Codec
	Catalog    *catalog.Catalog
	Replicas   *quorum.Groups
	Pool       *forward.Pool
	Log        *slog.Logger
	Metrics    *metrics.Set
	CacheBytes int64 // Limit of the turns that are cached in memory.

	// SecondAttemptShare is the share of requests, from 0 to 1, for which a late response may be requested from a second
	// upstream. Zero disables second attempts.
	SecondAttemptShare float64

	Limiter      Limiter       // Enforces the limits of organisations; nil for none.
	UnitLifetime time.Duration // Time after which a request that was not sent needs another unit.

	// ManageOverload enables the queue, the retry budget and the placement for many gateways.
	ManageOverload bool

	// Intake bounds the memory of requests and responses; nil sets no limit.
	Intake *intake.Intake
	// WriteTimeout is the time after which a caller that does not read its response is disconnected; zero sets no limit.
	WriteTimeout time.Duration

	// ReportUnreachable tells other VMs that this one cannot reach the process of an upstream; may be nil.
	ReportUnreachable func(p placement.Process)
}

// Gateway is the HTTP handler for callers. It is safe for concurrent use.
type Gateway struct {
	cfg            Config
	stopDeadline   atomic.Pointer[time.Time] // Time by which every request must have its response. Set by Stop.
	stopped        context.Context           // Ends at the stop deadline.
	endRequests    context.CancelFunc        // Ends stopped.
	stopping       chan struct{}             // Closed by Stop.
	closeStopping  sync.Once
	lastQuorumAt   atomic.Int64 // Last time at which a quorum of replicas was responsive, in Unix nanoseconds.
	inFlight       atomic.Int64
	lastActivity   atomic.Int64 // Start or end of the last request in Unix nanoseconds.
	upstreams      *upstreamGroups
	turnCache      *turnCache
	streamVersions streamVersions
	bufferBudget   bufferBudget
	settlements    chan settlement
	stats          *stats
	rejectedTurns  *rejectedTurnLog
	seconds        *secondAttempts
	retries        retryBudget
}

// New returns a gateway. Run must be called for its background work.
func New(cfg Config) *Gateway {
	g := &Gateway{
		cfg:           cfg,
		upstreams:     newUpstreamGroups(cfg),
		turnCache:     newTurnCache(cfg.CacheBytes),
		settlements:   make(chan settlement, settlementQueueSize),
		stats:         newStats(cfg.Metrics),
		rejectedTurns: newRejectedTurnLog(cfg.Log),
		seconds:       newSecondAttempts(cfg),
	}
	g.stopping = make(chan struct{})
	g.stopped, g.endRequests = context.WithCancel(context.Background())
	g.lastActivity.Store(time.Now().UnixNano())
	return g
}

// Suspect excludes upstreams that several VMs cannot reach from new requests for a while.
func (g *Gateway) Suspect(processes []placement.Process) { g.upstreams.suspect(processes) }

// UpdateUpstreams replaces the list of upstreams.
func (g *Gateway) UpdateUpstreams(u *catalog.Upstreams) { g.upstreams.update(u) }

// noQuorumGrace is the time for which a gateway stays ready without a quorum of replicas. A restart of replicas is shorter.
const noQuorumGrace = 2 * time.Second

// IsReady reports whether the daemon can serve requests. Without a quorum of replicas it cannot serve turns. Another gateway
// may still reach a quorum.
func (g *Gateway) IsReady() bool {
	if g.stopDeadline.Load() != nil || g.cfg.Catalog.Table() == nil {
		return false
	}
	now := time.Now().UnixNano()
	if g.cfg.Replicas.HasQuorum() {
		g.lastQuorumAt.Store(now)
		return true
	}
	return now-g.lastQuorumAt.Load() < noQuorumGrace.Nanoseconds()
}

// Stop makes the daemon unready and signals callers to close their connections. Every request must have its response by the
// deadline. A new request whose own deadline is later is rejected. One that is in flight then gets an error response.
func (g *Gateway) Stop(deadline time.Time) {
	g.stopDeadline.Store(&deadline)
	g.closeStopping.Do(func() { close(g.stopping) })
	time.AfterFunc(time.Until(deadline), g.endRequests)
}

// exceedsStopDeadline reports whether a request with this deadline could still be running when the daemon stops.
func (g *Gateway) exceedsStopDeadline(deadline time.Time) bool {
	stopDeadline := g.stopDeadline.Load()
	return stopDeadline != nil && deadline.After(*stopDeadline)
}

// IsIdle reports whether no request is in flight and none has started or ended within the quiet period.
func (g *Gateway) IsIdle(now time.Time, quietPeriod time.Duration) bool {
	return g.inFlight.Load() == 0 && now.Sub(time.Unix(0, g.lastActivity.Load())) > quietPeriod
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrivedAt := time.Now()
	g.inFlight.Add(1)
	g.lastActivity.Store(arrivedAt.UnixNano())
	defer func() {
		g.lastActivity.Store(time.Now().UnixNano())
		g.inFlight.Add(-1)
	}()
	if g.stopDeadline.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	c := g.newCall(w, r, arrivedAt)
	c.w = g.limitWrites(w, r, c.memory)
	c.serve()
}

// Run settles charges in the background until the context ends.
func (g *Gateway) Run(ctx context.Context) error { return g.runSettlements(ctx) }
