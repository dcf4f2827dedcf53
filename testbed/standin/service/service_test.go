package service

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// sendRequest returns status 0 when the connection ends without a complete response.
func sendRequest(t *testing.T, method, url, body, key string) (int, string, http.Header) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	must.NoError(t, err)
	r.Close = true
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "", http.Header{}
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	must.NoError(t, err)
	return response.StatusCode, strings.TrimSpace(string(raw)), response.Header
}

func TestProtocol(t *testing.T) {
	const order = `{"business_key":"order-1"}`
	type step struct {
		method, path, body, key string
		status                  int
		want                    string
		replayed                string
	}
	call := func(key string, status int, want string) step {
		return step{"POST", "/orders", order, key, status, want, ""}
	}
	fault := func(body string) step { return step{"PUT", "/control/faults", body, "", 200, "", ""} }
	run := func(n string) string {
		return `{"method":"POST","path":"/orders","business_key":"order-1","run":` + n + `}`
	}
	cases := []struct {
		name   string
		honour bool
		steps  []step
		runs   map[string]int
	}{
		{"each call runs", false, []step{call("", 200, run("1")), call("", 200, run("2"))}, map[string]int{"order-1": 2}},
		{"a service that ignores keys runs each call", false, []step{
			call("k", 200, run("1")), call("k", 200, run("2")),
			{"GET", "/v1/idempotency/k", "", "", 501, `{"error":{"code":"not_supported"`, ""},
		}, map[string]int{"order-1": 2}},
		{"a key runs once", true, []step{
			call("k", 200, run("1")), {"POST", "/orders", order, "k", 200, run("1"), "true"}, call("l", 200, run("2")),
		}, map[string]int{"order-1": 2}},
		{"lookup of a key", true, []step{
			{"GET", "/v1/idempotency/k", "", "", 404, `{"error":{"code":"not_found"`, ""}, call("k", 200, ""),
			{"GET", "/v1/idempotency/k", "", "", 200, `{"body":` + run("1") + `,"status":200}`, ""},
		}, map[string]int{"order-1": 1}},
		{"calls without a business key", false, []step{
			{"GET", "/stock//a%2Fb?x=1", "", "", 200, `{"method":"GET","path":"/stock//a/b","run":0}`, ""},
			{"POST", "/orders", "{", "", 400, `{"error":{"code":"bad_request"`, ""},
		}, map[string]int{}},
		{"fault: response lost after the run", true, []step{
			fault(`{"drop_answer_after_effect":1}`), call("k", 0, ""), {"POST", "/orders", order, "k", 200, run("1"), "true"},
		}, map[string]int{"order-1": 1}},
		{"fault: refuse does not run", false, []step{
			fault(`{"refuse":true}`), call("", 0, ""), fault(`{}`),
		}, map[string]int{}},
		{"fault: status does not run", false, []step{
			fault(`{"status":503,"status_count":1}`), call("", 503, ""), call("", 200, run("1")),
		}, map[string]int{"order-1": 1}},
		{"fault: outage does not run", false, []step{fault(`{"outage":true}`), call("", 503, "")}, map[string]int{}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := New(Config{HonoursIdempotencyKeys: tc.honour})
			server := httptest.NewServer(s.Handler())
			defer server.Close()
			for _, step := range tc.steps {
				status, body, header := sendRequest(t, step.method, server.URL+step.path, step.body, step.key)
				must.Eq(t, step.status, status, must.Sprint(step, body))
				test.StrHasPrefix(t, step.want, body)
				test.Eq(t, step.replayed, header.Get("Idempotency-Replayed"), test.Sprint(step))
			}
			test.Eq(t, tc.runs, s.RunsByBusinessKey())
		})
	}
}

// Guards against a second run when a repeat arrives while the first call is in progress. Also guards against a lookup
// that reports during this time that the call has not run.
func TestRepeatDuringFirstCall(t *testing.T) {
	s := New(Config{HonoursIdempotencyKeys: true, Latency: 100 * time.Millisecond})
	server := httptest.NewServer(s.Handler())
	defer server.Close()
	var wg sync.WaitGroup
	for range 5 {
		wg.Go(func() {
			status, body, _ := sendRequest(t, "POST", server.URL+"/pay", `{"business_key":"b"}`, "k")
			test.Eq(t, 200, status)
			test.StrContains(t, body, `"run":1`)
		})
	}
	for len(s.RunsByBusinessKey()) == 0 {
		time.Sleep(time.Millisecond)
	}
	status, _, _ := sendRequest(t, "GET", server.URL+"/v1/idempotency/k", "", "")
	test.Eq(t, 200, status)
	wg.Wait()
	test.Eq(t, map[string]int{"b": 1}, s.RunsByBusinessKey())
}
