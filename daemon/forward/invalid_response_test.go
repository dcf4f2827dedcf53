package forward

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// Guards against an answer with an undefined status code that is forwarded, or that is skipped as an interim response, so that its
// body is taken for the response.
func TestUndefinedStatusIsNoResponse(t *testing.T) {
	const own = "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 2\r\n\r\nok"
	for _, status := range []string{"000 None", "001 None", "099 None", "101 Switching Protocols", "600 Other", "999 Other", "+20 OK", "-01 None"} {
		for name, rest := range map[string]string{
			"with a body":           "Id: mine\r\nContent-Length: 2\r\n\r\nok",
			"before a response":     "\r\n" + own,
			"with a response in it": "Id: mine\r\nContent-Length: 1000\r\n\r\n" + own,
		} {
			t.Run(status+" "+name, func(t *testing.T) { checkInvalid(t, "HTTP/1.1 "+status+"\r\n"+rest) })
		}
	}
}

// Guards against an answer whose head has invalid names that is forwarded, or whose body is read without its framing.
func TestInvalidHeaderNameIsNoResponse(t *testing.T) {
	for _, line := range []string{
		"X Name: a", "X-Name : a", "X-Name\t: a", " X-Name: a", "X-\x01Name: a", "X-Name\x7f: a",
		"Content-Length : 2", "Content Length: 2", "Transfer-Encoding : chunked", "Transfer -Encoding: chunked", "Transfer-Encoding\x00: chunked",
	} {
		t.Run(line, func(t *testing.T) {
			checkInvalid(t, "HTTP/1.1 200 OK\r\nId: mine\r\n"+line+"\r\n\r\n2\r\nok\r\n0\r\n\r\n")
		})
	}
}

// Guards against a body whose framing depends on the reader: HTTP/1.0 has no transfer encodings.
func TestContradictoryFramingIsNoResponse(t *testing.T) {
	const chunks = "2\r\nok\r\n0\r\n\r\n"
	for name, head := range map[string]string{
		"encoding in HTTP/1.0": "HTTP/1.0 200 OK\r\nId: mine\r\nTransfer-Encoding: chunked\r\n\r\n",
		"encoding and length":  "HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding: chunked\r\nContent-Length: 12\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) { checkInvalid(t, head+chunks) })
	}
}

func checkInvalid(t *testing.T, answer string) {
	t.Helper()
	address, _ := startUpstream(t, answer, "", 0)
	resp, err := sendRequest(t, address)
	if err == nil {
		t.Fatalf("status %d with header %v was taken for a response", resp.StatusCode, resp.Header)
	}
	test.True(t, errors.Is(err, ErrInvalidResponse), test.Sprintf("got error %v", err))
}

// Guards against a late response to another request whose successor is not checked, because it arrived with it.
func TestResponseAfterAnotherIsChecked(t *testing.T) {
	checkInvalid(t, "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 000 None\r\nId: mine\r\nContent-Length: 2\r\n\r\nok")
}

// Guards against a part of a body without a length that looks complete after a reset: the write of the request takes the error of
// the connection, and the read sees its end.
func TestResetDuringUpload(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 200 OK\r\n", "HTTP/1.0 200 OK\r\n", "HTTP/1.1 404 Not Found\r\n"} {
		for range 10 {
			body, err := upload(t, head, func(c *net.TCPConn) {
				time.Sleep(20 * time.Millisecond)
				_ = c.SetLinger(0) // Makes Close reset the connection.
			})
			must.Error(t, err, must.Sprintf("body %q", body))
		}
	}
}

// Guards against a whole body without a length that is rejected because its request is still being written.
func TestEndOfResponseDuringUpload(t *testing.T) {
	for range 10 {
		body, err := upload(t, "HTTP/1.1 200 OK\r\n", func(c *net.TCPConn) {
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, c) // Reads the request to its end.
		})
		must.NoError(t, err)
		must.EqOp(t, "part", body)
	}
}

// upload sends a request that does not fit into the buffers of the system, to an upstream that responds before it reads the body. It
// returns the body of the response.
func upload(t *testing.T, head string, end func(c *net.TCPConn)) (string, error) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { _ = l.Close() }() // The connection was accepted.
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }() // The response has been sent.
		if _, err := http.ReadRequest(bufio.NewReaderSize(c, 16)); err != nil {
			return
		}
		_, _ = io.WriteString(c, head+"Id: mine\r\n\r\npart") // The client reports what is missing.
		end(c.(*net.TCPConn))
	}()
	ctx, cancel := context.WithTimeout(t.Context(), upstreamLifetime)
	defer cancel()
	p := NewPool(time.Second, 4, metrics.NewSet())
	c, err := p.Get(ctx, l.Addr().String())
	must.NoError(t, err)
	resp, err := p.Send(ctx, c, Request{
		Method: http.MethodPost, Target: "/", Host: "h", Body: [][]byte{make([]byte, 24<<20)},
		IsOwnResponse: func(h http.Header) bool { return h.Get("Id") == "mine" },
	})
	if err != nil {
		return "", err
	}
	defer resp.Close(false)
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}
