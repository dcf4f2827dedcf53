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

// world is a data centre with one shard: the platform's objects, owners, ingress daemons, callers, an upstream and the
// messages between them. It checks the invariants as it goes.
type simulation struct {
	t   *rapid.T
	now time.Time

	budget     int64 // Of each program.
	withOrders bool  // Callers place orders too.
	// staleOwners lets replaced owners go on until they notice. Such an owner and its successor do not know each other's
	// attempts; the budget holds for the attempts of both together.
	staleOwners bool

	objects     map[string][]journal.Segment // Stored segments by incarnation, slot 1 first.
	chain       []chainLink                  // What the next owner replays, as in the roster.
	owners      []*ownerNode                 // The last one is in the roster; others may go on unaware.
	ingress     []*ingressNode
	callers     []*callerNode
	undelivered []message
	upstream    simulatedUpstream
	lastID      int
}

// link is a journal or checkpoint in the chain of the shard.
type chainLink struct {
	incarnation string
	firstSlot   uint64
	checkpoint  []journal.Segment
}

type message struct {
	name   string
	handle func()
}

func (w *simulation) newID(prefix string) string {
	w.lastID++
	return fmt.Sprintf("%s-%d", prefix, w.lastID)
}

func (w *simulation) sendMessage(name string, do func()) {
	// A bound on the network keeps the runs short; a message beyond it is lost.
	if len(w.undelivered) < 12 {
		w.undelivered = append(w.undelivered, message{name, do})
	}
}

func (w *simulation) check(ok bool, format string, args ...any) {
	if !ok {
		w.t.Fatalf(format, args...)
	}
}

// upstream counts what really ran.
type simulatedUpstream struct {
	runs         map[string]int   // By call key.
	tokens       map[string]int64 // By program.
	lastSequence map[string]uint64
}

func (w *simulation) runCall(r *callRequest, a Admission) caller.Turn {
	c := r.call
	if !r.idempotent {
		w.check(w.upstream.runs[c.CallKey] == 0, "call key %s ran twice", c.CallKey)
	}
	w.check(!r.reportedNotRun, "attempt %s of %s runs after its answer said not run", r.attempt, c.CallKey)
	w.check(c.Sequence >= w.upstream.lastSequence[r.caller.program], "sequence %d runs after %d", c.Sequence, w.upstream.lastSequence[r.caller.program])
	w.upstream.lastSequence[r.caller.program] = c.Sequence
	w.upstream.runs[c.CallKey]++
	turn := caller.Turn{Sequence: c.Sequence, CallKey: c.CallKey, Kind: c.Kind, Model: c.Model, Service: c.Service}
	if c.Kind == caller.CallService {
		turn.Response = &caller.ServiceResponse{Status: 200}
		return turn
	}
	// Each run gives another text, as engines do, and most take all that they may.
	turn.Message = &caller.Message{Role: "assistant", Content: caller.Text(w.newID("text"))}
	turn.Usage = caller.Usage{PromptTokens: a.HistoryTokens + 5, CompletionTokens: 2}
	if w.drawIndex(4, "full use unless 0") != 0 {
		turn.Usage = caller.Usage{PromptTokens: a.TokenUpperBound - a.MaxTokens, CompletionTokens: a.MaxTokens}
	}
	w.countTokens(r, turn.Usage.Total())
	return turn
}

func (w *simulation) countTokens(r *callRequest, n int64) {
	w.upstream.tokens[r.caller.program] += n
	used := w.upstream.tokens[r.caller.program]
	w.check(used <= w.budget, "program used %d of %d tokens", used, w.budget)
}

func (w *simulation) drawBool(label string) bool { return rapid.Bool().Draw(w.t, label) }

func (w *simulation) drawIndex(n int, label string) int {
	return rapid.IntRange(0, n-1).Draw(w.t, label)
}

// ownerNode is a daemon that owns, or believes to own, the shard.
type ownerNode struct {
	w                 *simulation
	shardOwner        *Owner
	nodeIncarnation   string
	running           bool
	waitingAdmissions []waitingAdmission
}

// waiter is an admission that waits until its entry is durable.
type waitingAdmission struct {
	req *callRequest
	adm Admission
}

func (w *simulation) currentOwner() *ownerNode { return w.owners[len(w.owners)-1] }

// drawOwner is the owner that a possibly stale roster names.
func (w *simulation) drawOwner() *ownerNode {
	if w.drawBool("newest roster") {
		return w.currentOwner()
	}
	return w.owners[w.drawIndex(len(w.owners), "owner")]
}

func (n *ownerNode) admit(r *callRequest) {
	if !n.running {
		return
	}
	a, err := n.shardOwner.Admit(n.w.now, r.admitRequest())
	switch {
	case err != nil:
		n.respond(r, nil, err)
	case a.RecordedResult != nil:
		n.respond(r, a.RecordedResult, nil)
	case a.RequiredLSN > n.shardOwner.Journal().DurableLSN():
		n.waitingAdmissions = append(n.waitingAdmissions, waitingAdmission{r, a})
	default:
		n.w.sendMessage("admission "+r.attempt, func() { r.ingress.handleAdmission(r, a) })
	}
}

// answer sends the end of an admission to its ingress, and checks what it says about the call key. The owner in the
// roster must know every run; a replaced one that has not noticed can only speak of this attempt.
func (n *ownerNode) respond(r *callRequest, result *caller.Result, err error) {
	if err != nil && errkind.BodyOf(err).Error.NotRun == errkind.NotRunTrue {
		stale := n != n.w.currentOwner()
		n.w.check(r.idempotent || stale || n.w.upstream.runs[r.call.CallKey] == 0, "not run is said of %s, which ran: %v", r.call.CallKey, err)
	}
	n.w.sendMessage(fmt.Sprintf("answer %s %v", r.attempt, err), func() {
		// After an admission was followed, answers to duplicates of its message mean nothing.
		if !r.sent {
			r.ingress.handleResponse(r, result, err)
		}
	})
}

// flush tries one create and may lose its answer.
func (n *ownerNode) flush() {
	at, ok := n.shardOwner.Journal().NextFlushTime()
	if !ok || !n.running {
		return
	}
	s, _ := n.shardOwner.Journal().NextSegment(laterOf(n.w.now, at))
	result := n.w.drawIndex(3, "create: stored, answer lost, not stored")
	if result == 2 {
		n.shardOwner.Journal().CreateFailed()
		return
	}
	stored := n.w.objects[n.nodeIncarnation]
	if uint64(len(stored)) >= s.Slot {
		n.shardOwner.Journal().ResolveConflict(stored[s.Slot-1], 0)
	} else {
		n.w.objects[n.nodeIncarnation] = append(stored, s)
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

// release answers the admissions whose entries are durable, or all when the journal was sealed.
func (n *ownerNode) releaseAdmissions() {
	var rest []waitingAdmission
	for _, x := range n.waitingAdmissions {
		switch {
		case n.shardOwner.Journal().IsFenced():
			n.respond(x.req, nil, errkind.New(errkind.NotOwner, "").WithNotRun(errkind.NotRunTrue))
		case x.adm.RequiredLSN <= n.shardOwner.Journal().DurableLSN():
			n.w.sendMessage("admission "+x.req.attempt, func() { x.req.ingress.handleAdmission(x.req, x.adm) })
		default:
			rest = append(rest, x)
		}
	}
	n.waitingAdmissions = rest
}

// giveUp answers an admission whose entry does not get durable in time.
func (n *ownerNode) cancelAdmission() {
	if len(n.waitingAdmissions) == 0 || !n.running {
		return
	}
	x := n.waitingAdmissions[0]
	n.w.t.Logf("%s gives up waiting for %s", n.nodeIncarnation, x.req.attempt)
	n.waitingAdmissions = n.waitingAdmissions[1:]
	c := Completion{Tenant: testTenant, Program: x.req.caller.program, Attempt: x.req.attempt, Call: x.req.call, Outcome: OutcomeNotSent}
	if _, err := n.shardOwner.Complete(n.w.now, c); err != nil {
		return
	}
	n.respond(x.req, nil, errkind.New(errkind.StoreUnavailable, ""))
}

func (n *ownerNode) complete(c Completion, r *callRequest) {
	if !n.running {
		return
	}
	result, err := n.shardOwner.Complete(n.w.now, c)
	if c.Outcome == OutcomeDone {
		n.w.sendMessage(fmt.Sprintf("outcome %s %v", r.attempt, err), func() { r.ingress.handleResponse(r, result, err) })
	}
}

// ingressNode is a daemon that sends calls to the upstream.
type ingressNode struct {
	w               *simulation
	nodeIncarnation string
	running         bool
}

// callRequest is one request of a caller and the attempt that the ingress makes of it.
type callRequest struct {
	caller         *callerNode
	ingress        *ingressNode
	call           caller.Call
	attempt        string
	idempotent     bool
	callerWaiting  bool // The caller waits for the answer.
	sent           bool
	cancelled      bool // The ingress has given the attempt up and never sends it.
	reportedNotRun bool
}

func (r *callRequest) admitRequest() AdmitRequest {
	a := AdmitRequest{Tenant: testTenant, Program: r.caller.program, Call: r.call, Attempt: r.attempt,
		Ingress: r.ingress.nodeIncarnation, Idempotent: r.idempotent, ExpiresAt: r.ingress.w.now.Add(10 * time.Second)}
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
	c.Turn, c.Outcome = n.w.runCall(r, a), OutcomeDone
	if n.w.drawIndex(5, "upstream answer: one in five is lost") == 0 {
		c.Turn, c.Outcome = caller.Turn{}, OutcomeFailed
	}
	n.reportOutcome(c, r)
}

func (n *ingressNode) reportOutcome(c Completion, r *callRequest) {
	owner := n.w.drawOwner()
	n.w.sendMessage(fmt.Sprintf("complete %s %s to %s", r.attempt, c.Outcome, owner.nodeIncarnation), func() { owner.complete(c, r) })
}

func (n *ingressNode) handleResponse(r *callRequest, result *caller.Result, err error) {
	if !n.running || !r.callerWaiting {
		return
	}
	r.callerWaiting = false
	if err != nil && !r.sent {
		// A late admission of the same attempt must not be sent after the caller got its answer.
		r.cancelled = true
	}
	if err != nil && errkind.BodyOf(err).Error.NotRun == errkind.NotRunTrue {
		n.w.check(!r.sent, "not run is said of attempt %s, which was sent: %v", r.attempt, err)
		r.reportedNotRun = true
	}
	r.caller.handleResponse(r, result, err)
}

// seal writes the seal of an incarnation's journal into its next free slot.
func (w *simulation) sealJournal(inc string) {
	slots := w.objects[inc]
	if len(slots) > 0 && slots[len(slots)-1].Seal != nil {
		return
	}
	seal := journal.Segment{Incarnation: inc, Slot: uint64(len(slots) + 1), FlushID: "seal", Seal: &journal.Seal{By: "x"}}
	w.objects[inc] = append(slots, seal)
}

// open starts an owner with what the chain holds.
func (w *simulation) startOwner() {
	n := &ownerNode{w: w, nodeIncarnation: w.newID("owner"), running: true}
	cfg := testConfig(n.nodeIncarnation)
	n.shardOwner = NewOwner(cfg)
	r := NewReplay(testShard)
	for _, l := range w.chain {
		if l.checkpoint != nil {
			replay(w.t, r, l.checkpoint)
		}
		replay(w.t, r, w.objects[l.incarnation][l.firstSlot-1:])
	}
	must.NoError(w.t, r.Check())
	w.owners = append(w.owners, n)
	w.chain = append(w.chain, chainLink{incarnation: n.nodeIncarnation, firstSlot: 1})
	n.shardOwner.OpenShard(w.now, testShard, uint64(len(w.owners)), r)
}
