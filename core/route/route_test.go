package route

import (
	"testing"

	"github.com/shoenig/test"
)

func newTestTable() *Table {
	return NewTable(Config{Routes: []Route{
		{Name: "wide", Host: "A.example", PathPrefix: "/x/"},
		{Name: "narrow", Host: "a.example", PathPrefix: "/x/y/"},
		{Name: "other", Host: "b.example", PathPrefix: "/x/"},
	}})
}

// Guards against a request that is routed to the service of a shorter prefix or of another host.
func TestLookup(t *testing.T) {
	cases := map[string]struct{ host, path, want string }{
		"longest prefix":               {"a.example", "/x/y/z", "narrow"},
		"shorter prefix":               {"a.example", "/x/z", "wide"},
		"host with a port":             {"a.example:80", "/x/", "wide"},
		"host in upper case":           {"B.EXAMPLE", "/x/y/", "other"},
		"path without the final slash": {"a.example", "/x", ""},
		"unknown host":                 {"c.example", "/x/", ""},
		"unclean path":                 {"a.example", "//x/", ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got := ""
			if r := newTestTable().Lookup(c.host, c.path); r != nil {
				got = r.Name
			}
			test.EqOp(t, c.want, got)
		})
	}
}

// Guards against a traffic split that ignores the weights, or that sends one request to two services.
func TestSelectServiceFollowsWeights(t *testing.T) {
	r := &Route{Backends: []Backend{{"a", 90}, {"b", 10}, {"c", 0}}}
	counts := map[string]int{}
	for i := range 10000 {
		key := string(rune('a'+i%26)) + string(rune('A'+i/26%26)) + string(rune('0'+i/676))
		counts[r.SelectService(key)]++
		test.EqOp(t, r.SelectService(key), r.SelectService(key))
	}
	test.Between(t, 8500, counts["a"], 9500)
	test.Between(t, 500, counts["b"], 1500)
	test.EqOp(t, 0, counts["c"])
}

// Guards against repeating a request that may run only once, against reporting "not run" for a request that may have run,
// and against rejecting a request that can still be sent. The table covers every outcome.
func TestNextAction(t *testing.T) {
	routes := map[string]*Route{
		"idempotent":       {Kind: Idempotent},
		"non-idempotent":   {Kind: NonIdempotent},
		"stream":           {Kind: Stream},
		"resumable stream": {Kind: Stream, Resumable: true},
	}
	type row struct {
		outcome  Outcome
		canRetry bool
		want     map[string]Action
	}
	forAllRoutes := func(a Action) map[string]Action {
		return map[string]Action{"idempotent": a, "non-idempotent": a, "stream": a, "resumable stream": a}
	}
	resendIfRepeatable := map[string]Action{"idempotent": ResendRequest, "non-idempotent": FailRequest, "stream": FailRequest, "resumable stream": ResendRequest}
	rows := []row{
		{ResponseComplete, true, forAllRoutes(DeliverResponse)}, {ResponseComplete, false, forAllRoutes(DeliverResponse)},
		{UpstreamError, true, forAllRoutes(DeliverResponse)}, {UpstreamError, false, forAllRoutes(DeliverResponse)},
		{NotSent, true, forAllRoutes(ResendRequest)}, {NotSent, false, forAllRoutes(RejectRequest)},
		{Rejected, true, forAllRoutes(ResendRequest)}, {Rejected, false, forAllRoutes(RejectRequest)},
		{ResponseMissing, true, resendIfRepeatable}, {ResponseMissing, false, forAllRoutes(FailRequest)},
		{ResponseInvalid, true, resendIfRepeatable}, {ResponseInvalid, false, forAllRoutes(FailRequest)},
		{ResponseInterrupted, true, map[string]Action{"idempotent": FailRequest, "non-idempotent": FailRequest, "stream": FailRequest, "resumable stream": ResumeStream}},
		{ResponseInterrupted, false, forAllRoutes(FailRequest)},
	}
	for _, r := range rows {
		for name, route := range routes {
			test.EqOp(t, r.want[name], NextAction(route, r.outcome, r.canRetry), test.Sprintf("%s after %s, canRetry=%v", name, r.outcome, r.canRetry))
		}
	}
}
