package gateway

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"jackdawbay.dev/core/placement"
	"jackdawbay.dev/core/route"
	"jackdawbay.dev/daemon/catalog"
	"jackdawbay.dev/daemon/forward"
)

// plainCodec uses short header names.
type plainCodec struct{ passthroughCodec }

func (plainCodec) EncodeRequest(from http.Header, o UpstreamRequestMeta) http.Header {
	h := http.Header{"Id": from["Id"]}
	if o.LastEventID != "" {
		h.Set("Last-Event-Id", o.LastEventID)
	}
	return h
}

func (plainCodec) DecodeResponse(h http.Header) ResponseMeta {
	return ResponseMeta{
		RequestID: h.Get("Id"), Signed: h.Get("Stamp") != "", NotExecuted: h.Get("Not-Executed") != "", Leaving: h.Get("Leaving") != "",
	}
}

func (plainCodec) EncodeRetryAfter(http.Header, time.Duration) {}

// startScriptedUpstream starts an upstream that serves each request with the bytes that respond returns, which may also close
// the connection. The argument n counts the requests of all connections from 1, and kept states that the connection has
// carried an earlier request.
func startScriptedUpstream(t *testing.T, respond func(n int, kept bool, r *http.Request) (response string, closeAfter bool)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() }) // The test has ended.
	var count atomic.Int64
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()                    // The response has been sent.
				_ = c.SetDeadline(time.Now().Add(10 * time.Second)) // Fails only on a closed connection.
				in := bufio.NewReader(c)
				for kept := false; ; kept = true {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					response, closeAfter := respond(int(count.Add(1)), kept, r)
					if _, err := io.WriteString(c, response); err != nil || closeAfter {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

// newFaultGateway returns a gateway with the given upstreams of service s.
func newFaultGateway(addresses ...string) *Gateway {
	set := metrics.NewSet()
	g := &Gateway{cfg: Config{
		Codec: plainCodec{}, Log: slog.New(slog.DiscardHandler), Pool: forward.NewPool(time.Second, 4, set), Metrics: set,
		RegionOf: func(string) string { return "" },
	}}
	g.upstreams, g.stats = newUpstreamGroups(g.cfg), newStats(set)
	g.upstreams.update(upstreamList(addresses...))
	return g
}

// upstreamList returns a list of upstreams of service s with the IDs a, b and so on. It leaves out empty addresses.
func upstreamList(addresses ...string) *catalog.Upstreams {
	list := &catalog.Upstreams{ByService: map[string][]catalog.Upstream{}, ByID: map[string]catalog.Upstream{}}
	for i, address := range addresses {
		if address == "" {
			continue
		}
		u := catalog.Upstream{ID: string(rune('a' + i)), Service: "s", Address: address, Slots: 8, StartMillis: 1}
		list.ByService["s"], list.ByID[u.ID] = append(list.ByService["s"], u), u
	}
	return list
}

// dispatchRequest serves a request with an ID and returns the response to the caller and whether the gateway aborted it.
func dispatchRequest(t *testing.T, g *Gateway, r *route.Route, id string) (w *httptest.ResponseRecorder, c *call, aborted bool) {
	t.Helper()
	w = httptest.NewRecorder()
	req := httptest.NewRequest(http.MethodPost, "/", nil)
	req.Header.Set("Id", id)
	c = g.newCall(w, req, time.Now())
	c.meta, c.ctx, c.route, c.service = RequestMeta{RequestID: id}, t.Context(), r, "s"
	c.excluded, c.mayHaveRun, c.deadline = map[string]bool{}, map[string]bool{}, time.Now().Add(5*time.Second)
	defer func() {
		if recovered := recover(); recovered != nil {
			test.Eq(t, any(http.ErrAbortHandler), recovered)
			aborted = true
		}
	}()
	c.dispatch()
	return w, c, false
}

// Guards against a refusal that an upstream writes once more on a kept connection and that is taken for the response to a
// later request, which has been executed. The caller would send it again, or the gateway would send it to another upstream.
func TestRepeatedRefusalIsNoResponse(t *testing.T) {
	const refusal = "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	const success = "HTTP/1.1 200 OK\r\nStamp: x\r\nContent-Length: 2\r\n"
	cases := map[string]struct{ first, repeated string }{
		"refusal without an ID":                {refusal, refusal},
		"refusal with its ID":                  {strings.Replace(refusal, "\r\n", "\r\nId: r1\r\n", 1), strings.Replace(refusal, "\r\n", "\r\nId: r1\r\n", 1)},
		"refusal of another caller, no ID":     {success + "Id: r1\r\n\r\nok", refusal},
		"misdirected without an ID":            {success + "Id: r1\r\n\r\nok", "HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n"},
		"refusal of another caller with ID":    {success + "Id: r1\r\n\r\nok", strings.Replace(refusal, "\r\n", "\r\nId: r0\r\n", 1)},
		"refusal in chunks, without an ID":     {strings.Replace(refusal, "Content-Length: 0\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 1), refusal},
		"response without an ID, then refusal": {success + "\r\nok", refusal},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var executed, executedElsewhere atomic.Bool
			address := startScriptedUpstream(t, func(n int, kept bool, r *http.Request) (string, bool) {
				if n == 1 {
					return c.first, false
				}
				executed.Store(true)
				if r.Header.Get("Id") != "r2" {
					t.Errorf("unexpected request %s", r.Header.Get("Id"))
				}
				response := success + "Id: r2\r\n\r\nok"
				if kept {
					response = c.repeated + response
				}
				return response, false
			})
			other := startScriptedUpstream(t, func(int, bool, *http.Request) (string, bool) {
				executedElsewhere.Store(true)
				return success + "Id: r2\r\n\r\nok", false
			})
			r := &route.Route{Kind: route.NonIdempotent}
			g := newFaultGateway(address)
			_, _, _ = dispatchRequest(t, g, r, "r1")
			time.Sleep(2 * ejectionAfterRejection) // The refusal has ejected the upstream.
			g.upstreams.update(&catalog.Upstreams{
				ByService: map[string][]catalog.Upstream{"s": {{ID: "a", Service: "s", Address: address, Slots: 8, StartMillis: 1}, {ID: "b", Service: "s", Address: other, Slots: 1, StartMillis: 1, WarmUpRemaining: time.Hour}}},
			})
			w, _, aborted := dispatchRequest(t, g, r, "r2")
			must.True(t, executed.Load())
			test.False(t, executedElsewhere.Load(), test.Sprint("the request ran at two upstreams"))
			test.False(t, !aborted && impliesNotExecuted(w.Code), test.Sprintf("status %d for a request that was executed", w.Code))
		})
	}
}

// TestRejectionIsNotTakenTwice guards against a late copy of a rejection that is taken for the response to the second send of
// the same request. An upstream that has restarted at its address is listed under two IDs for a while, so a request that was
// rejected for the old one may go to the same address for the new one.
func TestRejectionIsNotTakenTwice(t *testing.T) {
	for name, rejection := range map[string]string{
		"misdirected": "HTTP/1.1 421 Other\r\nId: r\r\nContent-Length: 0\r\n\r\n",
		"full":        "HTTP/1.1 503 Full\r\nId: r\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			var sends, runs atomic.Int64
			address := startScriptedUpstream(t, func(_ int, kept bool, _ *http.Request) (string, bool) {
				if sends.Add(1) == 1 {
					return rejection, false
				}
				runs.Add(1)
				response := "HTTP/1.1 200 OK\r\nStamp: x\r\nId: r\r\nContent-Length: 2\r\n\r\nok"
				if kept {
					response = rejection + response
				}
				return response, false
			})
			other := startScriptedUpstream(t, func(int, bool, *http.Request) (string, bool) {
				runs.Add(1)
				return "HTTP/1.1 200 OK\r\nStamp: x\r\nId: r\r\nContent-Length: 2\r\n\r\nok", false
			})
			g := newFaultGateway()
			g.upstreams.update(&catalog.Upstreams{ByService: map[string][]catalog.Upstream{"s": {
				{ID: "before", Service: "s", Address: address, Slots: 64, StartMillis: 1},
				{ID: "after", Service: "s", Address: address, Slots: 32, StartMillis: 2},
				{ID: "other", Service: "s", Address: other, Slots: 1, StartMillis: 1, WarmUpRemaining: time.Hour},
			}}})
			w, _, aborted := dispatchRequest(t, g, &route.Route{Kind: route.NonIdempotent}, "r")
			must.False(t, aborted)
			test.EqOp(t, http.StatusOK, w.Code)
			test.EqOp(t, 2, sends.Load(), test.Sprint("requests at the address"))
			test.EqOp(t, 1, runs.Load(), test.Sprint("executions"))
		})
	}
}

// TestRepeatIsNotSentToDrainingUpstream guards against a request that is sent once more to an upstream that has begun to drain, or
// has stated that it leaves, since the first send. With a long timeout, it could reach it after its time to drain.
func TestRepeatIsNotSentToDrainingUpstream(t *testing.T) {
	for name, c := range map[string]struct {
		header   string
		draining bool
		sends    int64
	}{
		"ready":   {"", false, 2},
		"leaving": {"Leaving: 1\r\n", false, 1},
		"drains":  {"", true, 1},
	} {
		t.Run(name, func(t *testing.T) {
			var g *Gateway
			var list *catalog.Upstreams
			var sends atomic.Int64
			address := startScriptedUpstream(t, func(int, bool, *http.Request) (string, bool) {
				if sends.Add(1) > 1 {
					return "HTTP/1.1 200 OK\r\nStamp: x\r\nId: r\r\nContent-Length: 0\r\n\r\n", false
				}
				if c.draining {
					g.upstreams.update(list)
				}
				return "HTTP/1.1 503 Unclear\r\nId: r\r\n" + c.header + "Content-Length: 0\r\n\r\n", false
			})
			g = newFaultGateway(address)
			draining := upstreamList(address).ByID["a"]
			draining.Draining = true
			list = &catalog.Upstreams{ByService: map[string][]catalog.Upstream{"s": {draining}}, ByID: map[string]catalog.Upstream{"a": draining}}
			w, _, aborted := dispatchRequest(t, g, &route.Route{Kind: route.Idempotent, MaxUpstreams: 1}, "r")
			must.False(t, aborted)
			test.EqOp(t, c.sends, sends.Load())
			test.EqOp(t, c.sends == 2, w.Code == http.StatusOK, test.Sprintf("status %d", w.Code))
		})
	}
}

// Guards against an error of the next upstream that is forwarded inside a stream that has begun, and against a stream that
// ends as complete although its rest is missing.
func TestResumedStreamForwardsOnlyEvents(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nStamp: x\r\nId: r\r\nContent-Type: text/event-stream\r\n"
	const begun = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	const rest = "id: 3\ndata: c\n\n"
	chunk := func(body string) string {
		if body == "" {
			return head + "Transfer-Encoding: chunked\r\n\r\n"
		}
		return head + "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
	}
	whole := func(body string) string { return chunk(body) + "0\r\n\r\n" }
	failure := func(status, body string) string {
		return "HTTP/1.1 " + status + "\r\nStamp: x\r\nId: r\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
	}
	cases := map[string]struct {
		second   string
		complete bool // The second upstream ends the stream.
	}{
		"rest":                        {whole(rest), true},
		"rest, ends with connection":  {head + "\r\n" + rest, true},
		"end only":                    {whole(""), true},
		"nothing, ends at once":       {head + "\r\n", false},
		"400":                         {failure("400 Bad", "no"), false},
		"404":                         {failure("404 None", "no"), false},
		"421":                         {failure("421 Other", "no"), false},
		"429":                         {failure("429 Slow", "no"), false},
		"500":                         {failure("500 Oops", "no"), false},
		"502":                         {failure("502 Oops", "no"), false},
		"503":                         {failure("503 Full", "no"), false},
		"204":                         {"HTTP/1.1 204 None\r\nStamp: x\r\nId: r\r\n\r\n", false},
		"unsigned":                    {strings.Replace(whole(rest), "Stamp: x\r\n", "", 1), false},
		"success that is no stream":   {strings.Replace(failure("200 OK", `{"error":"overloaded"}`), "Stamp", "Content-Type: application/json\r\nStamp", 1), false},
		"error text as a stream":      {whole("internal error\n\n"), false},
		"JSON as a stream":            {whole("{\"error\": \"overloaded\"}\n\n"), false},
		"head in the stream":          {whole("HTTP/1.1 500 Oops\r\nContent-Type: text/plain\r\nContent-Length: 2\r\n\r\nno"), false},
		"head in a stream to its end": {head + "\r\nHTTP/1.1 500 Oops\r\nContent-Length: 2\r\n\r\nno\n\n", false},
		"error text before an event":  {whole("internal error\n" + rest), false},
		"from its start again":        {whole(begun + rest), false},
		"cut inside an event":         {head + "\r\n" + "id: 3\ndata: c\n", false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			second := startScriptedUpstream(t, func(int, bool, *http.Request) (string, bool) { return c.second, true })
			var g *Gateway
			first := startScriptedUpstream(t, func(int, bool, *http.Request) (string, bool) {
				g.upstreams.update(upstreamList("", second))
				return chunk(begun), true
			})
			g = newFaultGateway(first)
			w, call, aborted := dispatchRequest(t, g, &route.Route{Kind: route.Stream, Resumable: true, MaxUpstreams: 2}, "r")
			test.EqOp(t, c.complete, !aborted)
			test.EqOp(t, http.StatusOK, w.Code)
			want := begun
			if strings.Contains(c.second, rest) && c.complete {
				want += rest
			}
			test.EqOp(t, want, w.Body.String())
			test.EqOp(t, strings.Count(w.Body.String(), "data:"), call.stream.events)
		})
	}
}

// Guards against a request to an upstream that has stated in a response that it leaves, while its entry still says that it is
// ready.
func TestLeavingUpstreamGetsNothingNew(t *testing.T) {
	for name, response := range map[string]string{
		"success": "HTTP/1.1 200 OK\r\nStamp: x\r\nId: r1\r\nLeaving: 1\r\nContent-Length: 2\r\n\r\nok",
		"failure": "HTTP/1.1 500 Oops\r\nStamp: x\r\nId: r1\r\nLeaving: 1\r\nContent-Length: 2\r\n\r\nno",
		"refusal": "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nId: r1\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n",
		"head":    "HTTP/1.1 200 OK\r\nStamp: x\r\nId: r1\r\nLeaving: 1\r\nContent-Length: 5\r\n\r\nok",
	} {
		t.Run(name, func(t *testing.T) {
			var requests atomic.Int64
			address := startScriptedUpstream(t, func(int, bool, *http.Request) (string, bool) {
				requests.Add(1)
				return response, true
			})
			g := newFaultGateway(address)
			r := &route.Route{Kind: route.NonIdempotent}
			_, _, _ = dispatchRequest(t, g, r, "r1")
			must.EqOp(t, 1, requests.Load())
			w, _, _ := dispatchRequest(t, g, r, "r2")
			test.EqOp(t, 1, requests.Load())
			test.EqOp(t, http.StatusServiceUnavailable, w.Code)
			_, ok := g.upstreams.choose("s", placement.Request{})
			test.False(t, ok)
		})
	}
}
