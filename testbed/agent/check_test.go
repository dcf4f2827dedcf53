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

// world is what daemons, services and engines answer in a test, and the report of a caller.
type world struct {
	runs    map[string]int
	state   caller.Program
	history []caller.Turn
	cache   []string
	report  Program
}

const programID = "falls-a.01J00000000000000000000000"

func turnsOf(t *testing.T, keys ...string) ([]caller.Turn, string) {
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

func soundWorld(t *testing.T) *world {
	t.Helper()
	turns, digest := turnsOf(t, "k1", "k2")
	return &world{
		runs:    map[string]int{"k1": 1, "k2": 1},
		state:   caller.Program{ID: programID, Digest: digest, BudgetTokens: 100, SpentTokens: 20},
		history: turns,
		report: Program{
			ID: programID, RequestedBudgetTokens: 100, Turns: turns, Digest: digest, Ended: true,
			Orders: []Order{{Key: "k1", Outcome: ReportedDone}, {Key: "k2", Outcome: ReportedDone}, {Key: "k3", Outcome: ReportedNotRun}},
		},
	}
}

func (w *world) serve(t *testing.T) string {
	t.Helper()
	answer := func(rw http.ResponseWriter, value any) { _ = json.NewEncoder(rw).Encode(value) }
	server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path == "/control/runs":
			answer(rw, map[string]any{"runs": w.runs})
		case r.URL.Path == "/v1/cache":
			list := []map[string]any{}
			for _, id := range w.cache {
				list = append(list, map[string]any{"program": id, "tokens": 7})
			}
			answer(rw, map[string]any{"programs": list})
		case strings.HasSuffix(r.URL.Path, "/history"):
			answer(rw, map[string]any{"turns": w.history})
		default:
			answer(rw, w.state)
		}
	}))
	t.Cleanup(server.Close)
	return server.URL
}

func (w *world) check(t *testing.T) []string {
	t.Helper()
	url := w.serve(t)
	list, err := Check(t.Context(), CheckConfig{
		Topology: Topology{
			CallerURLs: map[string]string{"vm": url}, ServiceURLs: map[string]string{"printer": url}, EngineURLs: map[string]string{"e": url},
		},
		Reports:             []Report{{Programs: []Program{w.report}}},
		ResponseTimeout:     time.Second,
		CacheReleaseTimeout: 100 * time.Millisecond,
	})
	must.NoError(t, err)
	return list
}

// Guards against a final check that cannot fail: each change breaks one rule and must be reported.
func TestCheckReportsViolations(t *testing.T) {
	cases := []struct {
		name  string
		spoil func(*testing.T, *world)
		want  string
	}{
		{"key runs twice", func(_ *testing.T, w *world) { w.runs["k1"] = 2 }, "key k1 ran 2 times"},
		{"done and never ran", func(_ *testing.T, w *world) { delete(w.runs, "k2") }, "order k2 was answered as done, and it ran 0 times"},
		{"not run and ran", func(_ *testing.T, w *world) { w.runs["k3"] = 1 }, "order k3 was refused as not run, and it ran"},
		{"turn lost by the owner", func(_ *testing.T, w *world) { w.history = w.history[:1] }, "the owner has 1 turns, the caller got 2"},
		{"turn of another program", func(_ *testing.T, w *world) {
			w.history = append([]caller.Turn(nil), w.history...)
			w.history[1].CallKey = "other"
		}, "turn 2 differs from what the caller got"},
		{"history without its digest", func(_ *testing.T, w *world) { w.state.Digest = "x" }, "does not lead to the digest of its state"},
		{"turn that the caller never got", func(t *testing.T, w *world) {
			w.history, w.state.Digest = turnsOf(t, "k1", "k2", "k9")
		}, "the caller never got turn 3 (k9)"},
		{"answers with another digest", func(_ *testing.T, w *world) { w.report.Digest = "x" }, "another digest than its answers"},
		{"budget passed", func(_ *testing.T, w *world) { w.state.SpentTokens = 101 }, "spent 101 of 100 tokens"},
		{"budget passed by usage", func(_ *testing.T, w *world) {
			w.report.RequestedBudgetTokens = 19
			w.state.BudgetTokens = 19
			w.state.SpentTokens = 0
		}, "used 20 of 19 tokens"},
		{"cache held", func(_ *testing.T, w *world) { w.cache = []string{programID} }, "hold cache of ended programs"},
		{"fault of an answer", func(_ *testing.T, w *world) { w.report.Violations = []string{"wrong text"} }, "wrong text"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			w := soundWorld(t)
			tc.spoil(t, w)
			test.StrContains(t, strings.Join(w.check(t), "\n"), tc.want)
		})
	}
}

func TestCheckAcceptsSoundRun(t *testing.T) {
	w := soundWorld(t)
	w.cache = []string{"falls-a.of-a-program-that-runs"}
	test.SliceEmpty(t, w.check(t))
}

// Guards against a refusal that is taken for the truth about an earlier request whose answer was lost.
func TestOrderStateKeepsDoubt(t *testing.T) {
	lost := &orderState{}
	lost.refused(errLost)
	lost.refused(errNotRun)
	test.Eq(t, ReportedUnknown, lost.Outcome)
	refused := &orderState{}
	refused.refused(errNotRun)
	test.Eq(t, ReportedNotRun, refused.Outcome)
}

var (
	errLost   = errors.Mark(errors.New("connection broke"), client.ErrNoResponse)
	errNotRun = errkind.New(errkind.StoreUnavailable, "")
)
