package soak

import (
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Bounds of the watch of the machine's disk.
const (
	syncInterval      = 50 * time.Millisecond
	slowSyncThreshold = 150 * time.Millisecond // Replicas log a sync from here on; the sites' disks take 2 to 5 ms.
	maxExtension      = 60 * time.Second       // Bounds what a slow disk adds to a time limit.
)

// diskMonitor adds up the time of slow syncs of the disk that the replicas of a run share. A gateway gives a replica 700 ms, so
// turns are refused while that disk is slower, whatever the replicas do.
type diskMonitor struct{ slowTime atomic.Int64 }

// watch syncs a file in a folder until it is told to end.
func (w *diskMonitor) run(dir string, end <-chan struct{}) error {
	f, err := os.Create(filepath.Join(dir, "disk-watch"))
	if err != nil {
		return errors.Wrap(err, "create the file of the disk watch")
	}
	for {
		select {
		case <-end:
			return f.Close()
		case <-time.After(syncInterval):
		}
		if _, err := f.WriteAt([]byte{1}, 0); err != nil {
			return errors.CombineErrors(errors.Wrap(err, "write the file of the disk watch"), f.Close())
		}
		start := time.Now()
		if err := f.Sync(); err != nil {
			return errors.CombineErrors(errors.Wrap(err, "sync the file of the disk watch"), f.Close())
		}
		w.recordSync(time.Since(start))
	}
}

func (w *diskMonitor) recordSync(took time.Duration) {
	if took > slowSyncThreshold {
		w.slowTime.Add(int64(took))
	}
}

// limit is a time limit that does not count the time of slow syncs.
type timeLimit struct {
	base       time.Time
	monitor    *diskMonitor
	slowBefore int64 // Time of slow syncs when the limit was set.
}

func (s *soakRun) newTimeLimit(d time.Duration) timeLimit {
	return timeLimit{base: time.Now().Add(d), monitor: &s.disk, slowBefore: s.disk.slowTime.Load()}
}

func (l timeLimit) extension() time.Duration {
	return min(time.Duration(l.monitor.slowTime.Load()-l.slowBefore), maxExtension)
}

func (l timeLimit) deadline() time.Time { return l.base.Add(l.extension()) }

func (l timeLimit) isExpired() bool { return time.Now().After(l.deadline()) }
