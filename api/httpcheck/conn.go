// Package httpcheck decides for all clients of the project what a complete HTTP/1 response is. net/http accepts more: a body without a
// length whose connection was reset while the request was still being written. Clients use NewTransport, or read from a Conn.
package httpcheck

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// pastDeadline ends pending writes.
var pastDeadline = time.Unix(1, 0)

// Conn is the client's side of a connection. If it ends after a write has failed, Read returns the error of the write. One goroutine
// may read while another one writes.
type Conn struct {
	net.Conn

	mu         sync.Mutex
	writesDone *sync.Cond
	writing    int
	writeErr   error // First error of a write, unless it is a timeout.
}

// NewConn returns a checked connection.
func NewConn(c net.Conn) *Conn {
	checked := &Conn{Conn: c}
	checked.writesDone = sync.NewCond(&checked.mu)
	return checked
}

// Read implements io.Reader.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err == io.EOF {
		err = c.endOfInput()
	}
	return n, err
}

// endOfInput returns the error for the end of the connection: io.EOF if the peer has closed it. The system reports a reset only once.
// If a write has taken that error, a read returns io.EOF, and a body that ends with its connection would look complete. Pending
// writes are ended, because only their result tells.
func (c *Conn) endOfInput() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writing > 0 {
		_ = c.Conn.SetWriteDeadline(pastDeadline) // Fails only on a closed connection, whose writes have ended.
	}
	for c.writing > 0 {
		c.writesDone.Wait()
	}
	if c.writeErr != nil {
		return errors.Wrap(c.writeErr, "connection ended after a failed write")
	}
	return io.EOF
}

// Write implements io.Writer.
func (c *Conn) Write(b []byte) (n int, err error) {
	c.beginWrite()
	defer func() { c.endWrite(err) }()
	return c.Conn.Write(b)
}

// WriteBuffers writes several pieces, with one call of the system where it can.
func (c *Conn) WriteBuffers(buffers net.Buffers) (n int64, err error) {
	c.beginWrite()
	defer func() { c.endWrite(err) }()
	return buffers.WriteTo(c.Conn)
}

func (c *Conn) beginWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing++
}

func (c *Conn) endWrite(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing--
	if err != nil && c.writeErr == nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.writeErr = err
	}
	c.writesDone.Broadcast()
}

// Transport is an http.Transport whose responses are checked.
type Transport struct{ *http.Transport }

var _ http.RoundTripper = (*Transport)(nil)

// NewTransport adds the checks to a transport, which must not be used otherwise and speaks HTTP/1 only. It replaces DialContext, which
// it calls if there is one, and DialTLSContext. Responses that a proxy forwards over TLS are not checked.
func NewTransport(t *http.Transport) *Transport {
	dial := t.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
	tlsConfig := t.TLSClientConfig
	t.DialTLSContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		secure, err := handshake(ctx, c, address, tlsConfig)
		if err != nil {
			_ = c.Close() // The error of the handshake is returned.
			return nil, err
		}
		return NewConn(secure), nil
	}
	t.Protocols = new(http.Protocols)
	t.Protocols.SetHTTP1(true)
	return &Transport{Transport: t}
}

func handshake(ctx context.Context, c net.Conn, address string, config *tls.Config) (net.Conn, error) {
	if config == nil {
		config = &tls.Config{}
	}
	config = config.Clone()
	config.NextProtos = nil // HTTP/1.
	if config.ServerName == "" {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, errors.Wrap(err, "split address")
		}
		config.ServerName = host
	}
	secure := tls.Client(c, config)
	return secure, secure.HandshakeContext(ctx)
}
