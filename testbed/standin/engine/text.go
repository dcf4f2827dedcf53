package engine

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"hash"
	"math/rand/v2"
	"strconv"
	"strings"
)

// Bounds of the random output length in tokens.
const (
	MinOutputTokens = 16
	MaxOutputTokens = 271
)

// bytesPerToken is the number of message bytes that count as one prompt token.
const bytesPerToken = 4

// vocabulary lists the output tokens. Some contain multi-byte characters, to expose clients that confuse bytes with
// characters in a stream offset.
var vocabulary = []string{
	"order", "route", "jersey", "printer", "deposit", "zażółć", "pallet", "truck", "invoice", "stock", "meter", "grid",
	"łódź", "harbor", "booking", "captain",
}

// MessageTokens returns the number of prompt tokens of one JSON message.
func MessageTokens(message json.RawMessage) int {
	return messageTokens(compactJSON(message))
}

func messageTokens(compacted json.RawMessage) int {
	return (len(compacted) + bytesPerToken - 1) / bytesPerToken
}

// PromptTokens returns the number of prompt tokens of a list of messages.
func PromptTokens(messages []json.RawMessage) int { return newPrefix(messages).totalTokens() }

// PrefixHash returns the prefix_hash of cache events: the first 16 bytes, in hexadecimal, of the SHA-256 of the
// messages as a JSON array without white space.
func PrefixHash(messages []json.RawMessage) string {
	return newPrefix(messages).hashFirst(len(messages))
}

// prefix is a list of messages with their hashes and token counts. It is computed before the engine's lock is acquired,
// since a long history takes milliseconds.
type prefix struct {
	messages      []json.RawMessage // Without white space.
	cacheMessages []cachedMessage
	hashState     hash.Hash // SHA-256 state of the JSON array of messages, without its closing bracket.
}

func newPrefix(messages []json.RawMessage) *prefix {
	p := &prefix{hashState: sha256.New()}
	p.hashState.Write([]byte("["))
	for _, m := range messages {
		p.append(compactJSON(m))
	}
	return p
}

// append adds a message that has no white space.
func (p *prefix) append(m json.RawMessage) {
	if len(p.messages) > 0 {
		p.hashState.Write([]byte(","))
	}
	p.hashState.Write(m)
	p.messages = append(p.messages, m)
	p.cacheMessages = append(p.cacheMessages, cachedMessage{Key: messageKey(m), Tokens: messageTokens(m)})
}

// hashFirst returns the PrefixHash of the first n messages.
func (p *prefix) hashFirst(n int) string {
	if n < len(p.messages) {
		return PrefixHash(p.messages[:n])
	}
	sum := sha256.New()
	if c, err := p.hashState.(hash.Cloner).Clone(); err == nil {
		sum = c
	}
	sum.Write([]byte("]"))
	return hex.EncodeToString(sum.Sum(nil)[:16])
}

func (p *prefix) totalTokens() int {
	total := 0
	for _, m := range p.cacheMessages {
		total += m.Tokens
	}
	return total
}

// GenerationConfig holds the settings that determine the output of a call together with its request.
type GenerationConfig struct {
	Seed         uint64
	OutputTokens int // Output length before max_tokens applies; zero derives a random length from the request.
}

// GenerateTokens returns the output tokens of a call; their concatenation is its text. The result depends only on the
// arguments, so a test can predict it. The first token contains the number of messages of the prompt. A maxTokens of
// zero means no limit.
func GenerateTokens(cfg GenerationConfig, model string, messages []json.RawMessage, maxTokens int) []string {
	tokens, _ := generateTokens(cfg, model, newPrefix(messages), maxTokens)
	return tokens
}

// generateTokens also reports whether maxTokens cut the output short.
func generateTokens(cfg GenerationConfig, model string, p *prefix, maxTokens int) ([]string, bool) {
	h := sha256.New()
	_ = binary.Write(h, binary.LittleEndian, cfg.Seed)
	h.Write([]byte(model))
	h.Write([]byte(p.hashFirst(len(p.messages))))
	rng := rand.New(rand.NewChaCha8([32]byte(h.Sum(nil))))
	unlimitedLength := MinOutputTokens + rng.IntN(MaxOutputTokens-MinOutputTokens+1)
	if cfg.OutputTokens > 0 {
		unlimitedLength = cfg.OutputTokens
	}
	length := unlimitedLength
	if maxTokens > 0 {
		length = min(length, maxTokens)
	}
	tokens := make([]string, 0, length)
	tokens = append(tokens, "messages="+strconv.Itoa(len(p.messages)))
	for len(tokens) < length {
		tokens = append(tokens, " "+vocabulary[rng.IntN(len(vocabulary))])
	}
	return tokens, length < unlimitedLength
}

// GenerateText returns the output text of a call.
func GenerateText(cfg GenerationConfig, model string, messages []json.RawMessage, maxTokens int) string {
	return strings.Join(GenerateTokens(cfg, model, messages, maxTokens), "")
}

func compactJSON(message json.RawMessage) []byte {
	var b bytes.Buffer
	if err := json.Compact(&b, message); err != nil {
		return message
	}
	return b.Bytes()
}

// assistantMessage returns the message that a client appends to its history after a response.
func assistantMessage(text string) json.RawMessage {
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false)
	// Encoding a struct of two strings cannot fail.
	_ = e.Encode(struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}{"assistant", text})
	return compactJSON(b.Bytes())
}

// messageKey identifies a message in the prefix cache independently of the order of its fields.
func messageKey(message json.RawMessage) [16]byte {
	canonical := []byte(message)
	var fields map[string]any
	if json.Unmarshal(message, &fields) == nil {
		canonical, _ = json.Marshal(fields)
	}
	sum := sha256.Sum256(canonical)
	return [16]byte(sum[:16])
}
