package main

import (
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"jackdawbay.dev/testbed/deployment"
	"jackdawbay.dev/testbed/standin/backend"
)

// record writes what was sent, answered and run, with the time since the start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time

	deployment atomic.Pointer[deployment.Deployment] // The deployment of the run, for stopOnSignal.
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, start: time.Now()}, err
}

func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// exchange records a call and its response.
func (r *record) exchange(vm *deployment.VM, c deployment.Call, resp deployment.Response) {
	r.logf("sent to %s: request %s program %s previous %q path %s; answer: status %d, %d bytes, error %v, after %s",
		vm.Name, c.ID, c.Program, c.PreviousTurn, c.Path, resp.Status, len(resp.Body), resp.Err, resp.Elapsed.Round(time.Millisecond))
}

// runs records the runs at the upstreams.
func (r *record) runs(upstreams []*backend.Upstream) {
	for _, u := range upstreams {
		for _, run := range u.Runs() {
			r.logf("run at %s after %.3f s: request %s, %d bytes of body", u.ID, run.StartedAt.Sub(r.start).Seconds(), run.ID, len(run.Body))
		}
	}
}
