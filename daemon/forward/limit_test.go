package forward

import (
	"net"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// Guards against more connections to upstreams than there are file descriptors for, against idle connections that keep others
// from being opened, and against a connection that is counted after it was closed.
func TestLimitConns(t *testing.T) {
	listen := func() string {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		t.Cleanup(func() { _ = l.Close() }) // Nothing was written.
		return l.Addr().String()
	}
	a, b := listen(), listen()
	p := NewPool(time.Second, 4, metrics.NewSet())
	limit := 2
	p.LimitConns(func() int { return limit })
	first, err := p.Get(t.Context(), a)
	must.NoError(t, err)
	second, err := p.Get(t.Context(), a)
	must.NoError(t, err)
	_, err = p.Get(t.Context(), b)
	must.True(t, errors.Is(err, ErrTooManyConnections))
	must.True(t, errors.Is(err, ErrNotSent))

	p.put(first, time.Minute)
	third, err := p.Get(t.Context(), b)
	must.NoError(t, err, must.Sprint("the idle connection gives way"))
	reused, err := p.Get(t.Context(), a)
	must.True(t, errors.Is(err, ErrTooManyConnections))
	test.Nil(t, reused)
	test.EqOp(t, 2, p.open.Load())
	for _, c := range []*Conn{second, third} {
		must.NoError(t, c.Close())
		_ = c.Close() // Counted once.
	}
	test.EqOp(t, 0, p.open.Load())
	_, err = p.Get(t.Context(), "127.0.0.1:1")
	must.True(t, errors.Is(err, ErrNotSent))
	test.EqOp(t, 0, p.open.Load())
}
