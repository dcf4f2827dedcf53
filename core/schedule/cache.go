package schedule

import "time"

// maxPrefixesPerProgram is the maximum number of engines on which the prefix of one program is tracked.
const maxPrefixesPerProgram = 3

// program is the state of one program in a dispatcher.
type program struct {
	id               string
	root             *program // Program that accounts the attained service; the program itself if it has no parent.
	children         int      // Number of programs whose root is this program.
	attainedService  float64  // Engine work so far in prefill tokens, including that of sub-agents.
	hasCompletedCall bool     // A call of the program has completed at this dispatcher.
	inFlight         int      // Tickets that wait or hold a slot.
	ended            bool
	pausedAt         time.Time
	demandEngine     *engine // Engine whose memory the next call of the program is expected to use.
	demandTokens     int64   // Context tokens that the program is expected to need on demandEngine.
	prefixes         []*prefix
	prev, next       *program // Neighbours by last use, in Dispatcher.programs.
	prevDemand       *program // Neighbours by last use, in demandEngine.demandPrograms.
	nextDemand       *program
}

// prefix is the expected cache of one program on one engine.
type prefix struct {
	program    *program
	engine     *engine
	tokens     int64
	prev, next *prefix // Neighbours by last use, in engine.prefixes.
}

// prefixList is a circular list in order of last use. root.next is the least recently used prefix.
type prefixList struct {
	root prefix
	size int
}

func (l *prefixList) init() { l.root.prev, l.root.next = &l.root, &l.root }

func (l *prefixList) oldest() *prefix {
	if l.root.next == &l.root {
		return nil
	}
	return l.root.next
}

func (l *prefixList) unlink(p *prefix) {
	p.prev.next, p.next.prev = p.next, p.prev
	l.size--
}

func (l *prefixList) pushNewest(p *prefix) {
	p.prev, p.next = l.root.prev, &l.root
	p.prev.next, p.next.prev = p, p
	l.size++
}

func (p *program) prefixOn(e *engine) *prefix {
	for _, entry := range p.prefixes {
		if entry.engine == e {
			return entry
		}
	}
	return nil
}

// recordPrefix records that an engine has cached tokens of a program, as the most recently used prefix. It models the
// engine's own least-recently-used eviction, since cache events arrive late.
func (d *Dispatcher) recordPrefix(p *program, e *engine, tokens int64) {
	entry := p.prefixOn(e)
	if entry == nil {
		if len(p.prefixes) == maxPrefixesPerProgram {
			d.removePrefix(smallestPrefix(p.prefixes))
		}
		entry = d.allocPrefix()
		entry.program, entry.engine = p, e
		p.prefixes = append(p.prefixes, entry)
	} else {
		e.prefixes.unlink(entry)
		e.cachedTokens -= entry.tokens
	}
	entry.tokens = tokens
	e.cachedTokens += tokens
	e.prefixes.pushNewest(entry)
	d.evictPrefixes(e, entry)
}

func smallestPrefix(prefixes []*prefix) *prefix {
	smallest := prefixes[0]
	for _, entry := range prefixes[1:] {
		if entry.tokens < smallest.tokens {
			smallest = entry
		}
	}
	return smallest
}

// evictPrefixes removes the least recently used prefixes that no longer fit in the engine's memory, but never the prefix
// except.
func (d *Dispatcher) evictPrefixes(e *engine, except *prefix) {
	for e.CacheTokens > 0 && e.cachedTokens > e.CacheTokens {
		entry := e.prefixes.oldest()
		if entry == nil || entry == except {
			return
		}
		excess := e.cachedTokens - e.CacheTokens
		if excess < entry.tokens {
			entry.tokens -= excess
			e.cachedTokens -= excess
			return
		}
		d.removePrefix(entry)
	}
}

// removePrefix removes a prefix from the index.
func (d *Dispatcher) removePrefix(entry *prefix) {
	p, e := entry.program, entry.engine
	e.prefixes.unlink(entry)
	e.cachedTokens -= entry.tokens
	for i, other := range p.prefixes {
		if other == entry {
			last := len(p.prefixes) - 1
			p.prefixes[i] = p.prefixes[last]
			p.prefixes[last] = nil
			p.prefixes = p.prefixes[:last]
			break
		}
	}
	entry.program, entry.engine, entry.prev, entry.next = nil, nil, nil, nil
	d.prefixPool = append(d.prefixPool, entry)
}

func (d *Dispatcher) allocPrefix() *prefix {
	n := len(d.prefixPool)
	if n == 0 {
		return &prefix{}
	}
	entry := d.prefixPool[n-1]
	d.prefixPool = d.prefixPool[:n-1]
	return entry
}

// ObserveCacheEvent processes a cache event. Events arrive late, so they only correct the state derived from completed
// calls.
func (d *Dispatcher) ObserveCacheEvent(ev CacheEvent) {
	e := d.enginesByName[ev.Engine]
	p := d.programs.get(ev.Program)
	if e == nil || p == nil || ev.Type == CacheGap {
		return
	}
	entry := p.prefixOn(e)
	if ev.Type == CacheStored {
		if entry == nil && !p.ended {
			d.recordPrefix(p, e, ev.Tokens)
		}
		return
	}
	if entry == nil {
		return
	}
	if ev.Type == CacheReleased || ev.Tokens <= 0 {
		d.removePrefix(entry)
		return
	}
	if ev.Tokens < entry.tokens {
		e.cachedTokens -= entry.tokens - ev.Tokens
		entry.tokens = ev.Tokens
	}
}

// ObserveCacheListing processes a full listing of an engine's cache, which repairs gaps in its events. It returns release
// orders for the prefixes whose programs have ended.
func (d *Dispatcher) ObserveCacheListing(engineName string, listing []CachedPrefix) []Order {
	e := d.enginesByName[engineName]
	if e == nil {
		return nil
	}
	tokensByProgram := make(map[string]int64, len(listing))
	var orders []Order
	for _, listed := range listing {
		tokensByProgram[listed.Program] = listed.Tokens
		if p := d.programs.get(listed.Program); p != nil && p.ended {
			orders = append(orders, Order{Type: OrderReleaseCache, Engine: engineName, Program: listed.Program})
		}
	}
	for entry := e.prefixes.oldest(); entry != nil && entry != &e.prefixes.root; {
		next := entry.next
		d.correctPrefix(entry, tokensByProgram[entry.program.id])
		entry = next
	}
	return orders
}

func (d *Dispatcher) correctPrefix(entry *prefix, tokens int64) {
	if tokens <= 0 {
		d.removePrefix(entry)
		return
	}
	entry.engine.cachedTokens += tokens - entry.tokens
	entry.tokens = tokens
}
