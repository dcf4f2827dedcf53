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
}

// DefaultWriterConfig returns the bounds that a daemon uses without settings.
func DefaultWriterConfig() WriterConfig {
	return WriterConfig{
		MaxBacklogBytes: 64 << 20,
		MinInterval:     2 * time.Millisecond,
		MaxInterval:     time.Second,
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
	inFlightCount int

	lastStart time.Time
	interval  time.Duration
	failures  int

	slot     uint64 // Slot of the next new segment.
	appended LSN
	durable  LSN
	fenced   bool
}

// NewWriter starts the journal of a new incarnation.
func NewWriter(incarnation string, cfg WriterConfig) *Writer {
	return &Writer{incarnation: incarnation, cfg: cfg, slot: 1, interval: cfg.MinInterval}
}

// Append queues an entry and returns its number.
func (w *Writer) Append(e Entry) (LSN, error) {
	if w.fenced {
		return 0, ErrFenced
	}
	list, sizes, err := frames(e)
	if err != nil {
		return 0, err
	}
	total := 0
	for _, n := range sizes {
		total += n
	}
	if w.bytes+total > w.cfg.MaxBacklogBytes {
		return 0, ErrBacklogFull
	}
	w.appended++
	for i, f := range list {
		p := pendingFrame{frame: f, size: sizes[i]}
		if i == len(list)-1 {
			p.lsn = w.appended
		}
		w.pending = append(w.pending, p)
	}
	w.bytes += total
	return w.appended, nil
}

// Next returns the segment to create now. It returns the same segment again after Failed, so that a create whose answer
// was lost is repeated with the same flush id.
func (w *Writer) Next(now time.Time) (Segment, bool) {
	if w.fenced || now.Before(w.lastStart.Add(w.interval)) {
		return Segment{}, false
	}
	if w.inFlight == nil {
		if len(w.pending) == 0 {
			return Segment{}, false
		}
		w.cut()
	}
	w.lastStart = now
	return *w.inFlight, true
}

func (w *Writer) cut() {
	s := &Segment{
		Incarnation: w.incarnation,
		Slot:        w.slot,
		FlushID:     fmt.Sprintf("%s/%d", w.incarnation, w.slot),
	}
	size, n := 0, 0
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
	w.pending = append([]pendingFrame(nil), w.pending[n:]...)
	w.inFlight, w.inFlightBytes, w.inFlightCount = s, size, n
}

// Wake returns the time at which Next can return a segment, and false when nothing waits.
func (w *Writer) Wake() (time.Time, bool) {
	if w.fenced || (w.inFlight == nil && len(w.pending) == 0) {
		return time.Time{}, false
	}
	return w.lastStart.Add(w.interval), true
}

// Succeeded records that the segment in flight is stored. elapsed is the time that the create took; the next flush waits
// at least as long, so that slow writes make larger batches instead of more calls.
func (w *Writer) Succeeded(elapsed time.Duration) {
	if w.inFlight == nil {
		return
	}
	w.bytes -= w.inFlightBytes
	w.durable = max(w.durable, w.inFlightLSN)
	w.inFlight = nil
	w.slot++
	w.failures = 0
	w.interval = min(max(elapsed, w.cfg.MinInterval), w.cfg.MaxInterval)
}

// Failed records that the create failed or that its answer was lost. The interval doubles up to its bound.
func (w *Writer) Failed() {
	w.failures++
	w.interval = min(max(2*w.interval, w.cfg.MinInterval), w.cfg.MaxInterval)
}

// Conflict decides what a create that found an object in its slot means. stored is that object as read back. It reports
// whether the object is the writer's own; otherwise the writer is fenced.
func (w *Writer) Conflict(stored Segment, elapsed time.Duration) bool {
	if w.inFlight != nil && stored.Seal == nil && stored.FlushID == w.inFlight.FlushID {
		w.Succeeded(elapsed)
		return true
	}
	w.Fence()
	return false
}

// Fence stops the writer for good.
func (w *Writer) Fence() {
	w.fenced = true
	w.pending, w.inFlight, w.bytes = nil, nil, 0
}

// Fenced reports whether the writer was stopped.
func (w *Writer) Fenced() bool { return w.fenced }

// Durable returns the number of the last entry that is stored together with all before it.
func (w *Writer) Durable() LSN { return w.durable }

// Appended returns the number of the last entry.
func (w *Writer) Appended() LSN { return w.appended }

// Slot returns the slot that the next segment takes.
func (w *Writer) Slot() uint64 { return w.slot }

// Failing reports whether the latest creates failed, and so whether the platform seems down.
func (w *Writer) Failing() bool { return w.failures > 0 }

// Backlog returns the bytes that are not stored yet.
func (w *Writer) Backlog() int { return w.bytes }
