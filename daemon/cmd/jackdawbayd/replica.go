package main

import (
	"context"
	"net/http"
	"runtime/debug"

	"github.com/cockroachdb/errors"

	corequota "jackdawbay.dev/core/quota"
	core "jackdawbay.dev/core/replica"
	"jackdawbay.dev/daemon/intake"
	store "jackdawbay.dev/daemon/platform"
	"jackdawbay.dev/daemon/quota"
	"jackdawbay.dev/daemon/relay"
	"jackdawbay.dev/daemon/replica"
	"jackdawbay.dev/daemon/transport"
	"jackdawbay.dev/platform"
)

// maxMessageBytes is the limit of a message about quotas or unreachable upstreams. Their handlers have lower limits.
const maxMessageBytes = 64 << 10

// runReplica runs the replica role until SIGTERM or an interrupt.
func runReplica(root context.Context, p *process) error {
	terminated, cancel := notifyTermination()
	defer cancel()
	debug.SetGCPercent(replicaGCPercent)
	if p.site.DataDir == "" {
		return errors.New("settings file: dataDir: want a directory on a VM with the replica role")
	}
	l, err := intake.Listen(p.site.ReplicaListen, intake.PeerBuffers)
	if err != nil {
		return err
	}
	ops, err := intake.Listen(p.site.OpsListen, intake.CallerBuffers)
	if err != nil {
		return err
	}
	server, err := replica.New(replica.DirFS{Dir: p.site.DataDir}, p.log, p.metrics)
	if err != nil {
		return err
	}
	server.LimitBodies(p.intake)
	address := p.flags.Advertise
	if address == "" {
		address = p.site.ReplicaListen
	}
	formats, retirements := platform.Formats{}, platform.Retirements{Store: p.store}
	membershipKinds := []string{replica.ViewKind, retirements.RetirementKind()}
	mirror := p.newMirror(membershipKinds, nil)
	relays := relay.NewServer(store.StoreFollower{Store: p.store},
		append([]string{replica.RegistrationKind, formats.ConfigKind(), formats.UpstreamKind()}, membershipKinds...), p.log, p.metrics)
	peers := transport.NewClient(transport.Options{DialTimeout: peerDialTimeout})
	members := &replica.Membership{
		Self:              core.Member{VM: p.site.VM, Disk: server.Disk(), Address: address, DataCentre: p.site.DataCentre},
		RegionOf:          p.site.RegionOf,
		ToleratedFailures: func() int { return int(p.toleratedFailures.Load()) },
		Server:            server,
		Store:             p.store,
		Follower:          mirror,
		Retirements:       retirements,
		Client:            peers,
		Log:               p.log,
	}
	members.Init()
	issuer := quota.NewIssuer(quota.IssuerConfig{
		VM: p.site.VM, Disk: server.Disk(), View: server.View,
		Tolerance: corequota.Tolerance{Window: p.site.QuotaWindow, Over: p.site.QuotaOver, Slack: p.site.QuotaSlack}, Client: peers, Log: p.log, Metrics: p.metrics,
	})
	router := server.Router()
	buffered := func(handler http.HandlerFunc) http.Handler {
		return p.intake.Buffered(handler, maxMessageBytes, func(w http.ResponseWriter, _ error) { w.WriteHeader(http.StatusServiceUnavailable) })
	}
	router.Handle(quota.PathQuota, buffered(issuer.HandleQuota)).Methods(http.MethodPost)
	router.Handle(quota.PathConfirm, buffered(issuer.HandleConfirm)).Methods(http.MethodPost)
	router.Handle(relay.PathStream, relays).Methods(http.MethodGet)
	router.Handle(relay.PathReports, buffered(relays.HandleReports)).Methods(http.MethodPost)
	p.tree.Add(supervisedTask{"writer", server.RunWriter})
	p.tree.Add(supervisedTask{"mirror", mirror.Run})
	p.tree.Add(supervisedTask{"relay", relays.Run})
	p.tree.Add(supervisedTask{"watchers", members.RunWatchers})
	p.tree.Add(supervisedTask{"membership", members.Run})
	p.tree.Add(supervisedTask{"issuer", issuer.Run})
	listener := p.newServer(router)
	connections, peerListener := p.limitConnections(listener, l, nil)
	if limit := connections.Limit(); limit > 0 {
		relays.LimitStreams(limit / 4) // The others are for turns and copies.
	}
	p.tree.Add(serverTask("replica", listener, peerListener))
	p.tree.Add(p.opsTask("ops", p.metricsHandler(), ops))
	p.tree.ServeBackground(root)

	<-terminated.Done()
	return nil
}
