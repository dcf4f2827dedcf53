package membership

import "slices"

// Plan is a change of a roster that a coordinator executes in three steps. It seals the journals in Seals, requests the
// owners in Releases to stop serving their shards, and writes Roster conditionally. If an owner does not release its
// shards, RevertShards assigns them to it again.
type Plan struct {
	Roster   Roster
	Seals    []string         // Incarnations whose journals are sealed.
	Releases map[string][]int // Shards by the owner that has to release them.

	before Roster
}

func newPlan(r Roster) Plan {
	return Plan{Roster: r.Clone(), before: r, Releases: map[string][]int{}}
}

// IsEmpty reports whether the plan changes nothing.
func (p Plan) IsEmpty() bool { return p.Roster.Term == p.before.Term }

// Join plans the addition of a member. A VM runs one daemon, so a former incarnation of the same VM has stopped; its
// journal is sealed and it is removed.
func Join(r Roster, m Member) Plan {
	p := newPlan(r)
	if _, ok := r.Member(m.Incarnation); ok {
		return p
	}
	for _, old := range r.Members {
		if old.VM == m.VM {
			p.Seals = append(p.Seals, old.Incarnation)
			p.Roster.removeMember(old.Incarnation)
		}
	}
	p.Roster.insertMember(m)
	if _, ok := p.Roster.Member(p.Roster.Coordinator); !ok {
		p.Roster.Coordinator = m.Incarnation
	}
	p.rebalance()
	return p
}

// Fail plans the removal of failed members. If the coordinator is one of them, newCoordinator replaces it.
func Fail(r Roster, newCoordinator string, failed ...string) Plan {
	p := newPlan(r)
	for _, incarnation := range failed {
		if _, ok := r.Member(incarnation); !ok {
			continue
		}
		p.Seals = append(p.Seals, incarnation)
		p.Roster.removeMember(incarnation)
	}
	if len(p.Seals) == 0 {
		return p
	}
	if _, ok := p.Roster.Member(p.Roster.Coordinator); !ok {
		p.Roster.Coordinator = newCoordinator
	}
	p.rebalance()
	return p
}

// Leave plans the removal of a member that stops in a planned way. Its shards are handed over. If it is the
// coordinator, the next member in ring order becomes the coordinator.
func Leave(r Roster, incarnation string) Plan {
	p := newPlan(r)
	if _, ok := r.Member(incarnation); !ok || len(r.Members) == 1 {
		return p
	}
	if r.Coordinator == incarnation {
		next, ok := r.NextCoordinator(func(string) bool { return false })
		if ok {
			p.Roster.Coordinator = next.Incarnation
		}
	}
	p.Roster.removeMember(incarnation)
	p.rebalance()
	return p
}

// Reassign plans a higher epoch for shards that their owner does not serve, for example because a coordinator crashed
// between a release and the write of the roster.
func Reassign(r Roster, shards []int) Plan {
	p := newPlan(r)
	if len(shards) == 0 {
		return p
	}
	owners := assignShards(p.Roster.Members)
	for _, s := range shards {
		p.Roster.moveShard(s, owners[s])
	}
	p.Roster.Term++
	return p
}

// rebalance moves each shard to the owner that rendezvous hashing assigns. If the former owner stays a member, the
// shard is added to Releases.
func (p *Plan) rebalance() {
	p.Roster.Term++
	for shard, owner := range assignShards(p.Roster.Members) {
		former := p.Roster.Shards[shard].Owner
		if former == owner {
			continue
		}
		if p.needsRelease(former) {
			p.Releases[former] = append(p.Releases[former], shard)
		}
		p.Roster.moveShard(shard, owner)
	}
}

// needsRelease reports whether an owner has to release its shards: it was a member before, and its journal is not
// sealed.
func (p *Plan) needsRelease(owner string) bool {
	if _, ok := p.before.Member(owner); !ok {
		return false
	}
	for _, s := range p.Seals {
		if s == owner {
			return false
		}
	}
	return true
}

// RevertShards assigns shards to their former owner again, because it did not release them.
func (p *Plan) RevertShards(shards ...int) {
	for _, s := range shards {
		p.Roster.Shards[s] = p.before.Shards[s]
	}
}

// FailAndJoin plans the removal of a failed coordinator and the addition of the daemon that replaces it.
func FailAndJoin(r Roster, m Member, failed string) Plan {
	p := newPlan(r)
	for _, old := range r.Members {
		if old.Incarnation == failed || old.VM == m.VM {
			p.Seals = append(p.Seals, old.Incarnation)
			p.Roster.removeMember(old.Incarnation)
		}
	}
	p.Roster.insertMember(m)
	p.Roster.Coordinator = m.Incarnation
	p.rebalance()
	return p
}

// Checkpoint describes a stored checkpoint of a shard. Its start entry is in its owner's journal under the given epoch.
type Checkpoint struct {
	Shard int    `json:"shard"`
	Epoch uint64 `json:"epoch"`
	ID    string `json:"id"`
	Slot  uint64 `json:"slot"` // First segment of the owner's journal that is needed after the checkpoint.
}

// RecordCheckpoints plans to record stored checkpoints in the roster. It omits shards that have another owner.
func RecordCheckpoints(r Roster, owner string, checkpoints []Checkpoint) Plan {
	p := newPlan(r)
	recorded := false
	for _, c := range checkpoints {
		if p.Roster.RecordCheckpoint(owner, c) {
			recorded = true
		}
	}
	if recorded {
		p.Roster.Term++
	}
	return p
}

// RecordRestore plans a roster for a platform that lost its newest writes. The increment of Restores notifies the
// owners that their journals may have lost segments, so that they store checkpoints.
func RecordRestore(r Roster) Plan {
	p := newPlan(r)
	p.Roster.Restores++
	p.Roster.Term++
	return p
}

// UnreferencedJournals returns the incarnations whose journals are referenced by the roster before and not by the
// roster after: they are neither in a chain nor members. The objects of these journals can be deleted.
func UnreferencedJournals(before, after Roster) []string {
	referenced := map[string]bool{}
	for _, m := range after.Members {
		referenced[m.Incarnation] = true
	}
	for _, s := range after.Shards {
		for _, ref := range s.Chain {
			referenced[ref.Incarnation] = true
		}
	}
	var unreferenced []string
	for _, s := range before.Shards {
		for _, ref := range s.Chain {
			if !referenced[ref.Incarnation] {
				referenced[ref.Incarnation] = true
				unreferenced = append(unreferenced, ref.Incarnation)
			}
		}
	}
	return unreferenced
}

// Repair plans the completion of earlier changes. Shards whose owner is no longer a member are moved after the owner's
// journal is sealed. Shards that were not released in time are moved to the owner that rendezvous hashing assigns.
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

// ChangesOnlyTerm reports whether the plan, after calls of RevertShards, changes nothing but the term.
func (p Plan) ChangesOnlyTerm() bool {
	return slices.Equal(p.Roster.Members, p.before.Members) &&
		p.Roster.Coordinator == p.before.Coordinator &&
		p.Roster.Restores == p.before.Restores &&
		slices.EqualFunc(p.Roster.Shards, p.before.Shards, sameShard)
}

func sameShard(a, b Shard) bool {
	return a.Owner == b.Owner && a.Epoch == b.Epoch && a.Checkpoint == b.Checkpoint && len(a.Chain) == len(b.Chain)
}
