package node

import (
	"sync"

	"jackdawbay.dev/core/membership"
)

// heldSlots remembers which dispatcher granted each held slot. Its size is bounded by the calls under way.
type heldSlots struct {
	mu       sync.Mutex
	byTicket map[string]membership.Member
}

func newHeldSlots() *heldSlots { return &heldSlots{byTicket: map[string]membership.Member{}} }

func (h *heldSlots) put(ticket string, dispatcher membership.Member) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.byTicket[ticket] = dispatcher
}

func (h *heldSlots) take(ticket string) (membership.Member, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	dispatcher, ok := h.byTicket[ticket]
	delete(h.byTicket, ticket)
	return dispatcher, ok
}
