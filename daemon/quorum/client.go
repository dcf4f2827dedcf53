// Package quorum is the client of the replicas. An operation succeeds only if the members that responded are a quorum of the
// view in force.
package quorum

import (
	"bytes"
	"context"
	"encoding/json"
	"hash/fnv"
	"log/slog"
	"net/http"
	"net/url"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	core "jackdawbay.dev/core/replica"
	"jackdawbay.dev/daemon/clock"
	"jackdawbay.dev/daemon/platform"
	"jackdawbay.dev/daemon/replica"
	"jackdawbay.dev/daemon/transport"
)

// ErrNoQuorum means that no quorum of replicas responded. Some of them may have stored a write.
var ErrNoQuorum = errors.New("no quorum of replicas responded")

// errDiskReplaced means that the member's address now serves a different disk. The identity of a disk is generated when the
// disk is empty, so the member's own disk cannot return to that address.
var errDiskReplaced = errors.New("replica address serves a different disk")

// errQueueClosed means that the queue of the member is closed and sends no more requests.
var errQueueClosed = errors.New("request queue of the replica is closed")

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

// maxResponseBytes limits the response of a replica. One turn has at most 16 MiB. A batch of maxBatchOps chains, each of
// eight turns of 19 KB, has 10 MB. These are the longest chains that the deployments describe.
const maxResponseBytes = 32 << 20

// Config configures Groups.
type Config struct {
	DataCentre string
	Region     string
	RegionOf   func(dataCentre string) string
	Client     *http.Client
	Log        *slog.Logger
	Metrics    *metrics.Set
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

// memberResponse is the response of one member to the operations of a request.
type memberResponse struct {
	member    core.Member
	ops       []replica.Op
	results   []replica.Result
	otherView *core.View // The view of the member, if it is not the view of the request.
	err       error
}

// quorumRequest is a group of operations that needs a quorum.
type quorumRequest struct {
	key      string       // Spreads requests over replicas at the same distance.
	ops      []replica.Op // Operations for the nearest replica, and for replicas that are used in place of failed or slow ones.
	otherOps []replica.Op // Operations for the other replicas of the first quorum: the leading part of ops, or none.

	// isDone is called after each response, with the results of all members so far, and reports whether the request is
	// complete. A member may have results for the leading operations only.
	isDone func(v core.View, results map[string][]replica.Result) bool
}

// runRequest sends a request to a quorum of the view. If the request is not completed, the error is an ErrNoQuorum with a
// Failure.
func (c *Client) runRequest(ctx context.Context, r quorumRequest) error {
	startedAt := time.Now()
	defer c.operationSeconds.UpdateDuration(startedAt)
	c.addHedgeCredit()
	cause := CauseViewChanges
	var pending []string
	for range maxViewAttempts {
		v := c.View()
		if v.Version == 0 {
			cause = CauseNoView
			break
		}
		if !c.isQuorumResponsive(v) {
			if c.View().Version > v.Version {
				continue // The queues of the earlier view are closed.
			}
			cause = CauseUnresponsive
			break // Waiting would only delay an error that the caller can act on.
		}
		var done, retry bool
		done, retry, pending = c.runInView(ctx, v, r)
		if done {
			return nil
		}
		if ctx.Err() != nil {
			cause = CauseTimeout
			break
		}
		if !retry {
			cause = CauseInsufficientResults
			if !c.isQuorumResponsive(v) {
				cause = CauseUnresponsive
			}
			break
		}
	}
	c.quorumFailures.Inc()
	return &noQuorumError{c.newFailure(cause, pending)}
}

// runInView sends a request to the members of a view. If the request is not done, retry reports whether a newer view
// has been adopted, and pending lists the VMs that had not responded when the context ended.
func (c *Client) runInView(ctx context.Context, v core.View, r quorumRequest) (done, retry bool, pending []string) {
	members := c.orderMembers(v, r.key)
	responses := make(chan memberResponse, 2*len(members))
	results := map[string][]replica.Result{}
	sentView := map[string]bool{}
	outstanding := map[string]bool{}
	sent := 0
	submit := func(m core.Member, ops []replica.Op) {
		c.queue(m).submit(&job{ops: ops, epoch: v.Epoch, member: m, responses: responses})
		outstanding[m.Key()] = true
	}
	submitNext := func() {
		if sent < len(members) {
			submit(members[sent], r.ops)
			sent++
		}
	}
	submitNext()
	initial := firstQuorumSize(v, members)
	if len(r.otherOps) == 0 {
		initial = 1
	}
	for ; sent < initial; sent++ {
		submit(members[sent], r.otherOps)
	}
	hedgeTimer := time.NewTimer(c.hedgeDelay(members[:initial]))
	defer hedgeTimer.Stop()
	for len(outstanding) > 0 {
		select {
		case <-ctx.Done():
			for _, m := range members {
				if outstanding[m.Key()] {
					pending = append(pending, m.VM)
				}
			}
			return false, false, pending
		case <-hedgeTimer.C:
			if c.takeHedgeCredit(members[:sent], outstanding) {
				submitNext()
			}
			hedgeTimer.Reset(minHedgeDelay)
		case response := <-responses:
			delete(outstanding, response.member.Key())
			switch {
			case response.err != nil:
				submitNext()
			case response.otherView != nil && response.otherView.Version > v.Version:
				c.adoptView(*response.otherView, response.member.VM)
				return false, true, nil
			case response.otherView != nil && sentView[response.member.Key()]:
				submitNext() // The member has received the view and still rejects it because its disk does not store it.
			case response.otherView != nil:
				sentView[response.member.Key()] = true
				c.queue(response.member).attachView(v)
				submit(response.member, response.ops)
			default:
				results[response.member.Key()] = response.results
				if hasRefusedWrite(response.ops, response.results) {
					c.queue(response.member).onRefusedWrite()
				}
				if r.isDone(v, results) {
					return true, false, nil
				}
				if len(outstanding) == 0 {
					submitNext() // The results of the nearest members were insufficient.
				}
			}
		}
	}
	return false, c.View().Epoch > v.Epoch, nil
}

// addHedgeCredit adds the hedge credit of one operation.
func (c *Client) addHedgeCredit() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hedgeCredit = min(c.hedgeCredit+hedgeCreditPerOperation, maxHedgeCredit)
}

// takeHedgeCredit reports whether the request may be sent to one more replica, and takes the credit for it. A stalled
// replica needs no credit. If all replicas respond and are only slow, more requests would slow them down further, so only a
// share of the operations may be hedged.
func (c *Client) takeHedgeCredit(requested []core.Member, outstanding map[string]bool) bool {
	for _, m := range requested {
		if outstanding[m.Key()] && c.queue(m).isStalled() {
			return true
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hedgeCredit < 1 {
		return false
	}
	c.hedgeCredit--
	c.hedgedRequests.Inc()
	return true
}

// orderMembers sorts the members of all sets: responsive members first, then by distance. The key spreads requests over
// members at the same distance.
func (c *Client) orderMembers(v core.View, key string) []core.Member {
	members := core.Union(v.Sets)
	rank := make(map[string]int, len(members))
	hashes := make(map[string]uint32, len(members))
	for _, m := range members {
		h := fnv.New32a()
		_, _ = h.Write([]byte(key + " " + m.VM)) // Writing to a hash never fails.
		hashes[m.Key()] = h.Sum32()
		penalty := 0
		if c.queue(m).isUnresponsive() {
			penalty += 10
		}
		if c.queue(m).refusesWrites() {
			penalty += 4 // More than the distance, so that a member with a full disk is not in the first quorum.
		}
		if !core.Contains(v.CurrentSet(), m.Key()) {
			penalty += 5
		}
		if m.DataCentre != c.cfg.DataCentre {
			penalty++
		}
		if c.cfg.RegionOf(m.DataCentre) != c.cfg.Region {
			penalty++
		}
		rank[m.Key()] = penalty
	}
	sort.SliceStable(members, func(i, j int) bool {
		a, b := members[i].Key(), members[j].Key()
		if rank[a] != rank[b] {
			return rank[a] < rank[b]
		}
		return hashes[a] < hashes[b]
	})
	return members
}

// firstQuorumSize returns the smallest number of leading members that can store a write and together have all earlier
// writes.
func firstQuorumSize(v core.View, members []core.Member) int {
	included := map[string]bool{}
	for i, m := range members {
		included[m.Key()] = true
		if v.IsWriteComplete(included) && v.IsReadComplete(included) {
			return i + 1
		}
	}
	return len(members)
}

func (c *Client) hedgeDelay(members []core.Member) time.Duration {
	delay := minHedgeDelay
	for _, m := range members {
		delay = max(delay, hedgeLatencyFactor*c.queue(m).latency())
	}
	return min(delay, batchTimeout/2)
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

// BeginTurn charges the upper bound of a turn to its program. If previousTurn is set, it also reads the chain that ends with
// that turn. The result has all charges of the program that completed before, and the chain, newest turn first. The
// function cached returns a turn that the caller already has, so that it is not read from the replicas. The error is an
// ErrNoQuorum with a Failure.
func (c *Client) BeginTurn(ctx context.Context, program string, charge *core.Charge, previousTurn string, retention time.Duration, cached func(id string) (replica.Turn, bool)) (BeginResult, error) {
	var ops []replica.Op
	if charge != nil {
		ops = append(ops, replica.Op{Kind: replica.OpCharge, Program: program, Charge: *charge, RetainMS: retention.Milliseconds()})
	}
	result := &BeginResult{Ledger: core.Ledger{}, ledgers: map[string]core.Ledger{}}
	found := map[string]replica.Turn{}
	firstMissing, complete := result.followChain(previousTurn, cached)
	chargeOps := ops
	if !complete {
		ops = append(ops[:len(ops):len(ops)], replica.Op{Kind: replica.OpReadChain, From: firstMissing})
	}
	// The nearest replica usually has the whole chain. At first, only this replica is queried for it, since chains are most
	// of the transferred bytes.
	req := quorumRequest{key: program, ops: ops, otherOps: chargeOps}
	// isConclusive reports whether the request can stop: a turn that none of the given members has is certainly missing, or
	// this request cannot return more turns.
	isConclusive := func(core.View, map[string]bool) bool { return true }
	for len(req.ops) > 0 {
		req.isDone = func(v core.View, results map[string][]replica.Result) bool {
			isCharged, readMembers := result.addResults(v, results, req.ops, found)
			if !isCharged || len(readMembers) == 0 && !complete {
				return false
			}
			_, complete := result.followChain(previousTurn, lookupFoundOrCached(cached, found))
			return complete || isConclusive(v, readMembers)
		}
		if err := c.runRequest(ctx, req); err != nil {
			return BeginResult{}, err
		}
		requested := firstMissing
		firstMissing, complete = result.followChain(previousTurn, lookupFoundOrCached(cached, found))
		if complete {
			break
		}
		if len(req.otherOps) == len(req.ops) && firstMissing == requested {
			result.MissingTurn = firstMissing
			break
		}
		// A replica need not have the whole chain, as each turn is stored by a quorum of its own. The remaining chain is
		// read from the first missing turn on.
		remainingOps := []replica.Op{{Kind: replica.OpReadChain, From: firstMissing}}
		req = quorumRequest{key: program, ops: remainingOps, otherOps: remainingOps}
		isConclusive = core.View.IsReadComplete
	}
	return *result, nil
}

// addResults adds the results of the replicas. It reports whether a quorum has stored the charge and returned all earlier
// ones, and which replicas have responded to the read of the chain.
func (r *BeginResult) addResults(v core.View, responses map[string][]replica.Result, ops []replica.Op, found map[string]replica.Turn) (isCharged bool, readMembers map[string]bool) {
	hasCharge := false
	stored, readMembers := map[string]bool{}, map[string]bool{}
	for i, op := range ops {
		hasCharge = hasCharge || op.Kind == replica.OpCharge
		for key, results := range responses {
			if i >= len(results) || results[i].Failed {
				continue
			}
			if op.Kind == replica.OpCharge {
				stored[key] = true
				r.addLedger(key, results[i].Charges)
				continue
			}
			readMembers[key] = true
			for _, t := range results[i].Turns {
				found[t.ID] = t
			}
		}
	}
	return !hasCharge || v.IsWriteComplete(stored) && v.IsReadComplete(stored), readMembers
}

// addLedger adds the charges that a member returned.
func (r *BeginResult) addLedger(key string, charges []core.Charge) {
	ledger := core.Ledger{}
	for _, c := range charges {
		r.Ledger.Add(c)
		ledger.Add(c)
	}
	r.ledgers[key] = ledger
}

// ChargesToSpread returns the charges that some member of the quorum lacked. A member that stores no further charge of the
// program drops its ledger when the retention ends, so these must be stored by a write quorum again while others still have
// them.
func (r *BeginResult) ChargesToSpread() []core.Charge {
	var lacking []core.Charge
	for _, c := range r.Ledger {
		for _, ledger := range r.ledgers {
			if existing, ok := ledger[c.Turn]; !ok || existing.Merge(c) != existing {
				lacking = append(lacking, c)
				break
			}
		}
	}
	return lacking
}

func lookupFoundOrCached(cached func(string) (replica.Turn, bool), found map[string]replica.Turn) func(string) (replica.Turn, bool) {
	return func(id string) (replica.Turn, bool) {
		if t, ok := found[id]; ok {
			return t, true
		}
		return cached(id)
	}
}

// BeginResult is the stored state of a program at the start of a turn.
type BeginResult struct {
	Ledger      core.Ledger
	Chain       []replica.Turn // Newest first.
	MissingTurn string         // First turn of the chain that does not exist; empty if the chain is complete.

	ledgers map[string]core.Ledger // The charges that each member of the quorum returned, by its key.
}

// followChain collects the chain from the turns that lookup finds. It returns the first turn that is missing.
func (r *BeginResult) followChain(previousTurn string, lookup func(id string) (replica.Turn, bool)) (firstMissing string, complete bool) {
	r.Chain = nil
	for id := previousTurn; id != ""; {
		t, ok := lookup(id)
		if !ok {
			return id, false
		}
		r.Chain = append(r.Chain, t)
		id = t.Previous
	}
	return "", true
}

// readChain returns the chain that ends with a turn, newest turn first.
type readChain func(ctx context.Context, last string) ([]replica.Turn, error)

// StoreTurn stores a complete turn, and settles its charge unless that is nil. It returns nil when a write quorum has both on
// disk, and each member of the quorum also stores the whole chain that the turn continues. Otherwise a member would keep an
// earlier turn only for that turn's own retention, although it is needed for as long as the new one. While there is no
// quorum, StoreTurn retries until the context ends: the caller has the whole turn already, and storing it again has no
// further effect. The function cached returns a turn that the caller already has.
func (c *Client) StoreTurn(ctx context.Context, turn *replica.Turn, program string, charge *core.Charge, retention time.Duration, cached func(id string) (replica.Turn, bool)) error {
	return c.storeTurn(ctx, turn, program, charge, retention, func(ctx context.Context, last string) ([]replica.Turn, error) {
		return wholeChain(c.BeginTurn(ctx, program, nil, last, 0, cached))
	})
}

// wholeChain returns the chain in the result of BeginTurn. It fails if a turn is missing.
func wholeChain(r BeginResult, err error) ([]replica.Turn, error) {
	if err == nil && r.MissingTurn != "" {
		err = errors.Newf("turn %s of the chain does not exist", r.MissingTurn)
	}
	return r.Chain, err
}

func (c *Client) storeTurn(ctx context.Context, turn *replica.Turn, program string, charge *core.Charge, retention time.Duration, read readChain) error {
	op := replica.Op{Kind: replica.OpStore, Turn: turn, RetainMS: retention.Milliseconds()}
	turn.SetSizes()
	if charge != nil {
		op.Program, op.Charge = program, *charge
	}
	return retryStore(ctx, func() error {
		var view core.View
		var gaps map[string]string // Newest missing turn of the chain, by the key of a member that has stored the turn.
		ops := []replica.Op{op}
		err := c.runRequest(ctx, quorumRequest{key: program, ops: ops, otherOps: ops, isDone: func(v core.View, responses map[string][]replica.Result) bool {
			stored, whole := map[string]bool{}, map[string]bool{}
			view, gaps = v, map[string]string{}
			for key, results := range responses {
				stored[key] = isStored(results, ops)
				whole[key] = stored[key] && results[0].Missing == ""
				if stored[key] && !whole[key] {
					gaps[key] = results[0].Missing
				}
			}
			if v.IsWriteComplete(whole) {
				gaps = nil
				return true
			}
			return v.IsWriteComplete(stored)
		}})
		if err != nil || len(gaps) == 0 {
			return err
		}
		return c.fillChains(ctx, view, gaps, turn, retention, read)
	})
}

// StoreCharges stores charges of a program. It returns nil when a write quorum has them on disk. It retries like StoreTurn.
func (c *Client) StoreCharges(ctx context.Context, program string, charges []core.Charge, retention time.Duration) error {
	ops := make([]replica.Op, 0, len(charges))
	for _, charge := range charges {
		ops = append(ops, replica.Op{Kind: replica.OpStore, Program: program, Charge: charge, RetainMS: retention.Milliseconds()})
	}
	r := quorumRequest{key: program, ops: ops, otherOps: ops, isDone: func(v core.View, responses map[string][]replica.Result) bool {
		stored := map[string]bool{}
		for key, results := range responses {
			stored[key] = isStored(results, ops)
		}
		return v.IsWriteComplete(stored)
	}}
	return retryStore(ctx, func() error { return c.runRequest(ctx, r) })
}

// isStored reports whether a member has executed all operations.
func isStored(results []replica.Result, ops []replica.Op) bool {
	return len(results) == len(ops) && !slices.ContainsFunc(results, func(r replica.Result) bool { return r.Failed })
}

// hasRefusedWrite reports whether a member has not made an operation durable.
func hasRefusedWrite(ops []replica.Op, results []replica.Result) bool {
	for i, r := range results {
		if r.Failed && ops[i].Kind != replica.OpReadChain {
			return true
		}
	}
	return false
}

// retryStore calls store until it succeeds or the context ends.
func retryStore(ctx context.Context, store func() error) error {
	for {
		err := store()
		if err == nil || !clock.Sleep(ctx, storeRetryDelay) {
			return err
		}
	}
}

// fillChains copies the turns that members lack in the chain of a turn, until each of them has the whole chain.
func (c *Client) fillChains(ctx context.Context, v core.View, gaps map[string]string, turn *replica.Turn, retention time.Duration, read readChain) error {
	chain, err := read(ctx, turn.Previous)
	if err != nil {
		return errors.Wrapf(err, "read the chain of turn %s", turn.ID)
	}
	filled := make(chan error, len(gaps))
	for _, m := range core.Union(v.Sets) {
		if gap, ok := gaps[m.Key()]; ok {
			go func() { filled <- c.fillChain(ctx, v, m, gap, chain, retention) }()
		}
	}
	for range gaps {
		err = errors.CombineErrors(err, <-filled)
	}
	return err
}

// fillChain copies the turns that a member lacks in a chain. The chain has the newest turn first, and gap is the newest turn
// that the member lacks. The number of turns in a request doubles, since the member may have the turns behind the gap.
func (c *Client) fillChain(ctx context.Context, v core.View, m core.Member, gap string, chain []replica.Turn, retention time.Duration) error {
	for count := 1; gap != ""; count = min(2*count, maxBatchOps) {
		first := slices.IndexFunc(chain, func(t replica.Turn) bool { return t.ID == gap })
		if first < 0 {
			return errors.Newf("turn %s, which replica %s lacks, is not in the rest of the chain", gap, m.VM)
		}
		chain = chain[first:]
		var ops []replica.Op
		for _, t := range chain[:min(count, len(chain))] {
			ops = append(ops, replica.Op{Kind: replica.OpStore, Turn: &t, RetainMS: retention.Milliseconds()})
		}
		results, err := c.executeOn(ctx, v, m, ops)
		if err != nil {
			return err
		}
		c.copiedChainTurns.Add(len(ops))
		gap, chain = results[0].Missing, chain[len(ops):]
	}
	return nil
}

// executeOn executes operations on one member at the epoch of the view. It fails unless the member has executed all of them.
func (c *Client) executeOn(ctx context.Context, v core.View, m core.Member, ops []replica.Op) ([]replica.Result, error) {
	responses := make(chan memberResponse, 1)
	c.queue(m).submit(&job{ops: ops, epoch: v.Epoch, member: m, responses: responses})
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case r := <-responses:
		if r.err == nil && !isStored(r.results, ops) {
			r.err = errors.Newf("replica %s has not executed the operations", m.VM)
		}
		return r.results, r.err
	}
}

// memberQueue queues the operations for one replica and sends them in batches. It is closed when the view no longer contains
// the member, or when the member's disk was replaced.
type memberQueue struct {
	client *Client
	member core.Member
	jobs   chan *job
	ctx    context.Context // Ends when the queue is closed.
	cancel context.CancelFunc

	mu                sync.Mutex
	unresponsive      bool      // The last request failed, and no probe has succeeded since.
	unresponsiveSince time.Time // When the first request failed.
	diskReplaced      bool      // The member's address serves a different disk.
	closed            bool
	refusedWriteAt    time.Time // When the member last did not make a write durable.
	meanLatency       time.Duration
	inFlight          int       // Requests in flight.
	lastProgress      time.Time // When the replica last responded, or when the oldest request in flight was sent.
	viewToSend        core.View // Attached to the next batch.
}

type job struct {
	ops       []replica.Op
	epoch     uint64
	member    core.Member
	responses chan memberResponse
}

func newMemberQueue(c *Client, m core.Member) *memberQueue {
	q := &memberQueue{client: c, member: m, jobs: make(chan *job, queueCapacity)}
	q.ctx, q.cancel = context.WithCancel(c.ctx)
	for range sendersPerQueue {
		go q.runSender()
	}
	return q
}

// close stops the senders. Pending and later operations fail with errQueueClosed.
func (q *memberQueue) close() {
	q.mu.Lock()
	if !q.unresponsive {
		q.unresponsiveSince = time.Now()
	}
	q.unresponsive, q.closed = true, true
	q.mu.Unlock()
	q.cancel()
}

// markDiskReplaced closes the queue of a member whose disk was replaced.
func (q *memberQueue) markDiskReplaced() {
	q.mu.Lock()
	isNew := !q.diskReplaced && !q.closed
	q.diskReplaced = true
	q.mu.Unlock()
	q.close()
	if isNew {
		q.client.cfg.Log.Warn("replica disk was replaced", "replica", q.member.VM, "disk", q.member.Disk, "address", q.member.Address,
			"view", q.client.View().Version)
	}
}

func (q *memberQueue) submit(j *job) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		j.responses <- memberResponse{member: q.member, ops: j.ops, err: errQueueClosed}
		return
	}
	select {
	case q.jobs <- j:
	default:
		j.responses <- memberResponse{member: q.member, ops: j.ops, err: errors.New("request queue of the replica is full")}
	}
}

func (q *memberQueue) isUnresponsive() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.unresponsive
}

func (q *memberQueue) onRefusedWrite() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.refusedWriteAt = time.Now()
}

// refusesWrites reports whether the member, which responds, has lately refused a write, as with a full disk.
func (q *memberQueue) refusesWrites() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return time.Since(q.refusedWriteAt) < refusedWriteDuration
}

func (q *memberQueue) latency() time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.meanLatency
}

// isStalled reports whether requests are in flight and the replica has not responded for several times its mean latency.
func (q *memberQueue) isStalled() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.inFlight > 0 && time.Since(q.lastProgress) > max(minHedgeDelay, hedgeLatencyFactor*q.meanLatency)
}

func (q *memberQueue) attachView(v core.View) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.viewToSend = v
}

func (q *memberQueue) runSender() {
	for {
		var first *job
		select {
		case <-q.ctx.Done():
			q.failPending()
			return
		case first = <-q.jobs:
		}
		jobs := []*job{first}
		count := len(first.ops)
	fill:
		for count < maxBatchOps {
			select {
			case j := <-q.jobs:
				jobs = append(jobs, j)
				count += len(j.ops)
			default:
				break fill
			}
		}
		q.sendByEpoch(jobs)
	}
}

// failPending fails the operations that are queued when the queue is closed.
func (q *memberQueue) failPending() {
	for {
		select {
		case j := <-q.jobs:
			j.responses <- memberResponse{member: q.member, ops: j.ops, err: errQueueClosed}
		default:
			return
		}
	}
}

// sendByEpoch sends the jobs of each epoch as one batch, one batch after the other.
func (q *memberQueue) sendByEpoch(jobs []*job) {
	for len(jobs) > 0 {
		epoch := jobs[0].epoch
		var batch, remaining []*job
		for _, j := range jobs {
			if j.epoch == epoch {
				batch = append(batch, j)
			} else {
				remaining = append(remaining, j)
			}
		}
		q.sendBatch(epoch, batch)
		jobs = remaining
	}
}

func (q *memberQueue) sendBatch(epoch uint64, jobs []*job) {
	b := replica.Batch{Epoch: epoch, Disk: q.member.Disk}
	for _, j := range jobs {
		b.Ops = append(b.Ops, j.ops...)
	}
	q.mu.Lock()
	if q.viewToSend.Epoch == epoch {
		b.View = q.viewToSend
	}
	sentAt := time.Now()
	if q.inFlight == 0 {
		q.lastProgress = sentAt
	}
	q.inFlight++
	q.mu.Unlock()
	response, err := q.postBatch(b)
	duration := time.Since(sentAt)
	if err == nil && response.View == nil && len(response.Results) != len(b.Ops) {
		err = errors.Newf("replica returned %d results for %d operations", len(response.Results), len(b.Ops))
	}
	q.recordResult(duration, err)
	i := 0
	for _, j := range jobs {
		memberResult := memberResponse{member: q.member, ops: j.ops, otherView: response.View, err: err}
		if err == nil && response.View == nil {
			memberResult.results = response.Results[i : i+len(j.ops)]
			i += len(j.ops)
		}
		j.responses <- memberResult
	}
}

func (q *memberQueue) recordResult(duration time.Duration, err error) {
	if errors.Is(err, errDiskReplaced) {
		q.markDiskReplaced()
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.inFlight--
	if err == nil {
		q.lastProgress = time.Now()
		q.meanLatency += (duration - q.meanLatency) / 8
		return
	}
	if q.unresponsive {
		return // A closed queue is marked as unresponsive as well.
	}
	q.unresponsive, q.unresponsiveSince = true, time.Now()
	q.client.cfg.Log.Warn("replica does not answer", "replica", q.member.VM, "took", duration, "error", err)
	go q.probeUntilResponsive()
}

// probeUntilResponsive probes an unresponsive replica until it responds or the queue is closed.
func (q *memberQueue) probeUntilResponsive() {
	startedAt := time.Now()
	for clock.Sleep(q.ctx, probeInterval) {
		err := q.probeOnce()
		if errors.Is(err, errDiskReplaced) {
			q.markDiskReplaced()
			return
		}
		if err != nil {
			continue // The first failure has been logged.
		}
		q.mu.Lock()
		q.unresponsive = q.closed
		q.mu.Unlock()
		q.client.cfg.Log.Info("replica responds again", "replica", q.member.VM, "after", time.Since(startedAt))
		return
	}
}

func (q *memberQueue) probeOnce() error {
	ctx, cancel := context.WithTimeout(q.ctx, probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+q.member.Address+replica.PathProbe+"?disk="+url.QueryEscape(q.member.Disk), nil)
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	resp, err := q.client.cfg.Client.Do(req)
	if err != nil {
		return err
	}
	if err := resp.Body.Close(); err != nil {
		return err
	}
	if resp.StatusCode == http.StatusMisdirectedRequest {
		return errDiskReplaced
	}
	if resp.StatusCode != http.StatusNoContent {
		return errors.Newf("unexpected status %d", resp.StatusCode)
	}
	return nil
}

func (q *memberQueue) postBatch(b replica.Batch) (replica.BatchResponse, error) {
	ctx, cancel := context.WithTimeout(q.ctx, batchTimeout)
	defer cancel()
	raw, err := b.Encode()
	if err != nil {
		return replica.BatchResponse{}, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+q.member.Address+replica.PathBatch, bytes.NewReader(raw))
	if err != nil {
		return replica.BatchResponse{}, errors.Wrap(err, "build request")
	}
	resp, err := q.client.cfg.Client.Do(req)
	if err != nil {
		return replica.BatchResponse{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusMisdirectedRequest {
		return replica.BatchResponse{}, errDiskReplaced
	}
	if resp.StatusCode != http.StatusOK {
		return replica.BatchResponse{}, errors.Newf("unexpected status %d", resp.StatusCode)
	}
	body, err := transport.ReadAll(resp.Body, maxResponseBytes)
	if err != nil {
		return replica.BatchResponse{}, errors.Wrap(err, "read response")
	}
	return replica.DecodeBatchResponse(body)
}
