package gateway

import (
	"time"

	"github.com/cockroachdb/errors"

	"jackdawbay.dev/api/errkind"
	"jackdawbay.dev/daemon/intake"
)

// requestBytes is the memory that a request takes besides its body and the connection of its caller: the connection to the upstream,
// the headers for it, the stacks of the goroutines, and what the system holds for both connections.
const requestBytes = 32 << 10

// retryAfterNoMemory is the time after which clients that have stopped sending give way to others.
const retryAfterNoMemory = time.Second

// readBody reads the body of the request. It reports whether the request may go on. If not, the caller has received an error
// response.
func (c *call) readBody(limit int64) bool {
	if limit <= 0 {
		limit = maxResponseBytes
	}
	pieces, err := c.g.cfg.Intake.Read(c.w, c.r, c.memory, limit)
	switch {
	case errors.Is(err, intake.ErrTooLarge):
		c.rejectBody(errkind.BodyTooLarge, 0)
	case errors.Is(err, intake.ErrNoProgress):
		c.rejectBody(errkind.BodyTimeout, 0)
	case errors.IsAny(err, intake.ErrNoMemory, intake.ErrGaveWay):
		c.rejectBody(errkind.Overloaded, retryAfterNoMemory)
	case err != nil:
		c.bodyRead = true // Nothing is left to read: the caller has disconnected.
		c.abort("body_not_received")
	}
	if err != nil {
		return false
	}
	c.bodyRead = true
	if !c.reserveUpload(pieces) {
		c.respondError(errkind.Overloaded, "", retryAfterNoMemory)
		return false
	}
	if c.route.StoreTurns {
		joined, ok := c.g.cfg.Intake.Join(c.r.Context(), c.memory, pieces)
		if !ok {
			c.respondError(errkind.Overloaded, "", retryAfterNoMemory)
			return false
		}
		c.callerBody, pieces = joined, [][]byte{joined}
		if !c.reserveStoring(int64(len(joined))) {
			c.respondError(errkind.Overloaded, "", retryAfterNoMemory)
			return false
		}
	}
	c.upstreamBody = pieces
	return true
}

// reserveUpload reserves the memory of the system for a body that is being written to an upstream.
func (c *call) reserveUpload(pieces [][]byte) bool {
	n := int64(0)
	for _, p := range pieces {
		n += int64(len(p))
	}
	return intake.Reserve(c.r.Context(), c.memory, min(n, intake.LargeBufferMemory))
}

// Memory for storing a turn.
const (
	// storeCopies is the number of replicas to which a turn is usually sent at the same time, each in an encoding of its own.
	storeCopies = 3
	// freeStoreBytes is the size of a turn up to which the copies are not counted. Most turns have less, and their copies exist
	// for some milliseconds.
	freeStoreBytes = 64 << 10
)

// reserveStoring reserves the memory for the encoded copies of a turn. This is done before the turn is sent, because a turn that has
// run can no longer be rejected.
func (c *call) reserveStoring(n int64) bool {
	return n <= freeStoreBytes || intake.Reserve(c.r.Context(), c.memory, storeCopies*n)
}

// rejectBody sends the error response for a body that was not read to its end. The response closes the connection.
func (c *call) rejectBody(kind errkind.Kind, retryAfter time.Duration) {
	c.memory.Close()
	c.w.Header().Set("Connection", "close")
	c.respondError(kind, "", retryAfter)
}

// addHistory puts the history of the turn before its input. It reports false if there is no memory for it.
func (c *call) addHistory(history [][]byte) bool {
	n := int64(0)
	for _, piece := range history {
		n += int64(len(piece))
	}
	if !intake.ReserveResponse(c.ctx, c.memory, n) {
		return false
	}
	c.upstreamBody = append(history, c.upstreamBody...)
	return true
}
