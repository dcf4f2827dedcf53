package intake

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"jackdawbay.dev/core/memory"
)

// attachedServer serves requests on a listener whose connections are limited and counted.
type attachedServer struct {
	address string
	account *memory.Account
}

func startAttachedServer(t *testing.T, accountBytes int64, stalledAfter time.Duration, handler http.HandlerFunc) *attachedServer {
	t.Helper()
	account := memory.New(memory.Config{
		Bytes: accountBytes, ReservedBytes: accountBytes / 4, SmallBytes: smallBytes, StalledAfter: stalledAfter, ProgressBytes: progressBytes,
	})
	l, err := Listen("127.0.0.1:0", CallerBuffers)
	must.NoError(t, err)
	server := &http.Server{Handler: handler}
	attached := NewConnections("test", 0, account, slog.New(slog.DiscardHandler), metrics.NewSet()).Attach(server, l, nil)
	go func() { _ = server.Serve(attached) }() // Ends with the server.
	t.Cleanup(func() { _ = server.Close() })   // The test has ended.
	return &attachedServer{l.Addr().String(), account}
}

func (s *attachedServer) connect(t *testing.T, text string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.address)
	must.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() }) // The server may have closed it.
	must.NoError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	_, err = io.WriteString(c, text)
	must.NoError(t, err)
	return c
}

func (s *attachedServer) waitForBytes(t *testing.T, condition func(n int64) bool) {
	t.Helper()
	must.Wait(t, waitFor(func() bool { return condition(s.account.Usage().Bytes) }), must.Sprint("reserved bytes"))
}

// headOf returns a head with a number of headers. Its end is missing.
func headOf(headers int, value string) string {
	var b strings.Builder
	b.WriteString("GET / HTTP/1.1\r\nHost: h\r\n")
	for i := range headers {
		fmt.Fprintf(&b, "X%d: %s\r\n", i, value)
	}
	return b.String()
}

func isClosed(t *testing.T, c net.Conn) bool {
	t.Helper()
	must.NoError(t, c.SetReadDeadline(time.Now().Add(100*time.Millisecond)))
	_, err := c.Read(make([]byte, 1))
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET)
}

// Guards against memory of a head that is not counted before its end arrives, by its bytes and by its headers, and that is not
// released when the next request may come or the connection ends.
func TestHeadIsCounted(t *testing.T) {
	handling, respond := make(chan struct{}), make(chan struct{})
	s := startAttachedServer(t, 10<<20, time.Minute, func(http.ResponseWriter, *http.Request) {
		handling <- struct{}{}
		<-respond
	})
	for _, c := range []struct {
		name  string
		head  string
		least int64
	}{
		{"ordinary", headOf(15, "value"), 0},
		{"long headers", headOf(10, strings.Repeat("x", 3000)), 50_000},
		{"many headers", headOf(2000, ""), 400_000},
	} {
		t.Run(c.name, func(t *testing.T) {
			conn := s.connect(t, c.head)
			s.waitForBytes(t, func(n int64) bool {
				return n >= connectionBytes+c.least && n <= connectionBytes+2*c.least+headStepBytes
			})
			_, err := io.WriteString(conn, "\r\n")
			must.NoError(t, err)
			<-handling
			test.GreaterEq(t, connectionBytes+c.least, s.account.Usage().Bytes, test.Sprint("the headers are in use"))
			respond <- struct{}{}
			_, err = http.ReadResponse(bufio.NewReader(conn), nil)
			must.NoError(t, err)
			s.waitForBytes(t, func(n int64) bool { return n == connectionBytes })
			must.NoError(t, conn.Close())
			s.waitForBytes(t, func(n int64) bool { return n == 0 })
		})
	}
}

// Guards against heads without an end that take the memory of others: one that does not fit is not read further, and clients that
// have stopped give way.
func TestHeadsWithoutMemory(t *testing.T) {
	const head = 1000 // Headers, about 300 KB.
	for name, stalledAfter := range map[string]time.Duration{"progress": time.Minute, "stopped": 200 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			s := startAttachedServer(t, 500<<10, stalledAfter, func(http.ResponseWriter, *http.Request) {})
			first := s.connect(t, headOf(head, ""))
			s.waitForBytes(t, func(n int64) bool { return n > 250<<10 })
			time.Sleep(300 * time.Millisecond)
			second := s.connect(t, headOf(head, ""))
			s.waitForBytes(t, func(n int64) bool { return n > 250<<10 && n < 350<<10 })
			time.Sleep(maxWait)
			hasStopped := stalledAfter < time.Minute
			test.EqOp(t, hasStopped, isClosed(t, first))
			test.EqOp(t, !hasStopped, isClosed(t, second))
		})
	}
}

// Guards against a response that the system takes from the process, beyond the send buffer, while its client does not read.
func TestSendBufferIsLimited(t *testing.T) {
	written := make(chan int, 1)
	s := startAttachedServer(t, 10<<20, time.Minute, func(w http.ResponseWriter, _ *http.Request) {
		control := http.NewResponseController(w)
		_ = control.SetWriteDeadline(time.Now().Add(500 * time.Millisecond)) // Fails only on a closed connection.
		n, _ := w.Write(make([]byte, 8<<20))                                 // Ends at the deadline.
		written <- n
	})
	conn, err := (&net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error { return setBuffer(raw, syscall.SO_RCVBUF, 4096) }}).Dial("tcp", s.address)
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() }) // The test has ended.
	_, err = io.WriteString(conn, headOf(1, "")+"\r\n")
	must.NoError(t, err)
	test.LessEq(t, 64<<10, <-written)
}

// Guards against bytes that arrive without being read, beyond the receive buffer: while a request is served, net/http does not read
// what follows it.
func TestReceiveBufferIsLimited(t *testing.T) {
	respond := make(chan struct{})
	s := startAttachedServer(t, 10<<20, time.Minute, func(http.ResponseWriter, *http.Request) { <-respond })
	conn := s.connect(t, headOf(1, "")+"\r\n")
	must.NoError(t, conn.(*net.TCPConn).SetWriteBuffer(4096)) // What the client's system buffers is not that of the server.
	must.NoError(t, conn.SetWriteDeadline(time.Now().Add(500*time.Millisecond)))
	n, err := conn.Write(make([]byte, 1<<20))
	test.Error(t, err)
	test.LessEq(t, 64<<10, n)
	close(respond)
}
