// Package gateway serves the routes of the operator's configuration: it takes requests of callers, chooses an upstream for
// each, and passes the response on. Turns of programs take their token budget and their history from the replicas.
//
// The handler is a plain http.Handler and not a gorilla/mux router: routes come from the configuration, and a router that
// cleans paths would answer with redirects.
package gateway

import (
	"context"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"jackdawbay.dev/core/placement"
	"jackdawbay.dev/daemon/catalog"
	"jackdawbay.dev/daemon/forward"
	"jackdawbay.dev/daemon/quorum"
)

// Meta is what the headers of a request say.
type RequestMeta struct {
	RequestID     string        // Names one attempt of a caller.
	Program       string        // Empty for a request outside a program.
	Session       string        // Line of turns within the program.
	CallerTimeout time.Duration // Time that the caller will wait; zero where it does not say.
	FinishWithin  time.Duration // Time until the program should be finished; zero where it does not say.
	TokenBudget   int64         // Tokens that all turns of the program may generate; negative where it does not say.
	MaxTokens     int64         // Most tokens that the turn generates.
	Prompt        []placement.PromptPart
	PreviousTurn  string // Turn that this one continues; empty at the start of a chain.
	LastEventID   string // Event after which the caller wants the stream to continue.
}

// Outgoing is what the system adds to a request for an upstream.
type UpstreamRequestMeta struct {
	Remaining        time.Duration // Time that is left for the request.
	ExpectedInstance string        // Only this upstream may run it.
	LastEventID      string        // Event after which the stream continues; empty from the start.
}

// Reply is what the headers of a response say.
type ResponseMeta struct {
	RequestID   string
	Signed      bool // It bears the signature of an upstream.
	NotExecuted bool // The upstream states that it did not run the request.
	Instance    string
	Load        placement.Load
	HasLoad     bool
}

// Codec reads and writes the headers of callers and upstreams.
type Codec interface {
	DecodeRequest(h http.Header) (RequestMeta, error)
	EncodeRequest(from http.Header, o UpstreamRequestMeta) http.Header
	DecodeResponse(h http.Header) ResponseMeta
	EncodeResponse(from http.Header, signed bool) http.Header
	EncodeRetryAfter(h http.Header, after time.Duration)
}

// Config describes a Gateway.
type Config struct {
	DataCentre string
	Region     string
	RegionOf   func(dataCentre string) string
	Codec      Codec
	Catalog    *catalog.Catalog
	Replicas   *quorum.Client
	Pool       *forward.Pool
	Log        *slog.Logger
	Metrics    *metrics.Set
	CacheBytes int64 // Bound of the turns that are kept in memory.
}

// Gateway is the handler for callers. It is safe for concurrent use.
type Gateway struct {
	cfg       Config
	stopBy    atomic.Pointer[time.Time] // Set once the daemon is to stop: when it must have answered everything.
	reachedAt atomic.Int64              // Time at which a quorum of replicas answered, in Unix nanoseconds.
	underway  atomic.Int64
	lastSeen  atomic.Int64 // Time of the last request in Unix nanoseconds.
	groups    *groups
	turns     *turnCache
	held      heldBytes
	settle    chan settlement
	stats     *stats
	refused   *refusedTurns
}

// New returns a gateway.
func New(cfg Config) *Gateway {
	g := &Gateway{
		cfg:     cfg,
		groups:  newGroups(cfg),
		turns:   newTurnCache(cfg.CacheBytes),
		settle:  make(chan settlement, settleRing),
		stats:   newStats(cfg.Metrics),
		refused: newRefusedTurns(cfg.Log),
	}
	g.lastSeen.Store(time.Now().UnixNano())
	return g
}

// UpdateUpstreams takes a new list of upstreams.
func (g *Gateway) UpdateUpstreams(u *catalog.Upstreams) { g.groups.update(u) }

// unreachableGrace is how long a gateway stays ready without a quorum of replicas. A restart of replicas is shorter.
const unreachableGrace = 2 * time.Second

// Ready reports whether the daemon can serve requests. Without a quorum of replicas it cannot serve turns, and another
// gateway may.
func (g *Gateway) IsReady() bool {
	if g.stopBy.Load() != nil || g.cfg.Catalog.Table() == nil {
		return false
	}
	now := time.Now().UnixNano()
	if g.cfg.Replicas.HasQuorum() {
		g.reachedAt.Store(now)
		return true
	}
	return now-g.reachedAt.Load() < unreachableGrace.Nanoseconds()
}

// Stop makes the daemon unready and tells callers to close their connections. By a time everything must be answered, so a
// request that its route allows to last longer is refused.
func (g *Gateway) Stop(by time.Time) { g.stopBy.Store(&by) }

// outlasts reports whether a request that may last until a deadline would be cut by the stop of the daemon.
func (g *Gateway) outlasts(deadline time.Time) bool {
	by := g.stopBy.Load()
	return by != nil && deadline.After(*by)
}

// Quiet reports whether no request is under way and none has arrived for a time.
func (g *Gateway) IsIdle(now time.Time, since time.Duration) bool {
	return g.underway.Load() == 0 && now.Sub(time.Unix(0, g.lastSeen.Load())) > since
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	g.underway.Add(1)
	g.lastSeen.Store(arrived.UnixNano())
	defer func() {
		g.lastSeen.Store(time.Now().UnixNano())
		g.underway.Add(-1)
	}()
	if g.stopBy.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	g.newCall(w, r, arrived).serve()
}

// Run settles charges in the background until the context ends.
func (g *Gateway) Run(ctx context.Context) error { return g.runSettle(ctx) }
