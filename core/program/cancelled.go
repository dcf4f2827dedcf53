package program

// maxCancelledAttempts limits the number of cancelled attempts in memory. An admission is late by seconds at most, and
// an ingress daemon cancels few attempts in that time.
const maxCancelledAttempts = 1024

// cancelledAttempts stores the ids of the newest attempts that an ingress cancelled before the owner admitted them. If
// the messages arrive out of order, the late admission would put a call in flight that nobody sends. The outcome of an
// order would then stay unknown until an operator resolves it.
type cancelledAttempts struct {
	ids       map[string]bool
	ring      [maxCancelledAttempts]string
	nextIndex int // Position of the oldest attempt once the ring is full.
}

func (g *cancelledAttempts) add(attempt string) {
	if g.ids[attempt] {
		return
	}
	if g.ids == nil {
		g.ids = map[string]bool{}
	}
	delete(g.ids, g.ring[g.nextIndex])
	g.ids[attempt] = true
	g.ring[g.nextIndex] = attempt
	g.nextIndex = (g.nextIndex + 1) % maxCancelledAttempts
}

func (g *cancelledAttempts) contains(attempt string) bool { return g.ids[attempt] }
