package replica

import (
	"fmt"
	"math/bits"
	"os"
	"slices"
	"strings"
	"testing"
	"time"
)

// Bounds of the explored states.
const (
	exploreVMs          = 4
	exploreDisks        = 4 // Successive disks of one VM.
	exploreSets         = 7 // Max sets of one view.
	exploreProposedSets = 4 // Max sets of a proposed view. The progress check may need the remaining sets.
	exploreViews        = 6 // Max views that a replica, a writer or a reader may still use.
	exploreWrites       = 2
)

// memberSet is a bit set of members. Member (vm, disk) has bit vm*exploreDisks+disk.
type memberSet uint16

func memberBit(vm, disk int) memberSet { return 1 << (vm*exploreDisks + disk) }

func (s memberSet) each(f func(vm, disk int, bit memberSet)) {
	for remaining := s; remaining != 0; remaining &= remaining - 1 {
		i := bits.TrailingZeros16(uint16(remaining))
		f(i/exploreDisks, i%exploreDisks, 1<<i)
	}
}

func (s memberSet) toSlice() []Member {
	var members []Member
	s.each(func(vm, disk int, _ memberSet) { members = append(members, newMember(vmName(vm), fmt.Sprint(disk))) })
	return members
}

func (s memberSet) keys() map[string]bool {
	memberKeys := map[string]bool{}
	for _, m := range s.toSlice() {
		memberKeys[m.Key()] = true
	}
	return memberKeys
}

// String lists the members by VM and disk number.
func (s memberSet) String() string {
	return strings.ReplaceAll(strings.TrimSpace(memberNames(s.toSlice())), " ", ",")
}

func memberSetOf(members []Member) (s memberSet) {
	for _, m := range members {
		s |= memberBit(int(m.VM[0]-'a'), int(m.Disk[0]-'0'))
	}
	return s
}

func vmName(vm int) string { return string(rune('a' + vm)) }

// viewState is a comparable form of View.
type viewState struct {
	epoch     uint8 // 0 in an unused entry.
	sets      [exploreSets]memberSet
	copied    memberSet
	evacuated uint8 // Bit mask of VMs.
}

func (v viewState) allMembers() (u memberSet) {
	for _, s := range v.sets {
		u |= s
	}
	return u
}

func (v viewState) currentSet() (last memberSet) {
	for _, s := range v.sets {
		if s != 0 {
			last = s
		}
	}
	return last
}

// earlierMembers returns the members of all sets except the last.
func (v viewState) earlierMembers() (u memberSet) {
	for i, s := range v.sets[1:] {
		if s != 0 {
			u |= v.sets[i]
		}
	}
	return u
}

func (v viewState) isSettled() bool { return v.sets[1] == 0 }

// vmState is the state of a VM with its current disk.
type vmState struct {
	running          bool
	terminated       bool      // The VM has failed permanently or was removed.
	evacuating       bool      // The VM is to be evacuated.
	unobservedChange bool      // Other replicas may not yet have observed the loss of the previous disk or of the VM.
	disk             uint8     // Number of the current disk, from 0.
	viewNumber       uint8     // Index of the adopted view plus one; 0 for none.
	copiedEpoch      uint8     // Epoch whose earlier sets have been copied.
	inventoriesRead  memberSet // Members whose inventory has been read for the copy.
	storedWrites     uint8     // Bit mask of the writes on the disk.
	knownHolders     [exploreWrites]memberSet
}

// writeState is the state of a write. For a charge, one of two concurrent writes must observe the other.
type writeState struct {
	started, acknowledged, observedOther bool
	viewNumber                           uint8 // Index of the writer's view plus one.
	storedBy                             memberSet
}

// clusterState is the state of the store, the replicas and the writers.
type clusterState struct {
	views                                                                     [exploreViews]viewState // Oldest first, without views that no process can use any more.
	vms                                                                       [exploreVMs]vmState
	writes                                                                    [exploreWrites]writeState
	remainingLosses, remainingEvacuations, remainingJoins, remainingProposals uint8 // Number of events of each kind that may still happen.
	remainingWrites                                                           uint8 // Number of writes that may still start.
}

func (c *clusterState) latestView() int {
	for i := exploreViews - 1; i >= 0; i-- {
		if c.views[i].epoch != 0 {
			return i
		}
	}
	return -1
}

func (c *clusterState) liveMembers() (s memberSet) {
	for i, vm := range c.vms {
		if vm.running {
			s |= memberBit(i, int(vm.disk))
		}
	}
	return s
}

func (c *clusterState) currentMember(vm int) memberSet { return memberBit(vm, int(c.vms[vm].disk)) }

// explorer generates the successor states and caches the results of the functions under test.
type explorer struct {
	toleratedFailures int
	slowCopies        bool
	trace             bool // Steps have names.
	viewCache         map[viewState]View
	proposalCache     map[proposalKey]proposalResult
	quorumCache       map[quorumKey]bool
	truncated         int
}

type proposalKey struct {
	view                             viewState
	self                             uint8
	registered                       memberSet
	responsive, timedOut, evacuating uint8
}

type proposalResult struct {
	next viewState
	ok   bool
}

type quorumKey struct {
	view      viewState
	responded memberSet
	kind      uint8
}

func (x *explorer) toView(s viewState) View {
	if v, ok := x.viewCache[s]; ok {
		return v
	}
	v := View{Version: 1, Epoch: uint64(s.epoch), ToleratedFailures: x.toleratedFailures}
	for _, set := range s.sets {
		if set != 0 {
			v.Sets = append(v.Sets, set.toSlice())
		}
	}
	for _, m := range s.copied.toSlice() {
		v.Copied = append(v.Copied, m.Key())
	}
	for vm := range exploreVMs {
		if s.evacuated>>vm&1 == 1 {
			v.Evacuated = append(v.Evacuated, vmName(vm))
		}
	}
	x.viewCache[s] = v
	return v
}

func (x *explorer) toViewState(v View) (s viewState, ok bool) {
	if len(v.Sets) > exploreSets {
		return s, false
	}
	s.epoch = uint8(v.Epoch)
	for i, set := range v.Sets {
		s.sets[i] = memberSetOf(set)
	}
	for _, vm := range v.Evacuated {
		s.evacuated |= 1 << (vm[0] - 'a')
	}
	for _, set := range v.Sets {
		for _, m := range set {
			for _, k := range v.Copied {
				if k == m.Key() {
					s.copied |= memberSetOf([]Member{m})
				}
			}
		}
	}
	return s, true
}

func (x *explorer) hasQuorum(v viewState, responded memberSet, kind uint8) bool {
	key := quorumKey{v, responded & v.allMembers(), kind}
	if result, ok := x.quorumCache[key]; ok {
		return result
	}
	full := x.toView(v)
	var result bool
	switch kind {
	case completeRead:
		result = full.IsReadComplete(key.responded.keys())
	case completeWrite:
		result = full.IsWriteComplete(key.responded.keys())
	case earlierReadQuorum:
		full.Sets = full.Sets[:len(full.Sets)-1]
		result = full.HasReadQuorum(key.responded.keys())
	case readQuorum:
		result = full.HasReadQuorum(key.responded.keys())
	case writeQuorum:
		result = full.IsStoredByQuorum(key.responded.toSlice())
	}
	x.quorumCache[key] = result
	return result
}

const (
	completeRead uint8 = iota
	completeWrite
	earlierReadQuorum
	readQuorum
	writeQuorum
)

// propose returns the view change that a VM proposes. The masks responsive, timedOut and evacuating are the VMs that the
// proposer observes as responsive, as unresponsive for longer than every timeout, and as to be evacuated.
func (x *explorer) propose(k proposalKey) proposalResult {
	if result, ok := x.proposalCache[k]; ok {
		return result
	}
	contains := func(mask uint8, vm string) bool { return mask>>(vm[0]-'a')&1 == 1 }
	f := Fleet{Registered: k.registered.toSlice(), Evacuating: map[string]bool{}, EvacuateWithoutSuccessor: map[string]bool{},
		IsResponsive: func(vm string) bool { return contains(k.responsive, vm) },
		UnresponsiveFor: func(vm string) time.Duration {
			switch {
			case contains(k.responsive, vm):
				return 0
			case contains(k.timedOut, vm):
				return time.Hour
			default:
				return MaxResponseAge
			}
		}}
	for vm := range exploreVMs {
		if name := vmName(vm); contains(k.evacuating, name) {
			f.Evacuating[name], f.EvacuateWithoutSuccessor[name] = true, true
		}
	}
	v := x.toView(k.view)
	var result proposalResult
	if _, eligible := ProposerRank(v, f, vmName(int(k.self))); eligible {
		if next, due := Propose(v, f, x.toleratedFailures); due {
			var fits bool
			result.next, fits = x.toViewState(next)
			result.ok = fits
			if !fits {
				x.truncated++
			}
		}
	}
	x.proposalCache[k] = result
	return result
}

// appendView appends a view to the history of the store.
func (x *explorer) appendView(c clusterState, v viewState) (clusterState, bool) {
	c = x.pruneViews(c)
	n := c.latestView()
	if n+1 >= exploreViews {
		x.truncated++
		return c, false
	}
	c.views[n+1] = v
	return x.pruneViews(c), true
}

// pruneViews removes views that no process can use any more and renumbers the epochs without gaps.
func (x *explorer) pruneViews(c clusterState) clusterState {
	last := c.latestView()
	var needed [exploreViews]bool
	for i := 0; i <= last; i++ {
		readers := memberSet(0)
		for vm, s := range c.vms {
			if s.running && (s.viewNumber == 0 || c.views[s.viewNumber-1].epoch <= c.views[i].epoch) {
				readers |= c.currentMember(vm)
			}
		}
		needed[i] = i == last || x.hasQuorum(c.views[i], readers, completeRead)
	}
	for _, s := range c.vms {
		if s.running && s.viewNumber > 0 {
			needed[s.viewNumber-1] = true
		}
	}
	for _, s := range c.writes {
		if s.started && !s.acknowledged {
			needed[s.viewNumber-1] = true
		}
	}
	var newNumber [exploreViews + 1]uint8
	out := c
	out.views = [exploreViews]viewState{}
	n, epoch, previousEpoch := 0, uint8(0), uint8(0)
	var newEpoch [256]uint8
	for i := 0; i <= last; i++ {
		if !needed[i] {
			continue
		}
		if e := c.views[i].epoch; e != previousEpoch {
			epoch++
			previousEpoch = e
			newEpoch[e] = epoch
		}
		out.views[n] = c.views[i]
		out.views[n].epoch = epoch
		n++
		newNumber[i+1] = uint8(n)
	}
	for i := range out.vms {
		s := &out.vms[i]
		if !s.running {
			*s = vmState{terminated: s.terminated, evacuating: s.evacuating, unobservedChange: s.unobservedChange, disk: s.disk}
			continue
		}
		s.viewNumber = newNumber[s.viewNumber]
		s.copiedEpoch = newEpoch[s.copiedEpoch]
		if s.viewNumber == 0 || out.views[s.viewNumber-1].isSettled() {
			s.copiedEpoch = 0
		}
		if s.viewNumber == 0 || s.copiedEpoch != 0 || out.views[s.viewNumber-1].isSettled() {
			s.inventoriesRead, s.knownHolders = 0, [exploreWrites]memberSet{}
		}
	}
	for i := range out.writes {
		s := &out.writes[i]
		if s.acknowledged || !s.started {
			s.viewNumber, s.storedBy = 0, 0
		} else {
			s.viewNumber = newNumber[s.viewNumber]
		}
	}
	return out
}

// adoptView makes a VM adopt a view unless it has a newer one. It reports whether the VM's epoch is that of the view.
func (c *clusterState) adoptView(vm int, view uint8) bool {
	s := &c.vms[vm]
	if s.viewNumber >= view {
		return c.views[s.viewNumber-1].epoch == c.views[view-1].epoch
	}
	if s.viewNumber == 0 || c.views[s.viewNumber-1].epoch != c.views[view-1].epoch {
		s.copiedEpoch, s.inventoriesRead, s.knownHolders = 0, 0, [exploreWrites]memberSet{}
	}
	s.viewNumber = view
	return true
}

// unrepairedLosses returns the number of lost disks that have not been replaced or whose loss another replica may not have
// observed.
func (c *clusterState) unrepairedLosses() int {
	unrepaired := c.views[c.latestView()].allMembers() &^ c.liveMembers()
	for i, vm := range c.vms {
		if vm.unobservedChange && vm.running {
			unrepaired |= memberBit(i, int(vm.disk)-1)
		} else if vm.unobservedChange {
			unrepaired |= c.currentMember(i)
		}
	}
	return bits.OnesCount16(uint16(unrepaired))
}

// tolerableLosses returns how many disks may be lost. A set with fewer members than required tolerates fewer losses.
func (x *explorer) tolerableLosses(c clusterState) int {
	n := x.toleratedFailures
	for _, s := range c.views[c.latestView()].sets {
		if s != 0 {
			n = min(n, bits.OnesCount16(uint16(s))-1)
		}
	}
	return n
}

type step struct {
	name string
	next clusterState
}

// steps returns the possible next steps.
func (x *explorer) steps(c clusterState) []step {
	var possible []step
	add := func(next clusterState, format string, args ...any) {
		next = x.pruneViews(next)
		if next != c {
			s := step{next: next}
			if x.trace {
				s.name = fmt.Sprintf(format, args...) // Formatting costs more than the step itself.
			}
			possible = append(possible, s)
		}
	}
	last := c.latestView()
	for vm := range exploreVMs {
		s, name := c.vms[vm], vmName(vm)
		if !s.running && !s.terminated && c.remainingJoins > 0 {
			n := c
			n.remainingJoins--
			n.vms[vm].running = true
			add(n, "%s joins", name)
		}
		if s.unobservedChange {
			n := c
			n.vms[vm].unobservedChange = false
			add(n, "all replicas observe the loss of %s", name)
		}
		if !s.running {
			continue
		}
		if c.remainingLosses > 0 {
			n := c
			n.remainingLosses--
			n.vms[vm] = vmState{terminated: true, evacuating: s.evacuating, unobservedChange: true, disk: s.disk}
			if n.unrepairedLosses() <= x.tolerableLosses(c) {
				add(n, "%s fails permanently", name)
			}
			if s.disk+1 < exploreDisks && !s.unobservedChange {
				n = c
				n.remainingLosses--
				n.vms[vm] = vmState{running: true, evacuating: s.evacuating, unobservedChange: true, disk: s.disk + 1}
				if n.unrepairedLosses() <= x.tolerableLosses(c) {
					add(n, "%s loses its disk", name)
				}
			}
		}
		if c.remainingEvacuations > 0 && !s.evacuating {
			n := c
			n.remainingEvacuations--
			n.vms[vm].evacuating = true
			add(n, "%s is to be evacuated", name)
		}
		if s.viewNumber == 0 {
			n := c
			n.adoptView(vm, uint8(last+1))
			add(n, "%s adopts view %d", name, last)
			continue
		}
		v := c.views[s.viewNumber-1]
		if s.evacuating && v.evacuated>>vm&1 == 1 {
			n := c
			n.vms[vm] = vmState{terminated: true, evacuating: true, disk: s.disk}
			add(n, "%s is removed", name)
		}
		if s.evacuating {
			if marked, ok := MarkEvacuated(x.toView(c.views[last]), name, c.liveMembers().keys()); ok {
				next, _ := x.toViewState(marked)
				if n, ok := x.appendView(c, next); ok {
					n.adoptView(vm, uint8(n.latestView()+1))
					add(n, "%s marks itself as evacuated", name)
				}
			}
		}
		if !x.slowCopies {
			x.addAtomicCopy(c, vm, add)
		}
		// Adopting a view without a further step only makes a VM reject writes, so VMs adopt views only when they act.
		newest := c
		newest.adoptView(vm, uint8(last+1))
		if x.slowCopies {
			x.addCopySteps(c, vm, add)
			if newest != c {
				x.addCopySteps(newest, vm, add)
			}
		}
		if c.remainingProposals > 0 {
			for _, k := range x.proposerObservations(c, vm) {
				if r := x.propose(k); r.ok && r.next.sets[exploreProposedSets] == 0 {
					n := newest
					n.remainingProposals--
					if n, ok := x.appendView(n, r.next); ok {
						n.adoptView(vm, uint8(n.latestView()+1))
						add(n, "%s proposes %s (responsive %04b)", name, r.next, k.responsive)
					}
				}
			}
		}
	}
	x.addWriteSteps(c, add)
	return possible
}

func (x *explorer) containsVM(v viewState, vm int) bool {
	found := false
	v.allMembers().each(func(m, _ int, _ memberSet) { found = found || m == vm })
	return found
}

// addAtomicCopy adds the steps in which a VM completes a copy for the newest view, including its mark, from every
// sufficient set of sources.
func (x *explorer) addAtomicCopy(c clusterState, vm int, add func(clusterState, string, ...any)) {
	c.adoptView(vm, uint8(c.latestView()+1))
	v, self := c.views[c.latestView()], c.currentMember(vm)
	if v.isSettled() || v.currentSet()&self == 0 || v.copied&self != 0 || !x.toView(v).MustCopy(self.toSlice()[0]) {
		return
	}
	marked, _ := MarkCopied(x.toView(v), self.toSlice()[0].Key())
	next, _ := x.toViewState(marked)
	sources := v.earlierMembers() & c.liveMembers() &^ self
	for sub := sources; ; sub = (sub - 1) & sources {
		if n := c; x.hasQuorum(v, sub|self, earlierReadQuorum) {
			var holders [exploreWrites]memberSet
			sub.each(func(m, _ int, bit memberSet) {
				n.adoptView(m, uint8(n.latestView()+1))
				for i := range holders {
					if n.vms[m].storedWrites>>i&1 == 1 {
						holders[i] |= bit
					}
				}
			})
			for i := range holders {
				if holders[i] != 0 && !x.hasQuorum(v, holders[i], writeQuorum) {
					n.vms[vm].storedWrites |= 1 << i
				}
			}
			if n, ok := x.appendView(n, next); ok {
				n.adoptView(vm, uint8(n.latestView()+1))
				add(n, "%s copies from %s: %s", vmName(vm), sub, next)
			}
		}
		if sub == 0 {
			break
		}
	}
}

// addCopySteps adds the steps of a copy: reading one inventory, completing the copy, and marking it in the view.
func (x *explorer) addCopySteps(c clusterState, vm int, add func(clusterState, string, ...any)) {
	s, self := c.vms[vm], c.currentMember(vm)
	v := c.views[s.viewNumber-1]
	if v.isSettled() || v.currentSet()&self == 0 || v.copied&self != 0 || !x.toView(v).MustCopy(self.toSlice()[0]) {
		return
	}
	if s.copiedEpoch == v.epoch {
		if int(s.viewNumber) != c.latestView()+1 {
			return
		}
		if marked, ok := MarkCopied(x.toView(v), self.toSlice()[0].Key()); ok {
			next, _ := x.toViewState(marked)
			if n, ok := x.appendView(c, next); ok {
				n.adoptView(vm, uint8(n.latestView()+1))
				add(n, "%s marks its copy as complete: %s", vmName(vm), next)
			}
		}
		return
	}
	if x.hasQuorum(v, s.inventoriesRead|self, earlierReadQuorum) {
		n := c
		complete := true
		for i := range exploreWrites {
			if s.storedWrites>>i&1 == 1 || s.knownHolders[i] == 0 || x.hasQuorum(v, s.knownHolders[i], writeQuorum) {
				continue
			}
			if s.knownHolders[i]&c.liveMembers() == 0 {
				complete = false
				continue
			}
			n.vms[vm].storedWrites |= 1 << i
		}
		if complete {
			n.vms[vm].copiedEpoch = v.epoch
			add(n, "%s completes the copy for %s", vmName(vm), v)
		}
	}
	(s.inventoriesRead &^ c.liveMembers()).each(func(m, _ int, bit memberSet) {
		n := c
		n.vms[vm].inventoriesRead &^= bit
		for i := range exploreWrites {
			n.vms[vm].knownHolders[i] &^= bit
		}
		add(n, "%s discards the inventory of %s, which does not respond", vmName(vm), vmName(m))
	})
	(v.earlierMembers() & c.liveMembers() &^ s.inventoriesRead &^ self).each(func(m, _ int, bit memberSet) {
		n := c
		if !n.adoptView(m, s.viewNumber) {
			return
		}
		n.vms[vm].inventoriesRead |= bit
		for i := range exploreWrites {
			if n.vms[m].storedWrites>>i&1 == 1 {
				n.vms[vm].knownHolders[i] |= bit
			}
		}
		add(n, "%s reads the inventory of %s for %s", vmName(vm), vmName(m), v)
	})
}

// proposerObservations returns the possible observations of a proposer. It may be partitioned from any VM. VMs with a
// recent loss may still count as responsive with the previous disk. Evacuation requests may or may not have reached it.
func (x *explorer) proposerObservations(c clusterState, self int) []proposalKey {
	base := proposalKey{view: c.views[c.latestView()], self: uint8(self)}
	var alwaysResponsive, maybeResponsive, evacuating uint8
	var registered, changed, previous memberSet
	for i, s := range c.vms {
		if !s.running && !s.terminated {
			continue
		}
		registered |= c.currentMember(i)
		if s.unobservedChange && s.running && i != self {
			changed |= c.currentMember(i)
			previous |= memberBit(i, int(s.disk)-1)
		}
		if i == self {
			alwaysResponsive |= 1 << i
		} else if s.running || s.unobservedChange {
			maybeResponsive |= 1 << i
		}
		if s.evacuating {
			evacuating |= 1 << i
		}
	}
	var keys []proposalKey
	for sub := maybeResponsive; ; sub = (sub - 1) & maybeResponsive {
		for _, timedOut := range []uint8{0, 0xff} {
			for _, r := range []uint8{0, evacuating} {
				k := base
				k.responsive, k.timedOut, k.evacuating, k.registered = alwaysResponsive|sub, timedOut, r, registered
				keys = append(keys, k)
				if changed != 0 {
					k.registered = registered&^changed | previous
					keys = append(keys, k)
				}
				if evacuating == 0 {
					break
				}
			}
		}
		if sub == 0 {
			break
		}
	}
	return keys
}

// addWriteSteps adds the start of a write in any view that a writer may still have, and its arrival at one more member.
func (x *explorer) addWriteSteps(c clusterState, add func(clusterState, string, ...any)) {
	for i, s := range c.writes {
		if !s.started {
			if c.remainingWrites == 0 {
				continue
			}
			n := c
			n.remainingWrites--
			for view := 0; view <= c.latestView(); view++ {
				n.writes[i] = writeState{started: true, viewNumber: uint8(view + 1)}
				x.addStoreSteps(n, i, add)
			}
			break
		}
		if !s.acknowledged {
			x.addStoreSteps(c, i, add)
		}
	}
}

// addStoreSteps adds the arrival of a write at one more member.
func (x *explorer) addStoreSteps(c clusterState, i int, add func(clusterState, string, ...any)) {
	s := c.writes[i]
	v := c.views[s.viewNumber-1]
	(v.allMembers() & c.liveMembers() &^ s.storedBy).each(func(vm, _ int, bit memberSet) {
		n := c
		if !n.adoptView(vm, s.viewNumber) {
			return
		}
		if n.vms[vm].storedWrites>>(1-i)&1 == 1 {
			n.writes[i].observedOther = true
		}
		n.vms[vm].storedWrites |= 1 << i
		n.writes[i].storedBy |= bit
		n.writes[i].acknowledged = x.hasQuorum(v, n.writes[i].storedBy, completeWrite)
		add(n, "write %d of %s is stored by %s (acknowledged: %v)", i, v, vmName(vm), n.writes[i].acknowledged)
	})
}

// checkInvariants describes the invariant that a state violates, or returns an empty string.
func (x *explorer) checkInvariants(c clusterState) string {
	last := c.latestView()
	if !x.hasQuorum(c.views[last], c.liveMembers(), readQuorum) {
		return "no read quorum is available: " + c.views[last].String()
	}
	if sets := x.toView(c.views[last]).Sets; len(sets) > 1 {
		if before, now := len(sets[len(sets)-2]), len(sets[len(sets)-1]); now < min(before, x.toleratedFailures+1) {
			return "the last set has too few members: " + c.views[last].String()
		}
	}
	for i, s := range c.writes {
		if !s.acknowledged {
			continue
		}
		for viewIndex := 0; viewIndex <= last; viewIndex++ {
			v := c.views[viewIndex]
			missing := memberSet(0)
			for vm, m := range c.vms {
				if m.running && m.storedWrites>>i&1 == 0 && (m.viewNumber == 0 || c.views[m.viewNumber-1].epoch <= v.epoch) {
					missing |= c.currentMember(vm)
				}
			}
			if x.hasQuorum(v, missing, completeRead) {
				return fmt.Sprintf("a reader with %s does not find write %d", v, i)
			}
		}
	}
	if c.writes[0].acknowledged && c.writes[1].acknowledged && !c.writes[0].observedOther && !c.writes[1].observedOther {
		return "neither of two charges observed the other"
	}
	return x.checkProgress(c)
}

// checkProgress runs the remaining VMs, with all losses observed, until nothing changes. It describes what does not
// complete.
func (x *explorer) checkProgress(c clusterState) string {
	remaining := 0
	for i := range c.vms {
		c.vms[i].unobservedChange = false
		if c.vms[i].running && !c.vms[i].evacuating {
			remaining++
		}
	}
	if remaining <= x.toleratedFailures {
		return "" // The remaining VMs are too few for a set.
	}
	for range 40 {
		before := c
		for vm := range exploreVMs {
			c = x.runVM(c, vm)
		}
		if c == before {
			break
		}
	}
	v := c.views[c.latestView()]
	switch {
	case !v.isSettled():
		return "the view never settles: " + v.String()
	case bits.OnesCount16(uint16(v.currentSet()&c.liveMembers())) < WriteQuorum(v.currentSet().toSlice(), x.toleratedFailures):
		return "no write quorum ever responds: " + v.String()
	case v.currentSet()&^c.liveMembers() != 0:
		return "a failed member is not removed, so the next loss is not tolerated: " + v.String()
	}
	for vm, s := range c.vms {
		if s.running && s.evacuating && x.containsVM(v, vm) {
			return fmt.Sprintf("%s is never evacuated: %s", vmName(vm), v)
		}
	}
	return ""
}

// runVM performs every step that one VM can take.
func (x *explorer) runVM(c clusterState, vm int) clusterState {
	if !c.vms[vm].running {
		return c
	}
	c.adoptView(vm, uint8(c.latestView()+1))
	if x.slowCopies {
		for before := (clusterState{}); before != c; {
			before = c
			x.addCopySteps(c, vm, func(n clusterState, _ string, _ ...any) { c = x.pruneViews(n) })
		}
	} else {
		x.addAtomicCopy(c, vm, func(n clusterState, _ string, _ ...any) { c = x.pruneViews(n) })
	}
	k := proposalKey{view: c.views[c.latestView()], self: uint8(vm), timedOut: 0xff}
	for i, s := range c.vms {
		if !s.running && !s.terminated {
			continue
		}
		k.registered |= c.currentMember(i)
		if s.running {
			k.responsive |= 1 << i
		}
		if s.evacuating {
			k.evacuating |= 1 << i
		}
	}
	if r := x.propose(k); r.ok {
		if n, ok := x.appendView(c, r.next); ok {
			n.adoptView(vm, uint8(n.latestView()+1))
			return x.pruneViews(n)
		}
	}
	return c
}

// String formats the sets of a view.
func (v viewState) String() string {
	var sets []string
	for _, s := range v.sets {
		if s != 0 {
			sets = append(sets, s.String())
		}
	}
	return fmt.Sprintf("epoch %d [%s]", v.epoch, strings.Join(sets, " | "))
}

// exploration describes an initial state and the number of events that may follow.
type exploration struct {
	toleratedFailures                                            int
	members, spares                                              int // VMs in the first set, and further VMs.
	maxLosses, maxEvacuations, maxJoins, maxProposals, maxWrites uint8
	slowCopies                                                   bool // Inventories are read one at a time, with other steps in between.
}

func (e exploration) initialState() clusterState {
	var c clusterState
	var s memberSet
	for vm := range e.members {
		s |= memberBit(vm, 0)
	}
	c.views[0] = viewState{epoch: 1, sets: [exploreSets]memberSet{s}}
	for vm := range e.members + e.spares {
		c.vms[vm] = vmState{running: true, viewNumber: 1}
	}
	c.remainingLosses, c.remainingEvacuations, c.remainingJoins, c.remainingProposals, c.remainingWrites = e.maxLosses, e.maxEvacuations, e.maxJoins, e.maxProposals, e.maxWrites
	return c
}

// run visits every state. It returns the number of states and of steps beyond the bounds, and the shortest path to a state
// that violates an invariant.
func (e exploration) run() (states, truncated int, fault string) {
	x := &explorer{toleratedFailures: e.toleratedFailures, slowCopies: e.slowCopies, viewCache: map[viewState]View{}, proposalCache: map[proposalKey]proposalResult{}, quorumCache: map[quorumKey]bool{}}
	initial := x.pruneViews(e.initialState())
	visitedStates := map[clusterState]struct{}{initial: {}}
	queue, parents := []clusterState{initial}, []int32{-1}
	for current := 0; current < len(queue); current++ {
		if violation := x.checkInvariants(queue[current]); violation != "" {
			lines := []string{violation}
			x.trace = true
			for i := int32(current); i > 0; i = parents[i] {
				for _, s := range x.steps(queue[parents[i]]) {
					if s.next == queue[i] {
						lines = append(lines, s.name)
						break
					}
				}
			}
			slices.Reverse(lines[1:])
			return len(queue), x.truncated, strings.Join(lines, "\n  ")
		}
		for _, s := range x.steps(queue[current]) {
			if _, visited := visitedStates[s.next]; !visited {
				visitedStates[s.next] = struct{}{}
				queue = append(queue, s.next)
				parents = append(parents, int32(current))
			}
		}
	}
	return len(queue), x.truncated, ""
}

// Guards against acknowledged writes that are lost or that a complete read does not return, against two charges that miss
// each other, and against a membership that stays unsettled or without a write quorum although the remaining VMs respond.
// Covers losses, evacuations, partitions and successors in every order.
func TestExploreMembership(t *testing.T) {
	explorations := map[string]exploration{
		"one":               {toleratedFailures: 1, members: 1, spares: 1, maxLosses: 1, maxJoins: 1, maxProposals: 2},
		"two":               {toleratedFailures: 1, members: 2, maxLosses: 2, maxJoins: 1, maxProposals: 1, maxEvacuations: 1},
		"two and a write":   {toleratedFailures: 1, members: 2, maxLosses: 1, maxJoins: 1, maxProposals: 1, maxWrites: 1},
		"two and charges":   {toleratedFailures: 1, members: 2, spares: 1, maxProposals: 1, maxWrites: 2},
		"two, slow copies":  {toleratedFailures: 1, members: 2, spares: 1, maxLosses: 1, maxProposals: 1, maxWrites: 1, slowCopies: true},
		"three":             {toleratedFailures: 1, members: 3, maxLosses: 1, maxJoins: 1, maxProposals: 1, maxEvacuations: 1},
		"three and a write": {toleratedFailures: 1, members: 3, maxLosses: 1, maxProposals: 1, maxWrites: 1},
	}
	if os.Getenv("JACKDAWBAY_EXPLORE") != "" { // Each takes minutes and gigabytes of memory.
		explorations = map[string]exploration{
			"two and a write":      {toleratedFailures: 1, members: 2, maxLosses: 2, maxJoins: 1, maxProposals: 2, maxWrites: 1},
			"two and charges":      {toleratedFailures: 1, members: 2, maxLosses: 1, maxJoins: 1, maxProposals: 1, maxWrites: 2},
			"two, two proposals":   {toleratedFailures: 1, members: 2, maxLosses: 2, maxJoins: 1, maxProposals: 2, maxEvacuations: 1},
			"three, two proposals": {toleratedFailures: 1, members: 3, maxLosses: 1, maxJoins: 1, maxProposals: 2, maxEvacuations: 1},
			"three and a write":    {toleratedFailures: 1, members: 3, maxLosses: 1, maxJoins: 1, maxProposals: 1, maxWrites: 1},
			"three, slow copies":   {toleratedFailures: 1, members: 3, maxLosses: 1, maxJoins: 1, maxProposals: 1, maxWrites: 1, slowCopies: true},
		}
	}
	for name, e := range explorations {
		t.Run(name, func(t *testing.T) {
			start := time.Now()
			states, truncated, fault := e.run()
			t.Logf("%d states, %d steps beyond the bounds, %v", states, truncated, time.Since(start))
			if fault != "" {
				t.Fatal(fault)
			}
		})
	}
}
