package replica

import (
	"bytes"
	"context"
	"fmt"
	"net/http/httptest"
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
			results, _, ok := s.execute(tb.Context(), s.View().Epoch, ops)
			must.True(tb, ok)
			must.False(tb, results[0].Failed)
			ops = nil
		}
	}
}

// BenchmarkCopyRate measures a copy of 5,000 turns of 17 KB in chains of five from one source, while both replicas store
// turns of callers. The disk has a cache, or it serves one request at a time without one and is idle at times or busy.
func BenchmarkCopyRate(b *testing.B) {
	const turns, size = 5000, 17_000
	for name, disk := range map[string]struct {
		syncTime, readTime time.Duration
		liveWrites         time.Duration // Writes per second.
	}{
		"cache": {liveWrites: 50},
		"disk":  {syncTime: 3 * time.Millisecond, readTime: time.Millisecond, liveWrites: 50},
		"busy":  {syncTime: 5 * time.Millisecond, readTime: 2 * time.Millisecond, liveWrites: 250},
	} {
		b.Run(name, func(b *testing.B) {
			sourceDisk, targetDisk := &slowDisk{DirFS: DirFS{Dir: b.TempDir()}}, &slowDisk{DirFS: DirFS{Dir: b.TempDir()}}
			source := runningServer(b, sourceDisk)
			storeChains(b, source, turns, 5, size)
			for _, d := range []*slowDisk{sourceDisk, targetDisk} {
				d.syncTime, d.readTime = disk.syncTime, disk.readTime
			}
			for b.Loop() {
				target := runningServer(b, &slowDisk{DirFS: DirFS{Dir: b.TempDir()}, syncTime: disk.syncTime, readTime: disk.readTime})
				listener := httptest.NewServer(source.Handler())
				from := replica.Member{VM: "source", Disk: source.Disk(), Address: strings.TrimPrefix(listener.URL, "http://")}
				to := replica.Member{VM: "target", Disk: target.Disk()}
				v := replica.View{Version: 2, Epoch: 2, Sets: [][]replica.Member{{from}, {to}}}
				must.True(b, source.adopt(b.Context(), v))
				must.True(b, target.adopt(b.Context(), v))
				m := &Membership{Self: to, Server: target, Log: discardLog(), RegionOf: func(dc string) string { return dc }, Client: listener.Client()}
				m.Init()
				live, stop := context.WithCancel(b.Context())
				var writers sync.WaitGroup
				var slowest atomic.Int64
				for _, s := range []*Server{source, target} {
					writers.Go(func() {
						tick := time.NewTicker(time.Second / disk.liveWrites)
						defer tick.Stop()
						for i := 0; live.Err() == nil; i++ {
							<-tick.C
							turn := &Turn{ID: fmt.Sprint("live", i), Input: bytes.Repeat([]byte("y"), size)}
							start := time.Now()
							_, _, _ = s.execute(live, 2, []Op{{Kind: OpStore, RetainMS: 60_000, Turn: turn}})
							slowest.Store(max(slowest.Load(), int64(time.Since(start))))
						}
					})
				}
				before, start := sourceDisk.reads.Load(), time.Now()
				m.runCopy(b.Context(), v)
				took := time.Since(start)
				stop()
				writers.Wait()
				listener.Close()
				must.EqOp(b, v.Epoch, m.copiedEpoch)
				b.ReportMetric(turns/took.Seconds(), "turns/s")
				b.ReportMetric(turns*size/1e6/took.Seconds(), "MB/s")
				b.ReportMetric(float64(sourceDisk.reads.Load()-before), "reads/op")
				b.ReportMetric(float64(slowest.Load())/1e6, "slowest-write-ms")
			}
		})
	}
}
