package transport

import (
	"syscall"
	"time"
)

// tcpUserTimeout is TCP_USER_TIMEOUT of <linux/tcp.h>, which package syscall lacks.
const tcpUserTimeout = 0x12

// setUserTimeout bounds how long sent data may stay unacknowledged before the connection counts as lost.
func setUserTimeout(c syscall.RawConn, d time.Duration) error {
	var failed error
	if err := c.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(d.Milliseconds()))
	}); err != nil {
		return err
	}
	return failed
}
