//go:build !linux

package transport

import (
	"syscall"
	"time"
)

// setUserTimeout does nothing where the system has no such bound; the caller's time-out ends the wait.
func setUserTimeout(syscall.RawConn, time.Duration) error { return nil }
