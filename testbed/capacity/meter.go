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

// Names of the daemon metrics that are read.
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

// Sample holds the resource usage of a daemon during a window. Byte rates count both directions.
type Sample struct {
	VM                     string
	Coordinator            bool
	CPUPercent             float64 // Percent of one core.
	ResidentBytes          float64 // At the end of the window.
	LiveHeapBytes          float64 // After the last garbage collection.
	PeerBytesPerSecond     float64 // Body bytes from and to other daemons.
	PlatformBytesPerSecond float64 // Body bytes from and to the platform.
	IOBytesPerSecond       float64 // All bytes read and written, including HTTP headers.
}

// Window holds the resource usage of a fleet during a window and the rates of its platform calls.
type Window struct {
	Seconds              float64
	Samples              []Sample
	WritesPerSecond      float64 // Platform calls per second.
	ReadsPerSecond       float64
	WatchesPerSecond     float64 // Started watches per second; each also counts as a read.
	PendingWatches       float64 // Watches that are pending at the end of the window.
	RateLimitedPerSecond float64 // Platform calls per second that were rejected by the rate limit.
}

type counters struct {
	usage   ProcessUsage
	metrics map[string]float64
}

// measureWindow measures daemons while load runs. It reads the metrics outside the window, so that these reads are not
// counted.
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
		// The next collection starts when the heap has doubled, so the live heap is half of the threshold.
		LiveHeapBytes:          after.metrics[metricNextGC] / 2,
		PeerBytesPerSecond:     metric(metricPeerBytes),
		PlatformBytesPerSecond: metric(metricPlatformIn) + metric(metricPlatformOut),
		IOBytesPerSecond:       rate(before.usage.IOBytes, after.usage.IOBytes),
	}
}

// valuesByRole returns a field of the samples of all coordinators, or of all other members.
func (w Window) valuesByRole(coordinator bool, field func(Sample) float64) []float64 {
	var values []float64
	for _, s := range w.Samples {
		if s.Coordinator == coordinator {
			values = append(values, field(s))
		}
	}
	return values
}

// sum returns the sum of a field over all samples.
func (w Window) sum(field func(Sample) float64) float64 {
	total := 0.0
	for _, s := range w.Samples {
		total += field(s)
	}
	return total
}

// largestValue returns the maximum of a field over all samples.
func (w Window) largestValue(field func(Sample) float64) float64 {
	largest := 0.0
	for _, s := range w.Samples {
		largest = max(largest, field(s))
	}
	return largest
}

// sampleCPU and the following functions each return one field of a sample.
func sampleCPU(s Sample) float64      { return s.CPUPercent }
func sampleResident(s Sample) float64 { return s.ResidentBytes }
func sampleLiveHeap(s Sample) float64 { return s.LiveHeapBytes }
func sampleIO(s Sample) float64       { return s.IOBytesPerSecond }
func samplePeer(s Sample) float64     { return s.PeerBytesPerSecond }
func samplePlatform(s Sample) float64 { return s.PlatformBytesPerSecond }
