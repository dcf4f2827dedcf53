package replica

import (
	"bytes"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"jackdawbay.dev/core/replica"
)

// testRetention is the retention of the turns in these tests.
const testRetention = time.Minute

func storeOp(id, previous string) Op {
	return Op{Kind: OpStore, Turn: &Turn{ID: id, Previous: previous, Input: []byte(id)}, RetainMS: testRetention.Milliseconds()}
}

func storeTurnOf(t *testing.T, s *Server, id, previous string) {
	t.Helper()
	results, ok := s.executeNow(t.Context(), []Op{storeOp(id, previous)})
	must.True(t, ok)
	must.False(t, results[0].Failed)
}

func chainOf(t *testing.T, s *Server, id string) (ids, missing string) {
	t.Helper()
	turns, missing, err := s.state.readChain(id)
	must.NoError(t, err)
	for _, turn := range turns {
		ids += turn.ID + " "
	}
	return ids, missing
}

// TestChainIsRetainedWithItsNewestTurn guards against a turn that expires although a turn that continues it must still be
// kept, also after a restart.
func TestChainIsRetainedWithItsNewestTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fs := newFaultFS()
		s := newServer(t, fs)
		storeTurnOf(t, s, "t1", "")
		for i := 2; i <= 6; i++ {
			time.Sleep(testRetention * 8 / 10)
			storeTurnOf(t, s, fmt.Sprint("t", i), fmt.Sprint("t", i-1))
		}
		time.Sleep(testRetention * 8 / 10)
		ids, missing := chainOf(t, s, "t6")
		test.EqOp(t, "t6 t5 t4 t3 t2 t1 ", ids)
		test.EqOp(t, "", missing)

		reopened := newServer(t, fs)
		reopened.runExpiry(time.Now())
		ids, missing = chainOf(t, reopened, "t6")
		test.EqOp(t, "t6 t5 t4 t3 t2 t1 ", ids)
		test.EqOp(t, "", missing)

		time.Sleep(testRetention + retentionMargin)
		synctest.Wait()
		test.MapEmpty(t, s.state.turns, test.Sprint("the chain expires with its newest turn"))
	})
}

// TestChainIsRetainedInAnyOrder guards against the order in which turns reach a replica: one that is copied after the turn
// that continues it must be kept for as long.
func TestChainIsRetainedInAnyOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newServer(t, newFaultFS())
		results, ok := s.executeNow(t.Context(), []Op{storeOp("t3", "t2")})
		must.True(t, ok)
		test.EqOp(t, "t2", results[0].Missing)
		old := func(id, previous string) record {
			return record{entry: entry{At: time.Now().Add(-testRetention - retentionMargin), Retain: testRetention, Turn: &Turn{ID: id, Previous: previous}}}
		}
		must.NoError(t, s.storeCopied(t.Context(), []record{old("t1", "")}))
		must.NoError(t, s.storeCopied(t.Context(), []record{old("t2", "t1")}))
		time.Sleep(testRetention)
		ids, missing := chainOf(t, s, "t3")
		test.EqOp(t, "t3 t2 t1 ", ids)
		test.EqOp(t, "", missing)
		time.Sleep(testRetention)
		synctest.Wait()
		test.MapEmpty(t, s.state.turns)
		test.MapEmpty(t, s.state.gaps)
	})
}

// TestContinuedChainFreesSegments guards against a log that grows for as long as one chain is continued, and against turns
// that are lost or altered when they are moved out of a segment.
func TestContinuedChainFreesSegments(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fs := newFaultFS()
		s := newServer(t, fs)
		previous := ""
		want := ""
		for i := range 20 {
			s.state.log.writeFailed = true // The next write starts a new segment.
			id := fmt.Sprint("t", i)
			storeTurnOf(t, s, id, previous)
			previous, want = id, id+" "+want
			time.Sleep(testRetention * 8 / 10)
			synctest.Wait()
		}
		test.Less(t, 8, len(fs.files), test.Sprint("a segment for every 48 s, while turns are kept for 90 s by themselves"))
		ids, missing := chainOf(t, s, previous)
		test.EqOp(t, want, ids)
		test.EqOp(t, "", missing)
		reopened := newServer(t, fs)
		ids, missing = chainOf(t, reopened, previous)
		test.EqOp(t, want, ids)
		test.EqOp(t, "", missing)
		first, found, err := reopened.state.readTurn("t0")
		must.NoError(t, err)
		must.True(t, found)
		test.EqOp(t, "t0", string(first.Input))
	})
}

// TestLargeTurnsAreMovedInParts guards against a segment whose turns are all read into memory when it is freed.
func TestLargeTurnsAreMovedInParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fs := newFaultFS()
		s := newServer(t, fs)
		ops := []Op{storeOp("t0", "")}
		for i := 1; i < 12; i++ {
			op := storeOp(fmt.Sprint("t", i), fmt.Sprint("t", i-1))
			op.Turn.Input = bytes.Repeat([]byte{byte(i)}, maxMovedBytes/4)
			ops = append(ops, op)
		}
		_, ok := s.executeNow(t.Context(), ops)
		must.True(t, ok)
		s.state.log.writeFailed = true // The next write starts a new segment.
		time.Sleep(testRetention)
		storeTurnOf(t, s, "last", "t11")
		fs.maxWrite.Store(0)
		time.Sleep(testRetention * 8 / 10)
		synctest.Wait()
		test.Positive(t, fs.maxWrite.Load(), test.Sprint("the turns are moved"))
		test.Less(t, 2*maxMovedBytes, fs.maxWrite.Load())
		_, missing := chainOf(t, s, "last")
		test.EqOp(t, "", missing)
	})
}

// TestCopiedTurnsKeepTheirRetention guards against a copied turn that expires earlier on the target than on its source,
// where a later turn continues it.
func TestCopiedTurnsKeepTheirRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source, target := newServer(t, newFaultFS()), newServer(t, newFaultFS())
		storeTurnOf(t, source, "t1", "")
		time.Sleep(testRetention * 8 / 10)
		storeTurnOf(t, source, "t2", "t1")
		payload, ok, err := source.state.readPayloadToCopy("t1")
		must.NoError(t, err)
		must.True(t, ok)
		e, err := decodeEntry(payload)
		must.NoError(t, err)
		must.NoError(t, target.storeCopied(t.Context(), []record{{entry: e, payload: payload}}))
		time.Sleep(testRetention * 8 / 10)
		turn, found, err := target.state.readTurn("t1")
		must.NoError(t, err)
		must.True(t, found)
		test.EqOp(t, "t1", string(turn.Input))
	})
}

// TestCopyCompletesChains guards against a new member that copies a turn without the chain before it, because enough other
// members list the earlier turns. They keep them only for the turns' own retention.
func TestCopyCompletesChains(t *testing.T) {
	a, b, c, d := newCopySource(t, "a"), newCopySource(t, "b"), newCopySource(t, "c"), newCopySource(t, "d")
	v := replica.View{Version: 2, Epoch: 2, ToleratedFailures: 1, Sets: [][]replica.Member{
		{a.member, b.member, c.member}, {a.member, b.member, d.member},
	}}
	for _, s := range []*copySource{a, b, c} {
		storeTurnOf(t, s.Server, "t1", "")
	}
	storeTurnOf(t, a.Server, "t2", "t1")
	storeTurnOf(t, c.Server, "t2", "t1")
	storeTurnOf(t, b.Server, "gap", "never stored")
	m := newMembership(d)
	must.True(t, d.adopt(t.Context(), v))
	must.NoError(t, m.copyEarlierSets(t.Context(), v, newCopyProgress(m)))
	ids, missing := chainOf(t, d.Server, "t2")
	test.EqOp(t, "t2 t1 ", ids)
	test.EqOp(t, "", missing)
	test.False(t, d.state.hasTurn("gap"), test.Sprint("no write quorum has stored a turn whose chain has a gap"))
}

// TestCopyDoesNotFollowNewTurns guards against a copy that does not end while gateways store turns whose chains this replica
// does not have. It followed each of their chains, although enough other members store them.
func TestCopyDoesNotFollowNewTurns(t *testing.T) {
	a, b, c, d := newCopySource(t, "a"), newCopySource(t, "b"), newCopySource(t, "c"), newCopySource(t, "d")
	v := replica.View{Version: 2, Epoch: 2, ToleratedFailures: 1, Sets: [][]replica.Member{
		{a.member, b.member, c.member}, {a.member, b.member, d.member},
	}}
	for _, s := range []*copySource{a, b} {
		storeTurnOf(t, s.Server, "t1", "")
	}
	m := newMembership(d)
	must.True(t, d.adopt(t.Context(), v))
	p := newCopyProgress(m)
	storeTurnOf(t, d.Server, "t2", "t1") // A gateway stores it after the copy has begun.
	must.NoError(t, m.copyEarlierSets(t.Context(), v, p))
	test.False(t, d.state.hasTurn("t1"), test.Sprint("the gateway copies it"))
}
