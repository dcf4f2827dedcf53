package replica

import (
	"bufio"
	"context"
	"encoding/binary"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
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

// handleTurns responds with the requested turns, encoded as in the log. Turns that this replica does not have are omitted.
func (s *Server) handleTurns(w http.ResponseWriter, r *http.Request) {
	var req CopyRequest
	if !s.decodeJSON(w, r, &req) || !s.acceptCopyRequest(w, r, req) {
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	out := bufio.NewWriter(w)
	for _, id := range req.TurnIDs[:min(len(req.TurnIDs), maxTurnsPerResponse)] {
		payload, ok, err := s.state.readPayloadToCopy(id)
		if err != nil {
			s.log.Error("cannot read a turn for a copy", "turn", id, "error", err)
			panic(http.ErrAbortHandler) // Prevents the response from appearing complete.
		}
		if !ok {
			continue
		}
		var length [payloadLengthBytes]byte
		binary.LittleEndian.PutUint32(length[:], uint32(len(payload)))
		_, _ = out.Write(length[:]) // Flush returns the error.
		_, _ = out.Write(payload)   // Flush returns the error.
	}
	if err := out.Flush(); err != nil {
		panic(http.ErrAbortHandler)
	}
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

// storeCopied stores records that were copied from another replica.
func (s *Server) storeCopied(ctx context.Context, records []record) error {
	job := &writeJob{copied: records, done: make(chan struct{})}
	if !s.submit(ctx, job) {
		return errors.New("too many writes wait")
	}
	if job.copied == nil {
		return errors.New("cannot write copied entries to disk")
	}
	return nil
}

// readCopiedTurns reads the turns of one response to a copy request. It fails if there are more than maxTurnsPerResponse.
func readCopiedTurns(r io.Reader) ([]record, error) {
	in := bufio.NewReader(r)
	var records []record
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
