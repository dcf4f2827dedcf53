package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["plain"] = takeUpPlainStreams }

// takeUpPlainStreams resets the client connections of one gateway by its kill while streams that belong to no program are under way.
// The clients take them up at another gateway.
func takeUpPlainStreams(d *Deployment, trouble bool) int {
	if _, err := startEngines(d, 4, 200*time.Millisecond); err != nil {
		return d.Fail(err)
	}
	d.Configure(3, routes(), services())
	if err := startMachines(d, 1); err != nil {
		return d.Fail(err)
	}
	time.Sleep(ContactTime + time.Second) // The second gateway is in touch.
	const streams = 24
	first, second := d.Gateways[0], d.Gateways[1]
	var mu sync.Mutex
	takenUp, goOn, begun := 0, 0, 0
	var wg sync.WaitGroup
	for i := range streams {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * 5 * time.Millisecond)
			begin := Request{Path: pathBuild + "1", ID: NewID(), Header: plainStreamHeader(), Body: "a prompt"}
			a := d.Send(first, begin)
			if a.Whole || len(a.Events) == 0 {
				return
			}
			rest := begin
			rest.ID, rest.Header = NewID(), plainStreamHeader()
			rest.Header["Last-Event-Id"] = fmt.Sprint(a.Events[len(a.Events)-1].ID)
			rest.Header["Resumes"] = begin.ID
			again := d.Send(second, rest)
			mu.Lock()
			defer mu.Unlock()
			takenUp++
			if len(again.Events) > 0 {
				goOn++
			}
		})
	}
	if trouble {
		time.Sleep(900 * time.Millisecond)
		d.Recordf("kill %s", first.Name)
		first.Kill()
	}
	for range streams {
		wg.Go(func() {
			a := d.Send(second, Request{Path: pathBuild + "1", ID: NewID(), Header: plainStreamHeader(), Body: "a prompt"})
			mu.Lock()
			defer mu.Unlock()
			if len(a.Events) > 0 {
				begun++
			}
		})
	}
	wg.Wait()
	d.Recordf("taken up %d, of which %d go on; new streams %d, of which %d begin", takenUp, goOn, streams, begun)
	if !trouble {
		if takenUp == 0 && begun > 0 {
			return ExitHeld
		}
		return ExitNotRun
	}
	if takenUp < 12 || begun == 0 {
		return ExitNotRun
	}
	if 2*goOn*streams < begun*takenUp {
		return ExitBroken
	}
	return ExitHeld
}

func plainStreamHeader() map[string]string {
	return map[string]string{"X-Jackdawbay-Model": "m", "X-Jackdawbay-Token-Usage": fmt.Sprintf("1460,%d", streamEvents*tokensPerEvent)}
}
