// Package objectstore is a stand-in of the metadata store of the users' platform. It speaks the store's format and brings
// about its faults: outages, refusals of single clients, lost and late effects, a forgotten history and rate limits.
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

// pageItems is the number of objects of one page.
const pageItems = 500

// Metadata identifies an object.
type Metadata struct {
	Name           string   `json:"name"`
	Rev            uint64   `json:"rev"`
	CreateRevision uint64   `json:"createRevision"`
	Finalizers     []string `json:"finalizers"`
	Deleting       bool     `json:"deleting"`
}

// Object is one object.
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

// Outage is how the store fails.
type Outage string

// Outages.
const (
	NoOutage        Outage = ""
	Unavailable     Outage = "busy"   // 503: nothing was done.
	TooManyRequests Outage = "many"   // 429: nothing was done.
	Disconnect      Outage = "reset"  // The connection is closed.
	Unresponsive    Outage = "silent" // No answer until the outage ends, which closes the connections.
	HangForever     Outage = "dead"   // Calls that wait during the outage are never answered, nor are their connections closed.
)

// Store is a store with its faults. It is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	rev     uint64
	oldest  uint64 // Revision from which the history is known.
	kinds   map[string]map[string]Object
	events  []event
	changed chan struct{}

	outage   Outage
	affects  func(ip string) bool
	loseNext int           // Writes that are done and not answered.
	lateBy   time.Duration // Delay of the effect of such a write.
	delay    time.Duration
	writes   *rate.Limiter
	reads    *rate.Limiter
	calls    map[string]int

	server   *http.Server
	listener net.Listener
}

// Start serves a store at an address.
func Start(address string) (*Store, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Store{rev: 1, oldest: 1, kinds: map[string]map[string]Object{}, changed: make(chan struct{}), calls: map[string]int{}, listener: l}
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.server.Serve(l) }() // Ends with Close.
	return s, nil
}

// Addr is the address of the store.
func (s *Store) Addr() string { return s.listener.Addr().String() }

// Close ends the store.
func (s *Store) Close() {
	s.SetOutage(NoOutage, nil)
	_ = s.server.Close() // The test is over.
}

// Fail makes the store fail for the clients with an address that affects reports, or for all where it is nil.
func (s *Store) SetOutage(o Outage, affects func(ip string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage, s.affects = o, affects
	s.broadcast()
}

// DropWriteResponses drops the answers to the next writes, which take effect after a delay.
func (s *Store) DropWriteResponses(n int, late time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseNext, s.lateBy = n, late
}

// Delay makes each answer slower.
func (s *Store) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// Limit bounds the calls a second. Zero sets no bound.
func (s *Store) SetRateLimits(writes, reads float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes, s.reads = nil, nil
	if writes > 0 {
		s.writes = rate.NewLimiter(rate.Limit(writes), int(writes)+1)
	}
	if reads > 0 {
		s.reads = rate.NewLimiter(rate.Limit(reads), int(reads)+1)
	}
}

// Forget drops the history, so that watches from before answer 410.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = nil
	s.oldest = s.rev
	s.broadcast()
}

// Calls is the number of calls by verb: read, write and watch.
func (s *Store) CallCounts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]int{}
	for k, v := range s.calls {
		out[k] = v
	}
	return out
}

// Put writes an object as the operator or an upstream does, whatever its revision and the outage.
func (s *Store) Put(kind, name string, spec any) uint64 {
	raw, err := json.Marshal(spec)
	if err != nil {
		raw = []byte(`null`)
	}
	return s.PutRaw(kind, name, raw)
}

// PutRaw is Put with bytes that need not be what the kind expects.
func (s *Store) PutRaw(kind, name string, raw []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.kinds[kind][name]
	if string(o.Spec) == string(raw) {
		return s.rev
	}
	o.Metadata.Name, o.Spec = name, raw
	s.store(kind, o)
	return s.rev
}

// Remove deletes an object.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.kinds[kind][name]; ok {
		s.remove(kind, o)
	}
}

// Get returns an object.
func (s *Store) Get(kind, name string) (Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.kinds[kind][name]
	return o, ok
}

func (s *Store) store(kind string, o Object) Object {
	s.rev++
	o.Metadata.Rev = s.rev
	if o.Metadata.CreateRevision == 0 {
		o.Metadata.CreateRevision = s.rev
	}
	if o.Metadata.Finalizers == nil {
		o.Metadata.Finalizers = []string{}
	}
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]Object{}
	}
	s.kinds[kind][o.Metadata.Name] = o
	s.events = append(s.events, event{rev: s.rev, kind: kind, object: o})
	s.broadcast()
	return o
}

func (s *Store) remove(kind string, o Object) {
	s.rev++
	delete(s.kinds[kind], o.Metadata.Name)
	s.events = append(s.events, event{rev: s.rev, kind: kind, object: o, removed: true})
	s.broadcast()
}

func (s *Store) broadcast() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !s.pass(w, r) {
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

// pass applies outages, delays and rates. It reports whether the call goes on.
func (s *Store) pass(w http.ResponseWriter, r *http.Request) bool {
	verb := "read"
	if r.Method != http.MethodGet {
		verb = "write"
	} else if r.URL.Query().Has("watch") {
		verb = "watch"
	}
	ip, _, _ := net.SplitHostPort(r.RemoteAddr)
	s.mu.Lock()
	s.calls[verb]++
	delay := s.delay
	limiter := s.reads
	if verb == "write" {
		limiter = s.writes
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
		drop(w)
		return false
	case Unresponsive:
		s.silence(w, r, ip)
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
	if s.outage == NoOutage || s.affects != nil && !s.affects(ip) {
		return NoOutage
	}
	return s.outage
}

// silence gives no answer until the outage ends, and then closes the connection.
func (s *Store) silence(w http.ResponseWriter, r *http.Request, ip string) {
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
	drop(w)
}

func drop(w http.ResponseWriter) {
	h, ok := w.(http.Hijacker)
	if !ok {
		return
	}
	c, _, err := h.Hijack()
	if err != nil {
		return
	}
	_ = c.Close() // The caller is to see a lost connection.
}

func answer(w http.ResponseWriter, status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(raw) // A client that has gone needs no answer.
}

func (s *Store) get(w http.ResponseWriter, kind, name string) {
	o, ok := s.Get(kind, name)
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, o)
}

func (s *Store) list(w http.ResponseWriter, r *http.Request, kind string) {
	after := r.URL.Query().Get("after")
	s.mu.Lock()
	var items []Object
	for name, o := range s.kinds[kind] {
		if name > after {
			items = append(items, o)
		}
	}
	rev := s.rev
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	more := len(items) > pageItems
	if more {
		items = items[:pageItems]
	}
	answer(w, http.StatusOK, map[string]any{"items": orEmpty(items), "more": more, "currentRev": rev})
}

func orEmpty[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, err2 := strconv.Atoi(r.URL.Query().Get("waitMs"))
	if err != nil || err2 != nil || wait < 0 || wait > 30_000 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	type shown struct {
		Object  Object `json:"object"`
		Removed bool   `json:"removed"`
	}
	deadline := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer deadline.Stop()
	for ended := false; ; {
		s.mu.Lock()
		gone := since < s.oldest
		var events []shown
		for _, e := range s.events {
			if e.rev > since && e.kind == kind {
				events = append(events, shown{e.object, e.removed})
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 || ended {
			answer(w, http.StatusOK, map[string]any{"events": orEmpty(events), "currentRev": rev})
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			ended = true
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
			drop(w)
			return
		}
	}
}

// write performs a POST, PUT or DELETE. A lost answer still has its effect, maybe later and if its condition still holds.
func (s *Store) write(w http.ResponseWriter, r *http.Request, kind, name string, status bool) {
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
	lose := s.loseNext > 0
	late := s.lateBy
	if lose {
		s.loseNext--
	}
	s.mu.Unlock()
	effect := func() (int, Object) { return s.effect(r.Method, kind, name, status, rev, o) }
	if lose {
		if late > 0 {
			time.AfterFunc(late, func() { effect() })
		} else {
			effect()
		}
		drop(w)
		return
	}
	code, result := effect()
	if code == http.StatusNotFound {
		w.WriteHeader(code)
		return
	}
	answer(w, code, result)
}

func (s *Store) effect(method, kind, name string, status bool, rev uint64, o Object) (int, Object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if method == http.MethodPost {
		if old, ok := s.kinds[kind][o.Metadata.Name]; ok {
			return http.StatusConflict, old
		}
		o.Metadata.CreateRevision = 0
		return http.StatusOK, s.store(kind, o)
	}
	old, ok := s.kinds[kind][name]
	if !ok {
		return http.StatusNotFound, Object{}
	}
	if rev != 0 && rev != old.Metadata.Rev {
		return http.StatusConflict, old
	}
	switch {
	case method == http.MethodDelete:
		s.remove(kind, old)
		return http.StatusOK, old
	case status:
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
	return http.StatusOK, s.store(kind, old)
}
