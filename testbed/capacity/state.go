package capacity

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"jackdawbay.dev/api/caller"
	"jackdawbay.dev/api/client"
	"jackdawbay.dev/daemon/clock"
	"jackdawbay.dev/testbed/fleet"
)

const (
	historyPrograms    = 100
	historyPromptBytes = 20_000 // About 5,000 tokens of the stand-in.
)

// measureHistory measures memory and bytes between daemons by the length of the programs' histories.
func (r *runner) measureHistory(ctx context.Context) error {
	mf, err := startFleet(ctx, r.binaryDir, layout{dataCentres: 1, daemons: 2, engines: 4, engineArgs: fastEngineArgs})
	if err != nil {
		return err
	}
	defer mf.close()
	programs, err := createPrograms(ctx, mf.newCaller(), historyPrograms, false)
	if err != nil {
		return err
	}
	t := r.newTable("history", "100 programs with prompts of 20 kB on 2 daemons; sums over the daemons",
		"turns each", "history MB", "live heap MB", "RSS MB", "socket bytes of a call", "CPU us of a call")
	var x, live []float64
	completedTurns := 0
	for _, turns := range []int{2, 6, 12} {
		calls := float64((turns - completedTurns) * historyPrograms)
		var extendErr error
		w, err := mf.measureWindow(ctx, mf.Daemons, func() { extendErr = extendHistories(ctx, programs, completedTurns, turns) })
		if err = errors.CombineErrors(err, extendErr); err != nil {
			return err
		}
		if err := mf.triggerGC(ctx); err != nil {
			return err
		}
		atRest, err := mf.measureWindow(ctx, mf.Daemons, func() {})
		if err != nil {
			return err
		}
		completedTurns = turns
		bytes := float64(turns * historyPrograms * historyPromptBytes)
		x, live = append(x, bytes), append(live, atRest.sum(sampleLiveHeap))
		t.addRow(turns, bytes/megabyte, atRest.sum(sampleLiveHeap)/megabyte, atRest.sum(sampleResident)/megabyte,
			w.sum(sampleIO)*w.Seconds/calls, w.sum(sampleCPU)*microsPerPercent*w.Seconds/calls)
	}
	t.addNote("slope: %.2f bytes of live heap per byte of history", Fit(x, live).Slope)
	return nil
}

// extendHistories makes model calls until every program has the given number of turns.
func extendHistories(ctx context.Context, programs []*client.Program, from, to int) error {
	body := caller.ModelCall{
		Messages:  []caller.Message{{Role: "user", Content: caller.Text(strings.Repeat("stock ", historyPromptBytes/6))}},
		MaxTokens: 16,
	}
	const workers = 4
	errs := make(chan error, workers)
	for w := range workers {
		go func() {
			for i := w; i < len(programs); i += workers {
				for n := from; n < to; n++ {
					p := programs[i]
					if err := retryWhileRepeatable(ctx, func() error {
						_, err := p.InvokeModel(ctx, fmt.Sprintf("call-%d", n), body, func(caller.Delta) {})
						return err
					}); err != nil {
						errs <- err
						return
					}
				}
			}
			errs <- nil
		}()
	}
	var combined error
	for range workers {
		combined = errors.CombineErrors(combined, <-errs)
	}
	return combined
}

// measureSeries measures the memory and the size of the metrics by the number of tenants that make calls.
func (r *runner) measureSeries(ctx context.Context) error {
	mf, err := startFleet(ctx, r.binaryDir, layout{dataCentres: 1, daemons: 1, engines: 2, engineArgs: fastEngineArgs, platformWrites: "0"})
	if err != nil {
		return err
	}
	defer mf.close()
	t := r.newTable("series", "tenants with 5 calls each in one class on 1 daemon", "tenants", "live heap MB", "RSS MB", "bytes of /metrics")
	var x, live, size []float64
	total := 0
	for _, n := range []int{50, 200, 800} {
		if err := mf.addTenants(ctx, total, n); err != nil {
			return err
		}
		clock.Sleep(ctx, settleTime)
		if err := mf.callAsTenants(ctx, total, n); err != nil {
			return err
		}
		total = n
		if err := mf.triggerGC(ctx); err != nil {
			return err
		}
		w, err := mf.measureWindow(ctx, mf.Daemons, func() {})
		if err != nil {
			return err
		}
		bytes, err := metricsSize(ctx, mf.Daemons[0])
		if err != nil {
			return err
		}
		x, live, size = append(x, float64(n)), append(live, w.sum(sampleLiveHeap)), append(size, bytes)
		t.addRow(n, w.sum(sampleLiveHeap)/megabyte, w.sum(sampleResident)/megabyte, bytes)
	}
	t.addNote("slope per tenant in one class: %.1f KB of live heap, %.1f KB of /metrics", Fit(x, live).Slope/kilobyte, Fit(x, size).Slope/kilobyte)
	t.addNote("The heap contains the tenant's record, its program with 5 turns and its histograms.")
	return nil
}

// callAsTenants makes 5 model calls as each tenant of a range.
func (mf *measuredFleet) callAsTenants(ctx context.Context, from, to int) error {
	httpClient := newHTTPClient()
	for i := from; i < to; i++ {
		c := &client.Client{BaseURLs: []string{mf.Daemons[0].CallerURL}, Key: tenantKey(i), HTTP: httpClient}
		p, err := createProgram(ctx, c, false)
		if err != nil {
			return err
		}
		for n := range 5 {
			body := caller.ModelCall{Messages: []caller.Message{{Role: "user", Content: callPrompt}}, MaxTokens: 4}
			if _, err := p.InvokeModel(ctx, fmt.Sprintf("call-%d", n), body, func(caller.Delta) {}); err != nil {
				return errors.Wrapf(err, "model call of tenant %d", i)
			}
		}
	}
	return nil
}

func metricsSize(ctx context.Context, d *fleet.Daemon) (float64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, d.OpsURL+"/metrics", nil)
	if err != nil {
		return 0, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	n, err := io.Copy(io.Discard, resp.Body)
	return float64(n), err
}
