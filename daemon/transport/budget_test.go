package transport

import (
	"bytes"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// closableBody is a body without an end whose reads fail after Close.
type closableBody struct {
	closed    chan struct{}
	closeOnce sync.Once
	blocked   bool // Reads return nothing until Close.
}

func (b *closableBody) Close() error {
	b.closeOnce.Do(func() { close(b.closed) })
	return nil
}

func (b *closableBody) Read(p []byte) (int, error) {
	if b.blocked {
		<-b.closed
	}
	select {
	case <-b.closed:
		return 0, io.ErrClosedPipe
	default:
		return len(p), nil
	}
}

// Guards against a budget that aborts an ordinary response instead of the one without an end, or that does not end the read of an aborted
// one.
func TestBudgetAbortsLargest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewBudget(0)
		ordinary := b.Open(io.NopCloser(nil))
		must.NoError(t, ordinary.Add(MinBudgetBytes/4))
		waiting := &closableBody{closed: make(chan struct{}), blocked: true}
		large := b.Open(waiting)
		must.NoError(t, large.Add(MinBudgetBytes/2+1))
		read := make(chan error, 1)
		go func() {
			_, err := waiting.Read(make([]byte, 1))
			read <- err
		}()
		must.NoError(t, ordinary.Add(MinBudgetBytes/4), must.Sprint("the other response is larger"))
		test.ErrorIs(t, <-read, io.ErrClosedPipe)
		test.ErrorIs(t, large.Add(1), ErrBudgetExceeded)
		must.NoError(t, ordinary.Set(MinBudgetBytes))
		test.ErrorIs(t, ordinary.Add(1), ErrBudgetExceeded)
		_, err := b.ReadAll(&closableBody{closed: make(chan struct{})}, 2*MinBudgetBytes)
		test.ErrorIs(t, err, ErrBudgetExceeded)
		_, err = b.ReadAll(&closableBody{closed: make(chan struct{})}, MaxResponseBytes)
		test.ErrorIs(t, err, ErrTooLarge)
		data, err := b.ReadAll(io.NopCloser(bytes.NewReader([]byte("data"))), MaxResponseBytes)
		must.NoError(t, err)
		test.EqOp(t, "data", string(data))
		synctest.Wait()
	})
}

// TestBudgetIsKept checks with random sizes that the open shares never exceed the budget and that nothing is left at the end.
func TestBudgetIsKept(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	b := NewBudget(0)
	var shares []*Share
	for range 10_000 {
		switch n := random.IntN(10); {
		case n == 0 || len(shares) == 0:
			shares = append(shares, b.Open(io.NopCloser(nil)))
		case n == 1:
			i := random.IntN(len(shares))
			shares[i].Close()
			shares = append(shares[:i], shares[i+1:]...)
		default:
			i := random.IntN(len(shares))
			if err := shares[i].Add(random.IntN(MinBudgetBytes / 2)); err != nil {
				shares = append(shares[:i], shares[i+1:]...)
			}
		}
		sum := int64(0)
		for s := range b.shares {
			sum += s.bytes
		}
		must.EqOp(t, sum, b.used)
		must.LessEq(t, b.limit, sum)
	}
	for _, s := range shares {
		s.Close()
	}
	test.EqOp(t, 0, b.used)
	test.MapEmpty(t, b.shares)
}
