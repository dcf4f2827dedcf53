package cluster

import (
	"context"
	"sync"
	"time"

	"jackdawbay.dev/core/membership"
)

// maxAnswers bounds the cache. Members of other data centres are not forgotten one by one, so a full cache begins again.
const maxAnswers = 4096

// answerCache keeps the newest probe of each member for one probe interval, so that many waiting calls cost one probe.
type answerCache struct {
	mu       sync.Mutex
	byMember map[string]*answer
}

type answer struct {
	mu sync.Mutex // Held while the member is probed.
	at time.Time
	ok bool
}

func (c *answerCache) of(incarnation string) *answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byMember == nil || len(c.byMember) >= maxAnswers {
		c.byMember = map[string]*answer{}
	}
	a, ok := c.byMember[incarnation]
	if !ok {
		a = &answer{}
		c.byMember[incarnation] = a
	}
	return a
}

// forget drops members that left the roster.
func (c *answerCache) forget(gone []membership.Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range gone {
		delete(c.byMember, m.Incarnation)
	}
}

// silentFor is how long a member that did not answer is taken to be silent, unless it answers meanwhile.
const silentFor = 5 * time.Second

// Silent reports whether a member did not answer lately. It asks nothing.
func (a *Agent) IsUnresponsive(incarnation string) bool {
	a.detectMu.Lock()
	suspected := a.detector.IsSuspected(incarnation)
	a.detectMu.Unlock()
	if suspected {
		return true
	}
	known := a.answers.of(incarnation)
	if !known.mu.TryLock() {
		return false
	}
	defer known.mu.Unlock()
	return !known.ok && time.Since(known.at) < silentFor
}

// Answers reports whether a member answered a probe within the last probe interval.
func (a *Agent) RespondsToProbe(ctx context.Context, m membership.Member) bool {
	known := a.answers.of(m.Incarnation)
	known.mu.Lock()
	defer known.mu.Unlock()
	if time.Since(known.at) < membership.ProbeInterval {
		return known.ok
	}
	// The probe serves all callers, so that it does not end with one of them.
	known.ok = a.probe(context.WithoutCancel(ctx), m) == membership.ProbeOK
	known.at = time.Now()
	return known.ok
}
