package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"jackdawbay.dev/api/caller"
	"jackdawbay.dev/api/client"
	"jackdawbay.dev/daemon/clock"
	"jackdawbay.dev/daemon/peer"
	"jackdawbay.dev/testbed/fleet"
)

const (
	configChangeCount = 5
	ownedProgramCount = 10 // Number of programs that a stopped or killed daemon owns.
	changeTimeout     = 20 * time.Second
	probeInterval     = 25 * time.Millisecond
	callInterval      = 20 * time.Millisecond
	handoverWindow    = 1500 * time.Millisecond
)

func (r *runner) newChangeTable() *Table {
	t := r.newTable("changes", "time in ms until a change is complete; median and maximum of the repeats",
		"DCs", "daemons", "change", "repeats", "median ms", "max ms", "limit ms", "calls refused for good")
	t.addNote("A repeat whose daemon owned no shard is not counted.")
	t.addNote("configuration: from the write of a record until every daemon reports the new configuration digest.")
	t.addNote("takeover: from SIGKILL until another daemon has responded to the next call of each of %d programs of the killed daemon.", ownedProgramCount)
	t.addNote("A silent member is stopped with SIGSTOP: it accepts connections and never responds, like a failed VM.")
	t.addNote("handover: max duration of a call of %d programs of a stopping daemon, including retries.", ownedProgramCount)
	return t
}

// measureChanges measures changes on an idle fleet. It kills and stops daemons, so it runs after the other
// measurements.
func (r *runner) measureChanges(ctx context.Context, mf *measuredFleet, l layout, t *Table) error {
	n := l.dataCentres * l.daemons
	var latencies []float64
	for range configChangeCount {
		ms, err := mf.measureConfigChange(ctx)
		if err != nil {
			return err
		}
		latencies = append(latencies, ms)
	}
	t.addRow(l.dataCentres, n, "configuration", len(latencies), Median(latencies), Quantile(latencies, 1), 5000.0, 0)
	if n < 4 {
		return nil
	}
	if err := mf.measureHandovers(ctx, l, t); err != nil {
		return err
	}
	return mf.measureTakeovers(ctx, l, t)
}

// measureConfigChange writes a new generation of the tenant record. It returns the time in ms until all daemons report
// a new configuration digest.
func (mf *measuredFleet) measureConfigChange(ctx context.Context) (float64, error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	old, err := mf.configDigest(ctx, mf.Daemons[0])
	if err != nil {
		return 0, err
	}
	version, err := mf.recordVersion(ctx, mf.Records[0].Key())
	if err != nil {
		return 0, err
	}
	mf.Records[0].Generation++
	start := time.Now()
	if err := mf.PutRecord(ctx, mf.Records[0], version); err != nil {
		return 0, err
	}
	return mf.waitForDigest(ctx, start, old)
}

func (mf *measuredFleet) recordVersion(ctx context.Context, key string) (uint64, error) {
	raw, err := mf.RequestPlatform(ctx, http.MethodGet, "/v1/objects/config/"+key, nil)
	if err != nil {
		return 0, err
	}
	var object struct {
		Version uint64 `json:"version"`
	}
	return object.Version, json.Unmarshal(raw, &object)
}

func (mf *measuredFleet) configDigest(ctx context.Context, d *fleet.Daemon) (string, error) {
	var response peer.ProbeResponse
	err := mf.peers.Get(ctx, d.ReadyFields["peer"], peer.PathProbe, &response)
	return response.Config, err
}

func (mf *measuredFleet) waitForDigest(ctx context.Context, start time.Time, old string) (float64, error) {
	times := make([]float64, len(mf.Daemons))
	errs := make([]error, len(mf.Daemons))
	var group sync.WaitGroup
	for i, d := range mf.Daemons {
		group.Go(func() {
			for {
				digest, err := mf.configDigest(ctx, d)
				if err == nil && digest != old {
					times[i] = milliseconds(time.Since(start))
					return
				}
				if !clock.Sleep(ctx, probeInterval) {
					errs[i] = errors.Newf("timed out waiting for daemon %s to apply the configuration", d.VM)
					return
				}
			}
		})
	}
	group.Wait()
	return Quantile(times, 1), errors.Join(errs...)
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// takeDaemon removes a daemon of the given role from the list of the fleet and returns it.
func (mf *measuredFleet) takeDaemon(ctx context.Context, coordinator bool) (*fleet.Daemon, error) {
	coordinators, err := mf.coordinators(ctx, mf.Daemons)
	if err != nil {
		return nil, err
	}
	for i, d := range mf.Daemons {
		if coordinators[d.VM] == coordinator {
			mf.Daemons = append(mf.Daemons[:i:i], mf.Daemons[i+1:]...)
			return d, nil
		}
	}
	return nil, errors.New("no daemon with the requested role remains")
}

// createOwnedPrograms creates programs that the daemon owns and whose first turn is durable. It then points their
// client to the other daemons of the data centre. The list is empty when the daemon owns no shard: with 64 shards on 32
// daemons, this is the case for about one daemon in eight.
func (mf *measuredFleet) createOwnedPrograms(ctx context.Context, owner *fleet.Daemon) ([]*client.Program, error) {
	c := mf.newCaller(owner)
	programs, err := createPrograms(ctx, c, ownedProgramCount, true)
	if err != nil {
		return nil, err
	}
	var owned []*client.Program
	for _, p := range programs {
		description, err := waitUntilDurable(ctx, p)
		if err != nil {
			return nil, err
		}
		if description.Owner == owner.VM {
			owned = append(owned, p)
		}
	}
	c.BaseURLs = nil
	for _, d := range mf.Daemons {
		if d.DataCentre == owner.DataCentre {
			c.BaseURLs = append(c.BaseURLs, d.CallerURL)
		}
	}
	return owned, nil
}

// waitUntilDurable waits until the last turn of a program is durable and returns the program's description.
func waitUntilDurable(ctx context.Context, p *client.Program) (caller.Program, error) {
	for {
		description, err := p.Describe(ctx)
		if err == nil && description.DurableSequence >= p.Sequence {
			return description, nil
		}
		if !clock.Sleep(ctx, callInterval) {
			return description, errors.Newf("timed out waiting for the last turn of program %s to become durable", p.ID)
		}
	}
}

// timeNextCall makes the next call of a program and retries it after repeatable errors. It returns the time in ms from
// start until the response. final reports an error that does not allow a retry, or the end of the context.
func timeNextCall(ctx context.Context, p *client.Program, key string, start time.Time) (ms float64, final bool) {
	for {
		err := stockCheck(ctx, p, key)
		if err == nil {
			return milliseconds(time.Since(start)), false
		}
		if !client.IsRetryable(err) {
			return milliseconds(time.Since(start)), true
		}
		if !clock.Sleep(ctx, callInterval) {
			return milliseconds(time.Since(start)), true
		}
	}
}

// measureTakeovers measures takeovers of members, of the coordinator and of unresponsive members.
func (mf *measuredFleet) measureTakeovers(ctx context.Context, l layout, t *Table) error {
	for _, role := range []struct {
		name         string
		coordinator  bool
		unresponsive bool
		repeats      int
	}{
		{"takeover of a member", false, false, takeoverRepeats(l)},
		{"takeover of the coordinator", true, false, 1},
		{"takeover of a silent member", false, true, unresponsiveRepeats(l)},
	} {
		var times []float64
		finalErrors := 0
		for range role.repeats {
			ms, final, err := mf.measureTakeover(ctx, role.coordinator, role.unresponsive)
			if err != nil {
				return err
			}
			finalErrors += final
			if !math.IsNaN(ms) {
				times = append(times, ms)
			}
		}
		if len(times) == 0 {
			continue
		}
		t.addRow(l.dataCentres, l.dataCentres*l.daemons, role.name, len(times), Median(times), Quantile(times, 1), 5000.0, finalErrors)
	}
	return nil
}

// takeoverRepeats returns the number of killed members. More than half of the members must remain, since otherwise the
// coordinator removes no member.
func takeoverRepeats(l layout) int {
	if l.dataCentres > 1 || l.daemons < 8 {
		return 1
	}
	return 2
}

// unresponsiveRepeats returns the number of suspended members. It is zero where too few members would remain.
func unresponsiveRepeats(l layout) int {
	if l.daemons < 8 {
		return 0
	}
	return 2
}

// measureTakeover kills a daemon, or suspends it so that its address accepts connections and never responds, like the
// address of a failed VM. It returns the maximum takeover time in ms and the number of final errors.
func (mf *measuredFleet) measureTakeover(ctx context.Context, coordinator, unresponsive bool) (float64, int, error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	victim, err := mf.takeDaemon(ctx, coordinator)
	if err != nil {
		return 0, 0, err
	}
	programs, err := mf.createOwnedPrograms(ctx, victim)
	if err != nil {
		return 0, 0, err
	}
	start := time.Now()
	if unresponsive {
		defer victim.Kill()
		err = victim.Signal(syscall.SIGSTOP)
	} else {
		victim.Kill()
	}
	if err != nil {
		return 0, 0, errors.Wrap(err, "suspend daemon")
	}
	times, finalCount := callEach(ctx, programs, start)
	return Quantile(times, 1), finalCount, nil
}

func callEach(ctx context.Context, programs []*client.Program, start time.Time) (times []float64, finalCount int) {
	times = make([]float64, len(programs))
	isFinal := make([]bool, len(programs))
	var group sync.WaitGroup
	for i, p := range programs {
		group.Go(func() { times[i], isFinal[i] = timeNextCall(ctx, p, "after", start) })
	}
	group.Wait()
	for _, r := range isFinal {
		if r {
			finalCount++
		}
	}
	return times, finalCount
}

// measureHandovers measures planned handovers of a member and of the coordinator.
func (mf *measuredFleet) measureHandovers(ctx context.Context, l layout, t *Table) error {
	for _, role := range []struct {
		name        string
		coordinator bool
	}{{"handover of a member", false}, {"handover of the coordinator", true}} {
		if role.coordinator && l.daemons < 8 {
			continue
		}
		ms, final, err := mf.measureHandover(ctx, role.coordinator)
		if err != nil {
			return err
		}
		if math.IsNaN(ms) {
			continue
		}
		t.addRow(l.dataCentres, l.dataCentres*l.daemons, role.name, 1, ms, ms, 1000.0, final)
	}
	return nil
}

func (mf *measuredFleet) measureHandover(ctx context.Context, coordinator bool) (float64, int, error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	daemon, err := mf.takeDaemon(ctx, coordinator)
	if err != nil {
		return 0, 0, err
	}
	programs, err := mf.createOwnedPrograms(ctx, daemon)
	if err != nil {
		return 0, 0, err
	}
	if err := daemon.Signal(syscall.SIGTERM); err != nil {
		return 0, 0, errors.Wrap(err, "signal daemon to stop")
	}
	maxMillis := make([]float64, len(programs))
	finalErrors := make([]int, len(programs))
	deadline := time.Now().Add(handoverWindow)
	var group sync.WaitGroup
	for i, p := range programs {
		group.Go(func() {
			for n := 0; time.Now().Before(deadline) && finalErrors[i] == 0; n++ {
				ms, final := timeNextCall(ctx, p, fmt.Sprintf("during-%d", n), time.Now())
				maxMillis[i] = max(maxMillis[i], ms)
				if final {
					finalErrors[i]++
				}
				clock.Sleep(ctx, callInterval)
			}
		})
	}
	group.Wait()
	total := 0
	for _, n := range finalErrors {
		total += n
	}
	return Quantile(maxMillis, 1), total, nil
}
