package quorum

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	core "jackdawbay.dev/core/replica"
	"jackdawbay.dev/daemon/replica"
)

// TestFirstFailedSet guards against a log line with another set, or other numbers, than those that decided the failure.
func TestFirstFailedSet(t *testing.T) {
	set := func(vms ...string) []core.Member { return viewOf(1, 1, vms...).Sets[0] }
	for name, c := range map[string]struct {
		sets       [][]core.Member
		responsive []string
		want       SetCounts
	}{
		"too few for a write":                {[][]core.Member{set("a", "b", "c")}, []string{"a"}, SetCounts{1, 3, 1, 2, 2}},
		"a set of two":                       {[][]core.Member{set("a", "b")}, []string{"b"}, SetCounts{1, 2, 1, 2, 1}},
		"an earlier set lacks a read quorum": {[][]core.Member{set("a", "b", "c"), set("a", "d", "e")}, []string{"a", "d", "e"}, SetCounts{1, 3, 1, 0, 2}},
		"the last set":                       {[][]core.Member{set("a", "b", "c"), set("a", "d", "e")}, []string{"a", "b"}, SetCounts{2, 3, 1, 2, 2}},
		"all have quorums":                   {[][]core.Member{set("a", "b", "c"), set("a", "d", "e")}, []string{"a", "b", "d"}, SetCounts{2, 3, 2, 2, 2}},
		"no view":                            {nil, nil, SetCounts{}},
	} {
		t.Run(name, func(t *testing.T) {
			responsive := map[string]bool{}
			for _, vm := range c.responsive {
				responsive[vm+"/d"] = true
			}
			v := core.View{Version: 1, ToleratedFailures: 1, Sets: c.sets}
			got := firstFailedSet(v, responsive)
			test.Eq(t, c.want, got)
			enough := len(c.sets) > 0 && v.IsWriteComplete(responsive) && v.IsReadComplete(responsive)
			test.EqOp(t, enough, got.Position > 0 && got.Responsive >= max(got.RequiredForRead, got.RequiredForWrite), test.Sprint("the counts must agree with the view"))
		})
	}
}

// TestFailureLogAttrs guards against log lines of rejected turns that do not state which member is unresponsive since when,
// the age of the view, and when the store last responded. In an incident, only the metrics of the store showed this.
func TestFailureLogAttrs(t *testing.T) {
	withFakeReplicas(t, viewOf(7, 1, "a", "b", "c"), func(t *testing.T, c *Client, h *fakeReplicas, _ *bytes.Buffer) {
		begin := func() Failure {
			t.Helper()
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			_, err := c.BeginTurn(ctx, "p", &core.Charge{Turn: "t"}, "", time.Minute, nothingCached)
			must.ErrorIs(t, err, ErrNoQuorum)
			f, ok := FailureOf(err)
			must.True(t, ok)
			return f
		}
		h.set("a", hang)
		h.set("b", hang)
		f := begin()
		test.EqOp(t, CauseTimeout, f.Cause)
		test.Eq(t, []string{"a", "b"}, f.Pending)
		time.Sleep(batchTimeout - 300*time.Millisecond)
		h.set("b", rejectDisk)
		time.Sleep(10 * time.Second)
		f = begin()
		test.EqOp(t, CauseUnresponsive, f.Cause)
		test.EqOp(t, 7, f.ViewVersion)
		test.Eq(t, SetCounts{1, 3, 1, 2, 2}, f.FailedSet)
		test.EqOp(t, "[cause members_silent view 7 set 1/1 answering 1/3 write 2 read 2 silent a/d 10s, b/d 9.94s disk gone owing  "+
			"view_age 10.7s view_source test store_answer_age never group 0]", fmt.Sprint(f.LogAttrs()))
		var exposition bytes.Buffer
		c.cfg.Metrics.WritePrometheus(&exposition)
		for _, line := range []string{
			"jackdawbay_view_version 7\n", "jackdawbay_quorum_members{state=\"answering\"} 1\n", "jackdawbay_quorum_members{state=\"silent\"} 1\n",
			"jackdawbay_quorum_members{state=\"gone\"} 1\n", "jackdawbay_store_answer_age_seconds{kind=\"" + replica.ViewKind + "\"} 10.7\n",
		} {
			test.StrContains(t, exposition.String(), line)
		}
	})
	withFakeReplicas(t, core.View{}, func(t *testing.T, c *Client, _ *fakeReplicas, _ *bytes.Buffer) {
		_, err := c.BeginTurn(t.Context(), "p", &core.Charge{Turn: "t"}, "", time.Minute, nothingCached)
		f, ok := FailureOf(err)
		must.True(t, ok)
		test.EqOp(t, CauseNoView, f.Cause)
	})
}
