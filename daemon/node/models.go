package node

import (
	"context"
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
)

// runModels brings the engines of the data centre to the models that the records want, while this daemon is the
// coordinator.
func (n *Node) runModels(ctx context.Context) error {
	return clock.Every(ctx, modelsInterval, func(time.Time) {
		if held, _ := n.agent.CommandLease(); held {
			n.planModels(ctx)
		}
	})
}

func (n *Node) planModels(ctx context.Context) {
	_, formerExpired := n.agent.CommandLease()
	set := n.config.Set()
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
		in.Store.BytesPerSecond = float64(r.DataCentre.WeightStoreBytesPerSecond)
	}
	in.Engines = n.readEngines(ctx, set, formerExpired)
	for _, o := range modelplan.Plan(in) {
		n.carryOut(ctx, set, o)
	}
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
	load, err := n.engines.Load(ctx, u.Address)
	if err != nil {
		return
	}
	e.Reachable = true
	e.ReadAgain = formerExpired
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
func (n *Node) carryOut(ctx context.Context, set *records.Set, o modelplan.Order) {
	u, ok := set.Upstream(o.Engine)
	if !ok {
		return
	}
	if o.Type == modelplan.Drain {
		n.drainEngine(ctx, u.Group, o)
		return
	}
	if held, _ := n.agent.CommandLease(); !held {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	err := n.engines.Order(ctx, u.Address, upstream.Order{
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

// drainEngine tells the dispatcher of the engine's group to send no new calls.
func (n *Node) drainEngine(ctx context.Context, group string, o modelplan.Order) {
	d := peer.Drain{Group: group, Engine: o.Engine, Model: o.Model, Until: time.Now().Add(drainTime)}
	m, ok := n.agent.Roster().HashOwner(dispatcherKey(group))
	if !ok {
		return
	}
	if m.Incarnation == n.agent.Incarnation() {
		n.pool.Drain(d.Group, d.Engine, d.Model, d.Until)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if err := n.peers.Post(ctx, m.PeerAddress, peer.PathDrain, d, nil); err != nil {
		n.log.Warn("dispatcher was not told of a drain", "engine", o.Engine, "error", err)
	}
}

func dispatcherKey(group string) string { return "dispatcher/" + group }
