package modelplan

import (
	"testing"

	"github.com/shoenig/test/must"

	"jackdawbay.dev/api/records"
)

func wantedModel(version string, replicas int, adapters ...string) map[string]records.Model {
	return map[string]records.Model{"m": {Group: "g", Version: version, Adapters: adapters, Replicas: map[string]int{"dc": replicas}}}
}

func engineWith(name string, models ...LoadedModel) Engine {
	return Engine{Name: name, Group: "g", DataCentre: "dc", ChecksFencing: true, Reachable: true, Models: models}
}

func loaded(version string, state ModelState, adapters ...string) LoadedModel {
	return LoadedModel{Name: "m", Version: version, State: state, Adapters: adapters}
}

// Guards against removing the last ready replica, reloads without a drain, and too many transfers.
func TestPlan(t *testing.T) {
	busyEngine := engineWith("b", loaded("1", Draining))
	busyEngine.Running = 2
	engineWithoutFencing := engineWith("a")
	engineWithoutFencing.ChecksFencing = false
	leavingEngine := engineWith("b", loaded("1", Ready))
	leavingEngine.Leaving = true
	lastReplicaWithNewRole := engineWith("a", loaded("1", Ready))
	lastReplicaWithNewRole.WantedRole = "prefill"
	emptyEngineWithNewRole := engineWith("a")
	emptyEngineWithNewRole.WantedRole = "prefill"
	cases := []struct {
		name string
		in   Input
		want []Order
	}{
		{"loads up to the transfer limit", Input{Models: wantedModel("1", 3), Engines: []Engine{engineWith("a"), engineWith("b"), engineWith("c")}},
			[]Order{{Type: LoadModel, Engine: "a", Model: "m", Version: "1"}, {Type: LoadModel, Engine: "b", Model: "m", Version: "1"}}},
		{"a load in progress counts", Input{Models: wantedModel("1", 2), WeightStore: WeightStoreLimits{MaxTransfers: 1}, Engines: []Engine{engineWith("a", loaded("1", Loading)), engineWith("b")}}, nil},
		{"slow weight store", Input{Models: wantedModel("1", 2), WeightStore: WeightStoreLimits{BytesPerSecond: 60e6}, Engines: []Engine{engineWith("a"), engineWith("b")}},
			[]Order{{Type: LoadModel, Engine: "a", Model: "m", Version: "1"}}},
		{"drains one old version at a time", Input{Models: wantedModel("2", 2), Engines: []Engine{engineWith("a", loaded("1", Ready)), engineWith("b", loaded("1", Ready))}},
			[]Order{{Type: Drain, Engine: "a", Model: "m", Version: "1"}}},
		{"waits for running calls", Input{Models: wantedModel("2", 2), Engines: []Engine{engineWith("a", loaded("1", Ready)), busyEngine}}, nil},
		{"keeps the last replica", Input{Models: wantedModel("2", 1), InUse: map[string]bool{"m": true}, Engines: []Engine{engineWith("a", loaded("1", Ready))}}, nil},
		{"keeps the last besides a leaving engine", Input{Models: wantedModel("2", 1), InUse: map[string]bool{"m": true}, Engines: []Engine{engineWith("a", loaded("1", Ready)), leavingEngine}}, nil},
		{"drops an unwanted model", Input{Engines: []Engine{engineWith("a", loaded("1", Draining))}},
			[]Order{{Type: DropModel, Engine: "a", Model: "m", Version: "1"}}},
		{"keeps an unwanted model in use", Input{InUse: map[string]bool{"m": true}, Engines: []Engine{engineWith("a", loaded("1", Ready))}}, nil},
		{"loads an adapter", Input{Models: wantedModel("1", 1, "x"), Engines: []Engine{engineWith("a", loaded("1", Ready))}},
			[]Order{{Type: LoadAdapter, Engine: "a", Model: "m", Version: "1", Adapter: "x"}}},
		{"no order to an engine that ignores fencing", Input{Models: wantedModel("1", 1), Engines: []Engine{engineWithoutFencing}}, nil},
		{"no role change of the last replica", Input{Models: wantedModel("1", 1), Engines: []Engine{lastReplicaWithNewRole}}, nil},
		{"role change of an empty engine", Input{Engines: []Engine{emptyEngineWithNewRole}}, []Order{{Type: SetRole, Engine: "a", Role: "prefill"}}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) { must.Eq(t, tc.want, Plan(tc.in)) })
	}
}

// Guards against two coordinators that send orders to an engine that ignores fencing tokens.
func TestCanOrder(t *testing.T) {
	cases := []struct {
		name                               string
		checks, reachable, expired, reread bool
		want                               bool
	}{
		{"checks fencing", true, true, false, false, true},
		{"ignores fencing, lease may still run", false, true, false, true, false},
		{"ignores fencing, state is older than the expiry", false, true, true, false, false},
		{"ignores fencing, state read after the expiry", false, true, true, true, true},
		{"not reachable", true, false, true, true, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			e := Engine{ChecksFencing: tc.checks, Reachable: tc.reachable, ReadAfterLeaseExpiry: tc.reread}
			must.Eq(t, tc.want, CanOrder(e, tc.expired))
		})
	}
}
