package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"jackdawbay.dev/core/streamversion"
)

var startTime = time.Unix(1_000_000, 0)

func newGroup(n, slots int) *Group {
	g := NewGroup(DefaultWeights())
	var list []Upstream
	for i := range n {
		list = append(list, Upstream{ID: fmt.Sprint("u", i), Address: fmt.Sprint("10.0.0.", i), Slots: slots, RoundTrip: time.Millisecond})
	}
	g.Update(list)
	return g
}

func mustChoose(t *testing.T, g *Group, now time.Time, r Request) Choice {
	t.Helper()
	c, ok := g.Choose(now, r)
	must.True(t, ok)
	return c
}

// Guards against a burst of equal requests that all go to one upstream.
func TestBurstSpreadsOverUpstreams(t *testing.T) {
	g := newGroup(4, 8)
	counts := map[string]int{}
	for range 32 {
		c := mustChoose(t, g, startTime, Request{})
		g.RecordStart(startTime, c.Upstream.ID, nil)
		counts[c.Upstream.ID]++
	}
	for id, n := range counts {
		test.EqOp(t, 8, n, test.Sprint(id))
	}
}

// Guards against an upstream of another version than the one that a stream needs, and against no choice while one of it serves,
// however few they are and however much they have failed.
func TestChoiceIsRestrictedToVersion(t *testing.T) {
	for _, balanced := range []bool{false, true} {
		g := NewGroup(DefaultWeights())
		g.SetBalanced(balanced)
		var list []Upstream
		for i := range 40 {
			u := Upstream{ID: fmt.Sprint("u", i), Address: fmt.Sprint("10.0.0.", i), Slots: 8, Version: "v2", OtherRegion: i%2 == 0}
			if i == 7 || i == 8 {
				u.Version = "v1"
			}
			list = append(list, u)
		}
		g.Update(list)
		parts := []PromptPart{{"system", 1000}, {"session", 10}}
		for i := range 200 {
			now := startTime.Add(time.Duration(i) * time.Millisecond)
			g.RecordStart(now, mustChoose(t, g, now, Request{Parts: parts}).Upstream.ID, parts)
			c := mustChoose(t, g, now, Request{Parts: parts, Version: streamversion.To("v1")})
			must.EqOp(t, "v1", c.Upstream.Version)
			g.RecordStart(now, c.Upstream.ID, parts)
			if i%10 == 0 {
				g.RecordUnreachable(now, c.Upstream.ID)
			}
			_, ok := g.Choose(now, Request{Parts: parts, Version: streamversion.To("")})
			must.False(t, ok)
		}
		g.RecordLeaving(list[7])
		c := mustChoose(t, g, startTime, Request{Version: streamversion.To("v1")})
		test.EqOp(t, "u8", c.Upstream.ID)
		_, ok := g.Choose(startTime, Request{Version: streamversion.To("v1"), Excluded: map[string]bool{"u8": true}})
		test.False(t, ok)
		accepting := 0
		for _, v := range g.Versions() {
			if v.Version == "v1" && v.Accepts {
				accepting++
			}
		}
		test.EqOp(t, 1, accepting)
		test.True(t, g.AcceptsRepeat(list[8]))
		list[8].Version = "v2"
		test.False(t, g.AcceptsRepeat(list[8]), test.Sprint("another version under the same ID"))
	}
}

// Guards against requests to an upstream that other daemons have filled while another one has free slots, and against a
// reported load that never expires.
func TestReportedLoadDecays(t *testing.T) {
	g := newGroup(2, 8)
	g.RecordLoad(startTime, "u0", Load{Running: 8, Waiting: 4, Slots: 8})
	g.RecordLoad(startTime, "u1", Load{Running: 1, Slots: 8})
	for range 5 {
		c := mustChoose(t, g, startTime.Add(50*time.Millisecond), Request{})
		test.EqOp(t, "u1", c.Upstream.ID)
		g.RecordStart(startTime, c.Upstream.ID, nil)
	}
	later := startTime.Add(10 * time.Second)
	test.EqOp(t, "u0", mustChoose(t, g, later, Request{}).Upstream.ID, test.Sprint("an old report must not affect the choice"))
}

// Load: a VM shared with other work slows an engine down for a moment. Guards against requests that go there although another
// engine works at its usual speed, and against avoiding it after the moment has passed.
func TestSlowUpstreamGetsFewerRequests(t *testing.T) {
	g := newGroup(2, 8)
	g.RecordLoad(startTime, "u0", Load{Slots: 8, Slowdown: 3})
	g.RecordLoad(startTime, "u1", Load{Running: 3, Slots: 8, Slowdown: 1})
	test.EqOp(t, "u1", mustChoose(t, g, startTime.Add(10*time.Millisecond), Request{}).Upstream.ID)
	g.RecordLoad(startTime.Add(time.Second), "u1", Load{Running: 3, Slots: 8, Slowdown: 1})
	test.EqOp(t, "u0", mustChoose(t, g, startTime.Add(time.Second), Request{}).Upstream.ID)
}

// Guards against processing a long prompt again although an engine has cached it, and against queueing at the only engine
// that has cached it.
func TestPrefixAffinityYieldsToQueueing(t *testing.T) {
	g := newGroup(3, 2)
	parts := []PromptPart{{"system", 12000}, {"session", 8000}}
	g.RecordStart(startTime, "u2", parts)
	g.RecordEnd(startTime, "u2", false, 200*time.Millisecond)
	c := mustChoose(t, g, startTime, Request{Parts: parts})
	test.EqOp(t, "u2", c.Upstream.ID)
	test.EqOp(t, 0, c.MissingTokens)
	for range 4 {
		g.RecordStart(startTime, "u2", nil)
	}
	test.NotEq(t, "u2", mustChoose(t, g, startTime, Request{Parts: parts}).Upstream.ID)
}

// Guards against a prompt part that counts as cached without the parts before it.
func TestPartIsCachedOnlyWithItsPrefix(t *testing.T) {
	var cache prefixCache
	missing := func(parts ...PromptPart) int64 { return cache.missingTokens(parts, appendPrefixHashes(nil, parts)) }
	cache.add(startTime, []PromptPart{{"a", 10}, {"b", 20}})
	test.EqOp(t, 0, missing(PromptPart{"a", 10}, PromptPart{"b", 20}))
	test.EqOp(t, 5, missing(PromptPart{"a", 10}, PromptPart{"b", 20}, PromptPart{"c", 5}))
	test.EqOp(t, 25, missing(PromptPart{"c", 5}, PromptPart{"b", 20}))
	for i := range 3 * maxPrefixes {
		cache.add(startTime.Add(time.Duration(i)*time.Second), []PromptPart{{fmt.Sprint(i), 1}})
	}
	test.LessEq(t, maxPrefixes, len(cache.lastUsed), test.Sprint("the cache size must be bounded"))
}

// Guards against repeated requests to a failing upstream, against one that is never used again, and against a rejection
// when no other upstream is left.
func TestFailingUpstreamIsEjected(t *testing.T) {
	g := newGroup(2, 8)
	for range 2 {
		g.RecordStart(startTime, "u0", nil)
		g.RecordEnd(startTime, "u0", true, 0)
	}
	for i := range 20 {
		test.EqOp(t, "u1", mustChoose(t, g, startTime, Request{TieBreak: float64(i) / 20}).Upstream.ID)
	}
	g.RecordStart(startTime, "u1", nil)
	test.EqOp(t, "u0", mustChoose(t, g, startTime.Add(time.Second), Request{}).Upstream.ID)
	test.EqOp(t, "u0", mustChoose(t, g, startTime, Request{Excluded: map[string]bool{"u1": true}}).Upstream.ID)
	_, ok := g.Choose(startTime, Request{Excluded: map[string]bool{"u0": true, "u1": true}})
	test.False(t, ok)
}

// Guards against requests to a draining upstream, and against the load and prompts of an earlier process that count for its
// successor with the same ID.
func TestUpdateReplacesUpstreams(t *testing.T) {
	g := newGroup(2, 8)
	parts := []PromptPart{{"system", 12000}}
	g.RecordStart(startTime, "u0", parts)
	g.Update([]Upstream{{ID: "u0", Address: "10.0.0.0", Slots: 8, StartMillis: 2}, {ID: "u1", Address: "10.0.0.1", Slots: 8, Draining: true}})
	c := mustChoose(t, g, startTime, Request{Parts: parts})
	test.EqOp(t, "u0", c.Upstream.ID)
	test.EqOp(t, 12000, c.MissingTokens)
	test.EqOp(t, 0, c.EstimatedRunning)
	g.RecordEnd(startTime, "u0", false, time.Millisecond)
	g.RecordEnd(startTime, "gone", true, 0)
	test.EqOp(t, 0, mustChoose(t, g, startTime, Request{}).EstimatedRunning, test.Sprint("the end of an earlier request must not reduce the count"))
}

// Guards against requests for one object that go to an upstream which has not handled it, and against waiting for the one that
// has while another one is idle.
func TestAffinityYieldsToQueueing(t *testing.T) {
	g := newGroup(4, 2)
	parts := WithAffinity(nil, "order-7")
	first := mustChoose(t, g, startTime, Request{Parts: parts}).Upstream.ID
	g.RecordStart(startTime, first, parts)
	g.RecordEnd(startTime, first, false, 0)
	for i := range 10 {
		test.EqOp(t, first, mustChoose(t, g, startTime, Request{Parts: parts, TieBreak: float64(i) / 10}).Upstream.ID)
	}
	for range 2 {
		g.RecordStart(startTime, first, nil)
	}
	test.NotEqOp(t, first, mustChoose(t, g, startTime, Request{Parts: parts}).Upstream.ID)
	prompt := []PromptPart{{"system", 12000}}
	test.Eq(t, prompt, WithAffinity(prompt, "order-7"), test.Sprint("the prompt of an engine weighs more"))
	test.Nil(t, WithAffinity(nil, ""))
}

// Guards against requests to an upstream that has stated that it leaves: after a failure elsewhere, when its entry lapses and
// returns, and beside a successor with the same ID, which must get requests.
func TestLeavingUpstreamIsExcluded(t *testing.T) {
	g := newGroup(2, 8)
	first := mustChoose(t, g, startTime, Request{}).Upstream
	other := map[string]string{"u0": "u1", "u1": "u0"}[first.ID]
	test.True(t, g.RecordLeaving(first))
	test.False(t, g.RecordLeaving(first))
	test.EqOp(t, other, mustChoose(t, g, startTime, Request{}).Upstream.ID)
	_, ok := g.Choose(startTime, Request{Excluded: map[string]bool{other: true}})
	test.False(t, ok, test.Sprint("no upstream is better than one that leaves"))
	g.Update(nil)
	g.Update([]Upstream{first})
	_, ok = g.Choose(startTime, Request{})
	test.False(t, ok, test.Sprint("the entry of the same process has returned"))
	successor := first
	successor.StartMillis++
	g.Update([]Upstream{successor})
	test.EqOp(t, first.ID, mustChoose(t, g, startTime, Request{}).Upstream.ID)
	test.False(t, g.RecordLeaving(first), test.Sprint("a late response of the earlier process"))
	test.EqOp(t, first.ID, mustChoose(t, g, startTime, Request{}).Upstream.ID)
}

// Guards against queueing in the own region while another region is idle, and against requests to a distant region without
// need.
func TestRoundTripAgainstQueueing(t *testing.T) {
	g := NewGroup(DefaultWeights())
	g.Update([]Upstream{{ID: "near", Slots: 4, RoundTrip: time.Millisecond}, {ID: "far", Slots: 4, RoundTrip: 25 * time.Millisecond}})
	far := 0
	for range 10 {
		c := mustChoose(t, g, startTime, Request{})
		g.RecordStart(startTime, c.Upstream.ID, nil)
		if c.Upstream.ID == "far" {
			far++
		}
	}
	test.Between(t, 2, far, 6)
	test.EqOp(t, "near", mustChoose(t, func() *Group {
		g := NewGroup(DefaultWeights())
		g.Update([]Upstream{{ID: "near", Slots: 4, RoundTrip: time.Millisecond}, {ID: "far", Slots: 4, RoundTrip: 25 * time.Millisecond}})
		return g
	}(), startTime, Request{}).Upstream.ID)
}

// BenchmarkChoose measures a placement among 600 upstreams, the target size.
func BenchmarkChoose(b *testing.B) {
	g := newGroup(600, 8)
	parts := []PromptPart{{"system", 12000}, {"session", 8000}, {"turn", 100}}
	for i := range 600 {
		g.RecordLoad(startTime, fmt.Sprint("u", i), Load{Running: i % 8, Slots: 8})
	}
	b.ReportAllocs()
	for b.Loop() {
		g.Choose(startTime, Request{Parts: parts})
	}
}
