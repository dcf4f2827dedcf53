package program

import (
	"fmt"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"jackdawbay.dev/api/caller"
	"jackdawbay.dev/api/errkind"
	"jackdawbay.dev/core/journal"
)

// simulation is a data centre with one shard: the stored objects, owners, ingress daemons, callers, an upstream and the
// messages between them. It checks the invariants during the run.
type simulation struct {
	t   *rapid.T
	now time.Time

	budget     int64 // Token budget of each program.
	withOrders bool  // Callers also make non-idempotent calls.
	// staleOwners lets replaced owners continue until they observe their replacement. A stale owner and its successor
	// do not observe each other's attempts. The budget must hold for the attempts of both together.
	staleOwners bool

	objects     map[string][]journal.Segment // Stored segments by incarnation, from slot 1.
	chain       []chainLink                  // Journals and checkpoints that the next owner replays, as in the roster.
	owners      []*ownerNode                 // The last one is in the roster; others may be stale.
	ingress     []*ingressNode
	callers     []*callerNode
	undelivered []message
	upstream    simulatedUpstream
	lastID      int
}

// chainLink is a journal or a checkpoint in the chain of the shard.
type chainLink struct {
	incarnation string
	firstSlot   uint64
	checkpoint  []journal.Segment
}

type message struct {
	name   string
	handle func()
}

func (sim *simulation) newID(prefix string) string {
	sim.lastID++
	return fmt.Sprintf("%s-%d", prefix, sim.lastID)
}

func (sim *simulation) sendMessage(name string, handle func()) {
	// The limit of undelivered messages keeps the runs short. Further messages are lost.
	if len(sim.undelivered) < 12 {
		sim.undelivered = append(sim.undelivered, message{name, handle})
	}
}

func (sim *simulation) check(ok bool, format string, args ...any) {
	if !ok {
		sim.t.Fatalf(format, args...)
	}
}

// simulatedUpstream records the calls that ran.
type simulatedUpstream struct {
	runs         map[string]int   // Number of runs by call key.
	tokens       map[string]int64 // Used tokens by program.
	lastSequence map[string]uint64
}

func (sim *simulation) runCall(r *callRequest, a Admission) caller.Turn {
	c := r.call
	if !r.idempotent {
		sim.check(sim.upstream.runs[c.CallKey] == 0, "call key %s ran twice", c.CallKey)
	}
	sim.check(!r.reportedNotRun, "attempt %s of %s runs after its response reported not run", r.attempt, c.CallKey)
	sim.check(c.Sequence >= sim.upstream.lastSequence[r.caller.program], "sequence %d runs after %d", c.Sequence, sim.upstream.lastSequence[r.caller.program])
	sim.upstream.lastSequence[r.caller.program] = c.Sequence
	sim.upstream.runs[c.CallKey]++
	turn := caller.Turn{Sequence: c.Sequence, CallKey: c.CallKey, Kind: c.Kind, Model: c.Model, Service: c.Service}
	if c.Kind == caller.CallService {
		turn.Response = &caller.ServiceResponse{Status: 200}
		return turn
	}
	// Each run returns a different text, as engines do. Most runs use all tokens that they may use.
	turn.Message = &caller.Message{Role: "assistant", Content: caller.Text(sim.newID("text"))}
	turn.Usage = caller.Usage{PromptTokens: a.HistoryTokens + 5, CompletionTokens: 2}
	if sim.drawIndex(4, "full use unless 0") != 0 {
		turn.Usage = caller.Usage{PromptTokens: a.TokenUpperBound - a.MaxTokens, CompletionTokens: a.MaxTokens}
	}
	sim.countTokens(r, turn.Usage.Total())
	return turn
}

func (sim *simulation) countTokens(r *callRequest, n int64) {
	sim.upstream.tokens[r.caller.program] += n
	used := sim.upstream.tokens[r.caller.program]
	sim.check(used <= sim.budget, "program used %d of %d tokens", used, sim.budget)
}

func (sim *simulation) drawBool(label string) bool { return rapid.Bool().Draw(sim.t, label) }

func (sim *simulation) drawIndex(n int, label string) int {
	return rapid.IntRange(0, n-1).Draw(sim.t, label)
}

// ownerNode is a daemon that owns the shard, or a stale owner that has not observed that it was replaced.
type ownerNode struct {
	sim               *simulation
	shardOwner        *Owner
	nodeIncarnation   string
	running           bool
	waitingAdmissions []waitingAdmission
}

// waitingAdmission is an admission that waits until its journal entry is durable.
type waitingAdmission struct {
	req       *callRequest
	admission Admission
}

func (sim *simulation) currentOwner() *ownerNode { return sim.owners[len(sim.owners)-1] }

// drawOwner returns the owner according to a roster that may be stale.
func (sim *simulation) drawOwner() *ownerNode {
	if sim.drawBool("newest roster") {
		return sim.currentOwner()
	}
	return sim.owners[sim.drawIndex(len(sim.owners), "owner")]
}

func (n *ownerNode) admit(r *callRequest) {
	if !n.running {
		return
	}
	a, err := n.shardOwner.Admit(n.sim.now, r.admitRequest())
	switch {
	case err != nil:
		n.respond(r, nil, err)
	case a.RecordedResult != nil:
		n.respond(r, a.RecordedResult, nil)
	case a.RequiredLSN > n.shardOwner.Journal().DurableLSN():
		n.waitingAdmissions = append(n.waitingAdmissions, waitingAdmission{r, a})
	default:
		n.sim.sendMessage("admission "+r.attempt, func() { r.ingress.handleAdmission(r, a) })
	}
}

// respond sends the response of an admission to its ingress, and checks its "not run" value. The owner in the roster
// must have a record of every run of the call key. The "not run" of a stale owner applies only to this attempt.
func (n *ownerNode) respond(r *callRequest, result *caller.Result, err error) {
	if err != nil && errkind.NewBody(err).Error.NotRun == errkind.NotRunTrue {
		stale := n != n.sim.currentOwner()
		n.sim.check(r.idempotent || stale || n.sim.upstream.runs[r.call.CallKey] == 0, "the response reports not run for %s, which ran: %v", r.call.CallKey, err)
	}
	n.sim.sendMessage(fmt.Sprintf("response %s %v", r.attempt, err), func() {
		// Once the call was sent, the ingress ignores responses to duplicates of the admit request.
		if !r.sent {
			r.ingress.handleResponse(r, result, err)
		}
	})
}

// flush attempts one create, whose response may be lost.
func (n *ownerNode) flush() {
	at, ok := n.shardOwner.Journal().NextFlushTime()
	if !ok || !n.running {
		return
	}
	s, _ := n.shardOwner.Journal().NextSegment(laterOf(n.sim.now, at))
	result := n.sim.drawIndex(3, "create: stored, response lost, not stored")
	if result == 2 {
		n.shardOwner.Journal().CreateFailed()
		return
	}
	stored := n.sim.objects[n.nodeIncarnation]
	if uint64(len(stored)) >= s.Slot {
		n.shardOwner.Journal().ResolveConflict(stored[s.Slot-1], 0)
	} else {
		n.sim.objects[n.nodeIncarnation] = append(stored, s)
		if result == 1 {
			n.shardOwner.Journal().CreateFailed()
			return
		}
		n.shardOwner.Journal().CreateSucceeded(0)
	}
	n.releaseAdmissions()
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// releaseAdmissions responds to the admissions whose entries are durable, or to all if the journal was sealed.
func (n *ownerNode) releaseAdmissions() {
	var remaining []waitingAdmission
	for _, x := range n.waitingAdmissions {
		switch {
		case n.shardOwner.Journal().IsFenced():
			n.respond(x.req, nil, errkind.New(errkind.NotOwner, "").WithNotRun(errkind.NotRunTrue))
		case x.admission.RequiredLSN <= n.shardOwner.Journal().DurableLSN():
			n.sim.sendMessage("admission "+x.req.attempt, func() { x.req.ingress.handleAdmission(x.req, x.admission) })
		default:
			remaining = append(remaining, x)
		}
	}
	n.waitingAdmissions = remaining
}

// cancelAdmission rejects an admission whose entry does not become durable in time.
func (n *ownerNode) cancelAdmission() {
	if len(n.waitingAdmissions) == 0 || !n.running {
		return
	}
	x := n.waitingAdmissions[0]
	n.sim.t.Logf("%s cancels the waiting admission %s", n.nodeIncarnation, x.req.attempt)
	n.waitingAdmissions = n.waitingAdmissions[1:]
	c := Completion{Tenant: testTenant, Program: x.req.caller.program, Attempt: x.req.attempt, Call: x.req.call, Outcome: OutcomeNotSent}
	if _, err := n.shardOwner.Complete(n.sim.now, c); err != nil {
		return
	}
	n.respond(x.req, nil, errkind.New(errkind.StoreUnavailable, ""))
}

func (n *ownerNode) complete(c Completion, r *callRequest) {
	if !n.running {
		return
	}
	result, err := n.shardOwner.Complete(n.sim.now, c)
	if c.Outcome == OutcomeDone {
		n.sim.sendMessage(fmt.Sprintf("outcome %s %v", r.attempt, err), func() { r.ingress.handleResponse(r, result, err) })
	}
}

// ingressNode is a daemon that sends calls to the upstream.
type ingressNode struct {
	sim             *simulation
	nodeIncarnation string
	running         bool
}

// callRequest is one request of a caller, with the attempt that the ingress creates for it.
type callRequest struct {
	caller         *callerNode
	ingress        *ingressNode
	call           caller.Call
	attempt        string
	idempotent     bool
	callerWaiting  bool // The caller waits for the response.
	sent           bool
	cancelled      bool // The ingress cancelled the attempt and will not send it.
	reportedNotRun bool
}

func (r *callRequest) admitRequest() AdmitRequest {
	a := AdmitRequest{Tenant: testTenant, Program: r.caller.program, Call: r.call, Attempt: r.attempt,
		Ingress: r.ingress.nodeIncarnation, Idempotent: r.idempotent, ExpiresAt: r.ingress.sim.now.Add(10 * time.Second)}
	if r.call.Service != nil {
		a.Upstream = r.call.Service.Upstream
	}
	return a
}

func (n *ingressNode) handleAdmission(r *callRequest, a Admission) {
	if !n.running || r.sent || r.cancelled {
		return
	}
	c := Completion{Tenant: testTenant, Program: r.caller.program, Attempt: r.attempt, Call: r.call}
	if !r.callerWaiting {
		r.cancelled = true
		c.Outcome = OutcomeNotSent
		n.reportOutcome(c, r)
		return
	}
	r.sent = true
	c.Turn, c.Outcome = n.sim.runCall(r, a), OutcomeDone
	if n.sim.drawIndex(5, "upstream response: one in five is lost") == 0 {
		c.Turn, c.Outcome = caller.Turn{}, OutcomeFailed
	}
	n.reportOutcome(c, r)
}

func (n *ingressNode) reportOutcome(c Completion, r *callRequest) {
	owner := n.sim.drawOwner()
	n.sim.sendMessage(fmt.Sprintf("complete %s %s to %s", r.attempt, c.Outcome, owner.nodeIncarnation), func() { owner.complete(c, r) })
}

func (n *ingressNode) handleResponse(r *callRequest, result *caller.Result, err error) {
	if !n.running || !r.callerWaiting {
		return
	}
	r.callerWaiting = false
	if err != nil && !r.sent {
		// An admission of the same attempt that arrives late must not be sent after the caller received the response.
		r.cancelled = true
	}
	if err != nil && errkind.NewBody(err).Error.NotRun == errkind.NotRunTrue {
		n.sim.check(!r.sent, "the response reports not run for attempt %s, which was sent: %v", r.attempt, err)
		r.reportedNotRun = true
	}
	r.caller.handleResponse(r, result, err)
}

// sealJournal writes a seal into the next free slot of an incarnation's journal.
func (sim *simulation) sealJournal(incarnation string) {
	slots := sim.objects[incarnation]
	if len(slots) > 0 && slots[len(slots)-1].Seal != nil {
		return
	}
	seal := journal.Segment{Incarnation: incarnation, Slot: uint64(len(slots) + 1), FlushID: "seal", Seal: &journal.Seal{By: "x"}}
	sim.objects[incarnation] = append(slots, seal)
}

// startOwner starts an owner that has replayed the chain, and adds it to the roster.
func (sim *simulation) startOwner() {
	n := &ownerNode{sim: sim, nodeIncarnation: sim.newID("owner"), running: true}
	cfg := testConfig(n.nodeIncarnation)
	n.shardOwner = NewOwner(cfg)
	r := NewReplay(testShard)
	for _, l := range sim.chain {
		if l.checkpoint != nil {
			replay(sim.t, r, l.checkpoint)
		}
		replay(sim.t, r, sim.objects[l.incarnation][l.firstSlot-1:])
	}
	must.NoError(sim.t, r.Check())
	sim.owners = append(sim.owners, n)
	sim.chain = append(sim.chain, chainLink{incarnation: n.nodeIncarnation, firstSlot: 1})
	n.shardOwner.OpenShard(sim.now, testShard, uint64(len(sim.owners)), r)
}
