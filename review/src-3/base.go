package main

import (
	"fmt"
	"time"
)

// Paths of the routes that cases use.
const (
	pathChat   = "/chat/"   // Stream; the system keeps what was said.
	pathBuild  = "/build/"  // Stream that may be resumed.
	pathStatus = "/status/" // Idempotent.
	pathCharge = "/charge/" // Not idempotent.
)

// Services of the deployments.
const (
	engines = "kit-agents"
	desk    = "order-desk"
)

const (
	tokensPerEvent = 32
	startTimeout   = 20 * time.Second
)

// routes returns the routes as the deployments of the pages have them.
func routes() []map[string]any {
	return []map[string]any{
		Route(pathChat, "stream", engines, map[string]any{"retain": true, "retainS": 60, "sticky": true, "gapAimMs": 300}),
		Route(pathBuild, "stream", engines, map[string]any{"resumable": true, "retainS": 60, "sticky": true, "gapAimMs": 300}),
		Route(pathStatus, "idempotent", desk, map[string]any{"timeoutMs": 1000, "sloMs": 120, "priority": 2}),
		Route(pathCharge, "non_idempotent", desk, map[string]any{"timeoutMs": 1500, "sloMs": 200, "priority": 2}),
	}
}

func services() []map[string]any {
	return []map[string]any{Service(engines, tokensPerEvent), Service(desk, 0)}
}

// startMachines starts a replica and a gateway in each data centre and waits until the gateways are ready.
func startMachines(d *Deployment, gatewaysPerZone int) error {
	for _, zone := range ZoneNames {
		if _, err := d.AddVM("replica", zone); err != nil {
			return err
		}
	}
	for _, zone := range ZoneNames {
		for range gatewaysPerZone {
			if _, err := d.AddVM("gateway", zone); err != nil {
				return err
			}
		}
	}
	return d.AwaitReady(startTimeout)
}

// streamEvents is the number of events of a turn.
const streamEvents = 8

// startEngines starts engines of one software version.
func startEngines(d *Deployment, n int, eventDelay time.Duration) ([]*Server, error) {
	var list []*Server
	for i := range n {
		s := &Server{ID: fmt.Sprintf("engine-%d", i+1), Service: engines, Zone: ZoneNames[i%len(ZoneNames)], Events: streamEvents, EventDelay: eventDelay}
		s.Data = func(run Run, event int) string { return fmt.Sprintf("said %d to %s", event, run.Program) }
		if err := d.AddServer(s); err != nil {
			return nil, err
		}
		list = append(list, s)
	}
	return list, nil
}

// turnHeader returns the headers of a turn.
func turnHeader(program, previous string, budget int) map[string]string {
	h := map[string]string{
		"X-Jackdawbay-Program-Id": program, "X-Jackdawbay-Session-Id": program, "X-Jackdawbay-Finish-Ms": "9000", "X-Jackdawbay-Model": "m",
		"X-Jackdawbay-Token-Budget": fmt.Sprint(budget), "X-Jackdawbay-Token-Usage": fmt.Sprintf("1460,%d", streamEvents*tokensPerEvent),
	}
	if previous != "" {
		h["X-Jackdawbay-Previous-Turn"] = previous
	}
	return h
}
