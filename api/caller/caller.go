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

// CallKind tells what a call is sent to.
type CallKind string

// Kinds of calls.
const (
	CallModel   CallKind = "model"
	CallService CallKind = "service" // A tool service or a plain service.
)

// Text is message content. It accepts a string, null, or a list of text parts, and is written as a string.
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

// ToolCall is a call that a model asks its program to make.
type ToolCall struct {
	ID       string       `json:"id"`
	Type     string       `json:"type"`
	Function ToolFunction `json:"function"`
}

// ToolFunction names the function of a ToolCall. Arguments is JSON text, as engines produce it.
type ToolFunction struct {
	Name      string `json:"name"`
	Arguments string `json:"arguments"`
}

// Message is one chat message.
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
	BudgetTokens  int64  `json:"budget_tokens,omitempty"`  // Zero takes the limit of the tenant's budget record.
	MaxTurns      int    `json:"max_turns,omitempty"`      // Zero takes the limit of the class.
	Parent        string `json:"parent,omitempty"`         // Program that started this one as a sub-agent.
	ExpirySeconds int64  `json:"expiry_seconds,omitempty"` // Idle time in seconds after which the program ends.
}

// CreatedProgram is the answer to POST /v1/programs.
type CreatedProgram struct {
	Program Program `json:"program"`
	Receipt string  `json:"receipt"`
}

// Program is the state of a program as its caller sees it.
type Program struct {
	ID              string `json:"id"`
	Class           string `json:"class,omitempty"`
	Model           string `json:"model,omitempty"`
	Parent          string `json:"parent,omitempty"`
	State           string `json:"state"`
	EndReason       string `json:"end_reason,omitempty"`
	Sequence        uint64 `json:"sequence"` // Number of turns so far; the next call has Sequence+1.
	DurableSequence uint64 `json:"durable_sequence"`
	Digest          string `json:"digest"`
	BudgetTokens    int64  `json:"budget_tokens"`
	SpentTokens     int64  `json:"spent_tokens"`
	MaxTurns        int    `json:"max_turns"`
	DataCentre      string `json:"data_centre"`
	Owner           string `json:"owner,omitempty"` // VM of the owner, for operators.
	UnknownCallKey  string `json:"unknown_call_key,omitempty"`
}

// States of a program.
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
	Receipt  string       `json:"receipt,omitempty"` // Receipt of the turn before the call.
	Window   []Turn       `json:"window,omitempty"`  // Turns after the durable sequence, sent after a history_gap.
}

// ModelCall asks a model to continue the program's history with new messages.
type ModelCall struct {
	Model     string    `json:"model,omitempty"`
	Messages  []Message `json:"messages"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	Stream    bool      `json:"stream,omitempty"`
}

// ServiceCall is a request to a tool service or a plain service. The upstream's record says whether it may be repeated.
type ServiceCall struct {
	Upstream string          `json:"upstream"`
	Method   string          `json:"method,omitempty"` // Default POST.
	Path     string          `json:"path"`
	Body     json.RawMessage `json:"body,omitempty"`
}

// Turn is one finished call of a program's history.
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

// ServiceResponse is the answer of a tool service or a plain service.
type ServiceResponse struct {
	Status int             `json:"status"`
	Body   json.RawMessage `json:"body,omitempty"`
}

// Usage counts tokens of a model call. CachedTokens is the part of PromptTokens that the engine found in its cache.
type Usage struct {
	PromptTokens     int64 `json:"prompt_tokens,omitempty"`
	CachedTokens     int64 `json:"cached_tokens,omitempty"`
	CompletionTokens int64 `json:"completion_tokens,omitempty"`
}

// Total returns the tokens that count against a budget.
func (u Usage) Total() int64 { return u.PromptTokens + u.CompletionTokens }

// Result is the answer to a call.
type Result struct {
	Turn            Turn   `json:"turn"`
	Digest          string `json:"digest"`
	DurableSequence uint64 `json:"durable_sequence"`
	Receipt         string `json:"receipt"` // Signed state after the turn; sent back with the next call.
	Upstream        string `json:"upstream,omitempty"`
	Repeated        bool   `json:"repeated,omitempty"` // The call had finished before; this is its recorded result.
}

// Names of server-sent events on a streamed call.
const (
	EventDelta  = "delta"
	EventResult = "result"
	EventError  = "error"
)

// Delta is one piece of a streamed answer. Offset counts bytes of text before this piece.
type Delta struct {
	Offset int    `json:"offset"`
	Text   string `json:"text"`
}

// InitialDigest returns the digest of a program without turns.
func InitialDigest(programID string) string {
	sum := sha256.Sum256([]byte("jackdawbay program " + programID))
	return hex.EncodeToString(sum[:])
}

// NextDigest returns the digest of a history after one more turn. The turn's JSON form is canonical: struct fields are
// written in a fixed order and raw bodies are compacted by the encoder.
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
