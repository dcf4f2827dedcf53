package agent

import (
	"jackdawbay.dev/api/caller"
)

// ReportedOutcome is the final outcome of an order as reported to its caller.
type ReportedOutcome string

// Reported outcomes.
const (
	ReportedDone    ReportedOutcome = "done"
	ReportedNotRun  ReportedOutcome = "not_run"
	ReportedUnknown ReportedOutcome = "unknown"
)

// Order is the caller's record of one business key.
type Order struct {
	Key       string          `json:"key"`
	Outcome   ReportedOutcome `json:"told"`
	Responses []string        `json:"answers"` // All responses in order: an error code with its not_run value, "not_sent", "no_answer" or "done".
}

// Step is the record of one call of a program.
type Step struct {
	Kind                string `json:"kind"`
	CallKey             string `json:"call_key"`
	Attempts            int    `json:"tries"`
	Error               string `json:"error,omitempty"` // Kind of the final error. Empty for a result.
	DurationMillis      int64  `json:"ms"`
	FirstTextMillis     int64  `json:"first_ms,omitempty"`   // Until the first text of a model call.
	MaxTextGapMillis    int64  `json:"max_gap_ms,omitempty"` // Maximum time between two pieces of text.
	PauseMillis         int64  `json:"pause_ms,omitempty"`   // Pause before the call.
	SinceLastTurnMillis int64  `json:"since_last_ms"`        // Since the program's previous response, without the pause.
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
	Violations            []string      `json:"faults,omitempty"` // Responses that violate an invariant.
}

// Report is the record of one run.
type Report struct {
	Name             string    `json:"name"`
	Seed             uint64    `json:"seed"`
	Programs         []Program `json:"programs"`
	MaxTurnGapMillis int64     `json:"max_gap_ms"` // Maximum time between two responses of a program, without pauses.
}

// ReadReport reads a report from a JSON file.
func ReadReport(path string) (Report, error) {
	var r Report
	err := readJSON(path, &r)
	return r, err
}

// Write writes the report to a JSON file.
func (r Report) Write(path string) error { return writeJSON(path, r) }
