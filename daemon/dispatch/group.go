package dispatch

import (
	"context"
	"slices"
	"sync"
	"time"

	"jackdawbay.dev/api/caller"
	"jackdawbay.dev/api/errkind"
	"jackdawbay.dev/api/records"
	"jackdawbay.dev/core/schedule"
	"jackdawbay.dev/daemon/peer"
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

// refresh sets the dispatcher up from the records when they changed.
func (g *group) refresh() {
	set := g.pool.records()
	g.mu.Lock()
	defer g.mu.Unlock()
	if set == g.set {
		return
	}
	g.set = set
	g.d.SetWeights(set.Placement(g.name))
	for _, r := range set.All() {
		switch {
		case r.Limit != nil:
			g.d.SetClass(*r.Limit)
		case r.Tenant != nil && r.Tenant.Weight > 0:
			g.d.SetTenantWeight(r.Name, r.Tenant.Weight)
		}
	}
	g.setEngines(set)
}

func (g *group) setEngines(set *records.Set) {
	for name := range g.engines {
		u, ok := set.Upstream(name)
		if !ok || u.Group != g.name || u.DataCentre != g.pool.cfg.DataCentre {
			delete(g.engines, name)
			g.d.RemoveEngine(name)
		}
	}
	for _, name := range set.Engines(g.name) {
		u, _ := set.Upstream(name)
		if u.DataCentre != g.pool.cfg.DataCentre {
			continue
		}
		e, ok := g.engines[name]
		if !ok {
			e = &engineState{}
			g.engines[name] = e
		}
		e.address = u.Address
		e.spec = schedule.Engine{
			Name:        name,
			Slots:       u.Slots,
			CacheTokens: u.CacheTokens,
			Models:      g.models(set, e),
			Leaving:     g.leaves(u, e),
		}
		g.d.SetEngine(e.spec)
	}
}

// leaves reports whether an engine gets no new work.
func (g *group) leaves(u records.Upstream, e *engineState) bool {
	return u.Leaving || e.hinted || e.failures >= maxEngineFailures
}

// applyLeaving takes engines out of use whose VMs are said to be leaving. When that would leave no engine, the list is
// ignored: it lags and may be wrong.
func (g *group) applyLeaving() {
	g.refresh()
	g.mu.Lock()
	defer g.mu.Unlock()
	hinted := map[string]bool{}
	for name, e := range g.engines {
		if g.pool.saidToLeave(e.address) {
			hinted[name] = true
		}
	}
	if len(hinted) == len(g.engines) {
		hinted = nil
	}
	for name, e := range g.engines {
		e.hinted = hinted[name]
		g.updateEngine(name, e)
	}
	g.pump(time.Now())
}

// maxEngineFailures is how many failed reports in a row take an engine out of use.
const maxEngineFailures = 2

// models returns what an engine serves: what it reported as ready, or, before its first report, what the records want.
func (g *group) models(set *records.Set, e *engineState) []schedule.ReadyModel {
	var list []schedule.ReadyModel
	if e.answered {
		now := time.Now()
		for _, m := range e.reported {
			if m.State == "ready" && now.After(e.drains[m.Name]) {
				list = append(list, schedule.ReadyModel{Name: m.Name, Adapters: m.Adapters})
			}
		}
		return list
	}
	for _, r := range set.All() {
		if r.Model != nil && r.Model.Group == g.name {
			list = append(list, schedule.ReadyModel{Name: r.Name, Adapters: r.Model.Adapters})
		}
	}
	return list
}

// drain takes a model of an engine out of use until a time.
func (g *group) drain(engine, model string, until time.Time) {
	g.refresh()
	g.mu.Lock()
	defer g.mu.Unlock()
	e, ok := g.engines[engine]
	if !ok {
		return
	}
	if e.drains == nil {
		e.drains = map[string]time.Time{}
	}
	e.drains[model] = until
	g.updateEngine(engine, e)
}

func (g *group) acquire(ctx context.Context, a peer.Acquire) (schedule.Grant, error) {
	ready := make(chan schedule.Grant, 1)
	if err := g.enqueue(a, ready); err != nil {
		return schedule.Grant{}, err
	}
	select {
	case grant := <-ready:
		return grant, nil
	case <-ctx.Done():
		if grant, ok := g.abandon(a.Ticket, ready); ok {
			g.release(peer.Release{Ticket: grant.Ticket})
		}
		return schedule.Grant{}, errkind.New(errkind.DeadlineUnreachable, "No slot came free in time.")
	}
}

func (g *group) enqueue(a peer.Acquire, ready chan schedule.Grant) error {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, name := range a.Exclude {
		g.suspend(name)
	}
	err := g.d.Enqueue(now, schedule.Ticket{
		ID:            a.Ticket,
		Program:       a.Program,
		Parent:        a.Parent,
		Tenant:        a.Tenant,
		Class:         a.Class,
		Model:         a.Model,
		PromptTokens:  a.PromptTokens,
		HistoryTokens: a.HistoryTokens,
		MaxTokens:     a.MaxTokens,
		SpentTokens:   a.SpentTokens,
		Deadline:      a.Deadline,
		Enqueued:      now,

		PreferredEngine: a.Preferred,
	})
	if err != nil {
		return err
	}
	g.waiters[a.Ticket] = ready
	g.pump(now)
	return nil
}

// suspend takes an engine out of use that just failed a call, until its next report.
func (g *group) suspend(name string) {
	e, ok := g.engines[name]
	if !ok {
		return
	}
	e.failures = max(e.failures, maxEngineFailures)
	e.spec.Leaving = true
	g.d.SetEngine(e.spec)
}

// abandon withdraws a ticket. It returns the grant that came at the same moment, if any.
func (g *group) abandon(ticket string, ready chan schedule.Grant) (schedule.Grant, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case grant := <-ready:
		return grant, true
	default:
	}
	delete(g.waiters, ticket)
	g.d.Cancel(ticket)
	g.pump(time.Now())
	return schedule.Grant{}, false
}

// pump hands out slots while there are some.
func (g *group) pump(now time.Time) {
	for {
		grant, ok := g.d.Next(now)
		if !ok {
			return
		}
		ready, waiting := g.waiters[grant.Ticket]
		if !waiting {
			g.d.Release(now, grant.Ticket, caller.Usage{})
			continue
		}
		delete(g.waiters, grant.Ticket)
		g.granted[grant.Ticket] = held{engine: grant.Engine, since: now}
		ready <- grant
	}
}

func (g *group) release(r peer.Release) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if r.Failed {
		if e, ok := g.engines[r.Engine]; ok {
			e.failures++
		}
	}
	g.observeService(now, r)
	delete(g.granted, r.Ticket)
	g.d.Release(now, r.Ticket, r.Usage)
	g.pump(now)
}

// serviceWeight is the weight of a new value in the moving mean of service times.
const serviceWeight = 0.05

func (g *group) observeService(now time.Time, r peer.Release) {
	slot, ok := g.granted[r.Ticket]
	if !ok || r.Failed {
		return
	}
	took := now.Sub(slot.since)
	if g.service == 0 {
		g.service = took
	}
	g.service += time.Duration(serviceWeight * float64(took-g.service))
}

// load returns the load of the group for the choice of a data centre.
func (g *group) load() peer.GroupLoad {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := peer.GroupLoad{
		DataCentre:    g.pool.cfg.DataCentre,
		Running:       len(g.granted),
		Waiting:       g.d.Waiting(),
		ServiceMillis: g.service.Milliseconds(),
	}
	for _, e := range g.engines {
		if !e.spec.Leaving {
			l.Slots += e.spec.Slots
		}
	}
	return l
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
	orders := g.d.ProgramEnded(program)
	g.mu.Unlock()
	g.send(orders)
}

func (g *group) ingressLost(incarnation string) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for ticket, slot := range g.granted {
		if ingressOf(ticket) != incarnation {
			continue
		}
		delete(g.granted, ticket)
		g.d.Release(now, ticket, caller.Usage{})
		if e, ok := g.engines[slot.engine]; ok {
			go g.cancel(e.address, attemptOf(ticket))
		}
	}
	g.pump(now)
}

// cancel stops the request of a lost ingress, which would go on in the engine for no reader.
func (g *group) cancel(address, attempt string) {
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	if err := g.pool.engines.Cancel(ctx, address, attempt); err != nil {
		g.pool.log.Debug("request of a lost daemon was not cancelled", "request", attempt, "error", err)
	}
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
	return Stats{Group: g.name, Waiting: g.d.Waiting(), Granted: len(g.granted)}
}

// addresses returns the engines with their addresses, in order of name.
func (g *group) addresses() (names []string, address map[string]string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	address = make(map[string]string, len(g.engines))
	for name, e := range g.engines {
		names = append(names, name)
		address[name] = e.address
	}
	slices.Sort(names)
	return names, address
}
