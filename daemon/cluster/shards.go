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

// syncShards opens the shards that the roster gives to this incarnation and drops those that it no longer has.
func (a *Agent) syncShards(ctx context.Context) {
	loop := a.Loop()
	r := a.Roster()
	var open map[int]uint64
	err := loop.Do(ctx, func(_ time.Time, o *program.Owner) { open = o.Shards() })
	if err != nil {
		return
	}
	a.dropLost(ctx, loop, r, open)
	wanted := a.wanted(loop, r, open)
	if len(wanted) == 0 {
		return
	}
	go a.openShards(ctx, loop, r, wanted)
}

// wanted marks the shards to open now as being opened and returns them.
func (a *Agent) wanted(loop *owner.Loop, r membership.Roster, open map[int]uint64) []int {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.loop != loop {
		return nil
	}
	var list []int
	for _, s := range r.ShardsOf(loop.Incarnation()) {
		if _, ok := open[s]; ok || a.opening[s] {
			continue
		}
		if ended, ok := a.released[s]; ok && ended.epoch >= r.Shards[s].Epoch {
			continue
		}
		a.opening[s] = true
		list = append(list, s)
	}
	return list
}

func (a *Agent) dropLost(ctx context.Context, loop *owner.Loop, r membership.Roster, open map[int]uint64) {
	var lost []int
	for s, epoch := range open {
		if r.Shards[s].Owner != loop.Incarnation() && r.Shards[s].Epoch > epoch {
			lost = append(lost, s)
		}
	}
	if len(lost) == 0 {
		return
	}
	// The next round repeats what is refused here.
	_ = loop.Do(ctx, func(_ time.Time, o *program.Owner) {
		for _, s := range lost {
			o.DropShard(s)
		}
	})
}

// openShards replays shards from the platform and starts to serve them. A failure is repeated by the next round.
func (a *Agent) openShards(ctx context.Context, loop *owner.Loop, r membership.Roster, shards []int) {
	start := time.Now()
	defer func() {
		a.mu.Lock()
		for _, s := range shards {
			delete(a.opening, s)
		}
		a.notifyLocked()
		a.mu.Unlock()
	}()
	replays, err := replayShards(ctx, a.store, r, shards)
	if err != nil {
		a.log.Warn("shards cannot be opened", "opened", len(replays), "of", len(shards), "error", err)
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
		a.log.Warn("shards cannot be opened", "shards", len(shards), "error", err)
		return
	}
	a.log.Info("shards opened", "shards", len(replays), "term", r.Term, "ms", time.Since(start).Milliseconds())
}

// journalPart is the part of a journal that several shards need.
type journalPart struct {
	incarnation string
	slot        uint64
}

// replayShards rebuilds the programs of shards from their checkpoints and chains. Each part of a journal is read once. A
// shard that cannot be replayed is left out and reported; the others are returned.
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
	var failed error
	entries := map[journalPart][]journal.Entry{}
	for part, needed := range parts {
		keep := func(e journal.Entry) bool { return needed[e.Shard] }
		list, err := owner.ReadJournal(ctx, store, platform.KindJournal, part.incarnation, part.slot, keep)
		if err != nil {
			failed = errors.CombineErrors(errors.Wrapf(err, "read journal of %s", part.incarnation), failed)
			continue
		}
		entries[part] = list
	}
	replays := map[int]*program.Replay{}
	for _, s := range shards {
		replay, err := replayShard(ctx, store, r.Shards[s], s, entries)
		if err != nil {
			failed = errors.CombineErrors(errors.Wrapf(err, "replay shard %d", s), failed)
			continue
		}
		replays[s] = replay
	}
	return replays, failed
}

func replayShard(ctx context.Context, store platform.Store, s membership.Shard, shard int, journals map[journalPart][]journal.Entry) (*program.Replay, error) {
	replay := program.NewReplay(shard)
	if s.Checkpoint != "" {
		all := func(journal.Entry) bool { return true }
		list, err := owner.ReadJournal(ctx, store, platform.KindCheckpoint, s.Checkpoint, 0, all)
		if err != nil {
			return nil, errors.Wrapf(err, "read checkpoint %s", s.Checkpoint)
		}
		if err := applyAll(replay, list); err != nil {
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
		if err := applyAll(replay, list); err != nil {
			return nil, errors.Wrapf(err, "journal of %s", ref.Incarnation)
		}
	}
	if err := replay.Check(); err != nil {
		return nil, err
	}
	return replay, nil
}

func applyAll(replay *program.Replay, list []journal.Entry) error {
	for _, e := range list {
		if err := replay.Apply(e); err != nil {
			return err
		}
	}
	return nil
}

// Handover stops serving shards and waits until all their entries are durable. It lists the shards for which both held.
func (a *Agent) ReleaseShards(ctx context.Context, h peer.HandoverRequest) peer.HandoverResponse {
	if h.Term != a.Roster().Term {
		return peer.HandoverResponse{}
	}
	loop := a.Loop()
	last := map[int]journal.LSN{}
	err := loop.Do(ctx, func(_ time.Time, o *program.Owner) {
		a.closeShards(o, h.Shards, last)
	})
	if err != nil {
		return peer.HandoverResponse{}
	}
	var done peer.HandoverResponse
	for _, s := range h.Shards {
		lsn, ok := last[s]
		if !ok || loop.AwaitDurable(ctx, lsn) != nil {
			continue
		}
		done.Released = append(done.Released, s)
	}
	return done
}

// closeShards runs on the owner loop.
func (a *Agent) closeShards(o *program.Owner, shards []int, last map[int]journal.LSN) {
	open := o.Shards()
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, s := range shards {
		epoch, ok := open[s]
		if !ok {
			if !a.opening[s] {
				// Nothing was served under this epoch, so there is nothing to flush.
				a.released[s] = releasedShard{a.roster.Shards[s].Epoch, time.Now()}
				last[s] = 0
			}
			continue
		}
		lsn, err := o.CloseShard(s)
		if err != nil {
			continue
		}
		a.released[s] = releasedShard{epoch, time.Now()}
		last[s] = lsn
	}
}

// appended returns the number of the last journal entry of this incarnation.
func (a *Agent) appended(ctx context.Context) journal.LSN {
	var last journal.LSN
	// Without an answer there is nothing to wait for.
	_ = a.Loop().Do(ctx, func(_ time.Time, o *program.Owner) { last = o.Journal().AppendedLSN() })
	return last
}
