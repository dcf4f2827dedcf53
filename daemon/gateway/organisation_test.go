package gateway

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"jackdawbay.dev/core/route"
	"jackdawbay.dev/daemon/catalog"
	"jackdawbay.dev/daemon/forward"
	"jackdawbay.dev/daemon/platform"
	"jackdawbay.dev/daemon/quorum"
)

// configSource passes configurations to a catalog. It implements platform.Follower and catalog.Decoder.
type configSource struct {
	catalog.Decoder
	configs chan route.Config
	done    chan struct{}
	next    route.Config
}

func (s *configSource) ConfigKind() string { return "config" }

func (s *configSource) DecodeConfig(map[string]platform.Object) (route.Config, error) {
	return s.next, nil
}

// Follow implements platform.Follower.
func (s *configSource) Follow(ctx context.Context, _ string, _ platform.FollowOptions, h platform.Handler) {
	for {
		select {
		case <-ctx.Done():
			return
		case s.next = <-s.configs:
			h(nil)
			s.done <- struct{}{}
		}
	}
}

// publish returns when the catalog has seen the configuration.
func (s *configSource) publish(c route.Config) {
	s.configs <- c
	<-s.done
}

// recordingCodec uses short header names and records what is sent to upstreams.
type recordingCodec struct {
	plainCodec
	mu   sync.Mutex
	sent []UpstreamRequestMeta
}

func (c *recordingCodec) DecodeRequest(h http.Header) (RequestMeta, error) {
	return RequestMeta{RequestID: h.Get("Id"), Program: h.Get("Program"), PreviousTurn: h.Get("Previous"), TokenBudget: -1}, nil
}

func (c *recordingCodec) EncodeRequest(from http.Header, o UpstreamRequestMeta) http.Header {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent = append(c.sent, o)
	return c.plainCodec.EncodeRequest(from, o)
}

// takeSent returns what has been sent since the last call.
func (c *recordingCodec) takeSent() []UpstreamRequestMeta {
	c.mu.Lock()
	defer c.mu.Unlock()
	sent := c.sent
	c.sent = nil
	return sent
}

type organisationGateway struct {
	*Gateway
	source *configSource
	codec  *recordingCodec
	log    *bytes.Buffer // May be read when no request is in flight.
	set    *metrics.Set
}

// newOrganisationGateway returns a gateway without a configuration and with an upstream that serves each request.
func newOrganisationGateway(t *testing.T) organisationGateway {
	t.Helper()
	address := startScriptedUpstream(t, func(_ int, _ bool, r *http.Request) (string, bool) {
		return "HTTP/1.1 200 OK\r\nStamp: x\r\nContent-Length: 2\r\nId: " + r.Header.Get("Id") + "\r\n\r\nok", false
	})
	set, logOutput := metrics.NewSet(), &bytes.Buffer{}
	log := slog.New(slog.NewTextHandler(logOutput, nil))
	source := &configSource{configs: make(chan route.Config), done: make(chan struct{})}
	cat := catalog.New(source, source, log, set, func(*catalog.Upstreams) {})
	go func() { _ = cat.FollowConfig(t.Context()) }() // Ends with the context.
	codec := &recordingCodec{}
	g := New(Config{
		Codec: codec, Catalog: cat, Log: log, Metrics: set, Pool: forward.NewPool(time.Second, 4, set), RegionOf: func(string) string { return "" },
	})
	g.UpdateUpstreams(upstreamList(address))
	return organisationGateway{Gateway: g, source: source, codec: codec, log: logOutput, set: set}
}

const (
	testKey      = "secret-key-of-north"
	testOtherKey = "secret-key-of-south"
)

// organisationConfig returns a configuration with a route that requires a key and a public one, and with the organisations
// north and south.
func organisationConfig(version uint64) route.Config {
	priority := 0
	organisations := route.NewOrganisations()
	organisations.Add(route.Organisation{Name: "north", Priority: &priority}, testKey)
	organisations.Add(route.Organisation{Name: "south"}, testOtherKey)
	backends := []route.Backend{{Service: "s", Weight: 1}}
	return route.Config{Version: version, Organisations: organisations, Routes: []route.Route{
		{Name: "closed", Host: "h", PathPrefix: "/closed/", Kind: route.Idempotent, Backends: backends, Priority: 2},
		{Name: "open", Host: "h", PathPrefix: "/open/", Kind: route.Idempotent, Backends: backends, Priority: 2, Public: true},
	}}
}

func (g organisationGateway) send(path string, header http.Header) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPost, path, nil)
	r.Host = "h"
	r.Header.Set("Id", "r1")
	for name, values := range header {
		r.Header[name] = values
	}
	w := httptest.NewRecorder()
	g.ServeHTTP(w, r)
	return w
}

// Guards against a request without a valid key that reaches an upstream, against a valid one that is refused, against another
// organisation than that of the key, and against a key in a log line, a metric or a response.
func TestRequestIsAuthenticated(t *testing.T) {
	authorization := func(values ...string) http.Header { return http.Header{"Authorization": values} }
	cases := map[string]struct {
		path         string
		header       http.Header
		status       int
		organisation string
		auth         authentication
	}{
		"valid key":                   {"/closed/", authorization("Bearer " + testKey), 200, "north", keyValid},
		"other valid key":             {"/closed/", authorization("Bearer " + testOtherKey), 200, "south", keyValid},
		"no key":                      {"/closed/", nil, 401, "", keyMissing},
		"empty header":                {"/closed/", authorization(""), 401, "", keyMalformed},
		"unknown key":                 {"/closed/", authorization("Bearer secret-unknown"), 401, "", keyUnknown},
		"key without a scheme":        {"/closed/", authorization(testKey), 401, "", keyMalformed},
		"other scheme":                {"/closed/", authorization("Basic " + testKey), 401, "", keyMalformed},
		"two valid keys":              {"/closed/", authorization("Bearer "+testKey, "Bearer "+testOtherKey), 401, "", keyMalformed},
		"the same key twice":          {"/closed/", authorization("Bearer "+testKey, "Bearer "+testKey), 401, "", keyMalformed},
		"unknown route without a key": {"/other/", nil, 404, "", ""},
		"public route without a key":  {"/open/", nil, 200, "", keyMissing},
		"public route, valid key":     {"/open/", authorization("Bearer " + testKey), 200, "north", keyValid},
		"public route, unknown key":   {"/open/", authorization("Bearer secret-unknown"), 200, "", keyUnknown},
		"public route, two keys":      {"/open/", authorization("Bearer "+testKey, "Bearer "+testOtherKey), 200, "", keyMalformed},
		"key in another header":       {"/closed/", http.Header{"X-Api-Key": {testKey}}, 401, "", keyMissing},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := newOrganisationGateway(t)
			w := g.send(c.path, c.header)
			test.EqOp(t, http.StatusServiceUnavailable, w.Code, test.Sprint("without a configuration"))
			test.StrContains(t, w.Body.String(), "no_configuration")
			g.source.publish(organisationConfig(1))
			w = g.send(c.path, c.header)
			test.EqOp(t, c.status, w.Code)
			sent := g.codec.takeSent()
			if c.status != http.StatusOK {
				test.SliceEmpty(t, sent)
			} else {
				must.SliceLen(t, 1, sent)
				test.True(t, sent[0].HasOrganisations)
				test.EqOp(t, c.organisation, sent[0].Organisation)
			}
			log := g.log.String()
			if c.status == http.StatusUnauthorized {
				test.EqOp(t, "Bearer", w.Header().Get("WWW-Authenticate"))
				test.StrContains(t, w.Body.String(), `"code":"unauthenticated"`)
				test.StrContains(t, w.Body.String(), `"not_run":"true"`)
				test.EqOp(t, 1, g.set.GetOrCreateCounter(`jackdawbay_unauthenticated_total{reason="`+string(c.auth)+`"}`).Get())
			}
			if c.auth != "" {
				organisation := c.organisation
				if organisation == "" {
					organisation = `""`
				}
				test.StrContains(t, log, fmt.Sprintf(" organisation=%s auth=%s", organisation, c.auth))
			}
			var metricsOutput bytes.Buffer
			g.set.WritePrometheus(&metricsOutput)
			for _, output := range []string{log, metricsOutput.String(), w.Body.String(), fmt.Sprint(w.Header())} {
				test.StrNotContains(t, output, "secret")
			}
		})
	}
}

// Guards against a change for deployments whose configuration has no organisations.
func TestWithoutOrganisationsNoKeyIsRequired(t *testing.T) {
	g := newOrganisationGateway(t)
	config := organisationConfig(1)
	config.Organisations = nil
	g.source.publish(config)
	test.EqOp(t, http.StatusOK, g.send("/closed/", http.Header{"Authorization": {"Bearer " + testKey}}).Code)
	sent := g.codec.takeSent()
	must.SliceLen(t, 1, sent)
	test.False(t, sent[0].HasOrganisations)
	test.StrNotContains(t, g.log.String(), "organisation=")
	test.StrNotContains(t, g.log.String(), "auth=")
}

// Guards against a withdrawn key that still works on an open connection, and against an older configuration that brings it
// back.
func TestWithdrawnKeyIsRefusedOnOpenConnection(t *testing.T) {
	g := newOrganisationGateway(t)
	g.source.publish(organisationConfig(7))
	server := httptest.NewServer(g)
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	must.NoError(t, err)
	defer func() { _ = conn.Close() }() // The test has ended.
	must.NoError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	in := bufio.NewReader(conn)
	n := 0
	send := func(key string) int {
		n++
		_, err := fmt.Fprintf(conn, "POST /closed/ HTTP/1.1\r\nHost: h\r\nId: r%d\r\nAuthorization: Bearer %s\r\nContent-Length: 0\r\n\r\n", n, key)
		must.NoError(t, err)
		resp, err := http.ReadResponse(in, nil)
		must.NoError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		must.NoError(t, err)
		return resp.StatusCode
	}
	must.EqOp(t, http.StatusOK, send(testKey))
	withdrawn := organisationConfig(8)
	delete(withdrawn.Organisations.ByKey, route.HashKey(testKey))
	g.source.publish(withdrawn)
	test.EqOp(t, http.StatusUnauthorized, send(testKey))
	test.EqOp(t, http.StatusOK, send(testOtherKey))
	g.source.publish(organisationConfig(7))
	test.EqOp(t, http.StatusUnauthorized, send(testKey), test.Sprint("an older configuration"))
}

// Guards against an ID without an organisation that equals the stored ID of an organisation. A server of net/http rejects such
// an ID before it reaches the gateway.
func TestIDWithSeparatorIsRejected(t *testing.T) {
	g := newOrganisationGateway(t)
	g.source.publish(organisationConfig(1))
	for _, name := range []string{"Id", "Program", "Previous"} {
		w := g.send("/open/", http.Header{name: {"north" + idSeparator + "t1"}})
		test.EqOp(t, http.StatusBadRequest, w.Code, test.Sprint(name))
		test.SliceEmpty(t, g.codec.takeSent())
	}
}

// Guards against the priority of the route for an organisation that has one, and against 0 taken for a missing priority.
func TestPriorityOfOrganisationTakesPrecedence(t *testing.T) {
	zero, three := 0, 3
	for _, c := range []struct {
		organisation *route.Organisation
		want         int
	}{{nil, 2}, {&route.Organisation{Name: "a"}, 2}, {&route.Organisation{Name: "a", Priority: &zero}, 0}, {&route.Organisation{Name: "a", Priority: &three}, 3}} {
		test.EqOp(t, c.want, (&call{route: &route.Route{Priority: 2}, organisation: c.organisation}).priority())
	}
}

// Guards against metrics without bound, against names that are no valid labels, and against the requests of an organisation that
// are not counted at all.
func TestOrganisationMetricsAreBounded(t *testing.T) {
	set := metrics.NewSet()
	stats := newOrganisationStats(set)
	const organisations = 4500
	for round := range 2 {
		for i := range organisations {
			stats.observe(fmt.Sprintf(`org "%d" \ {a="b"}`, i), http.StatusTooManyRequests-round, time.Millisecond)
		}
	}
	var out bytes.Buffer
	set.WritePrometheus(&out)
	test.EqOp(t, maxOrganisationSeries+1, strings.Count(out.String(), "jackdawbay_organisation_limited_total{"))
	test.EqOp(t, maxOrganisationSeries+1, strings.Count(out.String(), "jackdawbay_organisation_request_seconds_count{"))
	test.StrContains(t, out.String(), `jackdawbay_organisation_limited_total{organisation="org \"0\" \\ {a=\"b\"}"} 1`)
	test.StrContains(t, out.String(), fmt.Sprintf(`jackdawbay_organisation_limited_total{organisation=""} %d`, organisations-maxOrganisationSeries))
	test.StrContains(t, out.String(), fmt.Sprintf(`jackdawbay_organisation_request_seconds_count{organisation=""} %d`, 2*(organisations-maxOrganisationSeries)))
}

// organisationCall is a call of an organisation for a turn; an empty name stands for no organisation.
func organisationCall(ctx context.Context, g *Gateway, organisation, id, program, previous, input string) (*call, *httptest.ResponseRecorder) {
	w := httptest.NewRecorder()
	c := g.newCall(w, httptest.NewRequest(http.MethodPost, "/", nil), time.Now())
	c.ctx, c.tokensPerEvent = ctx, 1
	c.meta = RequestMeta{RequestID: id, Program: program, PreviousTurn: previous, TokenBudget: 100, MaxTokens: 60}
	c.route = &route.Route{Kind: route.Stream, StoreTurns: true, Retention: time.Hour}
	c.callerBody, c.upstreamBody = []byte(input), [][]byte{[]byte(input)}
	if organisation != "" {
		c.organisation = &route.Organisation{Name: organisation}
	}
	return c, w
}

// secondGateway returns a gateway with an empty cache in front of the same replicas.
func secondGateway(ctx context.Context, g *Gateway) *Gateway {
	other := New(Config{Codec: noRetryAfterCodec{}, Replicas: g.cfg.Replicas, Log: slog.New(slog.DiscardHandler), Metrics: metrics.NewSet()})
	go func() { _ = other.Run(ctx) }() // Ends with the context.
	return other
}

// TestForeignTurnIsNotFound guards against a turn of another organisation that is read from the replicas or from the turn cache
// of a gateway, against equal IDs of two organisations that share a turn or a budget, and against 404 for a turn that cannot be
// read.
func TestForeignTurnIsNotFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		network, g := startReplicas(t, ctx, "a", "b", "c")
		g.turnCache = newTurnCache(1 << 20)
		run := func(g *Gateway, organisation, id, program, previous, input string) (status int, sent string) {
			c, w := organisationCall(ctx, g, organisation, id, program, previous, input)
			if !c.beginTurn() {
				c.finish()
				return w.Code, ""
			}
			c.stream.events, c.stream.output = 60, []byte("answer to "+input+"\n")
			must.NoError(t, c.storeTurn())
			c.finish()
			return http.StatusOK, string(bytes.Join(c.upstreamBody, nil))
		}
		check := func(g *Gateway, organisation, id, program, previous, input string, wantStatus int, wantSent string) {
			t.Helper()
			status, sent := run(g, organisation, id, program, previous, input)
			test.EqOp(t, wantStatus, status)
			test.EqOp(t, wantSent, sent)
		}
		fresh := func() *Gateway { return secondGateway(ctx, g) }

		check(g, "north", "t1", "p1", "", "north 1;", 200, "north 1;")
		// Each turn has a program of its own, so that no budget is exhausted.
		for name, gateway := range map[string]*Gateway{"turn cache": g, "replicas": fresh()} {
			t.Log(name)
			check(gateway, "south", "u1"+name, "p2"+name, "t1", "x", 404, "")
			check(gateway, "", "u2"+name, "p3"+name, "t1", "x", 404, "")
			check(gateway, "nort", "u3"+name, "p4"+name, "ht1", "x", 404, "")
			check(gateway, "south", "u4"+name, "p1", "missing", "x", 404, "")
			check(gateway, "north", "t2"+name, "p5"+name, "t1", "north 2;", 200, "north 1;answer to north 1;\nnorth 2;")
		}
		time.Sleep(time.Second) // The charges of the rejected turns of p1 are settled in the background.
		// The same IDs of a program and of a turn in two organisations and without one. The budget of 100 tokens allows one
		// turn of 60 for each.
		check(g, "south", "t1", "p1", "", "south 1;", 200, "south 1;")
		check(g, "", "t1", "p1", "", "none 1;", 200, "none 1;")
		check(fresh(), "north", "n2", "p1", "t1", "x", 402, "")
		check(fresh(), "south", "n2", "p1", "t1", "x", 402, "")
		check(fresh(), "", "n2", "p1", "t1", "x", 402, "")
		for name, gateway := range map[string]*Gateway{"turn cache": g, "replicas": fresh()} {
			t.Log(name)
			check(gateway, "north", "t3"+name, "p6"+name, "t1", "x", 200, "north 1;answer to north 1;\nx")
			check(gateway, "south", "t3"+name, "p6"+name, "t1", "x", 200, "south 1;answer to south 1;\nx")
			check(gateway, "", "t3"+name, "p6"+name, "t1", "x", 200, "none 1;answer to none 1;\nx")
		}
		// The replicas that have a read quorum do not answer.
		network.setSilent("a")
		network.silent["b"].Store(true)
		time.Sleep(2 * time.Second)
		check(fresh(), "south", "v1", "p9", "t2", "x", 503, "")
	})
}

// Guards against the settlement of a charge under the ID of another organisation's program or turn, which would leave the program
// at its upper bound, or lower the charge of the other organisation.
func TestChargeIsSettledInItsOrganisation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		_, g := startReplicas(t, ctx, "a", "b", "c")
		begin := func(organisation, id string) *call {
			t.Helper()
			c, _ := organisationCall(ctx, g, organisation, id, "p", "", "")
			must.True(t, c.beginTurn(), must.Sprint(organisation, id))
			return c
		}
		organisations := []string{"north", "south", ""}
		for i := range organisations {
			running := []*call{begin(organisations[(i+1)%3], fmt.Sprint("t", i)), begin(organisations[(i+2)%3], fmt.Sprint("t", i))}
			begin(organisations[i], fmt.Sprint("t", i)).settleCharge()
			synctest.Wait() // The settlement has been stored.
			for _, other := range running {
				c, w := organisationCall(ctx, g, other.organisationName(), "other", "p", "", "")
				test.False(t, c.beginTurn())
				test.EqOp(t, http.StatusPaymentRequired, w.Code, test.Sprint("60 of 100 tokens are charged"))
				c.settleCharge()
			}
			synctest.Wait()
			begin(organisations[i], "next").settleCharge()
			synctest.Wait()
			for _, other := range running {
				other.settleCharge()
			}
			synctest.Wait()
		}
	})
}

// Guards against IDs of stored data that change for deployments without organisations, whose turns must stay readable, and
// against different pairs of organisation and ID with the same stored ID.
func TestStoredIDs(t *testing.T) {
	none := &call{}
	test.EqOp(t, "t1", none.storedID("t1"))
	north := &call{organisation: &route.Organisation{Name: "north"}}
	test.EqOp(t, "north"+idSeparator+"t1", north.storedID("t1"))
	test.EqOp(t, "", north.storedID(""), test.Sprint("no previous turn is not a turn"))
	for _, id := range []string{"t1", "a/b", "a:b", "a b"} {
		organisation, raw := callerID(north.storedID(id))
		test.EqOp(t, "north", organisation)
		test.EqOp(t, id, raw)
		organisation, raw = callerID(none.storedID(id))
		test.EqOp(t, "", organisation)
		test.EqOp(t, id, raw)
	}
}

// Guards against a late copy of a response that reaches the caller of another organisation whose request has the same ID.
func TestResponseOfEqualRequestIDIsNotMixedUp(t *testing.T) {
	response := func(id, body string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nStamp: x\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
	}
	var secondIsKept atomic.Bool
	address := startScriptedUpstream(t, func(n int, kept bool, r *http.Request) (string, bool) {
		switch {
		case n == 1:
			return response("r1", "for the first"), false
		case n == 3 && kept:
			secondIsKept.Store(true)
			return response("r1", "for the first") + response("r1", "for the second"), false
		case n == 3:
			return response("r1", "for the second"), false
		}
		return response(r.Header.Get("Id"), "other"), false
	})
	g := newFaultGateway(address)
	idempotent := &route.Route{Kind: route.Idempotent, MaxUpstreams: 1}
	for _, c := range []struct{ id, want string }{{"r1", "for the first"}, {"r2", "other"}, {"r1", "for the second"}, {"r3", "other"}} {
		w, _, aborted := dispatchRequest(t, g, idempotent, c.id)
		test.False(t, aborted)
		test.EqOp(t, c.want, w.Body.String())
	}
	test.False(t, secondIsKept.Load())
}

// Guards against a line of several rejected turns that does not name their organisations.
func TestRejectedTurnsNameTheirOrganisations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		g := newFaultGateway()
		log := newRejectedTurnLog(slog.New(slog.NewTextHandler(&out, nil)))
		g.rejectedTurns = log
		add := func(id, organisation string) {
			c, _ := organisationCall(t.Context(), g, organisation, id, "p", "", "")
			c.quorumFailure = &quorum.Failure{}
			c.logRequest(0)
		}
		add("r0", "")
		time.Sleep(time.Second)
		synctest.Wait()
		test.StrContains(t, out.String(), `requests=r0:p`)
		test.StrNotContains(t, out.String(), "organisations")
		out.Reset()
		for i, organisation := range []string{"north", "", "Süd \"1\"", "-"} {
			add(fmt.Sprint("r", i), organisation)
		}
		time.Sleep(time.Second)
		synctest.Wait()
		test.StrContains(t, out.String(), `requests="r0:p r1:p r2:p r3:p" organisations="north - S%C3%BCd+%221%22 %2D"`)
	})
}
