package dispatch

import (
	"sync"
	"time"

	"jackdawbay.dev/api/records"
	"jackdawbay.dev/core/schedule"
	"jackdawbay.dev/daemon/upstream"
)

// maxOrders is the capacity of the queue of cache orders. Further orders are dropped. The programs are found again by the
// reconciliation with the engine's cache listing.
const maxOrders = 1024

// group runs the dispatcher of one engine group.
type group struct {
	pool   *Pool
	name   string
	orders chan schedule.Order

	mu             sync.Mutex
	dispatcher     *schedule.Dispatcher
	appliedRecords *records.Set // Records that the dispatcher was last updated with.
	engines        map[string]*engineState
	pendingGrants  map[string]chan schedule.Grant // Channels of the calls that wait for a grant, by ticket.
	slots          map[string]grantedSlot         // Slots in use, by ticket.
	meanSlotTime   time.Duration                  // Moving average of the time that a call holds a slot.
}

// grantedSlot is a slot in use.
type grantedSlot struct {
	engine    string
	grantedAt time.Time
}

// engineState is the last observed state of one engine.
type engineState struct {
	spec                schedule.Engine
	address             string
	consecutiveFailures int
	nextCacheEvent      uint64 // Position from which to read the engine's cache events.
	reportedModels      []upstream.ModelState
	hasReported         bool
	vmLeaving           bool                 // The VM of the engine is in the list of leaving VMs.
	drainedUntil        map[string]time.Time // End of the drain, by model.
}

func newGroup(p *Pool, name string) *group {
	return &group{
		pool:          p,
		name:          name,
		orders:        make(chan schedule.Order, maxOrders),
		dispatcher:    schedule.NewDispatcher(schedule.Config{Placement: p.records().Placement(name)}),
		engines:       map[string]*engineState{},
		pendingGrants: map[string]chan schedule.Grant{},
		slots:         map[string]grantedSlot{},
	}
}

func (g *group) tick(now time.Time) {
	g.applyRecords()
	g.mu.Lock()
	orders := g.dispatcher.Tick(now)
	g.grantSlots(now)
	g.mu.Unlock()
	g.queueOrders(orders)
}

func (g *group) releaseProgramCache(program string) {
	g.mu.Lock()
	orders := g.dispatcher.EndProgram(program)
	g.mu.Unlock()
	g.queueOrders(orders)
}

func (g *group) queueOrders(orders []schedule.Order) {
	for _, o := range orders {
		select {
		case g.orders <- o:
		default:
			g.pool.log.Warn("cache order dropped; order queue is full", "group", g.name)
		}
	}
}

func (g *group) stats() Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Stats{Group: g.name, Waiting: g.dispatcher.WaitingCount(), Granted: len(g.slots)}
}
