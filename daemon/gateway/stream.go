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

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// streamBuffer is the size of the read buffer of a stream. Events are small.
const streamBuffer = 2048

// streamState is what has reached the caller of a stream.
type streamState struct {
	events int
	lastID string
	output []byte // Data of the events, each followed by a line feed; only for turns that are kept.
}

// event is one event as it arrived, with the fields that matter here.
type event struct {
	raw     []byte
	id      []byte
	data    []byte
	hasData bool
}

var errEventTooLarge = errors.New("event of a stream is too large")

// readEvent reads one whole event. io.EOF means that the stream ended between two events.
func readEvent(br *bufio.Reader) (event, error) {
	var e event
	for {
		line, err := br.ReadSlice('\n')
		e.raw = append(e.raw, line...)
		if errors.Is(err, bufio.ErrBufferFull) {
			rest, more := br.ReadBytes('\n')
			line = append(append([]byte{}, line...), rest...)
			e.raw = append(e.raw, rest...)
			err = more
		}
		if err != nil {
			if errors.Is(err, io.EOF) && len(bytes.TrimSpace(e.raw)) > 0 {
				return event{}, io.ErrUnexpectedEOF
			}
			return event{}, err
		}
		if len(e.raw) > maxEventBytes {
			return event{}, errEventTooLarge
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			if len(bytes.TrimSpace(e.raw)) == 0 {
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

// receiveStream passes events on as they arrive. A turn that is kept is stored before its response ends.
func (c *call) receiveStream(resp *forward.Response) route.Outcome {
	br := bufio.NewReaderSize(resp.Body, streamBuffer)
	flusher := http.NewResponseController(c.w)
	for {
		e, err := readEvent(br)
		if errors.Is(err, io.EOF) {
			resp.Close(true)
			return c.completeStream()
		}
		if err != nil {
			resp.Close(false)
			return c.brokenStream()
		}
		if !c.headSent {
			c.sendHead(resp, -1)
		}
		if _, err := c.w.Write(e.raw); err != nil {
			resp.Close(false)
			return route.Interrupted
		}
		c.note(e)
		if br.Buffered() == 0 {
			if err := flusher.Flush(); err != nil {
				resp.Close(false)
				return route.Interrupted
			}
		}
	}
}

func (c *call) note(e event) {
	c.stream.events++
	if len(e.id) > 0 {
		c.stream.lastID = string(e.id)
	}
	if c.route.KeepTurns && e.hasData {
		c.stream.output = append(append(c.stream.output, e.data...), '\n')
	}
}

func (c *call) brokenStream() route.Outcome {
	if c.stream.events == 0 {
		return route.Spoiled
	}
	return route.Interrupted
}

// completeStream stores a turn that is kept and settles its charge. A response ends only when enough replicas have it.
func (c *call) completeStream() route.Outcome {
	if c.stream.events == 0 {
		return route.Spoiled
	}
	if c.route.KeepTurns {
		if err := c.keepTurn(); err != nil {
			c.g.cfg.Log.Warn("turn is not kept", "request", c.meta.RequestID, "program", c.meta.Program, "error", err)
			c.abort("turn_not_kept")
		}
	}
	c.outcome = "complete"
	return route.Complete
}

func (c *call) keepTurn() error {
	t := replica.Turn{ID: c.meta.RequestID, Previous: c.meta.Previous, Program: c.meta.Program, Input: c.input, Output: c.stream.output}
	var charge *core.Charge
	if c.charged {
		charge = &core.Charge{Turn: c.meta.RequestID, Tokens: int64(c.stream.events) * c.perEvent, Settled: true}
	}
	start := time.Now()
	defer func() { c.keepTook = time.Since(start) }()
	ctx, cancel := context.WithTimeout(c.r.Context(), keepTimeout)
	defer cancel()
	if err := c.g.cfg.Replicas.Keep(ctx, &t, c.meta.Program, charge, c.route.Retention); err != nil {
		return err
	}
	c.charged = false
	c.g.turns.put(t)
	return nil
}
