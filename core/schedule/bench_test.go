package schedule

import (
	"fmt"
	"testing"
	"time"

	"jackdawbay.dev/api/caller"
	"jackdawbay.dev/api/records"
)

const (
	benchEngines  = 600
	benchSlots    = 16
	benchWaiting  = 5000
	benchPrograms = 40_000
	benchModels   = 6
)

// benchLoad drives a dispatcher in a steady state with a fixed set of programs and ticket ids.
type benchLoad struct {
	d           *Dispatcher
	now         time.Time
	tickets     []Ticket
	nextTicket  int
	running     []string // Ring buffer of granted tickets, with capacity for all slots.
	oldestGrant int      // Index of the grant that ends next.
	grants      int      // Number of grants in running.
}

func newBenchLoad(b *testing.B, busy int) *benchLoad {
	b.Helper()
	l := &benchLoad{d: NewDispatcher(Config{QueueDepth: 2 * benchWaiting, MaxPrograms: 2 * benchPrograms}), now: startTime}
	for i := range benchEngines {
		l.d.SetEngine(Engine{
			Name:        fmt.Sprintf("engine-%d", i),
			Slots:       benchSlots,
			CacheTokens: 600_000,
			Models:      []ReadyModel{{Name: fmt.Sprintf("m%d", i%benchModels)}},
		})
	}
	for i := range benchPrograms {
		l.tickets = append(l.tickets, Ticket{
			ID: fmt.Sprintf("t%d", i), Program: fmt.Sprintf("p%d", i), Tenant: fmt.Sprintf("o%d", i%100),
			Model: fmt.Sprintf("m%d", i%benchModels), PromptTokens: int64(2000 + i%30_000), HistoryTokens: int64(1800 + i%30_000),
		})
	}
	l.d.SetClassLimit(records.Limit{Weight: 1, QueueDepth: 2 * benchWaiting})
	l.running = make([]string, benchEngines*benchSlots)
	for l.grants < busy {
		l.enqueue(b)
		l.grantNext()
	}
	return l
}

func (l *benchLoad) enqueue(b *testing.B) {
	t := l.tickets[l.nextTicket%len(l.tickets)]
	l.nextTicket++
	if err := l.d.Enqueue(l.now, t); err != nil {
		b.Fatal(err)
	}
}

func (l *benchLoad) grantNext() {
	g, ok := l.d.NextGrant(l.now)
	if !ok {
		return
	}
	l.running[(l.oldestGrant+l.grants)%len(l.running)] = g.Ticket
	l.grants++
}

// step ends the oldest call, enqueues a ticket and requests a grant.
func (l *benchLoad) step(b *testing.B) {
	l.now = l.now.Add(time.Millisecond)
	l.d.Release(l.now, l.running[l.oldestGrant], caller.Usage{PromptTokens: 5000, CachedTokens: 4000, CompletionTokens: 300})
	l.oldestGrant = (l.oldestGrant + 1) % len(l.running)
	l.grants--
	l.enqueue(b)
	l.grantNext()
}

func runBench(b *testing.B, busy, waiting int) {
	l := newBenchLoad(b, busy)
	for range waiting {
		l.enqueue(b)
	}
	// Reaches the steady state, in which pools and maps have their final size.
	for range 2 * benchPrograms {
		l.step(b)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		l.step(b)
	}
}

// BenchmarkDecisionSaturated measures a step with all slots of 600 engines in use and 5,000 waiting tickets.
func BenchmarkDecisionSaturated(b *testing.B) {
	runBench(b, benchEngines*benchSlots, benchWaiting)
}

// BenchmarkDecisionHalfLoad measures a step with half of the slots in use and free slots on all engines.
func BenchmarkDecisionHalfLoad(b *testing.B) {
	runBench(b, benchEngines*benchSlots/2, 0)
}
