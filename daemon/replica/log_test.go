package replica

import (
	"bytes"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// faultFS is a file system in memory that forgets, keeps or tears each write after the last sync when power is lost, and
// refuses writes or syncs on request.
type faultFS struct {
	files      map[string]*faultFile
	durable    map[string]*faultFile // Names after the last sync of the directory.
	failWrites bool
	failSyncs  bool
}

type faultFile struct {
	fs      *faultFS
	content []byte
	synced  []byte
}

func newFaultFS() *faultFS {
	return &faultFS{files: map[string]*faultFile{}, durable: map[string]*faultFile{}}
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
	f.durable = map[string]*faultFile{}
	for name, file := range f.files {
		f.durable[name] = file
	}
	return nil
}

func (f *faultFile) Write(p []byte) (int, error) {
	if f.fs.failWrites {
		return 0, errDisk
	}
	f.content = append(f.content, p...)
	return len(p), nil
}

func (f *faultFile) ReadAt(p []byte, off int64) (int, error) {
	return copy(p, f.content[off:]), nil
}

func (f *faultFile) Close() error { return nil }

func (f *faultFile) Sync() error {
	if f.fs.failSyncs {
		return errDisk
	}
	f.synced = bytes.Clone(f.content)
	return nil
}

// losePower drops, keeps or tears what was written after the last sync. A file that was synced keeps its name.
func (f *faultFS) losePower(r *rand.Rand) {
	for name, file := range f.files {
		if f.durable[name] != file && file.synced == nil && r.IntN(2) == 0 {
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

func reopen(t *testing.T, fs *faultFS) (*Log, map[string]bool) {
	t.Helper()
	seen := map[string]bool{}
	l, err := OpenLog(fs, func(payload []byte, at Location) { seen[string(payload)] = true })
	must.NoError(t, err)
	return l, seen
}

// Guards against an acknowledged entry that a loss of power destroys, and against an entry that was never written and appears:
// whatever the disk does with the writes after the last sync, over many losses.
func TestLogKeepsWhatWasAcknowledged(t *testing.T) {
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 1))
		fs := newFaultFS()
		l, _ := reopen(t, fs)
		identity := l.Identity
		acknowledged, attempted := map[string]bool{}, map[string]bool{}
		for step := range 60 {
			switch r.IntN(8) {
			case 0:
				fs.losePower(r)
				var seen map[string]bool
				l, seen = reopen(t, fs)
				test.EqOp(t, identity, l.Identity, test.Sprint("an identity that was used is durable"))
				for p := range acknowledged {
					if !seen[p] {
						t.Fatalf("seed %d, step %d: %s was acknowledged and is gone", seed, step, p)
					}
				}
				for p := range seen {
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
				at, err := l.Append(batch)
				if err != nil {
					continue
				}
				for i, p := range batch {
					acknowledged[string(p)] = true
					got, err := l.Read(at[i], l.segments)
					must.NoError(t, err)
					test.EqOp(t, string(p), string(got))
				}
			}
		}
	}
}

// Guards against a second identity for one disk, and against one identity for two disks.
func TestIdentity(t *testing.T) {
	fs := newFaultFS()
	l, _ := reopen(t, fs)
	again, _ := reopen(t, fs)
	test.EqOp(t, l.Identity, again.Identity)
	other, _ := reopen(t, newFaultFS())
	test.NotEq(t, l.Identity, other.Identity)
}

// Guards against an acknowledgement of what the disk has refused, and against a replica that stays broken after the disk is
// sound again.
func TestServerReportsADiskThatRefuses(t *testing.T) {
	fs := newFaultFS()
	s := newServer(t, fs)
	keep := func(id string) []Result {
		results, ok := s.perform(t.Context(), []Op{{Kind: OpStore, Turn: &Turn{ID: id, Output: []byte("x")}, RetainMS: 1000}})
		must.True(t, ok)
		return results
	}
	test.False(t, keep("one")[0].Failed)
	fs.failSyncs = true
	test.True(t, keep("two")[0].Failed)
	fs.failSyncs, fs.failWrites = false, true
	test.True(t, keep("three")[0].Failed)
	fs.failWrites = false
	test.False(t, keep("four")[0].Failed)
	for id, want := range map[string]bool{"one": true, "four": true} {
		_, ok, err := s.state.turn(id)
		must.NoError(t, err)
		test.EqOp(t, want, ok)
	}
}

func quietLog() *slog.Logger { return slog.New(slog.DiscardHandler) }
