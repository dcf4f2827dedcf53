package replica

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"jackdawbay.dev/core/replica"
)

func newServer(t *testing.T, fs FileSystem) *Server {
	t.Helper()
	s, err := New(fs, quietLog(), metrics.NewSet())
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.RunWriter(ctx) // Ends with the context.
	}()
	t.Cleanup(func() { cancel(); <-done })
	return s
}

func charge(program, turn string, tokens int64, settled bool) Op {
	return Op{Kind: OpCharge, Program: program, Charge: replica.Charge{Turn: turn, Tokens: tokens, Settled: settled}, RetainMS: 60_000}
}

// Guards against a charge that does not see those that were made before it, in the same batch or an earlier one, and against
// charges that a restart forgets.
func TestChargesSeeEarlierOnes(t *testing.T) {
	fs := newFaultFS()
	s := newServer(t, fs)
	results, ok := s.perform(t.Context(), []Op{charge("p", "a", 10, false), charge("p", "b", 20, false), charge("q", "c", 5, false)})
	must.True(t, ok)
	test.SliceLen(t, 1, results[0].Charges)
	test.SliceLen(t, 2, results[1].Charges)
	test.SliceLen(t, 1, results[2].Charges)
	_, ok = s.perform(t.Context(), []Op{charge("p", "a", 4, true)})
	must.True(t, ok)
	again := newServer(t, fs)
	spent := replica.Ledger{}
	for _, c := range again.state.charges("p") {
		spent.Add(c)
	}
	test.EqOp(t, 24, spent.Spent(""))
}

// Guards against a chain that is cut or in the wrong order, and against a missing turn that goes unnoticed.
func TestChain(t *testing.T) {
	s := newServer(t, newFaultFS())
	previous := ""
	for i := range 5 {
		id := fmt.Sprint("t", i)
		_, ok := s.perform(t.Context(), []Op{{Kind: OpKeep, Turn: &Turn{ID: id, Previous: previous, Input: []byte(id)}, RetainMS: 60_000}})
		must.True(t, ok)
		previous = id
	}
	turns, missing, err := s.state.chain("t4")
	must.NoError(t, err)
	test.EqOp(t, "", missing)
	test.EqOp(t, "t4 t3 t2 t1 t0", fmt.Sprintf("%s %s %s %s %s", turns[0].ID, turns[1].ID, turns[2].ID, turns[3].ID, turns[4].ID))
	_, ok := s.perform(t.Context(), []Op{{Kind: OpKeep, Turn: &Turn{ID: "orphan", Previous: "gone"}, RetainMS: 60_000}})
	must.True(t, ok)
	turns, missing, err = s.state.chain("orphan")
	must.NoError(t, err)
	test.EqOp(t, "gone", missing)
	test.SliceLen(t, 1, turns)
}

// Guards against a replica that takes a write of an earlier epoch after it has adopted a later one, also after a restart: the
// members that copy rely on it.
func TestEarlierEpochIsRefused(t *testing.T) {
	fs := newFaultFS()
	s := newServer(t, fs)
	must.True(t, s.adopt(t.Context(), replica.View{Version: 3, Epoch: 2}))
	test.False(t, s.adopt(t.Context(), replica.View{Version: 2, Epoch: 1}))
	test.True(t, s.adopt(t.Context(), replica.View{Version: 4, Epoch: 2}), test.Sprint("a mark keeps the epoch"))
	again := newServer(t, fs)
	test.EqOp(t, 4, again.View().Version)
	test.False(t, again.adopt(t.Context(), replica.View{Version: 2, Epoch: 1}))
}

// Guards against entries that are kept forever, and against space that does not come back while ledgers live on.
func TestExpiryGivesSpaceBack(t *testing.T) {
	fs := newFaultFS()
	s := newServer(t, fs)
	long := Op{Kind: OpCharge, Program: "long", Charge: replica.Charge{Turn: "a", Tokens: 7}, RetainMS: time.Hour.Milliseconds()}
	_, ok := s.perform(t.Context(), []Op{{Kind: OpKeep, Turn: &Turn{ID: "short"}, RetainMS: 1}, long})
	must.True(t, ok)
	s.state.log.broken = true // The next write starts another segment.
	_, ok = s.perform(t.Context(), []Op{charge("other", "b", 1, false)})
	must.True(t, ok)
	must.MapLen(t, 3, fs.files)
	s.sweep(time.Now().Add(2 * expirySlack))
	test.MapLen(t, 2, fs.files, test.Sprint("the first segment is gone"))
	_, have, err := s.state.turn("short")
	must.NoError(t, err)
	test.False(t, have)
	again := newServer(t, fs)
	test.SliceLen(t, 1, again.state.charges("long"), test.Sprint("a ledger outlives its segment"))
}
