package gateway

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"jackdawbay.dev/core/placement"
	"jackdawbay.dev/core/route"
	"jackdawbay.dev/daemon/catalog"
)

// Round trips that are assumed until a connection to the data centre has been measured.
const (
	sameDataCentreRTT = 200 * time.Microsecond
	sameRegionRTT     = 2 * time.Millisecond
	otherRegionRTT    = 30 * time.Millisecond
	roundTripWeight   = 0.2 // Weight of a new measurement in the moving average.
)

// upstreamGroups holds the upstreams of each service, with their load and round trip as observed by this daemon.
type upstreamGroups struct {
	cfg Config

	mu         sync.Mutex
	byService  map[string]*placement.Group
	roundTrips map[string]time.Duration // Measured round trips by data centre.
	current    *catalog.Upstreams
	queues     map[string]*serviceQueue // Requests that wait for an upstream, by service.
}

func newUpstreamGroups(cfg Config) *upstreamGroups {
	return &upstreamGroups{cfg: cfg, byService: map[string]*placement.Group{}, roundTrips: map[string]time.Duration{}, current: &catalog.Upstreams{}, queues: map[string]*serviceQueue{}}
}

func (g *upstreamGroups) update(u *catalog.Upstreams) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.current = u
	g.rebuild()
	g.admitAll(time.Now())
}

func (g *upstreamGroups) rebuild() {
	for service, upstreams := range g.current.ByService {
		converted := make([]placement.Upstream, 0, len(upstreams))
		for _, up := range upstreams {
			converted = append(converted, placement.Upstream{
				ID: up.ID, Address: up.Address, Version: up.Version, Slots: up.Slots, RoundTrip: g.roundTrip(up.DataCentre),
				OtherRegion: g.cfg.RegionOf(up.DataCentre) != g.cfg.Region,
				StartMillis: up.StartMillis, Draining: up.Draining, WarmUpRemaining: up.WarmUpRemaining,
			})
		}
		g.group(service).Update(converted)
	}
	for service, group := range g.byService {
		if _, ok := g.current.ByService[service]; !ok {
			group.Update(nil)
		}
	}
}

func (g *upstreamGroups) group(service string) *placement.Group {
	group, ok := g.byService[service]
	if !ok {
		group = placement.NewGroup(placement.DefaultWeights())
		g.byService[service] = group
	}
	return group
}

func (g *upstreamGroups) roundTrip(dataCentre string) time.Duration {
	if d, ok := g.roundTrips[dataCentre]; ok {
		return d
	}
	switch {
	case dataCentre == g.cfg.DataCentre:
		return sameDataCentreRTT
	case g.cfg.RegionOf(dataCentre) == g.cfg.Region:
		return sameRegionRTT
	default:
		return otherRegionRTT
	}
}

// recordConnectTime adds the time of a TCP connect to the round trip of the upstream's data centre.
func (g *upstreamGroups) recordConnectTime(upstream string, d time.Duration) {
	if d <= 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	u, ok := g.current.ByID[upstream]
	if !ok {
		return
	}
	previous := g.roundTrip(u.DataCentre)
	average := previous + time.Duration(roundTripWeight*float64(d-previous))
	g.roundTrips[u.DataCentre] = min(average, 2*otherRegionRTT)
	if average > previous*3/2 || average < previous*2/3 {
		g.rebuild()
	}
}

// choose returns an upstream for a request and counts the request as started there.
func (g *upstreamGroups) choose(service string, r placement.Request) (placement.Choice, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	group := g.group(service)
	group.SetBalanced(g.cfg.managesOverload())
	c, ok := group.Choose(now, r)
	if ok {
		g.start(now, service, c.Upstream.ID, r.Parts, "")
	}
	return c, ok
}

// start counts a request at an upstream.
func (g *upstreamGroups) start(now time.Time, service, upstream string, parts []placement.PromptPart, organisation string) {
	g.group(service).RecordStart(now, upstream, parts)
	if g.cfg.managesOverload() {
		g.queue(service).RecordStart(now, organisation)
	}
}

// recordRepeat counts another request at an upstream that was chosen before. It reports false if that one no longer accepts
// requests.
func (g *upstreamGroups) recordRepeat(service string, u placement.Upstream, parts []placement.PromptPart) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	group := g.group(service)
	if !group.AcceptsRepeat(u) {
		return false
	}
	g.start(time.Now(), service, u.ID, parts, "")
	return true
}

func (g *upstreamGroups) recordLoad(service, upstream string, l placement.Load) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.group(service).RecordLoad(now, upstream, l)
	if q, ok := g.queues[service]; ok {
		q.RecordReport(now)
		g.admit(now, service, q)
	}
}

// recordLeaving excludes an upstream that leaves from new requests. It reports whether that was not known.
func (g *upstreamGroups) recordLeaving(service string, u placement.Upstream) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.group(service).RecordLeaving(u)
}

func (g *upstreamGroups) recordEnd(service, upstream string, failed bool, duration time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.group(service).RecordEnd(now, upstream, failed, duration)
	if failed {
		duration = 0
	}
	g.admitAfterEnd(now, service, duration)
}

// recordUnreachable counts the end of a request to an upstream that could not be reached, and reports it to other VMs.
func (g *upstreamGroups) recordUnreachable(service string, u placement.Upstream) {
	g.mu.Lock()
	now := time.Now()
	g.group(service).RecordUnreachable(now, u.ID)
	g.admitAfterEnd(now, service, 0)
	g.mu.Unlock()
	if g.cfg.ReportUnreachable != nil {
		g.cfg.ReportUnreachable(placement.Process{ID: u.ID, StartMillis: u.StartMillis})
	}
}

// isUpstreamFailure reports whether the outcome of a send counts as a failure of its upstream. Where overload is managed, a
// response with a status below 500 does not, since the rate of failures would follow the mistakes of callers.
func (c *call) isUpstreamFailure(outcome route.Outcome) bool {
	if outcome == route.UpstreamError && c.status < http.StatusInternalServerError && c.g.managesOverload() {
		return false
	}
	return outcome != route.ResponseComplete && c.ctx.Err() == nil
}

// maxSuspicionSpread is the time over which the VMs send requests to a suspected upstream again, so that one that is back
// gets few requests at first.
const maxSuspicionSpread = 500 * time.Millisecond

func (g *upstreamGroups) suspect(processes []placement.Process) {
	until := time.Now().Add(placement.SuspicionDuration + rand.N(maxSuspicionSpread))
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range processes {
		if u, ok := g.current.ByID[p.ID]; ok {
			g.group(u.Service).Suspect(until, p)
		}
	}
}

func (g *upstreamGroups) eject(service, upstream string, d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.group(service).Eject(time.Now().Add(d), upstream)
}
