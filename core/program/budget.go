package program

import (
	"time"

	"jackdawbay.dev/api/caller"
	"jackdawbay.dev/api/errkind"
	"jackdawbay.dev/core/journal"
)

// defaultMaxTokens bounds the output of a call without max_tokens where Config sets no other bound. Without a bound the
// worst case of a call, and so the budget, would be open.
const defaultMaxTokens = 4096

// attemptsPerLostOwner is the number of attempts of one sequence that can be missing from the journal and from the
// caller's receipts when an owner is lost: the one in flight, and one lost attempt whose charge was not durable. A third
// attempt waits until the older charge is durable.
const attemptsPerLostOwner = 2

// maxLostOwners bounds the owners that a program is charged for. More owners in a row can only be lost without trace
// when each of them stores nothing of the program; without the bound, a jump of the epoch would use up every budget.
const maxLostOwners = 4

// lostOwners returns the number of former owners that may have used tokens unseen.
func (o *Owner) lostOwners(p *state, base uint64) int64 {
	epoch := o.shards[p.shard]
	if epoch <= base {
		return 0
	}
	return int64(min(epoch-base, maxLostOwners))
}

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

// cost is what the admission of a call takes from the budget.
type cost struct {
	worst     int64  // Worst case of the call, returned when it ends.
	replaced  int64  // Worst case of the attempt that it replaces.
	unseen    int64  // Attempts of former owners, and spending that only the receipt shows.
	owed      int64  // Tokens that are counted in spent and not journaled yet.
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
	if o.lostOwners(p, p.base) == 0 {
		return k, nil
	}
	base, seen, err := o.receiptSpending(p, c)
	if err != nil {
		return cost{}, err
	}
	k.seen, k.unseen = seen, seen-p.seen
	if c.Kind != caller.CallModel {
		// The worst case of a model call of a former owner is not known yet; the next model call shows it.
		return k, nil
	}
	k.unseen += o.lostOwners(p, base) * attemptsPerLostOwner * k.worst
	k.base = o.shards[p.shard]
	return k, nil
}

// receiptSpending returns the base and the spending that a receipt for the current turn shows, at least those that the
// owner knows. A former owner may have charged lost attempts without making the charge durable.
func (o *Owner) receiptSpending(p *state, c caller.Call) (uint64, int64, error) {
	if c.Receipt == "" {
		return p.base, p.seen, nil
	}
	r, err := o.cfg.Signer.Verify(c.Receipt)
	if err != nil {
		return 0, 0, err
	}
	if r.Program != p.id || r.Sequence != p.sequence() || r.Digest != p.digest() {
		return p.base, p.seen, nil
	}
	return max(p.base, r.Base), max(p.seen, r.SpentTokens), nil
}

func (o *Owner) checkLimits(p *state, k cost) error {
	if p.created.MaxTurns > 0 && p.sequence() >= uint64(p.created.MaxTurns) {
		return errkind.Newf(errkind.TurnLimit, "The limit is %d turns.", p.created.MaxTurns)
	}
	need := k.worst + k.charge()
	if left := max(p.created.BudgetTokens-p.spent, 0); need > left {
		return errkind.Newf(errkind.ProgramBudgetExhausted, "The call can need %d tokens, %d are left.", need, left)
	}
	return nil
}

// checkHistory refuses work that would add to a full history memory.
func (o *Owner) checkHistory(more int64) error {
	if o.cfg.MaxHistoryBytes > 0 && o.historyBytes+more > o.cfg.MaxHistoryBytes {
		return errkind.New(errkind.BacklogFull, "The daemon holds too much history.").After(time.Second)
	}
	return nil
}

// noteCharge remembers the journal entry of a lost attempt's charge.
func (p *state) noteCharge(lsn journal.LSN) {
	p.charges[0], p.charges[1] = p.charges[1], lsn
}

// chargeToAwait returns the charge that must be durable before another attempt starts, zero when there is none.
func (o *Owner) chargeToAwait(p *state) journal.LSN {
	if p.charges[0] > o.writer.Durable() {
		return p.charges[0]
	}
	return 0
}
