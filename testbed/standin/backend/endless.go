package backend

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"
)

// Faults that send bytes until the caller closes the connection.
const (
	EndlessStatusLine    Fault = "endless-line"     // A status line without an end.
	EndlessHeader        Fault = "endless-header"   // A header line without an end.
	EndlessHeaders       Fault = "endless-headers"  // Header lines.
	EndlessInterim       Fault = "endless-interim"  // Interim responses.
	EndlessBody          Fault = "endless-body"     // A body without a length.
	EndlessChunks        Fault = "endless-chunks"   // A body in chunks.
	EndlessContentLength Fault = "endless-length"   // A body with a stated length that is not reached.
	Endless500           Fault = "endless-failure"  // A failure of its own with a body in chunks.
	EndlessExecuted503   Fault = "endless-unclear"  // 503 without the statement that the request has not run, with a body in chunks.
	EndlessReject        Fault = "endless-refusal"  // A refusal of a request that has not run, with a body in chunks.
	EndlessEventLine     Fault = "endless-event"    // One line of an event.
	EndlessEventData     Fault = "endless-data"     // One event of many lines.
	EndlessBlankLines    Fault = "endless-blank"    // Blank lines instead of events.
	EndlessComments      Fault = "endless-comments" // Comments instead of events.
	EndlessEvents        Fault = "endless-events"   // Events at the usual pace.
	EndlessFlood         Fault = "endless-flood"    // Events as fast as they are taken.
)

// EndlessHeads, EndlessBodies and EndlessStreams are the faults of plain services and of engines.
var (
	EndlessHeads   = []Fault{EndlessStatusLine, EndlessHeader, EndlessHeaders, EndlessInterim}
	EndlessBodies  = []Fault{EndlessBody, EndlessChunks, EndlessContentLength}
	EndlessStreams = []Fault{EndlessEventLine, EndlessEventData, EndlessBlankLines, EndlessComments}
)

// Bounds of bytes without end.
const (
	endlessTime  = 10 * time.Second // The stand-in gives up after this time, so that tests end by themselves.
	endlessPiece = 32 << 10         // Bytes of one write.
	endlessPause = 2 * time.Millisecond
)

// endless serves a request with a fault that sends bytes without end. It reports whether the fault is one.
func (u *Upstream) endless(c net.Conn, r *http.Request, index int, f Fault) bool {
	const chunked = "Transfer-Encoding: chunked\r\n"
	ok := func(extra string) string {
		return u.head("200 OK", r, "X-Jackdawbay-Server-Stamp: "+u.ID+"\r\n"+extra)
	}
	events := ok("Content-Type: text/event-stream\r\n")
	start, rest := "", ""
	switch f {
	case EndlessStatusLine:
		start, rest = "HTTP/1.1 200 ", "x"
	case EndlessHeader:
		start, rest = "HTTP/1.1 200 OK\r\nX: ", "x"
	case EndlessHeaders:
		start, rest = "HTTP/1.1 200 OK\r\n", "X: y\r\n"
	case EndlessInterim:
		rest = "HTTP/1.1 100 Continue\r\n\r\n"
	case EndlessBody:
		start, rest = ok(""), "x"
	case EndlessContentLength:
		start, rest = ok("Content-Length: 1000000000000\r\n"), "x"
	case EndlessChunks:
		start, rest = ok(chunked), chunk(strings.Repeat("x", 1000))
	case Endless500:
		start = u.head("500 Internal Server Error", r, "X-Jackdawbay-Server-Stamp: "+u.ID+"\r\n"+chunked)
		rest = chunk(strings.Repeat("x", 1000))
	case EndlessExecuted503:
		start = u.head("503 Service Unavailable", r, "X-Jackdawbay-Server-Stamp: "+u.ID+"\r\n"+chunked)
		rest = chunk("x")
	case EndlessEventLine:
		start, rest = events+"id: 1\ndata: ", "x"
	case EndlessEventData:
		start, rest = events+"id: 1\n", "data: "+strings.Repeat("x", 100)+"\n"
	case EndlessBlankLines:
		start, rest = events, "\n"
	case EndlessComments:
		start, rest = events, ": nothing\n\n"
	case EndlessEvents, EndlessFlood:
		u.endlessEvents(c, r, index, f)
		return true
	default:
		return false
	}
	piece := bytes.Repeat([]byte(rest), max(endlessPiece/len(rest), 1))
	pour(c, start, func() []byte { return piece }, endlessPause)
	u.cancelled(index)
	return true
}

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// endlessRefusal refuses a request with a body without end.
func (u *Upstream) endlessRefusal(c net.Conn, r *http.Request) {
	start := u.head("503 Service Unavailable", r, "X-Jackdawbay-Not-Executed: 1\r\nTransfer-Encoding: chunked\r\n")
	piece := bytes.Repeat([]byte(chunk("x")), endlessPiece/8)
	pour(c, start, func() []byte { return piece }, endlessPause)
}

func (u *Upstream) endlessEvents(c net.Conn, r *http.Request, index int, f Fault) {
	id, n := r.Header.Get("X-Jackdawbay-Request-Id"), 0
	pause := u.ResponseDelay
	if f == EndlessFlood {
		pause = 0
	}
	start := u.head("200 OK", r, "X-Jackdawbay-Server-Stamp: "+u.ID+"\r\nContent-Type: text/event-stream\r\n")
	pour(c, start, func() []byte {
		n++
		return []byte(EventText(id, n))
	}, pause)
	u.cancelled(index)
}

// pour sends a start and then pieces until the connection ends or the time is over.
func pour(c net.Conn, start string, piece func() []byte, pause time.Duration) {
	end := time.Now().Add(endlessTime)
	_ = c.SetWriteDeadline(end) // Fails only on a closed connection, which the write reports.
	next := []byte(start)
	for time.Now().Before(end) {
		if _, err := c.Write(next); err != nil {
			return
		}
		time.Sleep(pause)
		next = piece()
	}
}

func (u *Upstream) cancelled(index int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.runs[index].Cancelled = true
	u.runs[index].CancelledAt = time.Now()
}
