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

func response(id string, status int, body string) deployment.Response {
	h := http.Header{}
	h.Set("X-Jackdawbay-Request-Id", id)
	return deployment.Response{Status: status, Header: h, Body: body}
}

func stream(id string, n int) string {
	var b strings.Builder
	for i := 1; i <= n; i++ {
		b.WriteString(backend.EventText(id, i))
	}
	return b.String()
}

// Guards against checks that cannot fail: each broken promise must be found, and a sound run must pass.
func TestChecksFindBrokenPromises(t *testing.T) {
	order := deployment.Call{ID: "a", Body: "order"}
	turn := deployment.Call{ID: "a", Program: "p", Budget: most}
	run := func(body string) backend.Run { return backend.Run{ID: "a", Body: body} }
	cut := func(a deployment.Response) deployment.Response { a.Err = errors.New("cut"); return a }
	signed := response("a", 503, "")
	signed.Header.Set("X-Jackdawbay-Server-Stamp", "s")
	cases := map[string]struct {
		call    deployment.Call
		answers []deployment.Response
		runs    []backend.Run
		want    string // Empty for a sound run.
	}{
		"sound order":                 {order, []deployment.Response{response("a", 200, backend.ResponseBody("a"))}, []backend.Run{run("order")}, ""},
		"sound turn":                  {turn, []deployment.Response{response("a", 200, stream("a", events))}, nil, ""},
		"broken stream that shows it": {turn, []deployment.Response{cut(response("a", 200, stream("a", 2)))}, nil, ""},
		"ran twice":                   {order, nil, []backend.Run{run("order"), run("order")}, "ran 2 times"},
		"refused and ran":             {order, []deployment.Response{response("a", 503, "")}, []backend.Run{run("order")}, "was answered 503 and ran"},
		"402 and ran":                 {order, []deployment.Response{response("a", 402, "")}, []backend.Run{run("order")}, "was answered 402 and ran"},
		"other body at the upstream":  {order, nil, []backend.Run{run("orde")}, "are not the history"},
		"other body at the caller":    {order, []deployment.Response{response("a", 200, "x")}, nil, "another body"},
		"response to another request": {order, []deployment.Response{response("b", 200, backend.ResponseBody("a"))}, nil, "response to b"},
		"signed refusal":              {order, []deployment.Response{signed}, nil, "signature"},
		"event twice":                 {turn, []deployment.Response{response("a", 200, stream("a", 2)+stream("a", 2))}, nil, "event 3"},
		"stream looks complete":       {turn, []deployment.Response{response("a", 200, stream("a", 2))}, nil, "looks complete"},
		"budget passed": {turn, []deployment.Response{response("a", 200, stream("a", events)), response("a", 200, stream("a", events)),
			response("a", 200, stream("a", events))}, nil, "with a budget of"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			checks := newChecks()
			checks.begin(c.call, c.call.Body, c.call.Program == "")
			for _, a := range c.answers {
				checks.end(c.call, a)
			}
			checks.compare(map[string][]backend.Run{"a": c.runs})
			if c.want == "" {
				test.SliceEmpty(t, checks.violations)
				return
			}
			test.StrContains(t, strings.Join(checks.violations, "\n"), c.want)
		})
	}
}

// Guards against a time limit that a fast disk extends, and against one that a slow disk extends without end.
func TestLimitCountsNoSlowSyncs(t *testing.T) {
	s := &soak{}
	s.disk.add(time.Hour)
	l := s.within(0)
	s.disk.add(slowSync)
	test.EqOp(t, 0, l.extension())
	test.True(t, l.passed())
	s.disk.add(2 * slowSync)
	s.disk.add(3 * slowSync)
	test.EqOp(t, 5*slowSync, l.extension())
	test.False(t, l.passed())
	s.disk.add(time.Hour)
	test.EqOp(t, longestStall, l.extension())
}
