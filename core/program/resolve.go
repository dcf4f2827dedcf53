package program

import (
	"jackdawbay.dev/api/errkind"
	"jackdawbay.dev/core/journal"
)

// Resolve records the outcome that an operator determined for a call with an unknown outcome. It does nothing if the
// program has no such call.
func (o *Owner) Resolve(id, callKey string, ran bool, reason string) error {
	if !o.Owns(id) {
		return errkind.New(errkind.NotOwner, "")
	}
	p, ok := o.programs[id]
	if !ok {
		return errkind.New(errkind.ProgramNotFound, "")
	}
	in, ok := p.intents[callKey]
	if !ok || !in.outcomeUnknown {
		return nil
	}
	entry := journal.Entry{Resolved: &journal.Resolved{CallKey: callKey, Ran: ran, Reason: reason}}
	if _, err := o.appendEntries(p, entry); err != nil {
		return err
	}
	p.closeIntent(callKey, ran, reason)
	return nil
}

func (p *programState) closeIntent(callKey string, ran bool, reason string) {
	delete(p.intents, callKey)
	if !ran {
		return
	}
	if p.resolved == nil {
		p.resolved = map[string]resolution{}
	}
	p.resolved[callKey] = resolution{ran: ran, reason: reason}
}
