package deployment

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"jackdawbay.dev/testbed/standin/backend"
)

func (d *Deployment) always(f backend.Fault) {
	for _, u := range append(d.Engines[:len(d.Engines):len(d.Engines)], d.Services...) {
		u.SetFault(f)
	}
}

func whole(c Call) string { return backend.ResponseBody(c.ID) }

// Guards against a second run of a request that may run once, whatever its method, after each way to lose its response, and
// against a status that promises "not run" for it.
func TestNonIdempotentRunsOnce(t *testing.T) {
	d := start(t, standard())
	for _, f := range []backend.Fault{backend.DropResponse, backend.ResetConnection, backend.TruncateBody, backend.MalformedResponse,
		backend.Executed503, backend.UnframedBodyReset, backend.EncodedBody, backend.UnsignedResponse} {
		for _, method := range []string{http.MethodPost, http.MethodGet} {
			t.Run(string(f)+" "+method, func(t *testing.T) {
				k, err := Dial(context.Background(), d.Gateways[0])
				must.NoError(t, err)
				defer k.Close()
				warm := Call{Path: PathOrder, ID: NewID(), Method: method}
				must.EqOp(t, http.StatusOK, k.Send(warm).Status, must.Sprint("a kept connection to the upstream exists"))
				d.always(f)
				c := Call{Path: PathOrder, ID: NewID(), Method: method}
				a := k.Send(c)
				d.always(backend.NoFault)
				test.EqOp(t, 1, d.runs(c.ID))
				test.EqOp(t, http.StatusBadGateway, a.Status)
				test.EqOp(t, "", a.Header.Get("X-Jackdawbay-Server-Stamp"))
			})
		}
	}
}

// Guards against a request that may be repeated and is given up although another upstream would serve it.
func TestIdempotentIsRepeated(t *testing.T) {
	d := start(t, standard())
	for _, f := range []backend.Fault{backend.DropResponse, backend.ResetConnection, backend.TruncateBody, backend.MalformedResponse,
		backend.Executed503, backend.UnframedBodyReset, backend.EncodedBody, backend.UnsignedResponse, backend.Reject, backend.Executed500} {
		t.Run(string(f), func(t *testing.T) {
			d.Services[0].SetFault(f)
			defer d.Services[0].SetFault(backend.NoFault)
			for range 4 {
				c := Call{Path: PathLookup, ID: NewID(), Method: http.MethodGet}
				a := Send(d.Gateways[0], c)
				test.EqOp(t, http.StatusOK, a.Status)
				test.EqOp(t, whole(c), a.Body)
			}
		})
	}
}

// Guards against responses that reach another request: a second response on a kept connection belongs to nobody.
func TestExtraResponseReachesNobody(t *testing.T) {
	d := start(t, standard())
	d.always(backend.ExtraResponse)
	for range 20 {
		c := Call{Path: PathOrder, ID: NewID()}
		a := Send(d.Gateways[0], c)
		test.EqOp(t, http.StatusOK, a.Status)
		test.EqOp(t, whole(c), a.Body)
		test.EqOp(t, c.ID, a.Header.Get("X-Jackdawbay-Request-Id"))
	}
}

// Guards against a body without a length that is passed on although its connection was reset, and against the loss of one
// that ended in order.
func TestBodyWithoutLength(t *testing.T) {
	d := start(t, standard())
	d.always(backend.UnframedBody)
	c := Call{Path: PathOrder, ID: NewID()}
	a := Send(d.Gateways[0], c)
	test.EqOp(t, http.StatusOK, a.Status)
	test.EqOp(t, whole(c), a.Body)
}

// Guards against the rest of a long body that an upstream takes for the next request, after it has answered early.
func TestEarlyAnswerToALongBody(t *testing.T) {
	d := start(t, standard())
	d.Services[0].QueueFaults(backend.EarlyReject, backend.NoFault, backend.EarlyReject)
	long := strings.Repeat("x", 300_000)
	for range 6 {
		c := Call{Path: PathOrder, ID: NewID(), Body: long}
		a := Send(d.Gateways[0], c)
		test.EqOp(t, http.StatusOK, a.Status, test.Sprint("an upstream that refused is left for another one"))
		test.EqOp(t, whole(c), a.Body)
	}
	for _, s := range d.Services {
		for _, r := range s.Runs() {
			test.EqOp(t, len(long), len(r.Body))
		}
	}
}

// Guards against a failure of an upstream that is changed on its way.
func TestOwnFailurePassesUnchanged(t *testing.T) {
	d := start(t, standard())
	d.always(backend.Executed500)
	c := Call{Path: PathOrder, ID: NewID()}
	a := Send(d.Gateways[0], c)
	test.EqOp(t, http.StatusInternalServerError, a.Status)
	test.EqOp(t, "oops", a.Body)
	test.NotEq(t, "", a.Header.Get("X-Jackdawbay-Server-Stamp"))
}

// Guards against a refusal that comes late or without a time to come back, when no upstream takes a request.
func TestRefusalIsPrompt(t *testing.T) {
	d := start(t, standard())
	d.always(backend.Reject)
	c := Call{Path: PathOrder, ID: NewID()}
	a := Send(d.Gateways[0], c)
	test.EqOp(t, http.StatusServiceUnavailable, a.Status)
	test.EqOp(t, 0, d.runs(c.ID))
	after, err := strconv.ParseFloat(a.Header.Get("Retry-After"), 64)
	test.NoError(t, err)
	test.Greater(t, 0, after)
	test.Less(t, 500*time.Millisecond, a.Elapsed)
}

// Guards against a request that a process runs which has taken over the address of another upstream.
func TestReusedAddress(t *testing.T) {
	d := start(t, standard())
	d.Store.Put("servers", "gone", map[string]any{
		"service": PlainService, "addr": d.Engines[0].Addr(), "zone": "zone-a", "slots": 80, "state": "ready", "born": 1,
	})
	time.Sleep(200 * time.Millisecond)
	for range 12 {
		c := Call{Path: PathOrder, ID: NewID()}
		a := Send(d.Gateways[0], c)
		test.EqOp(t, http.StatusOK, a.Status)
		test.EqOp(t, 1, d.runs(c.ID))
	}
	for _, r := range d.Engines[0].Runs() {
		test.False(t, strings.HasPrefix(r.Target, PathOrder))
	}
}

// Guards against entries of other writers that hide the upstreams beside them.
func TestForeignEntriesAreSkipped(t *testing.T) {
	d := start(t, standard())
	for name, raw := range map[string]string{
		"text": `"hello"`, "list": `[1]`, "number": `{"service":"desk","addr":"127.0.0.1:1","zone":"z","slots":"8","state":"ready"}`,
		"state": `{"service":"desk","addr":"127.0.0.1:1","zone":"z","slots":8,"state":"asleep"}`, "none": `{}`,
		"service": `{"service":"nowhere","addr":"127.0.0.1:1","zone":"z","slots":8,"state":"ready"}`,
	} {
		d.Store.PutRaw("servers", "foreign-"+name, []byte(raw))
	}
	added, err := d.AddUpstream(PlainService, "desk-new")
	must.NoError(t, err)
	for _, s := range d.Services[:2] {
		d.RegisterUpstream(PlainService, s, "zone-a", "draining")
	}
	eventually(t, "the new upstream gets work", 5*time.Second, func() bool {
		a := Send(d.Gateways[0], Call{Path: PathOrder, ID: NewID()})
		test.EqOp(t, http.StatusOK, a.Status)
		return len(added.Runs()) > 0
	})
}

// Guards against headers that only the system may set, and against a changed method, path or body.
func TestRequestArrivesUnchanged(t *testing.T) {
	d := start(t, standard())
	c := Call{Path: PathOrder, ID: NewID(), Method: http.MethodPut, Body: "the body", Header: map[string]string{
		"X-Jackdawbay-Expect-Instance": "forged", "X-Jackdawbay-Hold": "1", "X-Jackdawbay-Pin-Ms": "1", "X-Jackdawbay-Kv-Backup": "1",
		"Kv-From": "1", "Kv-Fetch": "1", "X-Jackdawbay-Expect-Version": "9", "X-Other": "kept", "Connection": "X-Private", "X-Private": "1",
	}}
	must.EqOp(t, http.StatusOK, Send(d.Gateways[0], c).Status)
	for _, s := range d.Services {
		for _, r := range s.Runs() {
			if r.ID != c.ID {
				continue
			}
			test.EqOp(t, http.MethodPut, r.Method)
			test.EqOp(t, PathOrder+"x", r.Target)
			test.EqOp(t, "the body", r.Body)
			test.EqOp(t, "kept", r.Header.Get("X-Other"))
			test.EqOp(t, s.ID, r.Header.Get("X-Jackdawbay-Expect-Instance"))
			for _, name := range []string{"X-Jackdawbay-Hold", "X-Jackdawbay-Pin-Ms", "X-Jackdawbay-Kv-Backup", "Kv-From", "Kv-Fetch",
				"X-Jackdawbay-Expect-Version", "X-Private"} {
				test.EqOp(t, "", r.Header.Get(name), test.Sprint(name))
			}
		}
	}
}

// Guards against an upstream that gets more time than is left, and against a caller who is kept beyond the route's timeout.
func TestTimeIsHandedOnAndKept(t *testing.T) {
	o := standard()
	o.TimeoutMS = 600
	d := start(t, o)
	d.always(backend.Hang)
	c := Call{Path: PathOrder, ID: NewID(), Deadline: 3 * time.Second}
	a := Send(d.Gateways[0], c)
	test.EqOp(t, http.StatusGatewayTimeout, a.Status)
	test.Between(t, 500*time.Millisecond, a.Elapsed, 1000*time.Millisecond)
	d.always(backend.NoFault)
	c = Call{Path: PathOrder, ID: NewID(), Deadline: 400 * time.Millisecond}
	must.EqOp(t, http.StatusOK, Send(d.Gateways[0], c).Status)
	for _, s := range d.Services {
		for _, r := range s.Runs() {
			test.LessEq(t, 600, r.DeadlineMS)
			if r.ID == c.ID {
				test.LessEq(t, 400, r.DeadlineMS)
			}
		}
	}
}

// Guards against an upstream that goes on working for a caller who has gone.
func TestCallerGone(t *testing.T) {
	o := standard()
	o.ResponseDelay = 2 * time.Second
	d := start(t, Options{Gateways: 1, Replicas: 3, Engines: 0, Services: 1, ToleratedVMFailures: 1, ResponseDelay: o.ResponseDelay, RetainS: 60})
	c := Call{Path: PathLookup, ID: NewID(), Method: http.MethodGet, CloseAfter: 200 * time.Millisecond}
	test.Error(t, Send(d.Gateways[0], c).Err)
	eventually(t, "the run is cancelled", 500*time.Millisecond, func() bool {
		for _, r := range d.Services[0].Runs() {
			if r.ID == c.ID && r.Cancelled {
				return true
			}
		}
		return false
	})
}

// Guards against pieces that are missing, doubled or of two runs in a stream that goes on after a break, and against a broken
// stream that looks complete where it cannot go on.
func TestBrokenStream(t *testing.T) {
	d := start(t, standard())
	for _, u := range d.Engines {
		u.QueueFaults(backend.TruncateBody)
	}
	c := Call{Path: PathResumable, ID: NewID(), Program: NewID(), Budget: 10_000, MaxTokens: 200}
	a := Send(d.Gateways[0], c)
	must.NoError(t, a.Err)
	test.EqOp(t, backend.StreamText(c.ID, 4), strings.Join(a.EventData(), "\n")+"\n")
	d.always(backend.TruncateBody)
	c = Call{Path: PathRetained, ID: NewID(), Program: NewID(), Budget: 10_000, MaxTokens: 200}
	a = Send(d.Gateways[0], c)
	test.Error(t, a.Err)
	test.EqOp(t, 1, d.runs(c.ID))
}

// Guards against requests to an upstream that is leaving, or whose entry is gone.
func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	d := start(t, standard())
	d.RegisterUpstream(PlainService, d.Services[0], "zone-a", "draining")
	time.Sleep(300 * time.Millisecond)
	before := len(d.Services[0].Runs())
	for range 10 {
		test.EqOp(t, http.StatusOK, Send(d.Gateways[0], Call{Path: PathOrder, ID: NewID()}).Status)
	}
	test.EqOp(t, before, len(d.Services[0].Runs()))
	d.RegisterUpstream(PlainService, d.Services[0], "zone-a", "ready")
	d.Store.Remove("servers", d.Services[1].ID)
	time.Sleep(300 * time.Millisecond)
	before = len(d.Services[1].Runs())
	for range 10 {
		test.EqOp(t, http.StatusOK, Send(d.Gateways[0], Call{Path: PathOrder, ID: NewID()}).Status)
	}
	test.EqOp(t, before, len(d.Services[1].Runs()))
}

// Guards against a planned stop that cuts a request, takes a request that it cannot finish, or outlives its grace.
func TestPlannedStop(t *testing.T) {
	o := standard()
	o.ResponseDelay, o.GraceS, o.TimeoutMS = 700*time.Millisecond, 6, 3000
	d := start(t, o)
	g := d.Gateways[0]
	under := make(chan Response, 1)
	go func() { under <- Send(g, Call{Path: PathOrder, ID: NewID()}) }()
	time.Sleep(200 * time.Millisecond)
	began := time.Now()
	stopped := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		stopped <- g.Process.Stop(ctx)
	}()
	time.Sleep(100 * time.Millisecond)
	test.False(t, d.IsReady(g))
	refused := 0
	for time.Since(began) < 5*time.Second {
		c := Call{Path: PathOrder, ID: NewID()}
		a := Send(g, c)
		switch {
		case a.Err != nil && a.Status == 0:
			test.EqOp(t, 0, d.runs(c.ID), test.Sprint("a request that was passed on has an answer"))
		case a.Status == http.StatusServiceUnavailable:
			refused++
			test.EqOp(t, 0, d.runs(c.ID))
		default:
			test.EqOp(t, http.StatusOK, a.Status)
			test.True(t, a.Close)
		}
	}
	test.Greater(t, 0, refused)
	test.EqOp(t, http.StatusOK, (<-under).Status)
	test.NoError(t, <-stopped)
	test.Less(t, 6*time.Second, time.Since(began))
}
