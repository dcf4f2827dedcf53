package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"jackdawbay.dev/api/errkind"
)

// Measure names one latency.
type Measure string

// Measures, in the order of reports.
const (
	MeasureProgram       Measure = "program"
	MeasureCall          Measure = "call"
	MeasureFirstToken    Measure = "first_token"
	MeasureBetweenTokens Measure = "between_tokens"
)

// Measures lists the measures in the order of reports.
var Measures = []Measure{MeasureProgram, MeasureCall, MeasureFirstToken, MeasureBetweenTokens}

// Bounds of the histograms in microseconds, and their precision in decimal digits.
const (
	lowestMicros  = 1
	highestMicros = int64(time.Hour / time.Microsecond)
	digits        = 3
)

type seriesKey struct {
	measure Measure
	class   Class
}

// Stats collects what a run measures. It is safe for concurrent use.
type Stats struct {
	mu       sync.Mutex
	series   map[seriesKey]*hdrhistogram.Histogram
	refusals map[string]int64
	faults   []string
	counts   Counts
}

// Counts are the totals of a run.
type Counts struct {
	Started    int64 `json:"started"`
	Finished   int64 `json:"finished"`
	Failed     int64 `json:"failed"`
	Unfinished int64 `json:"unfinished"`  // Programs that the end of the run cut off; they have no latency.
	NotStarted int64 `json:"not_started"` // Arrivals above the bound on programs under way.
	Calls      int64 `json:"calls"`
	Repeats    int64 `json:"repeats"` // Requests sent again with the same call key.
	Orders     int64 `json:"orders"`
	Unknown    int64 `json:"outcome_unknown"`
	Faults     int64 `json:"wrong_answers"`
}

// NewStats returns empty statistics.
func NewStats() *Stats {
	return &Stats{series: map[seriesKey]*hdrhistogram.Histogram{}, refusals: map[string]int64{}}
}

// Observe records one latency. Values above the range count as its upper end.
func (s *Stats) Observe(m Measure, c Class, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := seriesKey{m, c}
	h, ok := s.series[key]
	if !ok {
		h = hdrhistogram.New(lowestMicros, highestMicros, digits)
		s.series[key] = h
	}
	// The value is clamped to the range, so it cannot be refused.
	_ = h.RecordValue(min(max(d.Microseconds(), lowestMicros), highestMicros))
}

// Count changes the totals.
func (s *Stats) UpdateCounts(f func(*Counts)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.counts)
}

// Counts returns the totals so far.
func (s *Stats) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Refused counts an answer that is not a result, by its kind.
func (s *Stats) CountError(err error) {
	kind := "no_answer"
	var e *errkind.Error
	if asKind(err, &e) {
		kind = string(e.Kind)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusals[kind]++
}

// maxFaults bounds the wrong answers that are described; all are counted.
const maxFaults = 20

// Fault records an answer that breaks a promise of the system.
func (s *Stats) RecordWrongResponse(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Faults++
	if len(s.faults) < maxFaults {
		s.faults = append(s.faults, text)
	}
}
