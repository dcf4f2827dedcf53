package deployment

import (
	"bufio"
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Call is one request from a caller.
type Call struct {
	Path         string
	Method       string // POST if empty.
	ID           string
	Program      string
	Budget       int64 // Sent with turns of programs, even if zero.
	MaxTokens    int64
	PreviousTurn string
	LastEventID  string
	Body         string
	Deadline     time.Duration // Time limit that is sent with the call; 5 s if zero.
	Header       map[string]string
	CloseAfter   time.Duration // The caller closes its connection after this time; zero waits for the response.
}

// Response is the response that a caller received. Err is set if it did not arrive completely.
type Response struct {
	Status  int
	Header  http.Header
	Body    string
	Close   bool // The response closes the connection.
	Err     error
	Elapsed time.Duration
}

// NewID returns a random identifier.
func NewID() string {
	var b [8]byte
	_, _ = rand.Read(b[:]) // Never fails.
	return hex.EncodeToString(b[:])
}

// EventData returns the data of each event of a stream, in order.
func (r Response) EventData() []string {
	var events []string
	for line := range strings.SplitSeq(r.Body, "\n") {
		if data, ok := strings.CutPrefix(line, "data: "); ok {
			events = append(events, data)
		}
	}
	return events
}

// WithKey returns a copy of the call that carries the key of an organisation.
func (c Call) WithKey(key string) Call {
	c.Header = maps.Clone(c.Header)
	if c.Header == nil {
		c.Header = map[string]string{}
	}
	c.Header["Authorization"] = "Bearer " + key
	return c
}

// Send sends a call over a new connection.
func Send(g *VM, c Call) Response {
	start := time.Now()
	conn, err := net.DialTimeout("tcp", g.FrontAddress, time.Second)
	if err != nil {
		return Response{Err: err}
	}
	defer func() { _ = conn.Close() }() // The response has been read or has failed.
	resp := exchange(conn, bufio.NewReader(conn), c)
	resp.Elapsed = time.Since(start)
	return resp
}

func exchange(conn net.Conn, br *bufio.Reader, c Call) Response {
	timeout := c.Deadline
	if timeout == 0 {
		timeout = 5 * time.Second
	}
	connTimeout := timeout + 500*time.Millisecond
	if c.CloseAfter > 0 {
		connTimeout = c.CloseAfter
	}
	_ = conn.SetDeadline(time.Now().Add(connTimeout)) // Fails only if the connection is closed, which the write reports.
	if _, err := io.WriteString(conn, c.formatRequest(timeout)); err != nil {
		return Response{Err: err}
	}
	resp, err := http.ReadResponse(br, &http.Request{Method: c.httpMethod()})
	if err != nil {
		return Response{Err: err}
	}
	body, err := io.ReadAll(resp.Body)
	return Response{Status: resp.StatusCode, Header: resp.Header, Body: string(body), Close: resp.Close, Err: err}
}

func (c Call) httpMethod() string {
	if c.Method == "" {
		return http.MethodPost
	}
	return c.Method
}

func (c Call) formatRequest(timeout time.Duration) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %sx HTTP/1.1\r\nHost: %s\r\n", c.httpMethod(), c.Path, Host)
	header := func(name, value string) { fmt.Fprintf(&b, "%s: %s\r\n", name, value) }
	header("X-Jackdawbay-Request-Id", c.ID)
	header("X-Jackdawbay-Deadline-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
	if c.Program != "" {
		header("X-Jackdawbay-Program-Id", c.Program)
		header("X-Jackdawbay-Session-Id", c.Program)
		header("X-Jackdawbay-Token-Budget", strconv.FormatInt(c.Budget, 10))
		header("X-Jackdawbay-Token-Usage", fmt.Sprintf("10,%d", c.MaxTokens))
	}
	if c.PreviousTurn != "" {
		header("X-Jackdawbay-Previous-Turn", c.PreviousTurn)
	}
	if c.LastEventID != "" {
		header("Last-Event-Id", c.LastEventID)
	}
	for name, value := range c.Header {
		header(name, value)
	}
	if c.httpMethod() != http.MethodGet {
		header("Content-Length", strconv.Itoa(len(c.Body)))
	}
	return b.String() + "\r\n" + c.Body
}

// Connection is a connection that a caller reuses for several requests.
type Connection struct {
	conn net.Conn
	br   *bufio.Reader
}

// Dial connects to a gateway.
func Dial(ctx context.Context, g *VM) (*Connection, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", g.FrontAddress)
	if err != nil {
		return nil, err
	}
	return &Connection{conn: conn, br: bufio.NewReader(conn)}, nil
}

// Send sends a call over the connection.
func (cn *Connection) Send(c Call) Response { return exchange(cn.conn, cn.br, c) }

// Close closes the connection.
func (cn *Connection) Close() { _ = cn.conn.Close() }
