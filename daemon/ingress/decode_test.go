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

// fixedNow is the current time when the deadlines of the corpus are checked.
var fixedNow = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func decodeCall(body []byte) (caller.Call, error) {
	var c caller.Call
	if err := DecodeStrict(body, &c); err != nil {
		return c, err
	}
	return c, ValidateCall(fixedNow, c)
}

// assertRejected checks that the kind of an error is that of an invalid request: it has a 4xx status, and states that the
// call did not run and must not be retried.
func assertRejected(t *testing.T, err error) {
	t.Helper()
	e := errkind.From(err)
	attributes := errkind.Lookup(e.Kind)
	test.NotEq(t, errkind.Internal, e.Kind, test.Sprint(err))
	test.Eq(t, errkind.NotRunTrue, attributes.NotRun, test.Sprint(e.Kind))
	test.Eq(t, errkind.RetryNever, attributes.Retry, test.Sprint(e.Kind))
	test.True(t, attributes.Status >= 400 && attributes.Status < 500, test.Sprint(e.Kind))
}

// Guards against a body that makes the decoder panic, and against a rejected body whose error kind is not that of an
// invalid request. Also guards against an accepted body that changes when it is encoded again for the owner, and against
// an accepted service call that cannot be sent to its service.
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
			assertRejected(t, err)
			return
		}
		raw, err := json.Marshal(c)
		must.NoError(t, err)
		decoded, err := decodeCall(raw)
		must.NoError(t, err, must.Sprintf("accepted, but rejected after encoding: %s", raw))
		reencoded, err := json.Marshal(decoded)
		must.NoError(t, err)
		test.Eq(t, string(raw), string(reencoded))
		if c.Kind == caller.CallService {
			assertSendable(t, *c.Service)
		}
	})
}

// assertSendable checks that a service call can be sent to the path that its caller specified.
func assertSendable(t *testing.T, s caller.ServiceCall) {
	t.Helper()
	r := (&call{body: caller.Call{Service: &s}}).newServiceRequest()
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

// Guards against a chat-completions body that makes the decoder panic, and against a rejected body whose error kind is not
// that of an invalid request.
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
			assertRejected(t, err)
			return
		}
		for _, m := range req.Messages {
			raw, err := json.Marshal(m)
			must.NoError(t, err)
			var decoded caller.Message
			must.NoError(t, json.Unmarshal(raw, &decoded))
			test.True(t, equalMessages(m, decoded), test.Sprint(string(raw)))
		}
	})
}

// Guards against a path that a service could interpret as a route other than the one in the record.
func TestIsUnambiguousPath(t *testing.T) {
	for path, want := range map[string]bool{
		"/": true, "/orders": true, "/orders/": true, "/orders/a%20b?x=../y": true, "/a..b/.c": true, "/orders?q=1": true,
		"": false, "orders": false, "//orders": false, "/a//b": false, "/a/../b": false, "/a/./b": false, "/a/..": false,
		"/a/%2e%2E/b": false, "/a%2f..%2fb": false, "/a#b": false, "/a\r\nb": false, "/a/%zz": false, "/a/..\\b": false, "/a b": false, "/a?b c": false, "/łódź": false,
		"http://127.0.0.1/a": false, "*": false,
	} {
		test.Eq(t, want, isUnambiguousPath(path), test.Sprint(path))
	}
}
