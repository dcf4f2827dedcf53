package replica

import (
	"slices"
	"sort"
)

// proposeWithoutReadQuorum returns the next view if a read quorum of a set is lost for good. Without this step, the loss of a part
// of the writes would end service for all of them. It takes two views: the first one names the silent members as suspects, the
// second one gives them up unless they have removed themselves within GiveUpAfter. A member that is only cut off from the proposer
// reaches the store, directly or through another VM, and is therefore not given up.
func proposeWithoutReadQuorum(v View, f Fleet, toleratedFailures int) (View, bool, Reason) {
	suspects, isFinal := missingMembers(v, f)
	if !isFinal {
		return v, false, ReasonNoReadQuorum
	}
	switch {
	case len(suspects) == 0: // All that is missing is lost for certain.
	case f.ReturnedFor < SuspectAgainAfter && slices.ContainsFunc(suspects, func(key string) bool { return slices.Contains(v.Returned, key) }):
		return v, false, ReasonSuspectsWait
	case f.SuspectedFor < GiveUpAfter && len(v.Suspects) > 0:
		return v, false, ReasonSuspectsWait
	case !slices.Equal(suspects, v.Suspects):
		next := v
		next.Version++
		next.Suspects = suspects
		next.Returned = slices.DeleteFunc(slices.Clone(v.Returned), func(key string) bool { return slices.Contains(suspects, key) })
		return next, true, ReasonSuspect
	}
	next, ok := giveUp(v, f, toleratedFailures)
	if !ok {
		return v, false, ReasonTooFewMembers
	}
	return next, true, ReasonGiveUp
}

// missingMembers returns the keys of the silent members of the sets without a read quorum, and reports whether such a set has lost
// a disk for good: without that, a silent member may be down with its disk and come back. A set is left out if its members could
// still come back in sufficient number.
func missingMembers(v View, f Fleet) (silent []string, isFinal bool) {
	disks := map[string]string{}
	for _, m := range f.Registered {
		disks[m.VM] = m.Disk
	}
	responsive := f.Responsive()
	for i, set := range v.Sets {
		if countMembers(set, responsive) >= v.ReadQuorumOf(i) {
			continue
		}
		hasLostDisk := false
		for _, m := range set {
			disk, found := disks[m.VM]
			switch {
			case responsive[m.Key()]:
			case found && disk != m.Disk:
				hasLostDisk = true
			case f.UnresponsiveFor(m.VM) <= ReplaceBySuccessorAfter:
				return nil, false
			case !slices.Contains(silent, m.Key()):
				silent = append(silent, m.Key())
			}
		}
		if !hasLostDisk {
			return nil, false
		}
	}
	sort.Strings(silent)
	return silent, true
}

// giveUp returns a view whose earlier sets are the members that respond, one each, so that a copy reads all of them. It reports
// false if fewer VMs respond than a set needs.
func giveUp(v View, f Fleet, toleratedFailures int) (View, bool) {
	responsive := f.Responsive()
	next := View{Version: v.Version + 1, Epoch: v.Epoch + 1, ToleratedFailures: toleratedFailures, Evacuated: v.Evacuated, LostAt: f.Now}
	var members []Member
	for _, m := range Union(v.Sets) {
		if !responsive[m.Key()] {
			continue
		}
		next.Sets = append(next.Sets, []Member{m})
		next.ToleratedBySet = append(next.ToleratedBySet, 0)
		if !f.Evacuating[m.VM] && len(members) < TargetSetSize(toleratedFailures) {
			members = append(members, m)
		}
	}
	var spares []Member
	for _, m := range f.Registered {
		if f.IsResponsive(m.VM) && !f.Evacuating[m.VM] && !slices.Contains(v.Evacuated, m.VM) && !Contains(members, m.Key()) {
			spares = append(spares, m)
		}
	}
	sort.Slice(spares, func(i, j int) bool { return spares[i].VM < spares[j].VM })
	for len(members) < TargetSetSize(toleratedFailures) {
		s, ok := takeSpare(&spares, members, "")
		if !ok {
			break
		}
		members = append(members, s)
	}
	if len(members) < MinFirstSetSize(toleratedFailures) {
		return v, false
	}
	sort.Slice(members, func(i, j int) bool { return members[i].VM < members[j].VM })
	next.Sets = append(next.Sets, members)
	next.ToleratedBySet = append(next.ToleratedBySet, toleratedFailures)
	return next, true
}

// MarkPresent returns the view after a suspected member has removed itself, and whether the view changed.
func MarkPresent(v View, key string) (View, bool) {
	if !slices.Contains(v.Suspects, key) {
		return v, false
	}
	next := v
	next.Version = v.Version + 1
	next.Suspects = slices.DeleteFunc(slices.Clone(v.Suspects), func(k string) bool { return k == key })
	next.Returned = append(slices.Clone(v.Returned), key)
	return next, true
}
