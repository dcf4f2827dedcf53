// Package intake bounds what a process holds for the clients of a listener: it reads request bodies in pieces within the memory
// account of the process, ends bodies that make no progress, and limits the number of connections.
package intake

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"jackdawbay.dev/core/memory"
	"jackdawbay.dev/daemon/logging"
)

// Limits of the reading of bodies.
const (
	// firstPieceBytes is the size of the first piece of a body of unknown length. Most bodies fit into it.
	firstPieceBytes = 4 << 10
	// pieceBytes is the size of the other pieces. It is the largest size class of the Go allocator, so that pieces neither
	// fragment the heap nor need memory of their own for the allocator.
	pieceBytes = 32 << 10
	// maxSpareBytes is the unused capacity with which a body may be kept. A cache that counts the lengths of small bodies would
	// otherwise hold many times its limit.
	maxSpareBytes = 256
	// maxWait is the time that a body waits for memory of clients that were told to give way.
	maxWait = 250 * time.Millisecond
	// maxLingerBytes and lingerTime bound the reading after a rejection. Without it, the system resets the connection while
	// the client is still sending, and the client may not see the response.
	maxLingerBytes = 256 << 10
	lingerTime     = 300 * time.Millisecond
	// maxDrainBytes is the announced size up to which an unread body is read by net/http, so that the connection can be kept.
	maxDrainBytes = 64 << 10
	// drainTimeout bounds that reading.
	drainTimeout = 2 * time.Second
)

// Errors of Read. The request has not run after any of them.
var (
	ErrTooLarge   = errors.New("body is over the limit")
	ErrNoMemory   = errors.New("no memory for the body")
	ErrGaveWay    = errors.New("client stopped sending while memory was short")
	ErrNoProgress = errors.New("client stopped sending")
)

// pastDeadline ends pending reads of a connection.
var pastDeadline = time.Unix(1, 0)

// Config configures an Intake.
type Config struct {
	Account     *memory.Account // Nil for no limit.
	BodyTimeout time.Duration   // Time without a byte of a body after which it is ended; zero for no limit.
	Log         *slog.Logger
	Metrics     *metrics.Set
}

// Intake reads bodies of requests. It is safe for concurrent use. A nil Intake has no limits.
type Intake struct{ cfg Config }

// New returns an intake and registers its metrics.
func New(cfg Config) *Intake {
	in := &Intake{cfg: cfg}
	cfg.Metrics.NewGauge("jackdawbay_memory_reserved_bytes", func() float64 { return float64(cfg.Account.Usage().Bytes) })
	cfg.Metrics.NewGauge("jackdawbay_bodies_arriving", func() float64 { return float64(cfg.Account.Usage().Receiving) })
	return in
}

// Open adds a holder to the memory account.
func (in *Intake) Open() *memory.Holder {
	if in == nil {
		return nil
	}
	return in.cfg.Account.Open()
}

// arrival is a body that is being read.
type arrival struct {
	control *http.ResponseController
	timeout time.Duration
	conn    *conn  // Nil if the listener is not attached.
	restore func() // Restores the receive buffer of the connection; nil if it was not enlarged.

	mu      sync.Mutex
	evicted bool
	armedAt time.Time
}

// arm extends the read deadline of the connection, at most eight times during the timeout.
func (a *arrival) arm(now time.Time) {
	if a.timeout <= 0 || now.Sub(a.armedAt) < a.timeout/8 {
		return
	}
	a.armedAt = now
	a.setDeadline(now.Add(a.timeout))
}

// enlarge gives the connection a receive buffer for a large body, if there is memory for it.
func (a *arrival) enlarge(now time.Time, h *memory.Holder) {
	if a.conn == nil || a.restore != nil {
		return
	}
	reserve := func(n int64) memory.Decision { return h.Reserve(now, n) }
	if restore, ok := a.conn.enlarge(syscall.SO_RCVBUF, a.conn.buffers.ReceiveBytes, reserve, h); ok {
		a.restore = restore
	}
}

func (a *arrival) setDeadline(deadline time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.evicted {
		_ = a.control.SetReadDeadline(deadline) // Fails only without a connection, in tests.
	}
}

func (a *arrival) evict() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.evicted = true
	_ = a.control.SetReadDeadline(pastDeadline) // Fails only without a connection, in tests.
}

// Read reads the body of a request in pieces and reserves their memory as the bytes arrive. The memory stays reserved if it
// succeeds; the caller of Read closes the holder in any case. After an error the body has not been read to its end.
func (in *Intake) Read(w http.ResponseWriter, r *http.Request, h *memory.Holder, limit int64) ([][]byte, error) {
	if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	if r.ContentLength > limit {
		in.report(r, ErrTooLarge, 0)
		return nil, ErrTooLarge
	}
	a := &arrival{control: http.NewResponseController(w), conn: connOf(r.Context())}
	if in != nil {
		a.timeout = in.cfg.BodyTimeout
	}
	now := time.Now()
	h.StartReceiving(now, a.evict)
	a.arm(now)
	pieces, received, err := in.readPieces(a, r, h, limit)
	if a.restore != nil {
		a.restore()
	}
	if h.StopReceiving() {
		err = ErrGaveWay
	}
	if err == nil {
		a.setDeadline(time.Time{}) // A deadline that stays would end the context of the request.
		return pieces, nil
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = ErrNoProgress
	}
	in.report(r, err, received)
	return nil, err
}

func (in *Intake) readPieces(a *arrival, r *http.Request, h *memory.Holder, limit int64) (pieces [][]byte, received int64, err error) {
	size := int64(firstPieceBytes)
	if r.ContentLength > 0 {
		size = min(r.ContentLength, pieceBytes)
	}
	var piece []byte
	for {
		if len(piece) == cap(piece) {
			if piece != nil {
				pieces = append(pieces, piece)
				size = pieceBytes
				if r.ContentLength > 0 {
					size = min(r.ContentLength-received, pieceBytes)
				}
			}
			if !Reserve(r.Context(), h, size) {
				return nil, received, ErrNoMemory
			}
			piece = make([]byte, 0, size)
		}
		n, err := r.Body.Read(piece[len(piece):cap(piece)])
		piece = piece[:len(piece)+n]
		if received += int64(n); received > limit {
			return nil, received, ErrTooLarge
		}
		if errors.Is(err, io.EOF) {
			return append(pieces, piece), received, nil
		}
		if err != nil {
			return nil, received, err
		}
		now := time.Now()
		h.Received(now, int64(n))
		a.arm(now)
		if received > largeBytes {
			a.enlarge(now, h)
		}
	}
}

// Reserve reserves memory. If others have to give way, it waits for them.
func Reserve(ctx context.Context, h *memory.Holder, n int64) bool {
	return await(ctx, h, func() memory.Decision { return h.Reserve(time.Now(), n) })
}

// ReserveResponse reserves memory for a response. If others have to give way, it waits for them.
func ReserveResponse(ctx context.Context, h *memory.Holder, n int64) bool {
	return await(ctx, h, func() memory.Decision { return h.ReserveResponse(time.Now(), n) })
}

func await(ctx context.Context, h *memory.Holder, decide func() memory.Decision) bool {
	decision := decide()
	if decision != memory.Wait {
		return decision == memory.Granted
	}
	timeout := time.NewTimer(maxWait)
	defer timeout.Stop()
	for {
		released := h.Account().Released() // Before the decision, so that no release is missed.
		if decision = decide(); decision != memory.Wait {
			return decision == memory.Granted
		}
		select {
		case <-released:
		case <-timeout.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// Join returns the pieces of a body in one piece that has little spare capacity, so that it can be kept. Where that needs a copy, its memory is reserved as well until the pieces are
// dropped. It reports false if there is no memory.
func (in *Intake) Join(ctx context.Context, h *memory.Holder, pieces [][]byte) ([]byte, bool) {
	if len(pieces) == 0 {
		return nil, true
	}
	if p := pieces[0]; len(pieces) == 1 {
		if cap(p)-len(p) > maxSpareBytes {
			p = bytes.Clone(p)
		}
		return p, true
	}
	var length, held int64
	for _, p := range pieces {
		length, held = length+int64(len(p)), held+int64(cap(p))
	}
	if !Reserve(ctx, h, length) {
		in.count(ErrNoMemory)
		return nil, false
	}
	joined := make([]byte, 0, length)
	for _, p := range pieces {
		joined = append(joined, p...)
	}
	h.Release(held)
	return joined, true
}

// PrepareRejection is called before the response to a request whose body has not been read. A small body is read by net/http, for
// a bounded time; for another one, the response closes the connection.
func (in *Intake) PrepareRejection(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.ContentLength == 0:
	case r.ContentLength > 0 && r.ContentLength <= maxDrainBytes && w.Header().Get("Connection") == "":
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(drainTimeout)) // Fails only without a connection, in tests.
	default:
		w.Header().Set("Connection", "close")
	}
}

// Linger is called after that response. It gives the client time to read the response before the connection ends.
func (in *Intake) Linger(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength == 0 || w.Header().Get("Connection") != "close" {
		return
	}
	control := http.NewResponseController(w)
	if control.Flush() != nil || control.SetReadDeadline(time.Now().Add(lingerTime)) != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, r.Body, maxLingerBytes) // The connection ends in any case.
	_ = control.SetReadDeadline(pastDeadline)           // net/http does not wait for the rest of the body.
}

// reason returns the value of the label of an error.
func reason(err error) string {
	switch {
	case errors.Is(err, ErrTooLarge):
		return "too_large"
	case errors.Is(err, ErrNoMemory):
		return "no_memory"
	case errors.Is(err, ErrGaveWay):
		return "gave_way"
	case errors.Is(err, ErrNoProgress):
		return "no_progress"
	}
	return "broken"
}

func (in *Intake) count(err error) {
	if in != nil {
		in.cfg.Metrics.GetOrCreateCounter(`jackdawbay_bodies_rejected_total{reason="` + reason(err) + `"}`).Inc()
	}
}

// report counts a body that was not taken and logs it, for each reason at most once per second.
func (in *Intake) report(r *http.Request, err error, received int64) {
	if in == nil {
		return
	}
	in.count(err)
	if reason(err) == "broken" {
		return // The client has disconnected.
	}
	in.cfg.Log.Warn("body rejected", logging.LimitPerSource("reason", reason(err)), "caller", r.RemoteAddr, "path", r.URL.Path, "received", received,
		"announced", r.ContentLength, "reserved", in.cfg.Account.Usage().Bytes)
}
