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

// runPolls polls the reports of the group's engines and sends orders until the context ends.
func (g *group) runPolls(ctx context.Context) {
	go g.sendOrders(ctx)
	ticker := time.NewTicker(g.pool.cfg.PollInterval)
	defer ticker.Stop()
	for poll := 1; ; poll++ {
		g.pollEngines(ctx)
		if poll%pollsPerReconciliation == 0 {
			g.reconcileCaches(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// pollsPerReconciliation is the number of polls between two reconciliations of the engines' caches with the running
// programs. Reconciliation repairs lost events and finds the programs of crashed daemons.
const pollsPerReconciliation = 10

// reconcileCaches reads the cache listings of the engines and releases the prefixes of programs that no longer run.
func (g *group) reconcileCaches(ctx context.Context) {
	names, addresses := g.engineAddresses()
	for _, name := range names {
		callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
		listing, err := g.pool.engines.CachedPrograms(callCtx, addresses[name])
		cancel()
		if err != nil {
			continue
		}
		g.queueOrders(g.observeCacheListing(name, listing))
		g.queueOrders(g.releaseEndedPrograms(ctx, name, listing))
	}
}

func (g *group) observeCacheListing(name string, listing []upstream.CachedProgram) []schedule.Order {
	prefixes := make([]schedule.CachedPrefix, 0, len(listing))
	for _, cached := range listing {
		prefixes = append(prefixes, schedule.CachedPrefix{Program: cached.Program, Tokens: cached.Tokens})
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.dispatcher.ObserveCacheListing(name, prefixes)
}

// releaseEndedPrograms returns release orders for the listed prefixes whose programs have ended.
func (g *group) releaseEndedPrograms(ctx context.Context, name string, listing []upstream.CachedProgram) []schedule.Order {
	ids := make([]string, 0, len(listing))
	for _, cached := range listing {
		if cached.Program != "" {
			ids = append(ids, cached.Program)
		}
	}
	var orders []schedule.Order
	for _, id := range g.pool.cfg.EndedPrograms(ctx, ids) {
		orders = append(orders, schedule.Order{Type: schedule.OrderReleaseCache, Engine: name, Program: id})
	}
	return orders
}

func (g *group) pollEngines(ctx context.Context) {
	names, addresses := g.engineAddresses()
	var polls sync.WaitGroup
	for _, name := range names {
		polls.Go(func() { g.pollEngine(ctx, name, addresses[name]) })
	}
	polls.Wait()
}

func (g *group) pollEngine(ctx context.Context, name, address string) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	load, err := g.pool.engines.ReadLoad(ctx, address)
	if err != nil {
		g.recordReportFailure(name, err)
		return
	}
	g.observeLoad(name, load)
	events, err := g.pool.engines.ReadCacheEvents(ctx, address, g.cacheEventPosition(name))
	if err == nil {
		g.observeCacheEvents(name, events)
	}
}

func (g *group) recordReportFailure(name string, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e, ok := g.engines[name]
	if !ok {
		return
	}
	e.consecutiveFailures++
	if e.consecutiveFailures != maxEngineFailures {
		return
	}
	g.pool.log.Warn("engine load report failed repeatedly; engine gets no new calls", "engine", name, "error", err)
	e.spec.Draining = true
	g.dispatcher.SetEngine(e.spec)
}

func (g *group) observeLoad(name string, l upstream.LoadReport) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	e, ok := g.engines[name]
	if !ok {
		return
	}
	if e.consecutiveFailures >= maxEngineFailures {
		g.pool.log.Info("engine load reports resumed", "engine", name)
	}
	e.consecutiveFailures, e.hasReported, e.reportedModels = 0, true, l.Models
	g.updateEngine(name, e)
	g.dispatcher.ObserveLoad(now, name, l.Running, l.Waiting, time.UnixMilli(l.AtMillis))
	g.grantSlots(now)
}

// updateEngine updates the dispatcher's entry of an engine from its current state.
func (g *group) updateEngine(name string, e *engineState) {
	u, ok := g.appliedRecords.Upstream(name)
	if !ok {
		return
	}
	e.spec.Draining = g.isDraining(u, e)
	e.spec.Models = g.readyModels(g.appliedRecords, e)
	g.dispatcher.SetEngine(e.spec)
}

func (g *group) cacheEventPosition(name string) uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if e, ok := g.engines[name]; ok {
		return e.nextCacheEvent
	}
	return 0
}

func (g *group) observeCacheEvents(name string, c upstream.CacheEvents) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e, ok := g.engines[name]
	if !ok {
		return
	}
	e.nextCacheEvent = c.Next
	if c.Gap {
		g.dispatcher.ObserveCacheEvent(schedule.CacheEvent{Engine: name, Type: schedule.CacheGap})
	}
	for _, ev := range c.Events {
		g.dispatcher.ObserveCacheEvent(schedule.CacheEvent{
			Engine:  name,
			Type:    schedule.CacheEventType(ev.Type),
			Program: ev.Program,
			Tokens:  ev.Tokens,
		})
	}
}

// sendOrders sends queued orders one at a time. An order that fails is dropped, because the reconciliation finds the
// program again.
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
	_, addresses := g.engineAddresses()
	target, ok := addresses[o.Engine]
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
		g.pool.log.Debug("cache release order failed", "engine", o.Engine, "program", o.Program, "error", err)
	}
}
