package cluster

import (
	"context"
	"time"

	"jackdawbay.dev/core/membership"
	"jackdawbay.dev/daemon/platform"
)

const leadInterval = time.Second

// Lead is the sign of life of a coordinator.
type CoordinatorHeartbeat struct {
	Coordinator string `json:"coordinator"`
	Term        uint64 `json:"term"`
	Sequence    uint64 `json:"beat"`
}

// runCoordinator writes the sign of life while this daemon is the coordinator, and reads the roster back now and then, so
// that a coordinator that was replaced steps down.
func (a *Agent) runCoordinator(ctx context.Context) {
	tick := time.NewTicker(leadInterval)
	defer tick.Stop()
	var version, beat uint64
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if !a.IsCoordinator() {
			version = 0
			a.coordinator.lease.end()
			continue
		}
		if a.isAlone() {
			// Without the sign of life, a daemon that reaches the others can take this one's place.
			a.refreshFromPlatform(ctx)
			continue
		}
		beat++
		sent := time.Now()
		next, ok := a.beat(ctx, version, beat)
		version = next
		if ok {
			a.coordinator.lease.renew(sent)
		}
		if ok && beat%repairEvery == 0 {
			a.repair(ctx)
		}
	}
}

// repairEvery is how many signs of life pass between two looks for shards that are not where they belong.
const repairEvery = 5

func (a *Agent) repair(ctx context.Context) {
	if membership.Repair(a.Roster()).IsEmpty() {
		return
	}
	if err := a.change(ctx, membership.Repair, nil); err != nil {
		a.log.Warn("roster was not repaired", "error", err)
	}
}

// beat writes the sign of life. It returns its version and whether the write succeeded. A version that falls shows that
// the platform was restored from an old backup.
func (a *Agent) beat(ctx context.Context, version, beat uint64) (uint64, bool) {
	r := a.Roster()
	lead := CoordinatorHeartbeat{Coordinator: r.Coordinator, Term: r.Term, Sequence: beat}
	next, err := a.store.Put(ctx, platform.KindCoordinatorHeartbeat, a.cfg.DataCentre, version, lead)
	if err == nil {
		if version != 0 && next < version {
			a.restored(ctx)
		}
		return next, true
	}
	conflict, ok := platform.AsConflict(err)
	if !ok {
		return version, false
	}
	if conflict.Current == nil {
		if version != 0 {
			a.restored(ctx)
		}
		return 0, false
	}
	if version != 0 && conflict.Current.Version < version {
		a.restored(ctx)
	}
	a.refreshFromPlatform(ctx)
	return conflict.Current.Version, false
}

// restored handles a platform that lost its newest writes: the roster in memory is written again, and each member then
// stores checkpoints of its shards, since their journals may have lost segments.
func (a *Agent) restored(ctx context.Context) {
	a.log.Warn("platform was restored from an old backup; roster and journals are written again")
	a.mu.Lock()
	a.version = 0
	a.mu.Unlock()
	err := a.change(ctx, membership.RecordRestore, nil)
	if err != nil {
		a.log.Error("roster was not written again", "error", err)
	}
	if a.onRestored != nil {
		a.onRestored()
	}
}
