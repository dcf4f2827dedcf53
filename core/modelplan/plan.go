package modelplan

import (
	"slices"
	"sort"

	"jackdawbay.dev/api/records"
)

// planner holds the working state of one plan. Engines that get an order are marked, so that each gets at most one.
type planner struct {
	in        Input
	engines   []Engine
	ordered   map[string]bool
	ready     map[placeKey]int // Ready replicas that stay after the orders so far.
	pending   map[placeKey]int // Replicas of the wanted version that load or are ready.
	transfers int
	orders    []Order
	limit     int
}

// placeKey is a model at a data centre.
type placeKey struct{ model, dataCentre string }

// Plan returns the next orders, at most Input.Max. Repeating Plan with the new states of the engines converges.
func Plan(in Input) []Order {
	p := &planner{in: in, ordered: map[string]bool{}, ready: map[placeKey]int{}, pending: map[placeKey]int{}, limit: in.MaxOrders}
	if p.limit <= 0 {
		p.limit = DefaultMaxOrders
	}
	p.engines = slices.Clone(in.Engines)
	sort.Slice(p.engines, func(i, j int) bool { return p.engines[i].Name < p.engines[j].Name })
	p.count()
	names := p.modelNames()
	for _, name := range names {
		p.loadMissing(name)
	}
	for _, name := range names {
		p.replaceOld(name)
	}
	p.adapters()
	p.dropUnwanted()
	p.roles()
	return p.orders
}

func (p *planner) modelNames() []string {
	names := make([]string, 0, len(p.in.Models))
	for name := range p.in.Models {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func (p *planner) count() {
	for _, e := range p.engines {
		for _, m := range e.Models {
			key := placeKey{m.Name, e.DataCentre}
			if m.State == Loading {
				p.transfers++
			}
			if m.State == Ready && e.Reachable && !e.Leaving {
				p.ready[key]++
			}
			if m.State != Draining && p.wantsVersion(m) && !e.Leaving && e.Reachable {
				p.pending[key]++
			}
		}
	}
}

func (p *planner) wantsVersion(m LoadedModel) bool {
	want, ok := p.in.Models[m.Name]
	return ok && want.Version == m.Version
}

// wanted is the number of ready engines that the record wants at a data centre.
func (p *planner) wanted(name, dataCentre string) int {
	return p.in.Models[name].Replicas[dataCentre]
}

// usable reports whether an engine may get an order in this plan.
func (p *planner) usable(e Engine) bool {
	return len(p.orders) < p.limit && !p.ordered[e.Name] && CanOrder(e, p.in.FormerLeaseExpired)
}

func (p *planner) add(e Engine, o Order) {
	o.Engine = e.Name
	p.orders = append(p.orders, o)
	p.ordered[e.Name] = true
}

func (p *planner) canTransfer() bool { return p.transfers < p.in.WeightStore.transfers() }

// load starts a transfer.
func (p *planner) load(e Engine, name string) {
	p.transfers++
	p.pending[placeKey{name, e.DataCentre}]++
	p.add(e, Order{Type: LoadModel, Model: name, Version: p.in.Models[name].Version})
}

// loadMissing loads a model on engines with room until the wanted number is reached.
func (p *planner) loadMissing(name string) {
	for _, e := range p.engines {
		if !p.usable(e) || !p.canTransfer() || e.Leaving || e.Group != p.in.Models[name].Group {
			continue
		}
		key := placeKey{name, e.DataCentre}
		if p.pending[key] >= p.wanted(name, e.DataCentre) || find(e, name) != nil || !hasRoom(e) {
			continue
		}
		p.load(e, name)
	}
}

func hasRoom(e Engine) bool { return len(e.Models) < max(e.MaxModels, 1) }

func find(e Engine, name string) *LoadedModel {
	for i := range e.Models {
		if e.Models[i].Name == name {
			return &e.Models[i]
		}
	}
	return nil
}

// replaceOld drains and drops an old version so that the wanted one can be loaded there, one engine at a time for each
// model and data centre, and never the last ready replica.
func (p *planner) replaceOld(name string) {
	busy := p.reloading(name)
	for _, e := range p.engines {
		m := find(e, name)
		if m == nil || p.wantsVersion(*m) || m.State == Loading || !p.usable(e) || e.Leaving {
			continue
		}
		key := placeKey{name, e.DataCentre}
		if p.pending[key] >= p.wanted(name, e.DataCentre) {
			continue
		}
		if m.State == Ready && busy[e.DataCentre] {
			continue
		}
		if p.retire(e, *m) {
			busy[e.DataCentre] = true
		}
	}
}

// reloading returns the data centres where an engine of the model drains or loads.
func (p *planner) reloading(name string) map[string]bool {
	busy := map[string]bool{}
	for _, e := range p.engines {
		if m := find(e, name); m != nil && m.State != Ready {
			busy[e.DataCentre] = true
		}
	}
	return busy
}

// retire takes the next step to remove a model from an engine: drain, then drop when nothing runs.
func (p *planner) retire(e Engine, m LoadedModel) bool {
	if m.State == Draining {
		if e.Running > 0 {
			return false
		}
		p.add(e, Order{Type: DropModel, Model: m.Name, Version: m.Version})
		return true
	}
	if m.State != Ready || p.isLast(e, m) {
		return false
	}
	p.ready[placeKey{m.Name, e.DataCentre}]--
	p.add(e, Order{Type: Drain, Model: m.Name, Version: m.Version})
	return true
}

// isLast reports whether an engine holds the last ready replica of a model in use at its data centre. A leaving engine
// does not count as a replica that stays.
func (p *planner) isLast(e Engine, m LoadedModel) bool {
	if !p.in.InUse[m.Name] && p.wanted(m.Name, e.DataCentre) == 0 {
		return false
	}
	others := p.ready[placeKey{m.Name, e.DataCentre}]
	if !e.Leaving && e.Reachable {
		others--
	}
	return others < 1
}

// adapters loads and drops adapters on engines that serve the wanted version.
func (p *planner) adapters() {
	for _, e := range p.engines {
		for _, m := range e.Models {
			want, ok := p.in.Models[m.Name]
			if ok && p.wantsVersion(m) && m.State == Ready && p.usable(e) {
				p.adapterStep(e, m, want)
			}
		}
	}
}

func (p *planner) adapterStep(e Engine, m LoadedModel, want records.Model) {
	for _, a := range want.Adapters {
		if !slices.Contains(m.Adapters, a) && !e.Leaving {
			p.add(e, Order{Type: LoadAdapter, Model: m.Name, Version: m.Version, Adapter: a})
			return
		}
	}
	for _, a := range m.Adapters {
		if !slices.Contains(want.Adapters, a) {
			p.add(e, Order{Type: DropAdapter, Model: m.Name, Version: m.Version, Adapter: a})
			return
		}
	}
}

// dropUnwanted retires models that no record wants, replicas beyond the wanted number, and old versions that enough
// replicas of the wanted one have replaced.
func (p *planner) dropUnwanted() {
	for _, e := range p.engines {
		for _, m := range e.Models {
			if p.usable(e) && p.surplus(e, m) && p.retire(e, m) && p.wantsVersion(m) && m.State == Ready {
				p.pending[placeKey{m.Name, e.DataCentre}]--
			}
		}
	}
}

func (p *planner) surplus(e Engine, m LoadedModel) bool {
	want, known := p.in.Models[m.Name]
	if !known || want.Group != e.Group {
		return true
	}
	wanted := p.wanted(m.Name, e.DataCentre)
	if m.State == Draining {
		return true
	}
	if p.wantsVersion(m) {
		return p.pending[placeKey{m.Name, e.DataCentre}] > wanted
	}
	return p.readyWanted(m.Name, e.DataCentre) >= wanted
}

// readyWanted counts the ready replicas of the wanted version.
func (p *planner) readyWanted(name, dataCentre string) int {
	n := 0
	for _, e := range p.engines {
		m := find(e, name)
		if e.DataCentre == dataCentre && m != nil && m.State == Ready && p.wantsVersion(*m) && e.Reachable && !e.Leaving {
			n++
		}
	}
	return n
}

// roles changes the role of an engine after its models have drained.
func (p *planner) roles() {
	for _, e := range p.engines {
		if e.WantedRole == "" || e.WantedRole == e.Role || e.Leaving || !p.usable(e) {
			continue
		}
		if p.drainAll(e) {
			p.add(e, Order{Type: SetRole, Role: e.WantedRole})
		}
	}
}

// drainAll drains the models of an engine and reports whether nothing runs there any more.
func (p *planner) drainAll(e Engine) bool {
	for _, m := range e.Models {
		if m.State == Loading {
			return false
		}
		if m.State == Ready {
			p.retire(e, m)
			return false
		}
	}
	return e.Running == 0
}
