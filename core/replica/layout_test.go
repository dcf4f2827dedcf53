package replica

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func registeredVMs(perDataCentre, dataCentres int) []Member {
	var members []Member
	for d := range dataCentres {
		for i := range perDataCentre {
			members = append(members, Member{VM: fmt.Sprintf("store-%d-%d", d, i), Disk: "d", DataCentre: fmt.Sprint("dc-", d)})
		}
	}
	return members
}

func fleetOf(registered []Member, unresponsive map[string]bool) Fleet {
	return Fleet{
		Registered:      registered,
		IsResponsive:    func(vm string) bool { return !unresponsive[vm] },
		UnresponsiveFor: func(string) time.Duration { return 0 },
	}
}

// Guards against one group whose load grows with the number of VMs, and against groups too small to replace a lost VM.
// The pattern: hundreds of gateways and the state of all programs on the first five VMs with a disk.
func TestGroupsGrowWithTheFleet(t *testing.T) {
	for _, c := range []struct{ vms, tolerated, groups int }{
		{1, 1, 1}, {3, 1, 1}, {4, 1, 1}, {7, 1, 1}, {8, 1, 2}, {8, 2, 1}, {10, 2, 1}, {12, 2, 2}, {24, 2, 4}, {72, 2, 12}, {2, 0, 1},
	} {
		test.EqOp(t, c.groups, GroupCount(c.vms, c.tolerated), test.Sprint(c))
	}
	l := NewLayout(registeredVMs(4, 6), 2)
	must.EqOp(t, 4, l.Groups)
	for group := range l.Groups {
		inDataCentre := map[string]int{}
		members := l.VMsOf(group, registeredVMs(4, 6))
		test.SliceLen(t, 6, members)
		for _, m := range members {
			inDataCentre[m.DataCentre]++
		}
		test.MapLen(t, 6, inDataCentre, test.Sprint("a group spans all data centres"))
	}
	programs := make([]int, l.Groups)
	for i := range 10_000 {
		programs[l.GroupOfProgram(fmt.Sprintf("%x", i))]++
	}
	for _, n := range programs {
		test.Between(t, 2200, n, 2800)
	}
}

// Guards against a VM that moves to another group, two groups that use one VM, and a replacement that joins a group which has
// lost nothing.
func TestAssignReplacesTheLostVM(t *testing.T) {
	registered := registeredVMs(4, 6)
	l := NewLayout(registered, 2)
	for _, lost := range registered {
		successor := Member{VM: "new", Disk: "e", DataCentre: lost.DataCentre}
		next, changed := l.Assign(successor, fleetOf(append(registered, successor), map[string]bool{lost.VM: true}))
		must.True(t, changed)
		test.EqOp(t, l.GroupOf[lost.VM], next.GroupOf["new"])
		test.MapNotContainsKey(t, l.GroupOf, "new", test.Sprint("the layout that was read is not changed"))
		_, changed = next.Assign(successor, fleetOf(registered, nil))
		test.False(t, changed)
	}
	_, changed := SingleGroup().Assign(Member{VM: "new"}, fleetOf(registered, nil))
	test.False(t, changed, test.Sprint("every VM is in the only group"))
}

// Guards against a layout of another writer that makes a replica use a group that does not exist.
func TestLayoutIsValid(t *testing.T) {
	test.False(t, Layout{}.IsValid())
	test.False(t, Layout{Groups: 2, GroupOf: map[string]int{"a": 2}}.IsValid())
	test.False(t, Layout{Groups: 2, GroupOf: map[string]int{"a": -1}}.IsValid())
	test.True(t, SingleGroup().IsValid())
	rapid.Check(t, func(t *rapid.T) {
		l := NewLayout(registeredVMs(rapid.IntRange(1, 9).Draw(t, "vms"), rapid.IntRange(1, 7).Draw(t, "data centres")), rapid.IntRange(0, 3).Draw(t, "tolerated"))
		if !l.IsValid() {
			t.Fatalf("invalid layout %v", l)
		}
	})
}
