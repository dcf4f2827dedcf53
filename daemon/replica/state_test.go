package replica

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"net/http/httptest"
	"strings"
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
	test.EqOp(t, 24, spent.TotalExcept(""))
}

// Guards against a chain that is cut or in the wrong order, and against a missing turn that goes unnoticed.
func TestChain(t *testing.T) {
	s := newServer(t, newFaultFS())
	previous := ""
	for i := range 5 {
		id := fmt.Sprint("t", i)
		_, ok := s.perform(t.Context(), []Op{{Kind: OpStore, Turn: &Turn{ID: id, Previous: previous, Input: []byte(id)}, RetainMS: 60_000}})
		must.True(t, ok)
		previous = id
	}
	turns, missing, err := s.state.chain("t4")
	must.NoError(t, err)
	test.EqOp(t, "", missing)
	test.EqOp(t, "t4 t3 t2 t1 t0", fmt.Sprintf("%s %s %s %s %s", turns[0].ID, turns[1].ID, turns[2].ID, turns[3].ID, turns[4].ID))
	_, ok := s.perform(t.Context(), []Op{{Kind: OpStore, Turn: &Turn{ID: "orphan", Previous: "gone"}, RetainMS: 60_000}})
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
	_, ok := s.perform(t.Context(), []Op{{Kind: OpStore, Turn: &Turn{ID: "short"}, RetainMS: 1}, long})
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

// Guards against turns that change while they are copied from one replica to another, and against a copy that is cut and
// looks whole.
func TestCopiedTurnsAreTheSame(t *testing.T) {
	source, target := newServer(t, newFaultFS()), newServer(t, newFaultFS())
	var ids []string
	for i := range 30 {
		id := fmt.Sprint("t", i)
		ids = append(ids, id)
		turn := &Turn{ID: id, Previous: "before", Program: "p", Input: []byte{byte(i), '\n', 0xff}, Output: []byte("said <&> \n")}
		_, ok := source.perform(t.Context(), []Op{{Kind: OpStore, Turn: turn, RetainMS: 60_000}})
		must.True(t, ok)
	}
	listener := httptest.NewServer(source.Handler())
	defer listener.Close()
	m := &Membership{Client: listener.Client(), Server: target}
	member := replica.Member{VM: "source", Disk: source.Disk(), Address: strings.TrimPrefix(listener.URL, "http://")}
	records, err := m.fetchTurns(t.Context(), member, replica.View{Version: 1, Epoch: 1}, ids)
	must.NoError(t, err)
	must.SliceLen(t, len(ids), records)
	must.NoError(t, target.storeCopied(t.Context(), records))
	for _, id := range ids {
		want, _, err := source.state.turn(id)
		must.NoError(t, err)
		got, ok, err := target.state.turn(id)
		must.NoError(t, err)
		must.True(t, ok)
		test.Eq(t, want, got)
		test.EqOp(t, source.state.turns[id].expires.Unix(), target.state.turns[id].expires.Unix())
	}
	_, err = m.fetchTurns(t.Context(), member, replica.View{Version: 0, Epoch: 0}, ids)
	test.Error(t, err, test.Sprint("an earlier view is refused"))
	var raw bytes.Buffer
	raw.Write([]byte{200, 0, 0, 0})
	raw.Write(records[0].payload[:3])
	_, err = readPayloads(&raw)
	test.Error(t, err)
}

// BenchmarkCopyTurn bounds the processor time of copying one turn of a long prompt.
func BenchmarkCopyTurn(b *testing.B) {
	payload, err := encodeEntry(entry{Turn: &Turn{ID: "t", Input: bytes.Repeat([]byte("x"), 14_000)}})
	if err != nil {
		b.Fatal(err)
	}
	frame := append([]byte{byte(len(payload)), byte(len(payload) >> 8), 0, 0}, payload...)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := readPayloads(bytes.NewReader(frame)); err != nil {
			b.Fatal(err)
		}
	}
}

// TestCopyWithoutEndIsCutOff guards against a source of copied turns that sends turns without end: all of them were held in memory,
// up to the time-out of the copy.
func TestCopyWithoutEndIsCutOff(t *testing.T) {
	payload, err := encodeEntry(entry{At: time.Unix(1, 0), Turn: &Turn{ID: "t", Input: []byte("said")}})
	must.NoError(t, err)
	frame := append(binary.LittleEndian.AppendUint32(nil, uint32(len(payload))), payload...)
	records, err := readPayloads(bytes.NewReader(bytes.Repeat(frame, maxTurnsPerCopy)))
	must.NoError(t, err)
	test.SliceLen(t, maxTurnsPerCopy, records)
	sent := bytes.NewReader(bytes.Repeat(frame, 1000*maxTurnsPerCopy))
	_, err = readPayloads(sent)
	must.Error(t, err)
	test.Greater(t, 900*maxTurnsPerCopy*len(frame), sent.Len(), test.Sprint("bytes that were not read"))
}
