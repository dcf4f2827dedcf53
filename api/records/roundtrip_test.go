package records_test

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"jackdawbay.dev/api/records"
)

// drawField generates a random value that the schema of a field allows.
func drawField(t *rapid.T, f records.Field) any {
	if !f.Required && rapid.Bool().Draw(t, "absent") {
		return nil
	}
	switch f.Type {
	case records.TypeBoolean:
		return rapid.Bool().Draw(t, f.Name)
	case records.TypeInteger:
		return rapid.Int64Range(int64(f.Min), int64(f.Max)).Draw(t, f.Name)
	case records.TypeNumber:
		return rapid.Float64Range(f.Min, f.Max).Draw(t, f.Name)
	case records.TypeSeconds:
		return float64(rapid.Int64Range(int64(f.Min*1000), int64(f.Max*1000)).Draw(t, f.Name)) / 1000
	case records.TypeDuration:
		return fmt.Sprintf("%dms", rapid.Int64Range(int64(f.Min*1000), int64(f.Max*1000)).Draw(t, f.Name))
	case records.TypeList:
		return drawList(t, f)
	case records.TypeMap:
		m := map[string]any{}
		for i := range rapid.IntRange(0, 4).Draw(t, f.Name) {
			m[fmt.Sprintf("dc-%d", i)] = drawField(t, *f.Elem)
		}
		return m
	case records.TypeObject:
		m := map[string]any{}
		for _, c := range f.Fields {
			if v := drawField(t, c); v != nil {
				m[c.Name] = v
			}
		}
		return m
	}
	return drawText(t, f)
}

func drawList(t *rapid.T, f records.Field) any {
	list := []any{}
	for i := range rapid.IntRange(int(f.Min), int(min(f.Max, 4))).Draw(t, f.Name) {
		item := drawField(t, *f.Elem)
		switch {
		case f.UniqueBy == ".":
			item = drawUniqueItem(f, i)
		case f.UniqueBy != "":
			item.(map[string]any)[f.UniqueBy] = fmt.Sprintf("dc-%d", i)
		}
		list = append(list, item)
	}
	return list
}

func drawUniqueItem(f records.Field, i int) any {
	if f.Secret {
		return records.HashKey(fmt.Sprint(i))
	}
	return fmt.Sprintf("adapter-%d", i)
}

func drawText(t *rapid.T, f records.Field) any {
	switch {
	case len(f.Enum) > 0:
		return rapid.SampledFrom(f.Enum).Draw(t, f.Name)
	case f.Name == "address":
		return fmt.Sprintf("10.0.%d.1:%d", rapid.IntRange(0, 255).Draw(t, "net"), rapid.IntRange(1, 65535).Draw(t, "port"))
	case f.Name == "pathPrefix":
		return "/" + rapid.StringMatching(`[a-z0-9/_.%-]{0,20}`).Draw(t, f.Name)
	case f.Name == "program":
		return "falls-a." + rapid.StringMatching(`[0-9A-Z]{26}`).Draw(t, f.Name)
	case f.Name == "callKey" || f.Name == "reason":
		return rapid.StringMatching(`[ -~äßżł]{1,40}`).Draw(t, f.Name)
	}
	return rapid.StringMatching(`[a-z0-9]([a-z0-9-]{0,20}[a-z0-9])?`).Draw(t, f.Name)
}

// Guards against a conversion that loses or changes a value. Random valid documents are decoded, encoded in both
// versions and both encodings, and decoded again.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := rapid.SampledFrom(records.Versions).Draw(t, "version")
		k := rapid.SampledFrom(records.Kinds).Draw(t, "kind")
		s, _ := records.Schema(v, k)
		raw, err := json.Marshal(map[string]any{
			"apiVersion": v, "kind": k, "spec": drawField(t, s.Spec),
			"metadata": map[string]any{"name": "a-1", "generation": rapid.Int64Range(0, 1<<53).Draw(t, "generation")},
		})
		must.NoError(t, err)
		list, err := records.Decode(raw)
		must.NoError(t, err)
		r := list[0]
		for _, other := range records.Versions {
			for _, encoding := range []records.Encoding{records.YAML, records.JSON} {
				r.Version = other
				text, err := records.Encode(r, encoding)
				must.NoError(t, err)
				decoded, err := records.Decode(text)
				must.NoError(t, err)
				must.Eq(t, r, decoded[0])
			}
		}
	})
}

// Guards against a decoder that panics, and against accepted documents that change when they are encoded and decoded.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(routeV1))
	f.Add([]byte(routeV2))
	files, err := filepath.Glob("../../examples/*/*.yaml")
	if err != nil {
		f.Fatal(err)
	}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		list, err := records.Decode(data)
		if err != nil {
			return
		}
		for _, r := range list {
			for _, v := range records.Versions {
				r.Version = v
				text, err := records.Encode(r, records.YAML)
				must.NoError(t, err)
				decoded, err := records.Decode(text)
				must.NoError(t, err)
				must.Eq(t, r, decoded[0])
			}
		}
		records.Validate(records.NewSet(list))
	})
}
