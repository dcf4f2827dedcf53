package intake

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"jackdawbay.dev/core/memory"
)

// Buffers are the sizes of the buffers of the system for a connection. The receive buffer holds what has arrived and was not read, and
// the send buffer what was written and was not acknowledged. The system reserves twice the size of each.
type Buffers struct{ ReceiveBytes, SendBytes int }

var (
	// CallerBuffers are for callers. They cover 4 MB/s at a round trip of 2 ms.
	CallerBuffers = Buffers{ReceiveBytes: 8 << 10, SendBytes: 8 << 10}
	// UpstreamBuffers are for upstreams. The memory for SendBytes is reserved for each request, by its size.
	UpstreamBuffers = Buffers{ReceiveBytes: 8 << 10, SendBytes: largeBufferBytes}
	// PeerBuffers are for connections between VMs, whose round trip may be that between regions. Copies of turns are responses.
	PeerBuffers = Buffers{ReceiveBytes: 16 << 10, SendBytes: largeBufferBytes}
)

// While a large body or response is transferred, its connection has a buffer of largeBufferBytes, for which LargeBufferMemory is
// reserved. It covers the link between regions of the users' deployments, 30 Mbit/s with a round trip of 24 ms.
const (
	largeBufferBytes  = 64 << 10
	LargeBufferMemory = 2 * largeBufferBytes
	// largeBytes is the size from which a body or a response is large. Smaller ones fit into the other buffers.
	largeBytes = 32 << 10
)

// Memory of a connection and a request head.
const (
	// connectionBytes is the memory of a connection: its buffers, the stack of its goroutine, and a head of freeHeadBytes.
	connectionBytes = 16 << 10
	freeHeadBytes   = 8 << 10
	// headCopies and headLineBytes are the memory of a head: the line and the value of each header, and its entry in the map.
	headCopies    = 2
	headLineBytes = 256
	// headStepBytes is the size of a reservation for a head.
	headStepBytes = 8 << 10
)

// Listener is a TCP listener whose connections have buffers of given sizes.
type Listener struct {
	net.Listener
	buffers Buffers
}

// Listen opens a listener.
func Listen(address string, buffers Buffers) (Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error { return buffers.set(raw) }}
	l, err := config.Listen(context.Background(), "tcp", address)
	return Listener{l, buffers}, errors.Wrapf(err, "listen on %s", address)
}

// LimitBuffers sets the sizes of the buffers of the connections that a dialer opens.
func LimitBuffers(dialer *net.Dialer, buffers Buffers) {
	next := dialer.Control
	dialer.Control = func(network, address string, raw syscall.RawConn) error {
		if next != nil {
			if err := next(network, address, raw); err != nil {
				return err
			}
		}
		return buffers.set(raw)
	}
}

func (b Buffers) set(raw syscall.RawConn) error {
	if err := setBuffer(raw, syscall.SO_SNDBUF, b.SendBytes); err != nil {
		return err
	}
	return setBuffer(raw, syscall.SO_RCVBUF, b.ReceiveBytes)
}

func setBuffer(raw syscall.RawConn, option, n int) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) { optionErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, option, n) })
	return errors.Wrap(errors.CombineErrors(err, optionErr), "set the size of a buffer")
}

// Attach limits the connections that a server accepts from a listener. The server must serve the listener that Attach returns. The
// function next is a further hook for http.Server.ConnState; it may be nil.
func (c *Connections) Attach(server *http.Server, l Listener, next func(net.Conn, http.ConnState)) net.Listener {
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		c.OnStateChange(conn, state)
		if next != nil {
			next(conn, state)
		}
	}
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, conn)
	}
	return attachedListener{l, c}
}

type connKey struct{}

// connOf returns the connection of a request, or nil if its listener is not attached.
func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}

type attachedListener struct {
	Listener
	connections *Connections
}

// Accept implements net.Listener.
func (l attachedListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: raw, buffers: l.buffers, holder: l.connections.account.Open()}, nil
}

// conn counts the memory of a connection and of the request head that arrives on it. The account of memory does not know of a head
// before net/http has read it to its end, which may never come.
type conn struct {
	net.Conn
	buffers Buffers
	holder  *memory.Holder

	mu          sync.Mutex
	readsHead   bool
	isReceiving bool // A part of a head has arrived.
	head        headSize
	reserved    int64 // Bytes that are reserved for the head.
}

// headSize is the size of the part of a head that has arrived.
type headSize struct{ bytes, lines int64 }

// memory returns the bytes that net/http needs for the head, beyond those of each connection.
func (s headSize) memory() int64 { return headCopies*s.bytes + headLineBytes*s.lines - freeHeadBytes }

// enter records a state of the server. A head ends when its request becomes active, and its memory is released with the request.
func (c *conn) enter(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew:
		c.holder.Add(connectionBytes)
		c.readsHead = true
	case http.StateActive:
		c.holder.StopReceiving()
		c.readsHead, c.isReceiving = false, false
	case http.StateIdle:
		c.holder.Release(c.reserved)
		c.readsHead, c.head, c.reserved = true, headSize{}, 0
	case http.StateClosed, http.StateHijacked:
		c.holder.Close()
	}
}

// Read implements io.Reader. It closes the connection if there is no memory for the head that arrives.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && !c.countHead(b[:n]) {
		_ = c.Conn.Close() // The error of the read is returned.
		return 0, ErrNoMemory
	}
	return n, err
}

// countHead counts bytes that belong to a head. It reports false if there is no memory for them.
func (c *conn) countHead(b []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.readsHead {
		return true
	}
	now := time.Now()
	if !c.isReceiving {
		c.isReceiving = true
		c.holder.StartReceiving(now, func() { _ = c.Conn.Close() }) // The server notices it by itself.
	}
	c.holder.Received(now, int64(len(b)))
	c.head.bytes += int64(len(b))
	c.head.lines += int64(bytes.Count(b, []byte{'\n'}))
	missing := c.head.memory() - c.reserved
	if missing <= 0 {
		return true
	}
	missing = (missing + headStepBytes - 1) / headStepBytes * headStepBytes
	if !Reserve(context.Background(), c.holder, missing) {
		return false
	}
	c.reserved += missing
	return true
}

// setBuffer sets the size of a buffer of the connection.
func (c *conn) setBuffer(option, n int) error {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "access the connection")
	}
	return setBuffer(raw, option, n)
}

// enlarge gives the connection a large buffer if there is memory for it. The function restore must be called when the transfer has
// ended. The errors of both are those of a connection that has failed, which its next use reports.
func (c *conn) enlarge(option, usual int, reserve func(n int64) memory.Decision, h *memory.Holder) (restore func(), ok bool) {
	if c == nil || usual >= largeBufferBytes || reserve(LargeBufferMemory) != memory.Granted {
		return func() {}, false
	}
	if c.setBuffer(option, largeBufferBytes) != nil {
		h.Release(LargeBufferMemory)
		return func() {}, false
	}
	return func() {
		_ = c.setBuffer(option, usual) // See above.
		h.Release(LargeBufferMemory)
	}, true
}

// EnlargeSendBuffer gives the connection of a request a large send buffer for a response of n bytes, if the response is large and there
// is memory for it. The function that it returns must be called when the response is written.
func EnlargeSendBuffer(r *http.Request, h *memory.Holder, n int64) (restore func()) {
	c := connOf(r.Context())
	if c == nil || n < largeBytes {
		return func() {}
	}
	restore, _ = c.enlarge(syscall.SO_SNDBUF, c.buffers.SendBytes, func(n int64) memory.Decision { return h.ReserveResponse(time.Now(), n) }, h)
	return restore
}
