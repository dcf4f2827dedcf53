package cluster

import (
	"sync"
	"time"
)

const (
	// commandLeaseDuration is how long after the start of its last successful heartbeat a coordinator may send commands
	// to engines that ignore fencing tokens.
	commandLeaseDuration = 2 * time.Second

	// commandLeaseWait is how long a new coordinator waits before it sends such commands. It exceeds the lease duration
	// by a margin for clocks that run at different speeds and for a command in flight.
	commandLeaseWait = 6 * time.Second
)

// commandLease is the lease under which a coordinator may send commands to engines that ignore fencing tokens.
type commandLease struct {
	mu         sync.Mutex
	acquiredAt time.Time // Start of the first successful heartbeat since this daemon became coordinator.
	renewedAt  time.Time // Start of the last successful heartbeat.
}

func (l *commandLease) renew(startedAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.acquiredAt.IsZero() {
		l.acquiredAt = startedAt
	}
	l.renewedAt = startedAt
}

func (l *commandLease) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.acquiredAt, l.renewedAt = time.Time{}, time.Time{}
}

// isHeld reports whether the lease is valid. It uses the clock that advanced more: the monotonic clock does not advance
// while a VM is suspended, and the wall clock may step.
func (l *commandLease) isHeld(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.renewedAt.IsZero() && maxElapsed(l.renewedAt, now) < commandLeaseDuration
}

// formerLeasesExpired reports whether the leases of all former coordinators have certainly expired.
func (l *commandLease) formerLeasesExpired(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	// The clock that advanced less is used, so that a step of the wall clock cannot shorten the wait.
	return !l.acquiredAt.IsZero() && min(now.Sub(l.acquiredAt), now.Round(0).Sub(l.acquiredAt.Round(0))) >= commandLeaseWait
}

func maxElapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

// CommandLeaseState reports whether this daemon may send commands to engines, and whether the leases of all former
// coordinators have expired.
func (a *Agent) CommandLeaseState() (held, formerLeasesExpired bool) {
	now := time.Now()
	return a.IsCoordinator() && a.coordinator.lease.isHeld(now), a.coordinator.lease.formerLeasesExpired(now)
}
