// Package program implements the state machine of a shard owner. It orders the calls of each program, stores the
// history, records the intents of non-idempotent calls before they are sent, and enforces token budgets. The package
// does no I/O: the caller passes in the time, and every durable change is appended to a journal.Writer.
package program

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"jackdawbay.dev/api/caller"
	"jackdawbay.dev/core/journal"
)

// attempt is one try to run a call. A program has at most one attempt in flight.
type attempt struct {
	id              string
	ingress         string // Incarnation of the daemon that sends the call.
	sequence        uint64
	callKey         string
	requestHash     string
	idempotent      bool
	tokenUpperBound int64
	expiresAt       time.Time
	requiredLSN     journal.LSN // Entry that must be durable before the call is sent; zero if none.
}

// intent is a journaled non-idempotent call whose outcome is not recorded yet.
type intent struct {
	journal.Intent
	outcomeUnknown bool // The sender stopped reporting; the call may have run.

	// unreported is set for an intent that was read from the journal of a former owner and about which the ingress has
	// not reported to this owner yet.
	unreported bool
}

// resolution is the outcome of a closed intent whose turn is not part of the history.
type resolution struct {
	ran    bool
	reason string
}

type pendingTurn struct {
	sequence uint64
	lsn      journal.LSN
}

// programState is the state of one program in the memory of its owner.
type programState struct {
	id            string
	shard         int
	created       journal.Created
	turns         []caller.Turn
	digests       []digest // digests[i] is the digest of the history up to turns[i].
	memoryBytes   int64    // Estimated memory of turns and digests.
	spentTokens   int64
	promptTokens  int64 // Tokens of the history in the next prompt, as counted by the engine.
	inFlight      *attempt
	lastEngine    string // Engine of the newest model call, used for placement; not journaled.
	intents       map[string]*intent
	resolved      map[string]resolution
	endReason     string // Empty while the program runs.
	endLSN        journal.LSN
	endObservedAt time.Time // Time of the first Tick after the end.

	// firstUnaccountedEpoch is the epoch of the first owner whose attempts may be missing from spentTokens. An owner
	// with a higher epoch has to charge for the attempts of the owners since that epoch.
	firstUnaccountedEpoch uint64
	// receiptSpent is the part of spentTokens that the newest receipt contains. If the receipt of another owner contains
	// more, that owner spent the difference, and spentTokens does not include it.
	receiptSpent int64
	// receiptSpentBefore is the value of receiptSpent before the last turn.
	receiptSpentBefore int64
	// unjournaledCharge is the part of spentTokens that was not journaled because the backlog was full.
	unjournaledCharge int64
	// checkpointTurns is the number of turns that the program has in the checkpoint being replayed. It is zero after
	// the end of the checkpoint.
	checkpointTurns uint64
	// openAtHandover is set during a replay if an attempt of the program was in flight at the handover.
	openAtHandover bool
	// reservedTokens is the part of the budget that is reserved for all owners together. usableReservation is the part
	// that this owner may still spend. Of that, pendingReservation becomes usable once the entry reservationLSN is
	// durable.
	reservedTokens, usableReservation, pendingReservation int64
	reservationLSN                                        journal.LSN
	// handoverReservation is the unspent reservation that the former owner passed on in a handover to the owner with
	// handoverEpoch.
	handoverReservation int64
	handoverEpoch       uint64

	pendingTurns []pendingTurn // Turns that are not durable yet, oldest first.
	lastActive   time.Time
}

// digest is a SHA-256 hash in binary form. The hexadecimal text takes more than twice the memory.
type digest [sha256.Size]byte

func (d digest) String() string { return hex.EncodeToString(d[:]) }

// parseDigest decodes the hexadecimal digest that caller.NextDigest returns.
func parseDigest(text string) digest {
	var d digest
	// caller.NextDigest returns valid hexadecimal text of full length, so decoding cannot fail.
	_, _ = hex.Decode(d[:], []byte(text))
	return d
}

func (p *programState) sequence() uint64 { return uint64(len(p.turns)) }

func (p *programState) digest() string { return p.digestAt(p.sequence()) }

// digestAt returns the digest of the history up to the given sequence.
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

// turnByCallKey returns the newest turn with the given call key.
func (p *programState) turnByCallKey(key string) (caller.Turn, bool) {
	for i := len(p.turns) - 1; i >= 0; i-- {
		if p.turns[i].CallKey == key {
			return p.turns[i], true
		}
	}
	return caller.Turn{}, false
}

// addTurn appends a turn to the history, adds its usage to the spent tokens, and removes the intent or resolution of
// its call key.
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

// replacedTurnReason is the resolution reason of a call whose turn was replaced by the turn that the caller received.
const replacedTurnReason = "The caller continued from the answer of another attempt."

// dropLastTurn removes the last turn, because the caller received another turn in its place. The tokens of the removed
// turn stay spent.
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

// promptMessages returns the messages of the model calls in the history, followed by the new messages.
func (p *programState) promptMessages(newMessages []caller.Message) []caller.Message {
	n := len(newMessages)
	for _, t := range p.turns {
		if t.Kind == caller.CallModel {
			n += len(t.Model.Messages) + 1
		}
	}
	messages := make([]caller.Message, 0, n)
	for _, t := range p.turns {
		if t.Kind != caller.CallModel {
			continue
		}
		messages = append(messages, t.Model.Messages...)
		messages = append(messages, *t.Message)
	}
	return append(messages, newMessages...)
}

// hasUnknownOutcome reports whether another call to the same upstream, under another call key, has an unknown outcome.
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

// requestHash returns a hash over the kind and body of a call. The deadline, the window and the delivery mode are not
// part of it.
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
	// validateCall has checked the raw bodies, so encoding cannot fail.
	raw, _ := json.Marshal(body)
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:16])
}

// turnRequestHash returns the requestHash of the call that produced a turn.
func turnRequestHash(t caller.Turn) string {
	return requestHash(caller.Call{Kind: t.Kind, Model: t.Model, Service: t.Service})
}
