package platform

import (
	"context"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"

	"jackdawbay.dev/daemon/clock"
)

// Handler receives every object of a kind, by name, after the first list and after each change.
type Handler func(objects map[string]Object)

// FollowOptions describe how a kind is followed.
type FollowOptions struct {
	WatchDelay time.Duration // Time between two watches, in which changes gather; each call is priced.
	Log        *slog.Logger
	OnResponse func(at time.Time) // Called after each answer of the store; may be nil.
	OnError    func(at time.Time) // Called after each call that failed; may be nil.
}

// MaxWatchWait is the longest time of one watch. A watch that waits when the store falls silent may never be answered, also when
// the store is back, so this bounds how long a follower hears of nothing. Together with the time-out of a call and the pauses
// of Follow it stays below 4 s, the time within which a VM must act on the present state after an outage.
const MaxWatchWait = 2500 * time.Millisecond

// Times after a failed call.
const (
	followPauseMin = 50 * time.Millisecond
	followPauseMax = 500 * time.Millisecond
	// checkWait is the wait of a watch until the store has answered again, so that its return is noticed soon.
	checkWait = 100 * time.Millisecond
)

// Follow keeps a copy of all objects of a kind until the context ends. A gap in the history or an answer that cannot be
// used makes it list again.
func Follow(ctx context.Context, s Store, kind string, o FollowOptions, h Handler) {
	f := &follower{store: s, kind: kind, options: o, handler: h, pause: followPauseMin}
	for ctx.Err() == nil {
		if err := f.step(ctx); err != nil && ctx.Err() == nil {
			f.failed(ctx, err)
		}
	}
}

type follower struct {
	store    Store
	kind     string
	options  FollowOptions
	handler  Handler
	objects  map[string]Object
	revision uint64 // Zero asks for a list.
	pause    time.Duration
	lost     bool
	answered time.Time // When the store last answered; zero before the first answer.
}

func (f *follower) step(ctx context.Context) error {
	if f.revision == 0 {
		return f.list(ctx)
	}
	wait := MaxWatchWait
	if f.lost {
		wait = checkWait
	} else if f.options.WatchDelay > 0 && !clock.Sleep(ctx, f.options.WatchDelay) {
		return ctx.Err()
	}
	revision, events, err := f.store.Watch(ctx, f.kind, f.revision, wait)
	if errors.Is(err, ErrHistoryGap) {
		f.options.Log.Info("history of the store is gone, listing again", "kind", f.kind, "revision", f.revision)
		f.revision = 0
		return nil
	}
	if err != nil {
		return err
	}
	f.read(revision)
	changed := false
	for _, e := range events {
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

func (f *follower) list(ctx context.Context) error {
	revision, items, err := ListAll(ctx, f.store, f.kind, "")
	if err != nil {
		return err
	}
	f.objects = make(map[string]Object, len(items))
	for _, o := range items {
		f.objects[o.Name] = o
	}
	f.read(revision)
	f.handler(f.objects)
	return nil
}

func (f *follower) read(revision uint64) {
	now := time.Now()
	if f.lost {
		f.options.Log.Info("store answers again", "kind", f.kind, "revision", revision, "after", f.age(now))
	}
	f.lost, f.pause, f.answered = false, followPauseMin, now
	if revision > f.revision {
		f.revision = revision
	}
	if f.options.OnResponse != nil {
		f.options.OnResponse(now)
	}
}

// age is the time since the store last answered, or zero before its first answer.
func (f *follower) age(now time.Time) time.Duration {
	if f.answered.IsZero() {
		return 0
	}
	return now.Sub(f.answered)
}

func (f *follower) failed(ctx context.Context, err error) {
	now := time.Now()
	if !f.lost {
		f.lost = true
		f.options.Log.Warn("store does not answer", "kind", f.kind, "revision", f.revision, "last_answer", f.age(now), "error", err)
	}
	if f.options.OnError != nil {
		f.options.OnError(now)
	}
	clock.Sleep(ctx, f.pause)
	f.pause = min(f.pause*2, followPauseMax)
}

// Types of events.
const (
	EventPut    = "put"
	EventDelete = "delete"
)
