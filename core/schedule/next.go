package schedule

import (
	"math"
	"time"
)

const (
	// maxSetAside bounds the tickets that one Next sets aside before it takes a free engine without further conditions.
	maxSetAside = 32
	// loadSlope is the part by which a full batch slows a response, relative to an empty one.
	loadSlope = 0.5
	// maxHold bounds the wait for a busy engine.
	maxHold = 30 * time.Second
	// remoteSeconds is the cost in seconds of using an engine of another region, besides its round trip.
	remoteSeconds = 1.0
)

// Next grants the best ticket a slot of its best engine. It returns false when no ticket can start now.
func (d *Dispatcher) NextGrant(now time.Time) (Grant, bool) {
	d.expire(now)
	for setAside := 0; ; setAside++ {
		it := d.best(now)
		if it == nil {
			return Grant{}, false
		}
		if it.state == stateBound {
			return d.grant(now, it, it.engine), true
		}
		if e := d.place(now, it, setAside >= maxSetAside); e != nil {
			return d.grant(now, it, e), true
		}
	}
}

// best returns the first ticket in queue order that an engine with a free slot could take.
func (d *Dispatcher) best(now time.Time) *item {
	var best *item
	for _, e := range d.free {
		h := e.bound.head()
		if h != nil && d.fits(e, h) && (best == nil || before(h, best)) {
			best = h
		}
	}
	for _, l := range d.laneList {
		best = d.better(now, best, l.queue.head())
		for _, n := range l.newcomers {
			best = d.better(now, best, n.queue.head())
		}
	}
	return best
}

// better returns the head of a queue when it goes before best and an engine could take it, else best.
func (d *Dispatcher) better(now time.Time, best, head *item) *item {
	if head == nil || (best != nil && before(best, head)) {
		return best
	}
	for _, e := range d.free {
		if d.open(e, head) && d.admits(now, head, e) {
			return head
		}
	}
	return best
}

// open reports whether an engine with a free slot may take a ticket from a lane. A ticket that waits for this engine and
// goes first in the queue order reserves the slot, so that a large context is not passed for ever.
func (d *Dispatcher) open(e *engine, it *item) bool {
	if !e.lanes.has(it.lane) {
		return false
	}
	h := e.bound.head()
	return h == nil || before(it, h)
}

// fits reports whether the context of a call fits beside the contexts in flight on an engine.
func (d *Dispatcher) fits(e *engine, it *item) bool {
	if e.CacheTokens <= 0 || e.granted == 0 || !d.cfg.on(MemoryLimit) {
		return true
	}
	return e.pinned+it.context() <= e.CacheTokens
}

// place chooses the engine of a ticket. It returns nil when the ticket has been set aside. With atOnce set it does so only
// for a context that fits nowhere.
func (d *Dispatcher) place(now time.Time, it *item, atOnce bool) *engine {
	free, cost := d.bestFree(now, it)
	if free != nil && atOnce {
		return free
	}
	if holder, hold := d.bestBusyHolder(it, cost); holder != nil {
		d.bind(it, holder, now.Add(hold))
		return nil
	}
	if free == nil {
		d.bind(it, d.roomiest(now, it), now.Add(maxHold))
		return nil
	}
	return free
}

// bestFree returns the engine with a free slot that has the least cost, and its cost.
func (d *Dispatcher) bestFree(now time.Time, it *item) (*engine, float64) {
	var best *engine
	bestCost := math.Inf(1)
	for _, e := range d.free {
		if !d.open(e, it) || !d.fits(e, it) || !d.admits(now, it, e) {
			continue
		}
		if cost := d.cost(now, it, e); cost < bestCost {
			best, bestCost = e, cost
		}
	}
	return best, bestCost
}

// cost is the expected time to finish on an engine with a free slot, weighted for latency, plus the recompute that the
// choice causes now and later, weighted for cache.
func (d *Dispatcher) cost(now time.Time, it *item, e *engine) float64 {
	w := d.cfg.Placement
	missing := d.missingSeconds(it, e)
	finish := missing + e.RoundTrip.Seconds()
	if backlog := e.prefillEnd.Sub(now); backlog > 0 {
		finish += backlog.Seconds()
	}
	load := float64(e.granted+e.foreign) / float64(e.Slots)
	finish += loadSlope * load * it.output() / d.cfg.DecodeTokensPerSecond
	if e.Remote {
		finish += remoteSeconds
	}
	evicts := float64(d.overflow(it, e)) / d.cfg.PrefillTokensPerSecond
	return w.LatencyWeight*finish + w.CacheWeight*(missing+evicts)
}

// missingSeconds is the time to compute the part of the prompt that an engine does not hold.
func (d *Dispatcher) missingSeconds(it *item, e *engine) float64 {
	missing := it.PromptTokens - d.cachedOn(it, e)
	return float64(missing) / d.cfg.PrefillTokensPerSecond
}

// cachedOn returns the prompt tokens that an engine is expected to hold.
func (d *Dispatcher) cachedOn(it *item, e *engine) int64 {
	if !d.cfg.on(CachePlacement) {
		return 0
	}
	history := min(it.HistoryTokens, it.PromptTokens)
	if x := it.program.prefixOn(e); x != nil {
		return min(x.tokens, history)
	}
	if !it.program.seen && it.PreferredEngine == e.Name {
		return history
	}
	return 0
}

// bestBusyHolder returns a busy engine that holds the prefix, when waiting there costs less than freeCost, and how long
// the wait stays worth it.
func (d *Dispatcher) bestBusyHolder(it *item, freeCost float64) (*engine, time.Duration) {
	if it.held || !d.cfg.on(PrefixWait) || !d.cfg.on(CachePlacement) {
		return nil, 0
	}
	w := d.cfg.Placement
	var best *engine
	bestCost, bestHold := freeCost, 0.0
	for _, x := range it.program.prefixes {
		e := x.engine
		if !e.lanes.has(it.lane) || e.freePos >= 0 {
			continue
		}
		missing := d.missingSeconds(it, e)
		run := (w.LatencyWeight + w.CacheWeight) * missing
		wait := d.slotSeconds(e)
		if cost := run + w.LatencyWeight*wait; cost < bestCost {
			best, bestCost = e, cost
			bestHold = (freeCost - run) / max(w.LatencyWeight, 0.01)
		}
	}
	hold := min(bestHold, maxHold.Seconds())
	return best, time.Duration(hold * float64(time.Second))
}

// slotSeconds estimates the wait for a slot of a busy engine.
func (d *Dispatcher) slotSeconds(e *engine) float64 {
	ahead := float64(len(e.bound.items) + 1)
	return ahead * e.service / float64(max(e.Slots, 1))
}

// roomiest returns the open engine with the most memory beside the contexts in flight.
func (d *Dispatcher) roomiest(now time.Time, it *item) *engine {
	var best *engine
	for _, e := range d.free {
		if !d.open(e, it) || !d.admits(now, it, e) {
			continue
		}
		if best == nil || e.CacheTokens-e.pinned > best.CacheTokens-best.pinned {
			best = e
		}
	}
	return best
}

func (d *Dispatcher) bind(it *item, e *engine, until time.Time) {
	d.detach(it)
	it.state = stateBound
	it.held = true
	it.engine = e
	e.bound.push(it)
	d.timers.set(it, until)
}
