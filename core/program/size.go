package program

import (
	"crypto/sha256"
	"unsafe"

	"jackdawbay.dev/api/caller"
)

// messageOverheadTokens is an upper bound of the tokens that a chat template adds to one message.
const messageOverheadTokens = 16

// maxCallTokens limits max_tokens and the upper bound of one call, so that sums cannot overflow.
const maxCallTokens = 1 << 32

// tokenUpperBound returns an upper bound of the tokens that a call can use. A token contains at least one byte, so the
// size of the new messages in bytes bounds their tokens. The tokens of the history were counted by the engine.
func (p *programState) tokenUpperBound(c caller.Call, maxTokens int64) int64 {
	if c.Kind != caller.CallModel {
		return 0
	}
	return min(PromptUpperBound(p.promptTokens, c.Model.Messages)+maxTokens, maxCallTokens)
}

// PromptUpperBound returns an upper bound of the tokens of a prompt. The prompt consists of a history that an engine
// counted and of new messages.
func PromptUpperBound(historyTokens int64, messages []caller.Message) int64 {
	total := historyTokens
	for _, m := range messages {
		total += messageBytes(m) + messageOverheadTokens
	}
	return total
}

func messageBytes(m caller.Message) int64 {
	n := len(m.Role) + len(m.Content) + len(m.Name) + len(m.ToolCallID)
	for _, t := range m.ToolCalls {
		n += len(t.ID) + len(t.Function.Name) + len(t.Function.Arguments)
	}
	return int64(n)
}

// turnBytes returns the estimated memory of one turn and its digest.
func turnBytes(t caller.Turn) int64 {
	n := int64(unsafe.Sizeof(t)) + sha256.Size + int64(len(t.CallKey))
	if t.Model != nil {
		n += int64(unsafe.Sizeof(*t.Model))
		for _, m := range t.Model.Messages {
			n += int64(unsafe.Sizeof(m)) + messageBytes(m)
		}
	}
	if t.Message != nil {
		n += int64(unsafe.Sizeof(*t.Message)) + messageBytes(*t.Message)
	}
	if t.Service != nil {
		n += int64(unsafe.Sizeof(*t.Service)) + int64(len(t.Service.Path)+len(t.Service.Body))
	}
	if t.Response != nil {
		n += int64(unsafe.Sizeof(*t.Response)) + int64(len(t.Response.Body))
	}
	return n
}
