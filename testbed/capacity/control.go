package capacity

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"jackdawbay.dev/daemon/clock"
)

// controlWindow is the period of the status writes of an idle daemon, 15 s, so that each window contains one write.
const controlWindow = 15 * time.Second

// controlLayouts are measured in groups. The fleets of a group are measured at the same time, to shorten the run.
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

// measureControl measures daemons without callers, and then changes on the same fleets.
func (r *runner) measureControl(ctx context.Context) error {
	cost := r.newTable("control", "daemons without callers; CPU in % of a core, memory in MB, bytes per second sent and received",
		"DCs", "daemons", "role", "CPU", "CPU max", "RSS", "peer body B/s", "platform body B/s", "socket B/s", "with TCP/IP B/s", "writes/s", "reads/s", "watches")
	cost.addNote("Socket bytes are rchar+wchar of /proc/PID/io, so they include HTTP headers and 16 bytes for each wake-up of the network poller.")
	cost.addNote("TCP and IP headers are estimated: 3 segments of 52 bytes for each exchange (probes in both directions, status, platform calls).")
	cost.addNote("Writes, reads and pending watches are totals of the fleet, counted by the platform.")
	changes := r.newChangeTable()
	for _, group := range controlLayouts {
		if err := r.measureControlGroup(ctx, group, cost, changes); err != nil {
			return err
		}
	}
	return nil
}

func (r *runner) measureControlGroup(ctx context.Context, group []layout, cost, changes *Table) error {
	// Each fleet writes to its own tables, so that the order of the rows does not depend on timing.
	costTables, changeTables := make([]Table, len(group)), make([]Table, len(group))
	errs := make([]error, len(group))
	var fleets sync.WaitGroup
	for i, l := range group {
		fleets.Go(func() { errs[i] = r.measureControlLayout(ctx, l, &costTables[i], &changeTables[i]) })
	}
	fleets.Wait()
	for i := range group {
		cost.Rows = append(cost.Rows, costTables[i].Rows...)
		changes.Rows = append(changes.Rows, changeTables[i].Rows...)
	}
	return errors.Join(errs...)
}

func (r *runner) measureControlLayout(ctx context.Context, l layout, cost, changes *Table) error {
	mf, err := startFleet(ctx, r.binaryDir, l)
	if err != nil {
		return err
	}
	defer mf.close()
	clock.Sleep(ctx, settleTime)
	w, err := mf.measureWindow(ctx, mf.Daemons, func() { clock.Sleep(ctx, controlWindow) })
	if err != nil {
		return err
	}
	n := l.dataCentres * l.daemons
	for _, role := range []struct {
		name        string
		coordinator bool
	}{{"coordinator", true}, {"member", false}} {
		medianByRole := func(field func(Sample) float64) float64 { return Median(w.valuesByRole(role.coordinator, field)) }
		calls := 0.0
		if role.coordinator {
			calls = (w.WritesPerSecond + w.ReadsPerSecond) / float64(l.dataCentres)
		}
		wire := medianByRole(sampleIO) + TCPIPHeaderBytes(idleExchangesPerSecond(l.daemons, role.coordinator, calls))
		cost.addRow(l.dataCentres, n, role.name, medianByRole(sampleCPU), Quantile(w.valuesByRole(role.coordinator, sampleCPU), 1), medianByRole(sampleResident)/megabyte,
			medianByRole(samplePeer), medianByRole(samplePlatform), medianByRole(sampleIO), wire, w.WritesPerSecond, w.ReadsPerSecond, w.PendingWatches)
	}
	if err := r.measureChanges(ctx, mf, l, changes); err != nil {
		return errors.Wrapf(err, "measure changes with %d daemons", n)
	}
	return nil
}
