package placement

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// chooseTwoRandom is the alternative that was weighed against homes: the upstream of the session and two others at random,
// compared by the same estimate.
func chooseTwoRandom(g *Group, now time.Time, r Request) (Choice, bool) {
	b := &g.balance
	b.decisions++
	b.random = math.Float64bits(r.TieBreak) + b.decisions*0x9e3779b97f4a7c15
	g.prefixHashes = appendPrefixHashes(g.prefixHashes[:0], r.Parts)
	b.candidates = b.candidates[:0]
	for i := len(g.prefixHashes) - 1; i >= 0; i-- {
		if u := b.holder(g.prefixHashes[i]); u != nil {
			g.addCandidate(now, r, u)
			break
		}
	}
	g.addRandom(now, r, 2)
	if c, ok := g.cheapest(now, r, b.candidates, g.meanLoadPerSlot(now)); ok {
		return c, true
	}
	return g.chooseFallback(now, r, g.meanLoadPerSlot(now))
}

// chooseBounded is the alternative of hashing with a bound on the load: the first upstream in rendezvous order whose load is not
// above 1.15 times the mean.
func chooseBounded(g *Group, now time.Time, r Request) (Choice, bool) {
	b := &g.balance
	b.decisions++
	b.random = math.Float64bits(r.TieBreak) + b.decisions*0x9e3779b97f4a7c15
	g.prefixHashes = appendPrefixHashes(g.prefixHashes[:0], r.Parts)
	b.observe(now, g.prefixHashes)
	mean := g.meanLoadPerSlot(now)
	key := g.prefixHashes[min(1, len(g.prefixHashes)-1)]
	d := b.demands[key]
	if d.epoch != b.epoch {
		d.order, d.epoch = b.rendezvousOrder(d.order[:0], key), b.epoch
	}
	for _, i := range d.order {
		u := b.list[i]
		if !g.mayGet(now, r, u) {
			continue
		}
		c := g.estimateBalanced(now, candidate{u: u}, r, mean)
		if c.EstimatedRunning/float64(u.info.Slots) <= 1.15*max(mean, 0.1) {
			return c, true
		}
	}
	return g.chooseFallback(now, r, mean)
}

func newBalancedGroup() *Group {
	g := NewGroup(DefaultWeights())
	g.SetBalanced(true)
	return g
}

// faultyEngines is the number of engines with the fault of a case, of 50.
const faultyEngines = 3

// Load: 57 gateways in front of 50 engines, at about 0.5 and 0.9 of their capacity. A quarter of the programs has one prompt, and some
// gateways get several times the requests of others. Guards against shared prompt parts that many engines read, against an engine
// far above the mean load, and against engines with faults that get more than they can handle. The figures of the alternatives are
// logged; the bounds are for the balanced placement, with a margin for other seeds.
func TestManyGateways(t *testing.T) {
	cases := map[string]struct {
		faultOf         func(at time.Duration) fault
		reportsSlowdown bool
		maxReadAgain    [2]float64 // By load.
		maxBusiest      [2]float64
		maxFailedSends  [2]int
		faultyShare     [2]float64 // Bounds of the requests of a faulty engine relative to the mean.
	}{
		"no faults":     {maxReadAgain: [2]float64{0.12, 0.16}, maxBusiest: [2]float64{1.2, 1.15}, faultyShare: [2]float64{0.5, 1.5}},
		"slow, unknown": {faultOf: func(time.Duration) fault { return fault{slowdown: 5} }, maxReadAgain: [2]float64{0.12, 0.24}, maxBusiest: [2]float64{2, 1.5}, faultyShare: [2]float64{0.05, 0.35}},
		"slow, reported": {faultOf: func(time.Duration) fault { return fault{slowdown: 5} }, reportsSlowdown: true, maxReadAgain: [2]float64{0.12, 0.24},
			maxBusiest: [2]float64{1.35, 1.25}, faultyShare: [2]float64{0.03, 0.25}},
		"failing 0.45": {faultOf: func(time.Duration) fault { return fault{failing: 0.45} }, maxReadAgain: [2]float64{0.12, 0.24},
			maxBusiest: [2]float64{1.35, 1.25}, maxFailedSends: [2]int{220, 380}, faultyShare: [2]float64{0.05, 0.7}},
		"flapping": {faultOf: func(at time.Duration) fault { return fault{down: at/(1400*time.Millisecond)%2 == 1} }, maxReadAgain: [2]float64{0.12, 0.24},
			maxBusiest: [2]float64{1.35, 1.25}, maxFailedSends: [2]int{220, 320}, faultyShare: [2]float64{0.03, 0.4}},
		"away for 6 s, then cold for 3 s": {faultOf: func(at time.Duration) fault {
			switch {
			case at > 10*time.Second && at < 16*time.Second:
				return fault{down: true}
			case at > 16*time.Second && at < 19*time.Second:
				return fault{slowdown: 4}
			}
			return fault{}
		}, maxReadAgain: [2]float64{0.12, 0.24}, maxBusiest: [2]float64{1.35, 1.25}, maxFailedSends: [2]int{150, 190}, faultyShare: [2]float64{0.2, 0.85}},
	}
	variants := []struct {
		name     string
		newGroup func() *Group
		choose   func(g *Group, now time.Time, r Request) (Choice, bool)
	}{
		{"homes", newBalancedGroup, (*Group).Choose},
		{"two at random", newBalancedGroup, chooseTwoRandom},
		{"bounded hashing", newBalancedGroup, chooseBounded},
		{"one gateway's view", func() *Group { return NewGroup(DefaultWeights()) }, (*Group).Choose},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			for i, perSecond := range []float64{100, 145} {
				if i == 0 && c.faultOf != nil && !testing.Verbose() {
					continue // The higher load decides. With the race detector, each run takes 10 s of a processor.
				}
				for j, v := range variants {
					if j > 0 && !testing.Verbose() {
						continue
					}
					m := loadModel{gateways: 57, engines: 50, shares: skewedShares(57), perSecond: perSecond, duration: 30 * time.Second, hotShare: 0.25, seed: 1,
						reportsSlowdown: c.reportsSlowdown, newGroup: v.newGroup, choose: v.choose}
					m.faultOf = func(engine int, at time.Duration) fault {
						if engine >= faultyEngines || c.faultOf == nil {
							return fault{}
						}
						return c.faultOf(at)
					}
					result := m.run()
					faulty, all := 0, 0
					for e, n := range result.perEngine {
						all += n
						if e < faultyEngines {
							faulty += n
						}
					}
					faultyShare := float64(faulty) / faultyEngines / (float64(all) / 50)
					t.Logf("%-18s %.0f programs/s: %v, faulty engines get %.2f of the mean", v.name, perSecond, result, faultyShare)
					if j > 0 {
						continue
					}
					test.LessEq(t, c.maxReadAgain[i], result.readAgainShare())
					test.LessEq(t, c.maxBusiest[i], result.busiest)
					test.LessEq(t, c.maxFailedSends[i], result.failedSends)
					test.Between(t, c.faultyShare[0], faultyShare, c.faultyShare[1])
					test.EqOp(t, 0, result.lost)
				}
			}
		})
	}
}

// Load: callers that ask for 0.9, 1.2 and 1.8 times what the engines can serve, give up after 3 s, and return after a rejection if its
// Retry-After is within a third of their time left. Guards against a queue that delays or rejects requests while engines have room,
// against programs that fail late because first turns compete with their later turns, against long FIFO queues of the engines,
// and against rejections while an engine has a free slot.
func TestOverload(t *testing.T) {
	for _, perSecond := range []float64{145, 200, 300} {
		results := map[bool]loadResult{}
		for _, queued := range []bool{false, true} {
			if !queued && perSecond == 200 && !testing.Verbose() {
				continue // Only logged.
			}
			m := loadModel{gateways: 57, engines: 50, shares: skewedShares(57), perSecond: perSecond, duration: 20 * time.Second, hotShare: 0.25, seed: 1,
				timeout: 3 * time.Second, queued: queued, newGroup: newBalancedGroup, choose: (*Group).Choose}
			r := m.run()
			results[queued] = r
			t.Logf("%.0f programs/s, queue %v: %d programs complete, %d turns in time, %d late, first turns %d of %d, later turns %d of %d, rejected by gateways %d (%d with a free slot), by engines %d, callers gone %d, engine queue %.2f per slot, longest wait %d ms, busiest %.2f, read again %.3f",
				perSecond, queued, r.programs, r.inTime, r.late, r.firstTurns, r.firstOffered, r.laterTurns, r.laterOffered, r.shed, r.shedWithFreeSlots,
				r.rejections, r.lost, r.engineQueue, r.longestHeld.Milliseconds(), r.busiest, r.readAgainShare())
		}
		without, with := results[false], results[true]
		test.Less(t, 3*time.Second, with.longestHeld)
		test.LessEq(t, 0.05, float64(with.shedWithFreeSlots)/float64(max(with.shed, 1)))
		switch perSecond {
		case 145:
			test.EqOp(t, 0, with.shed)
			test.EqOp(t, 0, with.longestHeld)
			test.EqOp(t, without.programs, with.programs)
			test.EqOp(t, without.p99, with.p99)
		case 300:
			test.GreaterEq(t, without.programs*13/10, with.programs)
			test.LessEq(t, without.late/4, with.late)
			test.LessEq(t, without.rejections/100, with.rejections)
			test.LessEq(t, 0.9, with.engineQueue)
		}
	}
}

// Load: a shared prompt that many gateways see for the first time. Guards against gateways with different homes for it, also when
// their lists are in different orders.
func TestGatewaysAgreeOnHomes(t *testing.T) {
	chosen := map[string]bool{}
	for gateway := range 57 {
		g := newBalancedGroup()
		var list []Upstream
		for i := range 50 {
			list = append(list, Upstream{ID: fmt.Sprint("u", (i+gateway*7)%50), Slots: 8})
		}
		g.Update(list)
		for i := range 40 { // Other prompts, so that the share of the prompt is small.
			mustChoose(t, g, startTime, Request{Parts: []PromptPart{{fmt.Sprint("other", i), 4000}}})
		}
		parts := []PromptPart{{"system", 12000}, {fmt.Sprint("turn", gateway), 100}}
		c := mustChoose(t, g, startTime, Request{Parts: parts, TieBreak: float64(gateway) / 57})
		chosen[c.Upstream.ID] = true
	}
	test.LessEq(t, minHomes, len(chosen))
}

// Load: one prompt with a quarter of the traffic. Guards against few homes that are full while other upstreams are idle.
func TestHomesFollowDemand(t *testing.T) {
	g := newBalancedGroup()
	g.Update(newGroup(50, 8).infos())
	counts := map[string]int{}
	for i := range 400 {
		prompt := PromptPart{"hot", 8000}
		if i%4 != 0 {
			prompt.ID = fmt.Sprint("other", i%60)
		}
		r := Request{Parts: []PromptPart{prompt, {fmt.Sprint("turn", i), 100}}, TieBreak: float64(i%16) / 16}
		c := mustChoose(t, g, startTime.Add(time.Duration(i)*10*time.Millisecond), r)
		g.RecordStart(startTime, c.Upstream.ID, r.Parts)
		if prompt.ID == "hot" {
			counts[c.Upstream.ID]++
		}
	}
	test.GreaterEq(t, 10, len(counts), test.Sprintf("upstreams of the prompt in demand: %v", counts))
}

func (g *Group) infos() []Upstream {
	var list []Upstream
	for _, id := range g.ids {
		list = append(list, g.upstreams[id].info)
	}
	return list
}

func countChoices(t *testing.T, g *Group, now time.Time, id string, n int) int {
	t.Helper()
	count := 0
	for i := range n {
		if mustChoose(t, g, now, Request{TieBreak: float64(i) / float64(n)}).Upstream.ID == id {
			count++
		}
	}
	return count
}

// Load: an upstream comes back after failures, or is added. Guards against all gateways that send to it at once because it is
// idle, and against one that gets too few requests after the slow start.
func TestReturningUpstreamGetsFewRequestsAtFirst(t *testing.T) {
	const n = 1000
	for name, back := range map[string]func(g *Group) time.Time{
		"added": func(g *Group) time.Time {
			g.Update(append(g.infos(), Upstream{ID: "new", Slots: 8, RoundTrip: time.Millisecond}))
			return startTime
		},
		"after an ejection": func(g *Group) time.Time {
			g.RecordUnreachable(startTime, "new")
			return startTime.Add(DefaultWeights().InitialEjection)
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := newBalancedGroup()
			g.Update(newGroup(3, 8).infos())
			if name != "added" {
				g = newBalancedGroup()
				g.Update(append(newGroup(3, 8).infos(), Upstream{ID: "new", Slots: 8, RoundTrip: time.Millisecond}))
			}
			backAt := back(g)
			if name != "added" {
				test.EqOp(t, 0, countChoices(t, g, backAt.Add(-time.Millisecond), "new", n))
			}
			first := countChoices(t, g, backAt.Add(10*time.Millisecond), "new", n)
			test.Between(t, 1, first, n/10)
			middle := countChoices(t, g, backAt.Add(slowStart/2), "new", n)
			test.Between(t, first, middle, n/4)
			g.upstreams["new"].health.failureRate = 0
			test.Between(t, n/8, countChoices(t, g, backAt.Add(slowStart), "new", n), n/2)
		})
	}
}

// Load: an upstream fails every other request, so that it never fails twice in a row. Guards against a count of consecutive
// failures that does not see it, and against an upstream that is never tried again.
func TestFailureRateCountsBesidesSuccesses(t *testing.T) {
	g := newBalancedGroup()
	g.Update(newGroup(4, 8).infos())
	for i := range 12 {
		g.RecordStart(startTime, "u0", nil)
		g.RecordEnd(startTime, "u0", i%2 == 0, 100*time.Millisecond)
	}
	test.EqOp(t, 0, countChoices(t, g, startTime, "u0", 200))
	g.weights.EjectAfterFailures = 100
	later := startTime.Add(8 * failureHalfLife)
	test.Between(t, 10, countChoices(t, g, later, "u0", 200), 100)
}

// Load: an upstream that is down and up every 1.4 s and answers a request in each phase. Guards against ejections that stay short.
func TestFlappingUpstreamIsEjectedForLonger(t *testing.T) {
	g := newBalancedGroup()
	g.Update(newGroup(4, 8).infos())
	now := startTime
	ejection := func() time.Duration {
		g.RecordUnreachable(now, "u0")
		d := g.upstreams["u0"].ejectedUntil.Sub(now)
		now = now.Add(1400 * time.Millisecond)
		g.RecordEnd(now, "u0", false, 100*time.Millisecond)
		now = now.Add(1400 * time.Millisecond)
		return d
	}
	test.EqOp(t, 500*time.Millisecond, ejection())
	test.EqOp(t, time.Second, ejection())
	test.EqOp(t, 2*time.Second, ejection())
	now = now.Add(ejectionMemory)
	g.RecordEnd(now, "u0", false, 100*time.Millisecond)
	test.EqOp(t, 500*time.Millisecond, ejection(), test.Sprint("it has recovered"))
	g.SetBalanced(false)
	test.EqOp(t, time.Second, ejection())
	test.EqOp(t, 500*time.Millisecond, ejection(), test.Sprint("without the feature, a success ends the series"))
}

// Guards against no choice while an upstream may still get the request, against one that must not get it, and against memory that
// grows with the prompts.
func TestBalancedChoiceLimits(t *testing.T) {
	g := newBalancedGroup()
	_, ok := g.Choose(startTime, Request{Parts: []PromptPart{{"system", 1}}})
	must.False(t, ok)
	g.Update(newGroup(3, 1).infos())
	for _, id := range []string{"u0", "u1", "u2"} {
		g.RecordUnreachable(startTime, id)
	}
	_, ok = g.Choose(startTime, Request{})
	test.True(t, ok, test.Sprint("an ejected upstream is better than none"))
	c := mustChoose(t, g, startTime, Request{Excluded: map[string]bool{"u0": true, "u1": true}})
	test.EqOp(t, "u2", c.Upstream.ID)
	g.RecordLeaving(c.Upstream)
	_, ok = g.Choose(startTime, Request{Excluded: map[string]bool{"u0": true, "u1": true}})
	test.False(t, ok)
	for i := range maxHolders + 100 {
		parts := []PromptPart{{fmt.Sprint("p", i), 1}}
		g.balance.recordHolder(g.upstreams["u0"], parts)
		g.balance.observe(startTime, appendPrefixHashes(nil, parts))
	}
	test.LessEq(t, maxDemands, len(g.balance.demands))
	test.LessEq(t, maxHolders, len(g.balance.holders)+len(g.balance.olderHolders))
	g.Update(nil)
	test.MapEmpty(t, g.balance.olderHolders)
	test.MapEmpty(t, g.balance.holders, test.Sprint("upstreams that are gone are not retained"))
}

// Load: all engines are full. Guards against a request that waits while an engine has a free slot, also one that is not among the
// candidates, against a choice that hides that all are full, and against failing engines that get requests that could wait.
func TestFullUpstreams(t *testing.T) {
	g := newBalancedGroup()
	g.Update(newGroup(57, 8).infos())
	for _, id := range g.ids {
		g.RecordLoad(startTime, id, Load{Running: 8, Waiting: 5, Slots: 8})
	}
	test.True(t, mustChoose(t, g, startTime, Request{}).Full)
	g.RecordLoad(startTime, "u31", Load{Running: 8, Waiting: 1, Slots: 8})
	for i := range 3 {
		c := mustChoose(t, g, startTime, Request{})
		must.EqOp(t, "u31", c.Upstream.ID)
		test.False(t, c.Full)
		g.RecordStart(startTime, c.Upstream.ID, nil)
		must.EqOp(t, 9+i, int(c.EstimatedRunning))
	}
	c := mustChoose(t, g, startTime, Request{})
	test.True(t, c.Full)
	test.False(t, c.FailingHasRoom)
	later := startTime.Add(20 * time.Millisecond)
	for range 8 {
		g.RecordEnd(later, "u7", true, 0)
		g.upstreams["u7"].ejectedUntil = time.Time{}
	}
	g.upstreams["u7"].failedUntil = time.Time{}
	g.RecordLoad(later, "u7", Load{Slots: 8})
	c = mustChoose(t, g, later.Add(20*time.Millisecond), Request{})
	test.True(t, c.Full)
	test.True(t, c.FailingHasRoom)
	c = mustChoose(t, g, later.Add(20*time.Millisecond), Request{UseFailing: true})
	test.False(t, c.Full)
	test.EqOp(t, "u7", c.Upstream.ID)
}

// Guards against a choice that is slow when all upstreams are full and the lists of those with room are used.
func BenchmarkChooseFull(b *testing.B) {
	for _, n := range []int{57, 600} {
		b.Run(fmt.Sprint("upstreams=", n), func(b *testing.B) {
			g := newGroup(n, 8)
			g.SetBalanced(true)
			for i := range n {
				g.RecordLoad(startTime, fmt.Sprint("u", i), Load{Running: 8, Waiting: 5, Slots: 8})
			}
			parts := []PromptPart{{"system", 12000}, {"session", 8000}, {"turn", 100}}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now := startTime.Add(time.Duration(i) * time.Millisecond)
				g.RecordLoad(now, g.ids[i%n], Load{Running: 8, Waiting: 5, Slots: 8})
				g.Choose(now, Request{Parts: parts})
			}
		})
	}
}

// BenchmarkChooseBalanced measures a placement for many gateways among 57 and 600 upstreams.
func BenchmarkChooseBalanced(b *testing.B) {
	for _, n := range []int{57, 600} {
		for _, balanced := range []bool{false, true} {
			b.Run(fmt.Sprintf("upstreams=%d/balanced=%v", n, balanced), func(b *testing.B) {
				g := newGroup(n, 8)
				g.SetBalanced(balanced)
				for i := range n {
					g.RecordLoad(startTime, fmt.Sprint("u", i), Load{Running: i % 8, Slots: 8})
				}
				parts := make([][]PromptPart, 64)
				for i := range parts {
					parts[i] = []PromptPart{{fmt.Sprint("system", i%20), 12000}, {"tools", 2000}, {fmt.Sprint("session", i), 8000}, {"turn", 100}}
				}
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					now := startTime.Add(time.Duration(i) * time.Millisecond)
					g.Choose(now, Request{Parts: parts[i%64], TieBreak: float64(i%1024) / 1024})
				}
			})
		}
	}
}

// Load: gateways in two regions with a slow link between them. Guards against requests that cross the link while an upstream of the
// own region has room, and against requests that wait although one of another region has room.
func TestOtherRegionIsUsedWhenTheOwnIsFull(t *testing.T) {
	g := NewGroup(DefaultWeights())
	g.SetBalanced(true)
	var list []Upstream
	for i := range 20 {
		u := Upstream{ID: fmt.Sprint("u", i), Address: fmt.Sprint("10.0.0.", i), Slots: 4, RoundTrip: time.Millisecond}
		if i >= 10 {
			u.OtherRegion, u.RoundTrip = true, 25*time.Millisecond
		}
		list = append(list, u)
	}
	g.Update(list)
	parts := []PromptPart{{"system", 12000}, {"session", 800}}
	remote := func() bool {
		c, ok := g.Choose(startTime, Request{Parts: parts})
		must.True(t, ok)
		g.RecordStart(startTime, c.Upstream.ID, parts)
		return c.Upstream.OtherRegion
	}
	for i := range 25 {
		test.False(t, remote(), test.Sprint(i))
	}
	for i := range 10 {
		g.RecordLoad(startTime, fmt.Sprint("u", i), Load{Running: 4, Waiting: 20, Slots: 4})
	}
	for i := range 20 {
		test.True(t, remote(), test.Sprint(i))
	}
}
