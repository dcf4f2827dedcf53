package program

import (
	"time"

	"jackdawbay.dev/core/journal"
)

// expireAttempt gives up an attempt whose ingress has not reported in time.
func (o *Owner) expireAttempt(now time.Time, p *programState) {
	if p.inFlight != nil && now.After(p.inFlight.expiresAt) {
		o.abandonAttempt(p)
	}
}

// abandonAttempt handles an attempt whose sender is lost: it is charged in full, and the outcome of a non-idempotent one is
// unknown.
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
		// The charge in memory holds; the next admission appends it.
		p.unjournaledCharge += a.tokenUpperBound
	}
}

// IngressLost gives up the attempts of a daemon incarnation that has left the roster.
func (o *Owner) AbandonIngressAttempts(incarnation string) {
	for _, p := range o.programs {
		if p.inFlight != nil && p.inFlight.ingress == incarnation {
			o.abandonAttempt(p)
		}
	}
}
