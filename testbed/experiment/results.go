package experiment

import (
	"sort"
)

// Result holds the measures of one run. Latencies are in seconds and cover the programs that arrived after the warm-up.
type Result struct {
	Deployment  string
	Policy      string
	Load        float64 // Part of the calibrated capacity.
	Seed        uint64
	Fault       Fault `json:",omitempty"`
	Mean        float64
	P50         float64
	P95         float64
	P99         float64
	Wasted      float64 // Part of the prompt tokens that were recomputed although an engine had held them.
	LinkMB      float64 // Megabytes between regions during the arrival time.
	Goodput     float64 // Useful tokens a second of calls that ended in the arrival time after the warm-up.
	Refusals    int
	Again       int // Refusals of calls that returned after the stated time.
	Unfinished  int // Programs without an end when the run stopped.
	ClassMean   map[string]float64
	ClassP95    map[string]float64
	ClassDone   map[string]float64 // Part of the programs that ended.
	ClassInTime map[string]float64 // Part of the programs that ended before arrivals stopped.
	GroupRate   []float64          // Useful tokens a second by group.
	Programs    int
}

type results struct {
	run          Run
	prompt       int64
	wasted       int64
	linkBytes    int64
	refusals     int
	refusedAgain int
	useful       []int64
	latencies    map[string][]float64
	arrivals     map[string]int
	inTime       map[string]int
	linkInTime   int64
}

func newResults(r Run) *results {
	return &results{run: r, useful: make([]int64, len(r.Deployment.Groups)), latencies: map[string][]float64{}, arrivals: map[string]int{}, inTime: map[string]int{}}
}

func (r *results) counted(s *script) bool { return s.arrive >= r.run.WarmupSeconds }

func (r *results) arrived(s *script) {
	if r.counted(s) {
		r.arrivals[s.kind.Class]++
	}
}

func (r *results) call(now float64, c *call) {
	if now < r.run.WarmupSeconds || now > r.run.ArrivalSeconds {
		return
	}
	r.linkInTime = r.linkBytes
	r.prompt += c.prompt
	r.wasted += c.history - c.cached
	t := c.p.script.turns[c.p.turn]
	r.useful[c.p.script.group] += t.input + t.output
}

func (r *results) program(now float64, p *process) {
	if !r.counted(p.script) {
		return
	}
	class := p.script.kind.Class
	r.latencies[class] = append(r.latencies[class], now-p.script.arrive)
	if now <= r.run.ArrivalSeconds {
		r.inTime[class]++
	}
}

func (r *results) summary() Result {
	s := Result{
		Deployment: r.run.Deployment.Name, Policy: r.run.Policy.Name, Load: r.run.Load, Seed: r.run.Seed, Fault: r.run.Fault,
		LinkMB: float64(r.linkInTime) / 1e6, Refusals: r.refusals, Again: r.refusedAgain,
		ClassMean: map[string]float64{}, ClassP95: map[string]float64{},
		ClassDone: map[string]float64{}, ClassInTime: map[string]float64{},
	}
	if r.prompt > 0 {
		s.Wasted = float64(r.wasted) / float64(r.prompt)
	}
	for _, tokens := range r.useful {
		rate := float64(tokens) / (r.run.ArrivalSeconds - r.run.WarmupSeconds)
		s.GroupRate = append(s.GroupRate, rate)
		s.Goodput += rate
	}
	r.latencySummary(&s)
	return s
}

func (r *results) latencySummary(s *Result) {
	var all []float64
	for class, list := range r.latencies {
		sort.Float64s(list)
		all = append(all, list...)
		s.ClassMean[class] = mean(list)
		s.ClassP95[class] = quantile(list, 0.95)
	}
	sort.Float64s(all)
	s.Programs = len(all)
	s.Mean, s.P50, s.P95, s.P99 = mean(all), quantile(all, 0.5), quantile(all, 0.95), quantile(all, 0.99)
	for class, n := range r.arrivals {
		s.ClassDone[class] = float64(len(r.latencies[class])) / float64(n)
		s.ClassInTime[class] = float64(r.inTime[class]) / float64(n)
		s.Unfinished += n - len(r.latencies[class])
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
