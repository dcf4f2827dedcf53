package replica

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/ulid/v2"
)

// Format of a segment: frames of length, CRC-32C and payload.
const (
	frameHeaderBytes = 8
	maxFrameBytes    = 32 << 20 // A longer length is a torn frame.
	segmentBytes     = 16 << 20 // A segment is closed at this size, so that space comes back in parts.
	segmentSuffix    = ".log"
	identityFile     = "identity"
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// File is what the log needs of a file.
type File interface {
	io.Writer
	io.ReaderAt
	io.Closer
	Sync() error
}

// FileSystem is what the log needs of a disk. Tests inject faults through it.
type FileSystem interface {
	Create(name string) (File, error) // Fails if the file exists.
	Open(name string) (File, error)
	ReadFile(name string) ([]byte, error)
	Remove(name string) error
	Rename(from, to string) error
	List() ([]string, error)
	SyncDir() error
}

// Location is the place of a payload.
type Location struct {
	Segment uint64
	Offset  int64
	Length  int
}

type segment struct {
	id       uint64
	file     File
	size     int64
	lastUsed time.Time
}

// Log is an append-only log of checksummed frames. One goroutine appends; reads are safe beside it.
type Log struct {
	fs       FileSystem
	Identity string // Drawn when the data directory was empty.
	segments []*segment
	broken   bool // The last write failed, so that the end of the newest segment is unknown.
	nextID   uint64
}

// OpenLog opens the log and passes each whole frame to replay, oldest first.
func OpenLog(fs FileSystem, replay func(payload []byte, at Location)) (*Log, error) {
	l := &Log{fs: fs}
	if err := l.identify(); err != nil {
		return nil, err
	}
	names, err := fs.List()
	if err != nil {
		return nil, errors.Wrap(err, "list the data directory")
	}
	sort.Strings(names)
	for _, name := range names {
		var id uint64
		if !strings.HasSuffix(name, segmentSuffix) {
			continue
		}
		if _, err := fmt.Sscanf(name, "%d", &id); err != nil {
			continue
		}
		if err := l.replaySegment(id, replay); err != nil {
			return nil, err
		}
		l.nextID = max(l.nextID, id+1)
	}
	return l, l.rotate()
}

// identify reads the identity of the disk or draws one. It is written beside and renamed, so that a lost identity means an
// empty disk.
func (l *Log) identify() error {
	raw, err := l.fs.ReadFile(identityFile)
	if err == nil && len(raw) == ulid.EncodedSize {
		l.Identity = string(raw)
		return nil
	}
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return errors.Wrap(err, "read the identity of the disk")
	}
	id := ulid.Make().String()
	_ = l.fs.Remove(identityFile + ".new") // Left by a start that did not finish, or absent.
	f, err := l.fs.Create(identityFile + ".new")
	if err != nil {
		return errors.Wrap(err, "create the identity of the disk")
	}
	defer func() { _ = f.Close() }()
	if _, err := f.Write([]byte(id)); err != nil {
		return errors.Wrap(err, "write the identity of the disk")
	}
	if err := f.Sync(); err != nil {
		return errors.Wrap(err, "sync the identity of the disk")
	}
	if err := l.fs.Rename(identityFile+".new", identityFile); err != nil {
		return errors.Wrap(err, "rename the identity of the disk")
	}
	if err := l.fs.SyncDir(); err != nil {
		return errors.Wrap(err, "sync the data directory")
	}
	l.Identity = id
	return nil
}

func segmentName(id uint64) string { return fmt.Sprintf("%020d%s", id, segmentSuffix) }

// replaySegment stops at the first frame that is not whole: what follows was not synchronised, so it was not acknowledged.
func (l *Log) replaySegment(id uint64, replay func([]byte, Location)) error {
	raw, err := l.fs.ReadFile(segmentName(id))
	if err != nil {
		return errors.Wrapf(err, "read segment %d", id)
	}
	var offset int64
	for {
		payload, ok := frameAt(raw, offset)
		if !ok {
			break
		}
		replay(payload, Location{Segment: id, Offset: offset + frameHeaderBytes, Length: len(payload)})
		offset += frameHeaderBytes + int64(len(payload))
	}
	f, err := l.fs.Open(segmentName(id))
	if err != nil {
		return errors.Wrapf(err, "open segment %d", id)
	}
	l.segments = append(l.segments, &segment{id: id, file: f, size: offset, lastUsed: time.Now()})
	return nil
}

func frameAt(raw []byte, offset int64) ([]byte, bool) {
	rest := raw[offset:]
	if len(rest) < frameHeaderBytes {
		return nil, false
	}
	n := binary.LittleEndian.Uint32(rest)
	if n == 0 || n > maxFrameBytes || int(n) > len(rest)-frameHeaderBytes {
		return nil, false
	}
	payload := rest[frameHeaderBytes : frameHeaderBytes+int(n)]
	return payload, crc32.Checksum(payload, castagnoli) == binary.LittleEndian.Uint32(rest[4:])
}

func (l *Log) rotate() error {
	f, err := l.fs.Create(segmentName(l.nextID))
	if err != nil {
		return errors.Wrap(err, "create a segment")
	}
	l.segments = append(l.segments, &segment{id: l.nextID, file: f, lastUsed: time.Now()})
	l.nextID++
	l.broken = false
	return errors.Wrap(l.fs.SyncDir(), "sync the data directory")
}

// Append writes payloads and synchronises them. After an error none of them may be acknowledged, and the next append
// starts a new segment.
func (l *Log) Append(payloads [][]byte) ([]Location, error) {
	newest := l.segments[len(l.segments)-1]
	if l.broken || newest.size >= segmentBytes {
		if err := l.rotate(); err != nil {
			l.broken = true
			return nil, err
		}
		newest = l.segments[len(l.segments)-1]
	}
	var buf []byte
	at := make([]Location, len(payloads))
	offset := newest.size
	for i, p := range payloads {
		var header [frameHeaderBytes]byte
		binary.LittleEndian.PutUint32(header[:], uint32(len(p)))
		binary.LittleEndian.PutUint32(header[4:], crc32.Checksum(p, castagnoli))
		buf = append(append(buf, header[:]...), p...)
		at[i] = Location{Segment: newest.id, Offset: offset + frameHeaderBytes, Length: len(p)}
		offset += frameHeaderBytes + int64(len(p))
	}
	if _, err := newest.file.Write(buf); err != nil {
		l.broken = true
		return nil, errors.Wrap(err, "write to the log")
	}
	if err := newest.file.Sync(); err != nil {
		l.broken = true
		return nil, errors.Wrap(err, "sync the log")
	}
	newest.size = offset
	newest.lastUsed = time.Now()
	return at, nil
}

// Read returns a payload.
func (l *Log) Read(at Location, segments []*segment) ([]byte, error) {
	for _, s := range segments {
		if s.id != at.Segment {
			continue
		}
		p := make([]byte, at.Length)
		if _, err := s.file.ReadAt(p, at.Offset); err != nil {
			return nil, errors.Wrap(err, "read from the log")
		}
		return p, nil
	}
	return nil, errors.Newf("segment %d is gone", at.Segment)
}

// Oldest returns the oldest closed segment and the time of its last write.
func (l *Log) OldestClosedSegment() (id uint64, lastUsed time.Time, ok bool) {
	if len(l.segments) < 2 {
		return 0, time.Time{}, false
	}
	return l.segments[0].id, l.segments[0].lastUsed, true
}

// RemoveOldestSegment removes the oldest closed segment.
func (l *Log) RemoveOldestSegment() error {
	s := l.segments[0]
	l.segments = append([]*segment{}, l.segments[1:]...)
	if err := s.file.Close(); err != nil {
		return errors.Wrap(err, "close a segment")
	}
	return errors.Wrap(l.fs.Remove(segmentName(s.id)), "remove a segment")
}

// Close closes all files.
func (l *Log) Close() error {
	var err error
	for _, s := range l.segments {
		err = errors.CombineErrors(err, s.file.Close())
	}
	return err
}

// DirFS is a FileSystem on a directory of the operating system.
type DirFS struct{ Dir string }

func (d DirFS) path(name string) string { return filepath.Join(d.Dir, name) }

// Create implements FileSystem.
func (d DirFS) Create(name string) (File, error) {
	f, err := os.OpenFile(d.path(name), os.O_RDWR|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return nil, err
	}
	return f, nil
}

// Open implements FileSystem.
func (d DirFS) Open(name string) (File, error) {
	f, err := os.Open(d.path(name))
	if err != nil {
		return nil, err
	}
	return f, nil
}

// ReadFile implements FileSystem.
func (d DirFS) ReadFile(name string) ([]byte, error) { return os.ReadFile(d.path(name)) }

// Remove implements FileSystem.
func (d DirFS) Remove(name string) error { return os.Remove(d.path(name)) }

// Rename implements FileSystem.
func (d DirFS) Rename(from, to string) error { return os.Rename(d.path(from), d.path(to)) }

// List implements FileSystem.
func (d DirFS) List() ([]string, error) {
	entries, err := os.ReadDir(d.Dir)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, nil
}

// SyncDir implements FileSystem.
func (d DirFS) SyncDir() error {
	f, err := os.Open(d.Dir)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	return f.Sync()
}
