package experiment

// policy decides which engine runs a call and when.
type policy interface {
	// submit takes a call that is ready. The policy hands it to world.send at once or later.
	submit(c *call)
	// ended is told that a call has ended at its engine, or was lost with it.
	callEnded(c *call, ran bool)
	// programEnded is told that a program makes no more calls.
	programEnded(p *program)
	// cacheChanged is told of a change in an engine's cache, when it happens.
	cacheChanged(e *engine, program string, tokens int64, stored bool)
	// enginesChanged is told that an engine is lost or cannot be reached from some sites, or can be reached again.
	enginesChanged()
	// tick is called once a second.
	tick()
}

// baseline hands every call to an engine at once; the engines queue first come, first served. It sees the exact load of
// every engine, which is better than the lagging reports of the real ones.
type baseline struct {
	sim             *simulation
	sticky          bool
	regional        bool // Uses only engines of the home region while one is there.
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

// leastLoaded returns the engine with the fewest requests, where equal the one nearest to the program's home.
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

func (b *baseline) isBetter(home int, e, than *engine) bool {
	if e.requestCount() != than.requestCount() {
		return e.requestCount() < than.requestCount()
	}
	return b.sim.oneWaySeconds(home, e.site) < b.sim.oneWaySeconds(home, than.site)
}

func (b *baseline) callEnded(*call, bool) {}

func (b *baseline) programEnded(p *program) { delete(b.engineByProgram, p.id) }

func (b *baseline) cacheChanged(*engine, string, int64, bool) {}

func (b *baseline) enginesChanged() {}

func (b *baseline) tick() {}
