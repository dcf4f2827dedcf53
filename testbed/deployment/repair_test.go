package deployment

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// evacuate requests the evacuation of a VM.
func (d *Deployment) evacuate(vm *VM) {
	d.Store.Put("retirements", vm.Name, map[string]any{"durationS": 8})
}

func (d *Deployment) isEvacuated(vm *VM) bool {
	o, _ := d.Store.Get("retirements", vm.Name)
	return strings.Contains(string(o.Status), "done")
}

// mustLose kills a VM and removes its disk.
func (d *Deployment) mustLose(t *testing.T, vm *VM) {
	t.Helper()
	d.KillVM(vm)
	must.NoError(t, d.WipeDisk(vm))
}

// Guards against a service that ends for good: a VM with a disk is reported as evacuated while the other member of its set has
// failed permanently, so that the successor alone is left of a set of two.
func TestEvacuationBesidePermanentFailure(t *testing.T) {
	d := startDeployment(t, defaultOptions())
	program := NewID()
	calls := d.sendChain(t, program, "", 2)
	first, second, third := d.Replicas[0], d.Replicas[1], d.Replicas[2]
	d.evacuate(first)
	eventually(t, "the first VM is reported as evacuated", recoveryTimeout, func() bool { return d.isEvacuated(first) })
	d.mustLose(t, first)
	calls = append(calls, d.continueChain(t, d.Gateways[0], program, calls[1].ID))

	d.evacuate(second)
	d.mustLose(t, third)
	successor, err := d.AddVM("replica")
	must.NoError(t, err)
	for deadline := time.Now().Add(recoveryTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if d.isEvacuated(second) { // Like the users' platform, which removes the VM and its disk at once.
			d.mustLose(t, second)
			break
		}
	}
	calls = append(calls, d.continueChain(t, d.Gateways[1], program, calls[2].ID))
	test.EqOp(t, expectedHistory(calls, 4), d.receivedBody(calls[3].ID), test.Sprint("successor ", successor.Name))
}

// Guards against lost turns and a service that ends for good: one of three VMs is to be evacuated, another one fails permanently
// just before the set is changed, and the third one loses its disk after the successor has had time to copy.
func TestLossAfterEvacuationBesidePermanentFailure(t *testing.T) {
	d := startDeployment(t, defaultOptions())
	program := NewID()
	calls := d.sendChain(t, program, "", 3)
	evacuated, wiped, replaced := d.Replicas[0], d.Replicas[1], d.Replicas[2]
	d.evacuate(evacuated)
	time.Sleep(successorWait - 500*time.Millisecond)
	d.mustLose(t, replaced)
	time.Sleep(time.Second) // The platform needs this time to start a successor.
	successor, err := d.AddVM("replica")
	must.NoError(t, err)
	started := time.Now()
	isRemoved := false
	for ; time.Since(started) < 8*time.Second; time.Sleep(50 * time.Millisecond) { // The users allow 4.8 s for the copy.
		if !isRemoved && d.isEvacuated(evacuated) {
			d.mustLose(t, evacuated)
			isRemoved = true
		}
	}
	d.mustLose(t, wiped)
	must.NoError(t, d.StartVM(wiped))
	calls = append(calls, d.continueChain(t, d.Gateways[0], program, calls[2].ID))
	test.EqOp(t, expectedHistory(calls, 4), d.receivedBody(calls[3].ID), test.Sprint("successor ", successor.Name))
}

// Guards against turns that are rejected until a lost member of a set of two is back, although the VM that is to be evacuated and has
// just left the set is still there with its disk.
func TestVMToBeEvacuatedServesBesideLoss(t *testing.T) {
	d := startDeployment(t, defaultOptions())
	calls := d.sendChain(t, NewID(), "", 2)
	d.evacuate(d.Replicas[0])
	eventually(t, "the set has two members", recoveryTimeout, func() bool { return len(d.CurrentMembers()) == 2 })
	d.KillVM(d.Replicas[2])
	const bound = 6 * time.Second // A member that is away with its disk is replaced after 7 s.
	next := newTurnCall(calls[0].Program, calls[1].ID, "next;")
	eventually(t, "a turn is served without the lost member", bound, func() bool {
		next.ID = NewID()
		return Send(d.Gateways[0], next).Status == http.StatusOK
	})
	test.False(t, d.isEvacuated(d.Replicas[0]))
	test.EqOp(t, expectedHistory(append(calls, next), 4), d.receivedBody(next.ID))
}

// Guards against a service that ends for good with all VMs up, as in the incident inc1: a read quorum is lost for good, since one
// member fails permanently and another one loses its disk before anything was copied. What the third member has must be served
// again, new programs too, and a turn that may have been lost must not be reported as one that does not exist.
func TestServiceReturnsAfterLostReadQuorum(t *testing.T) {
	d := startDeployment(t, defaultOptions())
	program := NewID()
	calls := d.sendChain(t, program, "", 3)
	d.mustLose(t, d.Replicas[0])
	d.mustLose(t, d.Replicas[1])
	must.NoError(t, d.StartVM(d.Replicas[1]))
	_, err := d.AddVM("replica")
	must.NoError(t, err)
	// The failed member may return with its disk until it counts as gone.
	must.NoError(t, d.WaitUntilServing(goneTimeout+recoveryTimeout), must.Sprint("new programs are served"))
	unknown := newTurnCall(NewID(), NewID(), "x")
	test.EqOp(t, http.StatusServiceUnavailable, Send(d.Gateways[0], unknown).Status, test.Sprint("the turn may have been lost"))
	next := newTurnCall(program, calls[2].ID, "next;")
	if resp := Send(d.Gateways[1], next); resp.Status == http.StatusOK {
		test.EqOp(t, expectedHistory(append(calls, next), 4), d.receivedBody(next.ID))
	} else {
		test.EqOp(t, http.StatusServiceUnavailable, resp.Status, test.Sprint("the turn may have been lost"))
	}
	d.killAndRestartAllOf(t, d.Gateways)
	must.NoError(t, d.WaitUntilServing(recoveryTimeout))
}

const goneTimeout = 10 * time.Second // Time after which a silent member counts as gone when another one has lost its disk.

// killAndRestartAllOf kills VMs and starts them again.
func (d *Deployment) killAndRestartAllOf(t *testing.T, vms []*VM) {
	t.Helper()
	for _, vm := range vms {
		d.KillVM(vm)
	}
	for _, vm := range vms {
		must.NoError(t, d.StartVM(vm))
	}
}
