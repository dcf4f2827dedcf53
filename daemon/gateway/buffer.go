package gateway

import (
	"context"
	"io"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"jackdawbay.dev/core/memory"
	"jackdawbay.dev/daemon/intake"
)

// Limits of the memory for buffered responses. A response that is not a stream is forwarded to its caller when it is
// complete, so that another upstream can serve the request if the response breaks off.
const (
	// freeBytesPerResponse is the part of each response that does not count towards maxSharedBytes. In the users'
	// deployments, the largest response of a plain service has 4.8 KB and the largest output of a turn 30 KB.
	freeBytesPerResponse = 64 << 10
	// maxSharedBytes is the limit for all responses together beyond freeBytesPerResponse. It is a seventh of the memory of
	// the smallest VM with a gateway.
	maxSharedBytes = 16 << 20
	// maxUnknownLengthBytes is the limit of a response without a stated length. It is the largest request body that the
	// users' configurations allow.
	maxUnknownLengthBytes = 4 << 20
	// maxResponseBytes is the limit of a response with a stated length, and of a stream.
	maxResponseBytes = 16 << 20
	// firstPieceBytes and pieceBytes are the read sizes for a response of unknown length. Most responses fit into the first
	// piece.
	firstPieceBytes = 4 << 10
	pieceBytes      = 32 << 10
)

var (
	errResponseTooLarge      = errors.New("response exceeds the size limit")
	errBufferBudgetExhausted = errors.New("memory for buffered responses is exhausted")
)

// bufferBudget counts the bytes beyond freeBytesPerResponse in all response buffers of a process.
type bufferBudget struct{ used atomic.Int64 }

func (b *bufferBudget) tryReserve(n int64) bool {
	if b.used.Add(n) > maxSharedBytes {
		b.used.Add(-n)
		return false
	}
	return true
}

// responseBuffer counts the buffered bytes of one call's response. It must be released.
type responseBuffer struct {
	budget *bufferBudget
	memory *memory.Holder
	bytes  int64
}

func sharedBytes(n int64) int64 { return max(n-freeBytesPerResponse, 0) }

// reserve adds n bytes to the buffer. It returns false, and adds nothing, if the budget or the memory of the process is
// exhausted. The free part of a response is always granted, since its number is bounded by that of the connections.
func (b *responseBuffer) reserve(n int64) bool {
	added := sharedBytes(b.bytes+n) - sharedBytes(b.bytes)
	if added > 0 && !b.budget.tryReserve(added) {
		return false
	}
	if added > 0 && !intake.ReserveResponse(context.Background(), b.memory, added) {
		b.budget.used.Add(-added)
		return false
	}
	b.memory.Add(n - added)
	b.bytes += n
	return true
}

func (b *responseBuffer) release() {
	b.budget.used.Add(-sharedBytes(b.bytes))
	b.memory.Release(b.bytes)
	b.bytes = 0
}

// readKnownLength reads a body of a known length. The caller has reserved its bytes.
func readKnownLength(body io.Reader, length int64) ([][]byte, error) {
	data := make([]byte, length)
	_, err := io.ReadFull(body, data)
	return [][]byte{data}, err
}

// readUnknownLength reads a body of unknown length. It returns the pieces without joining them, which would need their
// memory twice. The error is errResponseTooLarge, errBufferBudgetExhausted, or that of the body.
func (b *responseBuffer) readUnknownLength(body io.Reader) ([][]byte, error) {
	var pieces [][]byte
	for size, total := firstPieceBytes, 0; total <= maxUnknownLengthBytes; size = pieceBytes {
		if !b.reserve(int64(size)) {
			return nil, errBufferBudgetExhausted
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
