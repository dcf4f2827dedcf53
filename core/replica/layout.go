package replica

import (
	"fmt"
	"maps"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Layout divides the VMs with a disk into groups. Each group has a view of its own and stores the turns and charges of the
// programs that hash to it, so that the load of a replica, the size of a copy and the effect of a loss do not grow with the
// number of VMs. The number of groups never changes, and a VM remains in its group.
type Layout struct {
	Groups  int            `json:"groups"`
	GroupOf map[string]int `json:"group_of,omitempty"` // Group of each VM; not used with one group.
}

// SingleGroup is the layout of a store that has a view and no layout.
func SingleGroup() Layout { return Layout{Groups: 1} }

// IsValid reports whether the layout has groups, and only VMs in one of them.
func (l Layout) IsValid() bool {
	for _, group := range l.GroupOf {
		if group < 0 || group >= l.Groups {
			return false
		}
	}
	return l.Groups > 0
}

// GroupCount returns the number of groups for a number of VMs. Each group has a spare besides its set, so that a loss is
// repaired without a VM of another group.
func GroupCount(vms, toleratedFailures int) int {
	return max(1, vms/(TargetSetSize(toleratedFailures)+1))
}

// NewLayout divides the registered VMs into groups. The VMs of each data centre are divided evenly, so that the loss of a
// data centre affects all groups alike.
func NewLayout(registered []Member, toleratedFailures int) Layout {
	l := Layout{Groups: GroupCount(len(registered), toleratedFailures)}
	if l.Groups == 1 {
		return l
	}
	members := append([]Member{}, registered...)
	sort.Slice(members, func(i, j int) bool {
		a, b := members[i], members[j]
		return a.DataCentre < b.DataCentre || a.DataCentre == b.DataCentre && a.VM < b.VM
	})
	l.GroupOf = make(map[string]int, len(members))
	for i, m := range members {
		l.GroupOf[m.VM] = i % l.Groups
	}
	return l
}

// Group returns the group of a VM, and whether the VM has one.
func (l Layout) Group(vm string) (group int, ok bool) {
	if l.Groups == 1 {
		return 0, true
	}
	group, ok = l.GroupOf[vm]
	return group, ok
}

// Assign returns the layout with a VM that has no group in the group with the fewest responsive VMs. Of several such groups
// it takes the one with the fewest VMs in the VM's data centre. The second result is false if the VM has a group.
func (l Layout) Assign(vm Member, f Fleet) (Layout, bool) {
	if _, ok := l.Group(vm.VM); ok || l.Groups == 0 {
		return l, false
	}
	responsive, inDataCentre := make([]int, l.Groups), make([]int, l.Groups)
	for _, m := range f.Registered {
		group, ok := l.Group(m.VM)
		if !ok || !f.IsResponsive(m.VM) || f.Evacuating[m.VM] {
			continue
		}
		responsive[group]++
		if m.DataCentre == vm.DataCentre {
			inDataCentre[group]++
		}
	}
	best := 0
	for group := range l.Groups {
		if responsive[group] < responsive[best] || responsive[group] == responsive[best] && inDataCentre[group] < inDataCentre[best] {
			best = group
		}
	}
	next := Layout{Groups: l.Groups, GroupOf: maps.Clone(l.GroupOf)}
	next.GroupOf[vm.VM] = best
	return next, true
}

// VMsOf returns the registered VMs of a group.
func (l Layout) VMsOf(group int, registered []Member) []Member {
	var members []Member
	for _, m := range registered {
		if g, ok := l.Group(m.VM); ok && g == group {
			members = append(members, m)
		}
	}
	return members
}

// GroupOfProgram returns the group that stores the turns and charges of a program.
func (l Layout) GroupOfProgram(program string) int {
	return int(xxhash.Sum64String(program) % uint64(max(l.Groups, 1)))
}

// ViewName returns the name of the object with the view of a group.
func ViewName(group int) string {
	if group == 0 {
		return "main" // The only group before there were layouts.
	}
	return fmt.Sprintf("group-%d", group)
}
