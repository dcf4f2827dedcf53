package placement

import (
	"math"
	"time"
)

// Parameters of what a group knows of each upstream over several seconds. A gateway that sees a small part of the traffic has a
// report of an upstream every few seconds.
const (
	// usualWeight is the weight of a report or a result in the moving averages.
	usualWeight = 0.3
	// usualHalfLife is the time without news after which the averages of the load and of the work time count half.
	usualHalfLife = 10 * time.Second
	// failureHalfLife is the time without news after which the failure rate of an upstream counts half, so that it gets requests
	// again.
	failureHalfLife = 5 * time.Second
	// failurePenalty is the cost of a failed request in mean request durations. A request that may run only once fails at the
	// caller.
	failurePenalty = 4.0
	// maxFailureRate bounds the cost of an upstream that fails all requests.
	maxFailureRate = 0.9
	// minFailureRate is the rate below which failures have no cost. An upstream that has recovered would otherwise be left out
	// as long as others are idle.
	minFailureRate = 0.02
	// slowStart is the time within which the share of the requests that an upstream may get after its return rises to one.
	// Engines in the users' deployments are warm after 2 to 3 s.
	slowStart = 3 * time.Second
	// slowStartMin is the share at the return.
	slowStartMin = 0.05
	// ejectionMemory is the time without a failure after which the next ejection is short again.
	ejectionMemory = 10 * time.Second
	// minObservedSlowdown is the ratio of request durations above which an upstream that reports no work time counts as slow.
	// Requests differ by less than that on average.
	minObservedSlowdown = 2.0
)

// health is what a group knows of an upstream over several seconds.
type health struct {
	load          float64 // Moving average of the load caused by other daemons for each slot.
	work          float64 // Moving average of the reported work time relative to the usual one.
	duration      float64 // Moving average of request durations relative to those of all upstreams.
	durationAt    time.Time
	failureRate   float64
	failureRateAt time.Time
	lastFailure   time.Time
	returnedAt    time.Time // Return after an absence, or zero.
}

// usualLoad returns the load caused by other daemons for each slot over the last seconds. Without news it decays to the mean.
//
// Load: the upstreams of parts in demand are busier than others all the time. With reports that are forgotten within a second,
// a gateway sends to them as to all others; they had 1.4 times the mean load.
func (u *upstreamState) usualLoad(now time.Time, mean float64) float64 {
	if u.reportedAt.IsZero() {
		return mean
	}
	return mean + (u.health.load-mean)*halfLives(now.Sub(u.reportedAt), usualHalfLife)
}

func halfLives(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(halfLife))
}

func (u *upstreamState) observeLoad(l Load) {
	other := max(0, float64(l.Running+l.Waiting-u.inFlight)) / float64(max(u.info.Slots, 1))
	h := &u.health
	if u.reportedAt.IsZero() {
		h.load, h.work = other, max(l.Slowdown, 1)
	}
	h.load += usualWeight * (other - h.load)
	if l.Slowdown > 0 {
		h.work += usualWeight * (l.Slowdown - h.work)
	}
}

// expectedSlowdown returns the time that work is expected to take relative to the usual time: as reported, or as observed from
// the durations of requests if the upstream reports none.
//
// Load: a machine that is slow by a factor of 5 for many seconds while each gateway hears of it every few seconds.
func (u *upstreamState) expectedSlowdown(now time.Time) float64 {
	h := &u.health
	if !u.reportedAt.IsZero() && u.reportedLoad.Slowdown > 0 {
		age := now.Sub(u.reportedAt)
		usual := 1 + (max(h.work, 1)-1)*halfLives(age, usualHalfLife)
		return max(usual+(u.reportedLoad.Slowdown-usual)*halfLives(age, slowdownHalfLife), 0.1)
	}
	if h.durationAt.IsZero() {
		return 1
	}
	if observed := 1 + (h.duration-1)*halfLives(now.Sub(h.durationAt), usualHalfLife); observed > minObservedSlowdown {
		return observed
	}
	return 1
}

// failureCost returns the expected cost of failures in mean request durations.
//
// Load: an upstream that fails 0.45 of its requests while its health check passes. Its successes end each series of failures.
func (u *upstreamState) failureCost(now time.Time) float64 {
	rate := min(u.currentFailureRate(now), maxFailureRate)
	if rate < minFailureRate {
		return 0
	}
	return failurePenalty * rate / (1 - rate)
}

func (u *upstreamState) currentFailureRate(now time.Time) float64 {
	if u.health.failureRate == 0 {
		return 0
	}
	return u.health.failureRate * halfLives(now.Sub(u.health.failureRateAt), failureHalfLife)
}

// observeEnd records the result of a request. It reports whether the next ejection is to be as long as the last one: an upstream
// that failed lately has not recovered with one success.
//
// Load: an upstream that flaps is up for 1.4 s and succeeds at first; with short ejections it gets requests in each phase.
func (u *upstreamState) observeEnd(now time.Time, failed bool, duration, meanServiceMS float64) (keepsEjections bool) {
	h := &u.health
	if !failed && duration <= 0 {
		return now.Sub(h.lastFailure) < ejectionMemory // A rejection or a caller that left says nothing about failures.
	}
	result := 0.0
	if failed {
		result, h.lastFailure = 1, now
	}
	rate := h.failureRate
	if !h.failureRateAt.IsZero() {
		rate *= halfLives(now.Sub(h.failureRateAt), failureHalfLife)
	}
	h.failureRate, h.failureRateAt = rate+usualWeight*(result-rate), now
	if !failed && meanServiceMS > 0 {
		ratio := duration / meanServiceMS
		if h.durationAt.IsZero() {
			h.duration = 1
		}
		h.duration += usualWeight * (ratio - h.duration)
		h.durationAt = now
	}
	return now.Sub(h.lastFailure) < ejectionMemory
}

// slowStartShare returns the share of its requests that an upstream may get, which rises after a return or a start.
//
// Load: an upstream that comes back is idle by all reports, and all gateways send to it at once.
func (u *upstreamState) slowStartShare(now time.Time) float64 {
	if u.isNew {
		u.isNew, u.health.returnedAt = false, now
	}
	from := laterOf(u.health.returnedAt, laterOf(u.failedUntil, u.suspectedUntil))
	if from.IsZero() {
		return 1
	}
	return min(max(float64(now.Sub(from))/float64(slowStart), slowStartMin), 1)
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
