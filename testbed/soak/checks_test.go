package soak

import (
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"

	"jackdawbay.dev/testbed/deployment"
	"jackdawbay.dev/testbed/standin/backend"
)

func newResponse(id string, status int, body string) deployment.Response {
	h := http.Header{}
	h.Set("X-Jackdawbay-Request-Id", id)
	return deployment.Response{Status: status, Header: h, Body: body}
}

func streamBody(id string, n int) string {
	var b strings.Builder
	for i := 1; i <= n; i++ {
		b.WriteString(backend.EventText(id, i))
	}
	return b.String()
}

// Guards against checks that cannot fail: each violation must be detected, and a correct run must pass.
func TestCheckerDetectsViolations(t *testing.T) {
	order := deployment.Call{ID: "a", Body: "order"}
	turn := deployment.Call{ID: "a", Program: "p", Budget: turnTokens}
	run := func(body string) backend.Run { return backend.Run{ID: "a", Body: body} }
	cut := func(resp deployment.Response) deployment.Response { resp.Err = errors.New("cut"); return resp }
	signed := newResponse("a", 503, "")
	signed.Header.Set("X-Jackdawbay-Server-Stamp", "s")
	cases := map[string]struct {
		call      deployment.Call
		responses []deployment.Response
		runs      []backend.Run
		want      string // Empty for a correct run.
	}{
		"correct order":                  {order, []deployment.Response{newResponse("a", 200, backend.ResponseBody("a"))}, []backend.Run{run("order")}, ""},
		"correct turn":                   {turn, []deployment.Response{newResponse("a", 200, streamBody("a", eventsPerStream))}, nil, ""},
		"truncated stream with an error": {turn, []deployment.Response{cut(newResponse("a", 200, streamBody("a", 2)))}, nil, ""},
		"ran twice":                      {order, nil, []backend.Run{run("order"), run("order")}, "ran 2 times"},
		"rejected and ran":               {order, []deployment.Response{newResponse("a", 503, "")}, []backend.Run{run("order")}, "rejected with status 503 but ran"},
		"402 and ran":                    {order, []deployment.Response{newResponse("a", 402, "")}, []backend.Run{run("order")}, "rejected with status 402 but ran"},
		"wrong body at the upstream":     {order, nil, []backend.Run{run("orde")}, "are not the history"},
		"wrong body at the caller":       {order, []deployment.Response{newResponse("a", 200, "x")}, nil, "wrong body"},
		"response to another request":    {order, []deployment.Response{newResponse("b", 200, backend.ResponseBody("a"))}, nil, "response to b"},
		"signed rejection":               {order, []deployment.Response{signed}, nil, "signature"},
		"event twice":                    {turn, []deployment.Response{newResponse("a", 200, streamBody("a", 2)+streamBody("a", 2))}, nil, "event 3"},
		"stream looks complete":          {turn, []deployment.Response{newResponse("a", 200, streamBody("a", 2))}, nil, "looks complete"},
		"budget exceeded": {turn, []deployment.Response{newResponse("a", 200, streamBody("a", eventsPerStream)), newResponse("a", 200, streamBody("a", eventsPerStream)),
			newResponse("a", 200, streamBody("a", eventsPerStream))}, nil, "with a budget of"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			checks := newChecker()
			checks.recordRequest(c.call, c.call.Body, c.call.Program == "")
			for _, resp := range c.responses {
				checks.checkResponse(c.call, resp)
			}
			checks.checkUpstreamRuns(map[string][]backend.Run{"a": c.runs})
			if c.want == "" {
				test.SliceEmpty(t, checks.violations)
				return
			}
			test.StrContains(t, strings.Join(checks.violations, "\n"), c.want)
		})
	}
}

// Guards against a time limit that is extended although the disk is fast, and against one that a slow disk extends without
// limit.
func TestTimeLimitExcludesSlowSyncs(t *testing.T) {
	s := &soakRun{}
	s.disk.recordSync(time.Hour)
	limit := s.newTimeLimit(0)
	s.disk.recordSync(slowSyncThreshold)
	test.EqOp(t, 0, limit.extension())
	test.True(t, limit.isExpired())
	s.disk.recordSync(2 * slowSyncThreshold)
	s.disk.recordSync(3 * slowSyncThreshold)
	test.EqOp(t, 5*slowSyncThreshold, limit.extension())
	test.False(t, limit.isExpired())
	s.disk.recordSync(time.Hour)
	test.EqOp(t, maxExtension, limit.extension())
}
