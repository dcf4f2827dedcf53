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

// Time limits of the users' platform.
const (
	// A successor must catch up within 4.8 s after the store has become stable. The store is stable 4 s after it responds again.
	successorTimeout = 4*time.Second + 4800*time.Millisecond
	serviceTimeout   = 12 * time.Second // Time after the last fault until turns must be served.
)

// Guards against the loss of stored turns when a replica is replaced during a store outage. The other replicas must observe
// the successor soon after the outage, so that it has copies of the turns when the next disk is lost.
func TestSuccessorJoinsAfterStoreOutage(t *testing.T) {
	d := startDeployment(t, defaultOptions())
	program := NewID()
	calls := d.sendChain(t, program, "", 3)

	d.Store.SetOutage(objectstore.HangForever, nil)
	failed, wiped := d.Replicas[0], d.Replicas[1]
	d.KillVM(failed)
	successor, err := d.AddVM("replica")
	must.NoError(t, err)
	time.Sleep(2 * time.Second) // Duration of the outage.
	d.Store.SetOutage(objectstore.NoOutage, nil)

	eventually(t, "the view has settled with the successor", successorTimeout, func() bool {
		disk, err := os.ReadFile(filepath.Join(successor.DataDir, "identity"))
		return err == nil && d.IsViewSettledWith(string(disk))
	})
	d.KillVM(wiped)
	must.NoError(t, d.WipeDisk(wiped))
	must.NoError(t, d.StartVM(wiped))
	var continued []Call
	eventually(t, "a stored turn is continued", serviceTimeout, func() bool {
		call := newTurnCall(program, calls[len(calls)-1].ID, "after the loss")
		if resp := Send(d.Gateways[0], call); resp.Status != http.StatusOK {
			test.NotEq(t, http.StatusNotFound, resp.Status)
			return false
		}
		continued = append(continued, call)
		return true
	})
	test.EqOp(t, expectedHistory(append(calls, continued...), 4), d.receivedBody(continued[0].ID))
}
