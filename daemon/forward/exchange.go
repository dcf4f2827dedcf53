package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Request is one request as it goes to an upstream.
type Request struct {
	Method string
	Target string // Path and query, unchanged.
	Host   string
	Header http.Header
	Body   []byte
	// Own reports whether a response belongs to this request.
	IsOwnResponse func(h http.Header) bool
}

// Bounds of an exchange.
const (
	// staleResponses is the number of responses to earlier requests that are skipped on one connection.
	staleResponses = 3
	// smallBody is written before the response is read; a larger one beside it, as an upstream may answer before it has
	// read everything.
	smallBody = 8 << 10
	// staleBodyBytes bounds the body of a response that is skipped.
	staleBodyBytes = 256 << 10
	// staleWait bounds the time for the body of a response that is skipped: staleBodyBytes take 70 ms at the slowest link of
	// the users' sites, 30 Mbit/s, and a VM with a small share of a processor pauses for some 100 ms.
	staleWait = 300 * time.Millisecond
	// maxHeadBytes bounds a head, the interim responses before it included. It is twice what the users' configurations allow
	// to callers.
	maxHeadBytes = 32 << 10
	// maxInterim is the number of interim responses (status 1xx) that are skipped before a response.
	maxInterim = 8
	// discardBytes and discardWait bound what is read of a response that is not wanted. Reading on costs more than a new
	// connection, which takes 1 ms on the users' sites.
	discardBytes = 64 << 10
	discardWait  = 20 * time.Millisecond
	// writeWait is how long the end of a large body is awaited once the response is complete.
	writeWait = 20 * time.Millisecond
)

// responseStart is how every response begins.
const responseStart = "HTTP/1."

// past is a deadline that ends reads and writes at once.
var past = time.Unix(1, 0)

// ErrInvalidResponse means that bytes arrived that are no response, or that a head is larger than allowed.
var ErrInvalidResponse = errors.New("bytes of the upstream are no response")

// ErrResponseLost means that the connection ended before a response began. The request may have run.
var ErrResponseLost = errors.New("connection ended before a response")

// Response is a response under way. Close must be called.
type Response struct {
	*http.Response
	Framed bool // The end of the body is marked by its length or by chunks, not by the end of the connection.

	conn    *Conn
	pool    *Pool
	stop    func() bool
	written chan error
	stale   bool
}

// Send writes a request and reads the head of its response. The context ends the exchange at any point, including the read
// of the body. The error is ErrNotSent, ErrResponseLost, ErrInvalidResponse, or that of the context.
func (p *Pool) Send(ctx context.Context, c *Conn, r Request) (*Response, error) {
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(past) }) // Fails only on a closed connection.
	fail := func(err error) (*Response, error) {
		stop()
		_ = c.Close() // The error that ended the exchange is reported instead.
		if ctx.Err() != nil && !errors.Is(err, ErrNotSent) {
			return nil, errors.Mark(errors.Wrap(ctx.Err(), "exchange ended"), ErrResponseLost)
		}
		return nil, err
	}
	if ctx.Err() != nil {
		return fail(errors.Mark(ctx.Err(), ErrNotSent))
	}
	resp := &Response{conn: c, pool: p, stop: stop}
	head := head(r)
	if len(r.Body) <= smallBody {
		if n, err := c.Write(append(head, r.Body...)); err != nil {
			if n == 0 && !c.Reused {
				return fail(errors.Mark(errors.Wrap(err, "write"), ErrNotSent))
			}
			return fail(errors.Mark(errors.Wrap(err, "write"), ErrResponseLost))
		}
	} else {
		resp.written = make(chan error, 1)
		go func() {
			buffers := net.Buffers{head, r.Body}
			_, err := buffers.WriteTo(c.Conn)
			resp.written <- err
		}()
	}
	for range staleResponses {
		h, err := readHead(c, r.Method)
		if err != nil {
			return fail(err)
		}
		if r.IsOwnResponse(h.Header) {
			resp.Response = h
			resp.Framed = h.ContentLength >= 0 || len(h.TransferEncoding) > 0
			return resp, nil
		}
		resp.stale = true
		if err := skip(c, h); err != nil {
			return fail(errors.Mark(errors.Wrap(err, "skip the response to another request"), ErrResponseLost))
		}
	}
	return fail(errors.Mark(errors.New("only responses to other requests arrived"), ErrResponseLost))
}

func head(r Request) []byte {
	b := make([]byte, 0, 1024)
	b = fmt.Appendf(b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			b = append(append(append(append(b, name...), ": "...), v...), "\r\n"...)
		}
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b = fmt.Appendf(b, "Content-Length: %d\r\n", len(r.Body))
	}
	return append(b, "\r\n"...)
}

// readHead reads the head of a response and skips the interim responses before it.
func readHead(c *Conn, method string) (*http.Response, error) {
	c.in.bound(maxHeadBytes)
	defer c.in.unbound()
	for range maxInterim + 1 {
		if err := checkStart(c.br); err != nil {
			return nil, headError(err)
		}
		h, err := http.ReadResponse(c.br, &http.Request{Method: method})
		if err != nil {
			return nil, headError(err)
		}
		if h.StatusCode >= 200 {
			return h, nil
		}
	}
	return nil, errors.Wrap(ErrInvalidResponse, "too many interim responses")
}

var errNoStart = errors.New("bytes do not begin a response")

// checkStart reports bytes that begin no response as they arrive: their line may never end.
func checkStart(br *bufio.Reader) error {
	for n := 1; n <= len(responseStart); n++ {
		b, err := br.Peek(n)
		if !strings.HasPrefix(responseStart, string(b)) {
			return errNoStart
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// headError tells a connection that ended from bytes that are no response.
func headError(err error) error {
	var network net.Error
	if errors.As(err, &network) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) {
		return errors.Mark(errors.Wrap(err, "read the head"), ErrResponseLost)
	}
	return errors.Mark(errors.Wrap(err, "read the head"), ErrInvalidResponse)
}

// skip reads a response to another request to its end. An error means that the next response cannot be found, since the end
// of this one is not known or too far away.
func skip(c *Conn, h *http.Response) error {
	if h.ContentLength > staleBodyBytes || h.ContentLength < 0 && len(h.TransferEncoding) == 0 {
		return errors.Newf("its body of length %d does not end in time", h.ContentLength)
	}
	if !readToEnd(c, h.Body, staleBodyBytes, staleWait) {
		return errors.New("its body does not end in time")
	}
	return nil
}

// readToEnd reads a body within a bound of bytes and of time. It reports whether the body ended; else the connection is of no
// further use.
func readToEnd(c *Conn, body io.Reader, limit int64, wait time.Duration) bool {
	timer := time.AfterFunc(wait, func() { _ = c.SetReadDeadline(past) }) // Fails only on a closed connection.
	n, err := io.Copy(io.Discard, io.LimitReader(body, limit+1))
	return timer.Stop() && err == nil && n <= limit
}

// Discard ends the exchange without the body. The connection is kept if the body ends at once.
func (r *Response) Discard() {
	r.Close(readToEnd(r.conn, r.Body, discardBytes, discardWait))
}

// Close ends the exchange. Whole says that the body was read to its end; then the connection is kept, if nothing speaks
// against it.
func (r *Response) Close(whole bool) {
	keep := whole && r.Framed && !r.stale && !r.Response.Close && r.conn.br.Buffered() == 0
	if !r.stop() {
		keep = false // The context has ended the exchange.
	}
	if keep && r.written != nil {
		select {
		case err := <-r.written:
			keep = err == nil
		case <-time.After(writeWait):
			keep = false
		}
	}
	if !keep {
		_ = r.conn.Close() // The outcome of the request is known.
		return
	}
	r.pool.put(r.conn, keepAliveTimeout(r.Header))
}

// keepAliveTimeout returns the idle time that an upstream states, or zero.
func keepAliveTimeout(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && s > 0 {
			return time.Duration(s) * time.Second
		}
	}
	return 0
}
