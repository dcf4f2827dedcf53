package replica

import (
	"bufio"
	"cmp"
	"context"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// Limits of the source of a copy.
const (
	maxTurnsPerResponse = 200                    // Max turns in the response to one copy request.
	copyPieceBytes      = 1 << 20                // Size of the pieces in which a source reads and sends turns, unless a single turn is larger.
	maxReadGapBytes     = 64 << 10               // Turns of the log with at most this distance are read at once, with what is between them.
	maxReadRunBytes     = 1 << 20                // Max bytes of one read.
	maxCopyResponses    = 4                      // Max responses with turns that are in memory at the same time; further requests wait.
	maxCopyWait         = 500 * time.Millisecond // Max wait of a request; well below copyStallTimeout.
)

// Headers of a response to a request for turns with MaxBytes.
const (
	headerIDsDone     = "Jackdawbay-Copy-Ids-Done"     // Number of leading IDs of the request that the response answers.
	headerNeededBytes = "Jackdawbay-Copy-Needed-Bytes" // MaxBytes that the turn after these needs. Set only if that is more than in the request.
)

// handleInventory responds with the inventory of this replica.
func (s *Server) handleInventory(w http.ResponseWriter, r *http.Request) {
	var req CopyRequest
	if !s.decodeJSON(w, r, &req) || !s.acceptCopyRequest(w, r, req) {
		return
	}
	inv := s.state.inventory()
	writeCompressedJSON(w, CopyResponse{Inventory: &inv})
}

// handleTurns responds with the requested turns, encoded as in the log. Turns that this replica does not have are omitted. A
// request with MaxBytes gets one piece, and all others get all of their turns.
func (s *Server) handleTurns(w http.ResponseWriter, r *http.Request) {
	var req CopyRequest
	if !s.decodeJSON(w, r, &req) || !s.acceptCopyRequest(w, r, req) {
		return
	}
	select {
	case s.copyResponses <- struct{}{}:
		defer func() { <-s.copyResponses }()
	case <-time.After(maxCopyWait):
		s.countRejected(reasonCopyBusy)
		w.WriteHeader(http.StatusTooManyRequests)
		return
	case <-r.Context().Done():
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	ids := req.TurnIDs[:min(len(req.TurnIDs), maxTurnsPerResponse)]
	if req.MaxBytes > 0 {
		p := s.readPiece(ids, min(req.MaxBytes, maxPieceBytes))
		w.Header().Set(headerIDsDone, strconv.Itoa(p.idsDone))
		if p.neededBytes > req.MaxBytes {
			w.Header().Set(headerNeededBytes, strconv.Itoa(p.neededBytes))
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(p.body))) // Without it, the response is split into small chunks.
		_, _ = w.Write(p.body)                                      // The receiver detects that the response is incomplete.
		return
	}
	for limit := copyPieceBytes; len(ids) > 0; {
		p := s.readPiece(ids, limit)
		if _, err := w.Write(p.body); err != nil {
			panic(http.ErrAbortHandler)
		}
		ids, limit = ids[p.idsDone:], max(copyPieceBytes, p.neededBytes)
	}
}

// readPiece reads a piece of the given turns. If that fails, it aborts the response, so that it does not appear complete.
func (s *Server) readPiece(ids []string, maxBytes int) piece {
	p, err := s.state.readPiece(ids, maxBytes, s.copyReads)
	if err != nil {
		s.log.Error("cannot read turns for a copy", "first", ids[0], "error", err)
		panic(http.ErrAbortHandler)
	}
	return p
}

// maxReadPause limits the time between two reads of copies. It is the time of 2 MB at 200 MB per second behind a sync. A longer
// read was mostly waiting, for the disk or for processor time, which a pause as long would double.
const maxReadPause = 15 * time.Millisecond

// readPacer lets the reads of copies take at most half of the time of the disk, unless they are longer than maxReadPause, and
// one of them at a time. The synced writes of callers use the same disk.
type readPacer struct {
	admit     chan struct{} // Has room for one read; guards the other fields.
	notBefore time.Time
	buf       []byte // Of the last read, so that reads of up to 2 MB do not allocate memory each.
}

func newReadPacer() *readPacer { return &readPacer{admit: make(chan struct{}, 1)} }

// read calls readAt with a buffer, and then use. It admits no other read for as long as readAt took.
func (p *readPacer) read(size int, readAt func(buf []byte) error, use func(buf []byte) error) error {
	p.admit <- struct{}{}
	defer func() { <-p.admit }()
	time.Sleep(time.Until(p.notBefore))
	buf := p.buf
	if size > cap(buf) {
		buf = make([]byte, size)
	}
	if size <= maxReadRunBytes {
		p.buf = buf
	}
	start := time.Now()
	if err := readAt(buf[:size]); err != nil {
		return err
	}
	end := time.Now()
	p.notBefore = end.Add(min(end.Sub(start), maxReadPause))
	return use(buf[:size])
}

// piece is a part of the turns of a copy.
type piece struct {
	body        []byte // The turns, each after its length.
	idsDone     int    // Number of leading IDs that the piece answers.
	neededBytes int    // Bytes that the next turn needs; 0 if all IDs are answered.
}

// turnToCopy is a turn of a piece, with its index entry at the time of the read.
type turnToCopy struct {
	id string
	indexedTurn
}

// maxHeaderGrowth is the number of bytes by which a payload grows at most when its retention is changed.
const maxHeaderGrowth = 32

// maxPieceBytes is the size of a piece with the largest possible turn.
const maxPieceBytes = payloadLengthBytes + maxFrameBytes + maxHeaderGrowth

// readPiece reads the first of the given turns, as many as fit in maxBytes. It reads the log in the order of the log and turns
// that are close to each other at once: a disk access for each turn, behind the synced writes of callers, takes up to 10 ms.
func (s *state) readPiece(ids []string, maxBytes int, pacer *readPacer) (piece, error) {
	var p piece
	var turns []turnToCopy
	size := 0
	s.mu.RLock()
	for _, id := range ids {
		t, ok := s.turns[id]
		if ok {
			n := payloadLengthBytes + t.location.Length + maxHeaderGrowth
			if size+n > maxBytes {
				p.neededBytes = n
				break
			}
			size += n
			turns = append(turns, turnToCopy{id, t})
		}
		p.idsDone++
	}
	segments := s.segments
	s.mu.RUnlock()
	p.body = make([]byte, 0, size)
	slices.SortFunc(turns, func(a, b turnToCopy) int { return compareLocations(a.location, b.location) })
	for len(turns) > 0 {
		n := runLength(turns)
		if err := s.appendRun(&p, turns[:n], segments, pacer); err != nil {
			return piece{}, err
		}
		turns = turns[n:]
	}
	return p, nil
}

func compareLocations(a, b Location) int {
	return cmp.Or(cmp.Compare(a.Segment, b.Segment), cmp.Compare(a.Offset, b.Offset))
}

// runLength returns the number of leading turns that are read at once. The turns are in the order of the log.
func runLength(turns []turnToCopy) int {
	first, end := turns[0].location, turns[0].location.end()
	for i, t := range turns[1:] {
		if t.location.Segment != first.Segment || t.location.Offset-end > maxReadGapBytes || t.location.end()-first.Offset > maxReadRunBytes {
			return i + 1
		}
		end = t.location.end()
	}
	return len(turns)
}

// appendRun reads the turns of a run and appends them to a piece.
func (s *state) appendRun(p *piece, run []turnToCopy, segments []*segment, pacer *readPacer) error {
	first := run[0].location
	whole := Location{Segment: first.Segment, Offset: first.Offset, Length: int(run[len(run)-1].location.end() - first.Offset)}
	size := len(p.body)
	err := pacer.read(whole.Length, func(buf []byte) error { return s.log.readAt(buf, whole, segments) }, func(raw []byte) error {
		for _, t := range run {
			start := t.location.Offset - first.Offset
			if err := p.append(t.id, raw[start:start+int64(t.location.Length)], t.indexedTurn); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		p.body = p.body[:size]
		return s.appendEach(p, run) // The turns may have been moved from a segment that was removed.
	}
	return nil
}

// appendEach reads turns one by one and appends those that are still indexed to a piece.
func (s *state) appendEach(p *piece, turns []turnToCopy) error {
	for _, t := range turns {
		payload, ok, err := s.readPayload(t.id)
		if err != nil {
			return err
		}
		if !ok {
			continue
		}
		if err := p.append(t.id, payload, t.indexedTurn); err != nil {
			return err
		}
	}
	return nil
}

// append appends a turn with the retention that this replica applies.
func (p *piece) append(id string, payload []byte, indexed indexedTurn) error {
	payload, err := withRetention(payload, indexed)
	if err != nil {
		return errors.Wrapf(err, "turn %s", id)
	}
	p.body = binary.LittleEndian.AppendUint32(p.body, uint32(len(payload)))
	p.body = append(p.body, payload...)
	return nil
}

// withRetention returns the payload of a turn with the retention of its index entry, if that is longer than its own.
func withRetention(payload []byte, indexed indexedTurn) ([]byte, error) {
	if !indexed.expires.After(indexed.logExpires) {
		return payload, nil
	}
	header, contents, ok := cutHeader(payload)
	var h turnHeader
	if !ok {
		return nil, errors.New("payload is not a turn")
	}
	if err := json.Unmarshal(header, &h); err != nil {
		return nil, errors.Wrap(err, "decode turn header")
	}
	h.Retain = indexed.expires.Sub(h.At) - retentionMargin
	header, err := json.Marshal(&h)
	if err != nil {
		return nil, errors.Wrap(err, "encode turn header")
	}
	return slices.Concat(header, []byte{headerEnd}, contents), nil
}

// payloadLengthBytes is the size of the length field before each copied payload.
const payloadLengthBytes = 4

// acceptCopyRequest checks the disk identity of a copy request and adopts its view. The view is adopted before any data is
// read, so that no write of an earlier view can complete through this replica after the read. If the request is rejected,
// it writes the response and reports false.
func (s *Server) acceptCopyRequest(w http.ResponseWriter, r *http.Request, req CopyRequest) bool {
	if req.Disk != s.Disk() {
		s.reject(w, r, http.StatusMisdirectedRequest, reasonOtherDisk, "wanted", req.Disk)
		return false
	}
	if !s.adopt(r.Context(), req.View) {
		v := s.state.currentView()
		s.countRejected(reasonOtherView)
		writeJSON(w, CopyResponse{View: &v})
		return false
	}
	return true
}

// storeCopied stores records that were copied from another replica. They wait for the writes of callers.
func (s *Server) storeCopied(ctx context.Context, records []record) error {
	if s.refuseFull() {
		return errDiskFull
	}
	job := &writeJob{ctx: ctx, copied: records, done: make(chan struct{})}
	select {
	case s.copies <- job:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-job.done:
	case <-ctx.Done():
		return ctx.Err()
	}
	if job.copied == nil {
		return errors.New("cannot write copied entries to disk")
	}
	return nil
}

// readCopiedTurns reads the turns of one response to a copy request. It fails if there are more than maxTurnsPerResponse. It calls
// reserve before it reads a turn, with the bytes of the response up to its end.
func readCopiedTurns(r io.Reader, reserve func(bytes int) error) ([]record, error) {
	in := bufio.NewReader(r)
	var records []record
	bytes := 0
	for {
		var length [payloadLengthBytes]byte
		if _, err := io.ReadFull(in, length[:]); errors.Is(err, io.EOF) {
			return records, nil
		} else if err != nil {
			return nil, errors.Wrap(err, "read turn length")
		}
		if len(records) >= maxTurnsPerResponse {
			return nil, errors.Newf("response has more than %d turns", maxTurnsPerResponse)
		}
		n := binary.LittleEndian.Uint32(length[:])
		if n > maxFrameBytes {
			return nil, errors.Newf("turn of %d bytes is too large", n)
		}
		bytes += payloadLengthBytes + int(n)
		if err := reserve(bytes); err != nil {
			return nil, err
		}
		payload := make([]byte, n)
		if _, err := io.ReadFull(in, payload); err != nil {
			return nil, errors.Wrap(err, "read turn")
		}
		e, err := decodeEntry(payload)
		if err != nil {
			return nil, err
		}
		records = append(records, record{entry: e, payload: payload})
	}
}
