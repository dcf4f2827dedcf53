package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"jackdawbay.dev/api/errkind"
)

// Measure is the name of a latency metric.
type Measure string

// Latency measures.
const (
	MeasureProgram       Measure = "program"
	MeasureCall          Measure = "call"
	MeasureFirstToken    Measure = "first_token"
	MeasureBetweenTokens Measure = "between_tokens"
)

// Measures lists all measures in report order.
var Measures = []Measure{MeasureProgram, MeasureCall, MeasureFirstToken, MeasureBetweenTokens}

// Range of the histograms in microseconds, and their precision in significant decimal digits.
const (
	minLatencyMicros  = 1
	maxLatencyMicros  = int64(time.Hour / time.Microsecond)
	significantDigits = 3
)

type seriesKey struct {
	measure Measure
	class   Class
}

// Stats collects the latencies and totals of a run. It is safe for concurrent use.
type Stats struct {
	mu               sync.Mutex
	histograms       map[seriesKey]*hdrhistogram.Histogram
	rejectionsByKind map[string]int64
	wrongResponses   []string
	counts           Counts
}

// Counts contains the totals of a run.
type Counts struct {
	Started    int64 `json:"started"`
	Finished   int64 `json:"finished"`
	Failed     int64 `json:"failed"`
	Unfinished int64 `json:"unfinished"`  // Programs still running when the run ended; they have no latency.
	NotStarted int64 `json:"not_started"` // Arrivals that exceeded the limit on running programs.
	Calls      int64 `json:"calls"`
	Repeats    int64 `json:"repeats"` // Retries with the same call key.
	Orders     int64 `json:"orders"`
	Unknown    int64 `json:"outcome_unknown"`
	Faults     int64 `json:"wrong_answers"`
}

// NewStats returns a Stats without any data.
func NewStats() *Stats {
	return &Stats{histograms: map[seriesKey]*hdrhistogram.Histogram{}, rejectionsByKind: map[string]int64{}}
}

// Observe records a latency. Values outside the range are clamped to it.
func (s *Stats) Observe(m Measure, c Class, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := seriesKey{m, c}
	h, ok := s.histograms[key]
	if !ok {
		h = hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits)
		s.histograms[key] = h
	}
	// RecordValue cannot fail, because the value is clamped to the range.
	_ = h.RecordValue(min(max(d.Microseconds(), minLatencyMicros), maxLatencyMicros))
}

// UpdateCounts calls f to update the totals.
func (s *Stats) UpdateCounts(f func(*Counts)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.counts)
}

// Counts returns a copy of the current totals.
func (s *Stats) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// CountError counts a failed request by its error kind, or as no_answer if there was no error response.
func (s *Stats) CountError(err error) {
	kind := "no_answer"
	var e *errkind.Error
	if asErrkind(err, &e) {
		kind = string(e.Kind)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejectionsByKind[kind]++
}

// maxDescribedWrongResponses bounds the number of wrong responses that the report describes. All are counted.
const maxDescribedWrongResponses = 20

// RecordWrongResponse counts a response that violates a guarantee of the system, and stores its description.
func (s *Stats) RecordWrongResponse(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Faults++
	if len(s.wrongResponses) < maxDescribedWrongResponses {
		s.wrongResponses = append(s.wrongResponses, text)
	}
}
