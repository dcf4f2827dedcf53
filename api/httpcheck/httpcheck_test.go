package httpcheck

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

const framed = "Content-Length: 2\r\n\r\nok"

// invalidResponses are answers that a reader must not take for a response, nor for an interim response before one.
var invalidResponses = map[string]string{
	"status 000":                   "HTTP/1.1 000 None\r\n" + framed,
	"status 000, then a response":  "HTTP/1.1 000 None\r\n\r\nHTTP/1.1 200 OK\r\n" + framed,
	"status 099":                   "HTTP/1.1 099 Low\r\n\r\nHTTP/1.1 200 OK\r\n" + framed,
	"status with a sign":           "HTTP/1.1 +20 OK\r\n" + framed,
	"status 600":                   "HTTP/1.1 600 High\r\n" + framed,
	"status 999":                   "HTTP/1.1 999 High\r\n" + framed,
	"status of four digits":        "HTTP/1.1 2000 OK\r\n" + framed,
	"status of two digits":         "HTTP/1.1 20 OK\r\n" + framed,
	"no status":                    "HTTP/1.1 OK\r\n" + framed,
	"switch of protocols":          "HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK\r\n" + framed,
	"another version":              "HTTP/2.0 200 OK\r\n" + framed,
	"control byte in the reason":   "HTTP/1.1 200 O\x01K\r\n" + framed,
	"blank in a name":              "HTTP/1.1 200 OK\r\nX Name: a\r\n" + framed,
	"blank after a name":           "HTTP/1.1 200 OK\r\nX-Name : a\r\n" + framed,
	"tab after a name":             "HTTP/1.1 200 OK\r\nX-Name\t: a\r\n" + framed,
	"blank before a name":          "HTTP/1.1 200 OK\r\n X-Name: a\r\n" + framed,
	"continued line":               "HTTP/1.1 200 OK\r\nX-Name: a\r\n Content-Length: 1\r\n\r\nok",
	"control byte in a name":       "HTTP/1.1 200 OK\r\nX-\x01Name: a\r\n" + framed,
	"delete in a name":             "HTTP/1.1 200 OK\r\nX-Name\x7f: a\r\n" + framed,
	"byte above ASCII in a name":   "HTTP/1.1 200 OK\r\nX-N\xe9: a\r\n" + framed,
	"no name":                      "HTTP/1.1 200 OK\r\n: a\r\n" + framed,
	"line without a colon":         "HTTP/1.1 200 OK\r\nX-Name\r\n" + framed,
	"control byte in a value":      "HTTP/1.1 200 OK\r\nX-Name: a\x00b\r\n" + framed,
	"carriage return in a value":   "HTTP/1.1 200 OK\r\nX-Name: a\rb\r\n" + framed,
	"blank in the length":          "HTTP/1.1 200 OK\r\nContent Length: 2\r\n\r\nok",
	"blank after the length":       "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok",
	"blank in the encoding":        "HTTP/1.1 200 OK\r\nTransfer -Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"blank after the encoding":     "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"control byte in the encoding": "HTTP/1.1 200 OK\r\nTransfer-Encoding\x01: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"encoding in HTTP/1.0":         "HTTP/1.0 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"encoding and length":          "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"blank in an interim response": "HTTP/1.1 103 Early Hints\r\nX Name: a\r\n\r\nHTTP/1.1 200 OK\r\n" + framed,
	"no response":                  "\x00\x01garbage\r\n\r\n",
	"response after an empty line": "\r\nHTTP/1.1 200 OK\r\n" + framed,
	"undefined code of an interim": "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 000 None\r\n\r\nHTTP/1.1 200 OK\r\n" + framed,
	"too many headers":             "HTTP/1.1 200 OK\r\n" + strings.Repeat("a:\r\n", maxHeadLines) + framed,
	"status 000 without a reason":  "HTTP/1.1 000\r\n" + framed,
}

// validResponses are responses with the body "ok".
var validResponses = map[string]string{
	"length":                      "HTTP/1.1 200 OK\r\n" + framed,
	"many headers":                "HTTP/1.1 200 OK\r\n" + strings.Repeat("a:\r\n", maxHeadLines-4) + framed,
	"large head":                  "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", maxHeadBytes-1024) + "\r\n" + framed,
	"chunks":                      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"no length":                   "HTTP/1.1 200 OK\r\n\r\nok",
	"HTTP/1.0":                    "HTTP/1.0 404 Not Found\r\n\r\nok",
	"no reason":                   "HTTP/1.1 200\r\n" + framed,
	"empty reason":                "HTTP/1.1 200 \r\n" + framed,
	"line feeds":                  "HTTP/1.1 200 OK\nContent-Length: 2\n\nok",
	"interim responses":           "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\n" + framed,
	"unknown interim response":    "HTTP/1.1 199 Other\r\n\r\nHTTP/1.1 200 OK\r\n" + framed,
	"highest code":                "HTTP/1.1 599 Other\r\n" + framed,
	"unusual names and values":    "HTTP/1.1 200 O\xe9 K\r\nx!#$%&'*+-.^_`|~9:a\t\"b\xff\r\nEmpty:\r\n" + framed,
	"name that begins as another": "HTTP/1.1 200 OK\r\nContent-Length-Before: 9\r\nTransfer-Encodings: a\r\n" + framed,
	"body that looks like a head": "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX: HTTP/1.1 000 \r\n\r\nok",
}

// serve starts a server that reads one request head on each connection, responds, and either closes the connection or ends it as an
// orderly server does.
func serve(t *testing.T, readsRest bool, respond func(c net.Conn)) (url string) {
	t.Helper()
	return listen(t, func(c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReaderSize(c, 16)); err == nil {
			respond(c)
		}
		if readsRest {
			_ = c.(*net.TCPConn).CloseWrite()
			_, _ = io.Copy(io.Discard, c) // Unread bytes would reset the connection.
		}
	})
}

// listen starts a server that handles each connection and then closes it.
func listen(t *testing.T, handle func(c net.Conn)) (url string) {
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
				handle(c)
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

// Guards against bytes that are no response and that a client of net/http takes for one, for an interim response before one, or for
// the head of a body that is not the server's.
func TestInvalidResponses(t *testing.T) {
	for name, text := range invalidResponses {
		t.Run(name, func(t *testing.T) {
			url := serve(t, true, func(c net.Conn) { _, _ = io.WriteString(c, text) })
			status, body, err := send(t, url, 0)
			test.True(t, errors.Is(err, ErrInvalidResponse), test.Sprintf("status %d, body %q, error %v", status, body, err))
		})
	}
}

// Guards against checks that reject a valid response, also if it arrives byte by byte.
func TestValidResponses(t *testing.T) {
	for name, text := range validResponses {
		for _, pieceBytes := range []int{max(1, len(text)/200), len(text)} {
			t.Run(name, func(t *testing.T) {
				url := serve(t, true, func(c net.Conn) {
					for i := 0; i < len(text); i += pieceBytes {
						_, _ = io.WriteString(c, text[i:min(len(text), i+pieceBytes)])
						time.Sleep(time.Millisecond)
					}
				})
				_, body, err := send(t, url, 0)
				must.NoError(t, err)
				test.EqOp(t, "ok", body)
			})
		}
	}
}

// Guards against a head that was cut off and that a client takes for complete.
func TestTruncatedHead(t *testing.T) {
	const text = "HTTP/1.1 200 OK\r\nX-Name: a\r\n\r\n"
	for n := range len(text) {
		url := serve(t, true, func(c net.Conn) { _, _ = io.WriteString(c, text[:n]) })
		status, _, err := send(t, url, 0)
		test.Error(t, err, test.Sprintf("status %d after %d bytes", status, n))
	}
}

// Guards against a second response on a connection that is not checked.
func TestReusedConnection(t *testing.T) {
	url := listen(t, func(c net.Conn) {
		br := bufio.NewReader(c)
		for _, status := range []string{"200 OK", "000 None"} {
			r, err := http.ReadRequest(br)
			if err != nil {
				return // The client has closed the connection.
			}
			_, _ = io.Copy(io.Discard, r.Body) // Else the second response may come before its request.
			_, _ = io.WriteString(c, "HTTP/1.1 "+status+"\r\n"+framed)
		}
		_, _ = io.Copy(io.Discard, br)
	})
	client := &http.Client{Transport: NewTransport(&http.Transport{}), Timeout: 10 * time.Second}
	for i, want := range []error{nil, ErrInvalidResponse} {
		resp, err := client.Post(url, "text/plain", io.MultiReader(strings.NewReader(strings.Repeat("x", i)))) // Not rewindable.
		must.True(t, errors.Is(err, want), must.Sprintf("got error %v", err))
		if err == nil {
			_, err = io.ReadAll(resp.Body)
			must.NoError(t, err)
		}
	}
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

// Guards against a head that the checks accept and net/http rejects later in another place, or the reverse for heads of names and
// values that RFC 9112 allows.
func FuzzHead(f *testing.F) {
	for _, text := range invalidResponses {
		f.Add([]byte(text))
	}
	for _, text := range validResponses {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		var h head
		for i, b := range raw {
			if err := h.next(b); err != nil {
				if h.part == ended {
					t.Fatalf("byte %d: error %v after the end", i, err)
				}
				return
			}
			if h.part != ended {
				continue
			}
			if h.status < minStatus || h.status > maxStatus {
				t.Fatalf("status %d was accepted", h.status)
			}
			resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(raw[:i+1])), nil)
			if err != nil {
				return // net/http also checks values of headers, such as the length.
			}
			if resp.StatusCode != h.status {
				t.Fatalf("status %d, net/http reads %d", h.status, resp.StatusCode)
			}
			for name := range resp.Header {
				for _, b := range []byte(name) {
					if !isToken(b) {
						t.Fatalf("header name %q was accepted", name)
					}
				}
			}
			return
		}
	})
}
