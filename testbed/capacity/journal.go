package capacity

import (
	"context"
	"fmt"
	"time"

	"jackdawbay.dev/api/client"
	"jackdawbay.dev/daemon/clock"
)

const (
	journalWindow   = 6 * time.Second
	journalWarmUp   = 2 * time.Second
	turnsPerSecond  = 100.0 // Idempotent turns, so that every journal always has entries to write.
	ordersPerSecond = 20.0
	journalPrograms = 600
)

// journalLayouts lists the measured fleets with the write rates of their platforms. A rate of 30 per second for 32 daemons
// gives each daemon the same share as 300 per second for 320 daemons.
var journalLayouts = []struct {
	layout
	represents string
}{
	{layout{dataCentres: 1, daemons: 8, engines: 1, platformWrites: "300"}, "8 daemons, 300 writes/s"},
	{layout{dataCentres: 1, daemons: 32, engines: 1, platformWrites: "300"}, "32 daemons, 300 writes/s"},
	{layout{dataCentres: 1, daemons: 32, engines: 1, platformWrites: "30"}, "320 daemons, 300 writes/s"},
}

// measureJournal measures the latency of intents while all daemons share the write rate of the platform.
func (r *runner) measureJournal(ctx context.Context) error {
	t := r.newTable("journal", "100 idempotent turns and 20 orders per second across all daemons; latency in ms",
		"stands for", "daemons", "platform writes/s", "refused 429/s", "order p50", "order p95", "order p99", "orders answered", "orders refused", "turn p50", "turn p95")
	for _, l := range journalLayouts {
		mf, err := startFleet(ctx, r.binaryDir, l.layout)
		if err != nil {
			return err
		}
		err = mf.measureJournalLoad(ctx, l.layout, l.represents, t)
		mf.close()
		if err != nil {
			return err
		}
	}
	t.addNote("The third row gives each of 32 daemons the share that it would have with 320 daemons and 300 writes per second. It has one data centre;")
	t.addNote("320 daemons in 11 data centres also send 11 heartbeats per second.")
	return nil
}

func (mf *measuredFleet) measureJournalLoad(ctx context.Context, l layout, represents string, t *Table) error {
	programs, err := createPrograms(ctx, mf.newCaller(), journalPrograms, false)
	if err != nil {
		return err
	}
	pool := newProgramPool(programs)
	clock.Sleep(ctx, settleTime)
	mf.runJournalLoad(ctx, pool, "warm", journalWarmUp)
	var orders, turns *openLoopResult
	w, err := mf.measureWindow(ctx, mf.Daemons, func() { orders, turns = mf.runJournalLoad(ctx, pool, "call", journalWindow) })
	if err != nil {
		return err
	}
	t.addRow(represents, l.daemons, w.WritesPerSecond, w.RateLimitedPerSecond, Median(orders.latenciesMillis), Quantile(orders.latenciesMillis, 0.95), Quantile(orders.latenciesMillis, 0.99),
		len(orders.latenciesMillis), fmt.Sprint(orders.failures), Median(turns.latenciesMillis), Quantile(turns.latenciesMillis, 0.95))
	return nil
}

// runJournalLoad places orders and makes stock checks concurrently.
func (mf *measuredFleet) runJournalLoad(ctx context.Context, programs *programPool, prefix string, duration time.Duration) (orders, turns *openLoopResult) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		turns = runOpenLoop(ctx, turnsPerSecond, duration, func(i int) (int64, error) {
			return 0, programs.withProgram(func(p *client.Program) error { return stockCheck(ctx, p, fmt.Sprintf("%s-turn-%d", prefix, i)) })
		})
	}()
	orders = runOpenLoop(ctx, ordersPerSecond, duration, func(i int) (int64, error) {
		return 0, programs.withProgram(func(p *client.Program) error { return placeOrder(ctx, p, fmt.Sprintf("%s-order-%d", prefix, i)) })
	})
	<-done
	return orders, turns
}
