package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// group is a set of issuers that exchange confirmations without delay.
type group struct {
	issuers map[string]*Issuer
	lost    map[string]bool
	now     time.Time
}

func newGroup(names ...string) *group {
	g := &group{issuers: map[string]*Issuer{}, lost: map[string]bool{}, now: epoch}
	for _, n := range names {
		g.issuers[n] = NewIssuer(n, 2, Tolerance{}, g.now)
		g.issuers[n].SetView(View{Version: 1, Sets: []Set{newSet(names)}}, g.now)
	}
	return g
}

// advance lets the issuers that are not lost exchange confirmations for a time.
func (g *group) advance(d time.Duration) {
	for end := g.now.Add(d); g.now.Before(end); g.now = g.now.Add(ConfirmInterval) {
		for name, i := range g.issuers {
			if g.lost[name] {
				continue
			}
			i.Tick(g.now)
			for _, m := range i.Members(g.now) {
				if peer, ok := g.issuers[m]; ok && !g.lost[m] {
					i.Receive(m, peer.Confirm(name, g.now), g.now, g.now)
				}
			}
		}
	}
}

// Guards against an issuer that issues before the leases of an earlier process or view have ended, or without a quorum, and
// against a share of lost issuers that nobody gets.
func TestShares(t *testing.T) {
	g := newGroup("a", "b", "c", "d", "e")
	g.advance(800 * time.Millisecond)
	test.False(t, g.issuers["a"].Available(g.now))
	g.advance(600 * time.Millisecond)
	test.InDelta(t, 0.2, g.issuers["a"].Share(g.now), 1e-9)

	g.lost["d"], g.lost["e"] = true, true
	g.advance(2400 * time.Millisecond)
	test.InDelta(t, 1.0/3, g.issuers["a"].Share(g.now), 1e-9)
	test.False(t, g.issuers["d"].Available(g.now))

	g.lost["d"] = false
	g.advance(400 * time.Millisecond)
	test.False(t, g.issuers["d"].Available(g.now), test.Sprint("while others still have its share"))
	g.advance(1600 * time.Millisecond)
	test.InDelta(t, 0.25, g.issuers["a"].Share(g.now), 1e-9)
	test.InDelta(t, 0.25, g.issuers["d"].Share(g.now), 1e-9)

	g.lost["b"], g.lost["c"], g.lost["d"] = true, true, true
	g.advance(1200 * time.Millisecond)
	test.False(t, g.issuers["a"].Available(g.now), test.Sprint("without a quorum"))
}

// Guards against a new member that issues beside the member that it replaces, and against members of both views that stop while
// the view changes.
func TestViewChange(t *testing.T) {
	g := newGroup("a", "b", "c")
	g.advance(1400 * time.Millisecond)
	old, next := newSet([]string{"a", "b", "c"}), newSet([]string{"a", "b", "d"})
	g.issuers["d"] = NewIssuer("d", 2, Tolerance{}, g.now.Add(-time.Minute))
	changing := View{Version: 2, Sets: []Set{old, next}}
	for _, name := range []string{"a", "b", "d"} {
		g.issuers[name].SetView(changing, g.now)
	}
	for range 4 {
		g.advance(ConfirmInterval)
		test.True(t, g.issuers["a"].Available(g.now))
		test.False(t, g.issuers["d"].Available(g.now))
	}
	// The issuer c has not learned of the view. Its lease has ended before d issues.
	g.advance(400 * time.Millisecond)
	test.False(t, g.issuers["c"].Available(g.now))
	g.advance(2 * time.Second)
	test.True(t, g.issuers["d"].Available(g.now))
	test.InDelta(t, 1.0/3, g.issuers["d"].Share(g.now), 1e-9, test.Sprint("c is excluded by now"))
	for _, name := range []string{"a", "b", "d"} {
		g.issuers[name].SetView(View{Version: 3, Sets: []Set{next}}, g.now)
	}
	g.advance(ConfirmInterval)
	test.True(t, g.issuers["a"].Available(g.now))
}

// Guards against a burst above the capacity of a bucket, against a lost rate, and against a limit of an older configuration.
func TestIssue(t *testing.T) {
	g := newGroup("a")
	g.advance(1200 * time.Millisecond)
	i := g.issuers["a"]
	g.advance(20 * time.Second)
	l := Limit{RatePerSecond: 10, Burst: 30, Version: 5}
	for _, tc := range []struct {
		wait, units, want int
		limit             Limit
	}{
		{0, 100, 30, l},
		{1, 100, 10, l},
		{60, 20, 20, l},
		{0, 20, 10, l},
		{60, 100, 8, Limit{RatePerSecond: 4, Burst: 8, Version: 6}},
		{1, 100, 4, l}, // Version 5 is older.
	} {
		g.advance(time.Duration(tc.wait) * time.Second)
		issued, retryAfter := i.Issue(g.now.Add(-ConfirmInterval/2), "o", tc.limit, tc.units)
		test.EqOp(t, tc.want, issued, test.Sprintf("%+v", tc))
		test.EqOp(t, issued < tc.units, retryAfter > 0)
		test.LessEq(t, time.Second, retryAfter)
	}
}

// Guards against more than maxBuckets organisations in memory.
func TestBucketsAreBounded(t *testing.T) {
	g := newGroup("a")
	g.advance(1400 * time.Millisecond)
	i := g.issuers["a"]
	for n := range maxBuckets + 10 {
		i.Issue(g.now, fmt.Sprint("o", n), Limit{RatePerSecond: 1, Burst: 1, Version: 1}, 1)
	}
	test.EqOp(t, maxBuckets, len(i.buckets))
	g.advance(5 * time.Second) // The buckets are full and can be dropped.
	issued, _ := i.Issue(g.now.Add(-ConfirmInterval/2), "another", Limit{RatePerSecond: 1, Burst: 1, Version: 1}, 1)
	test.EqOp(t, 1, issued)
	test.LessEq(t, maxBuckets, len(i.buckets))
}

// Guards against units that are used after their time, that are lost when they are returned, or that last longer because an
// answer was slow.
func TestAllowanceUnits(t *testing.T) {
	a := NewAllowance(200 * time.Millisecond)
	a.SetLimit(Limit{RatePerSecond: 10, Burst: 10, Version: 1})
	at := func(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }
	a.Granted(at(150), at(0), "a", 2, 0)
	a.Granted(at(160), at(100), "b", 1, 0)
	expires, ok := a.Take(at(199))
	must.True(t, ok)
	test.EqOp(t, at(200), expires)
	must.True(t, a.Return(at(199), expires))
	test.EqOp(t, 3, a.Held(at(199)))
	test.EqOp(t, 1, a.Held(at(200)))
	test.False(t, a.Return(at(200), expires))
	a.Granted(at(400), at(150), "a", 5, 0)
	test.EqOp(t, 0, a.Held(at(400)))
	test.EqOp(t, uint64(8), a.TakeExpired())
}

// Guards against a call for each request under load, against calls to issuers that have stated that none is left, and against a
// refusal with the wrong cause.
func TestAllowanceAsks(t *testing.T) {
	order := []string{"a", "b", "c"}
	a := NewAllowance(200 * time.Millisecond)
	a.SetLimit(Limit{RatePerSecond: 100, Burst: 10, Version: 1})
	now := epoch
	for range 400 {
		now = now.Add(5 * time.Millisecond)
		a.Arrive(now)
	}
	issuer, units, ok := a.Next(now, order, 1)
	must.True(t, ok)
	test.EqOp(t, "a", issuer)
	test.EqOp(t, 11, units, test.Sprint("the waiting request, and 100 ms at the limit"))
	a.Granted(now, now, "a", 3, 50*time.Millisecond)
	issuer, units, ok = a.Next(now, order, 4)
	must.True(t, ok)
	test.EqOp(t, "b", issuer)
	test.EqOp(t, 11, units)
	a.Unreachable(now, "b")
	issuer, _, _ = a.Next(now, order, 4)
	test.EqOp(t, "c", issuer)
	a.Granted(now, now, "c", 0, 30*time.Millisecond)
	_, _, ok = a.Next(now, order, 4)
	test.False(t, ok)
	retryAfter, overLimit := a.Refusal(now, order, 2)
	test.True(t, overLimit)
	test.EqOp(t, 50*time.Millisecond, retryAfter)
	a.EndRound()
	_, _, ok = a.Next(now, order, 4)
	test.False(t, ok, test.Sprint("the time that they stated is not over"))

	a = NewAllowance(200 * time.Millisecond)
	for range order {
		issuer, _, ok := a.Next(now, order, 1)
		must.True(t, ok)
		a.Unreachable(now, issuer)
	}
	_, overLimit = a.Refusal(now, order, 0)
	test.False(t, overLimit)
}

// BenchmarkIssue is the cost of one decision of an issuer with 4,500 organisations.
func BenchmarkIssue(b *testing.B) {
	g := newGroup("a", "b", "c", "d", "e")
	g.advance(1400 * time.Millisecond)
	names := make([]string, 4500)
	for n := range names {
		names[n] = fmt.Sprint("organisation-", n)
	}
	i, l, n := g.issuers["a"], Limit{RatePerSecond: 50, Burst: 50, Version: 1}, 0
	b.ReportAllocs()
	for b.Loop() {
		i.Issue(g.now, names[n%len(names)], l, 1)
		n++
	}
}

// BenchmarkTake is the cost of a request whose gateway holds units.
func BenchmarkTake(b *testing.B) {
	a := NewAllowance(time.Hour)
	a.SetLimit(Limit{RatePerSecond: 100, Burst: 100, Version: 1})
	a.Granted(epoch, epoch, "a", 100, 0)
	b.ReportAllocs()
	for b.Loop() {
		a.Arrive(epoch)
		expires, _ := a.Take(epoch)
		a.Return(epoch, expires)
	}
}

// BenchmarkConfirm is the cost of one confirmation at the member that gives it and at the one that receives it.
func BenchmarkConfirm(b *testing.B) {
	g := newGroup("a", "b", "c", "d", "e")
	g.advance(1400 * time.Millisecond)
	now := g.now
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Microsecond)
		g.issuers["a"].Receive("b", g.issuers["b"].Confirm("a", now), now, now)
	}
}
