// Package replica implements the decisions of the replica group that stores turns and token counts on the VMs with a disk:
// the membership view, read and write quorums, view changes, and the merge of charges from several replicas.
package replica

import (
	"slices"
	"sort"
	"time"
)

// Member is one replica, identified by a VM and the disk that it had when it joined. After a VM loses its disk, it is a
// different member.
type Member struct {
	VM         string `json:"vm"`
	Disk       string `json:"disk"` // Random ID of the data directory, generated when the directory is created.
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
}

// Key returns the unique key of a member, as VM/DISK.
func (m Member) Key() string { return m.VM + "/" + m.Disk }

// View is the membership of the replica group. Writes go to the last set. Reads also query the earlier sets until the
// members of the last set have copied the data of the earlier sets.
type View struct {
	Version           uint64     `json:"version"`
	Epoch             uint64     `json:"epoch"`    // Changes whenever the sets change. Replicas reject writes of another epoch.
	ToleratedFailures int        `json:"tolerate"` // Number of VMs with a disk that may be lost at the same time, for the last set.
	Sets              [][]Member `json:"sets"`
	Copied            []string   `json:"copied"` // Keys of the members of the last set that have copied the earlier sets.

	// ToleratedBySet has the number for each set, since the writes to a set have the quorum of the number at that time. A view
	// that was written before this field existed has none; ToleratedFailures then holds for all of its sets.
	ToleratedBySet []int `json:"tolerate_by_set,omitempty"`

	// VMs that store no data that is still needed, so that they may be removed. They are not added to a set again.
	Evacuated []string `json:"emptied,omitempty"`

	// Keys of silent members without which a set has no read quorum. A member that finds itself here removes itself. One that
	// stays counts as gone; see the rule about a lost read quorum in docs/design/replica-sets.md.
	Suspects []string `json:"suspects,omitempty"`
	Returned []string `json:"returned,omitempty"` // Members that have removed themselves from the suspects.

	// Members that were given up with their disks. One that returns with its disk is read again.
	GivenUp []Member `json:"given_up,omitempty"`

	// Time of day at which members were given up without a read quorum of their set. Completed writes may be missing since.
	LostAt time.Time `json:"lost_at,omitzero"`
}

// MayLackWrites reports whether a write that is to be retained for a time may have been lost with members that were given up.
// It counts a clock that is behind as one that is right.
func (v View) MayLackWrites(now time.Time, retention time.Duration) bool {
	return !v.LostAt.IsZero() && now.Sub(v.LostAt) < retention+lostWritesMargin
}

// lostWritesMargin covers clocks that jump by seconds, and the margin by which replicas retain writes longer.
const lostWritesMargin = 30 * time.Second

// CurrentSet returns the set that receives writes, or nil if the view has no sets.
func (v View) CurrentSet() []Member {
	if len(v.Sets) == 0 {
		return nil
	}
	return v.Sets[len(v.Sets)-1]
}

// IsSettled reports whether the view has no earlier sets that must still be read.
func (v View) IsSettled() bool { return len(v.Sets) <= 1 }

// Contains reports whether a set includes the member with the key.
func Contains(set []Member, key string) bool {
	for _, m := range set {
		if m.Key() == key {
			return true
		}
	}
	return false
}

// Union returns the distinct members of the sets.
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

// WriteQuorum returns the number of members of a set that must store a write. It is more than half of the set, so that any
// two writes share a member, and more than the number of disks that may be lost at the same time. In a set with
// fewer members, all of them must store the write.
func WriteQuorum(set []Member, toleratedFailures int) int {
	return min(len(set), max(toleratedFailures+1, len(set)/2+1))
}

// ReadQuorum returns the number of members of a set that together have observed every completed write.
func ReadQuorum(set []Member, toleratedFailures int) int {
	return len(set) - WriteQuorum(set, toleratedFailures) + 1
}

// toleratedBy returns the tolerated failures for which the writes to a set were made.
func (v View) toleratedBy(set int) int {
	if set < len(v.ToleratedBySet) {
		return v.ToleratedBySet[set]
	}
	return v.ToleratedFailures
}

// ReadQuorumOf returns the read quorum of the set at an index.
func (v View) ReadQuorumOf(set int) int { return ReadQuorum(v.Sets[set], v.toleratedBy(set)) }

// WriteQuorumOf returns the write quorum of the set at an index.
func (v View) WriteQuorumOf(set int) int { return WriteQuorum(v.Sets[set], v.toleratedBy(set)) }

// HasReadQuorum reports whether the members that responded include a read quorum of every set, so that their data can be
// copied without loss. The caller must ensure that no write accepted by one of these members at an earlier epoch completes
// afterwards.
func (v View) HasReadQuorum(responded map[string]bool) bool {
	for i, set := range v.Sets {
		if countMembers(set, responded) < v.ReadQuorumOf(i) {
			return false
		}
	}
	return len(v.Sets) > 0
}

// IsReadComplete reports whether the members that responded at the epoch of the view have together observed every completed
// write, including writes in later views that the reader has not seen. A write in a later view completes only after a read
// quorum of each set has adopted the later epoch. Every write quorum of the last set includes one of these members, so
// fewer than a write quorum could have responded at the epoch of the reader's view.
func (v View) IsReadComplete(responded map[string]bool) bool {
	return v.HasReadQuorum(responded) && v.isWriteQuorum(responded)
}

// IsWriteComplete reports whether enough members have stored a write to acknowledge it. They must include a read quorum of
// each earlier set. Otherwise a reader of an earlier view could miss the write before the copies are complete.
func (v View) IsWriteComplete(stored map[string]bool) bool {
	return v.HasReadQuorum(stored) && v.isWriteQuorum(stored)
}

// isWriteQuorum reports whether the members with the keys include a write quorum of the last set.
func (v View) isWriteQuorum(keys map[string]bool) bool {
	return len(v.Sets) > 0 && len(v.CurrentSet()) > 0 && countMembers(v.CurrentSet(), keys) >= v.WriteQuorumOf(len(v.Sets)-1)
}

// IsStoredByQuorum reports whether the holders of a write include a write quorum of the last set. In that case, members
// without the write do not have to copy it.
func (v View) IsStoredByQuorum(holders []Member) bool {
	keys := map[string]bool{}
	for _, m := range holders {
		keys[m.Key()] = true
	}
	return v.isWriteQuorum(keys)
}

// hadMember reports whether an earlier set includes the member with the key. A registration of such a disk, in place of the one in the last
// set, is older than the view: registrations and views are read separately.
func (v View) hadMember(key string) bool {
	return !v.IsSettled() && Contains(Union(v.Sets[:len(v.Sets)-1]), key)
}

func countMembers(set []Member, keys map[string]bool) int {
	n := 0
	for _, m := range set {
		if keys[m.Key()] {
			n++
		}
	}
	return n
}

// TargetSetSize returns the smallest set size that keeps a majority when the tolerated number of VMs is lost.
func TargetSetSize(toleratedFailures int) int { return 2*toleratedFailures + 1 }

// MinFirstSetSize returns the smallest size of the first set. With fewer members, the tolerated number of losses could take every
// copy of a write, and no read quorum would be left from which the view could change.
func MinFirstSetSize(toleratedFailures int) int { return toleratedFailures + 1 }

// Fleet is a replica's snapshot of the VMs with a disk. It is the input to a view change.
type Fleet struct {
	Registered               []Member                      // One entry per VM, with its current disk.
	UnresponsiveFor          func(vm string) time.Duration // Time since the last response of the VM, or since the observer started.
	IsResponsive             func(vm string) bool          // Reports whether the VM has responded within MaxResponseAge.
	Evacuating               map[string]bool               // VMs to be evacuated.
	EvacuateWithoutSuccessor map[string]bool               // VMs to be evacuated that no longer wait for a successor.
	RecentlyRegistered       map[string]bool               // VMs that registered within RecentRegistration. One of them may be the successor of a VM that has failed permanently.
	SuspectedFor             time.Duration                 // Time since this replica has observed the suspects of the view, unchanged.
	ReturnedFor              time.Duration                 // The same of the members that have removed themselves from the suspects.
	Now                      time.Time                     // Time of day.
}

// Responsive returns the keys of the members that are responsive. A VM that lost its disk responds as a different
// member.
func (f Fleet) Responsive() map[string]bool {
	keys := map[string]bool{}
	for _, m := range f.Registered {
		if f.IsResponsive(m.VM) {
			keys[m.Key()] = true
		}
	}
	return keys
}

// MaxResponseAge is the maximum age of the last response of a VM that may be added to a set.
const MaxResponseAge = 1500 * time.Millisecond

// MaxShrinkResponseAge is the maximum age of the last response of a member that a smaller set relies on. It is about the time
// between two probes: a member that has just failed ends service in the smaller set, while the larger one would bear its loss.
const MaxShrinkResponseAge = 500 * time.Millisecond

// canShrinkTo reports whether a set that becomes smaller leaves members that can serve and bear a loss.
func (f Fleet) canShrinkTo(members []Member, toleratedFailures int) bool {
	responsive := f.Responsive()
	n := 0
	for _, m := range members {
		if responsive[m.Key()] && f.UnresponsiveFor(m.VM) <= MaxShrinkResponseAge {
			n++
		}
	}
	return n > toleratedFailures
}

// RecentRegistration is the time after its first registration for which a VM may be the successor of a failed one. Every VM counts
// it from the time in the registration, so that a restart changes nothing.
const RecentRegistration = 15 * time.Second

// ReplaceBySuccessorAfter is how long a member must be unresponsive before a recently registered VM replaces it. It is
// longer than a process restart, and shorter than the time within which a successor must have caught up.
const ReplaceBySuccessorAfter = 2500 * time.Millisecond

// ReplaceBySpareAfter is how long a member must be unresponsive before an existing spare replaces it. It is longer than a
// power loss including the restart, because a copy slows the other members down for seconds.
const ReplaceBySpareAfter = 7 * time.Second

// ReplaceWhileCopyingAfter is how long a member must be unresponsive before it is replaced while earlier sets are still
// being copied and that can be completed without the member. Each additional set must be read as well, so a view change waits
// for the previous one to complete if possible.
const ReplaceWhileCopyingAfter = ReplaceBySpareAfter + 3*time.Second

// GiveUpAfter is how long a suspected member may remove itself from the suspects before it counts as gone. It is longer than a
// power loss including the restart.
const GiveUpAfter = ReplaceBySpareAfter

// SuspectAgainAfter is the time after which a member that has removed itself from the suspects, and is silent still, may be suspected
// again. A member that is cut off from the others would otherwise make them write a view at each step.
const SuspectAgainAfter = 30 * time.Second

// EvacuationConfirmTime is the time for which the conditions of MarkEvacuated must hold before it is applied, so that a member that
// had failed when they began does not count as responsive.
const EvacuationConfirmTime = MaxResponseAge

// Reason states why a view is to be changed, or why it is not.
type Reason string

// Reasons of Propose.
const (
	ReasonFirstView     Reason = "first_view"      // There is no view yet.
	ReasonChangeDue     Reason = "change_due"      // Another set or another address is needed.
	ReasonNoChange      Reason = "no_change"       // The view is as it should be.
	ReasonNoReadQuorum  Reason = "no_read_quorum"  // Members without which writes could be lost do not respond.
	ReasonSuspect       Reason = "suspect"         // Such members are to be entered as suspects.
	ReasonSuspectsWait  Reason = "suspects_wait"   // The suspects may still remove themselves.
	ReasonSuspectsBack  Reason = "suspects_back"   // The suspects respond again, or are not needed.
	ReasonGivenUpBack   Reason = "given_up_back"   // A member that was given up has returned with its disk, and is read again.
	ReasonGiveUp        Reason = "give_up"         // The suspects count as gone; the view goes on with what the others have.
	ReasonTooFewMembers Reason = "too_few_members" // Fewer VMs respond than a set needs.
)

// Reasons returns all reasons.
func Reasons() []Reason {
	return []Reason{ReasonFirstView, ReasonChangeDue, ReasonNoChange, ReasonNoReadQuorum, ReasonSuspect, ReasonSuspectsWait, ReasonSuspectsBack, ReasonGivenUpBack, ReasonGiveUp,
		ReasonTooFewMembers}
}

// Propose returns the next view if a change is due. The argument toleratedFailures is the number of VMs with a disk that may be
// lost at the same time from now on. The caller must write the view with a conditional write on the view that it read. Only
// enough members to read every completed write have to be responsive, because a change needs just the conditional write to the
// store and sources for the copies. A write quorum is not required, since it may be larger than the set of members that remain
// after a tolerated loss.
func Propose(v View, f Fleet, toleratedFailures int) (next View, due bool) {
	next, due, _ = ProposeWithReason(v, f, toleratedFailures)
	return next, due
}

// ProposeWithReason is like Propose and also returns the reason of the result.
func ProposeWithReason(v View, f Fleet, toleratedFailures int) (next View, due bool, reason Reason) {
	if v.Version == 0 {
		if next, due = nextView(View{}, f, nil, toleratedFailures); !due {
			return next, due, ReasonTooFewMembers
		}
		return next, due, ReasonFirstView
	}
	if !v.HasReadQuorum(f.Responsive()) {
		return proposeWithoutReadQuorum(v, f, toleratedFailures)
	}
	if next, due = readReturned(v, f); due {
		return next, due, ReasonGivenUpBack
	}
	if next, due = nextView(v, f, v.CurrentSet(), toleratedFailures); due {
		return next, due, ReasonChangeDue
	}
	if len(v.Suspects) > 0 {
		// They are not suspected again soon: the proposer may be cut off from a member that this VM reaches.
		next.Version, next.Suspects, next.Returned = v.Version+1, nil, append(slices.Clone(v.Returned), v.Suspects...)
		return next, true, ReasonSuspectsBack
	}
	return next, due, ReasonNoChange
}

// ProposerRank returns the rank of a VM among the VMs that may propose a view, and whether the VM is eligible. The eligible
// VMs are the members of the current set, or the registered VMs before the first view. The rank is the number of responsive
// eligible VMs with a lower name. A higher rank waits longer, so that only one VM proposes at a time. A VM that lost its disk
// detects this before the others do. It gets rank 0, because the set lacks a member until the VM is a member again.
func ProposerRank(v View, f Fleet, self string) (rank int, eligible bool) {
	proposers := f.Registered
	if v.Version > 0 {
		proposers = v.CurrentSet()
	}
	for _, m := range proposers {
		if m.VM == self {
			eligible = true
		} else if m.VM < self && f.IsResponsive(m.VM) {
			rank++
		}
	}
	for _, registered := range f.Registered {
		if registered.VM == self && eligible && !Contains(proposers, registered.Key()) {
			return 0, true
		}
	}
	return rank, eligible
}

// nextView returns the view that follows v, with the member set that replaces current, if a change is due. A change of the
// tolerated failures is due if the current set needs another quorum for it. It adds a set, too, even if its members are the
// same: its writes have the new quorum, and earlier ones are copied until they have it.
func nextView(v View, f Fleet, current []Member, toleratedFailures int) (View, bool) {
	registered := map[string]Member{}
	for _, m := range f.Registered {
		registered[m.VM] = m
	}
	next := make([]Member, 0, len(current)+1)
	changed := false
	var silent, leaving []Member
	spares := spareMembers(v, f)
	responsive := f.Responsive()
	isServing := v.isWriteQuorum(responsive)
	replaceAfter := replacementDelay(f, spares, current)
	for _, m := range current {
		latest, found := registered[m.VM]
		delay := replaceAfter
		if !v.IsSettled() && isServing && !v.isCopyPending(m) {
			delay = ReplaceWhileCopyingAfter
		}
		switch {
		case found && latest.Disk != m.Disk && !v.hadMember(latest.Key()):
			next = append(next, latest)
			changed = true
		case f.UnresponsiveFor(m.VM) > delay:
			silent = append(silent, m)
		case f.Evacuating[m.VM] && v.IsSettled():
			leaving = append(leaving, m) // Planned work waits for the previous change.
		default:
			next = append(next, m)
		}
	}
	// A failed member takes a spare before one that is to be evacuated and still has its data.
	for _, m := range silent {
		if s, ok := takeSpare(&spares, next, m.DataCentre); ok {
			next = append(next, s)
			changed = true
			continue
		}
		// Removing a failed member makes the set tolerate the next loss. The remaining members must be able to serve
		// without it.
		if f.canShrinkTo(slices.Concat(next, leaving), toleratedFailures) && (v.IsSettled() || v.isCopyPending(m)) {
			changed = true
			continue
		}
		// A VM that is to be evacuated and is not in the set any more still responds: without it, no turn is served.
		if s, ok := takeEvacuating(v, f, next); ok && !isServing {
			next = append(next, s)
			changed = true
			continue
		}
		next = append(next, m)
	}
	for _, m := range leaving {
		if s, ok := takeSpare(&spares, next, m.DataCentre); ok {
			next = append(next, s)
			changed = true
			continue
		}
		if f.EvacuateWithoutSuccessor[m.VM] && f.canShrinkTo(next, toleratedFailures) {
			changed = true
			continue
		}
		next = append(next, m)
	}
	if !isServing {
		var readmitted bool
		next, readmitted = readmitEvacuating(v, f, next, toleratedFailures)
		changed = changed || readmitted
	}
	for len(next) < TargetSetSize(toleratedFailures) && v.IsSettled() {
		s, ok := takeSpare(&spares, next, "")
		if !ok {
			break
		}
		next = append(next, s)
		changed = true
	}
	if v.Version == 0 && len(next) < MinFirstSetSize(toleratedFailures) {
		return v, false
	}
	if len(v.Sets) == 1 && WriteQuorum(next, toleratedFailures) != v.WriteQuorumOf(0) {
		changed = true
	}
	if !changed {
		return updateAddresses(v, registered)
	}
	sort.Slice(next, func(i, j int) bool { return next[i].VM < next[j].VM })
	proposed := View{Version: v.Version + 1, Epoch: v.Epoch + 1, ToleratedFailures: toleratedFailures, Evacuated: v.Evacuated, GivenUp: v.GivenUp, LostAt: v.LostAt}
	for i, set := range v.Sets {
		proposed.Sets = append(proposed.Sets, set)
		proposed.ToleratedBySet = append(proposed.ToleratedBySet, v.toleratedBy(i))
	}
	proposed.Sets = append(proposed.Sets, next)
	proposed.ToleratedBySet = append(proposed.ToleratedBySet, toleratedFailures)
	return proposed, true
}

// replacementDelay returns how long a member must be unresponsive before it is replaced or removed while nothing is copied.
func replacementDelay(f Fleet, spares, current []Member) time.Duration {
	successors := spares
	if len(spares) == 0 {
		successors = current // One of the members may be the successor of a failed member, added before the failure was observed.
	}
	for _, s := range successors {
		if f.RecentlyRegistered[s.VM] {
			return ReplaceBySuccessorAfter
		}
	}
	return ReplaceBySpareAfter
}

// takeEvacuating returns a responsive VM that is to be evacuated, is in no set that takes writes, and has not been reported as
// evacuated.
func takeEvacuating(v View, f Fleet, set []Member) (Member, bool) {
	for _, m := range f.Registered {
		if f.Evacuating[m.VM] && f.IsResponsive(m.VM) && !slices.Contains(v.Evacuated, m.VM) && !Contains(set, m.Key()) && !Contains(v.CurrentSet(), m.Key()) {
			return m, true
		}
	}
	return Member{}, false
}

// readmitEvacuating adds VMs that are to be evacuated to a set that lacks a write quorum of responsive members, and reports whether
// they complete it. Without them, turns are rejected until a silent member is back or replaced. The silent members stay in the set.
func readmitEvacuating(v View, f Fleet, set []Member, toleratedFailures int) ([]Member, bool) {
	responsive := f.Responsive()
	extended := slices.Clone(set)
	for countMembers(extended, responsive) < WriteQuorum(extended, toleratedFailures) {
		m, ok := takeEvacuating(v, f, extended)
		if !ok {
			return set, false
		}
		extended = append(extended, m)
	}
	return extended, len(extended) > len(set)
}

// updateAddresses sets the new address of members whose address has changed. They remain the same members, so no set is
// added and nothing is copied.
func updateAddresses(v View, registered map[string]Member) (View, bool) {
	sets := make([][]Member, len(v.Sets))
	changed := false
	for i, set := range v.Sets {
		sets[i] = slices.Clone(set)
		for k, m := range set {
			if latest, found := registered[m.VM]; found && latest.Disk == m.Disk && latest.Address != m.Address {
				sets[i][k] = latest
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

// spareMembers returns the registered VMs that are responsive, are not to be evacuated and are not in the current set.
func spareMembers(v View, f Fleet) []Member {
	var spares []Member
	for _, m := range f.Registered {
		excluded := slices.Contains(v.Evacuated, m.VM)
		for _, c := range v.CurrentSet() {
			excluded = excluded || c.VM == m.VM
		}
		if !excluded && !f.Evacuating[m.VM] && f.IsResponsive(m.VM) {
			spares = append(spares, m)
		}
	}
	sort.Slice(spares, func(i, j int) bool { return spares[i].VM < spares[j].VM })
	return spares
}

// takeSpare removes a spare from the list and returns it. It prefers a spare in preferredDataCentre, because the data to
// copy is near. Otherwise it selects the spare whose data centre has the fewest members in the set.
func takeSpare(spares *[]Member, set []Member, preferredDataCentre string) (Member, bool) {
	bestIndex, bestScore := -1, 0
	for i, s := range *spares {
		score := 0
		if preferredDataCentre != "" && s.DataCentre == preferredDataCentre {
			score = -1
		}
		for _, m := range set {
			if score >= 0 && m.DataCentre == s.DataCentre {
				score++
			}
		}
		if bestIndex < 0 || score < bestScore {
			bestIndex, bestScore = i, score
		}
	}
	if bestIndex < 0 {
		return Member{}, false
	}
	m := (*spares)[bestIndex]
	*spares = append((*spares)[:bestIndex:bestIndex], (*spares)[bestIndex+1:]...)
	return m, true
}

// MustCopy reports whether a member of the last set has to copy the earlier sets before they can be dropped. A member of
// both sets need not copy if each member that left has a successor that copies. In that case, every write has as many
// copies as before.
func (v View) MustCopy(m Member) bool {
	if len(v.Sets) != 2 {
		return !v.IsSettled()
	}
	earlier, current := v.Sets[0], v.Sets[1]
	wasMember := func(m Member) bool { return Contains(earlier, m.Key()) }
	added, remaining := 0, 0
	for _, c := range current {
		if wasMember(c) {
			remaining++
		} else {
			added++
		}
	}
	allReplaced := added >= len(earlier)-remaining && v.WriteQuorumOf(1) <= v.WriteQuorumOf(0)
	return !allReplaced || !wasMember(m)
}

// isCopyPending reports whether the earlier sets must be retained until a member has copied them.
func (v View) isCopyPending(m Member) bool {
	return !v.IsSettled() && Contains(v.CurrentSet(), m.Key()) && v.MustCopy(m) && !slices.Contains(v.Copied, m.Key())
}

// MarkCopied returns the view after a member of the last set has copied every earlier set, and whether the view changed. It
// drops the earlier sets once every member that must copy them has done so.
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
	copied := map[string]bool{}
	for _, k := range next.Copied {
		copied[k] = true
	}
	for _, m := range v.CurrentSet() {
		if v.MustCopy(m) && !copied[m.Key()] {
			return next, true
		}
	}
	next.Sets = [][]Member{v.CurrentSet()}
	next.ToleratedBySet = []int{v.toleratedBy(len(v.Sets) - 1)}
	next.Copied = nil
	return next, true
}

// MarkEvacuated returns the view after a VM that is to be evacuated has found that no set includes it, and whether the view
// changed. The VM may be removed only when this view is in force, since another replica may be adding the VM to a set. It
// stays while the members that respond are not a write quorum that bears a loss: it may have to be a member again.
func MarkEvacuated(v View, vm string, responded map[string]bool) (View, bool) {
	for _, m := range Union(v.Sets) {
		if m.VM == vm {
			return v, false
		}
	}
	if slices.Contains(v.Evacuated, vm) || !v.IsSettled() || !v.isWriteQuorum(responded) || countMembers(v.CurrentSet(), responded) <= v.toleratedBy(len(v.Sets)-1) {
		return v, false
	}
	next := v
	next.Version = v.Version + 1
	next.Evacuated = append(slices.Clone(v.Evacuated), vm)
	return next, true
}
