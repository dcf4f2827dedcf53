package capacity

import (
	"io"
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against quantiles that are off by one, which would let a missed target pass.
func TestMedianAndQuantile(t *testing.T) {
	for _, tc := range []struct {
		values           []float64
		median, p95, max float64
	}{
		{[]float64{5}, 5, 5, 5},
		{[]float64{3, 1, 2}, 2, 3, 3},
		{[]float64{4, 1, 3, 2}, 2.5, 4, 4},
		{[]float64{20, 19, 18, 17, 16, 15, 14, 13, 12, 11, 10, 9, 8, 7, 6, 5, 4, 3, 2, 1}, 10.5, 19, 20},
	} {
		must.Eq(t, tc.median, Median(tc.values))
		must.Eq(t, tc.p95, Quantile(tc.values, 0.95))
		must.Eq(t, tc.max, Quantile(tc.values, 1))
	}
	must.True(t, math.IsNaN(Median(nil)))
	must.True(t, math.IsNaN(Quantile(nil, 0.5)))
}

// Guards against a report that cannot be encoded because one value was not measured.
func TestUnmeasuredNumbersAreWritten(t *testing.T) {
	table := &Table{Name: "x"}
	table.addRow("a", math.NaN(), math.Inf(1), 2.0)
	must.Eq(t, []any{"a", "-", "-", 2.0}, table.Rows[0])
	must.NoError(t, Report{Tables: []*Table{table}}.WriteJSON(io.Discard))
}

// Guards against a fit that attributes the base cost to the cost per item.
func TestFit(t *testing.T) {
	l := Fit([]float64{100, 1000, 4500}, []float64{7 + 200, 7 + 2000, 7 + 9000})
	must.InDelta(t, 2, l.Slope, 1e-9)
	must.InDelta(t, 7, l.Intercept, 1e-6)
	must.InDelta(t, 20_007, l.At(10_000), 1e-6)
}

// Guards against reading the wrong field of /proc/PID/stat when the program name contains spaces.
func TestParseStat(t *testing.T) {
	u, err := parseStat("42 (a (b) c) S 1 2 3 4 5 6 7 8 9 10 150 50 0 0 20 0 9 0 1397 3133440 382 0")
	must.NoError(t, err)
	must.Eq(t, 2*time.Second, u.CPUTime)
	must.Eq(t, 382*4096, u.ResidentBytes)
	_, err = parseStat("42 (short) S 1")
	must.Error(t, err)
}

// Guards against unit errors in the estimate of packet headers and in the CPU percentage.
func TestUnits(t *testing.T) {
	must.Eq(t, 10*3*52, TCPIPHeaderBytes(10))
	must.InDelta(t, 2+1.0/15, idleExchangesPerSecond(2, false, 0), 1e-9)
	must.InDelta(t, 4+31.0/15+1.2, idleExchangesPerSecond(32, true, 1.2), 1e-9)
	must.Eq(t, 2.0, percentOfCore(300*time.Millisecond, 15*time.Second))
	must.Eq(t, map[string]float64{"rchar": 10, "wchar": 5}, parseIO("rchar: 10\nwchar: 5\n"))
	must.Eq(t, map[string]float64{"a_total": 3, `b{x="y"}`: 4}, parseMetrics("# HELP a\na_total 3\nb{x=\"y\"} 4\n"))
}
