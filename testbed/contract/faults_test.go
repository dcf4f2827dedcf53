package contract

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"jackdawbay.dev/daemon/platform"
	"jackdawbay.dev/daemon/transport"
	"jackdawbay.dev/daemon/upstream"
	"jackdawbay.dev/testbed/standin/engine"
	platformstandin "jackdawbay.dev/testbed/standin/platform"
	"jackdawbay.dev/testbed/standin/service"
)

// slowTimeout is the timeout of a request in the cases "slow", whose faults take longer. All other cases use defaultTimeout,
// since the race detector needs up to a second for a response of 16 MiB.
const (
	slowTimeout    = 500 * time.Millisecond
	defaultTimeout = 20 * time.Second
)

func requestTimeout(name string) time.Duration {
	if strings.HasPrefix(name, "slow") {
		return slowTimeout
	}
	return defaultTimeout
}

// standin is a stand-in that runs in the test process.
type standin struct {
	address string
	handler http.Handler
}

func startStandin(t *testing.T, h http.Handler) standin {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return standin{address: s.Listener.Addr().String(), handler: h}
}

// callControl calls the control interface, which faults do not affect, and decodes the response into result.
func (s standin) callControl(t *testing.T, method, path, body string, result any) {
	t.Helper()
	w := httptest.NewRecorder()
	s.handler.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	must.Eq(t, http.StatusOK, w.Code, must.Sprint(w.Body.String()))
	must.NoError(t, json.Unmarshal(w.Body.Bytes(), result))
}

func (s standin) setFaults(t *testing.T, faults string) {
	t.Helper()
	var out map[string]any
	s.callControl(t, http.MethodPut, "/control/faults", faults, &out)
}

// closedAddress returns an address without a listener.
func closedAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	must.NoError(t, l.Close())
	return l.Addr().String()
}

// assertIs checks that err wraps want, or that it is nil if want is nil.
func assertIs(t *testing.T, want, err error) {
	t.Helper()
	if want == nil {
		test.NoError(t, err)
		return
	}
	test.True(t, errors.Is(err, want), test.Sprintf("got %v, expected %v", err, want))
}

const platformKey = "platform-key"

func startPlatform(t *testing.T, timeout time.Duration) (standin, *platform.Client) {
	t.Helper()
	s := startStandin(t, platformstandin.New(platformstandin.Config{Keys: []string{platformKey}}).Handler())
	return s, newClientFactory(platformKey, timeout)(s.address)
}

// Guards against a platform client that treats a lost or damaged response as a rejection, or a rejection as a successful write.
// A write is sent once. Reads are retried up to the configured number of times.
func TestPlatformFaults(t *testing.T) {
	for _, tc := range []struct {
		name   string
		faults string
		write  error // Result of a write.
		effect bool  // Whether the write took effect.
		read   error // Result of a read.
	}{
		{"none", `{}`, nil, true, nil},
		{"slow before the effect", `{"latency_ms":1500}`, platform.ErrOutcomeUnknown, true, platform.ErrOutcomeUnknown},
		{"slow after the effect", `{"hang_ms":1500}`, platform.ErrOutcomeUnknown, true, platform.ErrOutcomeUnknown},
		{"connection closed without an effect", `{"refuse":true}`, platform.ErrOutcomeUnknown, false, platform.ErrOutcomeUnknown},
		{"outage", `{"outage":true}`, platform.ErrUnavailable, false, platform.ErrUnavailable},
		{"response lost after the effect", `{"drop_answer_after_effect":1}`, platform.ErrOutcomeUnknown, true, nil},
		{"cut in mid-response", `{"cut_answer_after_bytes":10}`, platform.ErrOutcomeUnknown, true, nil},
		{"malformed", `{"malformed":1}`, platform.ErrOutcomeUnknown, true, nil},
		{"larger than allowed", `{"oversized":1}`, platform.ErrOutcomeUnknown, true, nil},
		{"malformed every time", `{"malformed":9}`, platform.ErrOutcomeUnknown, true, platform.ErrOutcomeUnknown},
		{"rate limited", `{"status":429,"status_count":1}`, platform.ErrUnavailable, false, nil},
		{"unavailable once", `{"status":503,"status_count":1}`, platform.ErrUnavailable, false, nil},
		{"internal error", `{"status":500,"status_count":1}`, platform.ErrOutcomeUnknown, false, nil},
		{"bad request", `{"status":400,"status_count":1}`, platform.ErrRejected, false, platform.ErrRejected},
		{"key rejected", `{"status":401,"status_count":1}`, platform.ErrRejected, false, platform.ErrRejected},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			s, c := startPlatform(t, requestTimeout(tc.name))
			_, err := c.Put(t.Context(), "config", "a", 0, 1)
			must.NoError(t, err)
			before := writeCount(t, s)

			s.setFaults(t, tc.faults)
			_, err = c.Put(t.Context(), "config", "b", 0, 2)
			assertIs(t, tc.write, err)
			s.setFaults(t, tc.faults)
			err = c.Delete(t.Context(), "config", "a", 1)
			assertIs(t, tc.write, err)
			waitUntil(t, func() bool { return writeCount(t, s)-before == wantWrites(tc.effect) })

			s.setFaults(t, `{}`)
			_, err = c.Get(t.Context(), "config", "b")
			assertIs(t, wantGetError(tc.effect), err)
			_, err = c.Get(t.Context(), "config", "a")
			assertIs(t, wantGetError(!tc.effect), err)
			_, err = c.Put(t.Context(), "config", "c", 0, 3)
			must.NoError(t, err)

			s.setFaults(t, tc.faults)
			o, err := c.Get(t.Context(), "config", "c")
			assertIs(t, tc.read, err)
			if tc.read == nil {
				test.Eq(t, "3", string(o.Value))
			}
			s.setFaults(t, tc.faults)
			_, err = c.List(t.Context(), "config", "", "", 0)
			assertIs(t, tc.read, err)
			s.setFaults(t, tc.faults)
			_, err = c.VMs(t.Context())
			assertIs(t, tc.read, err)
		})
	}
}

func wantWrites(effect bool) int64 {
	if effect {
		return 2
	}
	return 0
}

func wantGetError(exists bool) error {
	if exists {
		return nil
	}
	return platform.ErrNotFound
}

func writeCount(t *testing.T, s standin) int64 {
	t.Helper()
	var stats platformstandin.Stats
	s.callControl(t, http.MethodGet, "/control/stats", "", &stats)
	return stats.Writes
}

func waitUntil(t *testing.T, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(5 * time.Second)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatal("condition not met in time")
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// Guards against a lost update. A write with a stale or missing version must return the current object.
func TestPlatformConflictReturnsCurrentObject(t *testing.T) {
	s, c := startPlatform(t, defaultTimeout)
	first, err := c.Put(t.Context(), "config", "a", 0, 1)
	must.NoError(t, err)
	second, err := c.Put(t.Context(), "config", "a", first, 2)
	must.NoError(t, err)

	s.setFaults(t, `{"stale_reads":1}`)
	stale, err := c.Get(t.Context(), "config", "a")
	must.NoError(t, err)
	must.Eq(t, first, stale.Version)
	for name, version := range map[string]uint64{"stale read": stale.Version, "creation": 0, "version that never existed": 99} {
		_, err = c.Put(t.Context(), "config", "a", version, 3)
		conflict, ok := platform.AsConflict(err)
		must.True(t, ok, must.Sprintf("%s: %v", name, err))
		test.Eq(t, second, conflict.Current.Version)
		test.Eq(t, "2", string(conflict.Current.Value))
		test.True(t, platform.IsAvailable(err))
	}
	_, err = c.Put(t.Context(), "config", "gone", 7, 3)
	conflict, ok := platform.AsConflict(err)
	must.True(t, ok, must.Sprint(err))
	test.Nil(t, conflict.Current)
	_, err = c.Put(t.Context(), "config", "large", 0, strings.Repeat("x", 1_000_001))
	assertIs(t, platform.ErrRejected, err)
	_, err = newClientFactory("wrong", defaultTimeout)(s.address).Get(t.Context(), "config", "a")
	assertIs(t, platform.ErrRejected, err)
	_, err = newClientFactory(platformKey, defaultTimeout)(closedAddress(t)).Put(t.Context(), "config", "a", 0, 1)
	assertIs(t, platform.ErrUnavailable, err)
	assertIs(t, transport.ErrNotSent, err)
}

// Guards against a watch that skips events. The client must report a gap, a revision from before a restore, and a lost response.
func TestPlatformWatch(t *testing.T) {
	s, c := startPlatform(t, defaultTimeout)
	_, err := c.Put(t.Context(), "config", "a", 0, 1)
	must.NoError(t, err)
	var out struct{}
	s.callControl(t, http.MethodPost, "/control/snapshot", "", &out)
	_, err = c.Put(t.Context(), "config", "b", 0, 1)
	must.NoError(t, err)

	revision, events, err := c.Watch(t.Context(), "config", 0, time.Second)
	must.NoError(t, err)
	must.Eq(t, 2, len(events))
	test.True(t, events[0].Revision < events[1].Revision)
	test.Eq(t, events[1].Revision, revision)
	unchanged, events, err := c.Watch(t.Context(), "config", revision, 50*time.Millisecond)
	must.NoError(t, err)
	test.SliceEmpty(t, events)
	test.Eq(t, revision, unchanged)
	for faults, want := range map[string]error{
		`{"watch_gap":true}`: platform.ErrHistoryGap, `{"outage":true}`: platform.ErrUnavailable, `{"refuse":true}`: platform.ErrOutcomeUnknown,
		`{"malformed":1}`: platform.ErrOutcomeUnknown, `{"oversized":1}`: platform.ErrOutcomeUnknown, `{"cut_answer_after_bytes":5}`: platform.ErrOutcomeUnknown,
	} {
		s.setFaults(t, faults)
		_, _, err = c.Watch(t.Context(), "config", 0, 50*time.Millisecond)
		test.True(t, errors.Is(err, want), test.Sprintf("%s: %v", faults, err))
	}
	s.setFaults(t, `{}`)
	s.callControl(t, http.MethodPost, "/control/restore", "", &out)
	_, _, err = c.Watch(t.Context(), "config", revision, time.Second)
	assertIs(t, platform.ErrHistoryGap, err)
}

const engineKey = "upstream-key"

func startEngine(t *testing.T) (standin, *upstream.EngineClient) {
	t.Helper()
	cfg := engine.DefaultConfig()
	cfg.Keys, cfg.SpeedFactor, cfg.CheckFencingTokens = []string{engineKey}, 50, true
	cfg.Generation.OutputTokens = 30
	e := engine.New(cfg)
	t.Cleanup(e.Close)
	return startStandin(t, e.Handler()), upstream.NewEngineClient(engineKey, options)
}

func streamChat(t *testing.T, c *upstream.EngineClient, address, id string) (upstream.ChatResponse, string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	var sb strings.Builder
	resp, err := c.StreamChat(ctx, address, chat(id), func(text string) error {
		sb.WriteString(text)
		return nil
	})
	return resp, sb.String(), err
}

// Guards against a response that is treated as complete although its stream was cut, and against a resumed stream that loses or
// repeats text.
func TestEngineStreamFaults(t *testing.T) {
	s, c := startEngine(t)
	complete, text, err := streamChat(t, c, s.address, "whole")
	must.NoError(t, err)
	must.Eq(t, text, string(complete.Message.Content))
	for _, tc := range []struct {
		name, faults string
		want         error
		resumable    bool
	}{
		{"cut before the first text", `{"cut_answer_after_bytes":1}`, upstream.ErrIncompleteResponse, true},
		{"cut in mid-response", `{"cut_answer_after_bytes":1500}`, upstream.ErrIncompleteResponse, true},
		{"malformed", `{"malformed":1}`, upstream.ErrIncompleteResponse, true},
		{"larger than allowed", `{"oversized":1}`, upstream.ErrIncompleteResponse, true},
		{"rejected with status 500", `{"status":500,"status_count":1}`, upstream.ErrRequestRejected, false},
		{"rejected with status 503", `{"status":503,"status_count":1}`, upstream.ErrRequestRejected, false},
		{"rejected with status 429", `{"status":429,"status_count":1}`, upstream.ErrRequestRejected, false},
		{"slow", `{"hang_ms":4000}`, context.DeadlineExceeded, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			id := strings.ReplaceAll(tc.name, " ", "-")
			s.setFaults(t, tc.faults)
			broken, receivedText, err := streamChat(t, c, s.address, id)
			s.setFaults(t, `{}`)
			assertIs(t, tc.want, err)
			test.False(t, errors.Is(err, upstream.ErrNotSent))
			test.Eq(t, receivedText, string(broken.Message.Content))
			test.StrHasPrefix(t, receivedText, text)
			if !tc.resumable {
				return
			}
			resumedText := ""
			resumed, err := c.ResumeStream(t.Context(), s.address, id, len(receivedText), func(text string) error {
				resumedText += text
				return nil
			})
			must.NoError(t, err)
			test.Eq(t, text, receivedText+resumedText)
			test.Eq(t, complete.Usage.CompletionTokens, resumed.Usage.CompletionTokens)
		})
	}
	s.setFaults(t, `{"refuse":true}`)
	_, _, err = streamChat(t, c, s.address, "refused")
	s.setFaults(t, `{}`)
	test.Error(t, err)
	test.False(t, errors.IsAny(err, upstream.ErrNotSent, upstream.ErrRequestRejected))
	_, _, err = streamChat(t, c, closedAddress(t), "closed")
	assertIs(t, upstream.ErrNotSent, err)
	_, err = c.ResumeStream(t.Context(), s.address, "never-was", 0, func(string) error { return nil })
	assertIs(t, upstream.ErrStreamExpired, err)
	_, _, err = streamChat(t, c, s.address, "whole")
	assertIs(t, upstream.ErrRequestRejected, err)
	_, _, err = streamChat(t, upstream.NewEngineClient("wrong", options), s.address, "key")
	assertIs(t, upstream.ErrRequestRejected, err)
}

// Guards against a client that accepts chunks in an order or form that no engine should send, or rejects valid ones.
func TestEngineStreamForms(t *testing.T) {
	const usage = `{"choices":[],"usage":{"prompt_tokens":3,"completion_tokens":2}}`
	chunk := func(text string) string { return `{"choices":[{"delta":{"content":"` + text + `"}}]}` }
	for _, tc := range []struct {
		name   string
		events []string
		want   error
	}{
		{"usual order", []string{chunk("a"), chunk("b"), usage, "[DONE]"}, nil},
		{"usage before the text", []string{usage, chunk("a"), chunk("b"), "[DONE]"}, nil},
		{"end mark without usage", []string{chunk("a"), "[DONE]"}, upstream.ErrIncompleteResponse},
		{"end without an end mark", []string{chunk("a"), usage}, upstream.ErrIncompleteResponse},
		{"nothing", nil, upstream.ErrIncompleteResponse},
		{"no JSON", []string{chunk("a"), "x"}, upstream.ErrIncompleteResponse},
		{"wrong type", []string{`{"choices":[{"delta":{"content":7}}]}`}, upstream.ErrIncompleteResponse},
		{"tool call out of bounds", []string{`{"choices":[{"delta":{"tool_calls":[{"index":1000000}]}}]}`}, upstream.ErrIncompleteResponse},
		{"negative tool call", []string{`{"choices":[{"delta":{"tool_calls":[{"index":-1}]}}]}`}, upstream.ErrIncompleteResponse},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := startStandin(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", "text/event-stream")
				for _, e := range tc.events {
					_, _ = w.Write([]byte("data: " + e + "\n\n"))
				}
			}))
			resp, text, err := streamChat(t, upstream.NewEngineClient("k", options), s.address, "r")
			assertIs(t, tc.want, err)
			test.Eq(t, text, string(resp.Message.Content))
			if tc.want == nil {
				test.Eq(t, "ab", text)
				test.Eq(t, 5, resp.Usage.Total())
			}
		})
	}
}

// Guards against a damaged response to a report or an order that is treated as valid.
func TestEngineReportsAndOrders(t *testing.T) {
	s, c := startEngine(t)
	for _, tc := range []struct {
		name, faults string
		want         error
	}{
		{"none", `{}`, nil},
		{"cut in mid-response", `{"cut_answer_after_bytes":5}`, upstream.ErrIncompleteResponse},
		{"malformed", `{"malformed":1}`, upstream.ErrIncompleteResponse},
		{"larger than allowed", `{"oversized":1}`, upstream.ErrIncompleteResponse},
		{"outage", `{"outage":true}`, upstream.ErrRequestRejected},
		{"slow", `{"hang_ms":1500}`, context.DeadlineExceeded},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), requestTimeout(tc.name))
			defer cancel()
			s.setFaults(t, tc.faults)
			_, err := c.ReadLoad(ctx, s.address)
			assertIs(t, tc.want, err)
			s.setFaults(t, tc.faults)
			_, err = c.CachedPrograms(ctx, s.address)
			assertIs(t, tc.want, err)
			s.setFaults(t, tc.faults)
			_, err = c.ReadCacheEvents(ctx, s.address, 0)
			assertIs(t, tc.want, err)
		})
	}
	s.setFaults(t, `{"watch_gap":true}`)
	events, err := c.ReadCacheEvents(t.Context(), s.address, 0)
	must.NoError(t, err)
	test.True(t, events.Gap)
	s.setFaults(t, `{"drop_answer_after_effect":1}`)
	order := upstream.Order{FencingToken: 5, Type: upstream.OrderSetRole, Role: "decode"}
	err = c.SendOrder(t.Context(), s.address, order)
	test.Error(t, err)
	test.False(t, errors.IsAny(err, upstream.ErrNotSent, upstream.ErrRequestRejected, upstream.ErrStaleFencing))
	order.FencingToken = 4
	assertIs(t, upstream.ErrStaleFencing, c.SendOrder(t.Context(), s.address, order))
}

// Guards against a service call that is reported as "not sent" although it ran, or that runs twice.
func TestServiceFaults(t *testing.T) {
	for _, tc := range []struct {
		name, faults string
		want         error // Nil if any error, or no error, is accepted.
		failed       bool
		runs         int
	}{
		{"none", `{}`, nil, false, 1},
		{"slow before the effect", `{"latency_ms":1500}`, context.DeadlineExceeded, true, 1},
		{"slow after the effect", `{"hang_ms":1500}`, context.DeadlineExceeded, true, 1},
		{"connection closed without an effect", `{"refuse":true}`, nil, true, 0},
		{"response lost after the effect", `{"drop_answer_after_effect":1}`, nil, true, 1},
		{"cut in mid-response", `{"cut_answer_after_bytes":5}`, upstream.ErrIncompleteResponse, true, 1},
		{"larger than allowed", `{"oversized":1}`, upstream.ErrIncompleteResponse, true, 1},
		{"malformed", `{"malformed":1}`, nil, false, 1},
		{"outage", `{"outage":true}`, nil, false, 0},
		{"status 500", `{"status":500,"status_count":1}`, nil, false, 0},
	} {
		for _, key := range []string{"", "k1"} {
			t.Run(tc.name+"/"+key, func(t *testing.T) {
				t.Parallel()
				s := startStandin(t, service.New(service.Config{Keys: []string{engineKey}, HonoursIdempotencyKeys: true}).Handler())
				c := upstream.NewServiceClient(engineKey, options)
				s.setFaults(t, tc.faults)
				ctx, cancel := context.WithTimeout(t.Context(), requestTimeout(tc.name))
				defer cancel()
				resp, err := c.Send(ctx, s.address, upstream.ServiceRequest{
					Method: http.MethodPost, Path: "/orders", Body: json.RawMessage(`{"business_key":"o"}`), IdempotencyKey: key,
				})
				test.Eq(t, tc.failed, err != nil, test.Sprint(err))
				if tc.want != nil {
					assertIs(t, tc.want, err)
				}
				test.False(t, errors.Is(err, upstream.ErrNotSent), test.Sprint(err))
				test.True(t, err != nil || json.Valid(resp.Body), test.Sprint(string(resp.Body)))
				s.setFaults(t, `{}`)
				waitUntil(t, func() bool { return runCounts(t, s)["o"] == tc.runs })
				if key == "" {
					return
				}
				_, found, err := c.Lookup(t.Context(), s.address, key)
				must.NoError(t, err)
				test.Eq(t, tc.runs, runCounts(t, s)["o"])
				test.Eq(t, tc.runs == 1, found)
			})
		}
	}
}

func runCounts(t *testing.T, s standin) map[string]int {
	t.Helper()
	var out struct {
		Runs map[string]int `json:"runs"`
	}
	s.callControl(t, http.MethodGet, "/control/runs", "", &out)
	return out.Runs
}

// Guards against a lookup that returns "not found" when the outcome is unknown, and against a call that is reported as "not
// sent" although a connection was established.
func TestServiceLookup(t *testing.T) {
	c := upstream.NewServiceClient(engineKey, options)
	request := upstream.ServiceRequest{Method: http.MethodPost, Path: "/orders", Body: json.RawMessage(`{}`)}
	_, err := c.Send(t.Context(), closedAddress(t), request)
	assertIs(t, upstream.ErrNotSent, err)
	for name, faults := range map[string]string{
		"outage": `{"outage":true}`, "refuse": `{"refuse":true}`, "malformed": `{"malformed":1}`, "oversized": `{"oversized":1}`,
		"cut": `{"cut_answer_after_bytes":3}`, "status": `{"status":500,"status_count":1}`,
	} {
		s := startStandin(t, service.New(service.Config{HonoursIdempotencyKeys: true}).Handler())
		request.IdempotencyKey = "k"
		_, err := c.Send(t.Context(), s.address, request)
		must.NoError(t, err)
		s.setFaults(t, faults)
		_, _, err = c.Lookup(t.Context(), s.address, "k")
		test.Error(t, err, test.Sprint(name))
	}
	plain := startStandin(t, service.New(service.Config{}).Handler())
	_, _, err = c.Lookup(t.Context(), plain.address, "k")
	assertIs(t, upstream.ErrRequestRejected, err)
}
