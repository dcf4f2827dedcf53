package engine

import (
	"encoding/json"
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

	"jackdawbay.dev/testbed/standin/control"
)

// startEngine starts an engine that is fast enough to respond within milliseconds.
func startEngine(t *testing.T, configure func(*Config)) (*Server, string) {
	t.Helper()
	cfg := DefaultConfig()
	cfg.SpeedFactor, cfg.LoadReportDelay, cfg.EventDelay = 1000, 0, 0
	if configure != nil {
		configure(&cfg)
	}
	e := New(cfg)
	server := httptest.NewServer(e.Handler())
	t.Cleanup(server.Close)
	t.Cleanup(e.Close)
	return e, server.URL
}

// sendRequest returns status 0 and the body received so far when the connection ends without a complete response.
func sendRequest(t *testing.T, method, url, body string, header ...string) (int, string) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	must.NoError(t, err)
	r.Close = true
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, string(raw)
	}
	return response.StatusCode, strings.TrimSpace(string(raw))
}

func userMessages(contents ...string) []json.RawMessage {
	messages := make([]json.RawMessage, len(contents))
	for i, content := range contents {
		messages[i] = json.RawMessage(fmt.Sprintf(`{"role":"user","content":%q}`, content))
	}
	return messages
}

func completionBody(t *testing.T, messages []json.RawMessage, maxTokens int, stream bool) string {
	t.Helper()
	r := completionRequest{Model: "model-a", Messages: messages, MaxTokens: maxTokens, Stream: stream}
	r.StreamOptions.IncludeUsage = stream
	raw, err := json.Marshal(r)
	must.NoError(t, err)
	return string(raw)
}

// parsedStream is the parsed content of a response stream.
type parsedStream struct {
	text         string
	finishReason string
	usage        *Usage
	done         bool
}

func parseStream(t *testing.T, raw string) parsedStream {
	t.Helper()
	var s parsedStream
	for line := range strings.Lines(raw) {
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		var c completion
		switch {
		case !ok:
		case data == "[DONE]":
			s.done = true
		case json.Unmarshal([]byte(data), &c) != nil: // The last line of a truncated stream.
		case len(c.Choices) == 0:
			s.usage = c.Usage
		default:
			s.text += c.Choices[0].Delta.Content
			if c.Choices[0].FinishReason != nil {
				s.finishReason = *c.Choices[0].FinishReason
			}
		}
	}
	return s
}

func requestCompletion(t *testing.T, url, program string, messages []json.RawMessage, maxTokens int) completion {
	t.Helper()
	status, raw := sendRequest(t, "POST", url+"/v1/chat/completions", completionBody(t, messages, maxTokens, false), "X-Program", program)
	must.Eq(t, 200, status, must.Sprint(raw))
	var c completion
	must.NoError(t, json.Unmarshal([]byte(raw), &c))
	return c
}

func waitUntil(t *testing.T, description string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for !condition() {
		must.True(t, time.Now().Before(deadline), must.Sprint("timed out waiting until ", description))
		time.Sleep(time.Millisecond)
	}
}

func TestOutputIsDeterministic(t *testing.T) {
	_, url := startEngine(t, nil)
	messages := userMessages("a", "b")
	fullText := GenerateText(GenerationConfig{}, "model-a", messages, 0)
	test.StrHasPrefix(t, "messages=2 ", fullText)
	c := requestCompletion(t, url, "", messages, 0)
	test.Eq(t, fullText, c.Choices[0].Message.Content)
	test.Eq(t, "stop", *c.Choices[0].FinishReason)
	test.Eq(t, PromptTokens(messages), c.Usage.PromptTokens)
	test.Eq(t, len(GenerateTokens(GenerationConfig{}, "model-a", messages, 0)), c.Usage.CompletionTokens)

	_, raw := sendRequest(t, "POST", url+"/v1/chat/completions", completionBody(t, messages, 5, true))
	s := parseStream(t, raw)
	test.Eq(t, GenerateText(GenerationConfig{}, "model-a", messages, 5), s.text)
	test.StrHasPrefix(t, s.text, fullText)
	test.Eq(t, "length", s.finishReason)
	test.Eq(t, 5, s.usage.CompletionTokens)
	test.True(t, s.done)
	for name, other := range map[string]string{
		"other seed":     GenerateText(GenerationConfig{Seed: 1}, "model-a", messages, 0),
		"other model":    GenerateText(GenerationConfig{}, "model-b", messages, 0),
		"other messages": GenerateText(GenerationConfig{}, "model-a", userMessages("a", "c"), 0),
	} {
		test.NotEq(t, fullText, other, test.Sprint(name))
	}
}

func TestPrefixCache(t *testing.T) {
	long := strings.Repeat("x", 400)
	type turn struct {
		program        string
		prompt         []string // "=" stands for the response to the program's previous turn.
		cachedMessages int      // Number of messages that must come from the cache.
	}
	cases := []struct {
		name        string
		cacheTokens int
		turns       []turn
	}{
		{"next turn reuses prompt and reply", 100_000, []turn{{"p", []string{long}, 0}, {"p", []string{long, "=", "b"}, 2}}},
		{"other program shares nothing", 100_000, []turn{{"p", []string{long, "b"}, 0}, {"q", []string{long, "b"}, 0}}},
		{"changed message ends the prefix", 100_000, []turn{{"p", []string{long, "b", "c"}, 0}, {"p", []string{long, "B", "c"}, 1}}},
		{"the last message is always computed", 100_000, []turn{{"p", []string{long}, 0}, {"p", []string{long}, 0}}},
		{"requests without a program are not cached", 100_000, []turn{{"", []string{long, "b"}, 0}, {"", []string{long, "b"}, 0}}},
		{"least recently used program is evicted", 300, []turn{
			{"p", []string{long}, 0}, {"q", []string{long}, 0}, {"p", []string{long, "b"}, 1}, {"r", []string{long}, 0},
			{"p", []string{long, "b"}, 1}, {"q", []string{long, "b"}, 0},
		}},
		{"a prefix beyond the capacity is cut", 150, []turn{{"p", []string{long, long, "c"}, 0}, {"p", []string{long, long, "c"}, 1}}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			e, url := startEngine(t, func(c *Config) { c.CacheTokens = tc.cacheTokens })
			replies := map[string]json.RawMessage{}
			for i, turn := range tc.turns {
				messages := userMessages(turn.prompt...)
				for j, content := range turn.prompt {
					if content == "=" {
						messages[j] = replies[turn.program]
					}
				}
				c := requestCompletion(t, url, turn.program, messages, 4)
				// A client may send the fields of the message in another order.
				replies[turn.program] = json.RawMessage(fmt.Sprintf(`{"content":%q, "role":"assistant"}`, c.Choices[0].Message.Content))
				test.Eq(t, PromptTokens(messages[:turn.cachedMessages]), c.Usage.PromptTokensDetails.CachedTokens, test.Sprint("turn ", i))
				test.LessEq(t, tc.cacheTokens, e.Load().CachedTokens)
			}
		})
	}
}

func TestOrders(t *testing.T) {
	const stale, accepted = `{"error":{"code":"stale_fencing"`, `{"accepted":true}`
	type order struct {
		body   string
		status int
		want   string
	}
	cases := []struct {
		name          string
		checkFencing  bool
		orders        []order
		executedCount int
	}{
		{"stale token is rejected", true, []order{
			{`{"fencing_token":5,"type":"set_role","role":"decode"}`, 200, accepted},
			{`{"fencing_token":4,"type":"set_role","role":"mixed"}`, 409, stale},
			{`{"fencing_token":5,"type":"set_role","role":"mixed"}`, 200, accepted},
		}, 2},
		{"an engine that ignores tokens runs every order", false, []order{
			{`{"fencing_token":5,"type":"set_role","role":"decode"}`, 200, accepted},
			{`{"fencing_token":4,"type":"set_role","role":"mixed"}`, 200, accepted},
		}, 2},
		{"invalid orders do not run", true, []order{
			{`{"fencing_token":9,"type":"explode"}`, 400, ``}, {`{"type":"load_model"}`, 400, ``},
			{`{"type":"drop_model","model":"none"}`, 404, `{"error":{"code":"model_not_loaded"`}, {`{`, 400, ``},
			{`{"fencing_token":1,"type":"set_role","role":"mixed"}`, 200, accepted},
		}, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			e, url := startEngine(t, func(c *Config) { c.CheckFencingTokens = tc.checkFencing })
			for _, o := range tc.orders {
				status, got := sendRequest(t, "POST", url+"/v1/orders", o.body)
				test.Eq(t, o.status, status, test.Sprint(o.body))
				test.StrHasPrefix(t, o.want, got)
			}
			test.SliceLen(t, tc.executedCount, e.ExecutedOrders())
			last := e.ExecutedOrders()[tc.executedCount-1]
			test.Eq(t, "mixed", e.Load().Role)
			test.Eq(t, last.FencingToken, e.Load().FencingToken)
		})
	}
}

func TestModelsAndAdapters(t *testing.T) {
	e, url := startEngine(t, func(c *Config) { c.ModelLoadDuration = 100 * time.Second })
	status := func(model string) int {
		raw := strings.Replace(completionBody(t, userMessages("a"), 1, false), "model-a", model, 1)
		status, _ := sendRequest(t, "POST", url+"/v1/chat/completions", raw)
		return status
	}
	test.Eq(t, 404, status("model-b"))
	must.NoError(t, e.ExecuteOrder(Order{Type: "load_model", Model: "model-b", Version: "2"}))
	test.Eq(t, ModelLoading, e.Load().Models[1].State)
	test.Eq(t, 404, status("model-b"))
	waitUntil(t, "model-b is ready", func() bool { return e.Load().Models[1].State == ModelReady })
	test.Eq(t, 200, status("model-b"))
	test.Eq(t, 404, status("model-a:kit"))
	must.NoError(t, e.ExecuteOrder(Order{Type: "load_adapter", Model: "model-a", Adapter: "kit"}))
	test.Eq(t, 200, status("model-a:kit"))
	must.NoError(t, e.ExecuteOrder(Order{Type: "drop_adapter", Model: "model-a", Adapter: "kit"}))
	test.Eq(t, 404, status("model-a:kit"))
	must.NoError(t, e.ExecuteOrder(Order{Type: "drop_model", Model: "model-a"}))
	test.SliceLen(t, 1, e.Load().Models)
}

// Guards against a drop_model order that interrupts running requests.
func TestDropModelDrains(t *testing.T) {
	e, url := startEngine(t, func(c *Config) { c.SpeedFactor, c.Generation.OutputTokens = 20, 200 })
	var wg sync.WaitGroup
	wg.Go(func() {
		c := requestCompletion(t, url, "", userMessages("a"), 0)
		test.Eq(t, 200, c.Usage.CompletionTokens)
	})
	waitUntil(t, "the request is running", func() bool { return e.Load().Running == 1 })
	must.NoError(t, e.ExecuteOrder(Order{Type: "drop_model", Model: "model-a"}))
	test.Eq(t, ModelDraining, e.Load().Models[0].State)
	wg.Wait()
	test.SliceEmpty(t, e.Load().Models)
}

func TestResumeAndCancel(t *testing.T) {
	e, url := startEngine(t, func(c *Config) { c.SpeedFactor, c.Slots, c.Generation.OutputTokens = 10, 1, 100_000 })
	resume := func(id string, offset any) (int, string) {
		return sendRequest(t, "GET", fmt.Sprintf("%s/v1/requests/%s/stream?offset=%v", url, id, offset), "")
	}
	text := GenerateText(e.cfg.Generation, "model-a", userMessages("a"), 60)
	// A truncated stream is resumed while the request is still running.
	e.Faults().Set(truncatingFaults(700))
	status, raw := sendRequest(t, "POST", url+"/v1/chat/completions", completionBody(t, userMessages("a"), 60, true), "X-Request-Id", "r1")
	test.Eq(t, 0, status)
	first := parseStream(t, raw)
	must.NotEq(t, "", first.text)
	status, raw = resume("r1", len(first.text))
	resumed := parseStream(t, raw)
	test.Eq(t, 200, status)
	test.Eq(t, text, first.text+resumed.text)
	test.True(t, resumed.done)
	_, raw = resume("r1", len(text))
	test.Eq(t, "", parseStream(t, raw).text)
	for name, offset := range map[string]any{"past the end": len(text) + 1, "no number": "x", "negative": -1} {
		status, _ = resume("r1", offset)
		test.Eq(t, 400, status, test.Sprint(name))
	}
	status, _ = resume("unknown", 0)
	test.Eq(t, 410, status)
	status, raw = sendRequest(t, "POST", url+"/v1/chat/completions", completionBody(t, userMessages("a"), 1, false), "X-Request-Id", "r1")
	test.Eq(t, 409, status, test.Sprint(raw))

	// A cancellation frees the slot for the next request and ends the stream without [DONE].
	var wg sync.WaitGroup
	wg.Go(func() {
		_, raw := sendRequest(t, "POST", url+"/v1/chat/completions", completionBody(t, userMessages("b"), 0, true), "X-Request-Id", "r2")
		test.False(t, parseStream(t, raw).done)
	})
	waitUntil(t, "r2 is running", func() bool { return e.Load().Running == 1 })
	wg.Go(func() { requestCompletion(t, url, "", userMessages("c"), 1) })
	waitUntil(t, "another request waits", func() bool { return e.Load().Waiting == 1 })
	for range 2 {
		status, _ = sendRequest(t, "DELETE", url+"/v1/requests/r2", "")
		test.Eq(t, 200, status)
	}
	wg.Wait()
	status, _ = resume("r2", 0)
	test.Eq(t, 410, status)
	test.Eq(t, 0, e.Load().Running)
}

// Guards against slots that stay occupied after a disconnect, when the client cannot resume.
func TestDisconnectedClientFreesSlot(t *testing.T) {
	e, url := startEngine(t, func(c *Config) { c.SpeedFactor, c.Generation.OutputTokens = 1, 100_000 })
	e.Faults().Set(truncatingFaults(300))
	status, _ := sendRequest(t, "POST", url+"/v1/chat/completions", completionBody(t, userMessages("a"), 0, true))
	test.Eq(t, 0, status)
	waitUntil(t, "the slot is free", func() bool { return e.Load().Running == 0 })
}

func TestStreamRetentionExpires(t *testing.T) {
	_, url := startEngine(t, func(c *Config) { c.StreamRetention = time.Millisecond })
	_, _ = sendRequest(t, "POST", url+"/v1/chat/completions", completionBody(t, userMessages("a"), 1, false), "X-Request-Id", "r1")
	waitUntil(t, "the stream has expired", func() bool {
		status, _ := sendRequest(t, "GET", url+"/v1/requests/r1/stream?offset=0", "")
		return status == 410
	})
}

func TestLoadReportIsDelayed(t *testing.T) {
	e, url := startEngine(t, func(c *Config) { c.SpeedFactor, c.LoadReportDelay = 1, 300*time.Millisecond })
	before := time.Now()
	requestCompletion(t, url, "p", userMessages("a"), 1)
	load := e.Load()
	if time.Since(before) < 250*time.Millisecond {
		test.Eq(t, 0, load.CachedTokens)
	}
	test.Less(t, time.Now().UnixMilli()-299, load.TimestampMillis)
	waitUntil(t, "the load report shows the cached tokens", func() bool { return e.Load().CachedTokens > 0 })
}

func TestCacheEvents(t *testing.T) {
	e, url := startEngine(t, func(c *Config) { c.DropEveryNthEvent, c.StreamRetention = 3, time.Minute })
	page := func(query string) EventPage {
		status, raw := sendRequest(t, "GET", url+"/v1/cache/events?"+query, "")
		must.Eq(t, 200, status)
		var p EventPage
		must.NoError(t, json.Unmarshal([]byte(raw), &p))
		return p
	}
	c := requestCompletion(t, url, "p", userMessages("a"), 1)
	full := append(userMessages("a"), assistantMessage(c.Choices[0].Message.Content))
	stored := CacheEvent{1, EventStored, "p", PrefixHash(full), PromptTokens(full)}
	test.Eq(t, EventPage{1, false, []CacheEvent{stored}}, page("since=0&wait_ms=1000"))
	test.Eq(t, EventPage{1, false, []CacheEvent{}}, page("since=1"))
	must.NoError(t, e.ExecuteOrder(Order{Type: "release_cache", Program: "p"}))
	released := CacheEvent{2, EventReleased, "p", stored.PrefixHash, stored.Tokens}
	test.Eq(t, EventPage{2, false, []CacheEvent{released}}, page("since=1"))
	requestCompletion(t, url, "q", userMessages("a"), 1)
	test.Eq(t, EventPage{3, true, []CacheEvent{}}, page("since=2"))
	test.Eq(t, EventPage{3, true, []CacheEvent{}}, page("since=99"))
	f := e.Faults().Faults()
	f.WatchGap = true
	e.Faults().Set(f)
	test.Eq(t, EventPage{3, true, []CacheEvent{}}, page("since=0"))
	status, _ := sendRequest(t, "GET", url+"/v1/cache/events?since=x", "")
	test.Eq(t, 400, status)

	slow, _ := startEngine(t, func(c *Config) { c.EventDelay = time.Hour })
	slow.mu.Lock()
	slow.cache.store("p", newPrefix(userMessages("a")))
	slow.mu.Unlock()
	events, next := slow.EventsAfter(0)
	test.Eq(t, EventPage{0, false, []CacheEvent{}}, events)
	test.False(t, next.IsZero())
}

func TestExportAndImport(t *testing.T) {
	_, from := startEngine(t, nil)
	to, toURL := startEngine(t, nil)
	messages := userMessages(strings.Repeat("x", 400), "b")
	requestCompletion(t, from, "p", messages, 1)
	status, kv := sendRequest(t, "POST", from+"/v1/cache/export", `{"program":"p"}`)
	must.Eq(t, 200, status)
	status, raw := sendRequest(t, "POST", from+"/v1/cache/export", `{"program":"q"}`)
	test.Eq(t, 404, status, test.Sprint(raw))
	for name, bad := range map[string]string{"empty": "", "cut": kv[:len(kv)-1], "head cut": kv[:20], "no head": "x"} {
		status, _ = sendRequest(t, "POST", toURL+"/v1/cache/import?program=p", bad)
		test.Eq(t, 400, status, test.Sprint(name))
	}
	test.Eq(t, 0, to.Load().CachedTokens)
	status, raw = sendRequest(t, "POST", toURL+"/v1/cache/import?program=p", kv)
	test.Eq(t, 200, status)
	test.Eq(t, fmt.Sprintf(`{"tokens":%d}`, to.Load().CachedTokens), raw)
	c := requestCompletion(t, toURL, "p", messages, 1)
	test.Eq(t, MessageTokens(messages[0]), c.Usage.PromptTokensDetails.CachedTokens)
	_, raw = sendRequest(t, "GET", toURL+"/v1/cache", "")
	test.StrHasPrefix(t, `{"programs":[{"program":"p","tokens":`, raw)
}

// Guards against batch steps whose duration does not follow the timing settings.
func TestBatchTiming(t *testing.T) {
	timing := Timing{PrefillTokensPerSecond: 1000, DecodePerToken: 10 * time.Millisecond, DecodeGrowth: 2 * time.Millisecond}
	cases := []struct {
		name     string
		slots    int
		prompts  []int
		output   int
		want     time.Duration
		finished []int
	}{
		{"one request: prefill then decode", 4, []int{100}, 5, 150 * time.Millisecond, []int{0}},
		{"two requests share steps that grow", 4, []int{0, 0}, 5, 60 * time.Millisecond, []int{0, 1}},
		{"without a free slot requests run in order of arrival", 1, []int{0, 0, 0}, 2, 60 * time.Millisecond, []int{0, 1, 2}},
		{"a long prompt takes several steps", 4, []int{1024}, 1, 1034 * time.Millisecond, []int{0}},
		{"a long prompt does not stop the others", 4, []int{1024, 0}, 2, 1064 * time.Millisecond, []int{1, 0}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			b := batch{timing: timing, slots: tc.slots}
			var finished []int
			for i, tokens := range tc.prompts {
				b.enqueue(&batchRequest{
					uncachedTokens: tokens, outputTokens: tc.output, onStart: func(*batchRequest) {}, onToken: func(*batchRequest) {},
					onFinish: func(*batchRequest) { finished = append(finished, i) },
				})
			}
			var total time.Duration
			for {
				d, work, ok := b.planStep()
				if !ok {
					break
				}
				total += d
				b.applyStep(work)
			}
			test.Eq(t, tc.finished, finished)
			test.Eq(t, tc.want, total)
		})
	}
}

func TestRequestChecks(t *testing.T) {
	_, url := startEngine(t, func(c *Config) { c.Keys = []string{"k"} })
	cases := []struct {
		name, method, path, body, key string
		status                        int
	}{
		{"no key", "GET", "/v1/load", "", "", 401},
		{"right key", "GET", "/v1/load", "", "Bearer k", 200},
		{"no messages", "POST", "/v1/chat/completions", `{"model":"model-a","messages":[]}`, "Bearer k", 400},
		{"negative max_tokens", "POST", "/v1/chat/completions", `{"model":"model-a","messages":[{}],"max_tokens":-1}`, "Bearer k", 400},
		{"malformed body", "POST", "/v1/chat/completions", `{`, "Bearer k", 400},
		{"unknown path", "GET", "/v2", ``, "Bearer k", 404},
		{"wrong method", "PUT", "/v1/load", ``, "Bearer k", 405},
		{"cancel of an unknown request", "DELETE", "/v1/requests/x", ``, "Bearer k", 200},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			status, raw := sendRequest(t, tc.method, url+tc.path, tc.body, "Authorization", tc.key)
			test.Eq(t, tc.status, status, test.Sprint(raw))
		})
	}
}

func truncatingFaults(bytes int) control.Faults {
	return control.Faults{TruncateResponseAfterBytes: bytes}
}
