package load

import (
	"encoding/csv"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Latency summarises the latencies of a measure and a class in milliseconds.
type Latency struct {
	Measure Measure `json:"measure"`
	Class   Class   `json:"class"`
	Count   int64   `json:"count"`
	Mean    float64 `json:"mean_ms"`
	P50     float64 `json:"p50_ms"`
	P95     float64 `json:"p95_ms"`
	P99     float64 `json:"p99_ms"`
	Max     float64 `json:"max_ms"`
}

// Report is the report of a run. Latencies are in milliseconds.
type Report struct {
	Seed           uint64           `json:"seed"`
	Rate           float64          `json:"programs_per_second"`
	Seconds        float64          `json:"seconds"`
	Counts         Counts           `json:"counts"`
	Latency        []Latency        `json:"latency"`
	Rejections     map[string]int64 `json:"refusals"`
	WrongResponses []string         `json:"wrong_answers,omitempty"`
	Failures       []string         `json:"failures,omitempty"`
}

const microsPerMilli = 1000

func summariseHistogram(m Measure, c Class, h *hdrhistogram.Histogram) Latency {
	quantileMillis := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / microsPerMilli }
	return Latency{
		Measure: m,
		Class:   c,
		Count:   h.TotalCount(),
		Mean:    h.Mean() / microsPerMilli,
		P50:     quantileMillis(50),
		P95:     quantileMillis(95),
		P99:     quantileMillis(99),
		Max:     float64(h.Max()) / microsPerMilli,
	}
}

// Report returns a report of the data collected so far.
func (s *Stats) Report() Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := Report{Counts: s.counts, Rejections: maps.Clone(s.rejectionsByKind), WrongResponses: slices.Clone(s.wrongResponses), Latency: []Latency{}}
	for _, m := range Measures {
		for _, c := range Classes {
			if h, ok := s.histograms[seriesKey{m, c}]; ok {
				r.Latency = append(r.Latency, summariseHistogram(m, c, h))
			}
		}
	}
	return r
}

// WriteText writes the report as text.
func (r Report) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "latency in ms\tclass\tcount\tmean\tp50\tp95\tp99\tmax\t\n")
	for _, l := range r.Latency {
		fmt.Fprintf(t, "%s\t%s\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t\n", l.Measure, l.Class, l.Count, l.Mean, l.P50, l.P95, l.P99, l.Max)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	c := r.Counts
	fmt.Fprintf(w, "\nseed %d, %.1f programs per second, %.1f s\n", r.Seed, r.Rate, r.Seconds)
	fmt.Fprintf(w, "programs: %d started, %d finished, %d failed, %d unfinished at the end, %d not started (too many running)\n", c.Started, c.Finished, c.Failed, c.Unfinished, c.NotStarted)
	fmt.Fprintf(w, "calls: %d, orders sent: %d, retries: %d, outcome unknown: %d, wrong responses: %d\n", c.Calls, c.Orders, c.Repeats, c.Unknown, c.Faults)
	for _, kind := range slices.Sorted(maps.Keys(r.Rejections)) {
		fmt.Fprintf(w, "rejected with %s: %d\n", kind, r.Rejections[kind])
	}
	for _, f := range r.WrongResponses {
		fmt.Fprintf(w, "wrong response: %s\n", f)
	}
	for _, f := range r.Failures {
		fmt.Fprintf(w, "failed: %s\n", f)
	}
	return nil
}

// WriteJSON writes the report as indented JSON.
func (r Report) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(r)
}

// WritePlot writes the cumulative latency distributions as CSV, with one row for each step of a histogram. A
// spreadsheet can draw the rows as a cumulative curve.
func (s *Stats) WritePlot(w io.Writer) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := csv.NewWriter(w)
	rows := [][]string{{"measure", "class", "percentile", "ms", "count"}}
	for _, m := range Measures {
		for _, c := range Classes {
			if h, ok := s.histograms[seriesKey{m, c}]; ok {
				rows = append(rows, plotRows(m, c, h)...)
			}
		}
	}
	return out.WriteAll(rows)
}

func plotRows(m Measure, c Class, h *hdrhistogram.Histogram) [][]string {
	var rows [][]string
	for _, b := range h.CumulativeDistribution() {
		rows = append(rows, []string{
			string(m),
			string(c),
			strconv.FormatFloat(b.Quantile, 'f', 4, 64),
			strconv.FormatFloat(float64(b.ValueAt)/microsPerMilli, 'f', 3, 64),
			strconv.FormatInt(b.Count, 10),
		})
	}
	return rows
}

// progress returns one line that describes the progress of a run.
func (c Counts) progress(elapsed time.Duration) string {
	return fmt.Sprintf("%4.0f s: %d programs started, %d finished, %d failed, %d calls, %d wrong responses",
		elapsed.Seconds(), c.Started, c.Finished, c.Failed, c.Calls, c.Faults)
}
