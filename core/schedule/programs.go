package schedule

// programTable remembers programs by id, in order of last use, up to a bound.
type programTable struct {
	byID map[string]*program
	root program // Ring by last use; next of the root is the oldest.
	free []*program
}

func (t *programTable) init() {
	t.byID = map[string]*program{}
	t.root.prev, t.root.next = &t.root, &t.root
}

func (t *programTable) get(id string) *program { return t.byID[id] }

// touch makes p the most recently used program.
func (t *programTable) touch(p *program) {
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
	if n := len(t.free); n > 0 {
		p = t.free[n-1]
		t.free = t.free[:n-1]
	} else {
		p = &program{}
	}
	p.id = id
	t.byID[id] = p
	t.touch(p)
	return p
}

func (t *programTable) remove(p *program) {
	delete(t.byID, p.id)
	t.unlink(p)
	kept := p.prefixes[:0]
	*p = program{prefixes: kept}
	t.free = append(t.free, p)
}

// idle returns the least recently used program that nothing refers to, looking at a bounded number of candidates.
func (t *programTable) idle() *program {
	const candidates = 64
	p := t.root.next
	for range candidates {
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

// lookup returns the program with the id and makes it the most recently used. A new one takes its service from spent.
func (d *Dispatcher) lookup(id, parent string, spent int64) *program {
	p := d.programs.get(id)
	if p != nil {
		d.programs.touch(p)
		return p
	}
	if len(d.programs.byID) >= d.cfg.MaxPrograms {
		if old := d.programs.idle(); old != nil {
			d.dropProgram(old)
		}
	}
	p = d.programs.add(id)
	p.service = float64(spent) * spentToService
	d.linkParent(p, parent)
	return p
}

// linkParent makes a sub-agent count its service with the program at the top of its chain.
func (d *Dispatcher) linkParent(p *program, parent string) {
	p.root = p
	if parent == "" || parent == p.id {
		return
	}
	top := d.programs.get(parent)
	if top == nil {
		top = d.lookup(parent, "", 0)
	}
	p.root = top.root
	p.root.children++
	p.root.service += p.service
}

// dropProgram forgets a program that has no tickets and no children.
func (d *Dispatcher) dropProgram(p *program) {
	for len(p.prefixes) > 0 {
		d.forget(p.prefixes[len(p.prefixes)-1])
	}
	leaveHome(p)
	if p.root != p {
		p.root.children--
	}
	d.programs.remove(p)
}

// ProgramEnded forgets a program and returns the releases of its prefixes.
func (d *Dispatcher) EndProgram(id string) []Order {
	p := d.programs.get(id)
	if p == nil {
		return nil
	}
	p.ended = true
	leaveHome(p)
	if !d.cfg.on(CacheRelease) {
		return nil
	}
	orders := d.release(p, nil)
	if p.inFlight == 0 && p.children == 0 {
		d.dropProgram(p)
	}
	return orders
}

// release forgets the prefixes of a program and appends the orders that release them.
func (d *Dispatcher) release(p *program, orders []Order) []Order {
	for len(p.prefixes) > 0 {
		x := p.prefixes[len(p.prefixes)-1]
		orders = append(orders, Order{Type: OrderReleaseCache, Engine: x.engine.Name, Program: p.id})
		d.forget(x)
	}
	return orders
}
