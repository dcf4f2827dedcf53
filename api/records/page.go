package records

import (
	"fmt"
	"strings"
)

// FieldRow is a row of the field table of a kind.
type FieldRow struct {
	Path     string    `json:"path"`
	Type     FieldType `json:"type"`
	Unit     string    `json:"unit,omitempty"`
	Required bool      `json:"required"`
	Default  string    `json:"default"`
	Allowed  string    `json:"allowed"`
	Doc      string    `json:"doc"`
}

// FieldRows returns the rows of a field and of all fields below it. The path of a list item has the suffix [], and the
// path of a map entry has the suffix {}.
func FieldRows(f Field, path string) []FieldRow {
	row := FieldRow{Path: path, Type: f.Type, Unit: f.Unit, Required: f.Required, Default: f.defaultText(), Allowed: f.Allowed(), Doc: f.Doc}
	if f.Type == TypeObject {
		row.Allowed = "the fields below"
	}
	rows := []FieldRow{row}
	if f.Elem != nil {
		suffix := "[]"
		if f.Type == TypeMap {
			suffix = "{}"
		}
		rows = append(rows, FieldRows(*f.Elem, path+suffix)...)
	}
	for _, c := range f.Fields {
		rows = append(rows, FieldRows(c, joinPath(path, c.Name))...)
	}
	return rows
}

func (f Field) defaultText() string {
	switch {
	case f.Required:
		return "required"
	case f.Type == TypeList || f.Type == TypeMap:
		return "empty"
	case f.Type == TypeObject:
		return "the defaults below"
	case f.Default == "":
		return "empty text"
	}
	if v, ok := f.Default.(float64); ok {
		return formatNumber(v)
	}
	return fmt.Sprint(f.Default)
}

// MetadataRows returns the rows of the metadata fields of a kind.
func MetadataRows(k Kind) []FieldRow {
	name := nameField
	name.Format = nameFormat(k)
	return append(FieldRows(name, "metadata.name"), FieldRows(generationField, "metadata.generation")...)
}

const pageHeader = `# Records

This page is generated from the table that the decoder and the command ` + "`jackdawbay explain`" + ` use. To write it again, run
` + "`go run ./cli/cmd/jackdawbay explain --page > docs/records.md`" + `.

A record is a document in YAML or JSON. A file can hold several YAML documents, separated by a line ` + "`---`" + `. Both versions
can be used in one directory. The platform stores a record in the version in which the operator wrote it.

` + "```yaml" + `
apiVersion: jackdawbay/v2
kind: DataCentre
metadata:
  name: falls-a
spec:
  region: merrimack
` + "```" + `

The decoder refuses unknown fields, repeated fields, wrong types, wrong units and values that are not allowed. It reports
all faults at once; of repeated fields and of numbers that are not in decimal digits (such as 010), it reports the first
100 of each document. In the paths, ` + "`[]`" + ` is an item of a list and ` + "`{}`" + ` is an entry of a map.

In version jackdawbay/v1, durations are numbers of seconds. In version jackdawbay/v2, they are text with a unit. Both have
a resolution of 1 ms.

The platform holds a record as an object of kind ` + "`config`" + ` with the name ` + "`<Kind>.<name>`" + `. A deleted record stays as a
document with ` + "`deleted: true`" + `, a higher generation and no spec.

## Fields of every record

`

// ReferencePage returns a Markdown page that describes all kinds and fields in all versions.
func ReferencePage() string {
	var sb strings.Builder
	sb.WriteString(pageHeader)
	writeTable(&sb, MetadataRows(KindTenant))
	fmt.Fprintf(&sb, "\nThe name of a Model is %s.\n", formatModelName.Text)
	for _, k := range Kinds {
		fmt.Fprintf(&sb, "\n## %s\n\n%s\n", k, kindDocs[k])
		for _, v := range Versions {
			s, _ := Schema(v, k)
			fmt.Fprintf(&sb, "\n### %s in %s\n\n", k, v)
			writeTable(&sb, FieldRows(s.Spec, "spec")[1:])
		}
	}
	return sb.String()
}

func writeTable(sb *strings.Builder, rows []FieldRow) {
	sb.WriteString("| field | type | unit | default | allowed | meaning |\n|---|---|---|---|---|---|\n")
	for _, r := range rows {
		cells := []string{"`" + r.Path + "`", string(r.Type), r.Unit, r.Default, r.Allowed, r.Doc}
		for i := range cells {
			cells[i] = strings.ReplaceAll(cells[i], "|", `\|`)
		}
		sb.WriteString("| " + strings.Join(cells, " | ") + " |\n")
	}
}
