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

// TestRefusalsAreLoggedOncePerCaller guards against logs that one caller fills: after the loss of a disk, a replica wrote 50
// lines in 0.2 s.
func TestRefusalsAreLoggedOncePerCaller(t *testing.T) {
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
	atMost := 1 + int(time.Since(start)/time.Second)
	lines.FlushQueue()
	for _, caller := range []string{"10.0.0.1", "10.0.0.2"} {
		n := 0
		for line := range strings.Lines(out.String()) {
			if strings.Contains(line, `reason="other disk"`) && strings.Contains(line, "caller="+caller) {
				n++
			}
		}
		test.Between(t, 1, n, atMost, test.Sprintf("lines about %s", caller))
	}
	test.LessEq(t, 2*atMost, strings.Count(out.String(), "request refused"))
	var figures bytes.Buffer
	set.WritePrometheus(&figures)
	test.StrContains(t, figures.String(), `jackdawbay_replica_refused_total{reason="other_disk"} 100`)
}

// TestSenderThatGaveUpIsNoFullRing guards against a log that blames the number of writes when the disk took longer than the sender
// waits: an engineer on call looks for load then, and not at the disk.
func TestSenderThatGaveUpIsNoFullRing(t *testing.T) {
	set := metrics.NewSet()
	s, err := New(DirFS{Dir: t.TempDir()}, quietLog(), set) // Nothing is written, as by a disk that hangs.
	must.NoError(t, err)
	body, err := (&Batch{Disk: s.Disk(), Ops: []Op{{Kind: OpStore, Turn: &Turn{ID: "t"}, RetainMS: 1000}}}).Encode()
	must.NoError(t, err)
	for range writeRing + 1 {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		s.Handler().ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, PathBatch, bytes.NewReader(body)).WithContext(ctx))
	}
	s.Handler().ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, PathBatch, bytes.NewReader(body)))
	var figures bytes.Buffer
	set.WritePrometheus(&figures)
	test.StrContains(t, figures.String(), `jackdawbay_replica_refused_total{reason="sender_gave_up"} 1025`)
	test.StrContains(t, figures.String(), `jackdawbay_replica_refused_total{reason="too_many_writes_wait"} 1`)
}
