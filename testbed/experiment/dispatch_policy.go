package experiment

import (
	"math/rand/v2"
	"time"

	"jackdawbay.dev/api/caller"
	"jackdawbay.dev/api/errkind"
	"jackdawbay.dev/api/records"
	"jackdawbay.dev/core/schedule"
)

// Signals configures the delay and the loss of the reports of engines.
type Signals struct {
	LoadDelaySeconds       float64 // Delay of a load report, also between data centres.
	CacheEventDelaySeconds float64 // Delay of a cache event.
	CacheEventLossRatio    float64 // Share of the cache events that are lost.
}

// DefaultSignals returns the signal settings of an ordinary run.
func DefaultSignals() Signals {
	return Signals{LoadDelaySeconds: 0.5, CacheEventDelaySeconds: 1, CacheEventLossRatio: 0.02}
}

var simulationStart = time.Unix(1_800_000_000, 0)

// dispatchPolicy runs the dispatchers of core/schedule, one per group and site.
type dispatchPolicy struct {
	sim             *simulation
	signals         Signals
	rng             *rand.Rand
	dispatchers     [][]*schedule.Dispatcher // By group and site.
	reportedLoads   [][]groupLoad
	linkBudgets     []*schedule.LinkBudget // By home site.
	calls           map[string]*call
	nextWake        [][]float64
	meanServiceTime [][]time.Duration
	siteChoice      bool
}

// groupLoad is the load of a group at a site as reported to the other sites.
type groupLoad struct {
	running, waiting int
	memoryFull       bool
}

func newDispatchPolicy(sim *simulation, cfg schedule.Config, siteChoice bool) *dispatchPolicy {
	p := &dispatchPolicy{sim: sim, signals: sim.run.Signals, rng: rand.New(rand.NewPCG(sim.run.Seed, 99)), calls: map[string]*call{}, siteChoice: siteChoice}
	placement := records.DefaultPlacement("")
	placement.LatencyWeight = sim.run.Deployment.LatencyWeight
	placement.CacheWeight = sim.run.Deployment.CacheWeight
	cfg.Placement, cfg.GrantTTL = placement, time.Hour
	for range sim.run.Deployment.Sites {
		p.linkBudgets = append(p.linkBudgets, schedule.NewLinkBudget(placement.LinkBytesPerSecond))
	}
	for _, g := range sim.run.Deployment.Groups {
		p.dispatchers = append(p.dispatchers, p.newGroupDispatchers(g, cfg))
		p.reportedLoads = append(p.reportedLoads, make([]groupLoad, len(p.linkBudgets)))
		p.nextWake = append(p.nextWake, make([]float64, len(p.linkBudgets)))
		p.meanServiceTime = append(p.meanServiceTime, make([]time.Duration, len(p.linkBudgets)))
	}
	p.enginesChanged()
	return p
}

func (p *dispatchPolicy) newGroupDispatchers(g Group, cfg schedule.Config) []*schedule.Dispatcher {
	var dispatchers []*schedule.Dispatcher
	for range p.linkBudgets {
		d := schedule.NewDispatcher(cfg)
		for _, k := range g.Mix {
			l := records.DefaultLimit()
			l.Class, l.Weight = k.Class, k.ClassWeight
			d.SetClassLimit(l)
		}
		dispatchers = append(dispatchers, d)
	}
	return dispatchers
}

func (p *dispatchPolicy) now() time.Time {
	return simulationStart.Add(time.Duration(p.sim.clock.now * float64(time.Second)))
}

func (p *dispatchPolicy) enginesChanged() {
	for _, e := range p.sim.engines {
		d := p.dispatchers[e.group][e.site]
		if e.failed {
			d.RemoveEngine(e.name)
			continue
		}
		d.SetEngine(schedule.Engine{
			Name:        e.name,
			Slots:       e.model.Slots,
			CacheTokens: e.model.CacheTokens,
			Models:      []schedule.ReadyModel{{Name: "model"}},
		})
	}
}

func (p *dispatchPolicy) submit(c *call) {
	site := p.chooseSite(c)
	if site < 0 {
		p.sim.resubmitAfter(c, 1)
		return
	}
	home, group := c.program.script.home, c.program.script.group
	if p.sim.crossesRegion(home, site) {
		p.linkBudgets[home].Spend(p.now(), p.remoteCall(c).LinkBytes())
	}
	p.sim.clock.after(p.sim.oneWaySeconds(home, site), func() { p.enqueue(c, group, site) })
}

func (p *dispatchPolicy) remoteCall(c *call) schedule.RemoteCall {
	return schedule.RemoteCall{PromptTokens: c.promptTokens, HistoryTokens: c.historyTokens, OutputTokens: 200}
}

// chooseSite chooses the data centre of a call, or returns a negative number if there is none. It uses the site of the
// program's last call, which the owner of the program has stored.
func (p *dispatchPolicy) chooseSite(c *call) int {
	home, group := c.program.script.home, c.program.script.group
	var sites []schedule.DataCentreLoad
	for i := range p.linkBudgets {
		sites = append(sites, p.dataCentreLoad(c, home, group, i))
	}
	dep := p.sim.run.Deployment
	w := schedule.DataCentreWeights{Latency: dep.LatencyWeight, Cache: dep.CacheWeight, PrefillTokensPerSecond: schedule.DefaultPrefillTokensPerSecond}
	if !p.siteChoice {
		if sites[home].Slots > 0 {
			return home
		}
	}
	return schedule.ChooseDataCentre(p.now(), p.remoteCall(c), sites, w, p.linkBudgets[home])
}

func (p *dispatchPolicy) dataCentreLoad(c *call, home, group, i int) schedule.DataCentreLoad {
	s := schedule.DataCentreLoad{
		IsHome:          i == home,
		OtherRegion:     p.sim.crossesRegion(home, i),
		RoundTrip:       time.Duration(2 * p.sim.oneWaySeconds(home, i) * float64(time.Second)),
		MeanServiceTime: p.meanServiceTime[group][i],
		Running:         p.reportedLoads[group][i].running,
		Waiting:         p.reportedLoads[group][i].waiting,
		MemoryFull:      p.reportedLoads[group][i].memoryFull,
	}
	if s.IsHome {
		s.Waiting = p.dispatchers[group][i].WaitingCount()
		s.MemoryFull = p.dispatchers[group][i].IsMemoryFull()
	}
	for _, e := range p.sim.engines {
		if e.group == group && e.site == i && p.sim.isReachable(home, e) {
			s.Slots += e.model.Slots
		}
	}
	if last := c.program.lastEngine; last != nil && last.site == i && !last.failed {
		s.CachedTokens = c.historyTokens
	}
	return s
}

func (p *dispatchPolicy) enqueue(c *call, group, site int) {
	if c.aborted {
		return
	}
	t := schedule.Ticket{
		ID:            c.id,
		Program:       c.program.id,
		Class:         c.program.script.kind.Class,
		Model:         "model",
		PromptTokens:  c.promptTokens,
		HistoryTokens: c.historyTokens,
		MaxTokens:     2000,
		SpentTokens:   c.program.spentTokens,
		Enqueued:      simulationStart.Add(time.Duration(c.readyAt * float64(time.Second))),
	}
	if c.program.parent != nil {
		t.Parent = c.program.parent.id
	}
	if err := p.dispatchers[group][site].Enqueue(p.now(), t); err != nil {
		p.sim.results.rejections++
		if c.rejected {
			p.sim.results.repeatedRejections++
		}
		c.rejected = true
		p.sim.resubmitAfter(c, errkind.From(err).RetryAfter.Seconds())
		return
	}
	c.rejected = false
	p.calls[c.id] = c
	p.dispatchGrants(group, site)
}

// dispatchGrants sends granted calls to engines until there is no further grant. It then schedules itself for the next
// timer of the dispatcher, such as the end of a hold.
func (p *dispatchPolicy) dispatchGrants(group, site int) {
	d := p.dispatchers[group][site]
	for {
		g, ok := d.NextGrant(p.now())
		if !ok {
			break
		}
		c := p.calls[g.Ticket]
		p.sim.sendToEngine(c, p.sim.enginesByName[g.Engine])
	}
	timerDue, ok := d.NextTimer()
	if !ok {
		return
	}
	wake := max(timerDue.Sub(simulationStart).Seconds(), p.sim.clock.now)
	if scheduled := p.nextWake[group][site]; scheduled > p.sim.clock.now && scheduled <= wake {
		return
	}
	p.nextWake[group][site] = wake
	p.sim.clock.after(wake-p.sim.clock.now+1e-6, func() { p.dispatchGrants(group, site) })
}

func (p *dispatchPolicy) callEnded(c *call, ran bool) {
	group, site := c.engine.group, c.engine.site
	usage := caller.Usage{}
	if ran {
		usage = caller.Usage{PromptTokens: c.promptTokens, CachedTokens: c.cachedTokens, CompletionTokens: c.outputTokens}
		seconds := time.Duration((p.sim.clock.now - c.readyAt) * float64(time.Second))
		p.meanServiceTime[group][site] += (seconds - p.meanServiceTime[group][site]) / 20
	}
	p.dispatchers[group][site].Release(p.now(), c.id, usage)
	delete(p.calls, c.id)
	p.dispatchGrants(group, site)
}

func (p *dispatchPolicy) programEnded(ended *program) {
	for site, d := range p.dispatchers[ended.script.group] {
		if p.sim.isSiteReachable(ended.script.home, site) {
			p.applyOrders(d.EndProgram(ended.id))
		}
	}
}

func (p *dispatchPolicy) applyOrders(orders []schedule.Order) {
	for _, o := range orders {
		e := p.sim.enginesByName[o.Engine]
		p.sim.clock.after(0.001, func() { e.releaseCache(o.Program) })
	}
}

func (p *dispatchPolicy) cacheChanged(e *engine, program string, tokens int64, stored bool) {
	if p.rng.Float64() < p.signals.CacheEventLossRatio {
		return
	}
	ev := schedule.CacheEvent{Engine: e.name, Type: schedule.CacheEvicted, Program: program, Tokens: tokens}
	if stored {
		ev.Type = schedule.CacheStored
	}
	p.sim.clock.after(p.signals.CacheEventDelaySeconds, func() { p.dispatchers[e.group][e.site].ObserveCacheEvent(ev) })
}

func (p *dispatchPolicy) tick() {
	for group, row := range p.dispatchers {
		for site, d := range row {
			p.applyOrders(d.Tick(p.now()))
			p.dispatchGrants(group, site)
			p.reportLoads(group, site, d.WaitingCount())
		}
	}
}

// reportLoads reports the loads of a group at a site, with the delay of the signals.
func (p *dispatchPolicy) reportLoads(group, site, waiting int) {
	measuredAt := p.now()
	d := p.dispatchers[group][site]
	load := groupLoad{waiting: waiting, memoryFull: d.IsMemoryFull()}
	for _, e := range p.sim.engines {
		if e.group != group || e.site != site || e.failed {
			continue
		}
		load.running += e.requestCount()
		running, queued := e.runningCount(), len(e.waiting)
		p.sim.clock.after(p.signals.LoadDelaySeconds, func() { d.ObserveLoad(p.now(), e.name, running, queued, measuredAt) })
	}
	p.sim.clock.after(p.signals.LoadDelaySeconds, func() { p.reportedLoads[group][site] = load })
}
