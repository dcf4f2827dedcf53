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

// callTimeout is the time for which the client waits for an answer beyond the wait of a watch.
const callTimeout = 800 * time.Millisecond

// deadStore is a store with one kind. A call that begins or waits while it is dead gets no answer, also when the store is back.
type deadStore struct {
	Store
	mu      sync.Mutex
	dead    bool
	objects []Object
	changed chan struct{}
	calls   int
}

func (s *deadStore) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *deadStore) revision() uint64 { return uint64(len(s.objects)) + 1 }

// hang waits until the client gives the call up.
func hang(ctx context.Context, timeout time.Duration) error {
	select {
	case <-ctx.Done():
	case <-time.After(timeout):
	}
	return errors.Mark(errors.New("no answer"), ErrOutcomeUnknown)
}

func (s *deadStore) List(ctx context.Context, _, _, _ string, _ int) (Page, error) {
	s.mu.Lock()
	s.calls++
	dead, page := s.dead, Page{Revision: s.revision(), Items: append([]Object{}, s.objects...)}
	s.mu.Unlock()
	if dead {
		return Page{}, hang(ctx, callTimeout)
	}
	return page, nil
}

func (s *deadStore) Watch(ctx context.Context, _ string, since uint64, wait time.Duration) (uint64, []Event, error) {
	start := time.Now()
	over := time.After(wait)
	s.mu.Lock()
	s.calls++
	s.mu.Unlock()
	for {
		s.mu.Lock()
		dead, changed, revision := s.dead, s.changed, s.revision()
		var events []Event
		for _, o := range s.objects {
			if o.Version > since {
				events = append(events, Event{Revision: o.Version, Type: EventPut, Object: o})
			}
		}
		s.mu.Unlock()
		if dead {
			return 0, nil, hang(ctx, wait+callTimeout-time.Since(start))
		}
		if len(events) > 0 {
			return revision, events, nil
		}
		select {
		case <-ctx.Done():
			return 0, nil, ctx.Err()
		case <-changed:
		case <-over:
			return revision, nil, nil
		}
	}
}

// hearing is what became of a change that was made when a silent store came back.
type hearing struct {
	after   time.Duration // From the return of the store until the follower heard of the change.
	elapsed time.Duration // From the start of the follower to its end.
	calls   int
}

// hear follows a store that is silent for a time, which begins at a time after the follower's start.
func hear(t *testing.T, pause, begins, lasts time.Duration) hearing {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	start := time.Now()
	s := &deadStore{changed: make(chan struct{})}
	heard := make(chan time.Time, 16)
	done := make(chan struct{})
	go func() {
		defer close(done)
		Follow(ctx, s, "kind", FollowOptions{WatchDelay: pause, Log: slog.New(slog.NewTextHandler(io.Discard, nil))},
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
		s.objects = append(s.objects, Object{Kind: "kind", Name: "successor", Version: 2})
	})
	var h hearing
	select {
	case at := <-heard:
		h.after = at.Sub(back)
	case <-time.After(time.Minute):
		t.Error("the change was not heard of")
	}
	cancel()
	<-done
	h.elapsed, h.calls = time.Since(start), s.calls
	return h
}

// Guards against a follower that does not hear of a change for the whole wait of a watch, because the watch was sent to a store
// that was silent and will never answer it.
func TestFollowerHearsSoonAfterASilentStore(t *testing.T) {
	const (
		// The entry of a server that lapsed is back within this time of the store's return, so it must be heard of as fast.
		soon = 2 * time.Second
		// VMs count as in touch with the store again after this time, also after an outage that no call has noticed.
		inTouch = 4 * time.Second
	)
	for name, c := range map[string]struct{ begins, lasts, bound time.Duration }{
		"outage of several calls":          {1 * time.Second, 40 * time.Second, soon},
		"just after a watch has timed out": {16 * time.Second, 7 * time.Second, soon},
		"over the end of a watch":          {10 * time.Second, 12 * time.Second, soon},
		"within one watch":                 {16100 * time.Millisecond, 1 * time.Second, inTouch},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := hear(t, 0, c.begins, c.lasts)
				test.LessEq(t, c.bound, h.after)
				test.LessEq(t, h.elapsed.Seconds()+1, float64(h.calls), test.Sprint("more than one call a second"))
			})
		})
	}
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
			for b := time.Second; b <= time.Second+2*(MaxWatchWait+pause); b += step {
				synctest.Test(t, func(t *testing.T) {
					if h := hear(t, pause, b, lasts); h.after > worst {
						worst, begins = h.after, b
					}
				})
			}
			test.LessEq(t, inTouch, worst, test.Sprintf("silent from %v after the start", begins))
		})
	}
}
