package cluster

import (
	"context"
	"time"

	"jackdawbay.dev/core/membership"
	"jackdawbay.dev/core/program"
	"jackdawbay.dev/daemon/clock"
	"jackdawbay.dev/daemon/peer"
)

// OnMembersRemoved sets the function that is called with incarnations that left the roster. It must be set before Run.
func (a *Agent) OnMembersRemoved(f func([]string)) { a.onMembersGone = f }

// Leave takes this daemon out of the roster in a planned way. Its shards are handed over to the others. When no
// coordinator can be reached, the shards are flushed and the others take them over as those of a failed daemon.
func (a *Agent) Leave(ctx context.Context) {
	a.mu.Lock()
	a.leaving = true
	a.mu.Unlock()
	if !a.IsMember() {
		return
	}
	for try := 0; try < leaveTries && ctx.Err() == nil; try++ {
		if a.leaveOnce(ctx) {
			return
		}
		clock.Sleep(ctx, leaveRetryInterval)
	}
	a.log.Warn("left without a handover")
	a.flush(ctx)
}

const (
	leaveTries         = 3
	leaveRetryInterval = 200 * time.Millisecond
)

func (a *Agent) leaveOnce(ctx context.Context) bool {
	r := a.Roster()
	if len(r.Members) == 1 {
		a.flush(ctx)
		return true
	}
	self := a.Self()
	if a.IsCoordinator() {
		if _, err := a.HandleLeave(ctx, self.Incarnation); err != nil {
			a.log.Warn("roster was not changed for the stop", "error", err)
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
	var push peer.RosterUpdate
	if err := a.peers.Post(callCtx, coordinator.PeerAddress, peer.PathLeave, self, &push); err != nil {
		a.log.Warn("coordinator did not accept the stop", "coordinator", coordinator.VM, "error", err)
		return false
	}
	a.ApplyRosterIfNewer(push.Roster, 0)
	return !a.IsMember()
}

// flush waits until everything that was journaled is durable.
func (a *Agent) flush(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	loop := a.Loop()
	err := loop.Do(ctx, func(_ time.Time, o *program.Owner) {
		for s := range o.Shards() {
			// What cannot be journaled is replayed as lost attempts.
			_, _ = o.CloseShard(s)
		}
	})
	if err != nil {
		return
	}
	last := a.appended(ctx)
	if err := loop.AwaitDurable(ctx, last); err != nil {
		a.log.Warn("journal was not flushed", "error", err)
	}
}

// reclaimAfter is how long a released shard may wait for its new owner before the coordinator is asked to assign it again.
// It is above releaseTimeout, so that a change under way is not disturbed.
const reclaimAfter = 2 * releaseTimeout

// reclaim asks the coordinator to assign shards again that were released for a change that never came.
func (a *Agent) reclaim(ctx context.Context) {
	r := a.Roster()
	var shards []int
	a.mu.RLock()
	for s, released := range a.released {
		still := a.loop != nil && r.Shards[s].Owner == a.loop.Incarnation() && r.Shards[s].Epoch <= released.epoch
		if still && time.Since(released.at) > reclaimAfter {
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
			a.log.Warn("released shards were not assigned again", "error", err)
		}
		return
	}
	coordinator, ok := r.Member(r.Coordinator)
	if !ok {
		return
	}
	if err := a.peers.Post(ctx, coordinator.PeerAddress, peer.PathReclaim, request, nil); err != nil {
		a.log.Warn("released shards were not assigned again", "error", err)
	}
}

// HandleReclaim assigns shards again, with a higher epoch, that their owner released without getting a successor.
func (a *Agent) HandleReclaim(ctx context.Context, h peer.HandoverRequest) error {
	return a.change(ctx, func(r membership.Roster) membership.Plan {
		if r.Term != h.Term {
			return membership.Reassign(r, nil)
		}
		return membership.Reassign(r, h.Shards)
	}, nil)
}
