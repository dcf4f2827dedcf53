package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["history"] = takeUpHistory }

// takeUpHistory breaks a stream of a turn by the kill of its gateway. The client takes the stream up at another gateway, as it
// may on a route with `resumable`, and goes on from that turn. The engine must get the whole history.
func takeUpHistory(d *Deployment, trouble bool) int {
	list, err := startEngines(d, 3, 150*time.Millisecond)
	if err != nil {
		return d.Fail(err)
	}
	d.Configure(3, []map[string]any{
		Route(pathChat, "stream", engines, map[string]any{"retain": true, "retainS": 60, "resumable": true, "sticky": true, "gapAimMs": 300}),
	}, services())
	if err := startMachines(d, 1); err != nil {
		return d.Fail(err)
	}
	const programs = 6
	first, second := d.Gateways[0], d.Gateways[1]
	type line struct {
		program, turn string
		events        []Event
		asked         bool
	}
	lines := make([]line, programs)
	var wg sync.WaitGroup
	for i := range lines {
		wg.Go(func() {
			l := &lines[i]
			l.program = "program-" + NewID()
			begin := Request{Path: pathChat + "1", ID: NewID(), Header: turnHeader(l.program, "", 100_000), Body: "input one of " + l.program + "\n"}
			a := d.Send(first, begin)
			l.turn, l.events = begin.ID, a.Events
			if a.Whole || len(a.Events) == 0 {
				l.asked = a.Whole
				return
			}
			rest := begin
			rest.ID, rest.Header = NewID(), turnHeader(l.program, "", 100_000)
			rest.Header["Last-Event-Id"] = fmt.Sprint(a.Events[len(a.Events)-1].ID)
			rest.Header["Resumes"] = begin.ID
			again := d.Send(second, rest)
			l.turn, l.events, l.asked = rest.ID, append(l.events, again.Events...), again.Whole && again.Status == 200
		})
	}
	if trouble {
		time.Sleep(600 * time.Millisecond)
		d.Recordf("kill %s", first.Name)
		first.Kill()
	}
	wg.Wait()
	broken, checked := 0, 0
	for _, l := range lines {
		if !l.asked || len(l.events) != streamEvents {
			continue
		}
		next := Request{Path: pathChat + "1", ID: NewID(), Header: turnHeader(l.program, l.turn, 100_000), Body: "input two of " + l.program + "\n"}
		a := d.Send(second, next)
		var want strings.Builder
		want.WriteString("input one of " + l.program + "\n")
		for _, e := range l.events {
			want.WriteString(e.Data + "\n")
		}
		want.WriteString(next.Body)
		for _, s := range list {
			for _, run := range s.Runs() {
				if run.ID != next.ID {
					continue
				}
				checked++
				if run.Body != want.String() {
					broken++
					d.Recordf("BROKEN: %s ran turn %s of %s with the body %q; the chain is %q; the client got %d", s.ID, next.ID, l.program, run.Body, want.String(), a.Status)
				}
			}
		}
	}
	d.Recordf("%d next turns ran, %d of them with a body that is not the chain", checked, broken)
	switch {
	case checked == 0:
		return ExitNotRun
	case broken > 0:
		return ExitBroken
	}
	return ExitHeld
}
