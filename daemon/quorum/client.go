// Package quorum is the client of the replicas. An operation succeeds only if the members that responded are a quorum of the
// view in force.
package quorum

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	core "jackdawbay.dev/core/replica"
	"jackdawbay.dev/daemon/platform"
	"jackdawbay.dev/daemon/transport"
)

// ErrNoQuorum means that no quorum of replicas responded. Some of them may have stored a write.
var ErrNoQuorum = errors.New("no quorum of replicas responded")

// Limits of the client.
const (
	queueCapacity           = 512 // Operations that may be queued for one replica.
	sendersPerQueue         = 3   // Concurrent requests to one replica.
	maxBatchOps             = 64
	batchTimeout            = 700 * time.Millisecond // Well above a slow sync and a round trip between regions.
	minHedgeDelay           = 30 * time.Millisecond  // Min delay before a request is hedged, that is, sent to one more replica.
	hedgeLatencyFactor      = 4                      // A request is hedged after this multiple of a replica's mean latency.
	probeInterval           = 200 * time.Millisecond // Interval between probes of an unresponsive replica.
	probeTimeout            = 300 * time.Millisecond // Well above a round trip between regions.
	refusedWriteDuration    = time.Second            // Time for which a member that has refused a write is asked last.
	storeRetryDelay         = 50 * time.Millisecond  // Delay between attempts to store a turn while there is no quorum.
	maxViewAttempts         = 4
	hedgeCreditPerOperation = 0.1 // Share of the operations that may be hedged while all replicas respond.
	maxHedgeCredit          = 20  // Operations that may be hedged in a burst after a period without hedging.
)

// Config configures Groups.
type Config struct {
	DataCentre string
	Region     string
	RegionOf   func(dataCentre string) string
	Client     *http.Client
	Log        *slog.Logger
	Metrics    *metrics.Set

	bodies *transport.BodyReader // Set by New.
}

// Client sends operations to the replicas of one group. It is safe for concurrent use.
type Client struct {
	cfg    Config
	group  int
	mu     sync.Mutex
	view   core.View
	queues map[string]*memberQueue
	ctx    context.Context

	startedAt        time.Time
	viewAdoptedAt    time.Time // When the view was adopted.
	viewSource       string    // Origin of the view: the VM of a replica, or the store.
	storeRespondedAt time.Time // When the store last responded about the view; zero before its first response.

	hedgeCredit float64 // Hedged requests that may still be sent while all replicas respond.

	operationSeconds *metrics.Histogram
	quorumFailures   *metrics.Counter
	hedgedRequests   *metrics.Counter
	copiedChainTurns *metrics.Counter
}

// newClient returns the client of a group. Its senders run until the context ends.
func newClient(ctx context.Context, cfg Config, group int) *Client {
	return &Client{
		cfg:              cfg,
		group:            group,
		startedAt:        time.Now(),
		queues:           map[string]*memberQueue{},
		ctx:              ctx,
		operationSeconds: cfg.Metrics.GetOrCreateHistogram("jackdawbay_quorum_operation_seconds"),
		quorumFailures:   cfg.Metrics.GetOrCreateCounter("jackdawbay_quorum_failed_total"),
		hedgedRequests:   cfg.Metrics.GetOrCreateCounter("jackdawbay_quorum_hedged_total"),
		copiedChainTurns: cfg.Metrics.GetOrCreateCounter("jackdawbay_quorum_chain_turns_copied_total"),
	}
}

// onStoreResponse records that the store has responded about the views.
func (c *Client) onStoreResponse(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.storeRespondedAt = at
}

// onViewObject adopts the view in an object of the store.
func (c *Client) onViewObject(o platform.Object) {
	var v core.View
	if err := json.Unmarshal(o.Value, &v); err != nil {
		c.cfg.Log.Error("cannot decode view", "name", o.Name, "revision", o.Version, "error", err)
		return
	}
	c.adoptView(v, "store")
}

func (c *Client) adoptView(v core.View, viewSource string) {
	var removed []*memberQueue
	c.mu.Lock()
	isNewer := v.Version > c.view.Version
	if isNewer {
		c.view, c.viewAdoptedAt, c.viewSource = v, time.Now(), viewSource
		for key, q := range c.queues {
			if !containsMember(v, q.member) {
				removed = append(removed, q)
				delete(c.queues, key)
			}
		}
	}
	c.mu.Unlock()
	for _, q := range removed {
		q.close()
	}
	if isNewer {
		c.cfg.Log.Info("view in force", "group", c.group, "view", v.Version, "sets", len(v.Sets), "members", len(v.CurrentSet()), "source", viewSource)
	}
}

// View returns the view in force at this client. Its version is zero before the client has adopted a view.
func (c *Client) View() core.View {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view
}

// HasQuorum reports whether the responsive replicas are a quorum of the view in force.
func (c *Client) HasQuorum() bool {
	v := c.View()
	return v.Version > 0 && c.isQuorumResponsive(v)
}

func (c *Client) isQuorumResponsive(v core.View) bool {
	responsive := map[string]bool{}
	for _, set := range v.Sets {
		for _, m := range set {
			responsive[m.Key()] = !c.queue(m).isUnresponsive()
		}
	}
	return v.IsWriteComplete(responsive) && v.IsReadComplete(responsive)
}

func (c *Client) queue(m core.Member) *memberQueue {
	c.mu.Lock()
	defer c.mu.Unlock()
	if q, ok := c.queues[m.Key()]; ok && q.member == m {
		return q
	}
	if !containsMember(c.view, m) {
		return &memberQueue{client: c, member: m, unresponsive: true, closed: true} // For an operation of an earlier view.
	}
	q := newMemberQueue(c, m)
	c.queues[m.Key()] = q
	return q
}

// containsMember reports whether a set of the view contains the member at the same address.
func containsMember(v core.View, m core.Member) bool {
	for _, set := range v.Sets {
		if slices.Contains(set, m) {
			return true
		}
	}
	return false
}
