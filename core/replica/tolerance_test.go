package replica

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// Guards against a change of the tolerated failures that applies the new number to sets whose writes were made with the old one.
func TestToleranceIsKeptForEachSet(t *testing.T) {
	rising := View{Version: 5, Epoch: 3, ToleratedFailures: 1, Sets: [][]Member{newSet("a", "b", "c")}}
	next, due := Propose(rising, newFleet(newSet("a", "b", "c", "d", "e"), nil), 2)
	must.True(t, due)
	test.EqOp(t, "ad bd cd dd ed ", memberNames(next.CurrentSet()))
	test.Eq(t, []int{1, 2}, next.ToleratedBySet)
	test.EqOp(t, 2, next.ReadQuorumOf(0), test.Sprint("writes of the earlier set are on two of three members"))
	test.EqOp(t, 3, next.WriteQuorumOf(1))
	test.False(t, next.HasReadQuorum(map[string]bool{"a/d": true, "d/d": true, "e/d": true}))

	sameMembers, due := Propose(rising, newFleet(newSet("a", "b", "c"), nil), 2)
	must.True(t, due, must.Sprint("without further VMs, the same members need a larger quorum"))
	test.EqOp(t, "ad bd cd ", memberNames(sameMembers.CurrentSet()))
	test.EqOp(t, rising.Epoch+1, sameMembers.Epoch)
	for _, m := range sameMembers.CurrentSet() {
		test.True(t, sameMembers.MustCopy(m), test.Sprint("earlier writes are on two of them and must be on three"))
	}
	settled := sameMembers
	for _, m := range sameMembers.CurrentSet() {
		settled, _ = MarkCopied(settled, m.Key())
	}
	must.True(t, settled.IsSettled())
	test.EqOp(t, 3, settled.WriteQuorumOf(0))
	_, due = Propose(settled, newFleet(newSet("a", "b", "c"), nil), 2)
	test.False(t, due, test.Sprint("the change is complete"))

	falling, due := Propose(settled, newFleet(newSet("a", "b", "c"), nil), 1)
	must.True(t, due)
	test.EqOp(t, 1, falling.ReadQuorumOf(0))
	test.EqOp(t, 2, falling.WriteQuorumOf(1))

	_, due = Propose(View{Version: 5, ToleratedFailures: 1, Sets: [][]Member{newSet("a", "b", "c", "d", "e")}}, newFleet(newSet("a", "b", "c", "d", "e"), nil), 2)
	test.False(t, due, test.Sprint("three of five is the quorum of both"))
}

// Guards against a stored view of an earlier version, without a number for each set, that is read with other quorums.
func TestViewWithoutToleranceBySet(t *testing.T) {
	var v View
	must.NoError(t, json.Unmarshal([]byte(`{"version":6,"epoch":2,"tolerate":1,"sets":[[{"vm":"a"},{"vm":"b"},{"vm":"c"}],[{"vm":"a"},{"vm":"b"},{"vm":"d"}]],"copied":null}`), &v))
	test.EqOp(t, 2, v.ReadQuorumOf(0))
	test.EqOp(t, 2, v.WriteQuorumOf(1))
	next, due := Propose(v, newFleet([]Member{{VM: "a"}, {VM: "b"}, {VM: "d", Disk: "new"}}, nil), 2)
	must.True(t, due)
	test.Eq(t, []int{1, 1, 2}, next.ToleratedBySet)
}

// toleranceModel is a group of replicas whose tolerated failures rise and fall while its members change.
type toleranceModel struct {
	r      *rand.Rand
	view   View
	disks  map[string]int             // Number of disks that each VM has lost.
	stored map[string]map[string]bool // Writes by member key.
	acked  []string
	steps  []string
}

func (m *toleranceModel) registered() []Member {
	var all []Member
	for vm, lost := range m.disks {
		all = append(all, newMember(vm, fmt.Sprint("d", lost)))
	}
	slices.SortFunc(all, func(a, b Member) int { return int(a.VM[0]) - int(b.VM[0]) })
	return all
}

// randomQuorum returns members in random order until they satisfy the condition, or nil if all of them do not.
func (m *toleranceModel) randomQuorum(isSufficient func(map[string]bool) bool) map[string]bool {
	live := map[string]bool{}
	for _, member := range m.registered() {
		live[member.Key()] = true
	}
	members := Union(m.view.Sets)
	m.r.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	quorum := map[string]bool{}
	for _, member := range members {
		if !live[member.Key()] {
			continue
		}
		quorum[member.Key()] = true
		if isSufficient(quorum) {
			return quorum
		}
	}
	return nil
}

func (m *toleranceModel) write() {
	quorum := m.randomQuorum(m.view.IsWriteComplete)
	if quorum == nil {
		return
	}
	id := fmt.Sprint("w", len(m.acked))
	for key := range quorum {
		m.store(key, id)
	}
	m.acked = append(m.acked, id)
}

func (m *toleranceModel) store(key, id string) {
	if m.stored[key] == nil {
		m.stored[key] = map[string]bool{}
	}
	m.stored[key][id] = true
}

// change proposes a view for a number of tolerated failures.
func (m *toleranceModel) change(tolerated int) {
	if next, due := Propose(m.view, newFleet(m.registered(), nil), tolerated); due {
		m.view = next
		m.steps = append(m.steps, fmt.Sprintf("tolerate %d: %v", tolerated, next.ToleratedBySet))
	}
}

// copyOne lets one member that must copy do so from a random read quorum of the earlier sets.
func (m *toleranceModel) copyOne() {
	if m.view.IsSettled() {
		return
	}
	earlier := m.view
	earlier.Sets = earlier.Sets[:len(earlier.Sets)-1]
	for _, member := range m.view.CurrentSet() {
		if !m.view.MustCopy(member) || slices.Contains(m.view.Copied, member.Key()) || m.disks[member.VM] != diskOf(member) {
			continue
		}
		sources := m.randomQuorum(func(keys map[string]bool) bool { return earlier.HasReadQuorum(keys) })
		if sources == nil {
			return
		}
		sources[member.Key()] = true
		for _, id := range m.acked {
			var holders []Member
			for _, source := range Union(m.view.Sets) {
				if sources[source.Key()] && m.stored[source.Key()][id] {
					holders = append(holders, source)
				}
			}
			if len(holders) > 0 && !m.view.IsStoredByQuorum(holders) {
				m.store(member.Key(), id)
			}
		}
		m.view, _ = MarkCopied(m.view, member.Key())
		m.steps = append(m.steps, "copied "+member.Key())
		return
	}
}

func diskOf(m Member) (lost int) {
	_, _ = fmt.Sscanf(m.Disk, "d%d", &lost) // The model names all disks like this.
	return lost
}

// checkReads fails unless a random complete read returns every acknowledged write.
func (m *toleranceModel) checkReads(t *testing.T, seed uint64) {
	t.Helper()
	quorum := m.randomQuorum(m.view.IsReadComplete)
	if quorum == nil {
		return
	}
	for _, id := range m.acked {
		found := false
		for key := range quorum {
			found = found || m.stored[key][id]
		}
		if !found {
			t.Fatalf("seed %d: write %s is not found by a complete read of %v; sets %v, steps %v", seed, id, quorum, m.view.Sets, m.steps)
		}
	}
}

// Guards against an acknowledged write that a complete read does not find after the tolerated failures have risen and fallen
// while members change, copy and lose their disks.
func TestToleranceChangesKeepWrites(t *testing.T) {
	for seed := range uint64(4000) {
		r := rand.New(rand.NewPCG(seed, 1))
		m := &toleranceModel{r: r, disks: map[string]int{}, stored: map[string]map[string]bool{}}
		for _, vm := range []string{"a", "b", "c", "d", "e", "f"}[:3+r.IntN(4)] {
			m.disks[vm] = 0
		}
		tolerated := 1 + r.IntN(2)
		m.change(tolerated)
		for range 40 {
			switch r.IntN(8) {
			case 0:
				tolerated = 1 + r.IntN(2)
				m.change(tolerated)
			case 1:
				// One disk is lost while the view is settled and all of its members are there. One may be lost with both numbers.
				if m.view.IsSettled() && len(m.view.CurrentSet()) >= 3 {
					vm := m.view.CurrentSet()[r.IntN(len(m.view.CurrentSet()))].VM
					m.disks[vm]++
					m.steps = append(m.steps, "lost "+vm)
				}
				m.change(tolerated)
			case 2, 3, 4:
				m.copyOne()
			default:
				m.write()
			}
			m.checkReads(t, seed)
		}
	}
}
