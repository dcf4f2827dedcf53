package dispatch

import (
	"slices"
	"time"

	"jackdawbay.dev/api/records"
	"jackdawbay.dev/core/schedule"
)

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
			g.d.SetClassLimit(*r.Limit)
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
			Draining:    g.leaves(u, e),
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

// suspend takes an engine out of use that just failed a call, until its next report.
func (g *group) suspend(name string) {
	e, ok := g.engines[name]
	if !ok {
		return
	}
	e.failures = max(e.failures, maxEngineFailures)
	e.spec.Draining = true
	g.d.SetEngine(e.spec)
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
