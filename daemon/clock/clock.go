// Package clock provides waits that end with a context.
package clock

import (
	"context"
	"time"
)

// Sleep waits for a duration. It reports false if the context ends first.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// Every calls f at an interval until the context ends, and then returns the error of the context.
func Every(ctx context.Context, interval time.Duration, f func(now time.Time)) error {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-tick.C:
			f(now)
		}
	}
}
