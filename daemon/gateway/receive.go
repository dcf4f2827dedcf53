package gateway

import (
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"jackdawbay.dev/core/route"
	"jackdawbay.dev/daemon/forward"
	"jackdawbay.dev/daemon/intake"
)

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
	if !success && c.route.IsRepeatable() && c.canSendAgain() && c.hasRetry() && c.canUseAnotherUpstream() && resp.StatusCode >= http.StatusInternalServerError {
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
		defer intake.EnlargeSendBuffer(c.r, c.memory, length)()
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
	defer intake.EnlargeSendBuffer(c.r, c.memory, length)()
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
