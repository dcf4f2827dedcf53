package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"jackdawbay.dev/testbed/deployment"
)

// Sizes and times of the tolerate case.
const (
	tolerateClients   = 24
	tolerateBodyBytes = 17_000 // The mean request of the users' site files.
	tolerateEvents    = 2
	tolerateBefore    = 8 * time.Second // Load before the settings change.
	tolerateAfter     = 8 * time.Second // Load after the settings change. The file is read every 2 s.
	toleratePause     = 20 * time.Millisecond
)

// runTolerate sends programs of two turns, the first through one data centre and the second through another one of the region.
// With trouble, the settings file of one VM with a disk changes meanwhile: tolerate.machines goes from 1 to 2. Five VMs have a
// disk, which is the number that this needs. No process is disturbed.
func runTolerate(o deployment.Options, r *record, trouble bool) (verdict, error) {
	o.Zones = []string{"zone-a", "zone-b"} // Both are in one region.
	o.Gateways, o.Replicas, o.Engines, o.EventsPerStream, o.ResponseDelay, o.RetainS = 4, 5, 2, tolerateEvents, 2*time.Millisecond, 60
	d, err := start(o, r)
	if d != nil {
		defer d.Close()
	}
	if err != nil {
		return verdict{}, err
	}
	turn := func(vm *deployment.VM, program, previous, body string) (deployment.Call, deployment.Response) {
		return sendTurn(d, r, vm, deployment.Call{Path: deployment.PathRetained, Program: program, Budget: 1 << 20,
			MaxTokens: tolerateEvents * deployment.TokensPerEvent, PreviousTurn: previous, Body: body})
	}
	var mu sync.Mutex
	var first []ackedTurn
	filler := strings.Repeat("x", tolerateBodyBytes)
	inParallel(tolerateBefore, func(client, n int) bool {
		c, resp := turn(d.Gateways[0], deployment.NewID(), "", fmt.Sprintf("client-%d turn-%d;", client, n)+filler)
		if resp.Err == nil && resp.Status == http.StatusOK {
			mu.Lock()
			first = append(first, ackedTurn{c, time.Now()})
			mu.Unlock()
		}
		return true
	})
	r.logf("%d first turns were answered whole", len(first))
	if trouble {
		vm := d.Replicas[0]
		if err := setTolerate(filepath.Join(o.Dir, vm.Name+".yaml"), 2); err != nil {
			return verdict{}, err
		}
		r.logf("settings file of %s: tolerate.machines is 2", vm.Name)
	}
	served, lost := 0, 0
	next := len(first)
	inParallel(tolerateAfter, func(int, int) bool {
		mu.Lock()
		next--
		i := next
		mu.Unlock()
		if i < 0 {
			return false
		}
		t := first[i]
		c, resp := turn(d.Gateways[1], t.call.Program, t.call.ID, "next;")
		mu.Lock()
		defer mu.Unlock()
		switch resp.Status {
		case http.StatusOK:
			served++
		case http.StatusNotFound:
			lost++
			r.logf("LOST: turn %s names turn %s, which was answered whole %.1f s before, and is answered 404", c.ID, t.call.ID, time.Since(t.answeredAt).Seconds())
		}
		time.Sleep(toleratePause)
		return true
	})
	if view, ok := d.Store.Get("jackdawbay-views", "main"); ok {
		r.logf("view at the end: %s", view.Spec)
	}
	if served == 0 {
		return verdict{}, errors.New("no second turn was served")
	}
	state := "HELD"
	if lost > 0 {
		state = "BROKEN"
	}
	return verdict{lost > 0, fmt.Sprintf("%s: %d of %d second turns were answered 404 though the turn that they name had just been answered whole", state, lost, lost+served)}, nil
}

// inParallel calls f in a loop for each client, until the time is over or f returns false.
func inParallel(d time.Duration, f func(client, n int) bool) {
	end := time.Now().Add(d)
	var wg sync.WaitGroup
	for client := range tolerateClients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; time.Now().Before(end) && f(client, n); n++ {
			}
		}()
	}
	wg.Wait()
}

type ackedTurn struct {
	call       deployment.Call
	answeredAt time.Time
}

// setTolerate changes tolerate.machines in a settings file.
func setTolerate(path string, machines int) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	var settings map[string]any
	if err := json.Unmarshal(raw, &settings); err != nil {
		return errors.Wrap(err, "decode settings")
	}
	settings["tolerate"] = map[string]any{"machines": machines}
	if raw, err = json.Marshal(settings); err != nil {
		return errors.Wrap(err, "encode settings")
	}
	return errors.Wrap(os.WriteFile(path, raw, 0o600), "write settings")
}
