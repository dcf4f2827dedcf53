package forward

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// Limits of the tests.
const (
	upstreamLifetime = 3 * time.Second // The upstream of a test closes its connection after this time.
	maxSentBytes     = 64 << 20        // After these bytes the upstream sends nothing more but leaves the connection open.
	maxExchangeTime  = time.Second     // An exchange must end within this time, well before upstreamLifetime.
	// maxAllocatedBytes is the memory that one exchange may allocate.
	maxAllocatedBytes = 4 << 20
)

// startUpstream starts an upstream that serves one connection. It reads a request and sends the prefix, followed by endless
// repetitions at the given interval. The channel is closed when the peer has closed the connection.
func startUpstream(t *testing.T, prefix, repeated string, interval time.Duration) (address string, closed <-chan struct{}) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() }) // The test has ended.
	disconnected := make(chan struct{})
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }() // The test has ended.
		_ = c.SetDeadline(time.Now().Add(upstreamLifetime))
		br := bufio.NewReader(c)
		if _, err := http.ReadRequest(br); err != nil {
			return
		}
		go func() {
			_, _ = io.Copy(io.Discard, br) // Returns when the connection ends.
			close(disconnected)
		}()
		if _, err := io.WriteString(c, prefix); err != nil {
			return
		}
		piece := []byte(repeated) // Allocated once, so that the test measures the memory of the reader.
		if interval == 0 && repeated != "" {
			piece = bytes.Repeat(piece, max((64<<10)/len(repeated), 1))
		}
		for sent := 0; sent < maxSentBytes && repeated != ""; sent += len(piece) {
			if _, err := c.Write(piece); err != nil {
				return
			}
			time.Sleep(interval)
		}
		<-disconnected
	}()
	return l.Addr().String(), disconnected
}

func sendRequest(t *testing.T, address string) (*Response, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), upstreamLifetime)
	t.Cleanup(cancel)
	p := NewPool(time.Second, 4, metrics.NewSet())
	c, err := p.Get(ctx, address)
	must.NoError(t, err)
	return p.Send(ctx, c, Request{Method: http.MethodGet, Target: "/", Host: "h", IsOwnResponse: func(h http.Header) bool { return h.Get("Id") == "mine" }})
}

// Guards against an upstream that sends endless bytes before a response: an exchange that lasts until its deadline, uses
// unlimited memory, leaves the connection open, or takes a part of another response for its own response.
func TestEndlessResponseIsAborted(t *testing.T) {
	const (
		other = "HTTP/1.1 200 OK\r\nId: other\r\n"
		own   = "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 2\r\n\r\nok"
	)
	long := strings.Repeat("x", maxStaleBodyBytes)
	cases := map[string]struct {
		prefix, repeated string
		interval         time.Duration
		want             error
	}{
		"line":                            {"HTTP/1.1 200 ", "x", 0, ErrInvalidResponse},
		"slow line that is no response":   {"", "x", 10 * time.Millisecond, ErrInvalidResponse},
		"header line":                     {"HTTP/1.1 200 OK\r\nA: ", "x", 0, ErrInvalidResponse},
		"header lines":                    {"HTTP/1.1 200 OK\r\n", "A: b\r\n", 0, ErrInvalidResponse},
		"interim responses":               {"", "HTTP/1.1 100 Continue\r\n\r\n", 0, ErrInvalidResponse},
		"slow interim responses":          {"", "HTTP/1.1 102 Processing\r\n\r\n", 20 * time.Millisecond, ErrInvalidResponse},
		"responses to other requests":     {"", other + "Content-Length: 0\r\n\r\n", 0, ErrResponseLost},
		"other body without a length":     {other + "\r\n", "x", 0, ErrResponseLost},
		"other body in chunks":            {other + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", 0, ErrResponseLost},
		"slow other body":                 {other + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", 10 * time.Millisecond, ErrResponseLost},
		"other body with a large length":  {other + "Content-Length: 1000000000000\r\n\r\n", "x", 0, ErrResponseLost},
		"response inside an other body":   {other + "\r\n" + long + own, "", 0, ErrResponseLost},
		"response inside a counted body":  {other + "Content-Length: 2000000\r\n\r\n" + long + own, "", 0, ErrResponseLost},
		"other body that is never begun":  {other + "Content-Length: 10\r\n\r\n", "", 0, ErrResponseLost},
		"header lines of an interim head": {"HTTP/1.1 103 Early Hints\r\n", "Link: </a>\r\n", 0, ErrInvalidResponse},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			address, closed := startUpstream(t, c.prefix, c.repeated, c.interval)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			startedAt := time.Now()
			_, err := sendRequest(t, address)
			duration := time.Since(startedAt)
			runtime.ReadMemStats(&after)
			test.True(t, errors.Is(err, c.want), test.Sprintf("got error %v", err))
			test.Less(t, maxExchangeTime, duration)
			test.Less(t, uint64(maxAllocatedBytes), after.TotalAlloc-before.TotalAlloc)
			select {
			case <-closed:
			case <-time.After(maxExchangeTime):
				t.Error("connection is still open")
			}
		})
	}
}

// Guards against limits that reject a valid response, with a large head, or after interim responses and late responses to
// other requests.
func TestResponseWithinLimits(t *testing.T) {
	own := "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 2\r\n"
	cases := map[string]string{
		"plain":             own + "\r\nok",
		"large head":        own + "A: " + strings.Repeat("x", 31<<10) + "\r\n\r\nok",
		"interim responses": strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", maxInterimResponses) + own + "\r\nok",
		"other responses": strings.Repeat("HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 100000\r\nA: "+strings.Repeat("x", 20<<10)+"\r\n\r\n"+
			strings.Repeat("y", 100_000), maxStaleResponses-1) + own + "\r\nok",
	}
	for name, text := range cases {
		t.Run(name, func(t *testing.T) {
			address, _ := startUpstream(t, text, "", 0)
			resp, err := sendRequest(t, address)
			must.NoError(t, err)
			body, err := io.ReadAll(resp.Body)
			test.NoError(t, err)
			test.EqOp(t, "ok", string(body))
			resp.Close(true)
		})
	}
}

// Guards against a discarded response that blocks its request until the deadline, and against connections that are closed
// although the response has ended.
func TestDiscard(t *testing.T) {
	head := "HTTP/1.1 503 Service Unavailable\r\nId: mine\r\n"
	cases := map[string]struct {
		prefix, repeated string
		interval         time.Duration
		isOpen           bool
	}{
		"empty":            {head + "Content-Length: 0\r\n\r\n", "", 0, true},
		"counted":          {head + "Content-Length: 3\r\n\r\nabc", "", 0, true},
		"chunks":           {head + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n", "", 0, true},
		"endless":          {head + "\r\n", "x", 0, false},
		"endless chunks":   {head + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", 0, false},
		"slow":             {head + "\r\n", "x", 10 * time.Millisecond, false},
		"body never comes": {head + "Content-Length: 5\r\n\r\n", "", 0, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			address, closed := startUpstream(t, c.prefix, c.repeated, c.interval)
			resp, err := sendRequest(t, address)
			must.NoError(t, err)
			startedAt := time.Now()
			resp.Discard()
			test.Less(t, maxExchangeTime, time.Since(startedAt))
			isOpen := true
			select {
			case <-closed:
				isOpen = false
			case <-time.After(100 * time.Millisecond):
			}
			test.EqOp(t, c.isOpen, isOpen)
		})
	}
}
