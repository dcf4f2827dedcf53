package membership

import "time"

// ProbeResult is the outcome of one probe.
type ProbeResult int

// Outcomes of a probe.
const (
	ProbeOK       ProbeResult = iota
	ProbeTimedOut             // No answer in time, or an answer that makes no sense.
	ProbeRefused              // The host answered that nothing listens, so the process is gone.
)

// Detector counts failed probes by target.
type Detector struct {
	failures  map[string]int
	suspected map[string]time.Time
}

// NewDetector returns a detector that suspects no one.
func NewDetector() *Detector {
	return &Detector{failures: map[string]int{}, suspected: map[string]time.Time{}}
}

// Observe records a probe and reports whether the target is suspected now.
func (d *Detector) Observe(now time.Time, target string, result ProbeResult) bool {
	if result == ProbeOK {
		delete(d.failures, target)
		delete(d.suspected, target)
		return false
	}
	d.failures[target]++
	if result == ProbeRefused || d.failures[target] >= ProbeFailureThreshold {
		if _, ok := d.suspected[target]; !ok {
			d.suspected[target] = now
		}
		return true
	}
	return false
}

// Suspected reports whether a target is suspected.
func (d *Detector) IsSuspected(target string) bool {
	_, ok := d.suspected[target]
	return ok
}

// Retain forgets targets that are not in the roster.
func (d *Detector) RetainMembers(r Roster) {
	for target := range d.failures {
		if _, ok := r.Member(target); !ok {
			delete(d.failures, target)
			delete(d.suspected, target)
		}
	}
}

// CanEvict reports whether a coordinator that reaches so many members, itself included, may remove others. A coordinator
// that reaches fewer than half is probably the one that is partitioned.
func CanEvict(reachable, members int) bool { return 2*reachable >= members }

// PauseDetector notices that the process or its VM stood still. It compares both clocks, since the monotonic clock stops
// while a VM is suspended and the wall clock can step.
type PauseDetector struct {
	limit time.Duration
	last  time.Time
}

// NewPauseDetector returns a detector for pauses longer than limit.
func NewPauseDetector(now time.Time, limit time.Duration) *PauseDetector {
	return &PauseDetector{limit: limit, last: now}
}

// Tick is called at an interval well below the limit. It reports whether the time since the last call, by the clock that
// advanced most, is above the limit.
func (p *PauseDetector) Tick(now time.Time) bool {
	monotonic := now.Sub(p.last)
	wall := now.Round(0).Sub(p.last.Round(0))
	p.last = now
	return max(monotonic, wall) > p.limit
}

// Bounds of Isolation.
const (
	// IsolationTimeout is how long a coordinator that reaches too few members leaves its place to others before it removes
	// them. It is above the time in which they notice it and find its sign of life standing still.
	IsolationTimeout = 8 * time.Second

	// isolationGap is the time without an observation after which the isolation is over. Suspicions repeat with each probe,
	// and a coordinator that confirms one takes up to three probe timeouts.
	isolationGap = ProbeInterval + 5*ProbeTimeout
)

// Isolation follows how long a coordinator has reached too few members to remove others. The zero value is not isolated.
type Isolation struct {
	since, last time.Time
}

// Observe records that too few members answered. It reports whether this has lasted for IsolationTimeout.
func (i *Isolation) Observe(now time.Time) bool {
	if !i.IsActive(now) {
		i.since = now
	}
	i.last = now
	return now.Sub(i.since) >= IsolationTimeout
}

// Active reports whether too few members answered just now.
func (i *Isolation) IsActive(now time.Time) bool {
	return !i.last.IsZero() && now.Sub(i.last) <= isolationGap
}
