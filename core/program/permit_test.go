package program

import (
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"
)

// This file compares ways to treat orders during a platform outage. It simulates single orders; the state machines are
// not part of it.

type orderStrategy string

const (
	strategyReject        orderStrategy = "refuse during the outage"
	strategyPermitRun     orderStrategy = "permits in advance, a successor runs what it does not know"
	strategyPermitUnknown orderStrategy = "permits in advance, a successor doubts the first order of each program"
	strategyNoRecord      orderStrategy = "send without proof"
)

// Times are in seconds.
const (
	simLength          = 600
	simOutageStart     = 200
	simOutageEnd       = 320
	simRetrySeconds    = 60 // A caller repeats its order every second for so long.
	simOwners          = 8
	simPrograms        = 400
	simOrders          = 600 // Arrive evenly spread over simLength.
	simCrashes         = 3   // Owners killed within the outage; they come back when it ends, because a seal needs the platform.
	simPermits         = 40  // For each owner, written before the outage.
	simOrderSeconds    = 3   // An order takes so long; its answer and outcome are lost when its owner is killed meanwhile.
	simLostPerThousand = 20  // Answers lost between ingress and caller, in thousandths.
)

type orderCounts struct{ placed, lost, duplicated, unknown int }

func (c *orderCounts) add(d orderCounts) {
	c.placed += d.placed
	c.lost += d.lost
	c.duplicated += d.duplicated
	c.unknown += d.unknown
}

// outageSimulation is one outage with its kills.
type outageSimulation struct {
	strategy        orderStrategy
	random          *rand.Rand
	crashedAt       [simOwners]int // Time of the kill, zero when there is none.
	permits         [simOwners]int
	reportedUnknown [simPrograms]bool // The doubt about the first order after a takeover was met.
}

func newOutageSimulation(strategy orderStrategy, seed uint64) *outageSimulation {
	w := &outageSimulation{strategy: strategy, random: rand.New(rand.NewPCG(seed, 1))}
	for range simCrashes {
		w.crashedAt[w.random.IntN(simOwners)] = simOutageStart + w.random.IntN(simOutageEnd-simOutageStart)
	}
	for i := range w.permits {
		w.permits[i] = simPermits
	}
	return w
}

// order is one order of a caller, tried until it is answered or the caller's patience ends.
type order struct {
	program, owner int
	runs           int
	sentAt         int
	unrecorded     bool // Only the owner's memory holds that the order was sent.
	interrupted    bool // The owner was killed before the order's answer came.
}

func (w *outageSimulation) placeOrder(at int) orderCounts {
	program := w.random.IntN(simPrograms)
	o := &order{program: program, owner: program % simOwners}
	confirmed := false
	for now := at; now < at+simRetrySeconds && !confirmed; now++ {
		answered, unknown := w.requestOrder(o, now)
		if unknown {
			return orderCounts{unknown: 1}
		}
		confirmed = answered && w.random.IntN(1000) >= simLostPerThousand
	}
	switch {
	case o.runs > 1:
		return orderCounts{duplicated: 1}
	case o.runs == 1 && !confirmed:
		return orderCounts{unknown: 1}
	case o.runs == 1:
		return orderCounts{placed: 1}
	}
	return orderCounts{lost: 1}
}

// try is one request. It reports whether the owner had an answer, and whether the answer is "outcome unknown".
func (w *outageSimulation) requestOrder(o *order, now int) (answered, unknown bool) {
	outage := now >= simOutageStart && now < simOutageEnd
	crash := w.crashedAt[o.owner]
	if outage && crash > 0 && now >= crash {
		return false, false
	}
	forgotten := crash > 0 && now >= crash && o.sentAt < crash
	if o.runs > 0 && !(forgotten && o.unrecorded) {
		// The intent of a call whose outcome went with its owner is found by the successor.
		return true, forgotten && o.interrupted
	}
	if w.strategy == strategyPermitUnknown && crash > 0 && now >= crash && !w.reportedUnknown[o.program] {
		w.reportedUnknown[o.program] = true
		return true, true
	}
	if outage && !w.canRunDuringOutage(o) {
		return false, false
	}
	o.runs++
	o.sentAt, o.unrecorded = now, outage
	o.interrupted = crash > now && crash <= now+simOrderSeconds
	return !o.interrupted, false
}

func (w *outageSimulation) canRunDuringOutage(o *order) bool {
	switch w.strategy {
	case strategyReject:
		return false
	case strategyNoRecord:
		return true
	}
	if w.permits[o.owner] == 0 {
		return false
	}
	w.permits[o.owner]--
	return true
}

// TestPermitSimulation counts what happens to orders in 200 outages (seeds 1 to 200) for each way. It guards the choice
// in docs/notes/at-most-once.md: refusing must double no order.
func TestPermitSimulation(t *testing.T) {
	totals := map[orderStrategy]orderCounts{}
	for _, strategy := range []orderStrategy{strategyReject, strategyPermitRun, strategyPermitUnknown, strategyNoRecord} {
		var total orderCounts
		for seed := range uint64(200) {
			w := newOutageSimulation(strategy, seed+1)
			for i := range simOrders {
				total.add(w.placeOrder(i * simLength / simOrders))
			}
		}
		t.Logf("%-72s placed %6d lost %5d doubled %3d unknown %5d", strategy, total.placed, total.lost, total.duplicated, total.unknown)
		totals[strategy] = total
	}
	must.Eq(t, 0, totals[strategyReject].duplicated)
	must.Less(t, totals[strategyPermitRun].unknown, totals[strategyReject].unknown)
	must.Eq(t, 0, totals[strategyPermitUnknown].duplicated)
	must.Positive(t, totals[strategyPermitRun].duplicated)
}
