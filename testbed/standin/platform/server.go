package platform

import (
	"bytes"
	"encoding/json"
	"io"
	"math"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"
	"golang.org/x/time/rate"

	"jackdawbay.dev/testbed/standin/control"
)

// Limits of a watch.
const (
	DefaultWatchWait = 10 * time.Second
	MaxWatchWait     = 60 * time.Second
)

// RevisionHeader is the name of the header with the current revision, which every response has.
const RevisionHeader = "Platform-Revision"

// maxRequestBytes is the maximum size of a request body. It includes the envelope around a value, and is large enough that
// slightly larger values reach the check that returns 413.
const maxRequestBytes = 4 << 20

// Config configures a Server.
type Config struct {
	Keys            []string // Valid bearer keys; if empty, every request is accepted.
	WritesPerSecond float64  // Zero is unlimited; the burst is the number of writes per second.
	ReadsPerSecond  float64  // Zero is unlimited; watches count as reads.
	RetainedEvents  int      // Events retained for watches; zero is DefaultRetainedEvents.
}

// VM is a VM in the VM list.
type VM struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	Address    string `json:"address"`
	State      string `json:"state"` // live or leaving
}

// VMList is the body of PUT /control/vms. The list becomes visible after the lag.
type VMList struct {
	VMs       []VM  `json:"vms"`
	LagMillis int64 `json:"lag_ms"`
}

// Stats are counts of calls. Rate-limited calls are counted only in RateLimited; calls during an outage are not counted.
type Stats struct {
	Writes         int64 `json:"writes"`
	Reads          int64 `json:"reads"` // Includes watches.
	Watches        int64 `json:"watches"`
	WatchesWaiting int64 `json:"watches_waiting"`
	RateLimited    int64 `json:"rate_limited"`
	Conflicts      int64 `json:"conflicts"`
	BytesIn        int64 `json:"bytes_in"`  // Request bodies.
	BytesOut       int64 `json:"bytes_out"` // Response bodies.
}

// Server is the stand-in. Handler returns the handler for an http.Server.
type Server struct {
	faults  *control.Injector
	writes  *rate.Limiter
	reads   *rate.Limiter
	handler http.Handler

	mu         sync.Mutex
	store      *store
	changed    chan struct{} // Closed by the next write or restore.
	vms        []VM
	pendingVMs []pendingVMs
	stats      Stats
}

type pendingVMs struct {
	at  time.Time
	vms []VM
}

// New returns a server with an empty store.
func New(cfg Config) *Server {
	s := &Server{
		faults:  control.NewInjector(),
		writes:  newLimiter(cfg.WritesPerSecond),
		reads:   newLimiter(cfg.ReadsPerSecond),
		store:   newStore(cfg.RetainedEvents),
		changed: make(chan struct{}),
		vms:     []VM{},
	}
	r := control.NewRouter()
	r.HandleFunc("/v1/objects/{kind}/{name}", s.withRateLimit(s.reads, s.get)).Methods(http.MethodGet)
	r.HandleFunc("/v1/objects/{kind}/{name}", s.withRateLimit(s.writes, s.put)).Methods(http.MethodPut)
	r.HandleFunc("/v1/objects/{kind}/{name}", s.withRateLimit(s.writes, s.delete)).Methods(http.MethodDelete)
	r.HandleFunc("/v1/objects/{kind}", s.withRateLimit(s.reads, s.list)).Methods(http.MethodGet)
	r.HandleFunc("/v1/watch/{kind}", s.withRateLimit(s.reads, s.watch)).Methods(http.MethodGet)
	r.HandleFunc("/v1/vms", s.withRateLimit(s.reads, s.listVMs)).Methods(http.MethodGet)
	r.Handle("/control/faults", s.faults).Methods(http.MethodGet, http.MethodPut)
	r.HandleFunc("/control/snapshot", s.controlSnapshot).Methods(http.MethodPost)
	r.HandleFunc("/control/restore", s.controlRestore).Methods(http.MethodPost)
	r.HandleFunc("/control/vms", s.controlVMs).Methods(http.MethodPut)
	r.HandleFunc("/control/stats", s.controlStats).Methods(http.MethodGet)
	withFaults := s.faults.Wrap(control.RequireKey(cfg.Keys, r), func(r *http.Request) bool {
		return r.Method == http.MethodPut || r.Method == http.MethodDelete
	})
	s.handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		withFaults.ServeHTTP(&revisionWriter{ResponseWriter: w, server: s}, r)
	})
	return s
}

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), int(math.Ceil(perSecond)))
}

// Handler returns the handler of the protocol and the control interface.
func (s *Server) Handler() http.Handler { return s.handler }

// Faults returns the fault injector of this stand-in.
func (s *Server) Faults() *control.Injector { return s.faults }

// Stats returns the counts of calls.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// Snapshot stores a copy of the current state for Restore.
func (s *Server) Snapshot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.takeSnapshot()
}

// Restore restores the last snapshot, or an empty store if there is none.
func (s *Server) Restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.restore()
	s.notify()
}

// SetVMs sets the VM list, which becomes visible after the lag.
func (s *Server) SetVMs(vms []VM, lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pendingVMs = append(s.pendingVMs, pendingVMs{at: time.Now().Add(lag), vms: vms})
}

// notify wakes the pending watches. The caller holds s.mu.
func (s *Server) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// revisionWriter sets the revision header to the revision at the time of the response, and counts the bytes of the body.
type revisionWriter struct {
	http.ResponseWriter
	server      *Server
	wroteHeader bool
}

// WriteHeader sets the revision header and writes the status.
func (w *revisionWriter) WriteHeader(status int) {
	w.wroteHeader = true
	w.server.mu.Lock()
	revision := w.server.store.revision
	w.server.mu.Unlock()
	w.Header().Set(RevisionHeader, strconv.FormatInt(revision, 10))
	w.ResponseWriter.WriteHeader(status)
}

// Write writes and counts the bytes of the body.
func (w *revisionWriter) Write(b []byte) (int, error) {
	if !w.wroteHeader {
		w.WriteHeader(http.StatusOK)
	}
	n, err := w.ResponseWriter.Write(b)
	w.server.mu.Lock()
	w.server.stats.BytesOut += int64(n)
	w.server.mu.Unlock()
	return n, err
}

// Unwrap gives http.ResponseController access to Flush.
func (w *revisionWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// withRateLimit rejects calls above a rate. It counts rejected calls and reads. A write is counted when it takes effect or is
// rejected, so that a test that has waited for the count finds the effect.
func (s *Server) withRateLimit(limiter *rate.Limiter, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		allowed := limiter.Allow()
		s.mu.Lock()
		switch {
		case !allowed:
			s.stats.RateLimited++
		case limiter == s.reads:
			s.stats.Reads++
		}
		s.mu.Unlock()
		if !allowed {
			wait := max(1, int64(math.Ceil(1000/float64(limiter.Limit()))))
			w.Header().Set("Retry-After-Ms", strconv.FormatInt(wait, 10))
			control.WriteError(w, http.StatusTooManyRequests, "rate_limited", "The rate of calls is above the limit.")
			return
		}
		next(w, r)
	}
}

func pathValue(r *http.Request, name string) string {
	raw := mux.Vars(r)[name]
	value, err := url.PathUnescape(raw)
	if err != nil {
		return raw
	}
	return value
}

func queryInt(r *http.Request, name string) (int64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 {
		return 0, errors.Newf("the parameter %s is not a number of at least 0", name)
	}
	return n, nil
}

func writeBadRequest(w http.ResponseWriter, err error) {
	control.WriteError(w, http.StatusBadRequest, "bad_request", err.Error())
}

type conflictBody struct {
	control.ErrorBody
	Current *Object `json:"current"`
}

func writeStoreError(w http.ResponseWriter, err error, current *Object) {
	switch {
	case errors.Is(err, ErrConflict):
		body := conflictBody{Current: current}
		body.Error = control.ErrorDetail{Code: "conflict", Message: err.Error()}
		control.WriteJSON(w, http.StatusConflict, body)
	case errors.Is(err, ErrTooLarge):
		control.WriteError(w, http.StatusRequestEntityTooLarge, "too_large", err.Error())
	case errors.Is(err, ErrHistoryGap):
		control.WriteError(w, http.StatusGone, "gap", err.Error())
	default:
		control.WriteError(w, http.StatusNotFound, "not_found", err.Error())
	}
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	stale := s.faults.ConsumeStaleRead()
	s.mu.Lock()
	o, err := s.store.get(pathValue(r, "kind"), pathValue(r, "name"), stale)
	s.mu.Unlock()
	if err != nil {
		writeStoreError(w, err, nil)
		return
	}
	control.WriteJSON(w, http.StatusOK, o)
}

// readPut reads the body of a write: the expected version and the compact value.
func (s *Server) readPut(w http.ResponseWriter, r *http.Request) (ifVersion int64, value []byte, err error) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	s.mu.Lock()
	s.stats.BytesIn += int64(len(raw))
	s.mu.Unlock()
	if err != nil {
		return 0, nil, err
	}
	var body struct {
		IfVersion int64           `json:"if_version"`
		Value     json.RawMessage `json:"value"`
	}
	if err := json.Unmarshal(raw, &body); err != nil {
		return 0, nil, err
	}
	var compact bytes.Buffer
	if err := json.Compact(&compact, body.Value); err != nil {
		return 0, nil, errors.New("the field value is missing")
	}
	return body.IfVersion, compact.Bytes(), nil
}

// rejectWrite counts a write without an effect and writes the error response.
func (s *Server) rejectWrite(w http.ResponseWriter, err error) {
	s.mu.Lock()
	s.stats.Writes++
	s.mu.Unlock()
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		writeStoreError(w, ErrTooLarge, nil)
		return
	}
	writeBadRequest(w, err)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	ifVersion, value, err := s.readPut(w, r)
	if err != nil {
		s.rejectWrite(w, err)
		return
	}
	s.mu.Lock()
	o, current, err := s.store.put(pathValue(r, "kind"), pathValue(r, "name"), ifVersion, value)
	s.finishWrite(err)
	s.mu.Unlock()
	if err != nil {
		writeStoreError(w, err, current)
		return
	}
	o.Value = nil
	control.WriteJSON(w, http.StatusOK, o)
}

// finishWrite counts a write and wakes the pending watches if it was successful. The caller holds s.mu.
func (s *Server) finishWrite(err error) {
	s.stats.Writes++
	switch {
	case err == nil:
		s.notify()
	case errors.Is(err, ErrConflict):
		s.stats.Conflicts++
	}
}

func (s *Server) delete(w http.ResponseWriter, r *http.Request) {
	ifVersion, err := queryInt(r, "if_version")
	if err != nil {
		s.rejectWrite(w, err)
		return
	}
	s.mu.Lock()
	version, current, err := s.store.delete(pathValue(r, "kind"), pathValue(r, "name"), ifVersion)
	s.finishWrite(err)
	s.mu.Unlock()
	if err != nil {
		writeStoreError(w, err, current)
		return
	}
	control.WriteJSON(w, http.StatusOK, map[string]int64{"version": version})
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	limit, err := queryInt(r, "limit")
	if err != nil {
		writeBadRequest(w, err)
		return
	}
	q := r.URL.Query()
	stale := s.faults.ConsumeStaleRead()
	s.mu.Lock()
	revision, items, hasMore := s.store.list(pathValue(r, "kind"), q.Get("prefix"), q.Get("after"),
		int(min(limit, DefaultListLimit)), stale)
	s.mu.Unlock()
	if items == nil {
		items = []Object{}
	}
	control.WriteJSON(w, http.StatusOK, map[string]any{"revision": revision, "items": items, "more": hasMore})
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	since, err := queryInt(r, "since")
	if err != nil {
		writeBadRequest(w, err)
		return
	}
	waitMillis, err := queryInt(r, "wait_ms")
	if err != nil {
		writeBadRequest(w, err)
		return
	}
	wait := DefaultWatchWait
	if r.URL.Query().Has("wait_ms") {
		wait = min(MaxWatchWait, time.Duration(min(waitMillis, MaxWatchWait.Milliseconds()))*time.Millisecond)
	}
	s.mu.Lock()
	s.stats.Watches++
	s.stats.WatchesWaiting++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.stats.WatchesWaiting--
		s.mu.Unlock()
	}()
	s.waitForEvents(w, r, since, wait)
}

func (s *Server) waitForEvents(w http.ResponseWriter, r *http.Request, since int64, wait time.Duration) {
	kind, prefix := pathValue(r, "kind"), r.URL.Query().Get("prefix")
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	// A pending watch counts as one read for each second that it waits.
	readTicker := time.NewTicker(time.Second)
	defer readTicker.Stop()
	expired := false
	for {
		faultsChanged := s.faults.Changed()
		f := s.faults.Faults()
		s.mu.Lock()
		changed := s.changed
		revision, events, err := s.store.eventsAfter(kind, prefix, since)
		s.mu.Unlock()
		switch {
		case f.CloseConnection:
			panic(http.ErrAbortHandler)
		case f.Outage:
			control.WriteError(w, http.StatusServiceUnavailable, "unavailable", "The stand-in is in an outage.")
			return
		case f.WatchGap:
			writeStoreError(w, ErrHistoryGap, nil)
			return
		case err != nil:
			writeStoreError(w, err, nil)
			return
		case len(events) > 0 || expired:
			if events == nil {
				events = []Event{}
			}
			control.WriteJSON(w, http.StatusOK, map[string]any{"revision": revision, "events": events})
			return
		}
		select {
		case <-changed:
		case <-faultsChanged:
		case <-readTicker.C:
			s.reads.Allow()
		case <-deadline.C:
			expired = true
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}

func (s *Server) listVMs(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	now := time.Now()
	pending := s.pendingVMs[:0]
	for _, p := range s.pendingVMs {
		if p.at.After(now) {
			pending = append(pending, p)
			continue
		}
		s.vms = p.vms
	}
	s.pendingVMs = pending
	vms := s.vms
	s.mu.Unlock()
	if vms == nil {
		vms = []VM{}
	}
	control.WriteJSON(w, http.StatusOK, map[string]any{"vms": vms})
}

func (s *Server) controlSnapshot(w http.ResponseWriter, _ *http.Request) {
	s.Snapshot()
	control.WriteJSON(w, http.StatusOK, struct{}{})
}

func (s *Server) controlRestore(w http.ResponseWriter, _ *http.Request) {
	s.Restore()
	control.WriteJSON(w, http.StatusOK, struct{}{})
}

func (s *Server) controlVMs(w http.ResponseWriter, r *http.Request) {
	var list VMList
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&list); err != nil {
		writeBadRequest(w, err)
		return
	}
	for _, vm := range list.VMs {
		if vm.State != "live" && vm.State != "leaving" {
			writeBadRequest(w, errors.Newf("the state of VM %s is neither live nor leaving", vm.Name))
			return
		}
	}
	s.SetVMs(list.VMs, time.Duration(list.LagMillis)*time.Millisecond)
	control.WriteJSON(w, http.StatusOK, struct{}{})
}

func (s *Server) controlStats(w http.ResponseWriter, _ *http.Request) {
	control.WriteJSON(w, http.StatusOK, s.Stats())
}
