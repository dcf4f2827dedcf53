package gateway

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"jackdawbay.dev/core/route"
	"jackdawbay.dev/daemon/logging"
	"jackdawbay.dev/daemon/quorum"
)

// noRetryAfterCodec sets no Retry-After header.
type noRetryAfterCodec struct{ Codec }

func (noRetryAfterCodec) EncodeRetryAfter(http.Header, time.Duration) {}

// TestRejectedTurnsShareLogLines guards against log lines that do not state why turns were rejected, and against logs that
// are too long. Logs are collected up to 180 KB per process. A gateway that rejected 100 turns per second, each with a line
// of 290 bytes, pushed the first seconds of an incident out of its log.
func TestRejectedTurnsShareLogLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var logOutput bytes.Buffer
		logWriter := logging.NewWriter(&logOutput)
		set := metrics.NewSet()
		log := slog.New(logging.NewHandler(logWriter, slog.LevelInfo)).With("role", "gateway", "vm", "front-warszawa-a-2")
		replicas := quorum.New(ctx, quorum.Config{RegionOf: func(string) string { return "" }, Log: log, Metrics: set})
		g := New(Config{Codec: noRetryAfterCodec{}, Replicas: replicas, Log: log, Metrics: set})
		const (
			seconds   = 30        // From the loss of the quorum to the end of the incident.
			perSecond = 100       // Turns that a gateway rejects per second.
			collected = 180 << 10 // Bytes that are collected of a process's log.
		)
		for i := range seconds * perSecond {
			w := httptest.NewRecorder()
			c := g.newCall(w, httptest.NewRequest(http.MethodPost, "/", nil), time.Now())
			c.ctx, c.configVersion = ctx, 4
			c.meta = RequestMeta{RequestID: fmt.Sprintf("cfd235d37223%04x", i), Program: "e7e0c74c90c9f", PreviousTurn: "before"}
			c.route = &route.Route{Name: "r-7sf9rcp", Kind: route.Stream, StoreTurns: true}
			must.False(t, c.beginTurn())
			c.finish()
			must.EqOp(t, http.StatusServiceUnavailable, w.Code)
			time.Sleep(time.Second / perSecond)
		}
		time.Sleep(time.Second)
		synctest.Wait()
		logWriter.FlushQueue()
		test.LessEq(t, collected, logOutput.Len())
		for i := range seconds * perSecond {
			must.EqOp(t, 1, strings.Count(logOutput.String(), fmt.Sprintf("cfd235d37223%04x", i)), must.Sprint("each turn is logged once"))
		}
		for line := range strings.Lines(logOutput.String()) {
			test.StrContains(t, line, `msg="turns refused" `)
			test.StrContains(t, line, "outcome=history_unavailable version=4 cause=no_view view=0 ")
		}
		var exposition bytes.Buffer
		set.WritePrometheus(&exposition)
		test.StrContains(t, exposition.String(), `jackdawbay_turns_refused_total{cause="no_view"} 3000`)
	})
}

// TestRejectedTurnsGroupedByFailure guards against a line that states the failure of other turns, and against an unlimited
// number of pending lines.
func TestRejectedTurnsGroupedByFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var logOutput bytes.Buffer
		r := newRejectedTurnLog(slog.New(slog.NewTextHandler(&logOutput, nil)))
		addTurn := func(id string, view uint64, responsive int) {
			r.add(rejectedTurn{request: id, program: "p", failure: quorum.Failure{
				Cause: quorum.CauseUnresponsive, ViewVersion: view, FailedSet: quorum.SetCounts{Position: 1, Members: 3, Responsive: responsive},
			}})
		}
		readLog := func() string {
			r.mu.Lock() // Timers write to the log as well.
			defer r.mu.Unlock()
			return logOutput.String()
		}
		addTurn("a1", 1, 1)
		addTurn("a2", 1, 1)
		addTurn("a3", 2, 1)
		addTurn("a4", 2, 0)
		addTurn("a5", 1, 1)
		time.Sleep(2 * maxLineDelay)
		synctest.Wait()
		test.EqOp(t, 3, strings.Count(readLog(), "turns refused"))
		test.StrContains(t, readLog(), `turns=3 requests="a1:p a2:p a5:p"`)
		test.StrContains(t, readLog(), `turns=1 requests=a3:p`)
		r.mu.Lock()
		logOutput.Reset()
		r.mu.Unlock()
		for i := range 2*maxTurnsPerLine + 1 {
			addTurn(fmt.Sprint("b", i), 1, 1)
		}
		for view := range 10 * maxPendingLines {
			test.LessEq(t, maxPendingLines, len(r.pending))
			addTurn(fmt.Sprint("c", view), uint64(view+2), 1)
		}
		test.EqOp(t, 2, strings.Count(readLog(), fmt.Sprintf("turns=%d ", maxTurnsPerLine)))
		time.Sleep(2 * maxLineDelay)
		synctest.Wait()
		test.EqOp(t, 3+10*maxPendingLines, strings.Count(readLog(), "turns refused"))
		test.MapEmpty(t, r.pending)
	})
}
