package program

import (
	"time"

	"jackdawbay.dev/api/caller"
	"jackdawbay.dev/api/errkind"
	"jackdawbay.dev/core/journal"
)

// restore recreates a program whose creation was not durable from the caller's receipt. The caller's window must hold
// every turn. It runs only on an open shard, whose journal was replayed, so the program is not known elsewhere. A receipt
// that is older than the program's expiry restores nothing: the program may have ended and been forgotten, and with it
// the outcomes of its calls.
func (o *Owner) restore(now time.Time, req AdmitRequest) (*state, error) {
	r, err := o.cfg.Signer.Verify(req.Call.Receipt)
	if err != nil {
		return nil, err
	}
	if r.Program != req.Program || r.Tenant != req.Tenant {
		return nil, errkind.New(errkind.ProgramNotFound, "")
	}
	if now.Sub(time.UnixMilli(r.AtMillis)) > expiry(r.ExpiryMillis) {
		// What the calls of a forgotten program did is not known any more.
		return nil, errkind.New(errkind.ProgramNotFound, "The receipt is too old.").WithNotRun(errkind.NotRunUnknown)
	}
	if err := checkWindow(req.Program, req.Call, r, 0); err != nil {
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
		Base:         r.Base,
	}
	p := o.newState(req.Program, created, now)
	p.base = r.Base
	if _, err := o.append(p, journal.Entry{Created: &created}); err != nil {
		return nil, err
	}
	o.programs[p.id] = p
	return p, nil
}

// extend appends the turns of the caller's window to a program that lacks them. They show that another owner advanced
// the program, so an attempt in flight here is given up, and the attempts of that owner since the receipt are unseen.
func (o *Owner) extend(p *state, c caller.Call) error {
	if len(c.Window) == 0 || c.Receipt == "" {
		return errkind.Newf(errkind.HistoryGap, "The owner has %d turns.", p.sequence())
	}
	r, err := o.cfg.Signer.Verify(c.Receipt)
	if err != nil {
		return err
	}
	if err := checkWindow(p.id, c, r, p.sequence()); err != nil {
		return err
	}
	turns, digests, err := chain(p, c)
	if err != nil {
		return err
	}
	if err := o.checkHistory(windowBytes(turns)); err != nil {
		return err
	}
	return o.keepWindow(p, r, turns, digests)
}

func windowBytes(turns []caller.Turn) int64 {
	n := int64(0)
	for _, t := range turns {
		n += turnBytes(t)
	}
	return n
}

func (o *Owner) keepWindow(p *state, r Receipt, turns []caller.Turn, digests []string) error {
	seen := max(r.SpentTokens, p.seen)
	window := &journal.Window{Base: r.Base, Seen: seen}
	entries := make([]journal.Entry, 0, len(turns)+1)
	usage := int64(0)
	for i, t := range turns {
		entry := &journal.Turn{Turn: t, Digest: digests[i], AtMillis: p.active.UnixMilli(), Window: window}
		entries = append(entries, journal.Entry{Turn: entry})
		usage += t.Usage.Total()
	}
	// Attempts that were charged here are not part of the receipt, and the other owner's charges are not known here.
	charge := max(seen-p.seen-usage, 0)
	if p.inFlight != nil {
		charge += p.inFlight.worstCase
	}
	if charge > 0 {
		entries = append(entries, journal.Entry{Charge: &journal.Charge{Tokens: charge}})
	}
	last, err := o.append(p, entries...)
	if err != nil {
		return err
	}
	first := last - journal.LSN(len(entries)) + 1
	// The receipt of another owner does not cover the lost attempts here, so their charges are kept.
	charges := p.charges
	for i, t := range turns {
		o.keepTurn(p, t, digests[i], first+journal.LSN(i))
	}
	p.charges = charges
	if p.inFlight != nil {
		p.dropAttempt()
		p.noteCharge(last)
	}
	p.spent += charge
	p.base, p.seen = r.Base, seen
	return nil
}

// dropAttempt forgets an attempt that was charged elsewhere.
func (p *state) dropAttempt() {
	if in, ok := p.intents[p.inFlight.callKey]; ok {
		in.unknown = true
	}
	p.inFlight = nil
}

// checkWindow makes sure that the receipt is that of the turn before the call and that the window leaves no gap after
// the turns that the owner has.
func checkWindow(program string, c caller.Call, r Receipt, have uint64) error {
	if r.Program != program || r.Sequence+1 != c.Sequence || r.Digest != c.Digest {
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
