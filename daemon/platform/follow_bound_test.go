package platform

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
)

// heardAfter returns how long after the return of a store a follower hears of a change made at that moment. The silence begins
// at a time after the follower's start.
func heardAfter(t *testing.T, pause, begins, lasts time.Duration) time.Duration {
	ctx, cancel := context.WithCancel(t.Context())
	s := &deadStore{changed: make(chan struct{})}
	heard := make(chan time.Time, 16)
	done := make(chan struct{})
	go func() {
		defer close(done)
		Follow(ctx, s, "kind", FollowOptions{Pause: pause, Log: slog.New(slog.NewTextHandler(io.Discard, nil))},
			func(objects map[string]Object) {
				if len(objects) > 0 {
					heard <- time.Now()
				}
			})
	}()
	time.Sleep(begins)
	s.set(func() { s.dead = true })
	time.Sleep(lasts)
	back := time.Now()
	s.set(func() {
		s.dead = false
		s.objects = append(s.objects, Object{Kind: "kind", Name: "added", Version: 2})
	})
	at := <-heard
	cancel()
	<-done
	return at.Sub(back)
}

// Guards against a follower that still believes what was true before an outage when its VM counts as in touch with the store
// again: a watch that was swallowed by a short silence must be given up within that time, whenever it was sent.
func TestFollowerHearsWithinContactTimeOfAnyOutage(t *testing.T) {
	const (
		inTouch = 4 * time.Second        // Time after which VMs count as in touch with the store again.
		pause   = 300 * time.Millisecond // The longest pause between watches in use.
		step    = 50 * time.Millisecond
	)
	for _, lasts := range []time.Duration{
		10 * time.Millisecond, 100 * time.Millisecond, 300 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second, 9 * time.Second,
	} {
		t.Run(lasts.String(), func(t *testing.T) {
			var worst, begins time.Duration
			for b := time.Second; b <= time.Second+2*(WatchWait+pause); b += step {
				synctest.Test(t, func(t *testing.T) {
					if after := heardAfter(t, pause, b, lasts); after > worst {
						worst, begins = after, b
					}
				})
			}
			test.LessEq(t, inTouch, worst, test.Sprintf("silent from %v after the start", begins))
		})
	}
}
