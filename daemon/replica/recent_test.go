package replica

import (
	"testing"
	"time"

	"github.com/shoenig/test"

	"jackdawbay.dev/core/replica"
)

// Guards against a failed member that is replaced late, because the successor does not know that it is new itself, or because the
// other members have restarted since it registered.
func TestRecentRegistrations(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	start := now.Add(-time.Hour)
	recent := recentRegistrations(map[string]time.Time{
		"a": start, "b": start.Add(time.Second), "successor": now.Add(-replica.RecentRegistration + time.Second),
		"spare": now.Add(-replica.RecentRegistration - time.Second), "earlier-version": {},
	}, now)
	test.Eq(t, map[string]bool{"a": false, "b": false, "successor": true, "spare": false, "earlier-version": false}, recent)

	recent = recentRegistrations(map[string]time.Time{"a": now.Add(-3 * time.Second), "b": now.Add(-2 * time.Second)}, now)
	test.Eq(t, map[string]bool{"a": false, "b": false}, recent, test.Sprint("VMs that start together replace none"))
}

// Guards against giving up a member while it cannot reach the store.
func TestObservedKeys(t *testing.T) {
	var o observedKeys
	start := time.Now()
	test.EqOp(t, 0, o.observe(start, []string{"a"}, false))
	test.EqOp(t, time.Second, o.observe(start.Add(time.Second), []string{"a"}, false))
	test.EqOp(t, 0, o.observe(start.Add(2*time.Second), []string{"a"}, true), test.Sprint("the store is away"))
	test.EqOp(t, time.Second, o.observe(start.Add(3*time.Second), []string{"a"}, false))
	test.EqOp(t, 0, o.observe(start.Add(4*time.Second), []string{"a", "b"}, false))
}
