package quota

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"jackdawbay.dev/api/errkind"
	"jackdawbay.dev/core/quota"
	"jackdawbay.dev/core/replica"
	"jackdawbay.dev/core/route"
	"jackdawbay.dev/daemon/transport"
)

// testGroup is a group of issuers on loopback addresses.
type testGroup struct {
	issuers []*Issuer
	servers []*httptest.Server
	calls   atomic.Int64 // Requests for units.
	delay   atomic.Int64 // Delay of the answers to requests for units.

	mu   sync.Mutex
	view replica.View
}

func (g *testGroup) currentView() replica.View {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.view
}

// startGroup starts a group of issuers and waits until they may confirm each other.
func startGroup(t *testing.T, size int) *testGroup {
	t.Helper()
	g := &testGroup{}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	t.Cleanup(func() { cancel(); running.Wait() })
	var set []replica.Member
	for i := range size {
		vm := string(rune('a' + i))
		router := http.NewServeMux()
		server := httptest.NewServer(router)
		t.Cleanup(server.Close)
		issuer := NewIssuer(IssuerConfig{
			VM: vm, Disk: "d", View: g.currentView, Tolerance: quota.Tolerance{Slack: 20}, Client: transport.NewClient(transport.Options{DialTimeout: time.Second}),
			Log: slog.New(slog.DiscardHandler), Metrics: metrics.NewSet(),
		})
		router.HandleFunc(PathQuota, func(w http.ResponseWriter, r *http.Request) {
			g.calls.Add(1)
			time.Sleep(time.Duration(g.delay.Load()))
			issuer.HandleQuota(w, r)
		})
		router.HandleFunc(PathConfirm, issuer.HandleConfirm)
		g.issuers, g.servers = append(g.issuers, issuer), append(g.servers, server)
		set = append(set, replica.Member{VM: vm, Disk: "d", Address: strings.TrimPrefix(server.URL, "http://"), DataCentre: "z1"})
		running.Add(1)
		go func() {
			defer running.Done()
			_ = issuer.Run(ctx) // Ends with the context.
		}()
	}
	g.mu.Lock()
	g.view = replica.View{Version: 1, Epoch: 1, ToleratedFailures: (size - 1) / 2, Sets: [][]replica.Member{set}}
	g.mu.Unlock()
	time.Sleep(quota.LeaseDuration + 2*quota.ConfirmInterval)
	return g
}

func (g *testGroup) newClient(t *testing.T) *Client {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	return NewClient(ctx, Config{
		VM: "gw", DataCentre: "z1", Region: "r", RegionOf: func(string) string { return "r" },
		ViewOf: func(string) replica.View { return g.currentView() }, Views: func() []replica.View { return []replica.View{g.currentView()} },
		HasLimits: func() (uint64, bool) { return 1, true },
		Lifetime:  200 * time.Millisecond, Client: transport.NewClient(transport.Options{DialTimeout: time.Second}),
		Log: slog.New(slog.DiscardHandler), Metrics: metrics.NewSet(),
	})
}

// eventually waits until a condition holds, and fails the test after 5 s.
func eventually(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not within 5 s: %s", description)
		}
	}
}

// activate announces limits and waits until all issuers may issue units.
func (g *testGroup) activate(t *testing.T, c *Client) {
	t.Helper()
	eventually(t, "a member takes the announcement", c.announce)
	eventually(t, "all issuers may issue units", func() bool {
		for _, i := range g.issuers {
			if !i.isAvailable() {
				return false
			}
		}
		return true
	})
}

func (i *Issuer) isAvailable() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.issuer.Available(time.Now())
}

// heldTransport holds requests back until release is closed, and answers with one unit. It has no time limit, so that a test does
// not depend on the load of its machine.
type heldTransport struct {
	release chan struct{}
	calls   atomic.Int64
}

func (h *heldTransport) RoundTrip(*http.Request) (*http.Response, error) {
	h.calls.Add(1)
	<-h.release
	w := httptest.NewRecorder()
	writeJSON(w, unitsResponse{Grants: []grant{{Units: 1}}})
	return w.Result(), nil
}

// fastest returns the shortest duration of several runs. A busy machine delays some of them, a fault all.
func fastest(runs int, run func()) time.Duration {
	shortest := time.Duration(1 << 62)
	for range runs {
		startedAt := time.Now()
		run()
		shortest = min(shortest, time.Since(startedAt))
	}
	return shortest
}

// Guards against a gateway that admits more than the limit or refuses requests below it, against one call for each request,
// and against a refusal without a retry time.
func TestLimitOverHTTP(t *testing.T) {
	g := startGroup(t, 3)
	c := g.newClient(t)
	g.activate(t, c)
	time.Sleep(2 * time.Second)
	o := &route.Organisation{Name: "o", RatePerSecond: 30, Burst: 30}
	admitted := 0
	var refusal error
	for range 200 {
		if _, err := c.Acquire(t.Context(), o, 1); err == nil {
			admitted++
		} else {
			refusal = err
		}
	}
	test.GreaterEq(t, 27, admitted)
	test.LessEq(t, 60, admitted)
	must.Error(t, refusal)
	test.True(t, errkind.Is(refusal, errkind.OrganisationLimit))
	retryAfter := errkind.From(refusal).RetryAfter
	test.True(t, retryAfter > 0 && retryAfter < time.Second, test.Sprintf("retry after %v", retryAfter))

	calls := g.calls.Load()
	fast := &route.Organisation{Name: "fast", RatePerSecond: 600, Burst: 300}
	admitted = 0
	for range 400 {
		if _, err := c.Acquire(t.Context(), fast, 1); err == nil {
			admitted++
		}
		time.Sleep(2 * time.Millisecond)
	}
	test.EqOp(t, 400, admitted)
	test.Less(t, 200, g.calls.Load()-calls)
}

// Guards against a request without a limit that asks an issuer.
func TestNoLimit(t *testing.T) {
	c := (&testGroup{}).newClient(t)
	for _, o := range []*route.Organisation{nil, {Name: "o"}, {Name: "o", Burst: 5}} {
		release, err := c.Acquire(t.Context(), o, 1)
		must.NoError(t, err)
		release()
	}
	test.EqOp(t, uint64(0), c.calls.Get())
}

// Guards against a wait above the limit, and against status 429, while no issuer can be reached.
func TestNoIssuer(t *testing.T) {
	g := startGroup(t, 3)
	for _, s := range g.servers {
		s.Close()
	}
	c := g.newClient(t)
	shortest := fastest(3, func() {
		_, err := c.Acquire(t.Context(), &route.Organisation{Name: "o", RatePerSecond: 5, Burst: 5}, 1)
		must.Error(t, err)
		test.True(t, errkind.Is(err, errkind.QuotaUnavailable))
		test.EqOp(t, 250*time.Millisecond, errkind.From(err).RetryAfter)
	})
	test.Less(t, 2*quota.MaxWait, shortest)
}

// Guards against units that are lost when a caller disconnects while it waits, and against a wait that outlasts its caller.
func TestCallerDisconnectsWhileItWaits(t *testing.T) {
	g := &testGroup{view: replica.View{Version: 1, Sets: [][]replica.Member{{{VM: "a", Disk: "d", Address: "127.0.0.1:1", DataCentre: "z1"}}}}}
	held := &heldTransport{release: make(chan struct{})}
	c := g.newClient(t)
	c.cfg.Client, c.cfg.Lifetime = &http.Client{Transport: held}, time.Hour
	o := &route.Organisation{Name: "o", RatePerSecond: 1, Burst: 1}
	shortest := fastest(5, func() {
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		_, err := c.Acquire(ctx, o, 1)
		must.ErrorIs(t, err, context.DeadlineExceeded)
	})
	test.Less(t, quota.MaxWait/2, shortest)
	close(held.release)
	e := c.lockEntry("o", time.Now())
	e.mu.Unlock()
	eventually(t, "the unit has arrived", func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return !e.asking && e.allowance.Held(time.Now()) > 0
	})
	calls := held.calls.Load()
	_, err := c.Acquire(t.Context(), o, 1)
	must.NoError(t, err)
	test.EqOp(t, calls, held.calls.Load())
}

// Guards against a unit of a request that never ran that is lost, and against one that is returned twice.
func TestReleaseReturnsTheUnitOnce(t *testing.T) {
	g := startGroup(t, 3)
	c := g.newClient(t)
	c.cfg.Lifetime = time.Hour // A busy machine may take longer than the usual lifetime between two statements.
	g.activate(t, c)
	o := &route.Organisation{Name: "o", RatePerSecond: 0.1, Burst: 1}
	release, err := c.Acquire(t.Context(), o, 1)
	must.NoError(t, err)
	release()
	release()
	calls := g.calls.Load()
	_, err = c.Acquire(t.Context(), o, 1)
	must.NoError(t, err)
	test.EqOp(t, calls, g.calls.Load())
	test.EqOp(t, uint64(1), c.returned.Get())
}

// Guards against an issuer that serves a gateway with a newer view, or one that addresses another disk.
func TestOtherViewIsRejected(t *testing.T) {
	g := startGroup(t, 3)
	m := g.currentView().CurrentSet()[0]
	client := transport.NewClient(transport.Options{DialTimeout: time.Second})
	ask := func(view uint64, disk string) error {
		var r unitsResponse
		return post(t.Context(), client, m.Address, PathQuota, unitsRequest{View: view, Disk: disk, Requests: []organisation{
			{Organisation: "o", Rate: 10, Burst: 10, Units: 1},
		}}, &r)
	}
	eventually(t, "the issuer serves its own view", func() bool { return ask(1, "d") == nil })
	test.ErrorContains(t, ask(2, "d"), "409")
	test.ErrorContains(t, ask(1, "other"), "409")
}

// Guards against an issuer that goes on when the others can no longer be reached: its successor would issue the same share.
func TestIssuerWithoutQuorumStops(t *testing.T) {
	g := startGroup(t, 3)
	c := g.newClient(t)
	g.activate(t, c)
	g.servers[1].Close()
	g.servers[2].Close()
	time.Sleep(quota.LeaseDuration + 50*time.Millisecond)
	test.False(t, g.issuers[0].isAvailable())
}

// Guards against a data race and a lost result between the timer of a request, its caller and the round of calls.
func TestManyRequestsAtOnce(t *testing.T) {
	g := startGroup(t, 3)
	c := g.newClient(t)
	g.activate(t, c)
	g.delay.Store(int64(30 * time.Millisecond))
	o := &route.Organisation{Name: "o", RatePerSecond: 200, Burst: 100}
	var wg sync.WaitGroup
	var admitted, refused atomic.Int64
	for range 300 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			ctx, cancel := context.WithTimeout(context.Background(), 150*time.Millisecond)
			defer cancel()
			release, err := c.Acquire(ctx, o, 1)
			if err != nil {
				refused.Add(1)
				return
			}
			admitted.Add(1)
			release()
		}()
	}
	wg.Wait()
	test.EqOp(t, 300, admitted.Load()+refused.Load())
	test.Positive(t, admitted.Load())
}

// BenchmarkAcquire is the cost of a request whose gateway holds a unit.
func BenchmarkAcquire(b *testing.B) {
	c := NewClient(b.Context(), Config{
		VM: "gw", RegionOf: func(string) string { return "" }, ViewOf: func(string) replica.View { return replica.View{} }, Lifetime: time.Hour,
		Client: http.DefaultClient, Log: slog.New(slog.DiscardHandler), Metrics: metrics.NewSet(),
	})
	o := &route.Organisation{Name: "o", RatePerSecond: 1, Burst: 1}
	e := c.lockEntry("o", time.Now())
	e.allowance.SetLimit(quota.Limit{RatePerSecond: 1, Burst: 1, Version: 1})
	e.allowance.Granted(time.Now(), time.Now(), "i", 1, 0)
	e.mu.Unlock()
	b.ReportAllocs()
	for b.Loop() {
		release, err := c.Acquire(b.Context(), o, 1)
		if err != nil {
			b.Fatal(err)
		}
		release()
	}
}
