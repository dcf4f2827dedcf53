package soak

import (
	"math/rand/v2"
	"strings"
	"time"

	"jackdawbay.dev/testbed/deployment"
	"jackdawbay.dev/testbed/relay"
)

// Times of losses in series. A lost VM counts as lost until lossGap after it, or the VM in its place, is back and the store
// answers: until then no other disk may be lost.
const (
	catchUp         = 4800 * time.Millisecond // The platform's bound for a VM to catch up, counted while the store is calm.
	storeCalm       = 4 * time.Second         // Time after a disruption of the store or of a replica VM until the store is calm.
	lossGap         = catchUp + storeCalm
	longestDelay    = 1500 * time.Millisecond // Drawn in addition to the gap.
	shortestSilence = time.Second
	longestSilence  = 8 * time.Second
	longestDown     = 3 * time.Second // Time until a lost VM, or the VM in its place, starts.
	retireTime      = 8 * time.Second // Time that a request to empty a VM gives.
	lateSilence     = 4 * time.Second // Latest start of a silence after the loss that it follows.
	fewestReplicas  = 2               // Left by requests to empty a VM.
)

// silenceStore makes the store answer nobody, neither now nor later on the connections that are open or opened in this time.
func (s *soak) silenceStore(d time.Duration, after func()) {
	s.note("silent store for %.1f s", d.Seconds())
	s.setStoreRules([]relay.Rule{{Mode: relay.Silent}})
	s.live.Go(func() {
		time.Sleep(d)
		s.setStoreRules(nil)
		after()
	})
}

// silenceFreeStore silences the store unless another fault has it or a link to it.
func (s *soak) silenceFreeStore(busy *claims, d time.Duration) {
	names := []string{"the store"}
	for _, vm := range append(append([]*deployment.VM{}, s.d.Gateways...), s.d.Replicas...) {
		names = append(names, linkToStore(vm))
	}
	for i, name := range names {
		if !busy.take(name) {
			busy.release(names[:i]...)
			return
		}
	}
	s.silenceStore(d, func() { busy.release(names...) })
}

func linkToStore(vm *deployment.VM) string { return "link to the store of " + vm.Name }

func (s *soak) setStoreRules(rules []relay.Rule) {
	if err := s.d.SetStoreRules(rules); err != nil {
		s.checks.violate("rule for the store: %v", err)
	}
}

// loseInSeries loses one replica VM or disk after the other, each in a store that is calm again or in one that falls silent.
func (s *soak) loseInSeries(r *rand.Rand) {
	full := len(s.d.Replicas)
	calm := time.Now().Add(-lossGap) // Nothing has been lost yet.
	for range s.cfg.Losses {
		time.Sleep(time.Until(calm.Add(lossGap)) + between(r, 0, longestDelay))
		silent := time.Time{}
		silence := between(r, shortestSilence, longestSilence)
		start := func() {
			s.silenceStore(silence, func() {})
			silent = time.Now().Add(silence)
		}
		late := make(chan struct{})
		close(late)
		switch r.IntN(4) {
		case 0, 1:
			start()
			time.Sleep(between(r, 0, silence))
		case 2:
			wait := between(r, 0, lateSilence)
			late = make(chan struct{})
			s.live.Go(func() {
				defer close(late)
				time.Sleep(wait)
				start()
			})
		}
		if r.IntN(4) == 0 {
			s.note("answers of the store are lost")
			s.d.Store.DropWriteResponses(1+r.IntN(3), time.Duration(r.IntN(2))*1500*time.Millisecond)
		}
		s.lose(r, full)
		<-late
		s.d.Store.DropWriteResponses(0, 0)
		time.Sleep(time.Until(silent))
		calm = time.Now()
	}
}

// lose loses a replica VM or its disk, and returns when it, or the VM in its place, is back.
func (s *soak) lose(r *rand.Rand, full int) {
	vm := s.d.Replicas[r.IntN(len(s.d.Replicas))]
	down := between(r, 200*time.Millisecond, longestDown)
	kind := r.IntN(8)
	switch {
	case kind <= 1 && len(s.d.Replicas) > fewestReplicas:
		s.retire(vm)
	case kind <= 1 && len(s.d.Replicas) < full:
		s.note("add a replica VM in %s", vm.Zone)
		s.addReplica(vm.Zone)
	case kind <= 4:
		s.note("replace %s after %.1f s", vm.Name, down.Seconds())
		s.remove(vm)
		time.Sleep(down)
		s.addReplica(vm.Zone)
	case kind <= 6:
		s.note("wipe %s for %.1f s", vm.Name, down.Seconds())
		s.d.KillVM(vm)
		if err := s.d.WipeDisk(vm); err != nil {
			s.checks.violate("%s cannot be wiped: %v", vm.Name, err)
		}
		time.Sleep(down)
		s.start(vm)
	default:
		s.note("freeze %s for %.1f s", vm.Name, down.Seconds())
		s.signal(s.d.FreezeVM(vm))
		time.Sleep(down)
		s.signal(s.d.ThawVM(vm))
	}
}

// retire asks for a VM to be emptied. It is removed with its disk when it is reported as emptied, and stays otherwise.
func (s *soak) retire(vm *deployment.VM) {
	s.note("empty %s", vm.Name)
	s.d.Store.Put("retirements", vm.Name, map[string]any{"durationS": retireTime.Seconds()})
	for end := time.Now().Add(retireTime); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if o, _ := s.d.Store.Get("retirements", vm.Name); strings.Contains(string(o.Status), "done") {
			s.note("%s is emptied and removed", vm.Name)
			s.remove(vm)
			return
		}
	}
	s.note("%s is not emptied in time and stays", vm.Name)
	s.d.Store.Remove("retirements", vm.Name)
}

func (s *soak) remove(vm *deployment.VM) {
	if err := s.d.RemoveVM(vm); err != nil {
		s.checks.violate("%s cannot be removed: %v", vm.Name, err)
	}
}

func (s *soak) addReplica(zone string) {
	vm, err := s.d.AddVMInZone("replica", zone)
	if err != nil {
		s.checks.violate("a replica VM cannot be added: %v", err)
		return
	}
	s.note("%s starts", vm.Name)
}

// faultBesideLosses injects a fault that takes no replica and not the store.
func (s *soak) faultBesideLosses(r *rand.Rand, busy *claims, gateway *deployment.VM, d time.Duration) {
	switch r.IntN(8) {
	case 0:
		s.during(busy, gateway.Name, "kill", d, func() { s.d.KillVM(gateway) }, func() { s.start(gateway) })
	case 1:
		s.stopGateway(busy, gateway)
	case 2:
		s.during(busy, gateway.Name, "freeze", d, func() { s.signal(s.d.FreezeVM(gateway)) }, func() { s.signal(s.d.ThawVM(gateway)) })
	case 3:
		u := s.upstream(r)
		s.rule(r, busy, "link to "+u.ID, s.d.UpstreamRelay(u), d)
	case 4, 5:
		s.upstreamFault(r, busy, d)
	case 6:
		s.drain(r, busy, d)
	default:
		s.note("configure")
		s.d.Configure(nil)
	}
}
