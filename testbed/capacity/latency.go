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

// programPool lends programs to callers, so that the calls of each program run one after the other.
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

// withProgram runs one call of the program that has been idle longest. It returns an error when no program is idle.
func (p *programPool) withProgram(f func(*client.Program) error) error {
	select {
	case program := <-p.idle:
		defer func() { p.idle <- program }()
		return f(program)
	default:
		return errors.New("every program has a call in flight")
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

// fastEngineArgs keep the engine's own latency small, so that its variance does not hide the added latency.
var fastEngineArgs = []string{"--speed=1000", "--reply-tokens=16"}

// measureLatency compares calls through the daemons with direct calls to the engines, and measures CPU time by call
// rate.
func (r *runner) measureLatency(ctx context.Context) error {
	mf, err := startFleet(ctx, r.binaryDir, layout{dataCentres: 1, daemons: callDaemons, engines: callEngines, engineArgs: fastEngineArgs})
	if err != nil {
		return err
	}
	defer mf.close()
	clock.Sleep(ctx, settleTime)
	t := r.newTable("latency", "streamed model calls of 16 tokens; ms from the scheduled start of a call to the end of its response",
		"round", "path", "calls/s", "p50", "p95", "p99", "answered", "refused")
	addedP50, addedP95 := []float64{}, []float64{}
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
		addedP50 = append(addedP50, Median(through.latenciesMillis)-Median(direct.latenciesMillis))
		addedP95 = append(addedP95, Quantile(through.latenciesMillis, 0.95)-Quantile(direct.latenciesMillis, 0.95))
	}
	t.addNote("added latency, median of %d rounds: %.2f ms at p50, %.2f ms at p95 (limit 1.5 ms at p95)", callRoundCount, Median(addedP50), Median(addedP95))
	if err := mf.measureStages(ctx, r); err != nil {
		return err
	}
	return r.measureRequests(ctx, mf)
}

// stageMetrics lists the histograms of the daemon for the stages of a call, in seconds.
var stageMetrics = []struct{ name, stage string }{
	{"jackdawbay_admission_seconds", "admission by the owner"},
	{"jackdawbay_queue_wait_seconds", "slot from the dispatcher"},
	{"jackdawbay_time_to_first_token_seconds", "first token"},
	{"jackdawbay_call_seconds", "whole call"},
}

// measureStages adds a table with the mean duration of each stage of all calls so far, according to the daemons.
func (mf *measuredFleet) measureStages(ctx context.Context, r *runner) error {
	t := r.newTable("stages", "the same calls in the daemons' metrics; the first token is measured from the request to the engine",
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

func addPathRow(t *Table, round int, path string, result *openLoopResult) {
	t.addRow(round+1, path, callRate, Median(result.latenciesMillis), Quantile(result.latenciesMillis, 0.95), Quantile(result.latenciesMillis, 0.99), len(result.latenciesMillis), fmt.Sprint(result.failures))
}

// callThroughDaemons calls the daemons in turn, so most calls pass through an ingress, another owner and a dispatcher.
func (mf *measuredFleet) callThroughDaemons(ctx context.Context, programs []*client.Program, rate float64) *openLoopResult {
	pool := newProgramPool(programs)
	body := caller.ModelCall{Messages: []caller.Message{{Role: "user", Content: callPrompt}}, MaxTokens: 16}
	return runOpenLoop(ctx, rate, callRoundDuration, func(i int) (int64, error) {
		return 0, pool.withProgram(func(p *client.Program) error {
			_, err := p.InvokeModel(ctx, fmt.Sprintf("call-%d", i), body, func(caller.Delta) {})
			return err
		})
	})
}

// endPrograms ends programs, so that a round does not affect the next.
func endPrograms(ctx context.Context, programs []*client.Program) {
	work := make(chan *client.Program)
	var group sync.WaitGroup
	for range createWorkers {
		group.Go(func() {
			for p := range work {
				// The error is ignored: a program that remains costs only memory of the test bed.
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

// callEngines makes the same calls directly to the engines. Each prompt has the length of a program's second prompt,
// which is the mean.
func (mf *measuredFleet) callEngines(ctx context.Context) *openLoopResult {
	var addresses []string
	for _, e := range mf.Engines {
		addresses = append(addresses, e.ReadyFields["address"])
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
		return errors.Newf("engine responded with status %d", resp.StatusCode)
	}
	return nil
}
