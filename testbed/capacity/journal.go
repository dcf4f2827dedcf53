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
	journalPool     = 600
)

// Rates of the platform's writes. With 30 a second for 32 daemons, each daemon has the share that 320 daemons have of 300.
var journalLayouts = []struct {
	layout
	stands string
}{
	{layout{dataCentres: 1, daemons: 8, engines: 1, writes: "300"}, "8 daemons, 300 writes/s"},
	{layout{dataCentres: 1, daemons: 32, engines: 1, writes: "300"}, "32 daemons, 300 writes/s"},
	{layout{dataCentres: 1, daemons: 32, engines: 1, writes: "30"}, "320 daemons, 300 writes/s"},
}

// journal measures intents while all daemons share the platform's write rate.
func (r *runner) journal(ctx context.Context) error {
	t := r.table("journal", "100 idempotent turns and 20 orders a second over all daemons; latency in ms",
		"stands for", "daemons", "platform writes/s", "refused 429/s", "order p50", "order p95", "order p99", "orders answered", "orders refused", "turn p50", "turn p95")
	for _, l := range journalLayouts {
		b, err := startBed(ctx, r.binaries, l.layout)
		if err != nil {
			return err
		}
		err = b.journalAt(ctx, l.layout, l.stands, t)
		b.close()
		if err != nil {
			return err
		}
	}
	t.note("The third row gives 32 daemons the share that 320 daemons have of 300 writes a second. It has one data centre;")
	t.note("320 daemons in 11 data centres also make 11 signs of life a second.")
	return nil
}

func (b *bed) journalAt(ctx context.Context, l layout, stands string, t *Table) error {
	programs, err := createPrograms(ctx, b.caller(), journalPool, false)
	if err != nil {
		return err
	}
	lend := newPool(programs)
	clock.Sleep(ctx, settle)
	b.work(ctx, lend, "warm", journalWarmUp)
	var orders, turns *pacedResult
	w, err := b.watch(ctx, b.Daemons, func() { orders, turns = b.work(ctx, lend, "call", journalWindow) })
	if err != nil {
		return err
	}
	t.add(stands, l.daemons, w.WritesPerSecond, w.RateLimitedPerSecond, Median(orders.times), Quantile(orders.times, 0.95), Quantile(orders.times, 0.99),
		len(orders.times), fmt.Sprint(orders.failed), Median(turns.times), Quantile(turns.times, 0.95))
	return nil
}

// work places orders and makes stock checks at the same time.
func (b *bed) work(ctx context.Context, lend *pool, prefix string, d time.Duration) (orders, turns *pacedResult) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		turns = paced(ctx, turnsPerSecond, d, func(i int) (int64, error) {
			return 0, lend.with(func(p *client.Program) error { return stockCheck(ctx, p, fmt.Sprintf("%s-turn-%d", prefix, i)) })
		})
	}()
	orders = paced(ctx, ordersPerSecond, d, func(i int) (int64, error) {
		return 0, lend.with(func(p *client.Program) error { return order(ctx, p, fmt.Sprintf("%s-order-%d", prefix, i)) })
	})
	<-done
	return orders, turns
}
