package schedule

import "time"

type itemState uint8

const (
	stateQueued  itemState = iota // Waits in its model queue.
	stateBound                    // Waits for one engine.
	stateGranted                  // Holds a slot.
)

// item is a ticket in a dispatcher, with its scheduling state.
type item struct {
	Ticket
	key                float64 // Sort key in the queue, lowest first; it does not change while the ticket waits.
	seq                uint64  // Arrival number; breaks ties between equal keys.
	state              itemState
	hasWaitedForEngine bool // Has been bound to an engine before, and no longer waits for an engine that has cached its prefix.
	modelQueue         *modelQueue
	queue              *queue // Queue that contains the item in stateQueued.
	class              *classState
	program            *program
	root               *program
	engine             *engine   // Set in stateBound and stateGranted.
	expiresAt          time.Time // End of the wait for an engine, or expiry of the grant.
	grantedAt          time.Time
	contextInUse       int64 // Engine memory in tokens that a granted call uses.
	cachedTokens       int64 // Prompt tokens that the engine was expected to have cached at the grant.
	queueIndex         int   // Index in the queue that contains the item.
	timerIndex         int   // Index in the timers; -1 if not there.
}

func isBefore(a, b *item) bool {
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
	it.queueIndex = len(q.items)
	q.items = append(q.items, it)
	q.siftUp(it.queueIndex)
}

func (q *queue) remove(it *item) {
	i, last := it.queueIndex, len(q.items)-1
	q.swap(i, last)
	q.items[last] = nil
	q.items = q.items[:last]
	if i < last {
		q.siftUp(i)
		q.siftDown(i)
	}
}

func (q *queue) swap(i, j int) {
	q.items[i], q.items[j] = q.items[j], q.items[i]
	q.items[i].queueIndex = i
	q.items[j].queueIndex = j
}

func (q *queue) siftUp(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !isBefore(q.items[i], q.items[parent]) {
			return
		}
		q.swap(i, parent)
		i = parent
	}
}

func (q *queue) siftDown(i int) {
	for {
		child := 2*i + 1
		if child >= len(q.items) {
			return
		}
		if child+1 < len(q.items) && isBefore(q.items[child+1], q.items[child]) {
			child++
		}
		if !isBefore(q.items[child], q.items[i]) {
			return
		}
		q.swap(i, child)
		i = child
	}
}

// timerHeap is a binary heap of items by expiry time.
type timerHeap struct{ items []*item }

func (t *timerHeap) head() *item {
	if len(t.items) == 0 {
		return nil
	}
	return t.items[0]
}

func (t *timerHeap) set(it *item, expiry time.Time) {
	t.remove(it)
	it.expiresAt = expiry
	it.timerIndex = len(t.items)
	t.items = append(t.items, it)
	t.siftUp(it.timerIndex)
}

func (t *timerHeap) remove(it *item) {
	i, last := it.timerIndex, len(t.items)-1
	if i < 0 {
		return
	}
	t.swap(i, last)
	t.items[last] = nil
	t.items = t.items[:last]
	it.timerIndex = -1
	if i < last {
		t.siftUp(i)
		t.siftDown(i)
	}
}

func (t *timerHeap) less(i, j int) bool {
	a, b := t.items[i], t.items[j]
	if !a.expiresAt.Equal(b.expiresAt) {
		return a.expiresAt.Before(b.expiresAt)
	}
	return a.seq < b.seq
}

func (t *timerHeap) swap(i, j int) {
	t.items[i], t.items[j] = t.items[j], t.items[i]
	t.items[i].timerIndex = i
	t.items[j].timerIndex = j
}

func (t *timerHeap) siftUp(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !t.less(i, parent) {
			return
		}
		t.swap(i, parent)
		i = parent
	}
}

func (t *timerHeap) siftDown(i int) {
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
