package schedule

import "time"

// staleAfter is the pause after which a program no longer counts in the demand for an engine's memory. Tool pauses have a
// heavy tail: one that has lasted this long is expected to last much longer.
const staleAfter = 60 * time.Second

// homeList is a ring of programs by last use; nextHome of the root is the oldest.
type homeList struct{ root program }

func (l *homeList) init() { l.root.prevHome, l.root.nextHome = &l.root, &l.root }

func (l *homeList) oldest() *program {
	if l.root.nextHome == &l.root {
		return nil
	}
	return l.root.nextHome
}

// setHome counts a program's context in the demand for an engine's memory. Other than the prefix index, the demand still
// counts a program whose prefix has been evicted, since it will need the memory again.
func setHome(p *program, e *engine, context int64) {
	leaveHome(p)
	p.home, p.context = e, context
	e.demand += context
	root := &e.homes.root
	p.prevHome, p.nextHome = root.prevHome, root
	p.prevHome.nextHome, p.nextHome.prevHome = p, p
}

func leaveHome(p *program) {
	if p.home == nil {
		return
	}
	p.home.demand -= p.context
	p.prevHome.nextHome, p.nextHome.prevHome = p.nextHome, p.prevHome
	p.home, p.prevHome, p.nextHome = nil, nil, nil
}

// dropStale takes programs that have paused for long out of an engine's demand.
func dropStale(now time.Time, e *engine) {
	for p := e.homes.oldest(); p != nil; p = e.homes.oldest() {
		if p.inFlight > 0 || now.Sub(p.pausedAt) < staleAfter {
			return
		}
		leaveHome(p)
	}
}

// expectedContext is the memory in tokens that a program will need for its calls to come.
func (it *item) expectedContext() int64 { return max(it.context(), int64(it.class.context)) }

// room returns the tokens that the demand for an engine's memory may reach.
func (d *Dispatcher) room(e *engine) int64 {
	return int64(float64(e.CacheTokens) * d.cfg.MaxMemoryDemand)
}

// overflow returns the tokens by which the demand for an engine's memory would exceed it with one more program. A program
// that is at home there adds nothing.
func (d *Dispatcher) overflow(it *item, e *engine) int64 {
	if e.CacheTokens <= 0 || it.program.home == e || !d.cfg.on(PausedProtection) {
		return 0
	}
	return max(e.demand+it.expectedContext()-d.room(e), 0)
}

// admissionDelay is the longest time that a new program waits for room. It is zero unless the placement puts more weight on
// cache than on latency: a trial with more weight on latency had longer program latencies with the wait than without.
func (d *Dispatcher) admissionDelay() time.Duration {
	w := d.cfg.Placement
	if w.CacheWeight <= w.LatencyWeight {
		return 0
	}
	part := (w.CacheWeight - w.LatencyWeight) / w.CacheWeight
	return time.Duration(part * float64(d.cfg.MaxAdmissionDelay))
}

// smallContext is the part, as a divisor, of an engine's memory below which a new program never waits for room. Short
// checks would otherwise wait behind long programs for little memory.
const smallContext = 100

// admits reports whether an engine has room for the first call of a program. After admissionDelay a program is admitted
// without room, so that no program waits for ever.
func (d *Dispatcher) admits(now time.Time, it *item, e *engine) bool {
	if !it.newcomer() || e.demand == 0 || it.expectedContext()*smallContext < e.CacheTokens {
		return true
	}
	if now.Sub(it.Enqueued) >= d.admissionDelay() {
		return true
	}
	return d.overflow(it, e) == 0
}

// Full reports whether the programs under way need all memory of the engines that take new work.
func (d *Dispatcher) IsMemoryFull() bool {
	for _, e := range d.engines {
		if !e.Draining && (e.CacheTokens <= 0 || e.demand < d.room(e)) {
			return false
		}
	}
	return true
}
