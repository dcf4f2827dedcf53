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
	if now.Sub(time.UnixMilli(r.LastActiveMillis)) > expiry(r.ExpiryMillis) {
		// What the calls of a forgotten program did is not known any more.
		return nil, errkind.New(errkind.ProgramNotFound, "The receipt is too old.").WithNotRun(errkind.NotRunUnknown)
	}
	if err := checkWindow(req.Program, req.Call, r, 0); err != nil {
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
	p := o.newState(req.Program, created, now)
	p.base, p.reserved = r.FirstUnaccountedEpoch, created.ReservedTokens
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
	w, err := p.chain(c)
	if err != nil {
		return err
	}
	if err := o.checkHistory(windowBytes(w.turns)); err != nil {
		return err
	}
	return o.keepWindow(p, r, w)
}

// replacesLast reports whether the caller got another turn in the place of the last one. It happens when a former owner
// that does not know that it was replaced runs a repeat of the call. The caller never got the turn that is here, so no
// call can follow it, and the receipt shows that the caller's turn is genuine.
func (o *Owner) replacesLast(p *state, c caller.Call) bool {
	if c.Sequence != p.sequence()+1 || p.sequence() == 0 || c.Digest == p.digest() || c.Receipt == "" {
		return false
	}
	r, err := o.cfg.Signer.Verify(c.Receipt)
	return err == nil && r.Program == p.id && r.Sequence == p.sequence() && r.Digest == c.Digest
}

// suffix is the part of a window that a program lacks.
type suffix struct {
	turns   []caller.Turn
	digests []string
	replace bool // The first turn takes the place of the program's last one.
}

func windowBytes(turns []caller.Turn) int64 {
	n := int64(0)
	for _, t := range turns {
		n += turnBytes(t)
	}
	return n
}

func (o *Owner) keepWindow(p *state, r Receipt, w suffix) error {
	known := p.seen
	if w.replace {
		known = p.seenBefore
	}
	seen := max(r.SpentTokens, known)
	entries := make([]journal.Entry, 0, len(w.turns)+1)
	usage := int64(0)
	for i, t := range w.turns {
		window := &journal.WindowReceipt{FirstUnaccountedEpoch: r.FirstUnaccountedEpoch, ReceiptSpent: seen, ReplacesLast: w.replace && i == 0}
		entry := &journal.Turn{Turn: t, Digest: w.digests[i], AtMillis: p.active.UnixMilli(), Window: window}
		entries = append(entries, journal.Entry{Turn: entry})
		usage += t.Usage.Total()
	}
	// Attempts that were charged here are not part of the receipt, and the other owner's charges are not known here.
	charge := max(seen-known-usage, 0)
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
	if w.replace {
		before := p.bytes
		p.dropLast(w.turns[0].CallKey)
		o.historyBytes += p.bytes - before
	}
	for i, t := range w.turns {
		o.keepTurn(p, t, w.digests[i], first+journal.LSN(i))
		p.seen = seen
	}
	if p.inFlight != nil {
		p.dropAttempt()
	}
	p.spent += charge
	p.base, p.seen = r.FirstUnaccountedEpoch, seen
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
	if have == 0 && c.Sequence == 1 {
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

// chain verifies the turns that the owner lacks against the digest of the call. They follow the owner's last turn, or
// the turn before it.
func (p *state) chain(c caller.Call) (suffix, error) {
	w, err := p.chainAfter(p.sequence(), c)
	if !errkind.Is(err, errkind.DigestMismatch) || p.sequence() == 0 {
		return w, err
	}
	if c.Window[0].Sequence > p.sequence() {
		return suffix{}, errkind.Newf(errkind.HistoryGap, "The owner has another turn %d.", p.sequence())
	}
	w, err = p.chainAfter(p.sequence()-1, c)
	w.replace = true
	return w, err
}

func (p *state) chainAfter(have uint64, c caller.Call) (suffix, error) {
	skip := have + 1 - c.Window[0].Sequence
	if skip > uint64(len(c.Window)) {
		return suffix{}, errkind.New(errkind.InvalidValue, "Field window has turns that do not follow each other.")
	}
	w := suffix{turns: c.Window[skip:]}
	digest := p.digestAt(have)
	for i, t := range w.turns {
		if t.Sequence != have+1+uint64(i) {
			return suffix{}, errkind.New(errkind.InvalidValue, "Field window has turns that do not follow each other.")
		}
		next, err := caller.NextDigest(digest, t)
		if err != nil {
			return suffix{}, errkind.Wrap(errkind.InvalidValue, err, "Field window has a turn that cannot be encoded.")
		}
		digest = next
		w.digests = append(w.digests, digest)
	}
	if digest != c.Digest {
		return suffix{}, errkind.New(errkind.DigestMismatch, "The window does not lead to the digest of the call.")
	}
	return w, nil
}
