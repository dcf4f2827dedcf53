package schedule

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"jackdawbay.dev/api/caller"
	"jackdawbay.dev/api/errkind"
	"jackdawbay.dev/api/records"
)

const queueDepth = 40

// referenceModel tracks the requests to a dispatcher and its grants, as a reference for its state.
type referenceModel struct {
	d           *Dispatcher
	now         time.Time
	slots       map[string]int
	waiting     map[string]bool
	granted     map[string]Grant
	everGranted map[string]bool
	lastTicket  int
}

func newReferenceModel(t *rapid.T) *referenceModel {
	r := &referenceModel{
		d:           NewDispatcher(Config{QueueDepth: queueDepth, MaxPrograms: 30, GrantTTL: time.Minute}),
		now:         startTime,
		slots:       map[string]int{},
		waiting:     map[string]bool{},
		granted:     map[string]Grant{},
		everGranted: map[string]bool{},
	}
	for i := range rapid.IntRange(1, 4).Draw(t, "engines") {
		r.setEngine(t, fmt.Sprintf("e%d", i))
	}
	return r
}

func (r *referenceModel) setEngine(t *rapid.T, name string) {
	e := newEngineSpec(name, rapid.IntRange(1, 4).Draw(t, "slots"))
	e.CacheTokens = int64(rapid.IntRange(0, 30_000).Draw(t, "cache"))
	r.d.SetEngine(e)
	r.slots[name] = e.Slots
}

func (r *referenceModel) enqueue(t *rapid.T) {
	r.lastTicket++
	id := fmt.Sprintf("t%d", r.lastTicket)
	tk := newTicket(id, fmt.Sprintf("p%d", rapid.IntRange(0, 60).Draw(t, "program")))
	tk.PromptTokens = int64(rapid.IntRange(0, 20_000).Draw(t, "prompt"))
	tk.HistoryTokens = int64(rapid.IntRange(0, 20_000).Draw(t, "history"))
	tk.Class = rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "class")
	if rapid.Bool().Draw(t, "child") {
		tk.Parent = fmt.Sprintf("p%d", rapid.IntRange(0, 60).Draw(t, "parent"))
	}
	err := r.d.Enqueue(r.now, tk)
	if err == nil {
		r.waiting[id] = true
	} else if errkind.NewBody(err).Error.NotRun != errkind.NotRunTrue {
		t.Fatalf("rejection does not report not_run as true: %v", err)
	}
}

func (r *referenceModel) grant(t *rapid.T) {
	g, ok := r.d.NextGrant(r.now)
	r.dropExpired()
	if !ok {
		return
	}
	if !r.waiting[g.Ticket] || r.everGranted[g.Ticket] {
		t.Fatalf("ticket %s granted twice or not waiting", g.Ticket)
	}
	delete(r.waiting, g.Ticket)
	r.everGranted[g.Ticket] = true
	r.granted[g.Ticket] = g
}

func (r *referenceModel) dropExpired() {
	for id, g := range r.granted {
		if !g.Expires.After(r.now) {
			delete(r.granted, id)
		}
	}
}

func (r *referenceModel) release(t *rapid.T) {
	for id := range r.granted {
		usage := caller.Usage{}
		if rapid.Bool().Draw(t, "ran") {
			usage = caller.Usage{PromptTokens: 1000, CompletionTokens: 100}
		}
		r.d.Release(r.now, id, usage)
		delete(r.granted, id)
		return
	}
}

func (r *referenceModel) check(t *rapid.T) {
	if r.d.WaitingCount() != len(r.waiting) || r.d.WaitingCount() > queueDepth {
		t.Fatalf("dispatcher has %d waiting, reference %d, bound %d", r.d.WaitingCount(), len(r.waiting), queueDepth)
	}
	used := map[string]int{}
	for _, g := range r.granted {
		used[g.Engine]++
	}
	for _, e := range r.d.engines {
		if e.granted != used[e.Name] {
			t.Fatalf("engine %s has %d grants, reference %d", e.Name, e.granted, used[e.Name])
		}
	}
	if len(r.d.programs.byID) > 30+queueDepth+len(r.granted)+64 {
		t.Fatalf("%d programs are tracked", len(r.d.programs.byID))
	}
}

func (r *referenceModel) drain(t *rapid.T) {
	for range 100 * queueDepth {
		if len(r.waiting) == 0 {
			return
		}
		r.now = r.now.Add(time.Second)
		r.release(t)
		r.d.Tick(r.now)
		r.dropExpired()
		r.grant(t)
		r.check(t)
	}
	t.Fatalf("%d tickets were never granted", len(r.waiting))
}

// Guards against lost tickets, duplicate grants, engines with more grants than slots and an unbounded queue, under any
// order of events.
func TestDispatcherProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newReferenceModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"enqueue": r.enqueue,
			"grant": func(t *rapid.T) {
				before := map[string]int{}
				for _, e := range r.d.engines {
					before[e.Name] = e.granted
				}
				r.grant(t)
				for _, e := range r.d.engines {
					if e.granted > before[e.Name] && e.granted > r.slots[e.Name] {
						t.Fatalf("engine %s has %d grants and %d slots", e.Name, e.granted, r.slots[e.Name])
					}
				}
			},
			"release": r.release,
			"time": func(t *rapid.T) {
				r.now = r.now.Add(time.Duration(rapid.IntRange(0, 20_000).Draw(t, "ms")) * time.Millisecond)
				r.d.Tick(r.now)
				r.dropExpired()
			},
			"cancel": func(t *rapid.T) {
				id := fmt.Sprintf("t%d", rapid.IntRange(0, r.lastTicket).Draw(t, "id"))
				r.d.Cancel(id)
				delete(r.waiting, id)
			},
			"end": func(t *rapid.T) { r.d.EndProgram(fmt.Sprintf("p%d", rapid.IntRange(0, 60).Draw(t, "p"))) },
			"engine": func(t *rapid.T) {
				r.setEngine(t, fmt.Sprintf("e%d", rapid.IntRange(0, 3).Draw(t, "e")))
			},
			"remove": func(t *rapid.T) {
				name := fmt.Sprintf("e%d", rapid.IntRange(1, 3).Draw(t, "e"))
				r.d.RemoveEngine(name)
			},
			"evicted": func(t *rapid.T) {
				r.d.ObserveCacheEvent(CacheEvent{Engine: "e0", Type: CacheEvicted, Program: fmt.Sprintf("p%d", rapid.IntRange(0, 60).Draw(t, "p"))})
			},
			"": r.check,
		})
		r.drain(t)
	})
}

// Guards against starvation: a ticket of a slow class must start within the bound given by the ageing, whatever arrives
// later.
func TestNoClassStarvation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newDispatcher(Config{QueueDepth: 10_000}, newEngineSpec("e", 1))
		d.SetClassLimit(records.Limit{Class: "slow", Weight: rapid.Float64Range(0.5, 1).Draw(t, "weight")})
		d.SetClassLimit(records.Limit{Class: "fast", Weight: 10})
		old := newTicket("old", "old")
		old.Class, old.SpentTokens = "slow", rapid.Int64Range(0, 10_000_000).Draw(t, "spent")
		if err := d.Enqueue(startTime, old); err != nil {
			t.Fatal(err)
		}
		// At an ageing of one per second, a later ticket precedes the old one only if it arrives within the difference
		// of their keys. Two tickets arrive and one is served per second.
		difference := d.items["old"].key
		bound := 2*int(math.Ceil(difference)) + 4
		highest := basePenaltySeconds + d.cfg.ServicePenalty*math.Log2(1+spentToService*10_000_000/d.cfg.ServiceUnit)
		if difference > highest/0.5 {
			t.Fatalf("the penalty is %.0f s", difference)
		}
		for i := range bound {
			now := startTime.Add(time.Duration(i) * time.Second)
			for j := range 2 {
				tk := newTicket(fmt.Sprintf("%d-%d", i, j), fmt.Sprintf("%d-%d", i, j))
				tk.Class = "fast"
				if err := d.Enqueue(now, tk); err != nil {
					t.Fatal(err)
				}
			}
			g, ok := d.NextGrant(now)
			if !ok {
				t.Fatal("no grant despite a free slot and waiting tickets")
			}
			if g.Ticket == "old" {
				return
			}
			d.Release(now, g.Ticket, caller.Usage{PromptTokens: 1000, CompletionTokens: 10})
			d.EndProgram(g.Ticket)
		}
		t.Fatalf("the old ticket was not granted within %d s", bound)
	})
}
