package schedule

import (
	"time"

	"jackdawbay.dev/api/records"
)

// laneKey names a queue: tickets of one model and adapter can run on the same engines.
type laneKey struct{ model, adapter string }

// lane holds the tickets of one model and adapter that wait for any engine.
type lane struct {
	key   laneKey
	queue queue
	// newcomers holds first calls of programs by class, so that a class with small prompts does not wait behind one
	// whose prompts find no room.
	newcomers []*newcomers
	slots     int // Slots of the engines that serve the lane.
	index     int // Position in laneSet.
}

// newcomers holds first calls of the programs of one class.
type newcomers struct {
	class *classState
	queue queue
}

// queueFor returns the queue of a lane in which an item waits.
func (d *Dispatcher) queueFor(it *item) *queue {
	if !d.cfg.on(PausedProtection) || !it.newcomer() {
		return &it.lane.queue
	}
	for _, n := range it.lane.newcomers {
		if n.class == it.class {
			return &n.queue
		}
	}
	n := &newcomers{class: it.class}
	it.lane.newcomers = append(it.lane.newcomers, n)
	return &n.queue
}

// newcomer reports whether a call is the first of its program.
func (it *item) newcomer() bool { return !it.program.seen && it.HistoryTokens == 0 }

// laneSet is a set of lanes by their index.
type laneSet [maxLanes / 64]uint64

func (s *laneSet) has(l *lane) bool { return s[l.index/64]&(1<<(l.index%64)) != 0 }

func (s *laneSet) add(l *lane) { s[l.index/64] |= 1 << (l.index % 64) }

func (s *laneSet) remove(l *lane) { s[l.index/64] &^= 1 << (l.index % 64) }

// engine is the dispatcher's view of one engine.
type engine struct {
	Engine
	lanes      laneSet
	granted    int
	foreign    int   // Requests on the engine that this dispatcher did not grant.
	pinned     int64 // Context tokens of the granted calls.
	heldTokens int64 // Sum of prefixes.
	demand     int64 // Sum of the contexts of the programs in homes.
	homes      homeList
	prefixes   prefixList
	bound      queue
	freePos    int // Position in Dispatcher.free; -1 when no slot is free.
	prefillEnd time.Time
	service    float64 // Moving average of the time that a call holds a slot, in seconds.
	starts     timeRing
	ends       timeRing
	reportAt   time.Time
}

func (e *engine) freeSlots() int { return e.Slots - e.granted - e.foreign }

// classState is what a dispatcher knows of a class.
type classState struct {
	limit   records.Limit
	waiting int
	output  float64 // Moving average of the response length in tokens.
	context float64 // Moving average of the context at the end of a call in tokens.
}

// Dispatcher is the queue and the slots of one engine group in one data centre. It is not safe for concurrent use.
type Dispatcher struct {
	cfg          Config
	byName       map[string]*engine
	removed      map[string]*engine // Engines that were removed while calls held their slots.
	engines      []*engine
	free         []*engine // Engines with a free slot that take new work.
	lanes        map[laneKey]*lane
	laneList     []*lane
	items        map[string]*item
	waiting      int
	timers       timers
	programs     programTable
	classes      map[string]*classState
	tenants      tenantShares
	seq          uint64
	epoch        time.Time // Zero of the queue keys.
	meanService  float64   // Moving average over all engines, in seconds.
	nextReturn   time.Time // When the refused call with the latest retry time returns.
	freeItems    []*item
	freePrefixes []*prefix
}

// NewDispatcher returns a dispatcher without engines.
func NewDispatcher(cfg Config) *Dispatcher {
	d := &Dispatcher{
		cfg:     cfg.withDefaults(),
		byName:  map[string]*engine{},
		removed: map[string]*engine{},
		lanes:   map[laneKey]*lane{},
		items:   map[string]*item{},
		classes: map[string]*classState{},
	}
	d.programs.init()
	d.tenants.init()
	return d
}

// SetWeights replaces the placement weights. Tickets that wait keep their place.
func (d *Dispatcher) SetWeights(p records.Placement) { d.cfg.Placement = p }

// SetLimits replaces the bounds of the queue and of the remembered programs. Zero keeps a bound.
func (d *Dispatcher) SetLimits(queueDepth, maxPrograms int) {
	if queueDepth > 0 {
		d.cfg.QueueDepth = queueDepth
	}
	if maxPrograms > 0 {
		d.cfg.MaxPrograms = maxPrograms
	}
}

// SetClassLimit sets the weight and the queue depth of a class.
func (d *Dispatcher) SetClassLimit(l records.Limit) { d.class(l.Class).limit = l }

// SetTenantWeight sets a tenant's share of engine time relative to other tenants.
func (d *Dispatcher) SetTenantWeight(tenant string, weight float64) {
	d.tenants.setWeight(tenant, weight)
}

func (d *Dispatcher) class(name string) *classState {
	if name == "" {
		name = records.DefaultClass
	}
	c := d.classes[name]
	if c == nil && len(d.classes) >= maxClasses {
		name = records.DefaultClass
		c = d.classes[name]
	}
	if c == nil {
		c = &classState{limit: records.DefaultLimit(), output: defaultOutput}
		d.classes[name] = c
	}
	return c
}

// Waiting returns the number of tickets that wait.
func (d *Dispatcher) WaitingCount() int { return d.waiting }

// Wake returns the time at which Next or Tick can do something without another event, and false when there is none.
func (d *Dispatcher) NextTimer() (time.Time, bool) {
	it := d.timers.head()
	if it == nil {
		return time.Time{}, false
	}
	return it.when, true
}

// SetEngine adds an engine or changes one.
func (d *Dispatcher) SetEngine(spec Engine) {
	e := d.byName[spec.Name]
	if e == nil {
		e = d.newEngine(spec.Name)
		d.byName[spec.Name] = e
		d.engines = append(d.engines, e)
	}
	e.Engine = spec
	for _, l := range d.laneList {
		d.connect(l, e)
	}
	if spec.Draining {
		d.unbindAll(e)
	}
	d.evict(e, nil)
	d.updateFree(e)
}

// newEngine returns an engine without slots. One that was removed and comes back keeps the grants that still count.
func (d *Dispatcher) newEngine(name string) *engine {
	if e := d.removed[name]; e != nil {
		delete(d.removed, name)
		return e
	}
	e := &engine{freePos: -1, service: defaultService}
	e.prefixes.init()
	e.homes.init()
	return e
}

// RemoveEngine forgets an engine. Its grants stay until they are released or expire.
func (d *Dispatcher) RemoveEngine(name string) {
	e := d.byName[name]
	if e == nil {
		return
	}
	e.Draining = true
	d.unbindAll(e)
	d.updateFree(e)
	for x := e.prefixes.oldest(); x != nil; x = e.prefixes.oldest() {
		d.forget(x)
	}
	for p := e.homes.oldest(); p != nil; p = e.homes.oldest() {
		leaveHome(p)
	}
	for _, l := range d.laneList {
		if e.lanes.has(l) {
			l.slots -= e.Slots
		}
	}
	e.lanes = laneSet{}
	delete(d.byName, name)
	if e.granted > 0 {
		d.removed[name] = e
	}
	for i, other := range d.engines {
		if other == e {
			d.engines = append(d.engines[:i], d.engines[i+1:]...)
			break
		}
	}
}

// connect records whether an engine serves a lane.
func (d *Dispatcher) connect(l *lane, e *engine) {
	e.lanes.remove(l)
	if !e.Draining && serves(e.Engine, l.key) {
		e.lanes.add(l)
	}
	l.slots = 0
	for _, other := range d.engines {
		if other.lanes.has(l) {
			l.slots += other.Slots
		}
	}
}

func serves(e Engine, k laneKey) bool {
	for _, m := range e.Models {
		if m.Name != k.model {
			continue
		}
		if k.adapter == "" {
			return true
		}
		for _, a := range m.Adapters {
			if a == k.adapter {
				return true
			}
		}
	}
	return false
}

// lane returns the lane of a model and adapter, or nil when the bound on lanes is reached.
func (d *Dispatcher) lane(k laneKey) *lane {
	if l := d.lanes[k]; l != nil {
		return l
	}
	if len(d.laneList) >= maxLanes && !d.dropUnusedLane() {
		return nil
	}
	l := &lane{key: k, index: d.freeLaneIndex()}
	d.lanes[k] = l
	d.laneList = append(d.laneList, l)
	for _, e := range d.engines {
		d.connect(l, e)
	}
	return l
}

// freeLaneIndex returns the lowest index that no lane has.
func (d *Dispatcher) freeLaneIndex() int {
	var used laneSet
	for _, l := range d.laneList {
		used.add(l)
	}
	for i := range maxLanes {
		if !used.has(&lane{index: i}) {
			return i
		}
	}
	return 0
}

func (d *Dispatcher) dropUnusedLane() bool {
	used := map[*lane]bool{}
	for _, it := range d.items {
		used[it.lane] = true
	}
	for i, l := range d.laneList {
		if used[l] {
			continue
		}
		d.laneList = append(d.laneList[:i], d.laneList[i+1:]...)
		delete(d.lanes, l.key)
		for _, e := range d.engines {
			e.lanes.remove(l)
		}
		return true
	}
	return false
}

// updateFree keeps the list of engines with a free slot.
func (d *Dispatcher) updateFree(e *engine) {
	want := !e.Draining && e.freeSlots() > 0
	switch {
	case want && e.freePos < 0:
		e.freePos = len(d.free)
		d.free = append(d.free, e)
	case !want && e.freePos >= 0:
		last := d.free[len(d.free)-1]
		d.free[e.freePos] = last
		last.freePos = e.freePos
		d.free = d.free[:len(d.free)-1]
		e.freePos = -1
	}
}

// unbindAll returns the tickets that wait for an engine to their lanes.
func (d *Dispatcher) unbindAll(e *engine) {
	for it := e.bound.head(); it != nil; it = e.bound.head() {
		d.toLane(it)
	}
}

// detach takes a waiting item out of the queue that holds it.
func (d *Dispatcher) detach(it *item) {
	switch it.state {
	case stateLane:
		it.queue.remove(it)
	case stateBound:
		it.engine.bound.remove(it)
		it.engine = nil
	}
	d.timers.remove(it)
}

func (d *Dispatcher) toLane(it *item) {
	d.detach(it)
	it.state = stateLane
	it.queue = d.queueFor(it)
	it.queue.push(it)
}
