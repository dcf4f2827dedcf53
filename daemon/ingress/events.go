package ingress

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/gorilla/mux"

	"jackdawbay.dev/api/caller"
	"jackdawbay.dev/api/errkind"
	"jackdawbay.dev/daemon/peer"
)

// eventWriter writes server-sent events and flushes after each.
type eventWriter struct {
	w       http.ResponseWriter
	started bool
}

func (e *eventWriter) start() {
	if e.started {
		return
	}
	e.started = true
	h := e.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	e.w.WriteHeader(http.StatusOK)
}

func (e *eventWriter) send(event string, value any) error {
	e.start()
	raw, err := json.Marshal(value)
	if err != nil {
		return err
	}
	if event != "" {
		if _, err := fmt.Fprintf(e.w, "event: %s\n", event); err != nil {
			return err
		}
	}
	return e.data(raw)
}

func (e *eventWriter) data(raw []byte) error {
	e.start()
	if _, err := fmt.Fprintf(e.w, "data: %s\n\n", raw); err != nil {
		return err
	}
	return http.NewResponseController(e.w).Flush()
}

// deliverEvents sends an answer as events. A call that fails before its first event is answered with the error's status.
func (s *Server) deliverEvents(w http.ResponseWriter, r *http.Request, tenant string, st *liveStream, offset int) {
	events := &eventWriter{w: w}
	for {
		text, done, err := st.next(r.Context(), offset)
		if err != nil {
			s.fail(events, tenant, err)
			return
		}
		if done {
			break
		}
		if err := events.send(caller.EventDelta, caller.Delta{Offset: offset, Text: text}); err != nil {
			return
		}
		offset += len(text)
	}
	result, err := st.wait(r.Context())
	if err != nil {
		s.fail(events, tenant, err)
		return
	}
	// A caller that is gone reads the result from the history.
	_ = events.send(caller.EventResult, result)
}

// fail ends a stream with an error: as a plain answer before the first event, as an event after it.
func (s *Server) fail(events *eventWriter, tenant string, err error) {
	if !events.started {
		s.refuse(events.w, tenant, err)
		return
	}
	s.metrics.refused(tenant, errkind.From(err).Kind)
	_ = events.send(caller.EventError, errkind.NewBody(err))
}

// resumeStream sends the answer of a call from an offset on: from this daemon while it makes the answer, from the daemon
// that makes it, or from the history.
func (s *Server) resumeStream(w http.ResponseWriter, r *http.Request, tenant string) {
	id := mux.Vars(r)["id"]
	sequence, err := strconv.ParseUint(mux.Vars(r)["sequence"], 10, 63)
	if err != nil || sequence == 0 {
		s.refuse(w, tenant, errkind.New(errkind.InvalidValue, "The sequence must be a number of 1 or more."))
		return
	}
	offset, err := queryNumber(r, "offset")
	if err != nil {
		s.refuse(w, tenant, err)
		return
	}
	if s.ServeActiveStream(w, r, tenant, id, sequence, int(offset)) {
		return
	}
	s.resumeElsewhere(w, r, tenant, id, sequence, int(offset))
}

// ServeActiveStream serves an answer that this daemon makes. It reports false when it makes no such answer.
func (s *Server) ServeActiveStream(w http.ResponseWriter, r *http.Request, tenant, id string, sequence uint64, offset int) bool {
	st, ok := s.live.find(tenant, id, sequence)
	if !ok {
		return false
	}
	release := st.attach()
	defer release()
	s.deliverEvents(w, r, tenant, st, offset)
	return true
}

func (s *Server) resumeElsewhere(w http.ResponseWriter, r *http.Request, tenant, id string, sequence uint64, offset int) {
	d, err := s.owners.Describe(r.Context(), peer.ProgramRef{Tenant: tenant, ID: id})
	if err != nil {
		s.refuse(w, tenant, err)
		return
	}
	if d.InFlight == sequence && d.Ingress != s.streams.Incarnation() {
		if s.relayStream(w, r, d.Ingress, tenant, id, sequence, offset) {
			return
		}
	}
	turns, err := s.owners.History(r.Context(), peer.ProgramRef{Tenant: tenant, ID: id, From: sequence})
	if err != nil {
		s.refuse(w, tenant, err)
		return
	}
	if len(turns) == 0 || turns[0].Message == nil {
		s.refuse(w, tenant, errkind.New(errkind.StreamGone, "Repeat the call with the same call key."))
		return
	}
	s.sendRecorded(w, tenant, d.Program, turns[0], offset)
}

func (s *Server) sendRecorded(w http.ResponseWriter, tenant string, p caller.Program, t caller.Turn, offset int) {
	text := string(t.Message.Content)
	if offset > len(text) {
		s.refuse(w, tenant, errkind.New(errkind.InvalidValue, "The offset is after the end of the answer."))
		return
	}
	events := &eventWriter{w: w}
	if offset < len(text) {
		if err := events.send(caller.EventDelta, caller.Delta{Offset: offset, Text: text[offset:]}); err != nil {
			return
		}
	}
	result := caller.Result{Turn: t, DurableSequence: p.DurableSequence, Repeated: true}
	if t.Sequence == p.Sequence {
		result.Digest = p.Digest
	}
	_ = events.send(caller.EventResult, result)
}

// relayStream passes the stream of another daemon on. It reports false when that daemon has no such stream.
func (s *Server) relayStream(w http.ResponseWriter, r *http.Request, ingress, tenant, id string, sequence uint64, offset int) bool {
	resp, err := s.streams.OpenStream(r.Context(), ingress, tenant, id, sequence, offset)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return false
	}
	events := &eventWriter{w: w}
	events.start()
	buffer := make([]byte, 16<<10)
	for {
		n, err := resp.Body.Read(buffer)
		if n > 0 {
			if _, err := w.Write(buffer[:n]); err != nil {
				return true
			}
			if err := http.NewResponseController(w).Flush(); err != nil {
				return true
			}
		}
		if err != nil {
			if err != io.EOF {
				s.log.Debug("relayed stream ended early", "program", id, "error", err)
			}
			return true
		}
	}
}
