// Package program holds the state machine of a shard owner: it orders the calls of each program, keeps its history,
// records intents of non-idempotent calls before they are sent, and holds budgets. It does no I/O; times are passed in,
// and everything that must last is appended to a journal.Writer.
package program

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"jackdawbay.dev/api/caller"
	"jackdawbay.dev/core/journal"
)

// attempt is one try of the call that a program has in flight.
type attempt struct {
	id          string
	ingress     string // Incarnation of the daemon that sends the call.
	sequence    uint64
	callKey     string
	requestHash string
	idempotent  bool
	worstCase   int64
	expires     time.Time
	await       journal.LSN // Entry of the intent; zero for an idempotent call.
}

// intent is a recorded non-idempotent call without an outcome.
type intent struct {
	journal.Intent
	unknown bool // The sender is lost; the call may have run.
}

// resolution is a closed intent whose turn is not part of the history.
type resolution struct {
	ran    bool
	reason string
}

type pendingTurn struct {
	sequence uint64
	lsn      journal.LSN
}

// state is one program.
type state struct {
	id       string
	shard    int
	created  journal.Created
	turns    []caller.Turn
	digests  []string // digests[i] is the digest after turns[i].
	spent    int64
	prompt   int64 // Tokens that the history takes in the next prompt, as the engine counted them.
	inFlight *attempt
	intents  map[string]*intent
	resolved map[string]resolution
	ended    string // Reason, empty while the program runs.

	// recovered is set when the program was replayed and an attempt may have been in flight unseen.
	recovered bool
	pending   []pendingTurn // Turns that are not durable yet, in order.
	active    time.Time
}

func (p *state) sequence() uint64 { return uint64(len(p.turns)) }

func (p *state) digest() string {
	if len(p.digests) == 0 {
		return caller.InitialDigest(p.id)
	}
	return p.digests[len(p.digests)-1]
}

// digestAt returns the digest after the turn with the sequence.
func (p *state) digestAt(sequence uint64) string {
	if sequence == 0 {
		return caller.InitialDigest(p.id)
	}
	return p.digests[sequence-1]
}

func (p *state) durableSequence(durable journal.LSN) uint64 {
	for len(p.pending) > 0 && p.pending[0].lsn <= durable {
		p.pending = p.pending[1:]
	}
	if len(p.pending) == 0 {
		p.pending = nil
		return p.sequence()
	}
	return p.pending[0].sequence - 1
}

// turnWithKey finds a finished call by its call key, newest first.
func (p *state) turnWithKey(key string) (caller.Turn, bool) {
	for i := len(p.turns) - 1; i >= 0; i-- {
		if p.turns[i].CallKey == key {
			return p.turns[i], true
		}
	}
	return caller.Turn{}, false
}

// addTurn appends a finished call and counts its usage.
func (p *state) addTurn(t caller.Turn, digest string) {
	p.turns = append(p.turns, t)
	p.digests = append(p.digests, digest)
	p.spent += t.Usage.Total()
	if t.Kind == caller.CallModel {
		p.prompt = t.Usage.PromptTokens + t.Usage.CompletionTokens
	}
	delete(p.intents, t.CallKey)
	delete(p.resolved, t.CallKey)
}

func (p *state) receipt() Receipt {
	return Receipt{
		Program:      p.id,
		Tenant:       p.created.Tenant,
		Class:        p.created.Class,
		Model:        p.created.Model,
		Parent:       p.created.Parent,
		BudgetTokens: p.created.BudgetTokens,
		MaxTurns:     p.created.MaxTurns,
		ExpiryMillis: p.created.ExpiryMillis,
		Sequence:     p.sequence(),
		Digest:       p.digest(),
		SpentTokens:  p.spent,
	}
}

// messages returns the model-visible history followed by the new messages.
func (p *state) messages(next []caller.Message) []caller.Message {
	var list []caller.Message
	for _, t := range p.turns {
		if t.Kind != caller.CallModel {
			continue
		}
		list = append(list, t.Model.Messages...)
		list = append(list, *t.Message)
	}
	return append(list, next...)
}

// messageOverheadTokens bounds the tokens that a chat template adds to one message.
const messageOverheadTokens = 16

// worstCase bounds the tokens that a call can use. A token holds at least one byte, so the bytes of new messages bound
// their tokens; the history was counted by the engine.
func (p *state) worstCase(c caller.Call) int64 {
	if c.Kind != caller.CallModel {
		return 0
	}
	total := p.prompt + int64(c.Model.MaxTokens)
	for _, m := range c.Model.Messages {
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

// requestHash identifies what a call asks for, apart from its deadline, window and way of delivery.
func requestHash(c caller.Call) string {
	body := struct {
		Kind    caller.CallKind
		Model   *caller.ModelCall
		Service *caller.ServiceCall
	}{Kind: c.Kind, Service: c.Service}
	if c.Model != nil {
		m := *c.Model
		m.Stream = false
		body.Model = &m
	}
	// The types hold no channels or functions, so encoding cannot fail.
	raw, _ := json.Marshal(body)
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:16])
}

// turnHash is requestHash for a finished call.
func turnHash(t caller.Turn) string {
	return requestHash(caller.Call{Kind: t.Kind, Model: t.Model, Service: t.Service})
}
