// Command reviewcase runs one case of the review against the binaries of the deploy file. It exits with 1 if the rule was
// broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"jackdawbay.dev/testbed/deployment"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// verdict is the result of a case that ran.
type verdict struct {
	broken bool
	text   string
}

// scenario runs one case. The argument trouble states whether the disruption is applied.
type scenario func(o deployment.Options, r *record, trouble bool) (verdict, error)

var scenarios = map[string]scenario{
	"chain":    runChain,
	"first":    runFirst,
	"extra":    runExtra,
	"retire":   runRetire,
	"tolerate": runTolerate,
}

func main() {
	if len(os.Args) != 4 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: reviewcase SCENARIO BINARIES RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(run(scenarios[os.Args[1]], os.Args[2], os.Args[3]))
}

// maxDuration is the time after which a run is given up.
const maxDuration = 118 * time.Second

// stopOnSignal ends the processes of the run, and the run itself, after a signal or after maxDuration.
func stopOnSignal(r *record) {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-stop:
		case <-time.After(maxDuration):
		}
		r.logf("could not run: stopped by a signal or after %s", maxDuration)
		if d := r.deployment.Load(); d != nil {
			d.Close()
		}
		os.Exit(exitNotRun)
	}()
}

// start starts a deployment, which the caller closes.
func start(o deployment.Options, r *record) (*deployment.Deployment, error) {
	d, err := deployment.Start(o)
	r.deployment.Store(d)
	return d, err
}

func run(s scenario, binaries, recordPath string) int {
	r, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = os.RemoveAll(dir) }() // The folder holds only logs and data of this run.
	trouble := os.Getenv("TROUBLE") != "0"
	r.logf("start, trouble %v", trouble)
	stopOnSignal(r)
	v, err := s(deployment.Options{Binaries: binaries, Dir: dir, ToleratedVMFailures: 1}, r, trouble)
	if err != nil {
		r.logf("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return exitNotRun
	}
	r.logf("%s", v.text)
	fmt.Println(v.text)
	if v.broken {
		return exitBroken
	}
	return exitHeld
}
