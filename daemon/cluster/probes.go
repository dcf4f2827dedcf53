package cluster

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"jackdawbay.dev/core/membership"
	"jackdawbay.dev/daemon/peer"
)

// runProbes probes the ring neighbours at a fixed rate.
func (a *Agent) runProbes(ctx context.Context) {
	tick := time.NewTicker(membership.ProbeInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			a.probeNeighbours(ctx)
		}
	}
}

func (a *Agent) probeNeighbours(ctx context.Context) {
	targets := a.Roster().Neighbours(a.Incarnation(), membership.ProbeFanOut)
	var (
		group    sync.WaitGroup
		answered atomic.Int64
	)
	for _, m := range targets {
		group.Go(func() {
			result := a.probe(ctx, m)
			if result == membership.ProbeOK {
				answered.Add(1)
			}
			a.observe(ctx, m, result)
		})
	}
	group.Wait()
	if len(targets) > 0 && answered.Load() == 0 {
		// A daemon that is cut from its peers learns of its own removal from the platform only.
		a.refreshFromPlatform(ctx)
	}
}

// observe records the result of a probe and acts on a suspicion.
func (a *Agent) observe(ctx context.Context, m membership.Member, result membership.ProbeResult) {
	a.detectMu.Lock()
	suspected := a.detector.Observe(time.Now(), m.Incarnation, result)
	a.detectMu.Unlock()
	if suspected {
		a.ReportSuspect(ctx, m, result == membership.ProbeRefused)
	}
}

// Suspect reports a member that does not answer to the coordinator, or replaces the coordinator when it is the suspect
// and this daemon is its deputy.
func (a *Agent) ReportSuspect(ctx context.Context, m membership.Member, refused bool) {
	r := a.Roster()
	if _, ok := r.Member(m.Incarnation); !ok {
		return
	}
	switch {
	case r.Coordinator == a.Incarnation():
		a.confirmAndEvict(ctx, m.Incarnation)
	case r.Coordinator == m.Incarnation:
		a.replaceCoordinator(ctx, r, m)
	default:
		a.reportSuspect(ctx, r, m, refused)
	}
}

func (a *Agent) reportSuspect(ctx context.Context, r membership.Roster, m membership.Member, refused bool) {
	coordinator, ok := r.Member(r.Coordinator)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, membership.ProbeTimeout)
	defer cancel()
	report := peer.SuspectReport{Incarnation: m.Incarnation, Refused: refused}
	if err := a.peers.Post(ctx, coordinator.PeerAddress, peer.PathSuspect, report, nil); err != nil {
		a.log.Debug("suspicion was not reported", "suspect", m.VM, "error", err)
		a.observe(ctx, coordinator, resultOf(err))
	}
}

func resultOf(err error) membership.ProbeResult {
	if isRefused(err) {
		return membership.ProbeRefused
	}
	return membership.ProbeTimedOut
}

// replaceCoordinator acts for the deputy. Any other member that suspects the coordinator tells the deputy.
func (a *Agent) replaceCoordinator(ctx context.Context, r membership.Roster, coordinator membership.Member) {
	deputy, ok := r.NextCoordinator(func(incarnation string) bool {
		a.detectMu.Lock()
		defer a.detectMu.Unlock()
		return a.detector.IsSuspected(incarnation)
	})
	if !ok {
		return
	}
	if deputy.Incarnation != a.Incarnation() {
		ctx, cancel := context.WithTimeout(ctx, membership.ProbeTimeout)
		defer cancel()
		report := peer.SuspectReport{Incarnation: coordinator.Incarnation}
		if err := a.peers.Post(ctx, deputy.PeerAddress, peer.PathSuspect, report, nil); err != nil {
			a.detectMu.Lock()
			a.detector.Observe(time.Now(), deputy.Incarnation, resultOf(err))
			a.detectMu.Unlock()
		}
		return
	}
	if !a.coordinator.replacing.TryLock() {
		return
	}
	defer a.coordinator.replacing.Unlock()
	if !a.coordinatorDead(ctx, coordinator) {
		return
	}
	fresh, version, err := a.newestRoster(ctx)
	if err != nil || fresh.Coordinator != coordinator.Incarnation {
		return
	}
	a.takeOver(ctx, fresh, version, a.Self())
}

// compareWithPeer fetches what a peer has newer: the roster, and through the configuration's own path the records.
func (a *Agent) compareWithPeer(ctx context.Context, m membership.Member, p peer.ProbeResponse) {
	if p.Term > a.Roster().Term {
		var push peer.RosterUpdate
		if err := a.peers.Get(ctx, m.PeerAddress, peer.PathRoster, &push); err == nil {
			a.ApplyRosterIfNewer(push.Roster, 0)
		}
	}
	if p.Config != a.digest() && a.onConfigDiffers != nil {
		a.onConfigDiffers(m)
	}
}
