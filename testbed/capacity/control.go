package capacity

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"jackdawbay.dev/daemon/clock"
)

// controlWindow is one period of the status, which is written every 15 s at rest, so that each window holds one.
const controlWindow = 15 * time.Second

// controlLayouts are measured group by group; the fleets of a group rest side by side, which saves time.
var controlLayouts = [][]layout{
	{{dataCentres: 1, daemons: 2, engines: 1}, {dataCentres: 1, daemons: 4, engines: 1}, {dataCentres: 1, daemons: 8, engines: 1}},
	{{dataCentres: 1, daemons: 16, engines: 1}, {dataCentres: 2, daemons: 4, engines: 1}},
	{{dataCentres: 1, daemons: 32, engines: 1}},
	{{dataCentres: 8, daemons: 4, engines: 1}},
}

const (
	kilobyte = 1000
	megabyte = 1000 * kilobyte
)

// control measures daemons without callers, and on the same fleets the changes.
func (r *runner) control(ctx context.Context) error {
	cost := r.table("control", "daemons without callers; CPU in % of a core, memory in MB, bytes a second sent and received",
		"DCs", "daemons", "role", "CPU", "CPU max", "RSS", "peer body B/s", "platform body B/s", "socket B/s", "with TCP/IP B/s", "writes/s", "reads/s", "watches")
	cost.note("Socket bytes are rchar+wchar of /proc/PID/io, so HTTP headers are counted, and 16 bytes for each wake-up of the network poller.")
	cost.note("TCP and IP headers are estimated: 3 segments of 52 bytes for each exchange (probes sent and answered, status, platform calls).")
	cost.note("Writes, reads and waiting watches are those of the whole fleet at the platform.")
	changes := r.changeTable()
	for _, group := range controlLayouts {
		if err := r.controlGroup(ctx, group, cost, changes); err != nil {
			return err
		}
	}
	return nil
}

func (r *runner) controlGroup(ctx context.Context, group []layout, cost, changes *Table) error {
	// Each fleet fills tables of its own, so that the rows keep their order.
	costs, changed := make([]Table, len(group)), make([]Table, len(group))
	failed := make([]error, len(group))
	var fleets sync.WaitGroup
	for i, l := range group {
		fleets.Go(func() { failed[i] = r.controlAt(ctx, l, &costs[i], &changed[i]) })
	}
	fleets.Wait()
	for i := range group {
		cost.Rows = append(cost.Rows, costs[i].Rows...)
		changes.Rows = append(changes.Rows, changed[i].Rows...)
	}
	return errors.Join(failed...)
}

func (r *runner) controlAt(ctx context.Context, l layout, cost, changes *Table) error {
	b, err := startBed(ctx, r.binaries, l)
	if err != nil {
		return err
	}
	defer b.close()
	clock.Sleep(ctx, settle)
	w, err := b.watch(ctx, b.Daemons, func() { clock.Sleep(ctx, controlWindow) })
	if err != nil {
		return err
	}
	n := l.dataCentres * l.daemons
	for _, role := range []struct {
		name        string
		coordinator bool
	}{{"coordinator", true}, {"member", false}} {
		pick := func(field func(Sample) float64) float64 { return Median(w.pick(role.coordinator, field)) }
		calls := 0.0
		if role.coordinator {
			calls = (w.WritesPerSecond + w.ReadsPerSecond) / float64(l.dataCentres)
		}
		wire := pick(socketOf) + TCPIPHeaderBytes(restExchanges(l.daemons, role.coordinator, calls))
		cost.add(l.dataCentres, n, role.name, pick(cpuOf), Quantile(w.pick(role.coordinator, cpuOf), 1), pick(residentOf)/megabyte,
			pick(peerOf), pick(platformOf), pick(socketOf), wire, w.WritesPerSecond, w.ReadsPerSecond, w.PendingWatches)
	}
	if err := r.changesAt(ctx, b, l, changes); err != nil {
		return errors.Wrapf(err, "changes with %d daemons", n)
	}
	return nil
}
