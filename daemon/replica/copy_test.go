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

// source is a replica that others copy from.
type source struct {
	*Server
	member      replica.Member
	refuse      atomic.Value // Path that is answered 500, or everything.
	inventories atomic.Int64
}

const everything = "*"

func newSource(t *testing.T, vm string) *source {
	t.Helper()
	s := &source{Server: newServer(t, newFaultFS())}
	s.refuse.Store("")
	handler := s.Handler()
	listener := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == PathInventory {
			s.inventories.Add(1)
		}
		if refuse := s.refuse.Load().(string); refuse == everything || refuse == r.URL.Path {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		handler.ServeHTTP(w, r)
	}))
	t.Cleanup(listener.Close)
	s.member = replica.Member{VM: vm, Disk: s.Disk(), Address: strings.TrimPrefix(listener.URL, "http://"), DataCentre: "dc-" + vm}
	return s
}

func (s *source) keep(t *testing.T, id string) {
	t.Helper()
	results, ok := s.perform(t.Context(), []Op{{Kind: OpStore, Turn: &Turn{ID: id, Input: []byte("said")}, RetainMS: 60000}})
	must.True(t, ok)
	must.False(t, results[0].Failed)
}

func newMembership(self *source) *Membership {
	m := &Membership{
		Self: self.member, Server: self.Server, Client: http.DefaultClient, Log: slog.New(slog.DiscardHandler),
		RegionOf: func(dataCentre string) string { return dataCentre }, Tolerate: func() int { return 1 },
	}
	m.Init()
	return m
}

func progress(m *Membership) *copyProgress {
	return &copyProgress{answered: map[string]bool{m.Self.Key(): true}, holders: map[string][]replica.Member{}}
}

// Guards against a copy that never ends because the source that was chosen for a turn gives its inventory and no turns,
// although another source has the turn.
func TestCopyGoesOnWithoutASource(t *testing.T) {
	a, b, c, d := newSource(t, "a"), newSource(t, "b"), newSource(t, "c"), newSource(t, "d")
	d.member.DataCentre = b.member.DataCentre // Its turns are read from there first.
	v := replica.View{Version: 2, Epoch: 2, ToleratedFailures: 1, Sets: [][]replica.Member{
		{a.member, b.member, c.member}, {a.member, d.member},
	}}
	b.keep(t, "t1")
	c.keep(t, "t1")
	b.refuse.Store(PathTurns)
	m := newMembership(d)
	must.True(t, d.adopt(t.Context(), v))
	must.NoError(t, m.copyEarlierSets(t.Context(), v, progress(m)))
	test.True(t, d.state.has("t1"))
}

// Guards against a copy that counts a source as read which was lost before it gave the turns that only it listed.
func TestCopyReadsAnotherSourceForOneThatIsLost(t *testing.T) {
	a, b, c, d := newSource(t, "a"), newSource(t, "b"), newSource(t, "c"), newSource(t, "d")
	v := replica.View{Version: 2, Epoch: 2, ToleratedFailures: 1, Sets: [][]replica.Member{
		{a.member, b.member, c.member}, {a.member, d.member},
	}}
	b.keep(t, "t1")
	c.keep(t, "t1")
	c.refuse.Store(PathInventory)
	b.refuse.Store(PathTurns)
	m := newMembership(d)
	must.True(t, d.adopt(t.Context(), v))
	p := progress(m)
	must.Error(t, m.copyEarlierSets(t.Context(), v, p), must.Sprint("the turn cannot be read"))
	b.refuse.Store(everything)
	c.refuse.Store("")
	must.NoError(t, m.copyEarlierSets(t.Context(), v, p))
	test.True(t, d.state.has("t1"))
}

// Guards against a replica that asks its own address for the disk that it no longer has.
func TestCopyDoesNotAskForTheOwnLostDisk(t *testing.T) {
	a, b := newSource(t, "a"), newSource(t, "b")
	lost := b.member
	lost.Disk = "lost"
	v := replica.View{Version: 2, Epoch: 2, ToleratedFailures: 1, Sets: [][]replica.Member{{a.member, lost}, {a.member, b.member}}}
	a.keep(t, "t1")
	m := newMembership(b)
	must.True(t, b.adopt(t.Context(), v))
	must.NoError(t, m.copyEarlierSets(t.Context(), v, progress(m)))
	test.True(t, b.state.has("t1"))
	test.EqOp(t, 0, b.inventories.Load())
}

// Guards against a VM with a new disk that counts as answering for the one that it lost.
func TestProbeAsksForTheDisk(t *testing.T) {
	a := newSource(t, "a")
	m := newMembership(newSource(t, "b"))
	lost := a.member
	lost.Disk = "lost"
	m.registered["a"] = lost
	m.probe(t.Context())
	test.False(t, m.fleet().IsResponsive("a"))
	m.registered["a"] = a.member
	m.probe(t.Context())
	test.True(t, m.fleet().IsResponsive("a"))
}

// roundTrip answers requests without a network.
type roundTrip func(r *http.Request) (*http.Response, error)

func (f roundTrip) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// Guards against a VM that is gone and delays each step of the others by the time-out of its probe.
func TestProbeDoesNotWaitForASilentVM(t *testing.T) {
	self := newSource(t, "b")
	synctest.Test(t, func(t *testing.T) {
		m := newMembership(self)
		var probes atomic.Int64
		m.Client = &http.Client{Transport: roundTrip(func(r *http.Request) (*http.Response, error) {
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
		m.probe(t.Context())
		m.probe(t.Context())
		test.LessEq(t, 2*probeWait, time.Since(start))
		test.EqOp(t, 1, probes.Load(), test.Sprint("one probe at a time"))
		test.True(t, m.fleet().IsResponsive("a"))
		test.False(t, m.fleet().IsResponsive("c"))
		time.Sleep(probeTimeout)
		synctest.Wait()
	})
}
