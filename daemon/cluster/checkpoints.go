package cluster

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"jackdawbay.dev/core/journal"
	"jackdawbay.dev/core/membership"
	"jackdawbay.dev/core/program"
	"jackdawbay.dev/daemon/clock"
	"jackdawbay.dev/daemon/owner"
	"jackdawbay.dev/daemon/peer"
	"jackdawbay.dev/daemon/platform"
)

const (
	checkpointInterval = 250 * time.Millisecond

	// maxChainLength is the number of journals in the chain of a shard at which a checkpoint is stored. A takeover has
	// to read each journal of the chain, so from this length on a checkpoint costs less.
	maxChainLength = 4

	// maxCheckpointsPerRound bounds the shards of one round, so that the writes of checkpoints do not displace those of
	// the journal. It does not apply after a restore of the platform, because a successor cannot replay the journal
	// until the checkpoints are stored.
	maxCheckpointsPerRound = 4
)

// checkpointState is the progress of a daemon's checkpoint rounds.
type checkpointState struct {
	incarnation     string
	handledRestores uint64       // Number of platform restores that were handled.
	startBytes      int64        // Journal bytes at the start of the current round over all shards.
	firstSlot       uint64       // First journal slot that is still needed after the round.
	pendingShards   map[int]bool // Shards without a checkpoint in the current round.
	afterRestore    bool         // The current round follows a platform restore.
}

// RunCheckpoints stores checkpoints of the shards that this daemon owns, until the context ends. It stores all shards
// if the journal has grown or the platform was restored, and single shards if their chain is long.
func (a *Agent) RunCheckpoints(ctx context.Context) error {
	c := &checkpointState{}
	return clock.Every(ctx, checkpointInterval, func(time.Time) { a.runCheckpointRound(ctx, c) })
}

func (a *Agent) runCheckpointRound(ctx context.Context, c *checkpointState) {
	loop := a.Loop()
	r := a.Roster()
	if _, ok := r.Member(loop.Incarnation()); !ok || a.IsLeaving() {
		return
	}
	if c.incarnation != loop.Incarnation() {
		*c = checkpointState{incarnation: loop.Incarnation(), handledRestores: r.Restores}
	}
	a.beginCheckpointRound(ctx, c, loop, r)
	if len(c.pendingShards) == 0 {
		a.recordCoveredRestores(c)
	}
	due := dueShards(c, r, loop.Incarnation())
	if len(due) == 0 {
		return
	}
	if err := a.storeCheckpoints(ctx, loop, due); err != nil {
		a.log.Warn("checkpoints were not stored", "shards", len(due), "error", err)
		return
	}
	a.finishCheckpointRound(ctx, c, loop, due)
}

// beginCheckpointRound starts a round over all shards if the journal has grown enough or may have lost segments in a
// restore.
func (a *Agent) beginCheckpointRound(ctx context.Context, c *checkpointState, loop *owner.Loop, r membership.Roster) {
	if len(c.pendingShards) > 0 {
		return
	}
	// A busy loop is queried again in the next round.
	_ = loop.Do(ctx, func(_ time.Time, o *program.Owner) {
		grown := program.ShouldCheckpoint(o.Journal().AppendedBytes()-c.startBytes, o.EstimatedCheckpointBytes())
		if !grown && c.handledRestores == r.Restores {
			return
		}
		c.afterRestore = c.handledRestores != r.Restores
		c.handledRestores = r.Restores
		c.startBytes = o.Journal().AppendedBytes()
		c.firstSlot = o.Journal().NextSlot()
		c.pendingShards = map[int]bool{}
		for s := range o.Shards() {
			c.pendingShards[s] = true
		}
	})
}

func dueShards(c *checkpointState, r membership.Roster, incarnation string) []int {
	var due []int
	for _, s := range r.ShardsOf(incarnation) {
		if (c.afterRestore || len(due) < maxCheckpointsPerRound) && (c.pendingShards[s] || len(r.Shards[s].Chain) >= maxChainLength) {
			due = append(due, s)
		}
	}
	return due
}

// finishCheckpointRound deletes the part of this daemon's journal that the checkpoints of a finished round cover.
func (a *Agent) finishCheckpointRound(ctx context.Context, c *checkpointState, loop *owner.Loop, stored []int) {
	if c.pendingShards == nil {
		return
	}
	for _, s := range stored {
		delete(c.pendingShards, s)
	}
	owned := map[int]bool{}
	for _, s := range a.Roster().ShardsOf(loop.Incarnation()) {
		owned[s] = true
	}
	for s := range c.pendingShards {
		if !owned[s] {
			delete(c.pendingShards, s)
		}
	}
	if len(c.pendingShards) > 0 {
		return
	}
	c.pendingShards, c.afterRestore = nil, false
	if a.isReferencedByChain(loop.Incarnation()) {
		return
	}
	if err := owner.DeleteSegments(ctx, a.store, platform.KindJournal, loop.Incarnation(), c.firstSlot); err != nil {
		a.log.Warn("journal was not truncated", "error", err)
	}
}

// recordCoveredRestores records that a successor can replay the shards of this incarnation in spite of the restores that were
// handled.
func (a *Agent) recordCoveredRestores(c *checkpointState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.coveredRestores = c.handledRestores
}

// coversRestores reports whether a successor can replay the shards of this incarnation. After a restore of the platform, that
// is the case when each shard has a new checkpoint.
func (a *Agent) coversRestores() bool {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return a.coveredRestores >= a.roster.Restores
}

// isReferencedByChain reports whether the chain of a shard that was handed over refers to a journal.
func (a *Agent) isReferencedByChain(incarnation string) bool {
	for _, s := range a.Roster().Shards {
		for _, ref := range s.Chain {
			if ref.Incarnation == incarnation {
				return true
			}
		}
	}
	return false
}

// storeCheckpoints stores checkpoints of shards and reports them to the coordinator, which records them in the roster.
func (a *Agent) storeCheckpoints(ctx context.Context, loop *owner.Loop, shards []int) error {
	report := peer.CheckpointReport{Owner: loop.Incarnation()}
	var lastLSN journal.LSN
	for _, s := range shards {
		c, lsn, err := a.storeCheckpoint(ctx, loop, s)
		if err != nil {
			return errors.Wrapf(err, "shard %d", s)
		}
		report.Shards = append(report.Shards, c)
		lastLSN = max(lastLSN, lsn)
	}
	if err := loop.AwaitDurable(ctx, lastLSN); err != nil {
		return err
	}
	if a.IsCoordinator() {
		return a.HandleCheckpoints(ctx, report)
	}
	coordinator, ok := a.Roster().Member(a.Roster().Coordinator)
	if !ok {
		return errors.New("roster has no coordinator")
	}
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	return a.peers.Post(ctx, coordinator.PeerAddress, peer.PathCheckpoint, report, nil)
}

func (a *Agent) storeCheckpoint(ctx context.Context, loop *owner.Loop, shard int) (membership.Checkpoint, journal.LSN, error) {
	c := membership.Checkpoint{Shard: shard}
	var segments []journal.Segment
	var lsn journal.LSN
	var err error
	loopErr := loop.Do(ctx, func(_ time.Time, o *program.Owner) {
		c.Epoch, c.Slot = o.Shards()[shard], o.Journal().NextSlot()
		if segments, err = o.Checkpoint(shard); err != nil {
			return
		}
		lsn = o.Journal().AppendedLSN()
		o.Journal().RequestFlush()
	})
	if loopErr != nil {
		return c, 0, loopErr
	}
	if err != nil {
		return c, 0, err
	}
	for _, s := range segments {
		c.ID = s.Incarnation
		if err := a.storeCheckpointSegment(ctx, s); err != nil {
			return c, 0, err
		}
	}
	return c, lsn, nil
}

// storeCheckpointSegment creates one object of a checkpoint. Its name is unique, so a conflict shows that an earlier
// attempt stored it and its response was lost.
func (a *Agent) storeCheckpointSegment(ctx context.Context, s journal.Segment) error {
	const maxAttempts = 3
	var err error
	for range maxAttempts {
		_, err = a.store.Put(ctx, platform.KindCheckpoint, journal.SegmentName(s.Incarnation, s.Slot), 0, s)
		if _, conflict := platform.AsConflict(err); conflict || err == nil {
			return nil
		}
		if !errors.Is(err, platform.ErrOutcomeUnknown) {
			return err
		}
	}
	return err
}
