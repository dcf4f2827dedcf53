package schedule

import "time"

type itemState uint8

const (
	stateLane    itemState = iota // Waits in the lane of its model.
	stateBound                    // Waits for one engine.
	stateGranted                  // Holds a slot.
)

// item is a ticket inside a dispatcher.
type item struct {
	Ticket
	key      float64 // Order in the queue, lowest first; it does not change while the ticket waits.
	seq      uint64  // Breaks ties in order of arrival.
	state    itemState
	held     bool // Has waited for the holder of its prefix once.
	lane     *lane
	queue    *queue // The queue that holds the item while it waits.
	class    *classState
	program  *program
	root     *program
	engine   *engine   // Set in stateBound and stateGranted.
	when     time.Time // End of the hold, or expiry of the grant.
	started  time.Time
	pinned   int64 // Tokens of engine memory that a granted call takes.
	cached   int64
	pos      int // Position in the queue that holds the item.
	timerPos int // Position in the timers; -1 when not there.
}

func before(a, b *item) bool {
	if a.key != b.key {
		return a.key < b.key
	}
	return a.seq < b.seq
}

// queue is a binary heap of items by key.
type queue struct{ items []*item }

func (q *queue) head() *item {
	if len(q.items) == 0 {
		return nil
	}
	return q.items[0]
}

func (q *queue) push(it *item) {
	it.pos = len(q.items)
	q.items = append(q.items, it)
	q.up(it.pos)
}

func (q *queue) remove(it *item) {
	i, last := it.pos, len(q.items)-1
	q.swap(i, last)
	q.items[last] = nil
	q.items = q.items[:last]
	if i < last {
		q.up(i)
		q.down(i)
	}
}

func (q *queue) swap(i, j int) {
	q.items[i], q.items[j] = q.items[j], q.items[i]
	q.items[i].pos = i
	q.items[j].pos = j
}

func (q *queue) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !before(q.items[i], q.items[parent]) {
			return
		}
		q.swap(i, parent)
		i = parent
	}
}

func (q *queue) down(i int) {
	for {
		child := 2*i + 1
		if child >= len(q.items) {
			return
		}
		if child+1 < len(q.items) && before(q.items[child+1], q.items[child]) {
			child++
		}
		if !before(q.items[child], q.items[i]) {
			return
		}
		q.swap(i, child)
		i = child
	}
}

// timers is a binary heap of items by time.
type timers struct{ items []*item }

func (t *timers) head() *item {
	if len(t.items) == 0 {
		return nil
	}
	return t.items[0]
}

func (t *timers) set(it *item, when time.Time) {
	t.remove(it)
	it.when = when
	it.timerPos = len(t.items)
	t.items = append(t.items, it)
	t.up(it.timerPos)
}

func (t *timers) remove(it *item) {
	i, last := it.timerPos, len(t.items)-1
	if i < 0 {
		return
	}
	t.swap(i, last)
	t.items[last] = nil
	t.items = t.items[:last]
	it.timerPos = -1
	if i < last {
		t.up(i)
		t.down(i)
	}
}

func (t *timers) less(i, j int) bool {
	a, b := t.items[i], t.items[j]
	if !a.when.Equal(b.when) {
		return a.when.Before(b.when)
	}
	return a.seq < b.seq
}

func (t *timers) swap(i, j int) {
	t.items[i], t.items[j] = t.items[j], t.items[i]
	t.items[i].timerPos = i
	t.items[j].timerPos = j
}

func (t *timers) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !t.less(i, parent) {
			return
		}
		t.swap(i, parent)
		i = parent
	}
}

func (t *timers) down(i int) {
	for {
		child := 2*i + 1
		if child >= len(t.items) {
			return
		}
		if child+1 < len(t.items) && t.less(child+1, child) {
			child++
		}
		if !t.less(child, i) {
			return
		}
		t.swap(i, child)
		i = child
	}
}
