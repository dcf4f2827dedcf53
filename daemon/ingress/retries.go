package ingress

import (
	"sync"

	"jackdawbay.dev/core/schedule"
)

// retryBudgets holds a budget for each upstream and for the engines, so that retries cannot multiply the load on an
// upstream that fails.
type retryBudgets struct {
	mu     sync.Mutex
	byName map[string]schedule.RetryBudget
}

func newRetryBudgets() *retryBudgets { return &retryBudgets{byName: map[string]schedule.RetryBudget{}} }

// first counts a first attempt. The ratio is used when the budget is new.
func (r *retryBudgets) first(name string, ratio float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b, ok := r.byName[name]
	if !ok {
		b = schedule.NewRetryBudget(ratio)
	}
	r.byName[name] = b.AddFirstAttempt()
}

// retry takes one retry from a budget, and reports false when there is none.
func (r *retryBudgets) retry(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	b, allowed := r.byName[name].TakeRetry()
	if allowed {
		r.byName[name] = b
	}
	return allowed
}
