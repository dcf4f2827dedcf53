package replica

import (
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"jackdawbay.dev/core/replica"
)

// copySource is a replica that other replicas copy from.
type copySource struct {
	*Server
	member      replica.Member
	failingPath atomic.Value // Path whose requests fail with status 500, or allPaths.
	inventories atomic.Int64
}

const allPaths = "*"

func newCopySource(t *testing.T, vm string) *copySource {
	t.Helper()
	s := &copySource{Server: newServer(t, newFaultFS())}
	s.failingPath.Store("")
	handler := s.Handler()
	listener := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == PathInventory {
			s.inventories.Add(1)
		}
		if failing := s.failingPath.Load().(string); failing == allPaths || failing == r.URL.Path {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		handler.ServeHTTP(w, r)
	}))
	t.Cleanup(listener.Close)
	s.member = replica.Member{VM: vm, Disk: s.Disk(), Address: strings.TrimPrefix(listener.URL, "http://"), DataCentre: "dc-" + vm}
	return s
}

func (s *copySource) storeTurn(t *testing.T, id string) {
	t.Helper()
	results, ok := s.executeNow(t.Context(), []Op{{Kind: OpStore, Turn: &Turn{ID: id, Input: []byte("said")}, RetainMS: 60000}})
	must.True(t, ok)
	must.False(t, results[0].Failed)
}

func newMembership(self *copySource) *Membership {
	m := &Membership{
		Self: self.member, Server: self.Server, Client: http.DefaultClient, Log: slog.New(slog.DiscardHandler),
		RegionOf: func(dataCentre string) string { return dataCentre }, ToleratedFailures: func() int { return 1 },
	}
	m.Init()
	return m
}

func newCopyProgress(m *Membership) *copyProgress {
	return &copyProgress{responded: map[string]bool{m.Self.Key(): true}, turnSources: map[string][]replica.Member{}, needed: m.Server.state.gapIDs()}
}

// Guards against a copy that never completes because the source chosen for a turn returns its inventory but no turns,
// although another source stores the turn.
func TestCopyFallsBackToAnotherSource(t *testing.T) {
	a, b, c, d := newCopySource(t, "a"), newCopySource(t, "b"), newCopySource(t, "c"), newCopySource(t, "d")
	d.member.DataCentre = b.member.DataCentre // Makes b the preferred source.
	v := replica.View{Version: 2, Epoch: 2, ToleratedFailures: 1, Sets: [][]replica.Member{
		{a.member, b.member, c.member}, {a.member, d.member},
	}}
	b.storeTurn(t, "t1")
	c.storeTurn(t, "t1")
	b.failingPath.Store(PathTurns)
	m := newMembership(d)
	must.True(t, d.adopt(t.Context(), v))
	must.NoError(t, m.copyEarlierSets(t.Context(), v, newCopyProgress(m)))
	test.True(t, d.state.hasTurn("t1"))
}

// Guards against a copy that counts a source as read although it failed before it returned the turns that only its
// inventory lists.
func TestCopyRereadsInventoriesAfterSourceFailure(t *testing.T) {
	a, b, c, d := newCopySource(t, "a"), newCopySource(t, "b"), newCopySource(t, "c"), newCopySource(t, "d")
	v := replica.View{Version: 2, Epoch: 2, ToleratedFailures: 1, Sets: [][]replica.Member{
		{a.member, b.member, c.member}, {a.member, d.member},
	}}
	b.storeTurn(t, "t1")
	c.storeTurn(t, "t1")
	c.failingPath.Store(PathInventory)
	b.failingPath.Store(PathTurns)
	m := newMembership(d)
	must.True(t, d.adopt(t.Context(), v))
	p := newCopyProgress(m)
	must.Error(t, m.copyEarlierSets(t.Context(), v, p), must.Sprint("no source returns the turn"))
	b.failingPath.Store(allPaths)
	c.failingPath.Store("")
	must.NoError(t, m.copyEarlierSets(t.Context(), v, p))
	test.True(t, d.state.hasTurn("t1"))
}

// Guards against a replica that requests the inventory of its own lost disk from its own address.
func TestCopySkipsOwnLostDisk(t *testing.T) {
	a, b := newCopySource(t, "a"), newCopySource(t, "b")
	lost := b.member
	lost.Disk = "lost"
	v := replica.View{Version: 2, Epoch: 2, ToleratedFailures: 1, Sets: [][]replica.Member{{a.member, lost}, {a.member, b.member}}}
	a.storeTurn(t, "t1")
	m := newMembership(b)
	must.True(t, b.adopt(t.Context(), v))
	must.NoError(t, m.copyEarlierSets(t.Context(), v, newCopyProgress(m)))
	test.True(t, b.state.hasTurn("t1"))
	test.EqOp(t, 0, b.inventories.Load())
}

// Guards against a VM with a new disk that counts as a responsive member with the lost disk.
func TestProbeChecksDiskIdentity(t *testing.T) {
	a := newCopySource(t, "a")
	m := newMembership(newCopySource(t, "b"))
	lost := a.member
	lost.Disk = "lost"
	m.registered["a"] = lost
	m.probeMembers(t.Context())
	test.False(t, m.fleetSnapshot().IsResponsive("a"))
	m.registered["a"] = a.member
	m.probeMembers(t.Context())
	test.True(t, m.fleetSnapshot().IsResponsive("a"))
}

// roundTripFunc is a transport that calls a function.
type roundTripFunc func(r *http.Request) (*http.Response, error)

func (f roundTripFunc) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// Guards against a failed VM that delays each membership step of the other replicas by the timeout of its probe.
func TestProbeDoesNotWaitForUnresponsiveVM(t *testing.T) {
	self := newCopySource(t, "b")
	synctest.Test(t, func(t *testing.T) {
		m := newMembership(self)
		var probes atomic.Int64
		m.Client = &http.Client{Transport: roundTripFunc(func(r *http.Request) (*http.Response, error) {
			if r.URL.Host == "silent" {
				probes.Add(1)
				<-r.Context().Done()
				return nil, r.Context().Err()
			}
			return &http.Response{StatusCode: http.StatusNoContent, Body: http.NoBody}, nil
		})}
		m.registered["a"] = replica.Member{VM: "a", Disk: "d", Address: "answers"}
		m.registered["c"] = replica.Member{VM: "c", Disk: "d", Address: "silent"}
		start := time.Now()
		m.probeMembers(t.Context())
		m.probeMembers(t.Context())
		test.LessEq(t, 2*maxProbeWait, time.Since(start))
		test.EqOp(t, 1, probes.Load(), test.Sprint("one probe at a time"))
		test.True(t, m.fleetSnapshot().IsResponsive("a"))
		test.False(t, m.fleetSnapshot().IsResponsive("c"))
		time.Sleep(probeTimeout)
		synctest.Wait()
	})
}
