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

	// maxChain is the number of journals in the chain of a shard from which a checkpoint pays: each has to be read at a
	// takeover.
	maxChain = 4

	// checkpointsPerRound bounds the shards of one round, so that checkpoints do not crowd out the journal. After a restore
	// there is no bound: until the checkpoints are stored, a successor cannot replay the journal.
	checkpointsPerRound = 4
)

// checkpointer keeps what a daemon knows of its own checkpoints.
type checkpointer struct {
	incarnation string
	restores    uint64       // Restores of the platform that were handled.
	bytes       int64        // Journal bytes when the present round of all shards began.
	firstSlot   uint64       // Slot from which the journal is needed once the round is done.
	pending     map[int]bool // Shards that the present round still has to store.
	urgent      bool         // The present round follows a restore.
}

// RunCheckpoints stores checkpoints of the shards that this daemon owns: of all when its journal has grown or the platform
// was restored, and of single ones whose chain is long.
func (a *Agent) RunCheckpoints(ctx context.Context) error {
	c := &checkpointer{}
	return clock.Every(ctx, checkpointInterval, func(time.Time) { a.checkpointRound(ctx, c) })
}

func (a *Agent) checkpointRound(ctx context.Context, c *checkpointer) {
	loop := a.Loop()
	r := a.Roster()
	if _, ok := r.Member(loop.Incarnation()); !ok || a.IsLeaving() {
		return
	}
	if c.incarnation != loop.Incarnation() {
		*c = checkpointer{incarnation: loop.Incarnation(), restores: r.Restores}
	}
	a.beginRound(ctx, c, loop, r)
	due := dueShards(c, r, loop.Incarnation())
	if len(due) == 0 {
		return
	}
	if err := a.storeCheckpoints(ctx, loop, due); err != nil {
		a.log.Warn("checkpoints were not stored", "shards", len(due), "error", err)
		return
	}
	a.endRound(ctx, c, loop, due)
}

// beginRound starts a round over all shards when the journal has grown enough or lost segments.
func (a *Agent) beginRound(ctx context.Context, c *checkpointer, loop *owner.Loop, r membership.Roster) {
	if len(c.pending) > 0 {
		return
	}
	// A busy loop is asked again next time.
	_ = loop.Do(ctx, func(_ time.Time, o *program.Owner) {
		grown := program.ShouldCheckpoint(o.Journal().AppendedBytes()-c.bytes, o.EstimatedCheckpointBytes())
		if !grown && c.restores == r.Restores {
			return
		}
		c.urgent = c.restores != r.Restores
		c.restores = r.Restores
		c.bytes = o.Journal().AppendedBytes()
		c.firstSlot = o.Journal().NextSlot()
		c.pending = map[int]bool{}
		for s := range o.Shards() {
			c.pending[s] = true
		}
	})
}

func dueShards(c *checkpointer, r membership.Roster, incarnation string) []int {
	var due []int
	for _, s := range r.ShardsOf(incarnation) {
		if (c.urgent || len(due) < checkpointsPerRound) && (c.pending[s] || len(r.Shards[s].Chain) >= maxChain) {
			due = append(due, s)
		}
	}
	return due
}

// endRound deletes the part of the own journal that all checkpoints of the round cover.
func (a *Agent) endRound(ctx context.Context, c *checkpointer, loop *owner.Loop, done []int) {
	if c.pending == nil {
		return
	}
	for _, s := range done {
		delete(c.pending, s)
	}
	owned := map[int]bool{}
	for _, s := range a.Roster().ShardsOf(loop.Incarnation()) {
		owned[s] = true
	}
	for s := range c.pending {
		if !owned[s] {
			delete(c.pending, s)
		}
	}
	if len(c.pending) > 0 {
		return
	}
	c.pending, c.urgent = nil, false
	if a.neededByOthers(loop.Incarnation()) {
		return
	}
	if err := owner.DeleteSegments(ctx, a.store, platform.KindJournal, loop.Incarnation(), c.firstSlot); err != nil {
		a.log.Warn("journal was not shortened", "error", err)
	}
}

// neededByOthers reports whether the chain of a shard that was handed over refers to a journal.
func (a *Agent) neededByOthers(incarnation string) bool {
	for _, s := range a.Roster().Shards {
		for _, ref := range s.Chain {
			if ref.Incarnation == incarnation {
				return true
			}
		}
	}
	return false
}

// storeCheckpoints stores checkpoints of shards and has the coordinator record them.
func (a *Agent) storeCheckpoints(ctx context.Context, loop *owner.Loop, shards []int) error {
	message := peer.CheckpointReport{Owner: loop.Incarnation()}
	var last journal.LSN
	for _, s := range shards {
		c, lsn, err := a.storeCheckpoint(ctx, loop, s)
		if err != nil {
			return errors.Wrapf(err, "shard %d", s)
		}
		message.Shards = append(message.Shards, c)
		last = max(last, lsn)
	}
	if err := loop.AwaitDurable(ctx, last); err != nil {
		return err
	}
	if a.IsCoordinator() {
		return a.HandleCheckpoints(ctx, message)
	}
	coordinator, ok := a.Roster().Member(a.Roster().Coordinator)
	if !ok {
		return errors.New("there is no coordinator")
	}
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	return a.peers.Post(ctx, coordinator.PeerAddress, peer.PathCheckpoint, message, nil)
}

func (a *Agent) storeCheckpoint(ctx context.Context, loop *owner.Loop, shard int) (membership.Checkpoint, journal.LSN, error) {
	c := membership.Checkpoint{Shard: shard}
	var segments []journal.Segment
	var lsn journal.LSN
	var err error
	doErr := loop.Do(ctx, func(_ time.Time, o *program.Owner) {
		c.Epoch, c.Slot = o.Shards()[shard], o.Journal().NextSlot()
		if segments, err = o.Checkpoint(shard); err != nil {
			return
		}
		lsn = o.Journal().AppendedLSN()
		o.Journal().RequestFlush()
	})
	if doErr != nil {
		return c, 0, doErr
	}
	if err != nil {
		return c, 0, err
	}
	for _, s := range segments {
		c.ID = s.Incarnation
		if err := a.storeSegment(ctx, s); err != nil {
			return c, 0, err
		}
	}
	return c, lsn, nil
}

// storeSegment creates one object of a checkpoint. Its name is unique, so a conflict shows that an earlier try whose
// answer was lost has stored it.
func (a *Agent) storeSegment(ctx context.Context, s journal.Segment) error {
	const tries = 3
	var err error
	for range tries {
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
