package logging

import (
	"bytes"
	"fmt"
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
	w.Drain()
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
