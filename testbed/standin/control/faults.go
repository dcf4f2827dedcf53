// Package control holds what all stand-ins share: the injected faults, the check of bearer keys and the JSON responses.
package control

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"
)

// PathPrefix starts the paths of the control interface. They need no key and meet no fault.
const PathPrefix = "/control/"

// OversizedBytes is the size of a response under the fault "oversized": above every size that the protocols allow.
const OversizedBytes = 16 << 20

// Faults is the fault state of a stand-in. A field at its zero value injects nothing.
//
// The order within one request is: Refuse, LatencyMillis, Outage, Status, then the effect of the request, then
// HangMillis, then the faults of the response.
type Faults struct {
	Outage                     bool `json:"outage"`                   // Every request gets 503 and has no effect.
	LatencyMillis              int  `json:"latency_ms"`               // Wait before the effect of each request.
	CloseConnection            bool `json:"refuse"`                   // Connections close without a response and without an effect.
	DropResponseAfterEffect    int  `json:"drop_answer_after_effect"` // The next N requests that change state lose their response.
	TruncateResponseAfterBytes int  `json:"cut_answer_after_bytes"`   // The next response ends after N bytes of its body.
	Malformed                  int  `json:"malformed"`                // The next N responses are not valid JSON.
	Oversized                  int  `json:"oversized"`                // The next N responses have OversizedBytes bytes.
	StaleReads                 int  `json:"stale_reads"`              // Platform: the next N reads show the state before the last write.
	WatchGap                   bool `json:"watch_gap"`                // Watches and cache events report a gap.
	HangMillis                 int  `json:"hang_ms"`                  // Wait between the effect and the response of each request.
	Status                     int  `json:"status"`                   // Status of the next StatusCount responses, without an effect.
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

// Set replaces the fault state and resets the connections of pending requests that an outage or a refusal affects.
func (in *Injector) Set(f Faults) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.faults = f
	close(in.changed)
	in.changed = make(chan struct{})
}

// Faults returns the fault state; counts show what remains.
func (in *Injector) Faults() Faults {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.faults
}

// Changed returns a channel that closes at the next Set, so that pending requests can look at the faults again.
func (in *Injector) Changed() <-chan struct{} {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.changed
}

// ConsumeStaleRead reports whether this read is stale, and counts it.
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

// plan is the part of the fault state that one request meets.
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

// Wrap returns a handler that applies the faults around next. changesState tells whether a request has an effect whose
// response can be lost.
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

// Sleep waits for d or until done closes.
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

// faultWriter applies the faults of the response.
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

// WriteHeader sends the status unless the response is dropped.
func (w *faultWriter) WriteHeader(status int) {
	w.delayFirstWrite()
	if !w.plan.dropResponse {
		w.ResponseWriter.WriteHeader(status)
	}
}

// Write sends the body or what the fault makes of it.
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

// replace sends text in place of the first part of the body and nothing in place of the others.
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

// Flush sends what is buffered unless the response is dropped.
func (w *faultWriter) Flush() {
	w.delayFirstWrite()
	if !w.plan.dropResponse {
		_ = http.NewResponseController(w.ResponseWriter).Flush()
	}
}

// ServeHTTP serves the fault state at PathPrefix + "faults".
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
