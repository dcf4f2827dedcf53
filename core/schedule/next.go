package schedule

import (
	"math"
	"time"
)

const (
	// maxDeferred is the maximum number of tickets that one call of NextGrant defers before it accepts a free engine
	// without comparing it with busy engines.
	maxDeferred = 32
	// loadSlowdown is the fraction by which a full batch slows a response, relative to an empty one.
	loadSlowdown = 0.5
	// maxEngineWait is the maximum wait for a specific engine.
	maxEngineWait = 30 * time.Second
	// otherRegionSeconds is the cost in seconds of using an engine of another region, in addition to its round trip.
	otherRegionSeconds = 1.0
)

// NextGrant grants a slot of the best engine to the first eligible ticket. It returns false if no ticket can start now.
func (d *Dispatcher) NextGrant(now time.Time) (Grant, bool) {
	d.processExpired(now)
	for deferred := 0; ; deferred++ {
		it := d.bestItem(now)
		if it == nil {
			return Grant{}, false
		}
		if it.state == stateBound {
			return d.grantSlot(now, it, it.engine), true
		}
		if e := d.chooseEngine(now, it, deferred >= maxDeferred); e != nil {
			return d.grantSlot(now, it, e), true
		}
	}
}

// bestItem returns the first item in queue order that an engine with a free slot could take.
func (d *Dispatcher) bestItem(now time.Time) *item {
	var best *item
	for _, e := range d.freeEngines {
		h := e.boundTickets.head()
		if h != nil && d.fitsMemory(e, h) && (best == nil || isBefore(h, best)) {
			best = h
		}
	}
	for _, mq := range d.modelQueueList {
		best = d.betterItem(now, best, mq.queue.head())
		for _, calls := range mq.firstCalls {
			best = d.betterItem(now, best, calls.queue.head())
		}
	}
	return best
}

// betterItem returns head if it precedes best and an engine could take it, and best otherwise.
func (d *Dispatcher) betterItem(now time.Time, best, head *item) *item {
	if head == nil || (best != nil && isBefore(best, head)) {
		return best
	}
	for _, e := range d.freeEngines {
		if d.canTake(e, head) && d.canAdmit(now, head, e) {
			return head
		}
	}
	return best
}

// canTake reports whether an engine with a free slot may take a ticket from a model queue. A ticket that is bound to this
// engine and precedes it in the queue order reserves the slot, so that calls with a large context are not bypassed
// indefinitely.
func (d *Dispatcher) canTake(e *engine, it *item) bool {
	if !e.modelQueues.has(it.modelQueue) {
		return false
	}
	h := e.boundTickets.head()
	return h == nil || isBefore(it, h)
}

// fitsMemory reports whether the context of a call fits in an engine's memory together with the contexts in flight.
func (d *Dispatcher) fitsMemory(e *engine, it *item) bool {
	if e.CacheTokens <= 0 || e.granted == 0 || !d.cfg.isEnabled(MemoryLimit) {
		return true
	}
	return e.contextInUse+it.callContextTokens() <= e.CacheTokens
}

// chooseEngine returns the engine for a ticket, or nil if it deferred the ticket by binding it to an engine. With takeFree
// set, it defers only a ticket whose context fits on no engine.
func (d *Dispatcher) chooseEngine(now time.Time, it *item, takeFree bool) *engine {
	free, cost := d.bestFreeEngine(now, it)
	if free != nil && takeFree {
		return free
	}
	if busy, maxWait := d.bestBusyEngine(it, cost); busy != nil {
		d.bindToEngine(it, busy, now.Add(maxWait))
		return nil
	}
	if free == nil {
		d.bindToEngine(it, d.mostFreeMemory(now, it), now.Add(maxEngineWait))
		return nil
	}
	return free
}

// bestFreeEngine returns the engine with a free slot and the lowest cost, and that cost.
func (d *Dispatcher) bestFreeEngine(now time.Time, it *item) (*engine, float64) {
	var best *engine
	bestCost := math.Inf(1)
	for _, e := range d.freeEngines {
		if !d.canTake(e, it) || !d.fitsMemory(e, it) || !d.canAdmit(now, it, e) {
			continue
		}
		if cost := d.placementCost(now, it, e); cost < bestCost {
			best, bestCost = e, cost
		}
	}
	return best, bestCost
}

// placementCost returns the expected time to completion on an engine with a free slot, weighted for latency, plus the
// current and future recomputation that the choice causes, weighted for cache.
func (d *Dispatcher) placementCost(now time.Time, it *item, e *engine) float64 {
	w := d.cfg.Placement
	missingSeconds := d.missingPrefillSeconds(it, e)
	finishSeconds := missingSeconds + e.RoundTrip.Seconds()
	if backlog := e.prefillBacklogEnd.Sub(now); backlog > 0 {
		finishSeconds += backlog.Seconds()
	}
	utilisation := float64(e.granted+e.externalRequests) / float64(e.Slots)
	finishSeconds += loadSlowdown * utilisation * it.expectedOutputTokens() / d.cfg.DecodeTokensPerSecond
	if e.Remote {
		finishSeconds += otherRegionSeconds
	}
	evictedSeconds := float64(d.excessDemand(it, e)) / d.cfg.PrefillTokensPerSecond
	return w.LatencyWeight*finishSeconds + w.CacheWeight*(missingSeconds+evictedSeconds)
}

// missingPrefillSeconds returns the time to compute the part of the prompt that an engine has not cached.
func (d *Dispatcher) missingPrefillSeconds(it *item, e *engine) float64 {
	missing := it.PromptTokens - d.expectedCachedTokens(it, e)
	return float64(missing) / d.cfg.PrefillTokensPerSecond
}

// expectedCachedTokens returns the prompt tokens that an engine is expected to have cached.
func (d *Dispatcher) expectedCachedTokens(it *item, e *engine) int64 {
	if !d.cfg.isEnabled(CachePlacement) {
		return 0
	}
	history := min(it.HistoryTokens, it.PromptTokens)
	if entry := it.program.prefixOn(e); entry != nil {
		return min(entry.tokens, history)
	}
	if !it.program.hasCompletedCall && it.PreferredEngine == e.Name {
		return history
	}
	return 0
}

// bestBusyEngine returns a busy engine that has cached the prefix, if waiting for it costs less than freeCost, and the
// maximum wait with which it still costs less.
func (d *Dispatcher) bestBusyEngine(it *item, freeCost float64) (*engine, time.Duration) {
	if it.hasWaitedForEngine || !d.cfg.isEnabled(PrefixWait) || !d.cfg.isEnabled(CachePlacement) {
		return nil, 0
	}
	w := d.cfg.Placement
	var best *engine
	bestCost, bestWait := freeCost, 0.0
	for _, entry := range it.program.prefixes {
		e := entry.engine
		if !e.modelQueues.has(it.modelQueue) || e.freeIndex >= 0 {
			continue
		}
		missingSeconds := d.missingPrefillSeconds(it, e)
		recomputeCost := (w.LatencyWeight + w.CacheWeight) * missingSeconds
		waitSeconds := d.expectedSlotWaitSeconds(e)
		if cost := recomputeCost + w.LatencyWeight*waitSeconds; cost < bestCost {
			best, bestCost = e, cost
			bestWait = (freeCost - recomputeCost) / max(w.LatencyWeight, 0.01)
		}
	}
	maxWait := min(bestWait, maxEngineWait.Seconds())
	return best, time.Duration(maxWait * float64(time.Second))
}

// expectedSlotWaitSeconds estimates the time in seconds until a busy engine has a free slot for another ticket.
func (d *Dispatcher) expectedSlotWaitSeconds(e *engine) float64 {
	ahead := float64(len(e.boundTickets.items) + 1)
	return ahead * e.meanSlotSeconds / float64(max(e.Slots, 1))
}

// mostFreeMemory returns the eligible engine with the most memory that is not used by contexts in flight.
func (d *Dispatcher) mostFreeMemory(now time.Time, it *item) *engine {
	var best *engine
	for _, e := range d.freeEngines {
		if !d.canTake(e, it) || !d.canAdmit(now, it, e) {
			continue
		}
		if best == nil || e.CacheTokens-e.contextInUse > best.CacheTokens-best.contextInUse {
			best = e
		}
	}
	return best
}

func (d *Dispatcher) bindToEngine(it *item, e *engine, until time.Time) {
	d.removeFromQueue(it)
	it.state = stateBound
	it.hasWaitedForEngine = true
	it.engine = e
	e.boundTickets.push(it)
	d.timers.set(it, until)
}
