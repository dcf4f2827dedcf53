package program

import (
	"time"

	"jackdawbay.dev/api/caller"
	"jackdawbay.dev/api/errkind"
	"jackdawbay.dev/core/journal"
)

// The budget of a program is enforced by reservations. An owner spends only tokens that it has reserved, a reservation
// is durable before the owner spends from it, and no other owner spends from it. The budget therefore also holds while
// a stale owner, which has not observed that it was replaced, continues: its journal is sealed, so it cannot reserve
// more tokens. When an owner fails, the unspent part of its reservation is lost for the program. An owner that hands
// its shard over passes the unspent part on.

// defaultMaxTokens limits the output of a call without max_tokens, unless Config sets another limit. Without a limit,
// the tokens of a call have no upper bound, and the budget cannot be enforced.
const defaultMaxTokens = 4096

// reservationDivisor divides the budget to obtain the tokens that the creator of a program may spend before any entry
// of the program is durable. It also divides the unreserved tokens to obtain the size of later reservations. Larger
// reservations let programs run longer during an outage of the platform, and lose more tokens when an owner fails.
const reservationDivisor = 8

// creatorAllowance returns the tokens that the creating owner may spend without a journaled reservation.
func creatorAllowance(budget int64) int64 { return budget / reservationDivisor }

// hasUnaccountedAttempts reports whether the spending may lack attempts of former owners.
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

// callCost is the cost of admitting a call, in tokens.
type callCost struct {
	upperBound            int64  // Upper bound of the call; the unused part is released when the call ends.
	replacedUpperBound    int64  // Upper bound of the attempt that the call replaces.
	receiptOnlySpent      int64  // Spending that only the receipt contains.
	unjournaledCharge     int64  // Tokens that are included in spentTokens and not journaled yet.
	newReservation        int64  // Tokens that must be reserved before the call is sent.
	firstUnaccountedEpoch uint64 // New value for the program; zero leaves it unchanged.
	receiptSpent          int64  // Spending according to the caller's receipt.
	replacesAttempt       bool
}

func (c callCost) charge() int64 { return c.replacedUpperBound + c.receiptOnlySpent }

// computeCost returns the cost of a call. It changes no state.
func (o *Owner) computeCost(p *programState, c caller.Call) (callCost, error) {
	cost := callCost{
		upperBound:        p.tokenUpperBound(c, o.maxOutputTokens(c)),
		unjournaledCharge: p.unjournaledCharge,
		receiptSpent:      p.receiptSpent,
	}
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

// receiptSpentTokens returns the spending according to a receipt for the current turn, or receiptSpent if that is more
// or the receipt is for another turn. The receipt can contain more, because a former owner may have charged abandoned
// attempts without making the charge durable.
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

// unreservedTokens returns the tokens of the budget that no owner has reserved.
func (p *programState) unreservedTokens() int64 {
	return max(p.created.BudgetTokens-p.reservedTokens, 0)
}

// reservationSize returns the number of tokens to reserve so that a call with the given upper bound can be sent. It
// returns at most the unreserved tokens. If the preferred size exceeds half of them, it returns only what the call
// needs, so that the failure of one owner does not lose the rest of a small budget.
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

// needsPendingReservation reports whether a call needs reserved tokens whose journal entry is not durable yet.
func (o *Owner) needsPendingReservation(p *programState, upperBound int64) bool {
	if p.reservationLSN <= o.writer.DurableLSN() {
		return false
	}
	return upperBound > p.usableReservation-p.pendingReservation
}

// addReservation adds a reservation of this owner whose journal entry is lsn.
func (o *Owner) addReservation(p *programState, tokens int64, lsn journal.LSN) {
	if p.reservationLSN <= o.writer.DurableLSN() {
		p.pendingReservation = 0
	}
	p.reservedTokens += tokens
	p.usableReservation += tokens
	p.pendingReservation += tokens
	p.reservationLSN = lsn
}

// reserveForNextCall journals the reservation for the next call together with the current entries, so that the next
// call does not have to wait for it. It does nothing if few tokens are left or if the journal's backlog is full.
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

// checkHistoryMemory returns BacklogFull if additionalBytes of history would exceed the memory limit.
func (o *Owner) checkHistoryMemory(additionalBytes int64) error {
	if o.cfg.MaxHistoryBytes > 0 && o.historyBytes+additionalBytes > o.cfg.MaxHistoryBytes {
		return errkind.New(errkind.BacklogFull, "The daemon holds too much history.").WithRetryAfter(time.Second)
	}
	return nil
}
