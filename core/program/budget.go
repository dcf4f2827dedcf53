package program

import (
	"time"

	"jackdawbay.dev/api/caller"
	"jackdawbay.dev/api/errkind"
	"jackdawbay.dev/core/journal"
)

// A program's budget is held by reservations: an owner spends only tokens that were reserved for it, a reservation is
// durable before the owner relies on it, and no other owner spends it. So the budget also holds while a replaced owner
// that has not noticed goes on: its journal is sealed, and it can reserve nothing more. What a lost owner had reserved
// and not spent is lost for the program; an owner that hands its shard over passes the rest on.

// defaultMaxTokens bounds the output of a call without max_tokens where Config sets no other bound. Without a bound the
// worst case of a call, and so the budget, would be open.
const defaultMaxTokens = 4096

// reservationShare is the part of the budget, as a divisor, that the creator of a program may spend before anything of
// the program is durable, and the part of the unreserved rest that a later reservation takes. A larger part lets programs
// run longer through an outage of the platform, and loses more when an owner is lost.
const reservationShare = 8

// creatorAllowance returns the tokens that the owner that creates a program may spend without a journaled reservation.
func creatorAllowance(budget int64) int64 { return budget / reservationShare }

// hadFormerOwners reports whether attempts of former owners may be missing here.
func (o *Owner) hadFormerOwners(p *state) bool { return o.shards[p.shard] > p.base }

func (o *Owner) maxTokens(c caller.Call) int64 {
	if c.Model == nil {
		return 0
	}
	if c.Model.MaxTokens > 0 {
		return int64(c.Model.MaxTokens)
	}
	if o.cfg.DefaultMaxTokens > 0 {
		return int64(o.cfg.DefaultMaxTokens)
	}
	return defaultMaxTokens
}

// cost is what the admission of a call takes from the budget, in tokens.
type cost struct {
	worst     int64  // Worst case of the call, returned when it ends.
	replaced  int64  // Worst case of the attempt that it replaces.
	unseen    int64  // Spending that only the receipt shows.
	owed      int64  // Tokens that are counted in spent and not journaled yet.
	reserve   int64  // Tokens to reserve, without which the call cannot be sent.
	base      uint64 // New base of the program; zero leaves it.
	seen      int64  // Spending that the caller's receipt shows.
	supersede bool
}

func (c cost) charge() int64 { return c.replaced + c.unseen }

// priceCall computes the cost of a call without changing anything.
func (o *Owner) priceCall(p *state, c caller.Call) (cost, error) {
	k := cost{worst: p.worstCase(c, o.maxTokens(c)), owed: p.owed, seen: p.seen}
	if p.inFlight != nil {
		k.supersede, k.replaced = true, p.inFlight.worstCase
	}
	if k.worst > p.own {
		k.reserve = p.reservation(k.worst)
	}
	if !o.hadFormerOwners(p) {
		return k, nil
	}
	seen, err := o.receiptSpending(p, c)
	if err != nil {
		return cost{}, err
	}
	k.seen, k.unseen = seen, seen-p.seen
	if c.Kind == caller.CallModel {
		k.base = o.shards[p.shard]
	}
	return k, nil
}

// receiptSpending returns the spending that a receipt for the current turn shows, at least what the owner knows. A former
// owner may have charged lost attempts without making the charge durable.
func (o *Owner) receiptSpending(p *state, c caller.Call) (int64, error) {
	if c.Receipt == "" {
		return p.seen, nil
	}
	r, err := o.cfg.Signer.Verify(c.Receipt)
	if err != nil {
		return 0, err
	}
	if r.Program != p.id || r.Sequence != p.sequence() || r.Digest != p.digest() {
		return p.seen, nil
	}
	return max(p.seen, r.SpentTokens), nil
}

// unreserved returns the tokens of the budget that no owner has reserved.
func (p *state) unreserved() int64 { return max(p.created.BudgetTokens-p.reserved, 0) }

// reservation returns the tokens to reserve so that a call with the worst case can be sent, at most what is unreserved.
// Where that would take more than half of it, only what the call needs is taken: the rest of a small budget must not be
// lost with one owner.
func (p *state) reservation(worst int64) int64 {
	left := p.unreserved()
	want := max(2*worst, left/reservationShare)
	if want > left/2 {
		want = worst - p.own
	}
	return min(want, left)
}

func (o *Owner) checkLimits(p *state, k cost) error {
	if p.created.MaxTurns > 0 && p.sequence() >= uint64(p.created.MaxTurns) {
		return errkind.Newf(errkind.TurnLimit, "The limit is %d turns.", p.created.MaxTurns)
	}
	unspent := max(p.created.BudgetTokens-p.spent-k.charge(), 0)
	left := min(p.own+p.unreserved(), unspent)
	if k.worst > left || k.worst > p.own+k.reserve {
		const text = "The call can need %d tokens, %d are left, and %d are reserved for former owners."
		return errkind.Newf(errkind.ProgramBudgetExhausted, text, k.worst, left, unspent-left)
	}
	return nil
}

// mustAwait reports whether a call needs reserved tokens that are not durable yet.
func (o *Owner) mustAwait(p *state, worst int64) bool {
	if p.ownLSN <= o.writer.DurableLSN() {
		return false
	}
	return worst > p.own-p.ownPending
}

// addReservation counts a reservation of this owner whose journal entry is lsn.
func (o *Owner) addReservation(p *state, tokens int64, lsn journal.LSN) {
	if p.ownLSN <= o.writer.DurableLSN() {
		p.ownPending = 0
	}
	p.reserved += tokens
	p.own += tokens
	p.ownPending += tokens
	p.ownLSN = lsn
}

// reserveAhead journals the reservation for the next call together with what is journaled anyway, so that the next call
// need not wait for it. It takes nothing of a small rest, and does nothing when the journal has no room.
func (o *Owner) reserveAhead(p *state, worst int64) {
	tokens := p.reservation(worst)
	if worst == 0 || p.own >= worst || tokens < 2*worst {
		return
	}
	lsn, err := o.append(p, journal.Entry{Reservation: &journal.Reservation{Tokens: tokens}})
	if err != nil {
		return
	}
	o.addReservation(p, tokens, lsn)
}

// checkHistory refuses work that would add to a full history memory.
func (o *Owner) checkHistory(more int64) error {
	if o.cfg.MaxHistoryBytes > 0 && o.historyBytes+more > o.cfg.MaxHistoryBytes {
		return errkind.New(errkind.BacklogFull, "The daemon holds too much history.").WithRetryAfter(time.Second)
	}
	return nil
}
