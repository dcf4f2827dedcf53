// Package service is a stand-in for a tool service or a plain service. It accepts a call on every path and counts the
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

// maxBodyBytes is the maximum size of a request body.
const maxBodyBytes = 4 << 20

// idempotencyPathPrefix is the path prefix for lookups of idempotency keys.
const idempotencyPathPrefix = "/v1/idempotency/"

// Config configures a Server.
type Config struct {
	Keys                   []string      // Valid bearer keys; empty accepts every request.
	HonoursIdempotencyKeys bool          // Runs the call of a repeated Idempotency-Key only once.
	Latency                time.Duration // Delay between the effect of a call and its response.
}

// Result is the body of a response.
type Result struct {
	Method      string `json:"method"`
	Path        string `json:"path"`
	BusinessKey string `json:"business_key,omitempty"`
	RunNumber   int    `json:"run"` // 1 for the first run of the business key.
}

// outcome is the response to the first call with an idempotency key. done is closed when that call has run.
type outcome struct {
	done   chan struct{}
	status int
	body   Result
}

// Server is the service stand-in. Serve its Handler with an http.Server.
type Server struct {
	cfg     Config
	faults  *control.Injector
	handler http.Handler

	mu                       sync.Mutex
	runsByBusinessKey        map[string]int
	outcomesByIdempotencyKey map[string]*outcome
}

// New returns a service without recorded runs.
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

// Handler returns the handler for calls and for the control interface.
func (s *Server) Handler() http.Handler { return s.handler }

// Faults returns the fault injector of the stand-in.
func (s *Server) Faults() *control.Injector { return s.faults }

// RunsByBusinessKey returns the number of runs of each business key.
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

// runOnce runs the first call with an idempotency key. A repeated call waits for the first and returns its response.
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

// recordRun applies the effect of a call: it increments the run count of the business key.
func (s *Server) recordRun(result *Result) {
	if result.BusinessKey == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runsByBusinessKey[result.BusinessKey]++
	result.RunNumber = s.runsByBusinessKey[result.BusinessKey]
}

// handleLookup responds with the outcome of an idempotency key. While the call is in progress it waits, since neither
// "has run" nor "has not run" would be correct.
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
