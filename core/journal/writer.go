package journal

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// LSN is the sequence number of an entry within one incarnation, starting at 1.
type LSN uint64

// ErrFenced is returned once another daemon has sealed the journal of the incarnation.
var ErrFenced = errors.New("journal is sealed by another daemon")

// ErrBacklogFull is returned if an append would exceed the limit of bytes that are not stored yet.
var ErrBacklogFull = errors.New("journal backlog is full")

// WriterConfig is the configuration of a Writer.
type WriterConfig struct {
	MaxBacklogBytes int           // Appends that exceed this backlog are rejected.
	MinInterval     time.Duration // Min interval between the starts of two flushes, used while the platform is fast.
	MaxInterval     time.Duration // Max interval when the platform is slow or limits writes.

	WriteRate    float64       // Creates per second, including retries; zero means no limit. See WriteRatePerDaemon.
	WriteBurst   int           // Creates in a burst that do not wait for the rate; at least 1.
	LazyInterval time.Duration // Interval between flushes while no caller waits for an entry.
}

// DefaultWriterConfig returns the default configuration of a daemon.
func DefaultWriterConfig() WriterConfig {
	return WriterConfig{
		MaxBacklogBytes: 64 << 20,
		MinInterval:     2 * time.Millisecond,
		MaxInterval:     time.Second,
		WriteBurst:      8,
		LazyInterval:    100 * time.Millisecond,
	}
}

type pendingFrame struct {
	frame Frame
	size  int
	lsn   LSN // Set on the last frame of an entry, otherwise zero.
}

// Writer batches entries into segments. At most one flush is in flight. The writer does no I/O and is not safe for
// concurrent use.
type Writer struct {
	incarnation string
	cfg         WriterConfig

	pendingFrames []pendingFrame
	backlogBytes  int // Size of pendingFrames and inFlight.

	inFlight       *Segment
	inFlightBytes  int
	inFlightLSN    LSN
	createInFlight bool // The create of inFlight has started, and its result was not reported yet.

	bucket          tokenBucket
	urgentLSN       LSN // A caller waits for the entries up to this one.
	lastCreateStart time.Time
	interval        time.Duration
	failures        int

	nextSlot      uint64 // Slot of the segment in flight, or of the next one.
	appendedLSN   LSN
	durableLSN    LSN
	appendedBytes int64 // Total size of all appended entries.
	fenced        bool
}

// NewWriter returns a writer for the journal of a new incarnation.
func NewWriter(incarnation string, cfg WriterConfig) *Writer {
	return &Writer{
		incarnation: incarnation,
		cfg:         cfg,
		nextSlot:    1,
		interval:    cfg.MinInterval,
		bucket:      newTokenBucket(cfg.WriteRate, cfg.WriteBurst),
	}
}

// Append queues an entry and returns its LSN. Intent and Handover entries are urgent, because a caller waits for them.
func (w *Writer) Append(e Entry) (LSN, error) { return w.AppendAll(e) }

// AppendAll queues all entries or none, and returns the LSN of the last one. It returns ErrFenced or ErrBacklogFull if
// the entries cannot be queued.
func (w *Writer) AppendAll(entries ...Entry) (LSN, error) {
	if w.fenced {
		return 0, ErrFenced
	}
	lsn, total := w.appendedLSN, 0
	var frames []pendingFrame
	for _, e := range entries {
		entryFrames, sizes, err := encodeFrames(e)
		if err != nil {
			return 0, err
		}
		lsn++
		for i, f := range entryFrames {
			frames = append(frames, pendingFrame{frame: f, size: sizes[i]})
			total += sizes[i]
		}
		frames[len(frames)-1].lsn = lsn
	}
	if w.backlogBytes+total > w.cfg.MaxBacklogBytes {
		return 0, ErrBacklogFull
	}
	w.pendingFrames = append(w.pendingFrames, frames...)
	w.backlogBytes += total
	w.appendedBytes += int64(total)
	w.appendedLSN = lsn
	for _, e := range entries {
		if e.Intent != nil || e.Handover != nil {
			w.RequestFlush()
		}
	}
	return lsn, nil
}

// RequestFlush marks all entries so far as urgent, because a caller waits for them. They are flushed as soon as the
// interval and the write rate allow.
func (w *Writer) RequestFlush() { w.urgentLSN = w.appendedLSN }

// NextSegment returns the segment to create now, if there is one. It then returns no segment until CreateSucceeded,
// CreateFailed or ResolveConflict reports the result. After CreateFailed it returns the same segment again, so that a
// create whose response was lost is retried with the same FlushID.
func (w *Writer) NextSegment(now time.Time) (Segment, bool) {
	flushTime, ok := w.NextFlushTime()
	if !ok || now.Before(flushTime) {
		return Segment{}, false
	}
	if w.inFlight == nil {
		w.cutSegment()
	}
	w.bucket.takeToken(now)
	w.createInFlight = true
	w.lastCreateStart = now
	return *w.inFlight, true
}

func (w *Writer) cutSegment() {
	s := &Segment{
		Incarnation: w.incarnation,
		Slot:        w.nextSlot,
		FlushID:     fmt.Sprintf("%s/%d", w.incarnation, w.nextSlot),
	}
	size, n := segmentOverheadBytes, 0
	for _, p := range w.pendingFrames {
		if n > 0 && size+p.size > MaxSegmentBytes {
			break
		}
		s.Frames = append(s.Frames, p.frame)
		size += p.size
		n++
		if p.lsn != 0 {
			w.inFlightLSN = p.lsn
		}
	}
	// The remaining frames are not copied, because copying them for each segment would take quadratic time after an
	// outage. The memory of the cut frames is freed when the backlog is empty or the slice grows.
	if w.pendingFrames = w.pendingFrames[n:]; len(w.pendingFrames) == 0 {
		w.pendingFrames = nil
	}
	w.inFlight, w.inFlightBytes = s, size-segmentOverheadBytes
}

// NextFlushTime returns the time at which NextSegment can return a segment. It returns false if no entry is pending or
// a create is in flight. A segment waits for the flush interval and for the write rate. If no entry is urgent and the
// pending entries do not fill a segment, it waits for the lazy interval too.
func (w *Writer) NextFlushTime() (time.Time, bool) {
	if w.fenced || w.createInFlight || (w.inFlight == nil && len(w.pendingFrames) == 0) {
		return time.Time{}, false
	}
	flushTime := w.lastCreateStart.Add(w.interval)
	if w.inFlight == nil && w.canDelay() {
		flushTime = laterOf(flushTime, w.lastCreateStart.Add(w.cfg.LazyInterval))
	}
	return laterOf(flushTime, w.bucket.nextTokenTime()), true
}

func (w *Writer) canDelay() bool {
	return w.urgentLSN <= w.durableLSN && w.backlogBytes < MaxSegmentBytes
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// CreateSucceeded records that the segment in flight is stored. The interval until the next flush becomes the time that the
// create took, within the configured limits, so that slow writes result in larger batches instead of more creates.
// The call is ignored if no create is in flight: the result then belongs to an older create, which was already resolved
// by reading the slot.
func (w *Writer) CreateSucceeded(elapsed time.Duration) {
	if !w.createInFlight {
		return
	}
	w.markStored()
	w.failures = 0
	w.interval = min(max(elapsed, w.cfg.MinInterval), w.cfg.MaxInterval)
}

func (w *Writer) markStored() {
	w.backlogBytes -= w.inFlightBytes
	w.durableLSN = max(w.durableLSN, w.inFlightLSN)
	w.inFlight, w.createInFlight = nil, false
	w.nextSlot++
}

// CreateFailed records that the create failed or that its response was lost. It doubles the flush interval up to
// MaxInterval.
func (w *Writer) CreateFailed() {
	if !w.createInFlight {
		return
	}
	w.createInFlight = false
	w.failures++
	w.interval = min(max(2*w.interval, w.cfg.MinInterval), w.cfg.MaxInterval)
}

// ResolveConflict handles a create that failed because its slot contains an object, existing. It reports whether this
// writer wrote the object; otherwise it fences the writer. An object of an older slot of this writer belongs to a late
// response to a retried create, and counts as written by this writer.
func (w *Writer) ResolveConflict(existing Segment, elapsed time.Duration) bool {
	if existing.Seal != nil || existing.Incarnation != w.incarnation || existing.Slot > w.nextSlot {
		w.Fence()
		return false
	}
	if existing.Slot < w.nextSlot {
		return true
	}
	if w.inFlight == nil || existing.FlushID != w.inFlight.FlushID {
		w.Fence()
		return false
	}
	w.createInFlight = true
	w.CreateSucceeded(elapsed)
	return true
}

// Fence stops the writer permanently and discards its pending entries.
func (w *Writer) Fence() {
	w.fenced = true
	w.pendingFrames, w.inFlight, w.backlogBytes, w.createInFlight = nil, nil, 0, false
}

// IsFenced reports whether the writer was fenced.
func (w *Writer) IsFenced() bool { return w.fenced }

// DurableLSN returns the LSN up to which all entries are stored.
func (w *Writer) DurableLSN() LSN { return w.durableLSN }

// AppendedLSN returns the LSN of the last appended entry.
func (w *Writer) AppendedLSN() LSN { return w.appendedLSN }

// NextSlot returns the slot of the segment in flight, or of the next segment if none is in flight.
func (w *Writer) NextSlot() uint64 { return w.nextSlot }

// IsFailing reports whether the latest create failed, which indicates an outage of the platform.
func (w *Writer) IsFailing() bool { return w.failures > 0 }

// BacklogBytes returns the size of the entries that are not stored yet.
func (w *Writer) BacklogBytes() int { return w.backlogBytes }

// DebugString returns the state of the writer as text, for logs and tests.
func (w *Writer) DebugString() string {
	return fmt.Sprintf("slot=%d appended=%d durable=%d urgent=%d backlog=%d creating=%t in_flight=%t fenced=%t",
		w.nextSlot, w.appendedLSN, w.durableLSN, w.urgentLSN, w.backlogBytes, w.createInFlight, w.inFlight != nil, w.fenced)
}
