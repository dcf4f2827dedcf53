package command

import (
	"fmt"
	"io"
	"strings"

	"jackdawbay.dev/api/records"
)

// Explain prints the description of a kind or a field.
type Explain struct {
	Target  string `arg:"" optional:"" name:"kind[.field]" help:"Kind, or kind and path of a field."`
	Version string `enum:"v1,v2" default:"v2" help:"Version of the documents: v1 or v2."`
	Page    bool   `help:"Print the page docs/records.md with all kinds and fields."`
}

type explainReport struct {
	Version records.Version    `json:"version"`
	Kind    records.Kind       `json:"kind"`
	Doc     string             `json:"doc"`
	Fields  []records.FieldRow `json:"fields"`
}

func (r explainReport) writeText(w io.Writer) {
	_, _ = fmt.Fprintf(w, "%s (%s)\n%s\n", r.Kind, r.Version, r.Doc)
	for _, f := range r.Fields {
		unit := ""
		if f.Unit != "" {
			unit = ", unit " + f.Unit
		}
		_, _ = fmt.Fprintf(w, "\n%s (%s%s)\n  %s\n  Default: %s\n  Allowed: %s\n", f.Path, f.Type, unit, f.Doc, f.Default, f.Allowed)
	}
}

type pageReport string

func (r pageReport) writeText(w io.Writer) { _, _ = io.WriteString(w, string(r)) }

// Run executes the verb.
func (c *Explain) Run(env *environment) error {
	if c.Page {
		env.report = pageReport(records.ReferencePage())
		return nil
	}
	kind, path, _ := strings.Cut(c.Target, ".")
	if err := validateKind(kind); err != nil {
		return err
	}
	s, _ := records.Schema(records.Version("jackdawbay/"+c.Version), records.Kind(kind))
	out := explainReport{Version: s.Version, Kind: s.Kind, Doc: s.Doc}
	if path == "" {
		out.Fields = append(records.MetadataRows(s.Kind), records.FieldRows(s.Spec, "spec")...)
		env.report = out
		return nil
	}
	f, ok := s.FindField(path)
	if !ok {
		return newError(ExitUsage, ReasonBadUsage, "The field %s of %s does not exist in version %s.", path, kind, s.Version)
	}
	out.Fields = records.FieldRows(f, "spec."+strings.TrimPrefix(path, "spec."))
	env.report = out
	return nil
}
