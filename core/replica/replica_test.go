package replica

import (
	"fmt"
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
		n := WantedMembers(tolerate)
		test.LessEq(t, n-tolerate, WriteQuorum(make([]Member, n), tolerate))
	}
}

func fleet(registered []Member, silent map[string]time.Duration, retiring ...string) Fleet {
	f := Fleet{Registered: registered, Retiring: map[string]bool{},
		SilentFor: func(vm string) time.Duration { return silent[vm] },
		Answers:   func(vm string) bool { return silent[vm] < AnswersWithin }}
	for _, vm := range retiring {
		f.Retiring[vm] = true
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
	long := ReplaceAfter + time.Second
	settled := View{Version: 5, Tolerate: 1, Sets: [][]Member{set("a", "b", "c")}}
	cases := map[string]struct {
		view View
		f    Fleet
		want string // Members of the last set; empty for no change.
	}{
		"first view":                             {View{Tolerate: 1}, fleet(set("a", "b", "c"), nil), "ad bd cd "},
		"first view takes what is wanted":        {View{Tolerate: 1}, fleet(set("a", "b", "c", "d"), nil), "ad bd cd "},
		"calm":                                   {settled, fleet(set("a", "b", "c"), nil), ""},
		"added VM stays a spare":                 {settled, fleet(set("a", "b", "c", "d"), nil), ""},
		"silent without a spare":                 {settled, fleet(set("a", "b", "c"), map[string]time.Duration{"c": long}), ""},
		"silent with a spare":                    {settled, fleet(set("a", "b", "c", "d"), map[string]time.Duration{"c": long}), "ad bd dd "},
		"spare that never answered is not taken": {settled, fleet(set("a", "b", "c", "d"), map[string]time.Duration{"c": long, "d": AnswersWithin}), ""},
		"silent spare is not taken":              {settled, fleet(set("a", "b", "c", "d"), map[string]time.Duration{"c": long, "d": long}), ""},
		"restart is shorter":                     {settled, fleet(set("a", "b", "c", "d"), map[string]time.Duration{"c": time.Second}), ""},
		"wiped disk":                             {settled, fleet([]Member{member("a", "new"), member("b", "d"), member("c", "d")}, nil), "anew bd cd "},
		"retiring without a spare":               {settled, fleet(set("a", "b", "c"), nil, "b"), "ad cd "},
		"retiring with a spare":                  {settled, fleet(set("a", "b", "c", "d"), nil, "b"), "ad cd dd "},
		"retired VM does not come back": {View{Version: 6, Tolerate: 1, Sets: [][]Member{set("a", "c")}},
			fleet(set("a", "b", "c"), nil, "b"), ""},
		"missing member is filled": {View{Version: 6, Tolerate: 1, Sets: [][]Member{set("a", "c")}}, fleet(set("a", "c", "e"), nil), "ad cd ed "},
		"last VM stays":            {View{Version: 6, Tolerate: 1, Sets: [][]Member{set("a")}}, fleet(set("a"), nil, "a"), ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			next, ok := Propose(c.view, c.f)
			test.EqOp(t, c.want != "", ok)
			if !ok {
				return
			}
			test.EqOp(t, c.want, names(next.Current()))
			test.EqOp(t, c.view.Version+1, next.Version)
			test.EqOp(t, c.view.Epoch+1, next.Epoch)
			test.EqOp(t, len(c.view.Sets)+1, len(next.Sets), test.Sprint("earlier sets are kept until they are copied"))
		})
	}
}

// Guards against earlier sets that are dropped before every member of the last set has copied them.
func TestMarkCopied(t *testing.T) {
	v := View{Version: 7, Tolerate: 1, Sets: [][]Member{set("a", "b"), set("a", "c")}}
	v, ok := MarkCopied(v, "a/d")
	must.True(t, ok)
	test.False(t, v.Settled())
	_, ok = MarkCopied(v, "a/d")
	test.False(t, ok, test.Sprint("marked twice"))
	_, ok = MarkCopied(v, "b/d")
	test.False(t, ok, test.Sprint("not a member of the last set"))
	v, ok = MarkCopied(v, "c/d")
	must.True(t, ok)
	test.True(t, v.Settled())
	test.EqOp(t, 0, v.Epoch, test.Sprint("marks do not make replicas refuse writers"))
	test.EqOp(t, "ad cd ", names(v.Current()))
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
	test.True(t, l.Admits("b", 50, 150), test.Sprint("the turn's own charge does not count twice"))
	test.False(t, l.Admits("c", 1, 150))
	l.Add(Charge{Turn: "b", Tokens: 20, Settled: true})
	test.True(t, l.Admits("c", 30, 150))
	test.False(t, l.Admits("c", 31, 150))
}
