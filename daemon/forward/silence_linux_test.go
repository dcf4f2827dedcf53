package forward

import (
	"io"
	"net"
	"syscall"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// Guards against a request to an upstream whose VM is gone without a reset that waits until its deadline, and against probes on
// the many idle connections. The options are read back, since a peer that acknowledges nothing needs a partition.
func TestSilentUpstreamIsDetected(t *testing.T) {
	address, _ := startUpstream(t, "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 2\r\n\r\nok", "", 0)
	resp, err := sendRequest(t, address)
	must.NoError(t, err)
	option := func(level, name int) int {
		t.Helper()
		raw, err := resp.conn.Conn.Conn.(*net.TCPConn).SyscallConn()
		must.NoError(t, err)
		value := -1
		must.NoError(t, raw.Control(func(fd uintptr) { value, err = syscall.GetsockoptInt(int(fd), level, name) }))
		must.NoError(t, err)
		return value
	}
	const tcpUserTimeout = 0x12 // TCP_USER_TIMEOUT of <linux/tcp.h>.
	test.EqOp(t, int(2*silenceInterval.Milliseconds()), option(syscall.IPPROTO_TCP, tcpUserTimeout))
	test.EqOp(t, 1, option(syscall.SOL_SOCKET, syscall.SO_KEEPALIVE))
	_, err = io.ReadAll(resp.Body)
	must.NoError(t, err)
	resp.Close(true)
	test.EqOp(t, 0, option(syscall.SOL_SOCKET, syscall.SO_KEEPALIVE))
	reused, err := resp.pool.Get(t.Context(), address)
	must.NoError(t, err)
	test.True(t, reused.Reused)
	test.EqOp(t, 1, option(syscall.SOL_SOCKET, syscall.SO_KEEPALIVE))
	must.NoError(t, reused.Close())
}
