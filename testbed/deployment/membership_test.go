package deployment

import (
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"jackdawbay.dev/core/replica"
	"jackdawbay.dev/testbed/relay"
)

// continueChain sends the next turn of a chain and returns its call. It retries like a caller while the response is 503, and
// fails the test after recoveryTimeout.
func (d *Deployment) continueChain(t *testing.T, gateway *VM, program, previous string) Call {
	t.Helper()
	c := newTurnCall(program, previous, "input-"+NewID()+";")
	for deadline := time.Now().Add(recoveryTimeout); ; time.Sleep(100 * time.Millisecond) {
		resp := Send(gateway, c)
		if resp.Status == http.StatusOK {
			return c
		}
		must.EqOp(t, http.StatusServiceUnavailable, resp.Status, must.Sprint(resp.Body))
		if time.Now().After(deadline) {
			t.Fatalf("the turn was not served within %v: %s", recoveryTimeout, resp.Body)
		}
	}
}

// diskID returns the identity of a VM's disk, or an empty string if it has none.
func (d *Deployment) diskID(vm *VM) string {
	raw, err := os.ReadFile(filepath.Join(vm.DataDir, "identity"))
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(raw))
}

const recoveryTimeout = 15 * time.Second // Time after a fault until turns must be served; the soak uses the same limit.

// Guards against a membership that can no longer change, so that no turn is served, and against lost turns. The faults are: one
// VM is evacuated, the next one restarts with an empty disk, and the third one fails permanently and has a successor.
func TestEvacuationThenWipeThenReplacement(t *testing.T) {
	d := startDeployment(t, defaultOptions())
	program := NewID()
	calls := d.sendChain(t, program, "", 3)
	checkNextTurn := func(event string) {
		t.Helper()
		calls = append(calls, d.continueChain(t, d.Gateways[len(calls)%2], program, calls[len(calls)-1].ID))
		test.EqOp(t, expectedHistory(calls, 4), d.receivedBody(calls[len(calls)-1].ID), test.Sprint(event))
	}

	evacuated, wiped, replaced := d.Replicas[0], d.Replicas[1], d.Replicas[2]
	d.Store.Put("retirements", evacuated.Name, map[string]any{"durationS": 8})
	eventually(t, "the VM is reported as evacuated", recoveryTimeout, func() bool {
		o, _ := d.Store.Get("retirements", evacuated.Name)
		return strings.Contains(string(o.Status), "done")
	})
	d.KillVM(evacuated)
	must.NoError(t, d.WipeDisk(evacuated))
	checkNextTurn("evacuated")

	d.KillVM(wiped)
	must.NoError(t, d.WipeDisk(wiped))
	must.NoError(t, d.StartVM(wiped))
	checkNextTurn("wiped")
	eventually(t, "the view has settled with the new disk", recoveryTimeout, func() bool { return d.IsViewSettledWith(d.diskID(wiped)) })

	oldDisk := d.diskID(replaced)
	d.KillVM(replaced)
	must.NoError(t, d.WipeDisk(replaced))
	time.Sleep(replica.MaxResponseAge + time.Second) // The remaining member must detect that the failed one no longer responds.
	successor, err := d.AddVM("replica")
	must.NoError(t, err)
	checkNextTurn("replaced")
	eventually(t, "the view has settled with the successor and without the lost disk", recoveryTimeout, func() bool {
		return d.IsViewSettledWith(d.diskID(successor)) && !d.IsViewSettledWith(oldDisk)
	})

	d.KillVM(wiped)
	must.NoError(t, d.WipeDisk(wiped))
	must.NoError(t, d.StartVM(wiped))
	checkNextTurn("wiped again")
}

// Guards against the evacuation of a second VM while no other VM can replace it, and against a view that then does not add the
// successor.
func TestEvacuationWaitsForSuccessor(t *testing.T) {
	d := startDeployment(t, defaultOptions())
	program := NewID()
	calls := d.sendChain(t, program, "", 2)
	isEvacuated := func(vm *VM) bool {
		o, _ := d.Store.Get("retirements", vm.Name)
		return strings.Contains(string(o.Status), "done")
	}
	first, second := d.Replicas[0], d.Replicas[1]
	d.Store.Put("retirements", first.Name, map[string]any{"durationS": 8})
	eventually(t, "the first VM is reported as evacuated", recoveryTimeout, func() bool { return isEvacuated(first) })
	d.KillVM(first)
	must.NoError(t, d.WipeDisk(first))
	d.Store.Put("retirements", second.Name, map[string]any{"durationS": 8})
	time.Sleep(2 * successorWait) // The absence of a report can only be checked for a limited time.
	must.False(t, isEvacuated(second), must.Sprint("only one copy of each turn would remain"))
	_, err := d.AddVM("replica")
	must.NoError(t, err)
	eventually(t, "the second VM is reported as evacuated", recoveryTimeout, func() bool { return isEvacuated(second) })
	d.KillVM(second)
	must.NoError(t, d.WipeDisk(second))
	calls = append(calls, d.continueChain(t, d.Gateways[0], program, calls[1].ID))
	test.EqOp(t, expectedHistory(calls, 4), d.receivedBody(calls[2].ID))
}

const successorWait = 2 * time.Second // Time for which a replica that is to be evacuated waits for a successor.

// Guards against programs whose turns are lost, or that cannot go on, where several groups store them: after a wiped disk in one
// group, a restart of all processes, and a program that continues a turn of a program of another group.
func TestGroupsOfReplicas(t *testing.T) {
	o := defaultOptions()
	o.Replicas = 8
	d := startDeployment(t, o)
	const programCount = 6 // With two groups, all of them hash to one group in one of 32 runs.
	chains := map[string][]Call{}
	for range programCount {
		program := NewID()
		chains[program] = d.sendChain(t, program, "", 3)
	}
	extendChains := func() {
		t.Helper()
		for program, calls := range chains {
			calls = append(calls, d.sendChain(t, program, calls[len(calls)-1].ID, 1)...)
			test.EqOp(t, expectedHistory(calls, 4), d.receivedBody(calls[len(calls)-1].ID))
			chains[program] = calls
		}
	}
	wiped := d.Replicas[3]
	d.KillVM(wiped)
	must.NoError(t, d.WipeDisk(wiped))
	must.NoError(t, d.StartVM(wiped))
	extendChains()
	for _, calls := range chains {
		last := calls[len(calls)-1]
		next := d.mustServe(t, d.Gateways[0], newTurnCall(NewID(), last.ID, "another program;"))
		test.EqOp(t, expectedHistory(append(calls[:len(calls):len(calls)], next), 4), d.receivedBody(next.ID))
	}
	_, resp := d.sendWithRetries(t, d.Gateways[0], newTurnCall(NewID(), NewID(), "x"))
	test.EqOp(t, http.StatusNotFound, resp.Status)
	d.killAndRestartAll(t)
	extendChains()
	layouts := 0
	for _, vm := range d.Replicas {
		if strings.Contains(d.ReadLog(vm), `msg="layout of the replicas written" role=replica vm=`+vm.Name+` groups=2`) {
			layouts++
		}
	}
	test.EqOp(t, 1, layouts, test.Sprint("one replica divides the VMs into groups"))
}

// TestFirstViewBearsTheToleratedLoss guards against a first view with so few members that a tolerated loss ends service for good.
// The store turns two of three replicas away while the deployment starts for the first time, and the third one loses its disk.
func TestFirstViewBearsTheToleratedLoss(t *testing.T) {
	o := defaultOptions()
	o.Gateways, o.Replicas, o.UseRelays = 0, 0, true
	d := startDeployment(t, o)
	for i := range 3 {
		rules := []relay.Rule{}
		if i > 0 {
			rules = []relay.Rule{{Mode: relay.Refuse}}
		}
		must.NoError(t, d.SetStoreRules(rules))
		_, err := d.AddVM("replica")
		must.NoError(t, err)
	}
	must.NoError(t, d.SetStoreRules(nil))
	for _, vm := range d.Replicas[1:] {
		must.NoError(t, vm.StoreRelay.SetRules([]relay.Rule{{Mode: relay.Refuse}}))
	}
	g, err := d.AddVM("gateway")
	must.NoError(t, err)
	first := d.Replicas[0]
	for deadline := time.Now().Add(recoveryTimeout); !strings.Contains(d.ReadLog(first), "first view waits for more replicas"); time.Sleep(50 * time.Millisecond) {
		must.True(t, time.Now().Before(deadline), must.Sprint("the replica states why there is no view"))
	}
	c := Call{Path: PathRetained, ID: NewID(), Program: NewID(), Budget: 1 << 20, MaxTokens: 4 * TokensPerEvent, Body: "turn;"}
	test.EqOp(t, http.StatusServiceUnavailable, Send(g, c).Status, test.Sprint("a turn would be stored on one disk"))
	test.EqOp(t, 0, d.countRuns(c.ID))

	d.KillVM(first)
	must.NoError(t, d.WipeDisk(first))
	must.NoError(t, d.StartVM(first))
	must.NoError(t, d.SetStoreRules(nil))
	must.NoError(t, d.WaitUntilServing(recoveryTimeout))
}
