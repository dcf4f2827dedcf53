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

// action is the operation that apply performs on a record.
type action string

const (
	actionCreate    action = "create"
	actionUpdate    action = "update"
	actionDelete    action = "delete"
	actionUnchanged action = "unchanged"
)

// outcome is the outcome of a change.
type outcome string

const (
	outcomePlanned    outcome = "planned"
	outcomeApplied    outcome = "applied"
	outcomeNotApplied outcome = "not applied"
	outcomeUnknown    outcome = "unknown"
)

// change is the planned change of one record.
type change struct {
	Record     string        `json:"record"`
	Action     action        `json:"action"`
	Outcome    outcome       `json:"outcome"`
	Generation int64         `json:"generation"` // Generation after the change.
	Fields     []fieldChange `json:"fields,omitempty"`

	newRecord  records.Record
	base       storedRecord // Stored record that the change is based on. Its version is 0 if the platform has no object.
	writeOrder int          // Position of the kind in the write order.
}

// fieldChange is the change of a field. Old or New is empty if the field has no value.
type fieldChange struct {
	Path string `json:"path"`
	Old  string `json:"old"`
	New  string `json:"new"`
}

// plan contains the changes in write order. A record is written before the records that refer to it. Deletions come
// last, in reverse order.
type plan struct {
	Changes []change `json:"changes"`
}

func (p plan) writeText(w io.Writer) {
	counts := map[string]int{}
	for _, c := range p.Changes {
		if c.Action == actionUnchanged {
			counts["unchanged"]++
			continue
		}
		counts[string(c.Outcome)]++
		_, _ = fmt.Fprintf(w, "%s: %s, generation %d, %s\n", c.Record, c.Action, c.Generation, c.Outcome)
		for _, f := range c.Fields {
			_, _ = fmt.Fprintf(w, "  %s: %s -> %s\n", f.Path, valueOrNone(f.Old), valueOrNone(f.New))
		}
	}
	var parts []string
	for _, k := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s: %d", k, counts[k]))
	}
	_, _ = fmt.Fprintf(w, "Number of records: %s.\n", strings.Join(parts, ", "))
}

func valueOrNone(s string) string {
	if s == "" {
		return "(none)"
	}
	return s
}

// makePlan returns the changes from the stored records to those of a directory.
func makePlan(directoryRecords []records.Record, storedRecords map[string]storedRecord, prune bool) (plan, error) {
	var p plan
	inDirectory := map[string]bool{}
	for _, r := range directoryRecords {
		inDirectory[r.Key()] = true
		c, err := planRecord(r, storedRecords[r.Key()])
		if err != nil {
			return plan{}, err
		}
		p.Changes = append(p.Changes, c)
	}
	for key, s := range storedRecords {
		if prune && !inDirectory[key] && !s.record.Deleted {
			c, err := planDeletion(key, s)
			if err != nil {
				return plan{}, err
			}
			p.Changes = append(p.Changes, c)
		}
	}
	slices.SortFunc(p.Changes, func(a, b change) int {
		return cmp.Or(cmp.Compare(a.writeOrder, b.writeOrder), cmp.Compare(a.Record, b.Record))
	})
	return p, nil
}

func planRecord(r records.Record, current storedRecord) (change, error) {
	c := change{Record: r.Key(), Action: actionCreate, Outcome: outcomePlanned, base: current, writeOrder: slices.Index(records.Kinds, r.Kind)}
	if current.version != 0 && current.err == nil && !current.record.Deleted {
		c.Action = actionUpdate
		unchanged := r
		unchanged.Generation = current.record.Generation
		if reflect.DeepEqual(unchanged, current.record) {
			c.Action, c.Outcome, c.Generation = actionUnchanged, outcomeNotApplied, current.record.Generation
			return c, nil
		}
	}
	if current.err != nil {
		c.Action = actionUpdate
	}
	baseGeneration := r.Generation
	r.Generation = current.record.Generation + 1
	c.newRecord, c.Generation = r, r.Generation
	fields, err := diffFields(current, r)
	if err != nil {
		return c, err
	}
	c.Fields = fields
	if baseGeneration != 0 && baseGeneration != current.record.Generation {
		return c, conflictError(c, fmt.Sprintf("The file is based on generation %d. The platform has generation %d.", baseGeneration, current.record.Generation), current.raw)
	}
	return c, nil
}

func planDeletion(key string, current storedRecord) (change, error) {
	kind, name, _ := strings.Cut(key, ".")
	kindIndex := slices.Index(records.Kinds, records.Kind(kind))
	if kindIndex < 0 {
		return change{}, newError(ExitFault, ReasonStoredRecordInvalid, "The platform stores the object %s, whose kind is unknown.", key)
	}
	r := records.Record{Kind: records.Kind(kind), Name: name, Version: current.record.Version, Deleted: true, Generation: current.record.Generation + 1}
	if r.Version == "" {
		r.Version = records.V2
	}
	return change{Record: key, Action: actionDelete, Outcome: outcomePlanned, Generation: r.Generation, newRecord: r, base: current,
		writeOrder: 2*len(records.Kinds) - kindIndex}, nil
}

// diffFields returns the fields that differ, in the document version of the new record.
func diffFields(current storedRecord, next records.Record) ([]fieldChange, error) {
	before := map[string]string{}
	if current.version != 0 && current.err == nil && !current.record.Deleted {
		old := current.record
		old.Version = next.Version
		var err error
		if before, err = flatten(old); err != nil {
			return nil, err
		}
		before["apiVersion"] = string(current.record.Version)
	}
	after, err := flatten(next)
	if err != nil {
		return nil, err
	}
	var changes []fieldChange
	paths := maps.Clone(before)
	maps.Copy(paths, after)
	for _, path := range slices.Sorted(maps.Keys(paths)) {
		if before[path] != after[path] {
			changes = append(changes, fieldChange{Path: path, Old: before[path], New: after[path]})
		}
	}
	return changes, nil
}

// flatten returns the field values of a document by path, without its kind and metadata.
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
		// Encoding cannot fail, because the value was decoded from JSON.
		raw, _ := json.Marshal(t)
		values[path] = string(raw)
	}
}

// conflictError returns an error whose message contains both values of a record.
func conflictError(c change, reason string, current []byte) *Error {
	newValue, err := records.EncodeStored(c.newRecord)
	if err != nil {
		return toError(err)
	}
	currentValue := "no object"
	if len(current) > 0 {
		currentValue = string(current)
	}
	return newError(ExitConflict, ReasonConflict, "%s: %s\n  platform: %s\n  directory: %s", c.Record, reason, currentValue, newValue)
}
