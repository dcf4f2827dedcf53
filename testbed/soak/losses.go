package soak

import (
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"jackdawbay.dev/testbed/deployment"
	"jackdawbay.dev/testbed/relay"
)

// Timing of losses in series. A failed VM counts as failed until minLossInterval after it, or its replacement, has started and
// the store responds. No other disk may be lost before.
const (
	maxCatchUpTime    = 4800 * time.Millisecond // The platform's time limit for a VM to catch up, counted while the store is stable.
	storeSettleTime   = 4 * time.Second         // Time after a fault of the store or of a replica VM until the store is stable.
	minLossInterval   = maxCatchUpTime + storeSettleTime
	maxExtraDelay     = 1500 * time.Millisecond // Random delay in addition to minLossInterval.
	minStoreOutage    = time.Second
	maxStoreOutage    = 8 * time.Second
	maxDowntime       = 3 * time.Second // Time until a failed VM, or its replacement, starts.
	evacuationTimeout = 8 * time.Second // Duration in a request to evacuate a VM.
	maxOutageDelay    = 4 * time.Second // Maximum time from a loss to the start of the outage that follows it.
	minReplicas       = 2               // Number of replicas that evacuations must leave.
)

// startStoreOutage makes the store unresponsive to all VMs for d and then calls onEnd. Connections that exist during the outage
// stay unresponsive afterwards.
func (s *soakRun) startStoreOutage(d time.Duration, onEnd func()) {
	s.recordFault("unresponsive store for %.1f s", d.Seconds())
	s.setStoreRules([]relay.Rule{{Mode: relay.Silent}})
	s.activeFaults.Go(func() {
		time.Sleep(d)
		s.setStoreRules(nil)
		onEnd()
	})
}

// startStoreOutageIfFree makes the store unresponsive for d, unless the store or a link to it already has a fault.
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
		s.checks.addViolation("set relay rules for the store: %v", err)
	}
}

// injectLosses injects a series of losses of one replica VM or disk each, some beside an evacuation or before restarts of other members. Some losses happen while the store is stable, others
// just before or during a store outage. With some losses, the store also drops the responses to writes, which take effect
// immediately or 1.5 s later.
func (s *soakRun) injectLosses(r *rand.Rand) {
	fullCount := len(s.d.Replicas)
	recoveredAt := time.Now().Add(-minLossInterval) // There has been no loss yet.
	beside := rand.New(rand.NewPCG(s.cfg.Seed, 1))  // Draws of its own, so that those of earlier seeds stay as they are.
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
			s.recordFault("drop write responses of the store")
			s.d.Store.DropWriteResponses(1+r.IntN(3), time.Duration(r.IntN(2))*1500*time.Millisecond)
		}
		waitForEvacuation := s.startEvacuation(beside)
		s.injectLossesAtOnce(r, fullCount)
		waitForEvacuation()
		s.restartMembers(beside)
		<-outageStarted
		s.d.Store.DropWriteResponses(0, 0)
		time.Sleep(time.Until(outageEnd))
		recoveredAt = time.Now()
	}
}

// startEvacuation evacuates a replica VM close to the next loss, in a quarter of the cases. The returned function waits until that has ended.
func (s *soakRun) startEvacuation(r *rand.Rand) (wait func()) {
	var group sync.WaitGroup
	vms, delay := s.d.CurrentMembers(), randomDuration(r, 0, maxDowntime)
	if len(vms) > minReplicas && r.IntN(4) == 0 {
		vm := vms[r.IntN(len(vms))]
		group.Go(func() {
			time.Sleep(delay)
			s.evacuate(vm)
		})
	}
	return group.Wait
}

// restartMembers restarts two members of the current set at the same time, in a quarter of the cases. They keep their disks.
func (s *soakRun) restartMembers(r *rand.Rand) {
	vms, delay := s.d.CurrentMembers(), randomDuration(r, 0, maxDowntime)
	if len(vms) < 2 || r.IntN(4) != 0 {
		return
	}
	time.Sleep(delay)
	restarted := r.Perm(len(vms))[:2]
	for _, i := range restarted {
		s.recordFault("restart %s", vms[i].Name)
		s.d.KillVM(vms[i])
	}
	for _, i := range restarted {
		s.startVM(vms[i])
	}
}

// injectLossesAtOnce causes up to as many losses as tolerated at the same time. It returns when all VMs that failed, or their
// replacements, have been started.
func (s *soakRun) injectLossesAtOnce(r *rand.Rand, fullCount int) {
	vms := s.d.CurrentMembers()
	if s.cfg.Tolerated == 1 || len(vms) < s.cfg.Tolerated {
		replicas := s.d.ReplicaVMs()
		s.injectLoss(r, replicas[r.IntN(len(replicas))], fullCount)
		return
	}
	var losses sync.WaitGroup
	for _, i := range r.Perm(len(vms))[:1+r.IntN(s.cfg.Tolerated)] {
		lossRand := rand.New(rand.NewPCG(r.Uint64(), r.Uint64()))
		losses.Go(func() { s.injectLoss(lossRand, vms[i], fullCount) })
	}
	losses.Wait()
}

// injectLoss causes the loss of a replica VM or its disk. It returns when the VM, or its replacement, has been started.
func (s *soakRun) injectLoss(r *rand.Rand, vm *deployment.VM, fullCount int) {
	downtime := randomDuration(r, 200*time.Millisecond, maxDowntime)
	kind, replicas := r.IntN(8), len(s.d.ReplicaVMs())
	switch {
	case kind <= 1 && replicas > minReplicas:
		s.evacuate(vm)
	case kind <= 1 && replicas < fullCount:
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

// injectFinalFault kills all processes at the same moment while callers send requests, empties as many disks of the current
// members as tolerated, and starts all VMs again. It waits before that until every earlier loss counts as over.
func (s *soakRun) injectFinalFault(r *rand.Rand) {
	time.Sleep(minLossInterval)
	vms := append(append([]*deployment.VM{}, s.d.Gateways...), s.d.Replicas...)
	lost := map[*deployment.VM]bool{}
	members := s.d.CurrentMembers()
	for _, i := range r.Perm(len(members))[:min(s.cfg.FinalLosses, len(members))] {
		lost[members[i]] = true
		s.recordFault("kill all and lose the disk of %s", members[i].Name)
	}
	var killed sync.WaitGroup
	for _, vm := range vms {
		killed.Go(func() { s.d.KillVM(vm) })
	}
	killed.Wait()
	for vm := range lost {
		if err := s.d.WipeDisk(vm); err != nil {
			s.checks.addViolation("%s cannot be wiped: %v", vm.Name, err)
		}
	}
	time.Sleep(randomDuration(r, 200*time.Millisecond, time.Second))
	r.Shuffle(len(vms), func(i, j int) { vms[i], vms[j] = vms[j], vms[i] })
	for _, vm := range vms {
		s.startVM(vm)
	}
}

// evacuate requests the evacuation of a VM. It removes the VM and its disk once the VM is reported as evacuated. If that does
// not happen within evacuationTimeout, it withdraws the request.
func (s *soakRun) evacuate(vm *deployment.VM) {
	s.recordFault("evacuate %s", vm.Name)
	s.d.Store.Put("retirements", vm.Name, map[string]any{"durationS": evacuationTimeout.Seconds()})
	for deadline := time.Now().Add(evacuationTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if o, _ := s.d.Store.Get("retirements", vm.Name); strings.Contains(string(o.Status), "done") {
			s.recordFault("%s is evacuated and removed", vm.Name)
			s.removeVM(vm)
			return
		}
	}
	s.recordFault("%s was not evacuated in time and stays", vm.Name)
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

// injectFaultBesideLosses injects a fault that affects neither a replica nor the store.
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
