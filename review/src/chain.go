package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"jackdawbay.dev/testbed/deployment"
	"jackdawbay.dev/testbed/standin/backend"
)

// Times of the chain case.
const (
	chainRetainS  = 60               // As in the configuration of the users' pages.
	chainPause    = 48 * time.Second // Pause between two turns; well below the retention.
	chainEvents   = 4
	chainGateways = 8               // One of eight is below the share of machines that the site file has killed.
	gatewayDown   = 2 * time.Second // Time between the kill of the gateway and its restart.
)

// sendTurn sends a turn until it has a complete answer that is not 503, each time with a new ID, like a client of a program.
func sendTurn(d *deployment.Deployment, r *record, vm *deployment.VM, c deployment.Call) (deployment.Call, deployment.Response) {
	for deadline := time.Now().Add(8 * time.Second); ; time.Sleep(200 * time.Millisecond) {
		c.ID = deployment.NewID()
		resp := deployment.Send(vm, c)
		r.exchange(vm, c, resp)
		if resp.Err == nil && resp.Status != http.StatusServiceUnavailable || time.Now().After(deadline) {
			return c, resp
		}
	}
}

func receivedBody(d *deployment.Deployment, id string) (body string, ran bool) {
	for _, u := range d.Engines {
		for _, run := range u.Runs() {
			if run.ID == id {
				return run.Body, true
			}
		}
	}
	return "", false
}

// runChain sends three turns of one chain with a pause between them that is shorter than the retention. With trouble, the
// gateway is killed and started again before the last turn.
func runChain(o deployment.Options, r *record, trouble bool) (verdict, error) {
	o.Gateways, o.Replicas, o.Engines, o.EventsPerStream, o.ResponseDelay, o.RetainS = chainGateways, 3, 2, chainEvents, 10*time.Millisecond, chainRetainS
	d, err := start(o, r)
	if d != nil {
		defer d.Close()
	}
	if err != nil {
		return verdict{}, err
	}
	gateway, program := d.Gateways[0], deployment.NewID()
	var turns []deployment.Call
	var answeredAt time.Time
	want, previous := "", ""
	for i := range 3 {
		if i > 0 {
			pause := chainPause
			if i == 2 && trouble {
				time.Sleep(pause / 2)
				pause -= pause / 2
				r.logf("SIGKILL to %s", gateway.Name)
				d.KillVM(gateway)
				time.Sleep(gatewayDown)
				pause -= gatewayDown
				if err := d.StartVM(gateway); err != nil {
					return verdict{}, err
				}
				r.logf("%s started again", gateway.Name)
			}
			time.Sleep(pause)
		}
		sentAt := time.Now()
		c, resp := sendTurn(d, r, gateway, deployment.Call{
			Path: deployment.PathRetained, Program: program, Budget: 1 << 20, MaxTokens: chainEvents * deployment.TokensPerEvent,
			PreviousTurn: previous, Body: fmt.Sprintf("input-%d;", i+1),
		})
		want += c.Body
		if i < 2 && (resp.Err != nil || resp.Status != http.StatusOK) {
			return verdict{}, errors.Newf("turn %d was not served: status %d, %v", i+1, resp.Status, resp.Err)
		}
		if i == 2 {
			r.runs(d.Engines)
			age := sentAt.Sub(answeredAt)
			switch body, ran := receivedBody(d, c.ID); {
			case resp.Status == http.StatusNotFound && age < chainRetainS*time.Second:
				return verdict{true, fmt.Sprintf("BROKEN: turn 3 was answered 404; turn 2, which it names, was answered whole %.1f s before, and retainS is %d; turns 1 and 2: %s", age.Seconds(), chainRetainS, ids(turns))}, nil
			case ran && body != want:
				return verdict{true, "BROKEN: turn 3 ran with another history"}, nil
			case resp.Status == http.StatusOK && resp.Err == nil && ran:
				return verdict{false, fmt.Sprintf("HELD: turn 3 ran with its whole history, %.1f s after the answer to turn 2", age.Seconds())}, nil
			default:
				return verdict{}, errors.Newf("turn 3: status %d, %v", resp.Status, resp.Err)
			}
		}
		answeredAt = time.Now()
		turns, previous = append(turns, c), c.ID
		want += backend.StreamText(c.ID, chainEvents)
	}
	return verdict{}, errors.New("not reached")
}

func ids(calls []deployment.Call) string {
	var names []string
	for _, c := range calls {
		names = append(names, c.ID)
	}
	return strings.Join(names, ", ")
}
