package membership

import (
	"fmt"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"jackdawbay.dev/core/program"
)

func member(vm string, start int) Member {
	return Member{Incarnation: fmt.Sprintf("%s-%d", vm, start), VM: vm, PeerAddress: vm + ":1"}
}

// TestMembershipPlans guards against plans that seal the wrong journals, move shards without a release, or leave a
// failed coordinator in place.
func TestMembershipPlans(t *testing.T) {
	a, b, c := member("a", 1), member("b", 1), member("c", 1)
	two := Join(New("falls-a", a), b).Roster
	three := Join(two, c).Roster
	cases := []struct {
		name        string
		plan        Plan
		seals       []string
		members     []string
		coordinator string
		releases    bool
	}{
		{"first join takes shards from the coordinator", Join(New("falls-a", a), b), nil, []string{"a-1", "b-1"}, "a-1", true},
		{"restarted VM seals the journal of its former incarnation", Join(three, member("b", 2)), []string{"b-1"}, []string{"a-1", "b-2", "c-1"}, "a-1", true},
		{"failed member", Fail(three, "a-1", "b-1"), []string{"b-1"}, []string{"a-1", "c-1"}, "a-1", false},
		{"failed coordinator is replaced", Fail(three, "c-1", "a-1"), []string{"a-1"}, []string{"b-1", "c-1"}, "c-1", false},
		{"new member replaces the coordinator", FailAndJoin(two, c, "a-1"), []string{"a-1"}, []string{"b-1", "c-1"}, "c-1", true},
		{"planned departure of the coordinator", Leave(three, "a-1"), nil, []string{"b-1", "c-1"}, "b-1", true},
		{"failure of a non-member", Fail(two, "a-1", "x-1"), nil, []string{"a-1", "b-1"}, "a-1", false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var names []string
			for _, m := range tc.plan.Roster.Members {
				names = append(names, m.Incarnation)
			}
			must.Eq(t, tc.members, names)
			must.Eq(t, tc.seals, tc.plan.Seals)
			must.Eq(t, tc.coordinator, tc.plan.Roster.Coordinator)
			must.Eq(t, tc.releases, len(tc.plan.Releases) > 0)
		})
	}
}

// TestOwnershipOverRandomChanges guards against a shard that loses a journal of its chain, returns to an older epoch,
// has an owner that is no member, or moves from a running owner without being released.
func TestOwnershipOverRandomChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		starts := map[string]int{"a": 1}
		r := New("falls-a", member("a", 1))
		for range rapid.IntRange(1, 25).Draw(t, "changes") {
			p := drawPlan(t, r, starts)
			for owner, shards := range p.Releases {
				if rapid.IntRange(0, 3).Draw(t, "release of "+owner) == 0 {
					p.RevertShards(shards...)
				}
			}
			checkPlan(t, r, p)
			r = p.Roster
		}
	})
}

func drawPlan(t *rapid.T, r Roster, starts map[string]int) Plan {
	names := make([]string, 0, len(r.Members))
	for _, m := range r.Members {
		names = append(names, m.Incarnation)
	}
	target := rapid.SampledFrom(names).Draw(t, "member")
	switch rapid.IntRange(0, 4).Draw(t, "change") {
	case 0:
		if len(names) > 1 && target != r.Coordinator {
			return Fail(r, r.Coordinator, target)
		}
	case 1:
		return Leave(r, target)
	case 2:
		return RecordRestore(r)
	case 3:
		s := rapid.IntRange(0, program.ShardsPerDataCentre-1).Draw(t, "shard")
		c := Checkpoint{Shard: s, Epoch: r.Shards[s].Epoch, ID: fmt.Sprintf("cp-%d-%d", s, r.Term), Slot: r.Term}
		return RecordCheckpoints(r, r.Shards[s].Owner, []Checkpoint{c})
	}
	vm := rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(t, "vm")
	starts[vm]++
	return Join(r, member(vm, starts[vm]))
}

func checkPlan(t *rapid.T, before Roster, p Plan) {
	after := p.Roster
	if !p.IsEmpty() && after.Term != before.Term+1 {
		t.Fatalf("term %d follows %d", after.Term, before.Term)
	}
	if _, ok := after.Member(after.Coordinator); !ok {
		t.Fatalf("coordinator %s is no member", after.Coordinator)
	}
	for i, s := range after.Shards {
		old := before.Shards[i]
		switch {
		case s.Epoch < old.Epoch:
			t.Fatalf("shard %d: epoch %d follows %d", i, s.Epoch, old.Epoch)
		case s.Epoch == old.Epoch && s.Owner != old.Owner:
			t.Fatalf("shard %d: two owners in epoch %d", i, s.Epoch)
		case s.Epoch > old.Epoch && s.Chain[len(s.Chain)-1] != JournalRef{old.Owner, old.Epoch, old.Slot}:
			t.Fatalf("shard %d: chain %v lacks the journal of %s", i, s.Chain, old.Owner)
		}
		if s.Epoch == old.Epoch {
			continue
		}
		sealed := slices.Contains(p.Seals, old.Owner)
		released := slices.Contains(p.Releases[old.Owner], i)
		if _, member := before.Member(old.Owner); member && !sealed && !released {
			t.Fatalf("shard %d moved from the running owner %s without a release", i, old.Owner)
		}
	}
}

// TestFailureReleasesNoShardOfSealedOwner guards against reverting shards to an owner that is sealed or removed. The
// shards would have no owner.
func TestFailureReleasesNoShardOfSealedOwner(t *testing.T) {
	a, b := member("a", 1), member("b", 1)
	two := Join(New("falls-a", a), b).Roster
	p := Fail(two, "a-1", "b-1")
	must.Eq(t, 0, len(p.Releases))
	for _, s := range p.Roster.Shards {
		must.Eq(t, "a-1", s.Owner)
	}
}

// TestUnreferencedJournals guards against deleting a journal that a shard still needs.
func TestUnreferencedJournals(t *testing.T) {
	a, b := member("a", 1), member("b", 1)
	two := Join(New("falls-a", a), b).Roster
	failed := Fail(two, "a-1", "b-1").Roster
	var all, half []Checkpoint
	for i, s := range failed.Shards {
		c := Checkpoint{Shard: i, Epoch: s.Epoch, ID: fmt.Sprint("cp-", i)}
		all = append(all, c)
		if len(s.Chain) > 0 && s.Chain[len(s.Chain)-1].Incarnation == "b-1" && len(half) == 0 {
			continue
		}
		half = append(half, c)
	}
	must.Eq(t, nil, UnreferencedJournals(failed, RecordCheckpoints(failed, "a-1", half[:len(half)/2]).Roster))
	must.Eq(t, []string{"b-1"}, UnreferencedJournals(failed, RecordCheckpoints(failed, "a-1", all).Roster))
}

// TestRepairMovesShardsOfDepartedOwner guards against a shard that stays with a daemon that has left. If the shard was
// not released before, the repair seals the journal and moves the shard.
func TestRepairMovesShardsOfDepartedOwner(t *testing.T) {
	a, b := member("a", 1), member("b", 1)
	two := Join(New("falls-a", a), b).Roster
	p := Leave(two, "b-1")
	p.RevertShards(p.Releases["b-1"]...)
	must.False(t, p.ChangesOnlyTerm())
	left := p.Roster
	must.SliceNotEmpty(t, left.ShardsOf("b-1"))
	repair := Repair(left)
	must.Eq(t, []string{"b-1"}, repair.Seals)
	must.Eq(t, 0, len(repair.Releases))
	must.SliceEmpty(t, repair.Roster.ShardsOf("b-1"))
	must.True(t, Repair(repair.Roster).IsEmpty())
}
