// Package backend is a stand-in of the engines and plain services of the users' platform. It counts the runs of each request
// and brings about the faults of an upstream: lost, cut, late, extra, unframed and endless responses, refusals, early answers,
// and addresses that another upstream has taken over.
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

// Fault is what an upstream does with a request.
type Fault string

// Faults.
const (
	NoFault           Fault = ""
	DropResponse      Fault = "lose"        // Runs the request and closes the connection.
	ResetConnection   Fault = "reset"       // Runs the request and resets the connection.
	TruncateBody      Fault = "cut"         // Breaks off in the middle of the body.
	MalformedResponse Fault = "garble"      // Sends bytes that are no response.
	ExtraResponse     Fault = "extra"       // Sends a second response later, on the same connection.
	UnframedBody      Fault = "unframed"    // Sends a body without a length, and closes the connection.
	UnframedBodyReset Fault = "unframedrst" // The same, and resets the connection in the middle.
	EarlyReject       Fault = "early"       // Refuses a request before it has read the body.
	Reject            Fault = "refuse"      // 503 with the statement that the request has not run.
	Executed503       Fault = "unclear503"  // Runs the request and answers 503 without that statement.
	Executed500       Fault = "500"         // Runs the request and answers 500.
	Hang              Fault = "hang"        // Runs the request and never answers.
	EncodedBody       Fault = "encoded"     // Answers with a content encoding.
	UnsignedResponse  Fault = "unsigned"    // Answers without the signature.
)

// Run is one run of a request.
type Run struct {
	ID, Method, Target, LastEventID, Instance string
	DeadlineMS                                int
	Header                                    http.Header
	Body                                      string
	StartedAt                                 time.Time
	Cancelled                                 bool      // The connection ended while the request ran.
	CancelledAt                               time.Time // End of the connection of a cancelled run.
}

// Upstream is one engine or service process.
type Upstream struct {
	ID              string
	Slots           int
	EventsPerStream int           // Events of a stream; zero makes it a plain service.
	ResponseDelay   time.Duration // Time between events, or the time of a plain request.

	mu       sync.Mutex
	faults   []Fault // Faults of the next requests.
	always   Fault
	runs     []Run
	running  int
	most     int
	conns    int
	listener net.Listener
	open     map[net.Conn]bool
}

// Start serves an upstream at an address.
func (u *Upstream) Start(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	u.listener = l
	u.open = map[net.Conn]bool{}
	go u.accept(l)
	return nil
}

// Addr is the address of the upstream.
func (u *Upstream) Addr() string { return u.listener.Addr().String() }

// Stop closes the listener and all connections, as a crash does.
func (u *Upstream) Stop() {
	_ = u.listener.Close() // The process is gone.
	u.mu.Lock()
	defer u.mu.Unlock()
	for c := range u.open {
		_ = c.Close() // The process is gone.
	}
}

// Next sets the faults of the next requests, in order.
func (u *Upstream) QueueFaults(f ...Fault) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.faults = append(u.faults, f...)
}

// Always sets the fault of every request.
func (u *Upstream) SetFault(f Fault) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.always = f
}

// Runs returns the runs so far.
func (u *Upstream) Runs() []Run {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]Run{}, u.runs...)
}

// Connections is the number of connections that were accepted.
func (u *Upstream) AcceptedConnections() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.conns
}

func (u *Upstream) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		u.mu.Lock()
		u.conns++
		u.open[c] = true
		u.mu.Unlock()
		go func() {
			u.serve(c)
			u.mu.Lock()
			delete(u.open, c)
			u.mu.Unlock()
			_ = c.Close() // The exchange is over.
		}()
	}
}

func (u *Upstream) fault() Fault {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.faults) > 0 {
		f := u.faults[0]
		u.faults = u.faults[1:]
		return f
	}
	return u.always
}

func (u *Upstream) serve(c net.Conn) {
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		f := u.fault()
		if f == EarlyReject {
			_, err := io.WriteString(c, u.head("503 Service Unavailable", r, "X-Jackdawbay-Not-Executed: 1\r\nContent-Length: 0\r\n"))
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			continue
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if !u.handle(c, br, r, string(body), f) {
			return
		}
	}
}

// head is the start of a response, with the headers that every response bears.
func (u *Upstream) head(status string, r *http.Request, extra string) string {
	u.mu.Lock()
	load := fmt.Sprintf("%d,0,%d", u.running, u.Slots)
	u.mu.Unlock()
	return fmt.Sprintf("HTTP/1.1 %s\r\nX-Jackdawbay-Request-Id: %s\r\nX-Jackdawbay-Instance-Id: %s\r\nX-Jackdawbay-Instance-Load: %s\r\n%s\r\n",
		status, r.Header.Get("X-Jackdawbay-Request-Id"), u.ID, load, extra)
}

// handle serves one request. It reports whether the connection goes on.
func (u *Upstream) handle(c net.Conn, br *bufio.Reader, r *http.Request, body string, f Fault) bool {
	if want := r.Header.Get("X-Jackdawbay-Expect-Instance"); want != "" && want != u.ID {
		_, err := io.WriteString(c, u.head("421 Misdirected Request", r, "Content-Length: 0\r\n"))
		return err == nil
	}
	if f == Reject {
		_, err := io.WriteString(c, u.head("503 Service Unavailable", r, "X-Jackdawbay-Not-Executed: 1\r\nContent-Length: 0\r\n"))
		return err == nil
	}
	if f == EndlessReject {
		u.endlessRefusal(c, r)
		return false
	}
	index := u.begin(r, body)
	defer u.end()
	if u.endless(c, r, index, f) {
		return false
	}
	stamp := "X-Jackdawbay-Server-Stamp: " + u.ID + "\r\n"
	switch f {
	case DropResponse:
		return false
	case ResetConnection:
		reset(c)
		return false
	case MalformedResponse:
		_, _ = io.WriteString(c, "\x00\x01garbage\r\n\r\n") // The connection ends in any case.
		return false
	case Executed503:
		_, err := io.WriteString(c, u.head("503 Service Unavailable", r, stamp+"Content-Length: 0\r\n"))
		return err == nil
	case Executed500:
		_, err := io.WriteString(c, u.head("500 Internal Server Error", r, stamp+"Content-Length: 4\r\n")+"oops")
		return err == nil
	case Hang:
		u.await(c, br, index, time.Hour)
		return false
	case EncodedBody:
		_, err := io.WriteString(c, u.head("200 OK", r, stamp+"Content-Encoding: gzip\r\nContent-Length: 4\r\n")+"zzzz")
		return err == nil
	case UnsignedResponse:
		_, err := io.WriteString(c, u.head("200 OK", r, "Content-Length: 4\r\n")+"okay")
		return err == nil
	}
	if u.EventsPerStream > 0 {
		return u.stream(c, br, r, index, f, stamp)
	}
	return u.plain(c, br, r, index, f, stamp)
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // The close below resets the connection.
	}
	_ = c.Close() // The caller is to see a reset.
}

func (u *Upstream) begin(r *http.Request, body string) int {
	deadline, _ := strconv.Atoi(r.Header.Get("X-Jackdawbay-Deadline-Ms")) // Zero where there is none.
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running++
	u.most = max(u.most, u.running)
	u.runs = append(u.runs, Run{
		ID: r.Header.Get("X-Jackdawbay-Request-Id"), Method: r.Method, Target: r.RequestURI, Instance: u.ID,
		LastEventID: r.Header.Get("Last-Event-Id"), DeadlineMS: deadline, Header: r.Header.Clone(), Body: body, StartedAt: time.Now(),
	})
	return len(u.runs) - 1
}

func (u *Upstream) end() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running--
}

// await lets time pass and notes whether the connection ended meanwhile.
func (u *Upstream) await(c net.Conn, br *bufio.Reader, index int, d time.Duration) bool {
	_ = c.SetReadDeadline(time.Now().Add(d)) // Fails only on a closed connection, which the read reports.
	_, err := br.Peek(1)
	_ = c.SetReadDeadline(time.Time{}) // As above.
	if ne, ok := err.(net.Error); err == nil || ok && ne.Timeout() {
		return true
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.runs[index].Cancelled, u.runs[index].CancelledAt = true, time.Now()
	return false
}

// Body is the response of a plain service to a request.
func ResponseBody(id string) string { return "result of " + id + strings.Repeat(".", 200) }

func (u *Upstream) plain(c net.Conn, br *bufio.Reader, r *http.Request, index int, f Fault, stamp string) bool {
	if !u.await(c, br, index, u.ResponseDelay) {
		return false
	}
	body := ResponseBody(r.Header.Get("X-Jackdawbay-Request-Id"))
	full := u.head("200 OK", r, stamp+"Content-Length: "+strconv.Itoa(len(body))+"\r\n") + body
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
		_, _ = io.WriteString(c, u.head("200 OK", r, stamp)+body[:len(body)/2]) // The connection ends in any case.
		if f == UnframedBodyReset {
			time.Sleep(20 * time.Millisecond)
			reset(c)
			return false
		}
		_, _ = io.WriteString(c, body[len(body)/2:]) // The connection ends in any case.
		return false
	}
	_, err := io.WriteString(c, full)
	return err == nil
}

// Event is one event of the stream of a request.
func EventText(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s-%d\n\n", n, id, n) }

// Output is what a turn says: the data of its events, each followed by a line feed.
func StreamText(id string, events int) string {
	var b strings.Builder
	for n := 1; n <= events; n++ {
		fmt.Fprintf(&b, "%s-%d\n", id, n)
	}
	return b.String()
}

func (u *Upstream) stream(c net.Conn, br *bufio.Reader, r *http.Request, index int, f Fault, stamp string) bool {
	id := r.Header.Get("X-Jackdawbay-Request-Id")
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // Zero from the start.
	if !u.await(c, br, index, u.ResponseDelay) {
		return false
	}
	if _, err := io.WriteString(c, u.head("200 OK", r, stamp+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")); err != nil {
		return false
	}
	for n := first + 1; n <= u.EventsPerStream; n++ {
		text := EventText(id, n)
		if f == TruncateBody && n == u.EventsPerStream/2+1 {
			_, _ = io.WriteString(c, fmt.Sprintf("%x\r\n%s", len(text), text[:len(text)/2])) // The connection ends in any case.
			return false
		}
		if _, err := io.WriteString(c, fmt.Sprintf("%x\r\n%s\r\n", len(text), text)); err != nil {
			return false
		}
		if n < u.EventsPerStream && !u.await(c, br, index, u.ResponseDelay) {
			return false
		}
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}
