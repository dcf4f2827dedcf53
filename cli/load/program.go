package load

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"jackdawbay.dev/api/caller"
	"jackdawbay.dev/api/client"
	"jackdawbay.dev/api/errkind"
)

// driver runs programs.
type driver struct {
	client *client.Client
	model  string
	stock  string // Plain service of stock checks.
	orders string // Tool service of orders.
	stats  *Stats
}

// budgetTokens is above what the longest generated program can spend.
const budgetTokens = 50_000_000

// errWrongAnswer marks an answer that breaks a promise of the system.
var errWrongAnswer = errors.New("wrong answer")

// active is one program under way.
type active struct {
	*driver
	plan Plan
	p    *client.Program
	keys []string // Call keys that were answered, in order.
}

// run runs a program that arrived at a time, and records its latency from then on.
func (d *driver) run(ctx context.Context, plan Plan, parent string, arrived time.Time) error {
	a := &active{driver: d, plan: plan}
	if err := a.create(ctx, parent); err != nil {
		return err
	}
	for _, step := range plan.Steps {
		if err := a.step(ctx, step); err != nil {
			a.end(ctx)
			return err
		}
	}
	if parent == "" {
		d.stats.Observe(MeasureProgram, plan.Class, time.Since(arrived))
	}
	err := a.checkHistory(ctx)
	a.end(ctx)
	return err
}

func (a *active) create(ctx context.Context, parent string) error {
	body := caller.CreateProgram{Class: string(a.plan.Class), Model: a.model, BudgetTokens: budgetTokens, Parent: parent}
	return a.persist(ctx, func() error {
		p, err := a.client.Create(ctx, body)
		a.p = p
		return err
	})
}

func (a *active) step(ctx context.Context, s Step) error {
	switch s.Kind {
	case StepPause:
		return pause(ctx, s.Pause)
	case StepSubAgents:
		return a.subAgents(ctx, s.SubAgents)
	case StepModel:
		return a.call(ctx, s, a.modelCall)
	default:
		return a.call(ctx, s, a.serviceCall)
	}
}

// call makes one call until it has its final answer, and measures it with its repeats.
func (a *active) call(ctx context.Context, s Step, once func(context.Context, Step) error) error {
	a.stats.UpdateCounts(func(c *Counts) { c.Calls++ })
	start := time.Now()
	err := a.persist(ctx, func() error { return once(ctx, s) })
	if err != nil {
		return errors.Wrapf(err, "call %s of program %s", s.Key, a.p.ID)
	}
	a.keys = append(a.keys, s.Key)
	a.stats.Observe(MeasureCall, a.plan.Class, time.Since(start))
	return nil
}

// modelCall streams one model call. A repeat of a call that broke off may continue in the middle of the text, so the
// streamed text is compared only when it began at the start.
func (a *active) modelCall(ctx context.Context, s Step) error {
	var text strings.Builder
	complete := true
	start := time.Now()
	last := start
	onText := func(d caller.Delta) {
		now := time.Now()
		if text.Len() == 0 {
			complete = d.Offset == 0
			a.stats.Observe(MeasureFirstToken, a.plan.Class, now.Sub(start))
		} else {
			a.stats.Observe(MeasureBetweenTokens, a.plan.Class, now.Sub(last))
		}
		last = now
		text.WriteString(d.Text)
	}
	body := caller.ModelCall{
		Messages:  []caller.Message{{Role: "user", Content: caller.Text(s.Prompt)}},
		MaxTokens: s.MaxTokens,
	}
	r, err := a.p.InvokeModel(ctx, s.Key, body, onText)
	if err != nil {
		return err
	}
	return wrong(checkModel(s, text.String(), complete, r))
}

func (a *active) serviceCall(ctx context.Context, s Step) error {
	body := caller.ServiceCall{Upstream: a.stock, Method: http.MethodGet, Path: s.Path}
	if s.Kind == StepOrder {
		raw, err := json.Marshal(map[string]any{"business_key": s.BusinessKey, "jerseys": 20})
		if err != nil {
			return err
		}
		body = caller.ServiceCall{Upstream: a.orders, Method: http.MethodPost, Path: s.Path, Body: raw}
		a.stats.UpdateCounts(func(c *Counts) { c.Orders++ })
	}
	r, err := a.p.InvokeService(ctx, s.Key, body)
	if err != nil {
		return err
	}
	return wrong(checkService(s, r))
}

func wrong(err error) error {
	if err == nil {
		return nil
	}
	return errors.Mark(err, errWrongAnswer)
}

// subAgents runs programs with this program as their parent and waits for all of them.
func (a *active) subAgents(ctx context.Context, plans []Plan) error {
	failed := make([]error, len(plans))
	var group sync.WaitGroup
	for i, plan := range plans {
		group.Go(func() { failed[i] = a.run(ctx, plan, a.p.ID, time.Now()) })
	}
	group.Wait()
	return errors.Join(failed...)
}

// checkHistory compares the history at the owner with the calls that were answered.
func (a *active) checkHistory(ctx context.Context) error {
	var turns []caller.Turn
	err := a.persist(ctx, func() (err error) {
		turns, err = a.p.History(ctx)
		return err
	})
	if err != nil {
		return errors.Wrapf(err, "read history of program %s", a.p.ID)
	}
	return wrong(checkHistory(a.p.ID, a.keys, a.p.Digest, turns))
}

// endTimeout bounds the end of a program, which also runs after the context of the run has ended.
const endTimeout = 5 * time.Second

// end releases the program, so that a load leaves nothing behind at the daemons.
func (a *active) end(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), endTimeout)
	defer cancel()
	if _, err := a.p.End(ctx); err != nil {
		a.stats.CountError(err)
	}
}

const (
	firstWait = 50 * time.Millisecond
	maxWait   = 2 * time.Second
)

// persist repeats a request as its refusals ask for, and counts them.
func (d *driver) persist(ctx context.Context, try func() error) error {
	delay := firstWait
	for {
		err := try()
		if err == nil || errors.Is(err, errWrongAnswer) || ctx.Err() != nil {
			return err
		}
		d.stats.CountError(err)
		if errkind.Is(err, errkind.OutcomeUnknown) {
			d.stats.UpdateCounts(func(c *Counts) { c.Unknown++ })
		}
		if !client.IsRetryable(err) {
			return err
		}
		if waitErr := pause(ctx, advisedWait(err, delay)); waitErr != nil {
			return errors.WithSecondaryError(err, waitErr)
		}
		d.stats.UpdateCounts(func(c *Counts) { c.Repeats++ })
		delay = min(2*delay, maxWait)
	}
}

func advisedWait(err error, otherwise time.Duration) time.Duration {
	var e *errkind.Error
	if asKind(err, &e) && e.RetryAfter > 0 {
		return min(e.RetryAfter, maxWait)
	}
	return otherwise
}

func pause(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

// describe returns the text of a failed program for the report.
func describe(plan Plan, err error) string {
	return fmt.Sprintf("program %d (%s): %v", plan.Number, plan.Class, err)
}
