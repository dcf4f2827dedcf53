package route

import (
	"testing"

	"github.com/shoenig/test"
)

func table() *Table {
	return NewTable(Config{Routes: []Route{
		{Name: "wide", Host: "A.example", PathPrefix: "/x/"},
		{Name: "narrow", Host: "a.example", PathPrefix: "/x/y/"},
		{Name: "other", Host: "b.example", PathPrefix: "/x/"},
	}})
}

// Guards against a request that goes to the service of a shorter prefix or of another host.
func TestLookup(t *testing.T) {
	cases := map[string]struct{ host, path, want string }{
		"longest prefix":     {"a.example", "/x/y/z", "narrow"},
		"shorter prefix":     {"a.example", "/x/z", "wide"},
		"host with a port":   {"a.example:80", "/x/", "wide"},
		"host in upper case": {"B.EXAMPLE", "/x/y/", "other"},
		"prefix ends inside": {"a.example", "/x", ""},
		"unknown host":       {"c.example", "/x/", ""},
		"unclean path":       {"a.example", "//x/", ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got := ""
			if r := table().Lookup(c.host, c.path); r != nil {
				got = r.Name
			}
			test.EqOp(t, c.want, got)
		})
	}
}

// Guards against a split that ignores its weights, or sends one request to two services.
func TestServiceFollowsWeights(t *testing.T) {
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

// Guards against a second run of what may run once only, against a promise "not run" for what may have run, and against a
// refusal of what could still be sent. The table is the whole rule.
func TestNextCoversEveryOutcome(t *testing.T) {
	kinds := map[string]*Route{
		"idempotent":       {Kind: Idempotent},
		"non-idempotent":   {Kind: NonIdempotent},
		"stream":           {Kind: Stream},
		"resumable stream": {Kind: Stream, Resumable: true},
	}
	type row struct {
		outcome Outcome
		may     bool
		want    map[string]Action
	}
	all := func(a Action) map[string]Action {
		return map[string]Action{"idempotent": a, "non-idempotent": a, "stream": a, "resumable stream": a}
	}
	repeat := map[string]Action{"idempotent": ResendRequest, "non-idempotent": FailRequest, "stream": FailRequest, "resumable stream": ResendRequest}
	rows := []row{
		{ResponseComplete, true, all(DeliverResponse)}, {ResponseComplete, false, all(DeliverResponse)},
		{UpstreamError, true, all(DeliverResponse)}, {UpstreamError, false, all(DeliverResponse)},
		{NotSent, true, all(ResendRequest)}, {NotSent, false, all(RejectRequest)},
		{Rejected, true, all(ResendRequest)}, {Rejected, false, all(RejectRequest)},
		{ResponseMissing, true, repeat}, {ResponseMissing, false, all(FailRequest)},
		{ResponseInvalid, true, repeat}, {ResponseInvalid, false, all(FailRequest)},
		{ResponseInterrupted, true, map[string]Action{"idempotent": FailRequest, "non-idempotent": FailRequest, "stream": FailRequest, "resumable stream": ResumeStream}},
		{ResponseInterrupted, false, all(FailRequest)},
	}
	for _, r := range rows {
		for name, kind := range kinds {
			test.EqOp(t, r.want[name], NextAction(kind, r.outcome, r.may), test.Sprintf("%s after %s, may=%v", name, r.outcome, r.may))
		}
	}
}
