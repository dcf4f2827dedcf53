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

// Headers of a plain chat-completions request.
const (
	HeaderProgram = "Jackdawbay-Program"
	HeaderCallKey = "Jackdawbay-Call-Key"
)

// chatRequest is the part of a chat-completions request that is used. Sampling settings are accepted and ignored, because
// clients send them by default.
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

// postChat serves an existing chat-completions client. With the header Jackdawbay-Program the request continues that
// program: the messages are its whole history followed by the new ones. Without it, the request is a program of one call.
func (s *Server) postChat(w http.ResponseWriter, r *http.Request, tenant string) {
	end, err := s.begin()
	if err != nil {
		s.refuse(w, tenant, err)
		return
	}
	defer end()
	req, err := decodeChat(w, r, s.cfg.MaxBodyBytes)
	if err != nil {
		s.refuse(w, tenant, err)
		return
	}
	c, single, err := s.chatCall(r, tenant, req)
	if err != nil {
		s.refuse(w, tenant, err)
		return
	}
	s.answerChat(w, r, c, req)
	if single {
		ref := peer.ProgramRef{Tenant: tenant, ID: c.program}
		ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), completeWindow)
		defer cancel()
		if err := s.owners.End(ctx, ref); err != nil {
			s.log.Warn("program of one call was not ended", "program", c.program, "error", err)
		}
	}
}

func decodeChat(w http.ResponseWriter, r *http.Request, limit int64) (chatRequest, error) {
	var raw json.RawMessage
	if err := decodeBody(w, r, limit, &raw); err != nil {
		return chatRequest{}, err
	}
	return decodeChatBody(raw)
}

func decodeChatBody(raw []byte) (chatRequest, error) {
	var req chatRequest
	// Unknown fields are allowed here: clients send settings of other services.
	if err := json.Unmarshal(raw, &req); err != nil {
		return req, decodeError(err)
	}
	return req, nil
}

// chatCall builds the call of a chat-completions request. single is true when the program was created for it alone.
func (s *Server) chatCall(r *http.Request, tenant string, req chatRequest) (c *call, single bool, err error) {
	model := &caller.ModelCall{Model: req.Model, Messages: req.Messages, MaxTokens: max(req.MaxTokens, req.MaxCompletionTokens), Stream: req.Stream}
	body := caller.Call{Kind: caller.CallModel, Model: model}
	id := r.Header.Get(HeaderProgram)
	if id == "" {
		created, err := s.create(r, tenant, caller.CreateProgram{Model: req.Model})
		if err != nil {
			return nil, false, err
		}
		id, single = created.Program.ID, true
		body.Sequence, body.Digest = 1, created.Program.Digest
	} else if err := s.continueChat(r.Context(), tenant, id, &body); err != nil {
		return nil, false, err
	}
	body.CallKey = r.Header.Get(HeaderCallKey)
	if body.CallKey == "" {
		body.CallKey = chatCallKey(body)
	}
	c, err = s.prepare(tenant, id, body)
	return c, single, err
}

// continueChat finds the place of a request in its program. A client repeats the whole history, so a repeat of the newest
// call is told from a new one by its messages.
func (s *Server) continueChat(ctx context.Context, tenant, id string, body *caller.Call) error {
	turns, err := s.owners.History(ctx, peer.ProgramRef{Tenant: tenant, ID: id})
	if err != nil {
		return err
	}
	digest := caller.InitialDigest(id)
	rest := body.Model.Messages
	body.Sequence, body.Digest = 1, digest
	for _, t := range turns {
		if t.Kind == caller.CallModel {
			after, ok := cutPrefix(rest, t)
			if !ok {
				break
			}
			rest = after
		}
		if digest, err = caller.NextDigest(digest, t); err != nil {
			return errkind.Wrap(errkind.Internal, err, "")
		}
		body.Sequence, body.Digest = t.Sequence+1, digest
	}
	if len(rest) == 0 {
		return invalid("messages", "the program's history followed by new messages")
	}
	next := *body.Model
	next.Messages = rest
	body.Model = &next
	return nil
}

// cutPrefix removes a turn's messages and answer from the front of a list of messages.
func cutPrefix(list []caller.Message, t caller.Turn) ([]caller.Message, bool) {
	n := len(t.Model.Messages)
	if len(list) <= n {
		return nil, false
	}
	for i, m := range t.Model.Messages {
		if !sameMessage(m, list[i]) {
			return nil, false
		}
	}
	if !sameMessage(*t.Message, list[n]) {
		return nil, false
	}
	return list[n+1:], true
}

// sameMessage reports whether two messages have the same JSON form. An empty list of tool calls is written like none, so it
// is none after a message has gone to another daemon.
func sameMessage(a, b caller.Message) bool {
	calls := slices.Equal(a.ToolCalls, b.ToolCalls)
	a.ToolCalls, b.ToolCalls = nil, nil
	return calls && reflect.DeepEqual(a, b)
}

// chatCallKey derives a call key from the request, so that the repeats that a client library makes by itself are
// recognised.
func chatCallKey(body caller.Call) string {
	model := *body.Model
	model.Stream = false
	// The types hold no channels or functions, so encoding cannot fail.
	raw, _ := json.Marshal(model)
	sum := sha256.Sum256(append(raw, body.Digest...))
	return "chat-" + strconv.FormatUint(body.Sequence, 10) + "-" + hex.EncodeToString(sum[:8])
}

func (s *Server) answerChat(w http.ResponseWriter, r *http.Request, c *call, req chatRequest) {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(r.Context()), c.deadline)
	st, fresh := s.live.open(c.liveKey(), cancel)
	if fresh {
		s.start(ctx, cancel, c, st)
	} else {
		cancel()
	}
	release := st.attach()
	defer release()
	w.Header().Set(HeaderProgram, c.program)
	if req.Stream {
		s.streamChat(w, r, c, req, st)
		return
	}
	result, err := st.wait(r.Context())
	if err != nil {
		s.refuse(w, c.tenant, err)
		return
	}
	writeJSON(w, http.StatusOK, wholeChat(c, req.Model, result))
}

func wholeChat(c *call, model string, result *caller.Result) chatCompletion {
	answer := newChat(c, model, "chat.completion")
	stop := finishReason(result)
	answer.Choices = []chatChoice{{Message: result.Turn.Message, FinishReason: &stop}}
	answer.Usage = newChatUsage(result.Turn.Usage)
	return answer
}

func newChat(c *call, model, object string) chatCompletion {
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

func (s *Server) streamChat(w http.ResponseWriter, r *http.Request, c *call, req chatRequest, st *liveStream) {
	events := &eventWriter{w: w}
	offset := 0
	for {
		text, done, err := st.next(r.Context(), offset)
		if err != nil {
			s.fail(events, c.tenant, err)
			return
		}
		if done {
			break
		}
		part := newChat(c, req.Model, "chat.completion.chunk")
		part.Choices = []chatChoice{{Delta: &chatDelta{Role: "assistant", Content: text}}}
		if err := events.send("", part); err != nil {
			return
		}
		offset += len(text)
	}
	result, err := st.wait(r.Context())
	if err != nil {
		s.fail(events, c.tenant, err)
		return
	}
	s.endChat(events, c, req, result)
}

func (s *Server) endChat(events *eventWriter, c *call, req chatRequest, result *caller.Result) {
	last := newChat(c, req.Model, "chat.completion.chunk")
	stop := finishReason(result)
	last.Choices = []chatChoice{{Delta: &chatDelta{ToolCalls: result.Turn.Message.ToolCalls}, FinishReason: &stop}}
	if err := events.send("", last); err != nil {
		return
	}
	if req.StreamOptions.IncludeUsage {
		usage := newChat(c, req.Model, "chat.completion.chunk")
		usage.Usage = newChatUsage(result.Turn.Usage)
		if err := events.send("", usage); err != nil {
			return
		}
	}
	// A caller that is gone reads the result from the history.
	_ = events.data([]byte("[DONE]"))
}
