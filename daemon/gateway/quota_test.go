package gateway

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"jackdawbay.dev/api/errkind"
	"jackdawbay.dev/core/route"
)

// fakeLimiter admits a number of requests.
type fakeLimiter struct{ left, acquired, released int }

func (l *fakeLimiter) Acquire(context.Context, *route.Organisation, uint64) (func(), error) {
	if l.left == 0 {
		return nil, errkind.New(errkind.OrganisationLimit, "").WithRetryAfter(time.Second)
	}
	l.left--
	l.acquired++
	return func() { l.released++ }, nil
}

// unreadBody fails the test if it is read.
type unreadBody struct{ t *testing.T }

func (b unreadBody) Read([]byte) (int, error) {
	b.t.Error("the body of a refused request was read")
	return 0, io.EOF
}

func newLimitedCall(t *testing.T, g *Gateway, w http.ResponseWriter) *call {
	t.Helper()
	c := g.newCall(w, httptest.NewRequest(http.MethodPost, "/", unreadBody{t}), time.Now())
	c.organisation = &route.Organisation{Name: "o", RatePerSecond: 1, Burst: 1}
	c.ctx, c.service, c.deadline = t.Context(), "s", time.Now().Add(5*time.Second)
	c.route = &route.Route{Kind: route.Idempotent, MaxUpstreams: 1}
	c.excluded, c.mayHaveRun = map[string]bool{}, map[string]bool{}
	return c
}

// Guards against a request over the limit that gets another status than 429 or whose body is read, and against a limit for
// requests without an organisation or without a rate.
func TestRequestOverTheLimitIsRefused(t *testing.T) {
	g := newFaultGateway()
	g.cfg.Limiter = &fakeLimiter{}
	w := httptest.NewRecorder()
	c := newLimitedCall(t, g, w)
	must.False(t, c.acquireUnit())
	test.EqOp(t, http.StatusTooManyRequests, w.Code)
	test.EqOp(t, string(errkind.OrganisationLimit), c.outcome)
	c = newLimitedCall(t, g, httptest.NewRecorder())
	c.organisation = nil
	test.True(t, c.acquireUnit())
	c.organisation = &route.Organisation{Name: "o"}
	test.True(t, c.acquireUnit())
	g.cfg.Limiter = nil
	c = newLimitedCall(t, g, httptest.NewRecorder())
	test.True(t, c.acquireUnit())
}

// Guards against a lost unit of a request that no upstream ran, and against a returned unit of one that may have run.
func TestUnitIsReturnedUnlessTheRequestMayHaveRun(t *testing.T) {
	for _, mayHaveRun := range []bool{false, true} {
		g, l := newFaultGateway(), &fakeLimiter{left: 1}
		g.cfg.Limiter = l
		c := newLimitedCall(t, g, httptest.NewRecorder())
		must.True(t, c.acquireUnit())
		if mayHaveRun {
			c.mayHaveRun["a"] = true
		}
		c.finish()
		want := 1
		if mayHaveRun {
			want = 0
		}
		test.EqOp(t, want, l.released)
	}
}

// Guards against a request that reaches an upstream long after its unit was issued, together with others: each window has a
// bound. A request that has reached an upstream keeps its unit.
func TestExpiredUnitIsRenewedBeforeTheRequestIsSent(t *testing.T) {
	var received int
	address := startScriptedUpstream(t, func(int, bool, *http.Request) (string, bool) {
		received++
		return "HTTP/1.1 200 OK\r\nStamp: x\r\nContent-Length: 0\r\n\r\n", false
	})
	for _, tc := range []struct {
		left, received, acquired, status int
		age                              time.Duration
	}{
		{left: 1, received: 1, acquired: 1, status: http.StatusOK},
		{left: 2, received: 1, acquired: 2, status: http.StatusOK, age: time.Second},
		{left: 1, received: 0, acquired: 1, status: http.StatusTooManyRequests, age: time.Second},
	} {
		received = 0
		g, l := newFaultGateway(address), &fakeLimiter{left: tc.left}
		g.cfg.Limiter, g.cfg.UnitLifetime = l, 200*time.Millisecond
		w := httptest.NewRecorder()
		c := newLimitedCall(t, g, w)
		must.True(t, c.acquireUnit())
		c.unit.acquiredAt = c.unit.acquiredAt.Add(-tc.age)
		c.dispatch()
		test.EqOp(t, tc.received, received)
		test.EqOp(t, tc.acquired, l.acquired)
		test.EqOp(t, tc.status, w.Code)
	}
}
