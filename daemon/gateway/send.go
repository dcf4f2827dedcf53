package gateway

import (
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
		outcome := c.send(upstream)
		next := c.limitRetries(outcome, route.NextAction(c.route, outcome, c.canSendAgain()))
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
	choice, ok := c.chooseOrWait(placement.Request{
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
		c.g.upstreams.recordEnd(c.service, u.ID, c.isUpstreamFailure(outcome), time.Since(sentAt))
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

// respondNoUpstream sends the error response for a request that no upstream accepted.
func (c *call) respondNoUpstream() {
	if c.respondNotAdmitted() {
		return
	}
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
	attrs := []any{"request", c.meta.RequestID, "upstream", u.ID, "outcome", o, "next", next, "sends", c.sendCount,
		"events", c.stream.events, "left", time.Until(c.deadline)}
	if c.retryRefused {
		attrs = append(attrs, "retry_refused", true)
	}
	c.g.cfg.Log.Info("send", attrs...)
}
