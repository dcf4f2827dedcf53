package experiment

// policy decides which engine runs a call and when.
type policy interface {
	// submit takes a call that is ready. The policy hands it to world.send at once or later.
	submit(c *call)
	// ended is told that a call has ended at its engine, or was lost with it.
	ended(c *call, ran bool)
	// programEnded is told that a program makes no more calls.
	programEnded(p *process)
	// cacheChanged is told of a change in an engine's cache, when it happens.
	cacheChanged(e *engine, program string, tokens int64, stored bool)
	// engineChanged is told that an engine is lost or cannot be reached from some sites, or can be reached again.
	engineChanged()
	// tick is called once a second.
	tick()
}

// baseline hands every call to an engine at once; the engines queue first come, first served. It sees the exact load of
// every engine, which is better than the lagging reports of the real ones.
type baseline struct {
	w        *world
	sticky   bool
	regional bool // Uses only engines of the home region while one is there.
	chosen   map[string]*engine
}

func newBaseline(w *world, sticky, regional bool) *baseline {
	return &baseline{w: w, sticky: sticky, regional: regional, chosen: map[string]*engine{}}
}

func (b *baseline) submit(c *call) {
	e := b.chosen[c.p.id]
	if !b.sticky || e == nil || !b.w.reachable(c.p.script.home, e) {
		e = b.leastLoaded(c)
		b.chosen[c.p.id] = e
	}
	if e == nil {
		b.w.retryLater(c, 1)
		return
	}
	b.w.send(c, e)
}

// leastLoaded returns the engine with the fewest requests, where equal the one nearest to the program's home.
func (b *baseline) leastLoaded(c *call) *engine {
	var best *engine
	home := c.p.script.home
	for pass := range 2 {
		for _, e := range b.w.engines {
			if e.group != c.p.script.group || !b.w.reachable(home, e) {
				continue
			}
			if b.regional && pass == 0 && b.w.crosses(home, e.site) {
				continue
			}
			if best == nil || b.better(home, e, best) {
				best = e
			}
		}
		if best != nil {
			return best
		}
	}
	return nil
}

func (b *baseline) better(home int, e, than *engine) bool {
	if e.load() != than.load() {
		return e.load() < than.load()
	}
	return b.w.oneWay(home, e.site) < b.w.oneWay(home, than.site)
}

func (b *baseline) ended(*call, bool) {}

func (b *baseline) programEnded(p *process) { delete(b.chosen, p.id) }

func (b *baseline) cacheChanged(*engine, string, int64, bool) {}

func (b *baseline) engineChanged() {}

func (b *baseline) tick() {}
