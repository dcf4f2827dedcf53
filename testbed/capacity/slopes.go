package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"jackdawbay.dev/api/caller"
	"jackdawbay.dev/api/client"
	"jackdawbay.dev/api/records"
	"jackdawbay.dev/daemon/clock"
	"jackdawbay.dev/testbed/fleet"
)

// slopeWindow is the duration of the measurement of one point of a slope.
const slopeWindow = 5 * time.Second

// microsPerPercent converts percent of a core into microseconds of CPU time per second.
const microsPerPercent = 1e4

// measureRequests measures CPU time by call rate.
func (r *runner) measureRequests(ctx context.Context, mf *measuredFleet) error {
	t := r.newTable("requests", "streamed model calls of 16 tokens on 4 daemons; sums over the daemons",
		"calls/s", "CPU %", "RSS MB", "peer body B/s", "socket B/s", "writes/s", "refused")
	var x, cpu, socket []float64
	for _, rate := range []float64{50, 125, 250, 500} {
		programs, err := createPrograms(ctx, mf.newCaller(), callPrograms, false)
		if err != nil {
			return err
		}
		var result *openLoopResult
		w, err := mf.measureWindow(ctx, mf.Daemons, func() { result = mf.callThroughDaemons(ctx, programs, rate) })
		if err != nil {
			return err
		}
		endPrograms(ctx, programs)
		x, cpu, socket = append(x, rate), append(cpu, w.sum(sampleCPU)), append(socket, w.sum(sampleIO))
		t.addRow(rate, w.sum(sampleCPU), w.sum(sampleResident)/megabyte, w.sum(samplePeer), w.sum(sampleIO), w.WritesPerSecond, fmt.Sprint(result.failures))
	}
	t.addNote("slope: %.0f us of CPU time and %.1f KB through sockets per call", Fit(x, cpu).Slope*microsPerPercent, Fit(x, socket).Slope/kilobyte)
	return nil
}

// measurePrograms measures memory and CPU time by the number of idle programs.
func (r *runner) measurePrograms(ctx context.Context) error {
	mf, err := startFleet(ctx, r.binaryDir, layout{dataCentres: 1, daemons: 2, engines: 1, daemonArgs: []string{"--max-programs=60000"}})
	if err != nil {
		return err
	}
	defer mf.close()
	clock.Sleep(ctx, settleTime)
	t := r.newTable("programs", "idle programs with one turn each, on 2 daemons; sums over the daemons",
		"programs", "live heap MB", "RSS MB", "CPU %", "created and called a second")
	var x, live, resident, cpu []float64
	total := 0
	for _, n := range []int{0, 1000, 5000, 20_000} {
		start := time.Now()
		if _, err := createPrograms(ctx, mf.newCaller(), n-total, true); err != nil {
			return err
		}
		rate := float64(n-total) / time.Since(start).Seconds()
		total = n
		if err := mf.triggerGC(ctx); err != nil {
			return err
		}
		clock.Sleep(ctx, time.Second)
		w, err := mf.measureWindow(ctx, mf.Daemons, func() { clock.Sleep(ctx, slopeWindow) })
		if err != nil {
			return err
		}
		x = append(x, float64(n))
		live, resident, cpu = append(live, w.sum(sampleLiveHeap)), append(resident, w.sum(sampleResident)), append(cpu, w.sum(sampleCPU))
		t.addRow(n, w.sum(sampleLiveHeap)/megabyte, w.sum(sampleResident)/megabyte, w.sum(sampleCPU), rate)
	}
	t.addNote("slope per program: %.0f bytes of live heap, %.0f bytes of resident memory, %.2f us of CPU time per second",
		Fit(x, live).Slope, Fit(x, resident).Slope, Fit(x, cpu).Slope*microsPerPercent)
	t.addNote("Live heap is half of the heap size at which the next collection starts, so it is as of the last collection.")
	return nil
}

// gcTriggerReads is the number of reads that makes every daemon of the small fleets allocate more than its live heap,
// so that the garbage collector runs again.
const gcTriggerReads = 6000

// triggerGC makes the daemons run their garbage collectors, so that they report their current live heap.
func (mf *measuredFleet) triggerGC(ctx context.Context) error {
	programs, err := createPrograms(ctx, mf.newCaller(), createWorkers, false)
	if err != nil {
		return err
	}
	var group sync.WaitGroup
	for _, p := range programs {
		group.Go(func() {
			for range gcTriggerReads / createWorkers {
				// Only the allocations matter, not the responses.
				_, _ = p.Describe(ctx)
			}
		})
	}
	group.Wait()
	endPrograms(ctx, programs)
	return nil
}

// measureTokens measures CPU time by the rate of streamed tokens.
func (r *runner) measureTokens(ctx context.Context) error {
	const callsPerSecond = 40.0
	args := []string{"--speed=20", "--reply-tokens=256"}
	mf, err := startFleet(ctx, r.binaryDir, layout{dataCentres: 1, daemons: 4, engines: 4, engineArgs: args})
	if err != nil {
		return err
	}
	defer mf.close()
	clock.Sleep(ctx, settleTime)
	t := r.newTable("tokens", "streamed model calls at 40 per second on 4 daemons; sums over the daemons",
		"tokens a call", "tokens/s", "CPU %", "socket B/s", "refused")
	var x, cpu, socket []float64
	for _, tokens := range []int{8, 64, 256} {
		programs, err := createPrograms(ctx, mf.newCaller(), 200, false)
		if err != nil {
			return err
		}
		pool := newProgramPool(programs)
		var result *openLoopResult
		start := time.Now()
		w, err := mf.measureWindow(ctx, mf.Daemons, func() {
			result = runOpenLoop(ctx, callsPerSecond, slopeWindow, func(i int) (int64, error) { return streamCall(ctx, pool, i, tokens) })
		})
		if err != nil {
			return err
		}
		perSecond := float64(result.totalValue) / time.Since(start).Seconds()
		x, cpu, socket = append(x, perSecond), append(cpu, w.sum(sampleCPU)), append(socket, w.sum(sampleIO))
		t.addRow(tokens, perSecond, w.sum(sampleCPU), w.sum(sampleIO), fmt.Sprint(result.failures))
	}
	t.addNote("slope: %.1f us of CPU time and %.0f bytes through sockets per token", Fit(x, cpu).Slope*microsPerPercent, Fit(x, socket).Slope)
	return nil
}

func streamCall(ctx context.Context, pool *programPool, i, tokens int) (completionTokens int64, err error) {
	body := caller.ModelCall{Messages: []caller.Message{{Role: "user", Content: callPrompt}}, MaxTokens: tokens}
	err = pool.withProgram(func(p *client.Program) error {
		result, err := p.InvokeModel(ctx, fmt.Sprintf("call-%d", i), body, func(caller.Delta) {})
		completionTokens = result.Turn.Usage.CompletionTokens
		return err
	})
	return completionTokens, err
}

// pollExchangesPerSecond is the rate at which a dispatcher polls one engine: its load and its cache events every 2 s.
const pollExchangesPerSecond = 1

// measureEngines measures the dispatcher by the number of engines.
func (r *runner) measureEngines(ctx context.Context) error {
	t := r.newTable("engines", "2 idle daemons; one of them polls every engine every 2 s",
		"engines", "CPU % of the dispatcher", "RSS MB", "socket B/s", "with TCP/IP B/s")
	var x, cpu, socket, wire, resident []float64
	for _, n := range []int{2, 20, 60} {
		w, err := r.measureEngineCount(ctx, n)
		if err != nil {
			return err
		}
		x = append(x, float64(n))
		cpu, socket = append(cpu, w.largestValue(sampleCPU)), append(socket, w.largestValue(sampleIO))
		withHeaders := w.largestValue(sampleIO) + TCPIPHeaderBytes(float64(n)*pollExchangesPerSecond)
		wire, resident = append(wire, withHeaders), append(resident, w.largestValue(sampleResident))
		t.addRow(n, w.largestValue(sampleCPU), w.largestValue(sampleResident)/megabyte, w.largestValue(sampleIO), withHeaders)
	}
	t.addNote("slope per engine: %.3f %% of a core, %.0f bytes per second through sockets, %.0f with TCP/IP, %.0f KB of resident memory",
		Fit(x, cpu).Slope, Fit(x, socket).Slope, Fit(x, wire).Slope, Fit(x, resident).Slope/kilobyte)
	return nil
}

func (r *runner) measureEngineCount(ctx context.Context, n int) (Window, error) {
	mf, err := startFleet(ctx, r.binaryDir, layout{dataCentres: 1, daemons: 2, engines: n, engineArgs: fastEngineArgs})
	if err != nil {
		return Window{}, err
	}
	defer mf.close()
	programs, err := createPrograms(ctx, mf.newCaller(), 1, false)
	if err != nil {
		return Window{}, err
	}
	// The first call makes the dispatcher of the group start polling.
	if _, err := streamCall(ctx, newProgramPool(programs), 0, 1); err != nil {
		return Window{}, err
	}
	clock.Sleep(ctx, settleTime)
	return mf.measureWindow(ctx, mf.Daemons, func() { clock.Sleep(ctx, slopeWindow) })
}

const tenantDaemons = 4

// measureTenants measures idle daemons by the number of tenant records.
func (r *runner) measureTenants(ctx context.Context) error {
	mf, err := startFleet(ctx, r.binaryDir, layout{dataCentres: 1, daemons: tenantDaemons, engines: 1, platformWrites: "0"})
	if err != nil {
		return err
	}
	defer mf.close()
	t := r.newTable("tenants", "4 idle daemons; medians of the members, and the coordinator",
		"tenants", "member CPU %", "coord CPU %", "member live heap MB", "member RSS MB", "member socket B/s", "coord socket B/s", "change ms", "CPU ms of a change, all daemons")
	var x, member, coordinator, live []float64
	total := 0
	for _, n := range []int{100, 1000, 4500} {
		if err := mf.addTenants(ctx, total, n); err != nil {
			return err
		}
		total = n
		clock.Sleep(ctx, settleTime)
		w, err := mf.measureWindow(ctx, mf.Daemons, func() { clock.Sleep(ctx, controlWindow) })
		if err != nil {
			return err
		}
		change, cpu, err := mf.measureChangeCost(ctx)
		if err != nil {
			return err
		}
		socket := Median(w.valuesByRole(false, sampleIO))
		x, member = append(x, float64(n)), append(member, socket)
		coordinator = append(coordinator, Median(w.valuesByRole(true, sampleIO)))
		live = append(live, Median(w.valuesByRole(false, sampleLiveHeap)))
		t.addRow(n, Median(w.valuesByRole(false, sampleCPU)), Median(w.valuesByRole(true, sampleCPU)), Median(w.valuesByRole(false, sampleLiveHeap))/megabyte,
			Median(w.valuesByRole(false, sampleResident))/megabyte, socket, Median(w.valuesByRole(true, sampleIO)), change, cpu)
	}
	t.addNote("slope per tenant: %.0f bytes of live heap of a member, %.2f bytes per second of a member, %.2f bytes per second of the coordinator",
		Fit(x, live).Slope, Fit(x, member).Slope, Fit(x, coordinator).Slope)
	return nil
}

// addTenants writes tenant records with several concurrent writers.
func (mf *measuredFleet) addTenants(ctx context.Context, from, to int) error {
	const writers = 8
	errs := make([]error, writers)
	var group sync.WaitGroup
	for w := range writers {
		group.Go(func() {
			for i := from + w; i < to && errs[w] == nil; i += writers {
				errs[w] = mf.addTenant(ctx, i)
			}
		})
	}
	group.Wait()
	return errors.Join(errs...)
}

func tenantName(i int) string { return fmt.Sprintf("organisation-%d", i) }

func tenantKey(i int) string { return "key of " + tenantName(i) }

func (mf *measuredFleet) addTenant(ctx context.Context, i int) error {
	name := tenantName(i)
	document, err := json.Marshal(map[string]any{
		"apiVersion": records.V2,
		"kind":       records.KindTenant,
		"metadata":   map[string]any{"name": name, "generation": 1},
		"spec":       map[string]any{"keyHashes": []string{records.HashKey(tenantKey(i))}, "weight": 1, "maxPrograms": 100},
	})
	if err != nil {
		return err
	}
	decoded, err := records.Decode(document)
	if err != nil {
		return err
	}
	return mf.PutRecord(ctx, decoded[0], 0)
}

// measureChangeCost returns the median duration of a configuration change and its CPU time over all daemons, both in
// ms.
func (mf *measuredFleet) measureChangeCost(ctx context.Context) (ms, cpu float64, err error) {
	before, err := mf.totalCPUTime()
	if err != nil {
		return 0, 0, err
	}
	var times []float64
	for range configChangeCount {
		t, err := mf.measureConfigChange(ctx)
		if err != nil {
			return 0, 0, err
		}
		times = append(times, t)
	}
	after, err := mf.totalCPUTime()
	return Median(times), milliseconds(after-before) / configChangeCount, err
}

func (mf *measuredFleet) totalCPUTime() (time.Duration, error) {
	var total time.Duration
	for _, d := range mf.Daemons {
		u, err := ReadProcessUsage(d.PID())
		if err != nil {
			return 0, err
		}
		total += u.CPUTime
	}
	return total, nil
}

// placeOrder places one non-idempotent order, which waits until its intent is durable.
func placeOrder(ctx context.Context, p *client.Program, key string) error {
	body, err := json.Marshal(map[string]any{"business_key": p.ID + "/" + key})
	if err != nil {
		return err
	}
	_, err = p.InvokeService(ctx, key, caller.ServiceCall{Upstream: fleet.PrinterService, Method: http.MethodPost, Path: "/orders", Body: body})
	return err
}
