package placement

import "time"

// Process identifies the process of an upstream.
type Process struct {
	ID          string `json:"id"`
	StartMillis int64  `json:"start_millis"`
}

// Parameters of suspicions.
const (
	// minReporters is the number of VMs that must report a process. The report of one VM may be caused by its own link.
	minReporters = 2
	// reportWindow is the time within which these reports must arrive. It is above the time until a VM notices that an upstream
	// is gone.
	reportWindow = 1500 * time.Millisecond
	// SuspicionDuration is the time for which a suspected process gets no requests, unless few others are left. An upstream that
	// is back gets requests soon. One that is still away costs few of them.
	SuspicionDuration = 1500 * time.Millisecond
	// maxReportedProcesses bounds the memory of the reports. It is above the number of upstreams of a deployment.
	maxReportedProcesses = 2000
	// maxReporters bounds the memory of the reports of one process.
	maxReporters = 8
	// maxSuspectedShare is the share of the upstreams of a service above which suspicions are ignored, since the cause is then
	// more likely on the way, and the others could not take the load.
	maxSuspectedShare = 1.0 / 3
)

// Suspicions collects the reports of several VMs that the process of an upstream cannot be reached. It is not safe for
// concurrent use.
type Suspicions struct {
	reports map[Process]map[string]time.Time // Time of the last report by reporter.
}

// NewSuspicions returns an empty collection.
func NewSuspicions() *Suspicions { return &Suspicions{reports: map[Process]map[string]time.Time{}} }

// Report records the report of a VM and returns whether the process is suspected.
func (s *Suspicions) Report(now time.Time, reporter string, p Process) bool {
	byReporter := s.reports[p]
	if byReporter == nil {
		if len(s.reports) >= maxReportedProcesses {
			s.removeExpired(now)
		}
		if len(s.reports) >= maxReportedProcesses {
			return false
		}
		byReporter = map[string]time.Time{}
		s.reports[p] = byReporter
	}
	for vm, at := range byReporter {
		if now.Sub(at) > reportWindow {
			delete(byReporter, vm)
		}
	}
	if _, ok := byReporter[reporter]; ok || len(byReporter) < maxReporters {
		byReporter[reporter] = now
	}
	return len(byReporter) >= minReporters
}

func (s *Suspicions) removeExpired(now time.Time) {
	for p, byReporter := range s.reports {
		expired := true
		for _, at := range byReporter {
			expired = expired && now.Sub(at) > reportWindow
		}
		if expired {
			delete(s.reports, p)
		}
	}
}

// Suspect excludes a process from new requests until a time, unless too many upstreams are suspected or no other is eligible.
func (g *Group) Suspect(until time.Time, p Process) {
	if u, ok := g.upstreams[p.ID]; ok && u.info.StartMillis == p.StartMillis && until.After(u.suspectedUntil) {
		u.suspectedUntil = until
		g.balance.lastSuspicion = laterOf(g.balance.lastSuspicion, until)
	}
}

// honoursSuspicions reports whether few enough upstreams are suspected.
func (g *Group) honoursSuspicions(now time.Time) bool {
	suspected, available := 0, 0
	for id, u := range g.upstreams {
		if u.info.Draining || g.isLeaving(id) {
			continue
		}
		available++
		if now.Before(u.suspectedUntil) {
			suspected++
		}
	}
	return suspected > 0 && float64(suspected) <= maxSuspectedShare*float64(available)
}

// RecordUnreachable records the end of a request to an upstream that could not be reached at all. One such failure ejects it,
// since the next request would wait as long.
func (g *Group) RecordUnreachable(now time.Time, id string) {
	if u, ok := g.upstreams[id]; ok {
		u.consecutiveFailures = max(u.consecutiveFailures, g.weights.EjectAfterFailures-1)
	}
	g.RecordEnd(now, id, true, 0)
}
