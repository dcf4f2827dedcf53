package capacity

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"jackdawbay.dev/api/client"
	"jackdawbay.dev/daemon/clock"
	"jackdawbay.dev/testbed/fleet"
)

// replayRate keeps the journal of one daemon at the write rate that its own settings allow, 50 a second.
const replayRate = 200.0

// replay measures takeovers by length of the journal that the successors read.
func (r *runner) replay(ctx context.Context) error {
	b, err := startBed(ctx, r.binaries, layout{dataCentres: 1, daemons: 8, engines: 1})
	if err != nil {
		return err
	}
	defer b.close()
	clock.Sleep(ctx, settle)
	t := r.table("replay", "8 daemons; takeover after SIGKILL of a member that journaled 200 turns a second for a time",
		"seconds", "turns", "segments", "takeover ms", "platform reads")
	var segments, times []float64
	for _, d := range []time.Duration{time.Second, 5 * time.Second, 15 * time.Second} {
		victim, err := b.remove(ctx, false)
		if err != nil {
			return err
		}
		p, err := b.replayOne(ctx, victim, d)
		if err != nil {
			return errors.Wrapf(err, "takeover after %s", d)
		}
		segments, times = append(segments, p.segments), append(times, p.takeover)
		t.add(d.Seconds(), p.turns, p.segments, p.takeover, p.reads)
	}
	line := Fit(segments, times)
	t.note("slope: %.3f ms of takeover for each segment of the journal, on a base of %.0f ms", line.Slope, line.Intercept)
	return nil
}

// replayPoint is one takeover.
type replayPoint struct {
	turns    int
	segments float64
	takeover float64 // Milliseconds until the last program had its next call.
	reads    float64
}

func (b *bed) replayOne(ctx context.Context, victim *fleet.Daemon, d time.Duration) (replayPoint, error) {
	ctx, cancel := context.WithTimeout(ctx, d+changeTimeout)
	defer cancel()
	c := b.caller(victim)
	programs, err := createPrograms(ctx, c, 4*ownedPrograms, false)
	if err != nil {
		return replayPoint{}, err
	}
	before, err := platformStats(ctx, b.Fleet)
	if err != nil {
		return replayPoint{}, err
	}
	lend := newPool(programs)
	result := paced(ctx, replayRate, d, func(i int) (int64, error) {
		return 0, lend.with(func(p *client.Program) error { return stockCheck(ctx, p, fmt.Sprintf("turn-%d", i)) })
	})
	for _, p := range programs {
		if _, err := awaitDurable(ctx, p); err != nil {
			return replayPoint{}, err
		}
	}
	c.BaseURLs = nil
	for _, other := range b.Daemons {
		c.BaseURLs = append(c.BaseURLs, other.CallerURL)
	}
	middle, err := platformStats(ctx, b.Fleet)
	if err != nil {
		return replayPoint{}, err
	}
	start := time.Now()
	victim.Kill()
	times, _ := callAll(ctx, programs, start)
	after, err := platformStats(ctx, b.Fleet)
	return replayPoint{
		turns:    len(result.times),
		segments: float64(middle.Writes - before.Writes),
		takeover: Quantile(times, 1),
		reads:    float64(after.Reads - middle.Reads),
	}, err
}
