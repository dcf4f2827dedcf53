package forward

import (
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

// Request is an HTTP request for an upstream.
type Request struct {
	Method string
	Target string // Path and query, unchanged.
	Host   string
	Header http.Header
	Body   [][]byte // Pieces of the body, in order. They are not changed.
	// IsOwnResponse reports whether a response with this header belongs to this request.
	IsOwnResponse func(h http.Header) bool
}

// Limits of an exchange.
const (
	// maxStaleResponses is the number of responses to earlier requests that are skipped on one connection.
	maxStaleResponses = 3
	// maxInlineBodyBytes is the size up to which a body is written before the response is read. A larger body is written
	// concurrently, since an upstream may respond before it has read the whole body.
	maxInlineBodyBytes = 8 << 10
	// maxStaleBodyBytes limits the body of a skipped response.
	maxStaleBodyBytes = 256 << 10
	// staleBodyTimeout limits the time for the body of a skipped response. The transfer of maxStaleBodyBytes takes 70 ms
	// over the slowest link of the users' deployments, 30 Mbit/s. In addition, a VM with a small share of a CPU pauses for
	// some 100 ms.
	staleBodyTimeout = 300 * time.Millisecond
	// maxInterimResponses is the number of interim responses (status 1xx) that are skipped before a response.
	maxInterimResponses = 8
	// maxDiscardBytes and discardTimeout limit what is read of a discarded response. Beyond them, reading costs more than a
	// new connection, which takes 1 ms in the users' deployments.
	maxDiscardBytes = 64 << 10
	discardTimeout  = 20 * time.Millisecond
	// writeTimeout is the time to wait for the end of the request body after the response is complete.
	writeTimeout = 20 * time.Millisecond
)

// pastDeadline is a connection deadline in the past. It aborts pending reads and writes.
var pastDeadline = time.Unix(1, 0)

// ErrInvalidResponse means that the upstream sent bytes that are not an HTTP response, or a head that exceeds its limit.
var ErrInvalidResponse = errors.New("upstream sent an invalid HTTP response")

// ErrResponseLost means that the exchange ended before a response began. The request may have been executed.
var ErrResponseLost = errors.New("connection ended before the response")

// Response is a response whose body has not been read yet. Close must be called.
type Response struct {
	*http.Response
	Framed bool // A length or chunks mark the end of the body, not the end of the connection.

	conn      *Conn
	pool      *Pool
	stopWatch func() bool
	writeDone chan error
	unordered bool // It is not certain to which request the next response on the connection belongs.
}

// IsFirstOnConnection reports whether the connection has carried no earlier request.
func (r *Response) IsFirstOnConnection() bool { return !r.conn.Reused }

// DisableReuse closes the connection at the end of the exchange.
func (r *Response) DisableReuse() { r.unordered = true }

// Send writes a request and reads the head of its response. If the context ends, the exchange is aborted, including a read
// of the body. The error is ErrNotSent, ErrResponseLost, ErrInvalidResponse, or that of the context.
func (p *Pool) Send(ctx context.Context, c *Conn, r Request) (*Response, error) {
	stopWatch := context.AfterFunc(ctx, func() { _ = c.SetDeadline(pastDeadline) }) // Fails only on a closed connection.
	fail := func(err error) (*Response, error) {
		stopWatch()
		_ = c.Close() // The original error is returned.
		if ctx.Err() != nil && !errors.Is(err, ErrNotSent) {
			return nil, errors.Mark(errors.Wrap(ctx.Err(), "exchange aborted"), ErrResponseLost)
		}
		return nil, err
	}
	if ctx.Err() != nil {
		return fail(errors.Mark(ctx.Err(), ErrNotSent))
	}
	resp := &Response{conn: c, pool: p, stopWatch: stopWatch}
	head := encodeHead(r)
	if r.bodyBytes() <= maxInlineBodyBytes {
		for _, piece := range r.Body {
			head = append(head, piece...)
		}
		if n, err := c.Write(head); err != nil {
			if n == 0 && !c.Reused {
				return fail(errors.Mark(errors.Wrap(err, "write"), ErrNotSent))
			}
			return fail(errors.Mark(errors.Wrap(err, "write"), ErrResponseLost))
		}
	} else {
		resp.writeDone = make(chan error, 1)
		go func() {
			_, err := c.WriteBuffers(append(net.Buffers{head}, r.Body...))
			resp.writeDone <- err
		}()
	}
	for range maxStaleResponses {
		received, err := readHead(c, r.Method)
		if err != nil {
			return fail(err)
		}
		if r.IsOwnResponse(received.Header) {
			resp.Response = received
			resp.Framed = received.ContentLength >= 0 || len(received.TransferEncoding) > 0
			return resp, nil
		}
		resp.unordered = true
		if err := skipResponse(c, received); err != nil {
			return fail(errors.Mark(errors.Wrap(err, "skip a response to another request"), ErrResponseLost))
		}
	}
	return fail(errors.Mark(errors.New("received only responses to other requests"), ErrResponseLost))
}

func (r Request) bodyBytes() int {
	n := 0
	for _, piece := range r.Body {
		n += len(piece)
	}
	return n
}

func encodeHead(r Request) []byte {
	head := make([]byte, 0, 1024)
	head = fmt.Appendf(head, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			head = append(append(append(append(head, name...), ": "...), v...), "\r\n"...)
		}
	}
	if n := r.bodyBytes(); n > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		head = fmt.Appendf(head, "Content-Length: %d\r\n", n)
	}
	return append(head, "\r\n"...)
}

// readHead reads the head of a response and skips the interim responses before it.
func readHead(c *Conn, method string) (*http.Response, error) {
	c.expectResponse()
	for range maxInterimResponses + 1 {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, markHeadError(err)
		}
		if resp.StatusCode >= 200 {
			return resp, nil
		}
	}
	return nil, errors.Wrap(ErrInvalidResponse, "too many interim responses")
}

// markHeadError marks an error with ErrResponseLost if the connection ended, and with ErrInvalidResponse otherwise.
func markHeadError(err error) error {
	var netErr net.Error
	if errors.As(err, &netErr) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) {
		return errors.Mark(errors.Wrap(err, "read response head"), ErrResponseLost)
	}
	return errors.Mark(errors.Wrap(err, "read response head"), ErrInvalidResponse)
}

// skipResponse reads the body of a response to another request. An error means that the start of the next response cannot be
// determined, or is too far away.
func skipResponse(c *Conn, resp *http.Response) error {
	if resp.ContentLength > maxStaleBodyBytes || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return errors.Newf("body of length %d cannot be skipped", resp.ContentLength)
	}
	if !drainBody(c, resp.Body, maxStaleBodyBytes, staleBodyTimeout) {
		return errors.New("body exceeds the limit of size or time")
	}
	return nil
}

// drainBody reads a body within limits of bytes and time. It reports whether the body ended. If not, the connection cannot
// be reused.
func drainBody(c *Conn, body io.Reader, limit int64, timeout time.Duration) bool {
	timer := time.AfterFunc(timeout, func() { _ = c.SetReadDeadline(pastDeadline) }) // Fails only on a closed connection.
	n, err := io.Copy(io.Discard, io.LimitReader(body, limit+1))
	return timer.Stop() && err == nil && n <= limit
}

// Discard ends the exchange without returning the body. The connection is reused if the body ends within the limits.
func (r *Response) Discard() {
	r.Close(drainBody(r.conn, r.Body, maxDiscardBytes, discardTimeout))
}

// Close ends the exchange. The argument bodyRead states that the body was read to its end. In this case, the connection
// returns to the pool unless it is unusable for another reason.
func (r *Response) Close(bodyRead bool) {
	reusable := bodyRead && r.Framed && !r.unordered && !r.Response.Close && r.conn.reader.Buffered() == 0
	if !r.stopWatch() {
		reusable = false // The context has aborted the exchange.
	}
	if reusable && r.writeDone != nil {
		select {
		case err := <-r.writeDone:
			reusable = err == nil
		case <-time.After(writeTimeout):
			reusable = false
		}
	}
	if !reusable {
		_ = r.conn.Close() // The outcome of the request is not affected by a close error.
		return
	}
	r.pool.put(r.conn, keepAliveTimeout(r.Header))
}

// keepAliveTimeout returns the idle timeout in the Keep-Alive header of the upstream, or zero.
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
