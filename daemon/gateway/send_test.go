package gateway

import (
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"jackdawbay.dev/core/placement"
	"jackdawbay.dev/core/route"
	"jackdawbay.dev/daemon/catalog"
	"jackdawbay.dev/daemon/forward"
)

// plain is a codec whose responses are all signed.
type plain struct{ passing }

func (plain) EncodeRequest(http.Header, UpstreamRequestMeta) http.Header { return http.Header{} }

func (plain) DecodeResponse(http.Header) ResponseMeta { return ResponseMeta{Signed: true} }

// goneWriter is the connection of a caller that has gone.
type goneWriter struct{ *httptest.ResponseRecorder }

func (goneWriter) Write([]byte) (int, error) { return 0, errors.New("connection reset") }

// Guards against a request that counts as running at its upstream for ever, because its caller went while it got the response:
// the upstream then seems busier with each such caller.
func TestAbortedRequestEndsAtItsUpstream(t *testing.T) {
	address := oneResponse(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	call, w := newCall(t)
	g := call.g
	g.cfg = Config{
		Codec: plain{}, Log: slog.New(slog.DiscardHandler), Pool: forward.NewPool(time.Second, 1, metrics.NewSet()), Metrics: metrics.NewSet(),
		RegionOf: func(string) string { return "" },
	}
	g.groups, g.stats = newGroups(g.cfg), newStats(g.cfg.Metrics)
	up := catalog.Upstream{ID: "u", Service: "s", Address: address, Slots: 8}
	g.groups.update(&catalog.Upstreams{ByService: map[string][]catalog.Upstream{"s": {up}}, ByID: map[string]catalog.Upstream{"u": up}})
	call.service, call.w, call.route = "s", goneWriter{w}, &route.Route{Kind: route.NonIdempotent}
	call.avoid, call.sent, call.deadline = map[string]bool{}, map[string]bool{}, time.Now().Add(5*time.Second)
	choice, ok := g.groups.choose("s", placement.Request{})
	must.True(t, ok)
	func() {
		defer func() { test.Eq(t, any(http.ErrAbortHandler), recover()) }()
		call.send(choice.Upstream)
	}()
	choice, ok = g.groups.choose("s", placement.Request{})
	must.True(t, ok)
	test.EqOp(t, 0, choice.EstimatedRunning)
}
