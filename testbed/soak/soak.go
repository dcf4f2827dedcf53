// Package soak drives gateways and replicas as separate processes with callers while it injects faults from outside, and
// checks the promises to callers and upstreams from what they see. A seed fixes the order of faults and calls.
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

// Config describes a run.
type Config struct {
	Seed     uint64
	Duration time.Duration // Time with faults of any kind.
	Losses   int           // Losses of replica VMs and disks in series. Where positive, it replaces the duration.
	Binaries string
	Dir      string
	Gateways int
	Replicas int
	Callers  int
}

// Bounds of a run.
const (
	events      = 5
	most        = events * deployment.TokensPerEvent
	retainS     = 600              // Longer than a run, so that a 404 for a kept turn is always a fault.
	recoverTime = 15 * time.Second // Time after the last fault within which everything is served again.

	continued      = 12 // Kept turns that have to be continued within the time to recover.
	historyWorkers = 4
)

// Report is what a run has found.
type Report struct {
	Seed              uint64
	Violations        []string
	Faults            []string // In order, with their times.
	Calls             int
	CompleteResponses int
	AcknowledgedTurns int // Turns that were acknowledged.
}

// Run plays one seed.
func Run(cfg Config) (Report, error) {
	d, err := deployment.Start(deployment.Options{
		Binaries: cfg.Binaries, Dir: cfg.Dir, Gateways: cfg.Gateways, Replicas: cfg.Replicas, Engines: 4, Services: 3, ToleratedVMFailures: 1,
		EventsPerStream: events, ResponseDelay: 8 * time.Millisecond, GraceS: 5, RetainS: retainS, TimeoutMS: 2500, UseRelays: true,
	})
	if d != nil {
		defer d.Close()
	}
	if err != nil {
		return Report{Seed: cfg.Seed}, errors.Wrap(err, "start the deployment")
	}
	s := &soak{cfg: cfg, d: d, checks: newChecks(), started: time.Now(), stop: make(chan struct{})}
	watched := make(chan error, 1)
	ended := make(chan struct{})
	go func() { watched <- s.disk.watch(cfg.Dir, ended) }()
	var callers sync.WaitGroup
	for i := range cfg.Callers {
		callers.Go(func() { s.caller(rand.New(rand.NewPCG(cfg.Seed, uint64(i)+100))) })
	}
	s.injectFaults(rand.New(rand.NewPCG(cfg.Seed, 1)))
	s.heal()
	s.awaitRecovery(s.within(recoverTime))
	close(s.stop)
	callers.Wait()
	s.checkHistories()
	s.checkRuns()
	close(ended)
	return s.report(), <-watched
}

type soak struct {
	cfg     Config
	d       *deployment.Deployment
	checks  *checks
	started time.Time
	stop    chan struct{}
	disk    diskWatch

	mu     sync.Mutex
	faults []string
	live   sync.WaitGroup // Faults under way.
}

func (s *soak) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, fmt.Sprintf("%6.2f s %s", time.Since(s.started).Seconds(), fmt.Sprintf(format, args...)))
}

func (s *soak) stopped() bool {
	select {
	case <-s.stop:
		return true
	default:
		return false
	}
}

func (s *soak) report() Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.checks.mu.Lock()
	defer s.checks.mu.Unlock()
	return Report{
		Seed: s.cfg.Seed, Violations: s.checks.violations, Faults: s.faults, Calls: s.checks.calls, CompleteResponses: s.checks.complete,
		AcknowledgedTurns: len(s.checks.turns),
	}
}

// awaitRecovery waits until every gateway serves, with all faults healed: first turns, new programs that are kept, and
// programs that go on.
func (s *soak) awaitRecovery(l limit) {
	err := s.d.WaitUntilServing(time.Until(l.end()))
	for err != nil && !l.passed() {
		err = s.d.WaitUntilServing(time.Until(l.end()))
	}
	if err != nil {
		text := err.Error()
		s.checks.violate("not served %v after the last fault: %s", recoverTime, text[:min(len(text), 200)])
	}
	kept := append([]*turn{nil}, s.sample(continued)...)
	for i, t := range kept {
		program := deployment.NewID()
		if t != nil {
			program = t.program
		}
		if !s.serveWithin(l, s.d.Gateways[i%len(s.d.Gateways)], program, t) {
			return
		}
	}
}

// serveWithin sends a turn until it is served or the limit has passed.
func (s *soak) serveWithin(l limit, g *deployment.VM, program string, previous *turn) bool {
	for {
		a := s.sendTurn(g, nil, program, previous, 1<<20)
		if a.Status == 200 && a.Err == nil {
			return true
		}
		if l.passed() {
			id := "none"
			if previous != nil {
				id = previous.id
			}
			s.checks.violate("%s: a turn of program %s after turn %s is not served %v after the last fault (%v more with a slow disk): status %d, %v, %.120s",
				g.Name, program, id, recoverTime, l.extension(), a.Status, a.Err, a.Body)
			return false
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// sample returns up to n acknowledged turns, spread over the run, the newest among them.
func (s *soak) sample(n int) []*turn {
	s.checks.mu.Lock()
	defer s.checks.mu.Unlock()
	all := s.checks.turns
	var out []*turn
	for i := len(all) - 1; i >= 0 && len(out) < n; i -= max(1, len(all)/n) {
		out = append(out, all[i])
	}
	return out
}

// checkHistories continues each chain once more: what was acknowledged must be known at every gateway, whole.
func (s *soak) checkHistories() {
	s.checks.mu.Lock()
	turns := append([]*turn{}, s.checks.turns...)
	s.checks.mu.Unlock()
	l := s.within(recoverTime)
	var workers sync.WaitGroup
	for w := range historyWorkers {
		workers.Go(func() {
			for i := w; i < len(turns); i += historyWorkers {
				if i%7 != 0 && i < len(turns)-20 {
					continue // A sample bounds the time.
				}
				if !s.serveWithin(l, s.d.Gateways[i%len(s.d.Gateways)], turns[i].program, turns[i]) {
					return
				}
			}
		})
	}
	workers.Wait()
}

// checkRuns compares what upstreams ran with what callers were told.
func (s *soak) checkRuns() {
	runs := map[string][]backend.Run{}
	for _, u := range append(append([]*backend.Upstream{}, s.d.Engines...), s.d.Services...) {
		for _, r := range u.Runs() {
			runs[r.ID] = append(runs[r.ID], r)
		}
	}
	s.checks.compare(runs)
}

// String prints a report.
func (r Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d: %d calls, %d complete, %d turns kept, %d faults, %d violations\n",
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

// tearTail appends bytes that no write was acknowledged for to the newest segment of a disk, as a loss of power may leave.
func tearTail(dir string, r *rand.Rand) error {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return errors.Wrap(err, "list a disk")
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
		return errors.Wrap(err, "open a segment")
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
