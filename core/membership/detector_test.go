package membership

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestDetector guards against a takeover after one lost probe, and against a delayed takeover after a refused
// connection.
func TestDetector(t *testing.T) {
	cases := []struct {
		name      string
		probes    []ProbeResult
		suspected bool
	}{
		{"no failure", []ProbeResult{ProbeOK, ProbeOK}, false},
		{"one timeout", []ProbeResult{ProbeTimedOut}, false},
		{"consecutive timeouts", []ProbeResult{ProbeTimedOut, ProbeTimedOut}, true},
		{"success between timeouts", []ProbeResult{ProbeTimedOut, ProbeOK, ProbeTimedOut}, false},
		{"connection refused", []ProbeResult{ProbeRefused}, true},
		{"success ends the suspicion", []ProbeResult{ProbeRefused, ProbeOK}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := NewDetector()
			for _, p := range c.probes {
				d.Observe(time.Unix(0, 0), "vm-1", p)
			}
			must.Eq(t, c.suspected, d.IsSuspected("vm-1"))
		})
	}
}

// TestCanEvict guards against a partitioned coordinator that removes all other members.
func TestCanEvict(t *testing.T) {
	must.True(t, CanEvict(1, 2))
	must.True(t, CanEvict(2, 4))
	must.False(t, CanEvict(1, 3))
	must.False(t, CanEvict(3, 7))
}

// TestPauseDetector guards against a pause that is not detected because one of the clocks stopped.
func TestPauseDetector(t *testing.T) {
	start := time.Now()
	d := NewPauseDetector(start, 2*time.Second)
	must.False(t, d.Tick(start.Add(time.Second)))
	must.True(t, d.Tick(start.Add(4*time.Second)))
	must.False(t, d.Tick(start.Add(5*time.Second)))
	// Only the wall clock advanced. Round(0) drops the monotonic reading.
	wall := start.Add(5 * time.Second).Round(0)
	must.True(t, d.Tick(wall.Add(10*time.Second)))
}

// TestNeighbours guards against a number of probes that grows with the data centre, and against members without probes.
func TestNeighbours(t *testing.T) {
	r := New("falls-a", member("a", 1))
	for _, vm := range []string{"b", "c", "d", "e", "f", "g", "h"} {
		r = Join(r, member(vm, 1)).Roster
	}
	probed := map[string]int{}
	for _, m := range r.Members {
		neighbours := r.Neighbours(m.Incarnation, ProbeFanOut)
		must.Eq(t, ProbeFanOut, len(neighbours))
		for _, n := range neighbours {
			probed[n.Incarnation]++
		}
	}
	for _, m := range r.Members {
		must.Eq(t, ProbeFanOut, probed[m.Incarnation])
	}
}
