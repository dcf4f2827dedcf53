package transport

import (
	"context"
	"io"
	"net/http"
	"slices"

	"github.com/cockroachdb/errors"
)

// MaxResponseBytes is the maximum size of a response body that is read into memory.
const MaxResponseBytes = 16 << 20

// SmallBodyBytes is the size up to which any number of bodies are read at the same time. It is three times the largest list of the
// described deployments, which has 300 KB.
const SmallBodyBytes = 1 << 20

// Sizes of the pieces in which a body is read before its length is known.
const (
	minPieceBytes = 4 << 10
	maxPieceBytes = 1 << 20
)

// ErrTooLarge is returned for a response body above the limit.
var ErrTooLarge = errors.New("response is too large")

// BodyReader reads response bodies into memory. It bounds what they take together: a body above SmallBodyBytes waits until few
// others are being read. It is safe for concurrent use.
type BodyReader struct{ slots chan struct{} }

// NewBodyReader returns a reader of at most maxLarge bodies above SmallBodyBytes at the same time.
func NewBodyReader(maxLarge int) *BodyReader {
	return &BodyReader{slots: make(chan struct{}, maxLarge)}
}

// Acquire waits for the right to read a large body. It fails if the context ends first.
func (b *BodyReader) Acquire(ctx context.Context) (release func(), err error) {
	select {
	case b.slots <- struct{}{}:
		return func() { <-b.slots }, nil
	case <-ctx.Done():
		return nil, errors.Wrap(context.Cause(ctx), "wait for other large responses")
	}
}

// Read reads the body of a response. It returns ErrTooLarge if the body has more than limit bytes, and fails if the context ends
// while other large bodies are being read.
func (b *BodyReader) Read(ctx context.Context, resp *http.Response, limit int64) ([]byte, error) {
	r := &waitingReader{Reader: resp.Body, ctx: ctx, bodies: b}
	defer r.end()
	if resp.ContentLength <= 0 { // Zero also if a response was built without a length.
		return ReadAll(r, limit)
	}
	if resp.ContentLength > limit {
		return nil, ErrTooLarge
	}
	if resp.ContentLength > SmallBodyBytes {
		if err := r.acquire(); err != nil { // Before the memory is allocated.
			return nil, err
		}
	}
	body := make([]byte, resp.ContentLength)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, err
	}
	return body, nil
}

// waitingReader waits before it reads more than SmallBodyBytes.
type waitingReader struct {
	io.Reader
	ctx     context.Context
	bodies  *BodyReader
	read    int
	release func() // Nil before the right to read a large body is acquired.
}

func (r *waitingReader) acquire() (err error) {
	r.release, err = r.bodies.Acquire(r.ctx)
	return err
}

// Read implements io.Reader.
func (r *waitingReader) Read(p []byte) (int, error) {
	if r.release == nil {
		if r.read >= SmallBodyBytes {
			if err := r.acquire(); err != nil {
				return 0, err
			}
		} else {
			p = p[:min(len(p), SmallBodyBytes-r.read)]
		}
	}
	n, err := r.Reader.Read(p)
	r.read += n
	return n, err
}

func (r *waitingReader) end() {
	if r.release != nil {
		r.release()
	}
}

// ReadAll reads a response body. It returns ErrTooLarge if the body has more than limit bytes. A body that is too large is not
// joined, so that it takes no more memory than the limit.
func ReadAll(r io.Reader, limit int64) ([]byte, error) {
	var pieces [][]byte
	for total, size := int64(0), int64(minPieceBytes); ; size = min(2*size, maxPieceBytes) {
		piece, err := readPiece(r, min(size, limit+1-total))
		total += int64(len(piece))
		if total > limit {
			return nil, ErrTooLarge
		}
		pieces = append(pieces, piece)
		if err == io.EOF {
			return slices.Concat(pieces...), nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// readPiece reads up to size bytes. The error is that of the reader, also after some bytes.
func readPiece(r io.Reader, size int64) ([]byte, error) {
	piece := make([]byte, size)
	n := 0
	for n < len(piece) {
		m, err := r.Read(piece[n:])
		n += m
		if err != nil {
			return piece[:n], err
		}
	}
	return piece, nil
}
