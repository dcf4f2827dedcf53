package deployment

import (
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"jackdawbay.dev/testbed/process"
)

var binaries string

func TestMain(m *testing.M) {
	os.Exit(process.RunWithDaemon(func(dir string) int {
		binaries = dir
		return m.Run()
	}))
}

// standard is a deployment that loses one VM with a disk.
func standard() Options {
	return Options{Gateways: 2, Replicas: 3, Engines: 2, Services: 2, ToleratedVMFailures: 1, EventsPerStream: 4, ResponseDelay: 10 * time.Millisecond, RetainS: 60}
}

// start starts a deployment and ends it with the test. The logs are shown when the test fails.
func start(t *testing.T, o Options) *Deployment {
	t.Helper()
	o.Binaries, o.Dir = binaries, t.TempDir()
	d, err := Start(o)
	t.Cleanup(func() {
		if t.Failed() {
			for _, vm := range d.vms() {
				t.Logf("log of %s:\n%s", vm.Name, d.ReadLog(vm))
			}
		}
		d.Close()
	})
	must.NoError(t, err)
	return d
}

// killAll kills all processes at the same moment, starts them again and waits until turns are served.
func (d *Deployment) killAll(t *testing.T) {
	t.Helper()
	for _, vm := range d.vms() {
		d.KillVM(vm)
	}
	for _, vm := range d.vms() {
		must.NoError(t, d.StartVM(vm))
	}
	must.NoError(t, d.WaitUntilServing(15*time.Second))
}

// runs counts the runs of a request over all upstreams.
func (d *Deployment) runs(id string) int {
	n := 0
	for _, u := range append(d.Engines[:len(d.Engines):len(d.Engines)], d.Services...) {
		for _, r := range u.Runs() {
			if r.ID == id {
				n++
			}
		}
	}
	return n
}

// eventually waits for a condition.
func eventually(t *testing.T, what string, timeout time.Duration, f func() bool) {
	t.Helper()
	deadline := time.Now().Add(timeout)
	for !f() {
		if time.Now().After(deadline) {
			t.Fatalf("%s: not within %v", what, timeout)
		}
		time.Sleep(20 * time.Millisecond)
	}
}
