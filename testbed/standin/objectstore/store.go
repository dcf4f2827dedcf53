// Package objectstore is a stand-in for the metadata store of the users' platform. It implements the store's protocol and
// simulates its faults: outages for all or some clients, lost responses, late writes, a dropped history and rate limits.
package objectstore

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// maxPageItems is the maximum number of objects in a page of a list.
const maxPageItems = 500

// Metadata is the identity, revision and deletion state of an object.
type Metadata struct {
	Name           string   `json:"name"`
	Rev            uint64   `json:"rev"`
	CreateRevision uint64   `json:"createRevision"`
	Finalizers     []string `json:"finalizers"`
	Deleting       bool     `json:"deleting"`
}

// Object is a stored object.
type Object struct {
	Metadata Metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type event struct {
	rev     uint64
	kind    string
	object  Object
	removed bool
}

// Outage is a kind of store outage.
type Outage string

// Values of Outage.
const (
	NoOutage        Outage = ""
	Unavailable     Outage = "busy"   // Returns 503 without an effect.
	TooManyRequests Outage = "many"   // Returns 429 without an effect.
	Disconnect      Outage = "reset"  // Closes the connection.
	Unresponsive    Outage = "silent" // Sends no response; closes the connections when the outage ends.
	HangForever     Outage = "dead"   // Never responds to calls that wait during the outage, nor closes their connections.
)

// Store is a store that can simulate faults. It is safe for concurrent use.
type Store struct {
	mu           sync.Mutex
	revision     uint64
	historyStart uint64 // Oldest revision from which a watch can start.
	objects      map[string]map[string]Object
	events       []event
	changed      chan struct{}

	outage            Outage
	affectsClient     func(ip string) bool
	responsesToDrop   int           // Number of writes to apply without a response.
	droppedWriteDelay time.Duration // Delay before such a write is applied.
	responseDelay     time.Duration
	writeLimiter      *rate.Limiter
	readLimiter       *rate.Limiter
	callCounts        map[string]int

	server   *http.Server
	listener net.Listener
}

// Start starts an empty store that serves at an address.
func Start(address string) (*Store, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Store{revision: 1, historyStart: 1, objects: map[string]map[string]Object{}, changed: make(chan struct{}), callCounts: map[string]int{}, listener: l}
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.server.Serve(l) }() // Returns after Close.
	return s, nil
}

// Addr returns the address of the store.
func (s *Store) Addr() string { return s.listener.Addr().String() }

// Close ends the outage and closes the listener and all connections.
func (s *Store) Close() {
	s.SetOutage(NoOutage, nil)
	_ = s.server.Close() // The test does not depend on the error.
}

// SetOutage starts an outage, or ends it with NoOutage. It affects the clients for which affectsClient returns true, or all
// if it is nil.
func (s *Store) SetOutage(o Outage, affectsClient func(ip string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage, s.affectsClient = o, affectsClient
	s.notifyWatches()
}

// DropWriteResponses closes the connections of the next n writes without a response. The writes are applied after effectDelay.
func (s *Store) DropWriteResponses(n int, effectDelay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.responsesToDrop, s.droppedWriteDelay = n, effectDelay
}

// SetDelay delays each response by d.
func (s *Store) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.responseDelay = d
}

// SetRateLimits limits the writes and reads per second; zero is unlimited.
func (s *Store) SetRateLimits(writes, reads float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeLimiter, s.readLimiter = nil, nil
	if writes > 0 {
		s.writeLimiter = rate.NewLimiter(rate.Limit(writes), int(writes)+1)
	}
	if reads > 0 {
		s.readLimiter = rate.NewLimiter(rate.Limit(reads), int(reads)+1)
	}
}

// DropHistory drops the history, so that watches from an older revision return 410.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = nil
	s.historyStart = s.revision
	s.notifyWatches()
}

// CallCounts returns the number of calls by verb: read, write and watch.
func (s *Store) CallCounts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]int{}
	for k, v := range s.callCounts {
		out[k] = v
	}
	return out
}

// Put writes an object like an operator or an upstream, regardless of its revision and of an outage. It returns the store's
// revision.
func (s *Store) Put(kind, name string, spec any) uint64 {
	raw, err := json.Marshal(spec)
	if err != nil {
		raw = []byte(`null`)
	}
	return s.PutRaw(kind, name, raw)
}

// PutRaw is like Put, but writes raw bytes that may be invalid for the kind.
func (s *Store) PutRaw(kind, name string, raw []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	if string(o.Spec) == string(raw) {
		return s.revision
	}
	o.Metadata.Name, o.Spec = name, raw
	s.putLocked(kind, o)
	return s.revision
}

// Remove deletes an object.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.objects[kind][name]; ok {
		s.removeLocked(kind, o)
	}
}

// Get returns an object.
func (s *Store) Get(kind, name string) (Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	return o, ok
}

func (s *Store) putLocked(kind string, o Object) Object {
	s.revision++
	o.Metadata.Rev = s.revision
	if o.Metadata.CreateRevision == 0 {
		o.Metadata.CreateRevision = s.revision
	}
	if o.Metadata.Finalizers == nil {
		o.Metadata.Finalizers = []string{}
	}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]Object{}
	}
	s.objects[kind][o.Metadata.Name] = o
	s.events = append(s.events, event{rev: s.revision, kind: kind, object: o})
	s.notifyWatches()
	return o
}

func (s *Store) removeLocked(kind string, o Object) {
	s.revision++
	delete(s.objects[kind], o.Metadata.Name)
	s.events = append(s.events, event{rev: s.revision, kind: kind, object: o, removed: true})
	s.notifyWatches()
}

func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !s.applyFaults(w, r) {
		return
	}
	parts := strings.Split(strings.Trim(r.URL.Path, "/"), "/")
	if len(parts) < 2 || parts[0] != "objects" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	kind, name := parts[1], ""
	if len(parts) > 2 {
		name = parts[2]
	}
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, r, kind)
	case r.Method == http.MethodGet:
		s.get(w, kind, name)
	default:
		s.write(w, r, kind, name, len(parts) > 3 && parts[3] == "status")
	}
}

// applyFaults applies the outage, the delay and the rate limits to a call. It reports whether the call should be served.
func (s *Store) applyFaults(w http.ResponseWriter, r *http.Request) bool {
	verb := "read"
	if r.Method != http.MethodGet {
		verb = "write"
	} else if r.URL.Query().Has("watch") {
		verb = "watch"
	}
	ip, _, _ := net.SplitHostPort(r.RemoteAddr)
	s.mu.Lock()
	s.callCounts[verb]++
	delay := s.responseDelay
	limiter := s.readLimiter
	if verb == "write" {
		limiter = s.writeLimiter
	}
	limited := limiter != nil && !limiter.Allow()
	s.mu.Unlock()
	time.Sleep(delay)
	switch s.outageFor(ip) {
	case Unavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
		return false
	case TooManyRequests:
		w.WriteHeader(http.StatusTooManyRequests)
		return false
	case Disconnect:
		closeConnection(w)
		return false
	case Unresponsive:
		s.waitForOutageEnd(w, r, ip)
		return false
	case HangForever:
		<-r.Context().Done() // The client closes the connection.
		return false
	}
	if limited {
		w.WriteHeader(http.StatusTooManyRequests)
		return false
	}
	return true
}

func (s *Store) outageFor(ip string) Outage {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outage == NoOutage || s.affectsClient != nil && !s.affectsClient(ip) {
		return NoOutage
	}
	return s.outage
}

// waitForOutageEnd waits until the outage ends and then closes the connection without a response.
func (s *Store) waitForOutageEnd(w http.ResponseWriter, r *http.Request, ip string) {
	for s.outageFor(ip) == Unresponsive {
		s.mu.Lock()
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
	closeConnection(w)
}

func closeConnection(w http.ResponseWriter) {
	h, ok := w.(http.Hijacker)
	if !ok {
		return
	}
	c, _, err := h.Hijack()
	if err != nil {
		return
	}
	_ = c.Close() // The client observes a closed connection.
}

func writeResponse(w http.ResponseWriter, status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(raw) // Fails only if the client has disconnected.
}

func (s *Store) get(w http.ResponseWriter, kind, name string) {
	o, ok := s.Get(kind, name)
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeResponse(w, http.StatusOK, o)
}

func (s *Store) list(w http.ResponseWriter, r *http.Request, kind string) {
	after := r.URL.Query().Get("after")
	s.mu.Lock()
	var items []Object
	for name, o := range s.objects[kind] {
		if name > after {
			items = append(items, o)
		}
	}
	rev := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	hasMore := len(items) > maxPageItems
	if hasMore {
		items = items[:maxPageItems]
	}
	writeResponse(w, http.StatusOK, map[string]any{"items": nonNil(items), "more": hasMore, "currentRev": rev})
}

func nonNil[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, waitErr := strconv.Atoi(r.URL.Query().Get("waitMs"))
	if err != nil || waitErr != nil || wait < 0 || wait > 30_000 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	type watchEvent struct {
		Object  Object `json:"object"`
		Removed bool   `json:"removed"`
	}
	deadline := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer deadline.Stop()
	for expired := false; ; {
		s.mu.Lock()
		historyDropped := since < s.historyStart
		var events []watchEvent
		for _, e := range s.events {
			if e.rev > since && e.kind == kind {
				events = append(events, watchEvent{e.object, e.removed})
			}
		}
		rev, changed := s.revision, s.changed
		s.mu.Unlock()
		if historyDropped {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 || expired {
			writeResponse(w, http.StatusOK, map[string]any{"events": nonNil(events), "currentRev": rev})
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			expired = true
		case <-r.Context().Done():
			return
		}
		ip, _, _ := net.SplitHostPort(r.RemoteAddr)
		switch s.outageFor(ip) {
		case NoOutage:
		case HangForever:
			<-r.Context().Done() // The client closes the connection.
			return
		default:
			closeConnection(w)
			return
		}
	}
}

// write performs a POST, PUT or DELETE. If its response is dropped, the write is still applied, possibly later, if its
// condition holds then.
func (s *Store) write(w http.ResponseWriter, r *http.Request, kind, name string, statusOnly bool) {
	var o Object
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	rev := o.Metadata.Rev
	if v := r.URL.Query().Get("rev"); v != "" {
		parsed, err := strconv.ParseUint(v, 10, 64)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		rev = parsed
	}
	s.mu.Lock()
	dropResponse := s.responsesToDrop > 0
	effectDelay := s.droppedWriteDelay
	if dropResponse {
		s.responsesToDrop--
	}
	s.mu.Unlock()
	apply := func() (int, Object) { return s.applyWrite(r.Method, kind, name, statusOnly, rev, o) }
	if dropResponse {
		if effectDelay > 0 {
			time.AfterFunc(effectDelay, func() { apply() })
		} else {
			apply()
		}
		closeConnection(w)
		return
	}
	code, result := apply()
	if code == http.StatusNotFound {
		w.WriteHeader(code)
		return
	}
	writeResponse(w, code, result)
}

func (s *Store) applyWrite(method, kind, name string, statusOnly bool, rev uint64, o Object) (int, Object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if method == http.MethodPost {
		if old, ok := s.objects[kind][o.Metadata.Name]; ok {
			return http.StatusConflict, old
		}
		o.Metadata.CreateRevision = 0
		return http.StatusOK, s.putLocked(kind, o)
	}
	old, ok := s.objects[kind][name]
	if !ok {
		return http.StatusNotFound, Object{}
	}
	if rev != 0 && rev != old.Metadata.Rev {
		return http.StatusConflict, old
	}
	switch {
	case method == http.MethodDelete:
		s.removeLocked(kind, old)
		return http.StatusOK, old
	case statusOnly:
		if string(old.Status) == string(o.Status) {
			return http.StatusOK, old
		}
		old.Status = o.Status
	default:
		if string(old.Spec) == string(o.Spec) {
			return http.StatusOK, old
		}
		old.Spec = o.Spec
	}
	return http.StatusOK, s.putLocked(kind, old)
}
