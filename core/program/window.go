package program

import (
	"time"

	"jackdawbay.dev/api/caller"
	"jackdawbay.dev/api/errkind"
	"jackdawbay.dev/core/journal"
)

// restore recreates a program whose creation was not durable from the caller's receipt. The caller's window must hold
// every turn. It runs only on an open shard, whose journal was replayed, so the program is not known elsewhere.
func (o *Owner) restore(now time.Time, req AdmitRequest) (*state, error) {
	r, err := o.cfg.Signer.Verify(req.Call.Receipt)
	if err != nil {
		return nil, err
	}
	if r.Program != req.Program || r.Tenant != req.Tenant {
		return nil, errkind.New(errkind.ProgramNotFound, "")
	}
	if err := checkWindow(req, r, 0); err != nil {
		return nil, err
	}
	if len(o.programs) >= o.cfg.MaxPrograms {
		return nil, errkind.New(errkind.BacklogFull, "The daemon holds too many programs.").After(time.Second)
	}
	created := journal.Created{
		Tenant:       r.Tenant,
		Class:        r.Class,
		Model:        r.Model,
		Parent:       r.Parent,
		BudgetTokens: r.BudgetTokens,
		MaxTurns:     r.MaxTurns,
		ExpiryMillis: r.ExpiryMillis,
		AtMillis:     now.UnixMilli(),
	}
	p := o.newState(req.Program, created, now)
	p.recovered = true
	if _, err := o.append(p, journal.Entry{Created: &created}); err != nil {
		return nil, err
	}
	o.programs[p.id] = p
	return p, nil
}

// extend appends the turns of the caller's window to a program that lacks them.
func (o *Owner) extend(p *state, req AdmitRequest) error {
	if len(req.Call.Window) == 0 || req.Call.Receipt == "" {
		return errkind.Newf(errkind.HistoryGap, "The owner has %d turns.", p.sequence())
	}
	r, err := o.cfg.Signer.Verify(req.Call.Receipt)
	if err != nil {
		return err
	}
	if err := checkWindow(req, r, p.sequence()); err != nil {
		return err
	}
	turns, digests, err := chain(p, req.Call)
	if err != nil {
		return err
	}
	for i, t := range turns {
		if err := o.appendTurn(p, t, digests[i]); err != nil {
			return err
		}
	}
	if r.SpentTokens > p.spent {
		return o.charge(p, r.SpentTokens-p.spent)
	}
	return nil
}

// checkWindow makes sure that the receipt is that of the turn before the call and that the window leaves no gap after
// the turns that the owner has.
func checkWindow(req AdmitRequest, r Receipt, have uint64) error {
	c := req.Call
	if r.Program != req.Program || r.Sequence+1 != c.Sequence || r.Digest != c.Digest {
		return errkind.New(errkind.DigestMismatch, "The receipt is not that of the turn before the call.")
	}
	if c.Sequence == have+1 {
		return nil
	}
	if len(c.Window) == 0 || c.Window[0].Sequence > have+1 {
		return errkind.Newf(errkind.HistoryGap, "The owner has %d turns.", have)
	}
	if c.Window[len(c.Window)-1].Sequence+1 != c.Sequence {
		return errkind.New(errkind.InvalidValue, "Field window does not end before the call.")
	}
	return nil
}

// chain verifies the turns that the owner lacks against the digest of the call.
func chain(p *state, c caller.Call) ([]caller.Turn, []string, error) {
	skip := p.sequence() + 1 - c.Window[0].Sequence
	if skip > uint64(len(c.Window)) {
		return nil, nil, errkind.New(errkind.InvalidValue, "Field window has turns that do not follow each other.")
	}
	turns := c.Window[skip:]
	digest := p.digest()
	digests := make([]string, 0, len(turns))
	for i, t := range turns {
		if t.Sequence != p.sequence()+1+uint64(i) {
			return nil, nil, errkind.New(errkind.InvalidValue, "Field window has turns that do not follow each other.")
		}
		next, err := caller.NextDigest(digest, t)
		if err != nil {
			return nil, nil, errkind.Wrap(errkind.InvalidValue, err, "Field window has a turn that cannot be encoded.")
		}
		digest = next
		digests = append(digests, digest)
	}
	if digest != c.Digest {
		return nil, nil, errkind.New(errkind.DigestMismatch, "The window does not lead to the digest of the call.")
	}
	return turns, digests, nil
}
