// Package service is a stand-in for a tool service or a plain service. Every path is a call; the stand-in counts the
// runs of each business key. It implements the section "Tool services and plain services" of docs/protocols.md.
package service

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"jackdawbay.dev/testbed/standin/control"
)

// maxBodyBytes bounds a request body.
const maxBodyBytes = 4 << 20

// idempotencyPathPrefix starts the path of the lookup of an idempotency key.
const idempotencyPathPrefix = "/v1/idempotency/"

// Config configures a Server.
type Config struct {
	Keys                   []string      // Valid bearer keys; empty accepts every request.
	HonoursIdempotencyKeys bool          // Runs a repeated Idempotency-Key once.
	Latency                time.Duration // Time between the effect of a call and its response.
}

// Result is the body of a response.
type Result struct {
	Method      string `json:"method"`
	Path        string `json:"path"`
	BusinessKey string `json:"business_key,omitempty"`
	RunNumber   int    `json:"run"` // 1 for the first run of the business key.
}

// outcome is the response to the first call with an idempotency key. finished closes when the call has run.
type outcome struct {
	done   chan struct{}
	status int
	body   Result
}

// Server is the stand-in. Use its Handler with an http.Server.
type Server struct {
	cfg     Config
	faults  *control.Injector
	handler http.Handler

	mu                       sync.Mutex
	runsByBusinessKey        map[string]int
	outcomesByIdempotencyKey map[string]*outcome
}

// New returns a service that has run nothing.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg, faults: control.NewInjector(), runsByBusinessKey: map[string]int{}, outcomesByIdempotencyKey: map[string]*outcome{}}
	r := control.NewRouter()
	r.Handle("/control/faults", s.faults).Methods(http.MethodGet, http.MethodPut)
	r.HandleFunc("/control/runs", s.handleRuns).Methods(http.MethodGet)
	r.HandleFunc(idempotencyPathPrefix+"{key}", s.handleLookup).Methods(http.MethodGet)
	r.PathPrefix("/").HandlerFunc(s.handleCall)
	s.handler = s.faults.Wrap(control.RequireKey(cfg.Keys, r), func(r *http.Request) bool {
		return !strings.HasPrefix(r.URL.Path, idempotencyPathPrefix)
	})
	return s
}

// Handler serves the calls and the control interface.
func (s *Server) Handler() http.Handler { return s.handler }

// Faults returns the faults of this stand-in.
func (s *Server) Faults() *control.Injector { return s.faults }

// Runs returns the number of runs of each business key.
func (s *Server) RunsByBusinessKey() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.runsByBusinessKey)
}

func (s *Server) handleRuns(w http.ResponseWriter, _ *http.Request) {
	control.WriteJSON(w, http.StatusOK, map[string]any{"runs": s.RunsByBusinessKey()})
}

func (s *Server) handleCall(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		control.WriteError(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	var body struct {
		BusinessKey string `json:"business_key"`
	}
	if len(raw) > 0 {
		if err := json.Unmarshal(raw, &body); err != nil {
			control.WriteError(w, http.StatusBadRequest, "bad_request", err.Error())
			return
		}
	}
	result := Result{Method: r.Method, Path: r.URL.Path, BusinessKey: body.BusinessKey}
	key := r.Header.Get("Idempotency-Key")
	if !s.cfg.HonoursIdempotencyKeys || key == "" {
		s.recordRun(&result)
		control.Sleep(r.Context().Done(), s.cfg.Latency)
		control.WriteJSON(w, http.StatusOK, result)
		return
	}
	s.runOnce(w, r, key, result)
}

// runOnce runs the first call with an idempotency key. A repeat waits for it and gets its response.
func (s *Server) runOnce(w http.ResponseWriter, r *http.Request, key string, result Result) {
	s.mu.Lock()
	o, repeated := s.outcomesByIdempotencyKey[key]
	if !repeated {
		o = &outcome{done: make(chan struct{})}
		s.outcomesByIdempotencyKey[key] = o
	}
	s.mu.Unlock()
	if repeated {
		if !waitForOutcome(r, o) {
			return
		}
		w.Header().Set("Idempotency-Replayed", "true")
		control.WriteJSON(w, o.status, o.body)
		return
	}
	s.recordRun(&result)
	control.Sleep(r.Context().Done(), s.cfg.Latency)
	o.status, o.body = http.StatusOK, result
	close(o.done)
	control.WriteJSON(w, o.status, o.body)
}

func waitForOutcome(r *http.Request, o *outcome) bool {
	select {
	case <-o.done:
		return true
	case <-r.Context().Done():
		return false
	}
}

// run has the effect of a call: it counts a run of the business key.
func (s *Server) recordRun(result *Result) {
	if result.BusinessKey == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runsByBusinessKey[result.BusinessKey]++
	result.RunNumber = s.runsByBusinessKey[result.BusinessKey]
}

// lookup responds with the outcome of an idempotency key. It waits for a call in progress, since neither result would
// be true for it.
func (s *Server) handleLookup(w http.ResponseWriter, r *http.Request) {
	if !s.cfg.HonoursIdempotencyKeys {
		control.WriteError(w, http.StatusNotImplemented, "not_supported", "This service keeps no idempotency keys.")
		return
	}
	key, err := url.PathUnescape(mux.Vars(r)["key"])
	if err != nil {
		control.WriteError(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	s.mu.Lock()
	o, ok := s.outcomesByIdempotencyKey[key]
	s.mu.Unlock()
	if !ok {
		control.WriteError(w, http.StatusNotFound, "not_found", "No call with this key has run.")
		return
	}
	if waitForOutcome(r, o) {
		control.WriteJSON(w, http.StatusOK, map[string]any{"status": o.status, "body": o.body})
	}
}
