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
	modelPlanInterval = 2 * time.Second

	// drainDuration is how long a drain lasts unless the next plan renews it.
	drainDuration = 3 * modelPlanInterval

	// drainSettleTime exceeds the age of load reports plus the time in which a granted call reaches its engine. After
	// it, a load report without running calls also covers the calls that were granted before the drain.
	drainSettleTime = time.Second
)

// runModelPlanner makes the engines of the data centre load the models that the records require, while this daemon is
// the coordinator.
func (n *Node) runModelPlanner(ctx context.Context) error {
	drains := drainSet{}
	return clock.Every(ctx, modelPlanInterval, func(time.Time) {
		n.openGroups()
		if held, _ := n.agent.CommandLeaseState(); !held {
			clear(drains)
			return
		}
		n.applyModelPlan(ctx, drains)
	})
}

// openGroups opens the engine groups whose dispatcher is this daemon. A new dispatcher that gets no call would
// otherwise never compare the caches of the engines with the running programs.
func (n *Node) openGroups() {
	groups := map[string]bool{}
	for _, r := range n.config.RecordSet().All() {
		if u := r.Upstream; u != nil && u.Type == records.UpstreamEngine && u.DataCentre == n.settings.DataCentre {
			groups[u.Group] = true
		}
	}
	for group := range groups {
		if m, ok := n.agent.Roster().HashOwner(dispatcherKey(group)); ok && m.Incarnation == n.agent.Incarnation() {
			n.pool.Load(group)
		}
	}
}

// drainKey identifies a model version on an engine.
type drainKey struct{ engine, model, version string }

// drainState is a drain that the dispatcher accepted.
type drainState struct {
	group                       string
	firstAccepted, lastAccepted time.Time
}

// drainSet holds the drains of the current term. They are recorded here because an engine does not receive the drain,
// which only its dispatcher applies, and therefore reports a drained model as ready.
type drainSet map[drainKey]drainState

func (n *Node) applyModelPlan(ctx context.Context, drains drainSet) {
	_, formerLeasesExpired := n.agent.CommandLeaseState()
	set := n.config.RecordSet()
	input := modelplan.Input{
		Now:                time.Now(),
		Models:             map[string]records.Model{},
		InUse:              map[string]bool{},
		FormerLeaseExpired: formerLeasesExpired,
	}
	for _, r := range set.All() {
		// A model whose record requires no replicas is managed by whoever loads its engines.
		if r.Model != nil && len(r.Model.Replicas) > 0 {
			input.Models[r.Name] = *r.Model
			input.InUse[r.Name] = true
		}
	}
	if len(input.Models) == 0 {
		return
	}
	if r, ok := set.Get(records.KindDataCentre, n.settings.DataCentre); ok {
		input.WeightStore.BytesPerSecond = float64(r.DataCentre.WeightStoreBytesPerSecond)
	}
	input.Engines = n.readEngines(ctx, set, formerLeasesExpired)
	if !n.renewDrains(ctx, drains, input.Engines) {
		return
	}
	for _, o := range modelplan.Plan(input) {
		n.executeOrder(ctx, set, o, drains)
	}
}

// renewDrains renews the drains whose model is still on its engine and marks that model as draining for the plan. It
// ends the drain of a model that is no longer on its engine or is the last ready replica. It returns false while a
// drain that should have ended may still be in effect, because draining another engine could then leave no engine for
// calls.
func (n *Node) renewDrains(ctx context.Context, drains drainSet, engines []modelplan.Engine) bool {
	allEnded := true
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
		if j < 0 || !hasOtherReadyReplica(engines, i, key.model) {
			if n.requestDrain(ctx, state.group, o, time.Now()) || time.Since(state.lastAccepted) > drainDuration {
				delete(drains, key)
			} else {
				allEnded = false
			}
			continue
		}
		if n.requestDrain(ctx, state.group, o, time.Now().Add(drainDuration)) {
			state.lastAccepted = time.Now()
			drains[key] = state
		}
		e.Models[j].State = modelplan.Draining
		if time.Since(state.firstAccepted) < drainSettleTime {
			e.Running = max(e.Running, 1)
		}
	}
	return allEnded
}

// hasOtherReadyReplica reports whether another engine of the same group has a ready replica of a model.
func hasOtherReadyReplica(engines []modelplan.Engine, excluded int, model string) bool {
	for i, e := range engines {
		if i == excluded || !e.Reachable || e.Leaving || e.Group != engines[excluded].Group {
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

// readEngines reads the state of every engine of the data centre. formerLeasesExpired must be determined before the read.
// The state then shows the effect of every command of former coordinators.
func (n *Node) readEngines(ctx context.Context, set *records.Set, formerLeasesExpired bool) []modelplan.Engine {
	var engines []modelplan.Engine
	for _, r := range set.All() {
		u := r.Upstream
		if u == nil || u.Type != records.UpstreamEngine || u.DataCentre != n.settings.DataCentre {
			continue
		}
		engines = append(engines, modelplan.Engine{
			Name:          r.Name,
			Group:         u.Group,
			DataCentre:    u.DataCentre,
			WantedRole:    u.Role,
			ChecksFencing: u.ChecksFencing,
			Leaving:       u.Leaving,
		})
	}
	var wg sync.WaitGroup
	for i := range engines {
		wg.Go(func() { n.readEngine(ctx, set, &engines[i], formerLeasesExpired) })
	}
	wg.Wait()
	return engines
}

func (n *Node) readEngine(ctx context.Context, set *records.Set, e *modelplan.Engine, formerLeasesExpired bool) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	u, _ := set.Upstream(e.Name)
	load, err := n.engines.ReadLoad(ctx, u.Address)
	if err != nil {
		return
	}
	e.Reachable = true
	e.ReadAfterLeaseExpiry = formerLeasesExpired
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

// executeOrder sends one order. The command lease is checked again directly before the order is sent.
func (n *Node) executeOrder(ctx context.Context, set *records.Set, o modelplan.Order, drains drainSet) {
	u, ok := set.Upstream(o.Engine)
	if !ok {
		return
	}
	if o.Type == modelplan.Drain {
		now := time.Now()
		if n.requestDrain(ctx, u.Group, o, now.Add(drainDuration)) {
			drains[drainKey{o.Engine, o.Model, o.Version}] = drainState{group: u.Group, firstAccepted: now, lastAccepted: now}
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
	n.log.Info("engine order sent", "engine", o.Engine, "order", string(o.Type), "model", o.Model, "version", o.Version)
}

// requestDrain requests the dispatcher of the engine's group to send the engine no new calls of a model until a given
// time. A time that has passed ends the drain. It reports whether the dispatcher accepted the request.
func (n *Node) requestDrain(ctx context.Context, group string, o modelplan.Order, until time.Time) bool {
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
		n.log.Warn("dispatcher did not accept a drain", "engine", o.Engine, "error", err)
		return false
	}
	return true
}

func dispatcherKey(group string) string { return "dispatcher/" + group }
