package program

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"jackdawbay.dev/api/caller"
	"jackdawbay.dev/api/errkind"
)

// TestDuplicateAdmitChargesOnce guards against charging an attempt at its upper bound because a duplicate of its own
// admit request replaces it.
func TestDuplicateAdmitChargesOnce(t *testing.T) {
	o, id := openOwner(nil), testID(0)
	create(t, o, id)
	c := modelCall(o, id, "k1")
	first := admit(t, o, id, c, "a1")
	must.Eq(t, first, admit(t, o, id, c, "a1"))
	must.Eq(t, 0, o.programs[id].spentTokens)
}

// TestRemovedProgramStaysEnded guards against a second run of a non-idempotent call. It would happen if a program could
// be restored from its first receipt after it had ended and been removed.
func TestRemovedProgramStaysEnded(t *testing.T) {
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

// TestLateCompletionDoesNotReplaceNewerCall guards against a late outcome of a non-idempotent call that replaces the
// call in flight. The tokens of the call in flight would then not be counted.
func TestLateCompletionDoesNotReplaceNewerCall(t *testing.T) {
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

// modelCallUpperBound is the upper bound of modelCall without a history, in tokens.
const modelCallUpperBound = 30 + 4 + 16 + 50

// availableTokens returns the tokens that an owner can still spend on a program.
func availableTokens(o *Owner, id string) int64 {
	p := o.programs[id]
	return p.usableReservation + p.unreservedTokens()
}

// TestTakeoverPreservesReservations guards against two owners that spend the same tokens, and against tokens that
// become unusable although the former owner cannot spend them any more.
func TestTakeoverPreservesReservations(t *testing.T) {
	const budget = 10_000
	const allowance = budget / reservationDivisor
	id := testID(0)
	handover := func(t *testing.T, o *Owner) {
		_, err := o.CloseShard(testShard)
		must.NoError(t, err)
	}
	t.Run("after a failure", func(t *testing.T) {
		o := openOwner(nil)
		create(t, o, id)
		must.Eq(t, budget-allowance, availableTokens(takeOver(t, o, flush(o), "b"), id))
	})
	t.Run("after a handover", func(t *testing.T) {
		o := openOwner(nil)
		create(t, o, id)
		handover(t, o)
		must.Eq(t, budget, availableTokens(takeOver(t, o, flush(o), "b"), id))
	})
	t.Run("after a handover with a call in flight", func(t *testing.T) {
		o := openOwner(nil)
		create(t, o, id)
		admit(t, o, id, modelCall(o, id, "k1"), "a1")
		handover(t, o)
		must.Eq(t, budget-modelCallUpperBound, availableTokens(takeOver(t, o, flush(o), "b"), id))
	})
	t.Run("after a handover to an owner that journaled nothing", func(t *testing.T) {
		o := openOwner(nil)
		create(t, o, id)
		handover(t, o)
		segments := flush(o)
		failed := takeOver(t, o, segments, "b")
		must.Eq(t, 0, admit(t, failed, id, modelCall(failed, id, "k1"), "a1").RequiredLSN)
		must.Eq(t, budget-allowance, availableTokens(takeOver(t, failed, segments, "c"), id))
	})
	t.Run("after the failure of an owner whose reservation was not stored", func(t *testing.T) {
		o := openOwner(nil)
		create(t, o, id)
		segments := flush(o)
		failed := takeOver(t, o, segments, "b")
		must.Positive(t, admit(t, failed, id, modelCall(failed, id, "k1"), "a1").RequiredLSN)
		must.Eq(t, budget-allowance, availableTokens(takeOver(t, failed, segments, "c"), id))
	})
	t.Run("after the failure of an owner whose reservation was stored", func(t *testing.T) {
		o := openOwner(nil)
		create(t, o, id)
		segments := flush(o)
		failed := takeOver(t, o, segments, "b")
		admit(t, failed, id, modelCall(failed, id, "k1"), "a1")
		const reserved = (budget - allowance) / reservationDivisor
		r := replay(t, replay(t, NewReplay(testShard), segments), flush(failed))
		last := NewOwner(testConfig("c"))
		last.OpenShard(testStart, testShard, 3, r)
		must.Eq(t, budget-allowance-reserved, availableTokens(last, id))
	})
	t.Run("a restored program", func(t *testing.T) {
		o := openOwner(nil)
		created := create(t, o, id)
		c := modelCall(o, id, "k1")
		c.Receipt = created.Receipt
		next := takeOver(t, o, nil, "b")
		must.Positive(t, admit(t, next, id, c, "a1").RequiredLSN)
		must.Eq(t, budget-allowance-modelCallUpperBound, availableTokens(next, id))
	})
}

// TestReservationIsDurableBeforeUse guards against spending that the next owner cannot detect. A call beyond the
// durable reservation has to wait, and an attempt that was cancelled before it was sent releases its tokens.
func TestReservationIsDurableBeforeUse(t *testing.T) {
	o, id := openOwner(nil), testID(0)
	createWithBudget(t, o, id, 800)
	c := modelCall(o, id, "k1")
	must.Eq(t, 0, admit(t, o, id, c, "a1").RequiredLSN, must.Sprint("the creator's allowance covers the first attempt"))
	requiredLSN := admit(t, o, id, c, "a2").RequiredLSN
	must.Positive(t, requiredLSN)
	must.Less(t, requiredLSN, o.Journal().DurableLSN())
	available := availableTokens(o, id)
	notSent := completion(id, c, "a2")
	notSent.Outcome = OutcomeNotSent
	_, err := o.Complete(testStart, notSent)
	must.NoError(t, err)
	must.Eq(t, available+modelCallUpperBound, availableTokens(o, id))
	flush(o)
	must.Eq(t, 0, admit(t, o, id, c, "a3").RequiredLSN)
}

// TestReservationForNextCall guards against a program without faults whose calls each wait for a reservation.
func TestReservationForNextCall(t *testing.T) {
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

// TestTakeoverCountsReceiptSpending guards against spending of a former owner that appears only in the caller's receipt
// and is not counted by the next owner.
func TestTakeoverCountsReceiptSpending(t *testing.T) {
	o, id := openOwner(nil), testID(0)
	create(t, o, id)
	segments := flush(o)
	c := modelCall(o, id, "k1")
	admit(t, o, id, c, "a0")
	result := runCall(t, o, id, c)
	next := takeOver(t, o, segments, "b")
	_, err := next.Complete(testStart, completion(id, c, "run-k1"))
	must.NoError(t, err)
	c = modelCall(next, id, "k2")
	c.Receipt = result.Receipt
	must.Eq(t, 40+modelCallUpperBound, admit(t, next, id, c, "a2").SpentTokens)
}

// TestReplayedIntentHasUnknownOutcome guards against a non-idempotent call of a former owner that an operator cannot
// resolve.
func TestReplayedIntentHasUnknownOutcome(t *testing.T) {
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

// TestWindowChargesAbandonedAttempt guards against an attempt in flight that is dropped without a charge when the
// caller presents turns of another owner.
func TestWindowChargesAbandonedAttempt(t *testing.T) {
	o, id := openOwner(nil), testID(0)
	create(t, o, id)
	next := takeOver(t, o, flush(o), "b")
	c := modelCall(o, id, "k1")
	result := runCall(t, o, id, c)
	admit(t, next, id, c, "a1")
	c = modelCall(o, id, "k2")
	c.Receipt, c.Window = result.Receipt, []caller.Turn{result.Turn}
	// The upper bound of the abandoned attempt plus the usage of the turn of the first owner.
	must.Eq(t, modelCallUpperBound+40, admit(t, next, id, c, "a2").SpentTokens)
}

// TestCompleteAddsWindow guards against losing a response because the new owner lacks the turns before it.
func TestCompleteAddsWindow(t *testing.T) {
	o, id := openOwner(nil), testID(0)
	create(t, o, id)
	first := runCall(t, o, id, modelCall(o, id, "k1"))
	c := modelCall(o, id, "k2")
	c.Receipt, c.Window = first.Receipt, []caller.Turn{first.Turn}
	next := takeOver(t, o, nil, "b")
	r, err := next.Complete(testStart, completion(id, c, "a2"))
	must.NoError(t, err)
	must.Eq(t, 2, r.Turn.Sequence)
}

// TestOpenShardTwice guards against an older replay that replaces the programs of an open shard.
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

// TestChargeSurvivesFullBacklog guards against a charge that is never journaled because the backlog was full.
func TestChargeSurvivesFullBacklog(t *testing.T) {
	o, id := openOwner(smallBacklog), testID(0)
	create(t, o, id)
	c := modelCall(o, id, "k1")
	admit(t, o, id, c, "a1")
	fillBacklog(o)
	before := o.writer.AppendedLSN()
	o.AbandonIngressAttempts("in-1")
	must.Eq(t, before, o.writer.AppendedLSN())
	spent := o.programs[id].spentTokens
	segments := flush(o)
	admit(t, o, id, c, "a2")
	r := replay(t, NewReplay(testShard), append(segments, flush(o)...))
	must.Eq(t, spent, r.programs[id].spentTokens-int64(before-1))
}

// TestDefaultLimits guards against calls without an output limit, and against a requested turn limit that is ignored if
// the records set none.
func TestDefaultLimits(t *testing.T) {
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

// TestWindowReplacesLastTurn guards against a caller that cannot continue after a replaced owner ran a repeat of its
// call.
func TestWindowReplacesLastTurn(t *testing.T) {
	old, id := openOwner(nil), testID(0)
	create(t, old, id)
	next := takeOver(t, old, flush(old), "b")
	call := modelCall(next, id, "k1")
	admit(t, next, id, call, "a1")
	other := completion(id, call, "a1")
	other.Turn.Message = &caller.Message{Role: "assistant", Content: "a response that the caller did not receive"}
	_, err := next.Complete(testStart, other)
	must.NoError(t, err)
	received := runCall(t, old, id, modelCall(old, id, "k1"))
	c := modelCall(old, id, "k2")
	c.Receipt = received.Receipt
	_, err = next.Admit(testStart, request(id, c, "a2"))
	mustKind(t, err, errkind.HistoryGap, errkind.NotRunTrue)
	c.Window = []caller.Turn{received.Turn}
	admit(t, next, id, c, "a3")
	turns, err := next.History(testTenant, id, 1)
	must.NoError(t, err)
	must.Eq(t, []caller.Turn{received.Turn}, turns)
}

// TestHistoryBytes guards against an estimate of the history's memory that drifts until all calls are rejected.
func TestHistoryBytes(t *testing.T) {
	o, id := openOwner(nil), testID(0)
	create(t, o, id)
	first := runCall(t, o, id, modelCall(o, id, "k1"))
	must.Eq(t, turnBytes(first.Turn), o.HistoryBytes())
	next := takeOver(t, o, flush(o), "b")
	must.Eq(t, o.HistoryBytes(), next.HistoryBytes())
	_, err := o.CloseShard(testShard)
	must.NoError(t, err)
	must.Eq(t, 0, o.HistoryBytes())
}

// TestCancelledAttemptsAreBounded guards against a set of cancelled attempts that grows without limit.
func TestCancelledAttemptsAreBounded(t *testing.T) {
	var cancelled cancelledAttempts
	for i := range 2 * maxCancelledAttempts {
		cancelled.add(fmt.Sprint(i))
	}
	must.MapLen(t, maxCancelledAttempts, cancelled.ids)
	must.False(t, cancelled.contains("0"))
	must.True(t, cancelled.contains(fmt.Sprint(2*maxCancelledAttempts-1)))
}
