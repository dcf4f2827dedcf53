package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"jackdawbay.dev/api/records"
	"jackdawbay.dev/core/modelplan"
	"jackdawbay.dev/daemon/clock"
	"jackdawbay.dev/daemon/peer"
	"jackdawbay.dev/daemon/upstream"
)

const (
	modelsInterval = 2 * time.Second

	// drainTime is how long a drain lasts unless the next plan repeats it.
	drainTime = 3 * modelsInterval

	// drainSettle is above the age of load reports plus the time in which a granted call reaches its engine, so that
	// "nothing runs" includes the calls that were granted before the drain.
	drainSettle = time.Second
)

// runModels brings the engines of the data centre to the models that the records want, while this daemon is the
// coordinator.
func (n *Node) runModels(ctx context.Context) error {
	drains := drainSet{}
	return clock.Every(ctx, modelsInterval, func(time.Time) {
		n.openGroups()
		if held, _ := n.agent.CommandLeaseState(); !held {
			clear(drains)
			return
		}
		n.planModels(ctx, drains)
	})
}

// openGroups opens the engine groups whose dispatcher this daemon is. A new dispatcher that gets no call would otherwise
// never compare the engines' caches with the programs that run.
func (n *Node) openGroups() {
	groups := map[string]bool{}
	for _, r := range n.config.RecordSet().All() {
		if u := r.Upstream; u != nil && u.Type == records.UpstreamEngine && u.DataCentre == n.set.DataCentre {
			groups[u.Group] = true
		}
	}
	for group := range groups {
		if m, ok := n.agent.Roster().HashOwner(dispatcherKey(group)); ok && m.Incarnation == n.agent.Incarnation() {
			n.pool.Load(group)
		}
	}
}

// drainKey is a model version that an engine has.
type drainKey struct{ engine, model, version string }

// drainState is a drain that the dispatcher has accepted.
type drainState struct {
	group       string
	first, last time.Time
}

// drainSet holds the drains of this term. Engines report a drained model as ready, since only the dispatcher knows of the
// drain.
type drainSet map[drainKey]drainState

func (n *Node) planModels(ctx context.Context, drains drainSet) {
	_, formerExpired := n.agent.CommandLeaseState()
	set := n.config.RecordSet()
	in := modelplan.Input{
		Now:                time.Now(),
		Models:             map[string]records.Model{},
		InUse:              map[string]bool{},
		FormerLeaseExpired: formerExpired,
	}
	for _, r := range set.All() {
		// A model without wanted replicas is left to whoever loads its engines.
		if r.Model != nil && len(r.Model.Replicas) > 0 {
			in.Models[r.Name] = *r.Model
			in.InUse[r.Name] = true
		}
	}
	if len(in.Models) == 0 {
		return
	}
	if r, ok := set.Get(records.KindDataCentre, n.set.DataCentre); ok {
		in.WeightStore.BytesPerSecond = float64(r.DataCentre.WeightStoreBytesPerSecond)
	}
	in.Engines = n.readEngines(ctx, set, formerExpired)
	if !n.continueDrains(ctx, drains, in.Engines) {
		return
	}
	for _, o := range modelplan.Plan(in) {
		n.carryOut(ctx, set, o, drains)
	}
}

// continueDrains repeats the drains whose model is still on its engine and marks that model as draining for the plan. It
// ends the drain of a model that has left its engine or is the last ready replica. It returns false while a drain that
// should have ended may still be in effect: draining another engine then could leave no engine for calls.
func (n *Node) continueDrains(ctx context.Context, drains drainSet, engines []modelplan.Engine) bool {
	ended := true
	for key, state := range drains {
		i := slices.IndexFunc(engines, func(e modelplan.Engine) bool { return e.Name == key.engine })
		if i < 0 {
			delete(drains, key)
			continue
		}
		e := &engines[i]
		if !e.Reachable {
			continue
		}
		j := slices.IndexFunc(e.Models, func(m modelplan.LoadedModel) bool { return m.Name == key.model && m.Version == key.version })
		o := modelplan.Order{Type: modelplan.Drain, Engine: key.engine, Model: key.model, Version: key.version}
		if j < 0 || !otherReady(engines, i, key.model) {
			if n.drainEngine(ctx, state.group, o, time.Now()) || time.Since(state.last) > drainTime {
				delete(drains, key)
			} else {
				ended = false
			}
			continue
		}
		if n.drainEngine(ctx, state.group, o, time.Now().Add(drainTime)) {
			state.last = time.Now()
			drains[key] = state
		}
		e.Models[j].State = modelplan.Draining
		if time.Since(state.first) < drainSettle {
			e.Running = max(e.Running, 1)
		}
	}
	return ended
}

// otherReady reports whether another engine of the same group has a ready replica of a model.
func otherReady(engines []modelplan.Engine, except int, model string) bool {
	for i, e := range engines {
		if i == except || !e.Reachable || e.Leaving || e.Group != engines[except].Group {
			continue
		}
		for _, m := range e.Models {
			if m.Name == model && m.State == modelplan.Ready {
				return true
			}
		}
	}
	return false
}

// readEngines reads the state of every engine of the data centre. The read comes after formerExpired was determined, so
// it shows the effect of every command of former coordinators.
func (n *Node) readEngines(ctx context.Context, set *records.Set, formerExpired bool) []modelplan.Engine {
	var list []modelplan.Engine
	for _, r := range set.All() {
		u := r.Upstream
		if u == nil || u.Type != records.UpstreamEngine || u.DataCentre != n.set.DataCentre {
			continue
		}
		list = append(list, modelplan.Engine{
			Name:          r.Name,
			Group:         u.Group,
			DataCentre:    u.DataCentre,
			WantedRole:    u.Role,
			ChecksFencing: u.ChecksFencing,
			Leaving:       u.Leaving,
		})
	}
	var group sync.WaitGroup
	for i := range list {
		group.Go(func() { n.readEngine(ctx, set, &list[i], formerExpired) })
	}
	group.Wait()
	return list
}

func (n *Node) readEngine(ctx context.Context, set *records.Set, e *modelplan.Engine, formerExpired bool) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	u, _ := set.Upstream(e.Name)
	load, err := n.engines.ReadLoad(ctx, u.Address)
	if err != nil {
		return
	}
	e.Reachable = true
	e.ReadAfterLeaseExpiry = formerExpired
	e.Role = load.Role
	e.Running = load.Running + load.Waiting
	for _, m := range load.Models {
		e.Models = append(e.Models, modelplan.LoadedModel{
			Name:     m.Name,
			Version:  m.Version,
			Adapters: m.Adapters,
			State:    modelplan.ModelState(m.State),
		})
	}
}

// carryOut gives one order. The command lease is checked again directly before the order is sent.
func (n *Node) carryOut(ctx context.Context, set *records.Set, o modelplan.Order, drains drainSet) {
	u, ok := set.Upstream(o.Engine)
	if !ok {
		return
	}
	if o.Type == modelplan.Drain {
		now := time.Now()
		if n.drainEngine(ctx, u.Group, o, now.Add(drainTime)) {
			drains[drainKey{o.Engine, o.Model, o.Version}] = drainState{group: u.Group, first: now, last: now}
		}
		return
	}
	if held, _ := n.agent.CommandLeaseState(); !held {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	err := n.engines.SendOrder(ctx, u.Address, upstream.Order{
		FencingToken: n.term(),
		Type:         string(o.Type),
		Model:        o.Model,
		Version:      o.Version,
		Adapter:      o.Adapter,
		Role:         o.Role,
	})
	if err != nil {
		n.log.Warn("engine order failed", "engine", o.Engine, "order", string(o.Type), "model", o.Model, "error", err)
		return
	}
	n.log.Info("engine order given", "engine", o.Engine, "order", string(o.Type), "model", o.Model, "version", o.Version)
}

// drainEngine tells the dispatcher of the engine's group to send no new calls until a time, and reports whether the
// dispatcher accepted it.
func (n *Node) drainEngine(ctx context.Context, group string, o modelplan.Order, until time.Time) bool {
	d := peer.DrainRequest{Group: group, Engine: o.Engine, Model: o.Model, Until: until}
	m, ok := n.agent.Roster().HashOwner(dispatcherKey(group))
	if !ok {
		return false
	}
	if m.Incarnation == n.agent.Incarnation() {
		n.pool.DrainModel(d.Group, d.Engine, d.Model, d.Until)
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if err := n.peers.Post(ctx, m.PeerAddress, peer.PathDrainEngine, d, nil); err != nil {
		n.log.Warn("dispatcher was not told of a drain", "engine", o.Engine, "error", err)
		return false
	}
	return true
}

func dispatcherKey(group string) string { return "dispatcher/" + group }
