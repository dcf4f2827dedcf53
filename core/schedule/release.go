package schedule

import (
	"time"

	"jackdawbay.dev/api/caller"
)

// maxReleasesPerTick is the maximum number of prefixes per engine that one Tick examines for release.
const maxReleasesPerTick = 8

// grantSlot grants a slot of an engine to an item.
func (d *Dispatcher) grantSlot(now time.Time, it *item, e *engine) Grant {
	cached := d.expectedCachedTokens(it, e)
	missingSeconds := d.missingPrefillSeconds(it, e)
	d.removeFromQueue(it)
	d.decrementWaiting(it)
	it.state = stateGranted
	it.engine = e
	it.grantedAt = now
	it.cachedTokens = cached
	it.contextInUse = it.callContextTokens()
	e.granted++
	e.contextInUse += it.contextInUse
	e.grantTimes.add(now)
	e.prefillBacklogEnd = laterTime(e.prefillBacklogEnd, now).Add(time.Duration(missingSeconds * float64(time.Second)))
	d.recordPrefix(it.program, e, max(it.PromptTokens, 1))
	setDemand(it.program, e, it.programContextTokens())
	d.updateFreeEngine(e)
	d.timers.set(it, now.Add(d.cfg.GrantTTL))
	return Grant{Ticket: it.ID, Engine: e.Name, Expires: it.expiresAt, CachedTokens: cached}
}

func laterTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// RenewGrant extends a grant whose call is still running. It returns the new expiry, and false if the grant does not exist.
func (d *Dispatcher) RenewGrant(now time.Time, ticket string) (time.Time, bool) {
	it := d.items[ticket]
	if it == nil || it.state != stateGranted {
		return time.Time{}, false
	}
	d.timers.set(it, now.Add(d.cfg.GrantTTL))
	return it.expiresAt, true
}

// Release ends a granted call and frees its slot. Zero usage means that the call did not run.
func (d *Dispatcher) Release(now time.Time, ticket string, usage caller.Usage) {
	it := d.items[ticket]
	if it == nil || it.state != stateGranted {
		return
	}
	if usage.PromptTokens > 0 {
		d.recordUsage(now, it, usage)
	} else if entry := it.program.prefixOn(it.engine); entry != nil && it.cachedTokens == 0 {
		d.removePrefix(entry)
	}
	d.endGrant(now, it)
}

// recordUsage updates the estimates from a completed call: engine work, response length, time in the slot, and the engine's
// cache.
func (d *Dispatcher) recordUsage(now time.Time, it *item, usage caller.Usage) {
	p, e := it.program, it.engine
	work := float64(usage.PromptTokens-usage.CachedTokens) + decodeWeight*float64(usage.CompletionTokens)
	it.root.attainedService += work
	d.tenants.Add(now, it.Tenant, work)
	it.class.meanOutputTokens = movingAverage(it.class.meanOutputTokens, float64(usage.CompletionTokens))
	slotSeconds := now.Sub(it.grantedAt).Seconds()
	it.class.meanContextTokens = movingAverage(it.class.meanContextTokens, float64(usage.PromptTokens+usage.CompletionTokens))
	e.meanSlotSeconds = movingAverage(e.meanSlotSeconds, slotSeconds)
	d.meanSlotSeconds = movingAverage(d.expectedSlotSeconds(), slotSeconds)
	p.hasCompletedCall = true
	if d.enginesByName[e.Name] == e {
		d.recordPrefix(p, e, usage.PromptTokens+usage.CompletionTokens)
	}
}

// endGrant frees the slot of a granted item and removes the item.
func (d *Dispatcher) endGrant(now time.Time, it *item) {
	e, p := it.engine, it.program
	e.granted--
	e.contextInUse -= it.contextInUse
	e.endTimes.add(now)
	d.updateFreeEngine(e)
	if e.granted == 0 && d.removedEngines[e.Name] == e {
		delete(d.removedEngines, e.Name)
	}
	p.inFlight--
	p.pausedAt = now
	d.timers.remove(it)
	delete(d.items, it.ID)
	d.freeItem(it)
}

// processExpired ends expired grants and returns tickets to their model queues when their wait for an engine expires.
func (d *Dispatcher) processExpired(now time.Time) {
	for it := d.timers.head(); it != nil && !it.expiresAt.After(now); it = d.timers.head() {
		if it.state == stateGranted {
			d.endGrant(now, it)
			continue
		}
		d.returnToModelQueue(it)
	}
}

// Tick processes expired grants and waits, and returns release orders for the prefixes of programs that have ended or have
// paused for longer than HoldPaused of the placement.
func (d *Dispatcher) Tick(now time.Time) []Order {
	d.processExpired(now)
	var orders []Order
	for _, e := range d.engines {
		clearStaleDemand(now, e)
		if d.cfg.isEnabled(CacheRelease) {
			orders = d.releaseIdlePrefixes(now, e, orders)
		}
	}
	return orders
}

func (d *Dispatcher) releaseIdlePrefixes(now time.Time, e *engine, orders []Order) []Order {
	for range maxReleasesPerTick {
		entry := e.prefixes.oldest()
		if entry == nil || !d.canReleasePrefix(now, entry.program) {
			return orders
		}
		orders = append(orders, Order{Type: OrderReleaseCache, Engine: e.Name, Program: entry.program.id})
		d.removePrefix(entry)
	}
	return orders
}

func (d *Dispatcher) canReleasePrefix(now time.Time, p *program) bool {
	if p.inFlight > 0 {
		return false
	}
	maxPause := d.cfg.Placement.HoldPaused
	paused := !p.pausedAt.IsZero() && maxPause > 0 && now.Sub(p.pausedAt) > maxPause
	return p.ended || paused
}
