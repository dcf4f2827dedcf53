package intake

import (
	"context"
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
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
	// largeBytes is the size from which a body or a response is large.
	largeBytes = 32 << 10
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
