package ingress

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"jackdawbay.dev/api/caller"
	"jackdawbay.dev/api/errkind"
)

// decodeNow is the time at which the deadlines of the corpus are checked.
var decodeNow = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func decodeCall(body []byte) (caller.Call, error) {
	var c caller.Call
	if err := DecodeStrict(body, &c); err != nil {
		return c, err
	}
	return c, ValidateCall(decodeNow, c)
}

// assertRefused checks that a refusal has a kind that speaks of the request and claims no effect.
func assertRefused(t *testing.T, err error) {
	t.Helper()
	e := errkind.From(err)
	row := errkind.Lookup(e.Kind)
	test.NotEq(t, errkind.Internal, e.Kind, test.Sprint(err))
	test.Eq(t, errkind.NotRunTrue, row.NotRun, test.Sprint(e.Kind))
	test.Eq(t, errkind.RetryNever, row.Retry, test.Sprint(e.Kind))
	test.True(t, row.Status >= 400 && row.Status < 500, test.Sprint(e.Kind))
}

// Guards against a body that makes the decoder panic, that is refused with a kind that blames the daemon, or that is
// accepted and then means something else to the owner, who gets it encoded again, or cannot be sent to its service.
func FuzzCall(f *testing.F) {
	digest := strings.Repeat("a", 64)
	for _, seed := range []string{
		`{"sequence":1,"digest":"` + digest + `","call_key":"k","kind":"model","model":{"messages":[{"role":"user","content":"x"}]}}`,
		`{"sequence":1,"digest":"` + digest + `","call_key":"k","kind":"model","model":{"messages":[{"role":"user","content":[{"type":"text","text":"x"}]}]}}`,
		`{"sequence":1,"digest":"` + digest + `","call_key":"k","kind":"service","service":{"upstream":"printer","path":"/orders","body":{"n":1.0e3}}}`,
		`{"sequence":1,"digest":"` + digest + `","call_key":"k","kind":"service","service":{"upstream":"printer","path":"/orders/%2e%2e"}}`,
		`{"sequence":1,"digest":"` + digest + `","call_key":"k","kind":"model","deadline":"2020-01-01T00:00:00Z","model":{"messages":[]}}`,
		`{"sequence":18446744073709551616}`, `{"sequence":1e2}`, `{"window":[{"kind":"model"}]}`, `null`, `[]`, `"x"`, `{} {}`, `{`, ``,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		c, err := decodeCall(body)
		if err != nil {
			assertRefused(t, err)
			return
		}
		raw, err := json.Marshal(c)
		must.NoError(t, err)
		again, err := decodeCall(raw)
		must.NoError(t, err, must.Sprintf("accepted once, refused after encoding: %s", raw))
		second, err := json.Marshal(again)
		must.NoError(t, err)
		test.Eq(t, string(raw), string(second))
		if c.Kind == caller.CallService {
			assertSendable(t, *c.Service)
		}
	})
}

// assertSendable checks that a service call can be sent to the path that its caller named.
func assertSendable(t *testing.T, s caller.ServiceCall) {
	t.Helper()
	r := (&call{body: caller.Call{Service: &s}}).serviceRequest()
	req, err := http.NewRequest(r.Method, "http://127.0.0.1:1"+r.Path, bytes.NewReader(r.Body))
	must.NoError(t, err)
	test.Eq(t, "127.0.0.1:1", req.URL.Host)
	test.Eq(t, "", req.URL.Fragment)
	for segment := range strings.SplitSeq(req.URL.Path, "/") {
		test.True(t, segment != "." && segment != "..", test.Sprint(req.URL.Path))
	}
	var wire bytes.Buffer
	must.NoError(t, req.Write(&wire))
	line, _, _ := strings.Cut(wire.String(), "\r\n")
	test.Eq(t, 3, len(strings.Split(line, " ")), test.Sprint(line))
}

// Guards against a chat-completions body that makes the decoder panic or is refused with a kind that blames the daemon.
func FuzzChat(f *testing.F) {
	for _, seed := range []string{
		`{"model":"m","messages":[{"role":"user","content":"x"}],"temperature":0.5,"stream":true,"stream_options":{"include_usage":true}}`,
		`{"model":"m","messages":[{"role":"assistant","content":null,"tool_calls":[{"id":"1","type":"function","function":{"name":"f","arguments":"{}"}}]}]}`,
		`{"messages":"x"}`, `{"stream_options":null}`, `{"max_tokens":1.5}`, `null`, `[]`, `{`, ``,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		req, err := decodeChatBody(body)
		if err != nil {
			assertRefused(t, err)
			return
		}
		for _, m := range req.Messages {
			raw, err := json.Marshal(m)
			must.NoError(t, err)
			var again caller.Message
			must.NoError(t, json.Unmarshal(raw, &again))
			test.True(t, sameMessage(m, again), test.Sprint(string(raw)))
		}
	})
}

// Guards against a path that a service can read as another route than the one that the record names.
func TestPlainPath(t *testing.T) {
	for path, want := range map[string]bool{
		"/": true, "/orders": true, "/orders/": true, "/orders/a%20b?x=../y": true, "/a..b/.c": true, "/orders?q=1": true,
		"": false, "orders": false, "//orders": false, "/a//b": false, "/a/../b": false, "/a/./b": false, "/a/..": false,
		"/a/%2e%2E/b": false, "/a%2f..%2fb": false, "/a#b": false, "/a\r\nb": false, "/a/%zz": false, "/a/..\\b": false, "/a b": false, "/a?b c": false, "/łódź": false,
		"http://127.0.0.1/a": false, "*": false,
	} {
		test.Eq(t, want, plainPath(path), test.Sprint(path))
	}
}
