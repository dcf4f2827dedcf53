package soak

import (
	"math/rand/v2"
	"strings"
	"time"

	"jackdawbay.dev/testbed/deployment"
	"jackdawbay.dev/testbed/relay"
)

// Times of losses in series. A lost VM counts as lost until minLossInterval after it, or the VM in its place, is back and the store
// answers: until then no other disk may be lost.
const (
	maxCatchUpTime    = 4800 * time.Millisecond // The platform's bound for a VM to catch up, counted while the store is calm.
	storeSettleTime   = 4 * time.Second         // Time after a disruption of the store or of a replica VM until the store is calm.
	minLossInterval   = maxCatchUpTime + storeSettleTime
	maxExtraDelay     = 1500 * time.Millisecond // Drawn in addition to the gap.
	minStoreOutage    = time.Second
	maxStoreOutage    = 8 * time.Second
	maxDowntime       = 3 * time.Second // Time until a lost VM, or the VM in its place, starts.
	evacuationTimeout = 8 * time.Second // Time that a request to empty a VM gives.
	maxOutageDelay    = 4 * time.Second // Latest start of a silence after the loss that it follows.
	minReplicas       = 2               // Left by requests to empty a VM.
)

// startStoreOutage makes the store answer nobody, neither now nor later on the connections that are open or opened in this time.
func (s *soakRun) startStoreOutage(d time.Duration, onEnd func()) {
	s.recordFault("silent store for %.1f s", d.Seconds())
	s.setStoreRules([]relay.Rule{{Mode: relay.Silent}})
	s.activeFaults.Go(func() {
		time.Sleep(d)
		s.setStoreRules(nil)
		onEnd()
	})
}

// startStoreOutageIfFree silences the store unless another fault has it or a link to it.
func (s *soakRun) startStoreOutageIfFree(targets *faultTargets, d time.Duration) {
	names := []string{"the store"}
	for _, vm := range append(append([]*deployment.VM{}, s.d.Gateways...), s.d.Replicas...) {
		names = append(names, storeLinkName(vm))
	}
	for i, name := range names {
		if !targets.tryClaim(name) {
			targets.release(names[:i]...)
			return
		}
	}
	s.startStoreOutage(d, func() { targets.release(names...) })
}

func storeLinkName(vm *deployment.VM) string { return "link to the store of " + vm.Name }

func (s *soakRun) setStoreRules(rules []relay.Rule) {
	if err := s.d.SetStoreRules(rules); err != nil {
		s.checks.addViolation("rule for the store: %v", err)
	}
}

// injectLosses loses one replica VM or disk after the other, each in a store that is calm again or in one that falls silent.
func (s *soakRun) injectLosses(r *rand.Rand) {
	fullCount := len(s.d.Replicas)
	recoveredAt := time.Now().Add(-minLossInterval) // Nothing has been lost yet.
	for range s.cfg.Losses {
		time.Sleep(time.Until(recoveredAt.Add(minLossInterval)) + randomDuration(r, 0, maxExtraDelay))
		outageEnd := time.Time{}
		outage := randomDuration(r, minStoreOutage, maxStoreOutage)
		startOutage := func() {
			s.startStoreOutage(outage, func() {})
			outageEnd = time.Now().Add(outage)
		}
		outageStarted := make(chan struct{})
		close(outageStarted)
		switch r.IntN(4) {
		case 0, 1:
			startOutage()
			time.Sleep(randomDuration(r, 0, outage))
		case 2:
			wait := randomDuration(r, 0, maxOutageDelay)
			outageStarted = make(chan struct{})
			s.activeFaults.Go(func() {
				defer close(outageStarted)
				time.Sleep(wait)
				startOutage()
			})
		}
		if r.IntN(4) == 0 {
			s.recordFault("answers of the store are lost")
			s.d.Store.DropWriteResponses(1+r.IntN(3), time.Duration(r.IntN(2))*1500*time.Millisecond)
		}
		s.injectLoss(r, fullCount)
		<-outageStarted
		s.d.Store.DropWriteResponses(0, 0)
		time.Sleep(time.Until(outageEnd))
		recoveredAt = time.Now()
	}
}

// lose loses a replica VM or its disk, and returns when it, or the VM in its place, is back.
func (s *soakRun) injectLoss(r *rand.Rand, fullCount int) {
	vm := s.d.Replicas[r.IntN(len(s.d.Replicas))]
	downtime := randomDuration(r, 200*time.Millisecond, maxDowntime)
	kind := r.IntN(8)
	switch {
	case kind <= 1 && len(s.d.Replicas) > minReplicas:
		s.evacuate(vm)
	case kind <= 1 && len(s.d.Replicas) < fullCount:
		s.recordFault("add a replica VM in %s", vm.Zone)
		s.addReplica(vm.Zone)
	case kind <= 4:
		s.recordFault("replace %s after %.1f s", vm.Name, downtime.Seconds())
		s.removeVM(vm)
		time.Sleep(downtime)
		s.addReplica(vm.Zone)
	case kind <= 6:
		s.recordFault("wipe %s for %.1f s", vm.Name, downtime.Seconds())
		s.d.KillVM(vm)
		if err := s.d.WipeDisk(vm); err != nil {
			s.checks.addViolation("%s cannot be wiped: %v", vm.Name, err)
		}
		time.Sleep(downtime)
		s.startVM(vm)
	default:
		s.recordFault("freeze %s for %.1f s", vm.Name, downtime.Seconds())
		s.recordSignalError(s.d.FreezeVM(vm))
		time.Sleep(downtime)
		s.recordSignalError(s.d.ThawVM(vm))
	}
}

// retire asks for a VM to be emptied. It is removed with its disk when it is reported as emptied, and stays otherwise.
func (s *soakRun) evacuate(vm *deployment.VM) {
	s.recordFault("empty %s", vm.Name)
	s.d.Store.Put("retirements", vm.Name, map[string]any{"durationS": evacuationTimeout.Seconds()})
	for end := time.Now().Add(evacuationTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if o, _ := s.d.Store.Get("retirements", vm.Name); strings.Contains(string(o.Status), "done") {
			s.recordFault("%s is emptied and removed", vm.Name)
			s.removeVM(vm)
			return
		}
	}
	s.recordFault("%s is not emptied in time and stays", vm.Name)
	s.d.Store.Remove("retirements", vm.Name)
}

func (s *soakRun) removeVM(vm *deployment.VM) {
	if err := s.d.RemoveVM(vm); err != nil {
		s.checks.addViolation("%s cannot be removed: %v", vm.Name, err)
	}
}

func (s *soakRun) addReplica(zone string) {
	vm, err := s.d.AddVMInZone("replica", zone)
	if err != nil {
		s.checks.addViolation("a replica VM cannot be added: %v", err)
		return
	}
	s.recordFault("%s starts", vm.Name)
}

// injectFaultBesideLosses injects a fault that takes no replica and not the store.
func (s *soakRun) injectFaultBesideLosses(r *rand.Rand, targets *faultTargets, gateway *deployment.VM, d time.Duration) {
	switch r.IntN(8) {
	case 0:
		s.injectFor(targets, gateway.Name, "kill", d, func() { s.d.KillVM(gateway) }, func() { s.startVM(gateway) })
	case 1:
		s.restartGateway(targets, gateway)
	case 2:
		s.injectFor(targets, gateway.Name, "freeze", d, func() { s.recordSignalError(s.d.FreezeVM(gateway)) }, func() { s.recordSignalError(s.d.ThawVM(gateway)) })
	case 3:
		u := s.randomUpstream(r)
		s.injectLinkFault(r, targets, "link to "+u.ID, s.d.UpstreamRelay(u), d)
	case 4, 5:
		s.injectUpstreamFault(r, targets, d)
	case 6:
		s.drainUpstream(r, targets, d)
	default:
		s.recordFault("configure")
		s.d.Configure(nil)
	}
}
