package gateway

import (
	"context"
	"slices"
	"time"

	"jackdawbay.dev/api/errkind"
	core "jackdawbay.dev/core/replica"
	"jackdawbay.dev/core/route"
	"jackdawbay.dev/daemon/replica"
)

// beginTurn charges the turn to its program and prepends the history to the new input. It reports whether the turn may be
// sent. If not, the caller has received an error response.
func (c *call) beginTurn() bool {
	hasBudget := c.hasBudget()
	continuesTurn := c.route.StoreTurns && c.meta.PreviousTurn != ""
	c.beginVersion()
	if !hasBudget && !continuesTurn && c.meta.LastEventID == "" {
		c.beginEvents("")
		return true
	}
	ctx, cancel := context.WithTimeout(c.ctx, beginTimeout)
	defer cancel()
	ledger, ok := c.readStreamRecord(ctx)
	if !ok {
		return false
	}
	if !hasBudget && !continuesTurn {
		return c.resolveTakeUp(ledger) && c.restoreOutput(ctx, ledger)
	}
	var charge *core.Charge
	if hasBudget {
		first := c.charge(c.meta.MaxTokens)
		charge, c.charged = &first, true
	}
	previousTurn := ""
	if continuesTurn {
		previousTurn = c.storedID(c.meta.PreviousTurn)
	}
	startedAt := time.Now()
	result, err := c.g.cfg.Replicas.BeginTurn(ctx, c.storedID(c.meta.Program), charge, previousTurn, c.route.Retention, c.g.turnCache.get)
	c.beginDuration = time.Since(startedAt)
	if err != nil {
		c.rejectWithoutQuorum(err)
		return false
	}
	if lacking := result.ChargesToSpread(); len(lacking) > 0 {
		c.storeCharges(lacking...)
	}
	if hasBudget && !result.Ledger.CanAdmit(charge.Turn, c.meta.MaxTokens, c.meta.TokenBudget) {
		c.g.cfg.Log.Info("budget does not hold the turn", "request", c.meta.RequestID, "program", c.meta.Program,
			"spent", result.Ledger.TotalExcept(charge.Turn), "worst", c.meta.MaxTokens, "budget", c.meta.TokenBudget, "charges", len(result.Ledger))
		c.respondError(errkind.ProgramBudgetExhausted, "", 0)
		return false
	}
	if hasBudget {
		ledger = result.Ledger
	}
	if !c.resolveTakeUp(ledger) || !c.restoreOutput(ctx, ledger) {
		return false
	}
	if result.MissingTurn != "" {
		c.respondError(errkind.TurnNotFound, "", 0)
		return false
	}
	if slices.ContainsFunc(result.Chain, func(t replica.Turn) bool { return t.ID == c.storedID(c.meta.RequestID) }) {
		c.respondError(errkind.BadHeader, "The request has the ID of an earlier turn of its chain.", 0)
		return false
	}
	if len(result.Chain) > 0 {
		var history [][]byte
		for i := len(result.Chain) - 1; i >= 0; i-- {
			t := result.Chain[i]
			history = append(history, t.Input, t.Output)
			c.g.turnCache.put(t)
		}
		if !c.addHistory(history) {
			c.respondError(errkind.Overloaded, "", retryAfterNoMemory)
			return false
		}
	}
	return true
}

// hasBudget reports whether the request is a turn whose tokens are charged to its program.
func (c *call) hasBudget() bool {
	return c.route.Kind == route.Stream && c.meta.TokenBudget >= 0 && c.meta.Program != ""
}

// rejectWithoutQuorum sends the error response for a request whose state the replicas did not return, unless its caller has left.
func (c *call) rejectWithoutQuorum(err error) {
	if c.r.Context().Err() != nil {
		c.abort("caller_gone")
	}
	c.rejectTurn(err)
}

// settleCharge lowers the charge of a turn to the tokens that reached the caller. This is zero for a turn that was not sent.
func (c *call) settleCharge() {
	if !c.charged {
		c.withdrawWrongVersion()
		return
	}
	c.charged = false
	c.storeCharges(c.settledCharge())
}

// storeCharges stores charges in the call's program, or in the record of its stream, in the background.
func (c *call) storeCharges(charges ...core.Charge) {
	c.g.enqueueSettlement(settlement{program: c.recordID(), request: c.meta.RequestID, charges: charges, retention: c.recordRetention()})
}
