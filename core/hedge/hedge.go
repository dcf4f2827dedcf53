// Package hedge decides when a request that may be repeated is sent to a second upstream because its response is late. It
// answers the load of a few slow responses among many fast ones: an upstream that pauses, a lost packet, a long queue at one
// upstream. It does no I/O and reads no clock.
package hedge

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// MinObservations is the number of response times of a route that are needed before its requests get second attempts. It
	// makes the percentile of the delay meaningful, and a gateway that has restarted sends none at first.
	MinObservations = 50
	// delayPercentile is the percentile of the observed response times after which a second attempt starts. With the 95th,
	// at most one request in twenty has a second attempt while response times do not change.
	delayPercentile = 95
	// minDelay is the shortest delay. A second attempt sooner than the round trip between data centres cannot win.
	minDelay = 10 * time.Millisecond
	// period is the time after which the older half of the observations is dropped, so that the delay follows the load.
	period = 10 * time.Second
	// maxCredit is the number of second attempts that a gateway may save up while none are needed. It bounds how far a short
	// window may exceed the share.
	maxCredit = 2
	// maxRoutes limits the number of routes whose response times are kept; one needs 5 KB.
	maxRoutes = 64

	// The histogram holds response times from 0.1 ms to 60 s with an error of a tenth.
	histogramUnit        = 100 * time.Microsecond
	histogramMax         = int64(time.Minute / histogramUnit)
	histogramSignificant = 1
)

// Reason states why a request gets no second attempt.
type Reason string

// Reasons. The empty reason means that the second attempt may start.
const (
	Disabled         Reason = "disabled"          // The share of second attempts is zero.
	NotRepeatable    Reason = "not_repeatable"    // The request may run only once, or a part of the response has been forwarded.
	AttemptsUsed     Reason = "attempts_used"     // The route allows no further upstream.
	FewObservations  Reason = "few_observations"  // The usual response time of the route is not known yet.
	LimitReached     Reason = "limit_reached"     // The share of second attempts is used up.
	CapacityShort    Reason = "capacity_short"    // No other upstream has a free slot.
	DeadlineTooClose Reason = "deadline_too_near" // The response could not arrive before the deadline.
)

// Request holds the properties of a request that decide whether it may have a second attempt.
type Request struct {
	Route          string
	Repeatable     bool // The request may run more than once, and nothing of a response has been forwarded.
	UpstreamsLeft  int  // Further upstreams that the route allows.
	TimeToDeadline time.Duration
}

// Policy decides on second attempts. It is not safe for concurrent use.
type Policy struct {
	share  float64
	credit float64
	routes map[string]*responseTimes
}

// New returns a policy that allows second attempts for a share of all requests, from 0 to 1.
func New(share float64) *Policy {
	return &Policy{share: min(max(share, 0), 1), routes: map[string]*responseTimes{}}
}

// Enabled reports whether any second attempt is allowed.
func (p *Policy) Enabled() bool { return p.share > 0 }

// CountRequest adds the share of one request to the limit. It counts every request, also one that may not be repeated.
func (p *Policy) CountRequest() { p.credit = min(p.credit+p.share, maxCredit) }

// Observe records the time to the response of a first attempt.
func (p *Policy) Observe(now time.Time, route string, d time.Duration) {
	if !p.Enabled() {
		return
	}
	t, ok := p.routes[route]
	if !ok {
		p.makeRoom()
		t = newResponseTimes(now)
		p.routes[route] = t
	}
	t.add(now, d)
}

// makeRoom removes the route that has been used least recently if all places are taken.
func (p *Policy) makeRoom() {
	if len(p.routes) < maxRoutes {
		return
	}
	oldest := ""
	for name, t := range p.routes {
		if oldest == "" || t.lastUsed.Before(p.routes[oldest].lastUsed) {
			oldest = name
		}
	}
	delete(p.routes, oldest)
}

// Delay returns the time after which a second attempt of a request may start, or the reason why it gets none.
func (p *Policy) Delay(now time.Time, r Request) (time.Duration, Reason) {
	switch {
	case !p.Enabled():
		return 0, Disabled
	case !r.Repeatable:
		return 0, NotRepeatable
	case r.UpstreamsLeft < 1:
		return 0, AttemptsUsed
	}
	t, ok := p.routes[r.Route]
	if !ok {
		return 0, FewObservations
	}
	usual, delay, enough := t.times(now)
	if !enough {
		return 0, FewObservations
	}
	delay = max(delay, minDelay)
	if delay+usual > r.TimeToDeadline {
		return 0, DeadlineTooClose
	}
	return delay, ""
}

// Start takes one second attempt from the limit. The argument hasCapacity states that another upstream has a free slot:
// without one, a second attempt would add to an overload.
func (p *Policy) Start(hasCapacity bool) Reason {
	switch {
	case !hasCapacity:
		return CapacityShort
	case p.credit < 1:
		return LimitReached
	}
	p.credit--
	return ""
}

// responseTimes holds the response times of a route in two periods.
type responseTimes struct {
	current, previous *hdrhistogram.Histogram
	startedAt         time.Time // Start of the current period.
	lastUsed          time.Time
	merged            int64         // Number of observations at which usual and delay were computed.
	usual, delay      time.Duration // Median and delayPercentile.
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMax, histogramSignificant)
}

func newResponseTimes(now time.Time) *responseTimes {
	return &responseTimes{current: newHistogram(), previous: newHistogram(), startedAt: now}
}

func (t *responseTimes) rotate(now time.Time) {
	elapsed := now.Sub(t.startedAt)
	if elapsed < period {
		return
	}
	t.previous, t.current = t.current, t.previous
	t.current.Reset()
	if elapsed >= 2*period {
		t.previous.Reset()
	}
	t.startedAt, t.merged = now, 0
}

func (t *responseTimes) add(now time.Time, d time.Duration) {
	t.rotate(now)
	t.lastUsed = now
	// The value is inside the range of the histogram, so that recording cannot fail.
	_ = t.current.RecordValue(min(max(int64(d/histogramUnit), 1), histogramMax))
}

// recomputeAfter is the number of new observations after which the percentiles are computed again. Computing them takes
// 2 µs, which is too much for each request.
const recomputeAfter = 25

// times returns the median and the delay, and whether there are enough observations.
func (t *responseTimes) times(now time.Time) (usual, delay time.Duration, enough bool) {
	t.rotate(now)
	n := t.current.TotalCount() + t.previous.TotalCount()
	if n < MinObservations {
		return 0, 0, false
	}
	if t.merged == 0 || n-t.merged >= recomputeAfter {
		all := newHistogram()
		all.Merge(t.previous)
		all.Merge(t.current)
		t.usual = time.Duration(all.ValueAtQuantile(50)) * histogramUnit
		t.delay = time.Duration(all.ValueAtQuantile(delayPercentile)) * histogramUnit
		t.merged = n
	}
	return t.usual, t.delay, true
}
