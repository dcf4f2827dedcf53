package replica

import (
	"context"
	"slices"
	"time"

	"jackdawbay.dev/core/replica"
)

// Limits of closing gaps, which uses the disks and the link between regions beside callers: at most half a megabyte per second.
const (
	gapInterval      = 2 * time.Second // Interval of closing gaps. A gap that is younger may be closed by a gateway.
	maxGapBytes      = 1 << 20         // Size of the turns after which the next ones wait for the next interval.
	gapRetryInterval = time.Minute     // Time until a turn that no other member has is requested again.
)

// gapCloser fetches the turns that are missing in chains of this replica. A member keeps a gap if a gateway sends it one turn of
// a chain, as the replacement of a slow member, and does not need it for the quorum. The member does not count as one that
// stores the later turns of that chain, so that a new member has to copy more.
type gapCloser struct {
	running   bool
	startedAt time.Time
	known     map[string]bool      // Gaps at the time of the last run.
	absentAt  map[string]time.Time // When the other members did not have a turn, by turn ID.
}

// startClosingGaps starts to close the gaps of this replica if the view is settled and the last run was long enough ago.
func (m *Membership) startClosingGaps(ctx context.Context) {
	v := m.Server.View()
	if !v.IsSettled() || !replica.Contains(v.CurrentSet(), m.Self.Key()) || m.copying.Load() {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.gaps.running || time.Since(m.gaps.startedAt) < gapInterval {
		return
	}
	m.gaps.running, m.gaps.startedAt = true, time.Now()
	go func() {
		m.closeGapsFrom(ctx, v, m.otherMembers(v, distanceOtherRegion))
		m.mu.Lock()
		defer m.mu.Unlock()
		m.gaps.running = false
	}()
}

// otherMembers returns the other members of the current set below a distance, nearest first.
func (m *Membership) otherMembers(v replica.View, below int) []replica.Member {
	others := slices.DeleteFunc(slices.Clone(v.CurrentSet()), func(other replica.Member) bool {
		return other.Key() == m.Self.Key() || m.distance(other) >= below
	})
	slices.SortStableFunc(others, func(a, b replica.Member) int { return m.distance(a) - m.distance(b) })
	return others
}

// closeGapsFrom fetches missing turns from other members of a settled view up to maxGapBytes. Only one call may run at a time. In
// the background, only members of the own region are asked: pieces of 1 MB from other regions occupied the link between
// regions, and turns of callers waited 72 ms (p50) for their quorum instead of 30 ms.
func (m *Membership) closeGapsFrom(ctx context.Context, v replica.View, others []replica.Member) {
	ids := m.gaps.dueTurns(m.Server.state.gapIDs(), time.Now())
	fetched := 0
	for len(ids) > 0 && fetched < maxGapBytes {
		var next []string // The turns before the fetched ones.
		wanted := ids[:min(len(ids), maxTurnsPerResponse)]
		ids = ids[len(wanted):]
		allAsked := true
		for _, source := range others {
			if len(wanted) == 0 {
				break
			}
			p, err := m.fetchPiece(ctx, source, v, wanted, maxGapBytes)
			if err != nil {
				m.Log.Warn("cannot close gaps in chains", "source", source.VM, "turns", len(wanted), "error", err)
				allAsked = false
				continue
			}
			allAsked = allAsked && p.idsDone == len(wanted)
			if len(p.records) == 0 {
				continue
			}
			if err := m.Server.storeCopied(ctx, p.records); err != nil {
				m.Log.Warn("cannot close gaps in chains", "error", err)
				return
			}
			m.Server.closedGaps.Add(len(p.records))
			fetched += p.bytes
			for _, r := range p.records {
				if t := r.entry.Turn; t != nil && t.Previous != "" && !m.Server.state.hasTurn(t.Previous) {
					next = append(next, t.Previous)
				}
			}
			wanted = slices.DeleteFunc(slices.Clone(wanted), m.Server.state.hasTurn)
		}
		if allAsked {
			for _, id := range wanted {
				m.gaps.absentAt[id] = time.Now()
			}
		}
		ids = append(next, ids...)
	}
}

// dueTurns returns the gaps that existed at the time of the last run and were not found absent recently.
func (g *gapCloser) dueTurns(gaps map[string]bool, now time.Time) []string {
	if g.absentAt == nil {
		g.absentAt = map[string]time.Time{}
	}
	for id, at := range g.absentAt {
		if now.Sub(at) > gapRetryInterval {
			delete(g.absentAt, id)
		}
	}
	var ids []string
	for id := range gaps {
		if _, isAbsent := g.absentAt[id]; g.known[id] && !isAbsent {
			ids = append(ids, id)
		}
	}
	g.known = gaps
	return ids
}
