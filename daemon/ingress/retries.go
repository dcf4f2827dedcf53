package ingress

import (
	"sync"
	"time"
)

// retryBudget allows retries in proportion to first attempts, so that retries cannot multiply the load on an upstream
// that fails. Its balance is bounded on both sides.
type retryBudget struct {
	mu      sync.Mutex
	ratio   float64
	balance float64
	last    time.Time
}

const (
	// minRetriesPerSecond keeps retries possible for an upstream with few calls.
	minRetriesPerSecond = 1.0
	maxRetryBalance     = 20.0
)

// First counts a first attempt.
func (b *retryBudget) First(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.balance = min(b.balance+b.ratio, maxRetryBalance)
}

// Retry takes one retry from the budget, and reports false when there is none.
func (b *retryBudget) Retry(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

func (b *retryBudget) refill(now time.Time) {
	if !b.last.IsZero() {
		b.balance += now.Sub(b.last).Seconds() * minRetriesPerSecond
	} else {
		b.balance += minRetriesPerSecond
	}
	b.balance = min(b.balance, maxRetryBalance)
	b.last = now
}

// retryBudgets holds a budget for each upstream or engine group.
type retryBudgets struct {
	mu     sync.Mutex
	byName map[string]*retryBudget
}

func newRetryBudgets() *retryBudgets { return &retryBudgets{byName: map[string]*retryBudget{}} }

func (r *retryBudgets) of(name string, ratio float64) *retryBudget {
	r.mu.Lock()
	defer r.mu.Unlock()
	b, ok := r.byName[name]
	if !ok {
		b = &retryBudget{}
		r.byName[name] = b
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio = ratio
	return b
}
