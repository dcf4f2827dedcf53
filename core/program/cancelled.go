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

func (c *cancelledAttempts) add(attempt string) {
	if c.ids[attempt] {
		return
	}
	if c.ids == nil {
		c.ids = map[string]bool{}
	}
	delete(c.ids, c.ring[c.nextIndex])
	c.ids[attempt] = true
	c.ring[c.nextIndex] = attempt
	c.nextIndex = (c.nextIndex + 1) % maxCancelledAttempts
}

func (c *cancelledAttempts) contains(attempt string) bool { return c.ids[attempt] }
