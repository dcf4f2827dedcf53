package deployment

import (
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"jackdawbay.dev/testbed/standin/objectstore"
)

// Bounds of the users' platform.
const (
	// A successor counts as caught up this long after the store has become calm, which takes 4 s from its return.
	successorBound = 4*time.Second + 4800*time.Millisecond
	recoveryBound  = 12 * time.Second // Time until service after the last fault.
)

// Guards against the loss of kept turns when a replica is replaced while the store answers nothing: the others must hear of the
// successor soon after the store is back, so that the next lost disk finds a copy there.
func TestSuccessorJoinsAfterASilentStore(t *testing.T) {
	d := start(t, standard())
	program := NewID()
	calls := d.chainOf(t, program, "", 3)

	d.Store.SetOutage(objectstore.HangForever, nil)
	gone, wiped := d.Replicas[0], d.Replicas[1]
	d.KillVM(gone)
	successor, err := d.AddVM("replica")
	must.NoError(t, err)
	time.Sleep(2 * time.Second) // Length of the outage.
	d.Store.SetOutage(objectstore.NoOutage, nil)

	eventually(t, "the successor is a member and has copied", successorBound, func() bool {
		disk, err := os.ReadFile(filepath.Join(successor.DataDir, "identity"))
		return err == nil && d.IsViewSettledWith(string(disk))
	})
	d.KillVM(wiped)
	must.NoError(t, d.WipeDisk(wiped))
	must.NoError(t, d.StartVM(wiped))
	var more []Call
	eventually(t, "a kept turn is continued", recoveryBound, func() bool {
		call := turn(program, calls[len(calls)-1].ID, "after the loss")
		if a := Send(d.Gateways[0], call); a.Status != http.StatusOK {
			test.NotEq(t, http.StatusNotFound, a.Status)
			return false
		}
		more = append(more, call)
		return true
	})
	test.EqOp(t, history(append(calls, more...), 4), d.body(more[0].ID))
}
