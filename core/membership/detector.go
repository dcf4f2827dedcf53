package membership

import "time"

// ProbeResult is the outcome of one probe.
type ProbeResult int

// Outcomes of a probe.
const (
	ProbeOK       ProbeResult = iota
	ProbeTimedOut             // No response in time, or an invalid response.
	ProbeRefused              // The host refused the connection, so the process has stopped.
)

// Detector counts failed probes by target and tracks suspected targets.
type Detector struct {
	failures       map[string]int
	suspectedSince map[string]time.Time
}

// NewDetector returns a detector without suspected targets.
func NewDetector() *Detector {
	return &Detector{failures: map[string]int{}, suspectedSince: map[string]time.Time{}}
}

// Observe records the result of a probe and reports whether the target is suspected.
func (d *Detector) Observe(now time.Time, target string, result ProbeResult) bool {
	if result == ProbeOK {
		delete(d.failures, target)
		delete(d.suspectedSince, target)
		return false
	}
	d.failures[target]++
	if result == ProbeRefused || d.failures[target] >= ProbeFailureThreshold {
		if _, ok := d.suspectedSince[target]; !ok {
			d.suspectedSince[target] = now
		}
		return true
	}
	return false
}

// IsSuspected reports whether a target is suspected.
func (d *Detector) IsSuspected(target string) bool {
	_, ok := d.suspectedSince[target]
	return ok
}

// RetainMembers removes all targets that are not members of the roster.
func (d *Detector) RetainMembers(r Roster) {
	for target := range d.failures {
		if _, ok := r.Member(target); !ok {
			delete(d.failures, target)
			delete(d.suspectedSince, target)
		}
	}
}

// CanEvict reports whether a coordinator may remove other members if it can reach the given number of members,
// including itself. A coordinator that reaches fewer than half of them is probably the partitioned one.
func CanEvict(reachable, members int) bool { return 2*reachable >= members }

// PauseDetector detects pauses of the process or its VM. It compares both clocks, because the monotonic clock stops
// while a VM is suspended and the wall clock can step.
type PauseDetector struct {
	limit    time.Duration
	lastTick time.Time
}

// NewPauseDetector returns a detector for pauses longer than limit.
func NewPauseDetector(now time.Time, limit time.Duration) *PauseDetector {
	return &PauseDetector{limit: limit, lastTick: now}
}

// Tick reports whether the time since the last call exceeds the limit, according to the clock that advanced more. It
// must be called at an interval well below the limit.
func (p *PauseDetector) Tick(now time.Time) bool {
	monotonic := now.Sub(p.lastTick)
	wall := now.Round(0).Sub(p.lastTick.Round(0))
	p.lastTick = now
	return max(monotonic, wall) > p.limit
}

// Durations of Isolation.
const (
	// IsolationTimeout is the time for which a coordinator that reaches too few members waits before it removes them.
	// In this time another member can take over. It is longer than the other members need to detect the coordinator's
	// failure and to observe that its heartbeat is not renewed.
	IsolationTimeout = 8 * time.Second

	// maxObservationGap is the time without an observation after which the isolation ends. Suspicions repeat with each
	// probe, and a coordinator that confirms one takes up to three probe timeouts.
	maxObservationGap = ProbeInterval + 5*ProbeTimeout
)

// Isolation tracks how long a coordinator has reached too few members to remove others. The zero value is not isolated.
type Isolation struct {
	activeSince, lastObserved time.Time
}

// Observe records that too few members responded. It reports whether this has lasted for IsolationTimeout.
func (i *Isolation) Observe(now time.Time) bool {
	if !i.IsActive(now) {
		i.activeSince = now
	}
	i.lastObserved = now
	return now.Sub(i.activeSince) >= IsolationTimeout
}

// IsActive reports whether too few members responded within the last maxObservationGap.
func (i *Isolation) IsActive(now time.Time) bool {
	return !i.lastObserved.IsZero() && now.Sub(i.lastObserved) <= maxObservationGap
}
