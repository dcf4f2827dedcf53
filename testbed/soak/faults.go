package soak

import (
	"context"
	"math/rand/v2"
	"os"
	"time"

	"jackdawbay.dev/testbed/crowd"
	"jackdawbay.dev/testbed/deployment"
	"jackdawbay.dev/testbed/relay"
	"jackdawbay.dev/testbed/standin/backend"
	"jackdawbay.dev/testbed/standin/objectstore"
)

// Timing of faults.
const (
	minFaultInterval    = 100 * time.Millisecond
	maxFaultInterval    = 900 * time.Millisecond
	maxFaultDuration    = 3500 * time.Millisecond
	gracefulStopTimeout = 6 * time.Second // The grace period of a graceful stop plus a margin.
	listenTimeout       = 5 * time.Second // Much longer than a gateway needs, since it listens before it has a configuration.
)

// injectFaults starts faults at random intervals until the duration has passed or the series of losses is complete. Faults may
// overlap. It returns when all of them have ended.
func (s *soakRun) injectFaults(r *rand.Rand) {
	ctx, cancel := context.WithTimeout(context.Background(), s.cfg.Duration)
	targets := newFaultTargets()
	if s.cfg.Losses > 0 {
		ctx, cancel = context.WithCancel(context.Background())
		s.activeFaults.Go(func() {
			defer cancel()
			s.injectLosses(rand.New(rand.NewPCG(s.cfg.Seed, 2)))
		})
	}
	defer cancel()
	for ctx.Err() == nil {
		time.Sleep(randomDuration(r, minFaultInterval, maxFaultInterval))
		s.injectFault(r, targets)
	}
	s.activeFaults.Wait()
}

func randomDuration(r *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(r.Int64N(int64(high-low)))
}

// faultTargets is the set of targets that currently have a fault. It prevents two faults at one target at a time, and the loss
// of a second disk before the view has settled.
type faultTargets struct{ claimed chan map[string]bool }

func newFaultTargets() *faultTargets {
	t := &faultTargets{claimed: make(chan map[string]bool, 1)}
	t.claimed <- map[string]bool{}
	return t
}

func (t *faultTargets) tryClaim(name string) bool {
	claimed := <-t.claimed
	defer func() { t.claimed <- claimed }()
	if claimed[name] {
		return false
	}
	claimed[name] = true
	return true
}

func (t *faultTargets) release(names ...string) {
	claimed := <-t.claimed
	for _, name := range names {
		delete(claimed, name)
	}
	t.claimed <- claimed
}

// injectFor starts a fault at a target and ends it after d, unless the target already has a fault. It does not wait for the end.
func (s *soakRun) injectFor(targets *faultTargets, name, action string, d time.Duration, begin, end func()) {
	if !targets.tryClaim(name) {
		return
	}
	s.recordFault("%s %s for %.1f s", action, name, d.Seconds())
	begin()
	s.activeFaults.Go(func() {
		time.Sleep(d)
		end()
		targets.release(name)
	})
}

func (s *soakRun) injectFault(r *rand.Rand, targets *faultTargets) {
	d := randomDuration(r, 200*time.Millisecond, maxFaultDuration)
	gateway := s.d.Gateways[r.IntN(len(s.d.Gateways))]
	if s.cfg.Losses > 0 {
		s.injectFaultBesideLosses(r, targets, gateway, d)
		return
	}
	replica := s.d.Replicas[r.IntN(len(s.d.Replicas))]
	vm := gateway
	if r.IntN(2) == 0 {
		vm = replica
	}
	switch r.IntN(17) {
	case 0, 1:
		s.injectFor(targets, vm.Name, "kill", d, func() { s.d.KillVM(vm) }, func() { s.startVM(vm) })
	case 2:
		s.restartGateway(targets, gateway)
	case 16:
		s.injectCrowd(r, targets, gateway, d)
	case 3:
		s.injectFor(targets, vm.Name, "freeze", d, func() { s.recordSignalError(s.d.FreezeVM(vm)) }, func() { s.recordSignalError(s.d.ThawVM(vm)) })
	case 4:
		s.wipeDisk(r, targets, replica, d)
	case 5:
		s.corruptLog(r, targets, replica, d)
	case 6:
		s.killAllVMs(targets)
	case 7, 8:
		s.injectStoreFault(r, targets, d)
	case 9:
		s.injectLinkFault(r, targets, "link to "+replica.Name, replica.ReplicaRelay, d)
	case 10:
		s.injectLinkFault(r, targets, storeLinkName(vm), vm.StoreRelay, d)
	case 11:
		u := s.randomUpstream(r)
		s.injectLinkFault(r, targets, "link to "+u.ID, s.d.UpstreamRelay(u), d)
	case 12, 13:
		s.injectUpstreamFault(r, targets, d)
	case 14:
		s.drainUpstream(r, targets, d)
	default:
		s.recordFault("configure")
		s.d.Configure(nil)
	}
}

func (s *soakRun) recordSignalError(err error) {
	if err != nil {
		s.recordFault("cannot send signal: %v", err)
	}
}

func (s *soakRun) startVM(vm *deployment.VM) {
	if err := s.d.StartVM(vm); err != nil {
		s.checks.addViolation("%s does not start: %v", vm.Name, err)
	}
}

func (s *soakRun) restartGateway(targets *faultTargets, g *deployment.VM) {
	if !targets.tryClaim(g.Name) {
		return
	}
	s.recordFault("stop %s", g.Name)
	s.activeFaults.Go(func() {
		s.waitUntilListening(g)
		ctx, cancel := context.WithTimeout(context.Background(), gracefulStopTimeout)
		defer cancel()
		if err := g.Process.Stop(ctx); err != nil {
			s.checks.addViolation("%s did not stop gracefully: %v", g.Name, err)
			s.d.KillVM(g)
		}
		s.startVM(g)
		targets.release(g.Name)
	})
}

// waitUntilListening waits until a gateway accepts connections. Before that, SIGTERM may terminate the process because it does
// not handle signals yet. No request can be affected by this, so it must not count as a failed graceful stop.
func (s *soakRun) waitUntilListening(g *deployment.VM) {
	ctx, cancel := context.WithTimeout(context.Background(), listenTimeout)
	defer cancel()
	for ctx.Err() == nil {
		if conn, err := deployment.Dial(ctx, g); err == nil {
			conn.Close()
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	s.checks.addViolation("%s is not listening %v after its start", g.Name, listenTimeout)
}

// wipeDisk restarts a replica with an empty disk. The next disk is wiped only after the view has settled with the new one.
func (s *soakRun) wipeDisk(r *rand.Rand, targets *faultTargets, vm *deployment.VM, d time.Duration) {
	if !targets.tryClaim("a disk") {
		return
	}
	if !targets.tryClaim(vm.Name) {
		targets.release("a disk")
		return
	}
	s.recordFault("wipe %s for %.1f s", vm.Name, d.Seconds())
	s.d.KillVM(vm)
	if err := s.d.WipeDisk(vm); err != nil {
		s.checks.addViolation("%s cannot be wiped: %v", vm.Name, err)
	}
	s.activeFaults.Go(func() {
		time.Sleep(d)
		s.startVM(vm)
		targets.release(vm.Name)
		if s.waitUntilSettled(vm) {
			targets.release("a disk")
		}
	})
}

// waitUntilSettled waits until the view has one set that contains the current disk of a VM. It reports whether this happened
// in time.
func (s *soakRun) waitUntilSettled(vm *deployment.VM) bool {
	for range 200 {
		time.Sleep(50 * time.Millisecond)
		disk, err := os.ReadFile(vm.DataDir + "/identity")
		if err != nil {
			continue
		}
		if s.d.IsViewSettledWith(string(disk)) {
			return true
		}
	}
	return false
}

func (s *soakRun) corruptLog(r *rand.Rand, targets *faultTargets, vm *deployment.VM, d time.Duration) {
	s.injectFor(targets, vm.Name, "kill and corrupt the log of", d, func() {
		s.d.KillVM(vm)
		if err := appendGarbage(vm.DataDir, r); err != nil {
			s.recordFault("cannot corrupt the log: %v", err)
		}
	}, func() { s.startVM(vm) })
}

func (s *soakRun) killAllVMs(targets *faultTargets) {
	s.recordFault("kill all")
	var killed []*deployment.VM
	for _, vm := range append(append([]*deployment.VM{}, s.d.Gateways...), s.d.Replicas...) {
		if targets.tryClaim(vm.Name) {
			killed = append(killed, vm)
			s.d.KillVM(vm)
		}
	}
	s.activeFaults.Go(func() {
		time.Sleep(500 * time.Millisecond)
		for _, vm := range killed {
			s.startVM(vm)
			targets.release(vm.Name)
		}
	})
}

func (s *soakRun) injectStoreFault(r *rand.Rand, targets *faultTargets, d time.Duration) {
	outages := []objectstore.Outage{objectstore.Unavailable, objectstore.TooManyRequests, objectstore.Disconnect, objectstore.Unresponsive}
	switch r.IntN(5) {
	case 0:
		s.recordFault("drop the history of the store")
		s.d.Store.DropHistory()
	case 1:
		effectDelay := time.Duration(r.IntN(2)) * 1500 * time.Millisecond
		s.recordFault("drop write responses of the store, effect after %v", effectDelay)
		s.d.Store.DropWriteResponses(1+r.IntN(4), effectDelay)
	case 2:
		s.injectFor(targets, "the store", "slow", d, func() { s.d.Store.SetDelay(200 * time.Millisecond) }, func() { s.d.Store.SetDelay(0) })
	case 3:
		s.startStoreOutageIfFree(targets, randomDuration(r, minStoreOutage, maxStoreOutage))
	default:
		o := outages[r.IntN(len(outages))]
		s.injectFor(targets, "the store", string(o), d, func() { s.d.Store.SetOutage(o, nil) }, func() { s.d.Store.SetOutage(objectstore.NoOutage, nil) })
	}
}

// injectLinkFault applies a random fault to a link for d: a blackhole, resets, a cut of one direction, or a delay.
func (s *soakRun) injectLinkFault(r *rand.Rand, targets *faultTargets, name string, link *relay.Relay, d time.Duration) {
	rules := []relay.Rule{{Mode: relay.Blackhole}, {Mode: relay.Refuse}, {Mode: relay.Mute}, {Mode: relay.Pass, LatencyMillis: 60}}
	rule := rules[r.IntN(len(rules))]
	set := func(rules []relay.Rule) {
		if err := link.SetRules(rules); err != nil {
			s.checks.addViolation("rule for %s: %v", name, err)
		}
	}
	s.injectFor(targets, name, string(rule.Mode), d, func() { set([]relay.Rule{rule}) }, func() { set(nil) })
}

func (s *soakRun) randomUpstream(r *rand.Rand) *backend.Upstream {
	upstreams := append(append([]*backend.Upstream{}, s.d.Engines...), s.d.Services...)
	return upstreams[r.IntN(len(upstreams))]
}

func (s *soakRun) injectUpstreamFault(r *rand.Rand, targets *faultTargets, d time.Duration) {
	faults := []backend.Fault{backend.DropResponse, backend.ResetConnection, backend.TruncateBody, backend.MalformedResponse, backend.ExtraResponse,
		backend.UnframedBodyReset, backend.EarlyReject, backend.EarlyReset, backend.Reject, backend.Executed503, backend.Executed500, backend.Hang, backend.UnsignedResponse,
		backend.UndefinedStatus, backend.InvalidHeaderName}
	u := s.randomUpstream(r)
	f := faults[r.IntN(len(faults))]
	s.injectFor(targets, u.ID, string(f), d/2, func() { u.SetFault(f) }, func() { u.SetFault(backend.NoFault) })
}

func (s *soakRun) drainUpstream(r *rand.Rand, targets *faultTargets, d time.Duration) {
	u := s.randomUpstream(r)
	service := deployment.EngineService
	if u.EventsPerStream == 0 {
		service = deployment.PlainService
	}
	zone := s.d.Options.Zones[0]
	s.injectFor(targets, u.ID, "drain", d, func() { s.d.RegisterUpstream(service, u, zone, "draining") }, func() { s.d.RegisterUpstream(service, u, zone, "ready") })
}

// clearStoreFaults ends the store faults that have no fixed duration.
func (s *soakRun) clearStoreFaults() {
	s.recordFault("heal")
	s.d.Store.SetOutage(objectstore.NoOutage, nil)
	s.d.Store.SetDelay(0)
	s.d.Store.DropWriteResponses(0, 0)
}

// crowdClients is the number of clients of a crowd. Their bodies have more than the memory of a gateway.
const crowdClients = 400

// injectCrowd connects clients to a gateway that stop short of the end of their request and stay connected.
func (s *soakRun) injectCrowd(r *rand.Rand, targets *faultTargets, gateway *deployment.VM, d time.Duration) {
	bodies := []*crowd.Body{
		nil, // The head has no end either.
		{Bytes: 1000, PieceBytes: 1000, StopShort: true},
		{Bytes: 1 << 20, PieceBytes: 16 << 10, StopShort: true},
		{Bytes: 1 << 20, PieceBytes: 1000, Chunked: true, StopShort: true},
	}
	body := bodies[r.IntN(len(bodies))]
	var clients crowd.Crowd
	s.injectFor(targets, "crowd at "+gateway.Name, "crowd", d, func() {
		for range crowdClients {
			head := "POST " + deployment.PathOrder + "x HTTP/1.1\r\nHost: " + deployment.Host + "\r\nX-Jackdawbay-Request-Id: " + deployment.NewID() + "\r\n"
			if err := clients.Connect(gateway.FrontAddress, head, body); err != nil {
				return // The gateway does not run at the moment.
			}
		}
	}, clients.Close)
}
