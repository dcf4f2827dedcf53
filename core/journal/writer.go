package journal

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// LSN numbers the entries of one incarnation in order, from 1.
type LSN uint64

// ErrFenced is returned after the journal of the incarnation was sealed by another daemon.
var ErrFenced = errors.New("journal is sealed by another daemon")

// ErrBacklogFull is returned when too many bytes wait for the platform.
var ErrBacklogFull = errors.New("journal backlog is full")

// WriterConfig bounds a Writer.
type WriterConfig struct {
	MaxBacklogBytes int           // Entries beyond this are refused.
	MinInterval     time.Duration // Time between the starts of two flushes while the platform is fast.
	MaxInterval     time.Duration // Upper bound of the interval when the platform is slow or limits writes.

	WriteRate    float64       // Creates a second, repeats included; zero sets no limit. See WriteRatePerDaemon.
	WriteBurst   int           // Creates that may follow each other without waiting for the rate; at least 1.
	LazyInterval time.Duration // Time from one flush to the next while no caller waits for an entry.
}

// DefaultWriterConfig returns the bounds that a daemon uses without settings.
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
	lsn   LSN // Set on the last frame of an entry, zero on the others.
}

// Writer batches entries into segments. It has one flush in flight at a time and does no I/O. It is not safe for
// concurrent use.
type Writer struct {
	incarnation string
	cfg         WriterConfig

	pending []pendingFrame
	bytes   int // Bytes of pending and inFlight frames.

	inFlight      *Segment
	inFlightBytes int
	inFlightLSN   LSN
	creating      bool // The create of inFlight was started and its result was not reported.

	bucket    bucket
	urgent    LSN // A caller waits for this entry and those before it.
	lastStart time.Time
	interval  time.Duration
	failures  int

	slot     uint64 // Slot of the next new segment.
	appended LSN
	durable  LSN
	total    int64 // Bytes of all entries ever appended.
	fenced   bool
}

// NewWriter starts the journal of a new incarnation.
func NewWriter(incarnation string, cfg WriterConfig) *Writer {
	return &Writer{
		incarnation: incarnation,
		cfg:         cfg,
		slot:        1,
		interval:    cfg.MinInterval,
		bucket:      newBucket(cfg.WriteRate, cfg.WriteBurst),
	}
}

// Append queues an entry and returns its number. An Intent and a Handover are urgent, because somebody waits for them.
func (w *Writer) Append(e Entry) (LSN, error) { return w.AppendAll(e) }

// AppendAll queues all entries or none, and returns the number of the last one.
func (w *Writer) AppendAll(entries ...Entry) (LSN, error) {
	if w.fenced {
		return 0, ErrFenced
	}
	lsn, total := w.appended, 0
	var list []pendingFrame
	for _, e := range entries {
		framed, sizes, err := frames(e)
		if err != nil {
			return 0, err
		}
		lsn++
		for i, f := range framed {
			list = append(list, pendingFrame{frame: f, size: sizes[i]})
			total += sizes[i]
		}
		list[len(list)-1].lsn = lsn
	}
	if w.bytes+total > w.cfg.MaxBacklogBytes {
		return 0, ErrBacklogFull
	}
	w.pending = append(w.pending, list...)
	w.bytes += total
	w.total += int64(total)
	w.appended = lsn
	for _, e := range entries {
		if e.Intent != nil || e.Handover != nil {
			w.RequestFlush()
		}
	}
	return lsn, nil
}

// Hurry states that a caller waits for all entries so far: they are flushed as soon as the write rate allows.
func (w *Writer) RequestFlush() { w.urgent = w.appended }

// Next returns the segment to create now. After it returned one, it returns none until Succeeded, Failed or Conflict
// reports the result. After Failed it returns the same segment again, so that a create whose answer was lost is repeated
// with the same flush id.
func (w *Writer) NextSegment(now time.Time) (Segment, bool) {
	at, ok := w.NextFlushTime()
	if !ok || now.Before(at) {
		return Segment{}, false
	}
	if w.inFlight == nil {
		w.cut()
	}
	w.bucket.take(now)
	w.creating = true
	w.lastStart = now
	return *w.inFlight, true
}

func (w *Writer) cut() {
	s := &Segment{
		Incarnation: w.incarnation,
		Slot:        w.slot,
		FlushID:     fmt.Sprintf("%s/%d", w.incarnation, w.slot),
	}
	size, n := segmentBytes, 0
	for _, p := range w.pending {
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
	// The rest stays where it is: copying it for each segment would take quadratic time after an outage. The memory of
	// the cut frames is freed when the backlog is empty or the slice grows.
	if w.pending = w.pending[n:]; len(w.pending) == 0 {
		w.pending = nil
	}
	w.inFlight, w.inFlightBytes = s, size-segmentBytes
}

// Wake returns the time at which Next can return a segment, and false when nothing waits or a create is under way. A
// segment waits for the flush interval and for the write rate; one without urgent entries waits for the lazy interval
// too, unless a whole segment is full.
func (w *Writer) NextFlushTime() (time.Time, bool) {
	if w.fenced || w.creating || (w.inFlight == nil && len(w.pending) == 0) {
		return time.Time{}, false
	}
	at := w.lastStart.Add(w.interval)
	if w.inFlight == nil && w.lazy() {
		at = later(at, w.lastStart.Add(w.cfg.LazyInterval))
	}
	return later(at, w.bucket.next()), true
}

func (w *Writer) lazy() bool {
	return w.urgent <= w.durable && w.bytes < MaxSegmentBytes
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Succeeded records that the segment in flight is stored. elapsed is the time that the create took; the next flush waits
// at least as long, so that slow writes make larger batches instead of more calls. A result that nothing waits for is
// ignored: it belongs to an older create whose result was already found by reading the slot.
func (w *Writer) CreateSucceeded(elapsed time.Duration) {
	if !w.creating {
		return
	}
	w.stored()
	w.failures = 0
	w.interval = min(max(elapsed, w.cfg.MinInterval), w.cfg.MaxInterval)
}

func (w *Writer) stored() {
	w.bytes -= w.inFlightBytes
	w.durable = max(w.durable, w.inFlightLSN)
	w.inFlight, w.creating = nil, false
	w.slot++
}

// Failed records that the create failed or that its answer was lost. The interval doubles up to its bound.
func (w *Writer) CreateFailed() {
	if !w.creating {
		return
	}
	w.creating = false
	w.failures++
	w.interval = min(max(2*w.interval, w.cfg.MinInterval), w.cfg.MaxInterval)
}

// Conflict decides what a create that found an object in its slot means. stored is that object as read back. It reports
// whether the object is the writer's own; otherwise the writer is fenced. The object of an older slot of the writer is
// its own too: it is the late answer to a create that was repeated.
func (w *Writer) ResolveConflict(stored Segment, elapsed time.Duration) bool {
	if stored.Seal != nil || stored.Incarnation != w.incarnation || stored.Slot > w.slot {
		w.Fence()
		return false
	}
	if stored.Slot < w.slot {
		return true
	}
	if w.inFlight == nil || stored.FlushID != w.inFlight.FlushID {
		w.Fence()
		return false
	}
	w.creating = true
	w.CreateSucceeded(elapsed)
	return true
}

// Fence stops the writer for good.
func (w *Writer) Fence() {
	w.fenced = true
	w.pending, w.inFlight, w.bytes, w.creating = nil, nil, 0, false
}

// Fenced reports whether the writer was stopped.
func (w *Writer) IsFenced() bool { return w.fenced }

// Durable returns the number of the last entry that is stored together with all before it.
func (w *Writer) DurableLSN() LSN { return w.durable }

// Appended returns the number of the last entry.
func (w *Writer) AppendedLSN() LSN { return w.appended }

// Slot returns the slot that the next segment takes.
func (w *Writer) NextSlot() uint64 { return w.slot }

// Failing reports whether the latest creates failed, and so whether the platform seems down.
func (w *Writer) IsFailing() bool { return w.failures > 0 }

// Backlog returns the bytes that are not stored yet.
func (w *Writer) BacklogBytes() int { return w.bytes }

// State describes what the writer holds, for logs and tests.
func (w *Writer) DebugString() string {
	return fmt.Sprintf("slot=%d appended=%d durable=%d urgent=%d backlog=%d creating=%t in_flight=%t fenced=%t",
		w.slot, w.appended, w.durable, w.urgent, w.bytes, w.creating, w.inFlight != nil, w.fenced)
}
