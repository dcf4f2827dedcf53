package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"jackdawbay.dev/core/placement"
	"jackdawbay.dev/core/route"
)

const (
	secondAttemptOK     = "HTTP/1.1 200 OK\r\nStamp: x\r\nId: r\r\nContent-Length: 5\r\n\r\n"
	secondAttemptStream = "HTTP/1.1 200 OK\r\nStamp: x\r\nId: r\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: "
	secondAttemptFull   = "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nId: r\r\nContent-Length: 0\r\n\r\n"
	secondAttemptError  = "HTTP/1.1 500 Oops\r\nStamp: x\r\nId: r\r\nContent-Length: 2\r\n\r\nno"
)

// hedgingTest is a gateway that sends second attempts after 10 ms for requests of the route "fast", to two upstreams.
type hedgingTest struct {
	*Gateway
	received       atomic.Int64
	secondReceived chan struct{} // Closed when an upstream has received the second request.
	ended          chan struct{} // Closed at the end of the test.
}

// newHedgingTest returns a gateway whose upstreams respond to the requests in the order of their arrival.
func newHedgingTest(t *testing.T, respond ...func(h *hedgingTest) string) *hedgingTest {
	t.Helper()
	h := &hedgingTest{secondReceived: make(chan struct{}), ended: make(chan struct{})}
	t.Cleanup(func() { close(h.ended) })
	script := func(int, bool, *http.Request) (string, bool) {
		n := int(h.received.Add(1))
		if n == 2 {
			close(h.secondReceived)
		}
		if n > len(respond) {
			return secondAttemptError, true
		}
		return respond[n-1](h), true
	}
	h.Gateway = newFaultGateway(startScriptedUpstream(t, script), startScriptedUpstream(t, script))
	h.cfg.SecondAttemptShare = 0.5
	h.seconds = newSecondAttempts(h.cfg)
	for range 100 {
		h.seconds.policy.CountRequest()
		h.seconds.observe("fast", 2*time.Millisecond)
	}
	return h
}

func repeatableRoute() *route.Route {
	return &route.Route{Name: "fast", Kind: route.Idempotent, MaxUpstreams: 2}
}

func immediately(response string) func(*hedgingTest) string {
	return func(*hedgingTest) string { return response }
}

// afterSecond responds some time after the second request has been received.
func afterSecond(d time.Duration, response string) func(*hedgingTest) string {
	return func(h *hedgingTest) string {
		select {
		case <-h.secondReceived:
		case <-h.ended:
		}
		time.Sleep(d)
		return response
	}
}

// never responds only when the test has ended.
func never(h *hedgingTest) string {
	<-h.ended
	return ""
}

// Guards against a caller that waits for a silent, wrong or dying upstream although another one has responded, and against a
// failure of one attempt that ends the other.
func TestSecondAttempt(t *testing.T) {
	const (
		first, second = secondAttemptOK + "first", secondAttemptOK + "secnd"
		garbage       = "garbage\r\n\r\n"
		soon, later   = time.Millisecond, 50 * time.Millisecond
	)
	cases := map[string]struct {
		first, second func(*hedgingTest) string
		body          string // Empty if either response may win.
	}{
		"first is silent":  {never, immediately(second), "secnd"},
		"first dies":       {afterSecond(soon, ""), afterSecond(later, second), "secnd"},
		"first is garbled": {afterSecond(soon, garbage), afterSecond(later, second), "secnd"},
		"first fails":      {afterSecond(soon, secondAttemptError), afterSecond(later, second), "secnd"},
		"first rejects":    {afterSecond(soon, secondAttemptFull), afterSecond(later, second), "secnd"},
		"second is silent": {afterSecond(soon, first), never, "first"},
		"second dies":      {afterSecond(later, first), immediately(""), "first"},
		"second garbled":   {afterSecond(later, first), immediately(garbage), "first"},
		"second fails":     {afterSecond(later, first), immediately(secondAttemptError), "first"},
		"second rejects":   {afterSecond(later, first), immediately(secondAttemptFull), "first"},
		"both respond":     {afterSecond(later, first), afterSecond(later, second), ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHedgingTest(t, c.first, c.second)
			w, call, aborted := dispatchRequest(t, h.Gateway, repeatableRoute(), "r")
			test.False(t, aborted)
			test.EqOp(t, http.StatusOK, w.Code)
			if c.body != "" {
				test.EqOp(t, c.body, w.Body.String())
			}
			test.EqOp(t, 5, w.Body.Len())
			test.LessEq(t, 2, len(call.mayHaveRun))
			test.EqOp(t, 1, h.seconds.started.Get())
			test.EqOp(t, 2, h.received.Load())
		})
	}
}

// Guards against a request that runs at two upstreams although it may run only once, and against more upstreams than the route
// allows.
func TestNoSecondAttemptBeyondTheRoute(t *testing.T) {
	for name, r := range map[string]*route.Route{
		"non-idempotent":       {Name: "fast", Kind: route.NonIdempotent, MaxUpstreams: 2},
		"stream, not resumed":  {Name: "fast", Kind: route.Stream, MaxUpstreams: 2},
		"one upstream":         {Name: "fast", Kind: route.Idempotent, MaxUpstreams: 1},
		"upstreams not stated": {Name: "fast", Kind: route.Idempotent},
		"time is not known":    {Name: "other", Kind: route.Idempotent, MaxUpstreams: 2},
	} {
		t.Run(name, func(t *testing.T) {
			response := secondAttemptOK + "first"
			if r.Kind == route.Stream {
				response = secondAttemptStream + "x\n\n"
			}
			slow := func(*hedgingTest) string {
				time.Sleep(200 * time.Millisecond)
				return response
			}
			h := newHedgingTest(t, slow, immediately(response))
			_, _, _ = dispatchRequest(t, h.Gateway, r, "r")
			test.EqOp(t, 1, h.received.Load())
		})
	}
}

// Guards against events of two upstreams in one stream, and against a second attempt after the first event.
func TestSecondAttemptOfStream(t *testing.T) {
	h := newHedgingTest(t, afterSecond(time.Second, secondAttemptStream+"first\n\n"), immediately(secondAttemptStream+"second\n\n"))
	r := &route.Route{Name: "fast", Kind: route.Stream, Resumable: true, MaxUpstreams: 2}
	w, call, aborted := dispatchRequest(t, h.Gateway, r, "r")
	test.False(t, aborted)
	test.EqOp(t, "id: 1\ndata: second\n\n", w.Body.String())
	test.EqOp(t, 1, call.stream.events)
	test.EqOp(t, 2, h.received.Load())
}

// Guards against an upstream that still works on the attempt that was not taken, and whose estimated load stays raised for good.
func TestDroppedAttemptIsEnded(t *testing.T) {
	h := newHedgingTest(t, never, immediately(secondAttemptOK+"secnd"))
	_, _, _ = dispatchRequest(t, h.Gateway, repeatableRoute(), "r")
	for deadline := time.Now().Add(5 * time.Second); h.seconds.upstreamSeconds.Get() == 0 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	must.Positive(t, h.seconds.upstreamSeconds.Get())
	for range 2 {
		choice, ok := h.upstreams.choose("s", placement.Request{})
		must.True(t, ok)
		test.Less(t, 1, choice.EstimatedRunning)
	}
}

// Guards against a late response of the attempt that was not taken that reaches a later request on the same connection.
func TestLateResponseReachesNobody(t *testing.T) {
	slow := func(*hedgingTest) string {
		time.Sleep(200 * time.Millisecond)
		return secondAttemptOK + "third"
	}
	h := newHedgingTest(t, afterSecond(100*time.Millisecond, secondAttemptOK+"first"), immediately(secondAttemptOK+"secnd"), slow)
	w, _, _ := dispatchRequest(t, h.Gateway, repeatableRoute(), "r")
	test.EqOp(t, "secnd", w.Body.String())
	w, _, _ = dispatchRequest(t, h.Gateway, &route.Route{Name: "once", Kind: route.NonIdempotent}, "r")
	test.EqOp(t, "third", w.Body.String())
}

// Guards against attempts that go on after the caller has left.
func TestSecondAttemptEndsWithItsCaller(t *testing.T) {
	h := newHedgingTest(t, never, never)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-h.secondReceived
		cancel()
	}()
	req := httptest.NewRequest(http.MethodPost, "/", nil).WithContext(ctx)
	c := h.newCall(httptest.NewRecorder(), req, time.Now())
	c.meta, c.ctx, c.route, c.service = RequestMeta{RequestID: "r"}, ctx, repeatableRoute(), "s"
	c.excluded, c.mayHaveRun, c.deadline = map[string]bool{}, map[string]bool{}, time.Now().Add(time.Minute)
	func() {
		defer func() { test.Eq(t, any(http.ErrAbortHandler), recover()) }()
		c.dispatch()
	}()
	test.EqOp(t, "caller_gone", c.outcome)
	test.EqOp(t, 2, h.received.Load())
}
