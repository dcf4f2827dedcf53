package experiment

// faultAt is the part of the arrival time after which a fault begins.
const faultAt = 0.5

func (w *world) addFault() {
	at := w.run.ArrivalSeconds * faultAt
	switch w.run.Fault {
	case EngineFailure:
		w.clock.after(at, func() { w.loseEngine(w.engines[0]) })
	case SitePartition:
		w.clock.after(at, func() { w.cutOff(len(w.run.Deployment.Sites) - 1) })
		w.clock.after(at+cutSeconds, func() { w.cutOff(-1) })
	}
}

// loseEngine ends an engine for good. Its calls are idempotent and run again elsewhere.
func (w *world) loseEngine(e *engine) {
	e.dead = true
	w.policy.engineChanged()
	w.abort(func(c *call) bool { return c.engine == e })
}

// cutOff separates a site from all others; -1 joins it again. Calls that cross the cut are lost.
func (w *world) cutOff(site int) {
	w.cut = site
	w.policy.engineChanged()
	w.abort(func(c *call) bool { return !w.siteReachable(c.p.script.home, c.engine.site) })
}

func (w *world) abort(match func(*call) bool) {
	for _, e := range w.engines {
		for _, c := range e.abort(match) {
			w.lost(c)
		}
	}
	// Calls on the network, in a fixed order so that runs repeat.
	for _, c := range sortedCalls(w.inFlight) {
		if match(c) {
			w.lost(c)
		}
	}
}
