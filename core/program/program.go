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
	await       journal.LSN // What had to be durable before it was sent, zero when nothing had to.
}

// intent is a recorded non-idempotent call without an outcome.
type intent struct {
	journal.Intent
	unknown bool // The sender is lost; the call may have run.

	// unheard is set while the intent is known from a former owner's journal only, and its ingress has reported nothing.
	unheard bool
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
	digests  []digest // digests[i] is the digest after turns[i].
	bytes    int64    // Memory of turns and digests, estimated.
	spent    int64
	prompt   int64 // Tokens that the history takes in the next prompt, as the engine counted them.
	inFlight *attempt
	engine   string // Engine of the newest model call, for placement; not journaled.
	intents  map[string]*intent
	resolved map[string]resolution
	ended    string // Reason, empty while the program runs.
	endedLSN journal.LSN
	endedAt  time.Time // When Tick first saw the end.

	// base is the epoch of the first owner whose attempts may be missing from spent. An owner with a higher epoch has to
	// charge for the owners from base on.
	base uint64
	// seen is the part of spent that the newest receipt shows. What a receipt of another owner shows beyond it was spent
	// there and is not known here.
	seen int64
	// seenBefore is seen before the last turn.
	seenBefore int64
	// owed is the part of spent for which the journal had no room.
	owed int64
	// loading is the number of turns of the program in the checkpoint that a replay reads, zero after its end.
	loading uint64
	// open is set during a replay when an attempt was in flight at a handover.
	open bool
	// reserved is the part of the budget that was reserved for all owners together. own is the part of it that this owner
	// may still spend; ownPending of it is not usable before the entry ownLSN is durable.
	reserved, own, ownPending int64
	ownLSN                    journal.LSN
	// left is what the owner of the epoch before leftEpoch passed on in a handover.
	left      int64
	leftEpoch uint64

	pending []pendingTurn // Turns that are not durable yet, in order.
	active  time.Time
}

// digest is a SHA-256 in binary form; the hexadecimal text takes more than twice the memory.
type digest [sha256.Size]byte

func (d digest) String() string { return hex.EncodeToString(d[:]) }

// parseDigest decodes the text form that caller.NextDigest returns.
func parseDigest(text string) digest {
	var d digest
	// The text comes from caller.NextDigest and always has the full length.
	_, _ = hex.Decode(d[:], []byte(text))
	return d
}

func (p *state) sequence() uint64 { return uint64(len(p.turns)) }

func (p *state) digest() string { return p.digestAt(p.sequence()) }

// digestAt returns the digest after the turn with the sequence.
func (p *state) digestAt(sequence uint64) string {
	if sequence == 0 {
		return caller.InitialDigest(p.id)
	}
	return p.digests[sequence-1].String()
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
func (p *state) addTurn(t caller.Turn, after string) {
	p.seenBefore = p.seen
	p.turns = append(p.turns, t)
	p.digests = append(p.digests, parseDigest(after))
	p.bytes += turnBytes(t)
	p.spent += t.Usage.Total()
	if t.Kind == caller.CallModel {
		p.prompt = t.Usage.PromptTokens + t.Usage.CompletionTokens
	}
	delete(p.intents, t.CallKey)
	delete(p.resolved, t.CallKey)
}

// replacedReason is the reason of a call whose turn gave way to the turn that the caller got.
const replacedReason = "The caller continued from the answer of another attempt."

// dropLast makes room for the turn that the caller got instead of the last one. What the dropped turn used stays spent.
func (p *state) dropLast(nextKey string) {
	n := len(p.turns) - 1
	last := p.turns[n]
	p.turns, p.digests = p.turns[:n:n], p.digests[:n:n]
	p.bytes -= turnBytes(last)
	if k := len(p.pending); k > 0 && p.pending[k-1].sequence == last.Sequence {
		p.pending = p.pending[:k-1]
	}
	p.prompt = 0
	for i := n - 1; i >= 0 && p.prompt == 0; i-- {
		p.prompt = p.turns[i].Usage.Total()
	}
	p.seen = p.seenBefore
	if last.CallKey != nextKey {
		p.resolve(last.CallKey, true, replacedReason)
	}
}

func (p *state) receipt() Receipt {
	return Receipt{
		Program:               p.id,
		Tenant:                p.created.Tenant,
		Class:                 p.created.Class,
		Model:                 p.created.Model,
		Parent:                p.created.Parent,
		BudgetTokens:          p.created.BudgetTokens,
		MaxTurns:              p.created.MaxTurns,
		ExpiryMillis:          p.created.ExpiryMillis,
		Sequence:              p.sequence(),
		Digest:                p.digest(),
		SpentTokens:           p.spent,
		PromptTokens:          p.prompt,
		Engine:                p.engine,
		FirstUnaccountedEpoch: p.base,
		LastActiveMillis:      p.active.UnixMilli(),
	}
}

// messages returns the model-visible history followed by the new messages.
func (p *state) messages(next []caller.Message) []caller.Message {
	n := len(next)
	for _, t := range p.turns {
		if t.Kind == caller.CallModel {
			n += len(t.Model.Messages) + 1
		}
	}
	list := make([]caller.Message, 0, n)
	for _, t := range p.turns {
		if t.Kind != caller.CallModel {
			continue
		}
		list = append(list, t.Model.Messages...)
		list = append(list, *t.Message)
	}
	return append(list, next...)
}

// hasUnknown reports whether a call to the upstream under another call key has an unknown outcome.
func (p *state) hasUnknown(upstream, callKey string) bool {
	for key, in := range p.intents {
		if in.unknown && in.Upstream == upstream && key != callKey {
			return true
		}
	}
	return false
}

func (p *state) addIntent(in *intent) {
	if p.intents == nil {
		p.intents = map[string]*intent{}
	}
	p.intents[in.CallKey] = in
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
	// Raw bodies were checked by validateCall, so encoding cannot fail.
	raw, _ := json.Marshal(body)
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:16])
}

// turnHash is requestHash for a finished call.
func turnHash(t caller.Turn) string {
	return requestHash(caller.Call{Kind: t.Kind, Model: t.Model, Service: t.Service})
}
