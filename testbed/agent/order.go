package agent

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"jackdawbay.dev/api/caller"
	"jackdawbay.dev/api/client"
	"jackdawbay.dev/api/errkind"
	"jackdawbay.dev/daemon/clock"
	"jackdawbay.dev/testbed/standin/engine"
	"jackdawbay.dev/testbed/standin/service"
)

// order makes a call that may not be repeated. It repeats the request with the same call key while the daemons ask for
// it, and gives up after the patience of the config. What it was told then is final.
func (r *runner) order(ctx context.Context, s *Step) error {
	body, err := json.Marshal(map[string]any{"business_key": s.CallKey, "jerseys": 20})
	if err != nil {
		return err
	}
	call := caller.ServiceCall{Upstream: r.cfg.Topology.PrinterService, Path: r.cfg.Topology.OrderPath, Body: body}
	o := &orderState{Order: Order{Key: s.CallKey, Outcome: ReportedUnknown}}
	giveUp := time.Now().Add(r.cfg.OrderRetryTimeout)
	for {
		result, err := r.try(ctx, s, func(ctx context.Context) (caller.Result, error) { return r.program.InvokeService(ctx, s.CallKey, call) })
		if err == nil {
			r.orderDone(s, o, result)
			break
		}
		o.refused(err)
		s.Error = string(errkind.From(err).Kind)
		if !client.IsRetryable(err) && !busy(err) || time.Now().After(giveUp) || !clock.Sleep(ctx, retryAfter(err)) {
			break
		}
	}
	r.report.Orders = append(r.report.Orders, o.Order)
	if o.Outcome == ReportedUnknown {
		r.blocked, r.unknown = true, &call
	}
	r.printf("order=%s told=%s", o.Key, o.Outcome)
	return nil
}

// settleOrder asks again for an order with an unknown outcome, because the program has a turn that the caller lacks. It
// reports whether the order has ended meanwhile.
func (r *runner) settleOrder(ctx context.Context) bool {
	if r.unknown == nil {
		return false
	}
	o := &r.report.Orders[len(r.report.Orders)-1]
	state := &orderState{Order: *o}
	s := &Step{CallKey: o.Key}
	result, err := r.program.InvokeService(ctx, o.Key, *r.unknown)
	if err != nil {
		return false
	}
	r.orderDone(s, state, result)
	*o = state.Order
	r.unknown, r.blocked = nil, false
	r.printf("order=%s told=%s after all", o.Key, o.Outcome)
	return true
}

// busy reports an order that is still under way.
func busy(err error) bool { return errkind.Is(err, errkind.CallInProgress) }

const maxOrderWait = 500 * time.Millisecond

func retryAfter(err error) time.Duration {
	d := errkind.From(err).RetryAfter
	if d <= 0 {
		d = 100 * time.Millisecond
	}
	return min(d, maxOrderWait)
}

// orderState follows the answers about one order.
type orderState struct {
	Order
	doubt     bool // A request may have run: its answer was lost or said so.
	lastNotIn bool // The newest answer was a true "not run", with no doubtful one after it.
}

// refused notes an answer that is no result. "Not run" speaks of the request that it answers, so it is final for the
// caller only while no former request is in doubt.
func (o *orderState) refused(err error) {
	if notSent(err) {
		o.Responses = append(o.Responses, "not_sent")
		if !o.doubt {
			o.Outcome = ReportedNotRun
		}
		return
	}
	if errors.IsAny(err, client.ErrNoResponse, context.DeadlineExceeded, context.Canceled) {
		o.Responses = append(o.Responses, "no_answer")
		o.doubt, o.lastNotIn, o.Outcome = true, false, ReportedUnknown
		return
	}
	e := errkind.From(err)
	notRun := e.NotRun
	if notRun == "" {
		notRun = errkind.Lookup(e.Kind).NotRun
	}
	o.Responses = append(o.Responses, string(e.Kind)+" not_run="+string(notRun))
	switch notRun {
	case errkind.NotRunTrue:
		o.lastNotIn = true
		if !o.doubt {
			o.Outcome = ReportedNotRun
		}
	case errkind.NotRunFalse:
		// The call ran although its response is not part of the history.
		o.doubt, o.lastNotIn, o.Outcome = true, false, ReportedUnknown
	default:
		o.doubt, o.lastNotIn, o.Outcome = true, false, ReportedUnknown
	}
}

func (r *runner) orderDone(s *Step, o *orderState, result caller.Result) {
	if result.Repeated && o.lastNotIn {
		// No request after the refusal can have run it, so it had run when the refusal was sent.
		r.fault("order %s had run when it was refused as not run; answers: %v", o.Key, o.Responses)
	}
	o.Responses = append(o.Responses, "done")
	o.Outcome, s.Error = ReportedDone, ""
	r.keep(s, result)
	body, err := serviceBody(result)
	if err != nil || body.BusinessKey != o.Key || body.RunNumber != 1 {
		r.fault("the answer to order %s is run %d of %q: %v", o.Key, body.RunNumber, body.BusinessKey, err)
	}
}

func serviceBody(result caller.Result) (service.Result, error) {
	var body service.Result
	if result.Turn.Response == nil {
		return body, errors.New("the turn has no response")
	}
	return body, json.Unmarshal(result.Turn.Response.Body, &body)
}

// predict returns the engine's text for a call after some turns.
func predict(cfg Config, turns []caller.Turn, next []caller.Message) (string, error) {
	var list []caller.Message
	for _, t := range turns {
		if t.Kind == caller.CallModel && t.Message != nil {
			list = append(append(list, t.Model.Messages...), *t.Message)
		}
	}
	var raw []json.RawMessage
	for _, m := range append(list, next...) {
		body, err := json.Marshal(m)
		if err != nil {
			return "", err
		}
		raw = append(raw, body)
	}
	reply := engine.GenerationConfig{OutputTokens: cfg.Topology.ReplyTokens}
	return engine.GenerateText(reply, cfg.Topology.Model, raw, cfg.MaxOutputTokens), nil
}
