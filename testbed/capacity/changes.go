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
	ownedProgramCount = 10 // Programs that a stopped or killed daemon owns.
	changeTimeout     = 20 * time.Second
	probeInterval     = 25 * time.Millisecond
	callInterval      = 20 * time.Millisecond
	handoverWindow    = 1500 * time.Millisecond
)

func (r *runner) newChangeTable() *Table {
	t := r.newTable("changes", "time in ms until a change is complete; medians and largest of the repeats",
		"DCs", "daemons", "change", "repeats", "median ms", "max ms", "limit ms", "calls refused for good")
	t.addNote("A repeat whose daemon had no shard is left out.")
	t.addNote("configuration: from the write of a record until every daemon reports the new digest.")
	t.addNote("takeover: from SIGKILL until the last of %d programs of the killed daemon had its next call answered elsewhere.", ownedProgramCount)
	t.addNote("A silent member is stopped with SIGSTOP: it refuses no connection and answers nothing, as a VM that is lost.")
	t.addNote("handover: the longest time that a call of %d programs of a stopping daemon took, repeats included.", ownedProgramCount)
	return t
}

// measureChanges measures changes on a fleet that is at rest. It kills and stops daemons, so it comes last.
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

// measureConfigChange writes a new generation of the tenant record and returns the time until all daemons have it.
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
	err := mf.peers.Get(ctx, d.Ready["peer"], peer.PathProbe, &response)
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
					errs[i] = errors.Newf("configuration is not in force in %s in time", d.VM)
					return
				}
			}
		})
	}
	group.Wait()
	return Quantile(times, 1), errors.Join(errs...)
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// remove takes a daemon of the given role out of the list of the fleet and returns it.
func (b *measuredFleet) takeDaemon(ctx context.Context, coordinator bool) (*fleet.Daemon, error) {
	coordinators, err := b.coordinators(ctx, b.Daemons)
	if err != nil {
		return nil, err
	}
	for i, d := range b.Daemons {
		if coordinators[d.VM] == coordinator {
			b.Daemons = append(b.Daemons[:i:i], b.Daemons[i+1:]...)
			return d, nil
		}
	}
	return nil, errors.New("no daemon of the role is left")
}

// owned creates programs that the daemon owns and whose first turn is durable, and points their client to other daemons.
// The list is empty when the daemon has no shard: with 64 shards on 32 daemons that happens to about one in eight.
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
	for _, description := range mf.Daemons {
		if description.DataCentre == owner.DataCentre {
			c.BaseURLs = append(c.BaseURLs, description.CallerURL)
		}
	}
	return owned, nil
}

// waitUntilDurable waits until the last turn of a program is durable and returns the program's state.
func waitUntilDurable(ctx context.Context, p *client.Program) (caller.Program, error) {
	for {
		description, err := p.Describe(ctx)
		if err == nil && description.DurableSequence >= p.Sequence {
			return description, nil
		}
		if !clock.Sleep(ctx, callInterval) {
			return description, errors.Newf("program %s did not become durable", p.ID)
		}
	}
}

// timeNextCall returns the time until the next call of a program was answered, refusals included. A refusal that is final
// ends the program's part and is counted.
func timeNextCall(ctx context.Context, p *client.Program, key string, start time.Time) (ms float64, final bool) {
	for {
		err := stockCheck(ctx, p, key)
		if err == nil {
			return milliseconds(time.Since(start)), false
		}
		if !client.Repeatable(err) {
			return milliseconds(time.Since(start)), true
		}
		if !clock.Sleep(ctx, callInterval) {
			return milliseconds(time.Since(start)), true
		}
	}
}

// kills measures takeovers: of members, then of the coordinator.
func (mf *measuredFleet) measureTakeovers(ctx context.Context, l layout, t *Table) error {
	for _, role := range []struct {
		name        string
		coordinator bool
		silent      bool
		repeats     int
	}{
		{"takeover of a member", false, false, takeoverRepeats(l)},
		{"takeover of the coordinator", true, false, 1},
		{"takeover of a silent member", false, true, unresponsiveRepeats(l)},
	} {
		var times []float64
		finalRejections := 0
		for range role.repeats {
			ms, final, err := mf.measureTakeover(ctx, role.coordinator, role.silent)
			if err != nil {
				return err
			}
			finalRejections += final
			if !math.IsNaN(ms) {
				times = append(times, ms)
			}
		}
		if len(times) == 0 {
			continue
		}
		t.addRow(l.dataCentres, l.dataCentres*l.daemons, role.name, len(times), Median(times), Quantile(times, 1), 5000.0, finalRejections)
	}
	return nil
}

// takeoverRepeats keeps more than half of the members, without which a coordinator removes no one.
func takeoverRepeats(l layout) int {
	if l.dataCentres > 1 || l.daemons < 8 {
		return 1
	}
	return 2
}

// unresponsiveRepeats measures silent daemons only where enough members are left.
func unresponsiveRepeats(l layout) int {
	if l.daemons < 8 {
		return 0
	}
	return 2
}

// kill ends a daemon, or stops it so that its address accepts connections and never answers, as a lost VM seems to do.
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
		return 0, 0, errors.Wrap(err, "stop daemon")
	}
	times, final := callEach(ctx, programs, start)
	return Quantile(times, 1), final, nil
}

func callEach(ctx context.Context, programs []*client.Program, start time.Time) (times []float64, finalCount int) {
	times = make([]float64, len(programs))
	rejected := make([]bool, len(programs))
	var group sync.WaitGroup
	for i, p := range programs {
		group.Go(func() { times[i], rejected[i] = timeNextCall(ctx, p, "after", start) })
	}
	group.Wait()
	for _, r := range rejected {
		if r {
			finalCount++
		}
	}
	return times, finalCount
}

// stops measures planned handovers of a member and of the coordinator.
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
	d, err := mf.takeDaemon(ctx, coordinator)
	if err != nil {
		return 0, 0, err
	}
	programs, err := mf.createOwnedPrograms(ctx, d)
	if err != nil {
		return 0, 0, err
	}
	if err := d.Signal(syscall.SIGTERM); err != nil {
		return 0, 0, errors.Wrap(err, "stop daemon")
	}
	longest := make([]float64, len(programs))
	rejected := make([]int, len(programs))
	end := time.Now().Add(handoverWindow)
	var group sync.WaitGroup
	for i, p := range programs {
		group.Go(func() {
			for n := 0; time.Now().Before(end) && rejected[i] == 0; n++ {
				ms, final := timeNextCall(ctx, p, fmt.Sprintf("during-%d", n), time.Now())
				longest[i] = max(longest[i], ms)
				if final {
					rejected[i]++
				}
				clock.Sleep(ctx, callInterval)
			}
		})
	}
	group.Wait()
	total := 0
	for _, n := range rejected {
		total += n
	}
	return Quantile(longest, 1), total, nil
}
