package callerapi

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"jackdawbay.dev/api/caller"
	"jackdawbay.dev/api/client"
	"jackdawbay.dev/api/errkind"
	"jackdawbay.dev/testbed/standin/service"
)

// observedState is the state that a rejected request must leave unchanged.
type observedState struct {
	Program string
	History string
	Orders  map[string]int
	Checks  map[string]int
	Engine  string
}

func (in *installation) countRuns(t *testing.T, s *service.Server) map[string]int {
	t.Helper()
	var decoded struct {
		Runs map[string]int `json:"runs"`
	}
	page := readControlPage(s.Handler(), "/control/runs")
	must.NoError(t, json.Unmarshal(page, &decoded))
	return decoded.Runs
}

func (in *installation) observeState(t *testing.T, id string) observedState {
	t.Helper()
	get := func(path string) string {
		got := in.send(t, request{method: http.MethodGet, path: path, authorization: "Bearer " + tenantKey})
		must.Eq(t, http.StatusOK, got.status)
		return string(got.body)
	}
	return observedState{
		Program: get("/v1/programs/" + id),
		History: get("/v1/programs/" + id + "/history"),
		Orders:  in.countRuns(t, in.printer),
		Checks:  in.countRuns(t, in.stock),
		Engine:  in.completionTokens(t),
	}
}

// completionTokens returns the completion token counters of the daemon, which increase with every model call that runs.
func (in *installation) completionTokens(t *testing.T) string {
	var lines []string
	for line := range strings.Lines(in.metrics(t)) {
		if strings.HasPrefix(line, "jackdawbay_completion_tokens_total") {
			lines = append(lines, line)
		}
	}
	return strings.Join(lines, "")
}

// preparedProgram is a program with one model turn and one order, both durable.
type preparedProgram struct {
	*client.Program
	in *installation
}

func prepareProgram(t *testing.T, in *installation) preparedProgram {
	t.Helper()
	p, err := in.client().Create(t.Context(), caller.CreateProgram{Model: model, BudgetTokens: 100_000})
	must.NoError(t, err)
	_, err = p.RetryUntilFinal(t.Context(), func(ctx context.Context) (caller.Result, error) {
		return p.InvokeModel(ctx, "draft", modelCall("Draft a jersey."), nil)
	})
	must.NoError(t, err)
	_, err = p.InvokeService(t.Context(), "print", caller.ServiceCall{Upstream: printer, Path: "/orders", Body: json.RawMessage(`{"business_key":"order-1"}`)})
	must.NoError(t, err)
	waitUntil(t, func() bool {
		d, err := p.Describe(t.Context())
		return err == nil && d.DurableSequence == p.Sequence
	})
	return preparedProgram{Program: p, in: in}
}

func modelCall(text string) caller.ModelCall {
	return caller.ModelCall{Messages: []caller.Message{{Role: "user", Content: caller.Text(text)}}, MaxTokens: 20}
}

// callBody returns the body of a valid next model call after modify has changed it.
func (p preparedProgram) callBody(modify func(map[string]any)) string {
	body := map[string]any{
		"sequence": p.Sequence + 1, "digest": p.Digest, "call_key": "next", "kind": "model",
		"model": map[string]any{"messages": []any{map[string]any{"role": "user", "content": "Go on."}}, "max_tokens": 20},
	}
	if modify != nil {
		modify(body)
	}
	// Maps of basic types always encode.
	raw, _ := json.Marshal(body)
	return string(raw)
}

// orderBody returns the body of a valid order after modify has changed it.
func (p preparedProgram) orderBody(modify func(call, service map[string]any)) string {
	return p.callBody(func(c map[string]any) {
		delete(c, "model")
		s := map[string]any{"upstream": printer, "path": "/orders", "body": map[string]any{"business_key": "order-2"}}
		c["kind"], c["service"] = "service", s
		if modify != nil {
			modify(c, s)
		}
	})
}

const unknownProgramID = dataCentre + ".01ARZ3NDEKTSV4RRFFQ69G5FAV"

type rejectionCase struct {
	name string
	req  request
	kind errkind.Kind
}

func (p preparedProgram) rejectionCases() []rejectionCase {
	const key = "Bearer " + tenantKey
	calls := "/v1/programs/" + p.ID + "/calls"
	post := func(name, body string, kind errkind.Kind) rejectionCase {
		return rejectionCase{name, request{method: http.MethodPost, path: calls, authorization: key, body: body}, kind}
	}
	changed := func(name, field string, value any, kind errkind.Kind) rejectionCase {
		return post(name, p.callBody(func(c map[string]any) { c[field] = value }), kind)
	}
	service := func(name, field string, value any, kind errkind.Kind) rejectionCase {
		return post(name, p.orderBody(func(_, s map[string]any) { s[field] = value }), kind)
	}
	other := func(name, method, path, body string, kind errkind.Kind) rejectionCase {
		return rejectionCase{name, request{method: method, path: path, authorization: key, body: body}, kind}
	}
	withKey := func(name, header string, kind errkind.Kind) rejectionCase {
		return rejectionCase{name, request{method: http.MethodPost, path: calls, authorization: header, body: p.callBody(nil)}, kind}
	}
	model := func(field string, value any) map[string]any {
		m := map[string]any{"messages": []any{map[string]any{"role": "user", "content": "Go on."}}, "max_tokens": 20}
		m[field] = value
		return m
	}
	return []rejectionCase{
		post("body too large", p.callBody(func(c map[string]any) { c["receipt"] = strings.Repeat("x", maxBodyBytes) }), errkind.BodyTooLarge),
		post("empty body", "", errkind.MalformedBody),
		post("body cut off", p.callBody(nil)[:40], errkind.MalformedBody),
		post("two values", p.callBody(nil)+"{}", errkind.MalformedBody),
		changed("unknown field", "priority", 1, errkind.UnknownField),
		changed("unknown field of the model call", "model", model("temperature", 1), errkind.UnknownField),
		changed("text for a number", "sequence", "3", errkind.WrongType),
		changed("negative sequence", "sequence", -1, errkind.WrongType),
		changed("number for a text", "call_key", 7, errkind.WrongType),
		changed("deadline that is not a time", "deadline", "tomorrow", errkind.WrongType),
		changed("image as content", "model", model("messages", []any{map[string]any{"role": "user", "content": []any{map[string]any{"type": "image_url"}}}}), errkind.WrongType),
		changed("sequence zero", "sequence", 0, errkind.InvalidValue),
		changed("digest in upper case", "digest", strings.ToUpper(p.Digest), errkind.InvalidValue),
		changed("no call key", "call_key", "", errkind.InvalidValue),
		changed("long call key", "call_key", strings.Repeat("k", 201), errkind.InvalidValue),
		changed("unknown kind", "kind", "shell", errkind.InvalidValue),
		changed("no messages", "model", model("messages", []any{}), errkind.InvalidValue),
		changed("negative output limit", "model", model("max_tokens", -1), errkind.InvalidValue),
		service("path without a slash", "path", "orders", errkind.InvalidValue),
		service("path that cannot be parsed", "path", "/orders/%zz", errkind.InvalidValue),
		service("path with a line break", "path", "/orders\r\nX-Injected: 1", errkind.InvalidValue),
		service("path with dot segments", "path", "/stock/../orders", errkind.InvalidValue),
		service("path with encoded dot segments", "path", "/stock/%2e%2e/orders", errkind.InvalidValue),
		service("method that is not allowed", "method", "CONNECT", errkind.InvalidValue),
		changed("wrong sequence", "sequence", p.Sequence, errkind.WrongSequence),
		changed("sequence after a gap", "sequence", p.Sequence+2, errkind.HistoryGap),
		changed("digest that does not match", "digest", strings.Repeat("0", 64), errkind.DigestMismatch),
		changed("second body under a used call key", "call_key", "draft", errkind.CallKeyReused),
		post("service call under the key of a model call", p.orderBody(func(c, _ map[string]any) { c["call_key"] = "draft" }), errkind.CallKeyReused),
		changed("unknown model", "model", model("model", "no-such-model"), errkind.UnknownModel),
		service("unknown upstream", "upstream", "no-such-service", errkind.UnknownUpstream),
		service("engine as a service", "upstream", "engine-1", errkind.UnknownUpstream),
		changed("deadline in the past", "deadline", time.Now().Add(-time.Second).Format(time.RFC3339Nano), errkind.DeadlinePast),
		changed("more tokens than the budget has", "model", model("max_tokens", 200_000), errkind.ProgramBudgetExhausted),
		withKey("header without a scheme", tenantKey, errkind.BadHeader),
		withKey("header of another scheme", "Basic dGVuYW50", errkind.BadHeader),
		withKey("header without a key", "Bearer ", errkind.BadHeader),
		withKey("missing key", "", errkind.Unauthenticated),
		withKey("wrong key", "Bearer wrong", errkind.Unauthenticated),
		other("unknown program", http.MethodPost, "/v1/programs/"+unknownProgramID+"/calls", p.callBody(nil), errkind.ProgramNotFound),
		other("program id without a data centre", http.MethodGet, "/v1/programs/none", "", errkind.ProgramNotFound),
		other("program of an unknown data centre", http.MethodGet, "/v1/programs/atlantis.01ARZ3NDEKTSV4RRFFQ69G5FAV", "", errkind.ProgramNotFound),
		other("path that does not exist", http.MethodGet, "/v2/programs", "", errkind.PathNotFound),
		other("path that must be cleaned", http.MethodGet, "/v1//programs/"+p.ID, "", errkind.PathNotFound),
		other("method that does not exist", http.MethodPut, "/v1/programs/"+p.ID, "", errkind.MethodNotAllowed),
		other("history from no number", http.MethodGet, "/v1/programs/"+p.ID+"/history?from=x", "", errkind.InvalidValue),
		other("stream of sequence zero", http.MethodGet, "/v1/programs/"+p.ID+"/calls/0/stream", "", errkind.InvalidValue),
		other("stream with a negative offset", http.MethodGet, "/v1/programs/"+p.ID+"/calls/1/stream?offset=-1", "", errkind.InvalidValue),
		other("stream after the end of the response", http.MethodGet, "/v1/programs/"+p.ID+"/calls/1/stream?offset=1000000", "", errkind.InvalidValue),
		other("stream of a call that does not exist", http.MethodGet, "/v1/programs/"+p.ID+"/calls/9/stream", "", errkind.StreamGone),
		other("program with an unknown model", http.MethodPost, "/v1/programs", `{"model":"no-such-model"}`, errkind.UnknownModel),
		other("program with a negative budget", http.MethodPost, "/v1/programs", `{"budget_tokens":-1}`, errkind.InvalidValue),
		other("program with an unknown field", http.MethodPost, "/v1/programs", `{"budget":1}`, errkind.UnknownField),
		other("chat without messages", http.MethodPost, "/v1/chat/completions", `{"model":"kit-model"}`, errkind.InvalidValue),
		other("chat with an unknown model", http.MethodPost, "/v1/chat/completions", `{"model":"none","messages":[{"role":"user","content":"x"}]}`, errkind.UnknownModel),
		other("chat with a wrong type", http.MethodPost, "/v1/chat/completions", `{"model":"kit-model","messages":"x"}`, errkind.WrongType),
	}
}

// Guards against an invalid request whose error is not in the table of error kinds or claims an effect, and against a
// rejection that changes the history, the budget or the ledger of a service.
func TestRejectionsLeaveStateUnchanged(t *testing.T) {
	in := startInstallation(t)
	p := prepareProgram(t, in)
	must.Eq(t, map[string]int{"order-1": 1}, in.observeState(t, p.ID).Orders)
	for _, tc := range p.rejectionCases() {
		t.Run(tc.name, func(t *testing.T) {
			before := in.observeState(t, p.ID)
			got := in.send(t, tc.req)
			assertRejection(t, got, tc.kind)
			test.Eq(t, before, in.observeState(t, p.ID))
		})
	}
	// The program still accepts its next call, so no rejection has left an attempt in flight.
	got := in.send(t, request{method: http.MethodPost, path: "/v1/programs/" + p.ID + "/calls", authorization: "Bearer " + tenantKey, body: p.callBody(nil)})
	test.Eq(t, http.StatusOK, got.status, test.Sprint(string(got.body)))
}

func assertRejection(t *testing.T, got response, kind errkind.Kind) {
	t.Helper()
	var body errkind.Body
	must.NoError(t, json.Unmarshal(got.body, &body), must.Sprintf("status %d, body %.300q", got.status, got.body))
	row := errkind.Lookup(kind)
	test.Eq(t, kind, body.Error.Code, test.Sprint(string(got.body)))
	test.Eq(t, row.Status, got.status)
	test.Eq(t, row.NotRun, body.Error.NotRun)
	test.Eq(t, row.Retry, body.Error.Retry)
	test.StrHasPrefix(t, row.Meaning, body.Error.Message)
	test.Eq(t, "application/json", got.header.Get("Content-Type"))
	for _, secret := range []string{tenantKey, otherKey, peerKey, upstreamKey, platformKey} {
		test.StrNotContains(t, string(got.body), secret)
	}
}

// Guards against a tenant that can distinguish another tenant's program from one that does not exist.
func TestProgramOfOtherTenantIsNotFound(t *testing.T) {
	in := startInstallation(t)
	p := prepareProgram(t, in)
	before := in.observeState(t, p.ID)
	ended, err := in.client().Create(t.Context(), caller.CreateProgram{})
	must.NoError(t, err)
	_, err = ended.End(t.Context())
	must.NoError(t, err)
	for _, tc := range []struct{ name, method, path, body string }{
		{"describe", http.MethodGet, "/v1/programs/%s", ""},
		{"history", http.MethodGet, "/v1/programs/%s/history", ""},
		{"stream", http.MethodGet, "/v1/programs/%s/calls/1/stream", ""},
		{"call", http.MethodPost, "/v1/programs/%s/calls", p.callBody(nil)},
		{"call with a receipt", http.MethodPost, "/v1/programs/%s/calls", p.callBody(func(c map[string]any) { c["receipt"] = p.Receipt })},
		{"repeat of a call", http.MethodPost, "/v1/programs/%s/calls", p.callBody(func(c map[string]any) { c["sequence"], c["call_key"] = 1, "draft" })},
		{"order", http.MethodPost, "/v1/programs/%s/calls", p.orderBody(nil)},
		{"end", http.MethodDelete, "/v1/programs/%s", ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			sendWithOtherKey := func(id string) response {
				return in.send(t, request{method: tc.method, path: fmt.Sprintf(tc.path, id), authorization: "Bearer " + otherKey, body: tc.body})
			}
			want := sendWithOtherKey(unknownProgramID)
			assertRejection(t, want, errkind.ProgramNotFound)
			for _, id := range []string{p.ID, ended.ID} {
				got := sendWithOtherKey(id)
				test.Eq(t, want.status, got.status)
				test.Eq(t, string(want.body), string(got.body))
				want.header.Del("Date")
				got.header.Del("Date")
				test.Eq(t, want.header, got.header)
			}
			test.Eq(t, before, in.observeState(t, p.ID))
		})
	}
	sendChat := func(id string) response {
		return in.send(t, request{
			method: http.MethodPost, path: "/v1/chat/completions", authorization: "Bearer " + otherKey, header: http.Header{"Jackdawbay-Program": {id}},
			body: `{"model":"kit-model","messages":[{"role":"user","content":"x"}]}`,
		})
	}
	want, got := sendChat(unknownProgramID), sendChat(p.ID)
	assertRejection(t, got, errkind.ProgramNotFound)
	test.Eq(t, string(want.body), string(got.body))
	test.Eq(t, before, in.observeState(t, p.ID))
}
