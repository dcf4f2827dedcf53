package replica

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/shoenig/test/must"

	"jackdawbay.dev/core/replica"
)

// slowDisk is a file system on one disk that serves one request at a time and has no cache.
type slowDisk struct {
	DirFS
	mu       sync.Mutex
	syncTime time.Duration
	readTime time.Duration // Time of a read, without its transfer.
	reads    atomic.Int64
}

// readBytesPerSecond is the transfer rate of a slowDisk.
const readBytesPerSecond = 200 << 20

type slowFile struct {
	File
	disk *slowDisk
}

func (d *slowDisk) Create(name string) (File, error) {
	f, err := d.DirFS.Create(name)
	return &slowFile{f, d}, err
}

// SyncDir does nothing: a sync of the machine's own disk would add to the measured times.
func (d *slowDisk) SyncDir() error { return nil }

func (f *slowFile) Sync() error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	time.Sleep(f.disk.syncTime)
	return nil
}

func (f *slowFile) ReadAt(p []byte, offset int64) (int, error) {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	f.disk.reads.Add(1)
	if f.disk.readTime == 0 {
		return f.File.ReadAt(p, offset)
	}
	time.Sleep(f.disk.readTime + time.Duration(len(p))*time.Second/readBytesPerSecond)
	return f.File.ReadAt(p, offset)
}

// runningServer returns a server with a writer that runs until the test ends.
func runningServer(tb testing.TB, fs FileSystem) *Server {
	tb.Helper()
	s, err := New(fs, discardLog(), metrics.NewSet())
	must.NoError(tb, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.RunWriter(ctx) // Ends with the context.
	}()
	tb.Cleanup(func() { cancel(); <-done })
	return s
}

// storeChains stores turns of the given size. The turns of chainTurns consecutive rounds of a program are one chain, and
// the programs take turns, as in the log of a replica under load.
func storeChains(tb testing.TB, s *Server, turns, chainTurns, size int) {
	tb.Helper()
	programs := turns / chainTurns
	contents := bytes.Repeat([]byte("x"), size)
	var ops []Op
	for i := range turns {
		round, program := i/programs, i%programs
		previous := ""
		if round > 0 {
			previous = fmt.Sprintf("p%05d-%d", program, round-1)
		}
		ops = append(ops, Op{Kind: OpStore, RetainMS: 600_000, Turn: &Turn{ID: fmt.Sprintf("p%05d-%d", program, round), Previous: previous, Input: contents}})
		if len(ops) == 256 || i == turns-1 {
			results, _, ok := s.execute(tb.Context(), nil, s.View().Epoch, ops)
			must.True(tb, ok)
			must.False(tb, results[0].Failed)
			ops = nil
		}
	}
}

// BenchmarkCopyRate measures a copy of 5,000 turns of 17 KB in chains of five from one source, while both replicas store
// turns of callers. The disk has a cache, or it serves one request at a time without one and is idle at times or busy.
func BenchmarkCopyRate(b *testing.B) {
	for name, disk := range map[string]copyBenchmark{
		"cache": {turns: 5000, sources: 1, liveWrites: 50},
		"disk":  {turns: 5000, sources: 1, liveWrites: 50, syncTime: 3 * time.Millisecond, readTime: time.Millisecond},
		"busy":  {turns: 5000, sources: 1, liveWrites: 250, syncTime: 5 * time.Millisecond, readTime: 2 * time.Millisecond},
	} {
		b.Run(name, disk.run)
	}
}

// BenchmarkCopy100k measures a copy of 100,000 turns of 17 KB from two sources with busy disks. It writes 5 GB to the temporary
// directory, so it runs only with JACKDAWBAY_LARGE_COPY=1.
func BenchmarkCopy100k(b *testing.B) {
	if os.Getenv("JACKDAWBAY_LARGE_COPY") == "" {
		b.Skip("writes 5 GB; set JACKDAWBAY_LARGE_COPY=1")
	}
	copyBenchmark{turns: 100_000, sources: 2, liveWrites: 50, syncTime: 3 * time.Millisecond, readTime: time.Millisecond}.run(b)
}

// copyBenchmark is a copy from sources that store the same turns.
type copyBenchmark struct {
	turns, sources     int
	syncTime, readTime time.Duration
	liveWrites         time.Duration // Writes of callers at each replica per second.
}

func (c copyBenchmark) run(b *testing.B) {
	const size = 17_000
	var sources []*Server
	var disks []*slowDisk
	for range c.sources {
		disk := &slowDisk{DirFS: DirFS{Dir: b.TempDir()}}
		s := runningServer(b, disk)
		storeChains(b, s, c.turns, 5, size)
		disk.syncTime, disk.readTime = c.syncTime, c.readTime
		sources, disks = append(sources, s), append(disks, disk)
	}
	for b.Loop() {
		target := runningServer(b, &slowDisk{DirFS: DirFS{Dir: b.TempDir()}, syncTime: c.syncTime, readTime: c.readTime})
		to := replica.Member{VM: "target", Disk: target.Disk()}
		v := replica.View{Version: 2, Epoch: 2, Sets: [][]replica.Member{nil, {to}}}
		for i, s := range sources {
			listener := httptest.NewServer(s.Handler())
			defer listener.Close()
			v.Sets[0] = append(v.Sets[0], replica.Member{VM: fmt.Sprint("source", i), Disk: s.Disk(), Address: strings.TrimPrefix(listener.URL, "http://")})
		}
		m := &Membership{Self: to, Server: target, Log: discardLog(), RegionOf: func(dc string) string { return dc }, Client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
		m.Init()
		live, stop := context.WithCancel(b.Context())
		var writers sync.WaitGroup
		var slowest atomic.Int64
		for _, s := range append([]*Server{target}, sources...) {
			must.True(b, s.adopt(b.Context(), v))
			writers.Go(func() {
				tick := time.NewTicker(time.Second / c.liveWrites)
				defer tick.Stop()
				for i := 0; live.Err() == nil; i++ {
					<-tick.C
					turn := &Turn{ID: fmt.Sprint("live", i), Input: bytes.Repeat([]byte("y"), size)}
					start := time.Now()
					_, _, _ = s.execute(live, nil, 2, []Op{{Kind: OpStore, RetainMS: 60_000, Turn: turn}})
					slowest.Store(max(slowest.Load(), int64(time.Since(start))))
				}
			})
		}
		reads := func() (n int64) {
			for _, d := range disks {
				n += d.reads.Load()
			}
			return n
		}
		before, start := reads(), time.Now()
		attempts := 1
		for m.runCopy(b.Context(), v); m.copiedEpoch != v.Epoch && attempts < 20; attempts++ {
			time.Sleep(membershipInterval) // A source that stalls ends an attempt, and the next one resumes.
			m.runCopy(b.Context(), v)
		}
		took := time.Since(start)
		stop()
		writers.Wait()
		must.EqOp(b, v.Epoch, m.copiedEpoch)
		var memory runtime.MemStats
		runtime.ReadMemStats(&memory)
		b.ReportMetric(float64(c.turns)/took.Seconds(), "turns/s")
		b.ReportMetric(float64(c.turns)*size/1e6/took.Seconds(), "MB/s")
		b.ReportMetric(float64(reads()-before), "reads/op")
		b.ReportMetric(float64(attempts), "attempts")
		b.ReportMetric(float64(slowest.Load())/1e6, "slowest-write-ms")
		b.ReportMetric(float64(memory.HeapSys)/1e6, "heap-MB") // Of all replicas together.
	}
}
