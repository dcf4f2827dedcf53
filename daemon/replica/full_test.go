package replica

import (
	"bytes"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"jackdawbay.dev/core/replica"
)

// smallDisk is an in-memory file system with a capacity. A write beyond it stores the part that fits and fails.
type smallDisk struct {
	*faultFS

	mu       sync.Mutex
	capacity int
	writes   int
}

type smallFile struct {
	*faultFile
	disk *smallDisk
}

func (d *smallDisk) used() (n int) {
	for _, f := range d.files {
		n += len(f.content)
	}
	return n
}

func (d *smallDisk) Create(name string) (File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f, err := d.faultFS.Create(name)
	if err != nil {
		return nil, err
	}
	return &smallFile{f.(*faultFile), d}, nil
}

func (d *smallDisk) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.faultFS.Remove(name)
}

func (f *smallFile) Write(p []byte) (int, error) {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	f.disk.writes++
	if fits := f.disk.capacity - f.disk.used(); fits < len(p) {
		n, _ := f.faultFile.Write(p[:max(fits, 0)])
		return n, syscall.ENOSPC
	}
	return f.faultFile.Write(p)
}

func (d *smallDisk) writeCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.writes
}

// reportingDisk is a smallDisk that reports its free space.
type reportingDisk struct{ *smallDisk }

func (d reportingDisk) Space() (free, total uint64, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return uint64(max(d.capacity-d.used(), 0)), uint64(d.capacity), nil
}

func storeLarge(t *testing.T, s *Server, id string) bool {
	t.Helper()
	turn := &Turn{ID: id, Input: bytes.Repeat([]byte("x"), 10_000)}
	results, ok := s.executeNow(t.Context(), []Op{{Kind: OpStore, Turn: turn, RetainMS: testRetention.Milliseconds()}})
	must.True(t, ok)
	return !results[0].Failed
}

// fill stores turns until the disk is full, and returns the acknowledged ones.
func fill(t *testing.T, s *Server) (ids []string) {
	t.Helper()
	for i := range 200 {
		id := fmt.Sprint("t", i)
		if !storeLarge(t, s, id) {
			return ids
		}
		ids = append(ids, id)
	}
	t.Fatal("the disk is not full")
	return nil
}

func requireTurns(t *testing.T, s *Server, ids []string) {
	t.Helper()
	for _, id := range ids {
		_, found, err := s.state.readTurn(id)
		must.NoError(t, err)
		must.True(t, found, must.Sprint(id))
	}
}

// TestFullDisk guards against a replica that loses acknowledged turns, waits for the disk, cannot be read or does not resume
// when its disk is full. A disk that reports its space has some left for views.
func TestFullDisk(t *testing.T) {
	for name, reports := range map[string]bool{"refuses writes": false, "reports its space": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				disk := &smallDisk{faultFS: newFaultFS(), capacity: 1 << 20}
				var fs FileSystem = disk
				if reports {
					fs = reportingDisk{disk}
				}
				s := newServer(t, fs)
				var ids []string
				if reports {
					for i := range 40 { // The space is checked at intervals.
						time.Sleep(spaceCheckInterval)
						for k := range 4 {
							if id := fmt.Sprint("t", 4*i+k); storeLarge(t, s, id) {
								ids = append(ids, id)
							}
						}
					}
				} else {
					ids = fill(t, s)
				}
				must.Between(t, 50, len(ids), 104)
				before := disk.writeCount()
				for range 100 {
					must.False(t, storeLarge(t, s, "refused"))
				}
				must.Error(t, s.storeCopied(t.Context(), []record{{entry: entry{Turn: &Turn{ID: "copied"}}}}))
				test.EqOp(t, before, disk.writeCount(), test.Sprint("refused without an access to the disk"))
				requireTurns(t, s, ids)
				test.EqOp(t, reports, s.adopt(t.Context(), replica.View{Version: 1}), test.Sprint("space is reserved for views"))
				files := len(disk.files)
				for range 20 {
					time.Sleep(fullRetryInterval)
					must.False(t, storeLarge(t, s, "refused"))
				}
				test.LessEq(t, files+1, len(disk.files), test.Sprint("no file for each refused write"))
				reopened := newServer(t, fs)
				requireTurns(t, reopened, ids)
				disk.mu.Lock()
				disk.capacity *= 2
				disk.mu.Unlock()
				time.Sleep(fullRetryInterval)
				test.True(t, storeLarge(t, s, "again"), test.Sprint("there is space again"))
				requireTurns(t, s, ids)
			})
		})
	}
}

// TestFullDiskFreesSpace guards against a replica that stays full for ever, because it cannot write what it must retain before
// it removes the oldest segment.
func TestFullDiskFreesSpace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		disk := &smallDisk{faultFS: newFaultFS(), capacity: 1 << 20}
		s := newServer(t, reportingDisk{disk})
		_, ok := s.executeNow(t.Context(), []Op{{Kind: OpCharge, Program: "p", Charge: replica.Charge{Turn: "a", Tokens: 7}, RetainMS: time.Hour.Milliseconds()}})
		must.True(t, ok)
		stored := 0
		for i := range 600 {
			time.Sleep(time.Second)
			if storeLarge(t, s, fmt.Sprint("t", i)) {
				stored++
			}
			if i%50 == 49 {
				s.state.log.writeFailed = true // The next write starts a new segment.
			}
		}
		synctest.Wait()
		test.Greater(t, 300, stored)
		test.SliceLen(t, 1, newServer(t, reportingDisk{disk}).state.charges("p"))
	})
}
