package gateway

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"jackdawbay.dev/core/placement"
	"jackdawbay.dev/core/route"
	"jackdawbay.dev/core/streamversion"
)

// takenUpTurn is an attempt at a turn on a route that stores turns and resumes streams.
type takenUpTurn struct {
	*call
	response *httptest.ResponseRecorder
}

// newTakenUpTurn returns an attempt that takes up the stream of another one after an event, or begins a stream if resumes is empty.
func newTakenUpTurn(ctx context.Context, g *Gateway, id, resumes, after string) takenUpTurn {
	w := httptest.NewRecorder()
	c := g.newCall(w, httptest.NewRequest(http.MethodPost, "/", nil), time.Now())
	c.ctx, c.tokensPerEvent, c.service, c.deadline = ctx, 1, "s", time.Now().Add(5*time.Second)
	c.meta = RequestMeta{RequestID: id, Program: "p", TokenBudget: 1000, MaxTokens: 20, ResumedRequest: resumes, LastEventID: after}
	c.route = &route.Route{Kind: route.Stream, Resumable: true, StoreTurns: true, Retention: time.Minute}
	return takenUpTurn{c, w}
}

// deliver records events with the numbers first to last, as if they had been forwarded.
func (c takenUpTurn) deliver(first, last int) {
	for n := first; n <= last; n++ {
		c.recordEvent(event{id: fmt.Append(nil, n), data: fmt.Appendf(nil, "%s-%d", c.meta.RequestID, n), hasData: true})
	}
}

// Guards against a history that lacks the events before a take-up, or that has events which the caller has not read (review/14).
func TestTakenUpTurnHasAllEvents(t *testing.T) {
	type attempt struct {
		id, resumes, after string
		first, last        int // Events that the attempt delivers.
	}
	begun := attempt{"begun", "", "", 1, 4}
	for name, c := range map[string]struct {
		attempts  []attempt
		silent    bool // No replica responds while events are delivered.
		takeUp    attempt
		output    string // Of the stored turn before the events of the take-up.
		isUnknown bool
	}{
		"all events":                      {[]attempt{begun}, false, attempt{"next", "begun", "4", 5, 8}, "begun-1\nbegun-2\nbegun-3\nbegun-4\n", false},
		"events that were not read":       {[]attempt{begun}, false, attempt{"next", "begun", "2", 3, 8}, "begun-1\nbegun-2\n", false},
		"second take-up":                  {[]attempt{begun, {"second", "begun", "2", 3, 5}}, false, attempt{"next", "begun", "4", 5, 8}, "begun-1\nbegun-2\nsecond-3\nsecond-4\n", false},
		"events of both after the first":  {[]attempt{begun, {"second", "begun", "2", 3, 5}}, false, attempt{"next", "begun", "2", 3, 8}, "begun-1\nbegun-2\n", false},
		"more events than are stored":     {[]attempt{begun}, false, attempt{"next", "begun", "5", 6, 8}, "", true},
		"nothing is stored":               {[]attempt{begun}, true, attempt{"next", "begun", "4", 5, 8}, "", true},
		"two take-ups after one event":    {[]attempt{begun, {"second", "begun", "2", 3, 5}, {"third", "begun", "2", 3, 5}}, false, attempt{"next", "begun", "4", 5, 8}, "", true},
		"stream is not stated":            {[]attempt{begun}, false, attempt{"next", "", "4", 5, 8}, "", true},
		"event is not a number":           {[]attempt{begun}, false, attempt{"next", "begun", "four", 5, 8}, "", true},
		"event numbers that do not rise":  {[]attempt{begun, {"second", "begun", "4", 3, 6}}, false, attempt{"next", "begun", "6", 7, 8}, "", true},
		"stream that nobody has begun":    {nil, false, attempt{"next", "begun", "4", 5, 8}, "", true},
		"stream of a turn that was taken": {[]attempt{begun, {"second", "begun", "4", 5, 6}}, false, attempt{"next", "second", "6", 7, 8}, "begun-1\nbegun-2\nbegun-3\nbegun-4\nsecond-5\nsecond-6\n", false},
	} {
		for _, program := range []string{"p", ""} { // A turn without a program has no charge.
			t.Run(name+" "+program, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(t.Context())
					defer synctest.Wait()
					defer cancel()
					network, g := startReplicas(t, ctx, "a", "b", "c")
					g.upstreams.cfg.RegionOf = func(string) string { return "" }
					g.upstreams.update(upstreamList("x:1"))
					for _, a := range c.attempts {
						earlier := newTakenUpTurn(ctx, g, a.id, a.resumes, a.after)
						earlier.meta.Program = program
						must.True(t, earlier.beginTurn(), must.Sprint(earlier.response.Body))
						network.setAllSilent(c.silent)
						startedAt := time.Now()
						earlier.deliver(a.first, a.last)
						test.EqOp(t, 0, time.Since(startedAt), test.Sprint("events wait for no write"))
						time.Sleep(3 * time.Second)
						network.setAllSilent(false)
						time.Sleep(2 * time.Second)
					}
					next := newTakenUpTurn(ctx, g, c.takeUp.id, c.takeUp.resumes, c.takeUp.after)
					next.meta.Program = program
					accepted := next.beginTurn()
					must.EqOp(t, !c.isUnknown, accepted, must.Sprint(next.response.Body))
					if c.isUnknown {
						test.EqOp(t, http.StatusServiceUnavailable, next.response.Code)
						test.EqOp(t, streamversion.EventsUnknown, next.version.result)
						return
					}
					test.EqOp(t, c.output, string(next.stream.output))
				})
			})
		}
	}
}

// Guards against streams without a charge that no other gateway can take up, since only the memory of the gateway that began them has
// their version (review/15).
func TestVersionOfStreamWithoutCharge(t *testing.T) {
	served := func(g *Gateway, versions ...string) {
		g.upstreams.update(versionedList([]string{"x:1", "x:2"}, versions...))
	}
	for name, c := range map[string]struct {
		stored      bool   // The replicas respond while the stream begins.
		begunAt     string // Version of the upstream that sends the first event.
		restarted   bool   // The upstream is listed with another version before the stream ends.
		listed      []string
		sameGateway bool
		readable    bool // The replicas respond to the take-up.
		result      streamversion.Result
	}{
		"its version serves":          {true, "v1", false, []string{"v1", "v2"}, false, true, streamversion.GoesOn},
		"the only version serves":     {true, "v1", false, []string{"v1", "v1"}, false, true, streamversion.GoesOn},
		"its version has left":        {true, "v1", false, []string{"v2", "v2"}, false, true, streamversion.VersionGone},
		"nothing is stored":           {false, "v1", false, []string{"v1", "v1"}, false, true, streamversion.VersionUnknown},
		"its upstream was restarted":  {true, "v1", true, []string{"v1", "v2"}, false, true, streamversion.VersionUnknown},
		"no versions":                 {true, "", false, []string{"", ""}, false, true, streamversion.GoesOn},
		"versions are listed later":   {true, "", false, []string{"v1", "v1"}, false, true, streamversion.VersionUnknown},
		"versions are not listed yet": {true, "v1", false, []string{"", ""}, false, true, streamversion.VersionGone},
		"replicas are silent":         {true, "v1", false, []string{"v1", "v1"}, false, false, ""},
		"known without replicas":      {false, "v1", false, []string{"v1", "v2"}, true, false, streamversion.GoesOn},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer synctest.Wait()
				defer cancel()
				network, g := startReplicas(t, ctx, "a", "b", "c")
				newStream := func(id, resumes, after string) takenUpTurn {
					turn := newTakenUpTurn(ctx, g, id, resumes, after)
					turn.meta.Program, turn.meta.TokenBudget, turn.route.StoreTurns = "", -1, false
					return turn
				}
				g.upstreams.cfg.RegionOf = func(string) string { return "" }
				served(g, c.begunAt, "v2")
				begun := newStream("begun", "", "")
				must.True(t, begun.beginTurn())
				network.setAllSilent(!c.stored)
				startedAt := time.Now()
				begun.choice.Upstream = placement.Upstream{ID: "a", Version: c.begunAt}
				must.NoError(t, begun.acceptVersion(begun.choice.Upstream))
				test.EqOp(t, 0, time.Since(startedAt), test.Sprint("the first event waits for no write"))
				begun.deliver(1, 2)
				time.Sleep(100 * time.Millisecond)
				if c.restarted {
					served(g, "v2", "v2")
				}
				begun.finish()
				time.Sleep(12 * time.Second) // Writes without a quorum were given up.
				network.setAllSilent(!c.readable)
				time.Sleep(2 * time.Second)
				served(g, c.listed...)
				if !c.sameGateway {
					g.streamVersions = streamVersions{}
				}
				next := newStream("next", "begun", "2")
				resumed := next.beginTurn()
				test.EqOp(t, c.result == streamversion.GoesOn, resumed)
				test.EqOp(t, c.result, next.version.result)
				if !resumed {
					test.EqOp(t, http.StatusServiceUnavailable, next.response.Code)
				}
				if resumed && c.begunAt != "" {
					test.EqOp(t, streamversion.To(c.begunAt), next.version.restriction)
				}
			})
		})
	}
}

// Guards against a turn that is stored without its first events on a route whose streams cannot be taken up, if a caller asks for the rest
// of one all the same.
func TestRestOfTurnThatCannotBeTakenUpIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		_, g := startReplicas(t, ctx, "a", "b", "c")
		g.upstreams.cfg.RegionOf = func(string) string { return "" }
		g.upstreams.update(upstreamList("x:1"))
		c := newTakenUpTurn(ctx, g, "next", "begun", "2")
		c.route.Resumable = false
		test.False(t, c.beginTurn())
		test.EqOp(t, http.StatusServiceUnavailable, c.response.Code)
	})
}

// Guards against memory of replicas that grows with the events of streams whose IDs are long.
func TestStreamWithLongIDIsNotRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		_, g := startReplicas(t, ctx, "a", "b", "c")
		g.upstreams.cfg.RegionOf = func(string) string { return "" }
		g.upstreams.update(versionedList([]string{"x:1"}, "v1"))
		long := strings.Repeat("x", maxStreamIDBytes+1)
		for _, storesTurns := range []bool{true, false} {
			begun := newTakenUpTurn(ctx, g, long, "", "")
			begun.route.StoreTurns, begun.meta.Program = storesTurns, ""
			must.True(t, begun.beginTurn())
			test.Nil(t, begun.events)
			must.NoError(t, begun.acceptVersion(placement.Upstream{ID: "a", Version: "v1"}))
			begun.deliver(1, 2)
			time.Sleep(time.Second)
			g.streamVersions = streamVersions{}
			next := newTakenUpTurn(ctx, g, "next", long, "2")
			next.route.StoreTurns, next.meta.Program = storesTurns, ""
			test.False(t, next.beginTurn())
			test.EqOp(t, streamversion.VersionUnknown, next.version.result)
		}
	})
}

// Guards against a turn with the ID of an earlier turn of its chain, which would make the chain a cycle (review/11).
func TestTurnWithIDOfItsChainIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		_, g := startReplicas(t, ctx, "a", "b", "c")
		g.upstreams.cfg.RegionOf = func(string) string { return "" }
		g.upstreams.update(upstreamList("x:1"))
		first := newTakenUpTurn(ctx, g, "first", "", "")
		must.True(t, first.beginTurn())
		must.NoError(t, first.storeTurn())
		second := newTakenUpTurn(ctx, g, "second", "", "")
		second.meta.PreviousTurn = "first"
		must.True(t, second.beginTurn())
		must.NoError(t, second.storeTurn())
		for _, previous := range []string{"first", "second"} {
			again := newTakenUpTurn(ctx, g, "first", "", "")
			again.meta.PreviousTurn = previous
			test.False(t, again.beginTurn())
			test.EqOp(t, http.StatusBadRequest, again.response.Code)
		}
	})
}
