package main

import (
	"time"
)

func init() { cases["cycle"] = cyclicChain }

// cyclicChain lets a client that we don't control send two turns with the same ID, of which the second goes on from the first. Without
// trouble, the second turn has an ID of its own. Clients then go on from that turn at the other gateways.
func cyclicChain(d *Deployment, trouble bool) int {
	if _, err := startEngines(d, 3, time.Millisecond); err != nil {
		return d.Fail(err)
	}
	d.Configure(3, routes(), services())
	if err := startMachines(d, 1); err != nil {
		return d.Fail(err)
	}
	program, first, second := "program-"+NewID(), NewID(), NewID()
	if trouble {
		second = first
	}
	one := d.Send(d.Gateways[0], Request{Path: pathChat + "1", ID: first, Header: turnHeader(program, "", 100_000), Body: "one"})
	two := d.Send(d.Gateways[0], Request{Path: pathChat + "1", ID: second, Header: turnHeader(program, first, 100_000), Body: "two"})
	if !one.Whole || !two.Whole {
		return ExitNotRun
	}
	w := d.Watch()
	refused, served := 0, 0
	for range 3 {
		for _, g := range d.Gateways[1:] {
			ends := w.Ends(g)
			a := d.Send(g, Request{Path: pathChat + "1", ID: NewID(), Header: turnHeader(program, second, 100_000), Body: "three"})
			switch {
			case a.Status == 200 && a.Whole:
				served++
			case a.Status != 0:
				refused++
			}
			for deadline := time.Now().Add(10 * time.Second); trouble && w.Ends(g) == ends && time.Now().Before(deadline); {
				time.Sleep(20 * time.Millisecond)
			}
			time.Sleep(2 * restartDelay)
			if err := d.AwaitReady(startTimeout); err != nil {
				return d.Fail(err)
			}
		}
	}
	w.Close()
	names, broken := w.Faults()
	d.Recordf("turns after the first two: %d served, %d refused; processes that ended by themselves three times: %v", served, refused, names)
	if broken {
		return ExitBroken
	}
	return ExitHeld
}
