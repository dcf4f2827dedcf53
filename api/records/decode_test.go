package records_test

import (
	"errors"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"jackdawbay.dev/api/records"
	v1 "jackdawbay.dev/api/records/v1"
	v2 "jackdawbay.dev/api/records/v2"
)

const routeV1 = `apiVersion: jackdawbay/v1
kind: Upstream
metadata: {name: stock}
spec:
  type: service
  dataCentre: falls-a
  address: 10.0.0.1:8000
  routes:
    - pathPrefix: /stock
      repeatable: true
      timeoutSeconds: 1.5
`

const routeV2 = `apiVersion: jackdawbay/v2
kind: Upstream
metadata: {name: stock}
spec:
  type: service
  dataCentre: falls-a
  address: 10.0.0.1:8000
  routes:
    - pathPrefix: /stock
      idempotency: safe
      timeout: 1s500ms
`

func limit(v, spec string) string {
	return "apiVersion: jackdawbay/" + v + "\nkind: Limit\nmetadata: {name: a}\nspec:\n  class: a\n" + spec
}

// Guards against equivalent documents of the two versions that are decoded differently.
func TestDecodeVersionsAgree(t *testing.T) {
	a, err := records.Decode([]byte(routeV1))
	must.NoError(t, err)
	b, err := records.Decode([]byte(routeV2))
	must.NoError(t, err)
	must.Eq(t, *a[0].Upstream, *b[0].Upstream)
	must.Eq(t, records.Route{PathPrefix: "/stock", Repeatable: true, Timeout: 1500 * time.Millisecond}, a[0].Upstream.Routes[0])
	must.Eq(t, records.V1, a[0].Version)
}

// Guards against accepting invalid documents, against faults without a path, value or description of the allowed
// values, and against messages that contain a bearer key.
func TestDecodeRejectsInvalidDocuments(t *testing.T) {
	key := "secret-key-in-the-wrong-place"
	tenant := "apiVersion: jackdawbay/v2\nkind: Tenant\nmetadata: {name: a}\nspec:\n"
	cases := []struct {
		name, doc           string
		reason              records.Reason
		path, value, allows string
	}{
		{"unknown field", limit("v2", "  colour: red\n"), records.ReasonUnknownField, "spec.colour", `"red"`, "maxTurns"},
		{"field of the other version", limit("v2", "  callTimeoutSeconds: 3\n"), records.ReasonUnknownField, "spec.callTimeoutSeconds", "3", "callTimeout"},
		{"unknown top field", limit("v2", "") + "status: 1\n", records.ReasonUnknownField, "status", "1", "apiVersion"},
		{"tombstone from an operator", limit("v2", "") + "deleted: true\n", records.ReasonUnknownField, "deleted", "true", "apiVersion"},
		{"wrong version", limit("v3", ""), records.ReasonWrongVersion, "apiVersion", `"jackdawbay/v3"`, "jackdawbay/v2"},
		{"unknown kind", "apiVersion: jackdawbay/v1\nkind: Car\nmetadata: {name: a}\nspec: {}", records.ReasonUnknownKind, "kind", `"Car"`, "Upstream"},
		{"number for v2 duration", limit("v2", "  callTimeout: 30\n"), records.ReasonWrongUnit, "spec.callTimeout", "30", `"30s"`},
		{"unknown unit", limit("v2", "  callTimeout: 30 sec\n"), records.ReasonWrongUnit, "spec.callTimeout", `"30 sec"`, `"30s"`},
		{"text for v1 seconds", limit("v1", "  callTimeoutSeconds: 30s\n"), records.ReasonWrongUnit, "spec.callTimeoutSeconds", `"30s"`, "seconds"},
		{"below a millisecond", limit("v2", "  callTimeout: 1500us\n"), records.ReasonOutOfBounds, "spec.callTimeout", `"1500us"`, "whole milliseconds"},
		{"wrong type", limit("v2", "  maxTurns: many\n"), records.ReasonWrongType, "spec.maxTurns", `"many"`, "whole number"},
		{"null", limit("v2", "  maxTurns:\n"), records.ReasonWrongType, "spec.maxTurns", "null", "whole number"},
		{"fraction", limit("v2", "  maxTurns: 1.5\n"), records.ReasonWrongType, "spec.maxTurns", "1.5", "whole number"},
		{"octal number", limit("v2", "  maxTurns: 010 # ten\n"), records.ReasonWrongFormat, "spec.maxTurns", "010", "decimal digits"},
		{"number with an underscore", limit("v2", "  maxTurns: 1_0\n"), records.ReasonWrongFormat, "spec.maxTurns", "1_0", "decimal digits"},
		{"octal number in braces", limit("v2", "  retry: {maxAttempts: 010}\n"), records.ReasonWrongFormat, "spec.retry", "010", "decimal digits"},
		{"below the bound", limit("v2", "  maxTurns: 0\n"), records.ReasonOutOfBounds, "spec.maxTurns", "0", "from 1"},
		{"above the bound", limit("v2", "  retry: {ratio: 11}\n"), records.ReasonOutOfBounds, "spec.retry.ratio", "11", "to 10"},
		{"repeated YAML key", limit("v2", "  retry:\n    ratio: 1\n    ratio: 2\n"), records.ReasonDuplicateKey, "spec.retry.ratio", "", "once"},
		{"repeated YAML key in a list", routeV1 + "    - pathPrefix: /a\n      pathPrefix: /b\n", records.ReasonDuplicateKey, "spec.routes[1].pathPrefix", "", "once"},
		{"repeated YAML key under a list item", strings.Replace(routeV1, "- pathPrefix: /stock", "- a:\n        b: 1\n        b: 2", 1), records.ReasonDuplicateKey, "spec.routes[0].a.b", "", "once"},
		{"repeated JSON key", `{"apiVersion":"jackdawbay/v1","kind":"Limit","metadata":{"name":"a"},"spec":{"class":"a","class":"b"}}`, records.ReasonDuplicateKey, "spec.class", "", "once"},
		{"missing field", "apiVersion: jackdawbay/v1\nkind: DataCentre\nmetadata: {name: a}\nspec: {}", records.ReasonMissingField, "spec.region", "", "lower-case"},
		{"name with a dot", strings.Replace(routeV1, "name: stock", "name: a.b", 1), records.ReasonWrongFormat, "metadata.name", `"a.b"`, "hyphens"},
		{"host name as address", strings.Replace(routeV1, "10.0.0.1", "stock", 1), records.ReasonWrongFormat, "spec.address", `"stock:8000"`, "IP address"},
		{"value not in the list", strings.Replace(routeV2, "safe", "maybe", 1), records.ReasonNotInList, "spec.routes[0].idempotency", `"maybe"`, "unsafe"},
		{"key in place of a hash", tenant + "  keyHashes: [" + key + "]", records.ReasonOutOfBounds, "spec.keyHashes[0]", "(hidden)", "SHA-256"},
		{"key in place of the list", tenant + "  keyHashes: " + key, records.ReasonWrongType, "spec.keyHashes", "(hidden)", "list"},
		{"key in an unknown field", tenant + "  key: " + key, records.ReasonUnknownField, "spec.key", "(hidden)", "keyHashes"},
		{"syntax", "a: [" + key, records.ReasonSyntaxError, "", "", ""},
		{"no document", "# nothing\n", records.ReasonNoDocument, "", "", "one or more"},
		{"invalid UTF-8", "a: \xff", records.ReasonSyntaxError, "", "", ""},
		{"too large", strings.Repeat("#", records.MaxDocumentBytes+1), records.ReasonTooLarge, "", "", "bytes"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			_, err := records.Decode([]byte(tc.doc))
			var faults records.Faults
			must.True(t, errors.As(err, &faults))
			i := slices.IndexFunc(faults, func(f records.Fault) bool { return f.Reason == tc.reason && f.Path == tc.path })
			must.True(t, i >= 0, must.Sprintf("faults: %v", err))
			test.Eq(t, tc.value, faults[i].Value)
			test.StrContains(t, faults[i].Allowed, tc.allows)
			test.StrNotContains(t, err.Error(), key)
		})
	}
}

// Guards against rejecting text that looks like an octal number.
func TestDecodeAcceptsQuotedDigits(t *testing.T) {
	doc := "apiVersion: jackdawbay/v1\nkind: Resolution\nmetadata: {name: 0b2}\nspec:\n" +
		"  program: a.01ARZ3NDEKTSV4RRFFQ69G5FAV\n  callKey: \"010\"\n  outcome: ran # see: 010\n  reason: order, no-01, 010\n"
	list, err := records.Decode([]byte(doc))
	must.NoError(t, err)
	must.Eq(t, "010", list[0].Resolution.CallKey)
}

// Guards against a decoder that takes minutes for a large file with a fault in each line.
func TestDecodeLimitsLineFaults(t *testing.T) {
	for _, line := range []string{"a: 1\n", "- 010\n", "- {a: 010, b: 010}\n"} {
		_, err := records.Decode([]byte(strings.Repeat(line, 100_000/len(line))))
		var faults records.Faults
		must.True(t, errors.As(err, &faults))
		must.Between(t, 100, len(faults), 110)
	}
}

// Guards against a decoder that reports only the first fault, so that an operator has to correct a file in several
// rounds.
func TestDecodeReportsAllFaults(t *testing.T) {
	doc := limit("v2", "  maxTurns: 0\n  maxTurns: 0\n  colour: red\n  callTimeout: 3\n") + "---\n" + routeV1 + "---\nkind: Car\n"
	list, err := records.Decode([]byte(doc))
	var faults records.Faults
	must.True(t, errors.As(err, &faults))
	var reasons []records.Reason
	for _, f := range faults {
		reasons = append(reasons, f.Reason)
	}
	must.Eq(t, []records.Reason{
		records.ReasonDuplicateKey, records.ReasonUnknownField, records.ReasonOutOfBounds, records.ReasonWrongUnit,
		records.ReasonMissingField, records.ReasonUnknownKind, records.ReasonMissingField,
	}, reasons)
	must.Eq(t, "Limit.a", faults[0].Record)
	must.Len(t, 1, list)
}

// Guards against a stored value that loses its version, generation or deletion mark.
func TestStoredRoundTrip(t *testing.T) {
	cases := []struct {
		name   string
		change func(*records.Record)
		ok     bool
	}{
		{"record", func(r *records.Record) { r.Generation = 7 }, true},
		{"tombstone", func(r *records.Record) { r.Generation, r.Deleted, r.Upstream = 8, true, nil }, true},
		{"no generation", func(*records.Record) {}, false},
		{"no content", func(r *records.Record) { r.Generation, r.Upstream = 7, nil }, false},
	}
	for _, doc := range []string{routeV1, routeV2} {
		for _, tc := range cases {
			t.Run(tc.name, func(t *testing.T) {
				list, err := records.Decode([]byte(doc))
				must.NoError(t, err)
				tc.change(&list[0])
				raw, err := records.EncodeStored(list[0])
				must.Eq(t, tc.ok, err == nil)
				if !tc.ok {
					return
				}
				decoded, err := records.DecodeStored(raw)
				must.NoError(t, err)
				must.Eq(t, list[0], decoded)
			})
		}
	}
}

// Guards against a set that returns a deleted record.
func TestSetExcludesTombstones(t *testing.T) {
	s := records.NewSet([]records.Record{
		{Kind: records.KindTenant, Name: "a", Generation: 1, Tenant: &records.Tenant{}},
		{Kind: records.KindTenant, Name: "a", Generation: 2, Deleted: true},
	})
	_, ok := s.Tenant("a")
	must.False(t, ok)
}

// Guards against a schema whose fields differ from those of the document types.
func TestSchemaMatchesTypes(t *testing.T) {
	types := map[records.Version]map[records.Kind]any{
		records.V1: {
			records.KindDataCentre: v1.DataCentre{}, records.KindTenant: v1.Tenant{}, records.KindModel: v1.Model{},
			records.KindUpstream: v1.Upstream{}, records.KindBudget: v1.Budget{}, records.KindLimit: v1.Limit{},
			records.KindPlacement: v1.Placement{}, records.KindResolution: v1.Resolution{},
		},
		records.V2: {
			records.KindDataCentre: v2.DataCentre{}, records.KindTenant: v2.Tenant{}, records.KindModel: v2.Model{},
			records.KindUpstream: v2.Upstream{}, records.KindBudget: v2.Budget{}, records.KindLimit: v2.Limit{},
			records.KindPlacement: v2.Placement{}, records.KindResolution: v2.Resolution{},
		},
	}
	for _, v := range records.Versions {
		for _, k := range records.Kinds {
			s, ok := records.Schema(v, k)
			must.True(t, ok)
			compareFields(t, string(v)+" "+string(k), s.Spec, reflect.TypeOf(types[v][k]))
		}
	}
}

func compareFields(t *testing.T, path string, f records.Field, typ reflect.Type) {
	t.Helper()
	var want, got []string
	for _, c := range f.Fields {
		got = append(got, c.Name)
		field, ok := fieldByTag(typ, c.Name)
		if !ok {
			continue
		}
		elemType := field.Type
		for elemType.Kind() == reflect.Slice || elemType.Kind() == reflect.Map {
			elemType = elemType.Elem()
		}
		if elemType.Kind() == reflect.Struct {
			if c.Elem != nil {
				c = *c.Elem
			}
			compareFields(t, path+"."+c.Name, c, elemType)
		}
	}
	for i := range typ.NumField() {
		name, _, _ := strings.Cut(typ.Field(i).Tag.Get("json"), ",")
		want = append(want, name)
	}
	slices.Sort(want)
	slices.Sort(got)
	must.Eq(t, want, got, must.Sprint(path))
}

func fieldByTag(typ reflect.Type, name string) (reflect.StructField, bool) {
	for i := range typ.NumField() {
		if tag, _, _ := strings.Cut(typ.Field(i).Tag.Get("json"), ","); tag == name {
			return typ.Field(i), true
		}
	}
	return reflect.StructField{}, false
}

// Guards against a documentation page whose fields, bounds or defaults differ from those of the decoder.
func TestReferencePageIsCurrent(t *testing.T) {
	page, err := os.ReadFile("../../docs/records.md")
	must.NoError(t, err)
	must.Eq(t, records.ReferencePage(), string(page))
}
