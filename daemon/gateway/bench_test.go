package gateway

import (
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"jackdawbay.dev/core/route"
	"jackdawbay.dev/daemon/logging"
	"jackdawbay.dev/daemon/quorum"
)

// BenchmarkRejectedTurn measures the rejection of a turn without a quorum, including its part of the log line.
func BenchmarkRejectedTurn(b *testing.B) {
	for name, log := range map[string]*slog.Logger{
		"logged": slog.New(logging.NewHandler(logging.NewWriter(io.Discard), slog.LevelInfo)).With("role", "gateway", "vm", "front-1"),
		"silent": slog.New(slog.DiscardHandler),
	} {
		b.Run(name, func(b *testing.B) {
			set := metrics.NewSet()
			replicas := quorum.New(b.Context(), quorum.Config{RegionOf: func(string) string { return "" }, Log: log, Metrics: set})
			g := New(Config{Codec: noRetryAfterCodec{}, Replicas: replicas, Log: log, Metrics: set})
			for i := 0; b.Loop(); i++ {
				c := g.newCall(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/", nil), time.Now())
				c.ctx = b.Context()
				c.meta = RequestMeta{RequestID: fmt.Sprintf("%016x", i), Program: "e7e0c74c90c9f", PreviousTurn: "before"}
				c.route = &route.Route{Name: "r", Kind: route.Stream, StoreTurns: true}
				c.beginTurn()
				c.finish()
			}
		})
	}
}
