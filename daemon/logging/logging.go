// Package logging writes structured log lines without blocking the caller. Lines wait in a bounded queue. The rate of lines
// is limited for each message, and further for each source that an attribute names. Omitted lines are counted; the count is
// logged in a separate line, or with the next line about the source.
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

// Limits of the log.
const (
	maxQueuedLines    = 2048                   // Max lines that wait for the output.
	maxLinesPerSecond = 400                    // Max rate of lines with the same message.
	maxBurstLines     = 800                    // Max burst of lines with the same message.
	maxMessages       = 512                    // Max messages with a separate limit; all others share one.
	sourceInterval    = time.Second            // Min time between two lines with the same message and source.
	maxSources        = 512                    // Max sources with a separate limit, more than the daemons of the target deployment; all others share one.
	flushInterval     = 100 * time.Millisecond // Interval of writes to the output.
	reportInterval    = 5 * time.Second        // Min time between two reports of omitted lines.
	maxFlushBytes     = 32 << 10               // Target size of one write of several lines.
)

// Writer is an io.Writer that queues each line. Run writes the queued lines to the output.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
}

// NewWriter returns a writer with the output out.
func NewWriter(out io.Writer) *Writer {
	return &Writer{out: out, lines: make(chan []byte, maxQueuedLines)}
}

// Write implements io.Writer. It never blocks; if the queue is full, it drops the line.
func (w *Writer) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case w.lines <- line:
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Run writes queued lines to the output until the context ends, and then the remaining lines of the queue.
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
				_, _ = w.out.Write(buf) // There is no other output for the error.
			}
		}
	}
}

// collect appends queued lines to buf until the queue is empty or buf has reached maxFlushBytes.
func (w *Writer) collect(buf []byte) []byte {
	for len(buf) < maxFlushBytes {
		select {
		case line := <-w.lines:
			buf = append(buf, line...)
		default:
			return buf
		}
	}
	return buf
}

// FlushQueue writes all queued lines to the output.
func (w *Writer) FlushQueue() {
	for {
		buf := w.collect(nil)
		if len(buf) == 0 {
			return
		}
		_, _ = w.out.Write(buf) // There is no other output for the error.
	}
}

// limiters contains the rate limiters by message and by source. All handlers derived from one handler share it.
type limiters struct {
	mu         sync.Mutex
	byMessage  map[string]*rate.Limiter
	bySource   map[sourceKey]*sourceLimit
	omitted    map[string]int64 // Lines omitted since the last report, by message.
	lastReport time.Time
	lastPurge  time.Time
	writer     *Writer
}

// source is an attribute value by which the line is rate-limited. The key includes the details.
type source struct{ display, key string }

// LogValue implements slog.LogValuer.
func (s source) LogValue() slog.Value { return slog.StringValue(s.display) }

// LimitPerSource returns an attribute that limits the lines with its message to one per second for each value, or for each
// combination of value and detail. The next line has the number of omitted lines as attribute left_out.
func LimitPerSource(name, value string, detail ...string) slog.Attr {
	return slog.Any(name, source{display: value, key: strings.Join(append(detail, value), "\x00")})
}

// sourceKey identifies a source with respect to one message. The zero value is shared by the sources above maxSources.
type sourceKey struct{ message, key string }

// sourceLimit is the state of the rate limit of a source.
type sourceLimit struct {
	nextAllowed time.Time // Earliest time of the next line.
	omitted     int64     // Lines omitted since the last one.
}

// Handler is a slog.Handler that limits the rate of lines for each message and source.
type Handler struct {
	inner    slog.Handler
	limiters *limiters
}

// NewHandler returns a handler that writes each event to the writer as a line of key=value pairs.
func NewHandler(w *Writer, level slog.Leveler) *Handler {
	inner := slog.NewTextHandler(w, &slog.HandlerOptions{Level: level, ReplaceAttr: OmitErrorStack})
	return &Handler{inner: inner, limiters: &limiters{
		byMessage: map[string]*rate.Limiter{}, bySource: map[sourceKey]*sourceLimit{}, omitted: map[string]int64{}, writer: w,
	}}
}

// OmitErrorStack replaces an error attribute by the message of the error without its stack, so that an event is one line.
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
	return &Handler{inner: h.inner.WithAttrs(attrs), limiters: h.limiters}
}

// WithGroup implements slog.Handler.
func (h *Handler) WithGroup(name string) slog.Handler {
	return &Handler{inner: h.inner.WithGroup(name), limiters: h.limiters}
}

// Handle implements slog.Handler.
func (h *Handler) Handle(ctx context.Context, r slog.Record) error {
	var src source
	r.Attrs(func(a slog.Attr) bool {
		if a.Value.Kind() == slog.KindLogValuer {
			src, _ = a.Value.Any().(source)
		}
		return src.key == ""
	})
	ok, omittedBefore, report := h.limiters.admit(r.Message, src.key, r.Time)
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
	if omittedBefore > 0 {
		r = r.Clone()
		r.AddAttrs(slog.Int64("left_out", omittedBefore))
	}
	return h.inner.Handle(ctx, r)
}

// admit decides whether a line is written. It returns the number of omitted lines about its source since the last one, and
// once per reportInterval a report of all omitted lines by message.
func (l *limiters) admit(message, sourceID string, now time.Time) (ok bool, omittedBefore int64, report map[string]int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ok = true
	if sourceID != "" {
		ok, omittedBefore = l.admitSource(sourceKey{message, sourceID}, now)
	}
	if ok {
		if ok = l.admitMessage(message, now); !ok && omittedBefore > 0 {
			l.omitted[message] += omittedBefore
		}
	}
	if now.Sub(l.lastReport) < reportInterval {
		return ok, omittedBefore, nil
	}
	l.lastReport = now
	l.lastPurge = time.Time{}
	if n := l.writer.dropped.Swap(0); n > 0 {
		l.omitted["log queue full"] += n
	}
	l.purgeSources(now)
	if len(l.omitted) > 0 {
		report, l.omitted = l.omitted, map[string]int64{}
	}
	return ok, omittedBefore, report
}

// admitSource decides whether a line about a source is written. If so, it returns the number of omitted lines since the
// last one; else it counts the line.
func (l *limiters) admitSource(key sourceKey, now time.Time) (ok bool, omittedBefore int64) {
	s, found := l.bySource[key]
	if !found && len(l.bySource) >= maxSources {
		l.purgeSources(now)
	}
	if !found && len(l.bySource) >= maxSources {
		key = sourceKey{}
		s, found = l.bySource[key]
	}
	if !found {
		s = &sourceLimit{}
		l.bySource[key] = s
	}
	if now.Before(s.nextAllowed) {
		s.omitted++
		return false, 0
	}
	omittedBefore = s.omitted
	*s = sourceLimit{nextAllowed: now.Add(sourceInterval)}
	return true, omittedBefore
}

// purgeSources removes the sources whose next line would be admitted, and adds their omitted lines to the count of the
// message. It does so at most once per sourceInterval, so that many new sources do not cause a purge for each line.
func (l *limiters) purgeSources(now time.Time) {
	if now.Sub(l.lastPurge) < sourceInterval {
		return
	}
	l.lastPurge = now
	for key, s := range l.bySource {
		if now.Before(s.nextAllowed) {
			continue
		}
		if s.omitted > 0 {
			l.omitted[key.message] += s.omitted
		}
		delete(l.bySource, key)
	}
}

// admitMessage decides whether a line with a message is written. If not, it counts the line.
func (l *limiters) admitMessage(message string, now time.Time) bool {
	limiter, found := l.byMessage[message]
	if !found {
		if len(l.byMessage) >= maxMessages {
			message = ""
		}
		limiter, found = l.byMessage[message]
	}
	if !found {
		limiter = rate.NewLimiter(maxLinesPerSecond, maxBurstLines)
		l.byMessage[message] = limiter
	}
	if limiter.AllowN(now, 1) {
		return true
	}
	l.omitted[message]++
	return false
}
