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
	id              string
	ingress         string // Incarnation of the daemon that sends the call.
	sequence        uint64
	callKey         string
	requestHash     string
	idempotent      bool
	tokenUpperBound int64
	expiresAt       time.Time
	requiredLSN     journal.LSN // What had to be durable before it was sent, zero when nothing had to.
}

// intent is a recorded non-idempotent call without an outcome.
type intent struct {
	journal.Intent
	outcomeUnknown bool // The sender is lost; the call may have run.

	// unheard is set while the intent is known from a former owner's journal only, and its ingress has reported nothing.
	unreported bool
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
type programState struct {
	id            string
	shard         int
	created       journal.Created
	turns         []caller.Turn
	digests       []digest // digests[i] is the digest after turns[i].
	memoryBytes   int64    // Memory of turns and digests, estimated.
	spentTokens   int64
	promptTokens  int64 // Tokens that the history takes in the next prompt, as the engine counted them.
	inFlight      *attempt
	lastEngine    string // Engine of the newest model call, for placement; not journaled.
	intents       map[string]*intent
	resolved      map[string]resolution
	endReason     string // Reason, empty while the program runs.
	endLSN        journal.LSN
	endObservedAt time.Time // When Tick first saw the end.

	// base is the epoch of the first owner whose attempts may be missing from spent. An owner with a higher epoch has to
	// charge for the owners from base on.
	firstUnaccountedEpoch uint64
	// seen is the part of spent that the newest receipt shows. What a receipt of another owner shows beyond it was spent
	// there and is not known here.
	receiptSpent int64
	// receiptSpentBefore is seen before the last turn.
	receiptSpentBefore int64
	// owed is the part of spent for which the journal had no room.
	unjournaledCharge int64
	// loading is the number of turns of the program in the checkpoint that a replay reads, zero after its end.
	checkpointTurns uint64
	// open is set during a replay when an attempt was in flight at a handover.
	openAtHandover bool
	// reserved is the part of the budget that was reserved for all owners together. own is the part of it that this owner
	// may still spend; pendingReservation of it is not usable before the entry reservationLSN is durable.
	reservedTokens, usableReservation, pendingReservation int64
	reservationLSN                                        journal.LSN
	// left is what the owner of the epoch before handoverEpoch passed on in a handover.
	handoverReservation int64
	handoverEpoch       uint64

	pendingTurns []pendingTurn // Turns that are not durable yet, in order.
	lastActive   time.Time
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

func (p *programState) sequence() uint64 { return uint64(len(p.turns)) }

func (p *programState) digest() string { return p.digestAt(p.sequence()) }

// digestAt returns the digest after the turn with the sequence.
func (p *programState) digestAt(sequence uint64) string {
	if sequence == 0 {
		return caller.InitialDigest(p.id)
	}
	return p.digests[sequence-1].String()
}

func (p *programState) durableSequence(durable journal.LSN) uint64 {
	for len(p.pendingTurns) > 0 && p.pendingTurns[0].lsn <= durable {
		p.pendingTurns = p.pendingTurns[1:]
	}
	if len(p.pendingTurns) == 0 {
		p.pendingTurns = nil
		return p.sequence()
	}
	return p.pendingTurns[0].sequence - 1
}

// turnByCallKey finds a finished call by its call key, newest first.
func (p *programState) turnByCallKey(key string) (caller.Turn, bool) {
	for i := len(p.turns) - 1; i >= 0; i-- {
		if p.turns[i].CallKey == key {
			return p.turns[i], true
		}
	}
	return caller.Turn{}, false
}

// addTurn appends a finished call and counts its usage.
func (p *programState) addTurn(t caller.Turn, digestAfter string) {
	p.receiptSpentBefore = p.receiptSpent
	p.turns = append(p.turns, t)
	p.digests = append(p.digests, parseDigest(digestAfter))
	p.memoryBytes += turnBytes(t)
	p.spentTokens += t.Usage.Total()
	if t.Kind == caller.CallModel {
		p.promptTokens = t.Usage.PromptTokens + t.Usage.CompletionTokens
	}
	delete(p.intents, t.CallKey)
	delete(p.resolved, t.CallKey)
}

// replacedTurnReason is the reason of a call whose turn gave way to the turn that the caller got.
const replacedTurnReason = "The caller continued from the answer of another attempt."

// dropLastTurn makes room for the turn that the caller got instead of the last one. What the dropped turn used stays spent.
func (p *programState) dropLastTurn(newCallKey string) {
	n := len(p.turns) - 1
	last := p.turns[n]
	p.turns, p.digests = p.turns[:n:n], p.digests[:n:n]
	p.memoryBytes -= turnBytes(last)
	if k := len(p.pendingTurns); k > 0 && p.pendingTurns[k-1].sequence == last.Sequence {
		p.pendingTurns = p.pendingTurns[:k-1]
	}
	p.promptTokens = 0
	for i := n - 1; i >= 0 && p.promptTokens == 0; i-- {
		p.promptTokens = p.turns[i].Usage.Total()
	}
	p.receiptSpent = p.receiptSpentBefore
	if last.CallKey != newCallKey {
		p.closeIntent(last.CallKey, true, replacedTurnReason)
	}
}

func (p *programState) receipt() Receipt {
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
		SpentTokens:           p.spentTokens,
		PromptTokens:          p.promptTokens,
		Engine:                p.lastEngine,
		FirstUnaccountedEpoch: p.firstUnaccountedEpoch,
		LastActiveMillis:      p.lastActive.UnixMilli(),
	}
}

// messages returns the model-visible history followed by the new messages.
func (p *programState) promptMessages(next []caller.Message) []caller.Message {
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

// hasUnknownOutcome reports whether a call to the upstream under another call key has an unknown outcome.
func (p *programState) hasUnknownOutcome(upstream, callKey string) bool {
	for key, in := range p.intents {
		if in.outcomeUnknown && in.Upstream == upstream && key != callKey {
			return true
		}
	}
	return false
}

func (p *programState) addIntent(in *intent) {
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

// turnRequestHash is requestHash for a finished call.
func turnRequestHash(t caller.Turn) string {
	return requestHash(caller.Call{Kind: t.Kind, Model: t.Model, Service: t.Service})
}
