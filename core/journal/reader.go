package journal

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// ErrGap is returned when a segment is missing between two others, for example after the platform lost objects.
var ErrGap = errors.New("journal has a gap")

// ErrCorrupt is returned when a segment cannot be decoded or its parts do not follow each other.
var ErrCorrupt = errors.New("journal segment is corrupt")

// Reader turns the segments of one incarnation, given in order, back into entries.
type Reader struct {
	incarnation string
	next        uint64
	sealed      bool
	partial     []byte
	nextPart    int
	skipParts   bool // The first segment may start with the rest of an entry that is not wanted.
}

// NewReader reads the journal of an incarnation from a slot on. Slots start at 1.
func NewReader(incarnation string, from uint64) *Reader {
	return &Reader{incarnation: incarnation, next: max(from, 1), skipParts: from > 1}
}

// Next returns the slot that Add expects.
func (r *Reader) NextSlot() uint64 { return r.next }

// Sealed reports whether a seal was read. Nothing follows a seal.
func (r *Reader) IsSealed() bool { return r.sealed }

// Add decodes one segment and returns its complete entries.
func (r *Reader) Add(s Segment) ([]Entry, error) {
	if s.Incarnation != r.incarnation || s.Slot != r.next || r.sealed {
		return nil, errors.Wrapf(ErrGap, "want slot %d of %s, got slot %d of %s", r.next, r.incarnation, s.Slot, s.Incarnation)
	}
	r.next++
	if s.Seal != nil {
		r.sealed = true
		return nil, nil
	}
	var entries []Entry
	for _, f := range s.Frames {
		e, ok, err := r.frame(f)
		if err != nil {
			return nil, err
		}
		if ok {
			entries = append(entries, e)
		}
	}
	return entries, nil
}

func (r *Reader) frame(f Frame) (Entry, bool, error) {
	body := []byte(f.Entry)
	if f.Part != nil && f.Part.Index > 0 && r.skipParts {
		return Entry{}, false, nil
	}
	r.skipParts = false
	if f.Part != nil {
		if f.Part.Index != r.nextPart {
			return Entry{}, false, errors.Wrapf(ErrCorrupt, "part %d follows part %d", f.Part.Index, r.nextPart-1)
		}
		r.partial = append(r.partial, f.Part.Data...)
		r.nextPart++
		if r.nextPart < f.Part.Count {
			return Entry{}, false, nil
		}
		body = r.partial
		r.partial, r.nextPart = nil, 0
	}
	var e Entry
	if err := json.Unmarshal(body, &e); err != nil {
		return Entry{}, false, errors.Wrapf(ErrCorrupt, "decode entry: %v", err)
	}
	return e, true, nil
}
