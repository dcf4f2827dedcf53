// Package latency measures the call latency that platform faults add.
package latency

import (
	"context"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"jackdawbay.dev/api/caller"
	"jackdawbay.dev/testbed/fleet"
)

const (
	concurrentCallers = 4
	callsPerCaller    = 150

	// maxOutageLatencyRatio is the target: during an outage the median latency of idempotent calls stays below twice
	// the median latency in normal operation.
	maxOutageLatencyRatio = 2.0
)

func buildBinaries(t *testing.T) string {
	dir := t.TempDir()
	command := exec.Command("go", "build", "-o", dir+"/", "jackdawbay.dev/daemon/cmd/...", "jackdawbay.dev/testbed/cmd/standin")
	command.Dir = filepath.Join("..", "..")
	command.Stderr = os.Stderr
	must.NoError(t, command.Run())
	return dir
}

// Guards against idempotent calls that wait for the platform. The median latency of stock checks of new programs during
// an outage is compared with the median before and after it in the same run.
func TestOutageLatencyRatio(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	f, err := fleet.Start(ctx, fleet.Config{
		BinaryDir:   buildBinaries(t),
		Dir:         t.TempDir(),
		DataCentres: []fleet.DataCentre{{Name: "falls-a", Region: "merrimack", DaemonCount: 3, EngineCount: 1}},
	})
	must.NoError(t, err)
	defer f.Close()
	measureMedianLatency(ctx, t, f) // Warms up the connections.
	before := measureMedianLatency(ctx, t, f)
	setOutage(ctx, t, f, true)
	outage := measureMedianLatency(ctx, t, f)
	setOutage(ctx, t, f, false)
	after := measureMedianLatency(ctx, t, f)
	normal := max(before, after)
	t.Logf("median latency: %v before, %v during, %v after the outage", before, outage, after)
	must.Less(t, time.Duration(maxOutageLatencyRatio*float64(normal)), outage)
}

func setOutage(ctx context.Context, t *testing.T, f *fleet.Fleet, on bool) {
	_, err := f.RequestPlatform(ctx, http.MethodPut, "/control/faults", map[string]bool{"outage": on})
	must.NoError(t, err)
}

// measureMedianLatency returns the median latency of stock checks of new programs.
func measureMedianLatency(ctx context.Context, t *testing.T, f *fleet.Fleet) time.Duration {
	var (
		group     sync.WaitGroup
		mu        sync.Mutex
		latencies []time.Duration
	)
	client := f.NewClient()
	for range concurrentCallers {
		group.Go(func() {
			p, err := client.Create(ctx, caller.CreateProgram{Model: fleet.ModelName})
			must.NoError(t, err)
			for i := range callsPerCaller {
				start := time.Now()
				_, err := p.InvokeService(ctx, strconv.Itoa(i), caller.ServiceCall{Upstream: fleet.StockCheckService, Method: http.MethodGet, Path: "/stock/m"})
				elapsed := time.Since(start)
				must.NoError(t, err)
				mu.Lock()
				latencies = append(latencies, elapsed)
				mu.Unlock()
			}
		})
	}
	group.Wait()
	slices.Sort(latencies)
	return latencies[len(latencies)/2]
}
