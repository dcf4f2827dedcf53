package cluster

import (
	"context"
	"sync"
	"time"

	"jackdawbay.dev/core/membership"
)

// maxCachedProbes bounds the cache. Members of other data centres are not removed one by one, so a full cache is
// cleared.
const maxCachedProbes = 4096

// probeCache caches the newest probe result of each member for one probe interval, so that many waiting calls share one
// probe.
type probeCache struct {
	mu      sync.Mutex
	entries map[string]*cachedProbe
}

type cachedProbe struct {
	mu        sync.Mutex // Held while the member is probed.
	probedAt  time.Time
	responded bool
}

func (c *probeCache) entry(incarnation string) *cachedProbe {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.entries == nil || len(c.entries) >= maxCachedProbes {
		c.entries = map[string]*cachedProbe{}
	}
	cached, ok := c.entries[incarnation]
	if !ok {
		cached = &cachedProbe{}
		c.entries[incarnation] = cached
	}
	return cached
}

// remove deletes the results of members that were removed from the roster.
func (c *probeCache) remove(members []membership.Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range members {
		delete(c.entries, m.Incarnation)
	}
}

// unresponsiveTTL is how long a member counts as unresponsive after a failed probe, unless it responds to a later one.
const unresponsiveTTL = 5 * time.Second

// IsUnresponsive reports whether a member is suspected or did not respond to a recent probe. It sends no probe. While
// another goroutine probes the member, only the suspicion counts.
func (a *Agent) IsUnresponsive(incarnation string) bool {
	a.detectorMu.Lock()
	suspected := a.detector.IsSuspected(incarnation)
	a.detectorMu.Unlock()
	if suspected {
		return true
	}
	cached := a.probeResults.entry(incarnation)
	if !cached.mu.TryLock() {
		return false
	}
	defer cached.mu.Unlock()
	return !cached.responded && time.Since(cached.probedAt) < unresponsiveTTL
}

// RespondsToProbe reports whether a member responds to a probe. A result from the last probe interval is reused.
func (a *Agent) RespondsToProbe(ctx context.Context, m membership.Member) bool {
	cached := a.probeResults.entry(m.Incarnation)
	cached.mu.Lock()
	defer cached.mu.Unlock()
	if time.Since(cached.probedAt) < membership.ProbeInterval {
		return cached.responded
	}
	// All callers share the result, so the probe must not end with the context of one of them.
	cached.responded = a.probe(context.WithoutCancel(ctx), m) == membership.ProbeOK
	cached.probedAt = time.Now()
	return cached.responded
}
