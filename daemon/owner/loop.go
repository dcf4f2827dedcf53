// Package owner runs the state machine of a shard owner: one goroutine owns the programs, another one stores the
// journal.
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

// maxQueuedOperations bounds the operations that wait for the loop. Further operations are rejected.
const maxQueuedOperations = 4096

// tickInterval is the interval between checks for idle programs and expired attempts.
const tickInterval = time.Second

// Loop runs a program.Owner. All access goes through Do, which runs functions one at a time.
type Loop struct {
	incarnation string
	owner       *program.Owner
	store       platform.Store
	log         *slog.Logger
	onEnded     func([]program.EndedProgram)

	operations     chan func(time.Time)
	flushRequested chan struct{}
	waiters        []durabilityWaiter
	fenced         chan struct{} // Closed when the journal was sealed by another daemon.
	stopped        chan struct{} // Closed when Run has returned.
	storeFailing   bool
	failingSince   time.Time // First failure since the last success.
}

type durabilityWaiter struct {
	lsn    journal.LSN
	result chan error
}

// NewLoop returns a loop for a new incarnation. onEnded is called with the programs that ended because they were idle.
func NewLoop(cfg program.Config, store platform.Store, log *slog.Logger, onEnded func([]program.EndedProgram)) *Loop {
	return &Loop{
		incarnation:    cfg.Incarnation,
		owner:          program.NewOwner(cfg),
		store:          store,
		log:            log.With("incarnation", cfg.Incarnation),
		onEnded:        onEnded,
		operations:     make(chan func(time.Time), maxQueuedOperations),
		flushRequested: make(chan struct{}, 1),
		fenced:         make(chan struct{}),
		stopped:        make(chan struct{}),
	}
}

// Incarnation returns the id of the incarnation whose journal the loop writes.
func (l *Loop) Incarnation() string { return l.incarnation }

// Fenced returns a channel that is closed when another daemon has sealed the journal.
func (l *Loop) Fenced() <-chan struct{} { return l.fenced }

// Do runs f on the loop and waits for it. It returns BacklogFull if too many operations wait, NotOwner if the loop has
// stopped, and OwnerUnavailable if the context ends first. After an error, f has not run and never will, so f can write
// to variables of its caller.
func (l *Loop) Do(ctx context.Context, f func(now time.Time, o *program.Owner)) error {
	ran := make(chan struct{})
	var claimed atomic.Bool // Set by the loop before it runs f, or by the caller when it abandons f.
	op := func(now time.Time) {
		if !claimed.CompareAndSwap(false, true) {
			return
		}
		f(now, l.owner)
		close(ran)
	}
	select {
	case l.operations <- op:
	case <-l.stopped:
		return errkind.New(errkind.NotOwner, "")
	default:
		return errkind.New(errkind.BacklogFull, "The owner has too many requests.").WithRetryAfter(100 * time.Millisecond)
	}
	var err error
	select {
	case <-ran:
		return nil
	case <-l.stopped:
		err = errkind.New(errkind.NotOwner, "")
	case <-ctx.Done():
		err = errkind.Wrap(errkind.OwnerUnavailable, ctx.Err(), "")
	}
	if !claimed.CompareAndSwap(false, true) {
		// The operation is running or has run. It does no I/O, so it ends soon.
		<-ran
		return nil
	}
	return err
}

// Run executes operations until the context ends.
func (l *Loop) Run(ctx context.Context) {
	defer close(l.stopped)
	go l.runJournalStorage(ctx)
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			l.failWaiters(errkind.New(errkind.NotOwner, ""))
			return
		case op := <-l.operations:
			op(time.Now())
			l.requestFlush()
		case now := <-tick.C:
			if ended := l.owner.Tick(now); len(ended) > 0 {
				l.onEnded(ended)
			}
			l.requestFlush()
		}
	}
}

func (l *Loop) requestFlush() {
	if _, ok := l.owner.Journal().NextFlushTime(); !ok {
		return
	}
	select {
	case l.flushRequested <- struct{}{}:
	default:
	}
}

// AwaitDurable waits until a journal entry is stored. It returns the error of Do if the loop cannot run the check,
// NotOwner if the journal was sealed, and StoreUnavailable if the context ends first. In the last case the entry may
// still become durable.
func (l *Loop) AwaitDurable(ctx context.Context, lsn journal.LSN) error {
	if lsn == 0 {
		return nil
	}
	w := durabilityWaiter{lsn: lsn, result: make(chan error, 1)}
	err := l.Do(ctx, func(_ time.Time, o *program.Owner) {
		switch {
		case o.Journal().IsFenced():
			w.result <- errkind.New(errkind.NotOwner, "")
		case o.Journal().DurableLSN() >= lsn:
			w.result <- nil
		default:
			l.waiters = append(l.waiters, w)
		}
	})
	if err != nil {
		return err
	}
	select {
	case err := <-w.result:
		return err
	case <-ctx.Done():
		return errkind.Wrap(errkind.StoreUnavailable, ctx.Err(), "")
	}
}

func (l *Loop) notifyWaiters(durable journal.LSN) {
	remaining := l.waiters[:0]
	for _, w := range l.waiters {
		if w.lsn <= durable {
			w.result <- nil
			continue
		}
		remaining = append(remaining, w)
	}
	l.waiters = remaining
}

func (l *Loop) failWaiters(err error) {
	for _, w := range l.waiters {
		w.result <- err
	}
	l.waiters = nil
}

// runJournalStorage stores the segments that the journal writer cuts, one at a time.
func (l *Loop) runJournalStorage(ctx context.Context) {
	for ctx.Err() == nil {
		segment, wakeAt, ok := l.nextSegment(ctx)
		if ok {
			l.storeSegment(ctx, segment)
			continue
		}
		l.waitForWork(ctx, wakeAt)
	}
}

func (l *Loop) nextSegment(ctx context.Context) (segment journal.Segment, wakeAt time.Time, ok bool) {
	// A rejected operation is retried after the next wait.
	_ = l.Do(ctx, func(now time.Time, o *program.Owner) {
		if segment, ok = o.Journal().NextSegment(now); ok {
			return
		}
		if flushAt, pending := o.Journal().NextFlushTime(); pending {
			wakeAt = flushAt
		}
	})
	return segment, wakeAt, ok
}

func (l *Loop) waitForWork(ctx context.Context, wakeAt time.Time) {
	if wakeAt.IsZero() {
		select {
		case <-ctx.Done():
		case <-l.flushRequested:
		}
		return
	}
	timer := time.NewTimer(time.Until(wakeAt))
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
	l.reportResult(ctx, func(w *journal.Writer) {
		if err != nil {
			l.recordFailure(err)
			w.CreateFailed()
			return
		}
		l.recordSuccess()
		w.CreateSucceeded(elapsed)
		l.notifyWaiters(w.DurableLSN())
	})
}

// reportRetryInterval is the pause before a result is reported again to a loop whose queue is full.
const reportRetryInterval = 5 * time.Millisecond

// reportResult reports the result of a create request to the journal writer, which cuts no further segment until then.
func (l *Loop) reportResult(ctx context.Context, f func(*journal.Writer)) {
	for ctx.Err() == nil {
		err := l.Do(ctx, func(_ time.Time, o *program.Owner) { f(o.Journal()) })
		if err == nil || errkind.Is(err, errkind.NotOwner) {
			return
		}
		l.waitForWork(ctx, time.Now().Add(reportRetryInterval))
	}
}

// resolveConflict determines whether this writer stored the object in the slot, by a create request whose response was
// lost.
func (l *Loop) resolveConflict(ctx context.Context, c *platform.ConflictError, elapsed time.Duration) {
	if c.Current == nil {
		l.reportResult(ctx, func(w *journal.Writer) { w.CreateFailed() })
		return
	}
	stored, err := DecodeSegment(c.Current.Value)
	if err != nil {
		l.log.Error("cannot decode the object in the journal slot", "error", err)
	}
	l.reportResult(ctx, func(w *journal.Writer) {
		if w.ResolveConflict(stored, elapsed) {
			l.recordSuccess()
			l.notifyWaiters(w.DurableLSN())
			return
		}
		l.log.Warn("journal is sealed by another daemon", "slot", stored.Slot)
		l.failWaiters(errkind.New(errkind.NotOwner, ""))
		l.markFenced()
	})
}

func (l *Loop) markFenced() {
	select {
	case <-l.fenced:
	default:
		close(l.fenced)
	}
}

func (l *Loop) recordFailure(err error) {
	if errors.Is(err, platform.ErrRateLimited) {
		// The platform is available; the writer waits and retries.
		return
	}
	if !l.storeFailing {
		l.log.Warn("cannot store journal", "error", err)
		l.failingSince = time.Now()
	}
	l.storeFailing = true
}

// outageThreshold is how long create requests have to fail before the platform counts as unavailable. A single
// rejection, for example by the platform's write limit, is retried within this time.
const outageThreshold = time.Second

// IsPlatformDown reports whether the journal could not be stored for longer than outageThreshold. It must be called on
// the loop.
func (l *Loop) IsPlatformDown(now time.Time) bool {
	return l.storeFailing && now.Sub(l.failingSince) > outageThreshold
}

func (l *Loop) recordSuccess() {
	if l.storeFailing {
		l.log.Info("journal is stored again")
	}
	l.storeFailing = false
}
