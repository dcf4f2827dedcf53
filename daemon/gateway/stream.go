package gateway

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"mime"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	core "jackdawbay.dev/core/replica"
	"jackdawbay.dev/core/route"
	"jackdawbay.dev/daemon/forward"
	"jackdawbay.dev/daemon/replica"
)

// Limits of a stream.
const (
	// maxEventBytes limits one event, and the blank lines and comments between two events. Events have 1.5 KB in the users'
	// deployments.
	maxEventBytes = 64 << 10
	// eventLimitFactor and extraEvents extend the limit of events that follows from the maximum number of tokens. An upstream
	// may put fewer tokens into an event than the configuration states.
	eventLimitFactor = 2
	extraEvents      = 16
)

// streamBufferBytes is the size of the read buffer of a stream. Events are small.
const streamBufferBytes = 2048

// streamState is the state of the stream that the caller has received so far.
type streamState struct {
	events      int
	lastEventID string
	output      []byte // Data of the events, each followed by a line feed, also of those before a take-up. Only set for turns that are stored.

	bytes         int64
	maxEvents     int64 // Zero if the caller states no maximum number of tokens.
	limitExceeded bool  // The stream exceeded a limit. No upstream may continue it.
}

// maxEvents returns the limit of events for a turn, or zero if the caller states no maximum number of tokens.
func maxEvents(maxTokens, perEvent int64) int64 {
	if maxTokens <= 0 {
		return 0
	}
	return eventLimitFactor*((maxTokens+perEvent-1)/perEvent) + extraEvents
}

// event is one server-sent event, or a block of comment lines, with its raw bytes.
type event struct {
	raw     []byte
	id      []byte
	data    []byte
	hasData bool
	foreign bool // A line is neither a field nor a comment of an event stream.
}

// isComment reports whether the block has neither data nor an id.
func (e event) isComment() bool { return !e.hasData && len(e.id) == 0 }

var (
	errEventTooLarge = errors.New("stream event is too large")
	errOnlyNonEvents = errors.New("too many blank lines and comments without an event")
	errNotAnEvent    = errors.New("stream contains text that is not an event")
	errEventRepeated = errors.New("resumed stream repeats an event")
	errTooManyEvents = errors.New("stream has more events than its request allows")
)

// readEvent reads one complete event or block of comment lines. It returns io.EOF if the stream ended between two events.
func readEvent(br *bufio.Reader) (event, error) {
	var e event
	blankBytes := 0
	for {
		start := len(e.raw)
		line, err := br.ReadSlice('\n')
		e.raw = append(e.raw, line...)
		for errors.Is(err, bufio.ErrBufferFull) && len(e.raw) <= maxEventBytes {
			line, err = br.ReadSlice('\n')
			e.raw = append(e.raw, line...)
		}
		if len(e.raw) > maxEventBytes {
			return event{}, errEventTooLarge
		}
		if err != nil {
			if errors.Is(err, io.EOF) && len(bytes.TrimSpace(e.raw)) > 0 {
				return event{}, io.ErrUnexpectedEOF
			}
			return event{}, err
		}
		text := bytes.TrimRight(e.raw[start:], "\r\n")
		if len(text) == 0 {
			if len(bytes.TrimSpace(e.raw)) == 0 {
				if blankBytes += len(e.raw); blankBytes > maxEventBytes {
					return event{}, errOnlyNonEvents
				}
				e.raw = e.raw[:0]
				continue
			}
			return e, nil
		}
		name, value, _ := bytes.Cut(text, []byte(":"))
		e.foreign = e.foreign || !isFieldName(name)
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
		case "id":
			e.id = append([]byte{}, value...)
		case "data":
			if e.hasData {
				e.data = append(e.data, '\n')
			}
			e.data = append(e.data, value...)
			e.hasData = true
		}
	}
}

// isFieldName reports whether the start of a line can be the name of a field. Names are in lower case; a comment has an empty
// one. Upstreams may add fields of their own to an event, so an unknown name is valid.
func isFieldName(name []byte) bool {
	for _, b := range name {
		if (b < 'a' || b > 'z') && (b < '0' || b > '9') && b != '-' {
			return false
		}
	}
	return true
}

// isEventStream reports whether a response may contain events. Some upstreams state no type.
func isEventStream(resp *forward.Response) bool {
	value := resp.Header.Get("Content-Type")
	mediaType, _, err := mime.ParseMediaType(value)
	return value == "" || err == nil && mediaType == "text/event-stream"
}

// isRepeated reports whether an event does not follow the last event that the caller has received before this response.
func isRepeated(resumedAfter string, e event) bool {
	last, err := strconv.ParseUint(resumedAfter, 10, 64)
	if err != nil {
		return false // IDs that are not numbers have no order.
	}
	id, err := strconv.ParseUint(string(e.id), 10, 64)
	return err == nil && id <= last
}

// receiveStream forwards events as they arrive. If the route stores turns, the turn is stored before the response ends.
// Comments before the first event are held back until it arrives, because until then another upstream can still provide the
// response.
func (c *call) receiveStream(resp *forward.Response) route.Outcome {
	br := bufio.NewReaderSize(resp.Body, streamBufferBytes)
	flusher := http.NewResponseController(c.w)
	var comments []byte
	bytesSinceEvent, hasEvent := 0, false
	resumedAfter, eventsBefore := c.stream.lastEventID, c.stream.events
	for {
		e, err := readEvent(br)
		if errors.Is(err, io.EOF) && c.headWritten && c.stream.events == eventsBefore && !resp.Framed {
			resp.Close(false)
			return route.ResponseInterrupted // Nothing shows that the rest of the stream is empty.
		}
		if errors.Is(err, io.EOF) {
			resp.Close(true)
			return c.completeStream()
		}
		if bytesSinceEvent += len(e.raw); err == nil && bytesSinceEvent > maxEventBytes && e.isComment() {
			err = errOnlyNonEvents
		}
		if err == nil {
			err = c.checkLimits(e)
		}
		switch {
		case err == nil && e.foreign:
			err = errNotAnEvent
		case err == nil && isRepeated(resumedAfter, e):
			err = errEventRepeated
		}
		if err != nil {
			resp.Close(false)
			return c.failStream(err)
		}
		if !e.isComment() {
			if !hasEvent {
				if err := c.acceptVersion(c.choice.Upstream); err != nil {
					resp.Close(false)
					c.logRejectedResponse(err)
					return c.failStream(err)
				}
			}
			bytesSinceEvent, hasEvent = 0, true
		} else if !c.headWritten {
			comments = append(comments, e.raw...)
			continue
		}
		if !c.headWritten {
			c.writeHead(resp, -1)
			e.raw = append(comments, e.raw...)
		}
		if _, err := c.w.Write(e.raw); err != nil {
			resp.Close(false)
			return route.ResponseInterrupted
		}
		c.recordEvent(e)
		if br.Buffered() == 0 {
			if err := flusher.Flush(); err != nil {
				resp.Close(false)
				return route.ResponseInterrupted
			}
		}
	}
}

// checkLimits checks an event or a block of comments before it is forwarded. An error means that the response exceeds a
// limit.
func (c *call) checkLimits(e event) error {
	s := &c.stream
	s.bytes += int64(len(e.raw))
	s.limitExceeded = true
	switch {
	case s.bytes > maxResponseBytes:
		return errResponseTooLarge
	case !e.isComment() && s.maxEvents > 0 && int64(s.events) >= s.maxEvents:
		return errTooManyEvents
	case c.route.StoreTurns && e.hasData && !c.buffer.reserve(c.copiesOfEvent()*(int64(len(e.data))+1)):
		return errBufferBudgetExhausted
	}
	s.limitExceeded = false
	return nil
}

// copiesOfEvent returns how often the data of an event is held: in the output of the turn, and until the event is stored.
func (c *call) copiesOfEvent() int64 {
	if c.events != nil {
		return 2
	}
	return 1
}

func (c *call) recordEvent(e event) {
	if e.isComment() {
		return
	}
	c.stream.events++
	if len(e.id) > 0 {
		c.stream.lastEventID = string(e.id)
	}
	if c.route.StoreTurns && e.hasData {
		c.stream.output = append(append(c.stream.output, e.data...), '\n')
	}
	if c.events != nil {
		c.events.add(e)
	}
}

func (c *call) failStream(err error) route.Outcome {
	if errors.IsAny(err, errEventTooLarge, errOnlyNonEvents, errNotAnEvent, errEventRepeated) || c.stream.limitExceeded {
		c.logRejectedResponse(err)
	}
	if c.stream.events == 0 {
		return route.ResponseInvalid
	}
	return route.ResponseInterrupted
}

// completeStream ends a stream. If the route stores turns, it stores the turn and settles its charge first, so that the
// response ends only when a quorum has the turn.
func (c *call) completeStream() route.Outcome {
	if c.stream.events == 0 {
		return route.ResponseInvalid
	}
	if c.route.StoreTurns {
		if c.events != nil {
			c.events.end()
		}
		if err := c.storeTurn(); err != nil {
			c.g.cfg.Log.Warn("turn was not stored", "request", c.meta.RequestID, "program", c.meta.Program, "error", err)
			c.abort("turn_not_kept")
		}
	}
	c.outcome = "complete"
	return route.ResponseComplete
}

func (c *call) storeTurn() error {
	t := replica.Turn{
		ID: c.storedID(c.meta.RequestID), Previous: c.storedID(c.meta.PreviousTurn), Program: c.storedID(c.meta.Program),
		Input: c.callerBody, Output: c.stream.output,
	}
	var charge *core.Charge
	if c.charged {
		settled := c.settledCharge()
		charge = &settled
	}
	startedAt := time.Now()
	defer func() { c.storeDuration = time.Since(startedAt) }()
	ctx, cancel := context.WithTimeout(c.r.Context(), storeTimeout)
	defer cancel()
	if err := c.g.cfg.Replicas.StoreTurn(ctx, &t, t.Program, charge, c.route.Retention, c.g.turnCache.get); err != nil {
		return err
	}
	c.charged = false
	c.g.turnCache.put(t)
	return nil
}
