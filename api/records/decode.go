package records

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"sigs.k8s.io/yaml"
)

// Form is the syntax of an encoded document.
type Encoding string

// Forms of documents.
const (
	YAML Encoding = "yaml"
	JSON Encoding = "json"
)

// header holds the fields around the spec.
var (
	nameField = Field{Name: "name", Type: TypeString, Required: true, Min: 1, Max: 63,
		Doc: "Name of the record. Unique within its kind."}
	generationField = Field{Name: "generation", Type: TypeInteger, Max: maxInteger, Default: int64(0),
		Doc: "Rises by one with each accepted change. An operator may write the generation that a change is based on; apply then refuses the change when the platform holds another generation. Zero: no check."}
)

// Decode parses the documents of a file in YAML or JSON; YAML documents are separated by a line with three hyphens. It
// refuses everything that the schema does not allow. The error is a Faults with all faults; the records without a fault
// are returned as well.
func Decode(data []byte) ([]Record, error) {
	var list []Record
	var faults Faults
	found := false
	for _, part := range split(data) {
		n, errs := parseText(part.text, part.firstLine)
		if len(errs) == 0 && n.kind == nodeNull {
			continue
		}
		found = true
		r, more := Record{}, Faults(nil)
		if n != nil {
			r, more = decodeNode(n, false)
		}
		errs = append(errs, more...)
		for i := range errs {
			if r.Kind != "" && r.Name != "" {
				errs[i].Record = r.Key()
			}
		}
		faults = append(faults, errs...)
		if len(errs) == 0 {
			list = append(list, r)
		}
	}
	if !found {
		faults = append(faults, Fault{Reason: ReasonNoDocument, Message: "The file has no document.", Allowed: "one or more documents"})
	}
	return list, faults.err()
}

// part is one document of a file.
type part struct {
	text      []byte
	firstLine int
}

// split separates YAML documents. A separator is a line that starts with three hyphens in the first column, which cannot
// be part of a block scalar.
func split(data []byte) []part {
	if json.Valid(data) {
		return []part{{text: data}}
	}
	var parts []part
	var text []byte
	first := 0
	for i, line := range bytes.SplitAfter(data, []byte("\n")) {
		trimmed := bytes.TrimRight(line, " \t\r\n")
		if bytes.Equal(trimmed, []byte("---")) || bytes.HasPrefix(trimmed, []byte("--- #")) {
			parts = append(parts, part{text: text, firstLine: first})
			text, first = nil, i+1
			continue
		}
		text = append(text, line...)
	}
	return append(parts, part{text: text, firstLine: first})
}

// decodeNode converts a parsed document. A stored document has a generation and may be a tombstone.
func decodeNode(n *node, stored bool) (Record, Faults) {
	c := &checker{}
	r, ok := c.header(n, stored)
	if !ok {
		return r, c.faults
	}
	allowed := []string{"apiVersion", "kind", "metadata", "spec"}
	if stored {
		allowed = append(allowed, "deleted")
	}
	for _, m := range n.members {
		if !slices.Contains(allowed, m.key) {
			c.unknown(Field{Type: TypeObject, Fields: []Field{{Name: strings.Join(allowed, ", ")}}}, m, "")
		}
	}
	if r.Deleted {
		if n.get("spec") != nil {
			c.faults = append(c.faults, Fault{Reason: ReasonUnknownField, Path: "spec", Message: "A deleted record has no spec."})
		}
		return r, c.faults
	}
	spec := c.check(c.schema.Spec, n.get("spec"), "spec")
	if len(c.faults) > 0 {
		return r, c.faults
	}
	if err := r.setSpec(spec); err != nil {
		return r, Faults{{Reason: ReasonSyntaxError, Path: "spec", Message: "The spec cannot be converted: " + err.Error() + "."}}
	}
	return r, nil
}

// header reads version, kind, name and generation. It returns false when the schema of the spec is not known.
func (c *checker) header(n *node, stored bool) (Record, bool) {
	var r Record
	document := Field{Type: TypeObject, Fields: []Field{{Name: "apiVersion"}, {Name: "kind"}, {Name: "metadata"}, {Name: "spec"}}}
	if !c.typed(document, n, "", nodeObject) {
		return r, false
	}
	versions := make([]string, len(Versions))
	for i, v := range Versions {
		versions[i] = string(v)
	}
	kinds := make([]string, len(Kinds))
	for i, k := range Kinds {
		kinds[i] = string(k)
	}
	version, okVersion := c.oneOf(n, "apiVersion", versions, ReasonWrongVersion)
	kind, okKind := c.oneOf(n, "kind", kinds, ReasonUnknownKind)
	if okKind {
		r.Kind = Kind(kind)
		c.hide = r.Kind == KindTenant
	}
	if okVersion {
		r.Version = Version(version)
	}
	c.schema, _ = Schema(r.Version, r.Kind)
	c.metadata(n, &r, stored)
	if d := n.get("deleted"); stored && d != nil {
		r.Deleted = d.kind == nodeBoolean && d.text == "true"
		c.check(Field{Name: "deleted", Type: TypeBoolean}, d, "deleted")
	}
	return r, okVersion && okKind
}

func (c *checker) oneOf(n *node, key string, values []string, reason Reason) (string, bool) {
	f := Field{Name: key, Type: TypeString, Required: true, Enum: values}
	before := len(c.faults)
	v, _ := c.check(f, n.get(key), key).(string)
	if len(c.faults) == before {
		return v, true
	}
	if last := &c.faults[len(c.faults)-1]; last.Reason == ReasonNotInList {
		last.Reason = reason
	}
	return "", false
}

func (c *checker) metadata(n *node, r *Record, stored bool) {
	name, generation := nameField, generationField
	name.Format = nameFormat(r.Kind)
	if stored {
		generation.Min, generation.Required = 1, true
	}
	meta := Field{Name: "metadata", Type: TypeObject, Required: true, Fields: []Field{name, generation}}
	before := len(c.faults)
	values, _ := c.check(meta, n.get("metadata"), "metadata").(map[string]any)
	if len(c.faults) > before {
		return
	}
	r.Name, _ = values["name"].(string)
	r.Generation, _ = values["generation"].(int64)
}

// document is the form of a record on the wire.
type document struct {
	APIVersion Version  `json:"apiVersion"`
	Kind       Kind     `json:"kind"`
	Metadata   metadata `json:"metadata"`
	Deleted    bool     `json:"deleted,omitempty"`
	Spec       any      `json:"spec,omitempty"`
}

type metadata struct {
	Name       string `json:"name"`
	Generation int64  `json:"generation,omitempty"`
}

// Encode writes a record in its Version; an empty Version is the newest one. A record that the decoder would refuse is
// an error.
func Encode(r Record, form Encoding) ([]byte, error) {
	raw, err := encodeJSON(r)
	if err != nil {
		return nil, err
	}
	n, faults := parseJSON(raw)
	if len(faults) == 0 {
		_, faults = decodeNode(n, r.Deleted)
	}
	if len(faults) > 0 {
		return nil, faults
	}
	if form == YAML {
		return yaml.JSONToYAML(raw)
	}
	var out bytes.Buffer
	if err := json.Indent(&out, raw, "", "  "); err != nil {
		return nil, err
	}
	out.WriteByte('\n')
	return out.Bytes(), nil
}

func encodeJSON(r Record) ([]byte, error) {
	if r.Version == "" {
		r.Version = Versions[len(Versions)-1]
	}
	d := document{APIVersion: r.Version, Kind: r.Kind, Deleted: r.Deleted, Metadata: metadata{Name: r.Name, Generation: r.Generation}}
	if !r.Deleted {
		spec, err := r.spec()
		if err != nil {
			return nil, err
		}
		d.Spec = spec
	}
	return json.Marshal(d)
}

// EncodeStored returns the value that the platform holds for a record: the document in the version in which the operator
// wrote it, with its generation. A tombstone has deleted: true and no spec.
func EncodeStored(r Record) ([]byte, error) {
	raw, err := encodeJSON(r)
	if err != nil {
		return nil, err
	}
	if _, err := DecodeStored(raw); err != nil {
		return nil, err
	}
	return raw, nil
}

// DecodeStored reads a value of the platform.
func DecodeStored(value []byte) (Record, error) {
	if !json.Valid(value) {
		return Record{}, Faults{{Reason: ReasonNotStored, Message: "The value is not valid JSON."}}
	}
	n, faults := parseText(value, 0)
	if n == nil {
		return Record{}, faults
	}
	r, more := decodeNode(n, true)
	return r, append(faults, more...).err()
}

// DecodeStoredGeneration reads only the generation of a value of the platform. It serves to replace a value that DecodeStored
// refuses, for example one that a newer tool wrote.
func DecodeStoredGeneration(value []byte) (int64, error) {
	n, _ := parseText(value, 0)
	if n != nil {
		if meta := n.get("metadata"); meta != nil {
			if g := meta.get("generation"); g != nil && g.kind == nodeNumber {
				if i, err := strconv.ParseInt(g.text, 10, 64); err == nil && i > 0 {
					return i, nil
				}
			}
		}
	}
	return 0, Faults{{Reason: ReasonNotStored, Path: "metadata.generation", Message: "The value has no generation.",
		Allowed: fmt.Sprintf("a whole number from 1 to %d", int64(maxInteger))}}
}
