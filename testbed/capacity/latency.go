package capacity

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"jackdawbay.dev/api/caller"
	"jackdawbay.dev/api/client"
	"jackdawbay.dev/api/errkind"
	"jackdawbay.dev/daemon/clock"
	"jackdawbay.dev/testbed/fleet"
)

func kindOf(err error) string {
	var e *errkind.Error
	if errors.As(err, &e) {
		return string(e.Kind)
	}
	return "no_answer"
}

// pool lends programs so that the calls of each run in order.
type pool struct {
	free chan *client.Program
}

func newPool(programs []*client.Program) *pool {
	p := &pool{free: make(chan *client.Program, len(programs))}
	for _, x := range programs {
		p.free <- x
	}
	return p
}

// with runs one call of the program that has rested longest.
func (p *pool) with(f func(*client.Program) error) error {
	select {
	case x := <-p.free:
		defer func() { p.free <- x }()
		return f(x)
	default:
		return errors.New("every program has a call under way")
	}
}

const (
	callRate     = 500.0
	callRound    = 4 * time.Second
	callRounds   = 3
	callPrompt   = "Tell the captain that the order is placed."
	callDaemons  = 4
	callEngines  = 4
	callPrograms = 1000
)

// fastEngine makes the engine's own time small, so that its scatter does not hide the added latency.
var fastEngine = []string{"--speed=1000", "--reply-tokens=16"}

// latency compares calls through the daemons with calls straight to the engines, and measures their processor time.
func (r *runner) latency(ctx context.Context) error {
	b, err := startBed(ctx, r.binaries, layout{dataCentres: 1, daemons: callDaemons, engines: callEngines, engineArgs: fastEngine})
	if err != nil {
		return err
	}
	defer b.close()
	clock.Sleep(ctx, settle)
	t := r.table("latency", "streamed model calls of 16 tokens; ms from the time at which a call was due to the end of its answer",
		"round", "path", "calls/s", "p50", "p95", "p99", "answered", "refused")
	added50, added95 := []float64{}, []float64{}
	for round := range callRounds {
		direct := b.direct(ctx)
		programs, err := createPrograms(ctx, b.caller(), callPrograms, false)
		if err != nil {
			return err
		}
		through := b.through(ctx, programs, callRate)
		endAll(ctx, programs)
		addPath(t, round, "direct", direct)
		addPath(t, round, "through", through)
		added50 = append(added50, Median(through.times)-Median(direct.times))
		added95 = append(added95, Quantile(through.times, 0.95)-Quantile(direct.times, 0.95))
	}
	t.note("added latency, median of %d rounds: %.2f ms at p50, %.2f ms at p95 (limit 1.5 ms at p95)", callRounds, Median(added50), Median(added95))
	if err := b.stages(ctx, r); err != nil {
		return err
	}
	return r.requestSlope(ctx, b)
}

// Histograms of the daemon for the stages of a call, in seconds.
var stageMetrics = []struct{ name, stage string }{
	{"jackdawbay_admission_seconds", "admission by the owner"},
	{"jackdawbay_queue_wait_seconds", "slot from the dispatcher"},
	{"jackdawbay_time_to_first_token_seconds", "first token"},
	{"jackdawbay_call_seconds", "whole call"},
}

// stages shows in which stage the daemons spent the time of the calls so far.
func (b *bed) stages(ctx context.Context, r *runner) error {
	t := r.table("stages", "the same calls as the daemons saw them; the first token counts from the request to the engine",
		"stage", "calls", "mean ms")
	totals := map[string]float64{}
	for _, d := range b.Daemons {
		values, err := scrape(ctx, d)
		if err != nil {
			return err
		}
		for name, v := range values {
			base, _, _ := strings.Cut(name, "{")
			totals[base] += v
		}
	}
	for _, m := range stageMetrics {
		t.add(m.stage, totals[m.name+"_count"], 1000*totals[m.name+"_sum"]/totals[m.name+"_count"])
	}
	return nil
}

func addPath(t *Table, round int, path string, p *pacedResult) {
	t.add(round+1, path, callRate, Median(p.times), Quantile(p.times, 0.95), Quantile(p.times, 0.99), len(p.times), fmt.Sprint(p.failed))
}

// through makes calls by daemons that are chosen in turn, so most calls pass an ingress, another owner and a dispatcher.
func (b *bed) through(ctx context.Context, programs []*client.Program, rate float64) *pacedResult {
	lend := newPool(programs)
	body := caller.ModelCall{Messages: []caller.Message{{Role: "user", Content: callPrompt}}, MaxTokens: 16}
	return paced(ctx, rate, callRound, func(i int) (int64, error) {
		return 0, lend.with(func(p *client.Program) error {
			_, err := p.InvokeModel(ctx, fmt.Sprintf("call-%d", i), body, func(caller.Delta) {})
			return err
		})
	})
}

// endAll ends programs, so that one round leaves nothing for the next.
func endAll(ctx context.Context, programs []*client.Program) {
	work := make(chan *client.Program)
	var group sync.WaitGroup
	for range createWorkers {
		group.Go(func() {
			for p := range work {
				// A program that stays costs memory of the test bed only.
				_, _ = p.End(ctx)
			}
		})
	}
	for _, p := range programs {
		work <- p
	}
	close(work)
	group.Wait()
}

// direct makes the same calls to the engines. Each has a prompt as long as that of a program's second call, the mean.
func (b *bed) direct(ctx context.Context) *pacedResult {
	var addresses []string
	for _, e := range b.Engines {
		addresses = append(addresses, e.ReadyFields["address"])
	}
	key, err := os.ReadFile(b.folder + "/upstream.key")
	if err != nil {
		return &pacedResult{failed: map[string]int{err.Error(): 1}}
	}
	web := newHTTP()
	history := []map[string]string{
		{"role": "user", "content": callPrompt},
		{"role": "assistant", "content": strings.Repeat("order ", 16)},
		{"role": "user", "content": callPrompt},
	}
	body, _ := json.Marshal(map[string]any{"model": fleet.ModelName, "messages": history, "max_tokens": 16, "stream": true})
	return paced(ctx, callRate, callRound, func(i int) (int64, error) {
		return 0, postEngine(ctx, web, addresses[i%len(addresses)], strings.TrimSpace(string(key)), body)
	})
}

func postEngine(ctx context.Context, web *http.Client, address, key string, body []byte) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := web.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("status %d", resp.StatusCode)
	}
	return nil
}
