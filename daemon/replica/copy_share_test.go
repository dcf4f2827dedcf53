package replica

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"jackdawbay.dev/core/replica"
)

// shareGroup is a group of five replicas in two regions that tolerates two losses. Gateways of both regions store turns.
type shareGroup struct {
	t       *testing.T
	rand    *rand.Rand
	servers map[string]*Server // By VM.
	members map[string]*Membership
	view    replica.View
	turns   map[string]*Turn
	chains  [][]*Turn // Of the running programs, newest turn last.
	lives   int       // Number of the last disk.
}

const (
	sharePrograms  = 60
	shareHedged    = 0.1 // Share of the turns that a gateway sends to one more replica, as the hedge credit allows.
	shareChainSize = 12
)

func newShareGroup(t *testing.T, seed uint64) *shareGroup {
	g := &shareGroup{
		t: t, rand: rand.New(rand.NewPCG(seed, 1)), servers: map[string]*Server{}, members: map[string]*Membership{},
		turns: map[string]*Turn{}, chains: make([][]*Turn, sharePrograms),
		view: replica.View{Version: 1, Epoch: 1, ToleratedFailures: 2, Sets: [][]replica.Member{nil}},
	}
	for i := range 5 {
		g.view.Sets[0] = append(g.view.Sets[0], g.newMember(fmt.Sprint("vm", i), fmt.Sprint("r", i%2)))
	}
	g.adopt()
	return g
}

// newMember starts a replica with an empty disk in place of an earlier one.
func (g *shareGroup) newMember(vm, region string) replica.Member {
	g.lives++
	s := newServer(g.t, &slowDisk{DirFS: DirFS{Dir: g.t.TempDir()}})
	m := &Membership{
		Self: replica.Member{VM: vm, Disk: s.Disk(), Address: vm, DataCentre: region + "-" + vm}, Server: s, Log: discardLog(),
		RegionOf: func(dataCentre string) string { return dataCentre[:2] }, ToleratedFailures: func() int { return 2 },
	}
	m.Client = newShareClient(g)
	m.Init()
	g.servers[vm], g.members[vm] = s, m
	return m.Self
}

func (g *shareGroup) adopt() {
	for _, m := range g.view.CurrentSet() {
		must.True(g.t, g.servers[m.VM].adopt(g.t.Context(), g.view))
	}
}

// storeTurn stores the next turn of a program as a gateway of a region does: on the nearest write quorum, whose members get
// the chain that they lack, and sometimes on one more member, which keeps its gap.
func (g *shareGroup) storeTurn(program int) {
	chain := g.chains[program]
	if len(chain) == shareChainSize {
		chain = nil // The program has ended, and another one starts.
	}
	turn := &Turn{ID: fmt.Sprint("t", len(g.turns)), Program: fmt.Sprint("p", program), Input: []byte("asked")}
	if len(chain) > 0 {
		turn.Previous = chain[len(chain)-1].ID
	}
	region := fmt.Sprint("r", g.rand.IntN(2))
	members := append([]replica.Member{}, g.view.CurrentSet()...)
	g.rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	near := func(m replica.Member) int {
		if m.DataCentre[:2] == region {
			return 0
		}
		return 1
	}
	sortStable(members, near)
	count := g.view.WriteQuorumOf(len(g.view.Sets) - 1)
	for i, m := range members[:count+1] {
		if i == count && g.rand.Float64() > shareHedged {
			break
		}
		s := g.servers[m.VM]
		results, ok := s.executeNow(g.t.Context(), []Op{{Kind: OpStore, Turn: turn, RetainMS: time.Hour.Milliseconds()}})
		must.True(g.t, ok)
		for gap := results[0].Missing; gap != "" && i < count; {
			results, ok := s.executeNow(g.t.Context(), []Op{{Kind: OpStore, Turn: g.turns[gap], RetainMS: time.Hour.Milliseconds()}})
			must.True(g.t, ok)
			gap = results[0].Missing
		}
	}
	g.turns[turn.ID] = turn
	g.chains[program] = append(chain, turn)
}

func sortStable(members []replica.Member, rank func(replica.Member) int) {
	var near, far []replica.Member
	for _, m := range members {
		if rank(m) == 0 {
			near = append(near, m)
		} else {
			far = append(far, m)
		}
	}
	copy(members, append(near, far...))
}

// replaceMember replaces a member that lost its disk, and returns the share of the stored turns that the new member had to
// copy.
func (g *shareGroup) replaceMember(index int) float64 {
	old := g.view.CurrentSet()
	next := append([]replica.Member{}, old...)
	next[index] = g.newMember(old[index].VM, old[index].DataCentre[:2])
	g.view = replica.View{Version: g.view.Version + 1, Epoch: g.view.Epoch + 1, ToleratedFailures: 2, Sets: [][]replica.Member{old, next}}
	g.adopt()
	m := g.members[next[index].VM]
	m.runCopy(g.t.Context(), g.view)
	must.EqOp(g.t, g.view.Epoch, m.copiedEpoch)
	g.view = replica.View{Version: g.view.Version + 1, Epoch: g.view.Epoch, ToleratedFailures: 2, Sets: [][]replica.Member{next}}
	g.adopt()
	return float64(len(m.Server.state.turns)) / float64(len(g.turns))
}

// wholeHolders returns the number of members that store a turn with its whole chain.
func (g *shareGroup) wholeHolders(id string) int {
	n := 0
	for _, s := range g.servers {
		if s.state.hasTurn(id) && s.state.firstGap(id) == "" {
			n++
		}
	}
	return n
}

// closeGaps closes the gaps of a member from all other members.
func (m *Membership) closeGaps(ctx context.Context, v replica.View) {
	m.closeGapsFrom(ctx, v, m.otherMembers(v, distanceOtherRegion+1))
}

// closeGaps lets each member close its gaps, as it does in the background if all members are in its region.
func (g *shareGroup) closeGaps() {
	for _, member := range g.view.CurrentSet() {
		m := g.members[member.VM]
		m.closeGaps(g.t.Context(), g.view) // A gap is closed only if it existed in the run before.
		m.closeGaps(g.t.Context(), g.view)
	}
}

func (g *shareGroup) gapCount() (count int) {
	for _, m := range g.view.CurrentSet() {
		count += g.servers[m.VM].state.gapCount()
	}
	return count
}

// TestShareOfCopiedTurnsDoesNotGrow guards against changes of the view after which more and more turns are on fewer members
// than a write quorum, so that each new member has to copy more than the last one, and against gaps that members keep. Most turns
// are stored by exactly a write quorum, 3 of 5 members, so each change copies up to 3 of 5 turns. It is less while there are turns
// with more copies, which a change does not restore.
func TestShareOfCopiedTurnsDoesNotGrow(t *testing.T) {
	for name, closes := range map[string]bool{"gaps are closed": true, "gaps are kept": false} {
		t.Run(name, func(t *testing.T) {
			g := newShareGroup(t, 1)
			var shares []float64
			var gaps []int
			for change := range 10 {
				for range 3 * sharePrograms {
					g.storeTurn(g.rand.IntN(sharePrograms))
				}
				if closes {
					g.closeGaps()
					test.EqOp(t, 0, g.gapCount())
				}
				gaps = append(gaps, g.gapCount())
				shares = append(shares, g.replaceMember(change%5))
				for id := range g.turns {
					must.GreaterEq(t, 3, g.wholeHolders(id), must.Sprintf("holders of turn %s after change %d", id, change))
				}
			}
			t.Logf("share of the turns that each change copies: %.2f; gaps before it: %v", shares, gaps)
			first, last := 0.0, 0.0
			for i := range 5 {
				first, last = first+shares[i]/5, last+shares[5+i]/5
			}
			t.Logf("mean of the first five changes: %.2f, of the last five: %.2f", first, last)
			test.Between(t, 0.4, first, 0.62)
			test.Between(t, 0.4, last, 0.62)
		})
	}
}

// TestGapsAreClosed guards against a member that keeps a gap of several turns, requests a turn that nobody has again and again,
// or competes with the gateway that is about to close the gap.
func TestGapsAreClosed(t *testing.T) {
	g := newShareGroup(t, 1)
	vm := g.view.CurrentSet()[0].VM
	var other *Server
	for i := range 6 {
		other = g.servers[g.view.CurrentSet()[1+i%4].VM]
		storeTurnOf(t, other, fmt.Sprint("t", i), previousOf(i))
	}
	m := g.members[vm]
	storeTurnOf(t, m.Server, "t6", "t5")
	storeTurnOf(t, m.Server, "orphan", "never stored")
	m.closeGaps(t.Context(), g.view)
	test.False(t, m.Server.state.hasTurn("t5"), test.Sprint("a gateway may be about to store it"))
	m.closeGaps(t.Context(), g.view)
	test.EqOp(t, "", m.Server.state.firstGap("t6"))
	test.EqOp(t, 1, m.Server.state.gapCount())
	test.SliceEmpty(t, m.gaps.dueTurns(m.Server.state.gapIDs(), time.Now()), test.Sprint("no member has it"))
	test.SliceLen(t, 1, m.gaps.dueTurns(m.Server.state.gapIDs(), time.Now().Add(2*gapRetryInterval)))
}

func previousOf(i int) string {
	if i == 0 {
		return ""
	}
	return fmt.Sprint("t", i-1)
}

// TestClosingGapsIsBounded guards against a member that loads its disk and the link between regions with a long chain.
func TestClosingGapsIsBounded(t *testing.T) {
	g := newShareGroup(t, 1)
	source, m := g.servers[g.view.CurrentSet()[1].VM], g.members[g.view.CurrentSet()[0].VM]
	storeChains(t, source, 400, 400, 17_000)
	storeTurnOf(t, m.Server, "last", "p00000-399")
	for range 2 {
		m.closeGaps(t.Context(), g.view)
	}
	test.Between(t, maxGapBytes, int(m.Server.state.log.segments[0].size), maxGapBytes+maxGapBytes/10)
}

// TestCopyResumesAfterFurtherLoss guards against turns on fewer members than a write quorum when a further disk is lost during a
// long copy, and against a copy that then transfers the stored turns again.
func TestCopyResumesAfterFurtherLoss(t *testing.T) {
	g := newShareGroup(t, 2)
	for range 20 * sharePrograms {
		g.storeTurn(g.rand.IntN(sharePrograms))
	}
	first := g.view.CurrentSet()
	second := append([]replica.Member{}, first...)
	second[0] = g.newMember(first[0].VM, first[0].DataCentre[:2])
	g.view = replica.View{Version: 2, Epoch: 2, ToleratedFailures: 2, Sets: [][]replica.Member{first, second}}
	g.adopt()
	m := g.members[second[0].VM]
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var pieces atomic.Int64
	underlying := m.Client
	m.Client = &http.Client{Transport: roundTripFunc(func(r *http.Request) (*http.Response, error) {
		if r.URL.Path == PathTurns {
			if pieces.Add(1) > 5 {
				cancel()
				return nil, ctx.Err()
			}
		}
		return underlying.Transport.RoundTrip(r)
	})}
	m.runCopy(ctx, g.view)
	m.Client = underlying
	must.EqOp(t, 0, m.copiedEpoch)
	before := len(m.Server.state.turns)
	must.Between(t, 40, before, 400)

	third := append([]replica.Member{}, second...)
	third[1] = g.newMember(second[1].VM, second[1].DataCentre[:2])
	g.view = replica.View{Version: 3, Epoch: 3, ToleratedFailures: 2, Sets: [][]replica.Member{first, second, third}}
	g.adopt()
	copiedBefore := m.Server.copiedTurns.Get()
	for _, member := range third { // With three sets, all members copy.
		other := g.members[member.VM]
		other.runCopy(t.Context(), g.view)
		must.EqOp(t, 3, other.copiedEpoch)
	}
	test.EqOp(t, len(m.Server.state.turns)-before, int(m.Server.copiedTurns.Get()-copiedBefore))
	for id := range g.turns {
		must.GreaterEq(t, 3, g.wholeHolders(id), must.Sprint(id))
	}
}

func newShareClient(g *shareGroup) *http.Client {
	return &http.Client{Transport: roundTripFunc(func(r *http.Request) (*http.Response, error) {
		return (&copyTransport{servers: g.servers}).RoundTrip(r)
	})}
}
