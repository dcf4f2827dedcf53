package transport

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

func TestReadAll(t *testing.T) {
	errBroken := errors.New("broken")
	for _, size := range []int{0, 1, minPieceBytes - 1, minPieceBytes, minPieceBytes + 1, 3<<20 + 5} {
		want := bytes.Repeat([]byte("abc"), size/3+1)[:size]
		got, err := ReadAll(iotest.HalfReader(bytes.NewReader(want)), int64(size))
		must.NoError(t, err)
		test.True(t, bytes.Equal(want, got))
		got, err = ReadAll(iotest.DataErrReader(bytes.NewReader(want)), int64(size)+1)
		must.NoError(t, err)
		test.True(t, bytes.Equal(want, got))
		if size > 0 {
			_, err = ReadAll(bytes.NewReader(want), int64(size)-1)
			test.ErrorIs(t, err, ErrTooLarge)
		}
		for _, end := range []error{errBroken, io.ErrUnexpectedEOF} {
			_, err = ReadAll(io.MultiReader(bytes.NewReader(want), iotest.ErrReader(end)), 16<<20)
			test.ErrorIs(t, err, end, test.Sprint("a part of a body is no body"))
		}
	}
}

// blockingBody has data and blocks after it until it may end.
type blockingBody struct {
	io.Reader
	mayEnd chan struct{}
}

func (b *blockingBody) Close() error { return nil }

func (b *blockingBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err == io.EOF {
		<-b.mayEnd
	}
	return n, err
}

func newBlockingResponse(size int, length int64) (*http.Response, *blockingBody) {
	b := &blockingBody{bytes.NewReader(make([]byte, size)), make(chan struct{})}
	return &http.Response{ContentLength: length, Body: b}, b
}

// Guards against large bodies that are in memory at the same time, small ones that wait for them, and a wait beyond the context.
func TestBodyReaderLimitsLargeBodies(t *testing.T) {
	for name, length := range map[string]int64{"with a length": 2 << 20, "without a length": -1} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				bodies := NewBodyReader(1)
				first, firstBody := newBlockingResponse(2<<20, -1)
				firstDone := make(chan error, 1)
				go func() {
					_, err := bodies.Read(t.Context(), first, MaxResponseBytes)
					firstDone <- err
				}()
				synctest.Wait()

				small, smallBody := newBlockingResponse(SmallBodyBytes-1, -1)
				close(smallBody.mayEnd)
				data, err := bodies.Read(t.Context(), small, MaxResponseBytes)
				must.NoError(t, err)
				test.EqOp(t, SmallBodyBytes-1, len(data))

				second, secondBody := newBlockingResponse(2<<20, length)
				close(secondBody.mayEnd)
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				_, err = bodies.Read(ctx, second, MaxResponseBytes)
				test.ErrorIs(t, err, context.DeadlineExceeded)

				close(firstBody.mayEnd)
				must.NoError(t, <-firstDone)
				third, thirdBody := newBlockingResponse(2<<20, length)
				close(thirdBody.mayEnd)
				data, err = bodies.Read(t.Context(), third, MaxResponseBytes)
				must.NoError(t, err)
				test.EqOp(t, 2<<20, len(data))
				_, err = bodies.Read(t.Context(), &http.Response{ContentLength: MaxResponseBytes + 1}, MaxResponseBytes)
				test.ErrorIs(t, err, ErrTooLarge)
			})
		})
	}
}
