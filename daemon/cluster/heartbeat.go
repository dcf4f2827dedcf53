package cluster

import (
	"context"
	"time"

	"jackdawbay.dev/core/membership"
	"jackdawbay.dev/daemon/platform"
)

const heartbeatInterval = time.Second

// CoordinatorHeartbeat is the heartbeat that a coordinator stores on the platform.
type CoordinatorHeartbeat struct {
	Coordinator string `json:"coordinator"`
	Term        uint64 `json:"term"`
	Sequence    uint64 `json:"beat"`
}

// runCoordinator writes the heartbeat while this daemon is the coordinator. It re-reads the roster after a conflict and
// while the coordinator is isolated, so that a coordinator that was replaced steps down.
func (a *Agent) runCoordinator(ctx context.Context) {
	tick := time.NewTicker(heartbeatInterval)
	defer tick.Stop()
	var version, sequence uint64
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if !a.IsCoordinator() {
			version = 0
			a.coordinator.lease.reset()
			continue
		}
		if a.isIsolated() {
			// Without a heartbeat, a daemon that reaches the other members can replace this coordinator.
			a.refreshRoster(ctx)
			continue
		}
		sequence++
		startedAt := time.Now()
		newVersion, ok := a.writeHeartbeat(ctx, version, sequence)
		version = newVersion
		if ok {
			a.coordinator.lease.renew(startedAt)
		}
		if ok && sequence%heartbeatsPerRepair == 0 {
			a.repairRoster(ctx)
		}
	}
}

// heartbeatsPerRepair is the number of heartbeats between two checks for shards that are assigned to the wrong member.
const heartbeatsPerRepair = 5

func (a *Agent) repairRoster(ctx context.Context) {
	if membership.Repair(a.Roster()).IsEmpty() {
		return
	}
	if err := a.applyChange(ctx, membership.Repair, nil); err != nil {
		a.log.Warn("roster was not repaired", "error", err)
	}
}

// writeHeartbeat writes the heartbeat. It returns the version for the next write and whether the write succeeded. A
// decreasing version shows that the platform was restored from an old backup.
func (a *Agent) writeHeartbeat(ctx context.Context, version, sequence uint64) (uint64, bool) {
	r := a.Roster()
	heartbeat := CoordinatorHeartbeat{Coordinator: r.Coordinator, Term: r.Term, Sequence: sequence}
	newVersion, err := a.store.Put(ctx, platform.KindCoordinatorHeartbeat, a.cfg.DataCentre, version, heartbeat)
	if err == nil {
		if version != 0 && newVersion < version {
			a.handlePlatformRestore(ctx)
		}
		return newVersion, true
	}
	conflict, ok := platform.AsConflict(err)
	if !ok {
		return version, false
	}
	if conflict.Current == nil {
		if version != 0 {
			a.handlePlatformRestore(ctx)
		}
		return 0, false
	}
	if version != 0 && conflict.Current.Version < version {
		a.handlePlatformRestore(ctx)
	}
	a.refreshRoster(ctx)
	return conflict.Current.Version, false
}

// handlePlatformRestore handles a restore in which the platform lost its newest writes. It writes the roster that is in
// memory to the platform again. Each member then stores checkpoints of its shards, because their journals may have lost
// segments.
func (a *Agent) handlePlatformRestore(ctx context.Context) {
	a.log.Warn("platform was restored from an old backup; roster and journals are written again")
	a.mu.Lock()
	a.rosterVersion = 0
	a.mu.Unlock()
	err := a.applyChange(ctx, membership.RecordRestore, nil)
	if err != nil {
		a.log.Error("roster was not rewritten after the restore", "error", err)
	}
	if a.onPlatformRestored != nil {
		a.onPlatformRestored()
	}
}
