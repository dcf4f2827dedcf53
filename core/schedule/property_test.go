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

const modelDepth = 40

// reference is a plain record of what was asked of a dispatcher and what it granted.
type reference struct {
	d       *Dispatcher
	now     time.Time
	slots   map[string]int
	waiting map[string]bool
	granted map[string]Grant
	ever    map[string]bool
	next    int
}

func newReference(t *rapid.T) *reference {
	r := &reference{
		d:       NewDispatcher(Config{QueueDepth: modelDepth, MaxPrograms: 30, GrantTTL: time.Minute}),
		now:     start,
		slots:   map[string]int{},
		waiting: map[string]bool{},
		granted: map[string]Grant{},
		ever:    map[string]bool{},
	}
	for i := range rapid.IntRange(1, 4).Draw(t, "engines") {
		r.setEngine(t, fmt.Sprintf("e%d", i))
	}
	return r
}

func (r *reference) setEngine(t *rapid.T, name string) {
	e := engineNamed(name, rapid.IntRange(1, 4).Draw(t, "slots"))
	e.CacheTokens = int64(rapid.IntRange(0, 30_000).Draw(t, "cache"))
	r.d.SetEngine(e)
	r.slots[name] = e.Slots
}

func (r *reference) enqueue(t *rapid.T) {
	r.next++
	id := fmt.Sprintf("t%d", r.next)
	tk := ticket(id, fmt.Sprintf("p%d", rapid.IntRange(0, 60).Draw(t, "program")))
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
		t.Fatalf("refusal is not a true not_run: %v", err)
	}
}

func (r *reference) grant(t *rapid.T) {
	g, ok := r.d.NextGrant(r.now)
	r.dropExpired()
	if !ok {
		return
	}
	if !r.waiting[g.Ticket] || r.ever[g.Ticket] {
		t.Fatalf("ticket %s granted twice or not waiting", g.Ticket)
	}
	delete(r.waiting, g.Ticket)
	r.ever[g.Ticket] = true
	r.granted[g.Ticket] = g
}

func (r *reference) dropExpired() {
	for id, g := range r.granted {
		if !g.Expires.After(r.now) {
			delete(r.granted, id)
		}
	}
}

func (r *reference) release(t *rapid.T) {
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

func (r *reference) check(t *rapid.T) {
	if r.d.WaitingCount() != len(r.waiting) || r.d.WaitingCount() > modelDepth {
		t.Fatalf("dispatcher has %d waiting, reference %d, bound %d", r.d.WaitingCount(), len(r.waiting), modelDepth)
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
	if len(r.d.programs.byID) > 30+modelDepth+len(r.granted)+64 {
		t.Fatalf("%d programs are remembered", len(r.d.programs.byID))
	}
}

func (r *reference) drain(t *rapid.T) {
	for range 100 * modelDepth {
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

// Guards against lost tickets, double grants, engines over their slots and an unbounded queue, under any order of events.
func TestDispatcherProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newReference(t)
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
				id := fmt.Sprintf("t%d", rapid.IntRange(0, r.next).Draw(t, "id"))
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

// Guards against starvation: whatever arrives afterwards, a ticket of a slow class starts within the bound of the ageing.
func TestNoClassStarves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := withEngines(Config{QueueDepth: 10_000}, engineNamed("e", 1))
		d.SetClassLimit(records.Limit{Class: "slow", Weight: rapid.Float64Range(0.5, 1).Draw(t, "weight")})
		d.SetClassLimit(records.Limit{Class: "fast", Weight: 10})
		old := ticket("old", "old")
		old.Class, old.SpentTokens = "slow", rapid.Int64Range(0, 10_000_000).Draw(t, "spent")
		if err := d.Enqueue(start, old); err != nil {
			t.Fatal(err)
		}
		// At an ageing of one for each second, only the tickets that arrive within the difference of the keys go first. Two
		// arrive and one is served each second.
		difference := d.items["old"].key
		bound := 2*int(math.Ceil(difference)) + 4
		highest := basePenalty + d.cfg.ServicePenalty*math.Log2(1+spentToService*10_000_000/d.cfg.ServiceUnit)
		if difference > highest/0.5 {
			t.Fatalf("the penalty is %.0f s", difference)
		}
		for i := range bound {
			now := start.Add(time.Duration(i) * time.Second)
			for j := range 2 {
				tk := ticket(fmt.Sprintf("%d-%d", i, j), fmt.Sprintf("%d-%d", i, j))
				tk.Class = "fast"
				if err := d.Enqueue(now, tk); err != nil {
					t.Fatal(err)
				}
			}
			g, ok := d.NextGrant(now)
			if !ok {
				t.Fatal("a free slot and waiting tickets, but no grant")
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
