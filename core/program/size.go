package program

import (
	"crypto/sha256"
	"unsafe"

	"jackdawbay.dev/api/caller"
)

// messageOverheadTokens bounds the tokens that a chat template adds to one message.
const messageOverheadTokens = 16

// maxCallTokens bounds max_tokens and the worst case of one call, so that sums of them cannot overflow.
const maxCallTokens = 1 << 32

// worstCase bounds the tokens that a call can use. A token holds at least one byte, so the bytes of new messages bound
// their tokens; the history was counted by the engine.
func (p *state) worstCase(c caller.Call, maxTokens int64) int64 {
	if c.Kind != caller.CallModel {
		return 0
	}
	return min(PromptUpperBound(p.prompt, c.Model.Messages)+maxTokens, maxCallTokens)
}

// PromptUpperBound bounds the tokens of a prompt: a history that an engine counted, followed by new messages.
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

// turnBytes estimates the memory of one turn and its digest.
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
