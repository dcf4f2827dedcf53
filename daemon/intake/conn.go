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
