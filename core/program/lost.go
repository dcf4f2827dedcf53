package program

import (
	"time"

	"jackdawbay.dev/core/journal"
)

// expireAttempt gives up an attempt whose ingress has not reported in time.
func (o *Owner) expireAttempt(now time.Time, p *state) {
	if p.inFlight != nil && now.After(p.inFlight.expires) {
		o.loseAttempt(p)
	}
}

// loseAttempt handles an attempt whose sender is lost: it is charged in full, and the outcome of a non-idempotent one is
// unknown.
func (o *Owner) loseAttempt(p *state) {
	a := p.inFlight
	p.inFlight = nil
	if in, ok := p.intents[a.callKey]; ok {
		in.unknown = true
	}
	if a.worstCase == 0 {
		return
	}
	p.spent += a.worstCase
	if _, err := o.append(p, journal.Entry{Charge: &journal.Charge{Tokens: a.worstCase}}); err != nil {
		// The charge in memory holds; the next admission appends it.
		p.owed += a.worstCase
	}
}

// AbandonIngressAttempts gives up the attempts of a daemon incarnation that has left the roster.
func (o *Owner) AbandonIngressAttempts(incarnation string) {
	for _, p := range o.programs {
		if p.inFlight != nil && p.inFlight.ingress == incarnation {
			o.loseAttempt(p)
		}
	}
}
