package intake

import (
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"jackdawbay.dev/core/memory"
)

// fakeConn records whether it was closed.
type fakeConn struct {
	net.Conn
	closed bool
}

func (c *fakeConn) Close() error         { c.closed = true; return nil }
func (c *fakeConn) RemoteAddr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)} }

// Guards against connections above the limit, and against a connection with a request that gives way to a new one.
func TestConnectionLimit(t *testing.T) {
	account := memory.New(memory.Config{Bytes: 100, StalledAfter: time.Nanosecond})
	c := NewConnections("test", 3, account, slog.New(slog.DiscardHandler), metrics.NewSet())
	open := func() *fakeConn {
		conn := &fakeConn{}
		c.OnStateChange(conn, http.StateNew)
		return conn
	}
	active, idle, waiting := open(), open(), open()
	c.OnStateChange(active, http.StateActive)
	c.OnStateChange(idle, http.StateActive)
	c.OnStateChange(idle, http.StateIdle)
	newest := open()
	test.True(t, waiting.closed, test.Sprint("the oldest connection without a request head gives way first"))
	test.False(t, idle.closed)
	c.OnStateChange(waiting, http.StateClosed) // The server notices the close.
	test.EqOp(t, 3, c.Count())

	c.OnStateChange(newest, http.StateActive)
	evicted := false
	account.Open().StartReceiving(time.Now().Add(-time.Second), func() { evicted = true })
	forStopped := open()
	test.True(t, evicted, test.Sprint("a client that has stopped sending gives way before an idle connection"))
	test.False(t, idle.closed)
	c.OnStateChange(forStopped, http.StateActive)

	next := open()
	test.True(t, idle.closed)
	test.False(t, next.closed)
	c.OnStateChange(next, http.StateActive)
	rejected := open()
	test.True(t, rejected.closed, test.Sprint("all others have a request"))
	c.OnStateChange(rejected, http.StateClosed)
	for _, conn := range []*fakeConn{active, newest, forStopped, next} {
		must.False(t, conn.closed)
		c.OnStateChange(conn, http.StateClosed)
	}
	test.EqOp(t, 0, c.Count())
}

// Guards against shares of a VM's memory that leave no room for a body of the largest legal size, or for the rest of the process.
func TestAccountOfVMs(t *testing.T) {
	const cacheBytes, bodyBytes = 12 << 20, 4 << 20
	for _, memoryMB := range []int64{112, 144, 154, 536} {
		heapLimit := memoryMB << 20 * 62 / 100
		a := NewAccount(heapLimit, cacheBytes, 0)
		h := a.Open()
		test.EqOp(t, memory.Granted, h.Reserve(time.Now(), 2*bodyBytes), test.Sprintf("%d MB", memoryMB))
		total := int64(0)
		for h := a.Open(); h.ReserveResponse(time.Now(), 1<<20) == memory.Granted; {
			total += 1 << 20
		}
		test.Less(t, heapLimit*3/4, total+2*bodyBytes, test.Sprintf("%d MB", memoryMB))
	}
	test.Nil(t, NewAccount(0, cacheBytes, 0))
	test.EqOp(t, 0, MaxConnections(0, 0))
	test.EqOp(t, 136, MaxConnections(200, 0))
	test.EqOp(t, 750, MaxConnections(1000, 112<<20))
	test.EqOp(t, 896, MaxConnections(4100, 112<<20))
	test.EqOp(t, 896, MaxConnections(0, 112<<20))
	test.EqOp(t, 16, MaxConnections(1, 1))
}
