package load

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Options describe a run.
type Options struct {
	BaseURLs    []string
	Key         string
	Model       string
	Stock       string
	Orders      string
	Seed        uint64
	Rate        float64 // Programs a second.
	Duration    time.Duration
	Drain       time.Duration
	Mix         Mix
	Params      ProgramParams
	MaxPrograms int
	Progress    io.Writer
}

// run is one run under way.
type run struct {
	Options
	driver   *driver
	stats    *Stats
	underWay atomic.Int64
	programs sync.WaitGroup

	mu       sync.Mutex
	failures []string
}

// Drive lets programs arrive at the rate, whatever the daemons do, and waits for those under way up to the drain time.
func RunLoad(ctx context.Context, o Options) (Report, *Stats) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// A context with a deadline would make the client send that deadline with each call, and the daemons would refuse
	// calls near the end of the run.
	defer time.AfterFunc(o.Duration+o.Drain, cancel).Stop()
	stats := NewStats()
	r := &run{Options: o, stats: stats, driver: &driver{
		client: NewClient(o.BaseURLs, o.Key),
		model:  o.Model,
		stock:  o.Stock,
		orders: o.Orders,
		stats:  stats,
	}}
	start := time.Now()
	stop := r.showProgress(start)
	r.arrive(ctx, start)
	r.programs.Wait()
	stop()
	report := stats.Report()
	report.Seed, report.Rate, report.Seconds = o.Seed, o.Rate, time.Since(start).Seconds()
	report.Failures = r.failures
	return report, stats
}

// arrive starts programs. Arrival times are drawn in advance of the clock, so that a slow start does not lower the rate.
func (r *run) arrive(ctx context.Context, start time.Time) {
	g := NewGenerator(r.Seed, r.Mix, r.Params)
	due := start.Add(g.NextArrivalDelay(r.Rate))
	for due.Sub(start) < r.Duration {
		if pause(ctx, time.Until(due)) != nil {
			return
		}
		r.start(ctx, g.NextProgram(), due)
		due = due.Add(g.NextArrivalDelay(r.Rate))
	}
}

func (r *run) start(ctx context.Context, plan Plan, arrived time.Time) {
	if r.underWay.Load() >= int64(r.MaxPrograms) {
		r.stats.UpdateCounts(func(c *Counts) { c.NotStarted++ })
		return
	}
	r.underWay.Add(1)
	r.stats.UpdateCounts(func(c *Counts) { c.Started++ })
	r.programs.Go(func() {
		defer r.underWay.Add(-1)
		r.finish(ctx, plan, r.driver.run(ctx, plan, "", arrived))
	})
}

// maxFailures bounds the failed programs that are described; all are counted.
const maxFailures = 20

func (r *run) finish(ctx context.Context, plan Plan, err error) {
	switch {
	case err == nil:
		r.stats.UpdateCounts(func(c *Counts) { c.Finished++ })
		return
	case errors.Is(err, errWrongAnswer):
		r.stats.UpdateCounts(func(c *Counts) { c.Failed++ })
		r.stats.RecordWrongResponse(describe(plan, err))
		return
	case ctx.Err() != nil:
		r.stats.UpdateCounts(func(c *Counts) { c.Unfinished++ })
		return
	}
	r.stats.UpdateCounts(func(c *Counts) { c.Failed++ })
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.failures) < maxFailures {
		r.failures = append(r.failures, describe(plan, err))
	}
}

const progressInterval = time.Second

// showProgress writes a line each second until the returned function is called.
func (r *run) showProgress(start time.Time) (stop func()) {
	if r.Progress == nil {
		return func() {}
	}
	done := make(chan struct{})
	var lines sync.WaitGroup
	lines.Go(func() {
		tick := time.NewTicker(progressInterval)
		defer tick.Stop()
		for {
			select {
			case <-done:
				return
			case <-tick.C:
				// A progress line that cannot be written is not worth ending the run.
				_, _ = fmt.Fprintf(r.Progress, "\r%s", r.stats.Counts().progress(time.Since(start)))
			}
		}
	})
	return func() {
		close(done)
		lines.Wait()
		_, _ = fmt.Fprintln(r.Progress)
	}
}
