package program

import (
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"
)

// This file compares ways to treat orders during a platform outage. It simulates single orders; the state machines are
// not part of it.

type orderWay string

const (
	wayRefuse      orderWay = "refuse during the outage"
	wayPermitRun   orderWay = "permits in advance, a successor runs what it does not know"
	wayPermitDoubt orderWay = "permits in advance, a successor doubts the first order of each program"
	wayNoProof     orderWay = "send without proof"
)

// Times are in seconds.
const (
	simLength     = 600
	simOutageFrom = 200
	simOutageTo   = 320
	simPatience   = 60 // A caller repeats its order every second for so long.
	simOwners     = 8
	simPrograms   = 400
	simOrders     = 600 // Arrive evenly spread over simLength.
	simKills      = 3   // Owners killed within the outage; they come back when it ends, because a seal needs the platform.
	simPermits    = 40  // For each owner, written before the outage.
	simCall       = 3   // An order takes so long; its answer and outcome are lost when its owner is killed meanwhile.
	simLossPerMil = 20  // Answers lost between ingress and caller, in thousandths.
)

type orderCounts struct{ placed, lost, doubled, unknown int }

func (c *orderCounts) add(d orderCounts) {
	c.placed += d.placed
	c.lost += d.lost
	c.doubled += d.doubled
	c.unknown += d.unknown
}

// outageWorld is one outage with its kills.
type outageWorld struct {
	way     orderWay
	random  *rand.Rand
	killed  [simOwners]int // Time of the kill, zero when there is none.
	permits [simOwners]int
	doubted [simPrograms]bool // The doubt about the first order after a takeover was met.
}

func newOutageWorld(way orderWay, seed uint64) *outageWorld {
	w := &outageWorld{way: way, random: rand.New(rand.NewPCG(seed, 1))}
	for range simKills {
		w.killed[w.random.IntN(simOwners)] = simOutageFrom + w.random.IntN(simOutageTo-simOutageFrom)
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
	withoutProof   bool // Only the owner's memory holds that the order was sent.
	interrupted    bool // The owner was killed before the order's answer came.
}

func (w *outageWorld) place(at int) orderCounts {
	program := w.random.IntN(simPrograms)
	o := &order{program: program, owner: program % simOwners}
	known := false
	for now := at; now < at+simPatience && !known; now++ {
		answered, unknown := w.try(o, now)
		if unknown {
			return orderCounts{unknown: 1}
		}
		known = answered && w.random.IntN(1000) >= simLossPerMil
	}
	switch {
	case o.runs > 1:
		return orderCounts{doubled: 1}
	case o.runs == 1 && !known:
		return orderCounts{unknown: 1}
	case o.runs == 1:
		return orderCounts{placed: 1}
	}
	return orderCounts{lost: 1}
}

// try is one request. It reports whether the owner had an answer, and whether the answer is "outcome unknown".
func (w *outageWorld) try(o *order, now int) (answered, unknown bool) {
	outage := now >= simOutageFrom && now < simOutageTo
	kill := w.killed[o.owner]
	if outage && kill > 0 && now >= kill {
		return false, false
	}
	forgotten := kill > 0 && now >= kill && o.sentAt < kill
	if o.runs > 0 && !(forgotten && o.withoutProof) {
		// The intent of a call whose outcome went with its owner is found by the successor.
		return true, forgotten && o.interrupted
	}
	if w.way == wayPermitDoubt && kill > 0 && now >= kill && !w.doubted[o.program] {
		w.doubted[o.program] = true
		return true, true
	}
	if outage && !w.mayRunInOutage(o) {
		return false, false
	}
	o.runs++
	o.sentAt, o.withoutProof = now, outage
	o.interrupted = kill > now && kill <= now+simCall
	return !o.interrupted, false
}

func (w *outageWorld) mayRunInOutage(o *order) bool {
	switch w.way {
	case wayRefuse:
		return false
	case wayNoProof:
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
	totals := map[orderWay]orderCounts{}
	for _, way := range []orderWay{wayRefuse, wayPermitRun, wayPermitDoubt, wayNoProof} {
		var total orderCounts
		for seed := range uint64(200) {
			w := newOutageWorld(way, seed+1)
			for i := range simOrders {
				total.add(w.place(i * simLength / simOrders))
			}
		}
		t.Logf("%-72s placed %6d lost %5d doubled %3d unknown %5d", way, total.placed, total.lost, total.doubled, total.unknown)
		totals[way] = total
	}
	must.Eq(t, 0, totals[wayRefuse].doubled)
	must.Less(t, totals[wayPermitRun].unknown, totals[wayRefuse].unknown)
	must.Eq(t, 0, totals[wayPermitDoubt].doubled)
	must.Positive(t, totals[wayPermitRun].doubled)
}
