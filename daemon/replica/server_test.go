package replica

import (
	"bytes"
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"jackdawbay.dev/daemon/logging"
)

// TestRejectionsAreLoggedOncePerCaller guards against a single caller that floods the log: after the loss of a disk, a
// replica logged 50 lines in 0.2 s.
func TestRejectionsAreLoggedOncePerCaller(t *testing.T) {
	var out bytes.Buffer
	lines := logging.NewWriter(&out)
	set := metrics.NewSet()
	s, err := New(DirFS{Dir: t.TempDir()}, slog.New(logging.NewHandler(lines, slog.LevelInfo)), set)
	must.NoError(t, err)
	body, err := (&Batch{Disk: "before"}).Encode()
	must.NoError(t, err)
	start := time.Now()
	for range 50 {
		for _, caller := range []string{"10.0.0.1:4001", "10.0.0.2:4002"} {
			r := httptest.NewRequest(http.MethodPost, PathBatch, bytes.NewReader(body))
			r.RemoteAddr = caller
			w := httptest.NewRecorder()
			s.Handler().ServeHTTP(w, r)
			must.EqOp(t, http.StatusMisdirectedRequest, w.Code)
		}
	}
	maxLines := 1 + int(time.Since(start)/time.Second)
	lines.FlushQueue()
	for _, caller := range []string{"10.0.0.1", "10.0.0.2"} {
		n := 0
		for line := range strings.Lines(out.String()) {
			if strings.Contains(line, `reason="other disk"`) && strings.Contains(line, "caller="+caller) {
				n++
			}
		}
		test.Between(t, 1, n, maxLines, test.Sprintf("lines about %s", caller))
	}
	test.LessEq(t, 2*maxLines, strings.Count(out.String(), "request refused"))
	var metricsText bytes.Buffer
	set.WritePrometheus(&metricsText)
	test.StrContains(t, metricsText.String(), `jackdawbay_replica_refused_total{reason="other_disk"} 100`)
}

// TestSenderTimeoutIsNotReportedAsFullQueue guards against a misleading reason in the log and the metrics. If the disk
// is slower than the sender's timeout, "too many writes wait" makes the on-call engineer look for load instead of a disk
// fault.
func TestSenderTimeoutIsNotReportedAsFullQueue(t *testing.T) {
	set := metrics.NewSet()
	s, err := New(DirFS{Dir: t.TempDir()}, discardLog(), set) // No writer runs, as with a disk that does not respond.
	must.NoError(t, err)
	body, err := (&Batch{Disk: s.Disk(), Ops: []Op{{Kind: OpStore, Turn: &Turn{ID: "t"}, RetainMS: 1000}}}).Encode()
	must.NoError(t, err)
	for range maxQueuedBatches + 1 {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		s.Handler().ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, PathBatch, bytes.NewReader(body)).WithContext(ctx))
	}
	s.Handler().ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, PathBatch, bytes.NewReader(body)))
	var metricsText bytes.Buffer
	set.WritePrometheus(&metricsText)
	test.StrContains(t, metricsText.String(), `jackdawbay_replica_refused_total{reason="sender_gave_up"} 1025`)
	test.StrContains(t, metricsText.String(), `jackdawbay_replica_refused_total{reason="too_many_writes_wait"} 1`)
}
