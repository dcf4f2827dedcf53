package main

import (
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"jackdawbay.dev/testbed/deployment"
	"jackdawbay.dev/testbed/relay"
)

// Sizes and times of the first-view case.
const (
	firstGateways  = 8
	firstReplicas  = 3
	firstEvents    = 2
	firstTraffic   = 4 * time.Second         // From the start of the machines to the traffic.
	firstWipe      = 7 * time.Second         // From the start to the loss of a disk.
	firstDown      = time.Second             // From the loss of the disk to the restart.
	firstStoreBack = 9 * time.Second         // From the start to the end of the refusals.
	firstCatchUp   = 4800 * time.Millisecond // catchUpS of the site: machines remain lost for it after they are back.
	firstRecover   = 12 * time.Second        // recoverS of the pages.
	firstAfter     = 10 * time.Second        // Traffic that is judged.
	firstPause     = 100 * time.Millisecond
)

// turnStats counts turns by their result.
type turnStats struct{ sent, served int }

// sendTurns sends first turns through the gateways in rotation until a time.
func sendTurns(d *deployment.Deployment, r *record, until time.Time) (turnStats, []ackedTurn) {
	var stats turnStats
	var acked []ackedTurn
	for n := 0; time.Now().Before(until); n++ {
		vm := d.Gateways[n%len(d.Gateways)]
		c := deployment.Call{Path: deployment.PathRetained, ID: deployment.NewID(), Program: deployment.NewID(), Budget: 1 << 20,
			MaxTokens: firstEvents * deployment.TokensPerEvent, Body: fmt.Sprintf("turn-%d;", n), Deadline: 3 * time.Second}
		resp := deployment.Send(vm, c)
		r.exchange(vm, c, resp)
		stats.sent++
		if resp.Err == nil && resp.Status == http.StatusOK {
			stats.served++
			acked = append(acked, ackedTurn{c, time.Now()})
		}
		time.Sleep(firstPause)
	}
	return stats, acked
}

// runFirst starts a deployment for the first time. With trouble, the store turns two of the three VMs with a disk away for 9 s
// from their start on. After some traffic, the third one loses its disk. All machines are back 9 s after the start.
func runFirst(o deployment.Options, r *record, trouble bool) (verdict, error) {
	o.Engines, o.Services, o.EventsPerStream, o.ResponseDelay, o.RetainS, o.UseRelays = 2, 1, firstEvents, 2*time.Millisecond, 60, true
	d, err := start(o, r)
	if d != nil {
		defer d.Close()
	}
	if err != nil {
		return verdict{}, err
	}
	begin := time.Now()
	for i := range firstReplicas {
		refused := trouble && i > 0
		rules := []relay.Rule{}
		if refused {
			rules = []relay.Rule{{Mode: relay.Refuse}}
		}
		if err := d.SetStoreRules(rules); err != nil {
			return verdict{}, err
		}
		vm, err := d.AddVM("replica")
		if err != nil {
			return verdict{}, err
		}
		r.logf("%s starts; the store turns it away: %v", vm.Name, refused)
	}
	if err := d.SetStoreRules(nil); err != nil {
		return verdict{}, err
	}
	if trouble {
		for _, vm := range d.Replicas[1:] {
			if err := vm.StoreRelay.SetRules([]relay.Rule{{Mode: relay.Refuse}}); err != nil {
				return verdict{}, err
			}
		}
	}
	for range firstGateways {
		if _, err := d.AddVM("gateway"); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(time.Until(begin.Add(firstTraffic)))
	before, acked := sendTurns(d, r, begin.Add(firstWipe))
	wiped := d.Replicas[0]
	r.logf("%s loses its disk; before: %d of %d turns were served", wiped.Name, before.served, before.sent)
	d.KillVM(wiped)
	if err := d.WipeDisk(wiped); err != nil {
		return verdict{}, err
	}
	time.Sleep(firstDown)
	if err := d.StartVM(wiped); err != nil {
		return verdict{}, err
	}
	time.Sleep(time.Until(begin.Add(firstStoreBack)))
	if err := d.SetStoreRules(nil); err != nil {
		return verdict{}, err
	}
	r.logf("the store serves all machines")
	time.Sleep(firstCatchUp + firstRecover)
	after, _ := sendTurns(d, r, time.Now().Add(firstAfter))
	missing := 0
	for _, t := range acked {
		c, resp := sendOnce(d, r, deployment.Call{Path: deployment.PathRetained, Program: t.call.Program, Budget: 1 << 20,
			MaxTokens: firstEvents * deployment.TokensPerEvent, PreviousTurn: t.call.ID, Body: "next;", Deadline: 3 * time.Second})
		if _, ran := receivedBody(d, c.ID); !ran || resp.Status != http.StatusOK {
			missing++
		}
	}
	if view, ok := d.Store.Get("jackdawbay-views", "main"); ok {
		r.logf("view at the end: %s", view.Spec)
	}
	if 4*before.served < before.sent {
		return verdict{}, errors.Newf("only %d of %d turns were served before the final fault", before.served, before.sent)
	}
	state := "HELD"
	if 4*after.served < after.sent {
		state = "BROKEN"
	}
	return verdict{4*after.served < after.sent, fmt.Sprintf("%s: %d of %d turns were served before the disk was lost, %d of %d later than %s after all machines were back and had caught up; %d of %d acknowledged turns cannot be continued",
		state, before.served, before.sent, after.served, after.sent, firstRecover, missing, len(acked))}, nil
}

func sendOnce(d *deployment.Deployment, r *record, c deployment.Call) (deployment.Call, deployment.Response) {
	c.ID = deployment.NewID()
	resp := deployment.Send(d.Gateways[0], c)
	r.exchange(d.Gateways[0], c, resp)
	return c, resp
}
