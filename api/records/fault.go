package records

import (
	"cmp"
	"slices"
	"strings"
)

// Reason identifies the kind of a validation error in a document or between records.
type Reason string

// Reasons for faults in one document.
const (
	ReasonSyntaxError    Reason = "SyntaxError"
	ReasonTooLarge       Reason = "TooLarge"
	ReasonNoDocument     Reason = "NoDocument"
	ReasonWrongVersion   Reason = "WrongVersion"
	ReasonUnknownKind    Reason = "UnknownKind"
	ReasonUnknownField   Reason = "UnknownField"
	ReasonMissingField   Reason = "MissingField"
	ReasonDuplicateKey   Reason = "DuplicateKey"
	ReasonDuplicateItem  Reason = "DuplicateItem"
	ReasonWrongType      Reason = "WrongType"
	ReasonWrongUnit      Reason = "WrongUnit"
	ReasonWrongFormat    Reason = "WrongFormat"
	ReasonNotInList      Reason = "NotInList"
	ReasonOutOfBounds    Reason = "OutOfBounds"
	ReasonNotStored      Reason = "NotStored"
	ReasonUnreadableFile Reason = "UnreadableFile"
	ReasonUnknownFile    Reason = "UnknownFile"
)

// Reasons for contradictions between the records of a set.
const (
	ReasonDuplicateRecord      Reason = "DuplicateRecord"
	ReasonUnknownDataCentre    Reason = "UnknownDataCentre"
	ReasonUnknownGroup         Reason = "UnknownGroup"
	ReasonUnknownTenant        Reason = "UnknownTenant"
	ReasonUnknownProgram       Reason = "UnknownProgram"
	ReasonGroupWithoutEngine   Reason = "GroupWithoutEngine"
	ReasonTooManyReplicas      Reason = "TooManyReplicas"
	ReasonOutputAboveContext   Reason = "OutputAboveContext"
	ReasonSharesAboveOne       Reason = "SharesAboveOne"
	ReasonProgramAboveDay      Reason = "ProgramAboveDay"
	ReasonDuplicateKeyHash     Reason = "DuplicateKeyHash"
	ReasonDuplicateAddress     Reason = "DuplicateAddress"
	ReasonDuplicateClass       Reason = "DuplicateClass"
	ReasonDuplicateBudget      Reason = "DuplicateBudget"
	ReasonDuplicatePlacement   Reason = "DuplicatePlacement"
	ReasonDuplicateRoute       Reason = "DuplicateRoute"
	ReasonDuplicateResolution  Reason = "DuplicateResolution"
	ReasonMissingGroup         Reason = "MissingGroup"
	ReasonEngineFieldOnService Reason = "EngineFieldOnService"
	ReasonServiceFieldOnEngine Reason = "ServiceFieldOnEngine"
)

// hiddenValue replaces a secret value in messages.
const hiddenValue = "(hidden)"

// Fault is a validation error that an operator must correct.
type Fault struct {
	Reason  Reason `json:"reason"`
	File    string `json:"file,omitempty"`
	Record  string `json:"record,omitempty"` // <Kind>.<name>, if the document contains both.
	Path    string `json:"path,omitempty"`   // Path of the field, for example spec.routes[0].timeout.
	Value   string `json:"value,omitempty"`
	Allowed string `json:"allowed,omitempty"` // Description of the values that the field accepts.
	Message string `json:"message"`
}

// Error implements error.
func (f Fault) Error() string {
	var sb strings.Builder
	for _, s := range []string{f.File, f.Record, f.Path} {
		if s != "" {
			sb.WriteString(s + ": ")
		}
	}
	sb.WriteString(string(f.Reason) + ": " + f.Message)
	if f.Value != "" {
		sb.WriteString(" Value: " + f.Value + ".")
	}
	if f.Allowed != "" {
		sb.WriteString(" Allowed: " + f.Allowed + ".")
	}
	return sb.String()
}

// Faults is a list of validation errors.
type Faults []Fault

// Error implements error. It returns one fault per line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i := range f {
		lines[i] = f[i].Error()
	}
	return strings.Join(lines, "\n")
}

// errOrNil returns f as an error, or nil if f is empty.
func (f Faults) errOrNil() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// sortFaults sorts faults by file, record, path and reason, so that the output is deterministic.
func sortFaults(f Faults) {
	slices.SortStableFunc(f, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Record, b.Record), cmp.Compare(a.Path, b.Path),
			cmp.Compare(a.Reason, b.Reason))
	})
}
