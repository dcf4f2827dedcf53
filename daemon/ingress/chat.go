package ingress

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"reflect"
	"slices"
	"strconv"
	"time"

	"jackdawbay.dev/api/caller"
	"jackdawbay.dev/api/errkind"
	"jackdawbay.dev/daemon/peer"
)

// Headers of a chat-completions request.
const (
	HeaderProgram = "Jackdawbay-Program"
	HeaderCallKey = "Jackdawbay-Call-Key"
)

// chatRequest holds the supported fields of a chat-completions request. Sampling settings are accepted and ignored,
// because clients send them by default.
type chatRequest struct {
	Model               string           `json:"model"`
	Messages            []caller.Message `json:"messages"`
	MaxTokens           int              `json:"max_tokens"`
	MaxCompletionTokens int              `json:"max_completion_tokens"`
	Stream              bool             `json:"stream"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

type chatCompletion struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []chatChoice `json:"choices"`
	Usage   *chatUsage   `json:"usage,omitempty"`
}

type chatChoice struct {
	Index        int             `json:"index"`
	Message      *caller.Message `json:"message,omitempty"`
	Delta        *chatDelta      `json:"delta,omitempty"`
	FinishReason *string         `json:"finish_reason"`
}

type chatDelta struct {
	Role      string            `json:"role,omitempty"`
	Content   string            `json:"content"`
	ToolCalls []caller.ToolCall `json:"tool_calls,omitempty"`
}

type chatUsage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
	Details          struct {
		CachedTokens int64 `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

func newChatUsage(u caller.Usage) *chatUsage {
	c := &chatUsage{PromptTokens: u.PromptTokens, CompletionTokens: u.CompletionTokens, TotalTokens: u.Total()}
	c.Details.CachedTokens = u.CachedTokens
	return c
}

// postChat serves clients of the chat-completions API. With the header Jackdawbay-Program, the request continues that
// program, and its messages are the program's whole history followed by the new messages. Without the header, the
// request is a program of one call.
func (s *Server) postChat(w http.ResponseWriter, r *http.Request, tenant string) {
	var raw json.RawMessage
	held, err := s.decodeBody(w, r, &raw)
	if err != nil {
		s.rejectBody(w, r, tenant, err)
		return
	}
	defer held.Close()
	req, err := decodeChatBody(raw)
	if err != nil {
		s.reject(w, tenant, err)
		return
	}
	endRequest, err := s.beginRequest()
	if err != nil {
		s.reject(w, tenant, err)
		return
	}
	defer endRequest()
	c, ephemeral, err := s.newChatCall(r, tenant, req)
	if err != nil {
		s.reject(w, tenant, err)
		return
	}
	s.serveChat(w, r, c, req)
	if ephemeral {
		ref := peer.ProgramRef{Tenant: tenant, ID: c.program}
		ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), completionTimeout)
		defer cancel()
		if err := s.owners.End(ctx, ref); err != nil {
			s.log.Warn("single-call program was not ended", "program", c.program, "error", err)
		}
	}
}

func decodeChatBody(raw []byte) (chatRequest, error) {
	var req chatRequest
	// Unknown fields are allowed, because clients send settings of other services.
	if err := json.Unmarshal(raw, &req); err != nil {
		return req, decodeError(err)
	}
	return req, nil
}

// newChatCall builds the call of a chat-completions request. ephemeral is true if the program was created for this
// request alone.
func (s *Server) newChatCall(r *http.Request, tenant string, req chatRequest) (c *call, ephemeral bool, err error) {
	model := &caller.ModelCall{Model: req.Model, Messages: req.Messages, MaxTokens: max(req.MaxTokens, req.MaxCompletionTokens), Stream: req.Stream}
	body := caller.Call{Kind: caller.CallModel, Model: model}
	id := r.Header.Get(HeaderProgram)
	if id == "" {
		created, err := s.validateAndCreate(r, tenant, caller.CreateProgram{Model: req.Model})
		if err != nil {
			return nil, false, err
		}
		id, ephemeral = created.Program.ID, true
		body.Sequence, body.Digest = 1, created.Program.Digest
	} else if err := s.locateChatTurn(r.Context(), tenant, id, &body); err != nil {
		return nil, false, err
	}
	body.CallKey = r.Header.Get(HeaderCallKey)
	if body.CallKey == "" {
		body.CallKey = chatCallKey(body)
	}
	c, err = s.prepareCall(tenant, id, body)
	return c, ephemeral, err
}

// locateChatTurn sets the sequence and the digest of a call from the history of its program and removes the messages of
// earlier turns. A client resends the whole history, so the messages distinguish a repeat of the newest call from a new
// call.
func (s *Server) locateChatTurn(ctx context.Context, tenant, id string, body *caller.Call) error {
	turns, err := s.owners.History(ctx, peer.ProgramRef{Tenant: tenant, ID: id})
	if err != nil {
		return err
	}
	digest := caller.InitialDigest(id)
	remaining := body.Model.Messages
	body.Sequence, body.Digest = 1, digest
	for _, t := range turns {
		if t.Kind == caller.CallModel {
			after, ok := trimTurnPrefix(remaining, t)
			if !ok {
				break
			}
			remaining = after
		}
		if digest, err = caller.NextDigest(digest, t); err != nil {
			return errkind.Wrap(errkind.Internal, err, "")
		}
		body.Sequence, body.Digest = t.Sequence+1, digest
	}
	if len(remaining) == 0 {
		return invalidField("messages", "the program's history followed by new messages")
	}
	trimmed := *body.Model
	trimmed.Messages = remaining
	body.Model = &trimmed
	return nil
}

// trimTurnPrefix removes the messages and the response of a turn from the front of messages. It reports false if they
// differ.
func trimTurnPrefix(messages []caller.Message, t caller.Turn) ([]caller.Message, bool) {
	n := len(t.Model.Messages)
	if len(messages) <= n {
		return nil, false
	}
	for i, m := range t.Model.Messages {
		if !equalMessages(m, messages[i]) {
			return nil, false
		}
	}
	if !equalMessages(*t.Message, messages[n]) {
		return nil, false
	}
	return messages[n+1:], true
}

// equalMessages reports whether two messages have the same JSON encoding. An empty list of tool calls is omitted from
// the encoding, so it becomes nil when a message is sent to another daemon. It therefore equals a nil list.
func equalMessages(a, b caller.Message) bool {
	sameToolCalls := slices.Equal(a.ToolCalls, b.ToolCalls)
	a.ToolCalls, b.ToolCalls = nil, nil
	return sameToolCalls && reflect.DeepEqual(a, b)
}

// chatCallKey derives a call key from the request, so that the automatic retries of a client library are recognised as
// repeats.
func chatCallKey(body caller.Call) string {
	model := *body.Model
	model.Stream = false
	// Encoding cannot fail, because the types contain no channels or functions.
	raw, _ := json.Marshal(model)
	sum := sha256.Sum256(append(raw, body.Digest...))
	return "chat-" + strconv.FormatUint(body.Sequence, 10) + "-" + hex.EncodeToString(sum[:8])
}

func (s *Server) serveChat(w http.ResponseWriter, r *http.Request, c *call, req chatRequest) {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(r.Context()), c.deadline)
	stream, created := s.activeStreams.getOrCreate(c.streamKey(), cancel)
	if created {
		s.startModelCall(ctx, cancel, c, stream)
	} else {
		cancel()
	}
	release := stream.attach()
	defer release()
	w.Header().Set(HeaderProgram, c.program)
	if req.Stream {
		s.streamChat(w, r, c, req, stream)
		return
	}
	result, err := stream.waitForResult(r.Context())
	if err != nil {
		s.reject(w, c.tenant, err)
		return
	}
	writeJSON(w, http.StatusOK, fullChatCompletion(c, req.Model, result))
}

func fullChatCompletion(c *call, model string, result *caller.Result) chatCompletion {
	completion := newChatCompletion(c, model, "chat.completion")
	reason := finishReason(result)
	completion.Choices = []chatChoice{{Message: result.Turn.Message, FinishReason: &reason}}
	completion.Usage = newChatUsage(result.Turn.Usage)
	return completion
}

func newChatCompletion(c *call, model, object string) chatCompletion {
	return chatCompletion{
		ID:      c.program + "/" + strconv.FormatUint(c.body.Sequence, 10),
		Object:  object,
		Created: time.Now().Unix(),
		Model:   model,
		Choices: []chatChoice{},
	}
}

func finishReason(r *caller.Result) string {
	if r.Turn.Message != nil && len(r.Turn.Message.ToolCalls) > 0 {
		return "tool_calls"
	}
	return "stop"
}

func (s *Server) streamChat(w http.ResponseWriter, r *http.Request, c *call, req chatRequest, stream *responseStream) {
	events := &eventWriter{w: w}
	offset := 0
	for {
		text, done, err := stream.waitForText(r.Context(), offset)
		if err != nil {
			s.failStream(events, c.tenant, err)
			return
		}
		if done {
			break
		}
		chunk := newChatCompletion(c, req.Model, "chat.completion.chunk")
		chunk.Choices = []chatChoice{{Delta: &chatDelta{Role: "assistant", Content: text}}}
		if err := events.send("", chunk); err != nil {
			return
		}
		offset += len(text)
	}
	result, err := stream.waitForResult(r.Context())
	if err != nil {
		s.failStream(events, c.tenant, err)
		return
	}
	s.finishChatStream(events, c, req, result)
}

func (s *Server) finishChatStream(events *eventWriter, c *call, req chatRequest, result *caller.Result) {
	finalChunk := newChatCompletion(c, req.Model, "chat.completion.chunk")
	reason := finishReason(result)
	finalChunk.Choices = []chatChoice{{Delta: &chatDelta{ToolCalls: result.Turn.Message.ToolCalls}, FinishReason: &reason}}
	if err := events.send("", finalChunk); err != nil {
		return
	}
	if req.StreamOptions.IncludeUsage {
		usageChunk := newChatCompletion(c, req.Model, "chat.completion.chunk")
		usageChunk.Usage = newChatUsage(result.Turn.Usage)
		if err := events.send("", usageChunk); err != nil {
			return
		}
	}
	// A caller that has disconnected can read the result from the history.
	_ = events.writeData([]byte("[DONE]"))
}
