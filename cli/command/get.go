package command

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"jackdawbay.dev/api/records"
)

// Get prints the records that the platform stores.
type Get struct {
	Kind string `arg:"" help:"Kind of the records."`
	Name string `arg:"" optional:"" help:"Name of the record."`
}

type getReport struct {
	Records    []json.RawMessage `json:"records"`
	Unreadable []string          `json:"unreadable,omitempty"` // Keys of the records of the kind whose values cannot be decoded.
	yaml       []byte
}

func (r getReport) writeText(w io.Writer) {
	_, _ = w.Write(r.yaml)
	for _, key := range r.Unreadable {
		_, _ = fmt.Fprintf(w, "# %s: The value cannot be read.\n", key)
	}
}

// Run executes the verb.
func (c *Get) Run(env *environment) error {
	if err := validateKind(c.Kind); err != nil {
		return err
	}
	platform, err := env.connect(env.globals)
	if err != nil {
		return err
	}
	storedRecords, err := loadStoredRecords(env.ctx, platform)
	if err != nil {
		return err
	}
	out := getReport{Records: []json.RawMessage{}}
	sortedRecords := liveRecords(storedRecords)
	slices.SortFunc(sortedRecords, func(a, b records.Record) int { return cmp.Compare(a.Name, b.Name) })
	for _, r := range sortedRecords {
		if string(r.Kind) != c.Kind || c.Name != "" && r.Name != c.Name {
			continue
		}
		if err := out.addRecord(r); err != nil {
			return err
		}
	}
	for _, key := range slices.Sorted(maps.Keys(storedRecords)) {
		if storedRecords[key].err != nil && strings.HasPrefix(key, c.Kind+".") {
			out.Unreadable = append(out.Unreadable, key)
		}
	}
	env.report = out
	if c.Name != "" && len(out.Records) == 0 {
		env.report = nil
		return notFoundError(c.Kind+"."+c.Name, storedRecords)
	}
	return nil
}

func (r *getReport) addRecord(rec records.Record) error {
	text, err := records.Encode(rec, records.YAML)
	if err != nil {
		return err
	}
	raw, err := records.Encode(rec, records.JSON)
	if err != nil {
		return err
	}
	if len(r.yaml) > 0 {
		r.yaml = append(r.yaml, "---\n"...)
	}
	r.yaml = append(r.yaml, text...)
	r.Records = append(r.Records, raw)
	return nil
}

func notFoundError(key string, storedRecords map[string]storedRecord) *Error {
	s, ok := storedRecords[key]
	switch {
	case ok && s.err != nil:
		return newError(ExitFault, ReasonStoredRecordInvalid, "The platform stores a value for %s that cannot be read: %s", key, s.err)
	case ok:
		return newError(ExitFault, ReasonRecordNotFound, "The record %s was deleted with generation %d.", key, s.record.Generation)
	}
	return newError(ExitFault, ReasonRecordNotFound, "The record %s does not exist.", key)
}

func validateKind(kind string) error {
	if !slices.Contains(records.Kinds, records.Kind(kind)) {
		return newError(ExitUsage, ReasonBadUsage, "The kind %q does not exist. Allowed: one of %v.", kind, records.Kinds)
	}
	return nil
}
