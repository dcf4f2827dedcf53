package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// Guards against an upstream that is suspected because of the link of one VM, because of reports that lie far apart, or because
// of an earlier process with the same ID.
func TestSuspicionNeedsSeveralReporters(t *testing.T) {
	s := NewSuspicions()
	p := Process{ID: "u0", StartMillis: 1}
	for i := range 10 {
		test.False(t, s.Report(startTime.Add(time.Duration(i)*10*time.Millisecond), "vm-0", p))
	}
	test.False(t, s.Report(startTime.Add(reportWindow+time.Second), "vm-1", p))
	test.False(t, s.Report(startTime.Add(reportWindow+time.Second), "vm-0", Process{ID: "u0", StartMillis: 2}))
	test.True(t, s.Report(startTime.Add(reportWindow+2*time.Second), "vm-2", p))
	for i := range maxReportedProcesses + 100 {
		s.Report(startTime, "vm-0", Process{ID: fmt.Sprint("other-", i)})
	}
	test.LessEq(t, maxReportedProcesses, len(s.reports))
	test.False(t, s.Report(startTime.Add(time.Hour), "vm-0", Process{ID: "new"}))
	test.MapLen(t, 1, s.reports, test.Sprint("expired reports make room"))
}

// Guards against requests to an upstream that other VMs cannot reach, against a suspicion that outlasts a success or the process,
// and against suspicions that leave too few upstreams.
func TestSuspectedUpstreamIsExcluded(t *testing.T) {
	g := newGroup(6, 8)
	suspect := func(ids ...string) {
		for _, id := range ids {
			g.Suspect(startTime.Add(time.Second), Process{ID: id})
		}
	}
	chosen := func(now time.Time) map[string]bool {
		ids := map[string]bool{}
		for i := range 60 {
			ids[mustChoose(t, g, now, Request{TieBreak: float64(i) / 60}).Upstream.ID] = true
		}
		return ids
	}
	suspect("u0", "u1", "gone")
	test.MapLen(t, 4, chosen(startTime))
	test.MapLen(t, 6, chosen(startTime.Add(time.Second)))
	g.RecordStart(startTime, "u0", nil)
	g.RecordEnd(startTime, "u0", false, time.Millisecond)
	test.MapLen(t, 5, chosen(startTime), test.Sprint("the upstream has responded to this VM"))
	suspect("u0", "u1", "u2")
	test.MapLen(t, 6, chosen(startTime), test.Sprint("the cause is on the way"))
	g.Suspect(startTime.Add(time.Second), Process{ID: "u3", StartMillis: 5})
	g = newGroup(2, 8)
	suspect("u0", "u1")
	_, ok := g.Choose(startTime, Request{Excluded: map[string]bool{"u1": true}})
	test.True(t, ok)
}

// Guards against fifty gateways that each send several requests to an upstream that is gone before they leave it. The pattern: an
// engine dies under streams of fifty gateways, each of which sends it few requests.
func TestEngineDiesUnderStreamsOfFiftyGateways(t *testing.T) {
	const (
		gateways = 50
		engines  = 10
		interval = 4 * time.Millisecond // Time between two requests of all gateways.
		detect   = time.Second          // Time until a gateway notices that the engine is gone.
		away     = 4 * time.Second
	)
	lostRequests := func(shares bool) int {
		groups := make([]*Group, gateways)
		for i := range groups {
			groups[i] = newGroup(engines, 8)
		}
		s := NewSuspicions()
		random := rand.New(rand.NewPCG(1, 2))
		type failure struct {
			at      time.Time
			gateway int
		}
		var failures []failure
		lost := 0
		for n := range int(away / interval) {
			now := startTime.Add(time.Duration(n) * interval)
			for len(failures) > 0 && !now.Before(failures[0].at) {
				f := failures[0]
				failures = failures[1:]
				groups[f.gateway].RecordUnreachable(now, "u0")
				if shares && s.Report(now, fmt.Sprint(f.gateway), Process{ID: "u0"}) {
					for _, g := range groups {
						g.Suspect(now.Add(SuspicionDuration), Process{ID: "u0"})
					}
				}
			}
			gateway := random.IntN(gateways)
			c := mustChoose(t, groups[gateway], now, Request{TieBreak: random.Float64()})
			groups[gateway].RecordStart(now, c.Upstream.ID, nil)
			if c.Upstream.ID == "u0" {
				lost++
				failures = append(failures, failure{now.Add(detect), gateway})
				continue
			}
			groups[gateway].RecordEnd(now, c.Upstream.ID, false, 100*time.Millisecond)
		}
		return lost
	}
	alone, together := lostRequests(false), lostRequests(true)
	t.Logf("requests to the engine that is gone: %d alone, %d with shared reports", alone, together)
	must.Positive(t, alone)
	test.LessEq(t, alone*6/10, together)
}
