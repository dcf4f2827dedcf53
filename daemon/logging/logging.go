// Package logging writes structured log lines without ever blocking the work that logs: lines wait in a bounded ring, lines
// of one message are limited in rate, those about one source further, and what is left out is counted in a line of its own or
// in the next one about the source.
package logging

import (
	"context"
	"io"
	"log/slog"
	"strings"
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
	sourceInterval = time.Second            // Time between two lines of one message about one source.
	maxSources     = 512                    // Sources with a limit of their own, above the daemons of the target; further ones share one.
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
			w.FlushQueue()
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
func (w *Writer) FlushQueue() {
	for {
		buf := w.collect(nil)
		if len(buf) == 0 {
			return
		}
		_, _ = w.out.Write(buf) // There is no second place to report a failed log.
	}
}

// limits are the limiters by message and by source, shared by all handlers that derive from one.
type limits struct {
	mu       sync.Mutex
	byName   map[string]*rate.Limiter
	bySource map[sourceKey]*sourceLimit
	left     map[string]int64
	reported time.Time
	swept    time.Time // When the sources were swept last.
	writer   *Writer
}

// source is the value of an attribute that limits its line.
type source struct{ shown, key string }

// LogValue implements slog.LogValuer.
func (s source) LogValue() slog.Value { return slog.StringValue(s.shown) }

// LimitPerSource returns an attribute that limits lines of its message to one a second for each value, or for each value and
// detail. The next line has the number of those that were left out as left_out.
func LimitPerSource(name, value string, detail ...string) slog.Attr {
	return slog.Any(name, source{shown: value, key: strings.Join(append(detail, value), "\x00")})
}

type sourceKey struct{ message, key string }

type sourceLimit struct {
	next time.Time // Earliest time of the next line.
	left int64     // Lines left out since the last one.
}

// Handler limits the rate of each message.
type Handler struct {
	inner  slog.Handler
	limits *limits
}

// NewHandler returns a text handler, one line of key=value pairs for each event, in front of the writer.
func NewHandler(w *Writer, level slog.Leveler) *Handler {
	inner := slog.NewTextHandler(w, &slog.HandlerOptions{Level: level, ReplaceAttr: OmitErrorStack})
	return &Handler{inner: inner, limits: &limits{
		byName: map[string]*rate.Limiter{}, bySource: map[sourceKey]*sourceLimit{}, left: map[string]int64{}, writer: w,
	}}
}

// OmitErrorStack logs the message of an error without its stack, so that an event stays on one line.
func OmitErrorStack(_ []string, a slog.Attr) slog.Attr {
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
	var about source
	r.Attrs(func(a slog.Attr) bool {
		if a.Value.Kind() == slog.KindLogValuer {
			about, _ = a.Value.Any().(source)
		}
		return about.key == ""
	})
	ok, before, report := h.limits.admit(r.Message, about.key, r.Time)
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
	if before > 0 {
		r = r.Clone()
		r.AddAttrs(slog.Int64("left_out", before))
	}
	return h.inner.Handle(ctx, r)
}

// admit decides about a line. Before is the number of lines about its source that were left out since the last one, report
// the lines that were left out by message, once in a reportInterval.
func (l *limits) admit(message, about string, now time.Time) (ok bool, before int64, report map[string]int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ok = true
	if about != "" {
		ok, before = l.admitSource(sourceKey{message, about}, now)
	}
	if ok {
		if ok = l.admitMessage(message, now); !ok && before > 0 {
			l.left[message] += before
		}
	}
	if now.Sub(l.reported) < reportInterval {
		return ok, before, nil
	}
	l.reported = now
	l.swept = time.Time{}
	if n := l.writer.dropped.Swap(0); n > 0 {
		l.left["ring full"] += n
	}
	l.sweep(now)
	if len(l.left) > 0 {
		report, l.left = l.left, map[string]int64{}
	}
	return ok, before, report
}

func (l *limits) admitSource(key sourceKey, now time.Time) (ok bool, before int64) {
	s, known := l.bySource[key]
	if !known && len(l.bySource) >= maxSources {
		l.sweep(now)
	}
	if !known && len(l.bySource) >= maxSources {
		key = sourceKey{}
		s, known = l.bySource[key]
	}
	if !known {
		s = &sourceLimit{}
		l.bySource[key] = s
	}
	if now.Before(s.next) {
		s.left++
		return false, 0
	}
	before = s.left
	*s = sourceLimit{next: now.Add(sourceInterval)}
	return true, before
}

// sweep forgets the sources whose next line would be admitted, and enters what was left out about them under the message. It
// does so once in a sourceInterval, so that many new sources do not make each line cost a sweep.
func (l *limits) sweep(now time.Time) {
	if now.Sub(l.swept) < sourceInterval {
		return
	}
	l.swept = now
	for key, s := range l.bySource {
		if now.Before(s.next) {
			continue
		}
		if s.left > 0 {
			l.left[key.message] += s.left
		}
		delete(l.bySource, key)
	}
}

// admitMessage counts a line that it does not admit.
func (l *limits) admitMessage(message string, now time.Time) bool {
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
	if limiter.AllowN(now, 1) {
		return true
	}
	l.left[message]++
	return false
}
