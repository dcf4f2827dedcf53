package experiment

import (
	"math/rand/v2"
	"time"

	"jackdawbay.dev/api/caller"
	"jackdawbay.dev/api/errkind"
	"jackdawbay.dev/api/records"
	"jackdawbay.dev/core/schedule"
)

// Signals describes how late and how complete the reports of engines are.
type Signals struct {
	LoadDelaySeconds       float64 // Seconds between a load report and its arrival, also between data centres.
	CacheEventDelaySeconds float64 // Seconds between a cache event and its arrival.
	CacheEventLossRatio    float64 // Part of the cache events that are lost.
}

// DefaultSignals are the signals of an ordinary run.
func DefaultSignals() Signals {
	return Signals{LoadDelaySeconds: 0.5, CacheEventDelaySeconds: 1, CacheEventLossRatio: 0.02}
}

var virtualStart = time.Unix(1_800_000_000, 0)

// dispatched runs the dispatchers of core/schedule, one for each group and site.
type dispatched struct {
	w           *world
	signals     Signals
	rng         *rand.Rand
	dispatchers [][]*schedule.Dispatcher // By group and site.
	reported    [][]siteReport
	link        []*schedule.LinkBudget // By home site.
	calls       map[string]*call
	wakes       [][]float64
	service     [][]time.Duration
	siteChoice  bool
}

// siteReport is the load of a group at a site, as other sites see it.
type siteReport struct {
	running, waiting int
	full             bool
}

func newDispatched(w *world, cfg schedule.Config, siteChoice bool) *dispatched {
	p := &dispatched{w: w, signals: w.run.Signals, rng: rand.New(rand.NewPCG(w.run.Seed, 99)), calls: map[string]*call{}, siteChoice: siteChoice}
	placement := records.DefaultPlacement("")
	placement.LatencyWeight = w.run.Deployment.LatencyWeight
	placement.CacheWeight = w.run.Deployment.CacheWeight
	cfg.Placement, cfg.GrantTTL = placement, time.Hour
	for range w.run.Deployment.Sites {
		p.link = append(p.link, schedule.NewLinkBudget(placement.LinkBytesPerSecond))
	}
	for _, g := range w.run.Deployment.Groups {
		p.dispatchers = append(p.dispatchers, p.groupDispatchers(g, cfg))
		p.reported = append(p.reported, make([]siteReport, len(p.link)))
		p.wakes = append(p.wakes, make([]float64, len(p.link)))
		p.service = append(p.service, make([]time.Duration, len(p.link)))
	}
	p.engineChanged()
	return p
}

func (p *dispatched) groupDispatchers(g Group, cfg schedule.Config) []*schedule.Dispatcher {
	var list []*schedule.Dispatcher
	for range p.link {
		d := schedule.NewDispatcher(cfg)
		for _, k := range g.Mix {
			l := records.DefaultLimit()
			l.Class, l.Weight = k.Class, k.ClassWeight
			d.SetClassLimit(l)
		}
		list = append(list, d)
	}
	return list
}

func (p *dispatched) now() time.Time {
	return virtualStart.Add(time.Duration(p.w.clock.now * float64(time.Second)))
}

func (p *dispatched) engineChanged() {
	for _, e := range p.w.engines {
		d := p.dispatchers[e.group][e.site]
		if e.dead {
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

func (p *dispatched) submit(c *call) {
	site := p.site(c)
	if site < 0 {
		p.w.retryLater(c, 1)
		return
	}
	home, group := c.p.script.home, c.p.script.group
	if p.w.crosses(home, site) {
		p.link[home].Spend(p.now(), p.remoteCall(c).LinkBytes())
	}
	p.w.clock.after(p.w.oneWay(home, site), func() { p.enqueue(c, group, site) })
}

func (p *dispatched) remoteCall(c *call) schedule.RemoteCall {
	return schedule.RemoteCall{PromptTokens: c.prompt, HistoryTokens: c.history, OutputTokens: 200}
}

// site chooses the data centre of a call. The owner of a program knows where its last call ran.
func (p *dispatched) site(c *call) int {
	home, group := c.p.script.home, c.p.script.group
	var sites []schedule.DataCentreLoad
	for i := range p.link {
		sites = append(sites, p.siteLoad(c, home, group, i))
	}
	dep := p.w.run.Deployment
	w := schedule.DataCentreWeights{Latency: dep.LatencyWeight, Cache: dep.CacheWeight, PrefillTokensPerSecond: schedule.DefaultPrefillTokensPerSecond}
	if !p.siteChoice {
		if sites[home].Slots > 0 {
			return home
		}
	}
	return schedule.ChooseDataCentre(p.now(), p.remoteCall(c), sites, w, p.link[home])
}

func (p *dispatched) siteLoad(c *call, home, group, i int) schedule.DataCentreLoad {
	s := schedule.DataCentreLoad{
		IsHome:          i == home,
		OtherRegion:     p.w.crosses(home, i),
		RoundTrip:       time.Duration(2 * p.w.oneWay(home, i) * float64(time.Second)),
		MeanServiceTime: p.service[group][i],
		Running:         p.reported[group][i].running,
		Waiting:         p.reported[group][i].waiting,
		MemoryFull:      p.reported[group][i].full,
	}
	if s.IsHome {
		s.Waiting = p.dispatchers[group][i].WaitingCount()
		s.MemoryFull = p.dispatchers[group][i].IsMemoryFull()
	}
	for _, e := range p.w.engines {
		if e.group == group && e.site == i && p.w.reachable(home, e) {
			s.Slots += e.model.Slots
		}
	}
	if last := c.p.last; last != nil && last.site == i && !last.dead {
		s.CachedTokens = c.history
	}
	return s
}

func (p *dispatched) enqueue(c *call, group, site int) {
	if c.aborted {
		return
	}
	t := schedule.Ticket{
		ID:            c.id,
		Program:       c.p.id,
		Class:         c.p.script.kind.Class,
		Model:         "model",
		PromptTokens:  c.prompt,
		HistoryTokens: c.history,
		MaxTokens:     2000,
		SpentTokens:   c.p.spent,
		Enqueued:      virtualStart.Add(time.Duration(c.ready * float64(time.Second))),
	}
	if c.p.parent != nil {
		t.Parent = c.p.parent.id
	}
	if err := p.dispatchers[group][site].Enqueue(p.now(), t); err != nil {
		p.w.results.refusals++
		if c.refused {
			p.w.results.refusedAgain++
		}
		c.refused = true
		p.w.retryLater(c, errkind.From(err).RetryAfter.Seconds())
		return
	}
	c.refused = false
	p.calls[c.id] = c
	p.dispatch(group, site)
}

// dispatch takes grants until there are none, and sets a timer for the next hold that ends.
func (p *dispatched) dispatch(group, site int) {
	d := p.dispatchers[group][site]
	for {
		g, ok := d.NextGrant(p.now())
		if !ok {
			break
		}
		c := p.calls[g.Ticket]
		p.w.send(c, p.w.byName[g.Engine])
	}
	at, ok := d.NextTimer()
	if !ok {
		return
	}
	wake := max(at.Sub(virtualStart).Seconds(), p.w.clock.now)
	if planned := p.wakes[group][site]; planned > p.w.clock.now && planned <= wake {
		return
	}
	p.wakes[group][site] = wake
	p.w.clock.after(wake-p.w.clock.now+1e-6, func() { p.dispatch(group, site) })
}

func (p *dispatched) ended(c *call, ran bool) {
	group, site := c.engine.group, c.engine.site
	usage := caller.Usage{}
	if ran {
		usage = caller.Usage{PromptTokens: c.prompt, CachedTokens: c.cached, CompletionTokens: c.output}
		seconds := time.Duration((p.w.clock.now - c.ready) * float64(time.Second))
		p.service[group][site] += (seconds - p.service[group][site]) / 20
	}
	p.dispatchers[group][site].Release(p.now(), c.id, usage)
	delete(p.calls, c.id)
	p.dispatch(group, site)
}

func (p *dispatched) programEnded(pr *process) {
	for site, d := range p.dispatchers[pr.script.group] {
		if p.w.siteReachable(pr.script.home, site) {
			p.obey(d.EndProgram(pr.id))
		}
	}
}

func (p *dispatched) obey(orders []schedule.Order) {
	for _, o := range orders {
		e := p.w.byName[o.Engine]
		p.w.clock.after(0.001, func() { e.releaseCache(o.Program) })
	}
}

func (p *dispatched) cacheChanged(e *engine, program string, tokens int64, stored bool) {
	if p.rng.Float64() < p.signals.CacheEventLossRatio {
		return
	}
	ev := schedule.CacheEvent{Engine: e.name, Type: schedule.CacheEvicted, Program: program, Tokens: tokens}
	if stored {
		ev.Type = schedule.CacheStored
	}
	p.w.clock.after(p.signals.CacheEventDelaySeconds, func() { p.dispatchers[e.group][e.site].ObserveCacheEvent(ev) })
}

func (p *dispatched) tick() {
	for group, row := range p.dispatchers {
		for site, d := range row {
			p.obey(d.Tick(p.now()))
			p.dispatch(group, site)
			p.report(group, site, d.WaitingCount())
		}
	}
}

// report sends the loads of a group at a site with their lag.
func (p *dispatched) report(group, site, waiting int) {
	at := p.now()
	d := p.dispatchers[group][site]
	r := siteReport{waiting: waiting, full: d.IsMemoryFull()}
	for _, e := range p.w.engines {
		if e.group != group || e.site != site || e.dead {
			continue
		}
		r.running += e.load()
		running, queued := e.running(), len(e.waiting)
		p.w.clock.after(p.signals.LoadDelaySeconds, func() { d.ObserveLoad(p.now(), e.name, running, queued, at) })
	}
	p.w.clock.after(p.signals.LoadDelaySeconds, func() { p.reported[group][site] = r })
}
