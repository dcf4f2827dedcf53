package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

var startTime = time.Unix(1_000_000, 0)

func newQueue() *Queue { return NewQueue(func() float64 { return 0.5 }) }

func after(ms int) time.Time { return startTime.Add(time.Duration(ms) * time.Millisecond) }

// waiter returns a request that arrives now and has 3 s.
func waiter(id uint64, change func(*Waiter)) Waiter {
	w := Waiter{ID: id, Arrived: startTime, Deadline: after(3000), Continues: true, WorkLeft: 100 * time.Millisecond}
	if change != nil {
		change(&w)
	}
	return w
}

func takeAll(q *Queue, now time.Time) []uint64 {
	var ids []uint64
	for {
		a, ok := q.Take(now)
		if !ok {
			return ids
		}
		ids = append(ids, a.Waiter.ID)
	}
}

// Load: a burst of callers that compete for few slots. Guards against an order other than priority, then requests that finish a
// program, then least slack, and against waiters that starve.
func TestOrder(t *testing.T) {
	first := func(w *Waiter) { w.Continues = false }
	cases := map[string]struct {
		waiters []Waiter
		want    []uint64
	}{
		"arrival":                    {[]Waiter{waiter(1, nil), waiter(2, nil), waiter(3, nil)}, []uint64{1, 2, 3}},
		"priority":                   {[]Waiter{waiter(1, func(w *Waiter) { w.Priority = 2 }), waiter(2, func(w *Waiter) { w.Priority = 1 }), waiter(3, nil)}, []uint64{3, 2, 1}},
		"priority before first turn": {[]Waiter{waiter(1, func(w *Waiter) { w.Priority = 1 }), waiter(2, first)}, []uint64{2, 1}},
		"first turns last":           {[]Waiter{waiter(1, first), waiter(2, nil), waiter(3, first)}, []uint64{2, 1, 3}},
		"first turn before slack": {[]Waiter{waiter(1, func(w *Waiter) { w.Continues, w.FinishBy = false, after(300) }), waiter(2, func(w *Waiter) {
			w.FinishBy, w.Deadline = after(60_000), after(60_000)
		})}, []uint64{2, 1}},
		"slack": {[]Waiter{waiter(1, nil), waiter(2, func(w *Waiter) { w.FinishBy = after(500) }), waiter(3, func(w *Waiter) { w.WorkLeft = time.Second })}, []uint64{2, 3, 1}},
		"waiting time outweighs priority": {[]Waiter{waiter(1, nil), waiter(2, func(w *Waiter) { w.Priority, w.Arrived = 9, startTime.Add(-7*time.Second) })},
			[]uint64{2, 1}},
	}
	for name, c := range cases {
		q := newQueue()
		for _, w := range c.waiters {
			must.True(t, q.Enqueue(startTime, w).Queued, must.Sprint(name))
		}
		test.Eq(t, c.want, takeAll(q, startTime), test.Sprint(name))
	}
}

// Load: one organisation with 7.5 times its usual load beside others. Guards against its waiters before those of the others, and
// against a queue that it fills alone.
func TestOrganisationAboveItsShare(t *testing.T) {
	q := newQueue()
	for i := range 400 {
		organisation := "busy"
		if i%8 == 0 {
			organisation = fmt.Sprint("other", i%3)
		}
		q.RecordStart(startTime, organisation)
	}
	of := func(organisation string) func(*Waiter) { return func(w *Waiter) { w.Organisation = organisation } }
	q.Enqueue(startTime, waiter(1, of("busy")))
	q.Enqueue(startTime, waiter(2, of("other0")))
	q.Enqueue(startTime, waiter(3, of("new")))
	test.Eq(t, []uint64{2, 3, 1}, takeAll(q, startTime))
	q.Enqueue(startTime, waiter(4, of("other1")))
	queued := 0
	for i := range 2 * maxWaiters {
		if q.Enqueue(startTime, waiter(uint64(10+i), of("busy"))).Queued {
			queued++
		}
	}
	test.EqOp(t, maxWaiters/2, queued)
	test.True(t, q.Enqueue(startTime, waiter(5, of("other2"))).Queued)
	d := q.Enqueue(startTime, waiter(6, of("busy")))
	test.EqOp(t, CauseOrganisation, d.Cause)
}

// Load: more requests than upstreams can serve. Guards against a request that waits in vain, against a Retry-After far from the
// estimate or equal for all callers, and against a rejection without a fresh report that the upstreams are full.
func TestRejection(t *testing.T) {
	random := 0.0
	q := NewQueue(func() float64 { return random })
	for range 10 {
		q.RecordStart(startTime, "")
	}
	for range 200 {
		q.RecordStart(startTime, "")
		q.RecordEnd(500 * time.Millisecond)
	}
	for i := range 40 { // 20 are served per second.
		must.True(t, q.Enqueue(startTime, waiter(uint64(i), nil)).Queued, must.Sprint("no report has arrived"))
	}
	q.RecordReport(startTime)
	test.True(t, q.Enqueue(after(1), waiter(100, nil)).Queued)
	short := waiter(101, func(w *Waiter) { w.Priority, w.Deadline = 1, after(1500) })
	d := q.Enqueue(after(1), short)
	must.False(t, d.Queued)
	test.EqOp(t, CauseWait, d.Cause)
	test.Between(t, 1800*time.Millisecond, d.EstimatedWait, 2200*time.Millisecond)
	test.EqOp(t, d.EstimatedWait, d.RetryAfter)
	random = 1
	test.EqOp(t, d.EstimatedWait*3/2, q.Enqueue(after(1), short).RetryAfter)
	test.True(t, q.Enqueue(after(1), waiter(102, func(w *Waiter) {
		w.Deadline, w.Arrived = after(1500), startTime.Add(-5*time.Second)
	})).Queued, test.Sprint("the first in the order waits for a short time"))
	test.True(t, q.Enqueue(after(1).Add(evidenceMaxAge), short).Queued, test.Sprint("the report is old"))
	q = newQueue()
	for i := range 2 * maxWaiters {
		q.Enqueue(startTime, waiter(uint64(1000+i), nil))
	}
	test.EqOp(t, maxWaiters, q.Len())
	test.EqOp(t, CauseQueueFull, q.Enqueue(startTime, waiter(7, nil)).Cause)
}

// Load: upstreams that are free although the gateway believes that they are full. Guards against waiters that are held for more
// than 40 ms and a tenth of their time left without news, against a flood of all waiters at once, and against a queue that does
// not empty.
func TestWaitersAreNotHeldWithoutNews(t *testing.T) {
	q := newQueue()
	q.RecordReport(startTime)
	for i := range 20 {
		q.Enqueue(startTime, waiter(uint64(i), nil))
	}
	test.SliceEmpty(t, q.Next(after(299)))
	at, ok := q.NextCheck(after(1))
	must.True(t, ok)
	test.Eq(t, after(300), at)
	test.SliceLen(t, 1, q.Next(after(300)))
	test.SliceEmpty(t, q.Next(after(569)))
	test.SliceLen(t, 2, q.Next(after(570)))
	q.RecordReport(after(600))
	test.SliceEmpty(t, q.Next(after(839)))
	sent := 0
	for ms := 840; ms <= 2000; ms += 10 {
		sent += len(q.Next(after(ms)))
	}
	test.EqOp(t, 17, sent)
	test.EqOp(t, 0, q.Len())
	q.Enqueue(after(3000), waiter(50, func(w *Waiter) { w.Deadline = after(3100) }))
	test.SliceEmpty(t, q.Next(after(3039)))
	admitted := q.Next(after(3040))
	must.SliceLen(t, 1, admitted)
	test.True(t, admitted[0].Overdue)
	test.EqOp(t, 40*time.Millisecond, admitted[0].Waited)
}

// Guards against a waiter that is held until its deadline, against one that stays after its caller has left, and against counts of
// organisations that are not released.
func TestLeaveAndExpire(t *testing.T) {
	q := newQueue()
	q.Enqueue(startTime, waiter(1, func(w *Waiter) { w.Organisation = "a" }))
	q.Enqueue(startTime, waiter(2, func(w *Waiter) { w.Organisation, w.Deadline = "b", after(500) }))
	test.True(t, q.Leave(1))
	test.False(t, q.Leave(1))
	test.SliceEmpty(t, q.Expired(after(399)))
	expired := q.Expired(after(400))
	must.SliceLen(t, 1, expired)
	test.EqOp(t, 2, expired[0].ID)
	test.MapEmpty(t, q.perOrg)
	_, ok := q.NextCheck(startTime)
	test.False(t, ok)
}

// Guards against a queue of any history that loses a waiter, takes one twice, or holds more than its limit.
func TestQueueProperties(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		q := NewQueue(random.Float64)
		now, nextID := startTime, uint64(0)
		waiting := map[uint64]time.Time{}
		remove := func(id uint64) {
			_, ok := waiting[id]
			must.True(t, ok, must.Sprintf("seed %d: waiter %d left twice", seed, id))
			delete(waiting, id)
		}
		for range 500 {
			now = now.Add(time.Duration(random.IntN(20)) * time.Millisecond)
			switch random.IntN(6) {
			case 0, 1, 2:
				nextID++
				w := Waiter{ID: nextID, Priority: random.IntN(4), Organisation: fmt.Sprint(random.IntN(5)), Continues: random.IntN(2) == 0,
					Arrived: now, Deadline: now.Add(time.Duration(random.IntN(4000)) * time.Millisecond)}
				if q.Enqueue(now, w).Queued {
					waiting[w.ID] = w.Deadline
				}
			case 3:
				q.RecordStart(now, fmt.Sprint(random.IntN(5)))
				q.RecordReport(now)
			case 4:
				q.RecordEnd(time.Duration(random.IntN(500)) * time.Millisecond)
				if a, ok := q.Take(now); ok {
					remove(a.Waiter.ID)
				}
			case 5:
				for _, w := range q.Expired(now) {
					remove(w.ID)
				}
				for _, a := range q.Next(now) {
					remove(a.Waiter.ID)
				}
			}
			must.EqOp(t, len(waiting), q.Len())
			must.LessEq(t, maxWaiters, q.Len())
		}
		// Without news, all are sent or rejected before their deadlines.
		for q.Len() > 0 {
			at, ok := q.NextCheck(now)
			must.True(t, ok)
			must.True(t, at.After(now))
			now = at
			for _, w := range q.Expired(now) {
				remove(w.ID)
			}
			for _, a := range q.Next(now) {
				remove(a.Waiter.ID)
			}
		}
		must.MapEmpty(t, waiting)
		must.MapEmpty(t, q.perOrg)
	}
}

// BenchmarkEnqueue measures the decision for a request in a full queue with many organisations.
func BenchmarkEnqueue(b *testing.B) {
	q := newQueue()
	for i := range maxWaiters - 1 {
		organisation := fmt.Sprint("o", i%100)
		q.RecordStart(startTime, organisation)
		q.Enqueue(startTime, waiter(uint64(i), func(w *Waiter) { w.Organisation, w.Priority = organisation, i%4 }))
	}
	b.ReportAllocs()
	for b.Loop() {
		q.Enqueue(startTime, waiter(1<<40, func(w *Waiter) { w.Organisation = "o7" }))
		q.Leave(1 << 40)
	}
}

// BenchmarkNext measures the decisions after a report in a full queue.
func BenchmarkNext(b *testing.B) {
	q := newQueue()
	for i := range maxWaiters {
		q.Enqueue(startTime, waiter(uint64(i), nil))
	}
	q.RecordReport(startTime)
	b.ReportAllocs()
	for b.Loop() {
		q.Next(after(1))
		q.Expired(after(1))
		q.NextCheck(after(1))
	}
}
