package gateway

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"jackdawbay.dev/core/route"
)

// TestTruncatedHeadIsNoResponse guards against an upstream that stops in the middle of the head of its response and closes or
// resets the connection, and whose caller then gets a success with an empty or short body, or a head without the headers that
// were cut off.
func TestTruncatedHeadIsNoResponse(t *testing.T) {
	const stamp = "Id: r\r\nStamp: x\r\n"
	heads := map[string]string{
		"length":            "HTTP/1.1 200 OK\r\n" + stamp + "Content-Length: 150\r\n\r\n",
		"length first":      "HTTP/1.1 200 OK\r\nContent-Length: 150\r\n" + stamp + "\r\n",
		"chunks":            "HTTP/1.1 200 OK\r\n" + stamp + "Transfer-Encoding: chunked\r\n\r\n",
		"no length":         "HTTP/1.1 200 OK\r\n" + stamp + "Connection: close\r\n\r\n",
		"line feeds only":   strings.ReplaceAll("HTTP/1.1 200 OK\r\n"+stamp+"Content-Length: 150\r\n\r\n", "\r\n", "\n"),
		"after an interim":  "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + stamp + "Content-Length: 150\r\n\r\n",
		"stream":            "HTTP/1.1 200 OK\r\n" + stamp + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		"stream, no length": "HTTP/1.1 200 OK\r\n" + stamp + "Content-Type: text/event-stream\r\n\r\n",
	}
	for name, head := range heads {
		r := &route.Route{Kind: route.NonIdempotent}
		if strings.HasPrefix(name, "stream") {
			r = &route.Route{Kind: route.Stream}
		}
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %v", name, reset), func(t *testing.T) {
				var length atomic.Int64
				address := startTruncatingUpstream(t, reset, func() string { return head[:length.Load()] })
				for sent := range head { // All parts of the head but the whole one.
					length.Store(int64(sent))
					w, _, aborted := dispatchRequest(t, newFaultGateway(address), r, "r")
					must.True(t, aborted || w.Code == http.StatusBadGateway, must.Sprintf("status %d after %d bytes: %q", w.Code, sent, head[:sent]))
					test.EqOp(t, "", w.Header().Get("Stamp"))
				}
			})
		}
	}
}

// startTruncatingUpstream starts an upstream that answers each request with the bytes that response returns, and then closes or
// resets the connection.
func startTruncatingUpstream(t *testing.T, reset bool, response func() string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() }) // The test has ended.
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			request := make([]byte, 1<<10)
			_, _ = c.Read(request)             // A failed read means that the test has ended.
			_, _ = c.Write([]byte(response())) // Likewise.
			if tcp, ok := c.(*net.TCPConn); ok && reset {
				_ = tcp.SetLinger(0) // Fails only on a closed connection.
			}
			_ = c.Close() // The response has been sent.
		}
	}()
	return l.Addr().String()
}
