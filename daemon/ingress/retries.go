package ingress

import (
	"sync"

	"jackdawbay.dev/core/schedule"
)

// retryBudgets holds one retry budget for each service and one for all engines, so that retries cannot multiply the
// load on a failing upstream.
type retryBudgets struct {
	mu      sync.Mutex
	budgets map[string]schedule.RetryBudget
}

func newRetryBudgets() *retryBudgets {
	return &retryBudgets{budgets: map[string]schedule.RetryBudget{}}
}

// recordFirstAttempt counts a first attempt. The ratio applies when the budget is created.
func (r *retryBudgets) recordFirstAttempt(name string, ratio float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b, ok := r.budgets[name]
	if !ok {
		b = schedule.NewRetryBudget(ratio)
	}
	r.budgets[name] = b.AddFirstAttempt()
}

// takeRetry takes one retry from a budget. It reports false if none is left.
func (r *retryBudgets) takeRetry(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	b, allowed := r.budgets[name].TakeRetry()
	if allowed {
		r.budgets[name] = b
	}
	return allowed
}
