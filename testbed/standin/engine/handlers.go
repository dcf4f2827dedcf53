package engine

import (
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"

	"jackdawbay.dev/testbed/standin/control"
)

// Limits of request bodies in bytes. They allow a prompt of 620,000 tokens and an exported cache.
const (
	maxCompletionBytes = 16 << 20
	maxImportBytes     = 256 << 20
	maxCommandBytes    = 1 << 16
)

// maxEventWait is the maximum time for which a request for cache events waits.
const maxEventWait = 60 * time.Second

func (s *Server) routes() http.Handler {
	r := control.NewRouter()
	r.HandleFunc("/v1/chat/completions", s.handleCompletion).Methods(http.MethodPost)
	r.HandleFunc("/v1/requests/{id}/stream", s.handleResume).Methods(http.MethodGet)
	r.HandleFunc("/v1/requests/{id}", s.handleCancel).Methods(http.MethodDelete)
	r.HandleFunc("/v1/load", func(w http.ResponseWriter, _ *http.Request) {
		control.WriteJSON(w, http.StatusOK, s.Load())
	}).Methods(http.MethodGet)
	r.HandleFunc("/v1/cache", s.handleCachePrograms).Methods(http.MethodGet)
	r.HandleFunc("/v1/cache/events", s.handleCacheEvents).Methods(http.MethodGet)
	r.HandleFunc("/v1/cache/export", s.handleExport).Methods(http.MethodPost)
	r.HandleFunc("/v1/cache/import", s.handleImport).Methods(http.MethodPost)
	r.HandleFunc("/v1/orders", s.handleOrder).Methods(http.MethodPost)
	r.HandleFunc("/control/orders", func(w http.ResponseWriter, _ *http.Request) {
		control.WriteJSON(w, http.StatusOK, map[string]any{"orders": s.ExecutedOrders()})
	}).Methods(http.MethodGet)
	r.Handle("/control/faults", s.faults).Methods(http.MethodGet, http.MethodPut)
	return s.faults.Wrap(control.RequireKey(s.cfg.Keys, r), func(r *http.Request) bool {
		return r.Method == http.MethodPost && r.URL.Path != "/v1/cache/export" || r.Method == http.MethodDelete
	})
}

func writeBadRequest(w http.ResponseWriter, message string) {
	control.WriteError(w, http.StatusBadRequest, "bad_request", message)
}

func decodeBody(w http.ResponseWriter, r *http.Request, maxBytes int64, body any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBytes)).Decode(body)
	if err != nil {
		writeBadRequest(w, err.Error())
	}
	return err == nil
}

func (s *Server) handleCompletion(w http.ResponseWriter, r *http.Request) {
	var body completionRequest
	if !decodeBody(w, r, maxCompletionBytes, &body) {
		return
	}
	if len(body.Messages) == 0 || body.MaxTokens < 0 {
		writeBadRequest(w, "messages is empty or max_tokens is negative.")
		return
	}
	c, rejection := s.submit(r.Header.Get("X-Request-Id"), r.Header.Get("X-Program"), body)
	if rejection != nil {
		control.WriteError(w, rejection.status, rejection.code, rejection.message)
		return
	}
	if c.requestID == "" {
		// A disconnected client cannot resume a request that has no ID, so the call is cancelled to free its slot.
		defer s.cancelCall(c)
	}
	if body.Stream {
		s.writeStream(w, r, c, 0)
		return
	}
	s.writeResponse(w, r, c)
}

func (s *Server) findCall(r *http.Request) *call {
	id, err := url.PathUnescape(mux.Vars(r)["id"])
	if err != nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeExpiredCalls()
	return s.calls[id]
}

func (s *Server) handleResume(w http.ResponseWriter, r *http.Request) {
	c := s.findCall(r)
	if c == nil {
		control.WriteError(w, http.StatusGone, "gone", "The stream is not kept.")
		return
	}
	offset, err := strconv.Atoi(r.URL.Query().Get("offset"))
	s.mu.Lock()
	cancelled := c.state == stateCancelled
	valid := err == nil && offset >= 0 && offset <= len(c.text) &&
		(offset == len(c.text) || utf8.RuneStart(c.text[offset]))
	s.mu.Unlock()
	switch {
	case cancelled:
		control.WriteError(w, http.StatusGone, "gone", "The request was cancelled.")
	case !valid:
		control.WriteError(w, http.StatusBadRequest, "bad_offset", "The offset is outside the text or inside a character.")
	default:
		s.writeStream(w, r, c, offset)
	}
}

func (s *Server) handleCancel(w http.ResponseWriter, r *http.Request) {
	if c := s.findCall(r); c != nil {
		s.cancelCall(c)
	}
	control.WriteJSON(w, http.StatusOK, struct{}{})
}

func (s *Server) handleCachePrograms(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	programs := s.cache.cachedPrograms()
	s.mu.Unlock()
	control.WriteJSON(w, http.StatusOK, map[string]any{"programs": programs})
}

// eventPollInterval is the interval at which a waiting request checks for new cache events.
const eventPollInterval = 10 * time.Millisecond

func (s *Server) handleCacheEvents(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, err := strconv.ParseInt("0"+q.Get("since"), 10, 64)
	waitMillis, waitErr := strconv.ParseInt("0"+q.Get("wait_ms"), 10, 64)
	if err != nil || waitErr != nil {
		writeBadRequest(w, "since or wait_ms is not a number of at least 0.")
		return
	}
	deadline := time.Now().Add(min(maxEventWait, time.Duration(min(waitMillis, maxEventWait.Milliseconds()))*time.Millisecond))
	for {
		page, _ := s.EventsAfter(since)
		if page.Gap || page.Next > since || !time.Now().Before(deadline) {
			control.WriteJSON(w, http.StatusOK, page)
			return
		}
		control.Sleep(r.Context().Done(), eventPollInterval)
		if r.Context().Err() != nil {
			return
		}
	}
}

func (s *Server) handleExport(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Program string `json:"program"`
	}
	if !decodeBody(w, r, maxCommandBytes, &body) {
		return
	}
	s.mu.Lock()
	kv, tokens, ok := s.cache.export(body.Program, s.cfg.KVBytesPerToken)
	s.mu.Unlock()
	if !ok {
		control.WriteError(w, http.StatusNotFound, "not_found", "The program has no cache on this engine.")
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("X-Tokens", strconv.Itoa(tokens))
	_, _ = w.Write(kv)
}

func (s *Server) handleImport(w http.ResponseWriter, r *http.Request) {
	program := r.URL.Query().Get("program")
	kv, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxImportBytes))
	if err != nil || program == "" {
		writeBadRequest(w, "The program is missing or the body is incomplete.")
		return
	}
	s.mu.Lock()
	tokens, err := s.cache.importPrefix(program, kv, s.cfg.KVBytesPerToken)
	s.recordLoadSample()
	s.mu.Unlock()
	if err != nil {
		writeBadRequest(w, err.Error())
		return
	}
	control.WriteJSON(w, http.StatusOK, map[string]int{"tokens": tokens})
}

func (s *Server) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o Order
	if !decodeBody(w, r, maxCommandBytes, &o) {
		return
	}
	err := s.ExecuteOrder(o)
	switch {
	case err == nil:
		control.WriteJSON(w, http.StatusOK, map[string]bool{"accepted": true})
	case errors.Is(err, errStaleFencing):
		control.WriteError(w, http.StatusConflict, "stale_fencing", err.Error())
	case errors.Is(err, errUnknownModel):
		control.WriteError(w, http.StatusNotFound, "model_not_loaded", err.Error())
	default:
		writeBadRequest(w, strings.TrimSpace(err.Error()))
	}
}
