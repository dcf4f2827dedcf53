// Package backend is a stand-in for the engines and plain services of the users' platform. It records the runs of each request
// and simulates the faults of an upstream: lost, truncated, late, extra, unframed and endless responses, rejections, responses
// before the request was read, and addresses that another upstream has taken over.
package backend

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Fault is a fault that an upstream simulates for a request.
type Fault string

// Values of Fault.
const (
	NoFault           Fault = ""
	DropResponse      Fault = "lose"        // Runs the request and closes the connection without a response.
	ResetConnection   Fault = "reset"       // Runs the request and resets the connection without a response.
	TruncateBody      Fault = "cut"         // Runs the request and closes the connection in the middle of the body.
	MalformedResponse Fault = "garble"      // Runs the request and sends bytes that are not an HTTP response.
	ExtraResponse     Fault = "extra"       // Sends a second response on the same connection later.
	UnframedBody      Fault = "unframed"    // Sends a body without a length and closes the connection.
	UnframedBodyReset Fault = "unframedrst" // Sends a body without a length and resets the connection in its middle.
	EarlyReject       Fault = "early"       // Rejects the request with 503 before reading the body.
	EarlyReset        Fault = "earlyrst"    // Sends a part of a body without a length before reading the body, and resets the connection.
	UndefinedStatus   Fault = "status000"   // Runs the request and returns the status 000.
	InvalidHeaderName Fault = "blankname"   // Runs the request and returns a chunked body with a blank in the name of its framing header.
	Reject            Fault = "refuse"      // Rejects the request with 503 and a header that reports that it has not run.
	Executed503       Fault = "unclear503"  // Runs the request and returns 503 without the header of Reject.
	Executed500       Fault = "500"         // Runs the request and returns 500.
	Hang              Fault = "hang"        // Runs the request and never responds.
	EncodedBody       Fault = "encoded"     // Returns a body with a content encoding.
	UnsignedResponse  Fault = "unsigned"    // Returns a response without the server stamp.
)

// Run is one run of a request.
type Run struct {
	ID, Method, Target, LastEventID, Instance string
	DeadlineMS                                int
	Header                                    http.Header
	Body                                      string
	StartedAt                                 time.Time
	Cancelled                                 bool      // The connection was closed while the request was running.
	CancelledAt                               time.Time // Time at which the connection of a cancelled run was closed.
}

// Upstream simulates one engine or service process.
type Upstream struct {
	ID              string
	Slots           int
	Version         string        // Version of the software, which its events state; empty for events without a version.
	EventsPerStream int           // Number of events in a stream; zero for a plain service.
	ResponseDelay   time.Duration // Delay before each event of a stream and before a plain response.

	mu            sync.Mutex
	queuedFaults  []Fault // Faults of the next requests, in order.
	defaultFault  Fault
	runs          []Run
	running       int
	maxRunning    int
	acceptedConns int
	listener      net.Listener
	openConns     map[net.Conn]bool
}

// Start starts serving at an address.
func (u *Upstream) Start(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	u.listener = l
	u.openConns = map[net.Conn]bool{}
	go u.accept(l)
	return nil
}

// Addr returns the address of the upstream.
func (u *Upstream) Addr() string { return u.listener.Addr().String() }

// Stop closes the listener and all connections, like a crash of the process.
func (u *Upstream) Stop() {
	_ = u.listener.Close() // Errors do not matter after a crash.
	u.mu.Lock()
	defer u.mu.Unlock()
	for c := range u.openConns {
		_ = c.Close() // Errors do not matter after a crash.
	}
}

// QueueFaults sets the faults of the next requests, in order. They take precedence over SetFault.
func (u *Upstream) QueueFaults(f ...Fault) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.queuedFaults = append(u.queuedFaults, f...)
}

// SetFault sets the fault of every request that has no queued fault.
func (u *Upstream) SetFault(f Fault) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.defaultFault = f
}

// Runs returns a copy of the runs so far.
func (u *Upstream) Runs() []Run {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]Run{}, u.runs...)
}

// AcceptedConnections returns the number of connections accepted so far.
func (u *Upstream) AcceptedConnections() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.acceptedConns
}

func (u *Upstream) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		u.mu.Lock()
		u.acceptedConns++
		u.openConns[c] = true
		u.mu.Unlock()
		go func() {
			u.serve(c)
			u.mu.Lock()
			delete(u.openConns, c)
			u.mu.Unlock()
			_ = c.Close() // The exchange is over.
		}()
	}
}

func (u *Upstream) nextFault() Fault {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.queuedFaults) > 0 {
		f := u.queuedFaults[0]
		u.queuedFaults = u.queuedFaults[1:]
		return f
	}
	return u.defaultFault
}

func (u *Upstream) serve(c net.Conn) {
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		f := u.nextFault()
		if f == EarlyReject {
			_, err := io.WriteString(c, u.responseHead("503 Service Unavailable", r, "X-Jackdawbay-Not-Executed: 1\r\nContent-Length: 0\r\n"))
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			continue
		}
		if f == EarlyReset {
			u.serveEarlyReset(c, r)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if !u.handleRequest(c, br, r, string(body), f) {
			return
		}
	}
}

// responseHead returns the status line and headers of a response, including the headers that every response has.
func (u *Upstream) responseHead(status string, r *http.Request, extra string) string {
	u.mu.Lock()
	load := fmt.Sprintf("%d,0,%d", u.running, u.Slots)
	u.mu.Unlock()
	return fmt.Sprintf("HTTP/1.1 %s\r\nX-Jackdawbay-Request-Id: %s\r\nX-Jackdawbay-Instance-Id: %s\r\nX-Jackdawbay-Instance-Load: %s\r\n%s\r\n",
		status, r.Header.Get("X-Jackdawbay-Request-Id"), u.ID, load, extra)
}

// handleRequest serves one request. It reports whether the connection can be reused.
func (u *Upstream) handleRequest(c net.Conn, br *bufio.Reader, r *http.Request, body string, f Fault) bool {
	if want := r.Header.Get("X-Jackdawbay-Expect-Instance"); want != "" && want != u.ID {
		_, err := io.WriteString(c, u.responseHead("421 Misdirected Request", r, "Content-Length: 0\r\n"))
		return err == nil
	}
	if f == Reject {
		_, err := io.WriteString(c, u.responseHead("503 Service Unavailable", r, "X-Jackdawbay-Not-Executed: 1\r\nContent-Length: 0\r\n"))
		return err == nil
	}
	if f == EndlessReject {
		u.serveEndlessReject(c, r)
		return false
	}
	index := u.recordRun(r, body)
	defer u.finishRun()
	if u.serveEndless(c, r, index, f) {
		return false
	}
	stamp := "X-Jackdawbay-Server-Stamp: " + u.ID + "\r\n"
	switch f {
	case DropResponse:
		return false
	case ResetConnection:
		resetConn(c)
		return false
	case MalformedResponse:
		_, _ = io.WriteString(c, "\x00\x01garbage\r\n\r\n") // The connection ends in any case.
		return false
	case UndefinedStatus:
		u.serveUndefinedStatus(c, r, stamp)
		return false
	case InvalidHeaderName:
		u.serveInvalidHeaderName(c, r, stamp)
		return false
	case Executed503:
		_, err := io.WriteString(c, u.responseHead("503 Service Unavailable", r, stamp+"Content-Length: 0\r\n"))
		return err == nil
	case Executed500:
		_, err := io.WriteString(c, u.responseHead("500 Internal Server Error", r, stamp+"Content-Length: 4\r\n")+"oops")
		return err == nil
	case Hang:
		u.waitWhileConnected(c, br, index, time.Hour)
		return false
	case EncodedBody:
		_, err := io.WriteString(c, u.responseHead("200 OK", r, stamp+"Content-Encoding: gzip\r\nContent-Length: 4\r\n")+"zzzz")
		return err == nil
	case UnsignedResponse:
		_, err := io.WriteString(c, u.responseHead("200 OK", r, "Content-Length: 4\r\n")+"okay")
		return err == nil
	}
	if u.EventsPerStream > 0 {
		return u.serveStream(c, br, r, index, f, stamp)
	}
	return u.servePlain(c, br, r, index, f, stamp)
}

func resetConn(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // Makes Close reset the connection.
	}
	_ = c.Close() // The client observes a reset.
}

func (u *Upstream) recordRun(r *http.Request, body string) int {
	deadline, _ := strconv.Atoi(r.Header.Get("X-Jackdawbay-Deadline-Ms")) // Zero if the header is missing.
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running++
	u.maxRunning = max(u.maxRunning, u.running)
	u.runs = append(u.runs, Run{
		ID: r.Header.Get("X-Jackdawbay-Request-Id"), Method: r.Method, Target: r.RequestURI, Instance: u.ID,
		LastEventID: r.Header.Get("Last-Event-Id"), DeadlineMS: deadline, Header: r.Header.Clone(), Body: body, StartedAt: time.Now(),
	})
	return len(u.runs) - 1
}

func (u *Upstream) finishRun() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running--
}

// waitWhileConnected waits for d. It returns false and marks the run as cancelled if the client closes the connection first.
func (u *Upstream) waitWhileConnected(c net.Conn, br *bufio.Reader, index int, d time.Duration) bool {
	_ = c.SetReadDeadline(time.Now().Add(d)) // Fails only if the connection is closed, which the read reports.
	_, err := br.Peek(1)
	_ = c.SetReadDeadline(time.Time{}) // Fails only if the connection is closed, which the next read reports.
	if ne, ok := err.(net.Error); err == nil || ok && ne.Timeout() {
		return true
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.runs[index].Cancelled, u.runs[index].CancelledAt = true, time.Now()
	return false
}

// ResponseBody returns the response body of a plain service to a request.
func ResponseBody(id string) string { return "result of " + id + strings.Repeat(".", 200) }

func (u *Upstream) servePlain(c net.Conn, br *bufio.Reader, r *http.Request, index int, f Fault, stamp string) bool {
	if !u.waitWhileConnected(c, br, index, u.ResponseDelay) {
		return false
	}
	body := ResponseBody(r.Header.Get("X-Jackdawbay-Request-Id"))
	full := u.responseHead("200 OK", r, stamp+"Content-Length: "+strconv.Itoa(len(body))+"\r\n") + body
	switch f {
	case TruncateBody:
		_, _ = io.WriteString(c, full[:len(full)-len(body)/2]) // The connection ends in any case.
		return false
	case ExtraResponse:
		if _, err := io.WriteString(c, full); err != nil {
			return false
		}
		time.Sleep(20 * time.Millisecond)
		_, err := io.WriteString(c, full)
		return err == nil
	case UnframedBody, UnframedBodyReset:
		_, _ = io.WriteString(c, u.responseHead("200 OK", r, stamp)+body[:len(body)/2]) // The connection ends in any case.
		if f == UnframedBodyReset {
			time.Sleep(20 * time.Millisecond)
			resetConn(c)
			return false
		}
		_, _ = io.WriteString(c, body[len(body)/2:]) // The connection ends in any case.
		return false
	}
	_, err := io.WriteString(c, full)
	return err == nil
}

// EventText returns the n-th event of the stream of a request.
func EventText(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s-%d\n\n", n, id, n) }

// versionSeparator separates the version from the rest of the data of an event.
const versionSeparator = "@"

func (u *Upstream) eventText(id string, n int) string {
	if u.Version == "" {
		return EventText(id, n)
	}
	return fmt.Sprintf("id: %d\ndata: %s-%d%s%s\n\n", n, id, n, versionSeparator, u.Version)
}

// EventVersion returns the version that the data of an event states, or an empty string.
func EventVersion(data string) string {
	_, version, _ := strings.Cut(data, versionSeparator)
	return version
}

// StreamText returns the output of a turn: the data of its events, each followed by a line feed.
func StreamText(id string, events int) string {
	var b strings.Builder
	for n := 1; n <= events; n++ {
		fmt.Fprintf(&b, "%s-%d\n", id, n)
	}
	return b.String()
}

func (u *Upstream) serveStream(c net.Conn, br *bufio.Reader, r *http.Request, index int, f Fault, stamp string) bool {
	id := r.Header.Get("X-Jackdawbay-Request-Id")
	lastEventID, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // Zero for a stream from the start.
	if !u.waitWhileConnected(c, br, index, u.ResponseDelay) {
		return false
	}
	if _, err := io.WriteString(c, u.responseHead("200 OK", r, stamp+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")); err != nil {
		return false
	}
	for n := lastEventID + 1; n <= u.EventsPerStream; n++ {
		text := u.eventText(id, n)
		if f == TruncateBody && n == u.EventsPerStream/2+1 {
			_, _ = io.WriteString(c, fmt.Sprintf("%x\r\n%s", len(text), text[:len(text)/2])) // The connection ends in any case.
			return false
		}
		if _, err := io.WriteString(c, fmt.Sprintf("%x\r\n%s\r\n", len(text), text)); err != nil {
			return false
		}
		if n < u.EventsPerStream && !u.waitWhileConnected(c, br, index, u.ResponseDelay) {
			return false
		}
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}
