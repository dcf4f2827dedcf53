package program

// maxGivenUp bounds the attempts that are remembered as given up. An admission arrives late by seconds at most, and an
// ingress daemon gives up few attempts in that time.
const maxGivenUp = 1024

// givenUp remembers the newest attempts that an ingress gave up before the owner admitted them. When messages change
// their order, the late admission would put a call in flight that nobody sends, and the outcome of an order would stay
// unknown until an operator looks into it.
type givenUp struct {
	known map[string]bool
	ring  [maxGivenUp]string
	next  int // Place of the oldest attempt once the ring is full.
}

func (g *givenUp) add(attempt string) {
	if g.known[attempt] {
		return
	}
	if g.known == nil {
		g.known = map[string]bool{}
	}
	delete(g.known, g.ring[g.next])
	g.known[attempt] = true
	g.ring[g.next] = attempt
	g.next = (g.next + 1) % maxGivenUp
}

func (g *givenUp) has(attempt string) bool { return g.known[attempt] }
