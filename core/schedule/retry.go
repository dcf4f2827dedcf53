package schedule

import "time"

// RetryBudget bounds retries and hedged attempts to a ratio of first attempts, with a small reserve for quiet times.
type RetryBudget struct {
	ratio   float64
	level   float64
	maximum float64
}

// retryReserve is the number of retries that are allowed without earlier first attempts.
const retryReserve = 3.0

// NewRetryBudget returns a budget that allows ratio retries for each first attempt.
func NewRetryBudget(ratio float64) RetryBudget {
	ratio = max(ratio, 0)
	reserve := 0.0
	if ratio > 0 {
		reserve = retryReserve
	}
	return RetryBudget{ratio: ratio, level: reserve, maximum: reserve + 100*ratio}
}

// AddFirstAttempt returns the budget after a first attempt.
func (b RetryBudget) AddFirstAttempt() RetryBudget {
	b.level = min(b.level+b.ratio, b.maximum)
	return b
}

// Retry returns the budget after a retry, and false when it does not allow one.
func (b RetryBudget) TakeRetry() (RetryBudget, bool) {
	if b.level < 1 {
		return b, false
	}
	b.level--
	return b, true
}

// Attempt describes a running attempt that could be hedged.
type Attempt struct {
	Idempotent        bool
	HasFirstToken     bool // The engine has begun to respond.
	RunningFor        time.Duration
	TypicalFirstToken time.Duration // Usual time to the first token.
	Hedges            int
}

// hedgeFactor is the multiple of the usual time to the first token after which a second attempt is worth its cost.
const hedgeFactor = 4

// ShouldHedge reports whether a second attempt may start on another engine. A non-idempotent call is never hedged.
func ShouldHedge(a Attempt, b RetryBudget) bool {
	if !a.Idempotent || a.HasFirstToken || a.Hedges > 0 || a.TypicalFirstToken <= 0 {
		return false
	}
	_, allowed := b.TakeRetry()
	return allowed && a.RunningFor > hedgeFactor*a.TypicalFirstToken
}
