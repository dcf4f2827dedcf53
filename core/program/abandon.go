package program

import (
	"time"

	"jackdawbay.dev/core/journal"
)

// expireAttempt abandons the attempt in flight if its ingress has not reported an outcome in time.
func (o *Owner) expireAttempt(now time.Time, p *programState) {
	if p.inFlight != nil && now.After(p.inFlight.expiresAt) {
		o.abandonAttempt(p)
	}
}

// abandonAttempt removes the attempt in flight, whose sender stopped reporting. The attempt is charged at its upper
// bound. If the call is not idempotent, its outcome becomes unknown.
func (o *Owner) abandonAttempt(p *programState) {
	a := p.inFlight
	p.inFlight = nil
	if in, ok := p.intents[a.callKey]; ok {
		in.outcomeUnknown = true
	}
	if a.tokenUpperBound == 0 {
		return
	}
	p.spentTokens += a.tokenUpperBound
	if _, err := o.appendEntries(p, journal.Entry{Charge: &journal.Charge{Tokens: a.tokenUpperBound}}); err != nil {
		// The charge counts in memory. The next admission journals it.
		p.unjournaledCharge += a.tokenUpperBound
	}
}

// AbandonIngressAttempts abandons the attempts in flight of a daemon incarnation that was removed from the roster.
func (o *Owner) AbandonIngressAttempts(incarnation string) {
	for _, p := range o.programs {
		if p.inFlight != nil && p.inFlight.ingress == incarnation {
			o.abandonAttempt(p)
		}
	}
}
