package modelplan

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"jackdawbay.dev/api/records"
)

var modelNames = []string{"m0", "m1", "m2"}

func drawInput(t *rapid.T) Input {
	in := Input{Models: map[string]records.Model{}, InUse: map[string]bool{}}
	in.WeightStore = WeightStoreLimits{MaxTransfers: rapid.IntRange(1, 3).Draw(t, "transfers")}
	in.MaxOrders = rapid.IntRange(1, 8).Draw(t, "max")
	in.FormerLeaseExpired = true
	engines := rapid.IntRange(1, 8).Draw(t, "engines")
	freeEngines := map[string]int{"a": 0, "b": 0}
	for i := range engines {
		e := Engine{Name: fmt.Sprintf("e%d", i), Group: "g", DataCentre: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "dc"), Reachable: true, ReadAfterLeaseExpiry: true}
		freeEngines[e.DataCentre]++
		if rapid.Bool().Draw(t, "loaded") {
			e.Models = []LoadedModel{{
				Name:    rapid.SampledFrom(modelNames).Draw(t, "model"),
				Version: rapid.SampledFrom([]string{"1", "2"}).Draw(t, "version"),
				State:   rapid.SampledFrom([]ModelState{Ready, Draining, Loading}).Draw(t, "state"),
			}}
		}
		in.Engines = append(in.Engines, e)
	}
	for _, name := range modelNames {
		m := records.Model{Group: "g", Version: "2", Adapters: []string{"x"}, Replicas: map[string]int{}}
		for _, dc := range []string{"a", "b"} {
			m.Replicas[dc] = rapid.IntRange(0, freeEngines[dc]).Draw(t, "replicas")
			freeEngines[dc] -= m.Replicas[dc]
		}
		in.Models[name] = m
		in.InUse[name] = rapid.Bool().Draw(t, "used")
	}
	return in
}

// applyOrders executes orders on the engines and completes pending loads.
func applyOrders(in Input, orders []Order) {
	for i := range in.Engines {
		e := &in.Engines[i]
		for j := range e.Models {
			if e.Models[j].State == Loading {
				e.Models[j].State = Ready
			}
		}
		for _, o := range orders {
			if o.Engine == e.Name {
				applyOrder(e, o)
			}
		}
	}
}

func applyOrder(e *Engine, o Order) {
	m := findModel(*e, o.Model)
	switch o.Type {
	case LoadModel:
		e.Models = append(e.Models, LoadedModel{Name: o.Model, Version: o.Version, State: Loading})
	case DropModel:
		e.Models = slices.DeleteFunc(e.Models, func(m LoadedModel) bool { return m.Name == o.Model })
	case Drain:
		m.State = Draining
	case LoadAdapter:
		m.Adapters = append(m.Adapters, o.Adapter)
	}
}

func countReady(in Input, name, dc string) int {
	n := 0
	for _, e := range in.Engines {
		if m := findModel(e, name); e.DataCentre == dc && m != nil && m.State == Ready {
			n++
		}
	}
	return n
}

func countLoading(in Input) int {
	n := 0
	for _, e := range in.Engines {
		for _, m := range e.Models {
			if m.State == Loading {
				n++
			}
		}
	}
	return n
}

// Guards against removing the last ready replica of a model in use, against more transfers than allowed, and against plans
// that never converge.
func TestPlanProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawInput(t)
		for range 100 {
			orders := Plan(in)
			if len(orders) == 0 && countLoading(in) == 0 {
				checkConverged(t, in)
				return
			}
			checkStep(t, in, orders)
		}
		t.Fatalf("plan did not converge after 100 steps: %+v", in.Engines)
	})
}

func checkStep(t *rapid.T, in Input, orders []Order) {
	if len(orders) > in.MaxOrders {
		t.Fatalf("%d orders, limit %d", len(orders), in.MaxOrders)
	}
	loads := 0
	for _, o := range orders {
		if o.Type == LoadModel {
			loads++
		}
	}
	if loads > 0 && loads+countLoading(in) > in.WeightStore.transferLimit() {
		t.Fatalf("%d loads start in addition to %d", loads, countLoading(in))
	}
	before := map[modelLocation]int{}
	for _, name := range modelNames {
		for _, dc := range []string{"a", "b"} {
			before[modelLocation{name, dc}] = countReady(in, name, dc)
		}
	}
	applyOrders(in, orders)
	for key, n := range before {
		if n > 0 && in.InUse[key.model] && countReady(in, key.model, key.dataCentre) == 0 {
			t.Fatalf("the last ready replica of %v was removed", key)
		}
	}
}

// checkConverged checks that a converged plan has all wanted replicas, except on engines that are occupied by surplus models
// in use.
func checkConverged(t *rapid.T, in Input) {
	for _, dc := range []string{"a", "b"} {
		surplus := 0
		for _, name := range modelNames {
			surplus += max(countReady(in, name, dc)-in.Models[name].Replicas[dc], 0)
		}
		for _, name := range modelNames {
			missing := in.Models[name].Replicas[dc] - countReady(in, name, dc)
			if missing > surplus {
				t.Fatalf("%d replicas of %s are missing in %s: %+v", missing, name, dc, in.Engines)
			}
		}
	}
}
