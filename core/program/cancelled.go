package program

// maxCancelledAttempts bounds the attempts that are remembered as given up. An admission arrives late by seconds at most, and an
// ingress daemon gives up few attempts in that time.
const maxCancelledAttempts = 1024

// cancelledAttempts remembers the newest attempts that an ingress gave up before the owner admitted them. When messages change
// their order, the late admission would put a call in flight that nobody sends, and the outcome of an order would stay
// unknown until an operator looks into it.
type cancelledAttempts struct {
	ids       map[string]bool
	ring      [maxCancelledAttempts]string
	nextIndex int // Place of the oldest attempt once the ring is full.
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
