package hedge

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

var startTime = time.Unix(1_000_000, 0)

// newPolicy returns a policy with credit that has observed a route with times of 10 to 109 ms.
func newPolicy(share float64) *Policy {
	p := New(share)
	for i := range 100 {
		p.CountRequest()
		p.Observe(startTime, "r", time.Duration(10+i)*time.Millisecond)
	}
	return p
}

func repeatable() Request {
	return Request{Route: "r", Repeatable: true, UpstreamsLeft: 1, TimeToDeadline: time.Second}
}

// Guards against a second attempt of a request that may run only once, beyond the attempts of the route, or without knowledge
// of the usual response time, and against one that cannot end before the deadline.
func TestDelay(t *testing.T) {
	cases := map[string]struct {
		share  float64
		change func(r *Request)
		want   Reason
	}{
		"allowed":             {0.1, func(*Request) {}, ""},
		"no share":            {0, func(*Request) {}, Disabled},
		"may run once only":   {0.1, func(r *Request) { r.Repeatable = false }, NotRepeatable},
		"no further upstream": {0.1, func(r *Request) { r.UpstreamsLeft = 0 }, AttemptsUsed},
		"unknown route":       {0.1, func(r *Request) { r.Route = "other" }, FewObservations},
		"deadline too near":   {0.1, func(r *Request) { r.TimeToDeadline = 120 * time.Millisecond }, DeadlineTooClose},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p, r := newPolicy(c.share), repeatable()
			c.change(&r)
			delay, reason := p.Delay(startTime, r)
			test.EqOp(t, c.want, reason)
			if reason == "" {
				test.Between(t, 95*time.Millisecond, delay, 115*time.Millisecond)
			}
		})
	}
}

// Guards against second attempts right after a restart, and against a delay that still follows the load of a minute ago.
func TestObservationsExpire(t *testing.T) {
	p := New(0.1)
	for i := range MinObservations {
		_, reason := p.Delay(startTime, repeatable())
		test.EqOp(t, FewObservations, reason, test.Sprint(i))
		p.Observe(startTime, "r", 20*time.Millisecond)
	}
	_, reason := p.Delay(startTime, repeatable())
	test.EqOp(t, Reason(""), reason)
	_, reason = p.Delay(startTime.Add(2*period), repeatable())
	test.EqOp(t, FewObservations, reason)
}

// Load: upstreams are short of capacity, so that all responses are late. Guards against second attempts that feed the
// overload.
func TestNoSecondAttemptWithoutCapacity(t *testing.T) {
	p := newPolicy(0.5)
	test.EqOp(t, CapacityShort, p.Start(false))
	test.EqOp(t, Reason(""), p.Start(true))
}

// Guards against more second attempts than the share in any window of requests.
func TestShareHoldsInAnyWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0, 0.3).Draw(t, "share")
		p := New(share)
		wanted := rapid.SliceOfN(rapid.Bool(), 1, 400).Draw(t, "wanted")
		started := make([]int, len(wanted)+1) // Second attempts before request i.
		for i, want := range wanted {
			p.CountRequest()
			started[i+1] = started[i]
			for want && p.Start(true) == "" {
				started[i+1]++
			}
		}
		for from := range started {
			for to := from; to < len(started); to++ {
				if allowed := share*float64(to-from) + maxCredit + 1e-9; float64(started[to]-started[from]) > allowed {
					t.Fatalf("%d second attempts in requests %d to %d, allowed %.2f", started[to]-started[from], from, to, allowed)
				}
			}
		}
	})
}

// Guards against memory that grows with the number of routes.
func TestRoutesAreBounded(t *testing.T) {
	p := New(0.1)
	for i := range 2000 {
		p.Observe(startTime.Add(time.Duration(i)), fmt.Sprint("r", i), time.Millisecond)
	}
	test.EqOp(t, maxRoutes, len(p.routes))
	must.MapContainsKey(t, p.routes, "r1999")
}

func BenchmarkDelay(b *testing.B) {
	p, r := newPolicy(0.1), repeatable()
	b.ReportAllocs()
	for range b.N {
		p.CountRequest()
		p.Observe(startTime, "r", 30*time.Millisecond)
		p.Delay(startTime, r)
	}
}
