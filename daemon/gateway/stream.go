package gateway

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	core "jackdawbay.dev/core/replica"
	"jackdawbay.dev/core/route"
	"jackdawbay.dev/daemon/forward"
	"jackdawbay.dev/daemon/replica"
)

// Bounds of a stream.
const (
	// maxEventBytes bounds one event, and the blank lines and comments between two events. Events have 1.5 KB on the users'
	// sites.
	maxEventBytes = 64 << 10
	// eventSlack and moreEvents are the events beyond what the maximum of tokens allows, as a factor and a number: an upstream
	// may put fewer tokens into an event than the configuration says.
	eventSlack = 2
	moreEvents = 16
)

// streamBuffer is the size of the read buffer of a stream. Events are small.
const streamBuffer = 2048

// streamState is what has reached the caller of a stream.
type streamState struct {
	events int
	lastID string
	output []byte // Data of the events, each followed by a line feed; only for turns that are kept.

	bytes      int64
	mostEvents int64 // Zero where the caller states no maximum of tokens.
	excess     bool  // More arrived than the response can have. No upstream can continue it.
}

// mostEvents returns the number of events that a turn can have, or zero where the caller states no maximum of tokens.
func mostEvents(maxTokens, perEvent int64) int64 {
	if maxTokens <= 0 {
		return 0
	}
	return eventSlack*((maxTokens+perEvent-1)/perEvent) + moreEvents
}

// event is one event as it arrived, with the fields that matter here.
type event struct {
	raw     []byte
	id      []byte
	data    []byte
	hasData bool
}

// isComment reports whether there is nothing for the caller in the lines.
func (e event) isComment() bool { return !e.hasData && len(e.id) == 0 }

var (
	errEventTooLarge = errors.New("event of a stream is too large")
	errNoEvents      = errors.New("blank lines and comments take the place of events")
	errTooManyEvents = errors.New("stream is longer than its request allows")
)

// readEvent reads one whole event, or lines with nothing but comments. io.EOF means that the stream ended between two events.
func readEvent(br *bufio.Reader) (event, error) {
	var e event
	blank := 0
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
				if blank += len(e.raw); blank > maxEventBytes {
					return event{}, errNoEvents
				}
				e.raw = e.raw[:0]
				continue
			}
			return e, nil
		}
		name, value, _ := bytes.Cut(text, []byte(":"))
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

// receiveStream passes events on as they arrive. A turn that is kept is stored before its response ends. Comments before the
// first event wait for it: until then the response can come from another upstream.
func (c *call) receiveStream(resp *forward.Response) route.Outcome {
	br := bufio.NewReaderSize(resp.Body, streamBuffer)
	flusher := http.NewResponseController(c.w)
	var comments []byte
	idle := 0 // Bytes since the last event.
	for {
		e, err := readEvent(br)
		if errors.Is(err, io.EOF) {
			resp.Close(true)
			return c.completeStream()
		}
		if idle += len(e.raw); err == nil && idle > maxEventBytes && e.isComment() {
			err = errNoEvents
		}
		if err == nil {
			err = c.admit(e)
		}
		if err != nil {
			resp.Close(false)
			return c.brokenStream(err)
		}
		if !e.isComment() {
			idle = 0
		} else if !c.headSent {
			comments = append(comments, e.raw...)
			continue
		}
		if !c.headSent {
			c.sendHead(resp, -1)
			e.raw = append(comments, e.raw...)
		}
		if _, err := c.w.Write(e.raw); err != nil {
			resp.Close(false)
			return route.ResponseInterrupted
		}
		c.note(e)
		if br.Buffered() == 0 {
			if err := flusher.Flush(); err != nil {
				resp.Close(false)
				return route.ResponseInterrupted
			}
		}
	}
}

// admit checks an event, or comments, before it is passed on. An error means that the response is longer than it can be.
func (c *call) admit(e event) error {
	s := &c.stream
	s.bytes += int64(len(e.raw))
	s.excess = true
	switch {
	case s.bytes > maxAnswerBytes:
		return errResponseTooLarge
	case !e.isComment() && s.mostEvents > 0 && int64(s.events) >= s.mostEvents:
		return errTooManyEvents
	case c.route.StoreTurns && e.hasData && !c.held.grow(int64(len(e.data))+1):
		return errHeldFull
	}
	s.excess = false
	return nil
}

func (c *call) note(e event) {
	if e.isComment() {
		return
	}
	c.stream.events++
	if len(e.id) > 0 {
		c.stream.lastID = string(e.id)
	}
	if c.route.StoreTurns && e.hasData {
		c.stream.output = append(append(c.stream.output, e.data...), '\n')
	}
}

func (c *call) brokenStream(err error) route.Outcome {
	if errors.Is(err, errEventTooLarge) || errors.Is(err, errNoEvents) || c.stream.excess {
		c.logRefused(err)
	}
	if c.stream.events == 0 {
		return route.ResponseInvalid
	}
	return route.ResponseInterrupted
}

// completeStream stores a turn that is kept and settles its charge. A response ends only when enough replicas have it.
func (c *call) completeStream() route.Outcome {
	if c.stream.events == 0 {
		return route.ResponseInvalid
	}
	if c.route.StoreTurns {
		if err := c.keepTurn(); err != nil {
			c.g.cfg.Log.Warn("turn is not kept", "request", c.meta.RequestID, "program", c.meta.Program, "error", err)
			c.abort("turn_not_kept")
		}
	}
	c.outcome = "complete"
	return route.ResponseComplete
}

func (c *call) keepTurn() error {
	t := replica.Turn{ID: c.meta.RequestID, Previous: c.meta.PreviousTurn, Program: c.meta.Program, Input: c.input, Output: c.stream.output}
	var charge *core.Charge
	if c.charged {
		charge = &core.Charge{Turn: c.meta.RequestID, Tokens: int64(c.stream.events) * c.perEvent, Settled: true}
	}
	start := time.Now()
	defer func() { c.keepTook = time.Since(start) }()
	ctx, cancel := context.WithTimeout(c.r.Context(), keepTimeout)
	defer cancel()
	if err := c.g.cfg.Replicas.StoreTurn(ctx, &t, c.meta.Program, charge, c.route.Retention); err != nil {
		return err
	}
	c.charged = false
	c.g.turns.put(t)
	return nil
}
