package backend

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"
)

// Faults that send data until the client closes the connection.
const (
	EndlessStatusLine    Fault = "endless-line"     // An endless status line.
	EndlessHeader        Fault = "endless-header"   // An endless header line.
	EndlessHeaders       Fault = "endless-headers"  // An endless number of header lines.
	EndlessInterim       Fault = "endless-interim"  // An endless number of interim responses.
	EndlessBody          Fault = "endless-body"     // An endless body without a length.
	EndlessChunks        Fault = "endless-chunks"   // An endless chunked body.
	EndlessContentLength Fault = "endless-length"   // A body that does not reach its Content-Length.
	Endless500           Fault = "endless-failure"  // Runs the request and returns 500 with an endless chunked body.
	EndlessExecuted503   Fault = "endless-unclear"  // Runs the request and returns 503 with an endless chunked body.
	EndlessReject        Fault = "endless-refusal"  // Rejects the request without running it, with an endless chunked body.
	EndlessEventLine     Fault = "endless-event"    // An event with an endless line.
	EndlessEventData     Fault = "endless-data"     // An event with an endless number of lines.
	EndlessBlankLines    Fault = "endless-blank"    // Blank lines instead of events.
	EndlessComments      Fault = "endless-comments" // Comments instead of events.
	EndlessEvents        Fault = "endless-events"   // An endless number of events, one per ResponseDelay.
	EndlessFlood         Fault = "endless-flood"    // An endless number of events, as fast as the client reads.
)

// EndlessHeads are faults before the end of the response headers, EndlessBodies faults of any response body, and EndlessStreams
// faults of event streams.
var (
	EndlessHeads   = []Fault{EndlessStatusLine, EndlessHeader, EndlessHeaders, EndlessInterim}
	EndlessBodies  = []Fault{EndlessBody, EndlessChunks, EndlessContentLength}
	EndlessStreams = []Fault{EndlessEventLine, EndlessEventData, EndlessBlankLines, EndlessComments}
)

// Parameters of endless responses.
const (
	endlessTimeout       = 10 * time.Second // The stand-in stops sending after this time, so that a test always ends.
	endlessWriteBytes    = 32 << 10         // Size of one write.
	endlessWriteInterval = 2 * time.Millisecond
)

// serveEndless serves a request with an endless response. It returns false without a response if f is not such a fault.
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

// serveEndlessReject rejects a request with a response that has an endless body.
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

// sendEndless sends head and then blocks from nextBlock at the given interval, until the connection is closed or
// endlessTimeout passes.
func sendEndless(c net.Conn, head string, nextBlock func() []byte, interval time.Duration) {
	deadline := time.Now().Add(endlessTimeout)
	_ = c.SetWriteDeadline(deadline) // Fails only if the connection is closed, which the write reports.
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
