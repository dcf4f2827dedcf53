package quota

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"pgregory.net/rapid"
)

// Guards against units that leave the window too early, which would let more than the limit run in a window, and against units
// that never leave it.
func TestWindowCountsAtLeastItsPeriod(t *testing.T) {
	const period = 5200 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		var w window
		type issue struct {
			at    time.Time
			units int
		}
		var issues []issue
		now := epoch
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "wait_ms")) * time.Millisecond)
			units := rapid.IntRange(0, 20).Draw(t, "units")
			w.add(now, period, units)
			issues = append(issues, issue{now, units})
			exact, atMost := 0, 0
			for _, i := range issues {
				if now.Sub(i.at) < period {
					exact += i.units
				}
				if now.Sub(i.at) <= period+2*period/windowSlots {
					atMost += i.units
				}
			}
			if sum := w.sum(now, period); sum < exact || sum > atMost {
				t.Fatalf("sum %d, want %d to %d", sum, exact, atMost)
			}
		}
	})
}

// Load: the callers of an organisation send half of what a window allows within a second, and little afterwards. Guards against
// refusals below the limit of the window.
func TestBurstBelowTheWindowIsIssued(t *testing.T) {
	const members = 5
	l := Limit{RatePerSecond: 15, Burst: 15, Version: 1}
	tolerance := Tolerance{Window: testWindow, Over: testOver, Slack: testSlack}
	i := &Issuer{
		tolerance: tolerance, minCapacity: MinCapacity(testSlack), share: 1.0 / members, raisedFrom: 1.0 / members,
		leaseUntil: epoch.Add(time.Hour), refreshedAt: epoch, buckets: map[string]*bucket{}, generation: 1, shareSeconds: 100,
	}
	issue := func(after time.Duration, units int) int {
		issued, _ := i.Issue(epoch.Add(after), "o", l, units)
		return issued
	}
	test.EqOp(t, 9, issue(0, 9), test.Sprint("a fifth of 45 of the 90 requests of a window"))
	test.EqOp(t, 9, issue(3*time.Second, 9))
	const atMost = 23 // A fifth of (15*5+15)*1.1+20.
	total := 18
	for ms := 3000; ms < 5000; ms += 10 {
		total += issue(time.Duration(ms)*time.Millisecond, 9)
	}
	test.LessEq(t, atMost, total)
}
