package program

import (
	"sort"

	"jackdawbay.dev/api/caller"
)

// Describe returns the public state of a program.
func (o *Owner) Describe(tenant, id string) (caller.Program, error) {
	p, err := o.findProgram(tenant, id)
	if err != nil {
		return caller.Program{}, err
	}
	return o.describe(p), nil
}

func (o *Owner) describe(p *programState) caller.Program {
	d := caller.Program{
		ID:              p.id,
		Class:           p.created.Class,
		Model:           p.created.Model,
		Parent:          p.created.Parent,
		State:           caller.StateRunning,
		Sequence:        p.sequence(),
		DurableSequence: p.durableSequence(o.writer.DurableLSN()),
		Digest:          p.digest(),
		BudgetTokens:    p.created.BudgetTokens,
		SpentTokens:     p.spentTokens,
		MaxTurns:        p.created.MaxTurns,
		DataCentre:      o.cfg.DataCentre,
		Owner:           o.cfg.VM,
	}
	if p.endReason != "" {
		d.State, d.EndReason = caller.StateEnded, p.endReason
	}
	for key, in := range p.intents {
		if in.outcomeUnknown && (d.UnknownCallKey == "" || key < d.UnknownCallKey) {
			d.UnknownCallKey = key
		}
	}
	return d
}

// History returns the turns of a program, starting at the sequence from.
func (o *Owner) History(tenant, id string, from uint64) ([]caller.Turn, error) {
	p, err := o.findProgram(tenant, id)
	if err != nil {
		return nil, err
	}
	from = max(from, 1)
	if from > p.sequence() {
		return nil, nil
	}
	return append([]caller.Turn(nil), p.turns[from-1:]...), nil
}

// InFlight returns the sequence of the call that a program has in flight and the incarnation of the daemon that sends
// it. The sequence is zero if no call is in flight.
func (o *Owner) InFlight(tenant, id string) (sequence uint64, ingress string, err error) {
	p, err := o.findProgram(tenant, id)
	if err != nil || p.inFlight == nil {
		return 0, "", err
	}
	return p.inFlight.sequence, p.inFlight.ingress, nil
}

// UnknownCall identifies a non-idempotent call that may have run.
type UnknownCall struct {
	Program string
	CallKey string
}

// UnknownCalls returns at most limit calls whose outcome is unknown, ordered by program and call key.
func (o *Owner) UnknownCalls(limit int) []UnknownCall {
	var calls []UnknownCall
	for id, p := range o.programs {
		for key, in := range p.intents {
			if in.outcomeUnknown {
				calls = append(calls, UnknownCall{Program: id, CallKey: key})
			}
		}
	}
	sort.Slice(calls, func(i, j int) bool {
		if calls[i].Program != calls[j].Program {
			return calls[i].Program < calls[j].Program
		}
		return calls[i].CallKey < calls[j].CallKey
	})
	return calls[:min(len(calls), limit)]
}
