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
	configChanges  = 5
	ownedPrograms  = 10 // Programs that a stopped or killed daemon owns.
	changeTimeout  = 20 * time.Second
	probeInterval  = 25 * time.Millisecond
	callInterval   = 20 * time.Millisecond
	handoverWindow = 1500 * time.Millisecond
)

func (r *runner) changeTable() *Table {
	t := r.table("changes", "time in ms until a change is complete; medians and largest of the repeats",
		"DCs", "daemons", "change", "repeats", "median ms", "max ms", "limit ms", "calls refused for good")
	t.note("A repeat whose daemon had no shard is left out.")
	t.note("configuration: from the write of a record until every daemon reports the new digest.")
	t.note("takeover: from SIGKILL until the last of %d programs of the killed daemon had its next call answered elsewhere.", ownedPrograms)
	t.note("A silent member is stopped with SIGSTOP: it refuses no connection and answers nothing, as a VM that is lost.")
	t.note("handover: the longest time that a call of %d programs of a stopping daemon took, repeats included.", ownedPrograms)
	return t
}

// changesAt measures changes on a fleet that is at rest. It kills and stops daemons, so it comes last.
func (r *runner) changesAt(ctx context.Context, b *bed, l layout, t *Table) error {
	n := l.dataCentres * l.daemons
	var force []float64
	for range configChanges {
		ms, err := b.changeConfiguration(ctx)
		if err != nil {
			return err
		}
		force = append(force, ms)
	}
	t.add(l.dataCentres, n, "configuration", len(force), Median(force), Quantile(force, 1), 5000.0, 0)
	if n < 4 {
		return nil
	}
	if err := b.stops(ctx, l, t); err != nil {
		return err
	}
	return b.kills(ctx, l, t)
}

// changeConfiguration writes a new generation of the tenant record and returns the time until all daemons have it.
func (b *bed) changeConfiguration(ctx context.Context) (float64, error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	old, err := b.digest(ctx, b.Daemons[0])
	if err != nil {
		return 0, err
	}
	version, err := b.recordVersion(ctx, b.Records[0].Key())
	if err != nil {
		return 0, err
	}
	b.Records[0].Generation++
	start := time.Now()
	if err := b.PutRecord(ctx, b.Records[0], version); err != nil {
		return 0, err
	}
	return b.awaitDigest(ctx, start, old)
}

func (b *bed) recordVersion(ctx context.Context, key string) (uint64, error) {
	raw, err := b.RequestPlatform(ctx, http.MethodGet, "/v1/objects/config/"+key, nil)
	if err != nil {
		return 0, err
	}
	var object struct {
		Version uint64 `json:"version"`
	}
	return object.Version, json.Unmarshal(raw, &object)
}

func (b *bed) digest(ctx context.Context, d *fleet.Daemon) (string, error) {
	var answer peer.ProbeResponse
	err := b.peers.Get(ctx, d.ReadyFields["peer"], peer.PathProbe, &answer)
	return answer.Config, err
}

func (b *bed) awaitDigest(ctx context.Context, start time.Time, old string) (float64, error) {
	times := make([]float64, len(b.Daemons))
	failed := make([]error, len(b.Daemons))
	var group sync.WaitGroup
	for i, d := range b.Daemons {
		group.Go(func() {
			for {
				digest, err := b.digest(ctx, d)
				if err == nil && digest != old {
					times[i] = millis(time.Since(start))
					return
				}
				if !clock.Sleep(ctx, probeInterval) {
					failed[i] = errors.Newf("configuration is not in force in %s in time", d.VM)
					return
				}
			}
		})
	}
	group.Wait()
	return Quantile(times, 1), errors.Join(failed...)
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// remove takes a daemon of the given role out of the list of the fleet and returns it.
func (b *bed) remove(ctx context.Context, coordinator bool) (*fleet.Daemon, error) {
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
func (b *bed) owned(ctx context.Context, owner *fleet.Daemon) ([]*client.Program, error) {
	c := b.caller(owner)
	programs, err := createPrograms(ctx, c, ownedPrograms, true)
	if err != nil {
		return nil, err
	}
	var kept []*client.Program
	for _, p := range programs {
		d, err := awaitDurable(ctx, p)
		if err != nil {
			return nil, err
		}
		if d.Owner == owner.VM {
			kept = append(kept, p)
		}
	}
	c.BaseURLs = nil
	for _, d := range b.Daemons {
		if d.DataCentre == owner.DataCentre {
			c.BaseURLs = append(c.BaseURLs, d.CallerURL)
		}
	}
	return kept, nil
}

// awaitDurable waits until the last turn of a program is durable and returns the program's state.
func awaitDurable(ctx context.Context, p *client.Program) (caller.Program, error) {
	for {
		d, err := p.Describe(ctx)
		if err == nil && d.DurableSequence >= p.Sequence {
			return d, nil
		}
		if !clock.Sleep(ctx, callInterval) {
			return d, errors.Newf("program %s did not become durable", p.ID)
		}
	}
}

// nextCall returns the time until the next call of a program was answered, refusals included. A refusal that is final
// ends the program's part and is counted.
func nextCall(ctx context.Context, p *client.Program, key string, start time.Time) (ms float64, final bool) {
	for {
		err := stockCheck(ctx, p, key)
		if err == nil {
			return millis(time.Since(start)), false
		}
		if !client.IsRetryable(err) {
			return millis(time.Since(start)), true
		}
		if !clock.Sleep(ctx, callInterval) {
			return millis(time.Since(start)), true
		}
	}
}

// kills measures takeovers: of members, then of the coordinator.
func (b *bed) kills(ctx context.Context, l layout, t *Table) error {
	for _, role := range []struct {
		name        string
		coordinator bool
		silent      bool
		repeats     int
	}{
		{"takeover of a member", false, false, killsAt(l)},
		{"takeover of the coordinator", true, false, 1},
		{"takeover of a silent member", false, true, silentAt(l)},
	} {
		var times []float64
		refused := 0
		for range role.repeats {
			ms, final, err := b.kill(ctx, role.coordinator, role.silent)
			if err != nil {
				return err
			}
			refused += final
			if !math.IsNaN(ms) {
				times = append(times, ms)
			}
		}
		if len(times) == 0 {
			continue
		}
		t.add(l.dataCentres, l.dataCentres*l.daemons, role.name, len(times), Median(times), Quantile(times, 1), 5000.0, refused)
	}
	return nil
}

// killsAt keeps more than half of the members, without which a coordinator removes no one.
func killsAt(l layout) int {
	if l.dataCentres > 1 || l.daemons < 8 {
		return 1
	}
	return 2
}

// silentAt measures silent daemons only where enough members are left.
func silentAt(l layout) int {
	if l.daemons < 8 {
		return 0
	}
	return 2
}

// kill ends a daemon, or stops it so that its address accepts connections and never answers, as a lost VM seems to do.
func (b *bed) kill(ctx context.Context, coordinator, silent bool) (float64, int, error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	victim, err := b.remove(ctx, coordinator)
	if err != nil {
		return 0, 0, err
	}
	programs, err := b.owned(ctx, victim)
	if err != nil {
		return 0, 0, err
	}
	start := time.Now()
	if silent {
		defer victim.Kill()
		err = victim.Signal(syscall.SIGSTOP)
	} else {
		victim.Kill()
	}
	if err != nil {
		return 0, 0, errors.Wrap(err, "stop daemon")
	}
	times, final := callAll(ctx, programs, start)
	return Quantile(times, 1), final, nil
}

func callAll(ctx context.Context, programs []*client.Program, start time.Time) (times []float64, final int) {
	times = make([]float64, len(programs))
	refused := make([]bool, len(programs))
	var group sync.WaitGroup
	for i, p := range programs {
		group.Go(func() { times[i], refused[i] = nextCall(ctx, p, "after", start) })
	}
	group.Wait()
	for _, r := range refused {
		if r {
			final++
		}
	}
	return times, final
}

// stops measures planned handovers of a member and of the coordinator.
func (b *bed) stops(ctx context.Context, l layout, t *Table) error {
	for _, role := range []struct {
		name        string
		coordinator bool
	}{{"handover of a member", false}, {"handover of the coordinator", true}} {
		if role.coordinator && l.daemons < 8 {
			continue
		}
		ms, final, err := b.stop(ctx, role.coordinator)
		if err != nil {
			return err
		}
		if math.IsNaN(ms) {
			continue
		}
		t.add(l.dataCentres, l.dataCentres*l.daemons, role.name, 1, ms, ms, 1000.0, final)
	}
	return nil
}

func (b *bed) stop(ctx context.Context, coordinator bool) (float64, int, error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	d, err := b.remove(ctx, coordinator)
	if err != nil {
		return 0, 0, err
	}
	programs, err := b.owned(ctx, d)
	if err != nil {
		return 0, 0, err
	}
	if err := d.Signal(syscall.SIGTERM); err != nil {
		return 0, 0, errors.Wrap(err, "stop daemon")
	}
	longest := make([]float64, len(programs))
	refused := make([]int, len(programs))
	end := time.Now().Add(handoverWindow)
	var group sync.WaitGroup
	for i, p := range programs {
		group.Go(func() {
			for n := 0; time.Now().Before(end) && refused[i] == 0; n++ {
				ms, final := nextCall(ctx, p, fmt.Sprintf("during-%d", n), time.Now())
				longest[i] = max(longest[i], ms)
				if final {
					refused[i]++
				}
				clock.Sleep(ctx, callInterval)
			}
		})
	}
	group.Wait()
	total := 0
	for _, n := range refused {
		total += n
	}
	return Quantile(longest, 1), total, nil
}
