// Package latency measures what faults of the platform add to the latency of calls.
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
	callers       = 4
	callsPerPhase = 150

	// maxOutageRatio is the target: in an outage the added latency of idempotent calls stays below twice that of normal
	// running.
	maxOutageRatio = 2.0
)

func buildBinaries(t *testing.T) string {
	dir := t.TempDir()
	command := exec.Command("go", "build", "-o", dir+"/", "jackdawbay.dev/daemon/cmd/...", "jackdawbay.dev/testbed/cmd/standin")
	command.Dir = filepath.Join("..", "..")
	command.Stderr = os.Stderr
	must.NoError(t, command.Run())
	return dir
}

// Guards against idempotent calls that wait for the platform: the median latency of stock checks and of new programs in an
// outage is compared with that before and after it, in one run.
func TestOutageAddsLittleLatency(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	f, err := fleet.Start(ctx, fleet.Config{
		BinaryDir:   buildBinaries(t),
		Dir:         t.TempDir(),
		DataCentres: []fleet.DataCentre{{Name: "falls-a", Region: "merrimack", DaemonCount: 3, EngineCount: 1}},
	})
	must.NoError(t, err)
	defer f.Close()
	measure(ctx, t, f) // Warms the connections up.
	before := measure(ctx, t, f)
	setOutage(ctx, t, f, true)
	outage := measure(ctx, t, f)
	setOutage(ctx, t, f, false)
	after := measure(ctx, t, f)
	normal := max(before, after)
	t.Logf("median: %v before, %v in the outage, %v after", before, outage, after)
	must.Less(t, time.Duration(maxOutageRatio*float64(normal)), outage)
}

func setOutage(ctx context.Context, t *testing.T, f *fleet.Fleet, on bool) {
	_, err := f.RequestPlatform(ctx, http.MethodPut, "/control/faults", map[string]bool{"outage": on})
	must.NoError(t, err)
}

// measure returns the median latency of stock checks of new programs.
func measure(ctx context.Context, t *testing.T, f *fleet.Fleet) time.Duration {
	var (
		group sync.WaitGroup
		mu    sync.Mutex
		all   []time.Duration
	)
	client := f.NewClient()
	for range callers {
		group.Go(func() {
			p, err := client.Create(ctx, caller.CreateProgram{Model: fleet.ModelName})
			must.NoError(t, err)
			for i := range callsPerPhase {
				start := time.Now()
				_, err := p.InvokeService(ctx, strconv.Itoa(i), caller.ServiceCall{Upstream: fleet.StockCheckService, Method: http.MethodGet, Path: "/stock/m"})
				took := time.Since(start)
				must.NoError(t, err)
				mu.Lock()
				all = append(all, took)
				mu.Unlock()
			}
		})
	}
	group.Wait()
	slices.Sort(all)
	return all[len(all)/2]
}
