package schedule

import "time"

// maxHolders bounds the engines that are remembered as holding the prefix of one program.
const maxHolders = 3

// program is what a dispatcher remembers of one program.
type program struct {
	id         string
	root       *program // The program that counts the service; itself without a parent.
	children   int      // Programs that count their service here.
	service    float64  // Engine work so far in prefill tokens, with that of sub-agents.
	seen       bool     // A call of the program has ended here.
	inFlight   int      // Tickets that wait or hold a slot.
	ended      bool
	pausedAt   time.Time
	home       *engine // Engine whose memory the program is expected to use with its next call.
	context    int64   // Tokens that it is expected to need there.
	prefixes   []*prefix
	prev, next *program // By last use, in Dispatcher.programs.
	prevHome   *program // By last use, in home.homes.
	nextHome   *program
}

// prefix is the expected cache of one program on one engine.
type prefix struct {
	program    *program
	engine     *engine
	tokens     int64
	prev, next *prefix // By last use, in engine.prefixes.
}

// prefixList is a ring by last use; next of the root is the oldest.
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
	for _, x := range p.prefixes {
		if x.engine == e {
			return x
		}
	}
	return nil
}

// hold records that an engine holds tokens of a program, as the most recently used prefix. It follows the engine's own
// least-recently-used eviction, since cache events arrive late.
func (d *Dispatcher) hold(p *program, e *engine, tokens int64) {
	x := p.prefixOn(e)
	if x == nil {
		if len(p.prefixes) == maxHolders {
			d.forget(smallest(p.prefixes))
		}
		x = d.newPrefix()
		x.program, x.engine = p, e
		p.prefixes = append(p.prefixes, x)
	} else {
		e.prefixes.unlink(x)
		e.heldTokens -= x.tokens
	}
	x.tokens = tokens
	e.heldTokens += tokens
	e.prefixes.pushNewest(x)
	d.evict(e, x)
}

func smallest(list []*prefix) *prefix {
	best := list[0]
	for _, x := range list[1:] {
		if x.tokens < best.tokens {
			best = x
		}
	}
	return best
}

// evict forgets the prefixes that no longer fit, except keep.
func (d *Dispatcher) evict(e *engine, keep *prefix) {
	for e.CacheTokens > 0 && e.heldTokens > e.CacheTokens {
		x := e.prefixes.oldest()
		if x == nil || x == keep {
			return
		}
		over := e.heldTokens - e.CacheTokens
		if over < x.tokens {
			x.tokens -= over
			e.heldTokens -= over
			return
		}
		d.forget(x)
	}
}

// forget removes a prefix from the index.
func (d *Dispatcher) forget(x *prefix) {
	p, e := x.program, x.engine
	e.prefixes.unlink(x)
	e.heldTokens -= x.tokens
	for i, y := range p.prefixes {
		if y == x {
			last := len(p.prefixes) - 1
			p.prefixes[i] = p.prefixes[last]
			p.prefixes[last] = nil
			p.prefixes = p.prefixes[:last]
			break
		}
	}
	x.program, x.engine, x.prev, x.next = nil, nil, nil, nil
	d.freePrefixes = append(d.freePrefixes, x)
}

func (d *Dispatcher) newPrefix() *prefix {
	n := len(d.freePrefixes)
	if n == 0 {
		return &prefix{}
	}
	x := d.freePrefixes[n-1]
	d.freePrefixes = d.freePrefixes[:n-1]
	return x
}

// ObserveCacheEvent takes a cache event. Events are late, so they only correct what the ends of calls have shown.
func (d *Dispatcher) ObserveCacheEvent(ev CacheEvent) {
	e := d.byName[ev.Engine]
	p := d.programs.get(ev.Program)
	if e == nil || p == nil || ev.Type == CacheGap {
		return
	}
	x := p.prefixOn(e)
	if ev.Type == CacheStored {
		if x == nil && !p.ended {
			d.hold(p, e, ev.Tokens)
		}
		return
	}
	if x == nil {
		return
	}
	if ev.Type == CacheReleased || ev.Tokens <= 0 {
		d.forget(x)
		return
	}
	if ev.Tokens < x.tokens {
		e.heldTokens -= x.tokens - ev.Tokens
		x.tokens = ev.Tokens
	}
}

// ObserveCacheListing takes a full listing of an engine's cache, which repairs gaps in its events. It returns releases of the
// prefixes whose programs have ended.
func (d *Dispatcher) ObserveCacheListing(engineName string, held []CachedPrefix) []Order {
	e := d.byName[engineName]
	if e == nil {
		return nil
	}
	listed := make(map[string]int64, len(held))
	var orders []Order
	for _, h := range held {
		listed[h.Program] = h.Tokens
		if p := d.programs.get(h.Program); p != nil && p.ended {
			orders = append(orders, Order{Type: OrderReleaseCache, Engine: engineName, Program: h.Program})
		}
	}
	for x := e.prefixes.oldest(); x != nil && x != &e.prefixes.root; {
		next := x.next
		d.correct(x, listed[x.program.id])
		x = next
	}
	return orders
}

func (d *Dispatcher) correct(x *prefix, tokens int64) {
	if tokens <= 0 {
		d.forget(x)
		return
	}
	x.engine.heldTokens += tokens - x.tokens
	x.tokens = tokens
}
