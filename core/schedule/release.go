package schedule

import (
	"time"

	"jackdawbay.dev/api/caller"
)

// releasesPerTick bounds the prefixes of one engine that one Tick looks at.
const releasesPerTick = 8

// grant gives a ticket a slot.
func (d *Dispatcher) grant(now time.Time, it *item, e *engine) Grant {
	cached := d.cachedOn(it, e)
	missing := d.missingSeconds(it, e)
	d.detach(it)
	d.leaveQueue(it)
	it.state = stateGranted
	it.engine = e
	it.started = now
	it.cached = cached
	it.pinned = it.context()
	e.granted++
	e.pinned += it.pinned
	e.starts.add(now)
	e.prefillEnd = later(e.prefillEnd, now).Add(time.Duration(missing * float64(time.Second)))
	d.hold(it.program, e, max(it.PromptTokens, 1))
	setHome(it.program, e, it.expectedContext())
	d.updateFree(e)
	d.timers.set(it, now.Add(d.cfg.GrantTTL))
	return Grant{Ticket: it.ID, Engine: e.Name, Expires: it.when, CachedTokens: cached}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Renew moves the expiry of a grant whose call still runs. It reports whether the grant exists.
func (d *Dispatcher) RenewGrant(now time.Time, ticket string) (time.Time, bool) {
	it := d.items[ticket]
	if it == nil || it.state != stateGranted {
		return time.Time{}, false
	}
	d.timers.set(it, now.Add(d.cfg.GrantTTL))
	return it.when, true
}

// Release ends a granted call and frees its slot. A zero usage means that the call did not run.
func (d *Dispatcher) Release(now time.Time, ticket string, usage caller.Usage) {
	it := d.items[ticket]
	if it == nil || it.state != stateGranted {
		return
	}
	if usage.PromptTokens > 0 {
		d.learn(now, it, usage)
	} else if x := it.program.prefixOn(it.engine); x != nil && it.cached == 0 {
		d.forget(x)
	}
	d.endGrant(now, it)
}

// learn takes what the end of a call shows: work, response length, time in the slot and the engine's cache.
func (d *Dispatcher) learn(now time.Time, it *item, usage caller.Usage) {
	p, e := it.program, it.engine
	work := float64(usage.PromptTokens-usage.CachedTokens) + decodeWeight*float64(usage.CompletionTokens)
	it.root.service += work
	d.tenants.add(now, it.Tenant, work)
	it.class.output = average(it.class.output, float64(usage.CompletionTokens))
	seconds := now.Sub(it.started).Seconds()
	it.class.context = average(it.class.context, float64(usage.PromptTokens+usage.CompletionTokens))
	e.service = average(e.service, seconds)
	d.meanService = average(d.serviceSeconds(), seconds)
	p.seen = true
	if d.byName[e.Name] == e {
		d.hold(p, e, usage.PromptTokens+usage.CompletionTokens)
	}
}

// endGrant frees the slot of a granted item and forgets it.
func (d *Dispatcher) endGrant(now time.Time, it *item) {
	e, p := it.engine, it.program
	e.granted--
	e.pinned -= it.pinned
	e.ends.add(now)
	d.updateFree(e)
	if e.granted == 0 && d.removed[e.Name] == e {
		delete(d.removed, e.Name)
	}
	p.inFlight--
	p.pausedAt = now
	d.timers.remove(it)
	delete(d.items, it.ID)
	d.recycle(it)
}

// expire ends the holds and grants that are over.
func (d *Dispatcher) expire(now time.Time) {
	for it := d.timers.head(); it != nil && !it.when.After(now); it = d.timers.head() {
		if it.state == stateGranted {
			d.endGrant(now, it)
			continue
		}
		d.toLane(it)
	}
}

// Tick ends expired grants and returns releases of prefixes that are not worth their memory: those of programs that have
// ended, or have paused for longer than the placement's HoldPaused.
func (d *Dispatcher) Tick(now time.Time) []Order {
	d.expire(now)
	var orders []Order
	for _, e := range d.engines {
		dropStale(now, e)
		if d.cfg.on(CacheRelease) {
			orders = d.releaseOld(now, e, orders)
		}
	}
	return orders
}

func (d *Dispatcher) releaseOld(now time.Time, e *engine, orders []Order) []Order {
	for range releasesPerTick {
		x := e.prefixes.oldest()
		if x == nil || !d.worthless(now, x.program) {
			return orders
		}
		orders = append(orders, Order{Type: OrderReleaseCache, Engine: e.Name, Program: x.program.id})
		d.forget(x)
	}
	return orders
}

func (d *Dispatcher) worthless(now time.Time, p *program) bool {
	if p.inFlight > 0 {
		return false
	}
	hold := d.cfg.Placement.HoldPaused
	paused := !p.pausedAt.IsZero() && hold > 0 && now.Sub(p.pausedAt) > hold
	return p.ended || paused
}
