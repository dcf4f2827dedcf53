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
	sim := &simulation{t: t, now: testStart, objects: map[string][]journal.Segment{}}
	sim.upstream = simulatedUpstream{runs: map[string]int{}, tokens: map[string]int64{}, lastSequence: map[string]uint64{}}
	// Small budgets are exhausted within a run, so that an uncounted token causes a failure.
	sim.budget = rapid.SampledFrom([]int64{120, 200, 300, 500, 5000}).Draw(t, "budget")
	sim.withOrders, sim.staleOwners = sim.drawBool("orders"), sim.drawBool("staleOwners")
	sim.startOwner()
	for range 2 {
		sim.ingress = append(sim.ingress, &ingressNode{sim: sim, nodeIncarnation: sim.newID("ingress"), running: true})
		sim.callers = append(sim.callers, newCaller(sim, len(sim.callers)))
	}
	return sim
}

func (sim *simulation) drawCaller() *callerNode {
	return sim.callers[sim.drawIndex(len(sim.callers), "caller")]
}

func (sim *simulation) deliverMessage() {
	if len(sim.undelivered) == 0 {
		return
	}
	i := sim.drawIndex(len(sim.undelivered), "message")
	m := sim.undelivered[i]
	sim.undelivered = append(sim.undelivered[:i:i], sim.undelivered[i+1:]...)
	sim.t.Logf("deliver %s", m.name)
	m.handle()
}

func (sim *simulation) duplicateMessage() {
	if len(sim.undelivered) > 0 {
		m := sim.undelivered[sim.drawIndex(len(sim.undelivered), "message")]
		sim.t.Logf("deliver a copy of %s", m.name)
		m.handle()
	}
}

func (sim *simulation) dropMessage() {
	if len(sim.undelivered) > 0 {
		i := sim.drawIndex(len(sim.undelivered), "message")
		sim.undelivered = append(sim.undelivered[:i:i], sim.undelivered[i+1:]...)
	}
}

// replaceOwner seals the journal of the current owner and starts another one. The old owner crashes, or continues as a
// stale owner.
func (sim *simulation) replaceOwner() {
	sim.t.Log("replaceOwner")
	n := sim.currentOwner()
	n.running = sim.staleOwners && sim.drawBool("the old owner continues")
	sim.sealJournal(n.nodeIncarnation)
	sim.startOwner()
}

// handOver moves the shard in a planned handover. If the flushes fail, the journal is sealed as after a failure.
func (sim *simulation) handOver() {
	sim.t.Log("handOver")
	n := sim.currentOwner()
	if !n.running {
		return
	}
	lsn, err := n.shardOwner.CloseShard(testShard)
	for i := 0; err == nil && i < 4 && n.shardOwner.Journal().DurableLSN() < lsn; i++ {
		n.flush()
	}
	if err != nil || n.shardOwner.Journal().DurableLSN() < lsn {
		sim.sealJournal(n.nodeIncarnation)
	}
	sim.startOwner()
}

// checkpoint takes a checkpoint, and replaces the chain by it if the CheckpointStart entry is durable.
func (sim *simulation) checkpoint() {
	sim.t.Log("checkpoint")
	n := sim.currentOwner()
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
		sim.chain = []chainLink{{checkpoint: segments, incarnation: n.nodeIncarnation, firstSlot: slot}}
	}
}

func (sim *simulation) crashIngress() {
	sim.t.Log("crashIngress")
	i := sim.drawIndex(len(sim.ingress), "ingress")
	old := sim.ingress[i]
	old.running = false
	sim.ingress[i] = &ingressNode{sim: sim, nodeIncarnation: sim.newID("ingress"), running: true}
	for _, c := range sim.callers {
		if c.openRequest != nil && c.openRequest.ingress == old {
			c.openRequest.callerWaiting = false
			c.openRequest = nil
		}
	}
	for _, n := range sim.owners {
		if n.running && sim.drawBool("owner observes the crash") {
			n.shardOwner.AbandonIngressAttempts(old.nodeIncarnation)
		}
	}
}

func (sim *simulation) advanceTime() {
	sim.t.Log("advanceTime")
	sim.now = sim.now.Add(11 * time.Second)
	for _, n := range sim.owners {
		if n.running {
			n.shardOwner.Tick(sim.now)
		}
	}
}

// resolveUnknown records the outcome of a call whose sender crashed, as an operator does after checking the upstream.
func (sim *simulation) resolveUnknown() {
	sim.t.Log("resolveUnknown")
	n := sim.currentOwner()
	c := sim.drawCaller()
	p, ok := n.shardOwner.programs[c.program]
	if !ok || !n.running || c.openRequest != nil {
		return
	}
	for key, in := range p.intents {
		if in.outcomeUnknown && sim.upstream.runs[key] > 0 {
			must.NoError(sim.t, n.shardOwner.Resolve(c.program, key, true, "looked up"))
			return
		}
	}
}

func (sim *simulation) step() {
	actions := []struct {
		weight int
		do     func()
	}{
		{8, sim.deliverMessage}, {8, sim.deliverMessage}, {8, sim.deliverMessage}, {6, func() { sim.owners[sim.drawIndex(len(sim.owners), "owner")].flush() }},
		{4, func() { sim.currentOwner().flush() }}, {6, func() { sim.drawCaller().sendCallIfIdle() }}, {2, func() { sim.drawCaller().sendCall() }},
		{1, func() { sim.drawCaller().abandonCall() }}, {2, sim.duplicateMessage}, {1, sim.dropMessage}, {1, sim.replaceOwner}, {1, sim.handOver},
		{1, sim.checkpoint}, {1, sim.crashIngress}, {1, sim.advanceTime}, {1, sim.resolveUnknown}, {1, func() { sim.currentOwner().cancelAdmission() }},
	}
	total := 0
	for _, a := range actions {
		total += a.weight
	}
	n := sim.drawIndex(total, "action")
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
func (sim *simulation) checkFinalHistories() {
	sim.replaceOwner()
	for _, c := range sim.callers {
		c.checkHistory(sim.currentOwner())
		for key := range c.abandoned {
			sim.check(sim.upstream.runs[key] == 0, "%s was abandoned as not run, and it ran", key)
		}
	}
}

// checkHistory sends a call with the whole history as its window. The call may be rejected; the window is added anyway.
func (c *callerNode) checkHistory(n *ownerNode) {
	call := caller.Call{Sequence: uint64(len(c.turns) + 1), Digest: c.digest, CallKey: c.sim.newID("last"), Kind: caller.CallService,
		Service: &caller.ServiceCall{Upstream: "stock", Path: "/"}, Receipt: c.receipt, Window: c.turns}
	r := &callRequest{caller: c, ingress: c.sim.ingress[0], call: call, attempt: "last", idempotent: true}
	_, err := n.shardOwner.Admit(c.sim.now, r.admitRequest())
	if err != nil {
		c.sim.check(errkind.Is(err, errkind.WrongSequence) || errkind.Is(err, errkind.ProgramBudgetExhausted), "last call: %v", err)
	}
	turns, err := n.shardOwner.History(testTenant, c.program, 1)
	must.NoError(c.sim.t, err)
	c.sim.check(len(turns) >= len(c.turns), "the history has %d of %d turns", len(turns), len(c.turns))
	c.sim.check(len(turns) <= len(c.turns)+1, "history has %d turns, the caller has %d", len(turns), len(c.turns))
	digest := caller.InitialDigest(c.program)
	for i, t := range turns {
		digest, err = caller.NextDigest(digest, t)
		must.NoError(c.sim.t, err)
		if i+1 == len(c.turns) {
			c.sim.check(digest == c.digest, "digest of the history of %s does not match", c.program)
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
		sim := newSimulation(t)
		sim.staleOwners = true
		runSimulation(t, sim)
	})
}

func runSimulation(t *rapid.T, sim *simulation) {
	for range rapid.IntRange(20, 120).Draw(t, "steps") {
		sim.step()
	}
	sim.checkFinalHistories()
}
