// Package admission decides which requests of one service wait in a gateway, in which order they are sent when upstreams have
// room, and which are rejected at once. It does no I/O; times and random numbers are passed in. The caller decides whether an
// upstream has room, and takes the first waiters in order.
package admission

import (
	"math"
	"slices"
	"time"

	"jackdawbay.dev/core/schedule"
)

// Parameters of a queue.
const (
	// maxWaiters bounds the waiters of a service. A gateway of the users' deployments sends 30 requests per second at most, and no
	// request waits for more than a few seconds.
	maxWaiters = 256
	// sharedFrom is the number of waiters from which an organisation may have only its share of them.
	sharedFrom = maxWaiters / 4
	// minHold and holdShare bound the time for which a waiter is held without new information about the upstreams: 40 ms, or a tenth
	// of its time left if that is longer. With 40 ms alone, 57 gateways send 1,400 requests per second to full engines, more than
	// these serve.
	minHold   = 40 * time.Millisecond
	holdShare = 0.1
	// evidenceMaxAge is the age of the last report of a load up to which a request may be rejected because all upstreams are full.
	// It is the half-life of reports in the placement.
	evidenceMaxAge = 400 * time.Millisecond
	// minRetryAfter is the shortest time after which a caller is asked to return.
	minRetryAfter = 50 * time.Millisecond
	// maxEstimate bounds the estimated wait.
	maxEstimate = time.Minute
)

// Seconds of waiting time that a rank is worth. Each waiter gains one second per second, so that every class is served: a waiter
// of the lowest priority waits at most the sum of them longer than one of the highest.
const (
	prioritySeconds     = 2.0 // For each step of priority, up to maxPriority.
	maxPriority         = 3
	firstTurnSeconds    = 1.0 // For a request that starts a program.
	organisationSeconds = 1.0 // For an organisation that uses twice its share; the excess is bounded by schedule.Shares.
	slackSeconds        = 0.5 // For a program that has slackScale or more time left beyond its work.
	slackScale          = 10 * time.Second
)

// Waiter is a request that asks for an upstream.
type Waiter struct {
	ID           uint64 // Unique in the queue.
	Priority     int    // 0 is the highest.
	Organisation string // Empty without organisations.
	Continues    bool   // The request finishes or unblocks a program, or its caller has come back after a rejection.
	Arrived      time.Time
	Deadline     time.Time     // Time by which the response must be complete.
	FinishBy     time.Time     // Time by which its program should be finished; zero if not stated.
	WorkLeft     time.Duration // Estimated work that is left for the request.
}

// Slack returns the time that a program has beyond the work that is left.
func (w Waiter) Slack(now time.Time) time.Duration {
	finish := w.FinishBy
	if finish.IsZero() || w.Deadline.Before(finish) {
		finish = w.Deadline
	}
	return finish.Sub(now) - w.WorkLeft
}

// Class names the kind of a waiter in metrics.
func (w Waiter) Class() string {
	if w.Continues {
		return "continues"
	}
	return "first"
}

// Cause is the reason of a rejection.
type Cause string

// Causes of rejections.
const (
	CauseWait         Cause = "wait"         // The estimated wait exceeds the time left.
	CauseQueueFull    Cause = "queue_full"   // The queue has no space.
	CauseOrganisation Cause = "organisation" // The organisation has its share of the queue.
	CauseHeld         Cause = "held"         // The time left became too short while the request waited.
)

// Decision is the result of Enqueue.
type Decision struct {
	Queued        bool
	Cause         Cause // Set if the request is rejected.
	Position      int   // Number of waiters before it.
	EstimatedWait time.Duration
	RetryAfter    time.Duration // Set if the request is rejected.
	Slack         time.Duration
}

// Admitted is a waiter that is to be sent.
type Admitted struct {
	Waiter  Waiter
	Waited  time.Duration
	Overdue bool // It is sent without room, since nothing new is known about the upstreams.
}

// item is a waiter in the queue. Its rank is fixed when it arrives, since all waiters gain at the same rate.
type item struct {
	Waiter
	rank       float64
	enqueuedAt time.Duration // Since the epoch of the queue, like the deadline. The scans of a queue compare many of them.
	deadline   time.Duration
}

// Queue is the queue of one service. It is not safe for concurrent use.
type Queue struct {
	random   func() float64 // Numbers from 0 to 1.
	epoch    time.Time
	items    []*item // By rank.
	perOrg   map[string]int
	shares   *schedule.Shares
	work     time.Duration // Mean duration of a request at an upstream.
	inFlight int           // Requests that were sent and have not ended.

	informed   bool
	informedAt time.Duration // Last load report.
	probedAt   time.Duration // Last send without room.
	probes     int           // Waiters to send the next time without new information.
}

// initialWork is the assumed duration of a request until one has ended.
const initialWork = 100 * time.Millisecond

// workWeight is the weight of one duration in the moving average.
const workWeight = 0.05

// NewQueue returns an empty queue. The function random returns numbers from 0 to 1.
func NewQueue(random func() float64) *Queue {
	return &Queue{random: random, perOrg: map[string]int{}, shares: schedule.NewShares(), work: initialWork, probes: 1, probedAt: math.MinInt64, informedAt: math.MinInt64}
}

// Len returns the number of waiters.
func (q *Queue) Len() int { return len(q.items) }

// Work returns the estimated duration of a request at an upstream.
func (q *Queue) Work() time.Duration { return q.work }

// RecordStart counts a request that is sent.
func (q *Queue) RecordStart(now time.Time, organisation string) {
	q.inFlight++
	q.shares.Add(now, organisation, float64(q.work)/float64(time.Millisecond))
}

// RecordReport records that an upstream reported its load.
func (q *Queue) RecordReport(now time.Time) {
	q.informed, q.informedAt, q.probes = true, q.since(now), 1
}

// RecordEnd records that a request has left an upstream. The duration is zero if it is not meaningful.
func (q *Queue) RecordEnd(duration time.Duration) {
	q.inFlight = max(q.inFlight-1, 0)
	if duration > 0 {
		q.work += time.Duration(workWeight * float64(duration-q.work))
	}
}

// estimate returns the time until a waiter with that number of others before it gets an upstream. While all upstreams are full, a
// request of this gateway gets a slot for each of its requests that ends, on average over the gateways. Requests in flight end at
// the rate of their number over their mean duration.
func (q *Queue) estimate(before int) time.Duration {
	return min(time.Duration(before+1)*q.work/time.Duration(max(q.inFlight, 1)), maxEstimate)
}

// rank returns the position of a waiter in the order, in seconds; the lowest is first. It follows the order of
// schedule.Dispatcher: the time of arrival and penalties in seconds of waiting time.
//
// Loads: a burst of 1.7 to 2.1 times the usual load, in which finished programs count; and one organisation with 7.5 times its
// usual load, which must not delay the others.
func (q *Queue) rank(now time.Time, w Waiter) float64 {
	rank := q.since(w.Arrived).Seconds() + prioritySeconds*float64(min(max(w.Priority, 0), maxPriority))
	if !w.Continues {
		rank += firstTurnSeconds
	}
	rank += organisationSeconds * q.shares.Excess(w.Organisation)
	slack := float64(w.Slack(now)) / float64(slackScale)
	return rank + slackSeconds*min(max(slack, 0), 1)
}

// Enqueue adds a request for which no upstream has room, or rejects it.
//
// Load: more requests than the upstreams can serve for seconds. A request that would time out in the queue is rejected at once, so
// that its caller can return later and others get the time.
func (q *Queue) Enqueue(now time.Time, w Waiter) Decision {
	it := &item{Waiter: w, enqueuedAt: q.since(now), deadline: q.since(w.Deadline), rank: q.rank(now, w)}
	i, _ := slices.BinarySearchFunc(q.items, it, func(a, b *item) int {
		if a.rank <= b.rank {
			return -1 // Equal ranks keep the order of arrival.
		}
		return 1
	})
	d := Decision{Position: i, EstimatedWait: q.estimate(i), Slack: w.Slack(now)}
	switch {
	case len(q.items) >= maxWaiters:
		d.Cause = CauseQueueFull
	case len(q.items) >= sharedFrom && q.perOrg[w.Organisation] >= maxWaiters/max(len(q.perOrg), 2) && len(q.perOrg) > 1:
		d.Cause = CauseOrganisation
	case d.EstimatedWait > q.usableTime(now, w) && q.informed && it.enqueuedAt-q.informedAt <= evidenceMaxAge:
		d.Cause = CauseWait
	}
	if d.Cause != "" {
		d.RetryAfter = q.retryAfter(d.EstimatedWait)
		return d
	}
	d.Queued = true
	q.items = slices.Insert(q.items, i, it)
	q.perOrg[w.Organisation]++
	return d
}

// usableTime returns the time that a request may wait and still be served. At least half of the time left is usable, since the
// duration of a single request is not known.
func (q *Queue) usableTime(now time.Time, w Waiter) time.Duration {
	left := w.Deadline.Sub(now)
	return left - min(q.work, left/2)
}

// retryAfter adds random jitter of up to half, so that callers do not return together.
func (q *Queue) retryAfter(wait time.Duration) time.Duration {
	wait = max(wait, minRetryAfter)
	return wait + time.Duration(q.random()*float64(wait)/2)
}

// Next returns the waiters that are to be sent although no upstream is known to have room: nothing new has become known about the
// upstreams for 40 ms and a tenth of the time left of a waiter. Each time without new information doubles their number, so that
// the queue is empty soon if the estimate is wrong, and upstreams that are full get few requests.
func (q *Queue) Next(now time.Time) []Admitted {
	at, since := q.since(now), max(q.probedAt, q.informedAt)
	if !slices.ContainsFunc(q.items, func(it *item) bool { return at >= it.holdUntil(since) }) {
		return nil
	}
	var admitted []Admitted
	for range min(q.probes, len(q.items)) {
		a, _ := q.Take(now)
		a.Overdue = true
		admitted = append(admitted, a)
	}
	q.probedAt, q.probes = at, min(2*q.probes, maxWaiters)
	return admitted
}

// NextCheck returns the time at which Next and Expired are to be called again if nothing happens, or false if no request waits.
func (q *Queue) NextCheck(now time.Time) (time.Time, bool) {
	if len(q.items) == 0 {
		return time.Time{}, false
	}
	at, since := q.since(now), max(q.probedAt, q.informedAt)
	next := time.Duration(math.MaxInt64)
	for _, it := range q.items {
		next = min(next, it.holdUntil(since), it.lastSend(q.work))
	}
	return q.epoch.Add(max(next, at+time.Millisecond)), true
}

// since returns the time since the epoch of the queue, which is the first time that it has been passed.
func (q *Queue) since(t time.Time) time.Duration {
	if q.epoch.IsZero() {
		q.epoch = t
	}
	return t.Sub(q.epoch)
}

// holdUntil returns the time up to which a waiter is held without new information since a time.
func (it *item) holdUntil(since time.Duration) time.Duration {
	from := max(it.enqueuedAt, since)
	return from + max(minHold, time.Duration(holdShare*float64(it.deadline-from)))
}

// lastSend returns the time at which a waiter must be sent to be served in time.
func (it *item) lastSend(work time.Duration) time.Duration {
	return it.deadline - min(work, (it.deadline-it.enqueuedAt)/2)
}

// Expired removes and returns the waiters that would not be served in time any more.
func (q *Queue) Expired(now time.Time) []Waiter {
	var expired []Waiter
	at := q.since(now)
	for i := 0; i < len(q.items); {
		if it := q.items[i]; at >= it.lastSend(q.work) {
			expired = append(expired, it.Waiter)
			q.remove(i)
			continue
		}
		i++
	}
	return expired
}

// First returns the waiter that is to be sent next.
func (q *Queue) First() (Waiter, bool) {
	if len(q.items) == 0 {
		return Waiter{}, false
	}
	return q.items[0].Waiter, true
}

// Take removes and returns the first waiter.
func (q *Queue) Take(now time.Time) (Admitted, bool) {
	if len(q.items) == 0 {
		return Admitted{}, false
	}
	it := q.items[0]
	q.remove(0)
	return Admitted{Waiter: it.Waiter, Waited: q.since(now) - it.enqueuedAt}, true
}

// Leave removes a waiter whose caller has left. It reports false if the waiter has been taken or removed.
func (q *Queue) Leave(id uint64) bool {
	for i, it := range q.items {
		if it.ID == id {
			q.remove(i)
			return true
		}
	}
	return false
}

// RetryAfter returns the time after which the caller of a removed waiter is to return.
func (q *Queue) RetryAfter() time.Duration {
	return q.retryAfter(q.estimate(len(q.items)))
}

func (q *Queue) remove(i int) {
	org := q.items[i].Organisation
	if q.perOrg[org]--; q.perOrg[org] <= 0 {
		delete(q.perOrg, org)
	}
	q.items = slices.Delete(q.items, i, i+1)
}
