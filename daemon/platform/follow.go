package platform

import (
	"context"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"

	"jackdawbay.dev/daemon/clock"
)

// Handler is called with all objects of a kind, by name, after each list and after each watch that returns changes. The
// map is updated in place between calls.
type Handler func(objects map[string]Object)

// FollowOptions configures Follow.
type FollowOptions struct {
	WatchDelay time.Duration // Delay before each watch, so that one priced call returns several changes.
	WatchWait  time.Duration // Max duration of one watch; zero selects MaxWatchWait.
	Log        *slog.Logger
	OnResponse func(at time.Time) // Called after each successful list or watch; may be nil.
	OnError    func(at time.Time) // Called after each failed call; may be nil.

	// OnRevision is called before the handler with the store revision of the objects that it gets next; may be nil.
	OnRevision func(revision uint64)
}

// Follower maintains a copy of all objects of a kind and passes it to a handler until the context ends.
type Follower interface {
	Follow(ctx context.Context, kind string, o FollowOptions, h Handler)
}

// StoreFollower follows the store itself.
type StoreFollower struct{ Store Store }

// Follow implements Follower.
func (f StoreFollower) Follow(ctx context.Context, kind string, o FollowOptions, h Handler) {
	Follow(ctx, f.Store, kind, o, h)
}

// MaxWatchWait is the maximum duration of one watch. A watch in flight when the store becomes unresponsive may never get a
// response, even after the store has recovered. This bounds the time for which a follower then receives no changes. The sum
// of this value, the timeout of a call and the delays of Follow is below 4 s, the time within which a VM must act on the
// current state after an outage.
const MaxWatchWait = 2500 * time.Millisecond

// Delays and waits after a failed call.
const (
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
	// outageWatchWait is the wait of a watch while the store is unresponsive, so that its recovery is detected soon.
	outageWatchWait = 100 * time.Millisecond
)

// Follow maintains a copy of all objects of a kind and passes it to the handler. It lists the objects and then watches the
// changes. If the store no longer has the events since the last revision, it lists the objects again. Failed calls are
// retried with a backoff. Follow returns when the context ends.
func Follow(ctx context.Context, s Store, kind string, o FollowOptions, h Handler) {
	f := &follower{store: s, kind: kind, options: o, handler: h, retryDelay: minRetryDelay}
	for ctx.Err() == nil {
		if err := f.poll(ctx); err != nil && ctx.Err() == nil {
			f.recordFailure(ctx, err)
		}
	}
}

// follower is the state of one call of Follow.
type follower struct {
	store             Store
	kind              string
	options           FollowOptions
	handler           Handler
	objects           map[string]Object
	revision          uint64 // Revision of the last list or watch; zero if the objects have to be listed.
	retryDelay        time.Duration
	storeUnresponsive bool      // The last call failed.
	lastResponse      time.Time // Time of the last successful call; zero before the first one.
}

// poll makes one list or watch and applies its result.
func (f *follower) poll(ctx context.Context) error {
	if f.revision == 0 {
		return f.list(ctx)
	}
	wait := MaxWatchWait
	if f.options.WatchWait > 0 {
		wait = f.options.WatchWait
	}
	if f.storeUnresponsive {
		wait = outageWatchWait
	} else if f.options.WatchDelay > 0 && !clock.Sleep(ctx, f.options.WatchDelay) {
		return ctx.Err()
	}
	revision, events, err := f.store.Watch(ctx, f.kind, f.revision, wait)
	if errors.Is(err, ErrHistoryGap) {
		f.options.Log.Info("store no longer has the events since the last revision; listing again", "kind", f.kind, "revision", f.revision)
		f.revision = 0
		return nil
	}
	if err != nil {
		return err
	}
	f.recordResponse(revision)
	changed := false
	for _, e := range events {
		if e.Object.Name == "" {
			f.logUnnamed(e.Object)
			continue
		}
		if old, ok := f.objects[e.Object.Name]; ok && e.Object.Version < old.Version {
			continue
		}
		changed = true
		if e.Type == EventDelete {
			delete(f.objects, e.Object.Name)
			continue
		}
		f.objects[e.Object.Name] = e.Object
	}
	if changed {
		f.handler(f.objects)
	}
	return nil
}

// list replaces the copy by a list of all objects.
func (f *follower) list(ctx context.Context) error {
	revision, items, err := ListAll(ctx, f.store, f.kind, "")
	if err != nil {
		return err
	}
	f.objects = make(map[string]Object, len(items))
	for _, o := range items {
		if o.Name == "" {
			f.logUnnamed(o)
			continue
		}
		f.objects[o.Name] = o
	}
	f.recordResponse(revision)
	f.handler(f.objects)
	return nil
}

// logUnnamed logs an object that another writer has left without a readable name. It cannot be used or removed.
func (f *follower) logUnnamed(o Object) {
	f.options.Log.Warn("object without a readable name; skipped", "kind", f.kind, "revision", o.Version)
}

// recordResponse records a successful call.
func (f *follower) recordResponse(revision uint64) {
	now := time.Now()
	if f.storeUnresponsive {
		f.options.Log.Info("store answers again", "kind", f.kind, "revision", revision, "after", f.sinceLastResponse(now))
	}
	f.storeUnresponsive, f.retryDelay, f.lastResponse = false, minRetryDelay, now
	if revision > f.revision {
		f.revision = revision
	}
	if f.options.OnRevision != nil {
		f.options.OnRevision(f.revision)
	}
	if f.options.OnResponse != nil {
		f.options.OnResponse(now)
	}
}

// sinceLastResponse returns the time since the last successful call, or zero before the first one.
func (f *follower) sinceLastResponse(now time.Time) time.Duration {
	if f.lastResponse.IsZero() {
		return 0
	}
	return now.Sub(f.lastResponse)
}

// recordFailure records a failed call and waits before the next one.
func (f *follower) recordFailure(ctx context.Context, err error) {
	now := time.Now()
	if !f.storeUnresponsive {
		f.storeUnresponsive = true
		f.options.Log.Warn("store does not answer", "kind", f.kind, "revision", f.revision, "last_answer", f.sinceLastResponse(now), "error", err)
	}
	if f.options.OnError != nil {
		f.options.OnError(now)
	}
	clock.Sleep(ctx, f.retryDelay)
	f.retryDelay = min(f.retryDelay*2, maxRetryDelay)
}

// Event types.
const (
	EventPut    = "put"
	EventDelete = "delete"
)
