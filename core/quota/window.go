package quota

import "time"

// windowSlots is the number of slots of a window. All but the current one cover the period, so that units count for up to one slot
// longer.
const windowSlots = 50

func slotDuration(period time.Duration) int64 { return int64(period)/(windowSlots-1) + 1 }

// window counts the units that were issued within a sliding period.
type window struct {
	units  [windowSlots]uint32
	total  int
	newest int64 // Number of the newest slot since the epoch.
}

func slotNumber(now time.Time, period time.Duration) int64 {
	return now.UnixNano() / slotDuration(period)
}

// advance drops the slots that are over.
func (w *window) advance(now time.Time, period time.Duration) {
	slot := slotNumber(now, period)
	for n := min(slot-w.newest, windowSlots); n > 0; n-- {
		index := (slot - n + 1) % windowSlots
		w.total -= int(w.units[index])
		w.units[index] = 0
	}
	w.newest = max(w.newest, slot)
}

// sum returns the units issued within the period.
func (w *window) sum(now time.Time, period time.Duration) int {
	w.advance(now, period)
	return w.total
}

func (w *window) add(now time.Time, period time.Duration, units int) {
	w.advance(now, period)
	w.units[w.newest%windowSlots] += uint32(units)
	w.total += units
}

// untilNextExpiry returns the time until units leave the window, or zero if it is empty.
func (w *window) untilNextExpiry(now time.Time, period time.Duration) time.Duration {
	w.advance(now, period)
	for age := int64(windowSlots - 1); age >= 0; age-- {
		if w.units[(w.newest-age+windowSlots)%windowSlots] > 0 {
			return time.Duration((w.newest-age+windowSlots)*slotDuration(period) - now.UnixNano())
		}
	}
	return 0
}
