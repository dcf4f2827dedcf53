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

// replayRate is high enough to keep the journal of one daemon at the write rate of its settings, 50 per second.
const replayRate = 200.0

// measureReplay measures takeovers by the length of the journal that the successors read.
func (r *runner) measureReplay(ctx context.Context) error {
	mf, err := startFleet(ctx, r.binaryDir, layout{dataCentres: 1, daemons: 8, engines: 1})
	if err != nil {
		return err
	}
	defer mf.close()
	clock.Sleep(ctx, settleTime)
	t := r.newTable("replay", "8 daemons; takeover after SIGKILL of a member that journaled 200 turns per second for the given time",
		"seconds", "turns", "segments", "takeover ms", "platform reads")
	var segments, times []float64
	for _, loadDuration := range []time.Duration{time.Second, 5 * time.Second, 15 * time.Second} {
		victim, err := mf.takeDaemon(ctx, false)
		if err != nil {
			return err
		}
		result, err := mf.measureTakeoverReplay(ctx, victim, loadDuration)
		if err != nil {
			return errors.Wrapf(err, "measure takeover after a load of %s", loadDuration)
		}
		segments, times = append(segments, result.segments), append(times, result.takeoverMillis)
		t.addRow(loadDuration.Seconds(), result.turns, result.segments, result.takeoverMillis, result.reads)
	}
	line := Fit(segments, times)
	t.addNote("slope: %.3f ms of takeover per journal segment, with a base of %.0f ms", line.Slope, line.Intercept)
	return nil
}

// replayResult is the result of one takeover.
type replayResult struct {
	turns          int
	segments       float64
	takeoverMillis float64 // Until the response to the next call of the last program.
	reads          float64
}

func (mf *measuredFleet) measureTakeoverReplay(ctx context.Context, victim *fleet.Daemon, loadDuration time.Duration) (replayResult, error) {
	ctx, cancel := context.WithTimeout(ctx, loadDuration+changeTimeout)
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
	result := runOpenLoop(ctx, replayRate, loadDuration, func(i int) (int64, error) {
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
