package schedule

import "time"

// demandTimeout is the pause after which a program no longer counts towards the demand for an engine's memory. Tool pauses
// have a heavy tail: a pause that has lasted this long is expected to last much longer.
const demandTimeout = 60 * time.Second

// demandList is a circular list of programs in order of last use. root.nextDemand is the least recently used program.
type demandList struct{ root program }

func (l *demandList) init() { l.root.prevDemand, l.root.nextDemand = &l.root, &l.root }

func (l *demandList) oldest() *program {
	if l.root.nextDemand == &l.root {
		return nil
	}
	return l.root.nextDemand
}

// setDemand adds a program's context to the demand for an engine's memory. Unlike the prefix index, the demand includes
// programs whose prefix has been evicted, since they will need the memory again.
func setDemand(p *program, e *engine, context int64) {
	clearDemand(p)
	p.demandEngine, p.demandTokens = e, context
	e.demand += context
	root := &e.demandPrograms.root
	p.prevDemand, p.nextDemand = root.prevDemand, root
	p.prevDemand.nextDemand, p.nextDemand.prevDemand = p, p
}

func clearDemand(p *program) {
	if p.demandEngine == nil {
		return
	}
	p.demandEngine.demand -= p.demandTokens
	p.prevDemand.nextDemand, p.nextDemand.prevDemand = p.nextDemand, p.prevDemand
	p.demandEngine, p.prevDemand, p.nextDemand = nil, nil, nil
}

// clearStaleDemand removes programs that have paused for demandTimeout from an engine's demand.
func clearStaleDemand(now time.Time, e *engine) {
	for p := e.demandPrograms.oldest(); p != nil; p = e.demandPrograms.oldest() {
		if p.inFlight > 0 || now.Sub(p.pausedAt) < demandTimeout {
			return
		}
		clearDemand(p)
	}
}

// programContextTokens estimates the memory in tokens that a program will need for its future calls.
func (it *item) programContextTokens() int64 {
	return max(it.callContextTokens(), int64(it.class.meanContextTokens))
}

// maxDemand returns the maximum demand, in tokens, for an engine's memory.
func (d *Dispatcher) maxDemand(e *engine) int64 {
	return int64(float64(e.CacheTokens) * d.cfg.MaxMemoryDemand)
}

// excessDemand returns the tokens by which the demand for an engine's memory would exceed maxDemand with one more program.
// A program that already counts towards the engine's demand adds nothing.
func (d *Dispatcher) excessDemand(it *item, e *engine) int64 {
	if e.CacheTokens <= 0 || it.program.demandEngine == e || !d.cfg.isEnabled(PausedProtection) {
		return 0
	}
	return max(e.demand+it.programContextTokens()-d.maxDemand(e), 0)
}

// admissionDelay returns the maximum time that a new program waits for memory. It is zero unless the placement puts more
// weight on cache than on latency: with more weight on latency, programs took longer with the wait than without it.
func (d *Dispatcher) admissionDelay() time.Duration {
	w := d.cfg.Placement
	if w.CacheWeight <= w.LatencyWeight {
		return 0
	}
	share := (w.CacheWeight - w.LatencyWeight) / w.CacheWeight
	return time.Duration(share * float64(d.cfg.MaxAdmissionDelay))
}

// smallContextDivisor defines the context size below which a new program never waits for memory: the engine's memory
// divided by smallContextDivisor. Otherwise, short checks would wait behind long programs for little memory.
const smallContextDivisor = 100

// canAdmit reports whether an engine has memory for the first call of a program. After admissionDelay a program is admitted
// regardless of memory, so that every program starts eventually.
func (d *Dispatcher) canAdmit(now time.Time, it *item, e *engine) bool {
	if !it.isFirstCall() || e.demand == 0 || it.programContextTokens()*smallContextDivisor < e.CacheTokens {
		return true
	}
	if now.Sub(it.Enqueued) >= d.admissionDelay() {
		return true
	}
	return d.excessDemand(it, e) == 0
}

// IsMemoryFull reports whether the running programs need all memory of the engines that accept new work.
func (d *Dispatcher) IsMemoryFull() bool {
	for _, e := range d.engines {
		if !e.Draining && (e.CacheTokens <= 0 || e.demand < d.maxDemand(e)) {
			return false
		}
	}
	return true
}
