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

const maintenanceInterval = time.Second

// runMaintenance applies the resolutions of operators and adapts the write rate of the journal to the number of
// daemons.
func (n *Node) runMaintenance(ctx context.Context) error {
	return clock.Every(ctx, maintenanceInterval, func(time.Time) {
		n.applyResolutions(ctx)
		n.setJournalRate(ctx)
	})
}

// applyResolutions closes the calls whose outcome an operator determined. Closing a call twice has no effect.
func (n *Node) applyResolutions(ctx context.Context) {
	for _, r := range n.config.RecordSet().All() {
		if r.Resolution == nil {
			continue
		}
		res := r.Resolution
		// A program that another daemon owns is resolved there.
		_ = n.agent.Loop().Do(ctx, func(_ time.Time, o *program.Owner) {
			_ = o.Resolve(res.Program, res.CallKey, res.Outcome == records.OutcomeRan, res.Reason)
		})
	}
}

// setJournalRate divides the platform's write rate among all daemons. The number of daemons of each other data centre
// is estimated to equal that of this one.
func (n *Node) setJournalRate(ctx context.Context) {
	daemons := max(n.config.RecordSet().DataCentreCount(), 1) * max(len(n.agent.Roster().Members), 1)
	rate := journal.WriteRatePerDaemon(daemons, n.settings.FleetWritesPerSecond)
	// A rejected operation is retried in the next round.
	_ = n.agent.Loop().Do(ctx, func(_ time.Time, o *program.Owner) { o.Journal().SetWriteRate(rate) })
}

// findEndedPrograms queries the owners of this data centre and returns the programs that have certainly ended. It omits
// the programs of other data centres, whose cached prefixes expire.
func (n *Node) findEndedPrograms(ctx context.Context, ids []string) []string {
	byOwner := map[string][]string{}
	roster := n.agent.Roster()
	for _, id := range ids {
		dataCentre, ok := program.DataCentreOf(id)
		if !ok || dataCentre != n.settings.DataCentre {
			continue
		}
		if m, ok := roster.OwnerOf(id); ok {
			byOwner[m.Incarnation] = append(byOwner[m.Incarnation], id)
		}
	}
	var ended []string
	for incarnation, ownedIDs := range byOwner {
		ended = append(ended, n.queryEndedPrograms(ctx, incarnation, ownedIDs)...)
	}
	return ended
}

func (n *Node) queryEndedPrograms(ctx context.Context, incarnation string, ids []string) []string {
	ctx, cancel := context.WithTimeout(ctx, peerMessageTimeout)
	defer cancel()
	if incarnation == n.agent.Incarnation() {
		// A busy loop is queried again by the next reconciliation.
		ended, _ := endedProgramsLocal(ctx, n.agent.Loop(), ids)
		return ended
	}
	m, ok := n.agent.Roster().Member(incarnation)
	if !ok {
		return nil
	}
	var response peer.ProgramIDs
	if err := n.peers.Post(ctx, m.PeerAddress, peer.PathEndedPrograms, peer.ProgramIDs{Programs: ids}, &response); err != nil {
		return nil
	}
	return response.Programs
}

func endedProgramsLocal(ctx context.Context, l *owner.Loop, ids []string) (ended []string, err error) {
	err = l.Do(ctx, func(_ time.Time, o *program.Owner) { ended = o.NotRunning(ids) })
	return ended, err
}

// releaseCaches notifies every daemon of the data centre that programs ended, because any of them may be a dispatcher.
func (n *Node) releaseCaches(ended []program.EndedProgram) {
	ids := make([]string, 0, len(ended))
	for _, e := range ended {
		ids = append(ids, e.Program)
		n.pool.ReleaseProgramCache(e.Program)
	}
	message := peer.ReleaseCachesRequest{Programs: ids}
	n.broadcast(context.Background(), peer.PathReleaseCaches, message, "member was not notified of ended programs")
}

// broadcast sends a message to the other members of the data centre. failureMessage is logged for each member that does
// not accept it.
func (n *Node) broadcast(ctx context.Context, path string, message any, failureMessage string) {
	members := n.agent.Roster().Members
	n.peers.Broadcast(ctx, n.agent.Incarnation(), members, path, message, peerMessageTimeout, func(m membership.Member, err error) {
		n.log.Debug(failureMessage, "member", m.VM, "error", err)
	})
}
