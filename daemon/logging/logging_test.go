package logging

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"github.com/shoenig/test"
)

// Guards against a log that blocks its caller or grows without bound when its output does not keep up, and against lines that
// are left out without a word.
func TestLogIsBoundedAndCounts(t *testing.T) {
	var out bytes.Buffer
	w := NewWriter(&out)
	log := slog.New(NewHandler(w, slog.LevelInfo))
	for i := range 10 * ringLines {
		log.Info("noise", "n", i)
	}
	log.Info("signal")
	test.LessEq(t, ringLines, len(w.lines))
	w.Drain()
	test.LessEq(t, burstLines+10, strings.Count(out.String(), "msg=noise"))
	test.EqOp(t, 1, strings.Count(out.String(), "msg=signal"), test.Sprint("a loud message does not hide another one"))
	test.StrContains(t, out.String(), "n=0")
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
