package ingress

import (
	"context"

	"jackdawbay.dev/api/caller"
	"jackdawbay.dev/core/program"
	"jackdawbay.dev/daemon/peer"
)

// earlySlot is a slot that the ingress asks for while the owner admits the call, which takes one message off the path of a
// call. The caller's receipt tells what the dispatcher needs to know.
type earlySlot struct {
	acquire peer.AcquireRequest
	done    chan struct{}
	slot    peer.Slot
	err     error
}

// askEarly asks for a slot when the caller's receipt is that of the turn before the call, so that the owner will most
// likely admit it. It returns nil otherwise.
func (s *Server) askEarly(ctx context.Context, c *call, attempt string) *earlySlot {
	if c.body.Receipt == "" {
		return nil
	}
	r, err := s.signer.Verify(c.body.Receipt)
	if err != nil || r.Program != c.program || r.Tenant != c.tenant {
		return nil
	}
	if r.Sequence+1 != c.body.Sequence || r.Digest != c.body.Digest {
		return nil
	}
	name := c.body.Model.Model
	if name == "" {
		name = r.Model
	}
	model, ok := s.records().Model(name)
	if !ok {
		return nil
	}
	worst := program.PromptUpperBound(r.PromptTokens, c.body.Model.Messages) + int64(c.body.Model.MaxTokens)
	a := program.Admission{
		Model:           name,
		Class:           r.Class,
		HistoryTokens:   r.PromptTokens,
		SpentTokens:     r.SpentTokens,
		TokenUpperBound: worst,
		Parent:          r.Parent,
		Engine:          r.Engine,
	}
	e := &earlySlot{acquire: s.acquire(c, attempt, a, model.Group, nil), done: make(chan struct{})}
	go func() {
		defer close(e.done)
		e.slot, e.err = s.slots.Acquire(ctx, e.acquire)
	}()
	return e
}

// drop gives the slot of a call back that was not admitted.
func (s *Server) drop(e *earlySlot) {
	if e == nil {
		return
	}
	go func() {
		<-e.done
		if e.err != nil {
			return
		}
		s.slots.Release(peer.ReleaseRequest{
			Ticket:  e.acquire.Ticket,
			Group:   e.acquire.Group,
			Engine:  e.slot.Engine,
			Program: e.acquire.Program,
			Usage:   caller.Usage{},
		})
	}()
}

// slotFor returns the slot of an admitted call: the early one unless it was asked for with another model, which happens
// when the caller's receipt is older than the program's state.
func (s *Server) slotFor(ctx context.Context, early *earlySlot, a *peer.AcquireRequest) (peer.Slot, error) {
	if early == nil {
		return s.slots.Acquire(ctx, *a)
	}
	<-early.done
	if early.acquire.Group == a.Group && early.acquire.Model == a.Model {
		return early.slot, early.err
	}
	s.drop(early)
	// The dispatcher knows a ticket by its id, so the second one needs another.
	a.Ticket += "-again"
	return s.slots.Acquire(ctx, *a)
}
