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
	// maxLoadAge is the age at which the load of another data centre is re-read while the home data centre has a queue.
	// Without a queue, the choice of the data centre does not depend on the load, so no message is sent.
	maxLoadAge = time.Second

	// sameRegionRoundTrip and otherRegionRoundTrip are the network round-trip times between data centres: twice the
	// one-way times on the design page.
	sameRegionRoundTrip  = 3 * time.Millisecond
	otherRegionRoundTrip = 24 * time.Millisecond
)

type loadKey struct{ group, dataCentre string }

type observedLoad struct {
	load        peer.GroupLoad
	observedAt  time.Time
	requestedAt time.Time
}

// loadTable holds the last reported load of engine groups in all data centres, and the byte budgets of the link between
// regions. Its size is bounded by the groups and data centres of the records.
type loadTable struct {
	mu                sync.Mutex
	loads             map[loadKey]observedLoad
	linkBudgets       map[string]*schedule.LinkBudget // By engine group.
	unresponsiveUntil map[string]time.Time            // Time until which a data centre is skipped because it did not respond.
}

func newLoadTable() *loadTable {
	return &loadTable{loads: map[loadKey]observedLoad{}, linkBudgets: map[string]*schedule.LinkBudget{}, unresponsiveUntil: map[string]time.Time{}}
}

func (t *loadTable) observe(group string, l peer.GroupLoad) {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := loadKey{group, l.DataCentre}
	cached := t.loads[key]
	cached.load, cached.observedAt = l, time.Now()
	t.loads[key] = cached
}

// unresponsiveDuration is how long a data centre is skipped after it did not respond.
const unresponsiveDuration = 10 * time.Second

func (t *loadTable) markUnresponsive(dataCentre string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unresponsiveUntil[dataCentre] = time.Now().Add(unresponsiveDuration)
}

// claimRefresh reports whether the caller should re-read a load. It records the time, so that no other caller reads the
// same load for maxLoadAge.
func (t *loadTable) claimRefresh(group, dataCentre string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := loadKey{group, dataCentre}
	cached := t.loads[key]
	now := time.Now()
	if now.Sub(cached.observedAt) < maxLoadAge || now.Sub(cached.requestedAt) < maxLoadAge {
		return false
	}
	cached.requestedAt = now
	t.loads[key] = cached
	return true
}

// listDataCentres returns the data centres with engines of a group by distance from the home data centre.
// historyDataCentre is the data centre whose engine has cached the program's history.
func (t *loadTable) listDataCentres(set *records.Set, request peer.AcquireRequest, home, historyDataCentre string) []schedule.DataCentreLoad {
	slotCounts := map[string]int{}
	for _, name := range set.Engines(request.Group) {
		if u, ok := set.Upstream(name); ok && !u.Leaving {
			slotCounts[u.DataCentre] += max(u.Slots, 1)
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	candidates := make([]schedule.DataCentreLoad, 0, len(slotCounts))
	for dc, slots := range slotCounts {
		if dc != home && time.Now().Before(t.unresponsiveUntil[dc]) {
			continue
		}
		s := schedule.DataCentreLoad{DataCentre: dc, Slots: slots, IsHome: dc == home, OtherRegion: set.Region(dc) != set.Region(home)}
		if dc == historyDataCentre {
			s.CachedTokens = request.HistoryTokens
		}
		s.RoundTrip = roundTrip(s)
		if cached, ok := t.loads[loadKey{request.Group, dc}]; ok {
			s.Running, s.Waiting = cached.load.Running, cached.load.Waiting
			s.MeanServiceTime = time.Duration(cached.load.ServiceMillis) * time.Millisecond
		}
		candidates = append(candidates, s)
	}
	sort.Slice(candidates, func(i, j int) bool {
		if candidates[i].RoundTrip != candidates[j].RoundTrip {
			return candidates[i].RoundTrip < candidates[j].RoundTrip
		}
		return candidates[i].DataCentre < candidates[j].DataCentre
	})
	return candidates
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

// moveBestFirst returns the candidates with the best data centre at the front.
func (t *loadTable) moveBestFirst(set *records.Set, request peer.AcquireRequest, candidates []schedule.DataCentreLoad) []schedule.DataCentreLoad {
	placement := set.Placement(request.Group)
	weights := schedule.DataCentreWeights{
		Latency:                placement.LatencyWeight,
		Cache:                  placement.CacheWeight,
		PrefillTokensPerSecond: schedule.DefaultPrefillTokensPerSecond,
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	best := schedule.ChooseDataCentre(time.Now(), remoteCall(request), candidates, weights, t.linkBudget(placement))
	if best <= 0 {
		return candidates
	}
	ordered := []schedule.DataCentreLoad{candidates[best]}
	ordered = append(ordered, candidates[:best]...)
	return append(ordered, candidates[best+1:]...)
}

func remoteCall(request peer.AcquireRequest) schedule.RemoteCall {
	return schedule.RemoteCall{PromptTokens: request.PromptTokens, HistoryTokens: request.HistoryTokens, OutputTokens: request.ExpectedTokens}
}

// linkBudget returns the byte budget of an engine group. t.mu must be held.
func (t *loadTable) linkBudget(placement records.Placement) *schedule.LinkBudget {
	budget, ok := t.linkBudgets[placement.Group]
	if !ok || int64(budget.BytesPerSecond) != placement.LinkBytesPerSecond {
		budget = schedule.NewLinkBudget(placement.LinkBytesPerSecond)
		t.linkBudgets[placement.Group] = budget
	}
	return budget
}

func (t *loadTable) linkBudgetCovers(request peer.AcquireRequest) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	b, ok := t.linkBudgets[request.Group]
	return ok && b.Covers(time.Now(), remoteCall(request).LinkBytes())
}

func (t *loadTable) spendLinkBudget(request peer.AcquireRequest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if b, ok := t.linkBudgets[request.Group]; ok {
		b.Spend(time.Now(), remoteCall(request).LinkBytes())
	}
}
