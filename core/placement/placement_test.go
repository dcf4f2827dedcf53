package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

var t0 = time.Unix(1_000_000, 0)

func group(n, slots int) *Group {
	g := NewGroup(DefaultWeights())
	var list []Upstream
	for i := range n {
		list = append(list, Upstream{ID: fmt.Sprint("u", i), Address: fmt.Sprint("10.0.0.", i), Slots: slots, RoundTrip: time.Millisecond})
	}
	g.Update(list)
	return g
}

func choose(t *testing.T, g *Group, now time.Time, r Request) Choice {
	t.Helper()
	c, ok := g.Choose(now, r)
	must.True(t, ok)
	return c
}

// Pattern: a burst of equal requests at one daemon. Guards against a herd on one upstream.
func TestBurstSpreads(t *testing.T) {
	g := group(4, 8)
	counts := map[string]int{}
	for range 32 {
		c := choose(t, g, t0, Request{})
		g.RecordStart(t0, c.Upstream.ID, nil)
		counts[c.Upstream.ID]++
	}
	for id, n := range counts {
		test.EqOp(t, 8, n, test.Sprint(id))
	}
}

// Pattern: other daemons have filled an upstream. Guards against work for it while others are free, and against a report that
// counts for ever.
func TestReportedLoadCountsWhileItIsFresh(t *testing.T) {
	g := group(2, 8)
	g.RecordLoad(t0, "u0", Load{Running: 8, Waiting: 4, Slots: 8})
	g.RecordLoad(t0, "u1", Load{Running: 1, Slots: 8})
	for range 5 {
		c := choose(t, g, t0.Add(50*time.Millisecond), Request{})
		test.EqOp(t, "u1", c.Upstream.ID)
		g.RecordStart(t0, c.Upstream.ID, nil)
	}
	later := t0.Add(10 * time.Second)
	test.EqOp(t, "u0", choose(t, g, later, Request{}).Upstream.ID, test.Sprint("an old report says nothing"))
}

// Pattern: turns that continue a long prompt. Guards against prompts that are read again although an engine has them, and
// against a queue behind the one engine that has them.
func TestPromptsStayUntilTheQueueCostsMore(t *testing.T) {
	g := group(3, 2)
	parts := []PromptPart{{"system", 12000}, {"session", 8000}}
	g.RecordStart(t0, "u2", parts)
	g.RecordEnd(t0, "u2", false, 200*time.Millisecond)
	c := choose(t, g, t0, Request{Parts: parts})
	test.EqOp(t, "u2", c.Upstream.ID)
	test.EqOp(t, 0, c.MissingTokens)
	for range 4 {
		g.RecordStart(t0, "u2", nil)
	}
	test.NotEq(t, "u2", choose(t, g, t0, Request{Parts: parts}).Upstream.ID)
}

// Pattern: a part of a prompt behind another beginning. Guards against a part that counts as read without the parts before it.
func TestPartCountsOnlyBehindItsPrefix(t *testing.T) {
	var s partSet
	missing := func(parts ...PromptPart) int64 { return s.missing(parts, prefixes(nil, parts)) }
	s.add(t0, []PromptPart{{"a", 10}, {"b", 20}})
	test.EqOp(t, 0, missing(PromptPart{"a", 10}, PromptPart{"b", 20}))
	test.EqOp(t, 5, missing(PromptPart{"a", 10}, PromptPart{"b", 20}, PromptPart{"c", 5}))
	test.EqOp(t, 25, missing(PromptPart{"c", 5}, PromptPart{"b", 20}))
	for i := range 3 * maxParts {
		s.add(t0.Add(time.Duration(i)*time.Second), []PromptPart{{fmt.Sprint(i), 1}})
	}
	test.LessEq(t, maxParts, len(s.used), test.Sprint("memory is bounded"))
}

// Pattern: an upstream that flaps. Guards against requests that it fails one after the other, and against one that is never
// tried again, or against a refusal when no other is left.
func TestFailingUpstreamIsAvoidedForATime(t *testing.T) {
	g := group(2, 8)
	for range 2 {
		g.RecordStart(t0, "u0", nil)
		g.RecordEnd(t0, "u0", true, 0)
	}
	for i := range 20 {
		test.EqOp(t, "u1", choose(t, g, t0, Request{TieBreak: float64(i) / 20}).Upstream.ID)
	}
	g.RecordStart(t0, "u1", nil)
	test.EqOp(t, "u0", choose(t, g, t0.Add(time.Second), Request{}).Upstream.ID)
	test.EqOp(t, "u0", choose(t, g, t0, Request{Excluded: map[string]bool{"u1": true}}).Upstream.ID)
	_, ok := g.Choose(t0, Request{Excluded: map[string]bool{"u0": true, "u1": true}})
	test.False(t, ok)
}

// Pattern: upstreams that leave or are replaced under one name. Guards against work for one that leaves, and against the load
// and prompts of an earlier process that count for its successor.
func TestListChanges(t *testing.T) {
	g := group(2, 8)
	parts := []PromptPart{{"system", 12000}}
	g.RecordStart(t0, "u0", parts)
	g.Update([]Upstream{{ID: "u0", Address: "10.0.0.0", Slots: 8, StartMillis: 2}, {ID: "u1", Address: "10.0.0.1", Slots: 8, Draining: true}})
	c := choose(t, g, t0, Request{Parts: parts})
	test.EqOp(t, "u0", c.Upstream.ID)
	test.EqOp(t, 12000, c.MissingTokens)
	test.EqOp(t, 0, c.EstimatedRunning)
	g.RecordEnd(t0, "u0", false, time.Millisecond)
	g.RecordEnd(t0, "gone", true, 0)
	test.EqOp(t, 0, choose(t, g, t0, Request{}).EstimatedRunning, test.Sprint("the end of an earlier request takes nothing off"))
}

// Pattern: one region empty, the other full. Guards against a queue in the own region while the other one is idle, and against
// long ways without a reason.
func TestDistanceAgainstQueue(t *testing.T) {
	g := NewGroup(DefaultWeights())
	g.Update([]Upstream{{ID: "near", Slots: 4, RoundTrip: time.Millisecond}, {ID: "far", Slots: 4, RoundTrip: 25 * time.Millisecond}})
	far := 0
	for range 10 {
		c := choose(t, g, t0, Request{})
		g.RecordStart(t0, c.Upstream.ID, nil)
		if c.Upstream.ID == "far" {
			far++
		}
	}
	test.Between(t, 2, far, 6)
	test.EqOp(t, "near", choose(t, func() *Group {
		g := NewGroup(DefaultWeights())
		g.Update([]Upstream{{ID: "near", Slots: 4, RoundTrip: time.Millisecond}, {ID: "far", Slots: 4, RoundTrip: 25 * time.Millisecond}})
		return g
	}(), t0, Request{}).Upstream.ID)
}

// BenchmarkChoose bounds the cost of a placement at the target size.
func BenchmarkChoose(b *testing.B) {
	g := group(600, 8)
	parts := []PromptPart{{"system", 12000}, {"session", 8000}, {"turn", 100}}
	for i := range 600 {
		g.RecordLoad(t0, fmt.Sprint("u", i), Load{Running: i % 8, Slots: 8})
	}
	b.ReportAllocs()
	for b.Loop() {
		g.Choose(t0, Request{Parts: parts})
	}
}
