package node

import (
	"context"
	"time"

	"jackdawbay.dev/api/records"
	"jackdawbay.dev/core/journal"
	"jackdawbay.dev/core/membership"
	"jackdawbay.dev/core/program"
	"jackdawbay.dev/daemon/clock"
	"jackdawbay.dev/daemon/owner"
	"jackdawbay.dev/daemon/peer"
)

const maintainInterval = time.Second

// runMaintenance applies resolutions of operators and keeps the journal's pace in step with the number of daemons.
func (n *Node) runMaintenance(ctx context.Context) error {
	return clock.Every(ctx, maintainInterval, func(time.Time) {
		n.applyResolutions(ctx)
		n.paceJournal(ctx)
	})
}

// applyResolutions closes the calls whose outcome an operator found out. Closing one twice changes nothing.
func (n *Node) applyResolutions(ctx context.Context) {
	for _, r := range n.config.RecordSet().All() {
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

// paceJournal shares the platform's writes among all daemons. The daemons of other data centres are estimated from the
// own one.
func (n *Node) paceJournal(ctx context.Context) {
	daemons := max(n.config.RecordSet().DataCentreCount(), 1) * max(len(n.agent.Roster().Members), 1)
	rate := journal.WriteRatePerDaemon(daemons, n.set.FleetWritesPerSecond)
	// The next round repeats what is refused here.
	_ = n.agent.Loop().Do(ctx, func(_ time.Time, o *program.Owner) { o.Journal().SetWriteRate(rate) })
}

// gone returns those programs that certainly do not run any more, by asking the owners of this data centre. Programs of
// other data centres are left to the expiry of their prefixes.
func (n *Node) gone(ctx context.Context, ids []string) []string {
	byOwner := map[string][]string{}
	roster := n.agent.Roster()
	for _, id := range ids {
		dataCentre, ok := program.DataCentreOf(id)
		if !ok || dataCentre != n.set.DataCentre {
			continue
		}
		if m, ok := roster.OwnerOf(id); ok {
			byOwner[m.Incarnation] = append(byOwner[m.Incarnation], id)
		}
	}
	var gone []string
	for incarnation, list := range byOwner {
		gone = append(gone, n.askGone(ctx, incarnation, list)...)
	}
	return gone
}

func (n *Node) askGone(ctx context.Context, incarnation string, ids []string) []string {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	if incarnation == n.agent.Incarnation() {
		// A busy loop is asked again by the next reconciliation.
		gone, _ := goneLocal(ctx, n.agent.Loop(), ids)
		return gone
	}
	m, ok := n.agent.Roster().Member(incarnation)
	if !ok {
		return nil
	}
	var answer peer.ProgramIDs
	if err := n.peers.Post(ctx, m.PeerAddress, peer.PathEndedPrograms, peer.ProgramIDs{Programs: ids}, &answer); err != nil {
		return nil
	}
	return answer.Programs
}

func goneLocal(ctx context.Context, l *owner.Loop, ids []string) (gone []string, err error) {
	err = l.Do(ctx, func(_ time.Time, o *program.Owner) { gone = o.NotRunning(ids) })
	return gone, err
}

// releaseCaches tells every daemon of the data centre that programs ended, since any of them may be a dispatcher.
func (n *Node) releaseCaches(list []program.EndedProgram) {
	ids := make([]string, 0, len(list))
	for _, e := range list {
		ids = append(ids, e.Program)
		n.pool.ReleaseProgramCache(e.Program)
	}
	message := peer.ReleaseCachesRequest{Programs: ids}
	n.broadcast(context.Background(), peer.PathReleaseCaches, message, "ended programs were not announced")
}

// broadcast sends a message to the other members of the data centre.
func (n *Node) broadcast(ctx context.Context, path string, message any, failure string) {
	members := n.agent.Roster().Members
	n.peers.Broadcast(ctx, n.agent.Incarnation(), members, path, message, releaseTimeout, func(m membership.Member, err error) {
		n.log.Debug(failure, "member", m.VM, "error", err)
	})
}
