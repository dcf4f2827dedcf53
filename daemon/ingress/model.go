package ingress

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/ulid/v2"

	"jackdawbay.dev/api/caller"
	"jackdawbay.dev/api/errkind"
	"jackdawbay.dev/core/program"
	"jackdawbay.dev/daemon/peer"
	"jackdawbay.dev/daemon/upstream"
)

// maxStreamResumes bounds how often one response is resumed after its connection to the engine broke.
const maxStreamResumes = 3

// serveModelCall runs a model call independently of the caller's connection, so that a caller whose connection broke
// can resume.
func (s *Server) serveModelCall(w http.ResponseWriter, r *http.Request, c *call) {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(r.Context()), c.deadline)
	stream, created := s.activeStreams.getOrCreate(c.streamKey(), cancel)
	if !created {
		cancel()
		s.deliverResponse(w, r, c, stream, 0)
		return
	}
	s.startModelCall(ctx, cancel, c, stream)
	s.deliverResponse(w, r, c, stream, 0)
}

// startModelCall runs a model call in the background. A planned stop waits for it.
func (s *Server) startModelCall(ctx context.Context, cancel context.CancelFunc, c *call, stream *responseStream) {
	s.inFlight.Add(1)
	go func() {
		defer s.inFlight.Done()
		defer cancel()
		result, err := s.runModelCall(ctx, c, stream)
		stream.finish(result, err)
		if err == nil {
			s.metrics.observeCall(c.tenant, c.class, time.Since(c.startedAt))
		}
	}()
}

// runModelCall executes a model call. If an attempt fails before any text was received, another engine is tried within
// the retry budget. Each try is a separate attempt, so that the upper bound of its tokens is charged.
func (s *Server) runModelCall(ctx context.Context, c *call, stream *responseStream) (*caller.Result, error) {
	const budgetName = "engines"
	s.retries.recordFirstAttempt(budgetName, c.classLimit.RetryRatio)
	var failedEngines []string
	for try := 1; ; try++ {
		result, engine, err := s.attemptModelCall(ctx, c, stream, failedEngines)
		if err == nil {
			return result, nil
		}
		failedEngines = append(failedEngines, engine)
		retryable := engine != "" && isTransient(err) && stream.textLength() == 0 && try < c.maxAttempts(s.cfg.MaxAttempts) && ctx.Err() == nil
		if !retryable {
			return nil, err
		}
		if !s.retries.takeRetry(budgetName) {
			return nil, errkind.Wrap(errkind.RetryBudgetExhausted, err, "")
		}
	}
}

// attemptModelCall makes one attempt. If the attempt fails at an engine, the name of that engine is returned; otherwise
// the name is empty.
func (s *Server) attemptModelCall(ctx context.Context, c *call, stream *responseStream, failedEngines []string) (*caller.Result, string, error) {
	attempt := ulid.Make().String()
	s.setMaxTokens(c)
	var speculative *speculativeSlot
	if len(failedEngines) == 0 {
		speculative = s.acquireSpeculatively(ctx, c, attempt)
	}
	admission, err := s.admit(ctx, c, attempt)
	if err != nil {
		s.releaseSpeculative(speculative)
		return nil, "", err
	}
	if admission.RecordedResult != nil {
		s.releaseSpeculative(speculative)
		stream.setStoredText(admission.RecordedResult)
		return admission.RecordedResult, "", nil
	}
	model, ok := s.records().Model(admission.Model)
	if !ok {
		s.releaseSpeculative(speculative)
		s.reportBestEffort(c.newCompletion(attempt, program.OutcomeNotSent))
		return nil, "", errkind.New(errkind.UnknownModel, "Model: "+admission.Model+".")
	}
	request := s.newAcquireRequest(c, attempt, admission, model.Group, failedEngines)
	queuedAt := time.Now()
	slot, err := s.awaitSlot(ctx, speculative, &request)
	if err != nil {
		s.reportBestEffort(c.newCompletion(attempt, program.OutcomeNotSent))
		return nil, "", err
	}
	s.metrics.observeQueueWait(c.tenant, c.class, time.Since(queuedAt))
	response, err := s.streamFromEngine(ctx, c, stream, attempt, admission, slot)
	s.slots.Release(peer.ReleaseRequest{
		Ticket:  request.Ticket,
		Group:   model.Group,
		Engine:  slot.Engine,
		Program: c.program,
		Failed:  err != nil && ctx.Err() == nil,
		Usage:   response.Usage,
	})
	if err != nil {
		return nil, slot.Engine, s.reportModelFailure(ctx, c, attempt, err)
	}
	s.outputEstimates.observe(c.class, response.Usage.CompletionTokens)
	s.countCrossRegionBytes(c, admission, slot, response)
	s.metrics.addUsage(c.tenant, c.class, response.Usage, admission.HistoryTokens)
	result, err := s.recordModelTurn(c, attempt, admission, response, slot.Engine)
	return result, "", err
}

// countCrossRegionBytes counts the bytes of a call whose engine is in another region.
func (s *Server) countCrossRegionBytes(c *call, admission program.Admission, slot peer.Slot, response upstream.ChatResponse) {
	set := s.records()
	if set.Region(slot.Load.DataCentre) == set.Region(s.cfg.DataCentre) {
		return
	}
	bytes := len(response.Message.Content)
	for _, m := range admission.Messages {
		bytes += len(m.Content)
	}
	s.metrics.addCrossRegionBytes(c.tenant, c.class, int64(bytes))
}

// defaultMaxTokens is the output limit of a call if neither the call nor the record of its model sets one.
const defaultMaxTokens = 4096

// setMaxTokens sets the output limit of a call that has none. The limit is needed because admission reserves that many
// tokens of the budget.
func (s *Server) setMaxTokens(c *call) {
	if c.body.Model.MaxTokens > 0 {
		return
	}
	model := *c.body.Model
	model.MaxTokens = defaultMaxTokens
	if m, ok := s.records().Model(model.Model); ok && m.MaxOutputTokens > 0 {
		model.MaxTokens = m.MaxOutputTokens
	}
	c.body.Model = &model
}

func (s *Server) newAcquireRequest(c *call, attempt string, admission program.Admission, group string, failedEngines []string) peer.AcquireRequest {
	return peer.AcquireRequest{
		Ticket:         peer.TicketID(s.streams.Incarnation(), attempt),
		Group:          group,
		Program:        c.program,
		Parent:         admission.Parent,
		Tenant:         c.tenant,
		Class:          admission.Class,
		Model:          admission.Model,
		PromptTokens:   admission.TokenUpperBound - int64(c.body.Model.MaxTokens),
		HistoryTokens:  admission.HistoryTokens,
		MaxTokens:      int64(c.body.Model.MaxTokens),
		ExpectedTokens: min(s.outputEstimates.estimate(admission.Class), int64(c.body.Model.MaxTokens)),
		SpentTokens:    admission.SpentTokens,
		Deadline:       c.deadline,
		Exclude:        failedEngines,
		Preferred:      admission.Engine,
	}
}

// streamFromEngine streams the engine's response to the readers and resumes it when the connection to the engine
// breaks.
func (s *Server) streamFromEngine(ctx context.Context, c *call, stream *responseStream, attempt string, admission program.Admission, slot peer.Slot) (upstream.ChatResponse, error) {
	startedAt := time.Now()
	var lastTextAt time.Time
	onText := func(text string) error {
		now := time.Now()
		if lastTextAt.IsZero() {
			s.metrics.observeFirstToken(c.tenant, c.class, now.Sub(startedAt))
		} else {
			s.metrics.observeTokenInterval(c.tenant, c.class, now.Sub(lastTextAt))
		}
		lastTextAt = now
		return stream.appendText(text)
	}
	chat := upstream.ChatRequest{
		RequestID: attempt,
		Program:   c.program,
		Model:     admission.Model,
		Messages:  admission.Messages,
		MaxTokens: c.body.Model.MaxTokens,
	}
	startLength := stream.textLength()
	response, err := s.engines.StreamChat(ctx, slot.Address, chat, onText)
	for try := 0; try < maxStreamResumes && isResumable(ctx, err); try++ {
		received := stream.textLength() - startLength
		var resumed upstream.ChatResponse
		resumed, err = s.engines.ResumeStream(ctx, slot.Address, attempt, received, onText)
		response.Message.Content += resumed.Message.Content
		response.Usage = resumed.Usage
		if len(resumed.Message.ToolCalls) > 0 {
			response.Message.ToolCalls = resumed.Message.ToolCalls
		}
	}
	if err != nil {
		s.cancelEngineRequest(slot.Address, attempt)
	}
	return response, err
}

// isResumable reports whether a stream broke after the engine accepted the request.
func isResumable(ctx context.Context, err error) bool {
	if err == nil || ctx.Err() != nil {
		return false
	}
	return !errors.IsAny(err, upstream.ErrRequestRejected, upstream.ErrStreamExpired, upstream.ErrNotSent)
}

const cancelTimeout = time.Second

// cancelEngineRequest cancels the request of an attempt that failed, to free its engine slot.
func (s *Server) cancelEngineRequest(address, attempt string) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	if err := s.engines.CancelRequest(ctx, address, attempt); err != nil {
		s.log.Debug("engine request was not cancelled", "request", attempt, "error", err)
	}
}

func (s *Server) reportModelFailure(ctx context.Context, c *call, attempt string, cause error) error {
	if errors.IsAny(cause, upstream.ErrNotSent, upstream.ErrRequestRejected) {
		s.reportBestEffort(c.newCompletion(attempt, program.OutcomeNotSent))
		return errkind.Wrap(errkind.UpstreamUnavailable, cause, "").WithRetryAfter(time.Second)
	}
	s.reportBestEffort(c.newCompletion(attempt, program.OutcomeFailed))
	switch {
	case errors.Is(cause, errNoReaders), errors.Is(context.Cause(ctx), context.Canceled):
		return errkind.Wrap(errkind.CallerGone, cause, "")
	case ctx.Err() != nil:
		return errkind.Wrap(errkind.UpstreamTimeout, cause, "")
	default:
		return errkind.Wrap(errkind.UpstreamFailed, cause, "")
	}
}

func (s *Server) recordModelTurn(c *call, attempt string, admission program.Admission, response upstream.ChatResponse, engine string) (*caller.Result, error) {
	request := *c.body.Model
	request.Stream = false
	completion := c.newCompletion(attempt, program.OutcomeDone)
	completion.Turn = caller.Turn{
		Sequence: c.body.Sequence,
		CallKey:  c.body.CallKey,
		Kind:     caller.CallModel,
		Model:    &request,
		Message:  &response.Message,
		Usage:    response.Usage,
	}
	completion.Engine = engine
	result, err := s.recordTurn(c, completion, admission)
	if err != nil {
		return nil, err
	}
	result.Upstream = engine
	return result, nil
}

// deliverResponse sends a response to one reader, either as events that start at a byte offset or as one JSON body.
func (s *Server) deliverResponse(w http.ResponseWriter, r *http.Request, c *call, stream *responseStream, offset int) {
	release := stream.attach()
	defer release()
	if c.body.Model.Stream {
		s.deliverEvents(w, r, c.tenant, stream, offset)
		return
	}
	result, err := stream.waitForResult(r.Context())
	if err != nil {
		s.reject(w, c.tenant, err)
		return
	}
	writeJSON(w, http.StatusOK, result)
}
