package records_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"

	"jackdawbay.dev/api/records"
)

// Guards against example directories that are invalid, or whose sizes differ from section 1 of the design page.
func TestExamples(t *testing.T) {
	cases := []struct {
		name      string
		regions   map[string]string
		engines   map[string]int
		unsafe    map[string]string // Path of a call that must not be retried, by service.
		latency   bool              // LatencyWeight is greater than CacheWeight.
		mainGroup string
	}{
		{"merrimack", map[string]string{"falls-a": "merrimack", "falls-b": "merrimack", "harbor-a": "seacoast"},
			map[string]int{"kit-agents": 12, "order-desk": 3},
			map[string]string{"deposits": "/deposits", "printer-orders": "/orders"}, true, "kit-agents"},
		{"odblask", map[string]string{"kalisz-a": "wielkopolska", "poznan-a": "wielkopolska", "warszawa-a": "mazowsze"},
			map[string]int{"agent-models": 11, "order-desk": 3},
			map[string]string{"bookings": "/bookings", "invoices": "/invoices"}, false, "agent-models"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			set := loadExample(t, tc.name)
			must.SliceEmpty(t, records.Validate(set))
			for dc, region := range tc.regions {
				must.Eq(t, region, set.Region(dc))
				u, ok := set.Upstream("stock-checks-" + dc)
				must.True(t, ok)
				route, ok := u.FindRoute("GET", "/stock/1")
				must.True(t, ok && route.Repeatable)
			}
			for group, n := range tc.engines {
				must.Len(t, n, set.Engines(group))
			}
			for name, path := range tc.unsafe {
				u, ok := set.Upstream(name)
				must.True(t, ok)
				route, ok := u.FindRoute("POST", path)
				must.True(t, ok && !route.Repeatable)
			}
			p := set.Placement(tc.mainGroup)
			must.Eq(t, tc.latency, p.LatencyWeight > p.CacheWeight)
			for _, class := range []string{"order", "stock-check"} {
				must.Eq(t, class, set.Limit(class).Class)
			}
		})
	}
}

func loadExample(t *testing.T, name string) *records.Set {
	t.Helper()
	files, err := filepath.Glob("../../examples/" + name + "/*.yaml")
	must.NoError(t, err)
	must.SliceNotEmpty(t, files)
	var all []records.Record
	for _, file := range files {
		data, err := os.ReadFile(file)
		must.NoError(t, err)
		list, err := records.Decode(data)
		must.NoError(t, err, must.Sprint(file))
		all = append(all, list...)
	}
	return records.NewSet(all)
}
