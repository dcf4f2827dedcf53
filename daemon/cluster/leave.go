package cluster

import (
	"context"
	"time"

	"jackdawbay.dev/core/membership"
	"jackdawbay.dev/core/program"
	"jackdawbay.dev/daemon/clock"
	"jackdawbay.dev/daemon/peer"
)

// OnMembersRemoved sets the function that is called with incarnations that were removed from the roster and no longer
// respond. It must be called before Run.
func (a *Agent) OnMembersRemoved(f func([]string)) { a.onMembersRemoved = f }

// Leave removes this daemon from the roster in a planned stop and hands its shards over to the other members. If no
// coordinator can be reached, the journal is flushed, and the other members take the shards over as after a failure.
func (a *Agent) Leave(ctx context.Context) {
	a.mu.Lock()
	a.leaving = true
	a.mu.Unlock()
	if !a.IsMember() {
		return
	}
	for try := 0; try < maxLeaveAttempts && ctx.Err() == nil; try++ {
		if a.tryLeave(ctx) {
			return
		}
		clock.Sleep(ctx, leaveRetryInterval)
	}
	a.log.Warn("left without a handover")
	a.flushJournal(ctx)
}

const (
	maxLeaveAttempts   = 3
	leaveRetryInterval = 200 * time.Millisecond
)

func (a *Agent) tryLeave(ctx context.Context) bool {
	r := a.Roster()
	if len(r.Members) == 1 {
		a.flushJournal(ctx)
		return true
	}
	self := a.Self()
	if a.IsCoordinator() {
		if _, err := a.HandleLeave(ctx, self.Incarnation); err != nil {
			a.log.Warn("daemon was not removed from the roster for the stop", "error", err)
			return false
		}
		return !a.IsMember()
	}
	coordinator, ok := r.Member(r.Coordinator)
	if !ok {
		return false
	}
	callCtx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	var response peer.RosterUpdate
	if err := a.peers.Post(callCtx, coordinator.PeerAddress, peer.PathLeave, self, &response); err != nil {
		a.log.Warn("coordinator did not accept the leave request", "coordinator", coordinator.VM, "error", err)
		return false
	}
	a.ApplyRosterIfNewer(response.Roster, 0)
	return !a.IsMember()
}

// flushJournal closes all shards and waits until every journal entry is durable.
func (a *Agent) flushJournal(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	loop := a.Loop()
	err := loop.Do(ctx, func(_ time.Time, o *program.Owner) {
		for s := range o.Shards() {
			// If the handover entries cannot be journaled, a replay treats the attempts in flight as lost.
			_, _ = o.CloseShard(s)
		}
	})
	if err != nil {
		return
	}
	lastLSN := a.lastAppendedLSN(ctx)
	if err := loop.AwaitDurable(ctx, lastLSN); err != nil {
		a.log.Warn("journal was not flushed", "error", err)
	}
}

// reclaimDelay is how long a released shard may wait for its new owner before the coordinator is requested to reassign
// it. It exceeds releaseTimeout, so that a change in progress is not disturbed.
const reclaimDelay = 2 * releaseTimeout

// requestReclaim requests the coordinator to reassign shards that were released for a change that was never made.
func (a *Agent) requestReclaim(ctx context.Context) {
	r := a.Roster()
	var shards []int
	a.mu.RLock()
	for s, released := range a.releasedShards {
		stillOwned := a.loop != nil && r.Shards[s].Owner == a.loop.Incarnation() && r.Shards[s].Epoch <= released.epoch
		if stillOwned && time.Since(released.releasedAt) > reclaimDelay {
			shards = append(shards, s)
		}
	}
	a.mu.RUnlock()
	if len(shards) == 0 || a.IsLeaving() {
		return
	}
	request := peer.HandoverRequest{Term: r.Term, Shards: shards}
	if a.IsCoordinator() {
		if err := a.HandleReclaim(ctx, request); err != nil {
			a.log.Warn("released shards were not reassigned", "error", err)
		}
		return
	}
	coordinator, ok := r.Member(r.Coordinator)
	if !ok {
		return
	}
	if err := a.peers.Post(ctx, coordinator.PeerAddress, peer.PathReclaim, request, nil); err != nil {
		a.log.Warn("released shards were not reassigned", "error", err)
	}
}

// HandleReclaim reassigns, with a higher epoch, shards that their owner released without getting a successor.
func (a *Agent) HandleReclaim(ctx context.Context, request peer.HandoverRequest) error {
	return a.applyChange(ctx, func(r membership.Roster) membership.Plan {
		if r.Term != request.Term {
			return membership.Reassign(r, nil)
		}
		return membership.Reassign(r, request.Shards)
	}, nil)
}
