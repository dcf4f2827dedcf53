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

// state is everything that a refused request must leave as it is.
type state struct {
	Program string
	History string
	Orders  map[string]int
	Checks  map[string]int
	Engine  string
}

func (in *installation) runs(t *testing.T, s *service.Server) map[string]int {
	t.Helper()
	var out struct {
		Runs map[string]int `json:"runs"`
	}
	w := recordControl(s.Handler(), "/control/runs")
	must.NoError(t, json.Unmarshal(w, &out))
	return out.Runs
}

func (in *installation) state(t *testing.T, id string) state {
	t.Helper()
	get := func(path string) string {
		got := in.send(t, request{method: http.MethodGet, path: path, key: "Bearer " + tenantKey})
		must.Eq(t, http.StatusOK, got.status)
		return string(got.body)
	}
	return state{
		Program: get("/v1/programs/" + id),
		History: get("/v1/programs/" + id + "/history"),
		Orders:  in.runs(t, in.printer),
		Checks:  in.runs(t, in.stock),
		Engine:  in.completionTokens(t),
	}
}

// completionTokens returns the token counters of the daemon, which rise with every model call that ran.
func (in *installation) completionTokens(t *testing.T) string {
	var lines []string
	for line := range strings.Lines(in.metrics(t)) {
		if strings.HasPrefix(line, "jackdawbay_completion_tokens_total") {
			lines = append(lines, line)
		}
	}
	return strings.Join(lines, "")
}

// prepared is a program with one model turn and one order, all durable.
type prepared struct {
	*client.Program
	in *installation
}

func prepare(t *testing.T, in *installation) prepared {
	t.Helper()
	p, err := in.client().Create(t.Context(), caller.CreateProgram{Model: model, BudgetTokens: 100_000})
	must.NoError(t, err)
	_, err = p.RetryUntilFinal(t.Context(), func(ctx context.Context) (caller.Result, error) {
		return p.InvokeModel(ctx, "draft", userCall("Draft a jersey."), nil)
	})
	must.NoError(t, err)
	_, err = p.InvokeService(t.Context(), "print", caller.ServiceCall{Upstream: printer, Path: "/orders", Body: json.RawMessage(`{"business_key":"order-1"}`)})
	must.NoError(t, err)
	await(t, func() bool {
		d, err := p.Describe(t.Context())
		return err == nil && d.DurableSequence == p.Sequence
	})
	return prepared{Program: p, in: in}
}

func userCall(text string) caller.ModelCall {
	return caller.ModelCall{Messages: []caller.Message{{Role: "user", Content: caller.Text(text)}}, MaxTokens: 20}
}

// call returns the body of a correct next call after a change.
func (p prepared) call(change func(map[string]any)) string {
	body := map[string]any{
		"sequence": p.Sequence + 1, "digest": p.Digest, "call_key": "next", "kind": "model",
		"model": map[string]any{"messages": []any{map[string]any{"role": "user", "content": "Go on."}}, "max_tokens": 20},
	}
	if change != nil {
		change(body)
	}
	// Maps of basic types always encode.
	raw, _ := json.Marshal(body)
	return string(raw)
}

// order returns the body of a service call after a change.
func (p prepared) order(change func(call, service map[string]any)) string {
	return p.call(func(c map[string]any) {
		delete(c, "model")
		s := map[string]any{"upstream": printer, "path": "/orders", "body": map[string]any{"business_key": "order-2"}}
		c["kind"], c["service"] = "service", s
		if change != nil {
			change(c, s)
		}
	})
}

const hostileID = dataCentre + ".01ARZ3NDEKTSV4RRFFQ69G5FAV"

type refusalCase struct {
	name string
	req  request
	kind errkind.Kind
}

func (p prepared) refusals() []refusalCase {
	const key = "Bearer " + tenantKey
	calls := "/v1/programs/" + p.ID + "/calls"
	post := func(name, body string, kind errkind.Kind) refusalCase {
		return refusalCase{name, request{method: http.MethodPost, path: calls, key: key, body: body}, kind}
	}
	changed := func(name, field string, value any, kind errkind.Kind) refusalCase {
		return post(name, p.call(func(c map[string]any) { c[field] = value }), kind)
	}
	service := func(name, field string, value any, kind errkind.Kind) refusalCase {
		return post(name, p.order(func(_, s map[string]any) { s[field] = value }), kind)
	}
	other := func(name, method, path, body string, kind errkind.Kind) refusalCase {
		return refusalCase{name, request{method: method, path: path, key: key, body: body}, kind}
	}
	withKey := func(name, header string, kind errkind.Kind) refusalCase {
		return refusalCase{name, request{method: http.MethodPost, path: calls, key: header, body: p.call(nil)}, kind}
	}
	model := func(field string, value any) map[string]any {
		m := map[string]any{"messages": []any{map[string]any{"role": "user", "content": "Go on."}}, "max_tokens": 20}
		m[field] = value
		return m
	}
	return []refusalCase{
		post("body too large", p.call(func(c map[string]any) { c["receipt"] = strings.Repeat("x", maxBodyBytes) }), errkind.BodyTooLarge),
		post("empty body", "", errkind.MalformedBody),
		post("body cut off", p.call(nil)[:40], errkind.MalformedBody),
		post("two values", p.call(nil)+"{}", errkind.MalformedBody),
		changed("unknown field", "priority", 1, errkind.UnknownField),
		changed("unknown field of the model call", "model", model("temperature", 1), errkind.UnknownField),
		changed("text for a number", "sequence", "3", errkind.WrongType),
		changed("negative sequence", "sequence", -1, errkind.WrongType),
		changed("number for a text", "call_key", 7, errkind.WrongType),
		changed("deadline that is no time", "deadline", "tomorrow", errkind.WrongType),
		changed("image as content", "model", model("messages", []any{map[string]any{"role": "user", "content": []any{map[string]any{"type": "image_url"}}}}), errkind.WrongType),
		changed("sequence zero", "sequence", 0, errkind.InvalidValue),
		changed("digest in upper case", "digest", strings.ToUpper(p.Digest), errkind.InvalidValue),
		changed("no call key", "call_key", "", errkind.InvalidValue),
		changed("long call key", "call_key", strings.Repeat("k", 201), errkind.InvalidValue),
		changed("unknown kind", "kind", "shell", errkind.InvalidValue),
		changed("no messages", "model", model("messages", []any{}), errkind.InvalidValue),
		changed("negative output bound", "model", model("max_tokens", -1), errkind.InvalidValue),
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
		post("service call under the key of a model call", p.order(func(c, _ map[string]any) { c["call_key"] = "draft" }), errkind.CallKeyReused),
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
		other("unknown program", http.MethodPost, "/v1/programs/"+hostileID+"/calls", p.call(nil), errkind.ProgramNotFound),
		other("program id without a data centre", http.MethodGet, "/v1/programs/none", "", errkind.ProgramNotFound),
		other("program of an unknown data centre", http.MethodGet, "/v1/programs/atlantis.01ARZ3NDEKTSV4RRFFQ69G5FAV", "", errkind.ProgramNotFound),
		other("path that does not exist", http.MethodGet, "/v2/programs", "", errkind.PathNotFound),
		other("path that must be cleaned", http.MethodGet, "/v1//programs/"+p.ID, "", errkind.PathNotFound),
		other("method that does not exist", http.MethodPut, "/v1/programs/"+p.ID, "", errkind.MethodNotAllowed),
		other("history from no number", http.MethodGet, "/v1/programs/"+p.ID+"/history?from=x", "", errkind.InvalidValue),
		other("stream of sequence zero", http.MethodGet, "/v1/programs/"+p.ID+"/calls/0/stream", "", errkind.InvalidValue),
		other("stream with a negative offset", http.MethodGet, "/v1/programs/"+p.ID+"/calls/1/stream?offset=-1", "", errkind.InvalidValue),
		other("stream after the end of the answer", http.MethodGet, "/v1/programs/"+p.ID+"/calls/1/stream?offset=1000000", "", errkind.InvalidValue),
		other("stream of a call that never was", http.MethodGet, "/v1/programs/"+p.ID+"/calls/9/stream", "", errkind.StreamGone),
		other("program with an unknown model", http.MethodPost, "/v1/programs", `{"model":"no-such-model"}`, errkind.UnknownModel),
		other("program with a negative budget", http.MethodPost, "/v1/programs", `{"budget_tokens":-1}`, errkind.InvalidValue),
		other("program with an unknown field", http.MethodPost, "/v1/programs", `{"budget":1}`, errkind.UnknownField),
		other("chat without messages", http.MethodPost, "/v1/chat/completions", `{"model":"kit-model"}`, errkind.InvalidValue),
		other("chat with an unknown model", http.MethodPost, "/v1/chat/completions", `{"model":"none","messages":[{"role":"user","content":"x"}]}`, errkind.UnknownModel),
		other("chat with a wrong type", http.MethodPost, "/v1/chat/completions", `{"model":"kit-model","messages":"x"}`, errkind.WrongType),
	}
}

// Guards against a bad request that is answered outside the table of error kinds, that claims an effect, or that changes
// the history, the budget, or the ledger of a service.
func TestRefusalsChangeNothing(t *testing.T) {
	in := start(t)
	p := prepare(t, in)
	must.Eq(t, map[string]int{"order-1": 1}, in.state(t, p.ID).Orders)
	for _, tc := range p.refusals() {
		t.Run(tc.name, func(t *testing.T) {
			before := in.state(t, p.ID)
			got := in.send(t, tc.req)
			assertRefusal(t, got, tc.kind)
			test.Eq(t, before, in.state(t, p.ID))
		})
	}
	// The program still takes its next call, so no refusal has left an attempt in flight.
	got := in.send(t, request{method: http.MethodPost, path: "/v1/programs/" + p.ID + "/calls", key: "Bearer " + tenantKey, body: p.call(nil)})
	test.Eq(t, http.StatusOK, got.status, test.Sprint(string(got.body)))
}

func assertRefusal(t *testing.T, got response, kind errkind.Kind) {
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

// Guards against a tenant that can tell another tenant's program from one that does not exist.
func TestProgramOfAnotherTenantDoesNotExist(t *testing.T) {
	in := start(t)
	p := prepare(t, in)
	before := in.state(t, p.ID)
	ended, err := in.client().Create(t.Context(), caller.CreateProgram{})
	must.NoError(t, err)
	_, err = ended.End(t.Context())
	must.NoError(t, err)
	for _, tc := range []struct{ name, method, path, body string }{
		{"describe", http.MethodGet, "/v1/programs/%s", ""},
		{"history", http.MethodGet, "/v1/programs/%s/history", ""},
		{"stream", http.MethodGet, "/v1/programs/%s/calls/1/stream", ""},
		{"call", http.MethodPost, "/v1/programs/%s/calls", p.call(nil)},
		{"call with a receipt", http.MethodPost, "/v1/programs/%s/calls", p.call(func(c map[string]any) { c["receipt"] = p.Receipt })},
		{"repeat of a call", http.MethodPost, "/v1/programs/%s/calls", p.call(func(c map[string]any) { c["sequence"], c["call_key"] = 1, "draft" })},
		{"order", http.MethodPost, "/v1/programs/%s/calls", p.order(nil)},
		{"end", http.MethodDelete, "/v1/programs/%s", ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ask := func(id string) response {
				return in.send(t, request{method: tc.method, path: fmt.Sprintf(tc.path, id), key: "Bearer " + otherKey, body: tc.body})
			}
			want := ask(hostileID)
			assertRefusal(t, want, errkind.ProgramNotFound)
			for _, id := range []string{p.ID, ended.ID} {
				got := ask(id)
				test.Eq(t, want.status, got.status)
				test.Eq(t, string(want.body), string(got.body))
				want.header.Del("Date")
				got.header.Del("Date")
				test.Eq(t, want.header, got.header)
			}
			test.Eq(t, before, in.state(t, p.ID))
		})
	}
	chat := func(id string) response {
		return in.send(t, request{
			method: http.MethodPost, path: "/v1/chat/completions", key: "Bearer " + otherKey, header: http.Header{"Jackdawbay-Program": {id}},
			body: `{"model":"kit-model","messages":[{"role":"user","content":"x"}]}`,
		})
	}
	want, got := chat(hostileID), chat(p.ID)
	assertRefusal(t, got, errkind.ProgramNotFound)
	test.Eq(t, string(want.body), string(got.body))
	test.Eq(t, before, in.state(t, p.ID))
}
