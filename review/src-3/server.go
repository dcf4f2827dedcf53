package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Run is one run of a request at a server.
type Run struct {
	ID, Program, Body, LastEventID, PreviousTurn string
	At                                           time.Time
	Broken                                       bool // The connection ended before the response did.
}

// Server is a stand-in for an engine or a plain service, as a sound one behaves.
type Server struct {
	ID, Service, Zone, Version string
	Born                       int64
	Events                     int           // Events of a stream; zero for a plain service.
	EventDelay                 time.Duration // Before each event, or before the response of a plain service.
	Data                       func(run Run, event int) string

	d        *Deployment
	listener net.Listener
	server   *http.Server

	mu        sync.Mutex
	seq       int
	state     string
	runs      []Run
	running   int
	breakNext int // Streams that are to be reset in their middle.
}

// AddServer starts a server and registers it.
func (d *Deployment) AddServer(s *Server) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.d, s.listener, s.Born = d, l, time.Now().UnixMilli()
	if s.Version == "" {
		s.Version = "r1"
	}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(l) }()
	d.servers = append(d.servers, s)
	s.Report("ready")
	d.Recordf("server %s of %s is registered", s.ID, s.Service)
	return nil
}

// Entry returns the next entry of the server in the store, with the next seq.
func (s *Server) Entry(state string) map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seq++
	s.state = state
	return map[string]any{
		"service": s.Service, "addr": s.listener.Addr().String(), "zone": s.Zone, "version": s.Version, "slots": 12, "state": state,
		"coldLeftMs": 0, "seq": s.seq, "born": s.Born,
	}
}

// Report writes the entry of the server. The store has acknowledged it when Report returns.
func (s *Server) Report(state string) { s.d.Store.Put("servers", s.ID, s.Entry(state)) }

// Exit ends the server and its connections.
func (s *Server) Exit() { _ = s.server.Close() }

// Runs returns the runs so far.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run{}, s.runs...)
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	id := r.Header.Get("X-Jackdawbay-Request-Id")
	h.Set("X-Jackdawbay-Request-Id", id)
	h.Set("X-Jackdawbay-Instance-Id", s.ID)
	if r.URL.Path == "/health" {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if want := r.Header.Get("X-Jackdawbay-Expect-Instance"); want != "" && want != s.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	run := Run{ID: id, Program: r.Header.Get("X-Jackdawbay-Program-Id"), Body: string(body), LastEventID: r.Header.Get("Last-Event-Id"), PreviousTurn: r.Header.Get("X-Jackdawbay-Previous-Turn"), At: time.Now()}
	s.mu.Lock()
	s.runs = append(s.runs, run)
	index := len(s.runs) - 1
	s.running++
	h.Set("X-Jackdawbay-Instance-Load", fmt.Sprintf("%d,0,12", s.running))
	s.mu.Unlock()
	whole := false
	defer func() {
		s.mu.Lock()
		s.running--
		s.runs[index].Broken = !whole
		s.mu.Unlock()
		s.d.Recordf("%s has ended its work on %s, whole: %v", s.ID, shortID(id), whole)
	}()
	s.d.Recordf("%s (%s) runs %s, last event %q, previous turn %q, body of %d bytes", s.ID, s.stateText(), shortID(id), run.LastEventID, run.PreviousTurn, len(body))
	h.Set("X-Jackdawbay-Server-Stamp", s.ID+"."+id)
	if s.Events == 0 {
		if !s.pause(r) {
			return
		}
		_, err := io.WriteString(w, "result of "+id)
		whole = err == nil
		return
	}
	whole = s.stream(w, r, run)
}

func (s *Server) stateText() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

// pause waits for the work on an event. It reports false if the caller has left.
func (s *Server) pause(r *http.Request) bool {
	select {
	case <-time.After(s.EventDelay):
		return true
	case <-r.Context().Done():
		return false
	}
}

// BreakStreams makes the server reset the connections of the next n streams that send an event in their middle.
func (s *Server) BreakStreams(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.breakNext = n
}

func (s *Server) takeBreak() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.breakNext == 0 {
		return false
	}
	s.breakNext--
	return true
}

func (s *Server) stream(w http.ResponseWriter, r *http.Request, run Run) bool {
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(run.LastEventID) // Zero for a stream from its start.
	out := http.NewResponseController(w)
	for n := last + 1; n <= s.Events; n++ {
		if !s.pause(r) {
			return false
		}
		if n > 1 && s.takeBreak() {
			if conn, _, err := out.Hijack(); err == nil {
				_ = conn.(*net.TCPConn).SetLinger(0)
				_ = conn.Close()
			}
			return false
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, s.data(run, n)); err != nil || out.Flush() != nil {
			return false
		}
	}
	return true
}

func (s *Server) data(run Run, n int) string {
	if s.Data != nil {
		return s.Data(run, n)
	}
	return fmt.Sprintf("piece %d", n)
}
