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

// reservationDivisor is the part of the budget, as a divisor, that the creator of a program may spend before anything of
// the program is durable, and the part of the unreserved rest that a later reservation takes. A larger part lets programs
// run longer through an outage of the platform, and loses more when an owner is lost.
const reservationDivisor = 8

// creatorAllowance returns the tokens that the owner that creates a program may spend without a journaled reservation.
func creatorAllowance(budget int64) int64 { return budget / reservationDivisor }

// hasUnaccountedAttempts reports whether attempts of former owners may be missing here.
func (o *Owner) hasUnaccountedAttempts(p *programState) bool {
	return o.openEpochs[p.shard] > p.firstUnaccountedEpoch
}

func (o *Owner) maxOutputTokens(c caller.Call) int64 {
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
type callCost struct {
	upperBound            int64  // Worst case of the call, returned when it ends.
	replacedUpperBound    int64  // Worst case of the attempt that it replaces.
	receiptOnlySpent      int64  // Spending that only the receipt shows.
	unjournaledCharge     int64  // Tokens that are counted in spent and not journaled yet.
	newReservation        int64  // Tokens to reserve, without which the call cannot be sent.
	firstUnaccountedEpoch uint64 // New base of the program; zero leaves it.
	receiptSpent          int64  // Spending that the caller's receipt shows.
	replacesAttempt       bool
}

func (c callCost) charge() int64 { return c.replacedUpperBound + c.receiptOnlySpent }

// computeCost computes the cost of a call without changing anything.
func (o *Owner) computeCost(p *programState, c caller.Call) (callCost, error) {
	cost := callCost{upperBound: p.tokenUpperBound(c, o.maxOutputTokens(c)), unjournaledCharge: p.unjournaledCharge, receiptSpent: p.receiptSpent}
	if p.inFlight != nil {
		cost.replacesAttempt, cost.replacedUpperBound = true, p.inFlight.tokenUpperBound
	}
	if cost.upperBound > p.usableReservation {
		cost.newReservation = p.reservationSize(cost.upperBound)
	}
	if !o.hasUnaccountedAttempts(p) {
		return cost, nil
	}
	receiptSpent, err := o.receiptSpentTokens(p, c)
	if err != nil {
		return callCost{}, err
	}
	cost.receiptSpent, cost.receiptOnlySpent = receiptSpent, receiptSpent-p.receiptSpent
	if c.Kind == caller.CallModel {
		cost.firstUnaccountedEpoch = o.openEpochs[p.shard]
	}
	return cost, nil
}

// receiptSpentTokens returns the spending that a receipt for the current turn shows, at least what the owner knows. A former
// owner may have charged lost attempts without making the charge durable.
func (o *Owner) receiptSpentTokens(p *programState, c caller.Call) (int64, error) {
	if c.Receipt == "" {
		return p.receiptSpent, nil
	}
	r, err := o.cfg.Signer.Verify(c.Receipt)
	if err != nil {
		return 0, err
	}
	if r.Program != p.id || r.Sequence != p.sequence() || r.Digest != p.digest() {
		return p.receiptSpent, nil
	}
	return max(p.receiptSpent, r.SpentTokens), nil
}

// unreserved returns the tokens of the budget that no owner has reserved.
func (p *programState) unreservedTokens() int64 {
	return max(p.created.BudgetTokens-p.reservedTokens, 0)
}

// reservation returns the tokens to reserve so that a call with the worst case can be sent, at most what is unreserved.
// Where that would take more than half of it, only what the call needs is taken: the rest of a small budget must not be
// lost with one owner.
func (p *programState) reservationSize(upperBound int64) int64 {
	unreserved := p.unreservedTokens()
	want := max(2*upperBound, unreserved/reservationDivisor)
	if want > unreserved/2 {
		want = upperBound - p.usableReservation
	}
	return min(want, unreserved)
}

func (o *Owner) checkLimits(p *programState, cost callCost) error {
	if p.created.MaxTurns > 0 && p.sequence() >= uint64(p.created.MaxTurns) {
		return errkind.Newf(errkind.TurnLimit, "The limit is %d turns.", p.created.MaxTurns)
	}
	unspent := max(p.created.BudgetTokens-p.spentTokens-cost.charge(), 0)
	available := min(p.usableReservation+p.unreservedTokens(), unspent)
	if cost.upperBound > available || cost.upperBound > p.usableReservation+cost.newReservation {
		const text = "The call can need %d tokens, %d are left, and %d are reserved for former owners."
		return errkind.Newf(errkind.ProgramBudgetExhausted, text, cost.upperBound, available, unspent-available)
	}
	return nil
}

// needsPendingReservation reports whether a call needs reserved tokens that are not durable yet.
func (o *Owner) needsPendingReservation(p *programState, upperBound int64) bool {
	if p.reservationLSN <= o.writer.DurableLSN() {
		return false
	}
	return upperBound > p.usableReservation-p.pendingReservation
}

// addReservation counts a reservation of this owner whose journal entry is lsn.
func (o *Owner) addReservation(p *programState, tokens int64, lsn journal.LSN) {
	if p.reservationLSN <= o.writer.DurableLSN() {
		p.pendingReservation = 0
	}
	p.reservedTokens += tokens
	p.usableReservation += tokens
	p.pendingReservation += tokens
	p.reservationLSN = lsn
}

// reserveForNextCall journals the reservation for the next call together with what is journaled anyway, so that the next call
// need not wait for it. It takes nothing of a small rest, and does nothing when the journal has no room.
func (o *Owner) reserveForNextCall(p *programState, upperBound int64) {
	tokens := p.reservationSize(upperBound)
	if upperBound == 0 || p.usableReservation >= upperBound || tokens < 2*upperBound {
		return
	}
	lsn, err := o.appendEntries(p, journal.Entry{Reservation: &journal.Reservation{Tokens: tokens}})
	if err != nil {
		return
	}
	o.addReservation(p, tokens, lsn)
}

// checkHistory refuses work that would add to a full history memory.
func (o *Owner) checkHistoryMemory(additionalBytes int64) error {
	if o.cfg.MaxHistoryBytes > 0 && o.historyBytes+additionalBytes > o.cfg.MaxHistoryBytes {
		return errkind.New(errkind.BacklogFull, "The daemon holds too much history.").After(time.Second)
	}
	return nil
}
