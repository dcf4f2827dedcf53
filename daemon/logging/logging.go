// Package logging writes structured log lines without ever blocking the work that logs: lines wait in a bounded ring, lines
// of one message are limited in rate, and what is left out is counted in a line of its own.
package logging

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Bounds of the log.
const (
	ringLines      = 2048                   // Lines that wait for the output.
	linesPerSecond = 400                    // Lines of one message a second.
	burstLines     = 800                    // Lines of one message at once.
	maxMessages    = 512                    // Messages with a limit of their own; further ones share one.
	flushInterval  = 100 * time.Millisecond // Longest time that a line waits.
	reportInterval = 5 * time.Second        // Time between two lines that count what was left out.
	flushBytes     = 32 << 10               // Lines are written together up to this size.
)

// Writer is an io.Writer that hands each line to a ring. One goroutine, Run, empties it.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
}

// NewWriter returns a writer in front of out.
func NewWriter(out io.Writer) *Writer {
	return &Writer{out: out, lines: make(chan []byte, ringLines)}
}

// Write implements io.Writer. It never blocks; a full ring drops the line.
func (w *Writer) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case w.lines <- line:
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Run writes lines until the context ends, and then what is left in the ring.
func (w *Writer) Run(ctx context.Context) error {
	var buf []byte
	tick := time.NewTicker(flushInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			w.Drain()
			return ctx.Err()
		case <-tick.C:
			buf = w.collect(buf[:0])
			if len(buf) > 0 {
				_, _ = w.out.Write(buf) // There is no second place to report a failed log.
			}
		}
	}
}

func (w *Writer) collect(buf []byte) []byte {
	for len(buf) < flushBytes {
		select {
		case line := <-w.lines:
			buf = append(buf, line...)
		default:
			return buf
		}
	}
	return buf
}

// Drain writes what is left in the ring.
func (w *Writer) Drain() {
	for {
		buf := w.collect(nil)
		if len(buf) == 0 {
			return
		}
		_, _ = w.out.Write(buf) // There is no second place to report a failed log.
	}
}

// limits are the limiters by message, shared by all handlers that derive from one.
type limits struct {
	mu       sync.Mutex
	byName   map[string]*rate.Limiter
	left     map[string]int64
	reported time.Time
	writer   *Writer
}

// Handler limits the rate of each message.
type Handler struct {
	inner  slog.Handler
	limits *limits
}

// NewHandler returns a text handler, one line of key=value pairs for each event, in front of the writer.
func NewHandler(w *Writer, level slog.Leveler) *Handler {
	inner := slog.NewTextHandler(w, &slog.HandlerOptions{Level: level, ReplaceAttr: ShortErrors})
	return &Handler{inner: inner, limits: &limits{byName: map[string]*rate.Limiter{}, left: map[string]int64{}, writer: w}}
}

// ShortErrors logs the message of an error without its stack, so that an event stays on one line.
func ShortErrors(_ []string, a slog.Attr) slog.Attr {
	if err, ok := a.Value.Any().(error); ok {
		return slog.String(a.Key, err.Error())
	}
	return a
}

// Enabled implements slog.Handler.
func (h *Handler) Enabled(ctx context.Context, l slog.Level) bool { return h.inner.Enabled(ctx, l) }

// WithAttrs implements slog.Handler.
func (h *Handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Handler{inner: h.inner.WithAttrs(attrs), limits: h.limits}
}

// WithGroup implements slog.Handler.
func (h *Handler) WithGroup(name string) slog.Handler {
	return &Handler{inner: h.inner.WithGroup(name), limits: h.limits}
}

// Handle implements slog.Handler.
func (h *Handler) Handle(ctx context.Context, r slog.Record) error {
	ok, report := h.limits.admit(r.Message, r.Time)
	for message, n := range report {
		line := slog.NewRecord(r.Time, slog.LevelWarn, "lines left out", 0)
		line.AddAttrs(slog.String("message", message), slog.Int64("left_out", n))
		if err := h.inner.Handle(ctx, line); err != nil {
			return err
		}
	}
	if !ok {
		return nil
	}
	return h.inner.Handle(ctx, r)
}

func (l *limits) admit(message string, now time.Time) (ok bool, report map[string]int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	limiter, known := l.byName[message]
	if !known {
		if len(l.byName) >= maxMessages {
			message = ""
		}
		limiter, known = l.byName[message]
	}
	if !known {
		limiter = rate.NewLimiter(linesPerSecond, burstLines)
		l.byName[message] = limiter
	}
	ok = limiter.AllowN(now, 1)
	if !ok {
		l.left[message]++
	}
	if now.Sub(l.reported) < reportInterval {
		return ok, nil
	}
	l.reported = now
	if n := l.writer.dropped.Swap(0); n > 0 {
		l.left["ring full"] += n
	}
	if len(l.left) > 0 {
		report, l.left = l.left, map[string]int64{}
	}
	return ok, report
}
