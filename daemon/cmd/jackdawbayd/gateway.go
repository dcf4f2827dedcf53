package main

import (
	"context"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"jackdawbay.dev/core/placement"
	corequota "jackdawbay.dev/core/quota"
	"jackdawbay.dev/core/route"
	"jackdawbay.dev/daemon/catalog"
	"jackdawbay.dev/daemon/clock"
	"jackdawbay.dev/daemon/forward"
	"jackdawbay.dev/daemon/gateway"
	"jackdawbay.dev/daemon/intake"
	"jackdawbay.dev/daemon/quorum"
	"jackdawbay.dev/daemon/quota"
	"jackdawbay.dev/daemon/replica"
	"jackdawbay.dev/daemon/transport"
	"jackdawbay.dev/platform"
)

// Timeouts and limits of the gateway.
const (
	upstreamDialTimeout = 500 * time.Millisecond
	maxIdlePerUpstream  = 16
	// drainDuration is the time for which a stopping gateway still accepts requests. The balancer removes a gateway after two
	// failed readiness checks, one second apart.
	drainDuration = 2500 * time.Millisecond
	// minIdleBeforeClose is the time without a new request after which the listeners close.
	minIdleBeforeClose = 500 * time.Millisecond
	// stopMargin is the time before SIGKILL at which a stopping gateway no longer waits for upstreams. It covers
	// maxResponseWait and maxSettleWait.
	stopMargin = 600 * time.Millisecond
	// maxResponseWait bounds the time to write the error responses of requests that are still in flight at the stop deadline.
	maxResponseWait = 200 * time.Millisecond
	// maxSettleWait bounds the wait for pending settlements after the listeners have closed.
	maxSettleWait = 300 * time.Millisecond
)

// runGateway runs the gateway role until SIGTERM or an interrupt.
func runGateway(root context.Context, p *process) error {
	terminated, cancel := notifyTermination()
	defer cancel()
	callers, err := intake.Listen(p.site.CallerListen, intake.CallerBuffers)
	if err != nil {
		return err
	}
	ready, err := intake.Listen(p.site.ReadyListen, intake.CallerBuffers)
	if err != nil {
		return err
	}
	replicaClient := transport.NewClient(transport.Options{DialTimeout: peerDialTimeout})
	replicas := quorum.New(root, quorum.Config{
		DataCentre: p.site.DataCentre, Region: p.site.Region, RegionOf: p.site.RegionOf,
		Client: replicaClient, Log: p.log, Metrics: p.metrics,
	})
	unitLifetime := corequota.Lifetime(p.site.QuotaWindow, p.site.QuotaOver)
	var cat *catalog.Catalog
	limiter := quota.NewClient(root, quota.Config{
		VM: p.site.VM, DataCentre: p.site.DataCentre, Region: p.site.Region, RegionOf: p.site.RegionOf,
		ViewOf: replicas.ViewOf, Views: replicas.Views, HasLimits: func() (uint64, bool) { return hasLimits(cat.Table()) },
		Lifetime: unitLifetime, Client: replicaClient, Log: p.log, Metrics: p.metrics,
	})
	pool := forward.NewPool(upstreamDialTimeout, maxIdlePerUpstream, p.metrics)
	var g *gateway.Gateway
	formats := platform.Formats{}
	mirror := p.newMirror([]string{formats.ConfigKind(), formats.UpstreamKind(), replica.ViewKind},
		func(suspected []placement.Process) { g.Suspect(suspected) })
	cat = catalog.New(mirror, formats, p.log, p.metrics, func(u *catalog.Upstreams) { g.UpdateUpstreams(u) })
	g = gateway.New(gateway.Config{
		DataCentre: p.site.DataCentre, Region: p.site.Region, RegionOf: p.site.RegionOf, Codec: platform.HeaderCodec{},
		Catalog: cat, Replicas: replicas, Pool: pool, Log: p.log, Metrics: p.metrics, CacheBytes: p.flags.CacheBytes,
		ReportUnreachable: mirror.ReportUnreachable, SecondAttemptShare: p.flags.SecondAttemptsPercent / 100,
		Limiter: limiter, UnitLifetime: unitLifetime, ManageOverload: p.flags.ManageOverload,
		Intake: p.intake, WriteTimeout: p.flags.WriteTimeout,
	})
	server := p.newServer(g)
	callerConns, callerListener := p.limitConnections(server, callers, g.ConnState())
	if p.site.MaxFDs > 0 {
		pool.LimitConns(func() int { return intake.MaxUpstreamConnections(p.site.MaxFDs, callerConns.Count()) })
	}
	p.tree.Add(serverTask("callers", server, callerListener))
	p.tree.Add(p.opsTask("ready", readyHandler(g, p), ready))
	p.tree.Add(supervisedTask{"configuration", cat.FollowConfig})
	p.tree.Add(supervisedTask{"upstreams", cat.FollowUpstreams})
	p.tree.Add(supervisedTask{"views", func(ctx context.Context) error { return replicas.FollowViews(ctx, mirror) }})
	p.tree.Add(supervisedTask{"mirror", mirror.Run})
	p.tree.Add(supervisedTask{"reports", mirror.RunReports})
	p.tree.Add(supervisedTask{"limits", limiter.Run})
	p.tree.Add(supervisedTask{"settlement", g.Run})
	p.tree.Add(supervisedTask{"connections", pool.Run})
	p.tree.ServeBackground(root)

	<-terminated.Done()
	return stopGateway(p, g, server)
}

// hasLimits reports whether an organisation of the configuration has a limit of requests per second.
func hasLimits(t *route.Table) (configVersion uint64, ok bool) {
	if t == nil || t.Config.Organisations == nil {
		return 0, false
	}
	for _, o := range t.Config.Organisations.ByName {
		if o.RatePerSecond > 0 {
			return t.Config.Version, true
		}
	}
	return t.Config.Version, false
}

// stopGateway drains the gateway: it accepts requests until the balancer has removed this VM, waits for the requests in
// flight, and then for the settlements.
func stopGateway(p *process, g *gateway.Gateway, server *http.Server) error {
	start := time.Now()
	deadline := start.Add(max(p.site.StopTimeout-stopMargin, drainDuration))
	g.Stop(deadline)
	p.log.Info("stopping", "stop_timeout", p.site.StopTimeout)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	for ctx.Err() == nil {
		now := time.Now()
		if now.Sub(start) > drainDuration && g.IsIdle(now, minIdleBeforeClose) {
			break
		}
		clock.Sleep(ctx, 50*time.Millisecond)
	}
	ctx, cancel = context.WithDeadline(context.Background(), deadline.Add(maxResponseWait))
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		p.log.Warn("requests were still in flight at the stop deadline", "error", err)
	}
	for range 10 {
		if g.AllChargesSettled() {
			break
		}
		clock.Sleep(context.Background(), maxSettleWait/10)
	}
	return nil
}

// readyHandler serves the balancer's readiness checks at /ready, and /metrics.
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
