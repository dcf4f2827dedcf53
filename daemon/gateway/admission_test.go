package gateway

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"jackdawbay.dev/core/placement"
	"jackdawbay.dev/core/route"
	"jackdawbay.dev/daemon/catalog"
)

// loadCodec also decodes the load of upstreams and encodes Retry-After.
type loadCodec struct{ plainCodec }

func (loadCodec) DecodeResponse(h http.Header) ResponseMeta {
	m := plainCodec{}.DecodeResponse(h)
	_, err := fmt.Sscanf(h.Get("Load"), "%d,%d,%d", &m.Load.Running, &m.Load.Waiting, &m.Load.Slots)
	m.HasLoad = err == nil
	return m
}

func (loadCodec) EncodeRetryAfter(h http.Header, after time.Duration) {
	h.Set("Retry-After", fmt.Sprintf("%.3f", after.Seconds()))
}

// newManagedGateway returns a gateway that manages overload, with one upstream of 4 slots.
func newManagedGateway(t *testing.T, address string) *Gateway {
	t.Helper()
	g := newFaultGateway()
	g.cfg.ManageOverload, g.cfg.Codec = true, loadCodec{}
	g.upstreams.cfg = g.cfg
	g.stopping = make(chan struct{})
	g.stopped, g.endRequests = context.WithCancel(t.Context())
	u := catalog.Upstream{ID: "a", Service: "s", Address: address, Slots: 4, StartMillis: 1}
	g.upstreams.update(&catalog.Upstreams{ByService: map[string][]catalog.Upstream{"s": {u}}, ByID: map[string]catalog.Upstream{"a": u}})
	return g
}

// newQueueGateway returns a gateway that manages overload, with one upstream that reports it is full with each response until it is
// told otherwise.
func newQueueGateway(t *testing.T) (g *Gateway, full *atomic.Bool, served *atomic.Int64) {
	t.Helper()
	full, served = &atomic.Bool{}, &atomic.Int64{}
	full.Store(true)
	address := startScriptedUpstream(t, func(_ int, _ bool, r *http.Request) (string, bool) {
		served.Add(1)
		load := "0,0,4"
		if full.Load() {
			load = "4,9,4"
		}
		return "HTTP/1.1 200 OK\r\nStamp: x\r\nId: " + r.Header.Get("Id") + "\r\nLoad: " + load + "\r\nContent-Length: 2\r\n\r\nok", false
	})
	return newManagedGateway(t, address), full, served
}

// keepReportingFull reports every 10 ms that the upstream is full, until the returned function is called.
func keepReportingFull(g *Gateway) (stop func()) {
	reportFull(g)
	ticker, done := time.NewTicker(10*time.Millisecond), make(chan struct{})
	go func() {
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
				reportFull(g)
			}
		}
	}()
	return func() {
		ticker.Stop()
		close(done)
	}
}

// reportFull records that the upstream is full, as the response to another request does.
func reportFull(g *Gateway) {
	g.upstreams.recordLoad("s", "a", placement.Load{Running: 4, Waiting: 9, Slots: 4})
}

// newQueuedCall returns the call of a request that has some time left.
func newQueuedCall(g *Gateway, ctx context.Context, r *route.Route, id string, left time.Duration) *call {
	req := httptest.NewRequestWithContext(ctx, http.MethodPost, "/", nil)
	req.Header.Set("Id", id)
	c := g.newCall(httptest.NewRecorder(), req, time.Now())
	c.deadline = c.arrivedAt.Add(left)
	c.meta, c.ctx, c.route, c.service = RequestMeta{RequestID: id}, ctx, r, "s"
	c.excluded, c.mayHaveRun = map[string]bool{}, map[string]bool{}
	return c
}

// dispatchQueued serves a request that has some time left and returns its response, its call, and how long it took.
func dispatchQueued(g *Gateway, ctx context.Context, r *route.Route, id string, left time.Duration) (w *httptest.ResponseRecorder, c *call, took time.Duration) {
	c = newQueuedCall(g, ctx, r, id, left)
	w = c.w.(*httptest.ResponseRecorder)
	var cancel context.CancelFunc
	c.ctx, cancel = context.WithDeadline(ctx, c.deadline)
	defer cancel()
	defer context.AfterFunc(g.stopped, cancel)()
	defer func() {
		_ = recover() // An abort ends the request.
		took = time.Since(c.arrivedAt)
	}()
	c.dispatch()
	return w, c, 0
}

// Guards against a delay or a rejection of requests while upstreams have room, and against a queue without the feature.
func TestNoQueueWhileUpstreamsHaveRoom(t *testing.T) {
	for _, managed := range []bool{false, true} {
		g, full, _ := newQueueGateway(t)
		g.cfg.ManageOverload = managed
		g.upstreams.cfg = g.cfg
		full.Store(!managed)
		for i := range 200 {
			w, c, _ := dispatchQueued(g, t.Context(), &route.Route{Kind: route.NonIdempotent}, fmt.Sprint("r", i), time.Second)
			must.EqOp(t, http.StatusOK, w.Code)
			must.False(t, c.admission.decision.Queued)
		}
		var exposition bytes.Buffer
		g.cfg.Metrics.WritePrometheus(&exposition)
		test.StrNotContains(t, exposition.String(), "jackdawbay_admission_wait_seconds")
		test.StrNotContains(t, exposition.String(), "jackdawbay_admission_rejections_total")
	}
}

// Load: a gateway that believes that all upstreams are full while they have room. Guards against requests that are held for more
// than a tenth of their time left without news.
func TestWaiterIsSentWithoutNews(t *testing.T) {
	g, full, _ := newQueueGateway(t)
	full.Store(false)
	reportFull(g)
	w, c, took := dispatchQueued(g, t.Context(), &route.Route{Kind: route.NonIdempotent}, "r", 2*time.Second)
	test.EqOp(t, http.StatusOK, w.Code)
	test.True(t, c.admission.decision.Queued)
	test.True(t, c.admission.overdue)
	test.Between(t, 190*time.Millisecond, took, 2*time.Second)
	_, c, _ = dispatchQueued(g, t.Context(), &route.Route{Kind: route.NonIdempotent}, "r2", time.Second)
	test.False(t, c.admission.decision.Queued, test.Sprint("the response says that there is room"))
}

// Load: a burst for a full upstream. Guards against an order other than that of the priorities, and against waiters that are sent
// while reports say that the upstream is full, or that wait for a timer when a report says that it has room.
func TestWaitersFollowReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newManagedGateway(t, "127.0.0.1:1")
		stopReports := keepReportingFull(g)
		var order []int
		var wg sync.WaitGroup
		for _, priority := range []int{3, 1, 2, 0} {
			wg.Go(func() {
				c := newQueuedCall(g, t.Context(), &route.Route{Kind: route.NonIdempotent, Priority: priority}, fmt.Sprint("p", priority), 20*time.Second)
				choice, ok := c.chooseOrWait(placement.Request{})
				test.True(t, ok)
				test.EqOp(t, "a", choice.Upstream.ID)
				test.False(t, c.admission.overdue)
				test.Between(t, 2*time.Second, c.admission.waited, 2100*time.Millisecond)
				order = append(order, priority)
			})
		}
		time.Sleep(2 * time.Second)
		synctest.Wait()
		test.SliceEmpty(t, order, test.Sprint("the upstream is full"))
		stopReports()
		g.upstreams.recordLoad("s", "a", placement.Load{Running: 4, Waiting: 1, Slots: 4}) // The short queue has room for one.
		synctest.Wait()
		test.Eq(t, []int{0}, order)
		for n := range 3 {
			g.upstreams.recordEnd("s", "a", false, 0)
			synctest.Wait()
			test.Eq(t, []int{0, 1, 2, 3}[:n+2], order)
		}
		wg.Wait()
	})
}

// Load: more requests than the upstream serves. Guards against requests that wait in vain instead of a rejection at once with a
// Retry-After near the estimate, and against a rejection that is logged or counted without its cause.
func TestOverloadIsRejectedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newManagedGateway(t, "127.0.0.1:1")
		var logOutput bytes.Buffer
		g.cfg.Log = slog.New(slog.NewTextHandler(&logOutput, nil))
		g.upstreams.mu.Lock()
		q := g.upstreams.queue("s")
		for range 200 { // Requests take 400 ms.
			q.RecordStart(time.Now(), "")
			q.RecordEnd(400 * time.Millisecond)
		}
		g.upstreams.mu.Unlock()
		reportFull(g)
		w, c, took := dispatchQueued(g, t.Context(), &route.Route{Name: "r", Kind: route.NonIdempotent}, "r", 300*time.Millisecond)
		c.finish()
		test.EqOp(t, http.StatusServiceUnavailable, w.Code)
		test.StrContains(t, w.Body.String(), `"code":"overloaded"`)
		test.StrContains(t, w.Body.String(), `"not_run":"true"`)
		test.EqOp(t, 0, took)
		test.MapEmpty(t, c.mayHaveRun)
		var after float64
		_, err := fmt.Sscanf(w.Header().Get("Retry-After"), "%f", &after)
		must.NoError(t, err)
		test.Between(t, 0.39, after, 0.61)
		test.StrContains(t, logOutput.String(), "not_admitted=wait")
		var exposition bytes.Buffer
		g.cfg.Metrics.WritePrometheus(&exposition)
		test.StrContains(t, exposition.String(), `jackdawbay_admission_rejections_total{cause="wait"} 1`)
	})
}

// Guards against waiters that stay after their caller left or while the daemon stops, and against an upstream that counts them.
func TestWaiterLeaves(t *testing.T) {
	for name, c := range map[string]struct {
		leave  func(g *Gateway, callerLeaves context.CancelFunc)
		status int // Zero if the connection is closed.
	}{
		"caller leaves":             {func(_ *Gateway, callerLeaves context.CancelFunc) { callerLeaves() }, 0},
		"stop before its deadline":  {func(g *Gateway, _ context.CancelFunc) { g.Stop(time.Now().Add(5 * time.Second)) }, http.StatusServiceUnavailable},
		"stop deadline has arrived": {func(g *Gateway, _ context.CancelFunc) { g.endRequests() }, http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newManagedGateway(t, "127.0.0.1:1")
				stopReports := keepReportingFull(g)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				time.AfterFunc(time.Second, func() { c.leave(g, cancel) })
				w, call, took := dispatchQueued(g, ctx, &route.Route{Kind: route.NonIdempotent}, "r", 20*time.Second)
				test.EqOp(t, time.Second, took)
				if c.status != 0 {
					test.EqOp(t, c.status, w.Code)
					test.StrContains(t, w.Body.String(), "shutting_down")
				} else {
					test.EqOp(t, "caller_gone", call.outcome)
				}
				stopReports()
				g.upstreams.mu.Lock()
				defer g.upstreams.mu.Unlock()
				test.EqOp(t, 0, g.upstreams.queue("s").Len())
				test.MapEmpty(t, g.upstreams.queue("s").pending)
			})
		})
	}
}

// Guards against requests that are held until their deadline, and against a 503 for one that has been sent.
func TestNoRequestIsHeldUntilItsDeadline(t *testing.T) {
	g, full, served := newQueueGateway(t)
	full.Store(true)
	var wg sync.WaitGroup
	var rejected, complete atomic.Int64
	for i := range 60 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			left := time.Duration(100+i*5) * time.Millisecond
			w, c, took := dispatchQueued(g, t.Context(), &route.Route{Kind: route.NonIdempotent}, fmt.Sprint("r", i), left)
			switch w.Code {
			case http.StatusOK:
				complete.Add(1)
			case http.StatusServiceUnavailable:
				rejected.Add(1)
				test.MapEmpty(t, c.mayHaveRun)
			default:
				t.Errorf("status %d", w.Code)
			}
			test.Less(t, left+time.Second, took)
		}()
	}
	wg.Wait()
	test.EqOp(t, served.Load(), complete.Load())
	test.EqOp(t, 60, complete.Load()+rejected.Load())
	test.Positive(t, complete.Load())
	var exposition bytes.Buffer
	g.cfg.Metrics.WritePrometheus(&exposition)
	for line := range strings.Lines(exposition.String()) {
		if strings.HasPrefix(line, "jackdawbay_admission_waiting") {
			test.EqOp(t, "jackdawbay_admission_waiting 0\n", line)
		}
	}
}

// Load: a caller that makes many requests which the upstreams answer with 404. Guards against upstreams that count as failing for it.
func TestMistakesOfCallersAreNoFailures(t *testing.T) {
	for _, managed := range []bool{false, true} {
		address := startScriptedUpstream(t, func(_ int, _ bool, r *http.Request) (string, bool) {
			return "HTTP/1.1 404 Not Found\r\nStamp: x\r\nId: " + r.Header.Get("Id") + "\r\nContent-Length: 0\r\n\r\n", false
		})
		g := newManagedGateway(t, address)
		g.cfg.ManageOverload = managed
		g.upstreams.cfg = g.cfg
		for i := range 4 {
			w, _, _ := dispatchQueued(g, t.Context(), &route.Route{Kind: route.NonIdempotent}, fmt.Sprint("r", i), 5*time.Second)
			must.EqOp(t, http.StatusNotFound, w.Code)
		}
		g.upstreams.mu.Lock()
		now := time.Now()
		// A failing upstream is compared only if no other may get the request, so the round trip of a second one shows it.
		u := catalog.Upstream{ID: "far", Service: "s", Address: address, Slots: 4, StartMillis: 1, DataCentre: "other", WarmUpRemaining: time.Hour}
		list := catalog.Upstream{ID: "a", Service: "s", Address: address, Slots: 4, StartMillis: 1}
		g.upstreams.current = &catalog.Upstreams{ByService: map[string][]catalog.Upstream{"s": {list, u}}, ByID: map[string]catalog.Upstream{"a": list, "far": u}}
		g.upstreams.rebuild()
		choice, ok := g.upstreams.group("s").Choose(now, placement.Request{})
		g.upstreams.mu.Unlock()
		must.True(t, ok)
		test.EqOp(t, managed, choice.Upstream.ID == "a")
	}
}

// BenchmarkChooseOrWait measures the choice of an upstream with and without the queue, while upstreams have room.
func BenchmarkChooseOrWait(b *testing.B) {
	for _, managed := range []bool{false, true} {
		b.Run(fmt.Sprintf("managed=%v", managed), func(b *testing.B) {
			g := newFaultGateway()
			g.cfg.ManageOverload = managed
			g.upstreams.cfg = g.cfg
			list := &catalog.Upstreams{ByService: map[string][]catalog.Upstream{}, ByID: map[string]catalog.Upstream{}}
			for i := range 57 {
				u := catalog.Upstream{ID: fmt.Sprint("u", i), Service: "s", Address: fmt.Sprint("127.0.0.1:", i+1), Slots: 8, StartMillis: 1}
				list.ByService["s"], list.ByID[u.ID] = append(list.ByService["s"], u), u
			}
			g.upstreams.update(list)
			for i := range 57 {
				g.upstreams.recordLoad("s", fmt.Sprint("u", i), placement.Load{Running: i % 7, Slots: 8})
			}
			c := newQueuedCall(g, b.Context(), &route.Route{Kind: route.Idempotent}, "r", time.Hour)
			parts := []placement.PromptPart{{ID: "system", Tokens: 8000}, {ID: "session", Tokens: 2000}}
			b.ReportAllocs()
			for b.Loop() {
				choice, _ := c.chooseOrWait(placement.Request{Parts: parts})
				g.upstreams.recordEnd("s", choice.Upstream.ID, false, 100*time.Millisecond)
			}
		})
	}
}
