package platform

import (
	"bufio"
	"context"
	"fmt"
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

// step is one request and what must come back. A body that ends in "..." is a prefix, one that starts
// with it a suffix.
type step struct {
	method, path, body string
	status             int // 0: the connection ends without a complete response.
	want               string
	revision           string // Platform-Revision, checked unless empty.
}

func send(t *testing.T, url string, s step, header ...string) (int, string, http.Header) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, s.method, url+s.path, strings.NewReader(s.body))
	must.NoError(t, err)
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	// A fresh connection for each request keeps the transport from repeating a request by itself.
	r.Close = true
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "", nil
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, string(body), response.Header
	}
	return response.StatusCode, strings.TrimSpace(string(body)), response.Header
}

func check(t *testing.T, url string, s step) {
	t.Helper()
	status, body, header := send(t, url, s)
	note := test.Sprintf("%s %s: %d %.300s", s.method, s.path, status, body)
	must.Eq(t, s.status, status, must.Sprintf("%s %s: %.300s", s.method, s.path, body))
	if prefix, ok := strings.CutSuffix(s.want, "..."); ok {
		test.StrHasPrefix(t, prefix, body, note)
	} else if suffix, ok := strings.CutPrefix(s.want, "..."); ok {
		test.StrHasSuffix(t, suffix, body, note)
	} else if s.want != "" {
		test.Eq(t, s.want, body, note)
	}
	if s.revision != "" {
		test.Eq(t, s.revision, header.Get(RevisionHeader), note)
	}
}

const (
	objects = "/v1/objects/config"
	faults  = "/control/faults"
)

func put(name string, ifVersion int, value string, status int, want string) step {
	return step{"PUT", objects + "/" + name, fmt.Sprintf(`{"if_version":%d,"value":%s}`, ifVersion, value), status, want, ""}
}

func get(path string, status int, want string) step { return step{"GET", path, "", status, want, ""} }

func fault(body string) step { return step{"PUT", faults, body, 200, "", ""} }

func controlStep(method, path string) step { return step{method, "/control/" + path, "", 200, "", ""} }

func TestProtocol(t *testing.T) {
	const created = `{"kind":"config","name":"a","version":1}`
	object := func(name string, version int, value string) string {
		return fmt.Sprintf(`{"kind":"config","name":%q,"version":%d,"value":%s}`, name, version, value)
	}
	large := `"` + strings.Repeat("x", MaxValueBytes-2) + `"`
	cases := []struct {
		name  string
		cfg   Config
		steps []step
	}{
		{"create, read and update", Config{}, []step{
			get(objects+"/a", 404, `{"error":{"code":"not_found"...`),
			put("a", 0, `{"x": "<&>"}`, 200, created),
			get(objects+"/a", 200, object("a", 1, `{"x":"<&>"}`)),
			put("a", 1, `2`, 200, `{"kind":"config","name":"a","version":2}`),
			{"GET", objects + "/a", "", 200, object("a", 2, `2`), "2"},
		}},
		{"conflict shows the current object", Config{}, []step{
			put("a", 0, `1`, 200, created),
			put("a", 0, `2`, 409, `{"error":{"code":"conflict","message":"the version of the object differs"},"current":`+object("a", 1, "1")+`}`),
			put("b", 5, `2`, 409, `{"error":{"code":"conflict","message":"the version of the object differs"},"current":null}`),
		}},
		{"delete checks the version", Config{}, []step{
			put("a", 0, `1`, 200, created),
			{"DELETE", objects + "/a?if_version=9", "", 409, `{"error":{"code":"conflict"...`, "1"},
			{"DELETE", objects + "/a?if_version=1", "", 200, `{"version":2}`, "2"},
			{"DELETE", objects + "/a", "", 404, `{"error":{"code":"not_found"...`, "2"},
			put("a", 1, `2`, 409, ""),
			put("a", 0, `2`, 200, `{"kind":"config","name":"a","version":3}`),
		}},
		{"value at and above the limit", Config{}, []step{
			put("a", 0, large, 200, created),
			put("b", 0, large[:1]+"x"+large[1:], 413, `{"error":{"code":"too_large"...`),
		}},
		{"malformed bodies", Config{}, []step{
			{"PUT", objects + "/a", `{`, 400, `{"error":{"code":"bad_request"...`, "0"},
			{"PUT", objects + "/a", `{"if_version":0}`, 400, `{"error":{"code":"bad_request"...`, "0"},
			get("/v1/watch/config?since=x", 400, ""),
		}},
		{"list by prefix in pages", Config{}, []step{
			put("m.b", 0, `1`, 200, ""), put("m.a", 0, `1`, 200, ""), put("n", 0, `1`, 200, ""),
			get(objects+"?prefix=m.&limit=1", 200, `{"items":[`+object("m.a", 2, "1")+`],"more":true,"revision":3}`),
			get(objects+"?prefix=m.&limit=1&after=m.a", 200, `{"items":[`+object("m.b", 1, "1")+`],"more":false,"revision":3}`),
			get("/v1/objects/other", 200, `{"items":[],"more":false,"revision":3}`),
		}},
		{"list ends a page at 4 MB", Config{}, []step{
			put("a", 0, large, 200, ""), put("b", 0, large, 200, ""), put("c", 0, large, 200, ""),
			put("d", 0, large, 200, ""), put("e", 0, large, 200, ""),
			get(objects, 200, `..."}],"more":true,"revision":5}`),
			get(objects+"?after=a", 200, `..."}],"more":false,"revision":5}`),
			get(objects+"?after=d", 200, `{"items":[{"kind":"config","name":"e"...`),
		}},
		{"watch sees events after a revision", Config{}, []step{
			put("a", 0, `1`, 200, ""), put("b", 0, `1`, 200, ""), {"DELETE", objects + "/a", "", 200, "", ""},
			get("/v1/watch/config?since=1&prefix=a", 200, `{"events":[{"revision":3,"type":"delete","object":{"kind":"config","name":"a","version":3}}],"revision":3}`),
			get("/v1/watch/config?since=2&wait_ms=0", 200, `{"events":[{"revision":3...`),
			get("/v1/watch/config?since=3&wait_ms=0", 200, `{"events":[],"revision":3}`),
		}},
		{"watch past kept events is a gap", Config{RetainedEvents: 2}, []step{
			put("a", 0, `1`, 200, ""), put("b", 0, `1`, 200, ""), put("c", 0, `1`, 200, ""),
			get("/v1/watch/config?since=0", 410, `{"error":{"code":"gap"...`),
			get("/v1/watch/config?since=1", 200, ""),
		}},
		{"snapshot and restore lower the revision", Config{}, []step{
			put("a", 0, `1`, 200, ""), controlStep("POST", "snapshot"), put("a", 1, `2`, 200, ""),
			controlStep("POST", "restore"),
			{"GET", objects + "/a", "", 200, object("a", 1, "1"), "1"},
			get("/v1/watch/config?since=2", 410, `{"error":{"code":"gap"...`),
		}},
		{"writes above the rate", Config{WritesPerSecond: 1}, []step{
			put("a", 0, `1`, 200, ""), put("b", 0, `1`, 429, `{"error":{"code":"rate_limited"...`),
			get(objects+"/a", 200, ""),
		}},
		{"reads above the rate", Config{ReadsPerSecond: 1}, []step{
			get("/v1/watch/config?wait_ms=0", 200, ""), get(objects, 429, `{"error":{"code":"rate_limited"...`),
		}},
		{"fault: outage", Config{}, []step{
			fault(`{"outage":true}`), {"PUT", objects + "/a", `{"value":1}`, 503, `{"error":{"code":"unavailable"...`, "0"},
			fault(`{}`), get(objects+"/a", 404, ""),
		}},
		{"fault: refuse has no effect", Config{}, []step{
			fault(`{"refuse":true}`), put("a", 0, `1`, 0, ""), fault(`{}`), get(objects+"/a", 404, ""),
		}},
		{"fault: response lost after the write took effect", Config{}, []step{
			fault(`{"drop_answer_after_effect":1}`), get(objects+"/a", 404, ""), put("a", 0, `1`, 0, ""),
			get(objects+"/a", 200, object("a", 1, "1")), put("b", 0, `1`, 200, ""),
		}},
		{"fault: response cut after bytes", Config{}, []step{
			put("a", 0, `1`, 200, ""), fault(`{"cut_answer_after_bytes":7}`),
			get(objects+"/a", 0, `{"kind"`), get(objects+"/a", 200, ""),
		}},
		{"fault: malformed", Config{}, []step{
			fault(`{"malformed":1}`), get(objects, 200, `{"truncated":`), get(objects, 200, `{"items"...`),
		}},
		{"fault: oversized", Config{}, []step{
			fault(`{"oversized":1}`), get(objects, 200, `{"padding":"xxx...`), get(objects, 200, `{"items"...`),
		}},
		{"fault: status without an effect", Config{}, []step{
			fault(`{"status":500,"status_count":1}`), put("a", 0, `1`, 500, `{"error":{"code":"injected"...`), put("a", 0, `1`, 200, created),
		}},
		{"fault: stale reads show the state before the last write", Config{}, []step{
			put("a", 0, `1`, 200, ""), put("a", 1, `2`, 200, ""), put("b", 0, `1`, 200, ""), fault(`{"stale_reads":3}`),
			get(objects+"/a", 200, object("a", 1, "1")), get(objects+"/b", 404, ""),
			get(objects, 200, `{"items":[`+object("a", 2, "2")+`],"more":false,"revision":2}`),
			get(objects+"/a", 200, object("a", 2, "2")),
		}},
		{"fault: watch gap", Config{}, []step{
			fault(`{"watch_gap":true}`), get("/v1/watch/config", 410, ""), fault(`{}`), get("/v1/watch/config?wait_ms=0", 200, ""),
		}},
		{"faults: unknown field is rejected and absent fields are reset", Config{}, []step{
			{"PUT", faults, `{"outages":true}`, 400, "", ""}, fault(`{"hang_ms":1,"latency_ms":1}`), fault(`{"malformed":2}`),
			get(faults, 200, `{"outage":false,"latency_ms":0,"refuse":false,"drop_answer_after_effect":0,"cut_answer_after_bytes":0,"malformed":2...`),
		}},
		{"VM list lags", Config{}, []step{
			{"PUT", "/control/vms", `{"vms":[{"name":"v","data_centre":"falls-a","address":"127.0.2.1","state":"live"}]}`, 200, "", ""},
			get("/v1/vms", 200, `{"vms":[{"name":"v","data_centre":"falls-a","address":"127.0.2.1","state":"live"}]}`),
			{"PUT", "/control/vms", `{"vms":[],"lag_ms":60000}`, 200, "", ""},
			get("/v1/vms", 200, `{"vms":[{"name":"v"...`),
			{"PUT", "/control/vms", `{"vms":[{"name":"v","state":"gone"}]}`, 400, "", ""},
		}},
		{"stats count calls", Config{}, []step{
			put("a", 0, `1`, 200, ""), put("a", 0, `1`, 409, ""), get(objects+"/a", 200, ""), get("/v1/watch/config", 200, ""),
			get("/control/stats", 200, `{"writes":2,"reads":2,"watches":1,"watches_waiting":0,"rate_limited":0,"conflicts":1,"bytes_in":52,"bytes_out"...`),
		}},
		{"names with a slash", Config{}, []step{
			put("Model.x%2Fy", 0, `1`, 200, `{"kind":"config","name":"Model.x/y","version":1}`), get(objects+"/Model.x%2Fy", 200, ""),
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			server := httptest.NewServer(New(tc.cfg).Handler())
			defer server.Close()
			for _, s := range tc.steps {
				check(t, server.URL, s)
			}
		})
	}
}

func TestKeys(t *testing.T) {
	server := httptest.NewServer(New(Config{Keys: []string{"old", "new"}}).Handler())
	defer server.Close()
	for header, want := range map[string]int{"": 401, "Bearer wrong": 401, "old": 401, "Bearer old": 200, "Bearer new": 200} {
		status, _, h := send(t, server.URL, step{method: "GET", path: objects}, "Authorization", header)
		test.Eq(t, want, status, test.Sprint(header))
		test.Eq(t, "0", h.Get(RevisionHeader))
	}
	check(t, server.URL, get("/control/stats", 200, ""))
}

// Guards against a pending watch that misses what ends it.
func TestPendingWatchEnds(t *testing.T) {
	cases := map[string]struct {
		trigger step
		status  int
		want    string
	}{
		"by a write":   {put("z", 0, `1`, 200, ""), 200, `{"events":[{"revision":3,"type":"put","object":{"kind":"config","name":"z"`},
		"by an outage": {fault(`{"outage":true}`), 503, `{"error":{"code":"unavailable"`},
		"by a gap":     {fault(`{"watch_gap":true}`), 410, `{"error":{"code":"gap"`},
		"by a restore": {controlStep("POST", "restore"), 410, `{"error":{"code":"gap"`},
		"by a refusal": {fault(`{"refuse":true}`), 0, ``},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			p := New(Config{})
			server := httptest.NewServer(p.Handler())
			defer server.Close()
			check(t, server.URL, put("a", 0, `1`, 200, ""))
			p.Snapshot()
			check(t, server.URL, put("a", 1, `2`, 200, ""))
			var wg sync.WaitGroup
			wg.Go(func() {
				status, body, _ := send(t, server.URL, get("/v1/watch/config?since=2&wait_ms=9000", 0, ""))
				test.Eq(t, tc.status, status)
				test.StrHasPrefix(t, tc.want, body)
			})
			for p.Stats().WatchesWaiting == 0 {
				time.Sleep(time.Millisecond)
			}
			check(t, server.URL, tc.trigger)
			wg.Wait()
			test.Eq(t, 0, p.Stats().WatchesWaiting)
		})
	}
}

// Guards against two winners of one version.
func TestConcurrentUpdatesHaveOneWinner(t *testing.T) {
	server := httptest.NewServer(New(Config{}).Handler())
	defer server.Close()
	var mu sync.Mutex
	counts := map[int]int{}
	var wg sync.WaitGroup
	for range 20 {
		wg.Go(func() {
			status, _, _ := send(t, server.URL, put("a", 0, `1`, 0, ""))
			mu.Lock()
			counts[status]++
			mu.Unlock()
		})
	}
	wg.Wait()
	test.Eq(t, map[int]int{200: 1, 409: 19}, counts)
}

// Guards against a hang that delays the effect: the write must be visible while its response is held back.
func TestHangHoldsBackOnlyTheResponse(t *testing.T) {
	p := New(Config{})
	server := httptest.NewServer(p.Handler())
	defer server.Close()
	check(t, server.URL, fault(`{"hang_ms":60000}`))
	ctx, cancel := context.WithCancel(t.Context())
	r, err := http.NewRequestWithContext(ctx, "PUT", server.URL+objects+"/a", bufio.NewReader(strings.NewReader(`{"value":1}`)))
	must.NoError(t, err)
	var wg sync.WaitGroup
	wg.Go(func() {
		_, err := http.DefaultClient.Do(r)
		test.ErrorIs(t, err, context.Canceled)
	})
	for p.Stats().Writes == 0 {
		time.Sleep(time.Millisecond)
	}
	check(t, server.URL, fault(`{}`))
	check(t, server.URL, get("/v1/watch/config?since=0", 200, `{"events":[{"revision":1...`))
	cancel()
	wg.Wait()
}
