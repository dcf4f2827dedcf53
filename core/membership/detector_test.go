package membership

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a takeover after one lost probe, and against a late one after a refused connection.
func TestDetector(t *testing.T) {
	cases := []struct {
		name      string
		probes    []ProbeResult
		suspected bool
	}{
		{"no failure", []ProbeResult{ProbeOK, ProbeOK}, false},
		{"one time-out", []ProbeResult{ProbeTimedOut}, false},
		{"time-outs in a row", []ProbeResult{ProbeTimedOut, ProbeTimedOut}, true},
		{"success between time-outs", []ProbeResult{ProbeTimedOut, ProbeOK, ProbeTimedOut}, false},
		{"refused at once", []ProbeResult{ProbeRefused}, true},
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

// Guards against a coordinator that is cut off and removes everyone else.
func TestCanEvict(t *testing.T) {
	must.True(t, CanEvict(1, 2))
	must.True(t, CanEvict(2, 4))
	must.False(t, CanEvict(1, 3))
	must.False(t, CanEvict(3, 7))
}

// Guards against a pause that goes unnoticed because one of the clocks stood still.
func TestPauseDetector(t *testing.T) {
	start := time.Now()
	d := NewPauseDetector(start, 2*time.Second)
	must.False(t, d.Tick(start.Add(time.Second)))
	must.True(t, d.Tick(start.Add(4*time.Second)))
	must.False(t, d.Tick(start.Add(5*time.Second)))
	// Only the wall clock moved on: Round(0) drops the monotonic reading.
	wall := start.Add(5 * time.Second).Round(0)
	must.True(t, d.Tick(wall.Add(10*time.Second)))
}

// Guards against probes whose number grows with the data centre, and against a member that no one probes.
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
