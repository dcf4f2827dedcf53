package replica

import (
	"slices"
	"sort"
	"strings"
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

// missingMembers returns the keys of the silent members of the sets without a read quorum. It reports false if such a set could still
// get one: no disk of it is lost, so that each silent member may come back with its disk, or a silent member may just be restarting.
func missingMembers(v View, f Fleet) (silent []string, isFinal bool) {
	registered := map[string]Member{}
	for _, m := range f.Registered {
		registered[m.VM] = m
	}
	responsive := f.Responsive()
	for i, set := range v.Sets {
		if countMembers(set, responsive) >= v.ReadQuorumOf(i) {
			continue
		}
		hasLostDisk := false
		for _, m := range set {
			latest, found := registered[m.VM]
			switch {
			case responsive[m.Key()]:
			case found && isLost(v, m, latest):
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

// isLost reports whether the disk of a member is lost, since its VM has registered with another one.
func isLost(v View, m, registered Member) bool {
	return registered.Disk != m.Disk && (!Contains(v.CurrentSet(), m.Key()) || !v.hadMember(registered.Key()))
}

// giveUp returns a view whose earlier sets are the members that respond, one each, so that a copy reads all of them. It reports
// false if fewer VMs respond than a set needs.
func giveUp(v View, f Fleet, toleratedFailures int) (View, bool) {
	responsive := f.Responsive()
	next := View{Version: v.Version + 1, Epoch: v.Epoch + 1, ToleratedFailures: toleratedFailures, Evacuated: v.Evacuated, GivenUp: slices.Clone(v.GivenUp), LostAt: f.Now}
	var members, evacuating []Member
	for _, m := range Union(v.Sets) {
		if !responsive[m.Key()] {
			i := slices.IndexFunc(f.Registered, func(registered Member) bool { return registered.VM == m.VM })
			if i < 0 || !isLost(v, m, f.Registered[i]) {
				next.GivenUp = append(next.GivenUp, m)
			}
			continue
		}
		next.Sets = append(next.Sets, []Member{m})
		next.ToleratedBySet = append(next.ToleratedBySet, 0)
		if f.Evacuating[m.VM] {
			evacuating = append(evacuating, m)
		} else if len(members) < TargetSetSize(toleratedFailures) {
			members = append(members, m)
		}
	}
	var spares []Member
	for _, m := range f.Registered {
		switch {
		case !f.IsResponsive(m.VM) || slices.Contains(v.Evacuated, m.VM) || Contains(members, m.Key()) || Contains(evacuating, m.Key()):
		case f.Evacuating[m.VM]:
			evacuating = append(evacuating, m)
		default:
			spares = append(spares, m)
		}
	}
	byName := func(a, b Member) int { return strings.Compare(a.VM, b.VM) }
	slices.SortFunc(spares, byName)
	slices.SortFunc(evacuating, byName)
	for len(members) < TargetSetSize(toleratedFailures) {
		s, ok := takeSpare(&spares, members, "")
		if !ok {
			break
		}
		members = append(members, s)
	}
	for len(members) < MinFirstSetSize(toleratedFailures) && len(evacuating) > 0 {
		members, evacuating = append(members, evacuating[0]), evacuating[1:]
	}
	if len(members) < MinFirstSetSize(toleratedFailures) {
		return v, false
	}
	slices.SortFunc(members, byName)
	next.Sets = append(next.Sets, members)
	next.ToleratedBySet = append(next.ToleratedBySet, toleratedFailures)
	return next, true
}

// readReturned returns a view with an earlier set for each given-up member that responds with its disk, so that its writes are copied
// to the members of the last set.
func readReturned(v View, f Fleet) (View, bool) {
	responsive := f.Responsive()
	next := View{Version: v.Version + 1, Epoch: v.Epoch + 1, ToleratedFailures: v.ToleratedFailures, Evacuated: v.Evacuated, LostAt: v.LostAt}
	for _, m := range v.GivenUp {
		if !responsive[m.Key()] {
			next.GivenUp = append(next.GivenUp, m)
			continue
		}
		next.Sets = append(next.Sets, []Member{m})
		next.ToleratedBySet = append(next.ToleratedBySet, 0)
	}
	if len(next.Sets) == 0 {
		return v, false
	}
	for i, set := range v.Sets {
		next.Sets = append(next.Sets, set)
		next.ToleratedBySet = append(next.ToleratedBySet, v.toleratedBy(i))
	}
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
