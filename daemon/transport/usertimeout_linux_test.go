package transport

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"jackdawbay.dev/api/httpcheck"
)

// Guards against a request on a failed connection that fails only after the timeout of the request, which is seconds for
// a watch. Keep-alive probes do not detect the failure, since none are sent while data is unacknowledged.
func TestUnacknowledgedDataIsBoundedWithKeepAlive(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer server.Close()
	for keepAlive, want := range map[time.Duration]int{time.Second: 2000, 0: 0} {
		var conn net.Conn
		ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { conn = i.Conn }})
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, server.URL, nil)
		must.NoError(t, err)
		resp, err := NewClient(Options{DialTimeout: time.Second, KeepAlive: keepAlive}).Do(req)
		must.NoError(t, err)
		raw, err := conn.(*httpcheck.Conn).Conn.(*net.TCPConn).SyscallConn()
		must.NoError(t, err)
		must.NoError(t, raw.Control(func(fd uintptr) {
			got, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout)
			test.NoError(t, err)
			test.EqOp(t, want, got, test.Sprintf("milliseconds with keep-alive %v", keepAlive))
		}))
		must.NoError(t, resp.Body.Close())
	}
}
