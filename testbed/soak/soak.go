// Package soak sends calls to gateways and replicas that run as separate processes, while it injects faults from outside. It
// checks the guarantees to callers and upstreams from what these observe. A seed determines the order of faults and calls.
package soak

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"jackdawbay.dev/testbed/deployment"
	"jackdawbay.dev/testbed/standin/backend"
)

// Config configures a run.
type Config struct {
	Seed        uint64
	Duration    time.Duration // Time during which faults of any kind are injected.
	Losses      int           // Number of losses of replica VMs and disks in series. If positive, Duration is ignored.
	FinalLosses int           // Number of disks that are lost at the end while all processes are killed; zero for no such fault.
	Tolerated   int           // Number of VMs with a disk that may be lost at the same time.
	Binaries    string        // Directory of the jackdawbayd binary.
	Dir         string        // Directory for logs, settings and data directories.
	Gateways    int
	Replicas    int
	Callers     int
	BodyBytes   int // Bytes that are added to the input of each turn.
}

// Parameters of a run.
const (
	eventsPerStream = 5
	turnTokens      = eventsPerStream * deployment.TokensPerEvent
	retainSeconds   = 600              // Longer than a run, so that a 404 for a stored turn is always a violation.
	recoveryTimeout = 15 * time.Second // Time after the last fault until every request must be served.

	continuedTurns = 12 // Number of stored turns that must be continued within recoveryTimeout.
	historyWorkers = 4
)

// Report is the result of a run.
type Report struct {
	Seed              uint64
	Violations        []string
	Faults            []string // In order, with their start times.
	Calls             int
	CompleteResponses int
	AcknowledgedTurns int // Number of turns whose callers received the complete response.
}

// Run runs the calls and faults of one seed.
func Run(cfg Config) (Report, error) {
	d, err := deployment.Start(deployment.Options{
		Binaries: cfg.Binaries, Dir: cfg.Dir, Gateways: cfg.Gateways, Replicas: cfg.Replicas, Engines: 4, Services: 3, ToleratedVMFailures: cfg.Tolerated,
		EventsPerStream: eventsPerStream, ResponseDelay: 8 * time.Millisecond, GraceS: 5, RetainS: retainSeconds, TimeoutMS: 2500, UseRelays: true,
	})
	if d != nil {
		defer d.Close()
	}
	if err != nil {
		return Report{Seed: cfg.Seed}, errors.Wrap(err, "start the deployment")
	}
	s := &soakRun{cfg: cfg, d: d, checks: newChecker(), started: time.Now(), stop: make(chan struct{})}
	monitorErr := make(chan error, 1)
	stopMonitor := make(chan struct{})
	go func() { monitorErr <- s.disk.run(cfg.Dir, stopMonitor) }()
	var callers sync.WaitGroup
	for i := range cfg.Callers {
		callers.Go(func() { s.runCaller(rand.New(rand.NewPCG(cfg.Seed, uint64(i)+100))) })
	}
	s.injectFaults(rand.New(rand.NewPCG(cfg.Seed, 1)))
	s.clearStoreFaults()
	if cfg.FinalLosses > 0 {
		s.injectFinalFault(rand.New(rand.NewPCG(cfg.Seed, 3)))
	}
	s.checkRecovery(s.newTimeLimit(recoveryTimeout))
	close(s.stop)
	callers.Wait()
	s.checkHistories()
	s.checkRuns()
	close(stopMonitor)
	return s.report(), <-monitorErr
}

type soakRun struct {
	cfg     Config
	d       *deployment.Deployment
	checks  *checker
	started time.Time
	stop    chan struct{}
	disk    diskMonitor

	mu           sync.Mutex
	faults       []string
	activeFaults sync.WaitGroup // Waits for the active faults.
}

func (s *soakRun) recordFault(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, fmt.Sprintf("%6.2f s %s", time.Since(s.started).Seconds(), fmt.Sprintf(format, args...)))
}

func (s *soakRun) isStopped() bool {
	select {
	case <-s.stop:
		return true
	default:
		return false
	}
}

func (s *soakRun) report() Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.checks.mu.Lock()
	defer s.checks.mu.Unlock()
	return Report{
		Seed: s.cfg.Seed, Violations: s.checks.violations, Faults: s.faults, Calls: s.checks.callCount, CompleteResponses: s.checks.completeResponses,
		AcknowledgedTurns: len(s.checks.acknowledged),
	}
}

// checkRecovery reports a violation unless every gateway serves again before the limit, after all faults have ended. It checks
// the readiness probe, a new program on the retained route, and a sample of programs that are continued.
func (s *soakRun) checkRecovery(limit timeLimit) {
	err := s.d.WaitUntilServing(time.Until(limit.deadline()))
	for err != nil && !limit.isExpired() {
		err = s.d.WaitUntilServing(time.Until(limit.deadline()))
	}
	if err != nil {
		text := err.Error()
		s.checks.addViolation("not serving %v after the last fault: %s", recoveryTimeout, text[:min(len(text), 200)])
	}
	previousTurns := append([]*turn{nil}, s.sampleTurns(continuedTurns)...)
	for i, t := range previousTurns {
		program := deployment.NewID()
		if t != nil {
			program = t.program
		}
		if !s.sendUntilServed(limit, s.d.Gateways[i%len(s.d.Gateways)], program, t) {
			return
		}
	}
}

// sendUntilServed retries a turn until it is served. It reports a violation and returns false if the limit expires.
func (s *soakRun) sendUntilServed(limit timeLimit, g *deployment.VM, program string, previous *turn) bool {
	for {
		resp := s.sendTurn(g, nil, program, previous, 1<<20)
		if resp.Status == 200 && resp.Err == nil {
			return true
		}
		if limit.isExpired() {
			previousID := "none"
			if previous != nil {
				previousID = previous.id
			}
			s.checks.addViolation("%s: a turn of program %s after turn %s is not served %v after the last fault (plus %v for a slow disk): status %d, %v, %.120s",
				g.Name, program, previousID, recoveryTimeout, limit.extension(), resp.Status, resp.Err, resp.Body)
			return false
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// sampleTurns returns up to n acknowledged turns, spread over the run and including the newest.
func (s *soakRun) sampleTurns(n int) []*turn {
	s.checks.mu.Lock()
	defer s.checks.mu.Unlock()
	acknowledged := s.checks.acknowledged
	var sample []*turn
	for i := len(acknowledged) - 1; i >= 0 && len(sample) < n; i -= max(1, len(acknowledged)/n) {
		sample = append(sample, acknowledged[i])
	}
	return sample
}

// checkHistories continues a sample of the acknowledged turns once more. Every gateway must serve them with their complete
// history.
func (s *soakRun) checkHistories() {
	s.checks.mu.Lock()
	turns := append([]*turn{}, s.checks.acknowledged...)
	s.checks.mu.Unlock()
	limit := s.newTimeLimit(recoveryTimeout)
	var workers sync.WaitGroup
	for w := range historyWorkers {
		workers.Go(func() {
			for i := w; i < len(turns); i += historyWorkers {
				if i%7 != 0 && i < len(turns)-20 {
					continue // Checking a sample limits the duration.
				}
				if !s.sendUntilServed(limit, s.d.Gateways[i%len(s.d.Gateways)], turns[i].program, turns[i]) {
					return
				}
			}
		})
	}
	workers.Wait()
}

// checkRuns compares the runs of the upstreams with the responses that callers received.
func (s *soakRun) checkRuns() {
	runs := map[string][]backend.Run{}
	for _, u := range append(append([]*backend.Upstream{}, s.d.Engines...), s.d.Services...) {
		for _, r := range u.Runs() {
			runs[r.ID] = append(runs[r.ID], r)
		}
	}
	s.checks.checkUpstreamRuns(runs)
}

// String formats the report. It lists the faults only if there are violations.
func (r Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d: %d calls, %d complete, %d turns acknowledged, %d faults, %d violations\n",
		r.Seed, r.Calls, r.CompleteResponses, r.AcknowledgedTurns, len(r.Faults), len(r.Violations))
	for _, v := range r.Violations {
		fmt.Fprintf(&b, "  violation: %s\n", v)
	}
	if len(r.Violations) > 0 {
		for _, f := range r.Faults {
			fmt.Fprintf(&b, "  fault: %s\n", f)
		}
	}
	return b.String()
}

// appendGarbage appends up to 199 random bytes to the newest segment in a data directory. A loss of power can leave such bytes,
// for which no write was acknowledged.
func appendGarbage(dir string, r *rand.Rand) error {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return errors.Wrap(err, "list the data directory")
	}
	newest := ""
	for _, e := range entries {
		if strings.HasSuffix(e.Name(), ".log") && e.Name() > newest {
			newest = e.Name()
		}
	}
	if newest == "" {
		return nil
	}
	f, err := os.OpenFile(dir+"/"+newest, os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return errors.Wrap(err, "open the newest segment")
	}
	garbage := make([]byte, r.IntN(200))
	for i := range garbage {
		garbage[i] = byte(r.IntN(256))
	}
	if _, err := f.Write(garbage); err != nil {
		return errors.CombineErrors(err, f.Close())
	}
	return f.Close()
}
