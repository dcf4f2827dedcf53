package capacity

import (
	"context"
	"time"

	"jackdawbay.dev/cli/load"
	"jackdawbay.dev/daemon/clock"
	"jackdawbay.dev/testbed/fleet"
)

// measureWorkload runs the workload of the verb "load" on a small fleet in two data centres.
func (r *runner) measureWorkload(ctx context.Context) error {
	mf, err := startFleet(ctx, r.binaryDir, layout{dataCentres: 2, daemons: 4, engines: 4, engineArgs: []string{"--speed=4"}})
	if err != nil {
		return err
	}
	defer mf.close()
	clock.Sleep(ctx, settleTime)
	var urls []string
	for _, d := range mf.Daemons {
		urls = append(urls, d.CallerURL)
	}
	report, _ := load.RunLoad(ctx, load.Options{
		BaseURLs:    urls,
		Key:         fleet.TenantKey,
		Model:       fleet.ModelName,
		Stock:       fleet.StockCheckService,
		Orders:      fleet.PrinterService,
		Seed:        1,
		Rate:        10,
		Duration:    8 * time.Second,
		Drain:       8 * time.Second,
		Mix:         load.DefaultMix(),
		Params:      load.DefaultProgramParams(),
		MaxPrograms: 1000,
	})
	t := r.newTable("workload", "workload of the verb load, 10 programs per second on 8 daemons and 8 engines; ms",
		"measure", "class", "count", "mean", "p50", "p95", "p99")
	for _, l := range report.Latency {
		t.addRow(string(l.Measure), string(l.Class), l.Count, l.Mean, l.P50, l.P95, l.P99)
	}
	runs, err := mf.RunsByBusinessKey(ctx, fleet.PrinterService)
	if err != nil {
		return err
	}
	repeatedOrders := 0
	for _, n := range runs {
		if n > 1 {
			repeatedOrders++
		}
	}
	t.addNote("counts: %+v", report.Counts)
	t.addNote("rejections: %v; wrong responses: %v; failures: %v", report.Rejections, report.WrongResponses, report.Failures)
	t.addNote("the printer ran %d orders, %d of them more than once", len(runs), repeatedOrders)
	return nil
}
