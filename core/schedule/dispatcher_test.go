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

var startTime = time.Unix(1_800_000_000, 0)

func newEngineSpec(name string, slots int) Engine {
	return Engine{Name: name, Slots: slots, CacheTokens: 100_000, Models: []ReadyModel{{Name: "m", Adapters: []string{"a"}}}}
}

func newTicket(id, program string) Ticket {
	return Ticket{ID: id, Program: program, Tenant: "t", Model: "m", PromptTokens: 1000, MaxTokens: 200}
}

func newDispatcher(cfg Config, engines ...Engine) *Dispatcher {
	d := NewDispatcher(cfg)
	for _, e := range engines {
		d.SetEngine(e)
	}
	return d
}

func mustGrant(t *testing.T, d *Dispatcher, now time.Time) Grant {
	t.Helper()
	g, ok := d.NextGrant(now)
	must.True(t, ok)
	return g
}

// runCall enqueues a call, takes its grant and releases it after took.
func runCall(t *testing.T, d *Dispatcher, now time.Time, tk Ticket, duration time.Duration) Grant {
	t.Helper()
	must.NoError(t, d.Enqueue(now, tk))
	g := mustGrant(t, d, now)
	must.Eq(t, tk.ID, g.Ticket)
	d.Release(now.Add(duration), tk.ID, caller.Usage{PromptTokens: tk.PromptTokens, CompletionTokens: 200})
	return g
}

// Guards against serving in order of arrival, where a program with much attained service delays new ones.
func TestQueueOrder(t *testing.T) {
	cases := []struct {
		name  string
		first Ticket
		then  Ticket
		after time.Duration
		want  string
	}{
		{"less service first", Ticket{SpentTokens: 900_000}, Ticket{}, time.Second, "then"},
		{"ageing overrides service", Ticket{SpentTokens: 900_000}, Ticket{}, 10 * time.Minute, "first"},
		{"equal service in order of arrival", Ticket{}, Ticket{}, time.Second, "first"},
		{"near deadline first", Ticket{SpentTokens: 900_000}, Ticket{SpentTokens: 900_000, Deadline: startTime.Add(35 * time.Second)}, time.Second, "then"},
		{"class weight", Ticket{Class: "slow"}, Ticket{Class: "fast"}, time.Second, "then"},
		{"tenant over its share", Ticket{Tenant: "greedy"}, Ticket{Tenant: "modest"}, time.Second, "then"},
		{"sub-agent counts with its parent", Ticket{Parent: "big"}, Ticket{}, time.Second, "then"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			d := newDispatcher(Config{}, newEngineSpec("e", 1))
			d.SetClassLimit(records.Limit{Class: "fast", Weight: 4})
			d.SetClassLimit(records.Limit{Class: "slow", Weight: 1})
			d.tenants.Add(startTime, "greedy", 1_000_000)
			d.tenants.Add(startTime, "modest", 1000)
			d.programFor("big", "", 4_000_000)
			blocker := newTicket("blocker", "blocker")
			must.NoError(t, d.Enqueue(startTime, blocker))
			mustGrant(t, d, startTime)
			enqueue(t, d, startTime, tc.first, "first")
			enqueue(t, d, startTime.Add(tc.after), tc.then, "then")
			now := startTime.Add(tc.after)
			d.Release(now, "blocker", caller.Usage{PromptTokens: 1, CompletionTokens: 1})
			must.Eq(t, tc.want, mustGrant(t, d, now).Ticket)
		})
	}
}

func enqueue(t *testing.T, d *Dispatcher, now time.Time, tk Ticket, id string) {
	t.Helper()
	tk.ID, tk.Program, tk.Model = id, id, "m"
	tk.PromptTokens, tk.MaxTokens = 1000, 100
	must.NoError(t, d.Enqueue(now, tk))
}

// Guards against rejections with the wrong error kind or without a retry time.
func TestEnqueueRejections(t *testing.T) {
	cases := []struct {
		name   string
		change func(*Ticket)
		want   errkind.Kind
	}{
		{"full queue", func(*Ticket) {}, errkind.QueueFull},
		{"unreachable deadline", func(tk *Ticket) {
			tk.SpentTokens = 1
			tk.Deadline = startTime.Add(time.Second)
		}, errkind.DeadlineUnreachable},
		{"model not ready", func(tk *Ticket) {
			tk.SpentTokens = 1
			tk.Model = "other"
		}, errkind.UpstreamUnavailable},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			d := newDispatcher(Config{QueueDepth: 10}, newEngineSpec("e", 1))
			for i := range 8 {
				must.NoError(t, d.Enqueue(startTime, newTicket(strconv.Itoa(i), strconv.Itoa(i))))
			}
			tk := newTicket("x", "x")
			tc.change(&tk)
			err := d.Enqueue(startTime, tk)
			must.True(t, errkind.Is(err, tc.want), must.Sprint(err))
			must.Eq(t, errkind.NotRunTrue, errkind.NewBody(err).Error.NotRun)
			must.Positive(t, errkind.From(err).RetryAfter)
			must.Eq(t, 8, d.WaitingCount())
		})
	}
}

// Guards against an idle engine being chosen over the engine that has cached a long prefix, and against waiting too long
// for that engine.
func TestPlacement(t *testing.T) {
	for _, tc := range []struct {
		name   string
		prompt int64
		want   string
	}{
		{"long prefix waits for its engine", 90_000, ""},
		{"short prefix goes to an idle engine", 100, "b"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			a, b := newEngineSpec("a", 1), newEngineSpec("b", 1)
			b.Draining = true
			d := newDispatcher(Config{}, a, b)
			first := newTicket("1", "p")
			first.PromptTokens = tc.prompt
			runCall(t, d, startTime, first, time.Second)
			must.NoError(t, d.Enqueue(startTime, newTicket("other", "q")))
			must.Eq(t, "a", mustGrant(t, d, startTime).Engine)
			b.Draining = false
			d.SetEngine(b)
			second := newTicket("2", "p")
			second.PromptTokens, second.HistoryTokens = tc.prompt+200, tc.prompt+200
			must.NoError(t, d.Enqueue(startTime.Add(time.Second), second))
			g, ok := d.NextGrant(startTime.Add(time.Second))
			must.Eq(t, tc.want != "", ok)
			must.Eq(t, tc.want, g.Engine)
			later := startTime.Add(time.Second + maxEngineWait)
			if !ok {
				must.Eq(t, "b", mustGrant(t, d, later).Engine)
			}
		})
	}
}

func usageOf(prompt int64) caller.Usage {
	return caller.Usage{PromptTokens: prompt, CompletionTokens: 100}
}

// Guards against rejected calls that all return at once and find the queue full again.
func TestRetryTimesAreSpread(t *testing.T) {
	d := newDispatcher(Config{QueueDepth: 10}, newEngineSpec("e", 1))
	for i := range 8 {
		must.NoError(t, d.Enqueue(startTime, newTicket(strconv.Itoa(i), strconv.Itoa(i))))
	}
	last := time.Duration(0)
	for range 3 {
		err := d.Enqueue(startTime, newTicket("x", "x"))
		after := errkind.From(err).RetryAfter
		must.Greater(t, last, after)
		last = after
	}
	// A retried call may use the part of the queue that is closed to new programs.
	retriedTicket := newTicket("x", "x")
	retriedTicket.Enqueued = startTime
	must.NoError(t, d.Enqueue(startTime.Add(last), retriedTicket))
}
