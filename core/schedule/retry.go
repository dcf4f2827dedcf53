package schedule

import "time"

// RetryBudget limits retries and hedged attempts to a ratio of first attempts, plus a small reserve for times of low
// traffic.
type RetryBudget struct {
	ratio     float64
	available float64
	capacity  float64
}

// retryReserve is the number of retries that are allowed without preceding first attempts.
const retryReserve = 3.0

// NewRetryBudget returns a budget that allows ratio retries per first attempt.
func NewRetryBudget(ratio float64) RetryBudget {
	ratio = max(ratio, 0)
	reserve := 0.0
	if ratio > 0 {
		reserve = retryReserve
	}
	return RetryBudget{ratio: ratio, available: reserve, capacity: reserve + 100*ratio}
}

// AddFirstAttempt returns the budget after a first attempt.
func (b RetryBudget) AddFirstAttempt() RetryBudget {
	b.available = min(b.available+b.ratio, b.capacity)
	return b
}

// TakeRetry returns the budget after a retry, and false if the budget does not allow one.
func (b RetryBudget) TakeRetry() (RetryBudget, bool) {
	if b.available < 1 {
		return b, false
	}
	b.available--
	return b, true
}

// Attempt describes a running attempt that may be hedged.
type Attempt struct {
	Idempotent        bool
	HasFirstToken     bool // The first token of the response has arrived.
	RunningFor        time.Duration
	TypicalFirstToken time.Duration // Typical time to the first token.
	Hedges            int
}

// hedgeFactor is the multiple of the typical time to the first token after which a hedged attempt is worth its cost.
const hedgeFactor = 4

// ShouldHedge reports whether a hedged attempt may start on another engine. A non-idempotent call is never hedged.
func ShouldHedge(a Attempt, b RetryBudget) bool {
	if !a.Idempotent || a.HasFirstToken || a.Hedges > 0 || a.TypicalFirstToken <= 0 {
		return false
	}
	_, allowed := b.TakeRetry()
	return allowed && a.RunningFor > hedgeFactor*a.TypicalFirstToken
}
