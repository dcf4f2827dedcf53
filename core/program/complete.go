package program

import (
	"time"

	"jackdawbay.dev/api/caller"
	"jackdawbay.dev/api/errkind"
	"jackdawbay.dev/core/journal"
)

// Outcome is the way in which an attempt ended.
type Outcome string

// Outcomes of an attempt.
const (
	OutcomeDone    Outcome = "done"     // The upstream responded; Turn is set.
	OutcomeNotSent Outcome = "not_sent" // The ingress did not send the call and will not send it.
	OutcomeFailed  Outcome = "failed"   // The call was sent, and its response was lost or the transport failed.
)

// Completion reports the outcome of an attempt to the owner.
type Completion struct {
	Tenant  string      `json:"tenant"`
	Program string      `json:"program"`
	Attempt string      `json:"attempt"`
	Call    caller.Call `json:"call"`
	Outcome Outcome     `json:"outcome"`
	Turn    caller.Turn `json:"turn"`
	Engine  string      `json:"engine,omitempty"` // Engine that responded; its cache contains the program.
}

// Complete records the outcome of an attempt. For OutcomeDone it returns the result for the caller. Complete is
// idempotent: a duplicate completion returns the recorded result. An error never reports "not run" for a call that the
// ingress has sent. If the program ended while the call was in flight, the outcome is still recorded.
func (o *Owner) Complete(now time.Time, c Completion) (*caller.Result, error) {
	result, err := o.complete(now, c)
	if err == nil {
		return result, nil
	}
	return nil, setNotRun(c.Outcome, err)
}

// setNotRun sets the "not run" value of an error from the outcome of the attempt. The default values of the error kinds
// apply to calls that were rejected before they were sent.
func setNotRun(outcome Outcome, err error) error {
	e := errkind.From(err)
	switch outcome {
	case OutcomeNotSent:
		return e.WithNotRun(errkind.NotRunTrue)
	case OutcomeDone:
		return e.WithNotRun(errkind.NotRunFalse)
	default:
		return e.WithNotRun(errkind.NotRunUnknown)
	}
}

func (o *Owner) complete(now time.Time, c Completion) (*caller.Result, error) {
	if err := validateCall(c.Call); err != nil {
		return nil, err
	}
	p, err := o.findProgram(c.Tenant, c.Program)
	if c.Outcome == OutcomeDone && errkind.Is(err, errkind.ProgramNotFound) && c.Call.Receipt != "" {
		p, err = o.restoreProgram(now, AdmitRequest{Tenant: c.Tenant, Program: c.Program, Call: c.Call})
	}
	if err != nil {
		return nil, err
	}
	switch c.Outcome {
	case OutcomeNotSent:
		return nil, o.completeNotSent(p, c)
	case OutcomeFailed:
		o.completeFailed(p, c)
		return nil, nil
	case OutcomeDone:
		return o.completeDone(now, p, c)
	default:
		return nil, errkind.Newf(errkind.InvalidValue, "Outcome %q does not exist.", string(c.Outcome))
	}
}

func (o *Owner) completeNotSent(p *programState, c Completion) error {
	if in, ok := p.intents[c.Call.CallKey]; ok && in.Attempt == c.Attempt {
		cancel := &journal.Cancel{CallKey: c.Call.CallKey, Attempt: c.Attempt}
		if _, err := o.appendEntries(p, journal.Entry{Cancel: cancel}); err != nil {
			return err
		}
		delete(p.intents, c.Call.CallKey)
	}
	if p.inFlight != nil && p.inFlight.id == c.Attempt {
		p.usableReservation += p.inFlight.tokenUpperBound
		p.inFlight = nil
	}
	o.cancelled.add(c.Attempt)
	return nil
}

func (o *Owner) completeFailed(p *programState, c Completion) {
	if in, ok := p.intents[c.Call.CallKey]; ok && in.Attempt == c.Attempt {
		in.unreported = false
	}
	if p.inFlight != nil && p.inFlight.id == c.Attempt {
		o.abandonAttempt(p)
	}
}

func (o *Owner) completeDone(now time.Time, p *programState, c Completion) (*caller.Result, error) {
	if err := validateTurn(c.Call, c.Turn); err != nil {
		return nil, err
	}
	if t, ok := p.turnByCallKey(c.Call.CallKey); ok && t.Sequence == c.Call.Sequence {
		return o.matchRecordedTurn(p, t, c)
	}
	if err := o.checkAttempt(p, c); err != nil {
		return nil, err
	}
	if p.inFlight == nil && c.Call.Sequence > p.sequence()+1 && len(c.Call.Window) > 0 {
		if err := o.addWindowTurns(p, c.Call); err != nil {
			return nil, err
		}
	}
	if !p.canAppendTurn(c) {
		return nil, o.rejectMisplacedTurn(p, c)
	}
	digest, err := caller.NextDigest(p.digest(), c.Turn)
	if err != nil {
		return nil, errkind.Wrap(errkind.Internal, err, "")
	}
	entry := journal.Entry{Turn: &journal.Turn{Turn: c.Turn, Digest: digest, AtMillis: now.UnixMilli()}}
	lsn, err := o.appendEntries(p, entry)
	if err != nil {
		return nil, err
	}
	o.addJournaledTurn(p, c.Turn, digest, lsn)
	if p.inFlight != nil {
		p.usableReservation += p.inFlight.tokenUpperBound - c.Turn.Usage.Total()
	}
	p.inFlight, p.lastActive, p.receiptSpent = nil, now, p.spentTokens
	if c.Engine != "" {
		p.lastEngine = c.Engine
	}
	return o.newResult(p, c.Turn, false), nil
}

// canAppendTurn reports whether the turn of a completion is the next one of the history. If another attempt is in
// flight, the caller has continued with a newer call, which the turn must not replace.
func (p *programState) canAppendTurn(c Completion) bool {
	if p.inFlight != nil && p.inFlight.id != c.Attempt {
		return false
	}
	return c.Call.Sequence == p.sequence()+1 && c.Call.Digest == p.digest()
}

// matchRecordedTurn handles a completion for a turn that is already in the history, and returns the recorded result if
// the turns are equal. If another attempt of the same call finished first, its response differs from the one that this
// ingress streamed. In that case it returns CallInProgress, so that the caller reads the recorded response.
func (o *Owner) matchRecordedTurn(p *programState, t caller.Turn, c Completion) (*caller.Result, error) {
	digest, err := caller.NextDigest(p.digestAt(t.Sequence-1), c.Turn)
	if err != nil || digest != p.digestAt(t.Sequence) {
		return nil, errkind.New(errkind.CallInProgress, "Another attempt of the call finished first.")
	}
	return o.newResult(p, t, true), nil
}

// checkAttempt checks that the owner may accept a completion. It accepts the attempt in flight and the attempt of a
// recorded intent. After a takeover it also accepts an idempotent attempt that a former owner admitted. Such an attempt
// does not account for the attempts of former owners, because the former owner may have replaced it.
func (o *Owner) checkAttempt(p *programState, c Completion) error {
	if p.inFlight != nil && p.inFlight.id == c.Attempt {
		return nil
	}
	if in, ok := p.intents[c.Call.CallKey]; ok && in.Attempt == c.Attempt {
		return nil
	}
	if p.inFlight == nil && o.hasUnaccountedAttempts(p) {
		return nil
	}
	return errkind.New(errkind.CallInProgress, "The attempt was replaced by a newer one.")
}

// rejectMisplacedTurn returns the error for a completion whose turn is not the next one of the history. If the call is
// not idempotent, its outcome is recorded.
func (o *Owner) rejectMisplacedTurn(p *programState, c Completion) error {
	if in, ok := p.intents[c.Call.CallKey]; ok && in.Attempt == c.Attempt {
		const reason = "The response arrived after the program had moved on."
		entry := journal.Entry{Resolved: &journal.Resolved{CallKey: c.Call.CallKey, Ran: true, Reason: reason}}
		if _, err := o.appendEntries(p, entry); err != nil {
			return err
		}
		p.closeIntent(c.Call.CallKey, true, reason)
	}
	if c.Call.Sequence > p.sequence()+1 {
		return errkind.Newf(errkind.HistoryGap, "The owner has %d turns.", p.sequence())
	}
	return errkind.Newf(errkind.WrongSequence, "The next sequence is %d.", p.sequence()+1)
}

// addJournaledTurn adds a turn whose journal entry was appended at lsn.
func (o *Owner) addJournaledTurn(p *programState, t caller.Turn, digest string, lsn journal.LSN) {
	bytesBefore := p.memoryBytes
	p.addTurn(t, digest)
	o.historyBytes += p.memoryBytes - bytesBefore
	p.pendingTurns = append(p.pendingTurns, pendingTurn{sequence: t.Sequence, lsn: lsn})
}
