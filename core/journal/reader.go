package journal

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// ErrGap is returned if a segment is missing, for example because the platform lost objects.
var ErrGap = errors.New("journal has a gap")

// ErrCorrupt is returned if a segment cannot be decoded or the parts of an entry are out of order.
var ErrCorrupt = errors.New("journal segment is corrupt")

// Reader decodes the segments of one incarnation, which must be added in order.
type Reader struct {
	incarnation      string
	nextSlot         uint64
	sealed           bool
	partialEntry     []byte
	nextPart         int
	skipLeadingParts bool // Ignore parts of an entry that began before firstSlot.
}

// NewReader returns a reader for the journal of an incarnation that starts at firstSlot. Slots start at 1.
func NewReader(incarnation string, firstSlot uint64) *Reader {
	return &Reader{incarnation: incarnation, nextSlot: max(firstSlot, 1), skipLeadingParts: firstSlot > 1}
}

// NextSlot returns the slot that Add expects next.
func (r *Reader) NextSlot() uint64 { return r.nextSlot }

// IsSealed reports whether a seal was read. No segment may follow a seal.
func (r *Reader) IsSealed() bool { return r.sealed }

// Add decodes one segment and returns the entries that it completes. It returns ErrGap for an unexpected segment and
// ErrCorrupt for invalid content.
func (r *Reader) Add(s Segment) ([]Entry, error) {
	if s.Incarnation != r.incarnation || s.Slot != r.nextSlot || r.sealed {
		return nil, errors.Wrapf(ErrGap, "want slot %d of %s, got slot %d of %s", r.nextSlot, r.incarnation, s.Slot, s.Incarnation)
	}
	r.nextSlot++
	if s.Seal != nil {
		r.sealed = true
		return nil, nil
	}
	var entries []Entry
	for _, f := range s.Frames {
		e, ok, err := r.decodeFrame(f)
		if err != nil {
			return nil, err
		}
		if ok {
			entries = append(entries, e)
		}
	}
	return entries, nil
}

func (r *Reader) decodeFrame(f Frame) (Entry, bool, error) {
	body := []byte(f.Entry)
	if f.Part != nil && f.Part.Index > 0 && r.skipLeadingParts {
		return Entry{}, false, nil
	}
	r.skipLeadingParts = false
	if f.Part != nil {
		if f.Part.Index != r.nextPart {
			return Entry{}, false, errors.Wrapf(ErrCorrupt, "part %d follows part %d", f.Part.Index, r.nextPart-1)
		}
		r.partialEntry = append(r.partialEntry, f.Part.Data...)
		r.nextPart++
		if r.nextPart < f.Part.Count {
			return Entry{}, false, nil
		}
		body = r.partialEntry
		r.partialEntry, r.nextPart = nil, 0
	}
	var e Entry
	if err := json.Unmarshal(body, &e); err != nil {
		return Entry{}, false, errors.Wrapf(ErrCorrupt, "decode entry: %v", err)
	}
	return e, true, nil
}
