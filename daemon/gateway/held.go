package gateway

import (
	"io"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// Bounds of what a gateway holds of the responses of upstreams. A caller gets a response that is not a stream once it is whole,
// so that another upstream can replace one that breaks off.
const (
	// freeHeld is what every response may hold. On the users' sites the largest response of a plain service has 4.8 KB and the
	// largest output of a turn 30 KB.
	freeHeld = 64 << 10
	// maxHeld is what all responses together may hold beyond freeHeld: a seventh of the smallest VM with a gateway.
	maxHeld = 16 << 20
	// maxUnmarked is the largest response whose length the upstream does not state. It is the largest request body that the
	// users' configurations allow.
	maxUnmarked = 4 << 20
	// maxAnswerBytes is the largest response whose length the upstream states, and the largest stream.
	maxAnswerBytes = 16 << 20
	// firstPiece and heldPiece are the sizes in which a response of unknown length is read. Most fit into the first.
	firstPiece = 4 << 10
	heldPiece  = 32 << 10
)

var (
	errResponseTooLarge = errors.New("response is larger than allowed")
	errHeldFull         = errors.New("responses under way hold all memory that is set aside for them")
)

// heldBytes counts the bytes beyond freeHeld that the calls of a process hold.
type heldBytes struct{ taken atomic.Int64 }

func (h *heldBytes) take(n int64) bool {
	if h.taken.Add(n) > maxHeld {
		h.taken.Add(-n)
		return false
	}
	return true
}

// held is what one call holds of its response. It must be released.
type held struct {
	all   *heldBytes
	bytes int64
}

func beyondFree(n int64) int64 { return max(n-freeHeld, 0) }

// grow notes n more bytes. It reports whether they may be held.
func (h *held) grow(n int64) bool {
	more := beyondFree(h.bytes+n) - beyondFree(h.bytes)
	if more > 0 && !h.all.take(more) {
		return false
	}
	h.bytes += n
	return true
}

func (h *held) release() {
	h.all.taken.Add(-beyondFree(h.bytes))
	h.bytes = 0
}

// readStated reads a body of a stated length whose bytes have been noted.
func readStated(body io.Reader, length int64) ([][]byte, error) {
	raw := make([]byte, length)
	_, err := io.ReadFull(body, raw)
	return [][]byte{raw}, err
}

// readUnmarked reads a body of unknown length. Its pieces are not joined, since that would take their memory twice. The error
// is errResponseTooLarge, errHeldFull, or that of the body.
func (h *held) readUnmarked(body io.Reader) ([][]byte, error) {
	var pieces [][]byte
	for size, total := firstPiece, 0; total <= maxUnmarked; size = heldPiece {
		if !h.grow(int64(size)) {
			return nil, errHeldFull
		}
		piece := make([]byte, 0, size)
		for len(piece) < size {
			n, err := body.Read(piece[len(piece):size])
			piece = piece[:len(piece)+n]
			if errors.Is(err, io.EOF) {
				return append(pieces, piece), nil
			}
			if err != nil {
				return nil, err
			}
		}
		pieces, total = append(pieces, piece), total+size
	}
	return nil, errResponseTooLarge
}
