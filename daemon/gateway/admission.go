package gateway

import (
	"math/rand/v2"
	"time"

	"jackdawbay.dev/api/errkind"
	"jackdawbay.dev/core/admission"
	"jackdawbay.dev/core/placement"
)

// Limits of the set of programs whose requests were rejected.
const (
	maxRejectedPrograms = 1024
	rejectedMaxAge      = 10 * time.Second // A caller returns within seconds.
)

// Causes of rejections besides those of admission.Queue.
const (
	causeDeadline admission.Cause = "deadline"
	causeStopping admission.Cause = "stopping"
)

// managesOverload reports whether the queue, the retry budget and the placement for many gateways are enabled.
func (c *Config) managesOverload() bool { return c.ManageOverload }

func (g *Gateway) managesOverload() bool { return g.cfg.managesOverload() }

// serviceQueue holds the requests that wait for an upstream of a service. It is guarded by the mutex of upstreamGroups.
type serviceQueue struct {
	*admission.Queue
	nextID   uint64
	pending  map[uint64]*pendingCall
	timer    *time.Timer
	rejected map[string]time.Time // Programs whose requests were rejected lately.
}

// pendingCall is a request that waits.
type pendingCall struct {
	id           uint64
	class        string
	request      placement.Request
	organisation string
	result       chan admissionResult // Has space for the one result.
}

// admissionResult is how a request got through the queue. The zero value belongs to a request that did not wait.
type admissionResult struct {
	choice   placement.Choice
	chosen   bool
	cause    admission.Cause // Set if the request was rejected.
	after    time.Duration   // Retry-After of a rejection.
	decision admission.Decision
	waited   time.Duration
	overdue  bool
}

// logAttrs returns the fields of the log line of a request that waited or was rejected.
func (r admissionResult) logAttrs() []any {
	if !r.decision.Queued && r.cause == "" {
		return nil
	}
	attrs := []any{"position", r.decision.Position, "expected_wait", r.decision.EstimatedWait.Round(time.Millisecond),
		"slack", r.decision.Slack.Round(time.Millisecond), "waited", r.waited.Round(time.Millisecond)}
	if r.cause != "" {
		return append(attrs, "not_admitted", string(r.cause), "retry_after", r.after.Round(time.Millisecond))
	}
	return append(attrs, "overdue", r.overdue)
}

func (g *upstreamGroups) queue(service string) *serviceQueue {
	q, ok := g.queues[service]
	if !ok {
		q = &serviceQueue{Queue: admission.NewQueue(rand.Float64), pending: map[uint64]*pendingCall{}, rejected: map[string]time.Time{}}
		g.queues[service] = q
	}
	return q
}

// waiter describes the request for its place in the queue.
func (c *call) waiter(now time.Time, q *serviceQueue) admission.Waiter {
	startsProgram := c.isEngineRequest() && c.meta.Program != "" && c.meta.PreviousTurn == "" && c.meta.LastEventID == ""
	w := admission.Waiter{
		ID: q.nextID, Priority: c.priority(), Organisation: c.organisationName(), Continues: !startsProgram || q.hasReturned(now, c.meta.Program),
		Arrived: c.arrivedAt, Deadline: c.deadline, WorkLeft: q.Work(),
	}
	if c.meta.FinishWithin > 0 {
		w.FinishBy = c.arrivedAt.Add(c.meta.FinishWithin)
	}
	return w
}

// isEngineRequest reports whether the request generates a turn. A request of a program to a plain service is a tool call.
func (c *call) isEngineRequest() bool { return c.route.HasPromptParts || c.route.StoreTurns }

// chooseOrWait returns the upstream for a request. If all upstreams are full, the request waits for one, or is rejected.
func (c *call) chooseOrWait(r placement.Request) (placement.Choice, bool) {
	if !c.g.managesOverload() || len(c.mayHaveRun) > 0 {
		return c.g.upstreams.choose(c.service, r) // A request that may have run has been admitted before.
	}
	if r.Version.Applies && c.g.upstreams.hasSeveralVersions(c.service) {
		// The stream has been admitted before, and a waiter that few upstreams may get would hold up all behind it.
		return c.g.upstreams.choose(c.service, r)
	}
	p, result := c.enqueue(r)
	if p != nil {
		c.g.stats.waiting.Inc()
		result = c.await(p, result.decision)
		c.g.stats.waiting.Dec()
		c.g.stats.observeWait(p.class, result.waited, result.overdue)
	}
	if p != nil || result.cause != "" {
		c.admission = result
	}
	if result.cause != "" {
		c.g.stats.countNotAdmitted(result.cause)
	}
	return result.choice, result.chosen
}

// enqueue chooses an upstream for a request, adds it to the queue, or rejects it.
func (c *call) enqueue(r placement.Request) (*pendingCall, admissionResult) {
	g := c.g.upstreams
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	group, q := g.group(c.service), g.queue(c.service)
	group.SetBalanced(true)
	if q.Len() == 0 {
		choice, ok := group.Choose(now, r)
		if !ok || !choice.Full {
			if ok {
				g.start(now, c.service, choice.Upstream.ID, r.Parts, c.organisationName())
			}
			return nil, admissionResult{choice: choice, chosen: ok}
		}
		r.Counted = true
	}
	q.nextID++
	w := c.waiter(now, q)
	p := &pendingCall{id: w.ID, class: w.Class(), request: r, organisation: w.Organisation, result: make(chan admissionResult, 1)}
	decision := q.Enqueue(now, w)
	if !decision.Queued {
		if choice, ok := g.chooseWithRoom(now, c.service, r); ok {
			g.start(now, c.service, choice.Upstream.ID, r.Parts, c.organisationName())
			return nil, admissionResult{choice: choice, chosen: true}
		}
		q.noteRejected(now, c.meta.Program)
		return nil, admissionResult{cause: decision.Cause, after: decision.RetryAfter, decision: decision}
	}
	q.pending[p.id] = p
	g.admit(now, c.service, q)
	return p, admissionResult{decision: decision}
}

// chooseWithRoom chooses among all upstreams that have room, also those that fail many requests.
func (g *upstreamGroups) chooseWithRoom(now time.Time, service string, r placement.Request) (placement.Choice, bool) {
	r.UseFailing, r.Counted = true, true
	choice, ok := g.group(service).Choose(now, r)
	return choice, ok && !choice.Full
}

// await waits until the request is admitted or rejected, its caller leaves, its time is over, or the daemon stops before its
// deadline.
func (c *call) await(p *pendingCall, decision admission.Decision) admissionResult {
	waitingSince := time.Now()
	stopping := c.g.stopping
	var result admissionResult
	for done := false; !done; {
		select {
		case result = <-p.result:
			done = true
		case <-c.ctx.Done():
			result, done = c.leaveQueue(p, causeDeadline), true
		case <-stopping:
			stopping = nil
			if c.g.exceedsStopDeadline(c.deadline) {
				result, done = c.leaveQueue(p, causeStopping), true
			}
		}
	}
	result.decision, result.waited = decision, time.Since(waitingSince)
	return result
}

// leaveQueue removes a request from the queue. If it has been admitted meanwhile, its upstream is released.
func (c *call) leaveQueue(p *pendingCall, cause admission.Cause) admissionResult {
	g := c.g.upstreams
	g.mu.Lock()
	q := g.queue(c.service)
	left := q.Leave(p.id)
	delete(q.pending, p.id)
	after := q.RetryAfter()
	g.mu.Unlock()
	if !left {
		if result := <-p.result; result.chosen {
			g.recordEnd(c.service, result.choice.Upstream.ID, false, 0)
		}
	}
	return admissionResult{cause: cause, after: after}
}

// admit sends waiters as far as upstreams have room, those that have been held for too long, and rejects those that can no longer
// be served in time.
func (g *upstreamGroups) admit(now time.Time, service string, q *serviceQueue) {
	if q.Len() == 0 {
		return
	}
	group := g.group(service)
	for {
		w, ok := q.First()
		if !ok {
			break
		}
		p := q.pending[w.ID]
		choice, ok := group.Choose(now, p.request)
		p.request.Counted = true
		if ok && choice.Full {
			break
		}
		q.Take(now)
		g.resolve(now, service, q, w.ID, admissionResult{choice: choice, chosen: ok})
	}
	for _, w := range q.Expired(now) {
		choice, ok := g.chooseWithRoom(now, service, q.pending[w.ID].request)
		if !ok {
			g.resolve(now, service, q, w.ID, admissionResult{cause: admission.CauseHeld, after: q.RetryAfter()})
			continue
		}
		g.resolve(now, service, q, w.ID, admissionResult{choice: choice, chosen: true})
	}
	for _, a := range q.Next(now) {
		r := q.pending[a.Waiter.ID].request
		r.UseFailing = true
		choice, ok := group.Choose(now, r)
		g.resolve(now, service, q, a.Waiter.ID, admissionResult{choice: choice, chosen: ok, overdue: true})
	}
	g.scheduleCheck(now, service, q)
}

// scheduleCheck sets the timer for the next decision that does not depend on an event.
func (g *upstreamGroups) scheduleCheck(now time.Time, service string, q *serviceQueue) {
	at, ok := q.NextCheck(now)
	if !ok {
		if q.timer != nil {
			q.timer.Stop()
		}
		return
	}
	if q.timer == nil {
		q.timer = time.AfterFunc(at.Sub(now), func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.admit(time.Now(), service, q)
		})
		return
	}
	q.timer.Reset(at.Sub(now))
}

// resolve gives a waiter its result. An admitted request is counted at its upstream at once, so that the next decision sees it.
func (g *upstreamGroups) resolve(now time.Time, service string, q *serviceQueue, id uint64, result admissionResult) {
	p := q.pending[id]
	delete(q.pending, id)
	if result.chosen {
		g.start(now, service, result.choice.Upstream.ID, p.request.Parts, p.organisation)
	}
	p.result <- result
}

func (g *upstreamGroups) admitAfterEnd(now time.Time, service string, duration time.Duration) {
	if q, ok := g.queues[service]; ok {
		q.RecordEnd(duration)
		g.admit(now, service, q)
	}
}

func (g *upstreamGroups) admitAll(now time.Time) {
	for service, q := range g.queues {
		g.admit(now, service, q)
	}
}

// noteRejected records that a request of a program was rejected.
func (q *serviceQueue) noteRejected(now time.Time, program string) {
	if program == "" {
		return
	}
	if len(q.rejected) >= maxRejectedPrograms {
		for p, at := range q.rejected {
			if now.Sub(at) > rejectedMaxAge {
				delete(q.rejected, p)
			}
		}
	}
	if len(q.rejected) < maxRejectedPrograms {
		q.rejected[program] = now
	}
}

// hasReturned reports whether a request of the program was rejected lately.
func (q *serviceQueue) hasReturned(now time.Time, program string) bool {
	at, ok := q.rejected[program]
	return ok && now.Sub(at) <= rejectedMaxAge
}

// respondNotAdmitted sends the error response for a request that was not admitted. It reports false for other requests.
func (c *call) respondNotAdmitted() bool {
	if c.admission.cause == "" {
		return false
	}
	if c.r.Context().Err() != nil {
		c.abort("caller_gone")
	}
	if c.admission.cause == causeStopping || c.g.stopped != nil && c.g.stopped.Err() != nil {
		c.respondError(errkind.ShuttingDown, "", retryAfterShutdown)
		return true
	}
	c.respondError(errkind.Overloaded, "", c.admission.after)
	return true
}
