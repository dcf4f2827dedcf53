package schedule

import (
	"time"

	"jackdawbay.dev/api/errkind"
)

const (
	// newProgramDepth is the part of the queue that first calls of programs may fill. The rest is kept for programs that
	// have already used engine time.
	newProgramDepth = 0.8
	// queueRetryLevel is the part of a bound to which the queue has to fall before a refused call is asked to return.
	queueRetryLevel = 0.75
	minRetryAfter   = 250 * time.Millisecond
	maxRetryAfter   = 5 * time.Minute
	// returnShare is the part of the drain rate at which refused calls are asked to return. The rest is left to new calls.
	returnShare = 0.2
	// noEngineRetry is the retry time when no engine serves the model; loading one takes longer than a second.
	noEngineRetry = 2 * time.Second
	// rankSamples bounds the tickets that are looked at to estimate a place in the queue.
	rankSamples = 64
)

// Enqueue adds a ticket to the queue. It refuses with an errkind error; a refused call has not run.
func (d *Dispatcher) Enqueue(now time.Time, t Ticket) error {
	if _, ok := d.items[t.ID]; ok {
		return errkind.New(errkind.CallInProgress, "The ticket is queued or granted.")
	}
	if t.ID == "" || t.Program == "" || t.PromptTokens < 0 {
		return errkind.New(errkind.InvalidValue, "A ticket needs an id, a program and a prompt of zero tokens or more.")
	}
	if err := d.checkDepth(now, t); err != nil {
		return err
	}
	l := d.lane(laneKey{t.Model, t.Adapter})
	if l == nil {
		return errkind.New(errkind.QueueFull, "Too many models and adapters are in use.").WithRetryAfter(maxRetryAfter)
	}
	if l.slots == 0 {
		e := errkind.New(errkind.UpstreamUnavailable, "No engine has the model ready.")
		return e.WithRetryAfter(noEngineRetry)
	}
	return d.add(now, t, l)
}

// add puts a ticket into its lane unless its deadline cannot be met.
func (d *Dispatcher) add(now time.Time, t Ticket, l *lane) error {
	if d.epoch.IsZero() {
		d.epoch = now
	}
	if t.Enqueued.IsZero() || t.Enqueued.After(now) {
		t.Enqueued = now
	}
	it := d.newItem()
	it.Ticket = t
	it.lane = l
	it.class = d.class(t.Class)
	it.program = d.lookup(t.Program, t.Parent, t.SpentTokens)
	it.root = it.program.root
	it.key = d.key(it)
	if err := d.checkDeadline(now, it); err != nil {
		d.recycle(it)
		return err
	}
	it.program.inFlight++
	it.program.ended = false
	d.seq++
	it.seq = d.seq
	it.state = stateLane
	it.queue = d.queueFor(it)
	it.queue.push(it)
	d.items[t.ID] = it
	d.waiting++
	it.class.waiting++
	return nil
}

func (d *Dispatcher) checkDepth(now time.Time, t Ticket) error {
	depth := d.cfg.QueueDepth
	returned := !t.Enqueued.IsZero() && now.Sub(t.Enqueued) >= minRetryAfter
	if t.SpentTokens == 0 && t.HistoryTokens == 0 && !returned {
		depth = int(float64(depth) * newProgramDepth)
	}
	if d.waiting >= max(depth, 1) {
		return d.queueFull(now, d.waiting, depth)
	}
	c := d.class(t.Class)
	if c.limit.QueueDepth > 0 && c.waiting >= c.limit.QueueDepth {
		return d.queueFull(now, c.waiting, c.limit.QueueDepth)
	}
	return nil
}

// queueFull states when the queue will have drained below its bound. Refused calls are spread over the time to come, so
// that they do not all return at once and find the queue full again.
func (d *Dispatcher) queueFull(now time.Time, waiting, depth int) error {
	rate := d.drainRate()
	excess := float64(waiting) - queueRetryLevel*float64(depth)
	earliest := now.Add(seconds(max(excess, 0) / rate))
	d.nextReturn = later(d.nextReturn, earliest).Add(seconds(1 / (returnShare * rate)))
	if limit := now.Add(maxRetryAfter); d.nextReturn.After(limit) {
		d.nextReturn = limit
	}
	e := errkind.Newf(errkind.QueueFull, "%d calls wait.", waiting)
	return e.WithRetryAfter(max(d.nextReturn.Sub(now), minRetryAfter))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// checkDeadline refuses a ticket that cannot start in time to end before its deadline.
func (d *Dispatcher) checkDeadline(now time.Time, it *item) error {
	if it.Deadline.IsZero() {
		return nil
	}
	left := it.Deadline.Sub(now).Seconds()
	if left <= 0 {
		return errkind.New(errkind.DeadlinePast, "")
	}
	wait := d.expectedWait(it)
	if wait+d.runSeconds(it) <= left {
		return nil
	}
	e := errkind.Newf(errkind.DeadlineUnreachable, "The expected wait is %.1f s.", wait)
	return e.WithRetryAfter(clampRetry(wait + d.runSeconds(it) - left))
}

func clampRetry(after float64) time.Duration {
	return min(max(seconds(after), minRetryAfter), maxRetryAfter)
}

// expectedWait estimates the seconds until a ticket gets a slot, from the tickets of its lane that go before it.
func (d *Dispatcher) expectedWait(it *item) float64 {
	q := d.queueFor(it).items
	if len(q) == 0 && d.hasFree(it.lane) {
		return 0
	}
	step := max(len(q)/rankSamples, 1)
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
	return rank * d.serviceSeconds() / float64(max(it.lane.slots, 1))
}

func (d *Dispatcher) hasFree(l *lane) bool {
	for _, e := range d.free {
		if e.lanes.has(l) {
			return true
		}
	}
	return false
}

func (d *Dispatcher) serviceSeconds() float64 {
	if d.meanService > 0 {
		return d.meanService
	}
	return defaultService
}

// drainRate returns the tickets that leave the queue in a second when all slots are in use.
func (d *Dispatcher) drainRate() float64 {
	slots := 0
	for _, e := range d.engines {
		if !e.Draining {
			slots += e.Slots
		}
	}
	return float64(max(slots, 1)) / d.serviceSeconds()
}

// Cancel takes back a ticket. A granted ticket keeps its slot until Release, since the engine may still run the call.
func (d *Dispatcher) Cancel(id string) {
	it := d.items[id]
	if it == nil || it.state == stateGranted {
		return
	}
	d.detach(it)
	d.leaveQueue(it)
	it.program.inFlight--
	delete(d.items, id)
	d.recycle(it)
}

func (d *Dispatcher) leaveQueue(it *item) {
	d.waiting--
	it.class.waiting--
}

func (d *Dispatcher) newItem() *item {
	n := len(d.freeItems)
	if n == 0 {
		return &item{timerPos: -1}
	}
	it := d.freeItems[n-1]
	d.freeItems = d.freeItems[:n-1]
	return it
}

func (d *Dispatcher) recycle(it *item) {
	*it = item{timerPos: -1}
	d.freeItems = append(d.freeItems, it)
}
