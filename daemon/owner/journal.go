package owner

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"jackdawbay.dev/core/journal"
	"jackdawbay.dev/daemon/platform"
)

// DecodeSegment decodes the value of a journal object.
func DecodeSegment(value []byte) (journal.Segment, error) {
	var s journal.Segment
	if err := json.Unmarshal(value, &s); err != nil {
		return s, errors.Wrapf(journal.ErrCorrupt, "%v", err)
	}
	return s, nil
}

// maxSealRaces bounds how often a seal runs into a segment that the living owner stores at the same time.
const maxSealRaces = 200

// maxLostSeals bounds how often a seal is repeated whose answer was lost. Without a repeat, a takeover starts again from
// the suspicion and takes seconds longer.
const maxLostSeals = 3

// Seal fences an incarnation: it creates the next free slot of its journal with a seal. Sealing a sealed journal again
// changes nothing.
func SealJournal(ctx context.Context, store platform.Store, incarnation, by, reason string) error {
	slot, sealed, err := lastSlot(ctx, store, incarnation)
	if err != nil || sealed {
		return err
	}
	lost := 0
	slot++
	for range maxSealRaces {
		s := journal.Segment{
			Incarnation: incarnation,
			Slot:        slot,
			FlushID:     "seal/" + by,
			Seal:        &journal.Seal{By: by, Reason: reason},
		}
		_, err := store.Put(ctx, platform.KindJournal, journal.SegmentName(incarnation, slot), 0, s)
		if errors.Is(err, platform.ErrOutcomeUnknown) && ctx.Err() == nil && lost < maxLostSeals {
			// The seal may be stored; the repeat then finds it in the slot.
			lost++
			continue
		}
		conflict, isConflict := platform.AsConflict(err)
		if !isConflict {
			return errors.Wrap(err, "seal journal")
		}
		if conflict.Current == nil {
			return errors.New("seal journal: conflict without an object")
		}
		stored, err := DecodeSegment(conflict.Current.Value)
		if err != nil {
			return err
		}
		if stored.Seal != nil {
			return nil
		}
		slot++
	}
	return errors.New("seal journal: the owner writes faster than it can be sealed")
}

// lastSlot finds the last used slot by doubling steps and then halving them, so that it reads few objects of a long
// journal.
func lastSlot(ctx context.Context, store platform.Store, incarnation string) (slot uint64, sealed bool, err error) {
	exists := func(after uint64) (journal.Segment, bool, error) {
		page, err := store.List(ctx, platform.KindJournal, incarnation+".", journal.SegmentName(incarnation, after), 1)
		if err != nil || len(page.Items) == 0 {
			return journal.Segment{}, false, err
		}
		s, err := DecodeSegment(page.Items[0].Value)
		return s, true, err
	}
	var last journal.Segment
	low, step := uint64(0), uint64(1)
	for {
		s, ok, err := exists(low + step - 1)
		if err != nil {
			return 0, false, err
		}
		if ok {
			last = s
			low = s.Slot
			step *= 2
			continue
		}
		if step == 1 {
			return low, last.Seal != nil, nil
		}
		step /= 2
	}
}

// ReadJournal reads the entries of an incarnation's journal, or of a checkpoint, for which keep returns true. It starts at
// a slot, or at the first object when from is zero. Segments before that slot may be missing: a checkpoint covers them.
func ReadJournal(ctx context.Context, store platform.Store, kind, incarnation string, from uint64, keep func(journal.Entry) bool) ([]journal.Entry, error) {
	var reader *journal.Reader
	var entries []journal.Entry
	after := ""
	if from > 0 {
		reader = journal.NewReader(incarnation, from)
		after = journal.SegmentName(incarnation, from-1)
	}
	for {
		page, err := store.List(ctx, kind, incarnation+".", after, 0)
		if err != nil {
			return nil, err
		}
		for _, item := range page.Items {
			s, err := DecodeSegment(item.Value)
			if err != nil {
				return nil, errors.Wrapf(err, "object %s", item.Name)
			}
			if reader == nil {
				reader = journal.NewReader(incarnation, s.Slot)
			}
			list, err := reader.Add(s)
			if err != nil {
				return nil, errors.Wrapf(err, "object %s", item.Name)
			}
			entries = appendKept(entries, list, keep)
			after = item.Name
		}
		if !page.More || len(page.Items) == 0 {
			return entries, nil
		}
	}
}

func appendKept(entries, list []journal.Entry, keep func(journal.Entry) bool) []journal.Entry {
	for _, e := range list {
		if keep(e) {
			entries = append(entries, e)
		}
	}
	return entries
}

// DeleteSegments deletes the objects of a journal or a checkpoint whose slot is below a bound; zero deletes all. What is
// left behind by a failure costs space and nothing else.
func DeleteSegments(ctx context.Context, store platform.Store, kind, incarnation string, below uint64) error {
	after := ""
	for {
		page, err := store.List(ctx, kind, incarnation+".", after, deletePage)
		if err != nil {
			return err
		}
		for _, item := range page.Items {
			after = item.Name
			if below > 0 && item.Name >= journal.SegmentName(incarnation, below) {
				return nil
			}
			if err := store.Delete(ctx, kind, item.Name, 0); err != nil && !errors.Is(err, platform.ErrNotFound) {
				return err
			}
		}
		if !page.More || len(page.Items) == 0 {
			return nil
		}
	}
}

// deletePage bounds the objects that one list for deletion reads.
const deletePage = 50
