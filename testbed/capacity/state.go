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
	historyPrograms = 100
	historyPrompt   = 20_000 // Bytes of one prompt, about 5,000 tokens of the stand-in.
)

// history measures memory and bytes between daemons by the length of the programs' histories.
func (r *runner) history(ctx context.Context) error {
	b, err := startBed(ctx, r.binaries, layout{dataCentres: 1, daemons: 2, engines: 4, engineArgs: fastEngine})
	if err != nil {
		return err
	}
	defer b.close()
	programs, err := createPrograms(ctx, b.caller(), historyPrograms, false)
	if err != nil {
		return err
	}
	t := r.table("history", "100 programs with prompts of 20 kB on 2 daemons; sums over the daemons",
		"turns each", "history MB", "live heap MB", "RSS MB", "socket bytes of a call", "CPU us of a call")
	var x, live []float64
	done := 0
	for _, turns := range []int{2, 6, 12} {
		calls := float64((turns - done) * historyPrograms)
		var failed error
		w, err := b.watch(ctx, b.Daemons, func() { failed = extend(ctx, programs, done, turns) })
		if err = errors.CombineErrors(err, failed); err != nil {
			return err
		}
		if err := b.collect(ctx); err != nil {
			return err
		}
		rest, err := b.watch(ctx, b.Daemons, func() {})
		if err != nil {
			return err
		}
		done = turns
		bytes := float64(turns * historyPrograms * historyPrompt)
		x, live = append(x, bytes), append(live, rest.sum(liveOf))
		t.add(turns, bytes/megabyte, rest.sum(liveOf)/megabyte, rest.sum(residentOf)/megabyte,
			w.sum(socketOf)*w.Seconds/calls, w.sum(cpuOf)*percentToMicros*w.Seconds/calls)
	}
	t.note("slope: %.2f bytes of live heap for each byte of history", Fit(x, live).Slope)
	return nil
}

// extend makes model calls until every program has the number of turns.
func extend(ctx context.Context, programs []*client.Program, from, to int) error {
	body := caller.ModelCall{
		Messages:  []caller.Message{{Role: "user", Content: caller.Text(strings.Repeat("stock ", historyPrompt/6))}},
		MaxTokens: 16,
	}
	const workers = 4
	failed := make(chan error, workers)
	for w := range workers {
		go func() {
			for i := w; i < len(programs); i += workers {
				for n := from; n < to; n++ {
					p := programs[i]
					if err := insist(ctx, func() error {
						_, err := p.InvokeModel(ctx, fmt.Sprintf("call-%d", n), body, func(caller.Delta) {})
						return err
					}); err != nil {
						failed <- err
						return
					}
				}
			}
			failed <- nil
		}()
	}
	var all error
	for range workers {
		all = errors.CombineErrors(all, <-failed)
	}
	return all
}

// series measures the memory and the size of the metrics by number of tenants that call.
func (r *runner) series(ctx context.Context) error {
	b, err := startBed(ctx, r.binaries, layout{dataCentres: 1, daemons: 1, engines: 2, engineArgs: fastEngine, writes: "0"})
	if err != nil {
		return err
	}
	defer b.close()
	t := r.table("series", "tenants with 5 calls each in one class on 1 daemon", "tenants", "live heap MB", "RSS MB", "bytes of /metrics")
	var x, live, size []float64
	total := 0
	for _, n := range []int{50, 200, 800} {
		if err := b.addTenants(ctx, total, n); err != nil {
			return err
		}
		clock.Sleep(ctx, settle)
		if err := b.callAs(ctx, total, n); err != nil {
			return err
		}
		total = n
		if err := b.collect(ctx); err != nil {
			return err
		}
		w, err := b.watch(ctx, b.Daemons, func() {})
		if err != nil {
			return err
		}
		bytes, err := metricsSize(ctx, b.Daemons[0])
		if err != nil {
			return err
		}
		x, live, size = append(x, float64(n)), append(live, w.sum(liveOf)), append(size, bytes)
		t.add(n, w.sum(liveOf)/megabyte, w.sum(residentOf)/megabyte, bytes)
	}
	t.note("slope for each tenant in one class: %.1f KB of live heap, %.1f KB of /metrics", Fit(x, live).Slope/kilobyte, Fit(x, size).Slope/kilobyte)
	t.note("The heap holds the tenant's record, its program with 5 turns and its histograms.")
	return nil
}

// callAs makes 5 model calls as each tenant of a range.
func (b *bed) callAs(ctx context.Context, from, to int) error {
	web := newHTTP()
	for i := from; i < to; i++ {
		c := &client.Client{BaseURLs: []string{b.Daemons[0].CallerURL}, Key: tenantKey(i), HTTP: web}
		p, err := createProgram(ctx, c, false)
		if err != nil {
			return err
		}
		for n := range 5 {
			body := caller.ModelCall{Messages: []caller.Message{{Role: "user", Content: callPrompt}}, MaxTokens: 4}
			if _, err := p.InvokeModel(ctx, fmt.Sprintf("call-%d", n), body, func(caller.Delta) {}); err != nil {
				return errors.Wrapf(err, "call of tenant %d", i)
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
