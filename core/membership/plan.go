package membership

import "slices"

// Plan is a change of a roster that a coordinator carries out: first seal the journals in Seals, then ask the owners in
// Releases to stop serving their shards, then write Roster conditionally. A shard whose owner does not release it is
// given back with Keep.
type Plan struct {
	Roster   Roster
	Seals    []string         // Incarnations whose journals are sealed first.
	Releases map[string][]int // Shards by the owner that has to release them.

	before Roster
}

func newPlan(r Roster) Plan {
	return Plan{Roster: r.Clone(), before: r, Releases: map[string][]int{}}
}

// Empty reports whether the plan changes nothing.
func (p Plan) IsEmpty() bool { return p.Roster.Term == p.before.Term }

// Join plans the entry of a member. A former incarnation of the same VM is dead, since a VM runs one daemon; its journal
// is sealed.
func Join(r Roster, m Member) Plan {
	p := newPlan(r)
	if _, ok := r.Member(m.Incarnation); ok {
		return p
	}
	for _, old := range r.Members {
		if old.VM == m.VM {
			p.Seals = append(p.Seals, old.Incarnation)
			p.Roster.remove(old.Incarnation)
		}
	}
	p.Roster.insert(m)
	if _, ok := p.Roster.Member(p.Roster.Coordinator); !ok {
		p.Roster.Coordinator = m.Incarnation
	}
	p.rebalance()
	return p
}

// Fail plans the removal of members that are dead. by becomes the coordinator when the former one is among them.
func Fail(r Roster, by string, failed ...string) Plan {
	p := newPlan(r)
	for _, f := range failed {
		if _, ok := r.Member(f); !ok {
			continue
		}
		p.Seals = append(p.Seals, f)
		p.Roster.remove(f)
	}
	if len(p.Seals) == 0 {
		return p
	}
	if _, ok := p.Roster.Member(p.Roster.Coordinator); !ok {
		p.Roster.Coordinator = by
	}
	p.rebalance()
	return p
}

// Leave plans the departure of a member that stops in a planned way. Its shards are handed over, and the next member in
// ring order becomes coordinator when it was the coordinator itself.
func Leave(r Roster, incarnation string) Plan {
	p := newPlan(r)
	if _, ok := r.Member(incarnation); !ok || len(r.Members) == 1 {
		return p
	}
	if r.Coordinator == incarnation {
		deputy, ok := r.NextCoordinator(func(string) bool { return false })
		if ok {
			p.Roster.Coordinator = deputy.Incarnation
		}
	}
	p.Roster.remove(incarnation)
	p.rebalance()
	return p
}

// Reassign plans a higher epoch for shards whose owner does not serve them, for example because a coordinator died
// between a release and the write of the roster.
func Reassign(r Roster, shards []int) Plan {
	p := newPlan(r)
	if len(shards) == 0 {
		return p
	}
	owners := assign(p.Roster.Members)
	for _, s := range shards {
		p.Roster.move(s, owners[s])
	}
	p.Roster.Term++
	return p
}

// rebalance moves each shard to the owner that rendezvous hashing gives it. A shard of a member that stays is listed in
// Releases.
func (p *Plan) rebalance() {
	p.Roster.Term++
	for shard, owner := range assign(p.Roster.Members) {
		former := p.Roster.Shards[shard].Owner
		if former == owner {
			continue
		}
		if p.needsRelease(former) {
			p.Releases[former] = append(p.Releases[former], shard)
		}
		p.Roster.move(shard, owner)
	}
}

// needsRelease reports whether a former owner is alive. Everyone in the roster before who is not sealed is.
func (p *Plan) needsRelease(former string) bool {
	if _, ok := p.before.Member(former); !ok {
		return false
	}
	for _, s := range p.Seals {
		if s == former {
			return false
		}
	}
	return true
}

// Keep leaves shards with their former owner, because it did not release them.
func (p *Plan) RevertShards(shards ...int) {
	for _, s := range shards {
		p.Roster.Shards[s] = p.before.Shards[s]
	}
}

// FailAndJoin plans the removal of a dead coordinator by a daemon that enters the roster in its place.
func FailAndJoin(r Roster, m Member, failed string) Plan {
	p := newPlan(r)
	for _, old := range r.Members {
		if old.Incarnation == failed || old.VM == m.VM {
			p.Seals = append(p.Seals, old.Incarnation)
			p.Roster.remove(old.Incarnation)
		}
	}
	p.Roster.insert(m)
	p.Roster.Coordinator = m.Incarnation
	p.rebalance()
	return p
}

// Checkpoint is a stored checkpoint of a shard, whose place is in its owner's journal under an epoch.
type Checkpoint struct {
	Shard int    `json:"shard"`
	Epoch uint64 `json:"epoch"`
	ID    string `json:"id"`
	Slot  uint64 `json:"slot"` // First segment of the owner's journal that is needed after it.
}

// RecordCheckpoints plans the entry of stored checkpoints. Those of shards that have another owner by now are left out.
func RecordCheckpoints(r Roster, owner string, list []Checkpoint) Plan {
	p := newPlan(r)
	recorded := false
	for _, c := range list {
		if p.Roster.RecordCheckpoint(owner, c) {
			recorded = true
		}
	}
	if recorded {
		p.Roster.Term++
	}
	return p
}

// RecordRestore plans a roster for a platform that lost its newest writes. Restores tells the owners that their journals
// may have lost segments, so that they store checkpoints.
func RecordRestore(r Roster) Plan {
	p := newPlan(r)
	p.Roster.Restores++
	p.Roster.Term++
	return p
}

// Unreferenced returns the incarnations whose journals the roster before needed and the roster after does not: they are
// in no chain and no member, so that their objects can be deleted.
func UnreferencedJournals(before, after Roster) []string {
	needed := map[string]bool{}
	for _, m := range after.Members {
		needed[m.Incarnation] = true
	}
	for _, s := range after.Shards {
		for _, ref := range s.Chain {
			needed[ref.Incarnation] = true
		}
	}
	var list []string
	for _, s := range before.Shards {
		for _, ref := range s.Chain {
			if !needed[ref.Incarnation] {
				needed[ref.Incarnation] = true
				list = append(list, ref.Incarnation)
			}
		}
	}
	return list
}

// Repair plans what former changes left behind: shards whose owner is no member are sealed and moved, and shards that
// their owner did not release in time are moved to the owner that hashing gives them.
func Repair(r Roster) Plan {
	p := newPlan(r)
	sealed := map[string]bool{}
	for _, s := range r.Shards {
		if _, ok := r.Member(s.Owner); !ok && s.Owner != "" && !sealed[s.Owner] {
			sealed[s.Owner] = true
			p.Seals = append(p.Seals, s.Owner)
		}
	}
	p.rebalance()
	if p.ChangesOnlyTerm() {
		return newPlan(r)
	}
	return p
}

// Unchanged reports whether the plan, after its Keeps, changes nothing but the term.
func (p Plan) ChangesOnlyTerm() bool {
	return slices.Equal(p.Roster.Members, p.before.Members) &&
		p.Roster.Coordinator == p.before.Coordinator &&
		p.Roster.Restores == p.before.Restores &&
		slices.EqualFunc(p.Roster.Shards, p.before.Shards, sameShard)
}

func sameShard(a, b Shard) bool {
	return a.Owner == b.Owner && a.Epoch == b.Epoch && a.Checkpoint == b.Checkpoint && len(a.Chain) == len(b.Chain)
}
