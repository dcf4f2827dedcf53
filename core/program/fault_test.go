package program

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"jackdawbay.dev/api/caller"
	"jackdawbay.dev/api/errkind"
)

// TestDuplicateAdmitChargesOnce guards against charging an attempt that is replaced by a duplicate of its own message.
func TestDuplicateAdmitChargesOnce(t *testing.T) {
	o, id := openOwner(nil), testID(0)
	create(t, o, id)
	c := modelCall(o, id, "k1")
	first := admit(t, o, id, c, "a1")
	must.Eq(t, first, admit(t, o, id, c, "a1"))
	must.Eq(t, 0, o.programs[id].spent)
}

// TestForgottenProgramStaysEnded guards against a second run of a non-idempotent call after its program was forgotten
// and restored from its first receipt.
func TestForgottenProgramStaysEnded(t *testing.T) {
	o, id := openOwner(nil), testID(0)
	created := create(t, o, id)
	c := serviceCall(o, id, "k1")
	admit(t, o, id, c, "a1")
	c.Receipt = created.Receipt
	flush(o)
	now := testStart.Add(time.Hour)
	must.Len(t, 1, o.Tick(now))
	must.Len(t, 0, o.Tick(now.Add(30*time.Minute)))
	_, err := o.Admit(now.Add(30*time.Minute), request(id, c, "a2"))
	mustKind(t, err, errkind.OutcomeUnknown, errkind.NotRunUnknown)
	flush(o)
	o.Tick(now.Add(2 * time.Hour))
	must.Eq(t, 0, o.ProgramCount())
	_, err = o.Admit(now.Add(2*time.Hour), request(id, c, "a3"))
	mustKind(t, err, errkind.ProgramNotFound, errkind.NotRunUnknown)
}

// TestLateCompletionKeepsNewerCall guards against a late non-idempotent outcome that takes the place of the call in
// flight, whose tokens were then never counted.
func TestLateCompletionKeepsNewerCall(t *testing.T) {
	o, id := openOwner(nil), testID(0)
	create(t, o, id)
	order := serviceCall(o, id, "order")
	admit(t, o, id, order, "a1")
	o.AbandonIngressAttempts("in-1")
	c := modelCall(o, id, "k2")
	admit(t, o, id, c, "a2")
	_, err := o.Complete(testStart, completion(id, order, "a1"))
	mustKind(t, err, errkind.WrongSequence, errkind.NotRunFalse)
	_, err = o.Admit(testStart, request(id, order, "a3"))
	mustKind(t, err, errkind.OutcomeUnknown, errkind.NotRunFalse)
	_, err = o.Complete(testStart, completion(id, c, "a2"))
	must.NoError(t, err)
}

// worstOfModelCall is the worst case of modelCall without a history, in tokens.
const worstOfModelCall = 30 + 4 + 16 + 50

// leftAfter returns the tokens that an owner can still spend on a program.
func leftAfter(o *Owner, id string) int64 {
	p := o.programs[id]
	return p.own + p.unreserved()
}

// TestTakeoverKeepsReservations guards against tokens that two owners spend, and against tokens that are lost although
// the former owner cannot spend them any more.
func TestTakeoverKeepsReservations(t *testing.T) {
	const budget = 10_000
	const allowance = budget / reservationShare
	id := testID(0)
	handover := func(t *testing.T, o *Owner) {
		_, err := o.CloseShard(testShard)
		must.NoError(t, err)
	}
	t.Run("after a failure", func(t *testing.T) {
		o := openOwner(nil)
		create(t, o, id)
		must.Eq(t, budget-allowance, leftAfter(takeOver(t, o, flush(o), "b"), id))
	})
	t.Run("after a handover", func(t *testing.T) {
		o := openOwner(nil)
		create(t, o, id)
		handover(t, o)
		must.Eq(t, budget, leftAfter(takeOver(t, o, flush(o), "b"), id))
	})
	t.Run("after a handover with a call in flight", func(t *testing.T) {
		o := openOwner(nil)
		create(t, o, id)
		admit(t, o, id, modelCall(o, id, "k1"), "a1")
		handover(t, o)
		must.Eq(t, budget-worstOfModelCall, leftAfter(takeOver(t, o, flush(o), "b"), id))
	})
	t.Run("after a handover to an owner that left no trace", func(t *testing.T) {
		o := openOwner(nil)
		create(t, o, id)
		handover(t, o)
		segments := flush(o)
		lost := takeOver(t, o, segments, "b")
		must.Eq(t, 0, admit(t, lost, id, modelCall(lost, id, "k1"), "a1").RequiredLSN)
		must.Eq(t, budget-allowance, leftAfter(takeOver(t, lost, segments, "c"), id))
	})
	t.Run("after the loss of an owner that reserved nothing", func(t *testing.T) {
		o := openOwner(nil)
		create(t, o, id)
		segments := flush(o)
		lost := takeOver(t, o, segments, "b")
		must.Positive(t, admit(t, lost, id, modelCall(lost, id, "k1"), "a1").RequiredLSN)
		must.Eq(t, budget-allowance, leftAfter(takeOver(t, lost, segments, "c"), id))
	})
	t.Run("after the loss of an owner that reserved", func(t *testing.T) {
		o := openOwner(nil)
		create(t, o, id)
		segments := flush(o)
		lost := takeOver(t, o, segments, "b")
		admit(t, lost, id, modelCall(lost, id, "k1"), "a1")
		const reserved = (budget - allowance) / reservationShare
		r := replay(t, replay(t, NewReplay(testShard), segments), flush(lost))
		last := NewOwner(testConfig("c"))
		last.OpenShard(testStart, testShard, 3, r)
		must.Eq(t, budget-allowance-reserved, leftAfter(last, id))
	})
	t.Run("a restored program", func(t *testing.T) {
		o := openOwner(nil)
		created := create(t, o, id)
		c := modelCall(o, id, "k1")
		c.Receipt = created.Receipt
		next := takeOver(t, o, nil, "b")
		must.Positive(t, admit(t, next, id, c, "a1").RequiredLSN)
		must.Eq(t, budget-allowance-worstOfModelCall, leftAfter(next, id))
	})
}

// TestReservationIsDurableBeforeUse guards against spending that a successor cannot know of: a call beyond the durable
// reservation waits, and an attempt that was given up before it was sent gives its tokens back.
func TestReservationIsDurableBeforeUse(t *testing.T) {
	o, id := openOwner(nil), testID(0)
	createWithBudget(t, o, id, 800)
	c := modelCall(o, id, "k1")
	must.Eq(t, 0, admit(t, o, id, c, "a1").RequiredLSN, must.Sprint("the creator's allowance covers the first attempt"))
	await := admit(t, o, id, c, "a2").RequiredLSN
	must.Positive(t, await)
	must.Less(t, await, o.Journal().DurableLSN())
	left := leftAfter(o, id)
	notSent := completion(id, c, "a2")
	notSent.Outcome = OutcomeNotSent
	_, err := o.Complete(testStart, notSent)
	must.NoError(t, err)
	must.Eq(t, left+worstOfModelCall, leftAfter(o, id))
	flush(o)
	must.Eq(t, 0, admit(t, o, id, c, "a3").RequiredLSN)
}

// TestReservationAhead guards against a wait at each call of a program that runs without faults.
func TestReservationAhead(t *testing.T) {
	o, id := openOwner(nil), testID(0)
	createWithBudget(t, o, id, 100_000)
	for i := range 9 {
		c := modelCall(o, id, fmt.Sprint("k", i))
		must.Eq(t, 0, admit(t, o, id, c, fmt.Sprint("a", i)).RequiredLSN, must.Sprint("call ", i))
		done := completion(id, c, fmt.Sprint("a", i))
		done.Turn.Usage.CompletionTokens = 3000
		_, err := o.Complete(testStart, done)
		must.NoError(t, err)
		flush(o)
	}
}

// TestTakeoverSpent guards against spending of a former owner that the caller's receipt shows and no owner reports.
func TestTakeoverSpent(t *testing.T) {
	o, id := openOwner(nil), testID(0)
	create(t, o, id)
	segments := flush(o)
	c := modelCall(o, id, "k1")
	admit(t, o, id, c, "a0")
	result := run(t, o, id, c)
	next := takeOver(t, o, segments, "b")
	_, err := next.Complete(testStart, completion(id, c, "run-k1"))
	must.NoError(t, err)
	c = modelCall(next, id, "k2")
	c.Receipt = result.Receipt
	must.Eq(t, 40+worstOfModelCall, admit(t, next, id, c, "a2").SpentTokens)
}

// TestReplayedIntentIsUnknown guards against an order of a former owner that an operator cannot resolve.
func TestReplayedIntentIsUnknown(t *testing.T) {
	o, id := openOwner(nil), testID(0)
	create(t, o, id)
	c := serviceCall(o, id, "order")
	admit(t, o, id, c, "a1")
	next := takeOver(t, o, flush(o), "b")
	_, err := next.Admit(testStart, request(id, c, "a2"))
	mustKind(t, err, errkind.OutcomeUnknown, errkind.NotRunUnknown)
	must.NoError(t, next.Resolve(id, "order", false, "not at the printer"))
	admit(t, next, id, c, "a3")
}

// TestWindowGivesUpAttempt guards against an attempt in flight that is forgotten, uncharged, when the caller returns
// with turns of another owner.
func TestWindowGivesUpAttempt(t *testing.T) {
	o, id := openOwner(nil), testID(0)
	create(t, o, id)
	next := takeOver(t, o, flush(o), "b")
	c := modelCall(o, id, "k1")
	result := run(t, o, id, c)
	admit(t, next, id, c, "a1")
	c = modelCall(o, id, "k2")
	c.Receipt, c.Window = result.Receipt, []caller.Turn{result.Turn}
	// The attempt here and the turn of the first owner.
	must.Eq(t, worstOfModelCall+40, admit(t, next, id, c, "a2").SpentTokens)
}

// TestCompleteBringsWindow guards against losing a response because a successor lacks the turns before it.
func TestCompleteBringsWindow(t *testing.T) {
	o, id := openOwner(nil), testID(0)
	create(t, o, id)
	first := run(t, o, id, modelCall(o, id, "k1"))
	c := modelCall(o, id, "k2")
	c.Receipt, c.Window = first.Receipt, []caller.Turn{first.Turn}
	next := takeOver(t, o, nil, "b")
	r, err := next.Complete(testStart, completion(id, c, "a2"))
	must.NoError(t, err)
	must.Eq(t, 2, r.Turn.Sequence)
}

// TestOpenShardTwice guards against an older replay that replaces the programs of a shard that is served.
func TestOpenShardTwice(t *testing.T) {
	o, id := openOwner(nil), testID(0)
	create(t, o, id)
	o.OpenShard(testStart, testShard, 1, NewReplay(testShard))
	must.Eq(t, 1, o.ProgramCount())
	_, err := o.CloseShard(testShard)
	must.NoError(t, err)
	o.OpenShard(testStart, testShard, 1, nil)
	must.False(t, o.Owns(id))
}

// TestChargeWithoutRoom guards against a charge that is lost for good because the backlog was full.
func TestChargeWithoutRoom(t *testing.T) {
	o, id := openOwner(smallJournal), testID(0)
	create(t, o, id)
	c := modelCall(o, id, "k1")
	admit(t, o, id, c, "a1")
	fillBacklog(o)
	before := o.writer.AppendedLSN()
	o.AbandonIngressAttempts("in-1")
	must.Eq(t, before, o.writer.AppendedLSN())
	spent := o.programs[id].spent
	segments := flush(o)
	admit(t, o, id, c, "a2")
	r := replay(t, NewReplay(testShard), append(segments, flush(o)...))
	must.Eq(t, spent, r.programs[id].spent-int64(before-1))
}

// TestDefaults guards against calls without a bound of their output and against a turn limit that is dropped where the
// records set none.
func TestDefaults(t *testing.T) {
	o, id := openOwner(nil), testID(0)
	lim := testLimits()
	lim.MaxTurns = 0
	created, err := o.Create(testStart, testTenant, id, caller.CreateProgram{MaxTurns: 5}, lim)
	must.NoError(t, err)
	must.Eq(t, 5, created.Program.MaxTurns)
	c := modelCall(o, id, "k1")
	c.Model.MaxTokens = 0
	a := admit(t, o, id, c, "a1")
	must.Eq(t, defaultMaxTokens, a.MaxTokens)
	must.Eq(t, defaultMaxTokens+50, a.TokenUpperBound)
}

// TestWindowReplacesLastTurn guards against a caller that cannot go on because a replaced owner ran a repeat of its call.
func TestWindowReplacesLastTurn(t *testing.T) {
	old, id := openOwner(nil), testID(0)
	create(t, old, id)
	next := takeOver(t, old, flush(old), "b")
	lost := modelCall(next, id, "k1")
	admit(t, next, id, lost, "a1")
	other := completion(id, lost, "a1")
	other.Turn.Message = &caller.Message{Role: "assistant", Content: "an answer that the caller never got"}
	_, err := next.Complete(testStart, other)
	must.NoError(t, err)
	got := run(t, old, id, modelCall(old, id, "k1"))
	c := modelCall(old, id, "k2")
	c.Receipt = got.Receipt
	_, err = next.Admit(testStart, request(id, c, "a2"))
	mustKind(t, err, errkind.HistoryGap, errkind.NotRunTrue)
	c.Window = []caller.Turn{got.Turn}
	admit(t, next, id, c, "a3")
	turns, err := next.History(testTenant, id, 1)
	must.NoError(t, err)
	must.Eq(t, []caller.Turn{got.Turn}, turns)
}

// TestHistoryBytes guards against a count of the history's memory that drifts until all calls are refused.
func TestHistoryBytes(t *testing.T) {
	o, id := openOwner(nil), testID(0)
	create(t, o, id)
	first := run(t, o, id, modelCall(o, id, "k1"))
	must.Eq(t, turnBytes(first.Turn), o.HistoryBytes())
	next := takeOver(t, o, flush(o), "b")
	must.Eq(t, o.HistoryBytes(), next.HistoryBytes())
	_, err := o.CloseShard(testShard)
	must.NoError(t, err)
	must.Eq(t, 0, o.HistoryBytes())
}

// TestGivenUpIsBounded guards against a memory of given up attempts that grows without end.
func TestGivenUpIsBounded(t *testing.T) {
	var g givenUp
	for i := range 2 * maxGivenUp {
		g.add(fmt.Sprint(i))
	}
	must.MapLen(t, maxGivenUp, g.known)
	must.False(t, g.has("0"))
	must.True(t, g.has(fmt.Sprint(2*maxGivenUp-1)))
}
