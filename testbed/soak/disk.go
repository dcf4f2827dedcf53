package soak

import (
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Parameters of the disk monitor.
const (
	syncInterval      = 50 * time.Millisecond
	slowSyncThreshold = 150 * time.Millisecond // Replicas log a sync that takes longer; the sites' disks take 2 to 5 ms.
	maxExtension      = 60 * time.Second       // Maximum time that a slow disk adds to a time limit.
)

// diskMonitor sums up the duration of slow syncs of the disk that all replicas of a run share. A gateway waits 700 ms for a
// replica, so turns are rejected while the disk is slower, even if the replicas are correct.
type diskMonitor struct{ slowTime atomic.Int64 }

// run writes and syncs a file in a directory until end is closed. It returns the first error.
func (m *diskMonitor) run(dir string, stop <-chan struct{}) error {
	f, err := os.Create(filepath.Join(dir, "disk-watch"))
	if err != nil {
		return errors.Wrap(err, "create the disk monitor's file")
	}
	for {
		select {
		case <-stop:
			return f.Close()
		case <-time.After(syncInterval):
		}
		if _, err := f.WriteAt([]byte{1}, 0); err != nil {
			return errors.CombineErrors(errors.Wrap(err, "write the disk monitor's file"), f.Close())
		}
		start := time.Now()
		if err := f.Sync(); err != nil {
			return errors.CombineErrors(errors.Wrap(err, "sync the disk monitor's file"), f.Close())
		}
		m.recordSync(time.Since(start))
	}
}

func (m *diskMonitor) recordSync(duration time.Duration) {
	if duration > slowSyncThreshold {
		m.slowTime.Add(int64(duration))
	}
}

// timeLimit is a time limit that is extended by the duration of slow syncs, up to maxExtension.
type timeLimit struct {
	baseDeadline    time.Time
	monitor         *diskMonitor
	initialSlowTime int64 // Total duration of slow syncs when the limit was set, in nanoseconds.
}

func (s *soakRun) newTimeLimit(d time.Duration) timeLimit {
	return timeLimit{baseDeadline: time.Now().Add(d), monitor: &s.disk, initialSlowTime: s.disk.slowTime.Load()}
}

func (l timeLimit) extension() time.Duration {
	return min(time.Duration(l.monitor.slowTime.Load()-l.initialSlowTime), maxExtension)
}

func (l timeLimit) deadline() time.Time { return l.baseDeadline.Add(l.extension()) }

func (l timeLimit) isExpired() bool { return time.Now().After(l.deadline()) }
