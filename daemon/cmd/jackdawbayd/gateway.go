package main

import (
	"context"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"jackdawbay.dev/daemon/catalog"
	"jackdawbay.dev/daemon/clock"
	"jackdawbay.dev/daemon/forward"
	"jackdawbay.dev/daemon/gateway"
	"jackdawbay.dev/daemon/quorum"
	"jackdawbay.dev/daemon/transport"
	"jackdawbay.dev/platform"
)

// Times and bounds of the gateway.
const (
	upstreamDialTimeout = 500 * time.Millisecond
	maxIdlePerUpstream  = 16
	headerTimeout       = 10 * time.Second // Callers stay within the configuration's shorter bound.
	maxHeaderBytes      = 64 << 10
	// unreadyTime is how long a stopping gateway takes requests: the balancer needs two misses, a second apart.
	unreadyTime = 2500 * time.Millisecond
	// quietTime is how long no request must have arrived before the listeners close.
	quietTime = 500 * time.Millisecond
	// stopMargin is the time before the kill at which a stopping gateway gives up waiting.
	stopMargin   = 600 * time.Millisecond
	settleMargin = 300 * time.Millisecond
)

func runGateway(root context.Context, p *process) error {
	callers, err := listen(p.site.CallerListen)
	if err != nil {
		return err
	}
	ready, err := listen(p.site.ReadyListen)
	if err != nil {
		return err
	}
	replicas := quorum.New(root, quorum.Config{
		DataCentre: p.site.DataCentre, Region: p.site.Region, RegionOf: p.site.RegionOf,
		Client: transport.NewClient(transport.Options{DialTimeout: peerDialTimeout}), Log: p.log, Metrics: p.metrics,
	})
	pool := forward.NewPool(upstreamDialTimeout, maxIdlePerUpstream, p.metrics)
	var g *gateway.Gateway
	cat := catalog.New(p.store, platform.Formats{}, p.log, p.metrics, func(u *catalog.Upstreams) { g.UpdateUpstreams(u) })
	g = gateway.New(gateway.Config{
		DataCentre: p.site.DataCentre, Region: p.site.Region, RegionOf: p.site.RegionOf, Codec: platform.HeaderCodec{},
		Catalog: cat, Replicas: replicas, Pool: pool, Log: p.log, Metrics: p.metrics, CacheBytes: p.flags.CacheBytes,
	})
	server := &http.Server{Handler: g, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes, ConnState: g.ConnState()}
	p.tree.Add(serve("callers", server, callers))
	p.tree.Add(serve("ready", &http.Server{Handler: readyHandler(g, p), ReadHeaderTimeout: headerTimeout}, ready))
	p.tree.Add(duty{"configuration", cat.FollowConfig})
	p.tree.Add(duty{"upstreams", cat.FollowUpstreams})
	p.tree.Add(duty{"view", func(ctx context.Context) error { return replicas.FollowView(ctx, p.store) }})
	p.tree.Add(duty{"settlement", g.Run})
	p.tree.Add(duty{"connections", pool.Run})
	p.tree.ServeBackground(root)

	term, cancel := terminated()
	defer cancel()
	<-term.Done()
	return stopGateway(p, g, server)
}

// stopGateway finishes what is under way and takes requests until the balancer has noticed.
func stopGateway(p *process, g *gateway.Gateway, server *http.Server) error {
	start := time.Now()
	deadline := start.Add(max(p.site.StopTimeout-stopMargin, unreadyTime))
	g.Stop(deadline)
	p.log.Info("stopping", "stop_timeout", p.site.StopTimeout)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	for ctx.Err() == nil {
		now := time.Now()
		if now.Sub(start) > unreadyTime && g.IsIdle(now, quietTime) {
			break
		}
		clock.Sleep(ctx, 50*time.Millisecond)
	}
	err := server.Shutdown(ctx)
	if err != nil {
		p.log.Warn("requests were still under way at the end", "error", err)
	}
	for range 10 {
		if g.AllChargesSettled() {
			break
		}
		clock.Sleep(context.Background(), settleMargin/10)
	}
	return nil
}

func readyHandler(g *gateway.Gateway, p *process) http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/ready", func(w http.ResponseWriter, _ *http.Request) {
		if !g.IsReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	r.HandleFunc("/metrics", p.writeMetrics)
	return r
}
