package deployment

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"jackdawbay.dev/testbed/standin/backend"
)

func (d *Deployment) setFaultOnAll(f backend.Fault) {
	for _, u := range append(d.Engines[:len(d.Engines):len(d.Engines)], d.Services...) {
		u.SetFault(f)
	}
}

func expectedBody(c Call) string { return backend.ResponseBody(c.ID) }

// Guards against a second run of a non-idempotent request, whatever its method, after each kind of lost response. Also guards
// against a status that reports to the caller that the request did not run.
func TestNonIdempotentRunsOnce(t *testing.T) {
	d := startDeployment(t, defaultOptions())
	for _, f := range []backend.Fault{backend.DropResponse, backend.ResetConnection, backend.TruncateBody, backend.MalformedResponse,
		backend.Executed503, backend.UnframedBodyReset, backend.EncodedBody, backend.UnsignedResponse, backend.UndefinedStatus, backend.InvalidHeaderName} {
		for _, method := range []string{http.MethodPost, http.MethodGet} {
			t.Run(string(f)+" "+method, func(t *testing.T) {
				conn, err := Dial(context.Background(), d.Gateways[0])
				must.NoError(t, err)
				defer conn.Close()
				warmUp := Call{Path: PathOrder, ID: NewID(), Method: method}
				must.EqOp(t, http.StatusOK, conn.Send(warmUp).Status, must.Sprint("opens a reusable connection to the upstream"))
				d.setFaultOnAll(f)
				c := Call{Path: PathOrder, ID: NewID(), Method: method}
				resp := conn.Send(c)
				d.setFaultOnAll(backend.NoFault)
				test.EqOp(t, 1, d.countRuns(c.ID))
				test.EqOp(t, http.StatusBadGateway, resp.Status)
				test.EqOp(t, "", resp.Header.Get("X-Jackdawbay-Server-Stamp"))
			})
		}
	}
}

// Guards against a part of a response that looks complete: it has no length, and its connection is reset while the request is still
// being written, so that the write takes the error of the connection.
func TestResetDuringUpload(t *testing.T) {
	o := defaultOptions()
	o.MaxBodyBytes = 16 << 20
	d := startDeployment(t, o)
	d.setFaultOnAll(backend.EarlyReset)
	body := strings.Repeat("x", 12<<20)
	for range 5 {
		for _, path := range []string{PathOrder, PathLookup} {
			c := Call{Path: path, ID: NewID(), Body: body}
			resp := Send(d.Gateways[0], c)
			must.NoError(t, resp.Err)
			test.EqOp(t, http.StatusBadGateway, resp.Status, test.Sprintf("%s: %q", path, resp.Body))
		}
	}
}

// Guards against an idempotent request that fails although another upstream would serve it.
func TestIdempotentIsRetried(t *testing.T) {
	d := startDeployment(t, defaultOptions())
	for _, f := range []backend.Fault{backend.DropResponse, backend.ResetConnection, backend.TruncateBody, backend.MalformedResponse,
		backend.Executed503, backend.UnframedBodyReset, backend.EncodedBody, backend.UnsignedResponse, backend.Reject, backend.Executed500,
		backend.UndefinedStatus, backend.InvalidHeaderName} {
		t.Run(string(f), func(t *testing.T) {
			d.Services[0].SetFault(f)
			defer d.Services[0].SetFault(backend.NoFault)
			for range 4 {
				c := Call{Path: PathLookup, ID: NewID(), Method: http.MethodGet}
				resp := Send(d.Gateways[0], c)
				test.EqOp(t, http.StatusOK, resp.Status)
				test.EqOp(t, expectedBody(c), resp.Body)
			}
		})
	}
}

// Guards against a response that is delivered to the wrong request. A second response on a reused connection must be
// discarded.
func TestExtraResponseIsDiscarded(t *testing.T) {
	d := startDeployment(t, defaultOptions())
	d.setFaultOnAll(backend.ExtraResponse)
	for range 20 {
		c := Call{Path: PathOrder, ID: NewID()}
		resp := Send(d.Gateways[0], c)
		test.EqOp(t, http.StatusOK, resp.Status)
		test.EqOp(t, expectedBody(c), resp.Body)
		test.EqOp(t, c.ID, resp.Header.Get("X-Jackdawbay-Request-Id"))
	}
}

// Guards against the loss of a response body that has no length and ends when the upstream closes the connection. A body of
// this kind whose connection is reset must not be forwarded; TestNonIdempotentRunsOnce and TestIdempotentIsRetried check that.
func TestBodyWithoutLength(t *testing.T) {
	d := startDeployment(t, defaultOptions())
	d.setFaultOnAll(backend.UnframedBody)
	c := Call{Path: PathOrder, ID: NewID()}
	resp := Send(d.Gateways[0], c)
	test.EqOp(t, http.StatusOK, resp.Status)
	test.EqOp(t, expectedBody(c), resp.Body)
}

// Guards against an upstream that responds before it has read a long request body, and then parses the rest of the body as the
// next request.
func TestEarlyResponseToLongBody(t *testing.T) {
	d := startDeployment(t, defaultOptions())
	d.Services[0].QueueFaults(backend.EarlyReject, backend.NoFault, backend.EarlyReject)
	longBody := strings.Repeat("x", 300_000)
	for range 6 {
		c := Call{Path: PathOrder, ID: NewID(), Body: longBody}
		resp := Send(d.Gateways[0], c)
		test.EqOp(t, http.StatusOK, resp.Status, test.Sprint("a rejected request is sent to another upstream"))
		test.EqOp(t, expectedBody(c), resp.Body)
	}
	for _, s := range d.Services {
		for _, r := range s.Runs() {
			test.EqOp(t, len(longBody), len(r.Body))
		}
	}
}

// Guards against an error response of an upstream that is changed by the gateway.
func TestUpstreamErrorIsForwardedUnchanged(t *testing.T) {
	d := startDeployment(t, defaultOptions())
	d.setFaultOnAll(backend.Executed500)
	c := Call{Path: PathOrder, ID: NewID()}
	resp := Send(d.Gateways[0], c)
	test.EqOp(t, http.StatusInternalServerError, resp.Status)
	test.EqOp(t, "oops", resp.Body)
	test.NotEq(t, "", resp.Header.Get("X-Jackdawbay-Server-Stamp"))
}

// Guards against a rejection that is delayed or has no Retry-After header, when no upstream accepts a request.
func TestRejectionIsPrompt(t *testing.T) {
	d := startDeployment(t, defaultOptions())
	d.setFaultOnAll(backend.Reject)
	c := Call{Path: PathOrder, ID: NewID()}
	resp := Send(d.Gateways[0], c)
	test.EqOp(t, http.StatusServiceUnavailable, resp.Status)
	test.EqOp(t, 0, d.countRuns(c.ID))
	retryAfterSeconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	test.NoError(t, err)
	test.Greater(t, 0, retryAfterSeconds)
	test.Less(t, 500*time.Millisecond, resp.Elapsed)
}

// Guards against a request that runs on the wrong process. A stale entry lists an address that another upstream has taken over.
func TestReusedAddress(t *testing.T) {
	d := startDeployment(t, defaultOptions())
	d.Store.Put("servers", "gone", map[string]any{
		"service": PlainService, "addr": d.Engines[0].Addr(), "zone": "zone-a", "slots": 80, "state": "ready", "born": 1,
	})
	time.Sleep(200 * time.Millisecond)
	for range 12 {
		c := Call{Path: PathOrder, ID: NewID()}
		resp := Send(d.Gateways[0], c)
		test.EqOp(t, http.StatusOK, resp.Status)
		test.EqOp(t, 1, d.countRuns(c.ID))
	}
	for _, r := range d.Engines[0].Runs() {
		test.False(t, strings.HasPrefix(r.Target, PathOrder))
	}
}

// Guards against invalid server entries that make the gateway ignore the valid ones.
func TestInvalidServerEntriesAreSkipped(t *testing.T) {
	d := startDeployment(t, defaultOptions())
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
	eventually(t, "the new upstream receives requests", 5*time.Second, func() bool {
		resp := Send(d.Gateways[0], Call{Path: PathOrder, ID: NewID()})
		test.EqOp(t, http.StatusOK, resp.Status)
		return len(added.Runs()) > 0
	})
}

// Guards against forwarded headers that only the system may set, and against a changed method, path or body.
func TestRequestIsForwardedUnchanged(t *testing.T) {
	d := startDeployment(t, defaultOptions())
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

// Guards against an upstream that receives a longer deadline than the remaining time, and against a caller that waits longer
// than the route's timeout.
func TestDeadlineIsForwardedAndEnforced(t *testing.T) {
	o := defaultOptions()
	o.TimeoutMS = 600
	d := startDeployment(t, o)
	d.setFaultOnAll(backend.Hang)
	c := Call{Path: PathOrder, ID: NewID(), Deadline: 3 * time.Second}
	resp := Send(d.Gateways[0], c)
	test.EqOp(t, http.StatusGatewayTimeout, resp.Status)
	test.Between(t, 500*time.Millisecond, resp.Elapsed, 1000*time.Millisecond)
	d.setFaultOnAll(backend.NoFault)
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

// Guards against a run that continues after its caller has disconnected.
func TestCallerDisconnectCancelsRun(t *testing.T) {
	o := defaultOptions()
	o.ResponseDelay = 2 * time.Second
	d := startDeployment(t, Options{Gateways: 1, Replicas: 3, Engines: 0, Services: 1, ToleratedVMFailures: 1, ResponseDelay: o.ResponseDelay, RetainS: 60})
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

// Guards against missing or repeated events, or events of two runs, in a stream that is resumed after it was cut. Also guards
// against a cut stream that looks complete when it cannot be resumed.
func TestBrokenStream(t *testing.T) {
	d := startDeployment(t, defaultOptions())
	for _, u := range d.Engines {
		u.QueueFaults(backend.TruncateBody)
	}
	c := Call{Path: PathResumable, ID: NewID(), Program: NewID(), Budget: 10_000, MaxTokens: 200}
	resp := Send(d.Gateways[0], c)
	must.NoError(t, resp.Err)
	test.EqOp(t, backend.StreamText(c.ID, 4), strings.Join(resp.EventData(), "\n")+"\n")
	d.setFaultOnAll(backend.TruncateBody)
	c = Call{Path: PathRetained, ID: NewID(), Program: NewID(), Budget: 10_000, MaxTokens: 200}
	resp = Send(d.Gateways[0], c)
	test.Error(t, resp.Err)
	test.EqOp(t, 1, d.countRuns(c.ID))
}

// Guards against requests to an upstream that is draining, or whose entry has been removed.
func TestDrainingUpstreamReceivesNoNewRequests(t *testing.T) {
	d := startDeployment(t, defaultOptions())
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

// Guards against a graceful stop that cuts off a request, accepts a request that it cannot finish, or exceeds its grace period.
func TestGracefulStop(t *testing.T) {
	o := defaultOptions()
	o.ResponseDelay, o.GraceS, o.TimeoutMS = 700*time.Millisecond, 6, 3000
	d := startDeployment(t, o)
	g := d.Gateways[0]
	inFlight := make(chan Response, 1)
	go func() { inFlight <- Send(g, Call{Path: PathOrder, ID: NewID()}) }()
	time.Sleep(200 * time.Millisecond)
	stopStart := time.Now()
	stopped := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		stopped <- g.Process.Stop(ctx)
	}()
	time.Sleep(100 * time.Millisecond)
	test.False(t, d.IsReady(g))
	rejected := 0
	for time.Since(stopStart) < 5*time.Second {
		c := Call{Path: PathOrder, ID: NewID()}
		resp := Send(g, c)
		switch {
		case resp.Err != nil && resp.Status == 0:
			test.EqOp(t, 0, d.countRuns(c.ID), test.Sprint("a forwarded request has a response"))
		case resp.Status == http.StatusServiceUnavailable:
			rejected++
			test.EqOp(t, 0, d.countRuns(c.ID))
		default:
			test.EqOp(t, http.StatusOK, resp.Status)
			test.True(t, resp.Close)
		}
	}
	test.Greater(t, 0, rejected)
	test.EqOp(t, http.StatusOK, (<-inFlight).Status)
	test.NoError(t, <-stopped)
	test.Less(t, 6*time.Second, time.Since(stopStart))
}

// TestStopAnswersEveryForwardedRequest guards against a planned stop that cuts off requests without a response: ones that were
// in flight with a deadline after the end of the grace period, and ones that callers send over kept connections until the
// process is gone.
func TestStopAnswersEveryForwardedRequest(t *testing.T) {
	o := defaultOptions()
	o.ResponseDelay, o.GraceS, o.TimeoutMS = 400*time.Millisecond, 5, 30_000
	d := startDeployment(t, o)
	g := d.Gateways[0]
	hanging, err := d.AddUpstream(PlainService, "hanging")
	must.NoError(t, err)
	hanging.SetFault(backend.Hang)
	eventually(t, "the gateway lists the hanging upstream", 5*time.Second, func() bool {
		return strings.Contains(d.ReadLog(g), " upstream="+hanging.ID+" service=")
	})

	// Requests in flight at SIGTERM. Some of them wait at the hanging upstream.
	const inFlight, callers = 24, 12
	type result struct {
		path, id string
		status   int
		err      error
	}
	var (
		mu      sync.Mutex
		results []result // Unbounded: a fast machine rejects many requests until the process is gone.
		done    sync.WaitGroup
	)
	record := func(c Call, resp Response) {
		mu.Lock()
		defer mu.Unlock()
		results = append(results, result{c.Path, c.ID, resp.Status, resp.Err})
	}
	for i := range inFlight {
		path := PathOrder
		if i%3 == 0 {
			path = PathLookup
		}
		done.Go(func() {
			c := Call{Path: path, ID: NewID(), Deadline: 20 * time.Second}
			record(c, Send(g, c))
		})
	}
	time.Sleep(300 * time.Millisecond)
	stopped := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		stopped <- g.Process.Stop(ctx)
	}()
	for i := range callers {
		done.Go(func() {
			for {
				conn, err := Dial(t.Context(), g)
				if err != nil {
					return // The process no longer listens.
				}
				for closed := false; !closed; {
					c := Call{Path: PathOrder, ID: NewID(), Deadline: time.Duration(200+100*i*i) * time.Millisecond}
					resp := conn.Send(c)
					record(c, resp)
					closed = resp.Err != nil || resp.Close
				}
				conn.Close()
			}
		})
	}
	must.NoError(t, <-stopped)
	done.Wait()
	runsByID := d.countRunsByID()
	served, ended := 0, 0
	for _, r := range results {
		switch runs := runsByID[r.id]; {
		case r.err != nil:
			test.EqOp(t, 0, runs, test.Sprintf("%s%s was forwarded and has no response: %v", r.path, r.id, r.err))
		case r.status == http.StatusOK:
			served++
		case r.status == http.StatusServiceUnavailable:
			test.EqOp(t, 0, runs)
		case r.status == http.StatusBadGateway:
			ended++
		default:
			test.EqOp(t, http.StatusGatewayTimeout, r.status)
		}
	}
	test.Positive(t, served)
	test.Positive(t, ended, test.Sprint("requests at the hanging upstream"))
}
