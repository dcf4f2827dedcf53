package experiment

import (
	"sort"
)

// Result holds the measurements of one run. Latencies are in seconds and cover the programs that arrived after the
// warm-up.
type Result struct {
	Deployment  string
	Policy      string
	Load        float64 // Share of the calibrated capacity.
	Seed        uint64
	Fault       Fault `json:",omitempty"`
	Mean        float64
	P50         float64
	P95         float64
	P99         float64
	Wasted      float64 // Share of the prompt tokens that were recomputed although an engine had cached them before.
	LinkMB      float64 // Megabytes between regions during the arrival time.
	Goodput     float64 // Useful tokens per second of calls that ended after the warm-up and before arrivals stopped.
	Refusals    int
	Again       int // Rejections of calls that were retried after the stated delay.
	Unfinished  int // Programs that had not ended when the run stopped.
	ClassMean   map[string]float64
	ClassP95    map[string]float64
	ClassDone   map[string]float64 // Share of the programs that ended.
	ClassInTime map[string]float64 // Share of the programs that ended before arrivals stopped.
	GroupRate   []float64          // Useful tokens per second by group.
	Programs    int
}

type resultCollector struct {
	run                Run
	promptTokens       int64
	recomputedTokens   int64
	linkBytes          int64
	rejections         int
	repeatedRejections int
	usefulTokens       []int64
	latencySeconds     map[string][]float64
	arrivedPrograms    map[string]int
	finishedInTime     map[string]int
	measuredLinkBytes  int64
}

func newResultCollector(r Run) *resultCollector {
	return &resultCollector{run: r, usefulTokens: make([]int64, len(r.Deployment.Groups)), latencySeconds: map[string][]float64{}, arrivedPrograms: map[string]int{}, finishedInTime: map[string]int{}}
}

func (r *resultCollector) isMeasured(s *script) bool { return s.arrivalTime >= r.run.WarmupSeconds }

func (r *resultCollector) recordArrival(s *script) {
	if r.isMeasured(s) {
		r.arrivedPrograms[s.kind.Class]++
	}
}

func (r *resultCollector) recordCall(now float64, c *call) {
	if now < r.run.WarmupSeconds || now > r.run.ArrivalSeconds {
		return
	}
	r.measuredLinkBytes = r.linkBytes
	r.promptTokens += c.promptTokens
	r.recomputedTokens += c.historyTokens - c.cachedTokens
	t := c.program.script.turns[c.program.nextTurn]
	r.usefulTokens[c.program.script.group] += t.inputTokens + t.outputTokens
}

func (r *resultCollector) recordProgram(now float64, p *program) {
	if !r.isMeasured(p.script) {
		return
	}
	class := p.script.kind.Class
	r.latencySeconds[class] = append(r.latencySeconds[class], now-p.script.arrivalTime)
	if now <= r.run.ArrivalSeconds {
		r.finishedInTime[class]++
	}
}

func (r *resultCollector) summarize() Result {
	s := Result{
		Deployment: r.run.Deployment.Name, Policy: r.run.Policy.Name, Load: r.run.Load, Seed: r.run.Seed, Fault: r.run.Fault,
		LinkMB: float64(r.measuredLinkBytes) / 1e6, Refusals: r.rejections, Again: r.repeatedRejections,
		ClassMean: map[string]float64{}, ClassP95: map[string]float64{},
		ClassDone: map[string]float64{}, ClassInTime: map[string]float64{},
	}
	if r.promptTokens > 0 {
		s.Wasted = float64(r.recomputedTokens) / float64(r.promptTokens)
	}
	for _, tokens := range r.usefulTokens {
		rate := float64(tokens) / (r.run.ArrivalSeconds - r.run.WarmupSeconds)
		s.GroupRate = append(s.GroupRate, rate)
		s.Goodput += rate
	}
	r.summarizeLatencies(&s)
	return s
}

func (r *resultCollector) summarizeLatencies(s *Result) {
	var allLatencies []float64
	for class, classLatencies := range r.latencySeconds {
		sort.Float64s(classLatencies)
		allLatencies = append(allLatencies, classLatencies...)
		s.ClassMean[class] = mean(classLatencies)
		s.ClassP95[class] = quantile(classLatencies, 0.95)
	}
	sort.Float64s(allLatencies)
	s.Programs = len(allLatencies)
	s.Mean, s.P50, s.P95, s.P99 = mean(allLatencies), quantile(allLatencies, 0.5), quantile(allLatencies, 0.95), quantile(allLatencies, 0.99)
	for class, n := range r.arrivedPrograms {
		s.ClassDone[class] = float64(len(r.latencySeconds[class])) / float64(n)
		s.ClassInTime[class] = float64(r.finishedInTime[class]) / float64(n)
		s.Unfinished += n - len(r.latencySeconds[class])
	}
}

func mean(sorted []float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	sum := 0.0
	for _, v := range sorted {
		sum += v
	}
	return sum / float64(len(sorted))
}

func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

func sortedCalls(set map[*call]struct{}) []*call {
	list := make([]*call, 0, len(set))
	for c := range set {
		list = append(list, c)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].id < list[j].id })
	return list
}
