package gateway

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"jackdawbay.dev/core/placement"
	core "jackdawbay.dev/core/replica"
	"jackdawbay.dev/core/route"
	"jackdawbay.dev/core/streamversion"
	"jackdawbay.dev/daemon/catalog"
)

// versionedList returns the list of upstreamList with a version for each upstream.
func versionedList(addresses []string, versions ...string) *catalog.Upstreams {
	list := upstreamList(addresses...)
	for i, u := range list.ByService["s"] {
		u.Version = versions[u.ID[0]-'a']
		list.ByService["s"][i], list.ByID[u.ID] = u, u
	}
	return list
}

// Guards against a gateway that resumes a stream at an upstream of another version than the one that began it, also if only that
// one is left or was started again under the same ID.
func TestResumedStreamStaysAtItsVersion(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nStamp: x\r\nId: r\r\nContent-Type: text/event-stream\r\n"
	const begun, rest = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	for name, c := range map[string]struct {
		later    []string // Versions of the upstreams a, b and c after the first event; "-" if it is not listed.
		complete bool
	}{
		"another of its version serves": {[]string{"-", "v2", "v1"}, true},
		"it serves":                     {[]string{"v1", "v2", "-"}, true},
		"its version has left":          {[]string{"-", "v2", "v2"}, false},
		"without a version":             {[]string{"-", "", "v2"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			var g *Gateway
			var others, same atomic.Int64
			addresses := make([]string, 3)
			for i := range addresses {
				addresses[i] = startScriptedUpstream(t, func(n int, _ bool, r *http.Request) (string, bool) {
					if r.Header.Get("Last-Event-Id") == "" {
						var listed []string
						for j, v := range c.later {
							listed = append(listed, addresses[j])
							if v == "-" {
								listed[j] = ""
							}
						}
						g.upstreams.update(versionedList(listed, c.later...))
						return head + "\r\n" + begun + "id: 2\n", true
					}
					if c.later[i] == "v1" {
						same.Add(1)
					} else {
						others.Add(1)
					}
					return head + "\r\n" + rest, true
				})
			}
			g = newFaultGateway()
			g.upstreams.update(versionedList([]string{addresses[0]}, "v1"))
			w, call, aborted := dispatchRequest(t, g, &route.Route{Kind: route.Stream, Resumable: true, MaxUpstreams: 1}, "r")
			test.EqOp(t, c.complete, !aborted)
			test.EqOp(t, http.StatusOK, w.Code)
			test.EqOp(t, 0, others.Load())
			test.EqOp(t, "v1", call.version.restriction.Version)
			if c.complete {
				test.EqOp(t, begun+rest, w.Body.String())
			} else {
				test.EqOp(t, begun, w.Body.String())
				test.EqOp(t, 0, same.Load())
			}
		})
	}
}

// Guards against events that are taken for those of the version that an upstream had before it was started again under its ID.
func TestRestartedUpstreamIsAnotherVersion(t *testing.T) {
	var g *Gateway
	var address string
	address = startScriptedUpstream(t, func(n int, _ bool, _ *http.Request) (string, bool) {
		g.upstreams.update(versionedList([]string{address}, "v2"))
		return "HTTP/1.1 200 OK\r\nStamp: x\r\nId: r\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n", true
	})
	g = newFaultGateway()
	g.upstreams.update(versionedList([]string{address}, "v1"))
	w, call, aborted := dispatchRequest(t, g, &route.Route{Kind: route.Stream, Resumable: true, MaxUpstreams: 1}, "r")
	must.False(t, aborted)
	test.EqOp(t, "id: 1\ndata: a\n\n", w.Body.String())
	test.EqOp(t, "v2", call.version.restriction.Version)
	test.EqOp(t, 2, call.sendCount)
}

// eventHook calls a function after the first write of a response.
type eventHook struct {
	*httptest.ResponseRecorder
	afterFirst func()
}

func (h *eventHook) Write(b []byte) (int, error) {
	n, err := h.ResponseRecorder.Write(b)
	if h.afterFirst != nil {
		h.afterFirst()
		h.afterFirst = nil
	}
	return n, err
}

// Guards against a stream that goes on at the version that the list stated for its upstream, although the upstream had been started again
// with another one before the list showed it.
func TestStreamOfUpstreamThatWasListedLateDoesNotGoOn(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nStamp: x\r\nId: r\r\nContent-Type: text/event-stream\r\n\r\n"
	var resumed atomic.Int64
	addresses := []string{
		startScriptedUpstream(t, func(int, bool, *http.Request) (string, bool) { return head + "id: 1\ndata: v2\n\nid: 2\n", true }),
		startScriptedUpstream(t, func(int, bool, *http.Request) (string, bool) {
			resumed.Add(1)
			return head + "id: 2\ndata: v1\n\n", true
		}),
	}
	g := newFaultGateway()
	g.upstreams.update(versionedList(addresses[:1], "v1"))
	w := &eventHook{httptest.NewRecorder(), func() { g.upstreams.update(versionedList(addresses, "v2", "v1")) }}
	c := g.newCall(w, httptest.NewRequest(http.MethodPost, "/", nil), time.Now())
	c.meta, c.ctx, c.route, c.service = RequestMeta{RequestID: "r"}, t.Context(), &route.Route{Kind: route.Stream, Resumable: true, MaxUpstreams: 2}, "s"
	c.excluded, c.mayHaveRun, c.deadline = map[string]bool{}, map[string]bool{}, time.Now().Add(5*time.Second)
	func() {
		defer func() { test.NotNil(t, recover(), test.Sprint("the response is aborted")) }()
		c.dispatch()
	}()
	test.EqOp(t, "id: 1\ndata: v2\n\n", w.Body.String())
	test.EqOp(t, 0, resumed.Load())
	test.EqOp(t, "", g.streamVersions.get("r"), test.Sprint("a take-up is rejected"))
	settled := c.settledCharge()
	test.EqOp(t, "", settled.Version)
	stored := core.Charge{Turn: settled.Turn, Tokens: 1, Version: "v1"}
	test.EqOp(t, "", stored.Merge(settled).Version)
}

// Guards against a take-up that another service of the route gets, whose upstreams did not begin the stream.
func TestTakeUpStaysAtItsService(t *testing.T) {
	r := &route.Route{Kind: route.Stream, Resumable: true, Backends: []route.Backend{{Service: "s", Weight: 1}, {Service: "s2", Weight: 1}}}
	moved := 0
	for i := range 40 {
		begun := &call{route: r, meta: RequestMeta{RequestID: fmt.Sprint("begun", i)}}
		next := &call{route: r, meta: RequestMeta{RequestID: fmt.Sprint("next", i), ResumedRequest: begun.meta.RequestID, LastEventID: "1"}}
		test.EqOp(t, r.SelectService(begun.serviceKey()), r.SelectService(next.serviceKey()))
		if r.SelectService(begun.meta.RequestID) != r.SelectService(next.meta.RequestID) {
			moved++
		}
	}
	test.Positive(t, moved, test.Sprint("the own IDs of some take-ups select another service"))
}

// Guards against a stream that cannot begin because the first upstream was of another version.
func TestAnotherVersionBeginsBeforeTheFirstEvent(t *testing.T) {
	fails := startScriptedUpstream(t, func(int, bool, *http.Request) (string, bool) { return "", true })
	serves := startScriptedUpstream(t, func(int, bool, *http.Request) (string, bool) {
		return "HTTP/1.1 200 OK\r\nStamp: x\r\nId: r\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n", true
	})
	for range 4 {
		g := newFaultGateway()
		g.upstreams.update(versionedList([]string{fails, serves}, "v1", "v2"))
		w, call, aborted := dispatchRequest(t, g, &route.Route{Kind: route.Stream, Resumable: true, MaxUpstreams: 2}, "r")
		must.False(t, aborted)
		test.EqOp(t, "id: 1\ndata: a\n\n", w.Body.String())
		test.EqOp(t, "v2", call.version.restriction.Version)
		test.EqOp(t, "v2", g.streamVersions.get("r"), test.Sprint("a stream without a charge is remembered"))
	}
}

// Guards against a second attempt at another version than that of the first one, which is being stored for the stream.
func TestSecondAttemptStaysAtItsVersion(t *testing.T) {
	slow := func(*hedgingTest) string {
		time.Sleep(200 * time.Millisecond)
		return secondAttemptStream + "first\n\n"
	}
	h := newHedgingTest(t, slow, immediately(secondAttemptStream+"second\n\n"))
	list := versionedList([]string{h.upstreams.current.ByID["a"].Address, h.upstreams.current.ByID["b"].Address}, "v1", "v2")
	h.upstreams.update(list)
	r := &route.Route{Name: "fast", Kind: route.Stream, Resumable: true, MaxUpstreams: 2}
	w, _, aborted := dispatchRequest(t, h.Gateway, r, "r")
	test.False(t, aborted)
	test.EqOp(t, 1, h.received.Load())
	test.EqOp(t, 200, w.Code)
}

// Guards against a stored version that is not that of the upstream whose events the caller has, and against a take-up that no
// gateway can decide although the version was stored.
func TestStoredVersionOfStream(t *testing.T) {
	type step struct {
		version  string // Of the upstream that is chosen.
		accepted bool   // Its events may be forwarded.
	}
	for name, c := range map[string]struct {
		listed []string // Versions of the upstreams at the begin of the stream.
		silent bool     // No replica responds after the begin, and the gateway is killed before it settles the charge.
		steps  []step
		result streamversion.Result // Of a take-up while both versions serve.
		stored string
	}{
		"one version":                        {[]string{"v1", "v1"}, true, []step{{"v1", true}}, streamversion.GoesOn, "v1"},
		"two versions":                       {[]string{"v1", "v2"}, false, []step{{"v2", true}}, streamversion.GoesOn, "v2"},
		"two versions, nothing is stored":    {[]string{"v1", "v2"}, true, []step{{"v2", true}}, streamversion.VersionUnknown, ""},
		"another version appears":            {[]string{"v1", "v1"}, false, []step{{"v2", true}}, streamversion.GoesOn, "v2"},
		"another appears, nothing is stored": {[]string{"v1", "v1"}, true, []step{{"v2", false}}, streamversion.GoesOn, "v1"},
		"first fails before an event":        {[]string{"v1", "v2"}, false, []step{{"v1", false}, {"v2", true}}, streamversion.GoesOn, "v2"},
		"back to the version at the begin":   {[]string{"v1", "v1"}, false, []step{{"v2", false}, {"v1", true}}, streamversion.GoesOn, "v1"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer synctest.Wait()
				defer cancel()
				network, g := startReplicas(t, ctx, "a", "b", "c")
				newTurn := func(id, resumed string) (*call, *httptest.ResponseRecorder) {
					w := httptest.NewRecorder()
					c := g.newCall(w, httptest.NewRequest(http.MethodPost, "/", nil), time.Now())
					c.ctx, c.tokensPerEvent, c.service = ctx, 1, "s"
					c.meta = RequestMeta{RequestID: id, Program: "p", TokenBudget: 1000, MaxTokens: 50, ResumedRequest: resumed}
					if resumed != "" {
						c.meta.LastEventID = "1"
					}
					c.route = &route.Route{Kind: route.Stream, Resumable: true, Retention: time.Minute}
					return c, w
				}
				g.upstreams.cfg.RegionOf = func(string) string { return "" }
				g.upstreams.update(versionedList([]string{"x:1", "x:2"}, c.listed...))
				call, _ := newTurn("begun", "")
				must.True(t, call.beginTurn())
				network.setAllSilent(c.silent)
				for _, s := range c.steps {
					u := placement.Upstream{ID: "new", Version: s.version}
					call.recordVersion(u)
					if !s.accepted && !c.silent {
						continue // It fails before its first event.
					}
					startedAt := time.Now()
					err := call.acceptVersion(u)
					test.EqOp(t, s.accepted, err == nil, test.Sprint(err))
					test.LessEq(t, 2*time.Second, time.Since(startedAt))
				}
				time.Sleep(2 * time.Second) // The write of the version has ended.
				network.setAllSilent(false)
				if !c.silent {
					call.settleCharge()
				}
				time.Sleep(2 * time.Second)
				g.upstreams.update(versionedList([]string{"x:1", "x:2"}, "v1", "v2"))
				next, w := newTurn("take-up", "begun")
				resumed := next.beginTurn()
				test.EqOp(t, c.result == streamversion.GoesOn, resumed)
				test.EqOp(t, c.result, next.version.result)
				test.EqOp(t, c.stored, next.version.restriction.Version)
				if !resumed {
					test.EqOp(t, http.StatusServiceUnavailable, w.Code)
				}
			})
		})
	}
}

// Guards against take-ups that are all rejected, although all streams of the program have one version, if the callers do not state which
// request began the stream; and against one that goes on at another version.
func TestTakeUpWithoutStatedStream(t *testing.T) {
	for name, c := range map[string]struct {
		versions []string // Of the upstreams that begin the streams of the program.
		program  string   // Of the take-up.
		result   streamversion.Result
	}{
		"one version":     {[]string{"v1", "v1"}, "p", streamversion.GoesOn},
		"two versions":    {[]string{"v1", "v2"}, "p", streamversion.VersionUnknown},
		"another program": {[]string{"v1", "v1"}, "q", streamversion.VersionUnknown},
		"no program":      {[]string{"v1", "v1"}, "", streamversion.VersionUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer synctest.Wait()
				defer cancel()
				_, g := startReplicas(t, ctx, "a", "b", "c")
				g.upstreams.cfg.RegionOf = func(string) string { return "" }
				g.upstreams.update(versionedList([]string{"x:1", "x:2"}, "v1", "v2"))
				for i, version := range c.versions {
					begun := newTakenUpTurn(ctx, g, fmt.Sprint("begun-", i), "", "")
					begun.route.StoreTurns = false
					must.True(t, begun.beginTurn())
					must.NoError(t, begun.acceptVersion(placement.Upstream{ID: "new", Version: version}))
				}
				time.Sleep(time.Second)
				next := newTakenUpTurn(ctx, g, "next", "", "1")
				next.route.StoreTurns, next.meta.Program = false, c.program
				test.EqOp(t, c.result == streamversion.GoesOn, next.beginTurn())
				test.EqOp(t, c.result, next.version.result)
				if c.result == streamversion.GoesOn {
					test.EqOp(t, streamversion.To("v1"), next.version.restriction)
				}
			})
		})
	}
}

// Guards against memory that grows with the streams.
func TestStreamVersionsAreBounded(t *testing.T) {
	var s streamVersions
	for i := range 3 * maxStreamVersions {
		s.put(fmt.Sprint(i), "v1")
		s.put(fmt.Sprint(i), "v2")
	}
	test.MapLen(t, maxStreamVersions, s.versions)
	test.EqOp(t, "v2", s.get(fmt.Sprint(3*maxStreamVersions-1)))
	test.EqOp(t, "v2", s.get(fmt.Sprint(2*maxStreamVersions)))
	test.EqOp(t, "", s.get("0"))
}
