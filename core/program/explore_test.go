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

// The exploration runs two daemons A and B, one program and two orders through every order of the steps of the intent
// protocol within its bounds. A owns the shard first, B after the takeover. Both act as ingress too. A state is reached
// by replaying the steps to it, so the real state machines are explored, not a model of them.

// step is one transition. Its first letter names the actor, the rest what happens.
type step string

const (
	admitA    step = "the current call is sent to owner A"
	admitB    step = "the current call is sent to owner B"
	storeA    step = "owner A's create is stored and answered"
	storeLost step = "owner A's create is stored, its answer is lost"
	storeFail step = "owner A's create fails"
	storeB    step = "owner B's create is stored and answered"
	sendOne   step = "the oldest admitted attempt is sent"
	dropSend  step = "the ingress of the oldest admitted attempt crashes"
	notSent   step = "the ingress of the oldest admitted attempt gives it up"
	doneA     step = "the oldest outcome reaches owner A"
	doneB     step = "the oldest outcome reaches owner B"
	loseDone  step = "the oldest outcome is lost"
	takeover  step = "A is suspected, its journal sealed, and B opens the shard"
	killA     step = "A crashes"
	expire    step = "the attempts in flight expire"
)

var allSteps = []step{admitA, admitB, storeA, storeLost, storeFail, storeB, sendOne, dropSend, notSent, doneA, doneB,
	loseDone, takeover, killA, expire}

// exploreDepth is the number of steps. Each guard of the protocol needs at most seven to show that it is missing.
var exploreDepth = flag.Int("explore.depth", 7, "steps of the exploration of the intent protocol")

// exploreWorld is the world of the exploration.
type exploreWorld struct {
	id       string
	a, b     *Owner
	deadA    bool
	stored   []journal.Segment // A's journal.
	attempts int
	admitted []exploreAttempt
	outcomes []Completion
	runs     map[string]int
	call     int // Current call: 0 or 1.
	calls    [2]caller.Call
	failure  string
}

type exploreAttempt struct {
	attempt string
	call    caller.Call
	owner   *Owner
	await   journal.LSN
}

func newExploreWorld() *exploreWorld {
	w := &exploreWorld{id: testID(0), runs: map[string]int{}}
	w.a = openOwner(nil)
	created, err := w.a.Create(testStart, testTenant, w.id, caller.CreateProgram{}, testLimits())
	if err != nil {
		panic(err)
	}
	w.stored = flush(w.a)
	for i := range w.calls {
		w.calls[i] = serviceCall(w.a, w.id, []string{"k1", "k2"}[i])
		w.calls[i].Receipt = created.Receipt
	}
	return w
}

// possible reports whether a step can be done now.
func (w *exploreWorld) possible(s step) bool {
	switch s {
	case admitA:
		return !w.deadA && w.attempts < 4
	case admitB:
		return w.b != nil && w.attempts < 4
	case storeA, storeLost, storeFail:
		_, ok := w.a.Journal().NextFlushTime()
		return ok && !w.deadA
	case storeB:
		return w.b != nil && w.b.Journal().BacklogBytes() > 0
	case sendOne:
		return len(w.admitted) > 0 && w.admitted[0].await <= w.admitted[0].owner.Journal().DurableLSN()
	case dropSend, notSent:
		return len(w.admitted) > 0
	case doneA:
		return len(w.outcomes) > 0 && !w.deadA
	case doneB:
		return len(w.outcomes) > 0 && w.b != nil
	case loseDone:
		return len(w.outcomes) > 0
	case takeover:
		return w.b == nil
	case killA:
		return !w.deadA
	default:
		return true
	}
}

func (w *exploreWorld) apply(s step) {
	switch s {
	case admitA:
		w.admit(w.a)
	case admitB:
		w.admit(w.b)
	case storeA, storeLost, storeFail:
		w.store(s)
	case storeB:
		flush(w.b)
	case sendOne, dropSend, notSent:
		w.ingress(s)
	case doneA, doneB, loseDone:
		w.outcome(s)
	case takeover:
		w.takeOver()
	case killA:
		w.deadA = true
	case expire:
		w.expire()
	}
}

func (w *exploreWorld) admit(o *Owner) {
	w.attempts++
	attempt := string(rune('0' + w.attempts))
	c := w.calls[w.call]
	a, err := o.Admit(testStart, request(w.id, c, attempt))
	if err == nil && a.RecordedResult != nil {
		w.next(a.RecordedResult.Turn, a.RecordedResult.Digest, a.RecordedResult.Receipt)
		return
	}
	if err == nil {
		w.admitted = append(w.admitted, exploreAttempt{attempt, c, o, a.RequiredLSN})
		return
	}
	if errkind.NewBody(err).Error.NotRun == errkind.NotRunTrue && (o == w.b || w.b == nil) && w.runs[c.CallKey] > 0 {
		w.failure = "not run is said of " + c.CallKey + ", which ran: " + err.Error()
	}
	if errkind.Is(err, errkind.OutcomeUnknown) && w.call == 0 {
		// The caller goes on with its second order at the same place.
		w.call = 1
	}
}

// next moves on to the second call after the first was answered.
func (w *exploreWorld) next(t caller.Turn, digest, receipt string) {
	if w.call != 0 || t.CallKey != "k1" {
		return
	}
	w.call = 1
	c := &w.calls[1]
	c.Sequence, c.Digest, c.Receipt, c.Window = 2, digest, receipt, []caller.Turn{t}
}

func (w *exploreWorld) store(s step) {
	at, _ := w.a.Journal().NextFlushTime()
	segment, _ := w.a.Journal().NextSegment(at)
	if uint64(len(w.stored)) >= segment.Slot {
		w.a.Journal().ResolveConflict(w.stored[segment.Slot-1], 0)
		return
	}
	if s != storeFail {
		w.stored = append(w.stored, segment)
	}
	if s == storeA {
		w.a.Journal().CreateSucceeded(0)
	} else {
		w.a.Journal().CreateFailed()
	}
}

func (w *exploreWorld) ingress(s step) {
	x := w.admitted[0]
	w.admitted = w.admitted[1:]
	c := completion(w.id, x.call, x.attempt)
	switch s {
	case dropSend:
		return
	case notSent:
		c.Outcome = OutcomeNotSent
	default:
		w.runs[x.call.CallKey]++
		if w.runs[x.call.CallKey] > 1 {
			w.failure = "call key " + x.call.CallKey + " ran twice"
		}
	}
	w.outcomes = append(w.outcomes, c)
}

func (w *exploreWorld) outcome(s step) {
	c := w.outcomes[0]
	w.outcomes = w.outcomes[1:]
	if s == loseDone {
		return
	}
	o := w.a
	if s == doneB {
		o = w.b
	}
	r, err := o.Complete(testStart, c)
	if err == nil && r != nil {
		w.next(r.Turn, r.Digest, r.Receipt)
	}
	if err != nil && c.Outcome == OutcomeDone && errkind.NewBody(err).Error.NotRun == errkind.NotRunTrue {
		w.failure = "not run is said of a completion: " + err.Error()
	}
}

func (w *exploreWorld) takeOver() {
	seal := journal.Segment{Incarnation: "vm-1-a", Slot: uint64(len(w.stored) + 1), Seal: &journal.Seal{By: "B"}}
	w.stored = append(w.stored, seal)
	r := NewReplay(testShard)
	reader := journal.NewReader("vm-1-a", 1)
	for _, s := range w.stored {
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

func (w *exploreWorld) expire() {
	if !w.deadA {
		w.a.AbandonIngressAttempts("in-1")
	}
	if w.b != nil {
		w.b.AbandonIngressAttempts("in-1")
	}
}

// key identifies the state, so that each is expanded once.
func (w *exploreWorld) key() [sha256.Size]byte {
	h := sha256.New()
	for _, o := range []*Owner{w.a, w.b} {
		if o != nil {
			fmt.Fprint(h, snapshot(o), o.Journal().DebugString())
		}
	}
	for _, s := range w.stored {
		fmt.Fprint(h, s.Slot, s.Seal != nil)
		for _, f := range s.Frames {
			h.Write(f.Entry)
		}
	}
	for _, x := range w.admitted {
		fmt.Fprint(h, x.attempt, x.call.CallKey, x.owner.cfg.Incarnation, x.await)
	}
	for _, c := range w.outcomes {
		fmt.Fprint(h, c.Attempt, c.Outcome, c.Call.CallKey, c.Call.Sequence)
	}
	fmt.Fprint(h, w.deadA, w.attempts, w.runs, w.call, w.calls[1].Sequence, w.calls[1].Digest)
	return [sha256.Size]byte(h.Sum(nil))
}

// TestExploreIntentProtocol guards against any order of crashes, pauses and lost answers, within its bounds, that runs an
// order twice or states a false "not run".
func TestExploreIntentProtocol(t *testing.T) {
	states, transitions := explore(t)
	t.Logf("%d states and %d transitions up to depth %d", states, transitions, *exploreDepth)
	must.Greater(t, 1000, states)
}

func explore(t *testing.T) (states, transitions int) {
	seen := map[[sha256.Size]byte]bool{newExploreWorld().key(): true}
	level := [][]step{nil}
	for range *exploreDepth {
		var next [][]step
		for _, path := range level {
			for _, s := range possibleAfter(path) {
				w := walk(path, s)
				transitions++
				if w.failure != "" {
					t.Fatalf("%s after %q then %q", w.failure, path, s)
				}
				if key := w.key(); !seen[key] {
					seen[key] = true
					next = append(next, append(path[:len(path):len(path)], s))
				}
			}
		}
		level = next
	}
	return len(seen), transitions
}

func possibleAfter(path []step) []step {
	w := walk(path)
	var list []step
	for _, s := range allSteps {
		if w.possible(s) {
			list = append(list, s)
		}
	}
	return list
}

func walk(path []step, more ...step) *exploreWorld {
	w := newExploreWorld()
	for _, s := range append(path[:len(path):len(path)], more...) {
		w.apply(s)
	}
	return w
}
