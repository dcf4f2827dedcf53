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
)

// again sends the next turn of a chain and repeats it while it is answered 503, as callers do, for the recovery bound.
func (d *Deployment) again(t *testing.T, gateway *VM, program, previous string) Call {
	t.Helper()
	c := turn(program, previous, "input-"+NewID()+";")
	for deadline := time.Now().Add(recovery); ; time.Sleep(100 * time.Millisecond) {
		a := Send(gateway, c)
		if a.Status == http.StatusOK {
			return c
		}
		must.EqOp(t, http.StatusServiceUnavailable, a.Status, must.Sprint(a.Body))
		if time.Now().After(deadline) {
			t.Fatalf("turn not served within %v: %s", recovery, a.Body)
		}
	}
}

// disk returns the identity of a VM's disk, or nothing while it has none.
func (d *Deployment) disk(vm *VM) string {
	raw, err := os.ReadFile(filepath.Join(vm.DataDir, "identity"))
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(raw))
}

const recovery = 15 * time.Second // The soak's bound for service after a fault.

// Guards against a membership that no longer changes, so that no turn is served, and against turns that are lost: when a VM is
// emptied, the next one loses its disk and comes back, and the third one is gone for good and has a successor.
func TestEmptiedThenWipedThenReplaced(t *testing.T) {
	d := start(t, standard())
	program := NewID()
	calls := d.chainOf(t, program, "", 3)
	check := func(event string) {
		t.Helper()
		calls = append(calls, d.again(t, d.Gateways[len(calls)%2], program, calls[len(calls)-1].ID))
		test.EqOp(t, history(calls, 4), d.body(calls[len(calls)-1].ID), test.Sprint(event))
	}

	emptied, wiped, replaced := d.Replicas[0], d.Replicas[1], d.Replicas[2]
	d.Store.Put("retirements", emptied.Name, map[string]any{"durationS": 8})
	eventually(t, "the VM is reported as emptied", recovery, func() bool {
		o, _ := d.Store.Get("retirements", emptied.Name)
		return strings.Contains(string(o.Status), "done")
	})
	d.KillVM(emptied)
	must.NoError(t, d.WipeDisk(emptied))
	check("emptied")

	d.KillVM(wiped)
	must.NoError(t, d.WipeDisk(wiped))
	must.NoError(t, d.StartVM(wiped))
	check("wiped")
	eventually(t, "the view is settled with the new disk", recovery, func() bool { return d.IsViewSettledWith(d.disk(wiped)) })

	lost := d.disk(replaced)
	d.KillVM(replaced)
	must.NoError(t, d.WipeDisk(replaced))
	time.Sleep(replica.MaxResponseAge + time.Second) // The one that is left must see that it answers no more.
	successor, err := d.AddVM("replica")
	must.NoError(t, err)
	check("replaced")
	eventually(t, "the view is settled with the successor, without the disk that is gone", recovery, func() bool {
		return d.IsViewSettledWith(d.disk(successor)) && !d.IsViewSettledWith(lost)
	})

	d.KillVM(wiped)
	must.NoError(t, d.WipeDisk(wiped))
	must.NoError(t, d.StartVM(wiped))
	check("wiped again")
}

// Guards against a second VM that is emptied though no other one can take its place, and against a view that then keeps out the
// one that comes.
func TestEmptyingWaitsForASuccessor(t *testing.T) {
	d := start(t, standard())
	program := NewID()
	calls := d.chainOf(t, program, "", 2)
	done := func(vm *VM) bool {
		o, _ := d.Store.Get("retirements", vm.Name)
		return strings.Contains(string(o.Status), "done")
	}
	first, second := d.Replicas[0], d.Replicas[1]
	d.Store.Put("retirements", first.Name, map[string]any{"durationS": 8})
	eventually(t, "the first VM is reported as emptied", recovery, func() bool { return done(first) })
	d.KillVM(first)
	must.NoError(t, d.WipeDisk(first))
	d.Store.Put("retirements", second.Name, map[string]any{"durationS": 8})
	time.Sleep(2 * emptyWait) // The absence of a report can only be watched for a time.
	must.False(t, done(second), must.Sprint("one disk would be left for each turn"))
	_, err := d.AddVM("replica")
	must.NoError(t, err)
	eventually(t, "the second VM is reported as emptied", recovery, func() bool { return done(second) })
	d.KillVM(second)
	must.NoError(t, d.WipeDisk(second))
	calls = append(calls, d.again(t, d.Gateways[0], program, calls[1].ID))
	test.EqOp(t, history(calls, 4), d.body(calls[2].ID))
}

const emptyWait = 2 * time.Second // Time for which a replica that is to be emptied waits for a successor.
