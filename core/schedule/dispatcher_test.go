package schedule

import (
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"jackdawbay.dev/api/caller"
	"jackdawbay.dev/api/errkind"
	"jackdawbay.dev/api/records"
)

var start = time.Unix(1_800_000_000, 0)

func engineNamed(name string, slots int) Engine {
	return Engine{Name: name, Slots: slots, CacheTokens: 100_000, Models: []ReadyModel{{Name: "m", Adapters: []string{"a"}}}}
}

func ticket(id, program string) Ticket {
	return Ticket{ID: id, Program: program, Tenant: "t", Model: "m", PromptTokens: 1000, MaxTokens: 200}
}

func withEngines(cfg Config, engines ...Engine) *Dispatcher {
	d := NewDispatcher(cfg)
	for _, e := range engines {
		d.SetEngine(e)
	}
	return d
}

func mustNext(t *testing.T, d *Dispatcher, now time.Time) Grant {
	t.Helper()
	g, ok := d.NextGrant(now)
	must.True(t, ok)
	return g
}

// runCall enqueues a call, takes its grant and releases it after d.
func runCall(t *testing.T, d *Dispatcher, now time.Time, tk Ticket, took time.Duration) Grant {
	t.Helper()
	must.NoError(t, d.Enqueue(now, tk))
	g := mustNext(t, d, now)
	must.Eq(t, tk.ID, g.Ticket)
	d.Release(now.Add(took), tk.ID, caller.Usage{PromptTokens: tk.PromptTokens, CompletionTokens: 200})
	return g
}

// Guards against first come, first served: a program with much attained service delays new ones.
func TestOrder(t *testing.T) {
	cases := []struct {
		name  string
		first Ticket
		then  Ticket
		after time.Duration
		want  string
	}{
		{"less service first", Ticket{SpentTokens: 900_000}, Ticket{}, time.Second, "then"},
		{"ageing passes service", Ticket{SpentTokens: 900_000}, Ticket{}, 10 * time.Minute, "first"},
		{"equal service by arrival", Ticket{}, Ticket{}, time.Second, "first"},
		{"near deadline first", Ticket{SpentTokens: 900_000}, Ticket{SpentTokens: 900_000, Deadline: start.Add(35 * time.Second)}, time.Second, "then"},
		{"class weight", Ticket{Class: "slow"}, Ticket{Class: "fast"}, time.Second, "then"},
		{"tenant over its share", Ticket{Tenant: "greedy"}, Ticket{Tenant: "modest"}, time.Second, "then"},
		{"sub-agent counts with its parent", Ticket{Parent: "big"}, Ticket{}, time.Second, "then"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			d := withEngines(Config{}, engineNamed("e", 1))
			d.SetClassLimit(records.Limit{Class: "fast", Weight: 4})
			d.SetClassLimit(records.Limit{Class: "slow", Weight: 1})
			d.tenants.add(start, "greedy", 1_000_000)
			d.tenants.add(start, "modest", 1000)
			d.lookup("big", "", 4_000_000)
			blocker := ticket("blocker", "blocker")
			must.NoError(t, d.Enqueue(start, blocker))
			mustNext(t, d, start)
			enqueue(t, d, start, tc.first, "first")
			enqueue(t, d, start.Add(tc.after), tc.then, "then")
			now := start.Add(tc.after)
			d.Release(now, "blocker", caller.Usage{PromptTokens: 1, CompletionTokens: 1})
			must.Eq(t, tc.want, mustNext(t, d, now).Ticket)
		})
	}
}

func enqueue(t *testing.T, d *Dispatcher, now time.Time, tk Ticket, id string) {
	t.Helper()
	tk.ID, tk.Program, tk.Model = id, id, "m"
	tk.PromptTokens, tk.MaxTokens = 1000, 100
	must.NoError(t, d.Enqueue(now, tk))
}

// Guards against refusals of the wrong kind and without a retry time.
func TestRefusals(t *testing.T) {
	cases := []struct {
		name   string
		change func(*Ticket)
		want   errkind.Kind
	}{
		{"full queue", func(*Ticket) {}, errkind.QueueFull},
		{"unreachable deadline", func(tk *Ticket) {
			tk.SpentTokens = 1
			tk.Deadline = start.Add(time.Second)
		}, errkind.DeadlineUnreachable},
		{"model not ready", func(tk *Ticket) {
			tk.SpentTokens = 1
			tk.Model = "other"
		}, errkind.UpstreamUnavailable},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			d := withEngines(Config{QueueDepth: 10}, engineNamed("e", 1))
			for i := range 8 {
				must.NoError(t, d.Enqueue(start, ticket(strconv.Itoa(i), strconv.Itoa(i))))
			}
			tk := ticket("x", "x")
			tc.change(&tk)
			err := d.Enqueue(start, tk)
			must.True(t, errkind.Is(err, tc.want), must.Sprint(err))
			must.Eq(t, errkind.NotRunTrue, errkind.NewBody(err).Error.NotRun)
			must.Positive(t, errkind.From(err).RetryAfter)
			must.Eq(t, 8, d.WaitingCount())
		})
	}
}

// Guards against a program losing its prefix to a choice of an idle engine, and against waiting too long for it.
func TestPlacement(t *testing.T) {
	for _, tc := range []struct {
		name   string
		prompt int64
		want   string
	}{
		{"long prefix waits for its engine", 90_000, ""},
		{"short prefix goes elsewhere", 100, "b"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			a, b := engineNamed("a", 1), engineNamed("b", 1)
			b.Draining = true
			d := withEngines(Config{}, a, b)
			first := ticket("1", "p")
			first.PromptTokens = tc.prompt
			runCall(t, d, start, first, time.Second)
			must.NoError(t, d.Enqueue(start, ticket("other", "q")))
			must.Eq(t, "a", mustNext(t, d, start).Engine)
			b.Draining = false
			d.SetEngine(b)
			second := ticket("2", "p")
			second.PromptTokens, second.HistoryTokens = tc.prompt+200, tc.prompt+200
			must.NoError(t, d.Enqueue(start.Add(time.Second), second))
			g, ok := d.NextGrant(start.Add(time.Second))
			must.Eq(t, tc.want != "", ok)
			must.Eq(t, tc.want, g.Engine)
			later := start.Add(time.Second + maxHold)
			if !ok {
				must.Eq(t, "b", mustNext(t, d, later).Engine)
			}
		})
	}
}

func usageOf(prompt int64) caller.Usage {
	return caller.Usage{PromptTokens: prompt, CompletionTokens: 100}
}

// Guards against refused calls that all return at once and find the queue full again.
func TestRefusedCallsReturnOneByOne(t *testing.T) {
	d := withEngines(Config{QueueDepth: 10}, engineNamed("e", 1))
	for i := range 8 {
		must.NoError(t, d.Enqueue(start, ticket(strconv.Itoa(i), strconv.Itoa(i))))
	}
	last := time.Duration(0)
	for range 3 {
		err := d.Enqueue(start, ticket("x", "x"))
		after := errkind.From(err).RetryAfter
		must.Greater(t, last, after)
		last = after
	}
	// A call that returns may use the part of the queue that new programs may not.
	again := ticket("x", "x")
	again.Enqueued = start
	must.NoError(t, d.Enqueue(start.Add(last), again))
}
