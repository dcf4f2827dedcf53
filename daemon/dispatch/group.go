package dispatch

import (
	"sync"
	"time"

	"jackdawbay.dev/api/records"
	"jackdawbay.dev/core/schedule"
	"jackdawbay.dev/daemon/upstream"
)

// maxOrders bounds the cache orders that wait to be sent. Orders beyond it are dropped; the reconciliation with the
// engine's own list finds those programs again.
const maxOrders = 1024

// group runs one dispatcher.
type group struct {
	pool   *Pool
	name   string
	orders chan schedule.Order

	mu      sync.Mutex
	d       *schedule.Dispatcher
	set     *records.Set // Records that the dispatcher was last set up with.
	engines map[string]*engineState
	waiters map[string]chan schedule.Grant
	granted map[string]held // Slots in use by ticket.
	service time.Duration   // Moving mean of the time that a call holds a slot.
}

// held is a slot in use.
type held struct {
	engine string
	since  time.Time
}

// engineState is what is known of one engine.
type engineState struct {
	spec     schedule.Engine
	address  string
	failures int
	since    uint64 // Position in the cache events.
	reported []upstream.ModelState
	answered bool
	hinted   bool                 // Its VM is said to be leaving.
	drains   map[string]time.Time // End of the drain by model.
}

func newGroup(p *Pool, name string) *group {
	return &group{
		pool:    p,
		name:    name,
		orders:  make(chan schedule.Order, maxOrders),
		d:       schedule.NewDispatcher(schedule.Config{Placement: p.records().Placement(name)}),
		engines: map[string]*engineState{},
		waiters: map[string]chan schedule.Grant{},
		granted: map[string]held{},
	}
}

func (g *group) tick(now time.Time) {
	g.refresh()
	g.mu.Lock()
	orders := g.d.Tick(now)
	g.pump(now)
	g.mu.Unlock()
	g.send(orders)
}

func (g *group) programEnded(program string) {
	g.mu.Lock()
	orders := g.d.EndProgram(program)
	g.mu.Unlock()
	g.send(orders)
}

func (g *group) send(orders []schedule.Order) {
	for _, o := range orders {
		select {
		case g.orders <- o:
		default:
			g.pool.log.Warn("cache order dropped; too many wait", "group", g.name)
		}
	}
}

func (g *group) stats() Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Stats{Group: g.name, Waiting: g.d.WaitingCount(), Granted: len(g.granted)}
}
