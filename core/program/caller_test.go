package program

import (
	"encoding/json"
	"fmt"

	"github.com/shoenig/test/must"

	"jackdawbay.dev/api/caller"
	"jackdawbay.dev/api/errkind"
)

// callerNode is a caller that follows the protocol. It stores its turns and its newest receipt, and repeats a call
// until it receives a result.
type callerNode struct {
	sim         *simulation
	program     string
	turns       []caller.Turn
	digest      string
	receipt     string
	durable     uint64
	sendsWindow bool // The last response was a history_gap.

	call         *caller.Call // Current call, nil if there is none.
	idempotent   bool
	openRequest  *callRequest
	requestCount int // Requests sent for the current call.
	notRunCount  int // Requests whose response reported "not run" as true.
	abandoned    map[string]bool
}

func newCaller(sim *simulation, n int) *callerNode {
	c := &callerNode{sim: sim, program: testID(n), abandoned: map[string]bool{}}
	created, err := sim.currentOwner().shardOwner.Create(sim.now, testTenant, c.program, caller.CreateProgram{BudgetTokens: sim.budget}, Limits{BudgetTokens: sim.budget})
	must.NoError(sim.t, err)
	c.receipt, c.digest = created.Receipt, created.Program.Digest
	return c
}

// chooseCall chooses the next call. All model calls have the same upper bound beyond the history.
func (c *callerNode) chooseCall() {
	call := caller.Call{Sequence: uint64(len(c.turns) + 1), Digest: c.digest, CallKey: c.sim.newID("key")}
	c.idempotent = !c.sim.withOrders || c.sim.drawIndex(3, "kind of call: 0 is an order") != 0
	if c.idempotent {
		call.Kind = caller.CallModel
		m := caller.Message{Role: "user", Content: caller.Text(call.CallKey + "          ")[:9]}
		call.Model = &caller.ModelCall{Messages: []caller.Message{m}, MaxTokens: 20}
	} else {
		call.Kind = caller.CallService
		call.Service = &caller.ServiceCall{Upstream: "printer", Path: "/orders", Body: json.RawMessage(`"` + call.CallKey + `"`)}
	}
	c.call, c.requestCount, c.notRunCount, c.sendsWindow = &call, 0, 0, false
}

// sendCall sends the current call. It sends the call again if an earlier request had no response.
func (c *callerNode) sendCall() {
	if c.call == nil {
		c.chooseCall()
	}
	if c.openRequest != nil {
		c.openRequest.callerWaiting = false
	}
	r := &callRequest{caller: c, ingress: c.sim.ingress[c.sim.drawIndex(len(c.sim.ingress), "ingress")], call: *c.call,
		attempt: c.sim.newID("attempt"), idempotent: c.idempotent, callerWaiting: true}
	r.call.Receipt = c.receipt
	if c.sendsWindow {
		r.call.Window = c.turns[c.durable:]
	}
	c.openRequest = r
	c.requestCount++
	owner := c.sim.drawOwner()
	c.sim.sendMessage(fmt.Sprintf("admit %s of %s to %s", r.attempt, r.call.CallKey, owner.nodeIncarnation), func() { owner.admit(r) })
}

func (c *callerNode) handleResponse(r *callRequest, result *caller.Result, err error) {
	c.openRequest = nil
	if err == nil {
		c.acceptResult(r, result)
		return
	}
	body := errkind.NewBody(err).Error
	if body.NotRun == errkind.NotRunTrue {
		c.notRunCount++
	}
	if c.notRunCount == c.requestCount && !c.idempotent {
		c.sim.check(c.sim.upstream.runs[c.call.CallKey] == 0, "all responses to %s reported not run, and it ran", c.call.CallKey)
	}
	switch body.Code {
	case errkind.HistoryGap:
		c.sendsWindow = true
	case errkind.WrongSequence, errkind.DigestMismatch:
		c.readHistory()
	case errkind.OutcomeUnknown:
		c.abandonCall()
	}
}

// acceptResult adds the turn of a result and extends the hash chain.
func (c *callerNode) acceptResult(r *callRequest, result *caller.Result) {
	t := result.Turn
	c.sim.check(t.CallKey == r.call.CallKey && t.Sequence == uint64(len(c.turns)+1), "turn %d of %s is the response to %s", t.Sequence, t.CallKey, r.call.CallKey)
	digest, err := caller.NextDigest(c.digest, t)
	must.NoError(c.sim.t, err)
	c.sim.check(digest == result.Digest, "digest of turn %d does not match", t.Sequence)
	c.turns, c.digest, c.receipt = append(c.turns, t), digest, result.Receipt
	// The durable sequence of a replaced owner may be lower than that of the current owner.
	c.durable = min(max(c.durable, result.DurableSequence), uint64(len(c.turns)))
	c.call = nil
}

// abandonCall drops the current call. Callers do so if the outcome of the call is unknown.
func (c *callerNode) abandonCall() {
	if c.call == nil {
		return
	}
	if c.notRunCount == c.requestCount && !c.idempotent {
		c.abandoned[c.call.CallKey] = true
	}
	if c.openRequest != nil {
		c.openRequest.callerWaiting = false
	}
	c.call, c.openRequest = nil, nil
}

// readHistory adds the turns that the current owner has beyond those of the caller. They belong to calls whose response
// was lost.
func (c *callerNode) readHistory() {
	n := c.sim.currentOwner()
	if !n.running {
		return
	}
	turns, err := n.shardOwner.History(testTenant, c.program, uint64(len(c.turns)+1))
	if err != nil || len(turns) == 0 {
		return
	}
	for _, t := range turns {
		c.digest, err = caller.NextDigest(c.digest, t)
		must.NoError(c.sim.t, err)
		c.turns = append(c.turns, t)
	}
	p := n.shardOwner.programs[c.program]
	must.Eq(c.sim.t, p.digest(), c.digest)
	// A real caller receives the receipt when it repeats its call. The test skips that request.
	c.receipt = n.shardOwner.cfg.Signer.Sign(p.receipt())
	c.abandonCall()
}
