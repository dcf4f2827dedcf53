package replica

import (
	"bytes"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// faultFS is an in-memory file system for fault injection. On a simulated power loss, it discards, retains or corrupts the
// data written after the last sync. It can also fail writes and syncs.
type faultFS struct {
	files       map[string]*faultFile
	syncedNames map[string]*faultFile // Files by name at the last sync of the directory.
	failWrites  bool
	failSyncs   bool
	maxWrite    atomic.Int64 // Size of the largest write in bytes.
	onSync      func()       // Called before each sync of a file; may be nil.
}

type faultFile struct {
	fs      *faultFS
	content []byte
	synced  []byte
}

func newFaultFS() *faultFS {
	return &faultFS{files: map[string]*faultFile{}, syncedNames: map[string]*faultFile{}}
}

var errDisk = errors.New("disk failure")

func (f *faultFS) Create(name string) (File, error) {
	if f.failWrites {
		return nil, errDisk
	}
	if _, ok := f.files[name]; ok {
		return nil, os.ErrExist
	}
	file := &faultFile{fs: f}
	f.files[name] = file
	return file, nil
}

func (f *faultFS) Open(name string) (File, error) {
	file, ok := f.files[name]
	if !ok {
		return nil, os.ErrNotExist
	}
	return file, nil
}

func (f *faultFS) ReadFile(name string) ([]byte, error) {
	file, ok := f.files[name]
	if !ok {
		return nil, os.ErrNotExist
	}
	return bytes.Clone(file.content), nil
}

func (f *faultFS) Remove(name string) error { delete(f.files, name); return nil }

func (f *faultFS) Rename(from, to string) error {
	f.files[to] = f.files[from]
	delete(f.files, from)
	return nil
}

func (f *faultFS) List() ([]string, error) {
	var names []string
	for name := range f.files {
		names = append(names, name)
	}
	return names, nil
}

func (f *faultFS) SyncDir() error {
	if f.failSyncs {
		return errDisk
	}
	f.syncedNames = map[string]*faultFile{}
	for name, file := range f.files {
		f.syncedNames[name] = file
	}
	return nil
}

func (f *faultFile) Write(p []byte) (int, error) {
	if f.fs.failWrites {
		return 0, errDisk
	}
	f.fs.maxWrite.Store(max(f.fs.maxWrite.Load(), int64(len(p))))
	f.content = append(f.content, p...)
	return len(p), nil
}

func (f *faultFile) ReadAt(p []byte, off int64) (int, error) {
	return copy(p, f.content[off:]), nil
}

func (f *faultFile) Close() error { return nil }

func (f *faultFile) Sync() error {
	if f.fs.onSync != nil {
		f.fs.onSync()
	}
	if f.fs.failSyncs {
		return errDisk
	}
	f.synced = bytes.Clone(f.content)
	return nil
}

// simulatePowerLoss discards, retains or corrupts the data written after the last sync of each file, at random. A file
// that was never synced may be removed if its name was not synced either.
func (f *faultFS) simulatePowerLoss(r *rand.Rand) {
	for name, file := range f.files {
		if f.syncedNames[name] != file && file.synced == nil && r.IntN(2) == 0 {
			delete(f.files, name)
			continue
		}
		tail := file.content[len(file.synced):]
		file.content = bytes.Clone(file.synced)
		switch r.IntN(3) {
		case 0:
		case 1:
			file.content = append(file.content, tail[:r.IntN(len(tail)+1)]...)
		default:
			torn := bytes.Clone(tail)
			for range min(3, len(torn)) {
				torn[r.IntN(len(torn))] ^= 0xff
			}
			file.content = append(file.content, torn...)
		}
		file.synced = bytes.Clone(file.content)
	}
	f.failWrites, f.failSyncs = false, false
}

func openTestLog(t *testing.T, fs *faultFS) (*Log, map[string]bool) {
	t.Helper()
	replayed := map[string]bool{}
	l, err := OpenLog(fs, func(payload []byte, location Location) { replayed[string(payload)] = true })
	must.NoError(t, err)
	return l, replayed
}

// Guards against acknowledged entries that are lost in a power loss, and against the replay of entries that were never
// written. The disk may discard, retain or corrupt any write after the last sync, over many power losses.
func TestAcknowledgedEntriesSurvivePowerLoss(t *testing.T) {
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 1))
		fs := newFaultFS()
		l, _ := openTestLog(t, fs)
		identity := l.Identity
		acknowledged, attempted := map[string]bool{}, map[string]bool{}
		for step := range 60 {
			switch r.IntN(8) {
			case 0:
				fs.simulatePowerLoss(r)
				var replayed map[string]bool
				l, replayed = openTestLog(t, fs)
				test.EqOp(t, identity, l.Identity, test.Sprint("disk identity after power loss"))
				for p := range acknowledged {
					if !replayed[p] {
						t.Fatalf("seed %d, step %d: %s was acknowledged and is lost", seed, step, p)
					}
				}
				for p := range replayed {
					if !attempted[p] {
						t.Fatalf("seed %d, step %d: %q was never written", seed, step, p)
					}
				}
			case 1:
				fs.failWrites = !fs.failWrites
			case 2:
				fs.failSyncs = !fs.failSyncs
			default:
				var batch [][]byte
				for i := range 1 + r.IntN(3) {
					p := fmt.Sprintf("%d-%d-%d", seed, step, i)
					attempted[p] = true
					batch = append(batch, []byte(p))
				}
				locations, err := l.Append(batch)
				if err != nil {
					continue
				}
				for i, p := range batch {
					acknowledged[string(p)] = true
					got, err := l.Read(locations[i], l.segments)
					must.NoError(t, err)
					test.EqOp(t, string(p), string(got))
				}
			}
		}
	}
}

// Guards against a disk whose identity changes, and against two disks with the same identity.
func TestDiskIdentity(t *testing.T) {
	fs := newFaultFS()
	l, _ := openTestLog(t, fs)
	reopened, _ := openTestLog(t, fs)
	test.EqOp(t, l.Identity, reopened.Identity)
	other, _ := openTestLog(t, newFaultFS())
	test.NotEq(t, l.Identity, other.Identity)
}

// Guards against the acknowledgement of a failed write, and against a replica that does not recover after the disk works
// again.
func TestServerReportsDiskErrors(t *testing.T) {
	fs := newFaultFS()
	s := newServer(t, fs)
	store := func(id string) []Result {
		results, ok := s.executeNow(t.Context(), []Op{{Kind: OpStore, Turn: &Turn{ID: id, Output: []byte("x")}, RetainMS: 1000}})
		must.True(t, ok)
		return results
	}
	test.False(t, store("one")[0].Failed)
	fs.failSyncs = true
	test.True(t, store("two")[0].Failed)
	fs.failSyncs, fs.failWrites = false, true
	test.True(t, store("three")[0].Failed)
	fs.failWrites = false
	test.False(t, store("four")[0].Failed)
	for id, want := range map[string]bool{"one": true, "four": true} {
		_, ok, err := s.state.readTurn(id)
		must.NoError(t, err)
		test.EqOp(t, want, ok)
	}
}

func discardLog() *slog.Logger { return slog.New(slog.DiscardHandler) }
