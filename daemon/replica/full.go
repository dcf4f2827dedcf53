package replica

import (
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Limits of a disk that is nearly full.
const (
	// reservedBytes are left free for views and for the entries that are written again before a segment is removed: a segment
	// and the ledgers. Without them, a full disk could not free space by itself. Of a small disk, an eighth is reserved.
	reservedBytes      = 32 << 20
	spaceCheckInterval = 200 * time.Millisecond
	fullRetryInterval  = 500 * time.Millisecond // Time until a write is tried again after the disk has refused one for lack of space.
)

// diskSpace decides whether the disk has space for writes of callers and copies.
type diskSpace struct {
	fs FileSystem

	mu        sync.Mutex
	checkedAt time.Time
	refusedAt time.Time // When the disk last refused a write for lack of space; zero after a successful write.
	low       bool      // Fewer bytes than the reserved ones are free.
}

// isFull reports whether writes must be refused.
func (d *diskSpace) isFull(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.refusedAt.IsZero() && now.Sub(d.refusedAt) < fullRetryInterval {
		return true
	}
	if reporter, ok := d.fs.(spaceReporter); ok && now.Sub(d.checkedAt) >= spaceCheckInterval {
		d.checkedAt = now
		free, total, err := reporter.Space()
		d.low = err == nil && free < min(reservedBytes, total/8)
	}
	return d.low
}

// onWrite records the result of a write. It reports whether the disk refused the write for lack of space.
func (d *diskSpace) onWrite(now time.Time, err error) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	refused := errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
	switch {
	case refused:
		d.refusedAt = now
	case err == nil:
		d.refusedAt = time.Time{}
	}
	return refused
}

// errDiskFull means that the disk has no space for writes of callers and copies.
var errDiskFull = errors.New("disk is full")
