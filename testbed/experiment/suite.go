package experiment

import (
	"runtime"
	"sync"

	"jackdawbay.dev/core/schedule"
)

// Calibration holds the capacity of each group, in programs and in useful tokens per second.
type Calibration struct {
	Deployment string
	Programs   []float64
	Tokens     []float64
	Population []int // Number of active programs at which the capacity was reached.
	Policy     []string
}

// populationsPerEngine are the numbers of active programs per engine that Calibrate tries.
var populationsPerEngine = []int{8, 12, 16, 24, 32, 48}

// BaselinePolicies returns the policies with which the dispatcher policy is compared. The regional policies use only
// engines of the home region.
func BaselinePolicies() []Policy {
	return []Policy{
		{Name: "A least loaded", Baseline: true},
		{Name: "B sticky", Baseline: true, Sticky: true},
		{Name: "A regional", Baseline: true, Regional: true},
		{Name: "B regional", Baseline: true, Sticky: true, Regional: true},
	}
}

// DispatcherPolicy returns the policy of core/schedule with all mechanisms enabled.
func DispatcherPolicy() Policy { return Policy{Name: "ours"} }

// AblationPolicies returns the dispatcher policy with one mechanism disabled at a time.
func AblationPolicies() []Policy {
	return []Policy{
		{Name: "without service order", Config: schedule.Config{Disabled: schedule.ServiceOrder}},
		{Name: "without cache placement", Config: schedule.Config{Disabled: schedule.CachePlacement}},
		{Name: "without prefix hold", Config: schedule.Config{Disabled: schedule.PrefixWait}},
		{Name: "without memory limit", Config: schedule.Config{Disabled: schedule.MemoryLimit}},
		{Name: "without paused protect", Config: schedule.Config{Disabled: schedule.PausedProtection}},
		{Name: "without cache release", Config: schedule.Config{Disabled: schedule.CacheRelease}},
		{Name: "without site choice", DisableSiteChoice: true},
	}
}

// ShortQueuePolicy returns the dispatcher policy with a queue so short that it rejects calls at 120% load.
func ShortQueuePolicy() Policy {
	return Policy{Name: "queue of 40", Config: schedule.Config{QueueDepth: 40}}
}

// DefaultRun returns a run with the default settings.
func DefaultRun(dep Deployment, seed uint64) Run {
	return Run{Deployment: dep, Engine: DefaultEngineModel(), Signals: DefaultSignals(), Seed: seed, WarmupSeconds: 300, ArrivalSeconds: 1800, MaxDrainSeconds: 3600}
}

// Calibrate measures the capacity: the highest rate of useful tokens that the better baseline sustains with any closed
// population of programs. The rate of programs is derived from the mean number of useful tokens per program.
func Calibrate(dep Deployment, seed uint64) Calibration {
	c := Calibration{Deployment: dep.Name, Programs: make([]float64, len(dep.Groups)), Tokens: make([]float64, len(dep.Groups)),
		Population: make([]int, len(dep.Groups)), Policy: make([]string, len(dep.Groups))}
	var runs []Run
	for _, p := range BaselinePolicies() {
		for _, n := range populationsPerEngine {
			runs = append(runs, newClosedRun(dep, seed, p, n))
		}
	}
	for i, r := range SimulateAll(runs) {
		for g, rate := range r.GroupRate {
			if rate <= c.Tokens[g] {
				continue
			}
			c.Tokens[g], c.Population[g], c.Policy[g] = rate, runs[i].ClosedPopulation[g], r.Policy
		}
	}
	for g := range dep.Groups {
		c.Programs[g] = c.Tokens[g] / meanProgramTokens(dep, g, seed)
	}
	return c
}

func newClosedRun(dep Deployment, seed uint64, p Policy, perEngine int) Run {
	r := DefaultRun(dep, seed)
	r.Policy, r.MaxDrainSeconds = p, 0
	for _, g := range dep.Groups {
		n := 0
		for _, e := range g.Engines {
			n += e * perEngine
		}
		r.ClosedPopulation = append(r.ClosedPopulation, n)
	}
	return r
}

// meanProgramTokens returns the mean number of useful tokens of a program of a group, including its sub-agents.
func meanProgramTokens(dep Deployment, group int, seed uint64) float64 {
	const sampleSize = 20_000
	gen := newGenerator(dep, group, seed)
	total := int64(0)
	for i := range sampleSize {
		total += gen.newScript(group, i, 0).usefulTokens()
	}
	return float64(total) / sampleSize
}

func (s *script) usefulTokens() int64 {
	total := int64(0)
	for _, t := range s.turns {
		total += t.inputTokens + t.outputTokens
		for _, c := range t.children {
			total += c.usefulTokens()
		}
	}
	return total
}

// RunAtLoad returns a copy of r with arrival rates at a share of the capacity.
func (c Calibration) RunAtLoad(load float64, r Run) Run {
	r.ArrivalRates = nil
	for _, rate := range c.Programs {
		r.ArrivalRates = append(r.ArrivalRates, rate*load)
	}
	return r
}

// withTokenRates returns a copy of the calibration with other capacities, in useful tokens per second.
func (c Calibration) withTokenRates(tokens []float64) Calibration {
	s := c
	s.Tokens, s.Programs = tokens, nil
	for g, rate := range c.Programs {
		s.Programs = append(s.Programs, rate*tokens[g]/c.Tokens[g])
	}
	return s
}

// maxParallelSimulations is the maximum number of simulations that run concurrently.
const maxParallelSimulations = 6

// SimulateAll runs simulations in parallel and returns their results in the order of runs.
func SimulateAll(runs []Run) []Result {
	results := make([]Result, len(runs))
	jobs := make(chan int)
	var wg sync.WaitGroup
	for range min(maxParallelSimulations, runtime.GOMAXPROCS(0)) {
		wg.Go(func() {
			for i := range jobs {
				results[i] = Simulate(runs[i])
			}
		})
	}
	for i := range runs {
		jobs <- i
	}
	close(jobs)
	wg.Wait()
	return results
}
