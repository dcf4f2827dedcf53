// Package owner runs the state machine of a shard owner: one goroutine holds the programs, another stores the journal.
package owner

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"jackdawbay.dev/api/errkind"
	"jackdawbay.dev/core/journal"
	"jackdawbay.dev/core/program"
	"jackdawbay.dev/daemon/platform"
)

// queueLength bounds the operations that wait for the loop. A full queue refuses further ones.
const queueLength = 4096

// tickInterval is how often idle programs and lost attempts are looked for.
const tickInterval = time.Second

// Loop owns a program.Owner. All access goes through Do, which runs functions one after another.
type Loop struct {
	incarnation string
	owner       *program.Owner
	store       platform.Store
	log         *slog.Logger
	onEnded     func([]program.EndedProgram)

	ops     chan func(time.Time)
	flush   chan struct{}
	waiters []waiter
	fenced  chan struct{}
	done    chan struct{}
	failing bool
	since   time.Time // Start of the present failures.
}

type waiter struct {
	lsn   journal.LSN
	ready chan error
}

// NewLoop returns a loop for a fresh incarnation. onEnded is called with programs that ended while idle.
func NewLoop(cfg program.Config, store platform.Store, log *slog.Logger, onEnded func([]program.EndedProgram)) *Loop {
	return &Loop{
		incarnation: cfg.Incarnation,
		owner:       program.NewOwner(cfg),
		store:       store,
		log:         log.With("incarnation", cfg.Incarnation),
		onEnded:     onEnded,
		ops:         make(chan func(time.Time), queueLength),
		flush:       make(chan struct{}, 1),
		fenced:      make(chan struct{}),
		done:        make(chan struct{}),
	}
}

// Incarnation returns the id under which the loop journals.
func (l *Loop) Incarnation() string { return l.incarnation }

// Fenced is closed when another daemon has sealed the journal.
func (l *Loop) Fenced() <-chan struct{} { return l.fenced }

// Do runs f on the loop and waits for it. It refuses with BacklogFull when too many operations wait. After an error, f
// has not run and never will, so that it can write to variables of its caller.
func (l *Loop) Do(ctx context.Context, f func(now time.Time, o *program.Owner)) error {
	ran := make(chan struct{})
	var claimed atomic.Bool // By the loop, which runs f, or by the caller, who gives it up.
	op := func(now time.Time) {
		if !claimed.CompareAndSwap(false, true) {
			return
		}
		f(now, l.owner)
		close(ran)
	}
	select {
	case l.ops <- op:
	case <-l.done:
		return errkind.New(errkind.NotOwner, "")
	default:
		return errkind.New(errkind.BacklogFull, "The owner has too many requests.").WithRetryAfter(100 * time.Millisecond)
	}
	var err error
	select {
	case <-ran:
		return nil
	case <-l.done:
		err = errkind.New(errkind.NotOwner, "")
	case <-ctx.Done():
		err = errkind.Wrap(errkind.OwnerUnavailable, ctx.Err(), "")
	}
	if !claimed.CompareAndSwap(false, true) {
		// The operation runs now or has run. It does no I/O, so it ends soon.
		<-ran
		return nil
	}
	return err
}

// Run serves operations until the context ends.
func (l *Loop) Run(ctx context.Context) {
	defer close(l.done)
	go l.storeJournal(ctx)
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			l.failWaiters(errkind.New(errkind.NotOwner, ""))
			return
		case op := <-l.ops:
			op(time.Now())
			l.wakeFlush()
		case now := <-tick.C:
			if ended := l.owner.Tick(now); len(ended) > 0 {
				l.onEnded(ended)
			}
			l.wakeFlush()
		}
	}
}

func (l *Loop) wakeFlush() {
	if _, ok := l.owner.Journal().NextFlushTime(); !ok {
		return
	}
	select {
	case l.flush <- struct{}{}:
	default:
	}
}

// AwaitDurable waits until a journal entry is stored. When the context ends first, the entry may still become durable.
func (l *Loop) AwaitDurable(ctx context.Context, lsn journal.LSN) error {
	if lsn == 0 {
		return nil
	}
	w := waiter{lsn: lsn, ready: make(chan error, 1)}
	err := l.Do(ctx, func(_ time.Time, o *program.Owner) {
		switch {
		case o.Journal().IsFenced():
			w.ready <- errkind.New(errkind.NotOwner, "")
		case o.Journal().DurableLSN() >= lsn:
			w.ready <- nil
		default:
			l.waiters = append(l.waiters, w)
		}
	})
	if err != nil {
		return err
	}
	select {
	case err := <-w.ready:
		return err
	case <-ctx.Done():
		return errkind.Wrap(errkind.StoreUnavailable, ctx.Err(), "")
	}
}

func (l *Loop) notifyWaiters(durable journal.LSN) {
	kept := l.waiters[:0]
	for _, w := range l.waiters {
		if w.lsn <= durable {
			w.ready <- nil
			continue
		}
		kept = append(kept, w)
	}
	l.waiters = kept
}

func (l *Loop) failWaiters(err error) {
	for _, w := range l.waiters {
		w.ready <- err
	}
	l.waiters = nil
}

// storeJournal creates the segments that the writer cuts, one at a time.
func (l *Loop) storeJournal(ctx context.Context) {
	for ctx.Err() == nil {
		segment, wake, ok := l.nextSegment(ctx)
		if ok {
			l.storeSegment(ctx, segment)
			continue
		}
		l.sleep(ctx, wake)
	}
}

func (l *Loop) nextSegment(ctx context.Context) (segment journal.Segment, wake time.Time, ok bool) {
	// A refused operation is repeated after the sleep.
	_ = l.Do(ctx, func(now time.Time, o *program.Owner) {
		if segment, ok = o.Journal().NextSegment(now); ok {
			return
		}
		if at, waiting := o.Journal().NextFlushTime(); waiting {
			wake = at
		}
	})
	return segment, wake, ok
}

func (l *Loop) sleep(ctx context.Context, wake time.Time) {
	if wake.IsZero() {
		select {
		case <-ctx.Done():
		case <-l.flush:
		}
		return
	}
	timer := time.NewTimer(time.Until(wake))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func (l *Loop) storeSegment(ctx context.Context, s journal.Segment) {
	start := time.Now()
	name := journal.SegmentName(s.Incarnation, s.Slot)
	_, err := l.store.Put(ctx, platform.KindJournal, name, 0, s)
	elapsed := time.Since(start)
	if conflict, ok := platform.AsConflict(err); ok {
		l.resolveConflict(ctx, conflict, elapsed)
		return
	}
	err = errors.Wrap(err, "store journal segment")
	l.report(ctx, func(w *journal.Writer) {
		if err != nil {
			l.noteFailure(err)
			w.CreateFailed()
			return
		}
		l.noteSuccess()
		w.CreateSucceeded(elapsed)
		l.notifyWaiters(w.DurableLSN())
	})
}

// reportRetryInterval is the pause before a result is reported again to a loop whose queue is full.
const reportRetryInterval = 5 * time.Millisecond

// report tells the writer the result of a create. The writer cuts no further segment before it has the result.
func (l *Loop) report(ctx context.Context, f func(*journal.Writer)) {
	for ctx.Err() == nil {
		err := l.Do(ctx, func(_ time.Time, o *program.Owner) { f(o.Journal()) })
		if err == nil || errkind.Is(err, errkind.NotOwner) {
			return
		}
		l.sleep(ctx, time.Now().Add(reportRetryInterval))
	}
}

// resolveConflict decides whether the object in the slot is the writer's own, stored by a create whose answer was lost.
func (l *Loop) resolveConflict(ctx context.Context, c *platform.ConflictError, elapsed time.Duration) {
	if c.Current == nil {
		l.report(ctx, func(w *journal.Writer) { w.CreateFailed() })
		return
	}
	stored, err := DecodeSegment(c.Current.Value)
	if err != nil {
		l.log.Error("object in the journal slot cannot be read", "error", err)
	}
	l.report(ctx, func(w *journal.Writer) {
		if w.ResolveConflict(stored, elapsed) {
			l.noteSuccess()
			l.notifyWaiters(w.DurableLSN())
			return
		}
		l.log.Warn("journal is sealed by another daemon", "slot", stored.Slot)
		l.failWaiters(errkind.New(errkind.NotOwner, ""))
		l.closeFenced()
	})
}

func (l *Loop) closeFenced() {
	select {
	case <-l.fenced:
	default:
		close(l.fenced)
	}
}

func (l *Loop) noteFailure(err error) {
	if errors.Is(err, platform.ErrRateLimited) {
		// The platform works; the writer waits and repeats.
		return
	}
	if !l.failing {
		l.log.Warn("journal cannot be stored", "error", err)
		l.since = time.Now()
	}
	l.failing = true
}

// outageAfter is how long creates have to fail before the platform counts as down. A single refusal, for example because
// the platform limits its writes, is repeated within this time.
const outageAfter = time.Second

// IsPlatformDown reports whether the journal could not be stored for a while. It is called on the loop.
func (l *Loop) IsPlatformDown(now time.Time) bool { return l.failing && now.Sub(l.since) > outageAfter }

func (l *Loop) noteSuccess() {
	if l.failing {
		l.log.Info("journal is stored again")
	}
	l.failing = false
}
