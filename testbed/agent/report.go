package agent

import (
	"jackdawbay.dev/api/caller"
)

// Told is what a caller finally knows about an order.
type Told string

// Values of Told.
const (
	ToldDone    Told = "done"
	ToldNotRun  Told = "not_run"
	ToldUnknown Told = "unknown"
)

// Order is what the caller was told about one business key.
type Order struct {
	Key     string   `json:"key"`
	Told    Told     `json:"told"`
	Answers []string `json:"answers"` // Every answer in order: an error code with its not_run value, or done.
}

// Step is one call of a program.
type Step struct {
	Kind          string `json:"kind"`
	CallKey       string `json:"call_key"`
	Tries         int    `json:"tries"`
	Error         string `json:"error,omitempty"` // Final refusal; empty for a result.
	Millis        int64  `json:"ms"`
	FirstMillis   int64  `json:"first_ms,omitempty"`   // Until the first text of a model call.
	MaxGapMillis  int64  `json:"max_gap_ms,omitempty"` // Longest time between two pieces of text.
	PauseMillis   int64  `json:"pause_ms,omitempty"`   // Pause before the call.
	SinceLastTurn int64  `json:"since_last_ms"`        // Time since the program's former answer, without the pause.
}

// Program is the caller's record of one program.
type Program struct {
	ID     string        `json:"id"`
	Budget int64         `json:"budget"`
	Turns  []caller.Turn `json:"turns"`
	Digest string        `json:"digest"`
	Ended  bool          `json:"ended"`
	Steps  []Step        `json:"steps"`
	Orders []Order       `json:"orders"`
	Faults []string      `json:"faults,omitempty"` // Answers that broke a rule.
}

// Report is the record of one run.
type Report struct {
	Name         string    `json:"name"`
	Seed         uint64    `json:"seed"`
	Programs     []Program `json:"programs"`
	MaxGapMillis int64     `json:"max_gap_ms"` // Longest time between two answers of a program, pauses left out.
}

// ReadReport reads the report of a run.
func ReadReport(path string) (Report, error) {
	var r Report
	err := readJSON(path, &r)
	return r, err
}

// Write stores the report.
func (r Report) Write(path string) error { return writeJSON(path, r) }
