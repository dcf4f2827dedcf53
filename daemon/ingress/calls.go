package ingress

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"
	"github.com/oklog/ulid/v2"

	"jackdawbay.dev/api/caller"
	"jackdawbay.dev/api/errkind"
	"jackdawbay.dev/api/records"
	"jackdawbay.dev/core/program"
	"jackdawbay.dev/daemon/upstream"
)

// call is one call of a caller while it is under way.
type call struct {
	tenant   string
	program  string
	class    string
	body     caller.Call
	limit    records.Limit
	deadline time.Time
	started  time.Time

	service    records.Upstream // For service calls.
	route      records.Route
	idempotent bool
}

// completeWindow is how long an outcome is offered to the owner and its successors. It is above the time of a takeover.
const completeWindow = 10 * time.Second

// attemptGrace is how long after its deadline the owner waits for the outcome of an attempt before it gives it up.
const attemptGrace = completeWindow + 5*time.Second

func (s *Server) postCall(w http.ResponseWriter, r *http.Request, tenant string) {
	end, err := s.begin()
	if err != nil {
		s.refuse(w, tenant, err)
		return
	}
	defer end()
	var body caller.Call
	if err := decodeBody(w, r, s.cfg.MaxBodyBytes, &body); err != nil {
		s.refuse(w, tenant, err)
		return
	}
	c, err := s.prepare(tenant, mux.Vars(r)["id"], body)
	if err != nil {
		s.refuse(w, tenant, err)
		return
	}
	if c.body.Kind == caller.CallService {
		s.answerService(w, r, c)
		return
	}
	s.answerModel(w, r, c)
}

// prepare checks a call and looks up what the records say about it.
func (s *Server) prepare(tenant, programID string, body caller.Call) (*call, error) {
	now := time.Now()
	if err := ValidateCall(now, body); err != nil {
		return nil, err
	}
	c := &call{tenant: tenant, program: programID, body: body, started: now, idempotent: true}
	set := s.records()
	c.limit = set.Limit(records.DefaultClass)
	timeout := c.limit.CallTimeout
	if body.Kind == caller.CallService {
		if err := c.findService(set); err != nil {
			return nil, err
		}
		timeout = c.serviceTimeout()
	}
	c.deadline = now.Add(timeout)
	if body.Deadline != nil && body.Deadline.Before(c.deadline) {
		c.deadline = *body.Deadline
	}
	return c, nil
}

// expired reports whether the deadline has passed, by the clock that advanced most: the monotonic clock stands still while
// a VM is suspended. An attempt that was paused between its admission and here is not sent.
func (c *call) expired() bool {
	now := time.Now()
	return now.After(c.deadline) || now.Round(0).After(c.deadline.Round(0))
}

// attempts returns how often the call may be tried: as its class says, within the bound of the daemon.
func (c *call) attempts(bound int) int {
	if c.limit.MaxAttempts > 0 {
		return min(c.limit.MaxAttempts, bound)
	}
	return bound
}

// findService finds the record of the service. What no route names is not repeatable.
func (c *call) findService(set *records.Set) error {
	u, ok := set.Upstream(c.body.Service.Upstream)
	if !ok || u.Type != records.UpstreamService {
		return errkind.New(errkind.UnknownUpstream, "Upstream: "+c.body.Service.Upstream+".")
	}
	if u.Leaving {
		return errkind.New(errkind.UpstreamUnavailable, "The upstream is leaving.")
	}
	c.service = u
	c.route, _ = u.FindRoute(c.serviceMethod(), c.body.Service.Path)
	c.idempotent = c.route.Repeatable
	return nil
}

// serviceMethod returns the method of a service call, which is POST when the caller names none.
func (c *call) serviceMethod() string {
	if c.body.Service.Method == "" {
		return http.MethodPost
	}
	return c.body.Service.Method
}

func (c *call) serviceTimeout() time.Duration {
	if c.route.Timeout > 0 {
		return c.route.Timeout
	}
	return c.limit.ToolTimeout
}

func (s *Server) admit(ctx context.Context, c *call, attempt string) (program.Admission, error) {
	req := program.AdmitRequest{
		Tenant:     c.tenant,
		Program:    c.program,
		Call:       c.body,
		Attempt:    attempt,
		Ingress:    s.streams.Incarnation(),
		Idempotent: c.idempotent,
		ExpiresAt:  c.deadline.Add(attemptGrace),
	}
	if c.body.Kind == caller.CallService {
		req.Upstream = c.body.Service.Upstream
		req.IdempotencyKeyHonoured = c.service.HonoursIdempotencyKeys
	}
	a, err := s.owners.Admit(ctx, req)
	if err == nil {
		c.class = a.Class
		c.limit = s.records().Limit(classOf(a.Class))
		s.metrics.admitted(c.tenant, c.class, time.Since(c.started))
	}
	return a, err
}

func classOf(class string) string {
	if class == "" {
		return records.DefaultClass
	}
	return class
}

func (c *call) completion(attempt string, outcome program.Outcome) program.Completion {
	return program.Completion{
		Tenant:  c.tenant,
		Program: c.program,
		Attempt: attempt,
		Call:    c.body,
		Outcome: outcome,
	}
}

// report tells the owner how an attempt ended. It does not depend on the caller's connection.
func (s *Server) report(done program.Completion) (*caller.Result, error) {
	ctx, cancel := context.WithTimeout(context.Background(), completeWindow)
	defer cancel()
	return s.owners.Complete(ctx, done)
}

// finish reports a turn. When no owner takes it, the result is built here: the caller keeps the turn and sends it back
// with the next call, so nothing is lost while the caller lives.
func (s *Server) finish(c *call, done program.Completion, a program.Admission) (*caller.Result, error) {
	result, err := s.report(done)
	if err == nil {
		return result, nil
	}
	if !errkind.Is(err, errkind.OwnerUnavailable) && !errkind.Is(err, errkind.HistoryGap) && !errkind.Is(err, errkind.BacklogFull) {
		return nil, err
	}
	s.log.Warn("outcome was not recorded; the caller keeps it", "program", c.program, "sequence", c.body.Sequence, "error", err)
	return program.UnrecordedResult(s.signer, a, done)
}

func (s *Server) answerService(w http.ResponseWriter, r *http.Request, c *call) {
	// A call that may not be repeated runs to its end without its caller, so that its outcome is recorded.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(r.Context()), c.deadline)
	defer cancel()
	result, err := s.runService(ctx, c)
	if err != nil {
		s.refuse(w, c.tenant, err)
		return
	}
	s.metrics.finished(c.tenant, c.class, time.Since(c.started))
	writeJSON(w, http.StatusOK, result)
}

// runService makes a service call. An idempotent one is tried again within the retry budget; each try is an attempt of
// its own.
func (s *Server) runService(ctx context.Context, c *call) (*caller.Result, error) {
	budget := "service/" + c.body.Service.Upstream
	s.retries.first(budget, c.limit.RetryRatio)
	for try := 1; ; try++ {
		result, err := s.tryService(ctx, c)
		if err == nil {
			return result, nil
		}
		retryable := c.idempotent || c.service.HonoursIdempotencyKeys
		if !retryable || !transient(err) || try >= c.attempts(s.cfg.MaxAttempts) || ctx.Err() != nil {
			return nil, err
		}
		if !s.retries.retry(budget) {
			return nil, errkind.Wrap(errkind.RetryBudgetExhausted, err, "")
		}
	}
}

func transient(err error) bool {
	switch errkind.From(err).Kind {
	case errkind.UpstreamUnavailable, errkind.UpstreamFailed, errkind.OutcomeUnknown:
		return true
	default:
		return false
	}
}

func (s *Server) tryService(ctx context.Context, c *call) (*caller.Result, error) {
	attempt := ulid.Make().String()
	a, err := s.admit(ctx, c, attempt)
	if err != nil {
		return nil, err
	}
	if a.RecordedResult != nil {
		return a.RecordedResult, nil
	}
	if c.expired() {
		s.reportQuietly(c.completion(attempt, program.OutcomeNotSent))
		return nil, errkind.New(errkind.DeadlineUnreachable, "The call was not sent before its deadline.")
	}
	response, err := s.services.Send(ctx, c.service.Address, c.serviceRequest())
	if err != nil {
		return nil, s.serviceFailed(ctx, c, attempt, err)
	}
	done := c.completion(attempt, program.OutcomeDone)
	done.Turn = caller.Turn{
		Sequence: c.body.Sequence,
		CallKey:  c.body.CallKey,
		Kind:     caller.CallService,
		Service:  c.body.Service,
		Response: &response,
	}
	return s.finish(c, done, a)
}

func (c *call) serviceRequest() upstream.ServiceRequest {
	r := upstream.ServiceRequest{
		Method: c.serviceMethod(),
		Path:   c.body.Service.Path,
		Body:   c.body.Service.Body,
	}
	if !c.idempotent && c.service.HonoursIdempotencyKeys {
		r.IdempotencyKey = c.program + "/" + c.body.CallKey
	}
	return r
}

// serviceFailed reports a failed attempt and returns the error for the caller.
func (s *Server) serviceFailed(ctx context.Context, c *call, attempt string, cause error) error {
	if errors.Is(cause, upstream.ErrNotSent) {
		s.reportQuietly(c.completion(attempt, program.OutcomeNotSent))
		return errkind.Wrap(errkind.UpstreamUnavailable, cause, "").WithRetryAfter(time.Second)
	}
	s.reportQuietly(c.completion(attempt, program.OutcomeFailed))
	switch {
	case !c.idempotent:
		return errkind.Wrap(errkind.OutcomeUnknown, cause, "")
	case ctx.Err() != nil:
		return errkind.Wrap(errkind.UpstreamTimeout, cause, "")
	default:
		return errkind.Wrap(errkind.UpstreamFailed, cause, "")
	}
}

func (s *Server) reportQuietly(done program.Completion) {
	if _, err := s.report(done); err != nil {
		s.log.Warn("outcome was not recorded", "program", done.Program, "outcome", string(done.Outcome), "error", err)
	}
}
