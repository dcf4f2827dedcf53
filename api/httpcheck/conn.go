// Package httpcheck decides for all clients of the project what a complete HTTP/1 response is. net/http accepts more: status codes
// that are undefined, header names with blanks, framing that HTTP/1.0 does not have, and a body without a length whose connection was
// reset while the request was still being written. Clients use NewTransport, or read from a Conn.
package httpcheck

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// pastDeadline ends pending writes.
var pastDeadline = time.Unix(1, 0)

// maxHeadBytes is the limit of a response head and the interim responses before it. It is twice the limit that the users'
// configurations set for callers.
const maxHeadBytes = 32 << 10

// maxHeadLines is the limit of the lines of such a head. Each header takes some 100 bytes besides its text, so that a head of short ones
// would take many times its size.
const maxHeadLines = 1024

// Conn is the client's side of a connection. A response head is returned by Read when it is complete. Read fails with
// ErrInvalidResponse at the first byte that cannot belong to a response, and with the error of a write if the connection ends after
// that write has failed. One goroutine may read while another one writes.
type Conn struct {
	net.Conn

	mu         sync.Mutex
	isChecking bool // The next byte belongs to a response head.
	head       head
	headBytes  int    // Checked bytes since ExpectResponse.
	headLines  int    // Checked lines since ExpectResponse.
	unchecked  []byte // Bytes that precede those of the connection.
	partial    []byte // Start of a head that is not complete.
	checked    []byte // Bytes for the next Read.

	writesDone *sync.Cond
	writing    int
	writeErr   error // First error of a write, unless it is a timeout.
}

// NewConn returns a connection that expects a response.
func NewConn(c net.Conn) *Conn {
	checked := &Conn{Conn: c, isChecking: true}
	checked.writesDone = sync.NewCond(&checked.mu)
	return checked
}

// ExpectResponse states that the next byte begins a response. The unread bytes were read from the connection and precede the others;
// the connection keeps them.
func (c *Conn) ExpectResponse(unread []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isChecking, c.head, c.headBytes, c.headLines = true, head{}, 0, 0
	c.unchecked, c.partial, c.checked = unread, nil, nil
}

// Read implements io.Reader.
func (c *Conn) Read(b []byte) (int, error) {
	for {
		if n := c.take(&c.checked, b); n > 0 {
			return n, nil
		}
		n, err := c.take(&c.unchecked, b), error(nil)
		if n == 0 {
			n, err = c.Conn.Read(b)
		}
		if err == io.EOF {
			err = c.endOfInput()
		}
		valid, checkErr := c.check(b[:n])
		if checkErr != nil {
			return 0, checkErr
		}
		if len(valid) == 0 && err == nil && len(b) > 0 {
			continue // The head is not complete.
		}
		return c.give(b, valid), c.endOfHead(err)
	}
}

// take moves the start of a buffer to b.
func (c *Conn) take(buffer *[]byte, b []byte) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := copy(b, *buffer)
	*buffer = (*buffer)[n:]
	return n
}

// give moves bytes to b and keeps the rest for the next Read.
func (c *Conn) give(b, valid []byte) int {
	n := copy(b, valid)
	if n < len(valid) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.checked = valid[n:]
	}
	return n
}

// endOfHead returns the error of a read, which must not look like the end of a response if it is inside a head.
func (c *Conn) endOfHead(err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == io.EOF && len(c.partial) > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}

// check returns the bytes that precede an incomplete head. net/http takes the last line of a head for complete if an error follows
// it, so that no part of a head may be returned before its end was checked.
func (c *Conn) check(b []byte) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isChecking {
		return b, nil
	}
	end := 0
	for i := 0; i < len(b) && c.isChecking; i++ {
		c.headBytes++
		if b[i] == '\n' {
			c.headLines++
		}
		if c.headBytes > maxHeadBytes || c.headLines > maxHeadLines {
			return nil, invalid("head exceeds its limit")
		}
		if err := c.head.next(b[i]); err != nil {
			return nil, err
		}
		switch {
		case c.head.isFinal():
			c.isChecking, end = false, len(b)
		case c.head.part == ended:
			c.head, end = head{}, i+1
		}
	}
	valid := b[:end]
	if end > 0 && len(c.partial) > 0 {
		valid, c.partial = append(c.partial, valid...), nil
	}
	c.partial = append(c.partial, b[end:]...)
	return valid, nil
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

// RoundTrip implements http.RoundTripper. If a response on a reused connection is invalid, http.Transport repeats a request that it
// considers replayable, as after a reset.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*Conn); ok && info.Reused {
			c.ExpectResponse(nil)
		}
	}}
	return t.Transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
}
