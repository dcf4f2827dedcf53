package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

var startTime = time.Unix(1_000_000, 0)

func candidates(perDataCentre int) (list []Candidate) {
	for _, dc := range []string{"a1", "a2", "b1", "b2"} {
		for i := range perDataCentre {
			list = append(list, Candidate{VM: fmt.Sprint(dc, "-", i), Address: fmt.Sprint(dc, ":", i), DataCentre: dc})
		}
	}
	return list
}

func regionOf(dataCentre string) string { return dataCentre[:1] }

// Guards against a number of relays, and thereby of calls to the store, that grows with the number of VMs. The pattern:
// hundreds of gateways that each watch the store.
func TestOneRegionReadsFromOneRelay(t *testing.T) {
	first := map[string]string{}
	for _, region := range []string{"a", "b"} {
		ordered := Order(candidates(3), region, regionOf)
		must.SliceLen(t, 12, ordered)
		for i, c := range ordered {
			test.EqOp(t, i < 6, regionOf(c.DataCentre) == region)
		}
		first[region] = ordered[0].VM
		reversed := candidates(3)
		for i, j := 0, len(reversed)-1; i < j; i, j = i+1, j-1 {
			reversed[i], reversed[j] = reversed[j], reversed[i]
		}
		test.Eq(t, ordered, Order(reversed, region, regionOf), test.Sprint("the order does not depend on that of the list"))
	}
	test.NotEqOp(t, first["a"], first["b"])
}

// Guards against a VM that stays with a failed relay, asks the store although a relay is left, or asks the store too often
// while it is away.
func TestStoreIsTheLastSource(t *testing.T) {
	s := NewSelector()
	source, wait := s.Next(startTime)
	test.False(t, source.IsRelay)
	test.EqOp(t, 0, wait)
	ordered := Order(candidates(2), "a", regionOf)
	s.SetCandidates(ordered)
	for i := range maxCandidates {
		source, _ = s.Next(startTime)
		test.EqOp(t, ordered[i].VM, source.VM)
		s.RecordFailure(startTime, source)
	}
	storeCalls := 0
	for now := startTime; now.Before(startTime.Add(time.Minute)); {
		source, wait = s.Next(now)
		if wait > 0 {
			test.LessEq(t, maxRelayBackoff, wait, test.Sprint("a relay is tried again within a second"))
			now = now.Add(wait)
			continue
		}
		if !source.IsRelay {
			storeCalls++
		}
		s.RecordFailure(now, source)
	}
	test.Between(t, 15, storeCalls, 20)
	source, _ = s.Next(startTime.Add(time.Hour))
	s.RecordSuccess(source)
	test.EqOp(t, ordered[0].VM, source.VM)
}

// Guards against a selector that waits forever, or returns a source that may not be tried yet.
func TestSelectorAlwaysFindsASource(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewSelector()
		now := startTime
		blocked := map[string]time.Time{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if rapid.IntRange(0, 9).Draw(t, "change") == 0 {
				list := candidates(2)
				s.SetCandidates(Order(list[:rapid.IntRange(0, len(list)).Draw(t, "candidates")], "a", regionOf))
				blocked = map[string]time.Time{}
			}
			source, wait := s.Next(now)
			if wait > 0 {
				if wait > maxStoreBackoff {
					t.Fatalf("waits %s", wait)
				}
				now = now.Add(wait)
				continue
			}
			if now.Before(blocked[source.VM]) {
				t.Fatalf("%q may not be tried yet", source.VM)
			}
			if rapid.Bool().Draw(t, "fails") {
				s.RecordFailure(now, source)
				blocked[source.VM] = now.Add(minBackoff)
			} else {
				s.RecordSuccess(source)
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "elapsed")) * time.Millisecond)
		}
	})
}
