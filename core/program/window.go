package program

import (
	"time"

	"jackdawbay.dev/api/caller"
	"jackdawbay.dev/api/errkind"
	"jackdawbay.dev/core/journal"
)

// restoreProgram recreates a program, whose creation was not durable, from the caller's receipt. The caller's window
// must contain every turn. The shard is open and its journal was replayed, so the program does not exist elsewhere. A
// receipt that is older than the program's expiry is rejected: the program may have ended and been removed, together
// with the outcomes of its calls.
func (o *Owner) restoreProgram(now time.Time, req AdmitRequest) (*programState, error) {
	r, err := o.cfg.Signer.Verify(req.Call.Receipt)
	if err != nil {
		return nil, err
	}
	if r.Program != req.Program || r.Tenant != req.Tenant {
		return nil, errkind.New(errkind.ProgramNotFound, "")
	}
	if now.Sub(time.UnixMilli(r.LastActiveMillis)) > expiryDuration(r.ExpiryMillis) {
		// The program may have been removed, and the outcomes of its calls with it.
		return nil, errkind.New(errkind.ProgramNotFound, "The receipt is too old.").WithNotRun(errkind.NotRunUnknown)
	}
	if err := checkWindowBounds(req.Program, req.Call, r, 0); err != nil {
		return nil, err
	}
	if len(o.programs) >= o.cfg.MaxPrograms {
		return nil, errkind.New(errkind.BacklogFull, "The daemon holds too many programs.").WithRetryAfter(time.Second)
	}
	created := journal.Created{
		Tenant:                r.Tenant,
		Class:                 r.Class,
		Model:                 r.Model,
		Parent:                r.Parent,
		BudgetTokens:          r.BudgetTokens,
		MaxTurns:              r.MaxTurns,
		ExpiryMillis:          r.ExpiryMillis,
		AtMillis:              now.UnixMilli(),
		FirstUnaccountedEpoch: r.FirstUnaccountedEpoch,
		ReservedTokens:        max(creatorAllowance(r.BudgetTokens), r.SpentTokens),
	}
	p := o.newProgramState(req.Program, created, now)
	p.firstUnaccountedEpoch, p.reservedTokens = r.FirstUnaccountedEpoch, created.ReservedTokens
	if _, err := o.appendEntries(p, journal.Entry{Created: &created}); err != nil {
		return nil, err
	}
	o.programs[p.id] = p
	return p, nil
}

// addWindowTurns adds the turns of the caller's window that the program lacks. They show that another owner has
// advanced the program. An attempt in flight here is therefore abandoned, and the attempts of the other owner since the
// receipt are unaccounted for.
func (o *Owner) addWindowTurns(p *programState, c caller.Call) error {
	if len(c.Window) == 0 || c.Receipt == "" {
		return errkind.Newf(errkind.HistoryGap, "The owner has %d turns.", p.sequence())
	}
	r, err := o.cfg.Signer.Verify(c.Receipt)
	if err != nil {
		return err
	}
	if err := checkWindowBounds(p.id, c, r, p.sequence()); err != nil {
		return err
	}
	missing, err := p.verifyWindow(c)
	if err != nil {
		return err
	}
	if err := o.checkHistoryMemory(turnsBytes(missing.turns)); err != nil {
		return err
	}
	return o.applyWindow(p, r, missing)
}

// replacesLastTurn reports whether the caller received another turn in place of the last one. This happens if a stale
// former owner, which has not observed that it was replaced, runs a repeat of the call. The caller never received the
// last turn stored here, so no call can follow it. The receipt proves that the caller's turn is genuine.
func (o *Owner) replacesLastTurn(p *programState, c caller.Call) bool {
	if c.Sequence != p.sequence()+1 || p.sequence() == 0 || c.Digest == p.digest() || c.Receipt == "" {
		return false
	}
	r, err := o.cfg.Signer.Verify(c.Receipt)
	return err == nil && r.Program == p.id && r.Sequence == p.sequence() && r.Digest == c.Digest
}

// missingTurns are the turns of a window that a program lacks, with the digest after each turn.
type missingTurns struct {
	turns       []caller.Turn
	digests     []string
	replaceLast bool // The first turn replaces the last turn of the program.
}

func turnsBytes(turns []caller.Turn) int64 {
	n := int64(0)
	for _, t := range turns {
		n += turnBytes(t)
	}
	return n
}

func (o *Owner) applyWindow(p *programState, r Receipt, missing missingTurns) error {
	receiptSpentHere := p.receiptSpent
	if missing.replaceLast {
		receiptSpentHere = p.receiptSpentBefore
	}
	receiptSpent := max(r.SpentTokens, receiptSpentHere)
	entries := make([]journal.Entry, 0, len(missing.turns)+1)
	usage := int64(0)
	for i, t := range missing.turns {
		window := &journal.WindowReceipt{
			FirstUnaccountedEpoch: r.FirstUnaccountedEpoch,
			ReceiptSpent:          receiptSpent,
			ReplacesLast:          missing.replaceLast && i == 0,
		}
		entry := &journal.Turn{Turn: t, Digest: missing.digests[i], AtMillis: p.lastActive.UnixMilli(), Window: window}
		entries = append(entries, journal.Entry{Turn: entry})
		usage += t.Usage.Total()
	}
	// The receipt does not include the attempts charged here, and this owner has not observed the charges of the other
	// owner.
	charge := max(receiptSpent-receiptSpentHere-usage, 0)
	if p.inFlight != nil {
		charge += p.inFlight.tokenUpperBound
	}
	if charge > 0 {
		entries = append(entries, journal.Entry{Charge: &journal.Charge{Tokens: charge}})
	}
	lastLSN, err := o.appendEntries(p, entries...)
	if err != nil {
		return err
	}
	firstLSN := lastLSN - journal.LSN(len(entries)) + 1
	if missing.replaceLast {
		bytesBefore := p.memoryBytes
		p.dropLastTurn(missing.turns[0].CallKey)
		o.historyBytes += p.memoryBytes - bytesBefore
	}
	for i, t := range missing.turns {
		o.addJournaledTurn(p, t, missing.digests[i], firstLSN+journal.LSN(i))
		p.receiptSpent = receiptSpent
	}
	if p.inFlight != nil {
		p.clearAttempt()
	}
	p.spentTokens += charge
	p.firstUnaccountedEpoch, p.receiptSpent = r.FirstUnaccountedEpoch, receiptSpent
	return nil
}

// clearAttempt removes the attempt in flight, whose charge is journaled separately. An intent of the call gets an
// unknown outcome.
func (p *programState) clearAttempt() {
	if in, ok := p.intents[p.inFlight.callKey]; ok {
		in.outcomeUnknown = true
	}
	p.inFlight = nil
}

// checkWindowBounds checks that the receipt belongs to the turn before the call, and that the window leaves no gap
// between the first turnCount turns and the call.
func checkWindowBounds(program string, c caller.Call, r Receipt, turnCount uint64) error {
	if r.Program != program || r.Sequence+1 != c.Sequence || r.Digest != c.Digest {
		return errkind.New(errkind.DigestMismatch, "The receipt is not that of the turn before the call.")
	}
	if turnCount == 0 && c.Sequence == 1 {
		return nil
	}
	if len(c.Window) == 0 || c.Window[0].Sequence > turnCount+1 {
		return errkind.Newf(errkind.HistoryGap, "The owner has %d turns.", turnCount)
	}
	if c.Window[len(c.Window)-1].Sequence+1 != c.Sequence {
		return errkind.New(errkind.InvalidValue, "Field window does not end before the call.")
	}
	return nil
}

// verifyWindow checks the turns that the program lacks against the digest of the call. They follow the last turn of the
// program, or the turn before it.
func (p *programState) verifyWindow(c caller.Call) (missingTurns, error) {
	missing, err := p.verifyWindowAfter(p.sequence(), c)
	if !errkind.Is(err, errkind.DigestMismatch) || p.sequence() == 0 {
		return missing, err
	}
	if c.Window[0].Sequence > p.sequence() {
		return missingTurns{}, errkind.Newf(errkind.HistoryGap, "The owner has another turn %d.", p.sequence())
	}
	missing, err = p.verifyWindowAfter(p.sequence()-1, c)
	missing.replaceLast = true
	return missing, err
}

func (p *programState) verifyWindowAfter(turnCount uint64, c caller.Call) (missingTurns, error) {
	skip := turnCount + 1 - c.Window[0].Sequence
	if skip > uint64(len(c.Window)) {
		return missingTurns{}, errkind.New(errkind.InvalidValue, "Field window has turns that do not follow each other.")
	}
	missing := missingTurns{turns: c.Window[skip:]}
	digest := p.digestAt(turnCount)
	for i, t := range missing.turns {
		if t.Sequence != turnCount+1+uint64(i) {
			return missingTurns{}, errkind.New(errkind.InvalidValue, "Field window has turns that do not follow each other.")
		}
		next, err := caller.NextDigest(digest, t)
		if err != nil {
			return missingTurns{}, errkind.Wrap(errkind.InvalidValue, err, "Field window has a turn that cannot be encoded.")
		}
		digest = next
		missing.digests = append(missing.digests, digest)
	}
	if digest != c.Digest {
		return missingTurns{}, errkind.New(errkind.DigestMismatch, "The window does not lead to the digest of the call.")
	}
	return missing, nil
}
