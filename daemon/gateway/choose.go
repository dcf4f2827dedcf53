package gateway

import (
	"sync"
	"time"

	"jackdawbay.dev/core/placement"
	"jackdawbay.dev/daemon/catalog"
)

// Round trips that are assumed until a connection to the data centre has been timed.
const (
	sameDataCentre = 200 * time.Microsecond
	sameRegion     = 2 * time.Millisecond
	otherRegion    = 30 * time.Millisecond
	distanceWeight = 0.2 // Weight of one timed connection in the moving average.
)

// groups are the upstreams of each service with what this daemon knows of them.
type groups struct {
	cfg Config

	mu       sync.Mutex
	byName   map[string]*placement.Group
	distance map[string]time.Duration // By data centre.
	list     *catalog.Upstreams
}

func newGroups(cfg Config) *groups {
	return &groups{cfg: cfg, byName: map[string]*placement.Group{}, distance: map[string]time.Duration{}, list: &catalog.Upstreams{}}
}

func (g *groups) update(u *catalog.Upstreams) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.list = u
	g.refresh()
}

func (g *groups) refresh() {
	for service, list := range g.list.ByService {
		converted := make([]placement.Upstream, 0, len(list))
		for _, up := range list {
			converted = append(converted, placement.Upstream{
				ID: up.ID, Address: up.Address, Slots: up.Slots, RoundTrip: g.roundTrip(up.DataCentre),
				StartMillis: up.StartedAtMillis, Draining: up.Draining, WarmUpRemaining: up.WarmupRemaining,
			})
		}
		g.group(service).Update(converted)
	}
	for service, group := range g.byName {
		if _, ok := g.list.ByService[service]; !ok {
			group.Update(nil)
		}
	}
}

func (g *groups) group(service string) *placement.Group {
	group, ok := g.byName[service]
	if !ok {
		group = placement.NewGroup(placement.DefaultWeights())
		g.byName[service] = group
	}
	return group
}

func (g *groups) roundTrip(dataCentre string) time.Duration {
	if d, ok := g.distance[dataCentre]; ok {
		return d
	}
	switch {
	case dataCentre == g.cfg.DataCentre:
		return sameDataCentre
	case g.cfg.RegionOf(dataCentre) == g.cfg.Region:
		return sameRegion
	default:
		return otherRegion
	}
}

// timed notes the time that a connection took.
func (g *groups) timed(upstream string, d time.Duration) {
	if d <= 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	u, ok := g.list.ByID[upstream]
	if !ok {
		return
	}
	old := g.roundTrip(u.DataCentre)
	next := old + time.Duration(distanceWeight*float64(d-old))
	g.distance[u.DataCentre] = min(next, 2*otherRegion)
	if next > old*3/2 || next < old*2/3 {
		g.refresh()
	}
}

// choose picks an upstream and notes the request as started there.
func (g *groups) choose(service string, r placement.Request) (placement.Choice, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	group := g.group(service)
	c, ok := group.Choose(now, r)
	if ok {
		group.RecordStart(now, c.Upstream.ID, r.Parts)
	}
	return c, ok
}

// again notes another request for an upstream that was chosen before, if it is still listed.
func (g *groups) again(service, upstream string, parts []placement.PromptPart) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	u, ok := g.list.ByID[upstream]
	if ok && u.Service == service {
		g.group(service).RecordStart(time.Now(), upstream, parts)
	}
	return ok
}

func (g *groups) reported(service, upstream string, l placement.Load) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.group(service).RecordLoad(time.Now(), upstream, l)
}

func (g *groups) ended(service, upstream string, failed bool, took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.group(service).RecordEnd(time.Now(), upstream, failed, took)
}

func (g *groups) avoid(service, upstream string, d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.group(service).Eject(time.Now().Add(d), upstream)
}
