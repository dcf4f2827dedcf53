package gateway

import (
	"context"
	"net/http"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"jackdawbay.dev/api/errkind"
	"jackdawbay.dev/core/placement"
	"jackdawbay.dev/core/route"
	"jackdawbay.dev/daemon/forward"
)

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
	c.g.retries.addRequest()
	for {
		if c.r.Context().Err() != nil {
			c.abort("caller_gone")
		}
		upstream, ok := c.chooseUpstream()
		if !ok {
			c.respondNoUpstream()
			return
		}
		if !c.renewUnit(upstream) {
			return
		}
		c.recordVersion(upstream)
		outcome := c.send(upstream)
		next := c.limitRetries(outcome, route.NextAction(c.route, outcome, c.canSendAgain()))
		c.logSend(upstream, outcome, next)
		switch next {
		case route.DeliverResponse:
			return
		case route.ResendRequest, route.ResumeStream:
			if next == route.ResumeStream && c.forgetWrongVersion() {
				c.respondResponseLost()
				return
			}
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
	choice, ok := c.chooseOrWait(c.placementRequest(c.excluded))
	if ok {
		c.choice = choice
	}
	return choice.Upstream, ok
}

func (c *call) placementRequest(excluded map[string]bool) placement.Request {
	return placement.Request{Parts: c.meta.Prompt, Excluded: excluded, Version: c.version.restriction, TieBreak: float64(xxhash.Sum64String(c.meta.RequestID)%1024) / 1024}
}

// attempt is one exchange with an upstream, up to the head of the response.
type attempt struct {
	choice placement.Choice
	sentAt time.Time
	conn   *forward.Conn     // Nil if no connection to the upstream could be made.
	resp   *forward.Response // Nil if err is set.
	meta   ResponseMeta
	err    error
}

// sendState is the state of a call on which an exchange depends and that later exchanges change.
type sendState struct {
	usedConns   []*forward.Conn
	lastEventID string // The stream continues after this event.
}

func (c *call) sendState() sendState {
	if c.stream.lastEventID != "" {
		return sendState{c.usedConns, c.stream.lastEventID}
	}
	return sendState{c.usedConns, c.meta.LastEventID}
}

// connect returns a connection that has not carried a request with the same ID.
func (c *call) connect(ctx context.Context, address string, usedConns []*forward.Conn) (*forward.Conn, error) {
	for {
		conn, err := c.g.cfg.Pool.Get(ctx, address, usedConns...)
		if err != nil || conn.MarkRequest(c.meta.RequestID) {
			return conn, err
		}
		_ = conn.Close() // It has no request in flight.
	}
}

// exchange sends the request to an upstream and reads the head of the response. It does not change the call, so that two
// exchanges may run concurrently. If the context ends, it is aborted, including a later read of the body.
func (c *call) exchange(ctx context.Context, choice placement.Choice, state sendState) attempt {
	a := attempt{choice: choice, sentAt: time.Now()}
	u := choice.Upstream
	a.conn, a.err = c.connect(ctx, u.Address, state.usedConns)
	if a.err != nil {
		return a
	}
	header := c.g.cfg.Codec.EncodeRequest(c.r.Header, UpstreamRequestMeta{
		Remaining: time.Until(c.deadline), ExpectedInstance: u.ID, LastEventID: state.lastEventID,
		HasOrganisations: c.authentication != "", Organisation: c.organisationName(),
	})
	a.resp, a.err = c.g.cfg.Pool.Send(ctx, a.conn, forward.Request{
		Method: c.r.Method, Target: c.r.RequestURI, Host: c.r.Host, Header: header, Body: c.upstreamBody,
		IsOwnResponse: func(h http.Header) bool {
			id := c.g.cfg.Codec.DecodeResponse(h).RequestID
			return id == "" || id == c.meta.RequestID
		},
	})
	if a.err == nil {
		a.meta = c.g.cfg.Codec.DecodeResponse(a.resp.Header)
	}
	return a
}

// recordAttempt records what an exchange has shown about its upstream. If there is no response to forward, it ends the
// exchange and returns its outcome.
func (c *call) recordAttempt(a attempt) (outcome route.Outcome, hasResponse bool) {
	u := a.choice.Upstream
	if a.conn == nil {
		c.excluded[u.ID] = true
		if c.ctx.Err() != nil || errors.Is(a.err, forward.ErrTooManyConnections) {
			c.g.upstreams.recordEnd(c.service, u.ID, false, 0)
		} else {
			c.g.upstreams.recordUnreachable(c.service, u)
		}
		return route.NotSent, false
	}
	c.usedConns = append(c.usedConns, a.conn)
	c.g.upstreams.recordConnectTime(u.ID, a.conn.DialTime)
	if a.err != nil {
		return c.handleSendError(u, a.err), false
	}
	if a.meta.HasLoad {
		c.g.upstreams.recordLoad(c.service, u.ID, a.meta.Load)
	}
	if a.meta.Leaving && c.g.upstreams.recordLeaving(c.service, u) {
		c.g.cfg.Log.Info("upstream states that it leaves", "upstream", u.ID, "address", u.Address, "request", c.meta.RequestID)
	}
	isRejection := a.meta.NotExecuted || a.resp.StatusCode == http.StatusMisdirectedRequest
	if a.meta.RequestID == "" {
		// A copy of this response that arrives later could not be told from the response to a later request.
		a.resp.DisableReuse()
		if isRejection && !a.resp.IsFirstOnConnection() {
			return c.handleUnidentifiedRejection(u, a.resp), false
		}
	}
	if isRejection {
		return c.handleRejection(u, a.resp), false
	}
	c.mayHaveRun[u.ID] = true
	return "", true
}

// send sends the request to the chosen upstream, and to a second one if the response is late, and forwards the response.
func (c *call) send(u placement.Upstream) route.Outcome {
	first := c.choice
	first.Upstream = u
	a, outcome, hasResponse, cancel := c.sendWithSecondAttempt(first)
	defer cancel()
	if !hasResponse {
		return outcome
	}
	u = a.choice.Upstream
	c.choice = a.choice
	c.timeToFirstByte = time.Since(a.sentAt)
	received := false
	defer func() { // Runs also if the response to the caller is aborted. An abort is no failure of the upstream.
		if !received {
			c.g.upstreams.recordEnd(c.service, u.ID, false, 0)
			return
		}
		c.g.upstreams.recordEnd(c.service, u.ID, c.isUpstreamFailure(outcome), time.Since(a.sentAt))
	}()
	outcome = c.receive(a.resp, a.meta)
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

// respondNoUpstream sends the error response for a request that no upstream accepted.
func (c *call) respondNoUpstream() {
	if c.respondNotAdmitted() {
		return
	}
	if len(c.mayHaveRun) > 0 {
		c.respondResponseLost()
		return
	}
	if c.rejectVersionLeft() {
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
	attrs := []any{"request", c.meta.RequestID, "upstream", u.ID, "outcome", o, "next", next, "sends", c.sendCount,
		"events", c.stream.events, "left", time.Until(c.deadline)}
	if c.retryRefused {
		attrs = append(attrs, "retry_refused", true)
	}
	c.g.cfg.Log.Info("send", attrs...)
}
