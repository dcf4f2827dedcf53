package membership

import (
	"testing"
	"time"

	"github.com/shoenig/test"
)

// TestIsolationTimeout guards against a coordinator that removes members immediately although it may be the partitioned
// one, and against counting an earlier isolation towards a new one.
func TestIsolationTimeout(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	cases := []struct {
		name     string
		observed []time.Duration
		want     bool // Result of the last observation.
	}{
		{"first observation", []time.Duration{0}, false},
		{"just before the limit", []time.Duration{0, 3 * time.Second, 6 * time.Second, IsolationTimeout - time.Millisecond}, false},
		{"at the limit", []time.Duration{0, 3 * time.Second, 6 * time.Second, IsolationTimeout}, true},
		{"interrupted", []time.Duration{0, 3 * time.Second, 10 * time.Second}, false},
		{"at the limit after an interruption", []time.Duration{0, 10 * time.Second, 13 * time.Second, 16 * time.Second, 10*time.Second + IsolationTimeout}, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var i Isolation
			got := false
			for _, d := range tc.observed {
				got = i.Observe(at(d))
			}
			test.Eq(t, tc.want, got)
		})
	}
}

func TestIsolationExpires(t *testing.T) {
	var i Isolation
	start := time.Unix(1000, 0)
	test.False(t, i.IsActive(start))
	i.Observe(start)
	test.True(t, i.IsActive(start.Add(maxObservationGap)))
	test.False(t, i.IsActive(start.Add(maxObservationGap+time.Millisecond)))
}
