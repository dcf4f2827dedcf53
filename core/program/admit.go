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
	// KeyHonoured is set when the upstream runs a repeated idempotency key once, so that a call with an unknown outcome can
	// be sent again under the same key.
	KeyHonoured bool      `json:"key_honoured,omitempty"`
	Expires     time.Time `json:"expires"` // When the attempt is given up.
}

// Admission lets the ingress send a call, or returns the recorded result of one that has finished.
type Admission struct {
	Repeat *caller.Result `json:"repeat,omitempty"`

	Messages      []caller.Message `json:"messages,omitempty"`
	Model         string           `json:"model,omitempty"`
	Class         string           `json:"class,omitempty"`
	HistoryTokens int64            `json:"history_tokens"` // Tokens of the history, as the engine counted them.
	SpentTokens   int64            `json:"spent_tokens"`
	WorstCase     int64            `json:"worst_case"`
	Digest        string           `json:"digest"` // Digest before the call.
	Durable       uint64           `json:"durable"`

	Parent string  `json:"parent,omitempty"`
	Before Receipt `json:"before"` // State before the call.

	// AwaitLSN is the journal entry that must be durable before the call is sent. Zero needs none.
	AwaitLSN journal.LSN `json:"-"`
}

// Admit checks order, digest, call key, turn limit and budget, and makes the call the program's one call in flight.
// A refusal changes no state, except that turns from a valid window are kept.
func (o *Owner) Admit(now time.Time, req AdmitRequest) (Admission, error) {
	p, err := o.find(req.Tenant, req.Program)
	if errkind.Is(err, errkind.ProgramNotFound) && req.Call.Receipt != "" {
		p, err = o.restore(now, req)
	}
	if err != nil {
		return Admission{}, err
	}
	hash := requestHash(req.Call)
	if repeat, err := o.repeated(p, req.Call, hash); err != nil || repeat != nil {
		return Admission{Repeat: repeat}, err
	}
	if p.ended != "" {
		return Admission{}, errkind.New(errkind.ProgramEnded, "Reason: "+p.ended+".")
	}
	if a, ok := o.readmit(p, req, hash); ok {
		return a, nil
	}
	o.expireAttempt(now, p)
	if err := o.checkOrder(p, req, hash); err != nil {
		return Admission{}, err
	}
	if err := o.checkLimits(p, req.Call); err != nil {
		return Admission{}, err
	}
	return o.grant(now, p, req, hash)
}

// readmit answers an admission that is asked for again by the same attempt, because the first answer was lost. The ingress
// sends a call only after it has an answer, so the attempt has not been sent.
func (o *Owner) readmit(p *state, req AdmitRequest, hash string) (Admission, bool) {
	a := p.inFlight
	if a == nil || a.id != req.Attempt || a.requestHash != hash {
		return Admission{}, false
	}
	return o.admission(p, req.Call, a.worstCase, a.await), true
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
	if turnHash(t) != hash || t.Sequence != c.Sequence {
		e := errkind.Newf(errkind.CallKeyReused, "The key was used for sequence %d.", t.Sequence)
		return nil, e
	}
	return o.result(p, t, true), nil
}

func (o *Owner) result(p *state, t caller.Turn, repeated bool) *caller.Result {
	r := p.receipt()
	r.Sequence, r.Digest = t.Sequence, p.digestAt(t.Sequence)
	return &caller.Result{
		Turn:            t,
		Digest:          p.digestAt(t.Sequence),
		DurableSequence: p.durableSequence(o.writer.Durable()),
		Receipt:         o.cfg.Signer.Sign(r),
		Repeated:        repeated,
	}
}

// checkOrder makes sure that the call is the next one and that nothing else of the program is in flight.
func (o *Owner) checkOrder(p *state, req AdmitRequest, hash string) error {
	c := req.Call
	if in, ok := p.intents[c.CallKey]; ok {
		if !req.KeyHonoured || !in.unknown || in.RequestHash != hash {
			return intentError(in, hash)
		}
	}
	if c.Sequence <= p.sequence() {
		return errkind.Newf(errkind.WrongSequence, "The next sequence is %d.", p.sequence()+1)
	}
	if c.Sequence > p.sequence()+1 {
		if err := o.extend(p, req); err != nil {
			return err
		}
	}
	if c.Digest != p.digest() {
		return errkind.Newf(errkind.DigestMismatch, "The program has %d turns.", p.sequence())
	}
	if !req.Idempotent && p.hasUnknown(req.Upstream) {
		return errkind.New(errkind.OutcomeUnknown, "Another call to the same upstream has an unknown outcome.").WithNotRun(errkind.NotRunTrue)
	}
	if p.inFlight == nil {
		return nil
	}
	return o.supersede(p, c, hash)
}

func intentError(in *intent, hash string) error {
	if in.RequestHash != hash {
		return errkind.New(errkind.CallKeyReused, "")
	}
	if in.unknown {
		return errkind.New(errkind.OutcomeUnknown, "")
	}
	return errkind.New(errkind.CallInProgress, "This call is running.").WithNotRun(errkind.NotRunUnknown)
}

func (p *state) hasUnknown(upstream string) bool {
	for _, in := range p.intents {
		if in.unknown && in.Upstream == upstream {
			return true
		}
	}
	return false
}

// supersede replaces an idempotent attempt by a repeat of the same call, and charges the old attempt in full because it
// may have used engine time. Any other call has to wait.
func (o *Owner) supersede(p *state, c caller.Call, hash string) error {
	a := p.inFlight
	if !a.idempotent || a.callKey != c.CallKey || a.requestHash != hash {
		return errkind.New(errkind.CallInProgress, "").After(100 * time.Millisecond)
	}
	return o.charge(p, a.worstCase)
}

// charge counts tokens of an attempt whose usage is unknown.
func (o *Owner) charge(p *state, tokens int64) error {
	p.inFlight = nil
	if tokens == 0 {
		return nil
	}
	if _, err := o.append(p, journal.Entry{Charge: &journal.Charge{Tokens: tokens}}); err != nil {
		return err
	}
	p.spent += tokens
	return nil
}

func (o *Owner) checkLimits(p *state, c caller.Call) error {
	if p.created.MaxTurns > 0 && p.sequence() >= uint64(p.created.MaxTurns) {
		return errkind.Newf(errkind.TurnLimit, "The limit is %d turns.", p.created.MaxTurns)
	}
	need := p.worstCase(c)
	if p.recovered {
		need *= 2
	}
	if p.spent+need > p.created.BudgetTokens {
		left := max(p.created.BudgetTokens-p.spent, 0)
		return errkind.Newf(errkind.ProgramBudgetExhausted, "The call can need %d tokens, %d are left.", need, left)
	}
	return nil
}

// grant puts the call in flight. For a non-idempotent call it appends the intent that must be durable first.
func (o *Owner) grant(now time.Time, p *state, req AdmitRequest, hash string) (Admission, error) {
	worst := p.worstCase(req.Call)
	if p.recovered {
		// An attempt of the former owner may have used as much as this call can use.
		if err := o.charge(p, worst); err != nil {
			return Admission{}, err
		}
		p.recovered = false
	}
	var await journal.LSN
	if !req.Idempotent {
		lsn, err := o.appendIntent(p, req, hash)
		if err != nil {
			return Admission{}, err
		}
		await = lsn
	}
	p.active = now
	p.inFlight = &attempt{
		id:          req.Attempt,
		ingress:     req.Ingress,
		sequence:    req.Call.Sequence,
		callKey:     req.Call.CallKey,
		requestHash: hash,
		idempotent:  req.Idempotent,
		worstCase:   worst,
		expires:     req.Expires,
		await:       await,
	}
	return o.admission(p, req.Call, worst, await), nil
}

func (o *Owner) appendIntent(p *state, req AdmitRequest, hash string) (journal.LSN, error) {
	in := journal.Intent{
		Sequence:    req.Call.Sequence,
		CallKey:     req.Call.CallKey,
		Attempt:     req.Attempt,
		RequestHash: hash,
		Upstream:    req.Upstream,
	}
	lsn, err := o.append(p, journal.Entry{Intent: &in})
	if err != nil {
		return 0, err
	}
	p.addIntent(&intent{Intent: in})
	return lsn, nil
}

func (p *state) addIntent(in *intent) {
	if p.intents == nil {
		p.intents = map[string]*intent{}
	}
	p.intents[in.CallKey] = in
}

func (o *Owner) admission(p *state, c caller.Call, worst int64, await journal.LSN) Admission {
	a := Admission{
		Class:         p.created.Class,
		HistoryTokens: p.prompt,
		SpentTokens:   p.spent,
		WorstCase:     worst,
		Digest:        p.digest(),
		Durable:       p.durableSequence(o.writer.Durable()),
		Parent:        p.created.Parent,
		Before:        p.receipt(),
		AwaitLSN:      await,
	}
	if c.Kind == caller.CallModel {
		a.Messages = p.messages(c.Model.Messages)
		a.Model = c.Model.Model
		if a.Model == "" {
			a.Model = p.created.Model
		}
	}
	return a
}

// expireAttempt gives up an attempt whose ingress has not reported in time.
func (o *Owner) expireAttempt(now time.Time, p *state) {
	if p.inFlight != nil && now.After(p.inFlight.expires) {
		o.loseAttempt(p)
	}
}

// loseAttempt handles an attempt whose sender is lost: an idempotent one is charged, the outcome of another is unknown.
func (o *Owner) loseAttempt(p *state) {
	a := p.inFlight
	p.inFlight = nil
	if in, ok := p.intents[a.callKey]; ok {
		in.unknown = true
	}
	// A full backlog delays the durable charge; the charge in memory holds.
	if err := o.charge(p, a.worstCase); err != nil {
		p.spent += a.worstCase
	}
}

// IngressLost gives up the attempts of a daemon incarnation that has left the roster.
func (o *Owner) IngressLost(incarnation string) {
	for _, p := range o.programs {
		if p.inFlight != nil && p.inFlight.ingress == incarnation {
			o.loseAttempt(p)
		}
	}
}
