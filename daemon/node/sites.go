package node

import (
	"sort"
	"sync"
	"time"

	"jackdawbay.dev/api/records"
	"jackdawbay.dev/core/schedule"
	"jackdawbay.dev/daemon/peer"
)

const (
	// loadMaxAge is the age from which the load of another data centre is read again while the home data centre has a
	// queue. Without a queue the choice does not depend on it, so that no message is sent.
	loadMaxAge = time.Second

	// sameRegionRoundTrip and otherRegionRoundTrip are network times between data centres, twice the one-way times on the
	// design page.
	sameRegionRoundTrip  = 3 * time.Millisecond
	otherRegionRoundTrip = 24 * time.Millisecond
)

type siteKey struct{ group, dataCentre string }

type observedLoad struct {
	load  peer.GroupLoad
	at    time.Time
	asked time.Time
}

// siteTable holds the lagging load of engine groups in all data centres, and the byte budgets of the link between regions.
// Its size is bounded by the groups and data centres of the records.
type siteTable struct {
	mu     sync.Mutex
	loads  map[siteKey]observedLoad
	links  map[string]*schedule.LinkBudget // By engine group.
	silent map[string]time.Time            // Data centres that did not answer, with the time until which they are left out.
}

func newSiteTable() *siteTable {
	return &siteTable{loads: map[siteKey]observedLoad{}, links: map[string]*schedule.LinkBudget{}, silent: map[string]time.Time{}}
}

func (t *siteTable) observe(group string, l peer.GroupLoad) {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := siteKey{group, l.DataCentre}
	known := t.loads[key]
	known.load, known.at = l, time.Now()
	t.loads[key] = known
}

// silentTime is how long a data centre is left out after it did not answer.
const silentTime = 10 * time.Second

func (t *siteTable) fail(dataCentre string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.silent[dataCentre] = time.Now().Add(silentTime)
}

// stale reports whether a load should be read again, and notes that it is.
func (t *siteTable) stale(group, dataCentre string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := siteKey{group, dataCentre}
	known := t.loads[key]
	now := time.Now()
	if now.Sub(known.at) < loadMaxAge || now.Sub(known.asked) < loadMaxAge {
		return false
	}
	known.asked = now
	t.loads[key] = known
	return true
}

// list returns the data centres with engines of a group by distance from the home data centre. holder is the data centre
// whose engine holds the program's history.
func (t *siteTable) list(set *records.Set, a peer.AcquireRequest, home, holder string) []schedule.DataCentreLoad {
	slots := map[string]int{}
	for _, name := range set.Engines(a.Group) {
		if u, ok := set.Upstream(name); ok && !u.Leaving {
			slots[u.DataCentre] += max(u.Slots, 1)
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]schedule.DataCentreLoad, 0, len(slots))
	for dc, n := range slots {
		if dc != home && time.Now().Before(t.silent[dc]) {
			continue
		}
		s := schedule.DataCentreLoad{DataCentre: dc, Slots: n, IsHome: dc == home, OtherRegion: set.Region(dc) != set.Region(home)}
		if dc == holder {
			s.CachedTokens = a.HistoryTokens
		}
		s.RoundTrip = roundTrip(s)
		if known, ok := t.loads[siteKey{a.Group, dc}]; ok {
			s.Running, s.Waiting = known.load.Running, known.load.Waiting
			s.MeanServiceTime = time.Duration(known.load.ServiceMillis) * time.Millisecond
		}
		list = append(list, s)
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].RoundTrip != list[j].RoundTrip {
			return list[i].RoundTrip < list[j].RoundTrip
		}
		return list[i].DataCentre < list[j].DataCentre
	})
	return list
}

func roundTrip(s schedule.DataCentreLoad) time.Duration {
	switch {
	case s.IsHome:
		return 0
	case s.OtherRegion:
		return otherRegionRoundTrip
	default:
		return sameRegionRoundTrip
	}
}

// bestFirst moves the best data centre to the front.
func (t *siteTable) bestFirst(set *records.Set, a peer.AcquireRequest, list []schedule.DataCentreLoad) []schedule.DataCentreLoad {
	p := set.Placement(a.Group)
	weights := schedule.DataCentreWeights{
		Latency:                p.LatencyWeight,
		Cache:                  p.CacheWeight,
		PrefillTokensPerSecond: schedule.DefaultPrefillTokensPerSecond,
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	best := schedule.ChooseDataCentre(time.Now(), remoteCall(a), list, weights, t.link(p))
	if best <= 0 {
		return list
	}
	ordered := []schedule.DataCentreLoad{list[best]}
	ordered = append(ordered, list[:best]...)
	return append(ordered, list[best+1:]...)
}

func remoteCall(a peer.AcquireRequest) schedule.RemoteCall {
	return schedule.RemoteCall{PromptTokens: a.PromptTokens, HistoryTokens: a.HistoryTokens, OutputTokens: a.ExpectedTokens}
}

// link returns the byte budget of an engine group; t.mu is held.
func (t *siteTable) link(p records.Placement) *schedule.LinkBudget {
	b, ok := t.links[p.Group]
	if !ok || int64(b.BytesPerSecond) != p.LinkBytesPerSecond {
		b = schedule.NewLinkBudget(p.LinkBytesPerSecond)
		t.links[p.Group] = b
	}
	return b
}

func (t *siteTable) covers(a peer.AcquireRequest) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	b, ok := t.links[a.Group]
	return ok && b.Covers(time.Now(), remoteCall(a).LinkBytes())
}

func (t *siteTable) spend(a peer.AcquireRequest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if b, ok := t.links[a.Group]; ok {
		b.Spend(time.Now(), remoteCall(a).LinkBytes())
	}
}
