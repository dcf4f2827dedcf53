package cluster

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"jackdawbay.dev/core/membership"
	"jackdawbay.dev/daemon/peer"
)

// coordinatorState is the state that an agent needs for the work of the coordinator.
type coordinatorState struct {
	changeMu    sync.Mutex // Held during a change of the roster.
	replaceMu   sync.Mutex // Held while a failed coordinator is replaced.
	joinedTerm  uint64     // Term of the newest roster that listed this incarnation; guarded by Agent.mu.
	evicting    sync.Map   // Incarnations whose eviction is in progress.
	lease       commandLease
	isolation   membership.Isolation
	isolationMu sync.Mutex
}

// IsCoordinator reports whether this daemon is the coordinator, which writes the roster.
func (a *Agent) IsCoordinator() bool {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return a.loop != nil && a.roster.Coordinator == a.loop.Incarnation()
}

// HandleJoin adds a member to the roster and returns the new roster.
func (a *Agent) HandleJoin(ctx context.Context, m membership.Member) (membership.Roster, error) {
	err := a.applyChange(ctx, func(r membership.Roster) membership.Plan { return membership.Join(r, m) }, nil)
	if err != nil {
		return membership.Roster{}, err
	}
	return a.Roster(), nil
}

// HandleLeave removes a member in a planned stop, after its shards were handed over, and returns the new roster.
func (a *Agent) HandleLeave(ctx context.Context, incarnation string) (membership.Roster, error) {
	err := a.applyChange(ctx, func(r membership.Roster) membership.Plan { return membership.Leave(r, incarnation) }, nil)
	if err != nil {
		return membership.Roster{}, err
	}
	return a.Roster(), nil
}

// HandleSuspect handles a peer's report about an unresponsive member.
func (a *Agent) HandleSuspect(ctx context.Context, s peer.SuspectReport) {
	m, ok := a.Roster().Member(s.Incarnation)
	if ok && s.Incarnation != a.Incarnation() {
		a.ReportSuspect(ctx, m, s.Refused)
	}
}

// confirmAndEvict probes a suspect and removes it from the roster if it does not respond to this daemon either.
func (a *Agent) confirmAndEvict(ctx context.Context, incarnation string) {
	if _, inProgress := a.coordinator.evicting.LoadOrStore(incarnation, true); inProgress {
		return
	}
	defer a.coordinator.evicting.Delete(incarnation)
	m, ok := a.Roster().Member(incarnation)
	if !ok {
		return
	}
	result := a.probe(ctx, m)
	if result == membership.ProbeTimedOut {
		result = a.probe(ctx, m)
	}
	if result == membership.ProbeOK {
		return
	}
	if result == membership.ProbeTimedOut && !a.reachesEnoughMembers(ctx) && !a.canEvictWhileIsolated(ctx, incarnation) {
		a.log.Warn("too few members respond; evicting none", "suspect", m.VM)
		return
	}
	err := a.applyChange(ctx, func(r membership.Roster) membership.Plan {
		return membership.Fail(r, a.Incarnation(), incarnation)
	}, nil)
	if err != nil {
		a.log.Warn("failed member was not removed", "member", m.VM, "error", err)
		return
	}
	a.log.Info("failed member removed", "member", m.VM)
}

// canEvictWhileIsolated decides whether a coordinator that reaches too few members may evict one. It gives the other
// members time to replace the coordinator and then reads the roster. If none of them has replaced it, they have failed.
func (a *Agent) canEvictWhileIsolated(ctx context.Context, incarnation string) bool {
	a.coordinator.isolationMu.Lock()
	isolatedLong := a.coordinator.isolation.Observe(time.Now())
	a.coordinator.isolationMu.Unlock()
	if !isolatedLong {
		return false
	}
	r, version, err := readRoster(ctx, a.store, a.cfg.DataCentre)
	if err != nil {
		return false
	}
	a.ApplyRosterIfNewer(r, version)
	if _, ok := a.Roster().Member(incarnation); !ok || !a.IsCoordinator() {
		return false
	}
	a.log.Warn("no other daemon took over as coordinator; evicting members although too few respond")
	return true
}

// isIsolated reports whether this coordinator recently reached too few members.
func (a *Agent) isIsolated() bool {
	a.coordinator.isolationMu.Lock()
	defer a.coordinator.isolationMu.Unlock()
	return a.coordinator.isolation.IsActive(time.Now())
}

// reachesEnoughMembers probes all members and reports whether enough of them respond to allow an eviction.
func (a *Agent) reachesEnoughMembers(ctx context.Context) bool {
	r := a.Roster()
	var (
		wg        sync.WaitGroup
		reachable atomic.Int64
	)
	reachable.Add(1)
	for _, m := range r.Members {
		if m.Incarnation == a.Incarnation() {
			continue
		}
		wg.Go(func() {
			if a.probe(ctx, m) == membership.ProbeOK {
				reachable.Add(1)
			}
		})
	}
	wg.Wait()
	return membership.CanEvict(int(reachable.Load()), len(r.Members))
}
