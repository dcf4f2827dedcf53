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

// driver runs programs and records their measurements.
type driver struct {
	client        *client.Client
	model         string
	stockUpstream string // Plain service for stock checks.
	orderUpstream string // Tool service for orders.
	stats         *Stats
}

// budgetTokens is the budget of each program. No generated program can exhaust it.
const budgetTokens = 50_000_000

// errWrongResponse marks a response that violates a guarantee of the system.
var errWrongResponse = errors.New("wrong response")

// activeProgram is the state of a running program.
type activeProgram struct {
	*driver
	plan          Plan
	program       *client.Program
	completedKeys []string // Keys of the completed calls, in order.
}

// runProgram runs a program to its end and checks its history. It records the latency from arrivalTime if the program
// has no parent.
func (d *driver) runProgram(ctx context.Context, plan Plan, parent string, arrivalTime time.Time) error {
	a := &activeProgram{driver: d, plan: plan}
	if err := a.createProgram(ctx, parent); err != nil {
		return err
	}
	for _, step := range plan.Steps {
		if err := a.runStep(ctx, step); err != nil {
			a.endProgram(ctx)
			return err
		}
	}
	if parent == "" {
		d.stats.Observe(MeasureProgram, plan.Class, time.Since(arrivalTime))
	}
	err := a.checkHistory(ctx)
	a.endProgram(ctx)
	return err
}

func (a *activeProgram) createProgram(ctx context.Context, parent string) error {
	body := caller.CreateProgram{Class: string(a.plan.Class), Model: a.model, BudgetTokens: budgetTokens, Parent: parent}
	return a.retry(ctx, func() error {
		p, err := a.client.Create(ctx, body)
		a.program = p
		return err
	})
}

func (a *activeProgram) runStep(ctx context.Context, s Step) error {
	switch s.Kind {
	case StepPause:
		return sleep(ctx, s.Pause)
	case StepSubAgents:
		return a.runSubAgents(ctx, s.SubAgents)
	case StepModel:
		return a.makeCall(ctx, s, a.makeModelCall)
	default:
		return a.makeCall(ctx, s, a.makeServiceCall)
	}
}

// makeCall runs attempt until it succeeds or fails permanently. The recorded latency includes all retries.
func (a *activeProgram) makeCall(ctx context.Context, s Step, attempt func(context.Context, Step) error) error {
	a.stats.UpdateCounts(func(c *Counts) { c.Calls++ })
	start := time.Now()
	err := a.retry(ctx, func() error { return attempt(ctx, s) })
	if err != nil {
		return errors.Wrapf(err, "call %s of program %s", s.Key, a.program.ID)
	}
	a.completedKeys = append(a.completedKeys, s.Key)
	a.stats.Observe(MeasureCall, a.plan.Class, time.Since(start))
	return nil
}

// makeModelCall makes a streamed model call. A retry after an interrupted stream can continue in the middle of the
// text. The streamed text is therefore compared with the result only if the stream began at offset 0.
func (a *activeProgram) makeModelCall(ctx context.Context, s Step) error {
	var text strings.Builder
	fromStart := true
	start := time.Now()
	lastDelta := start
	onText := func(d caller.Delta) {
		now := time.Now()
		if text.Len() == 0 {
			fromStart = d.Offset == 0
			a.stats.Observe(MeasureFirstToken, a.plan.Class, now.Sub(start))
		} else {
			a.stats.Observe(MeasureBetweenTokens, a.plan.Class, now.Sub(lastDelta))
		}
		lastDelta = now
		text.WriteString(d.Text)
	}
	body := caller.ModelCall{
		Messages:  []caller.Message{{Role: "user", Content: caller.Text(s.Prompt)}},
		MaxTokens: s.MaxTokens,
	}
	r, err := a.program.InvokeModel(ctx, s.Key, body, onText)
	if err != nil {
		return err
	}
	return markWrongResponse(checkModelResult(s, text.String(), fromStart, r))
}

func (a *activeProgram) makeServiceCall(ctx context.Context, s Step) error {
	body := caller.ServiceCall{Upstream: a.stockUpstream, Method: http.MethodGet, Path: s.Path}
	if s.Kind == StepOrder {
		raw, err := json.Marshal(map[string]any{"business_key": s.BusinessKey, "jerseys": 20})
		if err != nil {
			return err
		}
		body = caller.ServiceCall{Upstream: a.orderUpstream, Method: http.MethodPost, Path: s.Path, Body: raw}
		a.stats.UpdateCounts(func(c *Counts) { c.Orders++ })
	}
	r, err := a.program.InvokeService(ctx, s.Key, body)
	if err != nil {
		return err
	}
	return markWrongResponse(checkServiceResult(s, r))
}

func markWrongResponse(err error) error {
	if err == nil {
		return nil
	}
	return errors.Mark(err, errWrongResponse)
}

// runSubAgents concurrently runs programs that have this program as their parent, and waits for all of them.
func (a *activeProgram) runSubAgents(ctx context.Context, plans []Plan) error {
	errs := make([]error, len(plans))
	var wg sync.WaitGroup
	for i, plan := range plans {
		wg.Go(func() { errs[i] = a.runProgram(ctx, plan, a.program.ID, time.Now()) })
	}
	wg.Wait()
	return errors.Join(errs...)
}

// checkHistory compares the history that the owner returns with the completed calls.
func (a *activeProgram) checkHistory(ctx context.Context) error {
	var turns []caller.Turn
	err := a.retry(ctx, func() (err error) {
		turns, err = a.program.History(ctx)
		return err
	})
	if err != nil {
		return errors.Wrapf(err, "read history of program %s", a.program.ID)
	}
	return markWrongResponse(checkHistory(a.program.ID, a.completedKeys, a.program.Digest, turns))
}

// endTimeout is the timeout of the request that ends a program. The request is also sent after the context of the run
// is cancelled.
const endTimeout = 5 * time.Second

// endProgram ends the program, so that no programs remain at the daemons after a run.
func (a *activeProgram) endProgram(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), endTimeout)
	defer cancel()
	if _, err := a.program.End(ctx); err != nil {
		a.stats.CountError(err)
	}
}

const (
	initialRetryDelay = 50 * time.Millisecond
	maxRetryDelay     = 2 * time.Second
)

// retry repeats attempt until it succeeds, fails with an error that is not retryable, or ctx ends. It waits for the
// retry time of the error response, or else with exponential backoff, and counts each error.
func (d *driver) retry(ctx context.Context, attempt func() error) error {
	delay := initialRetryDelay
	for {
		err := attempt()
		if err == nil || errors.Is(err, errWrongResponse) || ctx.Err() != nil {
			return err
		}
		d.stats.CountError(err)
		if errkind.Is(err, errkind.OutcomeUnknown) {
			d.stats.UpdateCounts(func(c *Counts) { c.Unknown++ })
		}
		if !client.IsRetryable(err) {
			return err
		}
		if waitErr := sleep(ctx, retryDelay(err, delay)); waitErr != nil {
			return errors.WithSecondaryError(err, waitErr)
		}
		d.stats.UpdateCounts(func(c *Counts) { c.Repeats++ })
		delay = min(2*delay, maxRetryDelay)
	}
}

func retryDelay(err error, defaultDelay time.Duration) time.Duration {
	var e *errkind.Error
	if asErrkind(err, &e) && e.RetryAfter > 0 {
		return min(e.RetryAfter, maxRetryDelay)
	}
	return defaultDelay
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

// describeFailure returns the description of a failed program for the report.
func describeFailure(plan Plan, err error) string {
	return fmt.Sprintf("program %d (%s): %v", plan.Number, plan.Class, err)
}
