package schedule

import (
	"time"

	"jackdawbay.dev/api/records"
)

// modelKey identifies a queue. Tickets with the same model and adapter can run on the same engines.
type modelKey struct{ model, adapter string }

// modelQueue holds the waiting tickets of one model and adapter that any engine may take.
type modelQueue struct {
	key   modelKey
	queue queue
	// firstCalls holds the first calls of programs by class, so that a class with small prompts does not wait behind one
	// whose prompts do not fit in memory.
	firstCalls []*firstCallQueue
	slots      int // Total slots of the engines that serve the model and adapter.
	index      int // Index in modelQueueSet.
}

// firstCallQueue holds the first calls of the programs of one class.
type firstCallQueue struct {
	class *classState
	queue queue
}

// waitingQueue returns the queue within its model queue in which an item waits.
func (d *Dispatcher) waitingQueue(it *item) *queue {
	if !d.cfg.isEnabled(PausedProtection) || !it.isFirstCall() {
		return &it.modelQueue.queue
	}
	for _, calls := range it.modelQueue.firstCalls {
		if calls.class == it.class {
			return &calls.queue
		}
	}
	calls := &firstCallQueue{class: it.class}
	it.modelQueue.firstCalls = append(it.modelQueue.firstCalls, calls)
	return &calls.queue
}

// isFirstCall reports whether a call is the first of its program.
func (it *item) isFirstCall() bool { return !it.program.hasCompletedCall && it.HistoryTokens == 0 }

// modelQueueSet is a bit set of model queues by index.
type modelQueueSet [maxModelQueues / 64]uint64

func (s *modelQueueSet) has(mq *modelQueue) bool { return s[mq.index/64]&(1<<(mq.index%64)) != 0 }

func (s *modelQueueSet) add(mq *modelQueue) { s[mq.index/64] |= 1 << (mq.index % 64) }

func (s *modelQueueSet) remove(mq *modelQueue) { s[mq.index/64] &^= 1 << (mq.index % 64) }

// engine is the dispatcher's state of one engine.
type engine struct {
	Engine
	modelQueues       modelQueueSet
	granted           int   // Slots held by grants of this dispatcher.
	externalRequests  int   // Requests on the engine that this dispatcher did not grant.
	contextInUse      int64 // Context tokens of the granted calls.
	cachedTokens      int64 // Total tokens of prefixes.
	demand            int64 // Total demandTokens of demandPrograms.
	demandPrograms    demandList
	prefixes          prefixList
	boundTickets      queue     // Tickets that wait for this engine.
	freeIndex         int       // Index in Dispatcher.freeEngines; -1 if the engine is not in it.
	prefillBacklogEnd time.Time // Expected end of the prompt processing of all granted calls.
	meanSlotSeconds   float64   // Moving average of the time that a call holds a slot, in seconds.
	grantTimes        recentTimes
	endTimes          recentTimes
	reportedAt        time.Time
}

func (e *engine) freeSlots() int { return e.Slots - e.granted - e.externalRequests }

// classState is the state of a class in a dispatcher.
type classState struct {
	limit             records.Limit
	waiting           int
	meanOutputTokens  float64 // Moving average of the response length in tokens.
	meanContextTokens float64 // Moving average of the context at the end of a call, in tokens.
}

// Dispatcher manages the queue and the slots of one engine group in one data centre. It is not safe for concurrent use.
type Dispatcher struct {
	cfg             Config
	enginesByName   map[string]*engine
	removedEngines  map[string]*engine // Removed engines whose slots are still held by calls.
	engines         []*engine
	freeEngines     []*engine // Engines with a free slot that accept new work.
	modelQueues     map[modelKey]*modelQueue
	modelQueueList  []*modelQueue
	items           map[string]*item // By ticket ID.
	waiting         int
	timers          timerHeap // Expiry of grants and of waits for an engine.
	programs        programTable
	classes         map[string]*classState
	tenants         Shares
	seq             uint64    // Arrival number of the last ticket.
	keyEpoch        time.Time // Time origin of the queue keys.
	meanSlotSeconds float64   // Moving average over all engines, in seconds.
	nextRetryAt     time.Time // Latest retry time that a rejected call was given.
	itemPool        []*item
	prefixPool      []*prefix
}

// NewDispatcher returns a dispatcher without engines.
func NewDispatcher(cfg Config) *Dispatcher {
	d := &Dispatcher{
		cfg:            cfg.withDefaults(),
		enginesByName:  map[string]*engine{},
		removedEngines: map[string]*engine{},
		modelQueues:    map[modelKey]*modelQueue{},
		items:          map[string]*item{},
		classes:        map[string]*classState{},
	}
	d.programs.init()
	d.tenants.init()
	return d
}

// SetWeights replaces the placement weights. Waiting tickets retain their position in the queue.
func (d *Dispatcher) SetWeights(p records.Placement) { d.cfg.Placement = p }

// SetLimits replaces the limits of the queue depth and of the tracked programs. A zero value leaves a limit unchanged.
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
		c = &classState{limit: records.DefaultLimit(), meanOutputTokens: defaultOutputTokens}
		d.classes[name] = c
	}
	return c
}

// WaitingCount returns the number of waiting tickets.
func (d *Dispatcher) WaitingCount() int { return d.waiting }

// NextTimer returns the time at which NextGrant or Tick can next make progress without another event, and false if there is
// none.
func (d *Dispatcher) NextTimer() (time.Time, bool) {
	it := d.timers.head()
	if it == nil {
		return time.Time{}, false
	}
	return it.expiresAt, true
}

// SetEngine adds or updates an engine.
func (d *Dispatcher) SetEngine(spec Engine) {
	e := d.enginesByName[spec.Name]
	if e == nil {
		e = d.newEngine(spec.Name)
		d.enginesByName[spec.Name] = e
		d.engines = append(d.engines, e)
	}
	e.Engine = spec
	for _, mq := range d.modelQueueList {
		d.updateServingEngine(mq, e)
	}
	if spec.Draining {
		d.unbindTickets(e)
	}
	d.evictPrefixes(e, nil)
	d.updateFreeEngine(e)
}

// newEngine returns an engine without slots. An engine that was removed and is added again retains its active grants.
func (d *Dispatcher) newEngine(name string) *engine {
	if e := d.removedEngines[name]; e != nil {
		delete(d.removedEngines, name)
		return e
	}
	e := &engine{freeIndex: -1, meanSlotSeconds: defaultSlotSeconds}
	e.prefixes.init()
	e.demandPrograms.init()
	return e
}

// RemoveEngine removes an engine. Its grants remain until they are released or expire.
func (d *Dispatcher) RemoveEngine(name string) {
	e := d.enginesByName[name]
	if e == nil {
		return
	}
	e.Draining = true
	d.unbindTickets(e)
	d.updateFreeEngine(e)
	for entry := e.prefixes.oldest(); entry != nil; entry = e.prefixes.oldest() {
		d.removePrefix(entry)
	}
	for p := e.demandPrograms.oldest(); p != nil; p = e.demandPrograms.oldest() {
		clearDemand(p)
	}
	for _, mq := range d.modelQueueList {
		if e.modelQueues.has(mq) {
			mq.slots -= e.Slots
		}
	}
	e.modelQueues = modelQueueSet{}
	delete(d.enginesByName, name)
	if e.granted > 0 {
		d.removedEngines[name] = e
	}
	for i, other := range d.engines {
		if other == e {
			d.engines = append(d.engines[:i], d.engines[i+1:]...)
			break
		}
	}
}

// updateServingEngine updates whether an engine serves a model queue, and the total slots of that queue.
func (d *Dispatcher) updateServingEngine(mq *modelQueue, e *engine) {
	e.modelQueues.remove(mq)
	if !e.Draining && servesModel(e.Engine, mq.key) {
		e.modelQueues.add(mq)
	}
	mq.slots = 0
	for _, other := range d.engines {
		if other.modelQueues.has(mq) {
			mq.slots += other.Slots
		}
	}
}

func servesModel(e Engine, k modelKey) bool {
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

// modelQueueFor returns the queue of a model and adapter, or nil if maxModelQueues is reached.
func (d *Dispatcher) modelQueueFor(k modelKey) *modelQueue {
	if mq := d.modelQueues[k]; mq != nil {
		return mq
	}
	if len(d.modelQueueList) >= maxModelQueues && !d.removeUnusedModelQueue() {
		return nil
	}
	mq := &modelQueue{key: k, index: d.freeModelQueueIndex()}
	d.modelQueues[k] = mq
	d.modelQueueList = append(d.modelQueueList, mq)
	for _, e := range d.engines {
		d.updateServingEngine(mq, e)
	}
	return mq
}

// freeModelQueueIndex returns the lowest unused index.
func (d *Dispatcher) freeModelQueueIndex() int {
	var used modelQueueSet
	for _, mq := range d.modelQueueList {
		used.add(mq)
	}
	for i := range maxModelQueues {
		if !used.has(&modelQueue{index: i}) {
			return i
		}
	}
	return 0
}

func (d *Dispatcher) removeUnusedModelQueue() bool {
	used := map[*modelQueue]bool{}
	for _, it := range d.items {
		used[it.modelQueue] = true
	}
	for i, mq := range d.modelQueueList {
		if used[mq] {
			continue
		}
		d.modelQueueList = append(d.modelQueueList[:i], d.modelQueueList[i+1:]...)
		delete(d.modelQueues, mq.key)
		for _, e := range d.engines {
			e.modelQueues.remove(mq)
		}
		return true
	}
	return false
}

// updateFreeEngine adds an engine to freeEngines or removes it, depending on its free slots.
func (d *Dispatcher) updateFreeEngine(e *engine) {
	hasCapacity := !e.Draining && e.freeSlots() > 0
	switch {
	case hasCapacity && e.freeIndex < 0:
		e.freeIndex = len(d.freeEngines)
		d.freeEngines = append(d.freeEngines, e)
	case !hasCapacity && e.freeIndex >= 0:
		last := d.freeEngines[len(d.freeEngines)-1]
		d.freeEngines[e.freeIndex] = last
		last.freeIndex = e.freeIndex
		d.freeEngines = d.freeEngines[:len(d.freeEngines)-1]
		e.freeIndex = -1
	}
}

// unbindTickets returns the tickets that wait for an engine to their model queues.
func (d *Dispatcher) unbindTickets(e *engine) {
	for it := e.boundTickets.head(); it != nil; it = e.boundTickets.head() {
		d.returnToModelQueue(it)
	}
}

// removeFromQueue removes a waiting item from its queue and from the timers.
func (d *Dispatcher) removeFromQueue(it *item) {
	switch it.state {
	case stateQueued:
		it.queue.remove(it)
	case stateBound:
		it.engine.boundTickets.remove(it)
		it.engine = nil
	}
	d.timers.remove(it)
}

func (d *Dispatcher) returnToModelQueue(it *item) {
	d.removeFromQueue(it)
	it.state = stateQueued
	it.queue = d.waitingQueue(it)
	it.queue.push(it)
}
