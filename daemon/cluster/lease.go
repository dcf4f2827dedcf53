package cluster

import (
	"sync"
	"time"
)

const (
	// commandLeaseTime is how long after the start of its last successful sign of life a coordinator may give commands to
	// engines that ignore fencing tokens.
	commandLeaseTime = 2 * time.Second

	// commandLeaseWait is how long a new coordinator waits before it gives such commands. It is above the lease time by a
	// margin for clocks that run at different speeds and for a command that is still on its way.
	commandLeaseWait = 6 * time.Second
)

// commandLease is the right of a coordinator to command engines that ignore fencing tokens.
type commandLease struct {
	mu      sync.Mutex
	since   time.Time // First sign of life in this term of office.
	renewed time.Time // Start of the last successful sign of life.
}

func (l *commandLease) renew(sent time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.since.IsZero() {
		l.since = sent
	}
	l.renewed = sent
}

func (l *commandLease) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.since, l.renewed = time.Time{}, time.Time{}
}

// held reports whether the lease is valid. The clock that advanced most counts: the monotonic clock stands still while a
// VM is suspended, and the wall clock may step.
func (l *commandLease) held(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.renewed.IsZero() && elapsed(l.renewed, now) < commandLeaseTime
}

// formerExpired reports whether every former coordinator's lease has expired for certain.
func (l *commandLease) formerExpired(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	// Here the clock that advanced least counts, so that a step of the wall clock cannot shorten the wait.
	return !l.since.IsZero() && min(now.Sub(l.since), now.Round(0).Sub(l.since.Round(0))) >= commandLeaseWait
}

func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

// CommandLeaseState reports whether this daemon may command engines, and whether every former coordinator's lease has expired.
func (a *Agent) CommandLeaseState() (held, formerExpired bool) {
	now := time.Now()
	return a.IsCoordinator() && a.coordinator.lease.held(now), a.coordinator.lease.formerExpired(now)
}
