package node

import (
	"sync"

	"jackdawbay.dev/core/membership"
)

// slotDispatchers maps the ticket of each granted slot to the dispatcher that granted it. Its size is bounded by the
// calls in flight.
type slotDispatchers struct {
	mu       sync.Mutex
	byTicket map[string]membership.Member
}

func newSlotDispatchers() *slotDispatchers {
	return &slotDispatchers{byTicket: map[string]membership.Member{}}
}

func (d *slotDispatchers) add(ticket string, dispatcher membership.Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.byTicket[ticket] = dispatcher
}

func (d *slotDispatchers) remove(ticket string) (membership.Member, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	dispatcher, ok := d.byTicket[ticket]
	delete(d.byTicket, ticket)
	return dispatcher, ok
}
