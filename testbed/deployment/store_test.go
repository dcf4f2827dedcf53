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
	successorTimeout = 4*time.Second + 4800*time.Millisecond
	serviceTimeout   = 12 * time.Second // Time until service after the last fault.
)

// Guards against the loss of kept turns when a replica is replaced while the store answers nothing: the others must hear of the
// successor soon after the store is back, so that the next lost disk finds a copy there.
func TestSuccessorJoinsAfterStoreOutage(t *testing.T) {
	d := startDeployment(t, defaultOptions())
	program := NewID()
	calls := d.sendChain(t, program, "", 3)

	d.Store.SetOutage(objectstore.HangForever, nil)
	failed, wiped := d.Replicas[0], d.Replicas[1]
	d.KillVM(failed)
	successor, err := d.AddVM("replica")
	must.NoError(t, err)
	time.Sleep(2 * time.Second) // Length of the outage.
	d.Store.SetOutage(objectstore.NoOutage, nil)

	eventually(t, "the successor is a member and has copied", successorTimeout, func() bool {
		disk, err := os.ReadFile(filepath.Join(successor.DataDir, "identity"))
		return err == nil && d.IsViewSettledWith(string(disk))
	})
	d.KillVM(wiped)
	must.NoError(t, d.WipeDisk(wiped))
	must.NoError(t, d.StartVM(wiped))
	var more []Call
	eventually(t, "a kept turn is continued", serviceTimeout, func() bool {
		call := newTurnCall(program, calls[len(calls)-1].ID, "after the loss")
		if resp := Send(d.Gateways[0], call); resp.Status != http.StatusOK {
			test.NotEq(t, http.StatusNotFound, resp.Status)
			return false
		}
		more = append(more, call)
		return true
	})
	test.EqOp(t, expectedHistory(append(calls, more...), 4), d.receivedBody(more[0].ID))
}
