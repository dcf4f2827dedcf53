package intake

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"jackdawbay.dev/core/memory"
)

const testLimit = 200 << 10

// testServer serves requests with an intake. Its account has 350 KB, of which 100 KB are for small requests.
type testServer struct {
	*httptest.Server
	account *memory.Account
	metrics *metrics.Set
	results chan result
}

type result struct {
	body []byte
	err  error
	held int64 // Reserved bytes after the body was read.
}

func startServer(t *testing.T, stalledAfter, bodyTimeout time.Duration) *testServer {
	t.Helper()
	s := &testServer{
		account: memory.New(memory.Config{Bytes: 350 << 10, ReservedBytes: 100 << 10, SmallBytes: 32 << 10, StalledAfter: stalledAfter, ProgressBytes: 1}),
		metrics: metrics.NewSet(), results: make(chan result, 16),
	}
	in := New(Config{Account: s.account, BodyTimeout: bodyTimeout, Log: slog.New(slog.DiscardHandler), Metrics: s.metrics})
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h := in.Open()
		defer h.Close()
		pieces, err := in.Read(w, r, h, testLimit)
		s.results <- result{bytes.Join(pieces, nil), err, s.account.Usage().Bytes}
		if err != nil {
			h.Close()
			in.PrepareRejection(w, r)
			w.WriteHeader(http.StatusServiceUnavailable)
			in.Linger(w, r)
		}
	}))
	t.Cleanup(s.Close)
	return s
}

// send opens a connection and sends the start of a request. The connection is closed at the end of the test.
func (s *testServer) send(t *testing.T, header, body string) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", s.Listener.Addr().String())
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() }) // The server may have closed it already.
	must.NoError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
	_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\n"+header+"\r\n\r\n"+body)
	must.NoError(t, err)
	return conn, bufio.NewReader(conn)
}

func chunked(piece string, n int) string {
	return strings.Repeat(fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece), n)
}

// Guards against bodies that are changed, that are not taken although they are within the limit, or whose memory is not returned.
func TestReadBodies(t *testing.T) {
	big := strings.Repeat("0123456789", testLimit/10)
	for _, c := range []struct {
		name, header, sent, want string
	}{
		{"empty", "Content-Length: 0", "", ""},
		{"small", "Content-Length: 5", "hello", "hello"},
		{"at the limit", fmt.Sprintf("Content-Length: %d", testLimit), big, big},
		{"chunked", "Transfer-Encoding: chunked", chunked("ab", 5000) + "0\r\n\r\n", strings.Repeat("ab", 5000)},
		{"chunked at the limit", "Transfer-Encoding: chunked", chunked(big, 1) + "0\r\n\r\n", big},
		{"chunked and empty", "Transfer-Encoding: chunked", "0\r\n\r\n", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := startServer(t, time.Minute, time.Minute)
			_, br := s.send(t, c.header, c.sent)
			got := <-s.results
			must.NoError(t, got.err)
			must.True(t, c.want == string(got.body))
			test.LessEq(t, int64(len(c.want)+pieceBytes), got.held)
			resp, err := http.ReadResponse(br, nil)
			must.NoError(t, err)
			test.EqOp(t, http.StatusOK, resp.StatusCode)
			test.False(t, resp.Close)
			test.EqOp(t, 0, s.account.Usage().Bytes)
		})
	}
}

// Guards against a body over the limit that is read although its length is announced, or further than the limit, and against a
// client that does not get the response.
func TestBodyOverTheLimit(t *testing.T) {
	for name, request := range map[string][2]string{
		"announced":     {fmt.Sprintf("Content-Length: %d", testLimit+1), ""},
		"not announced": {"Transfer-Encoding: chunked", chunked(strings.Repeat("x", testLimit+1), 1)},
	} {
		t.Run(name, func(t *testing.T) {
			s := startServer(t, time.Minute, time.Minute)
			_, br := s.send(t, request[0], request[1])
			got := <-s.results
			test.ErrorIs(t, got.err, ErrTooLarge)
			test.LessEq(t, testLimit+pieceBytes, got.held)
			resp, err := http.ReadResponse(br, nil)
			must.NoError(t, err)
			test.True(t, resp.Close)
			test.EqOp(t, 1, s.metrics.GetOrCreateCounter(`jackdawbay_bodies_rejected_total{reason="too_large"}`).Get())
		})
	}
}

// Guards against a client that keeps its memory although it sends nothing, and against a connection that is not closed.
func TestBodyWithoutProgress(t *testing.T) {
	s := startServer(t, time.Minute, 100*time.Millisecond)
	_, br := s.send(t, "Content-Length: 1000", strings.Repeat("x", 999))
	test.ErrorIs(t, (<-s.results).err, ErrNoProgress)
	_, err := io.ReadAll(br)
	test.NoError(t, err)
	test.EqOp(t, 0, s.account.Usage().Bytes)
}

// Guards against a timeout that ends a body with progress, and against one that stays in force while the request runs.
func TestSlowBodyWithProgress(t *testing.T) {
	s := startServer(t, time.Minute, 400*time.Millisecond)
	conn, br := s.send(t, "Content-Length: 10", "")
	for range 10 {
		time.Sleep(100 * time.Millisecond)
		_, err := io.WriteString(conn, "x")
		must.NoError(t, err)
	}
	must.NoError(t, (<-s.results).err)
	_, err := http.ReadResponse(br, nil)
	must.NoError(t, err)
}

// Guards against a client that has stopped sending and keeps the memory that another one needs, and against one with progress that
// gives way.
func TestStoppedClientGivesWay(t *testing.T) {
	const size = 150 << 10
	for _, c := range []struct {
		name         string
		stalledAfter time.Duration
		rejected     error
	}{
		{"stopped", 200 * time.Millisecond, ErrGaveWay},
		{"not yet stopped", time.Minute, ErrNoMemory},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := startServer(t, c.stalledAfter, time.Minute)
			header := fmt.Sprintf("Content-Length: %d", size)
			_, _ = s.send(t, header, strings.Repeat("x", size-1))
			must.Wait(t, waitFor(func() bool { return s.account.Usage().Bytes >= size }))
			time.Sleep(300 * time.Millisecond)
			second, _ := s.send(t, header, strings.Repeat("y", size-1))
			test.ErrorIs(t, (<-s.results).err, c.rejected)
			if c.stalledAfter < time.Minute {
				_, err := io.WriteString(second, "y")
				must.NoError(t, err)
				test.NoError(t, (<-s.results).err)
			}
		})
	}
}

// Guards against large bodies that leave no memory for small ones.
func TestSmallBodyHasReserve(t *testing.T) {
	s := startServer(t, time.Minute, time.Minute)
	_, _ = s.send(t, fmt.Sprintf("Content-Length: %d", testLimit), strings.Repeat("x", testLimit-1))
	_, _ = s.send(t, "Content-Length: 49152", strings.Repeat("x", 49151))
	must.Wait(t, waitFor(func() bool { return s.account.Usage().Bytes == testLimit+49152 }))
	_, _ = s.send(t, "Content-Length: 40000", strings.Repeat("x", 40000))
	test.ErrorIs(t, (<-s.results).err, ErrNoMemory)
	_, _ = s.send(t, "Content-Length: 10000", strings.Repeat("x", 10000))
	test.NoError(t, (<-s.results).err)
}

// Guards against a rejection that waits for a body that does not come.
func TestRejectionDoesNotWaitForBody(t *testing.T) {
	in := New(Config{Log: slog.New(slog.DiscardHandler), Metrics: metrics.NewSet()})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		in.PrepareRejection(w, r)
		w.WriteHeader(http.StatusNotFound)
		in.Linger(w, r)
	}))
	t.Cleanup(server.Close)
	s := &testServer{Server: server}
	for _, header := range []string{"Content-Length: 10", "Content-Length: 1000000", "Transfer-Encoding: chunked"} {
		_, br := s.send(t, header, "")
		resp, err := http.ReadResponse(br, nil)
		must.NoError(t, err)
		test.EqOp(t, http.StatusNotFound, resp.StatusCode)
		_, err = io.ReadAll(br)
		test.NoError(t, err, test.Sprint("the connection is closed"))
	}
}

func waitFor(condition func() bool) *wait.Constraint {
	return wait.InitialSuccess(wait.BoolFunc(condition), wait.Timeout(10*time.Second), wait.Gap(5*time.Millisecond))
}
