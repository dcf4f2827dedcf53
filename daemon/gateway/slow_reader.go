package gateway

import (
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"jackdawbay.dev/daemon/logging"
)

// timedWriteBytes is the size of the part of a response that a caller has to take within the write timeout.
const timedWriteBytes = 256 << 10

// timedWriter disconnects a caller that does not read its response. Without it, the request, its buffers and its connection to the
// upstream would be held as long as the caller keeps the connection open.
type timedWriter struct {
	http.ResponseWriter
	g       *Gateway
	r       *http.Request
	control *http.ResponseController
	armedAt time.Time
	isSlow  bool // The caller has not read in time.
}

// limitWrites applies the write timeout to a response. net/http ends the context of the request when a write fails, so that no
// upstream continues the response.
func (g *Gateway) limitWrites(w http.ResponseWriter, r *http.Request) http.ResponseWriter {
	if g.cfg.WriteTimeout <= 0 {
		return w
	}
	t := &timedWriter{ResponseWriter: w, g: g, r: r, control: http.NewResponseController(w)}
	t.arm(time.Now()) // Also replaces the deadline of the previous request on the connection.
	return t
}

// Unwrap is used by http.ResponseController.
func (t *timedWriter) Unwrap() http.ResponseWriter { return t.ResponseWriter }

// arm extends the write deadline of the connection, at most eight times during the timeout.
func (t *timedWriter) arm(now time.Time) {
	if now.Sub(t.armedAt) < t.g.cfg.WriteTimeout/8 {
		return
	}
	t.armedAt = now
	_ = t.control.SetWriteDeadline(now.Add(t.g.cfg.WriteTimeout)) // Fails only without a connection, in tests.
}

// Write implements io.Writer.
func (t *timedWriter) Write(b []byte) (int, error) {
	written := 0
	for {
		t.arm(time.Now())
		n, err := t.ResponseWriter.Write(b[written:min(len(b), written+timedWriteBytes)])
		written += n
		if err != nil {
			t.report(err)
			return written, err
		}
		if written == len(b) {
			return written, nil
		}
	}
}

// FlushError implements the interface that http.ResponseController uses.
func (t *timedWriter) FlushError() error {
	t.arm(time.Now())
	err := t.control.Flush()
	if err != nil {
		t.report(err)
	}
	return err
}

// report counts and logs a caller that does not read.
func (t *timedWriter) report(err error) {
	if t.isSlow || !errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	t.isSlow = true
	t.g.stats.slowReaders.Inc()
	t.g.cfg.Log.Warn("caller does not read its response", logging.LimitPerSource("reason", "write_timeout"), "caller", t.r.RemoteAddr)
}
