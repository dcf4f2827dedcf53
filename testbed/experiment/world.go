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

// cutSeconds is how long SiteCut lasts.
const cutSeconds = 120.0

// world is the state of one run.
type world struct {
	run      Run
	clock    clock
	engines  []*engine
	byName   map[string]*engine
	policy   policy
	links    map[string]float64 // Time at which a direction of the link is free.
	cut      int                // Site that is cut off, or -1.
	inFlight map[*call]struct{}
	results  *results
	gens     []*generator
	started  []int
	open     int // Programs under way.
}

// process is a program that is under way.
type process struct {
	id       string
	script   *script
	parent   *process
	turn     int
	history  int64
	spent    int64
	last     *engine
	children int
	tokens   int64 // Useful tokens: new prompt tokens and output.
}

// Execute runs one simulation.
func Simulate(r Run) Result {
	w := &world{run: r, byName: map[string]*engine{}, links: map[string]float64{}, cut: -1, inFlight: map[*call]struct{}{}}
	w.results = newResults(r)
	w.addEngines()
	if r.Policy.Baseline {
		w.policy = newBaseline(w, r.Policy.Sticky, r.Policy.Regional)
	} else {
		w.policy = newDispatched(w, r.Policy.Config, !r.Policy.DisableSiteChoice)
	}
	w.addPrograms()
	w.addFault()
	w.second()
	end := r.ArrivalSeconds + r.MaxDrainSeconds
	for w.clock.now < end && w.clock.step() {
		if w.clock.now > r.ArrivalSeconds && w.open == 0 {
			break
		}
	}
	return w.results.summary()
}

func (w *world) addEngines() {
	for g, group := range w.run.Deployment.Groups {
		for site, n := range group.Engines {
			for i := range n {
				name := fmt.Sprintf("%s-%s-%d", group.Name, w.run.Deployment.Sites[site].Name, i)
				e := newEngine(&w.clock, w.run.Engine, name, g, site)
				e.finished = w.finished
				e.changed = func(e *engine, program string, tokens int64, stored bool) {
					w.policy.cacheChanged(e, program, tokens, stored)
				}
				w.engines = append(w.engines, e)
				w.byName[name] = e
			}
		}
	}
}

func (w *world) addPrograms() {
	for g := range w.run.Deployment.Groups {
		gen := newGenerator(w.run.Deployment, g, w.run.Seed)
		w.gens = append(w.gens, gen)
		w.started = append(w.started, 0)
		if w.run.ClosedPopulation != nil {
			for range w.run.ClosedPopulation[g] {
				w.replace(g)
			}
			continue
		}
		if w.run.ArrivalRates[g] <= 0 {
			continue
		}
		for _, s := range gen.arrivals(g, w.run.ArrivalRates[g], w.run.ArrivalSeconds) {
			w.results.arrived(s)
			w.clock.after(s.arrive, func() { w.start(s, nil) })
		}
	}
}

// replace starts one more program of a closed population. The first ones start over a minute.
func (w *world) replace(g int) {
	n := w.started[g]
	w.started[g]++
	s := w.gens[g].script(g, n, w.clock.now)
	delay := 0.0
	if w.clock.now == 0 {
		delay = 60 * float64(n) / float64(w.run.ClosedPopulation[g])
	}
	w.clock.after(delay, func() {
		s.arrive = w.clock.now
		w.start(s, nil)
	})
}

func (w *world) second() {
	w.policy.tick()
	w.clock.after(1, w.second)
}

func (w *world) crosses(a, b int) bool {
	return w.run.Deployment.Sites[a].Region != w.run.Deployment.Sites[b].Region
}

// oneWay returns the network seconds between sites. Ingress and engines of one site are as near as its clients.
func (w *world) oneWay(a, b int) float64 {
	if a == b {
		return 0.0005
	}
	if w.crosses(a, b) {
		return w.run.Deployment.InterRegionDelaySeconds
	}
	return w.run.Deployment.InterSiteDelaySeconds
}

func (w *world) siteReachable(a, b int) bool { return a == b || (w.cut != a && w.cut != b) }

func (w *world) reachable(home int, e *engine) bool { return !e.dead && w.siteReachable(home, e.site) }

func (w *world) start(s *script, parent *process) {
	if parent == nil {
		w.open++
	}
	w.ready(&process{id: s.id, script: s, parent: parent})
}

// ready submits the next call of a program.
func (w *world) ready(p *process) {
	t := p.script.turns[p.turn]
	c := &call{
		id:      p.id + "/" + strconv.Itoa(p.turn),
		p:       p,
		prompt:  p.history + t.input,
		history: p.history,
		output:  t.output,
		ready:   w.clock.now,
	}
	w.policy.submit(c)
}

// retryLater submits a refused call again, as its caller does after the stated time.
func (w *world) retryLater(c *call, seconds float64) {
	c.id += "'"
	w.clock.after(seconds, func() { w.policy.submit(c) })
}

// send passes a call to an engine over the network.
func (w *world) send(c *call, e *engine) {
	home := c.p.script.home
	c.engine = e
	c.link = w.crosses(home, e.site)
	w.inFlight[c] = struct{}{}
	delay := w.oneWay(home, e.site)
	if c.link {
		delay += w.transfer(home, e.site, 4*c.prompt)
	}
	w.clock.after(delay, func() {
		if c.aborted {
			return
		}
		if e.dead {
			w.lost(c)
			return
		}
		e.submit(c)
	})
}

// transfer sends bytes over the link between the regions and returns the seconds until the last one has left.
func (w *world) transfer(from, to int, bytes int64) float64 {
	w.results.linkBytes += bytes
	direction := w.run.Deployment.Sites[from].Region + ">" + w.run.Deployment.Sites[to].Region
	begin := max(w.links[direction], w.clock.now)
	w.links[direction] = begin + float64(bytes)/linkBytesPerSecond
	return w.links[direction] - w.clock.now
}

// finished is called when an engine has generated the last token of a call.
func (w *world) finished(c *call) {
	home := c.p.script.home
	delay := w.oneWay(home, c.engine.site)
	if c.link {
		delay += w.transfer(c.engine.site, home, 200*c.output)
	}
	w.clock.after(delay, func() {
		if c.aborted {
			return
		}
		delete(w.inFlight, c)
		w.results.call(w.clock.now, c)
		w.policy.ended(c, true)
		w.next(c)
	})
}

// next continues a program after a call.
func (w *world) next(c *call) {
	p := c.p
	t := p.script.turns[p.turn]
	p.history = c.prompt + c.output
	p.spent += c.prompt + c.output
	p.tokens += t.input + t.output
	p.last = c.engine
	p.turn++
	p.children = len(t.children)
	for _, child := range t.children {
		w.start(child, p)
	}
	if p.children == 0 {
		w.pause(p, t.pause)
	}
}

func (w *world) pause(p *process, seconds float64) {
	if p.turn == len(p.script.turns) {
		w.end(p)
		return
	}
	w.clock.after(seconds, func() { w.ready(p) })
}

func (w *world) end(p *process) {
	w.policy.programEnded(p)
	if parent := p.parent; parent != nil {
		parent.children--
		if parent.children == 0 {
			w.pause(parent, parent.script.turns[parent.turn-1].pause)
		}
		return
	}
	w.open--
	w.results.program(w.clock.now, p)
	if w.run.ClosedPopulation != nil {
		w.replace(p.script.group)
	}
}

// lost gives a call back to its owner, which submits it again.
func (w *world) lost(c *call) {
	delete(w.inFlight, c)
	c.aborted = true
	w.policy.ended(c, false)
	again := *c
	again.aborted, again.engine, again.link = false, nil, false
	w.retryLater(&again, 0.1)
}
