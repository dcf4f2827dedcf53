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
func (r *runner) measureReplay(ctx context.Context) error {
	mf, err := startFleet(ctx, r.binaryDir, layout{dataCentres: 1, daemons: 8, engines: 1})
	if err != nil {
		return err
	}
	defer mf.close()
	clock.Sleep(ctx, settleTime)
	t := r.newTable("replay", "8 daemons; takeover after SIGKILL of a member that journaled 200 turns a second for a time",
		"seconds", "turns", "segments", "takeover ms", "platform reads")
	var segments, times []float64
	for _, d := range []time.Duration{time.Second, 5 * time.Second, 15 * time.Second} {
		victim, err := mf.takeDaemon(ctx, false)
		if err != nil {
			return err
		}
		p, err := mf.measureTakeoverReplay(ctx, victim, d)
		if err != nil {
			return errors.Wrapf(err, "takeover after %s", d)
		}
		segments, times = append(segments, p.segments), append(times, p.takeoverMillis)
		t.addRow(d.Seconds(), p.turns, p.segments, p.takeoverMillis, p.reads)
	}
	line := Fit(segments, times)
	t.addNote("slope: %.3f ms of takeover for each segment of the journal, on a base of %.0f ms", line.Slope, line.Intercept)
	return nil
}

// replayResult is one takeover.
type replayResult struct {
	turns          int
	segments       float64
	takeoverMillis float64 // Milliseconds until the last program had its next call.
	reads          float64
}

func (mf *measuredFleet) measureTakeoverReplay(ctx context.Context, victim *fleet.Daemon, d time.Duration) (replayResult, error) {
	ctx, cancel := context.WithTimeout(ctx, d+changeTimeout)
	defer cancel()
	c := mf.newCaller(victim)
	programs, err := createPrograms(ctx, c, 4*ownedProgramCount, false)
	if err != nil {
		return replayResult{}, err
	}
	before, err := platformStats(ctx, mf.Fleet)
	if err != nil {
		return replayResult{}, err
	}
	pool := newProgramPool(programs)
	result := runOpenLoop(ctx, replayRate, d, func(i int) (int64, error) {
		return 0, pool.withProgram(func(p *client.Program) error { return stockCheck(ctx, p, fmt.Sprintf("turn-%d", i)) })
	})
	for _, p := range programs {
		if _, err := waitUntilDurable(ctx, p); err != nil {
			return replayResult{}, err
		}
	}
	c.BaseURLs = nil
	for _, other := range mf.Daemons {
		c.BaseURLs = append(c.BaseURLs, other.CallerURL)
	}
	beforeKill, err := platformStats(ctx, mf.Fleet)
	if err != nil {
		return replayResult{}, err
	}
	start := time.Now()
	victim.Kill()
	times, _ := callEach(ctx, programs, start)
	after, err := platformStats(ctx, mf.Fleet)
	return replayResult{
		turns:          len(result.latenciesMillis),
		segments:       float64(beforeKill.Writes - before.Writes),
		takeoverMillis: Quantile(times, 1),
		reads:          float64(after.Reads - beforeKill.Reads),
	}, err
}
