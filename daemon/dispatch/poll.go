package dispatch

import (
	"context"
	"sync"
	"time"

	"jackdawbay.dev/core/schedule"
	"jackdawbay.dev/daemon/upstream"
)

const (
	reportTimeout = time.Second
	orderTimeout  = 2 * time.Second
)

// poll reads the reports of the group's engines and sends orders until the context ends.
func (g *group) poll(ctx context.Context) {
	go g.sendOrders(ctx)
	tick := time.NewTicker(g.pool.cfg.PollInterval)
	defer tick.Stop()
	for round := 1; ; round++ {
		g.pollEngines(ctx)
		if round%reconcileEvery == 0 {
			g.reconcile(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// reconcileEvery is how many polls pass between two comparisons of the engines' caches with the programs that run. The
// comparison repairs lost events and finds what a dead daemon left behind.
const reconcileEvery = 10

// reconcile reads what the engines hold and releases what belongs to programs that are gone.
func (g *group) reconcile(ctx context.Context) {
	names, address := g.addresses()
	for _, name := range names {
		callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
		held, err := g.pool.engines.CachedPrograms(callCtx, address[name])
		cancel()
		if err != nil {
			continue
		}
		g.send(g.observeHeld(name, held))
		g.send(g.releaseGone(ctx, name, held))
	}
}

func (g *group) observeHeld(name string, held []upstream.CachedProgram) []schedule.Order {
	list := make([]schedule.CachedPrefix, 0, len(held))
	for _, h := range held {
		list = append(list, schedule.CachedPrefix{Program: h.Program, Tokens: h.Tokens})
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.d.ObserveCacheListing(name, list)
}

// releaseGone orders the release of prefixes whose programs do not run any more.
func (g *group) releaseGone(ctx context.Context, name string, held []upstream.CachedProgram) []schedule.Order {
	ids := make([]string, 0, len(held))
	for _, h := range held {
		if h.Program != "" {
			ids = append(ids, h.Program)
		}
	}
	var orders []schedule.Order
	for _, id := range g.pool.cfg.EndedPrograms(ctx, ids) {
		orders = append(orders, schedule.Order{Type: schedule.OrderReleaseCache, Engine: name, Program: id})
	}
	return orders
}

func (g *group) pollEngines(ctx context.Context) {
	names, address := g.addresses()
	var polls sync.WaitGroup
	for _, name := range names {
		polls.Go(func() { g.pollEngine(ctx, name, address[name]) })
	}
	polls.Wait()
}

func (g *group) pollEngine(ctx context.Context, name, address string) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	load, err := g.pool.engines.ReadLoad(ctx, address)
	if err != nil {
		g.reportFailed(name, err)
		return
	}
	g.observeLoad(name, load)
	events, err := g.pool.engines.ReadCacheEvents(ctx, address, g.position(name))
	if err == nil {
		g.observeCache(name, events)
	}
}

func (g *group) reportFailed(name string, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e, ok := g.engines[name]
	if !ok {
		return
	}
	e.failures++
	if e.failures != maxEngineFailures {
		return
	}
	g.pool.log.Warn("engine does not report; it gets no new work", "engine", name, "error", err)
	e.spec.Draining = true
	g.d.SetEngine(e.spec)
}

func (g *group) observeLoad(name string, l upstream.LoadReport) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	e, ok := g.engines[name]
	if !ok {
		return
	}
	if e.failures >= maxEngineFailures {
		g.pool.log.Info("engine reports again", "engine", name)
	}
	e.failures, e.answered, e.reported = 0, true, l.Models
	g.updateEngine(name, e)
	g.d.ObserveLoad(now, name, l.Running, l.Waiting, time.UnixMilli(l.AtMillis))
	g.pump(now)
}

// updateEngine sets an engine up again after a report.
func (g *group) updateEngine(name string, e *engineState) {
	u, ok := g.set.Upstream(name)
	if !ok {
		return
	}
	e.spec.Draining = g.leaves(u, e)
	e.spec.Models = g.models(g.set, e)
	g.d.SetEngine(e.spec)
}

func (g *group) position(name string) uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if e, ok := g.engines[name]; ok {
		return e.since
	}
	return 0
}

func (g *group) observeCache(name string, c upstream.CacheEvents) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e, ok := g.engines[name]
	if !ok {
		return
	}
	e.since = c.Next
	if c.Gap {
		g.d.ObserveCacheEvent(schedule.CacheEvent{Engine: name, Type: schedule.CacheGap})
	}
	for _, ev := range c.Events {
		g.d.ObserveCacheEvent(schedule.CacheEvent{
			Engine:  name,
			Type:    schedule.CacheEventType(ev.Type),
			Program: ev.Program,
			Tokens:  ev.Tokens,
		})
	}
}

// sendOrders gives orders one after another. An order that fails is dropped: the reconciliation finds the program again.
func (g *group) sendOrders(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case o := <-g.orders:
			g.sendOrder(ctx, o)
		}
	}
}

func (g *group) sendOrder(ctx context.Context, o schedule.Order) {
	_, address := g.addresses()
	target, ok := address[o.Engine]
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := g.pool.engines.SendOrder(ctx, target, upstream.Order{
		FencingToken: g.pool.term(),
		Type:         upstream.OrderReleaseCache,
		Program:      o.Program,
	})
	if err != nil {
		g.pool.log.Debug("cache was not released", "engine", o.Engine, "program", o.Program, "error", err)
	}
}
