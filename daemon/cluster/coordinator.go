package cluster

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"jackdawbay.dev/core/membership"
	"jackdawbay.dev/daemon/peer"
)

// coordinatorState is what an agent keeps for the coordinator's work.
type coordinatorState struct {
	change     sync.Mutex // Held while a change of the roster is carried out.
	replacing  sync.Mutex // Held while a dead coordinator is replaced.
	joinedTerm uint64     // Term of the newest roster that listed this incarnation; guarded by Agent.mu.
	evicting   sync.Map   // Incarnations whose eviction is under way.
	lease      commandLease
	alone      membership.Isolation
	aloneMu    sync.Mutex
}

// IsCoordinator reports whether this daemon writes the roster.
func (a *Agent) IsCoordinator() bool {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return a.loop != nil && a.roster.Coordinator == a.loop.Incarnation()
}

// HandleJoin enters a member into the roster and returns the roster.
func (a *Agent) HandleJoin(ctx context.Context, m membership.Member) (membership.Roster, error) {
	err := a.change(ctx, func(r membership.Roster) membership.Plan { return membership.Join(r, m) }, nil)
	if err != nil {
		return membership.Roster{}, err
	}
	return a.Roster(), nil
}

// HandleLeave removes a member that stops in a planned way, after its shards were handed over.
func (a *Agent) HandleLeave(ctx context.Context, incarnation string) (membership.Roster, error) {
	err := a.change(ctx, func(r membership.Roster) membership.Plan { return membership.Leave(r, incarnation) }, nil)
	if err != nil {
		return membership.Roster{}, err
	}
	return a.Roster(), nil
}

// HandleSuspect handles a report about a member that does not answer.
func (a *Agent) HandleSuspect(ctx context.Context, s peer.SuspectReport) {
	m, ok := a.Roster().Member(s.Incarnation)
	if ok && s.Incarnation != a.Incarnation() {
		a.ReportSuspect(ctx, m, s.Refused)
	}
}

// confirmAndEvict probes a suspect itself and removes it from the roster when it does not answer either.
func (a *Agent) confirmAndEvict(ctx context.Context, incarnation string) {
	if _, busy := a.coordinator.evicting.LoadOrStore(incarnation, true); busy {
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
	if result == membership.ProbeTimedOut && !a.reachesEnough(ctx) && !a.mayEvictAlone(ctx, incarnation) {
		a.log.Warn("too few members answer; no one is removed", "suspect", m.VM)
		return
	}
	err := a.change(ctx, func(r membership.Roster) membership.Plan {
		return membership.Fail(r, a.Incarnation(), incarnation)
	}, nil)
	if err != nil {
		a.log.Warn("failed member was not removed", "member", m.VM, "error", err)
		return
	}
	a.log.Info("failed member removed", "member", m.VM)
}

// mayEvictAlone decides for a coordinator that reaches too few members. It gives the others time to replace it, and then
// reads the roster: when nobody has replaced it, the others are gone.
func (a *Agent) mayEvictAlone(ctx context.Context, incarnation string) bool {
	a.coordinator.aloneMu.Lock()
	long := a.coordinator.alone.Observe(time.Now())
	a.coordinator.aloneMu.Unlock()
	if !long {
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
	a.log.Warn("no other daemon took over as coordinator; members are removed although too few answer")
	return true
}

// isAlone reports whether this coordinator reached too few members just now.
func (a *Agent) isAlone() bool {
	a.coordinator.aloneMu.Lock()
	defer a.coordinator.aloneMu.Unlock()
	return a.coordinator.alone.IsActive(time.Now())
}

// reachesEnough counts the members that answer this coordinator.
func (a *Agent) reachesEnough(ctx context.Context) bool {
	r := a.Roster()
	var (
		group     sync.WaitGroup
		reachable atomic.Int64
	)
	reachable.Add(1)
	for _, m := range r.Members {
		if m.Incarnation == a.Incarnation() {
			continue
		}
		group.Go(func() {
			if a.probe(ctx, m) == membership.ProbeOK {
				reachable.Add(1)
			}
		})
	}
	group.Wait()
	return membership.CanEvict(int(reachable.Load()), len(r.Members))
}
