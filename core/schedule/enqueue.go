package schedule

import (
	"time"

	"jackdawbay.dev/api/errkind"
)

const (
	// newProgramQueueShare is the fraction of the queue that first calls of programs may fill. The rest is reserved for
	// programs that have already used engine time.
	newProgramQueueShare = 0.8
	// retryQueueLevel is the fraction of its limit to which the queue should fall before a rejected call is retried.
	retryQueueLevel = 0.75
	minRetryAfter   = 250 * time.Millisecond
	maxRetryAfter   = 5 * time.Minute
	// retryDrainShare is the fraction of the drain rate that is allotted to retries of rejected calls. The rest is left to
	// new calls.
	retryDrainShare = 0.2
	// noEngineRetryAfter is the retry time when no engine serves the model. Loading a model takes longer than a second.
	noEngineRetryAfter = 2 * time.Second
	// maxRankSamples limits the number of tickets sampled to estimate a position in the queue.
	maxRankSamples = 64
)

// Enqueue adds a ticket to the queue. It rejects a ticket with an errkind error; a rejected call has not run.
func (d *Dispatcher) Enqueue(now time.Time, ticket Ticket) error {
	if _, ok := d.items[ticket.ID]; ok {
		return errkind.New(errkind.CallInProgress, "The ticket is queued or granted.")
	}
	if ticket.ID == "" || ticket.Program == "" || ticket.PromptTokens < 0 {
		return errkind.New(errkind.InvalidValue, "A ticket needs an id, a program and a prompt of zero tokens or more.")
	}
	if err := d.checkQueueDepth(now, ticket); err != nil {
		return err
	}
	mq := d.modelQueueFor(modelKey{ticket.Model, ticket.Adapter})
	if mq == nil {
		return errkind.New(errkind.QueueFull, "Too many models and adapters are in use.").WithRetryAfter(maxRetryAfter)
	}
	if mq.slots == 0 {
		e := errkind.New(errkind.UpstreamUnavailable, "No engine has the model ready.")
		return e.WithRetryAfter(noEngineRetryAfter)
	}
	return d.addTicket(now, ticket, mq)
}

// addTicket adds a ticket to its model queue unless its deadline cannot be met.
func (d *Dispatcher) addTicket(now time.Time, ticket Ticket, mq *modelQueue) error {
	if d.keyEpoch.IsZero() {
		d.keyEpoch = now
	}
	if ticket.Enqueued.IsZero() || ticket.Enqueued.After(now) {
		ticket.Enqueued = now
	}
	it := d.allocItem()
	it.Ticket = ticket
	it.modelQueue = mq
	it.class = d.class(ticket.Class)
	it.program = d.programFor(ticket.Program, ticket.Parent, ticket.SpentTokens)
	it.root = it.program.root
	it.key = d.queueKey(it)
	if err := d.checkDeadline(now, it); err != nil {
		d.freeItem(it)
		return err
	}
	it.program.inFlight++
	it.program.ended = false
	d.seq++
	it.seq = d.seq
	it.state = stateQueued
	it.queue = d.waitingQueue(it)
	it.queue.push(it)
	d.items[ticket.ID] = it
	d.waiting++
	it.class.waiting++
	return nil
}

func (d *Dispatcher) checkQueueDepth(now time.Time, ticket Ticket) error {
	depth := d.cfg.QueueDepth
	isRetry := !ticket.Enqueued.IsZero() && now.Sub(ticket.Enqueued) >= minRetryAfter
	if ticket.SpentTokens == 0 && ticket.HistoryTokens == 0 && !isRetry {
		depth = int(float64(depth) * newProgramQueueShare)
	}
	if d.waiting >= max(depth, 1) {
		return d.queueFullError(now, d.waiting, depth)
	}
	c := d.class(ticket.Class)
	if c.limit.QueueDepth > 0 && c.waiting >= c.limit.QueueDepth {
		return d.queueFullError(now, c.waiting, c.limit.QueueDepth)
	}
	return nil
}

// queueFullError returns the error for a full queue with the time at which to retry. Retry times are spread so that
// rejected calls do not all return at once and find the queue full again.
func (d *Dispatcher) queueFullError(now time.Time, waiting, depth int) error {
	rate := d.drainRate()
	excess := float64(waiting) - retryQueueLevel*float64(depth)
	earliest := now.Add(secondsToDuration(max(excess, 0) / rate))
	d.nextRetryAt = laterTime(d.nextRetryAt, earliest).Add(secondsToDuration(1 / (retryDrainShare * rate)))
	if latest := now.Add(maxRetryAfter); d.nextRetryAt.After(latest) {
		d.nextRetryAt = latest
	}
	e := errkind.Newf(errkind.QueueFull, "%d calls wait.", waiting)
	return e.WithRetryAfter(max(d.nextRetryAt.Sub(now), minRetryAfter))
}

func secondsToDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// checkDeadline rejects a ticket that cannot complete before its deadline.
func (d *Dispatcher) checkDeadline(now time.Time, it *item) error {
	if it.Deadline.IsZero() {
		return nil
	}
	remainingSeconds := it.Deadline.Sub(now).Seconds()
	if remainingSeconds <= 0 {
		return errkind.New(errkind.DeadlinePast, "")
	}
	waitSeconds := d.expectedWaitSeconds(it)
	if waitSeconds+d.expectedRunSeconds(it) <= remainingSeconds {
		return nil
	}
	e := errkind.Newf(errkind.DeadlineUnreachable, "The expected wait is %.1f s.", waitSeconds)
	return e.WithRetryAfter(clampRetryAfter(waitSeconds + d.expectedRunSeconds(it) - remainingSeconds))
}

func clampRetryAfter(seconds float64) time.Duration {
	return min(max(secondsToDuration(seconds), minRetryAfter), maxRetryAfter)
}

// expectedWaitSeconds estimates the time until a ticket gets a slot, from the tickets that precede it in its queue.
func (d *Dispatcher) expectedWaitSeconds(it *item) float64 {
	q := d.waitingQueue(it).items
	if len(q) == 0 && d.hasFreeEngine(it.modelQueue) {
		return 0
	}
	step := max(len(q)/maxRankSamples, 1)
	sampled, ahead := 0, 0
	for i := 0; i < len(q); i += step {
		sampled++
		if q[i].key <= it.key {
			ahead++
		}
	}
	rank := 1.0
	if sampled > 0 {
		rank += float64(len(q)) * float64(ahead) / float64(sampled)
	}
	return rank * d.expectedSlotSeconds() / float64(max(it.modelQueue.slots, 1))
}

func (d *Dispatcher) hasFreeEngine(mq *modelQueue) bool {
	for _, e := range d.freeEngines {
		if e.modelQueues.has(mq) {
			return true
		}
	}
	return false
}

func (d *Dispatcher) expectedSlotSeconds() float64 {
	if d.meanSlotSeconds > 0 {
		return d.meanSlotSeconds
	}
	return defaultSlotSeconds
}

// drainRate returns the number of tickets that leave the queue per second when all slots are in use.
func (d *Dispatcher) drainRate() float64 {
	slots := 0
	for _, e := range d.engines {
		if !e.Draining {
			slots += e.Slots
		}
	}
	return float64(max(slots, 1)) / d.expectedSlotSeconds()
}

// Cancel withdraws a waiting ticket. A granted ticket holds its slot until Release, since the engine may still run the
// call.
func (d *Dispatcher) Cancel(id string) {
	it := d.items[id]
	if it == nil || it.state == stateGranted {
		return
	}
	d.removeFromQueue(it)
	d.decrementWaiting(it)
	it.program.inFlight--
	delete(d.items, id)
	d.freeItem(it)
}

func (d *Dispatcher) decrementWaiting(it *item) {
	d.waiting--
	it.class.waiting--
}

func (d *Dispatcher) allocItem() *item {
	n := len(d.itemPool)
	if n == 0 {
		return &item{timerIndex: -1}
	}
	it := d.itemPool[n-1]
	d.itemPool = d.itemPool[:n-1]
	return it
}

func (d *Dispatcher) freeItem(it *item) {
	*it = item{timerIndex: -1}
	d.itemPool = append(d.itemPool, it)
}
