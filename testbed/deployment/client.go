package deployment

import (
	"bufio"
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Call is one request of a caller.
type Call struct {
	Path         string
	Method       string // POST where it is empty.
	ID           string
	Program      string
	Budget       int64 // Sent for turns of programs, also when zero.
	MaxTokens    int64
	PreviousTurn string
	LastEventID  string
	Body         string
	Deadline     time.Duration
	Header       map[string]string
	CloseAfter   time.Duration // The caller closes its connection after this time; zero waits.
}

// Answer is what a caller got. Err is set where the response did not arrive whole.
type Response struct {
	Status  int
	Header  http.Header
	Body    string
	Close   bool // The connection ends with this response.
	Err     error
	Elapsed time.Duration
}

// NewID returns a random identifier.
func NewID() string {
	var b [8]byte
	_, _ = rand.Read(b[:]) // Never fails.
	return hex.EncodeToString(b[:])
}

// Events returns the data of the events of a stream, in order.
func (a Response) EventData() []string {
	var out []string
	for line := range strings.SplitSeq(a.Body, "\n") {
		if data, ok := strings.CutPrefix(line, "data: "); ok {
			out = append(out, data)
		}
	}
	return out
}

// Send sends a call over a new connection.
func Send(g *VM, c Call) Response {
	start := time.Now()
	conn, err := net.DialTimeout("tcp", g.FrontAddress, time.Second)
	if err != nil {
		return Response{Err: err}
	}
	defer func() { _ = conn.Close() }() // The answer is read or has failed.
	a := exchange(conn, bufio.NewReader(conn), c)
	a.Elapsed = time.Since(start)
	return a
}

func exchange(conn net.Conn, br *bufio.Reader, c Call) Response {
	wait := c.Deadline
	if wait == 0 {
		wait = 5 * time.Second
	}
	limit := wait + 500*time.Millisecond
	if c.CloseAfter > 0 {
		limit = c.CloseAfter
	}
	_ = conn.SetDeadline(time.Now().Add(limit)) // Fails only on a closed connection, which the write reports.
	if _, err := io.WriteString(conn, c.request(wait)); err != nil {
		return Response{Err: err}
	}
	resp, err := http.ReadResponse(br, &http.Request{Method: c.method()})
	if err != nil {
		return Response{Err: err}
	}
	body, err := io.ReadAll(resp.Body)
	return Response{Status: resp.StatusCode, Header: resp.Header, Body: string(body), Close: resp.Close, Err: err}
}

func (c Call) method() string {
	if c.Method == "" {
		return http.MethodPost
	}
	return c.Method
}

func (c Call) request(wait time.Duration) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %sx HTTP/1.1\r\nHost: %s\r\n", c.method(), c.Path, Host)
	header := func(name, value string) { fmt.Fprintf(&b, "%s: %s\r\n", name, value) }
	header("X-Jackdawbay-Request-Id", c.ID)
	header("X-Jackdawbay-Deadline-Ms", strconv.FormatInt(wait.Milliseconds(), 10))
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
	if c.method() != http.MethodGet {
		header("Content-Length", strconv.Itoa(len(c.Body)))
	}
	return b.String() + "\r\n" + c.Body
}

// Keep is a connection that a caller keeps for several requests.
type Connection struct {
	conn net.Conn
	br   *bufio.Reader
}

// Open opens a connection to a gateway.
func Dial(ctx context.Context, g *VM) (*Connection, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", g.FrontAddress)
	if err != nil {
		return nil, err
	}
	return &Connection{conn: conn, br: bufio.NewReader(conn)}, nil
}

// Send sends a call over the kept connection.
func (k *Connection) Send(c Call) Response { return exchange(k.conn, k.br, c) }

// Close closes the connection.
func (k *Connection) Close() { _ = k.conn.Close() } // The caller is done.
