package schedule

// programTable maps ids to programs and tracks the order of last use. The caller limits its size.
type programTable struct {
	byID map[string]*program
	root program // Root of a circular list in order of last use; root.next is the least recently used.
	pool []*program
}

func (t *programTable) init() {
	t.byID = map[string]*program{}
	t.root.prev, t.root.next = &t.root, &t.root
}

func (t *programTable) get(id string) *program { return t.byID[id] }

// markUsed makes p the most recently used program.
func (t *programTable) markUsed(p *program) {
	t.unlink(p)
	p.prev, p.next = t.root.prev, &t.root
	p.prev.next, p.next.prev = p, p
}

func (t *programTable) unlink(p *program) {
	if p.prev != nil {
		p.prev.next, p.next.prev = p.next, p.prev
	}
	p.prev, p.next = nil, nil
}

func (t *programTable) add(id string) *program {
	var p *program
	if n := len(t.pool); n > 0 {
		p = t.pool[n-1]
		t.pool = t.pool[:n-1]
	} else {
		p = &program{}
	}
	p.id = id
	t.byID[id] = p
	t.markUsed(p)
	return p
}

func (t *programTable) remove(p *program) {
	delete(t.byID, p.id)
	t.unlink(p)
	reused := p.prefixes[:0]
	*p = program{prefixes: reused}
	t.pool = append(t.pool, p)
}

// oldestIdle returns the least recently used program without tickets and children, or nil. It examines at most
// maxCandidates programs.
func (t *programTable) oldestIdle() *program {
	const maxCandidates = 64
	p := t.root.next
	for range maxCandidates {
		if p == &t.root {
			return nil
		}
		if p.inFlight == 0 && p.children == 0 {
			return p
		}
		p = p.next
	}
	return nil
}

// programFor returns the program with the id, creating it if needed, and marks it as the most recently used. The attained
// service of a new program is derived from spent.
func (d *Dispatcher) programFor(id, parent string, spent int64) *program {
	p := d.programs.get(id)
	if p != nil {
		d.programs.markUsed(p)
		return p
	}
	if len(d.programs.byID) >= d.cfg.MaxPrograms {
		if idle := d.programs.oldestIdle(); idle != nil {
			d.removeProgram(idle)
		}
	}
	p = d.programs.add(id)
	p.attainedService = float64(spent) * spentToService
	d.setParent(p, parent)
	return p
}

// setParent makes a sub-agent account its service to the root of its parent.
func (d *Dispatcher) setParent(p *program, parent string) {
	p.root = p
	if parent == "" || parent == p.id {
		return
	}
	parentProgram := d.programs.get(parent)
	if parentProgram == nil {
		parentProgram = d.programFor(parent, "", 0)
	}
	p.root = parentProgram.root
	p.root.children++
	p.root.attainedService += p.attainedService
}

// removeProgram removes a program that has no tickets and no children.
func (d *Dispatcher) removeProgram(p *program) {
	for len(p.prefixes) > 0 {
		d.removePrefix(p.prefixes[len(p.prefixes)-1])
	}
	clearDemand(p)
	if p.root != p {
		p.root.children--
	}
	d.programs.remove(p)
}

// EndProgram marks a program as ended and returns release orders for its prefixes. It removes the program if no ticket or
// child refers to it.
func (d *Dispatcher) EndProgram(id string) []Order {
	p := d.programs.get(id)
	if p == nil {
		return nil
	}
	p.ended = true
	clearDemand(p)
	if !d.cfg.isEnabled(CacheRelease) {
		return nil
	}
	orders := d.releasePrefixes(p, nil)
	if p.inFlight == 0 && p.children == 0 {
		d.removeProgram(p)
	}
	return orders
}

// releasePrefixes removes the prefixes of a program and appends their release orders to orders.
func (d *Dispatcher) releasePrefixes(p *program, orders []Order) []Order {
	for len(p.prefixes) > 0 {
		entry := p.prefixes[len(p.prefixes)-1]
		orders = append(orders, Order{Type: OrderReleaseCache, Engine: entry.engine.Name, Program: p.id})
		d.removePrefix(entry)
	}
	return orders
}
