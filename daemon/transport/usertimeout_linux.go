package transport

import (
	"syscall"
	"time"
)

// tcpUserTimeout is TCP_USER_TIMEOUT of <linux/tcp.h>, which package syscall does not define.
const tcpUserTimeout = 0x12

// setUserTimeout sets the time after which a connection with unacknowledged data fails.
func setUserTimeout(c syscall.RawConn, d time.Duration) error {
	var sockoptErr error
	if err := c.Control(func(fd uintptr) {
		sockoptErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(d.Milliseconds()))
	}); err != nil {
		return err
	}
	return sockoptErr
}
