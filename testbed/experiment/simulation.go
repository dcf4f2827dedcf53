package experiment

import (
	"fmt"
	"strconv"

	"jackdawbay.dev/core/schedule"
)

// Policy is a named policy with its settings.
type Policy struct {
	Name              string
	Baseline          bool
	Sticky            bool
	Regional          bool
	Config            schedule.Config // Settings of the dispatchers; the placement comes from the deployment.
	DisableSiteChoice bool            // Calls run at their home site while it has engines.
}

// Fault is a fault that is injected in the middle of a run.
type Fault string

// Injected faults.
const (
	NoFault       Fault = ""
	EngineFailure Fault = "engine lost"
	SitePartition Fault = "data centre cut off"
)

// Run holds the settings of one simulation.
type Run struct {
	Deployment       Deployment
	Policy           Policy
	Engine           EngineModel
	Signals          Signals
	Fault            Fault
	Load             float64   // Share of the capacity; copied to the result.
	ArrivalRates     []float64 // Programs per second by group.
	Seed             uint64
	WarmupSeconds    float64 // Programs that arrive in this time are not measured.
	ArrivalSeconds   float64 // Time during which programs arrive.
	MaxDrainSeconds  float64 // Maximum time for programs to end after arrivals stop.
	ClosedPopulation []int   // Constant number of active programs by group, for calibration; replaces ArrivalRates.
}

// linkBytesPerSecond is the bandwidth of the link between regions in each direction, 30 Mbit/s.
const linkBytesPerSecond = 30e6 / 8

// partitionSeconds is the duration of a SitePartition.
const partitionSeconds = 120.0

// simulation is the state of one run.
type simulation struct {
	run             Run
	clock           clock
	engines         []*engine
	enginesByName   map[string]*engine
	policy          policy
	linkFreeAt      map[string]float64 // Time at which the link is free, by direction.
	isolatedSite    int                // Site that is cut off, or -1.
	inFlight        map[*call]struct{}
	results         *resultCollector
	generators      []*generator
	startedPrograms []int
	activePrograms  int // Number of programs in progress, without sub-agents.
}

// program is a program in progress.
type program struct {
	id             string
	script         *script
	parent         *program
	nextTurn       int
	historyTokens  int64
	spentTokens    int64
	lastEngine     *engine
	activeChildren int
	usefulTokens   int64 // New prompt tokens and output tokens.
}

// Simulate runs one simulation.
func Simulate(run Run) Result {
	sim := &simulation{run: run, enginesByName: map[string]*engine{}, linkFreeAt: map[string]float64{}, isolatedSite: -1, inFlight: map[*call]struct{}{}}
	sim.results = newResultCollector(run)
	sim.addEngines()
	if run.Policy.Baseline {
		sim.policy = newBaseline(sim, run.Policy.Sticky, run.Policy.Regional)
	} else {
		sim.policy = newDispatchPolicy(sim, run.Policy.Config, !run.Policy.DisableSiteChoice)
	}
	sim.scheduleArrivals()
	sim.scheduleFault()
	sim.tickEverySecond()
	endTime := run.ArrivalSeconds + run.MaxDrainSeconds
	for sim.clock.now < endTime && sim.clock.runNextEvent() {
		if sim.clock.now > run.ArrivalSeconds && sim.activePrograms == 0 {
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

// startClosedProgram starts the next program of a closed population. The first programs start spread over one minute.
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

// oneWaySeconds returns the network delay between sites. Within a site, the delay is the same for clients, ingress and
// engines.
func (sim *simulation) oneWaySeconds(from, to int) float64 {
	if from == to {
		return 0.0005
	}
	if sim.crossesRegion(from, to) {
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

// submitNextCall submits the next call of a program.
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

// resubmitAfter submits a rejected call again after a delay, as a caller does after the retry delay of the error.
func (sim *simulation) resubmitAfter(c *call, seconds float64) {
	c.id += "'"
	sim.clock.after(seconds, func() { sim.policy.submit(c) })
}

// sendToEngine sends a call to an engine over the network.
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

// transferSeconds sends bytes over the link between regions. It returns the time until the last byte is sent.
func (sim *simulation) transferSeconds(from, to int, bytes int64) float64 {
	sim.results.linkBytes += bytes
	direction := sim.run.Deployment.Sites[from].Region + ">" + sim.run.Deployment.Sites[to].Region
	begin := max(sim.linkFreeAt[direction], sim.clock.now)
	sim.linkFreeAt[direction] = begin + float64(bytes)/linkBytesPerSecond
	return sim.linkFreeAt[direction] - sim.clock.now
}

// deliverResponse handles a call whose last token an engine has generated.
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

// advanceProgram continues a program after a call.
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

// resubmitLostCall returns a lost call to its owner, which submits it again.
func (sim *simulation) resubmitLostCall(c *call) {
	delete(sim.inFlight, c)
	c.aborted = true
	sim.policy.callEnded(c, false)
	resubmitted := *c
	resubmitted.aborted, resubmitted.engine, resubmitted.crossesRegion = false, nil, false
	sim.resubmitAfter(&resubmitted, 0.1)
}
