package transport

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// respondOnce starts a server that reads the head of one request, sends an answer, and resets the connection if the request has more
// bytes than the system buffers.
func respondOnce(t *testing.T, answer string) (url string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() }) // The connection was accepted.
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }() // The answer has been sent.
		if _, err := http.ReadRequest(bufio.NewReaderSize(c, 16)); err == nil {
			_, _ = io.WriteString(c, answer) // The client reports what is missing.
		}
		time.Sleep(20 * time.Millisecond)
	}()
	return "http://" + l.Addr().String()
}

// Guards against invalid answers that the clients of the store, of other daemons, and of the engines and services of the serve role
// take for a response.
func TestInvalidResponses(t *testing.T) {
	client := NewClient(Options{DialTimeout: time.Second})
	for _, answer := range []string{
		"HTTP/1.1 000 None\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.1 099 None\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.1 999 None\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.1 200 OK\r\nX Name: a\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n{}",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding\x01: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
	} {
		resp, err := client.Get(respondOnce(t, answer))
		test.Error(t, err, test.Sprintf("%q", answer))
		if err == nil {
			_ = resp.Body.Close() // The test has failed.
		}
	}
}

// Guards against a part of a body without a length that looks complete after a reset during the request.
func TestResetDuringUpload(t *testing.T) {
	client := NewClient(Options{DialTimeout: time.Second})
	for range 10 {
		url := respondOnce(t, "HTTP/1.1 200 OK\r\n\r\n{}")
		resp, err := client.Post(url, "application/json", NonRewindableBody(make([]byte, 24<<20)))
		if err != nil {
			continue
		}
		body, err := ReadAll(resp.Body, MaxResponseBytes)
		_ = resp.Body.Close() // It was read.
		must.Error(t, err, must.Sprintf("body %q", body))
	}
}
