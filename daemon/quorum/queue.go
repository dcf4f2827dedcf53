package quorum

import (
	"bytes"
	"context"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	core "jackdawbay.dev/core/replica"
	"jackdawbay.dev/daemon/clock"
	"jackdawbay.dev/daemon/replica"
)

// errDiskReplaced means that the member's address now serves a different disk. The identity of a disk is generated when the
// disk is empty, so the member's own disk cannot return to that address.
var errDiskReplaced = errors.New("replica address serves a different disk")

// errQueueClosed means that the queue of the member is closed and sends no more requests.
var errQueueClosed = errors.New("request queue of the replica is closed")

// maxResponseBytes limits the response of a replica. One turn has at most 16 MiB. A batch of maxBatchOps chains, each of
// eight turns of 19 KB, has 10 MB. These are the longest chains that the deployments describe.
const maxResponseBytes = 32 << 20

// maxLargeResponses is the number of responses above transport.SmallBodyBytes that all clients of a process read at the same time. The
// smallest VM has 112 MB.
const maxLargeResponses = 1

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
	body, err := q.client.cfg.bodies.Read(ctx, resp, maxResponseBytes)
	if err != nil {
		return replica.BatchResponse{}, errors.Wrap(err, "read response")
	}
	return replica.DecodeBatchResponse(body)
}
