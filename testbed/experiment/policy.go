package experiment

// policy decides which engine runs a call and when.
type policy interface {
	// submit accepts a call that is ready. The policy calls simulation.sendToEngine immediately or later.
	submit(c *call)
	// callEnded reports that a call has ended at its engine (ran is true), or was lost with the engine.
	callEnded(c *call, ran bool)
	// programEnded reports that a program makes no more calls.
	programEnded(p *program)
	// cacheChanged reports a change of an engine's cache, at the time of the change.
	cacheChanged(e *engine, program string, tokens int64, stored bool)
	// enginesChanged reports that engines have failed, or are unreachable from some sites, or are reachable again.
	enginesChanged()
	// tick is called once per second.
	tick()
}

// baseline sends every call to an engine immediately; the engines queue calls in order of arrival. It uses the exact
// load of every engine, which is more accurate than the delayed reports of real engines.
type baseline struct {
	sim             *simulation
	sticky          bool
	regional        bool // Uses only engines of the home region while it has any.
	engineByProgram map[string]*engine
}

func newBaseline(sim *simulation, sticky, regional bool) *baseline {
	return &baseline{sim: sim, sticky: sticky, regional: regional, engineByProgram: map[string]*engine{}}
}

func (b *baseline) submit(c *call) {
	e := b.engineByProgram[c.program.id]
	if !b.sticky || e == nil || !b.sim.isReachable(c.program.script.home, e) {
		e = b.leastLoaded(c)
		b.engineByProgram[c.program.id] = e
	}
	if e == nil {
		b.sim.resubmitAfter(c, 1)
		return
	}
	b.sim.sendToEngine(c, e)
}

// leastLoaded returns the engine with the fewest requests. Among equals, it returns the one nearest to the program's
// home.
func (b *baseline) leastLoaded(c *call) *engine {
	var best *engine
	home := c.program.script.home
	for pass := range 2 {
		for _, e := range b.sim.engines {
			if e.group != c.program.script.group || !b.sim.isReachable(home, e) {
				continue
			}
			if b.regional && pass == 0 && b.sim.crossesRegion(home, e.site) {
				continue
			}
			if best == nil || b.isBetter(home, e, best) {
				best = e
			}
		}
		if best != nil {
			return best
		}
	}
	return nil
}

func (b *baseline) isBetter(home int, e, other *engine) bool {
	if e.requestCount() != other.requestCount() {
		return e.requestCount() < other.requestCount()
	}
	return b.sim.oneWaySeconds(home, e.site) < b.sim.oneWaySeconds(home, other.site)
}

func (b *baseline) callEnded(*call, bool) {}

func (b *baseline) programEnded(p *program) { delete(b.engineByProgram, p.id) }

func (b *baseline) cacheChanged(*engine, string, int64, bool) {}

func (b *baseline) enginesChanged() {}

func (b *baseline) tick() {}
