// Package caller defines the wire types between callers and daemons: programs, calls, turns and results.
package caller

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// CallKind is the kind of upstream that a call is sent to.
type CallKind string

// Call kinds.
const (
	CallModel   CallKind = "model"
	CallService CallKind = "service" // A tool service or a plain service.
)

// Text is the content of a message. It is decoded from a string, null or a list of text parts, and encoded as a string.
type Text string

// UnmarshalJSON implements json.Unmarshaler.
func (t *Text) UnmarshalJSON(b []byte) error {
	var s *string
	if err := json.Unmarshal(b, &s); err == nil {
		if s != nil {
			*t = Text(*s)
		}
		return nil
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if err := json.Unmarshal(b, &parts); err != nil {
		return errors.New("content is not a string or a list of text parts")
	}
	var sb strings.Builder
	for _, p := range parts {
		if p.Type != "text" {
			return errors.Newf("content part of type %q is not supported", p.Type)
		}
		sb.WriteString(p.Text)
	}
	*t = Text(sb.String())
	return nil
}

// ToolCall is a tool call that a model requests from its program.
type ToolCall struct {
	ID       string       `json:"id"`
	Type     string       `json:"type"`
	Function ToolFunction `json:"function"`
}

// ToolFunction is the function of a ToolCall. Arguments is JSON text as produced by the engine.
type ToolFunction struct {
	Name      string `json:"name"`
	Arguments string `json:"arguments"`
}

// Message is a chat message.
type Message struct {
	Role       string     `json:"role"`
	Content    Text       `json:"content"`
	Name       string     `json:"name,omitempty"`
	ToolCallID string     `json:"tool_call_id,omitempty"`
	ToolCalls  []ToolCall `json:"tool_calls,omitempty"`
}

// CreateProgram is the body of POST /v1/programs.
type CreateProgram struct {
	Class         string `json:"class,omitempty"`
	Model         string `json:"model,omitempty"`          // Default model of the program's calls.
	BudgetTokens  int64  `json:"budget_tokens,omitempty"`  // Zero means the limit of the tenant's budget record.
	MaxTurns      int    `json:"max_turns,omitempty"`      // Zero means the limit of the class.
	Parent        string `json:"parent,omitempty"`         // Program that started this one as a sub-agent.
	ExpirySeconds int64  `json:"expiry_seconds,omitempty"` // Idle time in seconds after which the program ends.
}

// CreatedProgram is the response to POST /v1/programs.
type CreatedProgram struct {
	Program Program `json:"program"`
	Receipt string  `json:"receipt"`
}

// Program is the state of a program in responses to its caller.
type Program struct {
	ID              string `json:"id"`
	Class           string `json:"class,omitempty"`
	Model           string `json:"model,omitempty"`
	Parent          string `json:"parent,omitempty"`
	State           string `json:"state"`
	EndReason       string `json:"end_reason,omitempty"`
	Sequence        uint64 `json:"sequence"` // Number of completed turns; the next call has Sequence+1.
	DurableSequence uint64 `json:"durable_sequence"`
	Digest          string `json:"digest"`
	BudgetTokens    int64  `json:"budget_tokens"`
	SpentTokens     int64  `json:"spent_tokens"`
	MaxTurns        int    `json:"max_turns"`
	DataCentre      string `json:"data_centre"`
	Owner           string `json:"owner,omitempty"` // VM of the owner, for operators.
	UnknownCallKey  string `json:"unknown_call_key,omitempty"`
}

// Program states.
const (
	StateRunning = "running"
	StateEnded   = "ended"
)

// Call is the body of POST /v1/programs/{id}/calls.
type Call struct {
	Sequence uint64       `json:"sequence"`
	Digest   string       `json:"digest"`
	CallKey  string       `json:"call_key"`
	Kind     CallKind     `json:"kind"`
	Deadline *time.Time   `json:"deadline,omitempty"`
	Model    *ModelCall   `json:"model,omitempty"`
	Service  *ServiceCall `json:"service,omitempty"`
	Receipt  string       `json:"receipt,omitempty"` // Receipt of the previous turn.
	Window   []Turn       `json:"window,omitempty"`  // Turns after the durable sequence, sent after a history_gap error.
}

// ModelCall is a request to a model that continues the program's history with new messages.
type ModelCall struct {
	Model     string    `json:"model,omitempty"`
	Messages  []Message `json:"messages"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	Stream    bool      `json:"stream,omitempty"`
}

// ServiceCall is a request to a tool service or a plain service. The upstream's record states whether it may be
// retried.
type ServiceCall struct {
	Upstream string          `json:"upstream"`
	Method   string          `json:"method,omitempty"` // Default POST.
	Path     string          `json:"path"`
	Body     json.RawMessage `json:"body,omitempty"`
}

// Turn is a completed call in a program's history.
type Turn struct {
	Sequence uint64           `json:"sequence"`
	CallKey  string           `json:"call_key"`
	Kind     CallKind         `json:"kind"`
	Model    *ModelCall       `json:"model,omitempty"`
	Message  *Message         `json:"message,omitempty"`
	Service  *ServiceCall     `json:"service,omitempty"`
	Response *ServiceResponse `json:"response,omitempty"`
	Usage    Usage            `json:"usage"`
}

// ServiceResponse is the response of a tool service or a plain service.
type ServiceResponse struct {
	Status int             `json:"status"`
	Body   json.RawMessage `json:"body,omitempty"`
}

// Usage is the token usage of a model call. CachedTokens is the part of PromptTokens that the engine read from its
// cache.
type Usage struct {
	PromptTokens     int64 `json:"prompt_tokens,omitempty"`
	CachedTokens     int64 `json:"cached_tokens,omitempty"`
	CompletionTokens int64 `json:"completion_tokens,omitempty"`
}

// Total returns the number of tokens that are charged to a budget.
func (u Usage) Total() int64 { return u.PromptTokens + u.CompletionTokens }

// Result is the successful response to a call.
type Result struct {
	Turn            Turn   `json:"turn"`
	Digest          string `json:"digest"`
	DurableSequence uint64 `json:"durable_sequence"`
	Receipt         string `json:"receipt"` // Signed state after the turn. The caller sends it with the next call.
	Upstream        string `json:"upstream,omitempty"`
	Repeated        bool   `json:"repeated,omitempty"` // The call had already completed; this is its stored result.
}

// Names of the server-sent events of a streamed call.
const (
	EventDelta  = "delta"
	EventResult = "result"
	EventError  = "error"
)

// Delta is one piece of the text of a streamed response. Offset is its byte offset in the text.
type Delta struct {
	Offset int    `json:"offset"`
	Text   string `json:"text"`
}

// InitialDigest returns the history digest of a program that has no turns.
func InitialDigest(programID string) string {
	sum := sha256.Sum256([]byte("jackdawbay program " + programID))
	return hex.EncodeToString(sum[:])
}

// NextDigest returns the digest of a history with the previous digest after appending turn. The JSON encoding of the
// turn is canonical: struct fields have a fixed order, and the encoder compacts raw bodies.
func NextDigest(previous string, turn Turn) (string, error) {
	body, err := json.Marshal(turn)
	if err != nil {
		return "", errors.Wrap(err, "encode turn")
	}
	h := sha256.New()
	h.Write([]byte(previous))
	h.Write([]byte(strconv.Itoa(len(body))))
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil)), nil
}
