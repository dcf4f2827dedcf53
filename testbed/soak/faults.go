package soak

import (
	"context"
	"math/rand/v2"
	"os"
	"time"

	"jackdawbay.dev/testbed/deployment"
	"jackdawbay.dev/testbed/relay"
	"jackdawbay.dev/testbed/standin/backend"
	"jackdawbay.dev/testbed/standin/objectstore"
)

// Times of faults.
const (
	shortestPause = 100 * time.Millisecond
	longestPause  = 900 * time.Millisecond
	longestFault  = 3500 * time.Millisecond
	stopWait      = 6 * time.Second // The grace of a planned stop and a margin.
	startWait     = 5 * time.Second // Far above the start of a gateway, which listens before it knows its configuration.
)

// injectFaults starts faults one after the other until the time, or the series of losses, is over. They overlap.
func (s *soak) injectFaults(r *rand.Rand) {
	over, end := context.WithTimeout(context.Background(), s.cfg.Duration)
	busy := newClaims()
	if s.cfg.Losses > 0 {
		over, end = context.WithCancel(context.Background())
		s.live.Go(func() {
			defer end()
			s.loseInSeries(rand.New(rand.NewPCG(s.cfg.Seed, 2)))
		})
	}
	defer end()
	for over.Err() == nil {
		time.Sleep(between(r, shortestPause, longestPause))
		s.fault(r, busy)
	}
	s.live.Wait()
}

func between(r *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(r.Int64N(int64(high-low)))
}

// claims keeps two faults from one process at a time, and a second lost disk from a view that has not settled.
type claims struct{ held chan map[string]bool }

func newClaims() *claims {
	c := &claims{held: make(chan map[string]bool, 1)}
	c.held <- map[string]bool{}
	return c
}

func (c *claims) take(name string) bool {
	held := <-c.held
	defer func() { c.held <- held }()
	if held[name] {
		return false
	}
	held[name] = true
	return true
}

func (c *claims) release(names ...string) {
	held := <-c.held
	for _, name := range names {
		delete(held, name)
	}
	c.held <- held
}

// during runs a fault and its end beside the others.
func (s *soak) during(busy *claims, name, what string, d time.Duration, begin, end func()) {
	if !busy.take(name) {
		return
	}
	s.note("%s %s for %.1f s", what, name, d.Seconds())
	begin()
	s.live.Go(func() {
		time.Sleep(d)
		end()
		busy.release(name)
	})
}

func (s *soak) fault(r *rand.Rand, busy *claims) {
	d := between(r, 200*time.Millisecond, longestFault)
	gateway := s.d.Gateways[r.IntN(len(s.d.Gateways))]
	if s.cfg.Losses > 0 {
		s.faultBesideLosses(r, busy, gateway, d)
		return
	}
	replica := s.d.Replicas[r.IntN(len(s.d.Replicas))]
	any := gateway
	if r.IntN(2) == 0 {
		any = replica
	}
	switch r.IntN(16) {
	case 0, 1:
		s.during(busy, any.Name, "kill", d, func() { s.d.KillVM(any) }, func() { s.start(any) })
	case 2:
		s.stopGateway(busy, gateway)
	case 3:
		s.during(busy, any.Name, "freeze", d, func() { s.signal(s.d.FreezeVM(any)) }, func() { s.signal(s.d.ThawVM(any)) })
	case 4:
		s.wipe(r, busy, replica, d)
	case 5:
		s.tear(r, busy, replica, d)
	case 6:
		s.killAll(busy)
	case 7, 8:
		s.storeFault(r, busy, d)
	case 9:
		s.rule(r, busy, "link to "+replica.Name, replica.ReplicaRelay, d)
	case 10:
		s.rule(r, busy, linkToStore(any), any.StoreRelay, d)
	case 11:
		u := s.upstream(r)
		s.rule(r, busy, "link to "+u.ID, s.d.UpstreamRelay(u), d)
	case 12, 13:
		s.upstreamFault(r, busy, d)
	case 14:
		s.drain(r, busy, d)
	default:
		s.note("configure")
		s.d.Configure(nil)
	}
}

func (s *soak) signal(err error) {
	if err != nil {
		s.note("signal failed: %v", err)
	}
}

func (s *soak) start(vm *deployment.VM) {
	if err := s.d.StartVM(vm); err != nil {
		s.checks.violate("%s does not start: %v", vm.Name, err)
	}
}

func (s *soak) stopGateway(busy *claims, g *deployment.VM) {
	if !busy.take(g.Name) {
		return
	}
	s.note("stop %s", g.Name)
	s.live.Go(func() {
		s.awaitListening(g)
		ctx, cancel := context.WithTimeout(context.Background(), stopWait)
		defer cancel()
		if err := g.Process.Stop(ctx); err != nil {
			s.checks.violate("%s did not stop in order: %v", g.Name, err)
			s.d.KillVM(g)
		}
		s.start(g)
		busy.release(g.Name)
	})
}

// awaitListening waits until a gateway takes connections. SIGTERM ends a process that has not started to handle signals, which
// no request can notice.
func (s *soak) awaitListening(g *deployment.VM) {
	ctx, cancel := context.WithTimeout(context.Background(), startWait)
	defer cancel()
	for ctx.Err() == nil {
		if keep, err := deployment.Dial(ctx, g); err == nil {
			keep.Close()
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	s.checks.violate("%s does not listen %v after its start", g.Name, startWait)
}

// wipe takes the disk of a replica. The next disk is taken only after the view has settled with the new one.
func (s *soak) wipe(r *rand.Rand, busy *claims, vm *deployment.VM, d time.Duration) {
	if !busy.take("a disk") {
		return
	}
	if !busy.take(vm.Name) {
		busy.release("a disk")
		return
	}
	s.note("wipe %s for %.1f s", vm.Name, d.Seconds())
	s.d.KillVM(vm)
	if err := s.d.WipeDisk(vm); err != nil {
		s.checks.violate("%s cannot be wiped: %v", vm.Name, err)
	}
	s.live.Go(func() {
		time.Sleep(d)
		s.start(vm)
		busy.release(vm.Name)
		if s.awaitSettled(vm) {
			busy.release("a disk")
		}
	})
}

// awaitSettled waits until the view has one set with the present disk of a VM.
func (s *soak) awaitSettled(vm *deployment.VM) bool {
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

func (s *soak) tear(r *rand.Rand, busy *claims, vm *deployment.VM, d time.Duration) {
	s.during(busy, vm.Name, "kill and tear the log of", d, func() {
		s.d.KillVM(vm)
		if err := tearTail(vm.DataDir, r); err != nil {
			s.note("log is not torn: %v", err)
		}
	}, func() { s.start(vm) })
}

func (s *soak) killAll(busy *claims) {
	s.note("kill all")
	var taken []*deployment.VM
	for _, vm := range append(append([]*deployment.VM{}, s.d.Gateways...), s.d.Replicas...) {
		if busy.take(vm.Name) {
			taken = append(taken, vm)
			s.d.KillVM(vm)
		}
	}
	s.live.Go(func() {
		time.Sleep(500 * time.Millisecond)
		for _, vm := range taken {
			s.start(vm)
			busy.release(vm.Name)
		}
	})
}

func (s *soak) storeFault(r *rand.Rand, busy *claims, d time.Duration) {
	outages := []objectstore.Outage{objectstore.Unavailable, objectstore.TooManyRequests, objectstore.Disconnect, objectstore.Unresponsive}
	switch r.IntN(5) {
	case 0:
		s.note("the store forgets its history")
		s.d.Store.DropHistory()
	case 1:
		late := time.Duration(r.IntN(2)) * 1500 * time.Millisecond
		s.note("answers of the store are lost, effect after %v", late)
		s.d.Store.DropWriteResponses(1+r.IntN(4), late)
	case 2:
		s.during(busy, "the store", "slow", d, func() { s.d.Store.SetDelay(200 * time.Millisecond) }, func() { s.d.Store.SetDelay(0) })
	case 3:
		s.silenceFreeStore(busy, between(r, shortestSilence, longestSilence))
	default:
		o := outages[r.IntN(len(outages))]
		s.during(busy, "the store", string(o), d, func() { s.d.Store.SetOutage(o, nil) }, func() { s.d.Store.SetOutage(objectstore.NoOutage, nil) })
	}
}

// rule breaks a link for a time: no bytes, resets, a cut of one direction, or a delay.
func (s *soak) rule(r *rand.Rand, busy *claims, name string, link *relay.Relay, d time.Duration) {
	rules := []relay.Rule{{Mode: relay.Blackhole}, {Mode: relay.Refuse}, {Mode: relay.Mute}, {Mode: relay.Pass, LatencyMillis: 60}}
	rule := rules[r.IntN(len(rules))]
	set := func(rules []relay.Rule) {
		if err := link.SetRules(rules); err != nil {
			s.checks.violate("rule for %s: %v", name, err)
		}
	}
	s.during(busy, name, string(rule.Mode), d, func() { set([]relay.Rule{rule}) }, func() { set(nil) })
}

func (s *soak) upstream(r *rand.Rand) *backend.Upstream {
	all := append(append([]*backend.Upstream{}, s.d.Engines...), s.d.Services...)
	return all[r.IntN(len(all))]
}

func (s *soak) upstreamFault(r *rand.Rand, busy *claims, d time.Duration) {
	faults := []backend.Fault{backend.DropResponse, backend.ResetConnection, backend.TruncateBody, backend.MalformedResponse, backend.ExtraResponse,
		backend.UnframedBodyReset, backend.EarlyReject, backend.Reject, backend.Executed503, backend.Executed500, backend.Hang, backend.UnsignedResponse}
	u := s.upstream(r)
	f := faults[r.IntN(len(faults))]
	s.during(busy, u.ID, string(f), d/2, func() { u.SetFault(f) }, func() { u.SetFault(backend.NoFault) })
}

func (s *soak) drain(r *rand.Rand, busy *claims, d time.Duration) {
	u := s.upstream(r)
	service := deployment.EngineService
	if u.EventsPerStream == 0 {
		service = deployment.PlainService
	}
	zone := s.d.Options.Zones[0]
	s.during(busy, u.ID, "drain", d, func() { s.d.RegisterUpstream(service, u, zone, "draining") }, func() { s.d.RegisterUpstream(service, u, zone, "ready") })
}

// heal ends every fault that has no end of its own.
func (s *soak) heal() {
	s.note("heal")
	s.d.Store.SetOutage(objectstore.NoOutage, nil)
	s.d.Store.SetDelay(0)
	s.d.Store.DropWriteResponses(0, 0)
}
