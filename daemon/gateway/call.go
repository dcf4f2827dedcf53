package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
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

// Bounds of a call.
const (
	maxRejections  = 6                       // Upstreams that may refuse a request before the caller is refused.
	maxSends       = 8                       // Sends of one request, those that did not reach an upstream included.
	beginTimeout   = 1200 * time.Millisecond // Time for the replicas to answer at the start of a turn.
	keepTimeout    = 2500 * time.Millisecond // Time for the replicas to store a turn.
	defaultTimeout = 30 * time.Second        // For a request without a deadline on a route without a timeout.
	minLeft        = 5 * time.Millisecond    // With less time left a request is not sent.
	busyPause      = 60 * time.Millisecond   // Time for which an upstream that refused a request is avoided.
)

// call is one request of a caller on its way.
type call struct {
	g       *Gateway
	w       http.ResponseWriter
	r       *http.Request
	arrived time.Time

	meta     RequestMeta
	route    *route.Route
	version  uint64
	service  string
	body     []byte // What the upstream gets.
	input    []byte // What the caller sent.
	deadline time.Time
	ctx      context.Context
	charged  bool
	perEvent int64

	avoid     map[string]bool
	sent      map[string]bool // Upstreams that may have run the request.
	sends     int
	rejected  int
	choice    placement.Choice
	firstByte time.Duration
	beginTook time.Duration   // Time for the charge and the history.
	keepTook  time.Duration   // Time for the turn to be stored.
	shortage  *quorum.Failure // Set where the charge and the history have no quorum.

	held     held // What is held of the response.
	overrun  bool // The last response exceeded a bound. Its upstream does not get the request again.
	stream   streamState
	headSent bool
	status   int
	outcome  string
	finished bool
}

func (g *Gateway) newCall(w http.ResponseWriter, r *http.Request, arrived time.Time) *call {
	return &call{g: g, w: w, r: r, arrived: arrived, held: held{all: &g.held}}
}

func (c *call) serve() {
	defer c.finish()
	meta, err := c.g.cfg.Codec.DecodeRequest(c.r.Header)
	if err != nil {
		c.refuse(errkind.BadHeader, err.Error(), 0)
		return
	}
	c.meta = meta
	table := c.g.cfg.Catalog.Table()
	if table == nil {
		c.refuse(errkind.NoConfiguration, "", retryConfiguration)
		return
	}
	c.version = table.Config.Version
	path, _, _ := strings.Cut(c.r.RequestURI, "?")
	c.route = table.Lookup(c.r.Host, path)
	if c.route == nil {
		c.refuse(errkind.RouteNotFound, "", 0)
		return
	}
	if !c.readBody(table.Config.Limits.BodyBytes) {
		return
	}
	left := c.route.Timeout
	if c.meta.CallerTimeout > 0 && (left <= 0 || c.meta.CallerTimeout < left) {
		left = c.meta.CallerTimeout
	}
	if left <= 0 {
		left = defaultTimeout
	}
	c.deadline = c.arrived.Add(left)
	if c.g.outlasts(c.deadline) {
		c.refuse(errkind.ShuttingDown, "", retryStopping)
		return
	}
	ctx, cancel := context.WithDeadline(c.r.Context(), c.deadline)
	defer cancel()
	c.ctx = ctx
	c.service = c.route.SelectService(c.meta.RequestID)
	c.perEvent = max(table.Config.Services[c.service].TokensPerEvent, 1)
	c.stream.mostEvents = mostEvents(c.meta.MaxTokens, c.perEvent)
	c.avoid, c.sent = map[string]bool{}, map[string]bool{}
	if !c.beginTurn() {
		return
	}
	c.dispatch()
}

func (c *call) readBody(limit int64) bool {
	if limit <= 0 {
		limit = maxAnswerBytes
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		c.refuse(errkind.BodyTooLarge, "", 0)
		return false
	case err != nil:
		c.abort("body_not_received")
	}
	c.body, c.input = body, body
	return true
}

// beginTurn charges the turn to its program and puts the history before the new input. It reports whether the turn may
// be sent.
func (c *call) beginTurn() bool {
	hasBudget := c.route.Kind == route.Stream && c.meta.TokenBudget >= 0 && c.meta.Program != ""
	continues := c.route.StoreTurns && c.meta.PreviousTurn != ""
	if !hasBudget && !continues {
		return true
	}
	ctx, cancel := context.WithTimeout(c.ctx, beginTimeout)
	defer cancel()
	var charge *core.Charge
	if hasBudget {
		charge = &core.Charge{Turn: c.meta.RequestID, Tokens: c.meta.MaxTokens}
		c.charged = true
	}
	from := ""
	if continues {
		from = c.meta.PreviousTurn
	}
	start := time.Now()
	open, err := c.g.cfg.Replicas.BeginTurn(ctx, c.meta.Program, charge, from, c.route.Retention, c.g.turns.get)
	c.beginTook = time.Since(start)
	if err != nil {
		if c.r.Context().Err() != nil {
			c.abort("caller_gone")
		}
		c.refuseHistory(err)
		return false
	}
	if hasBudget && !open.Ledger.CanAdmit(c.meta.RequestID, c.meta.MaxTokens, c.meta.TokenBudget) {
		c.g.cfg.Log.Info("budget does not hold the turn", "request", c.meta.RequestID, "program", c.meta.Program,
			"spent", open.Ledger.TotalExcept(c.meta.RequestID), "worst", c.meta.MaxTokens, "budget", c.meta.TokenBudget, "charges", len(open.Ledger))
		c.refuse(errkind.ProgramBudgetExhausted, "", 0)
		return false
	}
	if open.HasMissingTurn {
		c.refuse(errkind.TurnNotFound, "", 0)
		return false
	}
	if len(open.Chain) > 0 {
		var whole []byte
		for i := len(open.Chain) - 1; i >= 0; i-- {
			t := open.Chain[i]
			whole = append(append(whole, t.Input...), t.Output...)
			c.g.turns.put(t)
		}
		c.body = append(whole, c.input...)
	}
	return true
}

// settle lowers the charge of a turn to what reached the caller, which is nothing where it was not sent.
func (c *call) settle() {
	if !c.charged {
		return
	}
	c.charged = false
	c.g.enqueueSettlement(settlement{
		program: c.meta.Program,
		charge:  core.Charge{Turn: c.meta.RequestID, Tokens: int64(c.stream.events) * c.perEvent, Settled: true},
		retain:  c.route.Retention,
	})
}

// may reports whether another send is within the bounds of time, sends and upstreams.
func (c *call) may() bool {
	return !c.stream.excess && c.sends < maxSends && c.rejected < maxRejections && c.ctx.Err() == nil && time.Until(c.deadline) > minLeft
}

// mayRunElsewhere reports whether the route allows one more upstream to run the request.
func (c *call) mayRunElsewhere() bool {
	return len(c.sent) < max(c.route.MaxUpstreams, 1)
}

// dispatch sends the request until it has an answer.
func (c *call) dispatch() {
	for {
		if c.r.Context().Err() != nil {
			c.abort("caller_gone")
		}
		upstream, ok := c.pick()
		if !ok {
			c.noUpstream()
			return
		}
		outcome := c.send(upstream)
		next := route.NextAction(c.route, outcome, c.may())
		c.logSend(upstream, outcome, next)
		switch next {
		case route.DeliverResponse:
			return
		case route.ResendRequest, route.ResumeStream:
			continue
		case route.RejectRequest:
			c.noUpstream()
			return
		default:
			c.failed()
			return
		}
	}
}

// pick chooses the upstream for the next send. A request that may have run and may run nowhere else goes back to the same
// upstream.
func (c *call) pick() (placement.Upstream, bool) {
	c.sends++
	if len(c.sent) > 0 && !c.mayRunElsewhere() {
		last := c.choice.Upstream
		if c.overrun {
			return last, false
		}
		if !c.avoid[last.ID] && c.g.groups.again(c.service, last.ID, c.meta.Prompt) {
			return last, true
		}
		if !c.route.Resumable {
			return placement.Upstream{}, false
		}
	}
	choice, ok := c.g.groups.choose(c.service, placement.Request{
		Parts:    c.meta.Prompt,
		Excluded: c.avoid,
		TieBreak: float64(xxhash.Sum64String(c.meta.RequestID)%1024) / 1024,
	})
	if ok {
		c.choice = choice
	}
	return choice.Upstream, ok
}

// send gives the request to an upstream and passes a response on.
func (c *call) send(u placement.Upstream) route.Outcome {
	start := time.Now()
	conn, err := c.g.cfg.Pool.Get(c.ctx, u.Address)
	if err != nil {
		c.avoid[u.ID] = true
		c.g.groups.ended(c.service, u.ID, c.r.Context().Err() == nil, 0)
		return route.NotSent
	}
	c.g.groups.timed(u.ID, conn.DialTime)
	lastEvent := c.meta.LastEventID
	if c.stream.lastID != "" {
		lastEvent = c.stream.lastID
	}
	header := c.g.cfg.Codec.EncodeRequest(c.r.Header, UpstreamRequestMeta{Remaining: time.Until(c.deadline), ExpectedInstance: u.ID, LastEventID: lastEvent})
	resp, err := c.g.cfg.Pool.Send(c.ctx, conn, forward.Request{
		Method: c.r.Method, Target: c.r.RequestURI, Host: c.r.Host, Header: header, Body: c.body,
		IsOwnResponse: func(h http.Header) bool {
			id := c.g.cfg.Codec.DecodeResponse(h).RequestID
			return id == "" || id == c.meta.RequestID
		},
	})
	if err != nil {
		return c.sendFailed(u, err)
	}
	reply := c.g.cfg.Codec.DecodeResponse(resp.Header)
	if reply.HasLoad {
		c.g.groups.reported(c.service, u.ID, reply.Load)
	}
	if reply.NotExecuted || resp.StatusCode == http.StatusMisdirectedRequest {
		return c.upstreamRejected(u, resp)
	}
	c.sent[u.ID] = true
	c.firstByte = time.Since(start)
	var outcome route.Outcome
	answered := false
	defer func() { // Also where the response to the caller is aborted, which says nothing about the upstream.
		if !answered {
			c.g.groups.ended(c.service, u.ID, false, 0)
			return
		}
		c.g.groups.ended(c.service, u.ID, outcome != route.ResponseComplete && c.ctx.Err() == nil, time.Since(start))
	}()
	outcome = c.receive(resp, reply)
	answered = true
	if c.overrun {
		c.avoid[u.ID] = true
	}
	return outcome
}

func (c *call) sendFailed(u placement.Upstream, err error) route.Outcome {
	c.g.groups.ended(c.service, u.ID, c.ctx.Err() == nil, 0)
	switch {
	case errors.Is(err, forward.ErrNotSent):
		c.avoid[u.ID] = true
		return route.NotSent
	case errors.Is(err, forward.ErrInvalidResponse):
		c.sent[u.ID] = true
		return route.ResponseInvalid
	default:
		c.sent[u.ID] = true
		return route.ResponseMissing
	}
}

func (c *call) upstreamRejected(u placement.Upstream, resp *forward.Response) route.Outcome {
	c.rejected++
	c.avoid[u.ID] = true
	resp.Discard()
	c.g.groups.ended(c.service, u.ID, false, 0)
	c.g.groups.avoid(c.service, u.ID, busyPause)
	return route.Rejected
}

// receive reads the response and passes it on if it counts.
func (c *call) receive(resp *forward.Response, reply ResponseMeta) route.Outcome {
	if resp.Header.Get("Content-Encoding") != "" {
		resp.Close(false)
		return route.ResponseInvalid
	}
	success := resp.StatusCode/100 == 2
	if success && !reply.Signed {
		resp.Close(false)
		return route.ResponseInvalid
	}
	if success && c.route.Kind == route.Stream {
		return c.receiveStream(resp)
	}
	if promisesNotRun(resp.StatusCode) {
		resp.Discard()
		return route.ResponseMissing // The upstream does not state that it did not run the request, so the status cannot be passed on.
	}
	if !success && c.route.IsRepeatable() && c.may() && c.mayRunElsewhere() && resp.StatusCode >= http.StatusInternalServerError {
		resp.Discard()
		return route.ResponseMissing
	}
	if c.headSent {
		resp.Discard()
		return route.ResponseInterrupted
	}
	return c.receiveWhole(resp)
}

// receiveWhole passes a response on once it is whole. One of a stated length is passed on as it arrives where it cannot be
// held: its caller notices an early end.
func (c *call) receiveWhole(resp *forward.Response) route.Outcome {
	defer c.held.release()
	length := resp.ContentLength
	if resp.Body == http.NoBody {
		length = 0 // The response to a HEAD request states the length of a body that is not sent.
	}
	var pieces [][]byte
	var err error
	switch {
	case length > maxAnswerBytes:
		err = errResponseTooLarge
	case length < 0:
		pieces, err = c.held.readUnmarked(resp.Body)
	case c.held.grow(length):
		pieces, err = readStated(resp.Body, length)
	default:
		c.sendHead(resp, length)
		if _, err := io.Copy(c.w, resp.Body); err != nil {
			resp.Close(false)
			return route.ResponseInterrupted
		}
		resp.Close(true)
		return c.delivered(resp)
	}
	resp.Close(err == nil)
	switch {
	case errors.Is(err, errResponseTooLarge) || errors.Is(err, errHeldFull):
		c.overrun = true
		c.logRefused(err)
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
	c.sendHead(resp, length)
	for _, p := range pieces {
		if _, err := c.w.Write(p); err != nil {
			c.abort("caller_gone")
		}
	}
	return c.delivered(resp)
}

func (c *call) delivered(resp *forward.Response) route.Outcome {
	c.outcome = "complete"
	if resp.StatusCode/100 != 2 {
		return route.UpstreamError
	}
	return route.ResponseComplete
}

// sendHead passes the head of a response on. Length is negative for a stream.
func (c *call) sendHead(resp *forward.Response, length int64) {
	h := c.w.Header()
	for name, values := range c.g.cfg.Codec.EncodeResponse(resp.Header, true) {
		h[name] = values
	}
	if length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	c.headSent = true
	c.status = resp.StatusCode
	c.w.WriteHeader(resp.StatusCode)
}

// logRefused tells why bytes of an upstream are not taken for a response.
func (c *call) logRefused(err error) {
	c.g.cfg.Log.Info("response is not taken", "request", c.meta.RequestID, "upstream", c.choice.Upstream.ID, "reason", err,
		"held", c.held.bytes, "held_by_all", c.g.held.taken.Load(), "events", c.stream.events, "stream_bytes", c.stream.bytes,
		"most_events", c.stream.mostEvents)
}

// promisesNotRun reports whether callers take a status as the promise that the request has not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// noUpstream answers a request that no upstream has taken.
func (c *call) noUpstream() {
	if len(c.sent) > 0 {
		c.failed()
		return
	}
	c.refuse(errkind.NoReadyUpstream, "", retryUpstream)
}

// failed answers a request that may have run and has no response.
func (c *call) failed() {
	if c.r.Context().Err() != nil {
		c.abort("caller_gone")
	}
	if c.headSent {
		c.abort("stream_broken")
	}
	if c.ctx.Err() != nil || time.Until(c.deadline) <= minLeft {
		c.refuse(errkind.RouteTimeout, "", 0)
		return
	}
	c.refuse(errkind.ResponseLost, "", 0)
}

func (c *call) logSend(u placement.Upstream, o route.Outcome, next route.Action) {
	if o == route.ResponseComplete {
		return
	}
	c.g.cfg.Log.Info("send", "request", c.meta.RequestID, "upstream", u.ID, "outcome", o, "next", next, "sends", c.sends,
		"events", c.stream.events, "left", time.Until(c.deadline))
}

// finish settles the charge and writes the line of the request.
func (c *call) finish() {
	if c.finished {
		return
	}
	c.finished = true
	c.held.release()
	c.settle()
	took := time.Since(c.arrived)
	c.g.stats.observe(c.route, c.outcome, took)
	c.logLine(took)
}
