package program

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"jackdawbay.dev/api/caller"
	"jackdawbay.dev/api/errkind"
	"jackdawbay.dev/core/journal"
)

func newSimulation(t *rapid.T) *simulation {
	w := &simulation{t: t, now: testStart, objects: map[string][]journal.Segment{}}
	w.upstream = simulatedUpstream{runs: map[string]int{}, tokens: map[string]int64{}, lastSequence: map[string]uint64{}}
	// Small budgets are exhausted within a run, so that an uncounted token causes a failure.
	w.budget = rapid.SampledFrom([]int64{120, 200, 300, 500, 5000}).Draw(t, "budget")
	w.withOrders, w.staleOwners = w.drawBool("orders"), w.drawBool("staleOwners")
	w.startOwner()
	for range 2 {
		w.ingress = append(w.ingress, &ingressNode{w: w, nodeIncarnation: w.newID("ingress"), running: true})
		w.callers = append(w.callers, newCaller(w, len(w.callers)))
	}
	return w
}

func (w *simulation) drawCaller() *callerNode {
	return w.callers[w.drawIndex(len(w.callers), "caller")]
}

func (w *simulation) deliverMessage() {
	if len(w.undelivered) == 0 {
		return
	}
	i := w.drawIndex(len(w.undelivered), "message")
	m := w.undelivered[i]
	w.undelivered = append(w.undelivered[:i:i], w.undelivered[i+1:]...)
	w.t.Logf("deliver %s", m.name)
	m.handle()
}

func (w *simulation) duplicateMessage() {
	if len(w.undelivered) > 0 {
		m := w.undelivered[w.drawIndex(len(w.undelivered), "message")]
		w.t.Logf("deliver a copy of %s", m.name)
		m.handle()
	}
}

func (w *simulation) dropMessage() {
	if len(w.undelivered) > 0 {
		i := w.drawIndex(len(w.undelivered), "message")
		w.undelivered = append(w.undelivered[:i:i], w.undelivered[i+1:]...)
	}
}

// replaceOwner seals the journal of the current owner and starts another one. The old owner crashes, or continues as a
// stale owner.
func (w *simulation) replaceOwner() {
	w.t.Log("replaceOwner")
	n := w.currentOwner()
	n.running = w.staleOwners && w.drawBool("the old owner continues")
	w.sealJournal(n.nodeIncarnation)
	w.startOwner()
}

// handOver moves the shard in a planned handover. If the flushes fail, the journal is sealed as after a failure.
func (w *simulation) handOver() {
	w.t.Log("handOver")
	n := w.currentOwner()
	if !n.running {
		return
	}
	lsn, err := n.shardOwner.CloseShard(testShard)
	for i := 0; err == nil && i < 4 && n.shardOwner.Journal().DurableLSN() < lsn; i++ {
		n.flush()
	}
	if err != nil || n.shardOwner.Journal().DurableLSN() < lsn {
		w.sealJournal(n.nodeIncarnation)
	}
	w.startOwner()
}

// checkpoint takes a checkpoint, and replaces the chain by it if the CheckpointStart entry is durable.
func (w *simulation) checkpoint() {
	w.t.Log("checkpoint")
	n := w.currentOwner()
	slot := n.shardOwner.Journal().NextSlot()
	segments, err := n.shardOwner.Checkpoint(testShard)
	if err != nil || !n.running {
		return
	}
	want := n.shardOwner.Journal().AppendedLSN()
	for i := 0; i < 4 && n.shardOwner.Journal().DurableLSN() < want; i++ {
		n.flush()
	}
	if n.shardOwner.Journal().DurableLSN() >= want {
		w.chain = []chainLink{{checkpoint: segments, incarnation: n.nodeIncarnation, firstSlot: slot}}
	}
}

func (w *simulation) crashIngress() {
	w.t.Log("crashIngress")
	i := w.drawIndex(len(w.ingress), "ingress")
	old := w.ingress[i]
	old.running = false
	w.ingress[i] = &ingressNode{w: w, nodeIncarnation: w.newID("ingress"), running: true}
	for _, c := range w.callers {
		if c.openRequest != nil && c.openRequest.ingress == old {
			c.openRequest.callerWaiting = false
			c.openRequest = nil
		}
	}
	for _, n := range w.owners {
		if n.running && w.drawBool("owner observes the crash") {
			n.shardOwner.AbandonIngressAttempts(old.nodeIncarnation)
		}
	}
}

func (w *simulation) advanceTime() {
	w.t.Log("advanceTime")
	w.now = w.now.Add(11 * time.Second)
	for _, n := range w.owners {
		if n.running {
			n.shardOwner.Tick(w.now)
		}
	}
}

// resolveUnknown records the outcome of a call whose sender crashed, as an operator does after checking the upstream.
func (w *simulation) resolveUnknown() {
	w.t.Log("resolveUnknown")
	n := w.currentOwner()
	c := w.drawCaller()
	p, ok := n.shardOwner.programs[c.program]
	if !ok || !n.running || c.openRequest != nil {
		return
	}
	for key, in := range p.intents {
		if in.outcomeUnknown && w.upstream.runs[key] > 0 {
			must.NoError(w.t, n.shardOwner.Resolve(c.program, key, true, "looked up"))
			return
		}
	}
}

func (w *simulation) step() {
	actions := []struct {
		weight int
		do     func()
	}{
		{8, w.deliverMessage}, {8, w.deliverMessage}, {8, w.deliverMessage}, {6, func() { w.owners[w.drawIndex(len(w.owners), "owner")].flush() }},
		{4, func() { w.currentOwner().flush() }}, {6, func() { w.drawCaller().sendCallIfIdle() }}, {2, func() { w.drawCaller().sendCall() }},
		{1, func() { w.drawCaller().abandonCall() }}, {2, w.duplicateMessage}, {1, w.dropMessage}, {1, w.replaceOwner}, {1, w.handOver},
		{1, w.checkpoint}, {1, w.crashIngress}, {1, w.advanceTime}, {1, w.resolveUnknown}, {1, func() { w.currentOwner().cancelAdmission() }},
	}
	total := 0
	for _, a := range actions {
		total += a.weight
	}
	n := w.drawIndex(total, "action")
	for _, a := range actions {
		if n -= a.weight; n < 0 {
			a.do()
			return
		}
	}
}

func (c *callerNode) sendCallIfIdle() {
	if c.openRequest == nil {
		c.sendCall()
	}
}

// checkFinalHistories starts a fresh owner, lets each caller present its window, and compares the histories.
func (w *simulation) checkFinalHistories() {
	w.replaceOwner()
	for _, c := range w.callers {
		c.checkHistory(w.currentOwner())
		for key := range c.abandoned {
			w.check(w.upstream.runs[key] == 0, "%s was abandoned as not run, and it ran", key)
		}
	}
}

// checkHistory sends a call with the whole history as its window. The call may be rejected; the window is added anyway.
func (c *callerNode) checkHistory(n *ownerNode) {
	call := caller.Call{Sequence: uint64(len(c.turns) + 1), Digest: c.digest, CallKey: c.w.newID("last"), Kind: caller.CallService,
		Service: &caller.ServiceCall{Upstream: "stock", Path: "/"}, Receipt: c.receipt, Window: c.turns}
	r := &callRequest{caller: c, ingress: c.w.ingress[0], call: call, attempt: "last", idempotent: true}
	_, err := n.shardOwner.Admit(c.w.now, r.admitRequest())
	if err != nil {
		c.w.check(errkind.Is(err, errkind.WrongSequence) || errkind.Is(err, errkind.ProgramBudgetExhausted), "last call: %v", err)
	}
	turns, err := n.shardOwner.History(testTenant, c.program, 1)
	must.NoError(c.w.t, err)
	c.w.check(len(turns) >= len(c.turns), "the history has %d of %d turns", len(turns), len(c.turns))
	c.w.check(len(turns) <= len(c.turns)+1, "history has %d turns, the caller has %d", len(turns), len(c.turns))
	digest := caller.InitialDigest(c.program)
	for i, t := range turns {
		digest, err = caller.NextDigest(digest, t)
		must.NoError(c.w.t, err)
		if i+1 == len(c.turns) {
			c.w.check(digest == c.digest, "digest of the history of %s does not match", c.program)
		}
	}
}

// TestSimulation runs owners, ingress daemons, callers and the platform with random faults. It checks these invariants:
// non-idempotent calls run at most once, "not run" is true, the hash chain and the order hold, and the budget is not
// exceeded.
func TestSimulation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { runSimulation(t, newSimulation(t)) })
}

// TestSimulationWithStaleOwners guards against a replaced owner and its successor spending the same tokens. Replaced
// owners may always continue here.
func TestSimulationWithStaleOwners(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)
		w.staleOwners = true
		runSimulation(t, w)
	})
}

func runSimulation(t *rapid.T, w *simulation) {
	for range rapid.IntRange(20, 120).Draw(t, "steps") {
		w.step()
	}
	w.checkFinalHistories()
}
