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

// call is a caller's call in flight.
type call struct {
	tenant     string
	program    string
	class      string
	body       caller.Call
	classLimit records.Limit
	deadline   time.Time
	startedAt  time.Time

	service    records.Upstream // For service calls.
	route      records.Route
	idempotent bool
}

// completionTimeout bounds how long a completion is sent to the owner, or to its successor after a takeover. It exceeds
// the duration of a takeover.
const completionTimeout = 10 * time.Second

// attemptExpiryGrace is how long after the call's deadline the owner waits for the outcome of an attempt before it
// abandons the attempt.
const attemptExpiryGrace = completionTimeout + 5*time.Second

func (s *Server) postCall(w http.ResponseWriter, r *http.Request, tenant string) {
	var body caller.Call
	held, err := s.decodeBody(w, r, &body)
	if err != nil {
		s.rejectBody(w, r, tenant, err)
		return
	}
	defer held.Close()
	endRequest, err := s.beginRequest()
	if err != nil {
		s.reject(w, tenant, err)
		return
	}
	defer endRequest()
	c, err := s.prepareCall(tenant, mux.Vars(r)["id"], body)
	if err != nil {
		s.reject(w, tenant, err)
		return
	}
	if c.body.Kind == caller.CallService {
		s.serveServiceCall(w, r, c)
		return
	}
	s.serveModelCall(w, r, c)
}

// prepareCall validates a call and determines its limits, deadline and, for a service call, its upstream and route from
// the records.
func (s *Server) prepareCall(tenant, programID string, body caller.Call) (*call, error) {
	now := time.Now()
	if err := ValidateCall(now, body); err != nil {
		return nil, err
	}
	c := &call{tenant: tenant, program: programID, body: body, startedAt: now, idempotent: true}
	set := s.records()
	c.classLimit = set.Limit(records.DefaultClass)
	timeout := c.classLimit.CallTimeout
	if body.Kind == caller.CallService {
		if err := c.resolveService(set); err != nil {
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

// isExpired reports whether the deadline has passed on the monotonic or the wall clock. The monotonic clock does not
// advance while a VM is suspended. An attempt whose deadline passed during a pause between its admission and this check
// must not be sent.
func (c *call) isExpired() bool {
	now := time.Now()
	return now.After(c.deadline) || now.Round(0).After(c.deadline.Round(0))
}

// maxAttempts returns how many attempts the class of the call allows, limited to daemonMax.
func (c *call) maxAttempts(daemonMax int) int {
	if c.classLimit.MaxAttempts > 0 {
		return min(c.classLimit.MaxAttempts, daemonMax)
	}
	return daemonMax
}

// resolveService looks up the upstream and the route of a service call. A call that matches no route is not repeatable.
func (c *call) resolveService(set *records.Set) error {
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

// serviceMethod returns the HTTP method of a service call. The default is POST.
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
	return c.classLimit.ToolTimeout
}

func (s *Server) admit(ctx context.Context, c *call, attempt string) (program.Admission, error) {
	req := program.AdmitRequest{
		Tenant:     c.tenant,
		Program:    c.program,
		Call:       c.body,
		Attempt:    attempt,
		Ingress:    s.streams.Incarnation(),
		Idempotent: c.idempotent,
		ExpiresAt:  c.deadline.Add(attemptExpiryGrace),
	}
	if c.body.Kind == caller.CallService {
		req.Upstream = c.body.Service.Upstream
		req.IdempotencyKeyHonoured = c.service.HonoursIdempotencyKeys
	}
	admission, err := s.owners.Admit(ctx, req)
	if err == nil {
		c.class = admission.Class
		c.classLimit = s.records().Limit(classOrDefault(admission.Class))
		s.metrics.observeAdmission(c.tenant, c.class, time.Since(c.startedAt))
	}
	return admission, err
}

func classOrDefault(class string) string {
	if class == "" {
		return records.DefaultClass
	}
	return class
}

func (c *call) newCompletion(attempt string, outcome program.Outcome) program.Completion {
	return program.Completion{
		Tenant:  c.tenant,
		Program: c.program,
		Attempt: attempt,
		Call:    c.body,
		Outcome: outcome,
	}
}

// reportCompletion reports the outcome of an attempt to the owner. It does not depend on the caller's connection.
func (s *Server) reportCompletion(completion program.Completion) (*caller.Result, error) {
	ctx, cancel := context.WithTimeout(context.Background(), completionTimeout)
	defer cancel()
	return s.owners.Complete(ctx, completion)
}

// recordTurn reports a completed turn to the owner. If no owner accepts it, the result is built locally. The caller
// then stores the turn and sends it back with the next call, so that nothing is lost as long as the caller runs.
func (s *Server) recordTurn(c *call, completion program.Completion, admission program.Admission) (*caller.Result, error) {
	result, err := s.reportCompletion(completion)
	if err == nil {
		return result, nil
	}
	if !errkind.Is(err, errkind.OwnerUnavailable) && !errkind.Is(err, errkind.HistoryGap) && !errkind.Is(err, errkind.BacklogFull) {
		return nil, err
	}
	s.log.Warn("outcome was not recorded by the owner; the caller stores the turn", "program", c.program, "sequence", c.body.Sequence, "error", err)
	return program.UnrecordedResult(s.signer, admission, completion)
}

func (s *Server) serveServiceCall(w http.ResponseWriter, r *http.Request, c *call) {
	// A non-repeatable call runs to completion even if its caller disconnects, so that its outcome is recorded.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(r.Context()), c.deadline)
	defer cancel()
	result, err := s.runServiceCall(ctx, c)
	if err != nil {
		s.reject(w, c.tenant, err)
		return
	}
	s.metrics.observeCall(c.tenant, c.class, time.Since(c.startedAt))
	writeJSON(w, http.StatusOK, result)
}

// runServiceCall executes a service call. A call that is idempotent or carries an honoured idempotency key is retried
// within the retry budget. Each try is a separate attempt.
func (s *Server) runServiceCall(ctx context.Context, c *call) (*caller.Result, error) {
	budgetName := "service/" + c.body.Service.Upstream
	s.retries.recordFirstAttempt(budgetName, c.classLimit.RetryRatio)
	for try := 1; ; try++ {
		result, err := s.attemptServiceCall(ctx, c)
		if err == nil {
			return result, nil
		}
		retryable := c.idempotent || c.service.HonoursIdempotencyKeys
		if !retryable || !isTransient(err) || try >= c.maxAttempts(s.cfg.MaxAttempts) || ctx.Err() != nil {
			return nil, err
		}
		if !s.retries.takeRetry(budgetName) {
			return nil, errkind.Wrap(errkind.RetryBudgetExhausted, err, "")
		}
	}
}

func isTransient(err error) bool {
	switch errkind.From(err).Kind {
	case errkind.UpstreamUnavailable, errkind.UpstreamFailed, errkind.OutcomeUnknown:
		return true
	default:
		return false
	}
}

func (s *Server) attemptServiceCall(ctx context.Context, c *call) (*caller.Result, error) {
	attempt := ulid.Make().String()
	admission, err := s.admit(ctx, c, attempt)
	if err != nil {
		return nil, err
	}
	if admission.RecordedResult != nil {
		return admission.RecordedResult, nil
	}
	if c.isExpired() {
		s.reportBestEffort(c.newCompletion(attempt, program.OutcomeNotSent))
		return nil, errkind.New(errkind.DeadlineUnreachable, "The call was not sent before its deadline.")
	}
	response, err := s.services.Send(ctx, c.service.Address, c.newServiceRequest())
	if err != nil {
		return nil, s.reportServiceFailure(ctx, c, attempt, err)
	}
	completion := c.newCompletion(attempt, program.OutcomeDone)
	completion.Turn = caller.Turn{
		Sequence: c.body.Sequence,
		CallKey:  c.body.CallKey,
		Kind:     caller.CallService,
		Service:  c.body.Service,
		Response: &response,
	}
	return s.recordTurn(c, completion, admission)
}

func (c *call) newServiceRequest() upstream.ServiceRequest {
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

// reportServiceFailure reports a failed attempt to the owner and returns the error for the caller.
func (s *Server) reportServiceFailure(ctx context.Context, c *call, attempt string, cause error) error {
	if errors.Is(cause, upstream.ErrNotSent) {
		s.reportBestEffort(c.newCompletion(attempt, program.OutcomeNotSent))
		return errkind.Wrap(errkind.UpstreamUnavailable, cause, "").WithRetryAfter(time.Second)
	}
	s.reportBestEffort(c.newCompletion(attempt, program.OutcomeFailed))
	switch {
	case !c.idempotent:
		return errkind.Wrap(errkind.OutcomeUnknown, cause, "")
	case ctx.Err() != nil:
		return errkind.Wrap(errkind.UpstreamTimeout, cause, "")
	default:
		return errkind.Wrap(errkind.UpstreamFailed, cause, "")
	}
}

func (s *Server) reportBestEffort(completion program.Completion) {
	if _, err := s.reportCompletion(completion); err != nil {
		s.log.Warn("outcome was not recorded", "program", completion.Program, "outcome", string(completion.Outcome), "error", err)
	}
}
