package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"jackdawbay.dev/testbed/deployment"
)

// Sizes and times of the retirement case.
const (
	retireClients   = 96
	retireBodyBytes = 100_000 // The largest request of the users' site files.
	retireEvents    = 2
	retireGateways  = 12 // Half of them in each data centre.
	retireCycles    = 12
	retireWarmUp    = 500 * time.Millisecond // Load before a VM is to be emptied.
	retireLimit     = 15 * time.Second       // Time in which a VM must be emptied.
	checkBefore     = 300 * time.Millisecond // The turns that were answered from this time before a change of the view
	checkAfter      = 300 * time.Millisecond // to this time after it are continued.
	checkWorkers    = 16
	runLimit        = 95 * time.Second // No cycle begins after this time.
)

// runRetire sends turns through the gateways of one data centre. With trouble, one of the two VMs with a disk there is emptied
// and taken away meanwhile; a spare VM in the other data centre takes its place. Then the turns that were answered around the
// change are continued through the gateways of the other data centre of the region. No VM is lost. This is repeated with the
// data centres exchanged.
func runRetire(o deployment.Options, r *record, trouble bool) (verdict, error) {
	o.Zones = []string{"zone-a", "zone-b"} // Both are in one region.
	o.Gateways, o.Replicas, o.Engines, o.EventsPerStream, o.ResponseDelay, o.RetainS = retireGateways, 3, 4, retireEvents, 2*time.Millisecond, 60
	d, err := start(o, r)
	if d != nil {
		defer d.Close()
	}
	if err != nil {
		return verdict{}, err
	}
	lost, checked, changes := 0, 0, 0
	for cycle := 0; cycle < retireCycles && time.Since(r.start) < runLimit && lost == 0; cycle++ {
		here, there := o.Zones[cycle%2], o.Zones[(cycle+1)%2]
		if _, err := d.AddVMInZone("replica", there); err != nil {
			return verdict{}, err
		}
		turns, err := loadAndRetire(d, r, here, trouble)
		if err != nil {
			return verdict{}, err
		}
		changes++
		l := continueTurns(d, r, there, turns)
		lost, checked = lost+l, checked+len(turns)
		r.logf("cycle %d: %d of %d turns were answered 404", cycle, l, len(turns))
	}
	if checked == 0 {
		return verdict{}, errors.New("no turn was continued")
	}
	state := "HELD"
	if lost > 0 {
		state = "BROKEN"
	}
	return verdict{lost > 0, fmt.Sprintf("%s: after %d retirements, %d of %d turns that had been answered whole were answered 404", state, changes, lost, checked)}, nil
}

// loadAndRetire sends turns through the gateways of a data centre while the first VM with a disk there is emptied. It returns the
// turns that were answered whole around the change of the view.
func loadAndRetire(d *deployment.Deployment, r *record, zone string, trouble bool) ([]ackedTurn, error) {
	gateways := gatewaysIn(d, zone)
	var mu sync.Mutex
	var acked []ackedTurn
	stop := make(chan struct{})
	var wg sync.WaitGroup
	filler := strings.Repeat("x", retireBodyBytes)
	for i := range retireClients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			vm := gateways[i%len(gateways)]
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				c := deployment.Call{Path: deployment.PathRetained, ID: deployment.NewID(), Program: deployment.NewID(), Budget: 1 << 20,
					MaxTokens: retireEvents * deployment.TokensPerEvent, Body: fmt.Sprintf("client-%d turn-%d;", i, n) + filler}
				resp := deployment.Send(vm, c)
				if resp.Err != nil || resp.Status != http.StatusOK {
					r.exchange(vm, c, resp)
					time.Sleep(20 * time.Millisecond)
					continue
				}
				mu.Lock()
				acked = append(acked, ackedTurn{c, time.Now()})
				mu.Unlock()
			}
		}()
	}
	time.Sleep(retireWarmUp)
	changedAt, err := retire(d, r, zone, trouble, func() {
		close(stop)
		wg.Wait()
	})
	if err != nil {
		return nil, err
	}
	r.logf("%d turns were answered whole", len(acked))
	var around []ackedTurn
	for _, t := range acked {
		if t.answeredAt.After(changedAt.Add(-checkBefore)) && t.answeredAt.Before(changedAt.Add(checkAfter)) {
			around = append(around, t)
		}
	}
	return around, nil
}

// retire has the first VM with a disk in a data centre emptied and removes it. It returns the time at which the set of the view
// changed. Without trouble, it only returns the time. The function stopLoad is called a short time after the change.
func retire(d *deployment.Deployment, r *record, zone string, trouble bool, stopLoad func()) (time.Time, error) {
	if !trouble {
		now := time.Now()
		time.Sleep(checkAfter)
		stopLoad()
		return now, nil
	}
	var retired *deployment.VM
	for _, vm := range d.Replicas {
		if vm.Zone == zone && retired == nil {
			retired = vm
		}
	}
	epoch := viewEpoch(d)
	r.logf("the operator writes retirements/%s", retired.Name)
	d.Store.Put("retirements", retired.Name, map[string]any{"durationS": 8.8})
	begin := time.Now()
	await := func(condition func() bool) error {
		for !condition() {
			if time.Since(begin) > retireLimit {
				return errors.New("the VM was not emptied in time")
			}
			time.Sleep(2 * time.Millisecond)
		}
		return nil
	}
	err := await(func() bool { return viewEpoch(d) != epoch })
	changedAt := time.Now()
	time.Sleep(checkAfter)
	stopLoad()
	if err != nil {
		return time.Time{}, err
	}
	if err := await(func() bool { return isRetired(d, retired.Name) }); err != nil {
		return time.Time{}, err
	}
	r.logf("the state of retirements/%s is done, %.1f s after the view changed; the VM is removed", retired.Name, time.Since(changedAt).Seconds())
	return changedAt, d.RemoveVM(retired)
}

// continueTurns continues turns through the gateways of a data centre. It returns how many are answered 404.
func continueTurns(d *deployment.Deployment, r *record, zone string, turns []ackedTurn) int {
	gateways := gatewaysIn(d, zone)
	var mu sync.Mutex
	lost := 0
	work := make(chan ackedTurn)
	var wg sync.WaitGroup
	for i := range checkWorkers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for t := range work {
				c, resp := sendTurn(d, r, gateways[i%len(gateways)], deployment.Call{Path: deployment.PathRetained, Program: t.call.Program, Budget: 1 << 20,
					MaxTokens: retireEvents * deployment.TokensPerEvent, PreviousTurn: t.call.ID, Body: "next;"})
				if resp.Status == http.StatusNotFound {
					mu.Lock()
					lost++
					mu.Unlock()
					r.logf("LOST: turn %s names turn %s, which was answered whole %.1f s before, and is answered 404", c.ID, t.call.ID, time.Since(t.answeredAt).Seconds())
				}
			}
		}()
	}
	for _, t := range turns {
		work <- t
	}
	close(work)
	wg.Wait()
	return lost
}

func gatewaysIn(d *deployment.Deployment, zone string) []*deployment.VM {
	var gateways []*deployment.VM
	for _, vm := range d.Gateways {
		if vm.Zone == zone {
			gateways = append(gateways, vm)
		}
	}
	return gateways
}

func viewEpoch(d *deployment.Deployment) uint64 {
	var view struct {
		Epoch uint64 `json:"epoch"`
	}
	if o, ok := d.Store.Get("jackdawbay-views", "main"); ok && json.Unmarshal(o.Spec, &view) != nil {
		return 0
	}
	return view.Epoch
}

func isRetired(d *deployment.Deployment, vm string) bool {
	o, ok := d.Store.Get("retirements", vm)
	return ok && strings.Contains(string(o.Status), `"done"`)
}
