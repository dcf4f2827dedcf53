package deployment

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// pathResumableTurns is a route that stores turns and whose streams may be taken up.
const pathResumableTurns = "/resumable-turns/"

// startResumableTurns starts a deployment whose streams take a second, with a route that stores turns and resumes streams.
func startResumableTurns(t *testing.T) *Deployment {
	t.Helper()
	d := startVersionedDeployment(t, 2)
	d.Configure(func(routes []map[string]any) []map[string]any {
		routes[0]["pathPrefix"], routes[0]["resumable"] = pathResumableTurns, true
		return routes
	})
	for _, g := range d.Gateways {
		eventually(t, "the route is in force", 5*time.Second, func() bool {
			return Send(g, Call{Path: pathResumableTurns, ID: NewID(), Program: NewID(), Budget: 10_000, MaxTokens: 400}).Status == http.StatusOK
		})
	}
	return d
}

// Guards against a turn that is stored without the events which its caller had before it took the stream up at another gateway: the
// next turns then run on a history with a gap (review/14).
func TestTakenUpTurnIsStoredWhole(t *testing.T) {
	d := startResumableTurns(t)
	first, second := d.Gateways[0], d.Gateways[1]
	begun := Call{Path: pathResumableTurns, ID: NewID(), Program: NewID(), Budget: 100_000, MaxTokens: 400, Body: "input one;"}
	broken := make(chan Response, 1)
	go func() { broken <- Send(first, begun) }()
	time.Sleep(550 * time.Millisecond)
	d.KillVM(first)
	resp := <-broken
	must.Error(t, resp.Err)
	events := resp.EventData()
	must.SliceNotEmpty(t, events)

	closed := takeUpCall(begun, events)
	closed.CloseAfter = 350 * time.Millisecond
	resp = Send(second, closed)
	must.EqOp(t, http.StatusOK, resp.Status, must.Sprint(resp.Body))
	events = append(events, resp.EventData()...)
	must.Less(t, d.Options.EventsPerStream, len(events))
	time.Sleep(200 * time.Millisecond) // The gateway has settled the closed attempt and stored its last event.

	last, resp := takeUp(second, begun, events)
	must.NoError(t, resp.Err)
	must.EqOp(t, http.StatusOK, resp.Status, must.Sprint(resp.Body))
	events = append(events, resp.EventData()...)
	must.Len(t, d.Options.EventsPerStream, events)

	next := Call{Path: pathResumableTurns, ID: NewID(), Program: begun.Program, Budget: 100_000, MaxTokens: 400, PreviousTurn: last.ID, Body: "input two;"}
	resp = Send(second, next)
	must.EqOp(t, http.StatusOK, resp.Status, must.Sprint(resp.Body))
	test.EqOp(t, begun.Body+strings.Join(events, "\n")+"\n"+next.Body, d.receivedBody(next.ID))
}

// Guards against a take-up that goes on although the earlier events of its turn are not stored, so that its history would have a gap.
func TestTakeUpOfTurnWithUnknownEventsIsRejected(t *testing.T) {
	d := startResumableTurns(t)
	begun := Call{Path: pathResumableTurns, ID: NewID(), Program: NewID(), Budget: 100_000, MaxTokens: 400, Body: "input;", CloseAfter: 350 * time.Millisecond}
	events := Send(d.Gateways[0], begun).EventData()
	must.SliceNotEmpty(t, events)
	for name, header := range map[string]map[string]string{"event that nobody has sent": {"Resumes": begun.ID}, "stream is not stated": nil} {
		c := Call{Path: begun.Path, ID: NewID(), Program: begun.Program, Budget: begun.Budget, MaxTokens: begun.MaxTokens, Body: begun.Body, Header: header, LastEventID: "9"}
		if header == nil {
			c.LastEventID = lastEvent(events)
		}
		resp := Send(d.Gateways[1], c)
		must.NoError(t, resp.Err, must.Sprint(name))
		test.EqOp(t, http.StatusServiceUnavailable, resp.Status, test.Sprint(name))
		test.EqOp(t, "", resp.Header.Get("Retry-After"), test.Sprint("the same request cannot be served later"))
		test.EqOp(t, 0, d.countRuns(c.ID), test.Sprint(name))
	}
}

// Guards against streams without a program that no other gateway takes up after the kill of the one that began them, and against those
// that go on at engines of another version (review/15).
func TestStreamWithoutProgramGoesOnElsewhere(t *testing.T) {
	d := startVersionedDeployment(t, 2)
	d.addEngines(t, "v1.1", 2)
	first, second := d.Gateways[0], d.Gateways[1]
	time.Sleep(500 * time.Millisecond) // All gateways list the new engines.
	const streams = 12
	begun, broken := make([]Call, streams), make([]Response, streams)
	var wg sync.WaitGroup
	for i := range begun {
		begun[i] = Call{Path: PathResumable, ID: NewID()}
		wg.Go(func() { broken[i] = Send(first, begun[i]) })
	}
	time.Sleep(550 * time.Millisecond)
	d.KillVM(first)
	wg.Wait()
	for i, c := range begun {
		events := broken[i].EventData()
		must.SliceNotEmpty(t, events)
		wg.Go(func() {
			_, resp := takeUp(second, c, events)
			test.NoError(t, resp.Err)
			test.EqOp(t, http.StatusOK, resp.Status, test.Sprint(resp.Body))
			whole := append(events, resp.EventData()...)
			test.Len(t, d.Options.EventsPerStream, whole)
			test.Len(t, 1, versionsOf(whole), test.Sprint(whole))
		})
	}
	wg.Wait()
}
