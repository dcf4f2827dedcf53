package gateway

import (
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"jackdawbay.dev/core/memory"
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
	memory  *memory.Holder
	control *http.ResponseController
	armedAt time.Time
	isSlow  bool // The caller has not read in time.

	mu      sync.Mutex
	evicted bool // The caller has to give way to others, as memory or connections are short.
}

// pastDeadline ends pending writes.
var pastDeadline = time.Unix(1, 0)

// limitWrites applies the write timeout to a response. net/http ends the context of the request when a write fails, so that no
// upstream continues the response.
func (g *Gateway) limitWrites(w http.ResponseWriter, r *http.Request, held *memory.Holder) http.ResponseWriter {
	if g.cfg.WriteTimeout <= 0 {
		return w
	}
	t := &timedWriter{ResponseWriter: w, g: g, r: r, memory: held, control: http.NewResponseController(w)}
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
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.evicted {
		_ = t.control.SetWriteDeadline(now.Add(t.g.cfg.WriteTimeout)) // Fails only without a connection, in tests.
	}
}

func (t *timedWriter) evict() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.evicted = true
	_ = t.control.SetWriteDeadline(pastDeadline) // Fails only without a connection, in tests.
}

// Write implements io.Writer.
func (t *timedWriter) Write(b []byte) (int, error) {
	written := 0
	for {
		now := time.Now()
		t.arm(now)
		t.memory.StartSending(now, t.evict)
		n, err := t.ResponseWriter.Write(b[written:min(len(b), written+timedWriteBytes)])
		t.memory.StopSending()
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
	now := time.Now()
	t.arm(now)
	t.memory.StartSending(now, t.evict)
	err := t.control.Flush()
	t.memory.StopSending()
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
