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

func errorKind(err error) string {
	var e *errkind.Error
	if errors.As(err, &e) {
		return string(e.Kind)
	}
	return "no_answer"
}

// pool lends programs so that the calls of each run in order.
type programPool struct {
	idle chan *client.Program
}

func newProgramPool(programs []*client.Program) *programPool {
	p := &programPool{idle: make(chan *client.Program, len(programs))}
	for _, program := range programs {
		p.idle <- program
	}
	return p
}

// with runs one call of the program that has rested longest.
func (p *programPool) withProgram(f func(*client.Program) error) error {
	select {
	case program := <-p.idle:
		defer func() { p.idle <- program }()
		return f(program)
	default:
		return errors.New("every program has a call under way")
	}
}

const (
	callRate          = 500.0
	callRoundDuration = 4 * time.Second
	callRoundCount    = 3
	callPrompt        = "Tell the captain that the order is placed."
	callDaemons       = 4
	callEngines       = 4
	callPrograms      = 1000
)

// fastEngineArgs makes the engine's own time small, so that its scatter does not hide the added latency.
var fastEngineArgs = []string{"--speed=1000", "--reply-tokens=16"}

// latency compares calls through the daemons with calls straight to the engines, and measures their processor time.
func (r *runner) measureLatency(ctx context.Context) error {
	mf, err := startFleet(ctx, r.binaryDir, layout{dataCentres: 1, daemons: callDaemons, engines: callEngines, engineArgs: fastEngineArgs})
	if err != nil {
		return err
	}
	defer mf.close()
	clock.Sleep(ctx, settleTime)
	t := r.newTable("latency", "streamed model calls of 16 tokens; ms from the time at which a call was due to the end of its answer",
		"round", "path", "calls/s", "p50", "p95", "p99", "answered", "refused")
	added50, added95 := []float64{}, []float64{}
	for round := range callRoundCount {
		direct := mf.callEngines(ctx)
		programs, err := createPrograms(ctx, mf.newCaller(), callPrograms, false)
		if err != nil {
			return err
		}
		through := mf.callThroughDaemons(ctx, programs, callRate)
		endPrograms(ctx, programs)
		addPathRow(t, round, "direct", direct)
		addPathRow(t, round, "through", through)
		added50 = append(added50, Median(through.latenciesMillis)-Median(direct.latenciesMillis))
		added95 = append(added95, Quantile(through.latenciesMillis, 0.95)-Quantile(direct.latenciesMillis, 0.95))
	}
	t.addNote("added latency, median of %d rounds: %.2f ms at p50, %.2f ms at p95 (limit 1.5 ms at p95)", callRoundCount, Median(added50), Median(added95))
	if err := mf.measureStages(ctx, r); err != nil {
		return err
	}
	return r.measureRequests(ctx, mf)
}

// Histograms of the daemon for the stages of a call, in seconds.
var stageMetrics = []struct{ name, stage string }{
	{"jackdawbay_admission_seconds", "admission by the owner"},
	{"jackdawbay_queue_wait_seconds", "slot from the dispatcher"},
	{"jackdawbay_time_to_first_token_seconds", "first token"},
	{"jackdawbay_call_seconds", "whole call"},
}

// stages shows in which stage the daemons spent the time of the calls so far.
func (mf *measuredFleet) measureStages(ctx context.Context, r *runner) error {
	t := r.newTable("stages", "the same calls as the daemons saw them; the first token counts from the request to the engine",
		"stage", "calls", "mean ms")
	totals := map[string]float64{}
	for _, d := range mf.Daemons {
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
		t.addRow(m.stage, totals[m.name+"_count"], 1000*totals[m.name+"_sum"]/totals[m.name+"_count"])
	}
	return nil
}

func addPathRow(t *Table, round int, path string, p *openLoopResult) {
	t.addRow(round+1, path, callRate, Median(p.latenciesMillis), Quantile(p.latenciesMillis, 0.95), Quantile(p.latenciesMillis, 0.99), len(p.latenciesMillis), fmt.Sprint(p.failures))
}

// through makes calls by daemons that are chosen in turn, so most calls pass an ingress, another owner and a dispatcher.
func (mf *measuredFleet) callThroughDaemons(ctx context.Context, programs []*client.Program, rate float64) *openLoopResult {
	pool := newProgramPool(programs)
	body := caller.ModelCall{Messages: []caller.Message{{Role: "user", Content: callPrompt}}, MaxTokens: 16}
	return runOpenLoop(ctx, rate, callRoundDuration, func(i int) (int64, error) {
		return 0, pool.withProgram(func(p *client.Program) error {
			_, err := p.Model(ctx, fmt.Sprintf("call-%d", i), body, func(caller.Delta) {})
			return err
		})
	})
}

// endAll ends programs, so that one round leaves nothing for the next.
func endPrograms(ctx context.Context, programs []*client.Program) {
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
func (mf *measuredFleet) callEngines(ctx context.Context) *openLoopResult {
	var addresses []string
	for _, e := range mf.Engines {
		addresses = append(addresses, e.Ready["address"])
	}
	key, err := os.ReadFile(mf.dir + "/upstream.key")
	if err != nil {
		return &openLoopResult{failures: map[string]int{err.Error(): 1}}
	}
	httpClient := newHTTPClient()
	history := []map[string]string{
		{"role": "user", "content": callPrompt},
		{"role": "assistant", "content": strings.Repeat("order ", 16)},
		{"role": "user", "content": callPrompt},
	}
	body, _ := json.Marshal(map[string]any{"model": fleet.ModelName, "messages": history, "max_tokens": 16, "stream": true})
	return runOpenLoop(ctx, callRate, callRoundDuration, func(i int) (int64, error) {
		return 0, postCompletion(ctx, httpClient, addresses[i%len(addresses)], strings.TrimSpace(string(key)), body)
	})
}

func postCompletion(ctx context.Context, httpClient *http.Client, address, key string, body []byte) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := httpClient.Do(req)
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
