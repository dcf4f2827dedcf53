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

// slopeWindow is the window of a point of a slope.
const slopeWindow = 5 * time.Second

// percentToMicros turns per cent of a core into microseconds of processor time a second.
const percentToMicros = 1e4

// requestSlope measures processor time by rate of calls.
func (r *runner) requestSlope(ctx context.Context, b *bed) error {
	t := r.table("requests", "streamed model calls of 16 tokens on 4 daemons; sums over the daemons",
		"calls/s", "CPU %", "RSS MB", "peer body B/s", "socket B/s", "writes/s", "refused")
	var x, cpu, socket []float64
	for _, rate := range []float64{50, 125, 250, 500} {
		programs, err := createPrograms(ctx, b.caller(), callPrograms, false)
		if err != nil {
			return err
		}
		var result *pacedResult
		w, err := b.watch(ctx, b.Daemons, func() { result = b.through(ctx, programs, rate) })
		if err != nil {
			return err
		}
		endAll(ctx, programs)
		x, cpu, socket = append(x, rate), append(cpu, w.sum(cpuOf)), append(socket, w.sum(socketOf))
		t.add(rate, w.sum(cpuOf), w.sum(residentOf)/megabyte, w.sum(peerOf), w.sum(socketOf), w.WritesPerSecond, fmt.Sprint(result.failed))
	}
	t.note("slope: %.0f us of processor time and %.1f KB through sockets for each call a second", Fit(x, cpu).Slope*percentToMicros, Fit(x, socket).Slope/kilobyte)
	return nil
}

// programs measures memory and processor time by number of programs that rest.
func (r *runner) programs(ctx context.Context) error {
	b, err := startBed(ctx, r.binaries, layout{dataCentres: 1, daemons: 2, engines: 1, daemonArgs: []string{"--max-programs=60000"}})
	if err != nil {
		return err
	}
	defer b.close()
	clock.Sleep(ctx, settle)
	t := r.table("programs", "programs at rest with one turn each, on 2 daemons; sums over the daemons",
		"programs", "live heap MB", "RSS MB", "CPU %", "created and called a second")
	var x, live, resident, cpu []float64
	total := 0
	for _, n := range []int{0, 1000, 5000, 20_000} {
		start := time.Now()
		if _, err := createPrograms(ctx, b.caller(), n-total, true); err != nil {
			return err
		}
		rate := float64(n-total) / time.Since(start).Seconds()
		total = n
		if err := b.collect(ctx); err != nil {
			return err
		}
		clock.Sleep(ctx, time.Second)
		w, err := b.watch(ctx, b.Daemons, func() { clock.Sleep(ctx, slopeWindow) })
		if err != nil {
			return err
		}
		x = append(x, float64(n))
		live, resident, cpu = append(live, w.sum(liveOf)), append(resident, w.sum(residentOf)), append(cpu, w.sum(cpuOf))
		t.add(n, w.sum(liveOf)/megabyte, w.sum(residentOf)/megabyte, w.sum(cpuOf), rate)
	}
	t.note("slope for each program: %.0f bytes of live heap, %.0f bytes of resident memory, %.2f us of processor time a second",
		Fit(x, live).Slope, Fit(x, resident).Slope, Fit(x, cpu).Slope*percentToMicros)
	t.note("Live heap is half of the heap size at which the collector runs next, so it dates from the last collection.")
	return nil
}

// collectReads is how many reads make every daemon of the small fleets allocate more than its live heap, so that its
// collector runs again.
const collectReads = 6000

// collect lets the collectors of the daemons run, so that the live heap that they report is that of now.
func (b *bed) collect(ctx context.Context) error {
	programs, err := createPrograms(ctx, b.caller(), createWorkers, false)
	if err != nil {
		return err
	}
	var group sync.WaitGroup
	for _, p := range programs {
		group.Go(func() {
			for range collectReads / createWorkers {
				// Only the allocations matter, not the answers.
				_, _ = p.Describe(ctx)
			}
		})
	}
	group.Wait()
	endAll(ctx, programs)
	return nil
}

// tokens measures processor time by tokens streamed a second.
func (r *runner) tokens(ctx context.Context) error {
	const callsPerSecond = 40.0
	args := []string{"--speed=20", "--reply-tokens=256"}
	b, err := startBed(ctx, r.binaries, layout{dataCentres: 1, daemons: 4, engines: 4, engineArgs: args})
	if err != nil {
		return err
	}
	defer b.close()
	clock.Sleep(ctx, settle)
	t := r.table("tokens", "streamed model calls at 40 a second on 4 daemons; sums over the daemons",
		"tokens a call", "tokens/s", "CPU %", "socket B/s", "refused")
	var x, cpu, socket []float64
	for _, tokens := range []int{8, 64, 256} {
		programs, err := createPrograms(ctx, b.caller(), 200, false)
		if err != nil {
			return err
		}
		lend := newPool(programs)
		var result *pacedResult
		start := time.Now()
		w, err := b.watch(ctx, b.Daemons, func() {
			result = paced(ctx, callsPerSecond, slopeWindow, func(i int) (int64, error) { return stream(ctx, lend, i, tokens) })
		})
		if err != nil {
			return err
		}
		perSecond := float64(result.value) / time.Since(start).Seconds()
		x, cpu, socket = append(x, perSecond), append(cpu, w.sum(cpuOf)), append(socket, w.sum(socketOf))
		t.add(tokens, perSecond, w.sum(cpuOf), w.sum(socketOf), fmt.Sprint(result.failed))
	}
	t.note("slope: %.1f us of processor time and %.0f bytes through sockets for each token", Fit(x, cpu).Slope*percentToMicros, Fit(x, socket).Slope)
	return nil
}

func stream(ctx context.Context, lend *pool, i, tokens int) (got int64, err error) {
	body := caller.ModelCall{Messages: []caller.Message{{Role: "user", Content: callPrompt}}, MaxTokens: tokens}
	err = lend.with(func(p *client.Program) error {
		result, err := p.InvokeModel(ctx, fmt.Sprintf("call-%d", i), body, func(caller.Delta) {})
		got = result.Turn.Usage.CompletionTokens
		return err
	})
	return got, err
}

// pollExchanges is how often a second a dispatcher asks one engine: its load and its cache events, each 2 s.
const pollExchanges = 1

// engines measures the dispatcher by number of engines.
func (r *runner) engines(ctx context.Context) error {
	t := r.table("engines", "2 daemons at rest; one of them polls every engine each 2 s",
		"engines", "CPU % of the dispatcher", "RSS MB", "socket B/s", "with TCP/IP B/s")
	var x, cpu, socket, wire, resident []float64
	for _, n := range []int{2, 20, 60} {
		w, err := r.enginesAt(ctx, n)
		if err != nil {
			return err
		}
		x = append(x, float64(n))
		cpu, socket = append(cpu, w.largest(cpuOf)), append(socket, w.largest(socketOf))
		withHeaders := w.largest(socketOf) + TCPIPHeaderBytes(float64(n)*pollExchanges)
		wire, resident = append(wire, withHeaders), append(resident, w.largest(residentOf))
		t.add(n, w.largest(cpuOf), w.largest(residentOf)/megabyte, w.largest(socketOf), withHeaders)
	}
	t.note("slope for each engine: %.3f %% of a core, %.0f bytes a second through sockets, %.0f with TCP/IP, %.0f KB of resident memory",
		Fit(x, cpu).Slope, Fit(x, socket).Slope, Fit(x, wire).Slope, Fit(x, resident).Slope/kilobyte)
	return nil
}

func (r *runner) enginesAt(ctx context.Context, n int) (Window, error) {
	b, err := startBed(ctx, r.binaries, layout{dataCentres: 1, daemons: 2, engines: n, engineArgs: fastEngine})
	if err != nil {
		return Window{}, err
	}
	defer b.close()
	programs, err := createPrograms(ctx, b.caller(), 1, false)
	if err != nil {
		return Window{}, err
	}
	// The first call makes the dispatcher of the group begin its polls.
	if _, err := stream(ctx, newPool(programs), 0, 1); err != nil {
		return Window{}, err
	}
	clock.Sleep(ctx, settle)
	return b.watch(ctx, b.Daemons, func() { clock.Sleep(ctx, slopeWindow) })
}

const tenantDaemons = 4

// tenants measures daemons at rest by number of tenant records.
func (r *runner) tenants(ctx context.Context) error {
	b, err := startBed(ctx, r.binaries, layout{dataCentres: 1, daemons: tenantDaemons, engines: 1, writes: "0"})
	if err != nil {
		return err
	}
	defer b.close()
	t := r.table("tenants", "4 daemons at rest; medians of the members, and the coordinator",
		"tenants", "member CPU %", "coord CPU %", "member live heap MB", "member RSS MB", "member socket B/s", "coord socket B/s", "change ms", "CPU ms of a change, all daemons")
	var x, member, coordinator, live []float64
	total := 0
	for _, n := range []int{100, 1000, 4500} {
		if err := b.addTenants(ctx, total, n); err != nil {
			return err
		}
		total = n
		clock.Sleep(ctx, settle)
		w, err := b.watch(ctx, b.Daemons, func() { clock.Sleep(ctx, controlWindow) })
		if err != nil {
			return err
		}
		change, cpu, err := b.costOfChange(ctx)
		if err != nil {
			return err
		}
		socket := Median(w.pick(false, socketOf))
		x, member = append(x, float64(n)), append(member, socket)
		coordinator = append(coordinator, Median(w.pick(true, socketOf)))
		live = append(live, Median(w.pick(false, liveOf)))
		t.add(n, Median(w.pick(false, cpuOf)), Median(w.pick(true, cpuOf)), Median(w.pick(false, liveOf))/megabyte,
			Median(w.pick(false, residentOf))/megabyte, socket, Median(w.pick(true, socketOf)), change, cpu)
	}
	t.note("slope for each tenant: %.0f bytes of live heap of a member, %.2f bytes a second of a member, %.2f bytes a second of the coordinator",
		Fit(x, live).Slope, Fit(x, member).Slope, Fit(x, coordinator).Slope)
	return nil
}

// addTenants writes tenant records with several writers at once.
func (b *bed) addTenants(ctx context.Context, from, to int) error {
	const writers = 8
	failed := make([]error, writers)
	var group sync.WaitGroup
	for w := range writers {
		group.Go(func() {
			for i := from + w; i < to && failed[w] == nil; i += writers {
				failed[w] = b.addTenant(ctx, i)
			}
		})
	}
	group.Wait()
	return errors.Join(failed...)
}

func tenantName(i int) string { return fmt.Sprintf("organisation-%d", i) }

func tenantKey(i int) string { return "key of " + tenantName(i) }

func (b *bed) addTenant(ctx context.Context, i int) error {
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
	list, err := records.Decode(document)
	if err != nil {
		return err
	}
	return b.PutRecord(ctx, list[0], 0)
}

// costOfChange returns the median time of changes and the processor time of one change in all daemons, in ms.
func (b *bed) costOfChange(ctx context.Context) (ms, cpu float64, err error) {
	before, err := b.totalCPU()
	if err != nil {
		return 0, 0, err
	}
	var times []float64
	for range configChanges {
		t, err := b.changeConfiguration(ctx)
		if err != nil {
			return 0, 0, err
		}
		times = append(times, t)
	}
	after, err := b.totalCPU()
	return Median(times), millis(after-before) / configChanges, err
}

func (b *bed) totalCPU() (time.Duration, error) {
	var total time.Duration
	for _, d := range b.Daemons {
		u, err := ReadProcessUsage(d.PID())
		if err != nil {
			return 0, err
		}
		total += u.CPUTime
	}
	return total, nil
}

// order places one non-idempotent order, which has to wait until its intent is durable.
func order(ctx context.Context, p *client.Program, key string) error {
	body, err := json.Marshal(map[string]any{"business_key": p.ID + "/" + key})
	if err != nil {
		return err
	}
	_, err = p.InvokeService(ctx, key, caller.ServiceCall{Upstream: fleet.PrinterService, Method: http.MethodPost, Path: "/orders", Body: body})
	return err
}
