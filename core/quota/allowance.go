package quota

import (
	"math"
	"time"
)

// Times of an allowance.
const (
	// maxLifetime is the longest time after the request to an issuer until its units expire.
	maxLifetime = 200 * time.Millisecond
	// MaxWait is the longest time for which a request waits for a unit.
	MaxWait = 400 * time.Millisecond
	// IssuerTimeout is the time after which the next issuer is asked. Turns wait 0.1 to 0.4 s for replicas beside copies; with 60 ms,
	// half of the requests had no unit for 8 s after a closing fault.
	IssuerTimeout = 150 * time.Millisecond
	// expectedPeriod is the period whose expected requests are asked for in advance.
	expectedPeriod = 100 * time.Millisecond
	// demandPeriod is the time constant of the average of the arrivals.
	demandPeriod = 300 * time.Millisecond
	// An issuer that did not answer is asked again after minUnreachablePeriod, and after twice the time for each further call
	// without an answer, up to maxUnreachablePeriod. With one second after a single slow answer, a gateway with nearly all requests
	// lost the share of that issuer for a second.
	minUnreachablePeriod = 50 * time.Millisecond
	maxUnreachablePeriod = time.Second
	// minEmptyPeriod bounds the calls for requests over the limit. At 512 units per second, an issuer has a unit every 10 ms,
	// and most of the gateways that asked again then would get none.
	minEmptyPeriod = 20 * time.Millisecond
	// maxEmptyPeriod bounds the time for which an issuer without units is not asked again. Its share may rise meanwhile. At a limit
	// of 2 requests per second, 500 ms gave 138 calls for each admitted request at 50 times the limit.
	maxEmptyPeriod = 2 * time.Second
	// minRetryAfter is the shortest retry time. The time that an issuer named may be over.
	minRetryAfter = 10 * time.Millisecond
	// unavailableAfter is the retry time for a caller if no issuer answers.
	unavailableAfter = 250 * time.Millisecond
)

// Lifetime returns the time until a unit expires, for a window of the bound and its relative tolerance. A unit may be used as
// much later than it was issued, and its request may be sent after the same time again. Both together take 0.8 of the tolerance.
func Lifetime(window time.Duration, over float64) time.Duration {
	return min(time.Duration(float64(window)*over*0.4), maxLifetime)
}

// lot is a number of units that expire together.
type lot struct {
	expires time.Time
	units   int
}

// issuerState is what a gateway knows of an issuer.
type issuerState struct {
	emptyUntil       time.Time // It is not asked before.
	nextUnitAt       time.Time // When it has its next unit, as it stated; zero if its last answer stated none.
	unreachableUntil time.Time
	failures         int // Calls without an answer since the last answer.
}

// Allowance holds the units that a gateway has for one organisation, and decides which issuer is asked next, and for how
// many units. A gateway asks one issuer at a time. Allowance is not safe for concurrent use.
type Allowance struct {
	limit   Limit
	life    time.Duration
	lots    []lot // In the order of their expiry.
	held    int
	issuers map[string]issuerState
	tried   map[string]bool // Issuers that were asked in this round.
	demand  float64         // Average arrivals per second.
	seenAt  time.Time
	expired uint64
}

// NewAllowance returns an allowance without units. Units that it gets expire after a lifetime.
func NewAllowance(lifetime time.Duration) *Allowance {
	return &Allowance{life: lifetime, issuers: map[string]issuerState{}, tried: map[string]bool{}}
}

// SetLimit updates the limit to that of a newer version of the configuration.
func (a *Allowance) SetLimit(l Limit) {
	if l.Version < a.limit.Version || l == a.limit {
		return
	}
	a.limit = l
	clear(a.issuers) // The times until the next unit were those of the earlier limit.
}

// Limit returns the limit in force.
func (a *Allowance) Limit() Limit { return a.limit }

// Arrive counts a request in the expected demand.
func (a *Allowance) Arrive(now time.Time) {
	a.demand = a.demandAt(now) + 1/demandPeriod.Seconds()
	a.seenAt = now
}

func (a *Allowance) demandAt(now time.Time) float64 {
	if a.seenAt.IsZero() {
		return 0
	}
	return a.demand * math.Exp(-now.Sub(a.seenAt).Seconds()/demandPeriod.Seconds())
}

// LastArrival returns the time of the last request.
func (a *Allowance) LastArrival() time.Time { return a.seenAt }

// Take takes a unit if there is one. It returns the time at which the unit expires.
func (a *Allowance) Take(now time.Time) (expires time.Time, ok bool) {
	a.expire(now)
	if len(a.lots) == 0 {
		return time.Time{}, false
	}
	expires = a.lots[0].expires
	a.lots[0].units--
	a.held--
	if a.lots[0].units == 0 {
		a.lots = a.lots[1:]
	}
	return expires, true
}

// Return puts back the unit of a request that never ran. It reports whether the unit is still valid.
func (a *Allowance) Return(now, expires time.Time) bool {
	if !now.Before(expires) {
		return false
	}
	a.add(lot{expires: expires, units: 1})
	return true
}

func (a *Allowance) add(l lot) {
	at := len(a.lots)
	for at > 0 && a.lots[at-1].expires.After(l.expires) {
		at--
	}
	a.held += l.units
	if at > 0 && a.lots[at-1].expires.Equal(l.expires) {
		a.lots[at-1].units += l.units
		return
	}
	a.lots = append(a.lots, lot{})
	copy(a.lots[at+1:], a.lots[at:])
	a.lots[at] = l
}

func (a *Allowance) expire(now time.Time) {
	for len(a.lots) > 0 && !now.Before(a.lots[0].expires) {
		a.expired += uint64(a.lots[0].units)
		a.held -= a.lots[0].units
		a.lots = a.lots[1:]
	}
}

// Held returns the number of valid units.
func (a *Allowance) Held(now time.Time) int {
	a.expire(now)
	return a.held
}

// TakeExpired returns the number of units that have expired since the last call.
func (a *Allowance) TakeExpired() uint64 {
	n := a.expired
	a.expired = 0
	return n
}

// expected returns the number of requests that are expected to be admitted within expectedPeriod.
func (a *Allowance) expected(now time.Time) int {
	return int(min(a.demandAt(now), a.limit.RatePerSecond) * expectedPeriod.Seconds())
}

// Wants returns the number of units to ask for, which is zero if none are needed. Half of the expected units are held before
// more are asked for.
func (a *Allowance) Wants(now time.Time, waiting int) int {
	expected, held := a.expected(now), a.Held(now)
	if waiting == 0 && 2*held >= expected {
		return 0
	}
	return max(waiting+expected-held, 0)
}

// Next returns the issuer to ask and the number of units for the waiting requests and the expected ones. The argument order
// lists the issuers, nearest first. The result is false if no units are needed, or if no issuer is left in this round.
func (a *Allowance) Next(now time.Time, order []string, waiting int) (issuer string, units int, ok bool) {
	units = a.Wants(now, waiting)
	if units == 0 {
		return "", 0, false
	}
	unreachable := ""
	for _, name := range order {
		s := a.issuers[name]
		switch {
		case a.tried[name] || now.Before(s.emptyUntil):
		case now.Before(s.unreachableUntil):
			if unreachable == "" {
				unreachable = name
			}
		default:
			a.tried[name] = true
			return name, units, true
		}
	}
	if unreachable != "" && waiting > 0 && !a.anyEmpty(now, order) {
		a.tried[unreachable] = true
		return unreachable, units, true
	}
	return "", 0, false
}

func (a *Allowance) anyEmpty(now time.Time, order []string) bool {
	for _, name := range order {
		if now.Before(a.issuers[name].emptyUntil) {
			return true
		}
	}
	return false
}

// EndRound ends a round of calls, so that each issuer may be asked again.
func (a *Allowance) EndRound() { clear(a.tried) }

// Forget drops what is known about issuers that are not in order.
func (a *Allowance) Forget(order []string) {
	if len(a.issuers) <= 4*len(order)+4 {
		return
	}
	clear(a.issuers)
}

// Granted records the answer of an issuer that was asked for units at sentAt. The lifetime starts then, since the answer may
// have been delayed. A retryAfter above zero states that the issuer has no further units for this time.
func (a *Allowance) Granted(now, sentAt time.Time, issuer string, units int, retryAfter time.Duration) {
	s := issuerState{}
	if retryAfter <= 0 {
		delete(a.tried, issuer) // It may have more for requests that arrived during the call.
	} else {
		s.emptyUntil, s.nextUnitAt = now.Add(min(max(retryAfter, minEmptyPeriod), maxEmptyPeriod)), now.Add(retryAfter)
	}
	a.issuers[issuer] = s
	if units <= 0 {
		return
	}
	if expires := sentAt.Add(a.life); now.Before(expires) {
		a.add(lot{expires: expires, units: units})
	} else {
		a.expired += uint64(units)
	}
}

// Unreachable records that an issuer did not answer, or that it may not issue units.
func (a *Allowance) Unreachable(now time.Time, issuer string) {
	failures := a.issuers[issuer].failures
	a.issuers[issuer] = issuerState{
		unreachableUntil: now.Add(min(minUnreachablePeriod<<min(failures, 10), maxUnreachablePeriod)), failures: failures + 1,
	}
}

// Refusal returns the retry time for a request without a unit that has a number of requests before it, and whether an issuer
// has answered that none is left. If not, no issuer is available.
func (a *Allowance) Refusal(now time.Time, order []string, ahead int) (retryAfter time.Duration, overLimit bool) {
	retryAfter = math.MaxInt64
	for _, name := range order {
		if s := a.issuers[name]; now.Sub(s.nextUnitAt) < MaxWait {
			overLimit = true
			retryAfter = min(retryAfter, max(s.nextUnitAt.Sub(now), minRetryAfter))
		}
	}
	if !overLimit {
		return unavailableAfter, false
	}
	return retryAfter + time.Duration(float64(ahead)/max(a.limit.RatePerSecond, 1e-3)*float64(time.Second)), true
}
