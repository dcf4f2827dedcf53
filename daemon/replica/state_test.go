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
	s, err := New(fs, discardLog(), metrics.NewSet())
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

// executeNow executes operations at the epoch of the replica.
func (s *Server) executeNow(ctx context.Context, ops []Op) ([]Result, bool) {
	results, _, ok := s.execute(ctx, nil, s.View().Epoch, ops)
	return results, ok
}

func chargeOp(program, turn string, tokens int64, settled bool) Op {
	return Op{Kind: OpCharge, Program: program, Charge: replica.Charge{Turn: turn, Tokens: tokens, Settled: settled}, RetainMS: 60_000}
}

// Guards against the result of a charge that lacks earlier charges of the same program, in the same batch or an earlier one,
// and against charges that are lost in a restart.
func TestChargeResultsIncludeEarlierCharges(t *testing.T) {
	fs := newFaultFS()
	s := newServer(t, fs)
	results, ok := s.executeNow(t.Context(), []Op{chargeOp("p", "a", 10, false), chargeOp("p", "b", 20, false), chargeOp("q", "c", 5, false)})
	must.True(t, ok)
	test.SliceLen(t, 1, results[0].Charges)
	test.SliceLen(t, 2, results[1].Charges)
	test.SliceLen(t, 1, results[2].Charges)
	_, ok = s.executeNow(t.Context(), []Op{chargeOp("p", "a", 4, true)})
	must.True(t, ok)
	reopened := newServer(t, fs)
	spent := replica.Ledger{}
	for _, c := range reopened.state.charges("p") {
		spent.Add(c)
	}
	test.EqOp(t, 24, spent.TotalExcept(""))
}

// Guards against a chain that is truncated or in the wrong order, and against a missing turn that is not reported.
func TestReadChain(t *testing.T) {
	s := newServer(t, newFaultFS())
	previous := ""
	for i := range 5 {
		id := fmt.Sprint("t", i)
		_, ok := s.executeNow(t.Context(), []Op{{Kind: OpStore, Turn: &Turn{ID: id, Previous: previous, Input: []byte(id)}, RetainMS: 60_000}})
		must.True(t, ok)
		previous = id
	}
	turns, missing, err := s.state.readChain("t4")
	must.NoError(t, err)
	test.EqOp(t, "", missing)
	test.EqOp(t, "t4 t3 t2 t1 t0", fmt.Sprintf("%s %s %s %s %s", turns[0].ID, turns[1].ID, turns[2].ID, turns[3].ID, turns[4].ID))
	_, ok := s.executeNow(t.Context(), []Op{{Kind: OpStore, Turn: &Turn{ID: "orphan", Previous: "gone"}, RetainMS: 60_000}})
	must.True(t, ok)
	turns, missing, err = s.state.readChain("orphan")
	must.NoError(t, err)
	test.EqOp(t, "gone", missing)
	test.SliceLen(t, 1, turns)
	_, ok = s.executeNow(t.Context(), []Op{{Kind: OpStore, Turn: &Turn{ID: "t0", Previous: "t2"}, RetainMS: 60_000}})
	must.True(t, ok)
	turns, _, err = s.state.readChain("t2")
	must.NoError(t, err)
	test.SliceLen(t, 3, turns, test.Sprint("each turn of a cycle once"))
}

// Guards against a replica that accepts writes of an earlier epoch after it has adopted a later one, also after a restart.
// Members that copy data rely on this.
func TestEarlierEpochIsRejected(t *testing.T) {
	fs := newFaultFS()
	s := newServer(t, fs)
	must.True(t, s.adopt(t.Context(), replica.View{Version: 3, Epoch: 2}))
	test.False(t, s.adopt(t.Context(), replica.View{Version: 2, Epoch: 1}))
	test.True(t, s.adopt(t.Context(), replica.View{Version: 4, Epoch: 2}), test.Sprint("marking a member as copied does not change the epoch"))
	reopened := newServer(t, fs)
	test.EqOp(t, 4, reopened.View().Version)
	test.False(t, reopened.adopt(t.Context(), replica.View{Version: 2, Epoch: 1}))
}

// Guards against entries that never expire, and against disk space that is not freed while ledgers are still retained.
func TestExpiryFreesSegments(t *testing.T) {
	fs := newFaultFS()
	s := newServer(t, fs)
	long := Op{Kind: OpCharge, Program: "long", Charge: replica.Charge{Turn: "a", Tokens: 7}, RetainMS: time.Hour.Milliseconds()}
	_, ok := s.executeNow(t.Context(), []Op{{Kind: OpStore, Turn: &Turn{ID: "short"}, RetainMS: 1}, long})
	must.True(t, ok)
	s.state.log.writeFailed = true // The next write starts a new segment.
	_, ok = s.executeNow(t.Context(), []Op{chargeOp("other", "b", 1, false)})
	must.True(t, ok)
	must.MapLen(t, 3, fs.files)
	s.runExpiry(time.Now().Add(2 * retentionMargin))
	test.MapLen(t, 2, fs.files, test.Sprint("the first segment is removed"))
	_, found, err := s.state.readTurn("short")
	must.NoError(t, err)
	test.False(t, found)
	reopened := newServer(t, fs)
	test.SliceLen(t, 1, reopened.state.charges("long"), test.Sprint("the ledger is retained after its segment is removed"))
}

// Guards against turns that are altered when they are copied to another replica, and against a truncated response that is
// accepted as complete.
func TestCopiedTurnsAreIdentical(t *testing.T) {
	source, target := newServer(t, newFaultFS()), newServer(t, newFaultFS())
	var ids []string
	for i := range 30 {
		id := fmt.Sprint("t", i)
		ids = append(ids, id)
		turn := &Turn{ID: id, Previous: "before", Program: "p", Input: []byte{byte(i), '\n', 0xff}, Output: []byte("said <&> \n")}
		_, ok := source.executeNow(t.Context(), []Op{{Kind: OpStore, Turn: turn, RetainMS: 60_000}})
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
		want, _, err := source.state.readTurn(id)
		must.NoError(t, err)
		got, ok, err := target.state.readTurn(id)
		must.NoError(t, err)
		must.True(t, ok)
		test.Eq(t, want, got)
		test.EqOp(t, source.state.turns[id].expires.Unix(), target.state.turns[id].expires.Unix())
	}
	_, err = m.fetchTurns(t.Context(), member, replica.View{Version: 0, Epoch: 0}, ids)
	test.Error(t, err, test.Sprint("an earlier view is rejected"))
	var raw bytes.Buffer
	raw.Write([]byte{200, 0, 0, 0})
	raw.Write(records[0].payload[:3])
	_, err = readCopiedTurns(&raw, unlimited)
	test.Error(t, err)
}

// BenchmarkCopyTurn measures the CPU time of decoding one copied turn with a long prompt.
func BenchmarkCopyTurn(b *testing.B) {
	payload, err := encodeEntry(entry{Turn: &Turn{ID: "t", Input: bytes.Repeat([]byte("x"), 14_000)}})
	if err != nil {
		b.Fatal(err)
	}
	message := append([]byte{byte(len(payload)), byte(len(payload) >> 8), 0, 0}, payload...)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := readCopiedTurns(bytes.NewReader(message), unlimited); err != nil {
			b.Fatal(err)
		}
	}
}

// TestCopiedTurnsAreBounded guards against a source that sends an endless sequence of turns. Without a limit, all of them
// stay in memory until the timeout of the copy.
func TestCopiedTurnsAreBounded(t *testing.T) {
	payload, err := encodeEntry(entry{At: time.Unix(1, 0), Turn: &Turn{ID: "t", Input: []byte("said")}})
	must.NoError(t, err)
	message := append(binary.LittleEndian.AppendUint32(nil, uint32(len(payload))), payload...)
	records, err := readCopiedTurns(bytes.NewReader(bytes.Repeat(message, maxTurnsPerResponse)), unlimited)
	must.NoError(t, err)
	test.SliceLen(t, maxTurnsPerResponse, records)
	sent := bytes.NewReader(bytes.Repeat(message, 1000*maxTurnsPerResponse))
	_, err = readCopiedTurns(sent, unlimited)
	must.Error(t, err)
	test.Greater(t, 900*maxTurnsPerResponse*len(message), sent.Len(), test.Sprint("unread bytes"))
}
