package capacity

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"jackdawbay.dev/testbed/fleet"
	"jackdawbay.dev/testbed/standin/platform"
)

// Names of the daemon's metrics that are read.
const (
	metricPeerBytes   = "jackdawbay_peer_bytes_total"
	metricPlatformIn  = "jackdawbay_platform_bytes_in_total"
	metricPlatformOut = "jackdawbay_platform_bytes_out_total"
	metricNextGC      = "go_memstats_next_gc_bytes"
)

// scrape reads the metrics without labels from the operations listener of a daemon.
func scrape(ctx context.Context, d *fleet.Daemon) (map[string]float64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, d.OpsURL+"/metrics", nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "read metrics")
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, errors.Wrap(err, "read metrics")
	}
	return parseMetrics(string(body)), nil
}

func parseMetrics(text string) map[string]float64 {
	values := map[string]float64{}
	for line := range strings.Lines(text) {
		name, value, ok := strings.Cut(strings.TrimSpace(line), " ")
		if !ok || strings.HasPrefix(line, "#") {
			continue
		}
		if v, err := strconv.ParseFloat(value, 64); err == nil {
			values[name] = v
		}
	}
	return values
}

func platformStats(ctx context.Context, f *fleet.Fleet) (platform.Stats, error) {
	var s platform.Stats
	raw, err := f.RequestPlatform(ctx, http.MethodGet, "/control/stats", nil)
	if err != nil {
		return s, err
	}
	return s, json.Unmarshal(raw, &s)
}

// Sample is what a daemon used in a window, a second. Bytes count both directions.
type Sample struct {
	VM                     string
	Coordinator            bool
	CPUPercent             float64 // Per cent of a core.
	ResidentBytes          float64 // Bytes at the end.
	LiveHeapBytes          float64 // Bytes after the last garbage collection.
	PeerBytesPerSecond     float64 // Body bytes to and from daemons.
	PlatformBytesPerSecond float64 // Body bytes to and from the platform.
	IOBytesPerSecond       float64 // All bytes that were read and written, with HTTP headers.
}

// Window is what a fleet used in a window.
type Window struct {
	Seconds              float64
	Samples              []Sample
	WritesPerSecond      float64 // Platform calls a second.
	ReadsPerSecond       float64
	WatchesPerSecond     float64 // Watches begun a second, which are reads too.
	PendingWatches       float64 // Watches that wait at the end.
	RateLimitedPerSecond float64 // Calls a second that the platform refused because of its rate.
}

type counters struct {
	usage   ProcessUsage
	metrics map[string]float64
}

// watch measures daemons while work runs. The metrics are read outside the window, so that their bytes do not count.
func (mf *measuredFleet) measureWindow(ctx context.Context, daemons []*fleet.Daemon, load func()) (Window, error) {
	coordinators, err := mf.coordinators(ctx, daemons)
	if err != nil {
		return Window{}, err
	}
	before := make([]counters, len(daemons))
	for i, d := range daemons {
		if before[i].metrics, err = scrape(ctx, d); err != nil {
			return Window{}, err
		}
	}
	statsBefore, err := platformStats(ctx, mf.Fleet)
	if err != nil {
		return Window{}, err
	}
	for i, d := range daemons {
		if before[i].usage, err = ReadProcessUsage(d.PID()); err != nil {
			return Window{}, err
		}
	}
	start := time.Now()
	load()
	window := time.Since(start)
	after := make([]counters, len(daemons))
	for i, d := range daemons {
		if after[i].usage, err = ReadProcessUsage(d.PID()); err != nil {
			return Window{}, err
		}
	}
	statsAfter, err := platformStats(ctx, mf.Fleet)
	if err != nil {
		return Window{}, err
	}
	w := newWindow(statsBefore, statsAfter, window)
	for i, d := range daemons {
		if after[i].metrics, err = scrape(ctx, d); err != nil {
			return Window{}, err
		}
		s := newSample(before[i], after[i], window)
		s.VM, s.Coordinator = d.VM, coordinators[d.VM]
		w.Samples = append(w.Samples, s)
	}
	return w, nil
}

func newWindow(before, after platform.Stats, window time.Duration) Window {
	rate := func(a, b int64) float64 { return float64(b-a) / window.Seconds() }
	return Window{
		Seconds:              window.Seconds(),
		WritesPerSecond:      rate(before.Writes, after.Writes),
		ReadsPerSecond:       rate(before.Reads, after.Reads),
		WatchesPerSecond:     rate(before.Watches, after.Watches),
		PendingWatches:       float64(after.WatchesWaiting),
		RateLimitedPerSecond: rate(before.RateLimited, after.RateLimited),
	}
}

func newSample(before, after counters, window time.Duration) Sample {
	rate := func(a, b float64) float64 { return (b - a) / window.Seconds() }
	metric := func(name string) float64 { return rate(before.metrics[name], after.metrics[name]) }
	return Sample{
		CPUPercent:    percentOfCore(after.usage.CPUTime-before.usage.CPUTime, window),
		ResidentBytes: after.usage.ResidentBytes,
		// The collector runs next when the heap has doubled, so half of that is what was live.
		LiveHeapBytes:          after.metrics[metricNextGC] / 2,
		PeerBytesPerSecond:     metric(metricPeerBytes),
		PlatformBytesPerSecond: metric(metricPlatformIn) + metric(metricPlatformOut),
		IOBytesPerSecond:       rate(before.usage.IOBytes, after.usage.IOBytes),
	}
}

// pick returns a field of the samples of coordinators or of the other members.
func (w Window) valuesByRole(coordinator bool, field func(Sample) float64) []float64 {
	var values []float64
	for _, s := range w.Samples {
		if s.Coordinator == coordinator {
			values = append(values, field(s))
		}
	}
	return values
}

// sum adds a field of all samples.
func (w Window) sum(field func(Sample) float64) float64 {
	total := 0.0
	for _, s := range w.Samples {
		total += field(s)
	}
	return total
}

// largest returns the largest value of a field of all samples.
func (w Window) largestValue(field func(Sample) float64) float64 {
	largest := 0.0
	for _, s := range w.Samples {
		largest = max(largest, field(s))
	}
	return largest
}

// Fields of a sample.
func sampleCPU(s Sample) float64      { return s.CPUPercent }
func sampleResident(s Sample) float64 { return s.ResidentBytes }
func sampleLiveHeap(s Sample) float64 { return s.LiveHeapBytes }
func sampleIO(s Sample) float64       { return s.IOBytesPerSecond }
func samplePeer(s Sample) float64     { return s.PeerBytesPerSecond }
func samplePlatform(s Sample) float64 { return s.PlatformBytesPerSecond }
