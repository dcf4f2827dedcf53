package cluster

import (
	"context"
	"time"

	"jackdawbay.dev/core/membership"
	"jackdawbay.dev/daemon/owner"
	"jackdawbay.dev/daemon/peer"
	"jackdawbay.dev/daemon/platform"
)

// HandleCheckpoints records stored checkpoints in the roster and deletes the journals and checkpoints that are no
// longer needed.
func (a *Agent) HandleCheckpoints(ctx context.Context, checkpoints peer.CheckpointReport) error {
	var before, after membership.Roster
	err := a.applyChange(ctx, func(r membership.Roster) membership.Plan {
		p := membership.RecordCheckpoints(r, checkpoints.Owner, checkpoints.Shards)
		before, after = r, p.Roster
		return p
	}, nil)
	if err != nil {
		return err
	}
	go a.collectGarbage(context.WithoutCancel(ctx), before, after)
	return nil
}

// garbageTimeout bounds one round of deletions.
const garbageTimeout = 30 * time.Second

func (a *Agent) collectGarbage(ctx context.Context, before, after membership.Roster) {
	ctx, cancel := context.WithTimeout(ctx, garbageTimeout)
	defer cancel()
	for _, incarnation := range membership.UnreferencedJournals(before, after) {
		if err := owner.DeleteSegments(ctx, a.store, platform.KindJournal, incarnation, 0); err != nil {
			a.log.Warn("journal was not deleted", "journal", incarnation, "error", err)
		}
	}
	for i, s := range before.Shards {
		old := s.Checkpoint
		if old == "" || old == after.Shards[i].Checkpoint {
			continue
		}
		if err := owner.DeleteSegments(ctx, a.store, platform.KindCheckpoint, old, 0); err != nil {
			a.log.Warn("checkpoint was not deleted", "checkpoint", old, "error", err)
		}
	}
}
