package program

import (
	"time"

	"jackdawbay.dev/api/caller"
	"jackdawbay.dev/api/errkind"
	"jackdawbay.dev/core/journal"
)

// AdmitRequest asks the owner to let one call of a program run.
type AdmitRequest struct {
	Tenant     string      `json:"tenant"`
	Program    string      `json:"program"`
	Call       caller.Call `json:"call"`
	Attempt    string      `json:"attempt"` // Unique id of this try.
	Ingress    string      `json:"ingress"` // Incarnation that will send the call.
	Idempotent bool        `json:"idempotent"`
	Upstream   string      `json:"upstream,omitempty"` // Service that the call goes to.
	ExpiresAt  time.Time   `json:"expires"`            // When the attempt is given up.

	// IdempotencyKeyHonoured is set when the upstream runs a repeated idempotency key once, so that a call with an unknown outcome can
	// be sent again under the same key.
	IdempotencyKeyHonoured bool `json:"key_honoured,omitempty"`
}

// Admission lets the ingress send a call, or returns the recorded result of one that has finished.
type Admission struct {
	RecordedResult *caller.Result `json:"repeat,omitempty"`

	Messages        []caller.Message `json:"messages,omitempty"`
	Model           string           `json:"model,omitempty"`
	MaxTokens       int64            `json:"max_tokens,omitempty"` // Bound of the output that the ingress must send.
	Class           string           `json:"class,omitempty"`
	HistoryTokens   int64            `json:"history_tokens"` // Tokens of the history, as the engine counted them.
	SpentTokens     int64            `json:"spent_tokens"`
	TokenUpperBound int64            `json:"worst_case"`
	Digest          string           `json:"digest"` // Digest before the call.
	DurableSequence uint64           `json:"durable"`
	Parent          string           `json:"parent,omitempty"`
	Engine          string           `json:"engine,omitempty"` // Engine of the program's newest model call.
	ReceiptBefore   Receipt          `json:"before"`           // State before the call.

	// RequiredLSN is the journal entry that must be durable before the call is sent. Zero needs none. When it does not get
	// durable in time, the daemon reports OutcomeNotSent for the attempt.
	RequiredLSN journal.LSN `json:"-"`
}

// maxOpenCalls bounds the intents and resolutions of one program. A program of which so many calls have an unknown
// outcome needs an operator, not another call.
const maxOpenCalls = 32

// Admit checks order, digest, call key, turn limit and budget, and makes the call the program's one call in flight.
// A refusal changes no state, except that turns from a valid window are kept and attempts past their expiry are given up.
//
// A "not run" in a refusal speaks of this request. It speaks of the call key as well when the key was not granted before
// or the owner is the current one; an owner that was replaced without noticing does not know newer attempts.
func (o *Owner) Admit(now time.Time, req AdmitRequest) (Admission, error) {
	if err := validateCall(req.Call); err != nil {
		return Admission{}, err
	}
	p, err := o.find(req.Tenant, req.Program)
	if errkind.Is(err, errkind.ProgramNotFound) && req.Call.Receipt != "" {
		p, err = o.restore(now, req)
	}
	if err != nil {
		return Admission{}, err
	}
	hash := requestHash(req.Call)
	if repeat, err := o.repeated(p, req.Call, hash); err != nil || repeat != nil {
		return Admission{RecordedResult: repeat}, err
	}
	if p.granted(req, hash) {
		return o.grantAgain(p, req)
	}
	if in, ok := p.intents[req.Call.CallKey]; ok && !in.resendable(req, hash) {
		// Checked before everything that answers with a true "not run".
		return Admission{}, o.openIntent(now, p, in, hash)
	}
	if p.ended != "" {
		return Admission{}, errkind.New(errkind.ProgramEnded, "Reason: "+p.ended+".")
	}
	o.expireAttempt(now, p)
	if o.givenUp.has(req.Attempt) {
		e := errkind.New(errkind.CallerGone, "The attempt was given up before it was admitted.")
		return Admission{}, e.WithNotRun(errkind.NotRunTrue)
	}
	if err := o.checkOrder(p, req); err != nil {
		return Admission{}, err
	}
	if err := p.checkInFlight(req, hash); err != nil {
		return Admission{}, err
	}
	return o.grant(now, p, req, hash)
}

// granted reports whether the request is a duplicate of the one that is in flight.
func (p *state) granted(req AdmitRequest, hash string) bool {
	a := p.inFlight
	return a != nil && a.id == req.Attempt && a.callKey == req.Call.CallKey && a.requestHash == hash
}

// resendable reports whether a call with an unknown outcome can be sent: because its upstream runs a repeated idempotency
// key once, or because the attempt that the former owner admitted asks again. An ingress asks a successor only while it
// has no answer, and it does not send before it has one, so that attempt has not been sent. The first request counts: a
// copy of it that arrives after the attempt was admitted here finds an intent of this owner.
func (in *intent) resendable(req AdmitRequest, hash string) bool {
	same := in.unheard && in.Attempt == req.Attempt
	return in.unknown && in.RequestHash == hash && (req.IdempotencyKeyHonoured || same)
}

// grantAgain gives a duplicate the same answer, because replacing an attempt by itself would charge it twice. Where the
// first answer has to wait, the duplicate is refused: the daemon may give the first up as not sent, which would take the
// attempt out of the books while the second is sent.
func (o *Owner) grantAgain(p *state, req AdmitRequest) (Admission, error) {
	if p.inFlight.await != 0 {
		e := errkind.New(errkind.CallInProgress, "The attempt was admitted before.")
		return Admission{}, e.WithNotRun(errkind.NotRunUnknown)
	}
	return o.admission(p, req.Call, p.inFlight.worstCase, 0), nil
}

// repeated answers a call that has finished, or refuses a call key with another body.
func (o *Owner) repeated(p *state, c caller.Call, hash string) (*caller.Result, error) {
	if r, ok := p.resolved[c.CallKey]; ok && r.ran {
		e := errkind.New(errkind.OutcomeUnknown, "The call ran. Its response is not part of the history. "+r.reason)
		e.NotRun = errkind.NotRunFalse
		return nil, e
	}
	t, ok := p.turnWithKey(c.CallKey)
	if !ok {
		return nil, nil
	}
	if turnHash(t) != hash {
		return nil, errkind.Newf(errkind.CallKeyReused, "The key was used for sequence %d.", t.Sequence)
	}
	if t.Sequence != c.Sequence {
		// The same body ran under this key, so "not run" would be false.
		e := errkind.Newf(errkind.CallKeyReused, "The call ran as sequence %d.", t.Sequence)
		return nil, e.WithNotRun(errkind.NotRunFalse)
	}
	return o.result(p, t, true), nil
}

func (o *Owner) result(p *state, t caller.Turn, repeated bool) *caller.Result {
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

// checkOrder makes sure that the call is the next one of the program.
func (o *Owner) checkOrder(p *state, req AdmitRequest) error {
	c := req.Call
	if c.Sequence <= p.sequence() {
		return errkind.Newf(errkind.WrongSequence, "The next sequence is %d.", p.sequence()+1)
	}
	if err := o.checkHistory(0); err != nil {
		return err
	}
	if c.Sequence > p.sequence()+1 || o.replacesLast(p, c) {
		if err := o.extend(p, c); err != nil {
			return err
		}
	}
	if c.Digest != p.digest() {
		return errkind.Newf(errkind.DigestMismatch, "The program has %d turns.", p.sequence())
	}
	if req.Idempotent {
		return nil
	}
	return p.checkOpenCalls(req)
}

// checkOpenCalls refuses a non-idempotent call whose effect would depend on another call with an unknown outcome.
func (p *state) checkOpenCalls(req AdmitRequest) error {
	if p.hasUnknown(req.Upstream, req.Call.CallKey) {
		e := errkind.New(errkind.OutcomeUnknown, "Another call to the same upstream has an unknown outcome.")
		return e.WithNotRun(errkind.NotRunTrue)
	}
	if len(p.intents)+len(p.resolved) >= maxOpenCalls {
		e := errkind.New(errkind.OutcomeUnknown, "Too many calls of the program have no recorded outcome.")
		return e.WithNotRun(errkind.NotRunTrue)
	}
	return nil
}

func (o *Owner) openIntent(now time.Time, p *state, in *intent, hash string) error {
	o.expireAttempt(now, p)
	if in.RequestHash != hash {
		return errkind.New(errkind.CallKeyReused, "")
	}
	if in.unknown {
		return errkind.New(errkind.OutcomeUnknown, "")
	}
	return errkind.New(errkind.CallInProgress, "This call is running.").WithNotRun(errkind.NotRunUnknown)
}

// checkInFlight lets an idempotent attempt be replaced by a repeat of the same call. Any other call has to wait.
func (p *state) checkInFlight(req AdmitRequest, hash string) error {
	a := p.inFlight
	if a == nil {
		return nil
	}
	if !a.idempotent || !req.Idempotent || a.callKey != req.Call.CallKey || a.requestHash != hash {
		return errkind.New(errkind.CallInProgress, "").WithRetryAfter(100 * time.Millisecond)
	}
	return nil
}

// grant puts the call in flight. The charges and the intent are appended together or not at all.
func (o *Owner) grant(now time.Time, p *state, req AdmitRequest, hash string) (Admission, error) {
	k, err := o.priceCall(p, req.Call)
	if err != nil {
		return Admission{}, err
	}
	if err := o.checkLimits(p, k); err != nil {
		return Admission{}, err
	}
	in := newIntent(req, hash)
	lsn, err := o.append(p, grantEntries(k, in)...)
	if err != nil {
		return Admission{}, err
	}
	o.settle(p, k, lsn)
	var await journal.LSN
	if in != nil {
		p.addIntent(&intent{Intent: *in})
		await = lsn
	}
	if o.mustAwait(p, k.worst) {
		await = max(await, p.ownLSN)
		o.writer.RequestFlush()
	}
	p.own -= k.worst
	o.reserveAhead(p, k.worst)
	p.active = now
	p.inFlight = &attempt{
		id:          req.Attempt,
		ingress:     req.Ingress,
		sequence:    req.Call.Sequence,
		callKey:     req.Call.CallKey,
		requestHash: hash,
		idempotent:  req.Idempotent,
		worstCase:   k.worst,
		expires:     req.ExpiresAt,
		await:       await,
	}
	return o.admission(p, req.Call, k.worst, await), nil
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

func grantEntries(k cost, in *journal.Intent) []journal.Entry {
	var list []journal.Entry
	if k.charge()+k.owed > 0 || k.base > 0 {
		charge := &journal.Charge{Tokens: k.charge() + k.owed, FirstUnaccountedEpoch: k.base, ReceiptSpent: k.seen}
		list = append(list, journal.Entry{Charge: charge})
	}
	if k.reserve > 0 {
		list = append(list, journal.Entry{Reservation: &journal.Reservation{Tokens: k.reserve}})
	}
	if in != nil {
		list = append(list, journal.Entry{Intent: in})
	}
	return list
}

// settle applies the charges of an admission, whose entries end at lsn.
func (o *Owner) settle(p *state, k cost, lsn journal.LSN) {
	p.spent += k.charge()
	p.owed, p.seen = 0, k.seen
	if k.reserve > 0 {
		o.addReservation(p, k.reserve, lsn)
	}
	if k.base > 0 {
		p.base = k.base
	}
	if k.supersede {
		p.inFlight = nil
	}
}

func (o *Owner) admission(p *state, c caller.Call, worst int64, await journal.LSN) Admission {
	a := Admission{
		Class:           p.created.Class,
		HistoryTokens:   p.prompt,
		SpentTokens:     p.spent,
		TokenUpperBound: worst,
		Digest:          p.digest(),
		DurableSequence: p.durableSequence(o.writer.DurableLSN()),
		Parent:          p.created.Parent,
		Engine:          p.engine,
		ReceiptBefore:   p.receipt(),
		RequiredLSN:     await,
	}
	if c.Kind == caller.CallModel {
		a.Messages = p.messages(c.Model.Messages)
		a.MaxTokens = o.maxTokens(c)
		a.Model = c.Model.Model
		if a.Model == "" {
			a.Model = p.created.Model
		}
	}
	return a
}
