package node

import "sync"

// heldSlots remembers in which data centre each held slot was granted. Its size is bounded by the calls under way.
type heldSlots struct {
	mu       sync.Mutex
	byTicket map[string]string
}

func newHeldSlots() *heldSlots { return &heldSlots{byTicket: map[string]string{}} }

func (h *heldSlots) put(ticket, dataCentre string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.byTicket[ticket] = dataCentre
}

func (h *heldSlots) take(ticket string) (string, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	dataCentre, ok := h.byTicket[ticket]
	delete(h.byTicket, ticket)
	return dataCentre, ok
}
