package dispatch

import (
	"slices"
	"time"

	"jackdawbay.dev/api/records"
	"jackdawbay.dev/core/schedule"
)

// applyRecords updates the dispatcher if the records have changed.
func (g *group) applyRecords() {
	set := g.pool.records()
	g.mu.Lock()
	defer g.mu.Unlock()
	if set == g.appliedRecords {
		return
	}
	g.appliedRecords = set
	g.dispatcher.SetWeights(set.Placement(g.name))
	for _, r := range set.All() {
		switch {
		case r.Limit != nil:
			g.dispatcher.SetClassLimit(*r.Limit)
		case r.Tenant != nil && r.Tenant.Weight > 0:
			g.dispatcher.SetTenantWeight(r.Name, r.Tenant.Weight)
		}
	}
	g.setEngines(set)
}

// setEngines adds, updates and removes engines so that they match the records of the group in this data centre.
func (g *group) setEngines(set *records.Set) {
	for name := range g.engines {
		u, ok := set.Upstream(name)
		if !ok || u.Group != g.name || u.DataCentre != g.pool.cfg.DataCentre {
			delete(g.engines, name)
			g.dispatcher.RemoveEngine(name)
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
			Models:      g.readyModels(set, e),
			Draining:    g.isDraining(u, e),
		}
		g.dispatcher.SetEngine(e.spec)
	}
}

// isDraining reports whether an engine gets no new calls: its record marks it as leaving, its VM is leaving, or it has
// failed too often.
func (g *group) isDraining(u records.Upstream, e *engineState) bool {
	return u.Leaving || e.vmLeaving || e.consecutiveFailures >= maxEngineFailures
}

// applyLeavingVMs stops new calls to the engines on leaving VMs. If that would leave no engine, it ignores the list,
// because the list is delayed and may be wrong.
func (g *group) applyLeavingVMs() {
	g.applyRecords()
	g.mu.Lock()
	defer g.mu.Unlock()
	leaving := map[string]bool{}
	for name, e := range g.engines {
		if g.pool.isLeaving(e.address) {
			leaving[name] = true
		}
	}
	if len(leaving) == len(g.engines) {
		leaving = nil
	}
	for name, e := range g.engines {
		e.vmLeaving = leaving[name]
		g.updateEngine(name, e)
	}
	g.grantSlots(time.Now())
}

// maxEngineFailures is the number of consecutive failures after which an engine gets no new calls.
const maxEngineFailures = 2

// readyModels returns the models that an engine serves: those that it last reported as ready and that are not being
// drained, or, before its first report, those of the records.
func (g *group) readyModels(set *records.Set, e *engineState) []schedule.ReadyModel {
	var models []schedule.ReadyModel
	if e.hasReported {
		now := time.Now()
		for _, m := range e.reportedModels {
			if m.State == "ready" && now.After(e.drainedUntil[m.Name]) {
				models = append(models, schedule.ReadyModel{Name: m.Name, Adapters: m.Adapters})
			}
		}
		return models
	}
	for _, r := range set.All() {
		if r.Model != nil && r.Model.Group == g.name {
			models = append(models, schedule.ReadyModel{Name: r.Name, Adapters: r.Model.Adapters})
		}
	}
	return models
}

// drainModel stops new calls of a model to an engine until a given time.
func (g *group) drainModel(engine, model string, until time.Time) {
	g.applyRecords()
	g.mu.Lock()
	defer g.mu.Unlock()
	e, ok := g.engines[engine]
	if !ok {
		return
	}
	if e.drainedUntil == nil {
		e.drainedUntil = map[string]time.Time{}
	}
	e.drainedUntil[model] = until
	g.updateEngine(engine, e)
}

// suspendEngine stops new calls to an engine that just failed a call, until its next load report.
func (g *group) suspendEngine(name string) {
	e, ok := g.engines[name]
	if !ok {
		return
	}
	e.consecutiveFailures = max(e.consecutiveFailures, maxEngineFailures)
	e.spec.Draining = true
	g.dispatcher.SetEngine(e.spec)
}

// engineAddresses returns the names of the engines in sorted order, and their addresses by name.
func (g *group) engineAddresses() (names []string, addresses map[string]string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	addresses = make(map[string]string, len(g.engines))
	for name, e := range g.engines {
		names = append(names, name)
		addresses[name] = e.address
	}
	slices.Sort(names)
	return names, addresses
}
