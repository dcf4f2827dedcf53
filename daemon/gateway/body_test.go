package gateway

import (
	"bufio"
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

	"jackdawbay.dev/core/memory"
	"jackdawbay.dev/core/route"
	"jackdawbay.dev/daemon/intake"
)

// newBodyGateway returns a gateway that reads bodies with an account of the given size.
func newBodyGateway(accountBytes int64, bodyTimeout, writeTimeout time.Duration) (*Gateway, *memory.Account) {
	account := memory.New(memory.Config{Bytes: accountBytes, StalledAfter: time.Minute, ProgressBytes: 1})
	set, log := metrics.NewSet(), slog.New(slog.DiscardHandler)
	g := &Gateway{cfg: Config{
		Codec: retryAfterCodec{}, Log: log, Metrics: set, WriteTimeout: writeTimeout,
		Intake: intake.New(intake.Config{Account: account, BodyTimeout: bodyTimeout, Log: log, Metrics: set}),
	}}
	g.stats = newStats(set)
	return g, account
}

// retryAfterCodec sends Retry-After in seconds.
type retryAfterCodec struct{ passthroughCodec }

func (retryAfterCodec) EncodeRetryAfter(h http.Header, after time.Duration) {
	h.Set("Retry-After", fmt.Sprint(after.Seconds()))
}

// Guards against a rejection with a status that does not guarantee that the request has not run, without the time of a retry, or on
// a connection that stays open; and against memory that is not returned.
func TestRejectedBodies(t *testing.T) {
	for _, c := range []struct {
		name, body, retryAfter string
		announced              int
		account                int64
		want                   int
	}{
		{name: "over the limit", announced: 1001, account: 1 << 20, want: http.StatusRequestEntityTooLarge},
		{name: "no memory", announced: 1000, account: requestBytes + 500, want: http.StatusServiceUnavailable, retryAfter: "1"},
		{name: "no progress", body: "x", announced: 1000, account: 1 << 20, want: http.StatusRequestTimeout},
		{name: "whole", body: strings.Repeat("x", 1000), announced: 1000, account: 1 << 20, want: http.StatusOK},
	} {
		t.Run(c.name, func(t *testing.T) {
			g, account := newBodyGateway(c.account, 100*time.Millisecond, 0)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				call := g.newCall(w, r, time.Now())
				call.route = &route.Route{}
				defer call.finish()
				if call.readBody(1000) {
					w.WriteHeader(http.StatusOK)
				}
			}))
			t.Cleanup(server.Close)
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			must.NoError(t, err)
			t.Cleanup(func() { _ = conn.Close() }) // The server may have closed it.
			must.NoError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
			_, err = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", c.announced, c.body)
			must.NoError(t, err)
			resp := readResponse(t, conn)
			test.EqOp(t, c.want, resp.StatusCode)
			test.EqOp(t, c.retryAfter, resp.Header.Get("Retry-After"))
			test.EqOp(t, c.want != http.StatusOK, resp.Close)
			deadline := time.Now().Add(10 * time.Second)
			for account.Usage().Bytes != 0 && time.Now().Before(deadline) {
				time.Sleep(time.Millisecond)
			}
			test.EqOp(t, 0, account.Usage().Bytes)
		})
	}
}

// decodingCodec decodes no headers.
type decodingCodec struct{ plainCodec }

func (decodingCodec) DecodeRequest(http.Header) (RequestMeta, error) {
	return RequestMeta{RequestID: "r"}, nil
}

// Guards against requests that take more memory than there is although each of them is small.
func TestRequestWithoutMemory(t *testing.T) {
	g, account := newBodyGateway(requestBytes-1, 0, 0)
	g.cfg.Codec = decodingCodec{}
	w := httptest.NewRecorder()
	g.newCall(w, httptest.NewRequest(http.MethodGet, "/", nil), time.Now()).serve()
	test.EqOp(t, http.StatusServiceUnavailable, w.Code)
	test.StrContains(t, w.Body.String(), `"not_run":"true"`)
	test.EqOp(t, "close", w.Header().Get("Connection"))
	test.EqOp(t, 0, account.Usage().Bytes)
}

// Guards against a history that is copied, in the wrong order, or not counted.
func TestAddHistory(t *testing.T) {
	g, account := newBodyGateway(requestBytes+10, 0, 0)
	c := g.newCall(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/", nil), time.Now())
	c.ctx, c.upstreamBody = t.Context(), [][]byte{[]byte("c")}
	history := [][]byte{[]byte("aaa"), []byte("bb")}
	must.True(t, c.addHistory(history))
	test.Eq(t, [][]byte{[]byte("aaa"), []byte("bb"), []byte("c")}, c.upstreamBody)
	test.EqOp(t, &history[0][0], &c.upstreamBody[0][0])
	test.EqOp(t, requestBytes+5, account.Usage().Bytes)
	test.False(t, c.addHistory([][]byte{[]byte("123456")}))
	c.memory.Close()
	test.EqOp(t, 0, account.Usage().Bytes)
}

// Guards against a request that lasts as long as a caller that does not read its response keeps the connection open, and whose
// context does not end.
func TestCallerThatDoesNotRead(t *testing.T) {
	g, _ := newBodyGateway(1<<20, 0, 300*time.Millisecond)
	ended := make(chan error, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w = g.limitWrites(w, r, nil)
		piece := make([]byte, 1<<20)
		for {
			if _, err := w.Write(piece); err != nil {
				ended <- r.Context().Err()
				return
			}
		}
	}))
	t.Cleanup(server.Close)
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() }) // The server has closed it.
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	must.NoError(t, err)
	select {
	case err := <-ended:
		test.Error(t, err)
	case <-time.After(20 * time.Second):
		t.Fatal("the response has not ended")
	}
	test.EqOp(t, 1, g.stats.slowReaders.Get())
}

// Guards against a write timeout that ends a response while its caller reads slowly, or that applies to the next request of the
// connection.
func TestCallerThatReadsSlowly(t *testing.T) {
	const pieces, writeTimeout = 4, 800 * time.Millisecond
	g, _ := newBodyGateway(1<<20, 0, writeTimeout)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w = g.limitWrites(w, r, nil)
		for range pieces {
			time.Sleep(writeTimeout / 2)
			_, _ = io.WriteString(w, "piece")         // The caller checks the response.
			_ = http.NewResponseController(w).Flush() // See above.
		}
	}))
	t.Cleanup(server.Close)
	for range 2 {
		resp, err := server.Client().Get(server.URL)
		must.NoError(t, err)
		body, err := io.ReadAll(resp.Body)
		must.NoError(t, err)
		must.NoError(t, resp.Body.Close())
		test.EqOp(t, strings.Repeat("piece", pieces), string(body))
	}
	test.EqOp(t, 0, g.stats.slowReaders.Get())
}

func readResponse(t *testing.T, conn net.Conn) *http.Response {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	must.NoError(t, err)
	must.NoError(t, resp.Body.Close())
	return resp
}
