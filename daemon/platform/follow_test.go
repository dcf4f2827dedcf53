package platform

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test"
)

// callTimeout is the client's timeout of a call, in addition to the wait of a watch.
const callTimeout = 800 * time.Millisecond

// unresponsiveStore is a store with a single kind. A call that begins or waits while the store is unresponsive gets no
// response, even after the store has recovered.
type unresponsiveStore struct {
	Store
	mu           sync.Mutex
	unresponsive bool
	objects      []Object
	changed      chan struct{}
	calls        int
}

// update changes the store and wakes the watches in flight.
func (s *unresponsiveStore) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *unresponsiveStore) revision() uint64 { return uint64(len(s.objects)) + 1 }

// waitForTimeout blocks until the client abandons the call, and returns its error.
func waitForTimeout(ctx context.Context, timeout time.Duration) error {
	select {
	case <-ctx.Done():
	case <-time.After(timeout):
	}
	return errors.Mark(errors.New("no response"), ErrOutcomeUnknown)
}

func (s *unresponsiveStore) List(ctx context.Context, _, _, _ string, _ int) (Page, error) {
	s.mu.Lock()
	s.calls++
	unresponsive, page := s.unresponsive, Page{Revision: s.revision(), Items: append([]Object{}, s.objects...)}
	s.mu.Unlock()
	if unresponsive {
		return Page{}, waitForTimeout(ctx, callTimeout)
	}
	return page, nil
}

func (s *unresponsiveStore) Watch(ctx context.Context, _ string, since uint64, wait time.Duration) (uint64, []Event, error) {
	start := time.Now()
	expired := time.After(wait)
	s.mu.Lock()
	s.calls++
	s.mu.Unlock()
	for {
		s.mu.Lock()
		unresponsive, changed, revision := s.unresponsive, s.changed, s.revision()
		var events []Event
		for _, o := range s.objects {
			if o.Version > since {
				events = append(events, Event{Revision: o.Version, Type: EventPut, Object: o})
			}
		}
		s.mu.Unlock()
		if unresponsive {
			return 0, nil, waitForTimeout(ctx, wait+callTimeout-time.Since(start))
		}
		if len(events) > 0 {
			return revision, events, nil
		}
		select {
		case <-ctx.Done():
			return 0, nil, ctx.Err()
		case <-changed:
		case <-expired:
			return revision, nil, nil
		}
	}
}

// delivery describes how a follower received a change that was made when the store recovered.
type delivery struct {
	delay   time.Duration // From the recovery of the store until the follower received the change.
	elapsed time.Duration // From the start of the follower until its end.
	calls   int
}

// measureDelivery runs a follower on a store that is unresponsive for a time. The outage begins at a given time after the
// start of the follower, and a change is made when the store recovers.
func measureDelivery(t *testing.T, watchDelay, outageStart, outageDuration time.Duration) delivery {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	start := time.Now()
	s := &unresponsiveStore{changed: make(chan struct{})}
	delivered := make(chan time.Time, 16)
	done := make(chan struct{})
	go func() {
		defer close(done)
		Follow(ctx, s, "kind", FollowOptions{WatchDelay: watchDelay, Log: slog.New(slog.NewTextHandler(io.Discard, nil))},
			func(objects map[string]Object) {
				if len(objects) > 0 {
					delivered <- time.Now()
				}
			})
	}()
	time.Sleep(outageStart)
	s.update(func() { s.unresponsive = true })
	time.Sleep(outageDuration)
	recovered := time.Now()
	s.update(func() {
		s.unresponsive = false
		s.objects = append(s.objects, Object{Kind: "kind", Name: "successor", Version: 2})
	})
	var result delivery
	select {
	case at := <-delivered:
		result.delay = at.Sub(recovered)
	case <-time.After(time.Minute):
		t.Error("the follower did not receive the change")
	}
	cancel()
	<-done
	result.elapsed, result.calls = time.Since(start), s.calls
	return result
}

// Guards against a follower that does not receive a change for the whole wait of a watch, because it sent the watch while the
// store was unresponsive and never gets a response to it.
func TestFollowerReceivesChangesSoonAfterOutage(t *testing.T) {
	const (
		// A server whose entry expired registers again within this time after the store has recovered, so the follower must
		// receive the entry in the same time.
		maxDelay = 2 * time.Second
		// VMs count as connected to the store again after this time, also after an outage that no call has detected.
		contactTime = 4 * time.Second
	)
	for name, c := range map[string]struct{ outageStart, outageDuration, bound time.Duration }{
		"outage of several calls":          {1 * time.Second, 40 * time.Second, maxDelay},
		"just after a watch has timed out": {16 * time.Second, 7 * time.Second, maxDelay},
		"across the end of a watch":        {10 * time.Second, 12 * time.Second, maxDelay},
		"within one watch":                 {16100 * time.Millisecond, 1 * time.Second, contactTime},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				result := measureDelivery(t, 0, c.outageStart, c.outageDuration)
				test.LessEq(t, c.bound, result.delay)
				test.LessEq(t, result.elapsed.Seconds()+1, float64(result.calls), test.Sprint("at most one call per second"))
			})
		})
	}
}

// Guards against a follower whose data is from before an outage when its VM already counts as connected to the store again.
// A watch that gets no response because of a short outage must be abandoned within that time, whenever it was sent.
func TestFollowerReceivesChangesWithinContactTimeAfterAnyOutage(t *testing.T) {
	const (
		contactTime   = 4 * time.Second        // Time after which VMs count as connected to the store again.
		maxWatchDelay = 300 * time.Millisecond // The longest delay between watches in use.
		startStep     = 50 * time.Millisecond
	)
	for _, outageDuration := range []time.Duration{
		10 * time.Millisecond, 100 * time.Millisecond, 300 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second, 9 * time.Second,
	} {
		t.Run(outageDuration.String(), func(t *testing.T) {
			var maxDelay, worstStart time.Duration
			for outageStart := time.Second; outageStart <= time.Second+2*(MaxWatchWait+maxWatchDelay); outageStart += startStep {
				synctest.Test(t, func(t *testing.T) {
					if result := measureDelivery(t, maxWatchDelay, outageStart, outageDuration); result.delay > maxDelay {
						maxDelay, worstStart = result.delay, outageStart
					}
				})
			}
			test.LessEq(t, contactTime, maxDelay, test.Sprintf("outage begins %v after the start", worstStart))
		})
	}
}
