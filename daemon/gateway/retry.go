package gateway

import (
	"sync"

	"jackdawbay.dev/core/route"
	"jackdawbay.dev/core/schedule"
)

// retryRatio is the number of retries for each request over all requests of a gateway. Three of fifty engines that fail half of
// their requests need 0.03. When a third of the engines dies, a gateway has about ten requests in flight, which the reserve of
// the budget covers.
const retryRatio = 0.2

// retryBudget limits the retries over all requests of a gateway.
//
// Load: an outage of many upstreams. Without a limit, each request is sent up to maxSends times, and the remaining upstreams fail
// under the retries.
type retryBudget struct {
	mu     sync.Mutex
	budget schedule.RetryBudget
	isSet  bool
}

func (b *retryBudget) init() {
	if !b.isSet {
		b.budget, b.isSet = schedule.NewRetryBudget(retryRatio), true
	}
}

func (b *retryBudget) addRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.init()
	b.budget = b.budget.AddFirstAttempt()
}

func (b *retryBudget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.init()
	budget, ok := b.budget.TakeRetry()
	b.budget = budget
	return ok
}

func (b *retryBudget) isExhausted() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.init()
	_, ok := b.budget.TakeRetry()
	return !ok
}

// hasRetry reports whether the budget allows a retry.
func (c *call) hasRetry() bool { return !c.g.managesOverload() || !c.g.retries.isExhausted() }

// limitRetries returns the action after a send under the retry budget. A send that did not reach an upstream, and the first
// rejection of a request, have cost no upstream any work; they do not count.
func (c *call) limitRetries(outcome route.Outcome, next route.Action) route.Action {
	if next != route.ResendRequest && next != route.ResumeStream || !c.g.managesOverload() {
		return next
	}
	if outcome == route.NotSent || outcome == route.Rejected && c.rejections <= 1 {
		return next
	}
	if c.g.retries.take() {
		c.g.stats.countRetry("made")
		return next
	}
	c.g.stats.countRetry("refused")
	c.retryRefused = true
	return route.NextAction(c.route, outcome, false)
}
