package ingress

import (
	"context"

	"jackdawbay.dev/api/caller"
	"jackdawbay.dev/core/program"
	"jackdawbay.dev/daemon/peer"
)

// speculativeSlot is an engine slot that the ingress requests while the owner admits the call. This removes one message
// exchange from the latency of a call. The caller's receipt contains the data that the dispatcher needs.
type speculativeSlot struct {
	request peer.AcquireRequest
	done    chan struct{} // Closed when slot and err are set.
	slot    peer.Slot
	err     error
}

// acquireSpeculatively requests a slot if the caller's receipt belongs to the turn before the call, because the owner
// then most likely admits the call. It returns nil otherwise.
func (s *Server) acquireSpeculatively(ctx context.Context, c *call, attempt string) *speculativeSlot {
	if c.body.Receipt == "" {
		return nil
	}
	receipt, err := s.signer.Verify(c.body.Receipt)
	if err != nil || receipt.Program != c.program || receipt.Tenant != c.tenant {
		return nil
	}
	if receipt.Sequence+1 != c.body.Sequence || receipt.Digest != c.body.Digest {
		return nil
	}
	modelName := c.body.Model.Model
	if modelName == "" {
		modelName = receipt.Model
	}
	model, ok := s.records().Model(modelName)
	if !ok {
		return nil
	}
	upperBound := program.PromptUpperBound(receipt.PromptTokens, c.body.Model.Messages) + int64(c.body.Model.MaxTokens)
	admission := program.Admission{
		Model:           modelName,
		Class:           receipt.Class,
		HistoryTokens:   receipt.PromptTokens,
		SpentTokens:     receipt.SpentTokens,
		TokenUpperBound: upperBound,
		Parent:          receipt.Parent,
		Engine:          receipt.Engine,
	}
	speculative := &speculativeSlot{request: s.newAcquireRequest(c, attempt, admission, model.Group, nil), done: make(chan struct{})}
	go func() {
		defer close(speculative.done)
		speculative.slot, speculative.err = s.slots.Acquire(ctx, speculative.request)
	}()
	return speculative
}

// releaseSpeculative releases a speculative slot that is not used. It waits for the slot in the background.
func (s *Server) releaseSpeculative(speculative *speculativeSlot) {
	if speculative == nil {
		return
	}
	go func() {
		<-speculative.done
		if speculative.err != nil {
			return
		}
		s.slots.Release(peer.ReleaseRequest{
			Ticket:  speculative.request.Ticket,
			Group:   speculative.request.Group,
			Engine:  speculative.slot.Engine,
			Program: speculative.request.Program,
			Usage:   caller.Usage{},
		})
	}()
}

// awaitSlot returns the slot of an admitted call. It uses the speculative slot unless that was requested for another
// model, which happens when the caller's receipt is older than the state of the program.
func (s *Server) awaitSlot(ctx context.Context, speculative *speculativeSlot, request *peer.AcquireRequest) (peer.Slot, error) {
	if speculative == nil {
		return s.slots.Acquire(ctx, *request)
	}
	<-speculative.done
	if speculative.request.Group == request.Group && speculative.request.Model == request.Model {
		return speculative.slot, speculative.err
	}
	s.releaseSpeculative(speculative)
	// The dispatcher identifies a ticket by its id, so the second request needs a different one.
	request.Ticket += "-again"
	return s.slots.Acquire(ctx, *request)
}
