package replica

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"jackdawbay.dev/core/replica"
)

// copyTransport passes requests to replicas by address, without a network. It records the requests for turns in flight.
type copyTransport struct {
	servers map[string]*Server
	delay   time.Duration // Of each response with turns.
	old     bool          // Replicas ignore MaxBytes, as in an earlier version.

	mu                         sync.Mutex
	bytesInFlight, maxInFlight int
	requests                   int
}

func (t *copyTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	var req CopyRequest
	if r.URL.Path == PathTurns {
		if err := json.Unmarshal(raw, &req); err != nil {
			return nil, err
		}
		t.mu.Lock()
		t.requests++
		t.bytesInFlight += req.MaxBytes
		t.maxInFlight = max(t.maxInFlight, t.bytesInFlight)
		t.mu.Unlock()
		time.Sleep(t.delay)
		defer func() {
			t.mu.Lock()
			defer t.mu.Unlock()
			t.bytesInFlight -= req.MaxBytes
		}()
		if t.old {
			req.MaxBytes = 0
			if raw, err = json.Marshal(req); err != nil {
				return nil, err
			}
		}
	}
	w := httptest.NewRecorder()
	t.servers[r.URL.Host].Handler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, r.URL.Path, bytes.NewReader(raw)).WithContext(r.Context()))
	return w.Result(), nil
}

// newTestCopy returns a membership whose replica has an empty disk and copies from the sources, which store all of their turns.
func newTestCopy(t *testing.T, transport *copyTransport, sources map[string]*Server) (*Membership, replica.View) {
	t.Helper()
	target := newServer(t, &slowDisk{DirFS: DirFS{Dir: t.TempDir()}})
	to := replica.Member{VM: "target", Disk: target.Disk(), Address: "target"}
	var from []replica.Member
	for vm, s := range sources {
		from = append(from, replica.Member{VM: vm, Disk: s.Disk(), Address: vm})
	}
	transport.servers = sources
	v := replica.View{Version: 2, Epoch: 2, Sets: [][]replica.Member{from, {to}}}
	m := &Membership{Self: to, Server: target, Log: discardLog(), RegionOf: func(dc string) string { return dc }, Client: &http.Client{Transport: transport}}
	m.Init()
	return m, v
}

// TestCopyReadsLargePieces guards against a source that accesses its disk for each turn. Each access waits for the synced
// writes of callers, so that a copy made 110 to 150 turns per second.
func TestCopyReadsLargePieces(t *testing.T) {
	const turns, size = 600, 17_000
	disk := &slowDisk{DirFS: DirFS{Dir: t.TempDir()}}
	source := runningServer(t, disk)
	storeChains(t, source, turns, 5, size)
	m, v := newTestCopy(t, &copyTransport{}, map[string]*Server{"source": source})
	m.runCopy(t.Context(), v)
	must.EqOp(t, v.Epoch, m.copiedEpoch)
	test.MapLen(t, turns, m.Server.state.turns)
	test.LessEq(t, 3*turns*size/copyPieceBytes, int(disk.reads.Load()))
}

// TestCopyIsBoundedInBytes guards against a copy whose requests in flight exceed the memory of a VM, and against one that
// sends one request after another.
func TestCopyIsBoundedInBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sources := map[string]*Server{}
		for i := range 4 {
			s := newServer(t, &slowDisk{DirFS: DirFS{Dir: t.TempDir()}})
			storeChains(t, s, 2000, 5, 17_000)
			sources[fmt.Sprint("source", i)] = s
		}
		transport := &copyTransport{delay: 20 * time.Millisecond}
		m, v := newTestCopy(t, transport, sources)
		start := time.Now()
		m.runCopy(t.Context(), v)
		must.EqOp(t, v.Epoch, m.copiedEpoch)
		test.MapLen(t, 2000, m.Server.state.turns)
		test.Between(t, 4<<20, transport.maxInFlight, 8<<20)
		test.Less(t, time.Duration(transport.requests)*transport.delay/2, time.Since(start))
	})
}

// TestCopyTransfersLargeTurns guards against a copy that does not end at a turn that is larger than a piece, and against more
// than one of them in memory.
func TestCopyTransfersLargeTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := newServer(t, &slowDisk{DirFS: DirFS{Dir: t.TempDir()}})
		for i := range 6 {
			turn := &Turn{ID: fmt.Sprint("t", i), Input: bytes.Repeat([]byte{byte(i)}, 3*copyPieceBytes*(i%2)+100)}
			_, ok := source.executeNow(t.Context(), []Op{{Kind: OpStore, Turn: turn, RetainMS: 60_000}})
			must.True(t, ok)
		}
		transport := &copyTransport{delay: time.Millisecond}
		m, v := newTestCopy(t, transport, map[string]*Server{"source": source})
		m.runCopy(t.Context(), v)
		must.EqOp(t, v.Epoch, m.copiedEpoch)
		for i := range 6 {
			got, ok, err := m.Server.state.readTurn(fmt.Sprint("t", i))
			must.NoError(t, err)
			must.True(t, ok)
			test.True(t, bytes.Equal(bytes.Repeat([]byte{byte(i)}, 3*copyPieceBytes*(i%2)+100), got.Input))
		}
		test.Less(t, 2*3*copyPieceBytes, transport.maxInFlight)
	})
}

// TestCopyFromEarlierVersion guards against a copy that fails while a deployment is updated: a source of the earlier version
// sends all requested turns and no headers.
func TestCopyFromEarlierVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := newServer(t, &slowDisk{DirFS: DirFS{Dir: t.TempDir()}})
		storeChains(t, source, 500, 5, 17_000)
		m, v := newTestCopy(t, &copyTransport{old: true}, map[string]*Server{"source": source})
		m.runCopy(t.Context(), v)
		must.EqOp(t, v.Epoch, m.copiedEpoch)
		test.MapLen(t, 500, m.Server.state.turns)
	})
}

// TestCopyResumes guards against a copy that starts again after an interruption and transfers the stored turns again.
func TestCopyResumes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := newServer(t, &slowDisk{DirFS: DirFS{Dir: t.TempDir()}})
		storeChains(t, source, 2000, 5, 17_000)
		transport := &copyTransport{delay: 50 * time.Millisecond}
		m, v := newTestCopy(t, transport, map[string]*Server{"source": source})
		interrupted, cancel := context.WithTimeout(t.Context(), 400*time.Millisecond)
		m.runCopy(interrupted, v)
		cancel()
		must.EqOp(t, 0, m.copiedEpoch)
		stored := len(m.Server.state.turns)
		must.Between(t, 100, stored, 1900)
		transport.requests = 0
		m.runCopy(t.Context(), v)
		must.EqOp(t, v.Epoch, m.copiedEpoch)
		test.MapLen(t, 2000, m.Server.state.turns)
		test.LessEq(t, 2*(2000-stored)*17_000/copyPieceBytes, transport.requests)
	})
}
