package experiment

import (
	"fmt"
	"io"
	"sort"
	"strings"
)

// PolicyLoads are the loads, as shares of the capacity, at which policies are compared.
var PolicyLoads = []float64{0.5, 0.7, 0.85, 0.95, 1.2}

// AblationLoads are the loads at which single mechanisms are disabled.
var AblationLoads = []float64{0.85, 0.95, 1.2}

// unloadedRatio is a load at which calls almost never wait.
const unloadedRatio = 0.05

// Report holds all measurements of one deployment. Each Result combines the runs of all seeds, see meanResult.
type Report struct {
	Calibration   Calibration
	IdealTokens   []float64 // Capacity by group with unlimited caches.
	Seeds         []uint64
	Unloaded      Result
	Policies      []Result
	Ablations     []Result
	LateSignals   []Result
	EngineLost    []Result
	SiteCut       []Result
	SmallQueue    []Result
	IdealLoad     []Result // At 85% of the capacity with unlimited caches; the load is relative to IdealTokens.
	TargetRatios  map[string]float64
	BaselineNamed string
}

// DelayedSignals returns signal settings with ten times the default delay and a loss of almost a third of the cache
// events.
func DelayedSignals() Signals {
	return Signals{LoadDelaySeconds: 5, CacheEventDelaySeconds: 10, CacheEventLossRatio: 0.3}
}

// RunSuite runs all measurements of a deployment.
func RunSuite(dep Deployment, calibrationSeed uint64, seeds []uint64) Report {
	rep := Report{Calibration: Calibrate(dep, calibrationSeed), Seeds: seeds}
	rep.IdealTokens = measureIdealTokens(dep, calibrationSeed)
	m := measurement{deployment: dep, calibration: rep.Calibration, seeds: seeds}
	policies := append(BaselinePolicies(), DispatcherPolicy())
	rep.Unloaded = m.meanResults([]float64{unloadedRatio}, []Policy{DispatcherPolicy()}, nil)[0]
	rep.Policies = m.meanResults(PolicyLoads, policies, nil)
	rep.Ablations = m.meanResults(AblationLoads, append([]Policy{DispatcherPolicy()}, AblationPolicies()...), nil)
	rep.LateSignals = m.meanResults(AblationLoads, []Policy{DispatcherPolicy()}, func(r *Run) { r.Signals = DelayedSignals() })
	rep.EngineLost = m.meanResults([]float64{0.85}, policies, func(r *Run) { r.Fault = EngineFailure })
	rep.SiteCut = m.meanResults([]float64{0.85}, policies, func(r *Run) { r.Fault = SitePartition })
	rep.SmallQueue = m.meanResults([]float64{1.2}, []Policy{ShortQueuePolicy()}, nil)
	ideal := measurement{deployment: dep, calibration: rep.Calibration.withTokenRates(rep.IdealTokens), seeds: seeds}
	rep.IdealLoad = ideal.meanResults([]float64{0.85}, policies, nil)
	rep.computeTargets()
	return rep
}

// measureIdealTokens returns the capacity by group with unlimited caches. No policy can exceed this bound by much.
func measureIdealTokens(dep Deployment, seed uint64) []float64 {
	maxRates := make([]float64, len(dep.Groups))
	var runs []Run
	for _, n := range populationsPerEngine {
		r := newClosedRun(dep, seed, Policy{Name: "ideal", Baseline: true, Sticky: true}, n)
		r.Engine.CacheTokens = 1 << 40
		runs = append(runs, r)
	}
	for _, r := range SimulateAll(runs) {
		for g, rate := range r.GroupRate {
			maxRates[g] = max(maxRates[g], rate)
		}
	}
	return maxRates
}

type measurement struct {
	deployment  Deployment
	calibration Calibration
	seeds       []uint64
}

// meanResults runs policies at loads and returns the means over the seeds, ordered by load and policy.
func (m measurement) meanResults(loads []float64, policies []Policy, modify func(*Run)) []Result {
	var runs []Run
	for _, load := range loads {
		for _, p := range policies {
			for _, seed := range m.seeds {
				r := m.calibration.RunAtLoad(load, DefaultRun(m.deployment, seed))
				r.Policy, r.Load = p, load
				if modify != nil {
					modify(&r)
				}
				runs = append(runs, r)
			}
		}
	}
	perSeed := SimulateAll(runs)
	var results []Result
	for i := 0; i < len(perSeed); i += len(m.seeds) {
		results = append(results, meanResult(perSeed[i:i+len(m.seeds)]))
	}
	return results
}

// meanResult combines the runs of several seeds. Rates and latencies are means, counts are sums, and GroupRate is that of
// the first seed.
func meanResult(runs []Result) Result {
	m := runs[0]
	m.Seed = 0
	n := float64(len(runs))
	for _, r := range runs[1:] {
		m.Mean += r.Mean
		m.P50 += r.P50
		m.P95 += r.P95
		m.P99 += r.P99
		m.Wasted += r.Wasted
		m.LinkMB += r.LinkMB
		m.Goodput += r.Goodput
		m.Refusals += r.Refusals
		m.Again += r.Again
		m.Unfinished += r.Unfinished
		m.Programs += r.Programs
		addClassValues(m.ClassMean, r.ClassMean)
		addClassValues(m.ClassP95, r.ClassP95)
		addClassValues(m.ClassDone, r.ClassDone)
		addClassValues(m.ClassInTime, r.ClassInTime)
	}
	for _, v := range []*float64{&m.Mean, &m.P50, &m.P95, &m.P99, &m.Wasted, &m.LinkMB, &m.Goodput} {
		*v /= n
	}
	for _, classes := range []map[string]float64{m.ClassMean, m.ClassP95, m.ClassDone, m.ClassInTime} {
		for k := range classes {
			classes[k] /= n
		}
	}
	return m
}

func addClassValues(to, from map[string]float64) {
	for k, v := range from {
		to[k] += v
	}
}

// computeTargets compares the dispatcher policy with the baseline that has the lower mean latency at 85% load.
func (rep *Report) computeTargets() {
	var dispatcher, baseline, overloaded Result
	for _, r := range rep.Policies {
		switch {
		case r.Policy == DispatcherPolicy().Name && r.Load == 0.85:
			dispatcher = r
		case r.Policy == DispatcherPolicy().Name && r.Load == 1.2:
			overloaded = r
		case r.Load == 0.85 && !strings.Contains(r.Policy, "regional") && (baseline.Policy == "" || r.Mean < baseline.Mean):
			baseline = r
		}
	}
	capacity := 0.0
	for _, t := range rep.Calibration.Tokens {
		capacity += t
	}
	rep.BaselineNamed = baseline.Policy
	rep.TargetRatios = map[string]float64{
		"mean at 85%":     ratio(dispatcher.Mean, baseline.Mean),
		"p95 at 85%":      ratio(dispatcher.P95, baseline.P95),
		"wasted at 85%":   ratio(dispatcher.Wasted, baseline.Wasted),
		"bytes at 85%":    ratio(dispatcher.LinkMB, baseline.LinkMB),
		"goodput at 120%": ratio(overloaded.Goodput, capacity),
		"floor of mean":   ratio(rep.Unloaded.Mean, baseline.Mean),
	}
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// WriteText writes the report as Markdown tables.
func (rep Report) WriteText(w io.Writer) {
	c := rep.Calibration
	fmt.Fprintf(w, "### Tables: %s\n\nCapacity: %.2f programs/s (%.0f useful tokens/s) by group, reached by %s with %d programs in progress; with unlimited caches %.0f tokens/s. Seeds %d.\n\n",
		c.Deployment, c.Programs, c.Tokens, strings.Join(c.Policy, ", "), c.Population, rep.IdealTokens, rep.Seeds)
	rep.writeTargets(w)
	writeTable(w, "Policies (first row: ours at 5% load)", append([]Result{rep.Unloaded}, rep.Policies...))
	writeTable(w, "Ours with one mechanism disabled", rep.Ablations)
	writeTable(w, "Ours with delayed and incomplete reports", rep.LateSignals)
	writeTable(w, "An engine failure in mid-run", rep.EngineLost)
	writeTable(w, "The last data centre cut off for 120 s in mid-run", rep.SiteCut)
	writeTable(w, "Ours with a short queue, which rejects calls", rep.SmallQueue)
	for _, r := range rep.SmallQueue {
		fmt.Fprintf(w, "Of %d refusals, %d were of calls that were retried after the stated delay.\n\n", r.Refusals, r.Again)
	}
	writeTable(w, "At 85% of the capacity with unlimited caches", rep.IdealLoad)
	writeClasses(w, rep.Policies)
}

func (rep Report) writeTargets(w io.Writer) {
	fmt.Fprintf(w, "Ratios of ours to the better baseline (%s):", rep.BaselineNamed)
	for _, k := range sortedKeys(rep.TargetRatios) {
		fmt.Fprintf(w, " %s %.3f;", k, rep.TargetRatios[k])
	}
	fmt.Fprint(w, "\n\n")
}

func writeTable(w io.Writer, title string, results []Result) {
	fmt.Fprintf(w, "%s:\n\n| load | policy | mean s | p50 s | p95 s | p99 s | wasted %% | MB across | goodput tok/s | refusals | unfinished |\n|---|---|---|---|---|---|---|---|---|---|---|\n", title)
	for _, r := range results {
		fmt.Fprintf(w, "| %.0f%% | %s | %.1f | %.1f | %.1f | %.1f | %.2f | %.0f | %.0f | %d | %d |\n",
			100*r.Load, r.Policy, r.Mean, r.P50, r.P95, r.P99, 100*r.Wasted, r.LinkMB, r.Goodput, r.Refusals, r.Unfinished)
	}
	fmt.Fprintln(w)
}

func writeClasses(w io.Writer, results []Result) {
	fmt.Fprint(w, "Classes at 85% and 120% load (mean s / p95 s / part done / part done before arrivals stop):\n\n| load | policy | agent | order | question | stock |\n|---|---|---|---|---|---|\n")
	for _, r := range results {
		if r.Load != 0.85 && r.Load != 1.2 {
			continue
		}
		fmt.Fprintf(w, "| %.0f%% | %s |", 100*r.Load, r.Policy)
		for _, k := range sortedKeys(r.ClassMean) {
			fmt.Fprintf(w, " %.1f / %.1f / %.3f / %.2f |", r.ClassMean[k], r.ClassP95[k], r.ClassDone[k], r.ClassInTime[k])
		}
		fmt.Fprintln(w)
	}
	fmt.Fprintln(w)
}

func sortedKeys(m map[string]float64) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
