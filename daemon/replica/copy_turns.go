package replica

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"jackdawbay.dev/core/replica"
	"jackdawbay.dev/daemon/clock"
	"jackdawbay.dev/daemon/transport"
)

// Limits of the turns in flight of one copy. A VM with the replica role has 144 MB.
const (
	requestsPerSource     = 3         // Concurrent requests to one source.
	maxCopyRequests       = 6         // Concurrent requests to all sources, each with copyPieceBytes and until its turns are stored.
	initialTurnsPerPiece  = 40        // Turns in a request before their mean size is known.
	regionLinkBytesPerSec = 3_750_000 // 30 Mbit/s: half of the link between regions of larger deployments, all of that of smaller ones.
	copyLogInterval       = time.Second
	sourceBusyDelay       = 100 * time.Millisecond // Delay after a source has refused a request because it has too many.
)

// copyTurns fetches the turns that this replica does not have and that are not yet stored by a write quorum of the last
// set, and the needed ones of the progress. It fetches from all sources in its region at the same time, and from those of other
// regions what no other source has. It continues without a failed source as long as the remaining ones are a read quorum of
// each earlier set.
func (m *Membership) copyTurns(ctx context.Context, v replica.View, progress *copyProgress) error {
	regionLink := rate.NewLimiter(regionLinkBytesPerSec, copyPieceBytes)
	for {
		c := m.newTurnCopy(v, progress)
		m.Server.turnsToCopy.Store(int64(c.left))
		if c.left == 0 {
			return nil
		}
		c.regionLink = regionLink
		if err := c.run(ctx); err != nil {
			return err
		}
	}
}

// turnCopy is one pass over the turns that a copy has to fetch. Turns that become needed in a pass are fetched by the next one.
type turnCopy struct {
	m             *Membership
	view          replica.View
	regionLink    *rate.Limiter
	regionRequest chan struct{} // Has room for one request to another region. Requests of callers wait at the link behind its response.
	slots         chan struct{} // One for each request, until its turns are stored.
	oversized     chan struct{} // Has room for one request for a turn that is larger than copyPieceBytes, until it is stored.
	cancel        context.CancelFunc

	mu        sync.Mutex
	progress  *copyProgress
	queues    []*sourceQueue
	requested map[string]bool // Turns of requests in flight, and those that were stored or no longer exist.
	left      int             // Turns of the pass that are not stored.
	turns     int             // Stored turns.
	bytes     int             // Their size.
	err       error           // First error that ends the copy.
}

// sourceQueue has the turns that a source is to be asked for, in the order of its inventory.
type sourceQueue struct {
	source  replica.Member
	ids     []string
	removed bool // The source has failed.
}

// newTurnCopy returns a pass over the turns that are to be fetched at this time.
func (m *Membership) newTurnCopy(v replica.View, progress *copyProgress) *turnCopy {
	c := &turnCopy{
		m: m, view: v, regionRequest: make(chan struct{}, 1), slots: make(chan struct{}, maxCopyRequests), oversized: make(chan struct{}, 1),
		progress: progress, requested: map[string]bool{},
	}
	isPending := func(id string) bool {
		sources := progress.turnSources[id]
		return len(sources) > 0 && !m.Server.state.hasTurn(id) && (progress.needed[id] || !v.IsStoredByQuorum(sources))
	}
	for id := range progress.turnSources {
		if isPending(id) {
			c.left++
		}
	}
	for _, source := range replica.Union(v.Sets) {
		inRegion := func(other replica.Member) bool { return m.distance(other) < distanceOtherRegion }
		q := &sourceQueue{source: source}
		for _, id := range progress.inOrder[source.Key()] {
			if isPending(id) && (inRegion(source) || !slices.ContainsFunc(progress.turnSources[id], inRegion)) {
				q.ids = append(q.ids, id)
			}
		}
		if len(q.ids) > 0 {
			c.queues = append(c.queues, q)
		}
	}
	return c
}

// run fetches and stores the turns of the pass.
func (c *turnCopy) run(ctx context.Context) error {
	ctx, c.cancel = context.WithCancel(ctx)
	defer c.cancel()
	stopLog := c.logProgress(ctx)
	defer stopLog()
	var workers sync.WaitGroup
	for _, q := range c.queues {
		for range requestsPerSource {
			workers.Go(func() { c.runWorker(ctx, q) })
		}
	}
	workers.Wait()
	if c.err == nil {
		c.err = ctx.Err()
	}
	return c.err
}

// runWorker sends requests to one source, one after another, until its queue is empty or it fails.
func (c *turnCopy) runWorker(ctx context.Context, q *sourceQueue) {
	for {
		select {
		case c.slots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		bytes, more := c.copyPiece(ctx, q)
		<-c.slots
		if !more {
			return
		}
		if c.m.distance(q.source) < distanceOtherRegion {
			continue
		}
		for ; bytes > 0; bytes -= copyPieceBytes {
			_ = c.regionLink.WaitN(ctx, min(bytes, copyPieceBytes)) // Fails only if the context ends.
		}
	}
}

// copyPiece fetches the next turns of a source and stores them. It returns their size and reports whether there may be more.
func (c *turnCopy) copyPiece(ctx context.Context, q *sourceQueue) (bytes int, more bool) {
	ids := c.takeTurns(q)
	if len(ids) == 0 {
		return 0, false
	}
	p, err := c.fetchWhenReady(ctx, q, ids)
	if err == nil && p.idsDone == 0 {
		c.oversized <- struct{}{}
		defer func() { <-c.oversized }()
		p, err = c.fetchPiece(ctx, q, ids[:1], p.neededBytes)
	}
	if err == nil && p.idsDone == 0 {
		err = errors.Newf("replica %s returns no turn of %d bytes", q.source.VM, p.neededBytes)
	}
	if err != nil {
		c.giveBack(q, ids)
		c.onSourceFailure(ctx, q, err)
		return 0, false
	}
	c.giveBack(q, ids[p.idsDone:])
	if len(p.records) > 0 {
		if err := c.m.Server.storeCopied(ctx, p.records); err != nil {
			c.fail(err)
			return 0, false
		}
	}
	c.addStored(ids[:p.idsDone], p)
	return p.bytes, true
}

// fetchWhenReady fetches a piece. While the source has too many such requests, it waits, for copyTimeout at most.
func (c *turnCopy) fetchWhenReady(ctx context.Context, q *sourceQueue, ids []string) (fetchedPiece, error) {
	for start := time.Now(); ; {
		p, err := c.fetchPiece(ctx, q, ids, copyPieceBytes)
		if !errors.Is(err, errSourceBusy) || time.Since(start) > copyTimeout || !clock.Sleep(ctx, sourceBusyDelay) {
			return p, err
		}
	}
}

// errSourceFailed means that a request to a source is not sent because an earlier one has failed.
var errSourceFailed = errors.New("an earlier request to the source failed")

// fetchPiece fetches a piece. It sends one request at a time to other regions, and none if the source fails meanwhile.
func (c *turnCopy) fetchPiece(ctx context.Context, q *sourceQueue, ids []string, maxBytes int) (fetchedPiece, error) {
	if c.m.distance(q.source) == distanceOtherRegion {
		select {
		case c.regionRequest <- struct{}{}:
			defer func() { <-c.regionRequest }()
		case <-ctx.Done():
			return fetchedPiece{}, ctx.Err()
		}
		c.mu.Lock()
		removed := q.removed
		c.mu.Unlock()
		if removed {
			return fetchedPiece{}, errSourceFailed
		}
	}
	p, err := c.m.fetchPiece(ctx, q.source, c.view, ids, maxBytes)
	if err != nil && !errors.Is(err, errSourceBusy) {
		c.onSourceFailure(ctx, q, err) // Before another worker may send the next request to the source.
	}
	return p, err
}

// takeTurns removes the turns of the next request from the queue of a source.
func (c *turnCopy) takeTurns(q *sourceQueue) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if q.removed {
		return nil
	}
	count := initialTurnsPerPiece
	if c.turns > 0 {
		count = min(max(copyPieceBytes/max(c.bytes/c.turns, 1)+1, 1), maxTurnsPerResponse)
	}
	var ids []string
	for len(q.ids) > 0 && len(ids) < count {
		id := q.ids[0]
		q.ids = q.ids[1:]
		switch {
		case c.requested[id]:
		case c.m.Server.state.hasTurn(id): // A gateway has stored it meanwhile.
			c.requested[id] = true
			c.left--
		default:
			c.requested[id] = true
			ids = append(ids, id)
		}
	}
	return ids
}

// giveBack returns turns to the queue of a source that has not sent them.
func (c *turnCopy) giveBack(q *sourceQueue, ids []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range ids {
		delete(c.requested, id)
	}
	q.ids = slices.Concat(ids, q.ids)
}

// addStored records that turns are stored. Those that the source no longer has are expired.
func (c *turnCopy) addStored(ids []string, p fetchedPiece) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range p.records {
		if r.entry.Turn != nil {
			c.progress.needed[r.entry.Turn.Previous] = true
		}
	}
	for _, id := range ids {
		delete(c.progress.turnSources, id)
	}
	c.left -= len(ids)
	c.turns += len(p.records)
	c.bytes += p.bytes
	c.m.Server.turnsToCopy.Store(int64(c.left))
	c.m.Server.copiedTurns.Add(len(p.records))
	c.m.Server.copiedBytes.Add(p.bytes)
}

// onSourceFailure ends the requests to a source, and the copy if the other sources are too few.
func (c *turnCopy) onSourceFailure(ctx context.Context, q *sourceQueue, err error) {
	if ctx.Err() != nil {
		return
	}
	c.mu.Lock()
	isFirst := !q.removed
	if isFirst {
		q.removed = true
		c.progress.removeSource(q.source)
	}
	isReadQuorum, left := isReadQuorumOfEarlierSets(c.view, c.progress.responded), len(q.ids)
	c.mu.Unlock()
	if !isReadQuorum {
		c.fail(errors.Wrapf(err, "fetch turns from %s", q.source.VM))
	} else if isFirst {
		c.m.Log.Warn("cannot fetch turns", "source", q.source.VM, "turns", left, "error", err)
	}
}

// fail ends the copy with an error.
func (c *turnCopy) fail(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err == nil {
		c.err = err
	}
	c.cancel()
}

// logProgress logs the progress of a copy at each copyLogInterval, also while it makes none, until the returned function is
// called.
func (c *turnCopy) logProgress(ctx context.Context) (stop func()) {
	ctx, stop = context.WithCancel(ctx)
	go func() {
		tick := time.NewTicker(copyLogInterval)
		defer tick.Stop()
		var lastTurns, lastBytes int
		last := time.Now()
		for {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
			}
			c.mu.Lock()
			turns, bytes, left, sources := c.turns, c.bytes, c.left, 0
			for _, q := range c.queues {
				if !q.removed && len(q.ids) > 0 {
					sources++
				}
			}
			c.mu.Unlock()
			seconds := time.Since(last).Seconds()
			c.m.Log.Info("copying turns", "view", c.view.Version, "turns", turns, "bytes", bytes, "left", left, "sources", sources,
				"turns_per_s", int(float64(turns-lastTurns)/seconds), "bytes_per_s", int(float64(bytes-lastBytes)/seconds))
			lastTurns, lastBytes, last = turns, bytes, time.Now()
		}
	}()
	return stop
}

// fetchedPiece is the response to a request for turns.
type fetchedPiece struct {
	records     []record
	bytes       int
	idsDone     int // Number of leading IDs of the request that the response answers.
	neededBytes int // Bytes that the next turn needs, if that is more than the limit of the request.
}

// fetchTurns reads turns from another replica, encoded as in its log. It fails if that replica rejects the view.
func (m *Membership) fetchTurns(ctx context.Context, member replica.Member, v replica.View, ids []string) ([]record, error) {
	var records []record
	for maxBytes := copyPieceBytes; len(ids) > 0; {
		p, err := m.fetchPiece(ctx, member, v, ids, maxBytes)
		if err != nil {
			return nil, err
		}
		if p.idsDone == 0 && p.neededBytes <= maxBytes {
			return nil, errors.Newf("replica %s returns no turn", member.Key())
		}
		records, ids = append(records, p.records...), ids[p.idsDone:]
		maxBytes = max(copyPieceBytes, p.neededBytes)
	}
	return records, nil
}

// fetchPiece reads the first of the given turns from another replica, as many as fit in maxBytes.
func (m *Membership) fetchPiece(ctx context.Context, member replica.Member, v replica.View, ids []string, maxBytes int) (fetchedPiece, error) {
	resp, err := m.postWithStallTimeout(ctx, member.Address, PathTurns, CopyRequest{View: v, Disk: member.Disk, TurnIDs: ids, MaxBytes: maxBytes})
	if err != nil {
		return fetchedPiece{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.Header.Get("Content-Type") != "application/octet-stream" {
		return fetchedPiece{}, errors.Newf("replica %s rejected view %d", member.Key(), v.Version)
	}
	var p fetchedPiece
	if p.idsDone, err = numberIn(resp.Header, headerIDsDone, len(ids), len(ids)); err != nil { // A replica of an earlier version answers all IDs.
		return fetchedPiece{}, err
	}
	if p.neededBytes, err = numberIn(resp.Header, headerNeededBytes, 0, maxPieceBytes); err != nil {
		return fetchedPiece{}, err
	}
	limit := &pieceLimit{ctx: resp.Body.(*stallTimerBody).ctx, maxBytes: maxBytes, earlierPieces: m.Server.earlierPieces}
	limit.isEarlierVersion = resp.Header.Get(headerIDsDone) == ""
	defer limit.end()
	body := &countingReader{Reader: resp.Body}
	if p.records, err = readCopiedTurns(body, limit.reserve); err != nil {
		return fetchedPiece{}, err
	}
	p.bytes = body.bytes
	return p, nil
}

// maxEarlierPieceBytes limits the turns of a replica of an earlier version, which sends all requested ones. They are requested by
// their mean size, for 1 MB, and one has up to 32 MB.
const maxEarlierPieceBytes = 64 << 20

// maxLargeEarlierPieces is the number of such responses above the requested size that are read at the same time. A VM with the replica
// role has 144 MB.
const maxLargeEarlierPieces = 1

// pieceLimit bounds the turns of one response.
type pieceLimit struct {
	ctx              context.Context // Context of the request.
	maxBytes         int             // Of the request.
	isEarlierVersion bool            // The source ignores maxBytes.
	earlierPieces    *transport.BodyReader
	release          func() // Set while a response above maxBytes is read.
}

// reserve fails if a response may not have that many bytes. It waits while another large response is read.
func (l *pieceLimit) reserve(bytes int) (err error) {
	switch {
	case bytes <= l.maxBytes || l.release != nil && bytes <= maxEarlierPieceBytes:
		return nil
	case !l.isEarlierVersion:
		return errors.Newf("turns have %d bytes, requested up to %d", bytes, l.maxBytes)
	case bytes > maxEarlierPieceBytes:
		return errors.Newf("turns have %d bytes, limit %d", bytes, maxEarlierPieceBytes)
	}
	l.release, err = l.earlierPieces.Acquire(l.ctx)
	return err
}

func (l *pieceLimit) end() {
	if l.release != nil {
		l.release()
	}
}

// numberIn returns the number in a header, or fallback if there is none. It fails if the number is not between 0 and limit.
func numberIn(h http.Header, name string, fallback, limit int) (int, error) {
	raw := h.Get(name)
	if raw == "" {
		return fallback, nil
	}
	n, err := strconv.Atoi(raw)
	if err != nil || n < 0 || n > limit {
		return 0, errors.Newf("header %s has the value %q, want a number up to %d", name, raw, limit)
	}
	return n, nil
}

// countingReader counts the bytes that are read.
type countingReader struct {
	io.Reader
	bytes int
}

// Read implements io.Reader.
func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.bytes += n
	return n, err
}
