package errkind

import (
	"encoding/json"
	"flag"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

var update = flag.Bool("update", false, "Write docs/errors.md from the table.")

const pagePath = "../../docs/errors.md"

// declaredKind is a constant of type Kind in the source.
type declaredKind struct {
	name string
	kind Kind
}

// declaredKinds parses errkind.go and returns the constants of type Kind in source order.
func declaredKinds(t *testing.T) []declaredKind {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), "errkind.go", nil, 0)
	must.NoError(t, err)
	var kinds []declaredKind
	for _, d := range file.Decls {
		decl, ok := d.(*ast.GenDecl)
		if !ok || decl.Tok != token.CONST {
			continue
		}
		for _, s := range decl.Specs {
			spec := s.(*ast.ValueSpec)
			if typeName, ok := spec.Type.(*ast.Ident); !ok || typeName.Name != "Kind" {
				continue
			}
			for i, name := range spec.Names {
				literal, ok := spec.Values[i].(*ast.BasicLit)
				must.True(t, ok, must.Sprintf("constant %s is not a literal", name.Name))
				value, err := strconv.Unquote(literal.Value)
				must.NoError(t, err)
				kinds = append(kinds, declaredKind{name: name.Name, kind: Kind(value)})
			}
		}
	}
	must.SliceNotEmpty(t, kinds)
	return kinds
}

// Guards against a kind without a table entry, which would be reported as Internal, and against an entry without a
// constant.
func TestTableCoversAllKinds(t *testing.T) {
	declared := declaredKinds(t)
	seen := map[Kind]string{}
	for _, d := range declared {
		test.Eq(t, "", seen[d.kind], test.Sprintf("%s and %s have the same code %q", d.name, seen[d.kind], d.kind))
		seen[d.kind] = d.name
		_, ok := propertiesByKind[d.kind]
		test.True(t, ok, test.Sprintf("the table has no row for %s", d.name))
	}
	for k := range propertiesByKind {
		test.NotEq(t, "", seen[k], test.Sprintf("the table has a row for %q, but no constant has this value", k))
	}
	test.Eq(t, len(declared), len(Kinds()))
}

// Guards against a table entry with a status, not_run or retry value outside the documented ones.
func TestTableRowsAreValid(t *testing.T) {
	notRun := map[NotRun]bool{NotRunTrue: true, NotRunFalse: true, NotRunUnknown: true}
	retry := map[Retry]bool{RetryNever: true, RetrySame: true, RetryWithHistory: true, RetryReadState: true}
	for k, properties := range propertiesByKind {
		test.True(t, properties.Status >= 400 && properties.Status <= 599, test.Sprintf("%s: status %d", k, properties.Status))
		test.True(t, notRun[properties.NotRun], test.Sprintf("%s: not_run %q", k, properties.NotRun))
		test.True(t, retry[properties.Retry], test.Sprintf("%s: retry %q", k, properties.Retry))
		test.StrHasSuffix(t, ".", properties.Meaning)
		test.Eq(t, strings.ToLower(string(k)), string(k))
	}
}

// Guards against a response whose status or body differs from the table, and against a response that contains the
// cause.
func TestWriteMatchesTable(t *testing.T) {
	for k, properties := range propertiesByKind {
		w := httptest.NewRecorder()
		Write(w, Wrap(k, errors.New("cause 10.1.2.3"), "Detail."))
		var b Body
		must.NoError(t, json.Unmarshal(w.Body.Bytes(), &b))
		test.Eq(t, properties.Status, w.Code)
		test.Eq(t, BodyError{Code: k, Message: properties.Meaning + " Detail.", NotRun: properties.NotRun, Retry: properties.Retry}, b.Error)
		test.StrNotContains(t, w.Body.String(), "10.1.2.3")
	}
	w := httptest.NewRecorder()
	Write(w, errors.New("without a kind"))
	test.Eq(t, http.StatusInternalServerError, w.Code)
	test.StrNotContains(t, w.Body.String(), "without a kind")
}

// Guards against a documentation page that differs from the table. Run with -update to regenerate the page.
func TestPage(t *testing.T) {
	want := renderPage(declaredKinds(t))
	if *update {
		must.NoError(t, os.WriteFile(pagePath, []byte(want), 0o644))
	}
	got, err := os.ReadFile(pagePath)
	must.NoError(t, err)
	test.Eq(t, want, string(got))
}

const pageHeader = `# Error kinds

This page is generated from the table in ` + "`api/errkind`" + `. To write it again, run
` + "`go test ./api/errkind -run TestPage -update`" + `.

Every response of a daemon that is not a result has a body of this form. On a stream that has begun, the same body is the
data of the event ` + "`error`" + `.

` + "```json" + `
{"error":{"code":"queue_full","message":"...","not_run":"true","retry":"same","retry_after_ms":1000}}
` + "```" + `

` + "`not_run`" + ` says whether the request had no effect: ` + "`true`" + ` means that it certainly did not run, ` + "`false`" + ` that
it ran, and ` + "`unknown`" + ` that it may have run. A response can state another value than the table where the daemon knows
better. ` + "`retry_after_ms`" + ` is absent where no time can be stated.

| retry | what the caller can do |
|---|---|
| ` + "`never`" + ` | The same request will fail again. |
| ` + "`same`" + ` | Repeat the same request with the same call key. |
| ` + "`with_history`" + ` | Repeat it with the turns after the durable sequence. |
| ` + "`read_state`" + ` | Read the state of the program, then decide. |

| code | status | not_run | retry | meaning |
|---|---|---|---|---|
`

func renderPage(kinds []declaredKind) string {
	var sb strings.Builder
	sb.WriteString(pageHeader)
	for _, d := range kinds {
		properties := Lookup(d.kind)
		fmt.Fprintf(&sb, "| `%s` | %d | `%s` | `%s` | %s |\n", d.kind, properties.Status, properties.NotRun, properties.Retry, properties.Meaning)
	}
	return sb.String()
}
