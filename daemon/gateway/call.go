package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"jackdawbay.dev/api/errkind"
	"jackdawbay.dev/core/placement"
	core "jackdawbay.dev/core/replica"
	"jackdawbay.dev/core/route"
	"jackdawbay.dev/daemon/forward"
	"jackdawbay.dev/daemon/quorum"
)

// Limits of a call.
const (
	maxRejections          = 6                       // Rejections by upstreams before the caller gets an error.
	maxSends               = 8                       // Send attempts for one request, including attempts that did not reach an upstream.
	beginTimeout           = 1200 * time.Millisecond // Timeout of the replicas at the start of a turn.
	storeTimeout           = 2500 * time.Millisecond // Timeout of the replicas for storing a turn.
	defaultRequestTimeout  = 30 * time.Second        // For a request without a deadline on a route without a timeout.
	minRemaining           = 5 * time.Millisecond    // A request with less time left is not sent.
	ejectionAfterRejection = 60 * time.Millisecond   // Time for which an upstream is ejected after it rejected a request.
)

// call is the state of one request while it is served.
type call struct {
	g         *Gateway
	w         http.ResponseWriter
	r         *http.Request
	arrivedAt time.Time

	meta           RequestMeta
	route          *route.Route
	configVersion  uint64
	service        string
	upstreamBody   []byte // Body that is sent to the upstream.
	callerBody     []byte // Body that was received from the caller.
	deadline       time.Time
	ctx            context.Context
	charged        bool
	tokensPerEvent int64

	excluded        map[string]bool // Upstreams that may not get the request again.
	mayHaveRun      map[string]bool // Upstreams that may have executed the request.
	usedConns       []*forward.Conn // Connections that have carried the request.
	sendCount       int
	rejections      int
	choice          placement.Choice
	timeToFirstByte time.Duration
	beginDuration   time.Duration   // Time to store the charge and to read the history.
	storeDuration   time.Duration   // Time to store the turn.
	quorumFailure   *quorum.Failure // Set if the charge and the history found no quorum.

	buffer         responseBuffer // Memory of the buffered response.
	bufferExceeded bool           // The last response exceeded the buffer limits. The request is not sent to its upstream again.
	stream         streamState
	headWritten    bool
	status         int
	outcome        string
	finished       bool
}

func (g *Gateway) newCall(w http.ResponseWriter, r *http.Request, arrivedAt time.Time) *call {
	return &call{g: g, w: w, r: r, arrivedAt: arrivedAt, buffer: responseBuffer{budget: &g.bufferBudget}}
}

func (c *call) serve() {
	defer c.finish()
	meta, err := c.g.cfg.Codec.DecodeRequest(c.r.Header)
	if err != nil {
		c.respondError(errkind.BadHeader, err.Error(), 0)
		return
	}
	c.meta = meta
	table := c.g.cfg.Catalog.Table()
	if table == nil {
		c.respondError(errkind.NoConfiguration, "", retryAfterNoConfiguration)
		return
	}
	c.configVersion = table.Config.Version
	path, _, _ := strings.Cut(c.r.RequestURI, "?")
	c.route = table.Lookup(c.r.Host, path)
	if c.route == nil {
		c.respondError(errkind.RouteNotFound, "", 0)
		return
	}
	if !c.readBody(table.Config.Limits.BodyBytes) {
		return
	}
	timeout := c.route.Timeout
	if c.meta.CallerTimeout > 0 && (timeout <= 0 || c.meta.CallerTimeout < timeout) {
		timeout = c.meta.CallerTimeout
	}
	if timeout <= 0 {
		timeout = defaultRequestTimeout
	}
	c.deadline = c.arrivedAt.Add(timeout)
	if c.g.exceedsStopDeadline(c.deadline) {
		c.respondError(errkind.ShuttingDown, "", retryAfterShutdown)
		return
	}
	ctx, cancel := context.WithDeadline(c.r.Context(), c.deadline)
	defer cancel()
	defer context.AfterFunc(c.g.stopped, cancel)()
	c.ctx = ctx
	c.service = c.route.SelectService(c.meta.RequestID)
	c.tokensPerEvent = max(table.Config.Services[c.service].TokensPerEvent, 1)
	c.stream.maxEvents = maxEvents(c.meta.MaxTokens, c.tokensPerEvent)
	c.excluded, c.mayHaveRun = map[string]bool{}, map[string]bool{}
	if c.route.HasPromptParts {
		c.meta.Prompt = placement.WithAffinity(c.meta.Prompt, c.meta.AffinityKey)
	}
	if !c.beginTurn() {
		return
	}
	c.dispatch()
}

func (c *call) readBody(limit int64) bool {
	if limit <= 0 {
		limit = maxResponseBytes
	}
	callerBody, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		c.respondError(errkind.BodyTooLarge, "", 0)
		return false
	case err != nil:
		c.abort("body_not_received")
	}
	c.upstreamBody, c.callerBody = callerBody, callerBody
	return true
}

// beginTurn charges the turn to its program and prepends the history to the new input. It reports whether the turn may be
// sent. If not, the caller has received an error response.
func (c *call) beginTurn() bool {
	hasBudget := c.route.Kind == route.Stream && c.meta.TokenBudget >= 0 && c.meta.Program != ""
	continuesTurn := c.route.StoreTurns && c.meta.PreviousTurn != ""
	if !hasBudget && !continuesTurn {
		return true
	}
	ctx, cancel := context.WithTimeout(c.ctx, beginTimeout)
	defer cancel()
	var charge *core.Charge
	if hasBudget {
		charge = &core.Charge{Turn: c.meta.RequestID, Tokens: c.meta.MaxTokens}
		c.charged = true
	}
	previousTurn := ""
	if continuesTurn {
		previousTurn = c.meta.PreviousTurn
	}
	startedAt := time.Now()
	result, err := c.g.cfg.Replicas.BeginTurn(ctx, c.meta.Program, charge, previousTurn, c.route.Retention, c.g.turnCache.get)
	c.beginDuration = time.Since(startedAt)
	if err != nil {
		if c.r.Context().Err() != nil {
			c.abort("caller_gone")
		}
		c.rejectTurn(err)
		return false
	}
	if lacking := result.ChargesToSpread(); len(lacking) > 0 {
		c.storeCharges(lacking...)
	}
	if hasBudget && !result.Ledger.CanAdmit(c.meta.RequestID, c.meta.MaxTokens, c.meta.TokenBudget) {
		c.g.cfg.Log.Info("budget does not hold the turn", "request", c.meta.RequestID, "program", c.meta.Program,
			"spent", result.Ledger.TotalExcept(c.meta.RequestID), "worst", c.meta.MaxTokens, "budget", c.meta.TokenBudget, "charges", len(result.Ledger))
		c.respondError(errkind.ProgramBudgetExhausted, "", 0)
		return false
	}
	if result.MissingTurn != "" {
		c.respondError(errkind.TurnNotFound, "", 0)
		return false
	}
	if len(result.Chain) > 0 {
		var history []byte
		for i := len(result.Chain) - 1; i >= 0; i-- {
			t := result.Chain[i]
			history = append(append(history, t.Input...), t.Output...)
			c.g.turnCache.put(t)
		}
		c.upstreamBody = append(history, c.callerBody...)
	}
	return true
}

// settleCharge lowers the charge of a turn to the tokens that reached the caller. This is zero for a turn that was not sent.
func (c *call) settleCharge() {
	if !c.charged {
		return
	}
	c.charged = false
	c.storeCharges(core.Charge{Turn: c.meta.RequestID, Tokens: int64(c.stream.events) * c.tokensPerEvent, Settled: true})
}

// storeCharges stores charges of the call's program in the background.
func (c *call) storeCharges(charges ...core.Charge) {
	c.g.enqueueSettlement(settlement{program: c.meta.Program, request: c.meta.RequestID, charges: charges, retention: c.route.Retention})
}

// canSendAgain reports whether another send is within the limits of time, sends and rejections.
func (c *call) canSendAgain() bool {
	return !c.stream.limitExceeded && c.sendCount < maxSends && c.rejections < maxRejections && c.ctx.Err() == nil && time.Until(c.deadline) > minRemaining
}

// canUseAnotherUpstream reports whether the route allows one more upstream to execute the request.
func (c *call) canUseAnotherUpstream() bool {
	return len(c.mayHaveRun) < max(c.route.MaxUpstreams, 1)
}

// dispatch sends the request to upstreams until the caller has a response or an error.
func (c *call) dispatch() {
	for {
		if c.r.Context().Err() != nil {
			c.abort("caller_gone")
		}
		upstream, ok := c.chooseUpstream()
		if !ok {
			c.respondNoUpstream()
			return
		}
		outcome := c.send(upstream)
		next := route.NextAction(c.route, outcome, c.canSendAgain())
		c.logSend(upstream, outcome, next)
		switch next {
		case route.DeliverResponse:
			return
		case route.ResendRequest, route.ResumeStream:
			continue
		case route.RejectRequest:
			c.respondNoUpstream()
			return
		default:
			c.respondResponseLost()
			return
		}
	}
}

// chooseUpstream returns the upstream for the next send. A request that may have run, and that no other upstream may
// execute, goes back to the same upstream, unless that one drains or leaves by now.
func (c *call) chooseUpstream() (placement.Upstream, bool) {
	c.sendCount++
	if len(c.mayHaveRun) > 0 && !c.canUseAnotherUpstream() {
		lastUpstream := c.choice.Upstream
		if c.bufferExceeded {
			return lastUpstream, false
		}
		if !c.excluded[lastUpstream.ID] && c.g.upstreams.recordRepeat(c.service, lastUpstream, c.meta.Prompt) {
			return lastUpstream, true
		}
		if !c.route.Resumable {
			return placement.Upstream{}, false
		}
	}
	choice, ok := c.g.upstreams.choose(c.service, placement.Request{
		Parts:    c.meta.Prompt,
		Excluded: c.excluded,
		TieBreak: float64(xxhash.Sum64String(c.meta.RequestID)%1024) / 1024,
	})
	if ok {
		c.choice = choice
	}
	return choice.Upstream, ok
}

// send sends the request to an upstream and forwards the response.
func (c *call) send(u placement.Upstream) route.Outcome {
	sentAt := time.Now()
	conn, err := c.g.cfg.Pool.Get(c.ctx, u.Address, c.usedConns...)
	if err != nil {
		c.excluded[u.ID] = true
		if c.ctx.Err() != nil {
			c.g.upstreams.recordEnd(c.service, u.ID, false, 0)
		} else {
			c.g.upstreams.recordUnreachable(c.service, u)
		}
		return route.NotSent
	}
	c.usedConns = append(c.usedConns, conn)
	c.g.upstreams.recordConnectTime(u.ID, conn.DialTime)
	lastEvent := c.meta.LastEventID
	if c.stream.lastEventID != "" {
		lastEvent = c.stream.lastEventID
	}
	header := c.g.cfg.Codec.EncodeRequest(c.r.Header, UpstreamRequestMeta{Remaining: time.Until(c.deadline), ExpectedInstance: u.ID, LastEventID: lastEvent})
	resp, err := c.g.cfg.Pool.Send(c.ctx, conn, forward.Request{
		Method: c.r.Method, Target: c.r.RequestURI, Host: c.r.Host, Header: header, Body: c.upstreamBody,
		IsOwnResponse: func(h http.Header) bool {
			id := c.g.cfg.Codec.DecodeResponse(h).RequestID
			return id == "" || id == c.meta.RequestID
		},
	})
	if err != nil {
		return c.handleSendError(u, err)
	}
	responseMeta := c.g.cfg.Codec.DecodeResponse(resp.Header)
	if responseMeta.HasLoad {
		c.g.upstreams.recordLoad(c.service, u.ID, responseMeta.Load)
	}
	if responseMeta.Leaving && c.g.upstreams.recordLeaving(c.service, u) {
		c.g.cfg.Log.Info("upstream states that it leaves", "upstream", u.ID, "address", u.Address, "request", c.meta.RequestID)
	}
	isRejection := responseMeta.NotExecuted || resp.StatusCode == http.StatusMisdirectedRequest
	if responseMeta.RequestID == "" {
		// A copy of this response that arrives later could not be told from the response to a later request.
		resp.DisableReuse()
		if isRejection && !resp.IsFirstOnConnection() {
			return c.handleUnidentifiedRejection(u, resp)
		}
	}
	if isRejection {
		return c.handleRejection(u, resp)
	}
	c.mayHaveRun[u.ID] = true
	c.timeToFirstByte = time.Since(sentAt)
	var outcome route.Outcome
	received := false
	defer func() { // Runs also if the response to the caller is aborted. An abort is no failure of the upstream.
		if !received {
			c.g.upstreams.recordEnd(c.service, u.ID, false, 0)
			return
		}
		c.g.upstreams.recordEnd(c.service, u.ID, outcome != route.ResponseComplete && c.ctx.Err() == nil, time.Since(sentAt))
	}()
	outcome = c.receive(resp, responseMeta)
	received = true
	if c.bufferExceeded {
		c.excluded[u.ID] = true
	}
	return outcome
}

func (c *call) handleSendError(u placement.Upstream, err error) route.Outcome {
	if c.ctx.Err() == nil && errors.Is(err, syscall.ETIMEDOUT) {
		c.g.upstreams.recordUnreachable(c.service, u) // Its system acknowledges nothing.
	} else {
		c.g.upstreams.recordEnd(c.service, u.ID, c.ctx.Err() == nil, 0)
	}
	switch {
	case errors.Is(err, forward.ErrNotSent):
		c.excluded[u.ID] = true
		return route.NotSent
	case errors.Is(err, forward.ErrInvalidResponse):
		c.mayHaveRun[u.ID] = true
		return route.ResponseInvalid
	default:
		c.mayHaveRun[u.ID] = true
		return route.ResponseMissing
	}
}

func (c *call) handleRejection(u placement.Upstream, resp *forward.Response) route.Outcome {
	c.rejections++
	c.excluded[u.ID] = true
	resp.Discard()
	c.g.upstreams.recordEnd(c.service, u.ID, false, 0)
	c.g.upstreams.eject(c.service, u.ID, ejectionAfterRejection)
	return route.Rejected
}

// handleUnidentifiedRejection handles a rejection without a request ID on a connection that has carried earlier requests. It
// may be the copy of an earlier rejection, so the request may have run.
func (c *call) handleUnidentifiedRejection(u placement.Upstream, resp *forward.Response) route.Outcome {
	c.g.cfg.Log.Warn("rejection without a request ID on a reused connection is not taken", "request", c.meta.RequestID, "upstream", u.ID,
		"status", resp.StatusCode)
	c.mayHaveRun[u.ID] = true
	resp.Close(false)
	c.g.upstreams.recordEnd(c.service, u.ID, true, 0)
	return route.ResponseMissing
}

// receive reads a response and forwards it if it is valid.
func (c *call) receive(resp *forward.Response, responseMeta ResponseMeta) route.Outcome {
	if resp.Header.Get("Content-Encoding") != "" {
		resp.Close(false)
		return route.ResponseInvalid
	}
	success := resp.StatusCode/100 == 2
	if c.headWritten && (resp.StatusCode != c.status || !isEventStream(resp)) {
		resp.Discard()
		return route.ResponseInterrupted // Only the remaining events may follow a stream that has begun.
	}
	if success && !responseMeta.Signed {
		resp.Close(false)
		return route.ResponseInvalid
	}
	if success && c.route.Kind == route.Stream {
		return c.receiveStream(resp)
	}
	if impliesNotExecuted(resp.StatusCode) {
		resp.Discard()
		return route.ResponseMissing // Callers would read the status as "not executed", which the upstream has not confirmed.
	}
	if !success && c.route.IsRepeatable() && c.canSendAgain() && c.canUseAnotherUpstream() && resp.StatusCode >= http.StatusInternalServerError {
		resp.Discard()
		return route.ResponseMissing
	}
	return c.receiveBody(resp)
}

// receiveBody buffers a response and forwards it when it is complete. If the buffers are full, a response of known length is
// forwarded as it arrives, since its caller can detect a truncated body.
func (c *call) receiveBody(resp *forward.Response) route.Outcome {
	defer c.buffer.release()
	length := resp.ContentLength
	if resp.Body == http.NoBody {
		length = 0 // The Content-Length of a response to a HEAD request is that of a body that is not sent.
	}
	var pieces [][]byte
	var err error
	switch {
	case length > maxResponseBytes:
		err = errResponseTooLarge
	case length < 0:
		pieces, err = c.buffer.readUnknownLength(resp.Body)
	case c.buffer.reserve(length):
		pieces, err = readKnownLength(resp.Body, length)
	default:
		c.writeHead(resp, length)
		if _, err := io.Copy(c.w, resp.Body); err != nil {
			resp.Close(false)
			return route.ResponseInterrupted
		}
		resp.Close(true)
		return c.completeResponse(resp)
	}
	resp.Close(err == nil)
	switch {
	case errors.Is(err, errResponseTooLarge) || errors.Is(err, errBufferBudgetExhausted):
		c.bufferExceeded = true
		c.logRejectedResponse(err)
		return route.ResponseInvalid
	case err != nil && c.ctx.Err() != nil:
		return route.ResponseMissing
	case err != nil:
		return route.ResponseInvalid
	}
	length = 0
	for _, p := range pieces {
		length += int64(len(p))
	}
	c.writeHead(resp, length)
	for _, p := range pieces {
		if _, err := c.w.Write(p); err != nil {
			c.abort("caller_gone")
		}
	}
	return c.completeResponse(resp)
}

func (c *call) completeResponse(resp *forward.Response) route.Outcome {
	c.outcome = "complete"
	if resp.StatusCode/100 != 2 {
		return route.UpstreamError
	}
	return route.ResponseComplete
}

// writeHead sends the head of a response to the caller. A stream has a negative length.
func (c *call) writeHead(resp *forward.Response, length int64) {
	h := c.w.Header()
	for name, values := range c.g.cfg.Codec.EncodeResponse(resp.Header, true) {
		h[name] = values
	}
	if length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	c.headWritten = true
	c.status = resp.StatusCode
	c.w.WriteHeader(resp.StatusCode)
}

// logRejectedResponse logs why a response of an upstream was rejected.
func (c *call) logRejectedResponse(err error) {
	c.g.cfg.Log.Info("response is not taken", "request", c.meta.RequestID, "upstream", c.choice.Upstream.ID, "reason", err,
		"held", c.buffer.bytes, "held_by_all", c.g.bufferBudget.used.Load(), "events", c.stream.events, "stream_bytes", c.stream.bytes,
		"most_events", c.stream.maxEvents)
}

// impliesNotExecuted reports whether callers take a status as a guarantee that the request was not executed.
func impliesNotExecuted(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// respondNoUpstream sends the error response for a request that no upstream accepted.
func (c *call) respondNoUpstream() {
	if len(c.mayHaveRun) > 0 {
		c.respondResponseLost()
		return
	}
	c.respondError(errkind.NoReadyUpstream, "", retryAfterNoUpstream)
}

// respondResponseLost sends the error response for a request that may have been executed and whose response is lost.
func (c *call) respondResponseLost() {
	if c.r.Context().Err() != nil {
		c.abort("caller_gone")
	}
	if c.headWritten {
		c.abort("stream_broken")
	}
	if time.Until(c.deadline) <= minRemaining {
		c.respondError(errkind.RouteTimeout, "", 0)
		return
	}
	c.respondError(errkind.ResponseLost, "", 0) // Also for a request that is in flight when the daemon stops.
}

func (c *call) logSend(u placement.Upstream, o route.Outcome, next route.Action) {
	if o == route.ResponseComplete {
		return
	}
	c.g.cfg.Log.Info("send", "request", c.meta.RequestID, "upstream", u.ID, "outcome", o, "next", next, "sends", c.sendCount,
		"events", c.stream.events, "left", time.Until(c.deadline))
}

// finish settles the charge, releases the buffer, and writes the metrics and the log line of the request. Later calls do
// nothing.
func (c *call) finish() {
	if c.finished {
		return
	}
	c.finished = true
	c.buffer.release()
	c.settleCharge()
	duration := time.Since(c.arrivedAt)
	c.g.stats.observeRequest(c.route, c.outcome, duration)
	c.logRequest(duration)
}
