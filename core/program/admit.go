package program

import (
	"time"

	"jackdawbay.dev/api/caller"
	"jackdawbay.dev/api/errkind"
	"jackdawbay.dev/core/journal"
)

// AdmitRequest is a request to the owner to admit one call of a program.
type AdmitRequest struct {
	Tenant     string      `json:"tenant"`
	Program    string      `json:"program"`
	Call       caller.Call `json:"call"`
	Attempt    string      `json:"attempt"` // Unique id of the attempt.
	Ingress    string      `json:"ingress"` // Incarnation of the daemon that will send the call.
	Idempotent bool        `json:"idempotent"`
	Upstream   string      `json:"upstream,omitempty"` // Target of a service call.
	ExpiresAt  time.Time   `json:"expires"`            // Time at which the attempt is abandoned.

	// IdempotencyKeyHonoured is set if the upstream runs a call once per idempotency key. A call with an unknown
	// outcome can then be sent again under the same key.
	IdempotencyKeyHonoured bool `json:"key_honoured,omitempty"`
}

// Admission permits the ingress to send a call. If the call has finished before, RecordedResult is set instead.
type Admission struct {
	RecordedResult *caller.Result `json:"repeat,omitempty"`

	Messages        []caller.Message `json:"messages,omitempty"`
	Model           string           `json:"model,omitempty"`
	MaxTokens       int64            `json:"max_tokens,omitempty"` // Output limit that the ingress must send.
	Class           string           `json:"class,omitempty"`
	HistoryTokens   int64            `json:"history_tokens"` // Tokens of the history, as counted by the engine.
	SpentTokens     int64            `json:"spent_tokens"`
	TokenUpperBound int64            `json:"worst_case"`
	Digest          string           `json:"digest"` // Digest of the history before the call.
	DurableSequence uint64           `json:"durable"`
	Parent          string           `json:"parent,omitempty"`
	Engine          string           `json:"engine,omitempty"` // Engine of the program's newest model call.
	ReceiptBefore   Receipt          `json:"before"`           // Receipt of the state before the call.

	// RequiredLSN is the journal entry that must be durable before the call is sent. Zero means none. If the entry does
	// not become durable in time, the daemon reports OutcomeNotSent for the attempt.
	RequiredLSN journal.LSN `json:"-"`
}

// maxUnresolvedCalls limits the intents and resolutions of one program. If so many calls have an unknown outcome, an
// operator has to resolve them before the program can make further non-idempotent calls.
const maxUnresolvedCalls = 32

// Admit checks the order, digest, call key, turn limit and budget of a call, and starts an attempt. A program has one
// call in flight at a time. A rejected request changes no state, with two exceptions: the turns of a valid window are
// added, and an attempt past its expiry is abandoned.
//
// The "not run" value of a rejection applies to this request. It applies to the call key as well if the key was not
// admitted before or if this owner is the current one. A stale owner, which has not observed that it was replaced, has
// no record of the attempts that its successor admitted.
func (o *Owner) Admit(now time.Time, req AdmitRequest) (Admission, error) {
	if err := validateCall(req.Call); err != nil {
		return Admission{}, err
	}
	p, err := o.findProgram(req.Tenant, req.Program)
	if errkind.Is(err, errkind.ProgramNotFound) && req.Call.Receipt != "" {
		p, err = o.restoreProgram(now, req)
	}
	if err != nil {
		return Admission{}, err
	}
	hash := requestHash(req.Call)
	if recorded, err := o.findRecordedResult(p, req.Call, hash); err != nil || recorded != nil {
		return Admission{RecordedResult: recorded}, err
	}
	if p.isDuplicateAdmit(req, hash) {
		return o.repeatAdmission(p, req)
	}
	if in, ok := p.intents[req.Call.CallKey]; ok && !in.canResend(req, hash) {
		// Checked before the rejections that report "not run" as true.
		return Admission{}, o.openIntentError(now, p, in, hash)
	}
	if p.endReason != "" {
		return Admission{}, errkind.New(errkind.ProgramEnded, "Reason: "+p.endReason+".")
	}
	o.expireAttempt(now, p)
	if o.cancelled.contains(req.Attempt) {
		e := errkind.New(errkind.CallerGone, "The attempt was given up before it was admitted.")
		return Admission{}, e.WithNotRun(errkind.NotRunTrue)
	}
	if err := o.checkOrder(p, req); err != nil {
		return Admission{}, err
	}
	if err := p.checkInFlight(req, hash); err != nil {
		return Admission{}, err
	}
	return o.startAttempt(now, p, req, hash)
}

// isDuplicateAdmit reports whether the request is a duplicate of the request whose attempt is in flight.
func (p *programState) isDuplicateAdmit(req AdmitRequest, hash string) bool {
	a := p.inFlight
	return a != nil && a.id == req.Attempt && a.callKey == req.Call.CallKey && a.requestHash == hash
}

// canResend reports whether a call with an unknown outcome can be sent. There are two cases. Either the upstream runs a
// call once per idempotency key, or the request repeats the attempt that a former owner admitted. In the second case the
// attempt has not been sent: an ingress repeats its admit request at the next owner only while it has no response, and
// it does not send the call before it has one. This applies to the first such request only. A duplicate that arrives after the
// attempt was admitted here finds an intent of this owner.
func (in *intent) canResend(req AdmitRequest, hash string) bool {
	sameAttempt := in.unreported && in.Attempt == req.Attempt
	return in.outcomeUnknown && in.RequestHash == hash && (req.IdempotencyKeyHonoured || sameAttempt)
}

// repeatAdmission returns the admission of the attempt in flight again. Replacing the attempt by its own duplicate
// would charge it twice. If the first admission has to wait for a journal entry, the duplicate is rejected. Otherwise
// the daemon could cancel the first admission as not sent and release its tokens while the ingress sends the second
// one.
func (o *Owner) repeatAdmission(p *programState, req AdmitRequest) (Admission, error) {
	if p.inFlight.requiredLSN != 0 {
		e := errkind.New(errkind.CallInProgress, "The attempt was admitted before.")
		return Admission{}, e.WithNotRun(errkind.NotRunUnknown)
	}
	return o.newAdmission(p, req.Call, p.inFlight.tokenUpperBound, 0), nil
}

// findRecordedResult returns the recorded result of a call that has finished, or nil if there is none. It returns an
// error if the call key was used with another body or sequence, or if the call ran and its response is not part of the
// history.
func (o *Owner) findRecordedResult(p *programState, c caller.Call, hash string) (*caller.Result, error) {
	if r, ok := p.resolved[c.CallKey]; ok && r.ran {
		e := errkind.New(errkind.OutcomeUnknown, "The call ran. Its response is not part of the history. "+r.reason)
		e.NotRun = errkind.NotRunFalse
		return nil, e
	}
	t, ok := p.turnByCallKey(c.CallKey)
	if !ok {
		return nil, nil
	}
	if turnRequestHash(t) != hash {
		return nil, errkind.Newf(errkind.CallKeyReused, "The key was used for sequence %d.", t.Sequence)
	}
	if t.Sequence != c.Sequence {
		// The call with this key and body ran, so "not run" would be false.
		e := errkind.Newf(errkind.CallKeyReused, "The call ran as sequence %d.", t.Sequence)
		return nil, e.WithNotRun(errkind.NotRunFalse)
	}
	return o.newResult(p, t, true), nil
}

func (o *Owner) newResult(p *programState, t caller.Turn, repeated bool) *caller.Result {
	r := p.receipt()
	r.Sequence, r.Digest = t.Sequence, p.digestAt(t.Sequence)
	return &caller.Result{
		Turn:            t,
		Digest:          r.Digest,
		DurableSequence: p.durableSequence(o.writer.DurableLSN()),
		Receipt:         o.cfg.Signer.Sign(r),
		Repeated:        repeated,
	}
}

// checkOrder checks that the call is the next one of the program. It adds missing turns from the caller's window.
func (o *Owner) checkOrder(p *programState, req AdmitRequest) error {
	c := req.Call
	if c.Sequence <= p.sequence() {
		return errkind.Newf(errkind.WrongSequence, "The next sequence is %d.", p.sequence()+1)
	}
	if err := o.checkHistoryMemory(0); err != nil {
		return err
	}
	if c.Sequence > p.sequence()+1 || o.replacesLastTurn(p, c) {
		if err := o.addWindowTurns(p, c); err != nil {
			return err
		}
	}
	if c.Digest != p.digest() {
		return errkind.Newf(errkind.DigestMismatch, "The program has %d turns.", p.sequence())
	}
	if req.Idempotent {
		return nil
	}
	return p.checkUnresolvedCalls(req)
}

// checkUnresolvedCalls rejects a non-idempotent call if another call to the same upstream has an unknown outcome,
// because its effect may depend on that call. It also rejects the call if the program has too many unresolved calls.
func (p *programState) checkUnresolvedCalls(req AdmitRequest) error {
	if p.hasUnknownOutcome(req.Upstream, req.Call.CallKey) {
		e := errkind.New(errkind.OutcomeUnknown, "Another call to the same upstream has an unknown outcome.")
		return e.WithNotRun(errkind.NotRunTrue)
	}
	if len(p.intents)+len(p.resolved) >= maxUnresolvedCalls {
		e := errkind.New(errkind.OutcomeUnknown, "Too many calls of the program have no recorded outcome.")
		return e.WithNotRun(errkind.NotRunTrue)
	}
	return nil
}

func (o *Owner) openIntentError(now time.Time, p *programState, in *intent, hash string) error {
	o.expireAttempt(now, p)
	if in.RequestHash != hash {
		return errkind.New(errkind.CallKeyReused, "")
	}
	if in.outcomeUnknown {
		return errkind.New(errkind.OutcomeUnknown, "")
	}
	return errkind.New(errkind.CallInProgress, "This call is running.").WithNotRun(errkind.NotRunUnknown)
}

// checkInFlight rejects a call while another one is in flight. An idempotent attempt can be replaced by a repeat of the
// same call.
func (p *programState) checkInFlight(req AdmitRequest, hash string) error {
	a := p.inFlight
	if a == nil {
		return nil
	}
	if !a.idempotent || !req.Idempotent || a.callKey != req.Call.CallKey || a.requestHash != hash {
		return errkind.New(errkind.CallInProgress, "").WithRetryAfter(100 * time.Millisecond)
	}
	return nil
}

// startAttempt charges and reserves tokens and puts the call in flight. The charges, the reservation and the intent are
// appended together or not at all.
func (o *Owner) startAttempt(now time.Time, p *programState, req AdmitRequest, hash string) (Admission, error) {
	cost, err := o.computeCost(p, req.Call)
	if err != nil {
		return Admission{}, err
	}
	if err := o.checkLimits(p, cost); err != nil {
		return Admission{}, err
	}
	in := newIntent(req, hash)
	lsn, err := o.appendEntries(p, admissionEntries(cost, in)...)
	if err != nil {
		return Admission{}, err
	}
	o.applyCost(p, cost, lsn)
	var requiredLSN journal.LSN
	if in != nil {
		p.addIntent(&intent{Intent: *in})
		requiredLSN = lsn
	}
	if o.needsPendingReservation(p, cost.upperBound) {
		requiredLSN = max(requiredLSN, p.reservationLSN)
		o.writer.RequestFlush()
	}
	p.usableReservation -= cost.upperBound
	o.reserveForNextCall(p, cost.upperBound)
	p.lastActive = now
	p.inFlight = &attempt{
		id:              req.Attempt,
		ingress:         req.Ingress,
		sequence:        req.Call.Sequence,
		callKey:         req.Call.CallKey,
		requestHash:     hash,
		idempotent:      req.Idempotent,
		tokenUpperBound: cost.upperBound,
		expiresAt:       req.ExpiresAt,
		requiredLSN:     requiredLSN,
	}
	return o.newAdmission(p, req.Call, cost.upperBound, requiredLSN), nil
}

func newIntent(req AdmitRequest, hash string) *journal.Intent {
	if req.Idempotent {
		return nil
	}
	return &journal.Intent{
		Sequence:    req.Call.Sequence,
		CallKey:     req.Call.CallKey,
		Attempt:     req.Attempt,
		RequestHash: hash,
		Upstream:    req.Upstream,
	}
}

func admissionEntries(cost callCost, in *journal.Intent) []journal.Entry {
	var entries []journal.Entry
	if cost.charge()+cost.unjournaledCharge > 0 || cost.firstUnaccountedEpoch > 0 {
		charge := &journal.Charge{
			Tokens:                cost.charge() + cost.unjournaledCharge,
			FirstUnaccountedEpoch: cost.firstUnaccountedEpoch,
			ReceiptSpent:          cost.receiptSpent,
		}
		entries = append(entries, journal.Entry{Charge: charge})
	}
	if cost.newReservation > 0 {
		entries = append(entries, journal.Entry{Reservation: &journal.Reservation{Tokens: cost.newReservation}})
	}
	if in != nil {
		entries = append(entries, journal.Entry{Intent: in})
	}
	return entries
}

// applyCost applies the charges and the reservation of an admission, whose last journal entry is lsn.
func (o *Owner) applyCost(p *programState, cost callCost, lsn journal.LSN) {
	p.spentTokens += cost.charge()
	p.unjournaledCharge, p.receiptSpent = 0, cost.receiptSpent
	if cost.newReservation > 0 {
		o.addReservation(p, cost.newReservation, lsn)
	}
	if cost.firstUnaccountedEpoch > 0 {
		p.firstUnaccountedEpoch = cost.firstUnaccountedEpoch
	}
	if cost.replacesAttempt {
		p.inFlight = nil
	}
}

func (o *Owner) newAdmission(p *programState, c caller.Call, upperBound int64, requiredLSN journal.LSN) Admission {
	a := Admission{
		Class:           p.created.Class,
		HistoryTokens:   p.promptTokens,
		SpentTokens:     p.spentTokens,
		TokenUpperBound: upperBound,
		Digest:          p.digest(),
		DurableSequence: p.durableSequence(o.writer.DurableLSN()),
		Parent:          p.created.Parent,
		Engine:          p.lastEngine,
		ReceiptBefore:   p.receipt(),
		RequiredLSN:     requiredLSN,
	}
	if c.Kind == caller.CallModel {
		a.Messages = p.promptMessages(c.Model.Messages)
		a.MaxTokens = o.maxOutputTokens(c)
		a.Model = c.Model.Model
		if a.Model == "" {
			a.Model = p.created.Model
		}
	}
	return a
}
