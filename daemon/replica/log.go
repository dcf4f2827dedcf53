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

// Format of a segment file: a sequence of frames. A frame has a 4-byte length, a 4-byte CRC-32C and the payload.
const (
	frameHeaderBytes = 8
	maxFrameBytes    = 32 << 20 // A frame with a greater length counts as torn.
	segmentBytes     = 16 << 20 // The log starts a new segment at this size. Expired data is freed by whole segments.
	segmentSuffix    = ".log"
	identityFile     = "identity"
)

// crcTable is the table of the CRC-32C (Castagnoli) polynomial.
var crcTable = crc32.MakeTable(crc32.Castagnoli)

// File is a file of the log.
type File interface {
	io.Writer
	io.ReaderAt
	io.Closer
	Sync() error
}

// FileSystem is the directory of the log. Tests replace it to inject faults.
type FileSystem interface {
	Create(name string) (File, error) // Fails if the file exists.
	Open(name string) (File, error)
	ReadFile(name string) ([]byte, error)
	Remove(name string) error
	Rename(from, to string) error
	List() ([]string, error)
	SyncDir() error
}

// spaceReporter is a FileSystem that reports the size of its disk.
type spaceReporter interface {
	Space() (free, total uint64, err error) // In bytes.
}

// Location is the position of a payload in the log. Offset and Length are in bytes.
type Location struct {
	Segment uint64
	Offset  int64
	Length  int
}

// end returns the offset behind the payload.
func (l Location) end() int64 { return l.Offset + int64(l.Length) }

// segment is one file of the log.
type segment struct {
	id          uint64
	file        File
	size        int64 // In bytes, without an incomplete frame at the end.
	lastWritten time.Time
}

// Log is an append-only log of frames with checksums. Only one goroutine may append at a time. Reads may run concurrently
// with an append.
type Log struct {
	fs          FileSystem
	Identity    string // Random ID of the data directory, created when the directory was empty.
	segments    []*segment
	writeFailed bool // The last write or sync failed, so the length of the newest segment is unknown.
	nextID      uint64
}

// OpenLog opens the log and calls replay for each complete frame, oldest first. It starts a new segment for appends.
func OpenLog(fs FileSystem, replay func(payload []byte, location Location)) (*Log, error) {
	l := &Log{fs: fs}
	if err := l.loadOrCreateIdentity(); err != nil {
		return nil, err
	}
	names, err := fs.List()
	if err != nil {
		return nil, errors.Wrap(err, "list data directory")
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

// loadOrCreateIdentity reads the identity file, or creates it if it does not exist or has the wrong length. The identity is
// written to a temporary file and renamed, so that a missing identity means an empty disk.
func (l *Log) loadOrCreateIdentity() error {
	raw, err := l.fs.ReadFile(identityFile)
	if err == nil && len(raw) == ulid.EncodedSize {
		l.Identity = string(raw)
		return nil
	}
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return errors.Wrap(err, "read disk identity")
	}
	identity := ulid.Make().String()
	_ = l.fs.Remove(identityFile + ".new") // Left by an interrupted start; usually does not exist.
	f, err := l.fs.Create(identityFile + ".new")
	if err != nil {
		return errors.Wrap(err, "create disk identity file")
	}
	defer func() { _ = f.Close() }()
	if _, err := f.Write([]byte(identity)); err != nil {
		return errors.Wrap(err, "write disk identity")
	}
	if err := f.Sync(); err != nil {
		return errors.Wrap(err, "sync disk identity")
	}
	if err := l.fs.Rename(identityFile+".new", identityFile); err != nil {
		return errors.Wrap(err, "rename disk identity file")
	}
	if err := l.fs.SyncDir(); err != nil {
		return errors.Wrap(err, "sync data directory")
	}
	l.Identity = identity
	return nil
}

// segmentName returns the file name of a segment. Names sort by ID.
func segmentName(id uint64) string { return fmt.Sprintf("%020d%s", id, segmentSuffix) }

// replaySegment calls replay for the frames of a segment. It stops at the first incomplete frame: that frame and the
// following bytes were not synced, so they were not acknowledged.
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
	l.segments = append(l.segments, &segment{id: id, file: f, size: offset, lastWritten: time.Now()})
	return nil
}

// frameAt returns the payload of the frame at an offset. It reports false if the frame is incomplete or its checksum is
// wrong.
func frameAt(raw []byte, offset int64) ([]byte, bool) {
	remaining := raw[offset:]
	if len(remaining) < frameHeaderBytes {
		return nil, false
	}
	n := binary.LittleEndian.Uint32(remaining)
	if n == 0 || n > maxFrameBytes || int(n) > len(remaining)-frameHeaderBytes {
		return nil, false
	}
	payload := remaining[frameHeaderBytes : frameHeaderBytes+int(n)]
	return payload, crc32.Checksum(payload, crcTable) == binary.LittleEndian.Uint32(remaining[4:])
}

// rotate starts a new segment.
func (l *Log) rotate() error {
	f, err := l.fs.Create(segmentName(l.nextID))
	if err != nil {
		return errors.Wrap(err, "create segment")
	}
	l.segments = append(l.segments, &segment{id: l.nextID, file: f, lastWritten: time.Now()})
	l.nextID++
	l.writeFailed = false
	return errors.Wrap(l.fs.SyncDir(), "sync data directory")
}

// Append writes payloads to the log, syncs it, and returns their locations. After an error, none of the payloads may be
// acknowledged, and the next append starts a new segment.
func (l *Log) Append(payloads [][]byte) ([]Location, error) {
	newest := l.segments[len(l.segments)-1]
	if l.writeFailed || newest.size >= segmentBytes {
		if err := l.rotate(); err != nil {
			l.writeFailed = true
			return nil, err
		}
		newest = l.segments[len(l.segments)-1]
	}
	size := 0
	for _, p := range payloads {
		size += frameHeaderBytes + len(p)
	}
	buf := make([]byte, 0, size)
	locations := make([]Location, len(payloads))
	offset := newest.size
	for i, p := range payloads {
		var header [frameHeaderBytes]byte
		binary.LittleEndian.PutUint32(header[:], uint32(len(p)))
		binary.LittleEndian.PutUint32(header[4:], crc32.Checksum(p, crcTable))
		buf = append(append(buf, header[:]...), p...)
		locations[i] = Location{Segment: newest.id, Offset: offset + frameHeaderBytes, Length: len(p)}
		offset += frameHeaderBytes + int64(len(p))
	}
	if _, err := newest.file.Write(buf); err != nil {
		l.discardFailed(newest)
		return nil, errors.Wrap(err, "write log segment")
	}
	if err := newest.file.Sync(); err != nil {
		l.discardFailed(newest)
		return nil, errors.Wrap(err, "sync log segment")
	}
	newest.size = offset
	newest.lastWritten = time.Now()
	return locations, nil
}

// discardFailed records that the last write failed. It removes a segment that has no other entries, so that repeated failures of a
// full disk do not add a file each.
func (l *Log) discardFailed(newest *segment) {
	l.writeFailed = true
	if newest.size > 0 || len(l.segments) < 2 {
		return
	}
	l.segments = append([]*segment{}, l.segments[:len(l.segments)-1]...)
	_ = newest.file.Close()                 // The file has no acknowledged entry.
	_ = l.fs.Remove(segmentName(newest.id)) // A file that remains is replayed at the next start up to its last complete frame.
}

// Read returns the payload at a location. It fails if the location's segment is not in segments.
func (l *Log) Read(location Location, segments []*segment) ([]byte, error) {
	p := make([]byte, location.Length)
	if err := l.readAt(p, location, segments); err != nil {
		return nil, err
	}
	return p, nil
}

// readAt reads the bytes at a location into p, which has its length.
func (l *Log) readAt(p []byte, location Location, segments []*segment) error {
	for _, s := range segments {
		if s.id == location.Segment {
			_, err := s.file.ReadAt(p, location.Offset)
			return errors.Wrap(err, "read log segment")
		}
	}
	return errors.Newf("segment %d has been removed", location.Segment)
}

// OldestClosedSegment returns the ID of the oldest segment and the time of its last write, or of its replay if that was
// later. It reports false if the log has only the segment that receives appends.
func (l *Log) OldestClosedSegment() (id uint64, lastWritten time.Time, ok bool) {
	if len(l.segments) < 2 {
		return 0, time.Time{}, false
	}
	return l.segments[0].id, l.segments[0].lastWritten, true
}

// RemoveOldestSegment closes the oldest segment and removes its file.
func (l *Log) RemoveOldestSegment() error {
	s := l.segments[0]
	l.segments = append([]*segment{}, l.segments[1:]...)
	if err := s.file.Close(); err != nil {
		return errors.Wrap(err, "close segment")
	}
	return errors.Wrap(l.fs.Remove(segmentName(s.id)), "remove segment")
}

// Close closes all segment files.
func (l *Log) Close() error {
	var err error
	for _, s := range l.segments {
		err = errors.CombineErrors(err, s.file.Close())
	}
	return err
}

// DirFS is a FileSystem in a directory of the operating system.
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
