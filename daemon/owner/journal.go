package owner

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"jackdawbay.dev/core/journal"
	"jackdawbay.dev/daemon/platform"
)

// DecodeSegment decodes the value of a journal object. It returns journal.ErrCorrupt if the value is invalid.
func DecodeSegment(value []byte) (journal.Segment, error) {
	var s journal.Segment
	if err := json.Unmarshal(value, &s); err != nil {
		return s, errors.Wrapf(journal.ErrCorrupt, "%v", err)
	}
	return s, nil
}

// maxSealConflicts bounds how often a seal may conflict with a segment that the running owner stores at the same time.
const maxSealConflicts = 200

// maxSealRetries bounds the retries of a seal whose response was lost. Without a retry, a takeover starts again from
// the suspicion and takes seconds longer.
const maxSealRetries = 3

// SealJournal fences an incarnation by storing a seal in the next free slot of its journal. It has no effect on a
// sealed journal.
func SealJournal(ctx context.Context, store platform.Store, incarnation, by, reason string) error {
	slot, sealed, err := findLastSlot(ctx, store, incarnation)
	if err != nil || sealed {
		return err
	}
	retries := 0
	slot++
	for range maxSealConflicts {
		s := journal.Segment{
			Incarnation: incarnation,
			Slot:        slot,
			FlushID:     "seal/" + by,
			Seal:        &journal.Seal{By: by, Reason: reason},
		}
		_, err := store.Put(ctx, platform.KindJournal, journal.SegmentName(incarnation, slot), 0, s)
		if errors.Is(err, platform.ErrOutcomeUnknown) && ctx.Err() == nil && retries < maxSealRetries {
			// The seal may be stored; the retry then finds it in the slot.
			retries++
			continue
		}
		conflict, isConflict := platform.AsConflict(err)
		if !isConflict {
			return errors.Wrap(err, "seal journal")
		}
		if conflict.Current == nil {
			return errors.New("seal journal: conflict response has no object")
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
	return errors.New("seal journal: too many conflicts with segments of the running owner")
}

// findLastSlot finds the last used slot with steps that are first doubled and then halved, so that it reads few objects
// of a long journal.
func findLastSlot(ctx context.Context, store platform.Store, incarnation string) (slot uint64, sealed bool, err error) {
	firstSegmentAfter := func(after uint64) (journal.Segment, bool, error) {
		page, err := store.List(ctx, platform.KindJournal, incarnation+".", journal.SegmentName(incarnation, after), 1)
		if err != nil || len(page.Items) == 0 {
			return journal.Segment{}, false, err
		}
		s, err := DecodeSegment(page.Items[0].Value)
		return s, true, err
	}
	var last journal.Segment
	lastUsed, step := uint64(0), uint64(1)
	for {
		s, ok, err := firstSegmentAfter(lastUsed + step - 1)
		if err != nil {
			return 0, false, err
		}
		if ok {
			last = s
			lastUsed = s.Slot
			step *= 2
			continue
		}
		if step == 1 {
			return lastUsed, last.Seal != nil, nil
		}
		step /= 2
	}
}

// ReadJournal reads the entries of an incarnation's journal, or of a checkpoint, for which include returns true. It
// starts at slot from, or at the first object if from is zero. Segments before that slot may be missing, because a
// checkpoint covers them.
func ReadJournal(ctx context.Context, store platform.Store, kind, incarnation string, from uint64, include func(journal.Entry) bool) ([]journal.Entry, error) {
	var reader *journal.Reader
	var entries []journal.Entry
	afterName := ""
	if from > 0 {
		reader = journal.NewReader(incarnation, from)
		afterName = journal.SegmentName(incarnation, from-1)
	}
	for {
		page, err := store.List(ctx, kind, incarnation+".", afterName, 0)
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
			segmentEntries, err := reader.Add(s)
			if err != nil {
				return nil, errors.Wrapf(err, "object %s", item.Name)
			}
			entries = appendMatching(entries, segmentEntries, include)
			afterName = item.Name
		}
		if !page.More || len(page.Items) == 0 {
			return entries, nil
		}
	}
}

func appendMatching(entries, candidates []journal.Entry, include func(journal.Entry) bool) []journal.Entry {
	for _, e := range candidates {
		if include(e) {
			entries = append(entries, e)
		}
	}
	return entries
}

// DeleteSegments deletes the objects of a journal or a checkpoint whose slot is below a bound; zero deletes all. Objects
// that remain after a failure take up space but have no other effect.
func DeleteSegments(ctx context.Context, store platform.Store, kind, incarnation string, below uint64) error {
	afterName := ""
	for {
		page, err := store.List(ctx, kind, incarnation+".", afterName, deletePageSize)
		if err != nil {
			return err
		}
		for _, item := range page.Items {
			afterName = item.Name
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

// deletePageSize bounds the objects that one list request for deletion returns.
const deletePageSize = 50
