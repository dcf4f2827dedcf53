package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	core "jackdawbay.dev/core/replica"
	"jackdawbay.dev/core/route"
	"jackdawbay.dev/daemon/platform"
	"jackdawbay.dev/daemon/quorum"
	"jackdawbay.dev/daemon/replica"
)

// replicaNetwork calls replicas by address without sockets, which would stop the fake clock of synctest.
type replicaNetwork struct {
	handlers map[string]http.Handler
	silent   map[string]*atomic.Bool
}

// RoundTrip implements http.RoundTripper.
func (n *replicaNetwork) RoundTrip(r *http.Request) (*http.Response, error) {
	if n.silent[r.URL.Host].Load() {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	if r.Body == nil {
		r.Body = http.NoBody
	}
	w := httptest.NewRecorder()
	n.handlers[r.URL.Host].ServeHTTP(w, r)
	return w.Result(), r.Context().Err()
}

// setSilent makes one replica silent and the others responsive again, and waits until the gateway has noticed.
func (n *replicaNetwork) setSilent(address string) {
	for a, silent := range n.silent {
		silent.Store(a == address)
	}
	time.Sleep(2 * time.Second)
}

// setAllSilent makes all replicas silent or responsive.
func (n *replicaNetwork) setAllSilent(silent bool) {
	for _, s := range n.silent {
		s.Store(silent)
	}
}

// viewFollower passes one view to its follower.
type viewFollower struct{ view core.View }

// Follow implements platform.Follower.
func (f viewFollower) Follow(ctx context.Context, _ string, _ platform.FollowOptions, h platform.Handler) {
	raw, err := json.Marshal(f.view)
	if err != nil {
		panic(err)
	}
	name := core.ViewName(0)
	h(map[string]platform.Object{name: {Kind: replica.ViewKind, Name: name, Version: 1, Value: raw}})
	<-ctx.Done()
}

// startReplicas starts replicas of one view that tolerates one failure, and a gateway in front of them.
func startReplicas(t *testing.T, ctx context.Context, addresses ...string) (*replicaNetwork, *Gateway) {
	t.Helper()
	network := &replicaNetwork{handlers: map[string]http.Handler{}, silent: map[string]*atomic.Bool{}}
	log, set := slog.New(slog.DiscardHandler), metrics.NewSet()
	v := core.View{Version: 1, Epoch: 1, ToleratedFailures: 1, Sets: [][]core.Member{nil}}
	for _, address := range addresses {
		s, err := replica.New(replica.DirFS{Dir: t.TempDir()}, log, metrics.NewSet())
		must.NoError(t, err)
		go func() { _ = s.RunWriter(ctx) }() // Ends with the context.
		network.handlers[address], network.silent[address] = s.Handler(), &atomic.Bool{}
		v.Sets[0] = append(v.Sets[0], core.Member{VM: address, Disk: s.Disk(), Address: address})
	}
	replicas := quorum.New(ctx, quorum.Config{RegionOf: func(string) string { return "" }, Client: &http.Client{Transport: network}, Log: log, Metrics: set})
	go func() { _ = replicas.FollowViews(ctx, viewFollower{v}) }() // Ends with the context.
	g := New(Config{Codec: noRetryAfterCodec{}, Replicas: replicas, Log: log, Metrics: set})
	go func() { _ = g.Run(ctx) }() // Ends with the context.
	synctest.Wait()
	return network, g
}

// TestBudgetOutlivesTheDiskWithItsFirstCharges guards against charges of a program that all replicas but one drop, because only
// that one has stored later charges of the program as well. The loss of its disk, which is tolerated, then lowered what the
// program had spent.
func TestBudgetOutlivesTheDiskWithItsFirstCharges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		network, g := startReplicas(t, ctx, "a", "b", "c")
		const retention = time.Minute
		turns := 0
		// begin admits a turn of at most 50 tokens, and settles it.
		begin := func(delivered int) (status int) {
			w := httptest.NewRecorder()
			c := g.newCall(w, httptest.NewRequest(http.MethodPost, "/", nil), time.Now())
			turns++
			c.ctx, c.tokensPerEvent = ctx, 1
			c.meta = RequestMeta{RequestID: fmt.Sprint("turn-", turns), Program: "p", TokenBudget: 130, MaxTokens: 50}
			c.route = &route.Route{Kind: route.Stream, Retention: retention}
			admitted := c.beginTurn()
			c.stream.events = delivered
			c.settleCharge()
			synctest.Wait() // The settlement is stored by the replicas that respond now.
			if !admitted {
				return w.Code
			}
			return http.StatusOK
		}
		network.setSilent("c")
		must.EqOp(t, http.StatusOK, begin(50))
		network.setSilent("a")
		for range 4 {
			time.Sleep(retention * 8 / 10)
			must.EqOp(t, http.StatusOK, begin(10))
		}
		time.Sleep(retention * 8 / 10)
		network.setSilent("b") // Its disk is lost.
		test.EqOp(t, http.StatusPaymentRequired, begin(0), test.Sprint("90 of 130 tokens are spent"))
	})
}
