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

// signedResponseCodec decodes every response as signed.
type signedResponseCodec struct{ passthroughCodec }

func (signedResponseCodec) EncodeRequest(http.Header, UpstreamRequestMeta) http.Header {
	return http.Header{}
}

func (signedResponseCodec) DecodeResponse(http.Header) ResponseMeta {
	return ResponseMeta{Signed: true}
}

// failingWriter is the response writer of a caller that has disconnected.
type failingWriter struct{ *httptest.ResponseRecorder }

func (failingWriter) Write([]byte) (int, error) { return 0, errors.New("connection reset") }

// Guards against a request that is counted as running at its upstream forever because the caller disconnected during the
// response. Each such caller would increase the estimated load of the upstream permanently.
func TestAbortedCallReleasesUpstream(t *testing.T) {
	address := serveOneResponse(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	call, w := newTestCall(t)
	g := call.g
	g.cfg = Config{
		Codec: signedResponseCodec{}, Log: slog.New(slog.DiscardHandler), Pool: forward.NewPool(time.Second, 1, metrics.NewSet()), Metrics: metrics.NewSet(),
		RegionOf: func(string) string { return "" },
	}
	g.upstreams, g.stats = newUpstreamGroups(g.cfg), newStats(g.cfg.Metrics)
	up := catalog.Upstream{ID: "u", Service: "s", Address: address, Slots: 8}
	g.upstreams.update(&catalog.Upstreams{ByService: map[string][]catalog.Upstream{"s": {up}}, ByID: map[string]catalog.Upstream{"u": up}})
	call.service, call.w, call.route = "s", failingWriter{w}, &route.Route{Kind: route.NonIdempotent}
	call.excluded, call.mayHaveRun, call.deadline = map[string]bool{}, map[string]bool{}, time.Now().Add(5*time.Second)
	choice, ok := g.upstreams.choose("s", placement.Request{})
	must.True(t, ok)
	func() {
		defer func() { test.Eq(t, any(http.ErrAbortHandler), recover()) }()
		call.send(choice.Upstream)
	}()
	choice, ok = g.upstreams.choose("s", placement.Request{})
	must.True(t, ok)
	test.EqOp(t, 0, choice.EstimatedRunning)
}
