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

// eventWriter writes server-sent events and flushes after each event.
type eventWriter struct {
	w             http.ResponseWriter
	headerWritten bool
}

func (e *eventWriter) writeHeader() {
	if e.headerWritten {
		return
	}
	e.headerWritten = true
	h := e.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	e.w.WriteHeader(http.StatusOK)
}

func (e *eventWriter) send(event string, value any) error {
	e.writeHeader()
	raw, err := json.Marshal(value)
	if err != nil {
		return err
	}
	if event != "" {
		if _, err := fmt.Fprintf(e.w, "event: %s\n", event); err != nil {
			return err
		}
	}
	return e.writeData(raw)
}

func (e *eventWriter) writeData(raw []byte) error {
	e.writeHeader()
	if _, err := fmt.Fprintf(e.w, "data: %s\n\n", raw); err != nil {
		return err
	}
	return http.NewResponseController(e.w).Flush()
}

// deliverEvents sends a response as server-sent events, starting at a byte offset. A call that fails before its first
// event gets an error response with the status of the error.
func (s *Server) deliverEvents(w http.ResponseWriter, r *http.Request, tenant string, stream *responseStream, offset int) {
	events := &eventWriter{w: w}
	for {
		text, done, err := stream.waitForText(r.Context(), offset)
		if err != nil {
			s.failStream(events, tenant, err)
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
	result, err := stream.waitForResult(r.Context())
	if err != nil {
		s.failStream(events, tenant, err)
		return
	}
	// A caller that has disconnected can read the result from the history.
	_ = events.send(caller.EventResult, result)
}

// failStream ends a stream with an error. Before the first event it sends an error response, afterwards an error event.
func (s *Server) failStream(events *eventWriter, tenant string, err error) {
	if !events.headerWritten {
		s.reject(events.w, tenant, err)
		return
	}
	s.metrics.countRejection(tenant, errkind.From(err).Kind)
	_ = events.send(caller.EventError, errkind.NewBody(err))
}

// resumeStream sends the response of a call, starting at a byte offset. The source is this daemon if it runs the call,
// otherwise the daemon that runs it, or the history.
func (s *Server) resumeStream(w http.ResponseWriter, r *http.Request, tenant string) {
	id := mux.Vars(r)["id"]
	sequence, err := strconv.ParseUint(mux.Vars(r)["sequence"], 10, 63)
	if err != nil || sequence == 0 {
		s.reject(w, tenant, errkind.New(errkind.InvalidValue, "The sequence must be a number of 1 or more."))
		return
	}
	offset, err := parseQueryUint(r, "offset")
	if err != nil {
		s.reject(w, tenant, err)
		return
	}
	if s.ServeActiveStream(w, r, tenant, id, sequence, int(offset)) {
		return
	}
	s.resumeFromRemoteOrHistory(w, r, tenant, id, sequence, int(offset))
}

// ServeActiveStream serves the response of a call in flight in this daemon. It reports false if there is no such call.
func (s *Server) ServeActiveStream(w http.ResponseWriter, r *http.Request, tenant, id string, sequence uint64, offset int) bool {
	stream, ok := s.activeStreams.lookup(tenant, id, sequence)
	if !ok {
		return false
	}
	release := stream.attach()
	defer release()
	s.deliverEvents(w, r, tenant, stream, offset)
	return true
}

func (s *Server) resumeFromRemoteOrHistory(w http.ResponseWriter, r *http.Request, tenant, id string, sequence uint64, offset int) {
	d, err := s.owners.Describe(r.Context(), peer.ProgramRef{Tenant: tenant, ID: id})
	if err != nil {
		s.reject(w, tenant, err)
		return
	}
	if d.InFlight == sequence && d.Ingress != s.streams.Incarnation() {
		if s.relayStream(w, r, d.Ingress, tenant, id, sequence, offset) {
			return
		}
	}
	turns, err := s.owners.History(r.Context(), peer.ProgramRef{Tenant: tenant, ID: id, From: sequence})
	if err != nil {
		s.reject(w, tenant, err)
		return
	}
	if len(turns) == 0 || turns[0].Message == nil {
		s.reject(w, tenant, errkind.New(errkind.StreamGone, "Repeat the call with the same call key."))
		return
	}
	s.sendStoredResponse(w, tenant, d.Program, turns[0], offset)
}

func (s *Server) sendStoredResponse(w http.ResponseWriter, tenant string, p caller.Program, t caller.Turn, offset int) {
	text := string(t.Message.Content)
	if offset > len(text) {
		s.reject(w, tenant, errkind.New(errkind.InvalidValue, "The offset is after the end of the answer."))
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

// relayStream forwards the stream of another daemon. It reports false if that daemon has no such stream.
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
	events.writeHeader()
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
