package node

import (
	"context"
	"sync"
	"time"

	"jackdawbay.dev/api/records"
	"jackdawbay.dev/core/program"
	"jackdawbay.dev/daemon/peer"
)

const maintainInterval = time.Second

// runCheckpoints applies resolutions of operators to the programs that are owned here.
func (n *Node) runCheckpoints(ctx context.Context) error {
	tick := time.NewTicker(maintainInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
			n.applyResolutions(ctx)
		}
	}
}

// applyResolutions closes the calls whose outcome an operator found out. Closing one twice changes nothing.
func (n *Node) applyResolutions(ctx context.Context) {
	for _, r := range n.config.Set().All() {
		if r.Resolution == nil {
			continue
		}
		res := r.Resolution
		// A program that is owned elsewhere is resolved there.
		_ = n.agent.Loop().Do(ctx, func(_ time.Time, o *program.Owner) {
			_ = o.Resolve(res.Program, res.CallKey, res.Outcome == records.OutcomeRan, res.Reason)
		})
	}
}

// releaseCaches tells every daemon of the data centre that programs ended, since any of them may be a dispatcher.
func (n *Node) releaseCaches(list []program.Ended) {
	ids := make([]string, 0, len(list))
	for _, e := range list {
		ids = append(ids, e.Program)
		n.pool.ProgramEnded(e.Program)
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	var group sync.WaitGroup
	for _, m := range n.agent.Roster().Members {
		if m.Incarnation == n.agent.Incarnation() {
			continue
		}
		group.Go(func() {
			if err := n.peers.Post(ctx, m.PeerAddress, peer.PathReleaseCaches, peer.ReleaseCaches{Programs: ids}, nil); err != nil {
				n.log.Debug("ended programs were not announced", "member", m.VM, "error", err)
			}
		})
	}
	group.Wait()
}
