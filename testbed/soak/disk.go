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
	syncInterval = 50 * time.Millisecond
	slowSync     = 150 * time.Millisecond // Replicas log a sync from here on; the sites' disks take 2 to 5 ms.
	longestStall = 60 * time.Second       // Bounds what a slow disk adds to a time limit.
)

// diskWatch adds up the time of slow syncs of the disk that the replicas of a run share. A gateway gives a replica 700 ms, so
// turns are refused while that disk is slower, whatever the replicas do.
type diskWatch struct{ slow atomic.Int64 }

// watch syncs a file in a folder until it is told to end.
func (w *diskWatch) watch(dir string, end <-chan struct{}) error {
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
		w.add(time.Since(start))
	}
}

func (w *diskWatch) add(took time.Duration) {
	if took > slowSync {
		w.slow.Add(int64(took))
	}
}

// limit is a time limit that does not count the time of slow syncs.
type limit struct {
	at     time.Time
	watch  *diskWatch
	before int64 // Time of slow syncs when the limit was set.
}

func (s *soak) within(d time.Duration) limit {
	return limit{at: time.Now().Add(d), watch: &s.disk, before: s.disk.slow.Load()}
}

func (l limit) extension() time.Duration {
	return min(time.Duration(l.watch.slow.Load()-l.before), longestStall)
}

func (l limit) end() time.Time { return l.at.Add(l.extension()) }

func (l limit) passed() bool { return time.Now().After(l.end()) }
