package program

import (
	"encoding/json"
	"fmt"

	"github.com/shoenig/test/must"

	"jackdawbay.dev/api/caller"
	"jackdawbay.dev/api/errkind"
)

// callerNode keeps its turns and its newest receipt and repeats calls until they are answered, as the design says.
type callerNode struct {
	w       *world
	program string
	turns   []caller.Turn
	digest  string
	receipt string
	durable uint64
	window  bool // The last answer was a history_gap.

	call       *caller.Call // The call to get an answer for.
	idempotent bool
	open       *callRequest
	requests   int // Requests of the call so far.
	notRun     int // Those of them that were answered with a true "not run".
	abandoned  map[string]bool
}

func newCaller(w *world, n int) *callerNode {
	c := &callerNode{w: w, program: testID(n), abandoned: map[string]bool{}}
	created, err := w.current().o.Create(w.now, testTenant, c.program, caller.CreateProgram{BudgetTokens: w.budget}, Limits{BudgetTokens: w.budget})
	must.NoError(w.t, err)
	c.receipt, c.digest = created.Receipt, created.Program.Digest
	return c
}

// next chooses the next call. All model calls have the same worst case beyond the history.
func (c *callerNode) next() {
	call := caller.Call{Sequence: uint64(len(c.turns) + 1), Digest: c.digest, CallKey: c.w.id("key")}
	c.idempotent = !c.w.orders || c.w.pick(3, "kind of call: 0 is an order") != 0
	if c.idempotent {
		call.Kind = caller.CallModel
		m := caller.Message{Role: "user", Content: caller.Text(call.CallKey + "          ")[:9]}
		call.Model = &caller.ModelCall{Messages: []caller.Message{m}, MaxTokens: 20}
	} else {
		call.Kind = caller.CallService
		call.Service = &caller.ServiceCall{Upstream: "printer", Path: "/orders", Body: json.RawMessage(`"` + call.CallKey + `"`)}
	}
	c.call, c.requests, c.notRun, c.window = &call, 0, 0, false
}

// issue sends the call, or sends it again after the caller gave up waiting.
func (c *callerNode) issue() {
	if c.call == nil {
		c.next()
	}
	if c.open != nil {
		c.open.open = false
	}
	r := &callRequest{caller: c, ingress: c.w.ingress[c.w.pick(len(c.w.ingress), "ingress")], call: *c.call,
		attempt: c.w.id("attempt"), idempotent: c.idempotent, open: true}
	r.call.Receipt = c.receipt
	if c.window {
		r.call.Window = c.turns[c.durable:]
	}
	c.open = r
	c.requests++
	owner := c.w.anyOwner()
	c.w.send(fmt.Sprintf("admit %s of %s to %s", r.attempt, r.call.CallKey, owner.inc), func() { owner.admit(r) })
}

func (c *callerNode) answered(r *callRequest, result *caller.Result, err error) {
	c.open = nil
	if err == nil {
		c.accept(r, result)
		return
	}
	body := errkind.NewBody(err).Error
	if body.NotRun == errkind.NotRunTrue {
		c.notRun++
	}
	if c.notRun == c.requests && !c.idempotent {
		c.w.check(c.w.up.runs[c.call.CallKey] == 0, "all requests of %s were said not run, and it ran", c.call.CallKey)
	}
	switch body.Code {
	case errkind.HistoryGap:
		c.window = true
	case errkind.WrongSequence, errkind.DigestMismatch:
		c.readState()
	case errkind.OutcomeUnknown:
		c.abandon()
	}
}

// accept adds the turn of an answer and follows the hash chain.
func (c *callerNode) accept(r *callRequest, result *caller.Result) {
	t := result.Turn
	c.w.check(t.CallKey == r.call.CallKey && t.Sequence == uint64(len(c.turns)+1), "turn %d of %s answers %s", t.Sequence, t.CallKey, r.call.CallKey)
	digest, err := caller.NextDigest(c.digest, t)
	must.NoError(c.w.t, err)
	c.w.check(digest == result.Digest, "digest of turn %d", t.Sequence)
	c.turns, c.digest, c.receipt = append(c.turns, t), digest, result.Receipt
	// A durable sequence of an owner that was replaced may be lower than a newer one.
	c.durable = min(max(c.durable, result.DurableSequence), uint64(len(c.turns)))
	c.call = nil
}

// abandon gives a call up, as a caller does whose order has an unknown outcome.
func (c *callerNode) abandon() {
	if c.call == nil {
		return
	}
	if c.notRun == c.requests && !c.idempotent {
		c.abandoned[c.call.CallKey] = true
	}
	if c.open != nil {
		c.open.open = false
	}
	c.call, c.open = nil, nil
}

// readState adopts the turns that the newest owner has beyond those of the caller. They are turns of calls whose answer
// was lost.
func (c *callerNode) readState() {
	n := c.w.current()
	if !n.alive {
		return
	}
	turns, err := n.o.History(testTenant, c.program, uint64(len(c.turns)+1))
	if err != nil || len(turns) == 0 {
		return
	}
	for _, t := range turns {
		c.digest, err = caller.NextDigest(c.digest, t)
		must.NoError(c.w.t, err)
		c.turns = append(c.turns, t)
	}
	p := n.o.programs[c.program]
	must.Eq(c.w.t, p.digest(), c.digest)
	// A caller gets the receipt by repeating its call; the shortcut saves that round.
	c.receipt = n.o.cfg.Signer.Sign(p.receipt())
	c.abandon()
}
