package main

import (
	"strings"
	"sync"
	"time"
)

func init() { cases["index"] = longIDs }

// longIDs lets clients that we don't control send small turns with request IDs that fill the head up to its limit. Then they leave. Without
// trouble, the IDs have the usual length.
func longIDs(d *Deployment, trouble bool) int {
	if _, err := startEngines(d, 3, 0); err != nil {
		return d.Fail(err)
	}
	d.Configure(3, routes(), services())
	if err := startMachines(d, 1); err != nil {
		return d.Fail(err)
	}
	const (
		clients   = 32
		turnsEach = 450
	)
	idBytes := 14_000
	if !trouble {
		idBytes = 0
	}
	w := d.Watch()
	var mu sync.Mutex
	statuses := map[int]int{}
	var wg sync.WaitGroup
	stop := time.Now().Add(45 * time.Second)
	for i := range clients {
		wg.Go(func() {
			for range turnsEach {
				if time.Now().After(stop) || endedOnce(w, d.Replicas) >= 2 {
					return
				}
				r := Request{Path: pathChat + "1", ID: NewID() + strings.Repeat("x", idBytes), Header: turnHeader("program-"+NewID(), "", 100_000), Body: "one"}
				a := d.Send(d.Gateways[i%len(d.Gateways)], r)
				mu.Lock()
				statuses[a.Status]++
				mu.Unlock()
				if a.Status != 200 {
					time.Sleep(100 * time.Millisecond)
				}
			}
		})
	}
	wg.Wait()
	d.Recordf("the clients have left; answers by status: %v", statuses)
	time.Sleep(20 * time.Second)
	d.Recordf("20 s later")
	a := d.Send(d.Gateways[0], Request{Path: pathChat + "1", ID: NewID(), Header: turnHeader("program-"+NewID(), "", 100_000), Body: "one"})
	d.Recordf("an ordinary turn 20 s later: %d", a.Status)
	w.Close()
	names, broken := w.Faults()
	d.Recordf("processes that ended by themselves three times: %v", names)
	if broken {
		return ExitBroken
	}
	return ExitHeld
}

// endedOnce returns the number of machines whose processes have ended by themselves.
func endedOnce(w *Watchdog, machines []*VM) int {
	n := 0
	for _, vm := range machines {
		if w.Ends(vm) > 0 {
			n++
		}
	}
	return n
}
