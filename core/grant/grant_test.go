package grant

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// TestPoolAllocate guards against a pool that allocates more than the share of its data centre, or less than a call
// needs.
func TestPoolAllocate(t *testing.T) {
	const today, tomorrow = "2026-12-04", "2026-12-05"
	cases := []struct {
		name               string
		pool               Pool
		day                string
		limit, need, want  int64
		allocated, granted int64
	}{
		{"fresh pool", Pool{}, today, 100, 10, 40, 40, 40},
		{"less left than wanted", Pool{Day: today, Granted: 80}, today, 100, 10, 40, 20, 100},
		{"less left than needed", Pool{Day: today, Granted: 95}, today, 100, 10, 40, 0, 95},
		{"new day resets the pool", Pool{Day: today, Granted: 100}, tomorrow, 100, 10, 40, 40, 40},
		{"pool of a later day", Pool{Day: tomorrow, Granted: 5}, today, 100, 10, 40, 0, 5},
		{"needed tokens exceed the wanted tokens", Pool{}, today, 100, 50, 40, 50, 50},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			pool, allocated := c.pool.Allocate(c.day, c.limit, c.need, c.want)
			must.Eq(t, c.allocated, allocated)
			must.Eq(t, c.granted, pool.Granted)
		})
	}
}

// TestDaemonsTogetherStayBelowLimit guards against spending above the limit by several daemons that allocate, use, lose
// and return tokens in any order.
func TestDaemonsTogetherStayBelowLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const day, tenant, limit = "2026-12-04", "club", int64(10_000)
		var pool Pool
		ledgers := []*Ledger{NewLedger(), NewLedger(), NewLedger()}
		spent := int64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, len(ledgers)-1).Draw(t, "daemon")
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				ledgers[i] = NewLedger() // The daemon crashes and loses its grant.
			case 1:
				pool = pool.Return(day, ledgers[i].ReleaseUnused(day, tenant))
			default:
				need := rapid.Int64Range(1, 900).Draw(t, "need")
				if missing := ledgers[i].Reserve(day, tenant, need); missing > 0 {
					var allocated int64
					pool, allocated = pool.Allocate(day, limit, missing, GrantSize(limit, need, len(ledgers)))
					ledgers[i].AddGrant(day, tenant, allocated)
					if ledgers[i].Reserve(day, tenant, need) > 0 {
						continue
					}
				}
				used := rapid.Int64Range(0, need).Draw(t, "used")
				ledgers[i].Settle(day, tenant, need, used)
				spent += used
			}
			if spent > limit || pool.Granted > limit {
				t.Fatalf("spent %d, granted %d of %d", spent, pool.Granted, limit)
			}
		}
	})
}
