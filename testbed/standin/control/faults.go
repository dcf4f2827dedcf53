// Package control provides what all stand-ins share: fault injection, bearer key checks and JSON responses.
package control

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"
)

// PathPrefix is the path prefix of the control interface. Its requests need no key, and faults do not apply to them.
const PathPrefix = "/control/"

// OversizedBytes is the response size under the fault "oversized". It exceeds every size that the protocols allow.
const OversizedBytes = 16 << 20

// Faults is the fault state of a stand-in. A field with its zero value injects no fault.
//
// Faults apply to a request in this order: CloseConnection, LatencyMillis, Outage, Status, the effect of the request,
// HangMillis, faults of the response.
type Faults struct {
	Outage                     bool `json:"outage"`                   // Every request gets status 503 and has no effect.
	LatencyMillis              int  `json:"latency_ms"`               // Delay before the effect of each request.
	CloseConnection            bool `json:"refuse"`                   // Closes the connection without a response and without an effect.
	DropResponseAfterEffect    int  `json:"drop_answer_after_effect"` // The next N requests that change state get no response.
	TruncateResponseAfterBytes int  `json:"cut_answer_after_bytes"`   // The next response ends after N bytes of its body.
	Malformed                  int  `json:"malformed"`                // The next N responses are not valid JSON.
	Oversized                  int  `json:"oversized"`                // The next N responses are OversizedBytes long.
	StaleReads                 int  `json:"stale_reads"`              // Platform: the next N reads return the state before the last write.
	WatchGap                   bool `json:"watch_gap"`                // Watches and cache events report a gap.
	HangMillis                 int  `json:"hang_ms"`                  // Delay between the effect and the response of each request.
	Status                     int  `json:"status"`                   // Status of the next StatusCount responses; their requests have no effect.
	StatusCount                int  `json:"status_count"`
}

// Injector applies faults to requests. It is safe for concurrent use.
type Injector struct {
	mu      sync.Mutex
	faults  Faults
	changed chan struct{}
}

// NewInjector returns an Injector without faults.
func NewInjector() *Injector {
	return &Injector{changed: make(chan struct{})}
}

// Set replaces the fault state. Pending requests then re-read the faults and end if an outage or CloseConnection
// applies.
func (in *Injector) Set(f Faults) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.faults = f
	close(in.changed)
	in.changed = make(chan struct{})
}

// Faults returns the fault state. Counters hold the remaining number of faults.
func (in *Injector) Faults() Faults {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.faults
}

// Changed returns a channel that is closed at the next Set, so that pending requests can re-read the faults.
func (in *Injector) Changed() <-chan struct{} {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.changed
}

// ConsumeStaleRead reports whether this read must be stale, and decrements the counter.
func (in *Injector) ConsumeStaleRead() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return consumeOne(&in.faults.StaleReads)
}

func consumeOne(count *int) bool {
	if *count <= 0 {
		return false
	}
	*count--
	return true
}

// faultPlan holds the faults that apply to one request.
type faultPlan struct {
	closeConnection    bool
	outage             bool
	status             int
	dropResponse       bool
	truncateAfterBytes int
	malformed          bool
	oversized          bool
	requestDelay       time.Duration
	responseDelay      time.Duration
}

// nextPlan returns the faults of the next request and decrements their counters.
func (in *Injector) nextPlan(changesState bool) faultPlan {
	in.mu.Lock()
	defer in.mu.Unlock()
	f := &in.faults
	p := faultPlan{
		closeConnection: f.CloseConnection,
		outage:          f.Outage,
		requestDelay:    time.Duration(f.LatencyMillis) * time.Millisecond,
		responseDelay:   time.Duration(f.HangMillis) * time.Millisecond,
	}
	switch {
	case p.closeConnection || p.outage:
	case f.Status != 0 && consumeOne(&f.StatusCount):
		p.status = f.Status
	case changesState && consumeOne(&f.DropResponseAfterEffect):
		p.dropResponse = true
	case f.TruncateResponseAfterBytes > 0:
		p.truncateAfterBytes, f.TruncateResponseAfterBytes = f.TruncateResponseAfterBytes, 0
	case consumeOne(&f.Malformed):
		p.malformed = true
	case consumeOne(&f.Oversized):
		p.oversized = true
	}
	return p
}

// Wrap returns a handler that applies the faults around next. changesState reports whether a request has an effect, so
// that DropResponseAfterEffect applies to it.
func (in *Injector) Wrap(next http.Handler, changesState func(*http.Request) bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, PathPrefix) {
			next.ServeHTTP(w, r)
			return
		}
		p := in.nextPlan(changesState(r))
		if p.closeConnection {
			panic(http.ErrAbortHandler)
		}
		Sleep(r.Context().Done(), p.requestDelay)
		switch {
		case p.outage:
			WriteError(w, http.StatusServiceUnavailable, "unavailable", "The stand-in is in an outage.")
		case p.status != 0:
			writeInjectedStatus(w, p.status)
		default:
			fw := &faultWriter{ResponseWriter: w, plan: p, done: r.Context().Done()}
			next.ServeHTTP(fw, r)
			if p.dropResponse {
				panic(http.ErrAbortHandler)
			}
		}
	})
}

func writeInjectedStatus(w http.ResponseWriter, status int) {
	if status == http.StatusTooManyRequests {
		w.Header().Set("Retry-After-Ms", "100")
	}
	WriteError(w, status, "injected", "The stand-in was told to respond with this status.")
}

// Sleep waits for d or until done is closed.
func Sleep(done <-chan struct{}, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-done:
	}
}

// faultWriter applies the response faults of a plan.
type faultWriter struct {
	http.ResponseWriter
	plan         faultPlan
	done         <-chan struct{}
	delayed      bool
	writtenBytes int
}

func (w *faultWriter) delayFirstWrite() {
	if !w.delayed {
		w.delayed = true
		Sleep(w.done, w.plan.responseDelay)
	}
}

// WriteHeader sends the status unless the plan drops the response.
func (w *faultWriter) WriteHeader(status int) {
	w.delayFirstWrite()
	if !w.plan.dropResponse {
		w.ResponseWriter.WriteHeader(status)
	}
}

// Write sends the body as modified by the plan.
func (w *faultWriter) Write(b []byte) (int, error) {
	w.delayFirstWrite()
	first := w.writtenBytes == 0
	w.writtenBytes += len(b)
	switch {
	case w.plan.dropResponse:
		return len(b), nil
	case w.plan.malformed:
		return len(b), w.writeReplacement(first, `{"truncated":`)
	case w.plan.oversized:
		return len(b), w.writeReplacement(first, `{"padding":"`+strings.Repeat("x", OversizedBytes)+`"}`)
	case w.plan.truncateAfterBytes > 0 && w.writtenBytes >= w.plan.truncateAfterBytes:
		_, _ = w.ResponseWriter.Write(b[:len(b)-(w.writtenBytes-w.plan.truncateAfterBytes)])
		_ = http.NewResponseController(w.ResponseWriter).Flush()
		panic(http.ErrAbortHandler)
	}
	return w.ResponseWriter.Write(b)
}

// writeReplacement sends text instead of the first part of the body, and nothing instead of later parts.
func (w *faultWriter) writeReplacement(first bool, text string) error {
	if !first {
		return nil
	}
	if strings.HasPrefix(w.Header().Get("Content-Type"), "text/event-stream") {
		text = "data: " + text + "\n\n"
	}
	_, err := w.ResponseWriter.Write([]byte(text))
	return err
}

// Flush flushes buffered data unless the plan drops the response.
func (w *faultWriter) Flush() {
	w.delayFirstWrite()
	if !w.plan.dropResponse {
		_ = http.NewResponseController(w.ResponseWriter).Flush()
	}
}

// ServeHTTP reads and replaces the fault state at PathPrefix + "faults".
func (in *Injector) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPut {
		var f Faults
		d := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<16))
		d.DisallowUnknownFields()
		if err := d.Decode(&f); err != nil {
			WriteError(w, http.StatusBadRequest, "bad_request", err.Error())
			return
		}
		in.Set(f)
	}
	WriteJSON(w, http.StatusOK, in.Faults())
}
