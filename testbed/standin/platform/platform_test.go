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

// step is one request and the expected response. If want ends with "...", the body must start with the text before it. If want
// starts with "...", the body must end with the text after it.
type step struct {
	method, path, body string
	status             int // 0 if the connection is closed without a complete response.
	want               string
	revision           string // Value of Platform-Revision; not checked if empty.
}

func sendRequest(t *testing.T, url string, s step, header ...string) (int, string, http.Header) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, s.method, url+s.path, strings.NewReader(s.body))
	must.NoError(t, err)
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	// With a new connection for each request, the transport never retries a request by itself.
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

func checkStep(t *testing.T, url string, s step) {
	t.Helper()
	status, body, header := sendRequest(t, url, s)
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
	objectsPath = "/v1/objects/config"
	faultsPath  = "/control/faults"
)

func putStep(name string, ifVersion int, value string, status int, want string) step {
	return step{"PUT", objectsPath + "/" + name, fmt.Sprintf(`{"if_version":%d,"value":%s}`, ifVersion, value), status, want, ""}
}

func getStep(path string, status int, want string) step {
	return step{"GET", path, "", status, want, ""}
}

func faultStep(body string) step { return step{"PUT", faultsPath, body, 200, "", ""} }

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
			getStep(objectsPath+"/a", 404, `{"error":{"code":"not_found"...`),
			putStep("a", 0, `{"x": "<&>"}`, 200, created),
			getStep(objectsPath+"/a", 200, object("a", 1, `{"x":"<&>"}`)),
			putStep("a", 1, `2`, 200, `{"kind":"config","name":"a","version":2}`),
			{"GET", objectsPath + "/a", "", 200, object("a", 2, `2`), "2"},
		}},
		{"conflict returns the current object", Config{}, []step{
			putStep("a", 0, `1`, 200, created),
			putStep("a", 0, `2`, 409, `{"error":{"code":"conflict","message":"the version of the object differs"},"current":`+object("a", 1, "1")+`}`),
			putStep("b", 5, `2`, 409, `{"error":{"code":"conflict","message":"the version of the object differs"},"current":null}`),
		}},
		{"delete checks the version", Config{}, []step{
			putStep("a", 0, `1`, 200, created),
			{"DELETE", objectsPath + "/a?if_version=9", "", 409, `{"error":{"code":"conflict"...`, "1"},
			{"DELETE", objectsPath + "/a?if_version=1", "", 200, `{"version":2}`, "2"},
			{"DELETE", objectsPath + "/a", "", 404, `{"error":{"code":"not_found"...`, "2"},
			putStep("a", 1, `2`, 409, ""),
			putStep("a", 0, `2`, 200, `{"kind":"config","name":"a","version":3}`),
		}},
		{"value at and above the limit", Config{}, []step{
			putStep("a", 0, large, 200, created),
			putStep("b", 0, large[:1]+"x"+large[1:], 413, `{"error":{"code":"too_large"...`),
		}},
		{"malformed bodies", Config{}, []step{
			{"PUT", objectsPath + "/a", `{`, 400, `{"error":{"code":"bad_request"...`, "0"},
			{"PUT", objectsPath + "/a", `{"if_version":0}`, 400, `{"error":{"code":"bad_request"...`, "0"},
			getStep("/v1/watch/config?since=x", 400, ""),
		}},
		{"list by prefix in pages", Config{}, []step{
			putStep("m.b", 0, `1`, 200, ""), putStep("m.a", 0, `1`, 200, ""), putStep("n", 0, `1`, 200, ""),
			getStep(objectsPath+"?prefix=m.&limit=1", 200, `{"items":[`+object("m.a", 2, "1")+`],"more":true,"revision":3}`),
			getStep(objectsPath+"?prefix=m.&limit=1&after=m.a", 200, `{"items":[`+object("m.b", 1, "1")+`],"more":false,"revision":3}`),
			getStep("/v1/objects/other", 200, `{"items":[],"more":false,"revision":3}`),
		}},
		{"list ends a page at 4 MB", Config{}, []step{
			putStep("a", 0, large, 200, ""), putStep("b", 0, large, 200, ""), putStep("c", 0, large, 200, ""),
			putStep("d", 0, large, 200, ""), putStep("e", 0, large, 200, ""),
			getStep(objectsPath, 200, `..."}],"more":true,"revision":5}`),
			getStep(objectsPath+"?after=a", 200, `..."}],"more":false,"revision":5}`),
			getStep(objectsPath+"?after=d", 200, `{"items":[{"kind":"config","name":"e"...`),
		}},
		{"watch returns events after a revision", Config{}, []step{
			putStep("a", 0, `1`, 200, ""), putStep("b", 0, `1`, 200, ""), {"DELETE", objectsPath + "/a", "", 200, "", ""},
			getStep("/v1/watch/config?since=1&prefix=a", 200, `{"events":[{"revision":3,"type":"delete","object":{"kind":"config","name":"a","version":3}}],"revision":3}`),
			getStep("/v1/watch/config?since=2&wait_ms=0", 200, `{"events":[{"revision":3...`),
			getStep("/v1/watch/config?since=3&wait_ms=0", 200, `{"events":[],"revision":3}`),
		}},
		{"watch from before the retained events is a gap", Config{RetainedEvents: 2}, []step{
			putStep("a", 0, `1`, 200, ""), putStep("b", 0, `1`, 200, ""), putStep("c", 0, `1`, 200, ""),
			getStep("/v1/watch/config?since=0", 410, `{"error":{"code":"gap"...`),
			getStep("/v1/watch/config?since=1", 200, ""),
		}},
		{"snapshot and restore decrease the revision", Config{}, []step{
			putStep("a", 0, `1`, 200, ""), controlStep("POST", "snapshot"), putStep("a", 1, `2`, 200, ""),
			controlStep("POST", "restore"),
			{"GET", objectsPath + "/a", "", 200, object("a", 1, "1"), "1"},
			getStep("/v1/watch/config?since=2", 410, `{"error":{"code":"gap"...`),
		}},
		{"writes above the rate", Config{WritesPerSecond: 1}, []step{
			putStep("a", 0, `1`, 200, ""), putStep("b", 0, `1`, 429, `{"error":{"code":"rate_limited"...`),
			getStep(objectsPath+"/a", 200, ""),
		}},
		{"reads above the rate", Config{ReadsPerSecond: 1}, []step{
			getStep("/v1/watch/config?wait_ms=0", 200, ""), getStep(objectsPath, 429, `{"error":{"code":"rate_limited"...`),
		}},
		{"fault: outage", Config{}, []step{
			faultStep(`{"outage":true}`), {"PUT", objectsPath + "/a", `{"value":1}`, 503, `{"error":{"code":"unavailable"...`, "0"},
			faultStep(`{}`), getStep(objectsPath+"/a", 404, ""),
		}},
		{"fault: refuse has no effect", Config{}, []step{
			faultStep(`{"refuse":true}`), putStep("a", 0, `1`, 0, ""), faultStep(`{}`), getStep(objectsPath+"/a", 404, ""),
		}},
		{"fault: response lost after the write took effect", Config{}, []step{
			faultStep(`{"drop_answer_after_effect":1}`), getStep(objectsPath+"/a", 404, ""), putStep("a", 0, `1`, 0, ""),
			getStep(objectsPath+"/a", 200, object("a", 1, "1")), putStep("b", 0, `1`, 200, ""),
		}},
		{"fault: response cut after bytes", Config{}, []step{
			putStep("a", 0, `1`, 200, ""), faultStep(`{"cut_answer_after_bytes":7}`),
			getStep(objectsPath+"/a", 0, `{"kind"`), getStep(objectsPath+"/a", 200, ""),
		}},
		{"fault: malformed", Config{}, []step{
			faultStep(`{"malformed":1}`), getStep(objectsPath, 200, `{"truncated":`), getStep(objectsPath, 200, `{"items"...`),
		}},
		{"fault: oversized", Config{}, []step{
			faultStep(`{"oversized":1}`), getStep(objectsPath, 200, `{"padding":"xxx...`), getStep(objectsPath, 200, `{"items"...`),
		}},
		{"fault: status without an effect", Config{}, []step{
			faultStep(`{"status":500,"status_count":1}`), putStep("a", 0, `1`, 500, `{"error":{"code":"injected"...`), putStep("a", 0, `1`, 200, created),
		}},
		{"fault: stale reads return the state before the last write", Config{}, []step{
			putStep("a", 0, `1`, 200, ""), putStep("a", 1, `2`, 200, ""), putStep("b", 0, `1`, 200, ""), faultStep(`{"stale_reads":3}`),
			getStep(objectsPath+"/a", 200, object("a", 1, "1")), getStep(objectsPath+"/b", 404, ""),
			getStep(objectsPath, 200, `{"items":[`+object("a", 2, "2")+`],"more":false,"revision":2}`),
			getStep(objectsPath+"/a", 200, object("a", 2, "2")),
		}},
		{"fault: watch gap", Config{}, []step{
			faultStep(`{"watch_gap":true}`), getStep("/v1/watch/config", 410, ""), faultStep(`{}`), getStep("/v1/watch/config?wait_ms=0", 200, ""),
		}},
		{"faults: unknown field is rejected and absent fields are reset", Config{}, []step{
			{"PUT", faultsPath, `{"outages":true}`, 400, "", ""}, faultStep(`{"hang_ms":1,"latency_ms":1}`), faultStep(`{"malformed":2}`),
			getStep(faultsPath, 200, `{"outage":false,"latency_ms":0,"refuse":false,"drop_answer_after_effect":0,"cut_answer_after_bytes":0,"malformed":2...`),
		}},
		{"VM list lags", Config{}, []step{
			{"PUT", "/control/vms", `{"vms":[{"name":"v","data_centre":"falls-a","address":"127.0.2.1","state":"live"}]}`, 200, "", ""},
			getStep("/v1/vms", 200, `{"vms":[{"name":"v","data_centre":"falls-a","address":"127.0.2.1","state":"live"}]}`),
			{"PUT", "/control/vms", `{"vms":[],"lag_ms":60000}`, 200, "", ""},
			getStep("/v1/vms", 200, `{"vms":[{"name":"v"...`),
			{"PUT", "/control/vms", `{"vms":[{"name":"v","state":"gone"}]}`, 400, "", ""},
		}},
		{"stats count calls", Config{}, []step{
			putStep("a", 0, `1`, 200, ""), putStep("a", 0, `1`, 409, ""), getStep(objectsPath+"/a", 200, ""), getStep("/v1/watch/config", 200, ""),
			getStep("/control/stats", 200, `{"writes":2,"reads":2,"watches":1,"watches_waiting":0,"rate_limited":0,"conflicts":1,"bytes_in":52,"bytes_out"...`),
		}},
		{"names with a slash", Config{}, []step{
			putStep("Model.x%2Fy", 0, `1`, 200, `{"kind":"config","name":"Model.x/y","version":1}`), getStep(objectsPath+"/Model.x%2Fy", 200, ""),
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			server := httptest.NewServer(New(tc.cfg).Handler())
			defer server.Close()
			for _, s := range tc.steps {
				checkStep(t, server.URL, s)
			}
		})
	}
}

func TestKeys(t *testing.T) {
	server := httptest.NewServer(New(Config{Keys: []string{"old", "new"}}).Handler())
	defer server.Close()
	for header, want := range map[string]int{"": 401, "Bearer wrong": 401, "old": 401, "Bearer old": 200, "Bearer new": 200} {
		status, _, h := sendRequest(t, server.URL, step{method: "GET", path: objectsPath}, "Authorization", header)
		test.Eq(t, want, status, test.Sprint(header))
		test.Eq(t, "0", h.Get(RevisionHeader))
	}
	checkStep(t, server.URL, getStep("/control/stats", 200, ""))
}

// Guards against a pending watch that does not return after an event, a fault or a restore.
func TestPendingWatchEnds(t *testing.T) {
	cases := map[string]struct {
		trigger step
		status  int
		want    string
	}{
		"by a write":             {putStep("z", 0, `1`, 200, ""), 200, `{"events":[{"revision":3,"type":"put","object":{"kind":"config","name":"z"`},
		"by an outage":           {faultStep(`{"outage":true}`), 503, `{"error":{"code":"unavailable"`},
		"by a gap":               {faultStep(`{"watch_gap":true}`), 410, `{"error":{"code":"gap"`},
		"by a restore":           {controlStep("POST", "restore"), 410, `{"error":{"code":"gap"`},
		"by a closed connection": {faultStep(`{"refuse":true}`), 0, ``},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			p := New(Config{})
			server := httptest.NewServer(p.Handler())
			defer server.Close()
			checkStep(t, server.URL, putStep("a", 0, `1`, 200, ""))
			p.Snapshot()
			checkStep(t, server.URL, putStep("a", 1, `2`, 200, ""))
			var wg sync.WaitGroup
			wg.Go(func() {
				status, body, _ := sendRequest(t, server.URL, getStep("/v1/watch/config?since=2&wait_ms=9000", 0, ""))
				test.Eq(t, tc.status, status)
				test.StrHasPrefix(t, tc.want, body)
			})
			for p.Stats().WatchesWaiting == 0 {
				time.Sleep(time.Millisecond)
			}
			checkStep(t, server.URL, tc.trigger)
			wg.Wait()
			test.Eq(t, 0, p.Stats().WatchesWaiting)
		})
	}
}

// Guards against two concurrent updates that both succeed with the same version.
func TestConcurrentUpdatesHaveOneWinner(t *testing.T) {
	server := httptest.NewServer(New(Config{}).Handler())
	defer server.Close()
	var mu sync.Mutex
	counts := map[int]int{}
	var wg sync.WaitGroup
	for range 20 {
		wg.Go(func() {
			status, _, _ := sendRequest(t, server.URL, putStep("a", 0, `1`, 0, ""))
			mu.Lock()
			counts[status]++
			mu.Unlock()
		})
	}
	wg.Wait()
	test.Eq(t, map[int]int{200: 1, 409: 19}, counts)
}

// Guards against a hang fault that delays the effect of a write. The write must be visible while its response is delayed.
func TestHangDelaysOnlyTheResponse(t *testing.T) {
	p := New(Config{})
	server := httptest.NewServer(p.Handler())
	defer server.Close()
	checkStep(t, server.URL, faultStep(`{"hang_ms":60000}`))
	ctx, cancel := context.WithCancel(t.Context())
	r, err := http.NewRequestWithContext(ctx, "PUT", server.URL+objectsPath+"/a", bufio.NewReader(strings.NewReader(`{"value":1}`)))
	must.NoError(t, err)
	var wg sync.WaitGroup
	wg.Go(func() {
		_, err := http.DefaultClient.Do(r)
		test.ErrorIs(t, err, context.Canceled)
	})
	for p.Stats().Writes == 0 {
		time.Sleep(time.Millisecond)
	}
	checkStep(t, server.URL, faultStep(`{}`))
	checkStep(t, server.URL, getStep("/v1/watch/config?since=0", 200, `{"events":[{"revision":1...`))
	cancel()
	wg.Wait()
}

// readFunc is a request body that calls a function for each read.
type readFunc func(p []byte) (int, error)

func (f readFunc) Read(p []byte) (int, error) { return f(p) }

// TestWriteIsCountedWithItsEffect guards against a write that is counted before it takes effect. A test that waits for the count
// would then not always find the object.
func TestWriteIsCountedWithItsEffect(t *testing.T) {
	p := New(Config{})
	body := strings.NewReader(`{"value":1}`)
	r := httptest.NewRequest(http.MethodPut, objectsPath+"/a", readFunc(func(b []byte) (int, error) {
		test.EqOp(t, 0, p.Stats().Writes, test.Sprint("the body has not been read"))
		return body.Read(b)
	}))
	w := httptest.NewRecorder()
	p.Handler().ServeHTTP(w, r)
	must.EqOp(t, http.StatusOK, w.Code)
	test.EqOp(t, 1, p.Stats().Writes)
	for _, invalid := range []*http.Request{
		httptest.NewRequest(http.MethodPut, objectsPath+"/a", strings.NewReader("no JSON")),
		httptest.NewRequest(http.MethodDelete, objectsPath+"/a?if_version=x", nil),
	} {
		w := httptest.NewRecorder()
		p.Handler().ServeHTTP(w, invalid)
		must.EqOp(t, http.StatusBadRequest, w.Code)
	}
	test.EqOp(t, 3, p.Stats().Writes, test.Sprint("rejected writes count, too"))
}
