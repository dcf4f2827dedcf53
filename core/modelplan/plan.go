package modelplan

import (
	"slices"
	"sort"

	"jackdawbay.dev/api/records"
)

// planner holds the state of one plan. Each engine gets at most one order in a plan.
type planner struct {
	input          Input
	engines        []Engine
	hasOrder       map[string]bool       // Engines that have an order in this plan.
	readyReplicas  map[modelLocation]int // Ready replicas that remain after the orders so far.
	wantedReplicas map[modelLocation]int // Replicas of the wanted version that are loading or ready.
	transfers      int
	orders         []Order
	maxOrders      int
}

// modelLocation identifies a model in a data centre.
type modelLocation struct{ model, dataCentre string }

// Plan returns the next orders, at most Input.MaxOrders. Repeated calls with the new states of the engines converge.
func Plan(input Input) []Order {
	p := &planner{input: input, hasOrder: map[string]bool{}, readyReplicas: map[modelLocation]int{}, wantedReplicas: map[modelLocation]int{}, maxOrders: input.MaxOrders}
	if p.maxOrders <= 0 {
		p.maxOrders = DefaultMaxOrders
	}
	p.engines = slices.Clone(input.Engines)
	sort.Slice(p.engines, func(i, j int) bool { return p.engines[i].Name < p.engines[j].Name })
	p.countReplicas()
	names := p.modelNames()
	for _, name := range names {
		p.loadMissing(name)
	}
	for _, name := range names {
		p.replaceOldVersions(name)
	}
	p.updateAdapters()
	p.removeUnwanted()
	p.changeRoles()
	return p.orders
}

func (p *planner) modelNames() []string {
	names := make([]string, 0, len(p.input.Models))
	for name := range p.input.Models {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func (p *planner) countReplicas() {
	for _, e := range p.engines {
		for _, m := range e.Models {
			key := modelLocation{m.Name, e.DataCentre}
			if m.State == Loading {
				p.transfers++
			}
			if m.State == Ready && e.Reachable && !e.Leaving {
				p.readyReplicas[key]++
			}
			if m.State != Draining && p.isWantedVersion(m) && !e.Leaving && e.Reachable {
				p.wantedReplicas[key]++
			}
		}
	}
}

func (p *planner) isWantedVersion(m LoadedModel) bool {
	wanted, ok := p.input.Models[m.Name]
	return ok && wanted.Version == m.Version
}

// wantedCount returns the number of ready engines that the record wants in a data centre.
func (p *planner) wantedCount(name, dataCentre string) int {
	return p.input.Models[name].Replicas[dataCentre]
}

// canTakeOrder reports whether an engine may get an order in this plan.
func (p *planner) canTakeOrder(e Engine) bool {
	return len(p.orders) < p.maxOrders && !p.hasOrder[e.Name] && CanOrder(e, p.input.FormerLeaseExpired)
}

func (p *planner) addOrder(e Engine, o Order) {
	o.Engine = e.Name
	p.orders = append(p.orders, o)
	p.hasOrder[e.Name] = true
}

func (p *planner) canStartTransfer() bool { return p.transfers < p.input.WeightStore.transferLimit() }

// loadModel adds the order to load a model and counts its transfer.
func (p *planner) loadModel(e Engine, name string) {
	p.transfers++
	p.wantedReplicas[modelLocation{name, e.DataCentre}]++
	p.addOrder(e, Order{Type: LoadModel, Model: name, Version: p.input.Models[name].Version})
}

// loadMissing loads a model on engines with room until the wanted number is reached.
func (p *planner) loadMissing(name string) {
	for _, e := range p.engines {
		if !p.canTakeOrder(e) || !p.canStartTransfer() || e.Leaving || e.Group != p.input.Models[name].Group {
			continue
		}
		key := modelLocation{name, e.DataCentre}
		if p.wantedReplicas[key] >= p.wantedCount(name, e.DataCentre) || findModel(e, name) != nil || !hasRoom(e) {
			continue
		}
		p.loadModel(e, name)
	}
}

func hasRoom(e Engine) bool { return len(e.Models) < max(e.MaxModels, 1) }

func findModel(e Engine, name string) *LoadedModel {
	for i := range e.Models {
		if e.Models[i].Name == name {
			return &e.Models[i]
		}
	}
	return nil
}

// replaceOldVersions drains and drops old versions, so that the wanted version can be loaded on the same engines. It changes
// one engine at a time for each model and data centre, and never the last ready replica.
func (p *planner) replaceOldVersions(name string) {
	changing := p.changingDataCentres(name)
	for _, e := range p.engines {
		m := findModel(e, name)
		if m == nil || p.isWantedVersion(*m) || m.State == Loading || !p.canTakeOrder(e) || e.Leaving {
			continue
		}
		key := modelLocation{name, e.DataCentre}
		if p.wantedReplicas[key] >= p.wantedCount(name, e.DataCentre) {
			continue
		}
		if m.State == Ready && changing[e.DataCentre] {
			continue
		}
		if p.removeModel(e, *m) {
			changing[e.DataCentre] = true
		}
	}
}

// changingDataCentres returns the data centres in which an engine drains or loads the model.
func (p *planner) changingDataCentres(name string) map[string]bool {
	changing := map[string]bool{}
	for _, e := range p.engines {
		if m := findModel(e, name); m != nil && m.State != Ready {
			changing[e.DataCentre] = true
		}
	}
	return changing
}

// removeModel adds the next order to remove a model from an engine: first drain, then drop when no request is running. It
// reports whether it added an order.
func (p *planner) removeModel(e Engine, m LoadedModel) bool {
	if m.State == Draining {
		if e.Running > 0 {
			return false
		}
		p.addOrder(e, Order{Type: DropModel, Model: m.Name, Version: m.Version})
		return true
	}
	if m.State != Ready || p.isLastReadyReplica(e, m) {
		return false
	}
	p.readyReplicas[modelLocation{m.Name, e.DataCentre}]--
	p.addOrder(e, Order{Type: Drain, Model: m.Name, Version: m.Version})
	return true
}

// isLastReadyReplica reports whether an engine has the last ready replica of a model in use in its data centre. A leaving
// engine does not count as a remaining replica.
func (p *planner) isLastReadyReplica(e Engine, m LoadedModel) bool {
	if !p.input.InUse[m.Name] && p.wantedCount(m.Name, e.DataCentre) == 0 {
		return false
	}
	remaining := p.readyReplicas[modelLocation{m.Name, e.DataCentre}]
	if !e.Leaving && e.Reachable {
		remaining--
	}
	return remaining < 1
}

// updateAdapters loads and drops adapters on engines that serve the wanted version.
func (p *planner) updateAdapters() {
	for _, e := range p.engines {
		for _, m := range e.Models {
			wanted, ok := p.input.Models[m.Name]
			if ok && p.isWantedVersion(m) && m.State == Ready && p.canTakeOrder(e) {
				p.addAdapterOrder(e, m, wanted)
			}
		}
	}
}

func (p *planner) addAdapterOrder(e Engine, m LoadedModel, wanted records.Model) {
	for _, a := range wanted.Adapters {
		if !slices.Contains(m.Adapters, a) && !e.Leaving {
			p.addOrder(e, Order{Type: LoadAdapter, Model: m.Name, Version: m.Version, Adapter: a})
			return
		}
	}
	for _, a := range m.Adapters {
		if !slices.Contains(wanted.Adapters, a) {
			p.addOrder(e, Order{Type: DropAdapter, Model: m.Name, Version: m.Version, Adapter: a})
			return
		}
	}
}

// removeUnwanted removes models that no record wants, replicas beyond the wanted number, and old versions that are replaced
// by enough replicas of the wanted version.
func (p *planner) removeUnwanted() {
	for _, e := range p.engines {
		for _, m := range e.Models {
			if p.canTakeOrder(e) && p.isUnwanted(e, m) && p.removeModel(e, m) && p.isWantedVersion(m) && m.State == Ready {
				p.wantedReplicas[modelLocation{m.Name, e.DataCentre}]--
			}
		}
	}
}

func (p *planner) isUnwanted(e Engine, m LoadedModel) bool {
	wanted, ok := p.input.Models[m.Name]
	if !ok || wanted.Group != e.Group {
		return true
	}
	wantedCount := p.wantedCount(m.Name, e.DataCentre)
	if m.State == Draining {
		return true
	}
	if p.isWantedVersion(m) {
		return p.wantedReplicas[modelLocation{m.Name, e.DataCentre}] > wantedCount
	}
	return p.countReadyWanted(m.Name, e.DataCentre) >= wantedCount
}

// countReadyWanted returns the number of ready replicas of the wanted version.
func (p *planner) countReadyWanted(name, dataCentre string) int {
	n := 0
	for _, e := range p.engines {
		m := findModel(e, name)
		if e.DataCentre == dataCentre && m != nil && m.State == Ready && p.isWantedVersion(*m) && e.Reachable && !e.Leaving {
			n++
		}
	}
	return n
}

// changeRoles changes the role of an engine after its models have drained.
func (p *planner) changeRoles() {
	for _, e := range p.engines {
		if e.WantedRole == "" || e.WantedRole == e.Role || e.Leaving || !p.canTakeOrder(e) {
			continue
		}
		if p.drainEngine(e) {
			p.addOrder(e, Order{Type: SetRole, Role: e.WantedRole})
		}
	}
}

// drainEngine drains the models of an engine. It reports whether the engine runs no more requests.
func (p *planner) drainEngine(e Engine) bool {
	for _, m := range e.Models {
		if m.State == Loading {
			return false
		}
		if m.State == Ready {
			p.removeModel(e, m)
			return false
		}
	}
	return e.Running == 0
}
