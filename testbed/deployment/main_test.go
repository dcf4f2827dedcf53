package deployment

import (
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"jackdawbay.dev/testbed/process"
)

var binariesDir string

func TestMain(m *testing.M) {
	os.Exit(process.RunWithDaemon(func(dir string) int {
		binariesDir = dir
		return m.Run()
	}))
}

// defaultOptions returns a deployment that tolerates the failure of one VM with a disk.
func defaultOptions() Options {
	return Options{Gateways: 2, Replicas: 3, Engines: 2, Services: 2, ToleratedVMFailures: 1, EventsPerStream: 4, ResponseDelay: 10 * time.Millisecond, RetainS: 60}
}

// startDeployment starts a deployment and closes it at the end of the test. It logs the output of all VMs if the test fails.
func startDeployment(t *testing.T, o Options) *Deployment {
	t.Helper()
	o.Binaries, o.Dir = binariesDir, t.TempDir()
	d, err := Start(o)
	t.Cleanup(func() {
		if t.Failed() {
			for _, vm := range d.allVMs() {
				t.Logf("log of %s:\n%s", vm.Name, d.ReadLog(vm))
			}
		}
		d.Close()
	})
	must.NoError(t, err)
	return d
}

// killAndRestartAll kills all processes, starts them again and waits until turns are served.
func (d *Deployment) killAndRestartAll(t *testing.T) {
	t.Helper()
	for _, vm := range d.allVMs() {
		d.KillVM(vm)
	}
	for _, vm := range d.allVMs() {
		must.NoError(t, d.StartVM(vm))
	}
	must.NoError(t, d.WaitUntilServing(15*time.Second))
}

// countRuns returns how often a request has run, over all upstreams.
func (d *Deployment) countRuns(id string) int { return d.countRunsByID()[id] }

// countRunsByID returns how often each request has run, over all upstreams.
func (d *Deployment) countRunsByID() map[string]int {
	counts := map[string]int{}
	for _, u := range append(d.Engines[:len(d.Engines):len(d.Engines)], d.Services...) {
		for _, r := range u.Runs() {
			counts[r.ID]++
		}
	}
	return counts
}

// eventually fails the test if the condition does not hold within the timeout.
func eventually(t *testing.T, description string, timeout time.Duration, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(timeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("%s: not within %v", description, timeout)
		}
		time.Sleep(20 * time.Millisecond)
	}
}
