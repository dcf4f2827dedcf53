package schedule

import "time"

// ringSize bounds the grants and ends of an engine that are remembered to interpret a lagging load report.
const ringSize = 128

// timeRing holds the latest times of an event.
type timeRing struct {
	times [ringSize]time.Time
	next  int
}

func (r *timeRing) add(t time.Time) {
	r.times[r.next] = t
	r.next = (r.next + 1) % ringSize
}

// since counts the remembered events after t.
func (r *timeRing) since(t time.Time) int {
	n := 0
	for i := range r.times {
		if r.times[i].After(t) {
			n++
		}
	}
	return n
}

// ObserveLoad takes a load report that describes the engine at the time at. Requests beyond those that this dispatcher
// had granted at that time are foreign, for example of a former dispatcher, and take slots too.
func (d *Dispatcher) ObserveLoad(now time.Time, engineName string, running, waiting int, at time.Time) {
	e := d.byName[engineName]
	if e == nil || at.After(now) || at.Before(e.reportAt) {
		return
	}
	e.reportAt = at
	granted := e.granted + e.ends.since(at) - e.starts.since(at)
	e.foreign = max(running+waiting-max(granted, 0), 0)
	d.updateFree(e)
}
