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

// maxResumes bounds how often one answer is resumed after its connection to the engine broke.
const maxResumes = 3

// answerModel runs a model call apart from the caller's connection, so that a caller whose connection broke can resume.
func (s *Server) answerModel(w http.ResponseWriter, r *http.Request, c *call) {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(r.Context()), c.deadline)
	st, fresh := s.live.open(c.liveKey(), cancel)
	if !fresh {
		cancel()
		s.deliver(w, r, c, st, 0)
		return
	}
	s.start(ctx, cancel, c, st)
	s.deliver(w, r, c, st, 0)
}

// start runs a model call in the background. A planned stop waits for it.
func (s *Server) start(ctx context.Context, cancel context.CancelFunc, c *call, st *liveStream) {
	s.inFlight.Add(1)
	go func() {
		defer s.inFlight.Done()
		defer cancel()
		result, err := s.runModel(ctx, c, st)
		st.finish(result, err)
		if err == nil {
			s.metrics.finished(c.tenant, c.class, time.Since(c.started))
		}
	}()
}

// runModel makes a model call. After a failure before any text it tries another engine within the retry budget. Each try
// is an attempt of its own, so that its worst case is charged.
func (s *Server) runModel(ctx context.Context, c *call, st *liveStream) (*caller.Result, error) {
	const budget = "engines"
	s.retries.first(budget, c.limit.RetryRatio)
	var failed []string
	for try := 1; ; try++ {
		result, engine, err := s.tryModel(ctx, c, st, failed)
		if err == nil {
			return result, nil
		}
		failed = append(failed, engine)
		again := engine != "" && transient(err) && st.length() == 0 && try < c.attempts(s.cfg.MaxAttempts) && ctx.Err() == nil
		if !again {
			return nil, err
		}
		if !s.retries.retry(budget) {
			return nil, errkind.Wrap(errkind.RetryBudgetExhausted, err, "")
		}
	}
}

// tryModel is one attempt. It returns the engine that it was sent to, empty when it was not sent.
func (s *Server) tryModel(ctx context.Context, c *call, st *liveStream, failed []string) (*caller.Result, string, error) {
	attempt := ulid.Make().String()
	s.boundOutput(c)
	var early *earlySlot
	if len(failed) == 0 {
		early = s.askEarly(ctx, c, attempt)
	}
	a, err := s.admit(ctx, c, attempt)
	if err != nil {
		s.drop(early)
		return nil, "", err
	}
	if a.RecordedResult != nil {
		s.drop(early)
		st.replay(a.RecordedResult)
		return a.RecordedResult, "", nil
	}
	model, ok := s.records().Model(a.Model)
	if !ok {
		s.drop(early)
		s.reportQuietly(c.completion(attempt, program.OutcomeNotSent))
		return nil, "", errkind.New(errkind.UnknownModel, "Model: "+a.Model+".")
	}
	acquire := s.acquire(c, attempt, a, model.Group, failed)
	queued := time.Now()
	slot, err := s.slotFor(ctx, early, &acquire)
	if err != nil {
		s.reportQuietly(c.completion(attempt, program.OutcomeNotSent))
		return nil, "", err
	}
	s.metrics.dispatched(c.tenant, c.class, time.Since(queued))
	answer, err := s.stream(ctx, c, st, attempt, a, slot)
	s.slots.Release(peer.ReleaseRequest{
		Ticket:  acquire.Ticket,
		Group:   model.Group,
		Engine:  slot.Engine,
		Program: c.program,
		Failed:  err != nil && ctx.Err() == nil,
		Usage:   answer.Usage,
	})
	if err != nil {
		return nil, slot.Engine, s.modelFailed(ctx, c, attempt, err)
	}
	s.outputs.observe(c.class, answer.Usage.CompletionTokens)
	s.countRegion(c, a, slot, answer)
	s.metrics.usage(c.tenant, c.class, answer.Usage, a.HistoryTokens)
	result, err := s.finishModel(c, attempt, a, answer, slot.Engine)
	return result, "", err
}

// countRegion counts the bytes of a call whose engine is in another region.
func (s *Server) countRegion(c *call, a program.Admission, slot peer.Slot, answer upstream.ChatResponse) {
	set := s.records()
	if set.Region(slot.Load.DataCentre) == set.Region(s.cfg.DataCentre) {
		return
	}
	bytes := len(answer.Message.Content)
	for _, m := range a.Messages {
		bytes += len(m.Content)
	}
	s.metrics.crossRegion(c.tenant, c.class, int64(bytes))
}

// defaultMaxTokens bounds the output of a call that names no bound and whose model's record has none.
const defaultMaxTokens = 4096

// boundOutput sets the output bound of a call, since the budget reserves it.
func (s *Server) boundOutput(c *call) {
	if c.body.Model.MaxTokens > 0 {
		return
	}
	bounded := *c.body.Model
	bounded.MaxTokens = defaultMaxTokens
	if m, ok := s.records().Model(bounded.Model); ok && m.MaxOutputTokens > 0 {
		bounded.MaxTokens = m.MaxOutputTokens
	}
	c.body.Model = &bounded
}

func (s *Server) acquire(c *call, attempt string, a program.Admission, group string, failed []string) peer.AcquireRequest {
	return peer.AcquireRequest{
		Ticket:         peer.TicketID(s.streams.Incarnation(), attempt),
		Group:          group,
		Program:        c.program,
		Parent:         a.Parent,
		Tenant:         c.tenant,
		Class:          a.Class,
		Model:          a.Model,
		PromptTokens:   a.TokenUpperBound - int64(c.body.Model.MaxTokens),
		HistoryTokens:  a.HistoryTokens,
		MaxTokens:      int64(c.body.Model.MaxTokens),
		ExpectedTokens: min(s.outputs.expected(a.Class), int64(c.body.Model.MaxTokens)),
		SpentTokens:    a.SpentTokens,
		Deadline:       c.deadline,
		Exclude:        failed,
		Preferred:      a.Engine,
	}
}

// stream passes the engine's answer on and resumes it when the connection to the engine breaks.
func (s *Server) stream(ctx context.Context, c *call, st *liveStream, attempt string, a program.Admission, slot peer.Slot) (upstream.ChatResponse, error) {
	started := time.Now()
	var last time.Time
	onText := func(text string) error {
		now := time.Now()
		if last.IsZero() {
			s.metrics.firstToken(c.tenant, c.class, now.Sub(started))
		} else {
			s.metrics.nextToken(c.tenant, c.class, now.Sub(last))
		}
		last = now
		return st.append(text)
	}
	chat := upstream.ChatRequest{
		RequestID: attempt,
		Program:   c.program,
		Model:     a.Model,
		Messages:  a.Messages,
		MaxTokens: c.body.Model.MaxTokens,
	}
	start := st.length()
	answer, err := s.engines.StreamChat(ctx, slot.Address, chat, onText)
	for try := 0; try < maxResumes && resumable(ctx, err); try++ {
		received := st.length() - start
		var rest upstream.ChatResponse
		rest, err = s.engines.ResumeStream(ctx, slot.Address, attempt, received, onText)
		answer.Message.Content += rest.Message.Content
		answer.Usage = rest.Usage
		if len(rest.Message.ToolCalls) > 0 {
			answer.Message.ToolCalls = rest.Message.ToolCalls
		}
	}
	if err != nil {
		s.cancelUpstream(slot.Address, attempt)
	}
	return answer, err
}

// resumable reports whether a stream broke after the engine had taken the request.
func resumable(ctx context.Context, err error) bool {
	if err == nil || ctx.Err() != nil {
		return false
	}
	return !errors.IsAny(err, upstream.ErrRequestRejected, upstream.ErrStreamExpired, upstream.ErrNotSent)
}

const cancelTimeout = time.Second

// cancelUpstream frees the engine's slot for an answer that no one waits for.
func (s *Server) cancelUpstream(address, attempt string) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	if err := s.engines.CancelRequest(ctx, address, attempt); err != nil {
		s.log.Debug("engine request was not cancelled", "request", attempt, "error", err)
	}
}

func (s *Server) modelFailed(ctx context.Context, c *call, attempt string, cause error) error {
	if errors.IsAny(cause, upstream.ErrNotSent, upstream.ErrRequestRejected) {
		s.reportQuietly(c.completion(attempt, program.OutcomeNotSent))
		return errkind.Wrap(errkind.UpstreamUnavailable, cause, "").WithRetryAfter(time.Second)
	}
	s.reportQuietly(c.completion(attempt, program.OutcomeFailed))
	switch {
	case errors.Is(cause, errAbandoned), errors.Is(context.Cause(ctx), context.Canceled):
		return errkind.Wrap(errkind.CallerGone, cause, "")
	case ctx.Err() != nil:
		return errkind.Wrap(errkind.UpstreamTimeout, cause, "")
	default:
		return errkind.Wrap(errkind.UpstreamFailed, cause, "")
	}
}

func (s *Server) finishModel(c *call, attempt string, a program.Admission, answer upstream.ChatResponse, engine string) (*caller.Result, error) {
	request := *c.body.Model
	request.Stream = false
	done := c.completion(attempt, program.OutcomeDone)
	done.Turn = caller.Turn{
		Sequence: c.body.Sequence,
		CallKey:  c.body.CallKey,
		Kind:     caller.CallModel,
		Model:    &request,
		Message:  &answer.Message,
		Usage:    answer.Usage,
	}
	done.Engine = engine
	result, err := s.finish(c, done, a)
	if err != nil {
		return nil, err
	}
	result.Upstream = engine
	return result, nil
}

// deliver sends an answer to one reader, from a byte offset on, as events or whole.
func (s *Server) deliver(w http.ResponseWriter, r *http.Request, c *call, st *liveStream, offset int) {
	release := st.attach()
	defer release()
	if c.body.Model.Stream {
		s.deliverEvents(w, r, c.tenant, st, offset)
		return
	}
	result, err := st.wait(r.Context())
	if err != nil {
		s.refuse(w, c.tenant, err)
		return
	}
	writeJSON(w, http.StatusOK, result)
}
