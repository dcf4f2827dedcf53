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

func newMember(vm, disk string) Member {
	return Member{VM: vm, Disk: disk, Address: vm + ":1", DataCentre: "dc-" + vm}
}

func newSet(vms ...string) []Member {
	var s []Member
	for _, vm := range vms {
		s = append(s, newMember(vm, "d"))
	}
	return s
}

// Guards against two writes without a common replica, and against a write that does not survive the tolerated loss of
// disks.
func TestQuorumsIntersectAndSurviveLosses(t *testing.T) {
	for toleratedFailures := range 4 {
		for n := 1; n <= 9; n++ {
			s := make([]Member, n)
			w, r := WriteQuorum(s, toleratedFailures), ReadQuorum(s, toleratedFailures)
			test.Greater(t, n, w+w, test.Sprintf("write quorums must intersect, n=%d t=%d", n, toleratedFailures))
			test.Greater(t, n, w+r, test.Sprintf("read and write quorums must intersect, n=%d t=%d", n, toleratedFailures))
			if n > toleratedFailures {
				test.Greater(t, toleratedFailures, w, test.Sprintf("a write must survive the tolerated losses, n=%d t=%d", n, toleratedFailures))
			}
		}
	}
}

// Guards against a loss of availability: a set of the target size must have a write quorum after the tolerated number of
// losses.
func TestTargetSetSizeKeepsWriteQuorum(t *testing.T) {
	for toleratedFailures := range 4 {
		n := TargetSetSize(toleratedFailures)
		test.LessEq(t, n-toleratedFailures, WriteQuorum(make([]Member, n), toleratedFailures))
	}
}

func newFleet(registered []Member, unresponsive map[string]time.Duration, evacuating ...string) Fleet {
	f := Fleet{Registered: registered, Evacuating: map[string]bool{}, Now: time.Unix(1, 0),
		UnresponsiveFor: func(vm string) time.Duration { return unresponsive[vm] },
		IsResponsive:    func(vm string) bool { return unresponsive[vm] < MaxResponseAge }}
	f.EvacuateWithoutSuccessor = map[string]bool{}
	for _, vm := range evacuating {
		f.Evacuating[vm], f.EvacuateWithoutSuccessor[vm] = true, true
	}
	return f
}

func memberNames(s []Member) string {
	out := ""
	for _, m := range s {
		out += m.VM + m.Disk + " "
	}
	return out
}

// Guards against views that lose data or availability when VMs are added, fail, lose their disk or are to be evacuated.
func TestPropose(t *testing.T) {
	sparePeriod := ReplaceBySpareAfter + time.Second
	successorPeriod := ReplaceBySuccessorAfter + time.Second
	withRecentlyRegistered := func(f Fleet, vm string) Fleet {
		f.RecentlyRegistered = map[string]bool{vm: true}
		return f
	}
	settled := View{Version: 5, ToleratedFailures: 1, Sets: [][]Member{newSet("a", "b", "c")}}
	cases := map[string]struct {
		view View
		f    Fleet
		want string // Members of the last set; empty if no change is due.
	}{
		"first view":                                {View{ToleratedFailures: 1}, newFleet(newSet("a", "b", "c"), nil), "ad bd cd "},
		"first view has the target size":            {View{ToleratedFailures: 1}, newFleet(newSet("a", "b", "c", "d"), nil), "ad bd cd "},
		"first view needs more members than losses": {View{ToleratedFailures: 1}, newFleet(newSet("a"), nil), ""},
		"first view of two":                         {View{ToleratedFailures: 1}, newFleet(newSet("a", "b"), nil), "ad bd "},
		"first view of two, tolerating two":         {View{ToleratedFailures: 2}, newFleet(newSet("a", "b"), nil), ""},
		"unresponsive VM is not in the first view":  {View{ToleratedFailures: 1}, newFleet(newSet("a", "b"), map[string]time.Duration{"b": sparePeriod}), ""},
		"no change":                                                {settled, newFleet(newSet("a", "b", "c"), nil), ""},
		"added VM stays a spare":                                   {settled, newFleet(newSet("a", "b", "c", "d"), nil), ""},
		"unresponsive without a spare":                             {settled, newFleet(newSet("a", "b", "c"), map[string]time.Duration{"c": sparePeriod}), "ad bd "},
		"briefly unresponsive without a spare":                     {settled, newFleet(newSet("a", "b", "c"), map[string]time.Duration{"c": successorPeriod}), ""},
		"briefly unresponsive after its successor was added":       {settled, withRecentlyRegistered(newFleet(newSet("a", "b", "c"), map[string]time.Duration{"b": successorPeriod}), "c"), "ad cd "},
		"two unresponsive without a spare":                         {settled, newFleet(newSet("a", "b", "c"), map[string]time.Duration{"b": successorPeriod, "c": sparePeriod}), ""},
		"briefly unresponsive with an existing spare":              {settled, newFleet(newSet("a", "b", "c", "d"), map[string]time.Duration{"c": successorPeriod}), ""},
		"briefly unresponsive with a successor":                    {settled, withRecentlyRegistered(newFleet(newSet("a", "b", "c", "d"), map[string]time.Duration{"c": successorPeriod}), "d"), "ad bd dd "},
		"unresponsive with a spare":                                {settled, newFleet(newSet("a", "b", "c", "d"), map[string]time.Duration{"c": sparePeriod}), "ad bd dd "},
		"spare that never responded is not added":                  {settled, newFleet(newSet("a", "b", "c", "d"), map[string]time.Duration{"c": sparePeriod, "d": MaxResponseAge}), "ad bd "},
		"unresponsive spare is not added":                          {settled, newFleet(newSet("a", "b", "c", "d"), map[string]time.Duration{"c": sparePeriod, "d": sparePeriod}), "ad bd "},
		"restart causes no change":                                 {settled, newFleet(newSet("a", "b", "c", "d"), map[string]time.Duration{"c": time.Second}), ""},
		"lost disk":                                                {settled, newFleet([]Member{newMember("a", "new"), newMember("b", "d"), newMember("c", "d")}, nil), "anew bd cd "},
		"evacuation without a spare":                               {settled, newFleet(newSet("a", "b", "c"), nil, "b"), "ad cd "},
		"evacuation beside a member that may have failed":          {settled, newFleet(newSet("a", "b", "c"), map[string]time.Duration{"c": MaxShrinkResponseAge + 1}, "b"), ""},
		"silent member beside another one that may have failed":    {settled, newFleet(newSet("a", "b", "c"), map[string]time.Duration{"b": MaxShrinkResponseAge + 1, "c": sparePeriod}), ""},
		"VM to be evacuated returns to a set of two beside a loss": {View{Version: 6, ToleratedFailures: 1, Sets: [][]Member{newSet("b", "c")}}, newFleet(newSet("a", "b", "c"), map[string]time.Duration{"c": MaxResponseAge}, "a"), "ad bd cd "},
		"it does not return if it has been reported as evacuated": {View{Version: 6, ToleratedFailures: 1, Sets: [][]Member{newSet("b", "c")}, Evacuated: []string{"a"}},
			newFleet(newSet("a", "b", "c"), map[string]time.Duration{"c": MaxResponseAge}, "a"), ""},
		"evacuation waits for a successor": {settled, func() Fleet {
			f := newFleet(newSet("a", "b", "c"), nil, "b")
			f.EvacuateWithoutSuccessor = nil
			return f
		}(), ""},
		"evacuation with a spare": {settled, newFleet(newSet("a", "b", "c", "d"), nil, "b"), "ad cd dd "},
		"evacuating VM is not added again": {View{Version: 6, ToleratedFailures: 1, Sets: [][]Member{newSet("a", "c")}},
			newFleet(newSet("a", "b", "c"), nil, "b"), ""},
		"missing member is added": {View{Version: 6, ToleratedFailures: 1, Sets: [][]Member{newSet("a", "c")}}, newFleet(newSet("a", "c", "e"), nil), "ad cd ed "},
		"set of two, one failed and a successor": {View{Version: 6, ToleratedFailures: 1, Sets: [][]Member{newSet("a", "b")}},
			withRecentlyRegistered(newFleet(newSet("a", "b", "e"), map[string]time.Duration{"b": successorPeriod}), "e"), "ad ed "},
		"set of two, one with a new disk": {View{Version: 6, ToleratedFailures: 1, Sets: [][]Member{newSet("a", "b")}},
			newFleet([]Member{newMember("a", "d"), newMember("b", "new")}, nil), "ad bnew "},
		"set of two, evacuation without a successor": {View{Version: 6, ToleratedFailures: 1, Sets: [][]Member{newSet("a", "b")}},
			newFleet(newSet("a", "b"), nil, "b"), ""},
		"evacuation while another member has failed": {settled, newFleet(newSet("a", "b", "c"), map[string]time.Duration{"c": sparePeriod}, "b"), "ad bd "},
		"evacuated VM is not a spare": {View{Version: 6, ToleratedFailures: 1, Sets: [][]Member{newSet("a", "b")}, Evacuated: []string{"c"}},
			newFleet(newSet("a", "b", "c"), nil), ""},
		"failed before it has copied": {View{Version: 6, Epoch: 2, ToleratedFailures: 1, Sets: [][]Member{newSet("a", "b"), newSet("a", "b", "c")}},
			newFleet(newSet("a", "b", "c"), map[string]time.Duration{"c": ReplaceWhileCopyingAfter + 1}), "ad bd "},
		"failed after it has copied": {View{Version: 6, Epoch: 2, ToleratedFailures: 1, Sets: [][]Member{newSet("a", "b"), newSet("a", "b", "c")}, Copied: []string{"c/d"}},
			newFleet(newSet("a", "b", "c"), map[string]time.Duration{"c": ReplaceWhileCopyingAfter + 1}), ""},
		"partitioned observer": {settled, newFleet(newSet("a", "b", "c", "d"), map[string]time.Duration{"b": sparePeriod, "c": sparePeriod}), ""},
		"change waits for the previous change": {View{Version: 6, Epoch: 2, ToleratedFailures: 1, Sets: [][]Member{newSet("a", "b", "c"), newSet("a", "b", "d")}},
			newFleet(newSet("a", "b", "c", "d", "e"), map[string]time.Duration{"a": sparePeriod}), ""},
		"change does not wait for a member that cannot complete the previous one": {View{Version: 6, Epoch: 2, ToleratedFailures: 1, Sets: [][]Member{newSet("a", "b", "c"), newSet("a", "b", "d")}},
			newFleet(newSet("a", "b", "d", "e"), map[string]time.Duration{"d": sparePeriod}), "ad bd ed "},
		"change does not wait while no write quorum responds": {View{Version: 6, Epoch: 2, ToleratedFailures: 1, Sets: [][]Member{newSet("a", "b", "c"), newSet("b", "c")}, Copied: []string{"c/d"}},
			withRecentlyRegistered(newFleet(newSet("a", "b", "c", "e"), map[string]time.Duration{"c": successorPeriod}, "a"), "e"), "bd ed "},
		"failed member takes the spare before one to be evacuated": {settled, newFleet(newSet("a", "b", "c", "d"), map[string]time.Duration{"b": sparePeriod}, "a"), "cd dd "},
		"evacuation waits for the previous change": {View{Version: 6, Epoch: 2, ToleratedFailures: 1, Sets: [][]Member{newSet("a", "b", "c"), newSet("a", "b", "d")}},
			newFleet(newSet("a", "b", "c", "d", "e"), nil, "a"), ""},
		"VM to be evacuated is a member again if no turn is served without it": {View{Version: 6, Epoch: 2, ToleratedFailures: 1, Sets: [][]Member{newSet("a", "b", "c"), newSet("b", "c")}},
			newFleet(newSet("a", "b", "c"), map[string]time.Duration{"c": sparePeriod}, "a"), "ad bd "},
		"change waits only for a bounded time": {View{Version: 6, Epoch: 2, ToleratedFailures: 1, Sets: [][]Member{newSet("a", "b", "c"), newSet("a", "b", "d")}},
			newFleet(newSet("a", "b", "c", "d", "e"), map[string]time.Duration{"c": ReplaceWhileCopyingAfter, "d": ReplaceWhileCopyingAfter + 1}), "ad bd ed "},
		"disk lost while copying": {View{Version: 6, Epoch: 2, ToleratedFailures: 1, Sets: [][]Member{newSet("a", "b", "c"), newSet("a", "b", "d")}},
			newFleet([]Member{newMember("a", "d"), newMember("b", "d"), newMember("d", "new")}, nil), "ad bd dnew "},
		"last VM is not evacuated": {View{Version: 6, ToleratedFailures: 1, Sets: [][]Member{newSet("a")}}, newFleet(newSet("a"), nil, "a"), ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			next, ok := Propose(c.view, c.f, c.view.ToleratedFailures)
			test.EqOp(t, c.want != "", ok)
			if !ok {
				return
			}
			test.EqOp(t, c.want, memberNames(next.CurrentSet()))
			test.EqOp(t, c.view.Version+1, next.Version)
			test.EqOp(t, c.view.Epoch+1, next.Epoch)
			test.EqOp(t, len(c.view.Sets)+1, len(next.Sets), test.Sprint("earlier sets remain until they are copied"))
		})
	}
}

// Guards against a view that never settles. This happens if a changed address of a member adds a set in which no member has
// to copy.
func TestProposeUpdatesAddresses(t *testing.T) {
	v := View{Version: 6, Epoch: 2, ToleratedFailures: 1, Sets: [][]Member{newSet("a", "b", "c"), newSet("a", "b", "d")}, Copied: []string{"a/d"}}
	f := newFleet(newSet("a", "b", "c", "d"), nil)
	f.Registered[1].Address = "elsewhere:1"
	next, due := Propose(v, f, v.ToleratedFailures)
	must.True(t, due)
	test.EqOp(t, 7, next.Version)
	test.EqOp(t, v.Epoch, next.Epoch)
	test.SliceLen(t, 2, next.Sets)
	for _, set := range next.Sets {
		test.EqOp(t, "elsewhere:1", set[1].Address)
	}
	test.Eq(t, v.Copied, next.Copied)
	test.EqOp(t, "b:1", v.Sets[0][1].Address, test.Sprint("the previous view must not change"))
	_, due = Propose(next, f, next.ToleratedFailures)
	test.False(t, due)
}

// Guards against removing a VM that is still in a set, and against marking a VM repeatedly.
func TestMarkEvacuated(t *testing.T) {
	v := View{Version: 7, Epoch: 3, ToleratedFailures: 1, Sets: [][]Member{newSet("a", "b", "c"), newSet("a", "b")}}
	all := map[string]bool{"a/d": true, "b/d": true, "c/d": true, "d/d": true}
	_, ok := MarkEvacuated(v, "c", all)
	test.False(t, ok, test.Sprint("an earlier set includes the VM"))
	_, ok = MarkEvacuated(v, "d", all)
	test.False(t, ok, test.Sprint("the set is being changed, so the VM may be needed again"))
	v.Sets = v.Sets[1:]
	_, ok = MarkEvacuated(v, "d", map[string]bool{"a/d": true, "d/d": true})
	test.False(t, ok, test.Sprint("the VM may have to replace the member that does not respond"))
	next, ok := MarkEvacuated(v, "d", all)
	must.True(t, ok)
	test.Eq(t, []string{"d"}, next.Evacuated)
	test.EqOp(t, v.Epoch, next.Epoch)
	_, ok = MarkEvacuated(next, "d", all)
	test.False(t, ok)
}

// Guards against several VMs that propose different views at the same time, and against a view that no VM changes.
func TestProposerRank(t *testing.T) {
	v := View{Version: 5, ToleratedFailures: 1, Sets: [][]Member{newSet("a", "b", "c")}}
	f := newFleet(newSet("a", "b", "c", "d"), map[string]time.Duration{"a": ReplaceBySuccessorAfter})
	for vm, want := range map[string]struct {
		rank     int
		eligible bool
	}{"b": {0, true}, "c": {1, true}, "d": {2, false}} {
		rank, eligible := ProposerRank(v, f, vm)
		test.EqOp(t, want.eligible, eligible)
		if eligible {
			test.EqOp(t, want.rank, rank)
		}
	}
	f.Registered[2].Disk = "new"
	rank, eligible := ProposerRank(v, f, "c")
	test.True(t, eligible)
	test.EqOp(t, 0, rank, test.Sprint("a VM with a new disk has rank 0"))
	rank, eligible = ProposerRank(View{}, newFleet(newSet("a", "b"), nil), "b")
	test.True(t, eligible)
	test.EqOp(t, 1, rank)
}

// Guards against dropping earlier sets before every member that must copy them has done so.
func TestMarkCopied(t *testing.T) {
	v := View{Version: 7, ToleratedFailures: 1, Sets: [][]Member{newSet("a", "b", "c"), newSet("a", "b")}}
	v, ok := MarkCopied(v, "a/d")
	must.True(t, ok)
	test.False(t, v.IsSettled(), test.Sprint("in a smaller set each member must copy everything"))
	_, ok = MarkCopied(v, "a/d")
	test.False(t, ok, test.Sprint("already marked"))
	_, ok = MarkCopied(v, "c/d")
	test.False(t, ok, test.Sprint("not a member of the last set"))
	v, ok = MarkCopied(v, "b/d")
	must.True(t, ok)
	test.True(t, v.IsSettled())
	test.EqOp(t, 0, v.Epoch, test.Sprint("a mark must not change the epoch, because replicas would reject writers"))
	test.EqOp(t, "ad bd ", memberNames(v.CurrentSet()))
}

// Guards against a write that has fewer copies than its quorum after a view change, and against members that copy without
// need. Covers every write quorum, every view change by one or two members, every change of the tolerated failures, and every
// read quorum whose inventories the copying members have read.
func TestCopiesPreserveWriteQuorum(t *testing.T) {
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
	for _, tolerated := range [][]int{{1, 1}, {2, 2}, {1, 2}, {2, 1}} {
		before := all[:TargetSetSize(tolerated[0])]
		for size := min(len(before), TargetSetSize(tolerated[1])) - 1; size <= max(len(before), TargetSetSize(tolerated[1])); size++ {
			for _, after := range subsets(all, size) {
				v := View{ToleratedFailures: tolerated[1], ToleratedBySet: tolerated, Sets: [][]Member{newSet(before...), newSet(after...)}}
				for _, holders := range subsets(before, v.WriteQuorumOf(0)) {
					for _, read := range subsets(before, v.ReadQuorumOf(0)) {
						storedBy := map[string]bool{}
						var knownHolders []Member
						for _, h := range holders {
							storedBy[h+"/d"] = true
							if slices.Contains(read, h) {
								knownHolders = append(knownHolders, newMember(h, "d"))
							}
						}
						for _, m := range v.CurrentSet() {
							if v.MustCopy(m) && !v.IsStoredByQuorum(knownHolders) {
								storedBy[m.Key()] = true
							}
						}
						settled := View{ToleratedFailures: tolerated[1], Sets: [][]Member{v.CurrentSet()}}
						if !settled.IsWriteComplete(storedBy) {
							t.Fatalf("tolerate %v: sets %v to %v, write on %v, inventories read from %v: copies %v", tolerated, before, after, holders, read, storedBy)
						}
					}
				}
			}
		}
	}
	v := View{ToleratedFailures: 1, Sets: [][]Member{newSet("a", "b", "c"), newSet("a", "b", "d")}}
	test.False(t, v.MustCopy(newMember("a", "d")))
	test.True(t, v.MustCopy(newMember("d", "d")))
}

// Guards against a reader of an earlier view that reports a turn as unknown although it was acknowledged in a later view.
// Covers every change of a set, every write acknowledged before or after the copies, and every reader of the earlier view
// whose sources have not observed the later view.
func TestEarlierReadersDetectLaterWrites(t *testing.T) {
	keys := func(vms ...string) map[string]bool {
		out := map[string]bool{}
		for _, vm := range vms {
			out[vm+"/d"] = true
		}
		return out
	}
	all := []string{"a", "b", "c", "d", "e"}
	for change := range 20 { // Every size of the earlier set, with every change of the tolerated failures between 1 and 2.
		before, tolerated := 1+change%5, []int{1 + change/5%2, 1 + change/10}
		earlier := View{Version: 1, Epoch: 1, ToleratedFailures: tolerated[0], Sets: [][]Member{newSet(all[:before]...)}}
		for after := range 1 << len(all) {
			var last []string
			for i, vm := range all {
				if after>>i&1 == 1 {
					last = append(last, vm)
				}
			}
			later := View{Version: 2, Epoch: 2, ToleratedFailures: tolerated[1], ToleratedBySet: tolerated, Sets: [][]Member{earlier.Sets[0], newSet(last...)}}
			for holders := range 1 << len(all) {
				var adopted, others []string // Members that have adopted the later view, and the others.
				for i, vm := range all {
					if holders>>i&1 == 1 {
						adopted = append(adopted, vm)
					} else {
						others = append(others, vm)
					}
				}
				// A copy makes a read quorum of the earlier set adopt the later epoch.
				settled := View{Version: 3, Epoch: 2, ToleratedFailures: tolerated[1], Sets: later.Sets[1:]}
				acknowledged := later.IsWriteComplete(keys(adopted...)) || earlier.HasReadQuorum(keys(adopted...)) && settled.IsWriteComplete(keys(adopted...))
				if len(last) > 0 && acknowledged && earlier.IsReadComplete(keys(others...)) {
					t.Fatalf("%v to %v, tolerate %v: write on %v, read from %v", memberNames(earlier.Sets[0]), last, tolerated, adopted, others)
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
				Version: rapid.SampledFrom([]string{"", "v1", "v2"}).Draw(rt, "version"),
				Attempt: rapid.IntRange(0, 2).Draw(rt, "attempt"),
				Resumes: rapid.SampledFrom([]string{"", "t1"}).Draw(rt, "resumes"),
				After:   rapid.Uint64Range(0, 2).Draw(rt, "after"),
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

// Guards against the loss of the version of a stream when its charge is settled, and against that of an earlier attempt.
func TestChargeKeepsVersion(t *testing.T) {
	open := Charge{Turn: "a", Tokens: 100, Version: "v1"}
	corrected := Charge{Turn: "a", Tokens: 100, Version: "v2", Attempt: 1}
	settled := Charge{Turn: "a", Tokens: 32, Settled: true}
	test.Eq(t, Charge{Turn: "a", Tokens: 32, Settled: true, Version: "v1"}, open.Merge(settled))
	want := Charge{Turn: "a", Tokens: 32, Settled: true, Version: "v2", Attempt: 1}
	test.Eq(t, want, settled.Merge(corrected).Merge(open))
	test.Eq(t, want, open.Merge(corrected.Merge(settled)))
	test.EqOp(t, "", corrected.Merge(Charge{Turn: "a", Attempt: 2}).Version, test.Sprint("an upstream without a version began it"))
}

// Guards against a take-up that goes on at another version than that of its stream, if its caller does not state which one that is.
func TestSoleVersion(t *testing.T) {
	one, other := Charge{Turn: "one", Tokens: 5, Version: "v1"}, Charge{Turn: "other", Tokens: 5, Version: "v2"}
	unknown, empty := Charge{Turn: "unknown", Tokens: 5}, Charge{Turn: "empty", Settled: true}
	own := Charge{Turn: "own", Tokens: 5, Version: "v3"}
	for name, c := range map[string]struct {
		charges []Charge
		want    string
	}{
		"one version":     {[]Charge{one, {Turn: "two", Tokens: 3, Settled: true, Version: "v1"}, empty, own}, "v1"},
		"two versions":    {[]Charge{one, other, own}, ""},
		"unknown version": {[]Charge{one, unknown, own}, ""},
		"no other turn":   {[]Charge{own, empty}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			l := Ledger{}
			for _, charge := range c.charges {
				l.Add(charge)
			}
			for range 10 { // The order of a map varies.
				test.EqOp(t, c.want, l.SoleVersion("own"))
			}
		})
	}
}

// Guards against a history with the events of an attempt that the caller has not read.
func TestEventSource(t *testing.T) {
	const begun = "begun"
	takeUp := func(id string, after uint64) Charge {
		return Charge{Turn: id, Tokens: 50, Resumes: begun, After: after}
	}
	without := takeUp("rejected", 2)
	without.Settled, without.Tokens = true, 0
	for name, c := range map[string]struct {
		charges []Charge
		event   uint64
		source  string // Empty if it is unknown.
	}{
		"never taken up":                    {nil, 3, begun},
		"before the take-up":                {[]Charge{takeUp("second", 3)}, 3, begun},
		"after the take-up":                 {[]Charge{takeUp("second", 3)}, 4, "second"},
		"before the second take-up":         {[]Charge{takeUp("second", 2), takeUp("third", 4)}, 4, "second"},
		"after the second take-up":          {[]Charge{takeUp("second", 2), takeUp("third", 4)}, 5, "third"},
		"two take-ups after one event":      {[]Charge{takeUp("second", 2), takeUp("third", 2)}, 5, ""},
		"one of two take-ups has no events": {[]Charge{takeUp("second", 2), without}, 5, "second"},
		"two take-ups before another one":   {[]Charge{takeUp("second", 2), takeUp("third", 2), takeUp("fourth", 4)}, 5, "fourth"},
		"another stream":                    {[]Charge{{Turn: "other", Tokens: 50, Resumes: "else", After: 1}}, 5, begun},
		"two take-ups from the start":       {[]Charge{takeUp("second", 0)}, 1, ""},
	} {
		t.Run(name, func(t *testing.T) {
			l := Ledger{}
			for _, charge := range c.charges {
				l.Add(charge)
			}
			for range 10 { // The order of a map varies.
				source, ok := l.EventSource(begun, c.event)
				test.EqOp(t, c.source != "", ok)
				if ok {
					test.EqOp(t, c.source, source)
				}
			}
		})
	}
}

// Guards against rejecting a turn that fits in the budget, and against admitting a turn beyond it.
func TestLedgerCanAdmit(t *testing.T) {
	l := Ledger{}
	l.Add(Charge{Turn: "a", Tokens: 100, Settled: true})
	l.Add(Charge{Turn: "b", Tokens: 50})
	test.True(t, l.CanAdmit("b", 50, 150), test.Sprint("the turn's own charge must not count twice"))
	test.False(t, l.CanAdmit("c", 1, 150))
	l.Add(Charge{Turn: "b", Tokens: 20, Settled: true})
	test.True(t, l.CanAdmit("c", 30, 150))
	test.False(t, l.CanAdmit("c", 31, 150))
}
