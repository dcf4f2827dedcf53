package replica

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// Guards against a service that ends for good with a lost read quorum, and against giving up members that may come back.
func TestLostReadQuorum(t *testing.T) {
	settled := View{Version: 5, Epoch: 3, ToleratedFailures: 1, Sets: [][]Member{newSet("a", "b", "c")}, ToleratedBySet: []int{1}}
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	newDisk := []Member{newMember("a", "d"), newMember("b", "new"), newMember("c", "d"), newMember("e", "d")}
	fleet := func(registered []Member, suspectedFor time.Duration, silent ...string) Fleet {
		unresponsive := map[string]time.Duration{}
		for _, vm := range silent {
			unresponsive[vm] = time.Hour
		}
		f := newFleet(registered, unresponsive)
		f.SuspectedFor, f.Now = suspectedFor, now
		return f
	}

	_, due, reason := ProposeWithReason(settled, fleet(newSet("a", "b", "c", "e"), time.Hour, "b", "c"), 1)
	test.False(t, due, test.Sprint("both may be down and come back with their disks"))
	test.EqOp(t, ReasonNoReadQuorum, reason)

	recent := fleet(newDisk, 0)
	recent.UnresponsiveFor = func(string) time.Duration { return MaxResponseAge }
	recent.IsResponsive = func(vm string) bool { return vm == "a" }
	_, due, reason = ProposeWithReason(settled, recent, 1)
	test.False(t, due, test.Sprint("c has been silent for less than a restart"))
	test.EqOp(t, ReasonNoReadQuorum, reason)

	suspected, due, reason := ProposeWithReason(settled, fleet(newDisk, 0, "c"), 1)
	must.True(t, due)
	test.EqOp(t, ReasonSuspect, reason)
	test.Eq(t, []string{"c/d"}, suspected.Suspects)
	test.EqOp(t, settled.Epoch, suspected.Epoch, test.Sprint("nothing changes for writers"))

	_, due, reason = ProposeWithReason(suspected, fleet(newDisk, GiveUpAfter-1, "c"), 1)
	test.False(t, due)
	test.EqOp(t, ReasonSuspectsWait, reason)

	present, ok := MarkPresent(suspected, "c/d")
	must.True(t, ok)
	test.SliceEmpty(t, present.Suspects)
	_, due, reason = ProposeWithReason(present, fleet(newDisk, time.Hour, "c"), 1)
	test.False(t, due, test.Sprint("c has its disk"))
	test.EqOp(t, ReasonSuspectsWait, reason)
	later := fleet(newDisk, time.Hour, "c")
	later.ReturnedFor = SuspectAgainAfter
	again, _, reason := ProposeWithReason(present, later, 1)
	test.EqOp(t, ReasonSuspect, reason)
	test.Eq(t, []string{"c/d"}, again.Suspects)
	test.SliceEmpty(t, again.Returned)
	_, ok = MarkPresent(present, "c/d")
	test.False(t, ok)

	back, due, reason := ProposeWithReason(suspected, fleet(newSet("a", "b", "c", "e"), time.Hour, "b"), 1)
	must.True(t, due)
	test.EqOp(t, ReasonChangeDue, reason, test.Sprint("with a and c there is a read quorum"))
	test.SliceEmpty(t, back.Suspects)
	cleared, due, reason := ProposeWithReason(suspected, fleet(newSet("a", "b", "c"), time.Hour), 1)
	must.True(t, due)
	test.EqOp(t, ReasonSuspectsBack, reason)
	test.SliceEmpty(t, cleared.Suspects)
	test.EqOp(t, suspected.Version+1, cleared.Version)

	after, due, reason := ProposeWithReason(suspected, fleet(newDisk, GiveUpAfter, "c"), 1)
	must.True(t, due)
	test.EqOp(t, ReasonGiveUp, reason)
	test.EqOp(t, suspected.Epoch+1, after.Epoch, test.Sprint("writers of the earlier epoch are rejected"))
	must.SliceLen(t, 2, after.Sets)
	test.EqOp(t, "ad ", memberNames(after.Sets[0]), test.Sprint("what is left"))
	test.EqOp(t, "ad bnew ed ", memberNames(after.CurrentSet()))
	for _, m := range after.CurrentSet() {
		test.True(t, after.MustCopy(m))
	}
	test.SliceEmpty(t, after.Suspects)
	test.True(t, after.MayLackWrites(now.Add(time.Minute), time.Minute))
	test.False(t, after.MayLackWrites(now.Add(time.Hour), time.Minute))
	test.False(t, settled.MayLackWrites(now, time.Minute))
	for _, m := range after.CurrentSet() {
		after, _ = MarkCopied(after, m.Key())
	}
	must.True(t, after.IsSettled())
	test.EqOp(t, now, after.LostAt)
	next, due, _ := ProposeWithReason(after, fleet([]Member{newMember("a", "d"), newMember("b", "new"), newMember("e", "new")}, 0), 1)
	must.True(t, due)
	test.EqOp(t, now, next.LostAt, test.Sprint("kept by later views"))
}

// Guards against a loss of more than the members of one set: each set without a read quorum has to be one that cannot come back,
// and everything that any member still has is read.
func TestLostReadQuorumOfSeveralSets(t *testing.T) {
	v := View{Version: 5, Epoch: 3, ToleratedFailures: 1, Sets: [][]Member{newSet("a", "b", "c"), newSet("b", "c", "d")}, ToleratedBySet: []int{1, 1}}
	registered := []Member{newMember("a", "d"), newMember("b", "new"), newMember("c", "d"), newMember("d", "d"), newMember("e", "d")}
	f := newFleet(registered, map[string]time.Duration{"c": time.Hour})
	f.SuspectedFor = time.Hour
	suspected, due, reason := ProposeWithReason(v, f, 1)
	must.True(t, due)
	test.EqOp(t, ReasonSuspect, reason)
	after, due, _ := ProposeWithReason(suspected, f, 1)
	must.True(t, due)
	test.EqOp(t, "ad | dd | ad bnew dd ", memberNames(after.Sets[0])+"| "+memberNames(after.Sets[1])+"| "+memberNames(after.CurrentSet()))
	test.False(t, after.IsReadComplete(map[string]bool{"a/d": true, "b/new": true}), test.Sprint("d may have what a lacks"))

	bothDisks := newFleet([]Member{newMember("a", "new"), newMember("b", "new"), newMember("c", "d")}, nil)
	after, due, reason = ProposeWithReason(View{Version: 6, ToleratedFailures: 1, Sets: [][]Member{newSet("a", "b")}}, bothDisks, 1)
	must.True(t, due, must.Sprint("both disks are certainly lost"))
	test.EqOp(t, ReasonGiveUp, reason)
	test.EqOp(t, "anew bnew cd ", memberNames(after.CurrentSet()))
}
