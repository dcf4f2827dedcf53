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

// plainCodec adds nothing to a refusal.
type plainCodec struct{ Codec }

func (plainCodec) EncodeRetryAfter(http.Header, time.Duration) {}

// TestRefusedTurnsShareLines guards against refused turns whose lines do not say why, and against logs that are so long that the
// first seconds of an incident are missing from the 180 KB that are collected of a process: a gateway refused 100 turns a second,
// each with a line of 290 bytes.
func TestRefusedTurnsShareLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var out bytes.Buffer
		lines := logging.NewWriter(&out)
		set := metrics.NewSet()
		log := slog.New(logging.NewHandler(lines, slog.LevelInfo)).With("role", "gateway", "vm", "front-warszawa-a-2")
		replicas := quorum.New(ctx, quorum.Config{RegionOf: func(string) string { return "" }, Log: log, Metrics: set})
		g := New(Config{Codec: plainCodec{}, Replicas: replicas, Log: log, Metrics: set})
		const (
			seconds   = 30        // From the loss of the quorum to the end of the incident.
			perSecond = 100       // Turns that a gateway refused.
			collected = 180 << 10 // Bytes of a process's log.
		)
		for i := range seconds * perSecond {
			w := httptest.NewRecorder()
			c := g.newCall(w, httptest.NewRequest(http.MethodPost, "/", nil), time.Now())
			c.ctx, c.version = ctx, 4
			c.meta = RequestMeta{RequestID: fmt.Sprintf("cfd235d37223%04x", i), Program: "e7e0c74c90c9f", PreviousTurn: "before"}
			c.route = &route.Route{Name: "r-7sf9rcp", Kind: route.Stream, StoreTurns: true}
			must.False(t, c.beginTurn())
			c.finish()
			must.EqOp(t, http.StatusServiceUnavailable, w.Code)
			time.Sleep(time.Second / perSecond)
		}
		time.Sleep(time.Second)
		synctest.Wait()
		lines.FlushQueue()
		test.LessEq(t, collected, out.Len())
		for i := range seconds * perSecond {
			must.EqOp(t, 1, strings.Count(out.String(), fmt.Sprintf("cfd235d37223%04x", i)), must.Sprint("each turn is named once"))
		}
		for line := range strings.Lines(out.String()) {
			test.StrContains(t, line, `msg="turns refused" `)
			test.StrContains(t, line, "outcome=history_unavailable version=4 cause=no_view view=0 ")
		}
		var figures bytes.Buffer
		set.WritePrometheus(&figures)
		test.StrContains(t, figures.String(), `jackdawbay_turns_refused_total{cause="no_view"} 3000`)
	})
}

// TestRefusedTurnsByDecision guards against a line that gives turns a cause that was not theirs, and against lines without bound.
func TestRefusedTurnsByDecision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		r := newRefusedTurns(slog.New(slog.NewTextHandler(&out, nil)))
		add := func(id string, view uint64, answering int) {
			r.add(refusedTurn{request: id, program: "p", shortage: quorum.Failure{
				Cause: quorum.CauseUnresponsive, ViewVersion: view, FailedSet: quorum.SetCounts{Position: 1, Members: 3, Responsive: answering},
			}})
		}
		written := func() string {
			r.mu.Lock() // Timers write as well.
			defer r.mu.Unlock()
			return out.String()
		}
		add("a1", 1, 1)
		add("a2", 1, 1)
		add("a3", 2, 1)
		add("a4", 2, 0)
		add("a5", 1, 1)
		time.Sleep(2 * refusedWait)
		synctest.Wait()
		test.EqOp(t, 3, strings.Count(written(), "turns refused"))
		test.StrContains(t, written(), `turns=3 requests="a1:p a2:p a5:p"`)
		test.StrContains(t, written(), `turns=1 requests=a3:p`)
		r.mu.Lock()
		out.Reset()
		r.mu.Unlock()
		for i := range 2*refusedPerLine + 1 {
			add(fmt.Sprint("b", i), 1, 1)
		}
		for view := range 10 * refusedLines {
			test.LessEq(t, refusedLines, len(r.lines))
			add(fmt.Sprint("c", view), uint64(view+2), 1)
		}
		test.EqOp(t, 2, strings.Count(written(), fmt.Sprintf("turns=%d ", refusedPerLine)))
		time.Sleep(2 * refusedWait)
		synctest.Wait()
		test.EqOp(t, 3+10*refusedLines, strings.Count(written(), "turns refused"))
		test.MapEmpty(t, r.lines)
	})
}
