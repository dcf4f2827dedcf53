package httpcheck

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// serve starts a server that reads one request head on each connection, responds, and either closes the connection or ends it as an
// orderly server does.
func serve(t *testing.T, readsRest bool, respond func(c net.Conn)) (url string) {
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
			go func() {
				defer func() { _ = c.Close() }()                    // The response has been sent.
				_ = c.SetDeadline(time.Now().Add(10 * time.Second)) // Fails only on a closed connection.
				if _, err := http.ReadRequest(bufio.NewReaderSize(c, 16)); err == nil {
					respond(c)
				}
				if readsRest {
					_ = c.(*net.TCPConn).CloseWrite()
					_, _ = io.Copy(io.Discard, c) // Unread bytes would reset the connection.
				}
			}()
		}
	}()
	return "http://" + l.Addr().String()
}

// send sends a request with a body and returns what the client takes for the response.
func send(t *testing.T, url string, bodyBytes int) (status int, body string, err error) {
	t.Helper()
	client := &http.Client{Transport: NewTransport(&http.Transport{DisableKeepAlives: true}), Timeout: 10 * time.Second}
	resp, err := client.Post(url, "text/plain", io.MultiReader(bytes.NewReader(make([]byte, bodyBytes)))) // Not rewindable.
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }() // It was read.
	raw, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(raw), err
}

// largeBody does not fit into the buffers of the system, so that it is still being written when the response arrives.
const largeBody = 24 << 20

// Guards against a reset that the write of the request body reports, so that the part of a response that arrived before it looks
// complete.
func TestResetDuringUpload(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.0 200 OK\r\n\r\n", "HTTP/1.1 404 Not Found\r\n\r\n"} {
		url := serve(t, false, func(c net.Conn) {
			_, _ = io.WriteString(c, head+"part")
			time.Sleep(20 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
		})
		for range 10 {
			status, body, err := send(t, url, largeBody)
			must.Error(t, err, must.Sprintf("status %d, body %q", status, body))
		}
	}
}

// Guards against a complete response that is rejected because its request is still being written.
func TestEndOfResponseDuringUpload(t *testing.T) {
	url := serve(t, true, func(c net.Conn) { _, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nok") })
	for range 10 {
		status, body, err := send(t, url, largeBody)
		must.NoError(t, err)
		must.EqOp(t, http.StatusOK, status)
		must.EqOp(t, "ok", body)
	}
}
