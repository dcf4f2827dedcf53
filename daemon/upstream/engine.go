// Package upstream holds the clients of engines, tool services and plain services. The clients never repeat a request.
package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tmaxmax/go-sse"

	"jackdawbay.dev/api/caller"
	"jackdawbay.dev/daemon/transport"
)

// Errors of upstream calls.
var (
	// ErrNotSent means that no connection was made.
	ErrNotSent = transport.ErrNotSent
	// ErrRequestRejected means that the upstream responded with an error status before it processed the request.
	ErrRequestRejected = errors.New("upstream rejected the request")
	// ErrIncompleteResponse means that the response ended early or is malformed.
	ErrIncompleteResponse = errors.New("upstream response is incomplete or malformed")
	// ErrStreamExpired means that the engine no longer retains the stream, so it cannot be resumed.
	ErrStreamExpired = errors.New("stream is no longer retained")
	// ErrStaleFencing means that the engine has seen a higher fencing token.
	ErrStaleFencing = errors.New("engine has seen a higher fencing token")
)

// EngineClient sends requests to model engines. It is safe for concurrent use.
type EngineClient struct {
	key       string
	http      *http.Client
	responses *transport.Budget
}

// NewEngineClient returns a client. The key is sent to every engine.
func NewEngineClient(key string, o transport.Options) *EngineClient {
	return &EngineClient{key: key, http: transport.NewClient(o), responses: o.ResponseBudget()}
}

// ChatRequest is a model call.
type ChatRequest struct {
	RequestID string
	Program   string
	Model     string
	Messages  []caller.Message
	MaxTokens int
}

// ChatResponse is the complete response to a model call.
type ChatResponse struct {
	Message caller.Message
	Usage   caller.Usage
}

type chatBody struct {
	Model         string           `json:"model"`
	Messages      []caller.Message `json:"messages"`
	MaxTokens     int              `json:"max_tokens,omitempty"`
	Stream        bool             `json:"stream"`
	StreamOptions struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

type chunk struct {
	Choices []struct {
		Delta struct {
			Content   string          `json:"content"`
			ToolCalls []toolCallDelta `json:"tool_calls"`
		} `json:"delta"`
	} `json:"choices"`
	Usage *struct {
		PromptTokens     int64 `json:"prompt_tokens"`
		CompletionTokens int64 `json:"completion_tokens"`
		Details          struct {
			CachedTokens int64 `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

type toolCallDelta struct {
	Index    int                 `json:"index"`
	ID       string              `json:"id"`
	Type     string              `json:"type"`
	Function caller.ToolFunction `json:"function"`
}

func (e *EngineClient) do(ctx context.Context, method, address, path string, body []byte) (*http.Response, error) {
	var reader io.Reader
	if body != nil {
		reader = transport.NonRewindableBody(body)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, reader)
	if err != nil {
		return nil, errors.Mark(err, ErrNotSent)
	}
	req.ContentLength = int64(len(body))
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+e.key)
	return e.http.Do(req)
}

// StreamChat runs a model call and passes each piece of text to onText as it arrives. An error of onText ends the call.
func (e *EngineClient) StreamChat(ctx context.Context, address string, c ChatRequest, onText func(string) error) (ChatResponse, error) {
	body := chatBody{Model: c.Model, Messages: c.Messages, MaxTokens: c.MaxTokens, Stream: true}
	body.StreamOptions.IncludeUsage = true
	raw, err := json.Marshal(body)
	if err != nil {
		return ChatResponse{}, errors.Mark(err, ErrNotSent)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", transport.NonRewindableBody(raw))
	if err != nil {
		return ChatResponse{}, errors.Mark(err, ErrNotSent)
	}
	req.ContentLength = int64(len(raw))
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+e.key)
	req.Header.Set("X-Request-Id", c.RequestID)
	req.Header.Set("X-Program", c.Program)
	resp, err := e.http.Do(req)
	if err != nil {
		return ChatResponse{}, err
	}
	return e.readStream(resp, onText)
}

// ResumeStream reads a stream from a byte offset of its text on. The response contains only the text from there.
func (e *EngineClient) ResumeStream(ctx context.Context, address, requestID string, offset int, onText func(string) error) (ChatResponse, error) {
	path := fmt.Sprintf("/v1/requests/%s/stream?offset=%d", url.PathEscape(requestID), offset)
	resp, err := e.do(ctx, http.MethodGet, address, path, nil)
	if err != nil {
		return ChatResponse{}, err
	}
	return e.readStream(resp, onText)
}

func (e *EngineClient) readStream(resp *http.Response, onText func(string) error) (ChatResponse, error) {
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusGone {
		return ChatResponse{}, ErrStreamExpired
	}
	if resp.StatusCode != http.StatusOK {
		text, _ := transport.ReadAll(resp.Body, 4096)
		return ChatResponse{}, errors.Wrapf(ErrRequestRejected, "status %d: %s", resp.StatusCode, bytes.TrimSpace(text))
	}
	a := accumulator{onText: onText}
	share := e.responses.Open(resp.Body)
	defer share.Close()
	body := &streamBody{ReadCloser: resp.Body, share: share, remaining: maxStreamBytes, eventRemaining: maxEventBytes}
	events := 0
	for event, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return a.response(), errors.Mark(errors.Wrap(err, "read stream"), ErrIncompleteResponse)
		}
		if events++; events > maxEvents {
			return a.response(), errors.Wrapf(ErrIncompleteResponse, "stream has more than %d events", maxEvents)
		}
		body.eventRemaining = maxEventBytes
		done, err := a.add(event.Data)
		if err == nil {
			err = errors.Mark(share.Set(a.bytes), ErrIncompleteResponse) // The event is no longer held.
		}
		if err != nil {
			return a.response(), err
		}
		if done {
			drainBody(body)
			return a.finish()
		}
	}
	return a.response(), errors.Wrap(ErrIncompleteResponse, "stream ended without an end mark")
}

// Limits of a stream.
const (
	// maxEventBytes limits one event, and the comments between two events.
	maxEventBytes = 1 << 20
	// maxEvents is many times the tokens of a turn. At the target size, 420 turns have 620,000 tokens.
	maxEvents      = 64 << 10
	maxStreamBytes = transport.MaxResponseBytes
	// maxDrainBytes and drainTimeout limit what is read after the end mark of a stream.
	maxDrainBytes = 4096
	drainTimeout  = 20 * time.Millisecond
)

// streamBody returns an error when the stream exceeds its total size, or the bytes since its last event.
type streamBody struct {
	io.ReadCloser
	share                     *transport.Share
	remaining, eventRemaining int
}

// Read implements io.Reader.
func (s *streamBody) Read(b []byte) (int, error) {
	if s.remaining <= 0 || s.eventRemaining <= 0 {
		return 0, transport.ErrTooLarge
	}
	n, err := s.ReadCloser.Read(b[:min(len(b), s.remaining, s.eventRemaining)])
	s.remaining -= n
	s.eventRemaining -= n
	if budgetErr := s.share.Add(n); budgetErr != nil {
		return n, budgetErr
	}
	return n, err
}

// drainBody reads a body to its end, so that the connection can be reused. Otherwise every call would need a new connection.
func drainBody(body io.ReadCloser) {
	timer := time.AfterFunc(drainTimeout, func() { _ = body.Close() }) // Aborts the read. The connection is then not reused.
	defer timer.Stop()
	// An error only prevents the reuse of the connection.
	_, _ = io.CopyN(io.Discard, body, maxDrainBytes)
}

// accumulator builds the response from chunks.
type accumulator struct {
	onText    func(string) error
	text      strings.Builder
	bytes     int64 // Bytes of the text and the tool calls.
	toolCalls []caller.ToolCall
	usage     *caller.Usage
}

func (a *accumulator) add(data string) (done bool, err error) {
	if data == "[DONE]" {
		return true, nil
	}
	var c chunk
	if err := json.Unmarshal([]byte(data), &c); err != nil {
		return false, errors.Mark(errors.Wrap(err, "decode chunk"), ErrIncompleteResponse)
	}
	if c.Usage != nil {
		a.usage = &caller.Usage{
			PromptTokens:     c.Usage.PromptTokens,
			CachedTokens:     c.Usage.Details.CachedTokens,
			CompletionTokens: c.Usage.CompletionTokens,
		}
	}
	if len(c.Choices) == 0 {
		return false, nil
	}
	for _, t := range c.Choices[0].Delta.ToolCalls {
		if err := a.addToolCall(t); err != nil {
			return false, err
		}
	}
	text := c.Choices[0].Delta.Content
	if text == "" {
		return false, nil
	}
	a.text.WriteString(text)
	a.bytes += int64(len(text))
	return false, a.onText(text)
}

// maxToolCalls limits the tool calls of one message.
const maxToolCalls = 128

func (a *accumulator) addToolCall(d toolCallDelta) error {
	if d.Index < 0 || d.Index >= maxToolCalls {
		return errors.Wrapf(ErrIncompleteResponse, "tool call index %d out of range", d.Index)
	}
	for len(a.toolCalls) <= d.Index {
		a.toolCalls = append(a.toolCalls, caller.ToolCall{Type: "function"})
	}
	call := &a.toolCalls[d.Index]
	if d.ID != "" {
		call.ID = d.ID
	}
	a.bytes += int64(len(d.Function.Name) + len(d.Function.Arguments))
	call.Function.Name += d.Function.Name
	call.Function.Arguments += d.Function.Arguments
	return nil
}

func (a *accumulator) response() ChatResponse {
	message := caller.Message{Role: "assistant", Content: caller.Text(a.text.String()), ToolCalls: a.toolCalls}
	result := ChatResponse{Message: message}
	if a.usage != nil {
		result.Usage = *a.usage
	}
	return result
}

// finish returns the response. Without a reported usage it returns an error, since budgets depend on the usage.
func (a *accumulator) finish() (ChatResponse, error) {
	if a.usage == nil {
		return a.response(), errors.Wrap(ErrIncompleteResponse, "stream does not report its usage")
	}
	return a.response(), nil
}

// CancelRequest cancels a request and frees its slot.
func (e *EngineClient) CancelRequest(ctx context.Context, address, requestID string) error {
	resp, err := e.do(ctx, http.MethodDelete, address, "/v1/requests/"+url.PathEscape(requestID), nil)
	if err != nil {
		return err
	}
	return e.decodeResponse(resp, nil)
}

// ModelState is the state of a model on an engine.
type ModelState struct {
	Name     string   `json:"name"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
	State    string   `json:"state"`
}

// LoadReport is an engine's load report. It lags behind the actual load.
type LoadReport struct {
	AtMillis      int64        `json:"at_ms"`
	Running       int          `json:"running"`
	Waiting       int          `json:"waiting"`
	Slots         int          `json:"slots"`
	CachedTokens  int64        `json:"cached_tokens"`
	CacheCapacity int64        `json:"cache_capacity"`
	Role          string       `json:"role"`
	Models        []ModelState `json:"models"`
	FencingToken  uint64       `json:"fencing_token"`
}

// ReadLoad returns the load report of an engine.
func (e *EngineClient) ReadLoad(ctx context.Context, address string) (LoadReport, error) {
	var l LoadReport
	err := e.getJSON(ctx, address, "/v1/load", &l)
	return l, err
}

// CacheEvent is one change of an engine's prefix cache.
type CacheEvent struct {
	Seq        uint64 `json:"seq"`
	Type       string `json:"type"`
	Program    string `json:"program"`
	PrefixHash string `json:"prefix_hash"`
	Tokens     int64  `json:"tokens"`
}

// CacheEvents is one page of cache events. Gap is true if earlier events are lost.
type CacheEvents struct {
	Next   uint64       `json:"next"`
	Gap    bool         `json:"gap"`
	Events []CacheEvent `json:"events"`
}

// ReadCacheEvents returns the cache events since a position.
func (e *EngineClient) ReadCacheEvents(ctx context.Context, address string, since uint64) (CacheEvents, error) {
	var c CacheEvents
	err := e.getJSON(ctx, address, fmt.Sprintf("/v1/cache/events?since=%d&wait_ms=0", since), &c)
	return c, err
}

// CachedProgram is the cache entry of one program on an engine.
type CachedProgram struct {
	Program string `json:"program"`
	Tokens  int64  `json:"tokens"`
}

// CachedPrograms returns the programs that an engine has in its cache.
func (e *EngineClient) CachedPrograms(ctx context.Context, address string) ([]CachedProgram, error) {
	var c struct {
		Programs []CachedProgram `json:"programs"`
	}
	err := e.getJSON(ctx, address, "/v1/cache", &c)
	return c.Programs, err
}

// Order is a command to an engine. FencingToken is the roster term of the sender.
type Order struct {
	FencingToken uint64 `json:"fencing_token"`
	Type         string `json:"type"`
	Model        string `json:"model,omitempty"`
	Version      string `json:"version,omitempty"`
	Adapter      string `json:"adapter,omitempty"`
	Role         string `json:"role,omitempty"`
	Program      string `json:"program,omitempty"`
}

// Types of orders.
const (
	OrderLoadModel    = "load_model"
	OrderDropModel    = "drop_model"
	OrderLoadAdapter  = "load_adapter"
	OrderDropAdapter  = "drop_adapter"
	OrderSetRole      = "set_role"
	OrderReleaseCache = "release_cache"
)

// SendOrder sends a command to an engine.
func (e *EngineClient) SendOrder(ctx context.Context, address string, o Order) error {
	raw, err := json.Marshal(o)
	if err != nil {
		return err
	}
	resp, err := e.do(ctx, http.MethodPost, address, "/v1/orders", raw)
	if err != nil {
		return err
	}
	return e.decodeResponse(resp, nil)
}

func (e *EngineClient) getJSON(ctx context.Context, address, path string, target any) error {
	resp, err := e.do(ctx, http.MethodGet, address, path, nil)
	if err != nil {
		return err
	}
	return e.decodeResponse(resp, target)
}

func (e *EngineClient) decodeResponse(resp *http.Response, target any) error {
	defer func() { _ = resp.Body.Close() }()
	body, err := e.responses.ReadAll(resp.Body, transport.MaxResponseBytes)
	if err != nil {
		return errors.Mark(err, ErrIncompleteResponse)
	}
	switch {
	case resp.StatusCode == http.StatusConflict:
		return ErrStaleFencing
	case resp.StatusCode != http.StatusOK:
		return errors.Wrapf(ErrRequestRejected, "status %d", resp.StatusCode)
	case target == nil:
		return nil
	}
	if err := json.Unmarshal(body, target); err != nil {
		return errors.Mark(errors.Wrap(err, "decode response"), ErrIncompleteResponse)
	}
	return nil
}
