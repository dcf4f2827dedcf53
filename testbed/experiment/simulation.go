package experiment

import (
	"fmt"
	"strconv"

	"jackdawbay.dev/core/schedule"
)

// Policy names a policy with its settings.
type Policy struct {
	Name              string
	Baseline          bool
	Sticky            bool
	Regional          bool
	Config            schedule.Config // Settings of the dispatchers; the placement comes from the deployment.
	DisableSiteChoice bool            // Calls stay at their home site while it has engines.
}

// Fault is something that fails in the middle of a run.
type Fault string

// Faults.
const (
	NoFault       Fault = ""
	EngineFailure Fault = "engine lost"
	SitePartition Fault = "data centre cut off"
)

// Run is one simulation.
type Run struct {
	Deployment       Deployment
	Policy           Policy
	Engine           EngineModel
	Signals          Signals
	Fault            Fault
	Load             float64   // Part of the capacity, for the result.
	ArrivalRates     []float64 // Programs a second by group.
	Seed             uint64
	WarmupSeconds    float64 // Seconds whose programs are not counted.
	ArrivalSeconds   float64 // Seconds during which programs arrive.
	MaxDrainSeconds  float64 // Longest time in seconds for programs to end afterwards.
	ClosedPopulation []int   // Programs under way at any time by group, for calibration; replaces Rates.
}

// linkBytesPerSecond is 30 Mbit/s, the link between the regions in each direction.
const linkBytesPerSecond = 30e6 / 8

// partitionSeconds is how long SiteCut lasts.
const partitionSeconds = 120.0

// world is the state of one run.
type simulation struct {
	run             Run
	clock           clock
	engines         []*engine
	enginesByName   map[string]*engine
	policy          policy
	linkFreeAt      map[string]float64 // Time at which a direction of the link is free.
	isolatedSite    int                // Site that is cut off, or -1.
	inFlight        map[*call]struct{}
	results         *resultCollector
	generators      []*generator
	startedPrograms []int
	activePrograms  int // Programs under way.
}

// process is a program that is under way.
type program struct {
	id             string
	script         *script
	parent         *program
	nextTurn       int
	historyTokens  int64
	spentTokens    int64
	lastEngine     *engine
	activeChildren int
	usefulTokens   int64 // Useful tokens: new prompt tokens and output.
}

// Execute runs one simulation.
func Simulate(r Run) Result {
	sim := &simulation{run: r, enginesByName: map[string]*engine{}, linkFreeAt: map[string]float64{}, isolatedSite: -1, inFlight: map[*call]struct{}{}}
	sim.results = newResultCollector(r)
	sim.addEngines()
	if r.Policy.Baseline {
		sim.policy = newBaseline(sim, r.Policy.Sticky, r.Policy.Regional)
	} else {
		sim.policy = newDispatchPolicy(sim, r.Policy.Config, !r.Policy.DisableSiteChoice)
	}
	sim.scheduleArrivals()
	sim.scheduleFault()
	sim.tickEverySecond()
	end := r.ArrivalSeconds + r.MaxDrainSeconds
	for sim.clock.now < end && sim.clock.runNextEvent() {
		if sim.clock.now > r.ArrivalSeconds && sim.activePrograms == 0 {
			break
		}
	}
	return sim.results.summarize()
}

func (sim *simulation) addEngines() {
	for g, group := range sim.run.Deployment.Groups {
		for site, n := range group.Engines {
			for i := range n {
				name := fmt.Sprintf("%s-%s-%d", group.Name, sim.run.Deployment.Sites[site].Name, i)
				e := newEngine(&sim.clock, sim.run.Engine, name, g, site)
				e.onFinished = sim.deliverResponse
				e.onCacheChanged = func(e *engine, program string, tokens int64, stored bool) {
					sim.policy.cacheChanged(e, program, tokens, stored)
				}
				sim.engines = append(sim.engines, e)
				sim.enginesByName[name] = e
			}
		}
	}
}

func (sim *simulation) scheduleArrivals() {
	for g := range sim.run.Deployment.Groups {
		gen := newGenerator(sim.run.Deployment, g, sim.run.Seed)
		sim.generators = append(sim.generators, gen)
		sim.startedPrograms = append(sim.startedPrograms, 0)
		if sim.run.ClosedPopulation != nil {
			for range sim.run.ClosedPopulation[g] {
				sim.startClosedProgram(g)
			}
			continue
		}
		if sim.run.ArrivalRates[g] <= 0 {
			continue
		}
		for _, s := range gen.drawArrivals(g, sim.run.ArrivalRates[g], sim.run.ArrivalSeconds) {
			sim.results.recordArrival(s)
			sim.clock.after(s.arrivalTime, func() { sim.startProgram(s, nil) })
		}
	}
}

// replace starts one more program of a closed population. The first ones start over a minute.
func (sim *simulation) startClosedProgram(g int) {
	n := sim.startedPrograms[g]
	sim.startedPrograms[g]++
	s := sim.generators[g].newScript(g, n, sim.clock.now)
	delay := 0.0
	if sim.clock.now == 0 {
		delay = 60 * float64(n) / float64(sim.run.ClosedPopulation[g])
	}
	sim.clock.after(delay, func() {
		s.arrivalTime = sim.clock.now
		sim.startProgram(s, nil)
	})
}

func (sim *simulation) tickEverySecond() {
	sim.policy.tick()
	sim.clock.after(1, sim.tickEverySecond)
}

func (sim *simulation) crossesRegion(a, b int) bool {
	return sim.run.Deployment.Sites[a].Region != sim.run.Deployment.Sites[b].Region
}

// oneWaySeconds returns the network seconds between sites. Ingress and engines of one site are as near as its clients.
func (sim *simulation) oneWaySeconds(a, b int) float64 {
	if a == b {
		return 0.0005
	}
	if sim.crossesRegion(a, b) {
		return sim.run.Deployment.InterRegionDelaySeconds
	}
	return sim.run.Deployment.InterSiteDelaySeconds
}

func (sim *simulation) isSiteReachable(a, b int) bool {
	return a == b || (sim.isolatedSite != a && sim.isolatedSite != b)
}

func (sim *simulation) isReachable(home int, e *engine) bool {
	return !e.failed && sim.isSiteReachable(home, e.site)
}

func (sim *simulation) startProgram(s *script, parent *program) {
	if parent == nil {
		sim.activePrograms++
	}
	sim.submitNextCall(&program{id: s.id, script: s, parent: parent})
}

// ready submits the next call of a program.
func (sim *simulation) submitNextCall(p *program) {
	t := p.script.turns[p.nextTurn]
	c := &call{
		id:            p.id + "/" + strconv.Itoa(p.nextTurn),
		program:       p,
		promptTokens:  p.historyTokens + t.inputTokens,
		historyTokens: p.historyTokens,
		outputTokens:  t.outputTokens,
		readyAt:       sim.clock.now,
	}
	sim.policy.submit(c)
}

// resubmitAfter submits a refused call again, as its caller does after the stated time.
func (sim *simulation) resubmitAfter(c *call, seconds float64) {
	c.id += "'"
	sim.clock.after(seconds, func() { sim.policy.submit(c) })
}

// send passes a call to an engine over the network.
func (sim *simulation) sendToEngine(c *call, e *engine) {
	home := c.program.script.home
	c.engine = e
	c.crossesRegion = sim.crossesRegion(home, e.site)
	sim.inFlight[c] = struct{}{}
	delay := sim.oneWaySeconds(home, e.site)
	if c.crossesRegion {
		delay += sim.transferSeconds(home, e.site, 4*c.promptTokens)
	}
	sim.clock.after(delay, func() {
		if c.aborted {
			return
		}
		if e.failed {
			sim.resubmitLostCall(c)
			return
		}
		e.submit(c)
	})
}

// transfer sends bytes over the link between the regions and returns the seconds until the last one has left.
func (sim *simulation) transferSeconds(from, to int, bytes int64) float64 {
	sim.results.linkBytes += bytes
	direction := sim.run.Deployment.Sites[from].Region + ">" + sim.run.Deployment.Sites[to].Region
	begin := max(sim.linkFreeAt[direction], sim.clock.now)
	sim.linkFreeAt[direction] = begin + float64(bytes)/linkBytesPerSecond
	return sim.linkFreeAt[direction] - sim.clock.now
}

// finished is called when an engine has generated the last token of a call.
func (sim *simulation) deliverResponse(c *call) {
	home := c.program.script.home
	delay := sim.oneWaySeconds(home, c.engine.site)
	if c.crossesRegion {
		delay += sim.transferSeconds(c.engine.site, home, 200*c.outputTokens)
	}
	sim.clock.after(delay, func() {
		if c.aborted {
			return
		}
		delete(sim.inFlight, c)
		sim.results.recordCall(sim.clock.now, c)
		sim.policy.callEnded(c, true)
		sim.advanceProgram(c)
	})
}

// next continues a program after a call.
func (sim *simulation) advanceProgram(c *call) {
	p := c.program
	t := p.script.turns[p.nextTurn]
	p.historyTokens = c.promptTokens + c.outputTokens
	p.spentTokens += c.promptTokens + c.outputTokens
	p.usefulTokens += t.inputTokens + t.outputTokens
	p.lastEngine = c.engine
	p.nextTurn++
	p.activeChildren = len(t.children)
	for _, child := range t.children {
		sim.startProgram(child, p)
	}
	if p.activeChildren == 0 {
		sim.pauseProgram(p, t.pauseSeconds)
	}
}

func (sim *simulation) pauseProgram(p *program, seconds float64) {
	if p.nextTurn == len(p.script.turns) {
		sim.endProgram(p)
		return
	}
	sim.clock.after(seconds, func() { sim.submitNextCall(p) })
}

func (sim *simulation) endProgram(p *program) {
	sim.policy.programEnded(p)
	if parent := p.parent; parent != nil {
		parent.activeChildren--
		if parent.activeChildren == 0 {
			sim.pauseProgram(parent, parent.script.turns[parent.nextTurn-1].pauseSeconds)
		}
		return
	}
	sim.activePrograms--
	sim.results.recordProgram(sim.clock.now, p)
	if sim.run.ClosedPopulation != nil {
		sim.startClosedProgram(p.script.group)
	}
}

// lost gives a call back to its owner, which submits it again.
func (sim *simulation) resubmitLostCall(c *call) {
	delete(sim.inFlight, c)
	c.aborted = true
	sim.policy.callEnded(c, false)
	again := *c
	again.aborted, again.engine, again.crossesRegion = false, nil, false
	sim.resubmitAfter(&again, 0.1)
}
