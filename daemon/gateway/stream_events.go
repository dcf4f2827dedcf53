package gateway

import (
	"context"
	"strconv"
	"sync"

	core "jackdawbay.dev/core/replica"
	"jackdawbay.dev/core/streamversion"
	"jackdawbay.dev/daemon/replica"
)

// eventID returns the ID under which the replicas store an event of a turn.
func eventID(turn string, number uint64) string {
	return turn + streamSeparator + strconv.FormatUint(number, 10)
}

// eventLog stores the events of a stream while they are delivered, so that another gateway can store the whole turn after the
// stream has broken off. Each event is stored once, as a turn that continues the event before it. One write is in
// flight; events that arrive meanwhile are stored with the next one. After a failed write nothing more is stored.
type eventLog struct {
	store func(ctx context.Context, events []replica.Turn) error
	turn  string // Stored ID.

	last     uint64 // Number of the last event.
	previous string // ID of the last event; empty before the first one.

	mu        sync.Mutex
	pending   []replica.Turn
	isWriting bool
	ended     bool
}

// add stores an event in the background. Numbers must increase; the log ends with an event without a number.
func (l *eventLog) add(e event) {
	number, err := strconv.ParseUint(string(e.id), 10, 64)
	if err != nil || number <= l.last {
		l.end()
		return
	}
	t := replica.Turn{ID: eventID(l.turn, number), Previous: l.previous}
	if e.hasData {
		t.Output = append(e.data, '\n')
	}
	l.last, l.previous = number, t.ID
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return
	}
	l.pending = append(l.pending, t)
	if !l.isWriting {
		l.isWriting = true
		go l.write()
	}
}

// end drops the events that are not being stored yet.
func (l *eventLog) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended, l.pending = true, nil
}

func (l *eventLog) write() {
	for {
		l.mu.Lock()
		events := l.pending
		l.pending = nil
		l.isWriting = len(events) > 0
		l.mu.Unlock()
		if len(events) == 0 {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), settlementTimeout)
		err := l.store(ctx, events)
		cancel()
		if err != nil {
			l.end()
		}
	}
}

// keepsEvents reports whether the events of the response are stored while they are delivered.
func (c *call) keepsEvents() bool { return c.route.StoreTurns && c.keepsVersion() && c.isRecorded() }

// beginEvents prepares the storing of the stream's events. The argument source is the turn from which the caller has the event before
// them.
func (c *call) beginEvents(source string) {
	if !c.keepsEvents() {
		return
	}
	record, retention := c.recordID(), c.streamRetention()
	c.events = &eventLog{
		turn: c.storedID(c.meta.RequestID),
		store: func(ctx context.Context, events []replica.Turn) error {
			err := c.g.cfg.Replicas.StoreEvents(ctx, record, events, retention)
			if err != nil {
				c.g.stats.eventsNotStored.Inc()
				c.g.cfg.Log.Info("events of a stream were not stored", "request", c.meta.RequestID, "program", c.meta.Program, "events", len(events), "error", err)
			}
			return err
		},
	}
	if after, ok := c.resumedAfter(); ok && source != "" {
		c.events.last, c.events.previous = after, eventID(source, after)
	}
}

// resumedAfter returns the number of the last event that the caller of a take-up has.
func (c *call) resumedAfter() (uint64, bool) {
	n, err := strconv.ParseUint(c.meta.LastEventID, 10, 64)
	return n, err == nil && c.takesUp()
}

// restoreOutput reads the events that the caller of a take-up has already, since they are part of the turn that is to be
// stored. It reports false if the request is rejected.
func (c *call) restoreOutput(ctx context.Context, ledger core.Ledger) bool {
	if !c.route.StoreTurns || c.meta.LastEventID == "" {
		c.beginEvents("")
		return true
	}
	after, ok := c.resumedAfter() // Not on a route whose streams cannot be taken up, since their events are not stored.
	source := ""
	if ok && c.meta.ResumedRequest != "" && c.isRecorded() {
		source, ok = ledger.EventSource(c.storedID(c.meta.ResumedRequest), after)
	}
	if !ok || source == "" {
		return !c.respondNotResumed(streamversion.EventsUnknown)
	}
	result, err := c.g.cfg.Replicas.BeginTurn(ctx, c.recordID(), nil, eventID(source, after), 0, noneCached)
	if err != nil {
		c.rejectWithoutQuorum(err)
		return false
	}
	if result.MissingTurn != "" {
		return !c.respondNotResumed(streamversion.EventsUnknown)
	}
	for i := len(result.Chain) - 1; i >= 0; i-- {
		output := result.Chain[i].Output
		if !c.buffer.reserve(int64(len(output))) {
			return !c.respondNotResumed(streamversion.EventsUnknown)
		}
		c.stream.output = append(c.stream.output, output...)
	}
	c.beginEvents(source)
	return true
}
