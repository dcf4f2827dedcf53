package main

import (
	"strings"
	"sync"
	"time"
)

func init() { cases["ledger"] = longLedger }

// longLedger lets clients that we don't control send the turns of one program whose budget is spent, with request IDs that fill the head up
// to its limit. Without trouble, the same turns belong to programs of their own.
func longLedger(d *Deployment, trouble bool) int {
	if _, err := startEngines(d, 3, time.Millisecond); err != nil {
		return d.Fail(err)
	}
	d.Configure(3, routes(), services())
	if err := startMachines(d, 1); err != nil {
		return d.Fail(err)
	}
	const (
		idBytes   = 14_000 // The limit of a head is 16,384 bytes.
		clients   = 48
		turnsEach = 40
	)
	w := d.Watch()
	shared := "program-" + NewID()
	var mu sync.Mutex
	statuses := map[int]int{}
	var wg sync.WaitGroup
	for i := range clients {
		wg.Go(func() {
			for range turnsEach {
				program := shared
				if !trouble {
					program = "program-" + NewID()
				}
				r := Request{Path: pathChat + "1", ID: NewID() + strings.Repeat("x", idBytes), Header: turnHeader(program, "", 0), Body: "one"}
				a := d.Send(d.Gateways[i%len(d.Gateways)], r)
				mu.Lock()
				statuses[a.Status]++
				mu.Unlock()
				if a.Status != 402 {
					time.Sleep(200 * time.Millisecond)
				}
			}
		})
	}
	wg.Wait()
	time.Sleep(time.Second)
	w.Close()
	names, broken := w.Faults()
	d.Recordf("answers by status: %v; processes that ended by themselves three times: %v", statuses, names)
	if broken {
		return ExitBroken
	}
	return ExitHeld
}
