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

// syncShards opens the shards that the roster assigns to this incarnation and drops those that were reassigned.
func (a *Agent) syncShards(ctx context.Context) {
	loop := a.Loop()
	r := a.Roster()
	var openEpochs map[int]uint64
	err := loop.Do(ctx, func(_ time.Time, o *program.Owner) { openEpochs = o.Shards() })
	if err != nil {
		return
	}
	a.dropReassignedShards(ctx, loop, r, openEpochs)
	claimed := a.claimShardsToOpen(loop, r, openEpochs)
	if len(claimed) == 0 {
		return
	}
	go a.openShards(ctx, loop, r, claimed)
}

// claimShardsToOpen returns the shards to open now and marks them as being opened. openEpochs maps the open shards to
// their epochs.
func (a *Agent) claimShardsToOpen(loop *owner.Loop, r membership.Roster, openEpochs map[int]uint64) []int {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.loop != loop {
		return nil
	}
	var claimed []int
	for _, s := range r.ShardsOf(loop.Incarnation()) {
		if _, ok := openEpochs[s]; ok || a.openingShards[s] {
			continue
		}
		if released, ok := a.releasedShards[s]; ok && released.epoch >= r.Shards[s].Epoch {
			continue
		}
		a.openingShards[s] = true
		claimed = append(claimed, s)
	}
	return claimed
}

func (a *Agent) dropReassignedShards(ctx context.Context, loop *owner.Loop, r membership.Roster, openEpochs map[int]uint64) {
	var reassigned []int
	for s, epoch := range openEpochs {
		if r.Shards[s].Owner != loop.Incarnation() && r.Shards[s].Epoch > epoch {
			reassigned = append(reassigned, s)
		}
	}
	if len(reassigned) == 0 {
		return
	}
	// A rejected operation is retried in the next round.
	_ = loop.Do(ctx, func(_ time.Time, o *program.Owner) {
		for _, s := range reassigned {
			o.DropShard(s)
		}
	})
}

// openShards replays shards from the platform and starts to serve them. A failure is retried in the next round.
func (a *Agent) openShards(ctx context.Context, loop *owner.Loop, r membership.Roster, shards []int) {
	start := time.Now()
	defer func() {
		a.mu.Lock()
		for _, s := range shards {
			delete(a.openingShards, s)
		}
		a.notifyLocked()
		a.mu.Unlock()
	}()
	replays, err := replayShards(ctx, a.store, r, shards)
	if err != nil {
		a.log.Warn("cannot open shards", "opened", len(replays), "of", len(shards), "error", err)
	}
	if len(replays) == 0 {
		clock.Sleep(ctx, joinInterval)
		return
	}
	err = loop.Do(ctx, func(now time.Time, o *program.Owner) {
		for s, replay := range replays {
			o.OpenShard(now, s, r.Shards[s].Epoch, replay)
		}
	})
	if err != nil {
		a.log.Warn("cannot open shards", "shards", len(shards), "error", err)
		return
	}
	a.log.Info("shards opened", "shards", len(replays), "term", r.Term, "ms", time.Since(start).Milliseconds())
}

// journalPart identifies the part of a journal from a slot on. Several shards may need the same part.
type journalPart struct {
	incarnation string
	slot        uint64
}

// replayShards rebuilds the programs of shards from their checkpoints and chains. Each part of a journal is read once.
// The error covers the shards that cannot be replayed; the others are returned.
func replayShards(ctx context.Context, store platform.Store, r membership.Roster, shards []int) (map[int]*program.Replay, error) {
	parts := map[journalPart]map[int]bool{}
	for _, s := range shards {
		for _, ref := range r.Shards[s].Chain {
			part := journalPart{ref.Incarnation, ref.Slot}
			if parts[part] == nil {
				parts[part] = map[int]bool{}
			}
			parts[part][s] = true
		}
	}
	var failures error
	entries := map[journalPart][]journal.Entry{}
	for part, shardsOfPart := range parts {
		include := func(e journal.Entry) bool { return shardsOfPart[e.Shard] }
		partEntries, err := owner.ReadJournal(ctx, store, platform.KindJournal, part.incarnation, part.slot, include)
		if err != nil {
			failures = errors.CombineErrors(errors.Wrapf(err, "read journal of %s", part.incarnation), failures)
			continue
		}
		entries[part] = partEntries
	}
	replays := map[int]*program.Replay{}
	for _, s := range shards {
		replay, err := replayShard(ctx, store, r.Shards[s], s, entries)
		if err != nil {
			failures = errors.CombineErrors(errors.Wrapf(err, "replay shard %d", s), failures)
			continue
		}
		replays[s] = replay
	}
	return replays, failures
}

func replayShard(ctx context.Context, store platform.Store, s membership.Shard, shard int, journals map[journalPart][]journal.Entry) (*program.Replay, error) {
	replay := program.NewReplay(shard)
	if s.Checkpoint != "" {
		includeAll := func(journal.Entry) bool { return true }
		list, err := owner.ReadJournal(ctx, store, platform.KindCheckpoint, s.Checkpoint, 0, includeAll)
		if err != nil {
			return nil, errors.Wrapf(err, "read checkpoint %s", s.Checkpoint)
		}
		if err := applyEntries(replay, list); err != nil {
			return nil, err
		}
	}
	for _, ref := range s.Chain {
		entries, ok := journals[journalPart{ref.Incarnation, ref.Slot}]
		if !ok {
			return nil, errors.Newf("journal of %s was not read", ref.Incarnation)
		}
		var list []journal.Entry
		for _, e := range entries {
			if e.Shard == shard && e.Epoch == ref.Epoch {
				list = append(list, e)
			}
		}
		if err := applyEntries(replay, list); err != nil {
			return nil, errors.Wrapf(err, "journal of %s", ref.Incarnation)
		}
	}
	if err := replay.Check(); err != nil {
		return nil, err
	}
	return replay, nil
}

func applyEntries(replay *program.Replay, entries []journal.Entry) error {
	for _, e := range entries {
		if err := replay.Apply(e); err != nil {
			return err
		}
	}
	return nil
}

// ReleaseShards stops serving shards and waits until all their entries are durable. It returns the shards for which
// both succeeded.
func (a *Agent) ReleaseShards(ctx context.Context, request peer.HandoverRequest) peer.HandoverResponse {
	if request.Term != a.Roster().Term {
		return peer.HandoverResponse{}
	}
	if !a.coversRestores() {
		a.log.Info("shards are not released before they have checkpoints after the restore of the platform", "shards", len(request.Shards))
		return peer.HandoverResponse{}
	}
	loop := a.Loop()
	lastLSNs := map[int]journal.LSN{}
	err := loop.Do(ctx, func(_ time.Time, o *program.Owner) {
		a.closeShards(o, request.Shards, lastLSNs)
	})
	if err != nil {
		return peer.HandoverResponse{}
	}
	var response peer.HandoverResponse
	for _, s := range request.Shards {
		lsn, ok := lastLSNs[s]
		if !ok || loop.AwaitDurable(ctx, lsn) != nil {
			continue
		}
		response.Released = append(response.Released, s)
	}
	return response
}

// closeShards closes shards and stores the LSN of the last entry of each in lastLSNs. It runs on the owner loop.
func (a *Agent) closeShards(o *program.Owner, shards []int, lastLSNs map[int]journal.LSN) {
	openEpochs := o.Shards()
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, s := range shards {
		epoch, ok := openEpochs[s]
		if !ok {
			if !a.openingShards[s] {
				// Nothing was served under this epoch, so there is nothing to flush.
				a.releasedShards[s] = releasedShard{a.roster.Shards[s].Epoch, time.Now()}
				lastLSNs[s] = 0
			}
			continue
		}
		lsn, err := o.CloseShard(s)
		if err != nil {
			continue
		}
		a.releasedShards[s] = releasedShard{epoch, time.Now()}
		lastLSNs[s] = lsn
	}
}

// lastAppendedLSN returns the LSN of the last journal entry of this incarnation.
func (a *Agent) lastAppendedLSN(ctx context.Context) journal.LSN {
	var last journal.LSN
	// If the operation is rejected, there is nothing to wait for.
	_ = a.Loop().Do(ctx, func(_ time.Time, o *program.Owner) { last = o.Journal().AppendedLSN() })
	return last
}
