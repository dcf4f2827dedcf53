//go:build !linux

package transport

import (
	"syscall"
	"time"
)

// setUserTimeout does nothing on systems without TCP_USER_TIMEOUT. The caller's timeout ends the wait.
func setUserTimeout(syscall.RawConn, time.Duration) error { return nil }
