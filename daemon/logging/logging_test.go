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

// Guards against a log that blocks its caller or grows without limit if its output is too slow, against omitted lines that
// are not counted, and against a frequent message that suppresses another one. All lines of the burst have the same time, so
// that the rate limiter adds no tokens.
func TestMessageRateIsLimitedAndCounted(t *testing.T) {
	var out bytes.Buffer
	w := NewWriter(&out)
	h := NewHandler(w, slog.LevelInfo)
	now := time.Unix(1_000_000, 0)
	line := func(at time.Time, message string) {
		test.NoError(t, h.Handle(t.Context(), slog.NewRecord(at, slog.LevelInfo, message, 0)))
	}
	for range 10 * maxQueuedLines {
		line(now, "noise")
	}
	line(now, "signal")
	line(now.Add(reportInterval), "later")
	w.FlushQueue()
	test.EqOp(t, maxBurstLines, strings.Count(out.String(), "msg=noise"))
	test.EqOp(t, 1, strings.Count(out.String(), "msg=signal"))
	test.StrContains(t, out.String(), fmt.Sprintf("message=noise left_out=%d", 10*maxQueuedLines-maxBurstLines))
}

// Guards against a Write that blocks because the queue is full.
func TestFullQueueDropsLines(t *testing.T) {
	w := NewWriter(&bytes.Buffer{})
	for range maxQueuedLines + 5 {
		_, err := w.Write([]byte("line\n"))
		test.NoError(t, err)
	}
	test.EqOp(t, 5, w.dropped.Load())
}

// Guards against a caller that floods the log with a line for each of its requests, against counts that are lost when the
// caller stops, and against a table of callers that grows without limit.
func TestSourcesAreLimitedSeparately(t *testing.T) {
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
	test.StrContains(t, out.String(), "message=refused left_out=98", test.Sprint("49 lines of vm-b, and 49 of vm-a with reason broken"))
	out.Reset()
	for i := range 10 * maxSources {
		line(now.Add(2*reportInterval), fmt.Sprint("vm-", i), "full")
	}
	w.FlushQueue()
	test.EqOp(t, maxSources+1, strings.Count(out.String(), "msg=refused"), test.Sprint("further sources share one limit"))
	test.MapLen(t, maxSources+1, h.limiters.bySource)
}

// BenchmarkLine measures a line of the length of a request line, with and without a limit by source.
func BenchmarkLine(b *testing.B) {
	attrs := []any{"request", "cfd235d3722340fa", "program", "e7e0c74c90c9f", "route", "r", "version", 4, "upstream", "i-76dc073b53",
		"running", 2, "report_age", 30 * time.Millisecond, "missing", 0, "sends", 1, "events", 4, "status", 200, "outcome", "complete",
		"begin", time.Millisecond, "keep", time.Millisecond, "first", time.Millisecond, "took", 44 * time.Millisecond}
	for name, args := range map[string][]any{"request": attrs, "source": append(attrs, LimitPerSource("caller", "10.0.0.1"))} {
		b.Run(name, func(b *testing.B) {
			w := NewWriter(io.Discard)
			log := slog.New(NewHandler(w, slog.LevelInfo)).With("role", "gateway", "vm", "front-1")
			for i := 0; b.Loop(); i++ {
				if i%maxBurstLines == 0 {
					w = NewWriter(io.Discard)
					log = slog.New(NewHandler(w, slog.LevelInfo)).With("role", "gateway", "vm", "front-1")
				}
				log.Info("request", args...)
			}
		})
	}
}
