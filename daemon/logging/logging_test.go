package logging

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"
)

// Guards against a log that blocks its caller or grows without bound when its output does not keep up, against lines that are
// left out without a word, and against a loud message that hides another one. All lines bear one time, so that the rate gives
// no further tokens.
func TestLogIsBoundedAndCounts(t *testing.T) {
	var out bytes.Buffer
	w := NewWriter(&out)
	h := NewHandler(w, slog.LevelInfo)
	now := time.Unix(1_000_000, 0)
	line := func(at time.Time, message string) {
		test.NoError(t, h.Handle(t.Context(), slog.NewRecord(at, slog.LevelInfo, message, 0)))
	}
	for range 10 * ringLines {
		line(now, "noise")
	}
	line(now, "signal")
	line(now.Add(reportInterval), "later")
	w.FlushQueue()
	test.EqOp(t, burstLines, strings.Count(out.String(), "msg=noise"))
	test.EqOp(t, 1, strings.Count(out.String(), "msg=signal"))
	test.StrContains(t, out.String(), fmt.Sprintf("message=noise left_out=%d", 10*ringLines-burstLines))
}

// Guards against a full ring that waits for its output.
func TestFullRingDrops(t *testing.T) {
	w := NewWriter(&bytes.Buffer{})
	for range ringLines + 5 {
		_, err := w.Write([]byte("line\n"))
		test.NoError(t, err)
	}
	test.EqOp(t, 5, w.dropped.Load())
}

// Guards against a caller that fills the log with one line for each of its requests, against counts that are lost when it
// stops, and against a table of callers that grows without bound.
func TestSourcesAreLimitedApart(t *testing.T) {
	var out bytes.Buffer
	w := NewWriter(&out)
	h := NewHandler(w, slog.LevelInfo)
	now := time.Unix(1_000_000, 0)
	line := func(at time.Time, caller, reason string) {
		r := slog.NewRecord(at, slog.LevelWarn, "refused", 0)
		r.AddAttrs(slog.String("reason", reason), LimitPerSource("caller", caller, reason))
		test.NoError(t, h.Handle(t.Context(), r))
	}
	for range 50 {
		line(now, "vm-a", "full")
		line(now, "vm-b", "full")
		line(now, "vm-a", "broken")
	}
	line(now.Add(sourceInterval), "vm-a", "full")
	w.FlushQueue()
	test.EqOp(t, 4, strings.Count(out.String(), "msg=refused"))
	test.StrContains(t, out.String(), "reason=full caller=vm-a left_out=49\n")
	out.Reset()
	line(now.Add(reportInterval), "vm-c", "full")
	w.FlushQueue()
	test.StrContains(t, out.String(), "message=refused left_out=98", test.Sprint("vm-b, and vm-a as broken, have no further line"))
	out.Reset()
	for i := range 10 * maxSources {
		line(now.Add(2*reportInterval), fmt.Sprint("vm-", i), "full")
	}
	w.FlushQueue()
	test.EqOp(t, maxSources+1, strings.Count(out.String(), "msg=refused"), test.Sprint("further sources share one limit"))
	test.MapLen(t, maxSources+1, h.limits.bySource)
}

// BenchmarkLine measures a line as long as the line of a request, and one that is limited by its source.
func BenchmarkLine(b *testing.B) {
	attrs := []any{"request", "cfd235d3722340fa", "program", "e7e0c74c90c9f", "route", "r", "version", 4, "upstream", "i-76dc073b53",
		"running", 2, "report_age", 30 * time.Millisecond, "missing", 0, "sends", 1, "events", 4, "status", 200, "outcome", "complete",
		"begin", time.Millisecond, "keep", time.Millisecond, "first", time.Millisecond, "took", 44 * time.Millisecond}
	for name, more := range map[string][]any{"request": attrs, "source": append(attrs, LimitPerSource("caller", "10.0.0.1"))} {
		b.Run(name, func(b *testing.B) {
			w := NewWriter(io.Discard)
			log := slog.New(NewHandler(w, slog.LevelInfo)).With("role", "gateway", "vm", "front-1")
			for i := 0; b.Loop(); i++ {
				if i%burstLines == 0 {
					w = NewWriter(io.Discard)
					log = slog.New(NewHandler(w, slog.LevelInfo)).With("role", "gateway", "vm", "front-1")
				}
				log.Info("request", more...)
			}
		})
	}
}
