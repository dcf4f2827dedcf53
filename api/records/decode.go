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

// Encoding is the syntax of an encoded document.
type Encoding string

// Document encodings.
const (
	YAML Encoding = "yaml"
	JSON Encoding = "json"
)

// Metadata fields.
var (
	nameField = Field{Name: "name", Type: TypeString, Required: true, Min: 1, Max: 63,
		Doc: "Name of the record. Unique within its kind."}
	generationField = Field{Name: "generation", Type: TypeInteger, Max: maxInteger, Default: int64(0),
		Doc: "Rises by one with each accepted change. An operator may write the generation that a change is based on; apply then refuses the change when the platform holds another generation. Zero: no check."}
)

// Decode parses the documents of a YAML or JSON file. YAML documents are separated by a line with three hyphens. Decode
// rejects everything that the schema does not allow. The error is of type Faults and contains all faults. The records
// without a fault are returned also if there is an error.
func Decode(data []byte) ([]Record, error) {
	var decodedRecords []Record
	var faults Faults
	hasDocument := false
	for _, part := range splitDocuments(data) {
		n, errs := parseDocument(part.text, part.lineOffset)
		if len(errs) == 0 && n.kind == nodeNull {
			continue
		}
		hasDocument = true
		r, documentFaults := Record{}, Faults(nil)
		if n != nil {
			r, documentFaults = decodeDocument(n, false)
		}
		errs = append(errs, documentFaults...)
		for i := range errs {
			if r.Kind != "" && r.Name != "" {
				errs[i].Record = r.Key()
			}
		}
		faults = append(faults, errs...)
		if len(errs) == 0 {
			decodedRecords = append(decodedRecords, r)
		}
	}
	if !hasDocument {
		faults = append(faults, Fault{Reason: ReasonNoDocument, Message: "The file has no document.", Allowed: "one or more documents"})
	}
	return decodedRecords, faults.errOrNil()
}

// documentPart is the text of one document of a file. lineOffset is the number of lines before it.
type documentPart struct {
	text       []byte
	lineOffset int
}

// splitDocuments splits a file into its YAML documents. A separator is a line that starts with three hyphens in the
// first column, optionally followed by a comment. Such a line cannot be part of a block scalar.
func splitDocuments(data []byte) []documentPart {
	if json.Valid(data) {
		return []documentPart{{text: data}}
	}
	var parts []documentPart
	var text []byte
	offset := 0
	for i, line := range bytes.SplitAfter(data, []byte("\n")) {
		trimmed := bytes.TrimRight(line, " \t\r\n")
		if bytes.Equal(trimmed, []byte("---")) || bytes.HasPrefix(trimmed, []byte("--- #")) {
			parts = append(parts, documentPart{text: text, lineOffset: offset})
			text, offset = nil, i+1
			continue
		}
		text = append(text, line...)
	}
	return append(parts, documentPart{text: text, lineOffset: offset})
}

// decodeDocument converts a parsed document to a record. A stored document must have a generation and may be a
// tombstone.
func decodeDocument(n *node, stored bool) (Record, Faults) {
	c := &checker{}
	r, ok := c.decodeHeader(n, stored)
	if !ok {
		return r, c.faults
	}
	allowed := []string{"apiVersion", "kind", "metadata", "spec"}
	if stored {
		allowed = append(allowed, "deleted")
	}
	for _, m := range n.members {
		if !slices.Contains(allowed, m.key) {
			c.addUnknownField(Field{Type: TypeObject, Fields: []Field{{Name: strings.Join(allowed, ", ")}}}, m, "")
		}
	}
	if r.Deleted {
		if n.get("spec") != nil {
			c.faults = append(c.faults, Fault{Reason: ReasonUnknownField, Path: "spec", Message: "A deleted record has no spec."})
		}
		return r, c.faults
	}
	spec := c.checkField(c.schema.Spec, n.get("spec"), "spec")
	if len(c.faults) > 0 {
		return r, c.faults
	}
	if err := r.setSpec(spec); err != nil {
		return r, Faults{{Reason: ReasonSyntaxError, Path: "spec", Message: "The spec cannot be converted: " + err.Error() + "."}}
	}
	return r, nil
}

// decodeHeader decodes version, kind, name and generation. It returns false if the version or the kind is invalid, so
// that there is no schema for the spec.
func (c *checker) decodeHeader(n *node, stored bool) (Record, bool) {
	var r Record
	document := Field{Type: TypeObject, Fields: []Field{{Name: "apiVersion"}, {Name: "kind"}, {Name: "metadata"}, {Name: "spec"}}}
	if !c.checkNodeKind(document, n, "", nodeObject) {
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
	version, okVersion := c.checkEnum(n, "apiVersion", versions, ReasonWrongVersion)
	kind, okKind := c.checkEnum(n, "kind", kinds, ReasonUnknownKind)
	if okKind {
		r.Kind = Kind(kind)
		c.hideValues = r.Kind == KindTenant
	}
	if okVersion {
		r.Version = Version(version)
	}
	c.schema, _ = Schema(r.Version, r.Kind)
	c.decodeMetadata(n, &r, stored)
	if d := n.get("deleted"); stored && d != nil {
		r.Deleted = d.kind == nodeBoolean && d.text == "true"
		c.checkField(Field{Name: "deleted", Type: TypeBoolean}, d, "deleted")
	}
	return r, okVersion && okKind
}

func (c *checker) checkEnum(n *node, key string, values []string, reason Reason) (string, bool) {
	f := Field{Name: key, Type: TypeString, Required: true, Enum: values}
	faultsBefore := len(c.faults)
	v, _ := c.checkField(f, n.get(key), key).(string)
	if len(c.faults) == faultsBefore {
		return v, true
	}
	if last := &c.faults[len(c.faults)-1]; last.Reason == ReasonNotInList {
		last.Reason = reason
	}
	return "", false
}

func (c *checker) decodeMetadata(n *node, r *Record, stored bool) {
	name, generation := nameField, generationField
	name.Format = nameFormat(r.Kind)
	if stored {
		generation.Min, generation.Required = 1, true
	}
	meta := Field{Name: "metadata", Type: TypeObject, Required: true, Fields: []Field{name, generation}}
	faultsBefore := len(c.faults)
	values, _ := c.checkField(meta, n.get("metadata"), "metadata").(map[string]any)
	if len(c.faults) > faultsBefore {
		return
	}
	r.Name, _ = values["name"].(string)
	r.Generation, _ = values["generation"].(int64)
}

// document is the encoded form of a record.
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

// Encode encodes a record in its Version, or in the newest version if Version is empty. It returns an error if the
// decoder would reject the result.
func Encode(r Record, encoding Encoding) ([]byte, error) {
	raw, err := encodeJSON(r)
	if err != nil {
		return nil, err
	}
	n, faults := parseJSON(raw)
	if len(faults) == 0 {
		_, faults = decodeDocument(n, r.Deleted)
	}
	if len(faults) > 0 {
		return nil, faults
	}
	if encoding == YAML {
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
		spec, err := r.versionedSpec()
		if err != nil {
			return nil, err
		}
		d.Spec = spec
	}
	return json.Marshal(d)
}

// EncodeStored returns the value that the platform stores for a record: the document in the version in which the
// operator wrote it, with its generation. A tombstone has deleted: true and no spec.
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

// DecodeStored decodes a value that the platform stores.
func DecodeStored(value []byte) (Record, error) {
	if !json.Valid(value) {
		return Record{}, Faults{{Reason: ReasonNotStored, Message: "The value is not valid JSON."}}
	}
	n, faults := parseDocument(value, 0)
	if n == nil {
		return Record{}, faults
	}
	r, documentFaults := decodeDocument(n, true)
	return r, append(faults, documentFaults...).errOrNil()
}

// DecodeStoredGeneration decodes only the generation of a value that the platform stores. It makes it possible to
// replace a value that DecodeStored rejects, for example one that a newer tool wrote.
func DecodeStoredGeneration(value []byte) (int64, error) {
	n, _ := parseDocument(value, 0)
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
