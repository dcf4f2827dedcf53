package program

import (
	"crypto/sha256"
	"flag"
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"jackdawbay.dev/api/caller"
	"jackdawbay.dev/api/errkind"
	"jackdawbay.dev/core/journal"
)

// The exploration runs two daemons A and B, one program and two non-idempotent calls through every order of the steps
// of the intent protocol, up to a given depth. A owns the shard first, B after the takeover. Both are ingress daemons
// too. Each state is reached by replaying its steps on the real state machines; there is no separate model.

// exploreStep is one transition, described by its value.
type exploreStep string

const (
	admitA         exploreStep = "the current call is sent to owner A"
	admitB         exploreStep = "the current call is sent to owner B"
	storeA         exploreStep = "owner A's create is stored and its response arrives"
	storeALost     exploreStep = "owner A's create is stored, its response is lost"
	storeAFail     exploreStep = "owner A's create fails"
	storeB         exploreStep = "owner B's create is stored and its response arrives"
	sendAttempt    exploreStep = "the oldest admitted attempt is sent"
	crashIngress   exploreStep = "the ingress of the oldest admitted attempt crashes"
	cancelAttempt  exploreStep = "the ingress of the oldest admitted attempt cancels it"
	deliverToA     exploreStep = "the oldest outcome reaches owner A"
	deliverToB     exploreStep = "the oldest outcome reaches owner B"
	dropOutcome    exploreStep = "the oldest outcome is lost"
	takeOverByB    exploreStep = "A is suspected, its journal sealed, and B opens the shard"
	crashA         exploreStep = "A crashes"
	expireAttempts exploreStep = "the attempts in flight expire"
)

var allSteps = []exploreStep{admitA, admitB, storeA, storeALost, storeAFail, storeB, sendAttempt, crashIngress,
	cancelAttempt, deliverToA, deliverToB, dropOutcome, takeOverByB, crashA, expireAttempts}

// exploreDepth is the number of steps. If one of the protocol's safeguards is missing, at most seven steps reveal it.
var exploreDepth = flag.Int("explore.depth", 7, "steps of the exploration of the intent protocol")

// exploreState is the state of both daemons, the stored journal of A, and the messages in flight.
type exploreState struct {
	id          string
	a, b        *Owner
	crashedA    bool
	segmentsA   []journal.Segment // Stored journal of A.
	attempts    int
	admitted    []exploreAttempt
	outcomes    []Completion
	runs        map[string]int
	currentCall int // Index of the current call, 0 or 1.
	calls       [2]caller.Call
	failure     string
}

type exploreAttempt struct {
	attempt     string
	call        caller.Call
	owner       *Owner
	requiredLSN journal.LSN
}

func newExploreState() *exploreState {
	w := &exploreState{id: testID(0), runs: map[string]int{}}
	w.a = openOwner(nil)
	created, err := w.a.Create(testStart, testTenant, w.id, caller.CreateProgram{}, testLimits())
	if err != nil {
		panic(err)
	}
	w.segmentsA = flush(w.a)
	for i := range w.calls {
		w.calls[i] = serviceCall(w.a, w.id, []string{"k1", "k2"}[i])
		w.calls[i].Receipt = created.Receipt
	}
	return w
}

// canApply reports whether a step is possible in this state.
func (w *exploreState) canApply(s exploreStep) bool {
	switch s {
	case admitA:
		return !w.crashedA && w.attempts < 4
	case admitB:
		return w.b != nil && w.attempts < 4
	case storeA, storeALost, storeAFail:
		_, ok := w.a.Journal().NextFlushTime()
		return ok && !w.crashedA
	case storeB:
		return w.b != nil && w.b.Journal().BacklogBytes() > 0
	case sendAttempt:
		return len(w.admitted) > 0 && w.admitted[0].requiredLSN <= w.admitted[0].owner.Journal().DurableLSN()
	case crashIngress, cancelAttempt:
		return len(w.admitted) > 0
	case deliverToA:
		return len(w.outcomes) > 0 && !w.crashedA
	case deliverToB:
		return len(w.outcomes) > 0 && w.b != nil
	case dropOutcome:
		return len(w.outcomes) > 0
	case takeOverByB:
		return w.b == nil
	case crashA:
		return !w.crashedA
	default:
		return true
	}
}

func (w *exploreState) apply(s exploreStep) {
	switch s {
	case admitA:
		w.admit(w.a)
	case admitB:
		w.admit(w.b)
	case storeA, storeALost, storeAFail:
		w.storeSegmentA(s)
	case storeB:
		flush(w.b)
	case sendAttempt, crashIngress, cancelAttempt:
		w.handleAdmitted(s)
	case deliverToA, deliverToB, dropOutcome:
		w.handleOutcome(s)
	case takeOverByB:
		w.takeOver()
	case crashA:
		w.crashedA = true
	case expireAttempts:
		w.expireAttempts()
	}
}

func (w *exploreState) admit(o *Owner) {
	w.attempts++
	attempt := string(rune('0' + w.attempts))
	c := w.calls[w.currentCall]
	a, err := o.Admit(testStart, request(w.id, c, attempt))
	if err == nil && a.RecordedResult != nil {
		w.advanceToSecondCall(a.RecordedResult.Turn, a.RecordedResult.Digest, a.RecordedResult.Receipt)
		return
	}
	if err == nil {
		w.admitted = append(w.admitted, exploreAttempt{attempt, c, o, a.RequiredLSN})
		return
	}
	if errkind.NewBody(err).Error.NotRun == errkind.NotRunTrue && (o == w.b || w.b == nil) && w.runs[c.CallKey] > 0 {
		w.failure = "the response reports not run for " + c.CallKey + ", which ran: " + err.Error()
	}
	if errkind.Is(err, errkind.OutcomeUnknown) && w.currentCall == 0 {
		// The caller continues with its second call at the same sequence.
		w.currentCall = 1
	}
}

// advanceToSecondCall prepares the second call after the first one returned a result.
func (w *exploreState) advanceToSecondCall(t caller.Turn, digest, receipt string) {
	if w.currentCall != 0 || t.CallKey != "k1" {
		return
	}
	w.currentCall = 1
	c := &w.calls[1]
	c.Sequence, c.Digest, c.Receipt, c.Window = 2, digest, receipt, []caller.Turn{t}
}

func (w *exploreState) storeSegmentA(s exploreStep) {
	at, _ := w.a.Journal().NextFlushTime()
	segment, _ := w.a.Journal().NextSegment(at)
	if uint64(len(w.segmentsA)) >= segment.Slot {
		w.a.Journal().ResolveConflict(w.segmentsA[segment.Slot-1], 0)
		return
	}
	if s != storeAFail {
		w.segmentsA = append(w.segmentsA, segment)
	}
	if s == storeA {
		w.a.Journal().CreateSucceeded(0)
	} else {
		w.a.Journal().CreateFailed()
	}
}

func (w *exploreState) handleAdmitted(s exploreStep) {
	x := w.admitted[0]
	w.admitted = w.admitted[1:]
	c := completion(w.id, x.call, x.attempt)
	switch s {
	case crashIngress:
		return
	case cancelAttempt:
		c.Outcome = OutcomeNotSent
	default:
		w.runs[x.call.CallKey]++
		if w.runs[x.call.CallKey] > 1 {
			w.failure = "call key " + x.call.CallKey + " ran twice"
		}
	}
	w.outcomes = append(w.outcomes, c)
}

func (w *exploreState) handleOutcome(s exploreStep) {
	c := w.outcomes[0]
	w.outcomes = w.outcomes[1:]
	if s == dropOutcome {
		return
	}
	o := w.a
	if s == deliverToB {
		o = w.b
	}
	r, err := o.Complete(testStart, c)
	if err == nil && r != nil {
		w.advanceToSecondCall(r.Turn, r.Digest, r.Receipt)
	}
	if err != nil && c.Outcome == OutcomeDone && errkind.NewBody(err).Error.NotRun == errkind.NotRunTrue {
		w.failure = "the response to a completion reports not run: " + err.Error()
	}
}

func (w *exploreState) takeOver() {
	seal := journal.Segment{Incarnation: "vm-1-a", Slot: uint64(len(w.segmentsA) + 1), Seal: &journal.Seal{By: "B"}}
	w.segmentsA = append(w.segmentsA, seal)
	r := NewReplay(testShard)
	reader := journal.NewReader("vm-1-a", 1)
	for _, s := range w.segmentsA {
		entries, err := reader.Add(s)
		for _, e := range entries {
			if err == nil {
				err = r.Apply(e)
			}
		}
		if err != nil {
			w.failure = err.Error()
		}
	}
	w.b = NewOwner(testConfig("vm-2-b"))
	w.b.OpenShard(testStart, testShard, 2, r)
}

func (w *exploreState) expireAttempts() {
	if !w.crashedA {
		w.a.AbandonIngressAttempts("in-1")
	}
	if w.b != nil {
		w.b.AbandonIngressAttempts("in-1")
	}
}

// hash returns a hash of the state, so that each state is expanded once.
func (w *exploreState) hash() [sha256.Size]byte {
	h := sha256.New()
	for _, o := range []*Owner{w.a, w.b} {
		if o != nil {
			fmt.Fprint(h, snapshot(o), o.Journal().DebugString())
		}
	}
	for _, s := range w.segmentsA {
		fmt.Fprint(h, s.Slot, s.Seal != nil)
		for _, f := range s.Frames {
			h.Write(f.Entry)
		}
	}
	for _, x := range w.admitted {
		fmt.Fprint(h, x.attempt, x.call.CallKey, x.owner.cfg.Incarnation, x.requiredLSN)
	}
	for _, c := range w.outcomes {
		fmt.Fprint(h, c.Attempt, c.Outcome, c.Call.CallKey, c.Call.Sequence)
	}
	fmt.Fprint(h, w.crashedA, w.attempts, w.runs, w.currentCall, w.calls[1].Sequence, w.calls[1].Digest)
	return [sha256.Size]byte(h.Sum(nil))
}

// TestExploreIntentProtocol guards against sequences of crashes, pauses and lost responses, up to the exploration
// depth, that run a non-idempotent call twice or report a false "not run".
func TestExploreIntentProtocol(t *testing.T) {
	states, transitions := explore(t)
	t.Logf("%d states and %d transitions up to depth %d", states, transitions, *exploreDepth)
	must.Greater(t, 1000, states)
}

func explore(t *testing.T) (states, transitions int) {
	seen := map[[sha256.Size]byte]bool{newExploreState().hash(): true}
	level := [][]exploreStep{nil}
	for range *exploreDepth {
		var next [][]exploreStep
		for _, path := range level {
			for _, s := range applicableSteps(path) {
				w := replaySteps(path, s)
				transitions++
				if w.failure != "" {
					t.Fatalf("%s after %q then %q", w.failure, path, s)
				}
				if key := w.hash(); !seen[key] {
					seen[key] = true
					next = append(next, append(path[:len(path):len(path)], s))
				}
			}
		}
		level = next
	}
	return len(seen), transitions
}

func applicableSteps(path []exploreStep) []exploreStep {
	w := replaySteps(path)
	var applicable []exploreStep
	for _, s := range allSteps {
		if w.canApply(s) {
			applicable = append(applicable, s)
		}
	}
	return applicable
}

func replaySteps(path []exploreStep, steps ...exploreStep) *exploreState {
	w := newExploreState()
	for _, s := range append(path[:len(path):len(path)], steps...) {
		w.apply(s)
	}
	return w
}
