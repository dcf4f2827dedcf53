package transport

import (
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

// MinBudgetBytes is the least limit of a budget. It has room for two responses of MaxResponseBytes.
const MinBudgetBytes = 2 * MaxResponseBytes

// ErrBudgetExceeded is returned for a response that was the largest one when all together exceeded their budget.
var ErrBudgetExceeded = errors.New("responses exceed their memory, and this is the largest")

// Budget bounds what the responses of several clients hold together. If they hold more, the largest is aborted: a response without an
// end becomes the largest one. It is safe for concurrent use.
type Budget struct {
	limit  int64
	mu     sync.Mutex
	used   int64
	shares map[*Share]struct{}
}

// NewBudget returns a budget in bytes, or of MinBudgetBytes if that is more.
func NewBudget(limit int64) *Budget {
	return &Budget{limit: max(limit, MinBudgetBytes), shares: map[*Share]struct{}{}}
}

// Share is what one response holds.
type Share struct {
	budget    *Budget
	body      io.Closer
	bytes     int64
	isAborted bool
}

// Open returns an empty share. If the response is aborted, its body is closed, which ends a read that waits.
func (b *Budget) Open(body io.Closer) *Share {
	s := &Share{budget: b, body: body}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.shares[s] = struct{}{}
	return s
}

// Set states the bytes that the response holds. It returns ErrBudgetExceeded if the response was aborted.
func (s *Share) Set(bytes int64) error {
	b := s.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, isOpen := b.shares[s]; isOpen {
		b.used += bytes - s.bytes
		s.bytes = bytes
	}
	for b.used > b.limit {
		b.abortLargest()
	}
	if s.isAborted {
		return ErrBudgetExceeded
	}
	return nil
}

// Add adds to the bytes that the response holds, and returns the error of Set.
func (s *Share) Add(n int) error {
	s.budget.mu.Lock()
	bytes := s.bytes + int64(n)
	s.budget.mu.Unlock()
	return s.Set(bytes)
}

func (b *Budget) abortLargest() {
	var largest *Share
	for s := range b.shares {
		if largest == nil || s.bytes > largest.bytes {
			largest = s
		}
	}
	b.used -= largest.bytes
	largest.bytes, largest.isAborted = 0, true
	delete(b.shares, largest)
	go func() { _ = largest.body.Close() }() // The response has failed.
}

// Close releases the share.
func (s *Share) Close() {
	b := s.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= s.bytes
	s.bytes = 0
	delete(b.shares, s)
}

// ReadAll reads a response body as the function ReadAll does. It also returns ErrBudgetExceeded.
func (b *Budget) ReadAll(body io.ReadCloser, limit int64) ([]byte, error) {
	share := b.Open(body)
	defer share.Close()
	data, err := ReadAll(&countedReader{Reader: body, share: share}, limit)
	if err != nil && share.Add(0) != nil {
		return nil, ErrBudgetExceeded // Closing the body has caused the error.
	}
	return data, err
}

// countedReader adds what is read to a share.
type countedReader struct {
	io.Reader
	share *Share
}

// Read implements io.Reader.
func (r *countedReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if budgetErr := r.share.Add(n); budgetErr != nil {
		return n, budgetErr
	}
	return n, err
}
