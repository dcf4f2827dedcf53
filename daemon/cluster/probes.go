package cluster

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"jackdawbay.dev/core/membership"
	"jackdawbay.dev/daemon/peer"
)

// runProbes probes the ring neighbours once in each probe interval.
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
	neighbours := a.Roster().Neighbours(a.Incarnation(), membership.ProbeFanOut)
	var (
		wg        sync.WaitGroup
		responded atomic.Int64
	)
	for _, m := range neighbours {
		wg.Go(func() {
			result := a.probe(ctx, m)
			if result == membership.ProbeOK {
				responded.Add(1)
			}
			a.recordProbe(ctx, m, result)
		})
	}
	wg.Wait()
	if len(neighbours) > 0 && responded.Load() == 0 {
		// A daemon that is cut off from its peers can observe its own removal only on the platform.
		a.refreshRoster(ctx)
	}
}

// recordProbe records the result of a probe and reports the member if it became suspected.
func (a *Agent) recordProbe(ctx context.Context, m membership.Member, result membership.ProbeResult) {
	a.detectorMu.Lock()
	suspected := a.detector.Observe(time.Now(), m.Incarnation, result)
	a.detectorMu.Unlock()
	if suspected {
		a.ReportSuspect(ctx, m, result == membership.ProbeRefused)
	}
}

// ReportSuspect reports an unresponsive member to the coordinator. The coordinator itself confirms the failure and
// evicts the member. If the coordinator is the suspect, the next coordinator replaces it.
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
		a.sendSuspectReport(ctx, r, m, refused)
	}
}

func (a *Agent) sendSuspectReport(ctx context.Context, r membership.Roster, m membership.Member, refused bool) {
	coordinator, ok := r.Member(r.Coordinator)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, membership.ProbeTimeout)
	defer cancel()
	report := peer.SuspectReport{Incarnation: m.Incarnation, Refused: refused}
	if err := a.peers.Post(ctx, coordinator.PeerAddress, peer.PathSuspect, report, nil); err != nil {
		a.log.Debug("suspicion was not reported", "suspect", m.VM, "error", err)
		a.recordProbe(ctx, coordinator, probeResultOf(err))
	}
}

func probeResultOf(err error) membership.ProbeResult {
	if isConnectionRefused(err) {
		return membership.ProbeRefused
	}
	return membership.ProbeTimedOut
}

// replaceCoordinator replaces a suspected coordinator if this daemon is the next coordinator. Any other member reports
// the suspicion to the next coordinator.
func (a *Agent) replaceCoordinator(ctx context.Context, r membership.Roster, coordinator membership.Member) {
	nextCoordinator, ok := r.NextCoordinator(func(incarnation string) bool {
		a.detectorMu.Lock()
		defer a.detectorMu.Unlock()
		return a.detector.IsSuspected(incarnation)
	})
	if !ok {
		return
	}
	if nextCoordinator.Incarnation != a.Incarnation() {
		ctx, cancel := context.WithTimeout(ctx, membership.ProbeTimeout)
		defer cancel()
		report := peer.SuspectReport{Incarnation: coordinator.Incarnation}
		if err := a.peers.Post(ctx, nextCoordinator.PeerAddress, peer.PathSuspect, report, nil); err != nil {
			a.detectorMu.Lock()
			a.detector.Observe(time.Now(), nextCoordinator.Incarnation, probeResultOf(err))
			a.detectorMu.Unlock()
		}
		return
	}
	if !a.coordinator.replaceMu.TryLock() {
		return
	}
	defer a.coordinator.replaceMu.Unlock()
	if !a.isCoordinatorFailed(ctx, coordinator) {
		return
	}
	newest, version, err := a.readNewestRoster(ctx)
	if err != nil || newest.Coordinator != coordinator.Incarnation {
		return
	}
	a.takeOver(ctx, newest, version, a.Self())
}

// syncWithPeer fetches the roster from a peer with a newer term, and triggers a sync of the records with a peer that
// has a different configuration.
func (a *Agent) syncWithPeer(ctx context.Context, m membership.Member, p peer.ProbeResponse) {
	if p.Term > a.Roster().Term {
		var response peer.RosterUpdate
		if err := a.peers.Get(ctx, m.PeerAddress, peer.PathRoster, &response); err == nil {
			a.ApplyRosterIfNewer(response.Roster, 0)
		}
	}
	if p.Config != a.configDigest() && a.onConfigMismatch != nil {
		a.onConfigMismatch(m)
	}
}
