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

// Options configures a run.
type Options struct {
	BaseURLs    []string
	Key         string
	Model       string
	Stock       string
	Orders      string
	Seed        uint64
	Rate        float64 // Arriving programs per second.
	Duration    time.Duration
	Drain       time.Duration
	Mix         Mix
	Params      ProgramParams
	MaxPrograms int
	Progress    io.Writer
}

// loadRun is the state of a run.
type loadRun struct {
	Options
	driver   *driver
	stats    *Stats
	running  atomic.Int64
	programs sync.WaitGroup

	mu       sync.Mutex
	failures []string
}

// RunLoad starts programs at the given rate regardless of how fast the daemons respond (open loop). After the last
// arrival, it waits for running programs up to the drain time.
func RunLoad(ctx context.Context, o Options) (Report, *Stats) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// A context with a deadline would make the client send that deadline with each call. The daemons would then reject
	// calls near the end of the run.
	defer time.AfterFunc(o.Duration+o.Drain, cancel).Stop()
	stats := NewStats()
	r := &loadRun{Options: o, stats: stats, driver: &driver{
		client:        NewClient(o.BaseURLs, o.Key),
		model:         o.Model,
		stockUpstream: o.Stock,
		orderUpstream: o.Orders,
		stats:         stats,
	}}
	start := time.Now()
	stop := r.startProgressOutput(start)
	r.startPrograms(ctx, start)
	r.programs.Wait()
	stop()
	report := stats.Report()
	report.Seed, report.Rate, report.Seconds = o.Seed, o.Rate, time.Since(start).Seconds()
	report.Failures = r.failures
	return report, stats
}

// startPrograms starts programs at random arrival times. The times do not depend on when earlier programs were started,
// so that a delayed start does not lower the rate.
func (r *loadRun) startPrograms(ctx context.Context, start time.Time) {
	g := NewGenerator(r.Seed, r.Mix, r.Params)
	arrivalTime := start.Add(g.NextArrivalDelay(r.Rate))
	for arrivalTime.Sub(start) < r.Duration {
		if sleep(ctx, time.Until(arrivalTime)) != nil {
			return
		}
		r.startProgram(ctx, g.NextProgram(), arrivalTime)
		arrivalTime = arrivalTime.Add(g.NextArrivalDelay(r.Rate))
	}
}

func (r *loadRun) startProgram(ctx context.Context, plan Plan, arrivalTime time.Time) {
	if r.running.Load() >= int64(r.MaxPrograms) {
		r.stats.UpdateCounts(func(c *Counts) { c.NotStarted++ })
		return
	}
	r.running.Add(1)
	r.stats.UpdateCounts(func(c *Counts) { c.Started++ })
	r.programs.Go(func() {
		defer r.running.Add(-1)
		r.recordOutcome(ctx, plan, r.driver.runProgram(ctx, plan, "", arrivalTime))
	})
}

// maxDescribedFailures bounds the number of failed programs that the report describes. All are counted.
const maxDescribedFailures = 20

func (r *loadRun) recordOutcome(ctx context.Context, plan Plan, err error) {
	switch {
	case err == nil:
		r.stats.UpdateCounts(func(c *Counts) { c.Finished++ })
		return
	case errors.Is(err, errWrongResponse):
		r.stats.UpdateCounts(func(c *Counts) { c.Failed++ })
		r.stats.RecordWrongResponse(describeFailure(plan, err))
		return
	case ctx.Err() != nil:
		r.stats.UpdateCounts(func(c *Counts) { c.Unfinished++ })
		return
	}
	r.stats.UpdateCounts(func(c *Counts) { c.Failed++ })
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.failures) < maxDescribedFailures {
		r.failures = append(r.failures, describeFailure(plan, err))
	}
}

const progressInterval = time.Second

// startProgressOutput writes a progress line each second until stop is called.
func (r *loadRun) startProgressOutput(start time.Time) (stop func()) {
	if r.Progress == nil {
		return func() {}
	}
	done := make(chan struct{})
	var writer sync.WaitGroup
	writer.Go(func() {
		tick := time.NewTicker(progressInterval)
		defer tick.Stop()
		for {
			select {
			case <-done:
				return
			case <-tick.C:
				// Write errors are ignored, because a missing progress line does not affect the run.
				_, _ = fmt.Fprintf(r.Progress, "\r%s", r.stats.Counts().progress(time.Since(start)))
			}
		}
	})
	return func() {
		close(done)
		writer.Wait()
		_, _ = fmt.Fprintln(r.Progress)
	}
}
