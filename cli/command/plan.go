package command

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"reflect"
	"slices"
	"strings"

	"jackdawbay.dev/api/records"
)

// action is what apply does with a record.
type action string

const (
	actionCreate    action = "create"
	actionUpdate    action = "update"
	actionDelete    action = "delete"
	actionUnchanged action = "unchanged"
)

// outcome is what became of a change.
type outcome string

const (
	outcomePlanned    outcome = "planned"
	outcomeApplied    outcome = "applied"
	outcomeNotApplied outcome = "not applied"
	outcomeUnknown    outcome = "unknown"
)

// change is one record of a plan.
type change struct {
	Record     string        `json:"record"`
	Action     action        `json:"action"`
	Outcome    outcome       `json:"outcome"`
	Generation int64         `json:"generation"` // After the change.
	Fields     []fieldChange `json:"fields,omitempty"`

	next    records.Record
	base    stored // What the change is based on. Its version is zero when the platform has no object.
	ordinal int    // Order of the kind.
}

// fieldChange is a field whose value changes. A value that does not exist is empty.
type fieldChange struct {
	Path string `json:"path"`
	Old  string `json:"old"`
	New  string `json:"new"`
}

// plan lists the changes in the order in which they are written: records before the records that refer to them, and
// deletions last in reverse order.
type plan struct {
	Changes []change `json:"changes"`
}

func (p plan) text(w io.Writer) {
	counts := map[string]int{}
	for _, c := range p.Changes {
		if c.Action == actionUnchanged {
			counts["unchanged"]++
			continue
		}
		counts[string(c.Outcome)]++
		_, _ = fmt.Fprintf(w, "%s: %s, generation %d, %s\n", c.Record, c.Action, c.Generation, c.Outcome)
		for _, f := range c.Fields {
			_, _ = fmt.Fprintf(w, "  %s: %s -> %s\n", f.Path, orNone(f.Old), orNone(f.New))
		}
	}
	var parts []string
	for _, k := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s: %d", k, counts[k]))
	}
	_, _ = fmt.Fprintf(w, "Number of records: %s.\n", strings.Join(parts, ", "))
}

func orNone(s string) string {
	if s == "" {
		return "(none)"
	}
	return s
}

// makePlan compares the records of a directory with those of the platform.
func makePlan(list []records.Record, all map[string]stored, prune bool) (plan, error) {
	var p plan
	wanted := map[string]bool{}
	for _, r := range list {
		wanted[r.Key()] = true
		c, err := planRecord(r, all[r.Key()])
		if err != nil {
			return plan{}, err
		}
		p.Changes = append(p.Changes, c)
	}
	for key, s := range all {
		if prune && !wanted[key] && !s.record.Deleted {
			c, err := planDeletion(key, s)
			if err != nil {
				return plan{}, err
			}
			p.Changes = append(p.Changes, c)
		}
	}
	slices.SortFunc(p.Changes, func(a, b change) int {
		return cmp.Or(cmp.Compare(a.ordinal, b.ordinal), cmp.Compare(a.Record, b.Record))
	})
	return p, nil
}

func planRecord(r records.Record, s stored) (change, error) {
	c := change{Record: r.Key(), Action: actionCreate, Outcome: outcomePlanned, base: s, ordinal: slices.Index(records.Kinds, r.Kind)}
	if s.version != 0 && s.err == nil && !s.record.Deleted {
		c.Action = actionUpdate
		same := r
		same.Generation = s.record.Generation
		if reflect.DeepEqual(same, s.record) {
			c.Action, c.Outcome, c.Generation = actionUnchanged, outcomeNotApplied, s.record.Generation
			return c, nil
		}
	}
	if s.err != nil {
		c.Action = actionUpdate
	}
	based := r.Generation
	r.Generation = s.record.Generation + 1
	c.next, c.Generation = r, r.Generation
	fields, err := compare(s, r)
	if err != nil {
		return c, err
	}
	c.Fields = fields
	if based != 0 && based != s.record.Generation {
		return c, conflict(c, fmt.Sprintf("The file is based on generation %d. The platform holds generation %d.", based, s.record.Generation), s.raw)
	}
	return c, nil
}

func planDeletion(key string, s stored) (change, error) {
	kind, name, _ := strings.Cut(key, ".")
	ordinal := slices.Index(records.Kinds, records.Kind(kind))
	if ordinal < 0 {
		return change{}, fail(ExitFault, ReasonStoredRecordInvalid, "The platform holds the object %s, which is not of a known kind.", key)
	}
	r := records.Record{Kind: records.Kind(kind), Name: name, Version: s.record.Version, Deleted: true, Generation: s.record.Generation + 1}
	if r.Version == "" {
		r.Version = records.V2
	}
	return change{Record: key, Action: actionDelete, Outcome: outcomePlanned, Generation: r.Generation, next: r, base: s,
		ordinal: 2*len(records.Kinds) - ordinal}, nil
}

// compare lists the fields that differ, in the version of the new record.
func compare(s stored, next records.Record) ([]fieldChange, error) {
	before := map[string]string{}
	if s.version != 0 && s.err == nil && !s.record.Deleted {
		old := s.record
		old.Version = next.Version
		var err error
		if before, err = flatten(old); err != nil {
			return nil, err
		}
		before["apiVersion"] = string(s.record.Version)
	}
	after, err := flatten(next)
	if err != nil {
		return nil, err
	}
	var list []fieldChange
	paths := maps.Clone(before)
	maps.Copy(paths, after)
	for _, path := range slices.Sorted(maps.Keys(paths)) {
		if before[path] != after[path] {
			list = append(list, fieldChange{Path: path, Old: before[path], New: after[path]})
		}
	}
	return list, nil
}

// flatten returns the values of a document by path, without its metadata.
func flatten(r records.Record) (map[string]string, error) {
	raw, err := records.EncodeStored(r)
	if err != nil {
		return nil, err
	}
	var doc map[string]any
	if err := json.Unmarshal(raw, &doc); err != nil {
		return nil, err
	}
	delete(doc, "metadata")
	delete(doc, "kind")
	values := map[string]string{}
	flattenInto(values, "", doc)
	return values, nil
}

func flattenInto(values map[string]string, path string, v any) {
	switch t := v.(type) {
	case map[string]any:
		for k, e := range t {
			flattenInto(values, strings.TrimPrefix(path+"."+k, "."), e)
		}
	case []any:
		for i, e := range t {
			flattenInto(values, fmt.Sprintf("%s[%d]", path, i), e)
		}
	case string:
		values[path] = t
	default:
		// Values that came from JSON can be encoded.
		raw, _ := json.Marshal(t)
		values[path] = string(raw)
	}
}

// conflict returns an error that shows both values of a record.
func conflict(c change, why string, current []byte) *Error {
	mine, err := records.EncodeStored(c.next)
	if err != nil {
		return asError(err)
	}
	theirs := "no object"
	if len(current) > 0 {
		theirs = string(current)
	}
	return fail(ExitConflict, ReasonConflict, "%s: %s\n  platform: %s\n  directory: %s", c.Record, why, theirs, mine)
}
