// Package experiment compares scheduling policies on simulated engines. It uses a virtual clock: events run in order of
// their time and nothing sleeps, so the result of a run depends only on its settings and its seed.
package experiment

import "container/heap"

// event is a function that is scheduled at a virtual time in seconds.
type event struct {
	at  float64
	seq uint64
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// clock holds the virtual time in seconds and the scheduled events.
type clock struct {
	now    float64
	events eventHeap
	seq    uint64
}

// after schedules f to run after the given number of seconds.
func (c *clock) after(seconds float64, f func()) {
	c.seq++
	heap.Push(&c.events, event{at: c.now + max(seconds, 0), seq: c.seq, run: f})
}

// runNextEvent runs the next event. It returns false when no event is scheduled.
func (c *clock) runNextEvent() bool {
	if len(c.events) == 0 {
		return false
	}
	e := heap.Pop(&c.events).(event)
	c.now = e.at
	e.run()
	return true
}
