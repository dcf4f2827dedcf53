package main

import (
	"context"
	"net/http"
	"runtime/debug"

	"github.com/cockroachdb/errors"

	core "jackdawbay.dev/core/replica"
	"jackdawbay.dev/daemon/replica"
	"jackdawbay.dev/daemon/transport"
	"jackdawbay.dev/platform"
)

// runReplica runs the replica role until SIGTERM or an interrupt.
func runReplica(root context.Context, p *process) error {
	debug.SetGCPercent(replicaGCPercent)
	if p.site.DataDir == "" {
		return errors.New("settings file: dataDir: want a directory on a VM with the replica role")
	}
	l, err := listen(p.site.ReplicaListen)
	if err != nil {
		return err
	}
	ops, err := listen(p.site.OpsListen)
	if err != nil {
		return err
	}
	server, err := replica.New(replica.DirFS{Dir: p.site.DataDir}, p.log, p.metrics)
	if err != nil {
		return err
	}
	address := p.flags.Advertise
	if address == "" {
		address = p.site.ReplicaListen
	}
	members := &replica.Membership{
		Self:              core.Member{VM: p.site.VM, Disk: server.Disk(), Address: address, DataCentre: p.site.DataCentre},
		RegionOf:          p.site.RegionOf,
		ToleratedFailures: func() int { return int(p.toleratedFailures.Load()) },
		Server:            server,
		Store:             p.store,
		Retirements:       platform.Retirements{Store: p.store},
		Client:            transport.NewClient(transport.Options{DialTimeout: peerDialTimeout}),
		Log:               p.log,
	}
	members.Init()
	p.tree.Add(supervisedTask{"writer", server.RunWriter})
	p.tree.Add(supervisedTask{"watchers", members.RunWatchers})
	p.tree.Add(supervisedTask{"membership", members.Run})
	p.tree.Add(serverTask("replica", &http.Server{Handler: server.Handler(), ReadHeaderTimeout: headerTimeout}, l))
	p.tree.Add(serverTask("metrics", &http.Server{Handler: p.metricsHandler(), ReadHeaderTimeout: headerTimeout}, ops))
	p.tree.ServeBackground(root)

	terminated, cancel := notifyTermination()
	defer cancel()
	<-terminated.Done()
	return nil
}
