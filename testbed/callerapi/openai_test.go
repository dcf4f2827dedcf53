package callerapi

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"jackdawbay.dev/api/caller"
	"jackdawbay.dev/api/client"
	"jackdawbay.dev/api/errkind"
	"jackdawbay.dev/daemon/ingress"
)

// libraryClient returns an OpenAI client whose base URL is the daemon's caller listener, as an existing caller would
// configure it.
func (in *installation) libraryClient(options ...option.RequestOption) openai.Client {
	requestOptions := append([]option.RequestOption{
		option.WithBaseURL(in.url + "/v1/"), option.WithAPIKey(tenantKey), option.WithHTTPClient(&http.Client{}),
	}, options...)
	return openai.NewClient(requestOptions...)
}

func chatParams(messages ...openai.ChatCompletionMessageParamUnion) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model: model, Messages: messages, MaxCompletionTokens: openai.Int(30), Temperature: openai.Float(0.5),
	}
}

func (in *installation) createProgram(t *testing.T) *client.Program {
	t.Helper()
	p, err := in.client().Create(t.Context(), caller.CreateProgram{Model: model, BudgetTokens: 100_000})
	must.NoError(t, err)
	return p
}

func readHistory(t *testing.T, p *client.Program) []caller.Turn {
	t.Helper()
	turns, err := p.History(t.Context())
	must.NoError(t, err)
	return turns
}

// Guards against a conversation of an existing client that is recorded twice, in the wrong order or without use of the
// cache. The client sends its whole history with every request, alternately with and without streaming.
func TestLibraryConversation(t *testing.T) {
	in := startInstallation(t)
	p := in.createProgram(t)
	c := in.libraryClient(option.WithHeader(ingress.HeaderProgram, p.ID))
	var messages []openai.ChatCompletionMessageParamUnion
	var texts []string
	for i, text := range []string{"Draft a jersey.", "Make it green.", "Add sizes.", "Confirm."} {
		messages = append(messages, openai.UserMessage(text))
		var completion openai.ChatCompletion
		if i%2 == 0 {
			got, err := c.Chat.Completions.New(t.Context(), chatParams(messages...))
			must.NoError(t, err)
			completion = *got
		} else {
			completion = streamCompletion(t, c, chatParams(messages...))
		}
		must.SliceLen(t, 1, completion.Choices)
		message := completion.Choices[0].Message
		test.Eq(t, "assistant", string(message.Role))
		test.NotEq(t, "", message.Content)
		test.NotEq(t, "", completion.Choices[0].FinishReason)
		test.Eq(t, completion.Usage.TotalTokens, completion.Usage.PromptTokens+completion.Usage.CompletionTokens)
		test.Eq(t, i > 0, completion.Usage.PromptTokensDetails.CachedTokens > 0)
		texts = append(texts, message.Content)
		messages = append(messages, message.ToParam())
	}
	turns := readHistory(t, p)
	must.SliceLen(t, len(texts), turns)
	for i, turn := range turns {
		test.Eq(t, uint64(i+1), turn.Sequence)
		test.SliceLen(t, 1, turn.Model.Messages, test.Sprint("the history is not part of the turn"))
		test.Eq(t, texts[i], string(turn.Message.Content))
	}
}

// streamCompletion reads a streamed completion to its end. It checks that the stream has no error and more than two
// chunks.
func streamCompletion(t *testing.T, c openai.Client, params openai.ChatCompletionNewParams) openai.ChatCompletion {
	t.Helper()
	params.StreamOptions = openai.ChatCompletionStreamOptionsParam{IncludeUsage: openai.Bool(true)}
	s := c.Chat.Completions.NewStreaming(t.Context(), params)
	defer func() { _ = s.Close() }()
	var acc openai.ChatCompletionAccumulator
	chunkCount := 0
	for s.Next() {
		test.True(t, acc.AddChunk(s.Current()))
		chunkCount++
	}
	must.NoError(t, s.Err())
	test.Greater(t, 2, chunkCount)
	return acc.ChatCompletion
}

// unavailableTransport forwards requests to the daemon and replaces the first responses by status 503. A load balancer
// does the same when it times out while the daemon continues to process the request.
type unavailableTransport struct {
	remainingFailures atomic.Int64
	afterResponse     bool // The 503 follows the daemon's complete response. Otherwise it is returned while the daemon still processes the request.
	requestCount      atomic.Int64
}

func (u *unavailableTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	u.requestCount.Add(1)
	if u.remainingFailures.Add(-1) < 0 {
		return http.DefaultTransport.RoundTrip(req)
	}
	if !u.afterResponse {
		go u.forwardInBackground(req)
		return unavailableResponse(req), nil
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return unavailableResponse(req), err
}

// forwardInBackground sends a copy of the request and discards the response.
func (u *unavailableTransport) forwardInBackground(req *http.Request) {
	body, err := req.GetBody()
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	forwarded := req.Clone(ctx)
	forwarded.Body = body
	if resp, err := http.DefaultTransport.RoundTrip(forwarded); err == nil {
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
}

func unavailableResponse(req *http.Request) *http.Response {
	// A map of strings always encodes.
	body, _ := json.Marshal(map[string]any{"error": map[string]string{"message": "try again"}})
	return &http.Response{
		StatusCode: http.StatusServiceUnavailable, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Request: req,
		Header: http.Header{"Content-Type": {"application/json"}, "Retry-After-Ms": {"1"}}, Body: io.NopCloser(bytes.NewReader(body)),
	}
}

// Guards against a call that is recorded or charged twice because the library retries it automatically.
func TestLibraryRetries(t *testing.T) {
	in := startInstallation(t)
	for _, tc := range []struct {
		name   string
		count  int64
		after  bool
		stream bool
	}{
		{"after the response, not streamed", 1, true, false},
		{"after the response, streamed", 1, true, true},
		{"twice after the response", 2, true, false},
		{"during the response, not streamed", 1, false, false},
		{"during the response, streamed", 1, false, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := in.createProgram(t)
			transport := &unavailableTransport{afterResponse: tc.after}
			transport.remainingFailures.Store(tc.count)
			c := in.libraryClient(option.WithHeader(ingress.HeaderProgram, p.ID), option.WithHTTPClient(&http.Client{Transport: transport}))
			first := openai.UserMessage("Draft a jersey.")
			var got openai.ChatCompletion
			if tc.stream {
				got = streamCompletion(t, c, chatParams(first))
			} else {
				completion, err := c.Chat.Completions.New(t.Context(), chatParams(first))
				must.NoError(t, err)
				got = *completion
			}
			test.Eq(t, tc.count+1, transport.requestCount.Load())
			turns := readHistory(t, p)
			must.SliceLen(t, 1, turns)
			test.Eq(t, string(turns[0].Message.Content), got.Choices[0].Message.Content)
			d, err := p.Describe(t.Context())
			must.NoError(t, err)
			test.Eq(t, turns[0].Usage.Total(), d.SpentTokens)

			// The conversation continues after the one recorded turn.
			_, err = c.Chat.Completions.New(t.Context(), chatParams(first, got.Choices[0].Message.ToParam(), openai.UserMessage("Go on.")))
			must.NoError(t, err)
			test.SliceLen(t, 2, readHistory(t, p))
		})
	}
}

// Guards against errors that the library cannot decode, and against a rejected request that changes the history.
func TestLibraryErrors(t *testing.T) {
	in := startInstallation(t)
	p := in.createProgram(t)
	header := option.WithHeader(ingress.HeaderProgram, p.ID)
	for _, tc := range []struct {
		name    string
		options []option.RequestOption
		params  openai.ChatCompletionNewParams
		kind    errkind.Kind
	}{
		{"wrong key", []option.RequestOption{option.WithAPIKey("wrong")}, chatParams(openai.UserMessage("x")), errkind.Unauthenticated},
		{"no messages", nil, chatParams(), errkind.InvalidValue},
		{"unknown program", []option.RequestOption{option.WithHeader(ingress.HeaderProgram, unknownProgramID)}, chatParams(openai.UserMessage("x")), errkind.ProgramNotFound},
		{"other tenant", []option.RequestOption{option.WithAPIKey(otherKey)}, chatParams(openai.UserMessage("x")), errkind.ProgramNotFound},
		{"unknown model", nil, openai.ChatCompletionNewParams{Model: "none", Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("x")}}, errkind.UnknownModel},
		{"call key of 201 bytes", []option.RequestOption{option.WithHeader(ingress.HeaderCallKey, string(bytes.Repeat([]byte("k"), 201)))}, chatParams(openai.UserMessage("x")), errkind.InvalidValue},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := in.libraryClient(append([]option.RequestOption{header}, tc.options...)...)
			_, err := c.Chat.Completions.New(t.Context(), tc.params)
			assertLibraryError(t, err, tc.kind)
			s := c.Chat.Completions.NewStreaming(t.Context(), tc.params)
			for s.Next() {
				t.Error("a rejected request returned a chunk")
			}
			assertLibraryError(t, s.Err(), tc.kind)
			test.SliceEmpty(t, readHistory(t, p))
		})
	}
}

func assertLibraryError(t *testing.T, err error, kind errkind.Kind) {
	t.Helper()
	var e *openai.Error
	must.True(t, errors.As(err, &e), must.Sprint(err))
	test.Eq(t, errkind.Lookup(kind).Status, e.StatusCode)
	test.Eq(t, string(kind), e.Code)
	test.StrHasPrefix(t, errkind.Lookup(kind).Meaning, e.Message)
}
