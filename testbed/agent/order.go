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

// orderCall makes a service call that must not be repeated. It sends the request again with the same call key while the
// daemons permit a retry, until the order retry timeout. The outcome reported until then is final.
func (r *runner) orderCall(ctx context.Context, s *Step) error {
	body, err := json.Marshal(map[string]any{"business_key": s.CallKey, "jerseys": 20})
	if err != nil {
		return err
	}
	call := caller.ServiceCall{Upstream: r.cfg.Topology.PrinterService, Path: r.cfg.Topology.OrderPath, Body: body}
	state := &orderState{Order: Order{Key: s.CallKey, Outcome: ReportedUnknown}}
	retryDeadline := time.Now().Add(r.cfg.OrderRetryTimeout)
	for {
		result, err := r.attempt(ctx, s, func(ctx context.Context) (caller.Result, error) { return r.program.InvokeService(ctx, s.CallKey, call) })
		if err == nil {
			r.recordOrderResult(s, state, result)
			break
		}
		state.recordError(err)
		s.Error = string(errkind.From(err).Kind)
		if !client.IsRetryable(err) && !isInProgress(err) || time.Now().After(retryDeadline) || !clock.Sleep(ctx, retryDelay(err)) {
			break
		}
	}
	r.report.Orders = append(r.report.Orders, state.Order)
	if state.Outcome == ReportedUnknown {
		r.ordersBlocked, r.unknownOrder = true, &call
	}
	r.printf("order=%s told=%s", state.Key, state.Outcome)
	return nil
}

// resolveUnknownOrder sends an order with an unknown outcome again, because the program has a turn that the caller has
// not received. It reports whether the order has completed meanwhile.
func (r *runner) resolveUnknownOrder(ctx context.Context) bool {
	if r.unknownOrder == nil {
		return false
	}
	order := &r.report.Orders[len(r.report.Orders)-1]
	state := &orderState{Order: *order}
	s := &Step{CallKey: order.Key}
	result, err := r.program.InvokeService(ctx, order.Key, *r.unknownOrder)
	if err != nil {
		return false
	}
	r.recordOrderResult(s, state, result)
	*order = state.Order
	r.unknownOrder, r.ordersBlocked = nil, false
	r.printf("order=%s told=%s after all", order.Key, order.Outcome)
	return true
}

// isInProgress reports whether the error kind is CallInProgress: an earlier request of the same order has not ended yet.
func isInProgress(err error) bool { return errkind.Is(err, errkind.CallInProgress) }

const maxOrderRetryDelay = 500 * time.Millisecond

func retryDelay(err error) time.Duration {
	d := errkind.From(err).RetryAfter
	if d <= 0 {
		d = 100 * time.Millisecond
	}
	return min(d, maxOrderRetryDelay)
}

// orderState tracks the responses to the requests of one order.
type orderState struct {
	Order
	mayHaveRun      bool // A request may have run, because its response was lost or did not exclude it.
	certifiedNotRun bool // A response certified "not run", and no uncertain response has followed.
}

// recordError records a response without a result. A "not run" in a response applies only to the request that the
// response belongs to. It is therefore final for the caller only while no earlier request may have run.
func (o *orderState) recordError(err error) {
	if isNotSent(err) {
		o.Responses = append(o.Responses, "not_sent")
		if !o.mayHaveRun {
			o.Outcome = ReportedNotRun
		}
		return
	}
	if errors.IsAny(err, client.ErrNoResponse, context.DeadlineExceeded, context.Canceled) {
		o.Responses = append(o.Responses, "no_answer")
		o.mayHaveRun, o.certifiedNotRun, o.Outcome = true, false, ReportedUnknown
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
		o.certifiedNotRun = true
		if !o.mayHaveRun {
			o.Outcome = ReportedNotRun
		}
	case errkind.NotRunFalse:
		// The call ran although its response is not part of the history.
		o.mayHaveRun, o.certifiedNotRun, o.Outcome = true, false, ReportedUnknown
	default:
		o.mayHaveRun, o.certifiedNotRun, o.Outcome = true, false, ReportedUnknown
	}
}

func (r *runner) recordOrderResult(s *Step, state *orderState, result caller.Result) {
	if result.Repeated && state.certifiedNotRun {
		// No request after the rejection can have run the order, so it had already run when the rejection was sent.
		r.recordViolation("order %s had already run when it was rejected as not run; responses: %v", state.Key, state.Responses)
	}
	state.Responses = append(state.Responses, "done")
	state.Outcome, s.Error = ReportedDone, ""
	r.recordTurn(s, result)
	body, err := decodeServiceResult(result)
	if err != nil || body.BusinessKey != state.Key || body.RunNumber != 1 {
		r.recordViolation("the response to order %s is run %d of %q: %v", state.Key, body.RunNumber, body.BusinessKey, err)
	}
}

func decodeServiceResult(result caller.Result) (service.Result, error) {
	var body service.Result
	if result.Turn.Response == nil {
		return body, errors.New("the turn has no response")
	}
	return body, json.Unmarshal(result.Turn.Response.Body, &body)
}

// expectedReply returns the text that the engine generates for the next messages after the given turns.
func expectedReply(cfg Config, turns []caller.Turn, next []caller.Message) (string, error) {
	var history []caller.Message
	for _, t := range turns {
		if t.Kind == caller.CallModel && t.Message != nil {
			history = append(append(history, t.Model.Messages...), *t.Message)
		}
	}
	var encoded []json.RawMessage
	for _, m := range append(history, next...) {
		body, err := json.Marshal(m)
		if err != nil {
			return "", err
		}
		encoded = append(encoded, body)
	}
	reply := engine.GenerationConfig{OutputTokens: cfg.Topology.ReplyTokens}
	return engine.GenerateText(reply, cfg.Topology.Model, encoded, cfg.MaxOutputTokens), nil
}
