package agent

import (
	"jackdawbay.dev/api/caller"
)

// Told is what a caller finally knows about an order.
type ReportedOutcome string

// Values of Told.
const (
	ReportedDone    ReportedOutcome = "done"
	ReportedNotRun  ReportedOutcome = "not_run"
	ReportedUnknown ReportedOutcome = "unknown"
)

// Order is what the caller was told about one business key.
type Order struct {
	Key       string          `json:"key"`
	Outcome   ReportedOutcome `json:"told"`
	Responses []string        `json:"answers"` // Every answer in order: an error code with its not_run value, or done.
}

// Step is one call of a program.
type Step struct {
	Kind                string `json:"kind"`
	CallKey             string `json:"call_key"`
	Attempts            int    `json:"tries"`
	Error               string `json:"error,omitempty"` // Final refusal; empty for a result.
	DurationMillis      int64  `json:"ms"`
	FirstTextMillis     int64  `json:"first_ms,omitempty"`   // Until the first text of a model call.
	MaxTextGapMillis    int64  `json:"max_gap_ms,omitempty"` // Longest time between two pieces of text.
	PauseMillis         int64  `json:"pause_ms,omitempty"`   // Pause before the call.
	SinceLastTurnMillis int64  `json:"since_last_ms"`        // Time since the program's former answer, without the pause.
}

// Program is the caller's record of one program.
type Program struct {
	ID                    string        `json:"id"`
	RequestedBudgetTokens int64         `json:"budget"`
	Turns                 []caller.Turn `json:"turns"`
	Digest                string        `json:"digest"`
	Ended                 bool          `json:"ended"`
	Steps                 []Step        `json:"steps"`
	Orders                []Order       `json:"orders"`
	Violations            []string      `json:"faults,omitempty"` // Answers that broke a rule.
}

// Report is the record of one run.
type Report struct {
	Name             string    `json:"name"`
	Seed             uint64    `json:"seed"`
	Programs         []Program `json:"programs"`
	MaxTurnGapMillis int64     `json:"max_gap_ms"` // Longest time between two answers of a program, pauses left out.
}

// ReadReport reads the report of a run.
func ReadReport(path string) (Report, error) {
	var r Report
	err := readJSON(path, &r)
	return r, err
}

// Write stores the report.
func (r Report) Write(path string) error { return writeJSON(path, r) }
