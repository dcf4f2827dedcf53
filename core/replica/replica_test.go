package replica

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func member(vm, disk string) Member {
	return Member{VM: vm, Disk: disk, Address: vm + ":1", DataCentre: "dc-" + vm}
}

func set(vms ...string) []Member {
	var s []Member
	for _, vm := range vms {
		s = append(s, member(vm, "d"))
	}
	return s
}

// Guards against two writes that no replica has both seen, and against a write that the tolerated loss of disks destroys.
func TestQuorumsMeetAndSurvive(t *testing.T) {
	for tolerate := range 4 {
		for n := 1; n <= 9; n++ {
			s := make([]Member, n)
			w, r := WriteQuorum(s, tolerate), ReadQuorum(s, tolerate)
			test.Greater(t, n, w+w, test.Sprintf("writes meet, n=%d t=%d", n, tolerate))
			test.Greater(t, n, w+r, test.Sprintf("reads meet writes, n=%d t=%d", n, tolerate))
			if n > tolerate {
				test.Greater(t, tolerate, w, test.Sprintf("write survives, n=%d t=%d", n, tolerate))
			}
		}
	}
}

// Guards against a loss of availability: the wanted size still has a write quorum when as many are lost as tolerated.
func TestWantedSizeServesWithTheToleratedLoss(t *testing.T) {
	for tolerate := range 4 {
		n := TargetSetSize(tolerate)
		test.LessEq(t, n-tolerate, WriteQuorum(make([]Member, n), tolerate))
	}
}

func fleet(registered []Member, silent map[string]time.Duration, retiring ...string) Fleet {
	f := Fleet{Registered: registered, Evacuating: map[string]bool{},
		UnresponsiveFor: func(vm string) time.Duration { return silent[vm] },
		IsResponsive:    func(vm string) bool { return silent[vm] < MaxResponseAge }}
	f.EvacuateWithoutSuccessor = map[string]bool{}
	for _, vm := range retiring {
		f.Evacuating[vm], f.EvacuateWithoutSuccessor[vm] = true, true
	}
	return f
}

func names(s []Member) string {
	out := ""
	for _, m := range s {
		out += m.VM + m.Disk + " "
	}
	return out
}

// Guards against views that lose data or availability when VMs come, go, lose disks or are to be emptied.
func TestPropose(t *testing.T) {
	long := ReplaceBySpareAfter + time.Second
	soon := ReplaceBySuccessorAfter + time.Second
	withYoung := func(f Fleet, vm string) Fleet {
		f.RecentlyRegistered = map[string]bool{vm: true}
		return f
	}
	settled := View{Version: 5, ToleratedFailures: 1, Sets: [][]Member{set("a", "b", "c")}}
	cases := map[string]struct {
		view View
		f    Fleet
		want string // Members of the last set; empty for no change.
	}{
		"first view":                             {View{ToleratedFailures: 1}, fleet(set("a", "b", "c"), nil), "ad bd cd "},
		"first view takes what is wanted":        {View{ToleratedFailures: 1}, fleet(set("a", "b", "c", "d"), nil), "ad bd cd "},
		"calm":                                   {settled, fleet(set("a", "b", "c"), nil), ""},
		"added VM stays a spare":                 {settled, fleet(set("a", "b", "c", "d"), nil), ""},
		"silent without a spare":                 {settled, fleet(set("a", "b", "c"), map[string]time.Duration{"c": long}), "ad bd "},
		"short silence without a spare":          {settled, fleet(set("a", "b", "c"), map[string]time.Duration{"c": soon}), ""},
		"short silence after its successor":      {settled, withYoung(fleet(set("a", "b", "c"), map[string]time.Duration{"b": soon}), "c"), "ad cd "},
		"two silent without a spare":             {settled, fleet(set("a", "b", "c"), map[string]time.Duration{"b": soon, "c": long}), ""},
		"short silence beside an old spare":      {settled, fleet(set("a", "b", "c", "d"), map[string]time.Duration{"c": soon}), ""},
		"short silence and a successor":          {settled, withYoung(fleet(set("a", "b", "c", "d"), map[string]time.Duration{"c": soon}), "d"), "ad bd dd "},
		"silent with a spare":                    {settled, fleet(set("a", "b", "c", "d"), map[string]time.Duration{"c": long}), "ad bd dd "},
		"spare that never answered is not taken": {settled, fleet(set("a", "b", "c", "d"), map[string]time.Duration{"c": long, "d": MaxResponseAge}), "ad bd "},
		"silent spare is not taken":              {settled, fleet(set("a", "b", "c", "d"), map[string]time.Duration{"c": long, "d": long}), "ad bd "},
		"restart is shorter":                     {settled, fleet(set("a", "b", "c", "d"), map[string]time.Duration{"c": time.Second}), ""},
		"wiped disk":                             {settled, fleet([]Member{member("a", "new"), member("b", "d"), member("c", "d")}, nil), "anew bd cd "},
		"retiring without a spare":               {settled, fleet(set("a", "b", "c"), nil, "b"), "ad cd "},
		"retiring waits for a successor": {settled, func() Fleet {
			f := fleet(set("a", "b", "c"), nil, "b")
			f.EvacuateWithoutSuccessor = nil
			return f
		}(), ""},
		"retiring with a spare": {settled, fleet(set("a", "b", "c", "d"), nil, "b"), "ad cd dd "},
		"retired VM does not come back": {View{Version: 6, ToleratedFailures: 1, Sets: [][]Member{set("a", "c")}},
			fleet(set("a", "b", "c"), nil, "b"), ""},
		"missing member is filled": {View{Version: 6, ToleratedFailures: 1, Sets: [][]Member{set("a", "c")}}, fleet(set("a", "c", "e"), nil), "ad cd ed "},
		"set of two, one gone and a successor": {View{Version: 6, ToleratedFailures: 1, Sets: [][]Member{set("a", "b")}},
			withYoung(fleet(set("a", "b", "e"), map[string]time.Duration{"b": soon}), "e"), "ad ed "},
		"set of two, one with a new disk": {View{Version: 6, ToleratedFailures: 1, Sets: [][]Member{set("a", "b")}},
			fleet([]Member{member("a", "d"), member("b", "new")}, nil), "ad bnew "},
		"set of two without its disks": {View{Version: 6, ToleratedFailures: 1, Sets: [][]Member{set("a", "b")}},
			fleet([]Member{member("a", "new"), member("b", "new"), member("c", "d")}, nil), ""},
		"set of two, one is to be emptied without a successor": {View{Version: 6, ToleratedFailures: 1, Sets: [][]Member{set("a", "b")}},
			fleet(set("a", "b"), nil, "b"), ""},
		"emptied while another is gone": {settled, fleet(set("a", "b", "c"), map[string]time.Duration{"c": long}, "b"), "ad bd "},
		"emptied VM is no spare": {View{Version: 6, ToleratedFailures: 1, Sets: [][]Member{set("a", "b")}, Evacuated: []string{"c"}},
			fleet(set("a", "b", "c"), nil), ""},
		"gone before it has copied": {View{Version: 6, Epoch: 2, ToleratedFailures: 1, Sets: [][]Member{set("a", "b"), set("a", "b", "c")}},
			fleet(set("a", "b", "c"), map[string]time.Duration{"c": ReplaceWhileCopyingAfter + 1}), "ad bd "},
		"gone after it has copied": {View{Version: 6, Epoch: 2, ToleratedFailures: 1, Sets: [][]Member{set("a", "b"), set("a", "b", "c")}, Copied: []string{"c/d"}},
			fleet(set("a", "b", "c"), map[string]time.Duration{"c": ReplaceWhileCopyingAfter + 1}), ""},
		"observer that is cut off": {settled, fleet(set("a", "b", "c", "d"), map[string]time.Duration{"b": long, "c": long}), ""},
		"change waits for the one before": {View{Version: 6, Epoch: 2, ToleratedFailures: 1, Sets: [][]Member{set("a", "b", "c"), set("a", "b", "d")}},
			fleet(set("a", "b", "c", "d", "e"), map[string]time.Duration{"d": long}), ""},
		"change does not wait for ever": {View{Version: 6, Epoch: 2, ToleratedFailures: 1, Sets: [][]Member{set("a", "b", "c"), set("a", "b", "d")}},
			fleet(set("a", "b", "c", "d", "e"), map[string]time.Duration{"c": ReplaceWhileCopyingAfter, "d": ReplaceWhileCopyingAfter + 1}), "ad bd ed "},
		"disk lost while copying": {View{Version: 6, Epoch: 2, ToleratedFailures: 1, Sets: [][]Member{set("a", "b", "c"), set("a", "b", "d")}},
			fleet([]Member{member("a", "d"), member("b", "d"), member("d", "new")}, nil), "ad bd dnew "},
		"last VM stays": {View{Version: 6, ToleratedFailures: 1, Sets: [][]Member{set("a")}}, fleet(set("a"), nil, "a"), ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			next, ok := Propose(c.view, c.f)
			test.EqOp(t, c.want != "", ok)
			if !ok {
				return
			}
			test.EqOp(t, c.want, names(next.CurrentSet()))
			test.EqOp(t, c.view.Version+1, next.Version)
			test.EqOp(t, c.view.Epoch+1, next.Epoch)
			test.EqOp(t, len(c.view.Sets)+1, len(next.Sets), test.Sprint("earlier sets are kept until they are copied"))
		})
	}
}

// Guards against a view that never settles, since nobody has to copy, when a member only answers at another address.
func TestProposeRelocates(t *testing.T) {
	v := View{Version: 6, Epoch: 2, ToleratedFailures: 1, Sets: [][]Member{set("a", "b", "c"), set("a", "b", "d")}, Copied: []string{"a/d"}}
	f := fleet(set("a", "b", "c", "d"), nil)
	f.Registered[1].Address = "elsewhere:1"
	next, due := Propose(v, f)
	must.True(t, due)
	test.EqOp(t, 7, next.Version)
	test.EqOp(t, v.Epoch, next.Epoch)
	test.SliceLen(t, 2, next.Sets)
	for _, set := range next.Sets {
		test.EqOp(t, "elsewhere:1", set[1].Address)
	}
	test.Eq(t, v.Copied, next.Copied)
	test.EqOp(t, "b:1", v.Sets[0][1].Address, test.Sprint("the view before is not changed"))
	_, due = Propose(next, f)
	test.False(t, due)
}

// Guards against a VM that is removed while a set holds it, and against one that is marked for ever.
func TestMarkEmptied(t *testing.T) {
	v := View{Version: 7, Epoch: 3, ToleratedFailures: 1, Sets: [][]Member{set("a", "b", "c"), set("a", "b")}}
	_, ok := MarkEvacuated(v, "c")
	test.False(t, ok, test.Sprint("an earlier set holds it"))
	next, ok := MarkEvacuated(v, "d")
	must.True(t, ok)
	test.Eq(t, []string{"d"}, next.Evacuated)
	test.EqOp(t, v.Epoch, next.Epoch)
	_, ok = MarkEvacuated(next, "d")
	test.False(t, ok)
}

// Guards against several VMs that propose different views at once, and against a view that nobody changes.
func TestProposerRank(t *testing.T) {
	v := View{Version: 5, ToleratedFailures: 1, Sets: [][]Member{set("a", "b", "c")}}
	f := fleet(set("a", "b", "c", "d"), map[string]time.Duration{"a": ReplaceBySuccessorAfter})
	for vm, want := range map[string]struct {
		rank int
		may  bool
	}{"b": {0, true}, "c": {1, true}, "d": {2, false}} {
		rank, may := ProposerRank(v, f, vm)
		test.EqOp(t, want.may, may)
		if may {
			test.EqOp(t, want.rank, rank)
		}
	}
	f.Registered[2].Disk = "new"
	rank, may := ProposerRank(v, f, "c")
	test.True(t, may)
	test.EqOp(t, 0, rank, test.Sprint("a VM with a new disk waits for nobody"))
	rank, may = ProposerRank(View{}, fleet(set("a", "b"), nil), "b")
	test.True(t, may)
	test.EqOp(t, 1, rank)
}

// Guards against earlier sets that are dropped before every member that must has copied them.
func TestMarkCopied(t *testing.T) {
	v := View{Version: 7, ToleratedFailures: 1, Sets: [][]Member{set("a", "b", "c"), set("a", "b")}}
	v, ok := MarkCopied(v, "a/d")
	must.True(t, ok)
	test.False(t, v.IsSettled(), test.Sprint("in a smaller set each member must hold everything"))
	_, ok = MarkCopied(v, "a/d")
	test.False(t, ok, test.Sprint("marked twice"))
	_, ok = MarkCopied(v, "c/d")
	test.False(t, ok, test.Sprint("not a member of the last set"))
	v, ok = MarkCopied(v, "b/d")
	must.True(t, ok)
	test.True(t, v.IsSettled())
	test.EqOp(t, 0, v.Epoch, test.Sprint("marks do not make replicas refuse writers"))
	test.EqOp(t, "ad bd ", names(v.CurrentSet()))
}

// Guards against a write that has fewer copies than its quorum after a change of the view, whichever members had it, and
// against copies by members that need none: over every write quorum, every change by one or two members, and every read
// quorum whose inventories the copying members have read.
func TestEveryWriteKeepsItsQuorum(t *testing.T) {
	all := []string{"a", "b", "c", "d", "e", "f", "g"}
	subsets := func(names []string, size int) [][]string {
		var out [][]string
		for bits := range 1 << len(names) {
			var s []string
			for i, n := range names {
				if bits>>i&1 == 1 {
					s = append(s, n)
				}
			}
			if len(s) == size {
				out = append(out, s)
			}
		}
		return out
	}
	for _, tolerate := range []int{1, 2} {
		before := all[:TargetSetSize(tolerate)]
		for size := len(before) - 1; size <= len(before); size++ {
			for _, after := range subsets(all, size) {
				v := View{ToleratedFailures: tolerate, Sets: [][]Member{set(before...), set(after...)}}
				for _, holders := range subsets(before, WriteQuorum(v.Sets[0], tolerate)) {
					for _, read := range subsets(before, ReadQuorum(v.Sets[0], tolerate)) {
						copies := map[string]bool{}
						var known []Member
						for _, h := range holders {
							copies[h+"/d"] = true
							if slices.Contains(read, h) {
								known = append(known, member(h, "d"))
							}
						}
						for _, m := range v.CurrentSet() {
							if v.MustCopy(m) && !v.IsStoredByQuorum(known) {
								copies[m.Key()] = true
							}
						}
						settled := View{ToleratedFailures: tolerate, Sets: [][]Member{v.CurrentSet()}}
						if !settled.IsWriteComplete(copies) {
							t.Fatalf("tolerate %d: %v to %v, write on %v, read %v: %v", tolerate, before, after, holders, read, copies)
						}
					}
				}
			}
		}
	}
	v := View{ToleratedFailures: 1, Sets: [][]Member{set("a", "b", "c"), set("a", "b", "d")}}
	test.False(t, v.MustCopy(member("a", "d")))
	test.True(t, v.MustCopy(member("d", "d")))
}

// Guards against a reader of an earlier view that takes a turn for unknown although it was acknowledged in a later one: for
// every change of a set, every write that is acknowledged before or after the copies, and every reader of the earlier view whose
// sources have not heard of the later one.
func TestEarlierReadersMissNoLaterWrite(t *testing.T) {
	keys := func(vms ...string) map[string]bool {
		out := map[string]bool{}
		for _, vm := range vms {
			out[vm+"/d"] = true
		}
		return out
	}
	all := []string{"a", "b", "c", "d"}
	for before := 1; before <= 3; before++ {
		earlier := View{Version: 1, Epoch: 1, ToleratedFailures: 1, Sets: [][]Member{set(all[:before]...)}}
		for after := range 1 << len(all) {
			var last []string
			for i, vm := range all {
				if after>>i&1 == 1 {
					last = append(last, vm)
				}
			}
			later := View{Version: 2, Epoch: 2, ToleratedFailures: 1, Sets: [][]Member{earlier.Sets[0], set(last...)}}
			for holders := range 1 << len(all) {
				var at, not []string // Members that have adopted the later view, and the others.
				for i, vm := range all {
					if holders>>i&1 == 1 {
						at = append(at, vm)
					} else {
						not = append(not, vm)
					}
				}
				// A copy takes a read quorum of the earlier set to the later epoch.
				settled := View{Version: 3, Epoch: 2, ToleratedFailures: 1, Sets: later.Sets[1:]}
				acknowledged := later.IsWriteComplete(keys(at...)) || earlier.HasReadQuorum(keys(at...)) && settled.IsWriteComplete(keys(at...))
				if len(last) > 0 && acknowledged && earlier.IsReadComplete(keys(not...)) {
					t.Fatalf("%v to %v: write on %v, read from %v", names(earlier.Sets[0]), last, at, not)
				}
			}
		}
	}
}

// Guards against a sum of charges that depends on the order in which reports arrive.
func TestLedgerMergeCommutes(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		charge := rapid.Custom(func(rt *rapid.T) Charge {
			return Charge{
				Turn:    rapid.SampledFrom([]string{"t1", "t2", "t3"}).Draw(rt, "turn"),
				Tokens:  rapid.Int64Range(0, 5).Draw(rt, "tokens"),
				Settled: rapid.Bool().Draw(rt, "settled"),
			}
		})
		charges := rapid.SliceOfN(charge, 0, 12).Draw(rt, "charges")
		order := rapid.Permutation(charges).Draw(rt, "order")
		one, two := Ledger{}, Ledger{}
		for i := range charges {
			one.Add(charges[i])
			two.Add(order[i])
			two.Add(order[i])
		}
		if fmt.Sprint(one) != fmt.Sprint(two) {
			rt.Fatalf("%v and %v", one, two)
		}
	})
}

// Guards against a refusal of a turn that the budget holds, and against a turn beyond it.
func TestLedgerAdmits(t *testing.T) {
	l := Ledger{}
	l.Add(Charge{Turn: "a", Tokens: 100, Settled: true})
	l.Add(Charge{Turn: "b", Tokens: 50})
	test.True(t, l.CanAdmit("b", 50, 150), test.Sprint("the turn's own charge does not count twice"))
	test.False(t, l.CanAdmit("c", 1, 150))
	l.Add(Charge{Turn: "b", Tokens: 20, Settled: true})
	test.True(t, l.CanAdmit("c", 30, 150))
	test.False(t, l.CanAdmit("c", 31, 150))
}
