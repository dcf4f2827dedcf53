package schedule

import "time"

// maxRecentTimes is the number of grants, and of ended calls, recorded per engine to interpret a delayed load report.
const maxRecentTimes = 128

// recentTimes is a ring buffer of the most recent times of an event.
type recentTimes struct {
	times [maxRecentTimes]time.Time
	next  int
}

func (r *recentTimes) add(t time.Time) {
	r.times[r.next] = t
	r.next = (r.next + 1) % maxRecentTimes
}

// countAfter returns the number of recorded events after t.
func (r *recentTimes) countAfter(t time.Time) int {
	n := 0
	for i := range r.times {
		if r.times[i].After(t) {
			n++
		}
	}
	return n
}

// ObserveLoad processes a load report that describes the engine at reportTime. Requests beyond those that this dispatcher
// had granted at that time are external, for example from a previous dispatcher. They occupy slots too.
func (d *Dispatcher) ObserveLoad(now time.Time, engineName string, running, waiting int, reportTime time.Time) {
	e := d.enginesByName[engineName]
	if e == nil || reportTime.After(now) || reportTime.Before(e.reportedAt) {
		return
	}
	e.reportedAt = reportTime
	granted := e.granted + e.endTimes.countAfter(reportTime) - e.grantTimes.countAfter(reportTime)
	e.externalRequests = max(running+waiting-max(granted, 0), 0)
	d.updateFreeEngine(e)
}
