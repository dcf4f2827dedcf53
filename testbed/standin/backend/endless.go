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
	endlessTimeout       = 10 * time.Second // The stand-in gives up after this time, so that tests end by themselves.
	endlessWriteBytes    = 32 << 10         // Bytes of one write.
	endlessWriteInterval = 2 * time.Millisecond
)

// endless serves a request with a fault that sends bytes without end. It reports whether the fault is one.
func (u *Upstream) serveEndless(c net.Conn, r *http.Request, index int, f Fault) bool {
	const chunked = "Transfer-Encoding: chunked\r\n"
	okHead := func(extra string) string {
		return u.responseHead("200 OK", r, "X-Jackdawbay-Server-Stamp: "+u.ID+"\r\n"+extra)
	}
	events := okHead("Content-Type: text/event-stream\r\n")
	head, repeated := "", ""
	switch f {
	case EndlessStatusLine:
		head, repeated = "HTTP/1.1 200 ", "x"
	case EndlessHeader:
		head, repeated = "HTTP/1.1 200 OK\r\nX: ", "x"
	case EndlessHeaders:
		head, repeated = "HTTP/1.1 200 OK\r\n", "X: y\r\n"
	case EndlessInterim:
		repeated = "HTTP/1.1 100 Continue\r\n\r\n"
	case EndlessBody:
		head, repeated = okHead(""), "x"
	case EndlessContentLength:
		head, repeated = okHead("Content-Length: 1000000000000\r\n"), "x"
	case EndlessChunks:
		head, repeated = okHead(chunked), encodeChunk(strings.Repeat("x", 1000))
	case Endless500:
		head = u.responseHead("500 Internal Server Error", r, "X-Jackdawbay-Server-Stamp: "+u.ID+"\r\n"+chunked)
		repeated = encodeChunk(strings.Repeat("x", 1000))
	case EndlessExecuted503:
		head = u.responseHead("503 Service Unavailable", r, "X-Jackdawbay-Server-Stamp: "+u.ID+"\r\n"+chunked)
		repeated = encodeChunk("x")
	case EndlessEventLine:
		head, repeated = events+"id: 1\ndata: ", "x"
	case EndlessEventData:
		head, repeated = events+"id: 1\n", "data: "+strings.Repeat("x", 100)+"\n"
	case EndlessBlankLines:
		head, repeated = events, "\n"
	case EndlessComments:
		head, repeated = events, ": nothing\n\n"
	case EndlessEvents, EndlessFlood:
		u.serveEndlessEvents(c, r, index, f)
		return true
	default:
		return false
	}
	block := bytes.Repeat([]byte(repeated), max(endlessWriteBytes/len(repeated), 1))
	sendEndless(c, head, func() []byte { return block }, endlessWriteInterval)
	u.markCancelled(index)
	return true
}

func encodeChunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// serveEndlessReject refuses a request with a body without end.
func (u *Upstream) serveEndlessReject(c net.Conn, r *http.Request) {
	head := u.responseHead("503 Service Unavailable", r, "X-Jackdawbay-Not-Executed: 1\r\nTransfer-Encoding: chunked\r\n")
	block := bytes.Repeat([]byte(encodeChunk("x")), endlessWriteBytes/8)
	sendEndless(c, head, func() []byte { return block }, endlessWriteInterval)
}

func (u *Upstream) serveEndlessEvents(c net.Conn, r *http.Request, index int, f Fault) {
	id, n := r.Header.Get("X-Jackdawbay-Request-Id"), 0
	interval := u.ResponseDelay
	if f == EndlessFlood {
		interval = 0
	}
	head := u.responseHead("200 OK", r, "X-Jackdawbay-Server-Stamp: "+u.ID+"\r\nContent-Type: text/event-stream\r\n")
	sendEndless(c, head, func() []byte {
		n++
		return []byte(EventText(id, n))
	}, interval)
	u.markCancelled(index)
}

// pour sends a start and then pieces until the connection ends or the time is over.
func sendEndless(c net.Conn, head string, nextBlock func() []byte, interval time.Duration) {
	deadline := time.Now().Add(endlessTimeout)
	_ = c.SetWriteDeadline(deadline) // Fails only on a closed connection, which the write reports.
	next := []byte(head)
	for time.Now().Before(deadline) {
		if _, err := c.Write(next); err != nil {
			return
		}
		time.Sleep(interval)
		next = nextBlock()
	}
}

func (u *Upstream) markCancelled(index int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.runs[index].Cancelled = true
	u.runs[index].CancelledAt = time.Now()
}
