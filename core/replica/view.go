// Package replica holds the decisions of the replicas that keep turns and token counts on the VMs with a disk: the view
// that says who they are, the quorums, the changes of the view, and the merge of what several replicas know.
package replica

import (
	"slices"
	"sort"
	"time"
)

// Member is one replica: a VM and the disk that it had when it joined. A VM whose disk was lost is another member.
type Member struct {
	VM         string `json:"vm"`
	Disk       string `json:"disk"` // Identity of the data directory, drawn when it was created.
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
}

// Key identifies a member.
func (m Member) Key() string { return m.VM + "/" + m.Disk }

// View says which replicas hold the data. The last set takes the writes. Earlier sets are read as well until every member
// of the last set has copied what they hold.
type View struct {
	Version           uint64     `json:"version"`
	Epoch             uint64     `json:"epoch"`    // Changes with the sets. Replicas refuse writes of another epoch.
	ToleratedFailures int        `json:"tolerate"` // VMs with a disk that may be lost at the same time.
	Sets              [][]Member `json:"sets"`
	Copied            []string   `json:"copied"` // Keys of the members of the last set that have copied the earlier sets.

	// VMs that hold nothing that is needed and may be removed. No set takes them in again.
	Evacuated []string `json:"emptied,omitempty"`
}

// Current returns the set that takes the writes.
func (v View) CurrentSet() []Member {
	if len(v.Sets) == 0 {
		return nil
	}
	return v.Sets[len(v.Sets)-1]
}

// Settled reports whether no earlier set has to be read.
func (v View) IsSettled() bool { return len(v.Sets) <= 1 }

// Contains reports whether a set holds a member.
func Contains(set []Member, key string) bool {
	for _, m := range set {
		if m.Key() == key {
			return true
		}
	}
	return false
}

// Union returns each member of the sets once.
func Union(sets [][]Member) []Member {
	seen := map[string]bool{}
	var members []Member
	for _, set := range sets {
		for _, m := range set {
			if !seen[m.Key()] {
				seen[m.Key()] = true
				members = append(members, m)
			}
		}
	}
	return members
}

// WriteQuorum is the number of members of a set that must hold a write: more than half, so that two writes meet in one
// member, and more than may be lost at once.
func WriteQuorum(set []Member, tolerate int) int {
	return min(len(set), max(tolerate+1, len(set)/2+1))
}

// ReadQuorum is the number of members of a set that together know every completed write.
func ReadQuorum(set []Member, tolerate int) int {
	return len(set) - WriteQuorum(set, tolerate) + 1
}

// Readable reports whether the members that answered are a read quorum of every set, so that what they hold can be copied
// without a loss. No write that one of them takes at an earlier epoch may complete afterwards.
func (v View) HasReadQuorum(answered map[string]bool) bool {
	for _, set := range v.Sets {
		if count(set, answered) < ReadQuorum(set, v.ToleratedFailures) {
			return false
		}
	}
	return len(v.Sets) > 0
}

// Knows reports whether the members that answered at the epoch of the view know every completed write, also of views that
// the reader has not heard of: a later view takes a read quorum of each set to its epoch before a write in it completes, and
// a write quorum of the last set has a member of it.
func (v View) IsReadComplete(answered map[string]bool) bool {
	return v.HasReadQuorum(answered) && v.held(answered)
}

// Holds reports whether the members that stored a write are enough to acknowledge it. A read quorum of each earlier set has to
// be among them, so that readers of an earlier view do not miss the write before the copies have ended.
func (v View) IsWriteComplete(stored map[string]bool) bool {
	return v.HasReadQuorum(stored) && v.held(stored)
}

// held reports whether members are a write quorum of the last set.
func (v View) held(stored map[string]bool) bool {
	current := v.CurrentSet()
	return len(current) > 0 && count(current, stored) >= WriteQuorum(current, v.ToleratedFailures)
}

// Kept reports whether the holders of a write are a write quorum of the last set, so that a member that lacks the write need
// not copy it.
func (v View) IsStoredByQuorum(holders []Member) bool {
	keys := map[string]bool{}
	for _, m := range holders {
		keys[m.Key()] = true
	}
	return v.held(keys)
}

func count(set []Member, keys map[string]bool) int {
	n := 0
	for _, m := range set {
		if keys[m.Key()] {
			n++
		}
	}
	return n
}

// TargetSetSize is the size of a set that loses a minority at most when as many VMs as tolerated are lost.
func TargetSetSize(tolerate int) int { return 2*tolerate + 1 }

// Fleet is what a replica knows of the VMs with a disk when it considers a change of the view.
type Fleet struct {
	Registered               []Member                      // One entry for each VM, with its present disk.
	UnresponsiveFor          func(vm string) time.Duration // Time since a VM answered, or since the observer started.
	IsResponsive             func(vm string) bool          // The VM has answered lately.
	Evacuating               map[string]bool               // VMs that are to be emptied.
	EvacuateWithoutSuccessor map[string]bool               // VMs that are to be emptied and wait no longer for a successor.
	RecentlyRegistered       map[string]bool               // VMs that have registered lately; one of them may succeed a VM that is gone for good.
}

// answering returns the keys of the members that answer. A VM whose disk was lost answers as another member.
func (f Fleet) answering() map[string]bool {
	keys := map[string]bool{}
	for _, m := range f.Registered {
		if f.IsResponsive(m.VM) {
			keys[m.Key()] = true
		}
	}
	return keys
}

// MaxResponseAge is the time within which a VM must have answered to be taken into a set.
const MaxResponseAge = 1500 * time.Millisecond

// ReplaceBySuccessorAfter is the silence after which a member is replaced when another VM can take its place. It is longer than a
// restart of a process, and shorter than the time in which a successor has to count as caught up.
const ReplaceBySuccessorAfter = 2500 * time.Millisecond

// ReplaceBySpareAfter is the silence after which a spare that has been there before takes the place of a member. It is longer
// than a loss of power with the restart after it, since a copy slows the other members down for seconds.
const ReplaceBySpareAfter = 7 * time.Second

// ReplaceWhileCopyingAfter is the silence after which a member is replaced while earlier sets are still copied. Each further set is
// read as well, so a change waits for the end of the one before if it can.
const ReplaceWhileCopyingAfter = ReplaceBySpareAfter + 3*time.Second

// Propose returns the next view, if a change is due. The caller writes it under the condition that the view that it read
// is still in force. Only members that are enough to read every completed write have to answer: what a change needs is the
// store's conditional write, and sources for the copies. A write quorum may be more than what a tolerated loss leaves.
func Propose(v View, f Fleet) (View, bool) {
	if v.Version == 0 {
		return propose(View{ToleratedFailures: v.ToleratedFailures}, f, nil)
	}
	if !v.HasReadQuorum(f.answering()) {
		return v, false // The observer may be the one that is cut off, and no copy could end.
	}
	return propose(v, f, v.CurrentSet())
}

// ProposerRank orders the VMs that may propose: the members of the current set that answer, or the registered VMs before the
// first view. Others do not propose. Each rank waits longer than the one before, so that one proposal is made at a time. A VM
// that has lost its disk knows so before the others, and does not wait: until it has its place again, the set lacks a member.
func ProposerRank(v View, f Fleet, self string) (rank int, may bool) {
	candidates := f.Registered
	if v.Version > 0 {
		candidates = v.CurrentSet()
	}
	for _, m := range candidates {
		if m.VM == self {
			may = true
		} else if m.VM < self && f.IsResponsive(m.VM) {
			rank++
		}
	}
	for _, now := range f.Registered {
		if now.VM == self && may && !Contains(candidates, now.Key()) {
			return 0, true
		}
	}
	return rank, may
}

func propose(v View, f Fleet, current []Member) (View, bool) {
	present := map[string]Member{}
	for _, m := range f.Registered {
		present[m.VM] = m
	}
	next := make([]Member, 0, len(current)+1)
	changed := false
	var lost []Member
	patience := ReplaceBySpareAfter
	spare := candidates(v, f)
	successors := spare
	if len(spare) == 0 {
		successors = current // One may be the successor of a member that is gone, taken in before that was known.
	}
	for _, s := range successors {
		if f.RecentlyRegistered[s.VM] {
			patience = ReplaceBySuccessorAfter
		}
	}
	if !v.IsSettled() {
		patience = ReplaceWhileCopyingAfter
	}
	for _, m := range current {
		now, known := present[m.VM]
		switch {
		case known && now.Disk != m.Disk:
			next = append(next, now)
			changed = true
		case f.Evacuating[m.VM] || f.UnresponsiveFor(m.VM) > patience:
			lost = append(lost, m)
		default:
			next = append(next, m)
		}
	}
	for _, m := range lost {
		if s, ok := take(&spare, next, m.DataCentre); ok {
			next = append(next, s)
			changed = true
			continue
		}
		// A set without a member that is gone bears the next loss. The others must be able to serve without it.
		gone := v.IsSettled() && f.UnresponsiveFor(m.VM) > patience || v.awaits(m)
		if count(next, f.answering()) > v.ToleratedFailures && (f.EvacuateWithoutSuccessor[m.VM] || gone) {
			changed = true
			continue
		}
		next = append(next, m)
	}
	for len(next) < TargetSetSize(v.ToleratedFailures) && v.IsSettled() {
		s, ok := take(&spare, next, "")
		if !ok {
			break
		}
		next = append(next, s)
		changed = true
	}
	if !changed {
		return relocate(v, present)
	}
	sort.Slice(next, func(i, j int) bool { return next[i].VM < next[j].VM })
	sets := append(append([][]Member{}, v.Sets...), next)
	return View{Version: v.Version + 1, Epoch: v.Epoch + 1, ToleratedFailures: v.ToleratedFailures, Sets: sets, Evacuated: v.Evacuated}, true
}

// relocate gives members that answer at another address their present one. They are the same members, so no set is added and
// nothing is copied.
func relocate(v View, present map[string]Member) (View, bool) {
	sets := make([][]Member, len(v.Sets))
	changed := false
	for i, set := range v.Sets {
		sets[i] = slices.Clone(set)
		for k, m := range set {
			if now, known := present[m.VM]; known && now.Disk == m.Disk && now.Address != m.Address {
				sets[i][k] = now
				changed = true
			}
		}
	}
	if !changed {
		return v, false
	}
	v.Version++
	v.Sets = sets
	return v, true
}

// candidates are the registered VMs that answer, are not to be emptied and are in no place of the current set.
func candidates(v View, f Fleet) []Member {
	var out []Member
	for _, m := range f.Registered {
		inUse := slices.Contains(v.Evacuated, m.VM)
		for _, c := range v.CurrentSet() {
			inUse = inUse || c.VM == m.VM
		}
		if !inUse && !f.Evacuating[m.VM] && f.IsResponsive(m.VM) {
			out = append(out, m)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].VM < out[j].VM })
	return out
}

// take removes a candidate: one of a preferred data centre, as what it copies is near, else the one whose data centre has the
// fewest members.
func take(spare *[]Member, set []Member, prefer string) (Member, bool) {
	best, bestCount := -1, 0
	for i, s := range *spare {
		n := 0
		if prefer != "" && s.DataCentre == prefer {
			n = -1
		}
		for _, m := range set {
			if n >= 0 && m.DataCentre == s.DataCentre {
				n++
			}
		}
		if best < 0 || n < bestCount {
			best, bestCount = i, n
		}
	}
	if best < 0 {
		return Member{}, false
	}
	m := (*spare)[best]
	*spare = append((*spare)[:best:best], (*spare)[best+1:]...)
	return m, true
}

// MustCopy reports whether a member of the last set has to copy the earlier sets before they can be dropped. A member that
// stays need not, if each member that left has a successor that copies: then every write has as many copies as before.
func (v View) MustCopy(m Member) bool {
	if len(v.Sets) != 2 {
		return !v.IsSettled()
	}
	earlier, current := v.Sets[0], v.Sets[1]
	stays := func(m Member) bool { return Contains(earlier, m.Key()) }
	added, kept := 0, 0
	for _, c := range current {
		if stays(c) {
			kept++
		} else {
			added++
		}
	}
	replaced := added >= len(earlier)-kept && WriteQuorum(current, v.ToleratedFailures) <= WriteQuorum(earlier, v.ToleratedFailures)
	return !replaced || !stays(m)
}

// awaits reports whether the earlier sets cannot be dropped before a member has copied them.
func (v View) awaits(m Member) bool {
	return !v.IsSettled() && Contains(v.CurrentSet(), m.Key()) && v.MustCopy(m) && !slices.Contains(v.Copied, m.Key())
}

// MarkCopied returns the view after a member of the last set has copied every earlier set. When all that must have, the
// earlier sets are dropped.
func MarkCopied(v View, key string) (View, bool) {
	if v.IsSettled() || !Contains(v.CurrentSet(), key) {
		return v, false
	}
	for _, k := range v.Copied {
		if k == key {
			return v, false
		}
	}
	next := v
	next.Version = v.Version + 1
	next.Copied = append(append([]string{}, v.Copied...), key)
	done := map[string]bool{}
	for _, k := range next.Copied {
		done[k] = true
	}
	for _, m := range v.CurrentSet() {
		if v.MustCopy(m) && !done[m.Key()] {
			return next, true
		}
	}
	next.Sets = [][]Member{v.CurrentSet()}
	next.Copied = nil
	return next, true
}

// MarkEvacuated returns the view after a VM that is to be emptied has found itself in no set. It must be in force before the VM
// may be removed, since another replica may be about to take the VM in.
func MarkEvacuated(v View, vm string) (View, bool) {
	for _, m := range Union(v.Sets) {
		if m.VM == vm {
			return v, false
		}
	}
	if slices.Contains(v.Evacuated, vm) {
		return v, false
	}
	next := v
	next.Version = v.Version + 1
	next.Evacuated = append(slices.Clone(v.Evacuated), vm)
	return next, true
}
