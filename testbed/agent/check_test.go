package agent

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"jackdawbay.dev/api/caller"
	"jackdawbay.dev/api/client"
	"jackdawbay.dev/api/errkind"
)

// fakeInstallation holds the responses of daemons, services and engines in a test, and the report of a caller.
type fakeInstallation struct {
	runs    map[string]int
	state   caller.Program
	history []caller.Turn
	cache   []string
	report  Program
}

const programID = "falls-a.01J00000000000000000000000"

func buildTurns(t *testing.T, keys ...string) ([]caller.Turn, string) {
	t.Helper()
	digest := caller.InitialDigest(programID)
	var turns []caller.Turn
	for i, key := range keys {
		turn := caller.Turn{
			Sequence: uint64(i) + 1, CallKey: key, Kind: caller.CallService,
			Service:  &caller.ServiceCall{Upstream: "printer", Path: "/orders"},
			Response: &caller.ServiceResponse{Status: 200},
			Usage:    caller.Usage{PromptTokens: 10},
		}
		next, err := caller.NextDigest(digest, turn)
		must.NoError(t, err)
		digest = next
		turns = append(turns, turn)
	}
	return turns, digest
}

func validInstallation(t *testing.T) *fakeInstallation {
	t.Helper()
	turns, digest := buildTurns(t, "k1", "k2")
	return &fakeInstallation{
		runs:    map[string]int{"k1": 1, "k2": 1},
		state:   caller.Program{ID: programID, Digest: digest, BudgetTokens: 100, SpentTokens: 20},
		history: turns,
		report: Program{
			ID: programID, RequestedBudgetTokens: 100, Turns: turns, Digest: digest, Ended: true,
			Orders: []Order{{Key: "k1", Outcome: ReportedDone}, {Key: "k2", Outcome: ReportedDone}, {Key: "k3", Outcome: ReportedNotRun}},
		},
	}
}

func (f *fakeInstallation) serve(t *testing.T) string {
	t.Helper()
	respond := func(rw http.ResponseWriter, value any) { _ = json.NewEncoder(rw).Encode(value) }
	server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path == "/control/runs":
			respond(rw, map[string]any{"runs": f.runs})
		case r.URL.Path == "/v1/cache":
			list := []map[string]any{}
			for _, id := range f.cache {
				list = append(list, map[string]any{"program": id, "tokens": 7})
			}
			respond(rw, map[string]any{"programs": list})
		case strings.HasSuffix(r.URL.Path, "/history"):
			respond(rw, map[string]any{"turns": f.history})
		default:
			respond(rw, f.state)
		}
	}))
	t.Cleanup(server.Close)
	return server.URL
}

func (f *fakeInstallation) check(t *testing.T) []string {
	t.Helper()
	url := f.serve(t)
	violations, err := Check(t.Context(), CheckConfig{
		Topology: Topology{
			CallerURLs: map[string]string{"vm": url}, ServiceURLs: map[string]string{"printer": url}, EngineURLs: map[string]string{"e": url},
		},
		Reports:             []Report{{Programs: []Program{f.report}}},
		ResponseTimeout:     time.Second,
		CacheReleaseTimeout: 100 * time.Millisecond,
	})
	must.NoError(t, err)
	return violations
}

// Guards against a final check that cannot fail: each change violates one invariant and must be reported.
func TestCheckReportsViolations(t *testing.T) {
	cases := []struct {
		name    string
		corrupt func(*testing.T, *fakeInstallation)
		want    string
	}{
		{"key runs twice", func(_ *testing.T, f *fakeInstallation) { f.runs["k1"] = 2 }, "key k1 ran 2 times"},
		{"done and never ran", func(_ *testing.T, f *fakeInstallation) { delete(f.runs, "k2") }, "order k2 was reported as done but ran 0 times"},
		{"not run and ran", func(_ *testing.T, f *fakeInstallation) { f.runs["k3"] = 1 }, "order k3 was rejected as not run but ran"},
		{"turn lost by the owner", func(_ *testing.T, f *fakeInstallation) { f.history = f.history[:1] }, "the owner has 1 turns, the caller received 2"},
		{"turn of another program", func(_ *testing.T, f *fakeInstallation) {
			f.history = append([]caller.Turn(nil), f.history...)
			f.history[1].CallKey = "other"
		}, "turn 2 differs from the turn that the caller received"},
		{"history without its digest", func(_ *testing.T, f *fakeInstallation) { f.state.Digest = "x" }, "the digest of the history differs from the digest of its state"},
		{"turn that the caller did not receive", func(t *testing.T, f *fakeInstallation) {
			f.history, f.state.Digest = buildTurns(t, "k1", "k2", "k9")
		}, "the caller did not receive turn 3 (k9)"},
		{"responses with another digest", func(_ *testing.T, f *fakeInstallation) { f.report.Digest = "x" }, "differs from the digest of its responses"},
		{"budget exceeded", func(_ *testing.T, f *fakeInstallation) { f.state.SpentTokens = 101 }, "spent 101 of 100 tokens"},
		{"budget exceeded by usage", func(_ *testing.T, f *fakeInstallation) {
			f.report.RequestedBudgetTokens = 19
			f.state.BudgetTokens = 19
			f.state.SpentTokens = 0
		}, "used 20 of 19 tokens"},
		{"cache not released", func(_ *testing.T, f *fakeInstallation) { f.cache = []string{programID} }, "still cache ended programs"},
		{"violation in a report", func(_ *testing.T, f *fakeInstallation) { f.report.Violations = []string{"wrong text"} }, "wrong text"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := validInstallation(t)
			tc.corrupt(t, f)
			test.StrContains(t, strings.Join(f.check(t), "\n"), tc.want)
		})
	}
}

func TestCheckAcceptsValidRun(t *testing.T) {
	f := validInstallation(t)
	f.cache = []string{"falls-a.of-a-program-that-runs"}
	test.SliceEmpty(t, f.check(t))
}

// Guards against a rejection that is taken as the outcome of an earlier request whose response was lost.
func TestRejectionDoesNotResolveLostResponse(t *testing.T) {
	uncertain := &orderState{}
	uncertain.recordError(errNoResponse)
	uncertain.recordError(errNotRun)
	test.Eq(t, ReportedUnknown, uncertain.Outcome)
	rejected := &orderState{}
	rejected.recordError(errNotRun)
	test.Eq(t, ReportedNotRun, rejected.Outcome)
}

var (
	errNoResponse = errors.Mark(errors.New("connection broke"), client.ErrNoResponse)
	errNotRun     = errkind.New(errkind.StoreUnavailable, "")
)
