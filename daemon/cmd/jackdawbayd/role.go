package main

import (
	"bytes"
	"context"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"
	"github.com/thejerf/suture/v4"

	"jackdawbay.dev/daemon/logging"
	store "jackdawbay.dev/daemon/platform"
	"jackdawbay.dev/daemon/site"
	"jackdawbay.dev/daemon/transport"
	"jackdawbay.dev/platform"
)

const (
	// memoryShare is the part of the memory bound at which the collector works harder.
	memoryShare = 0.7
	// storeTimeout bounds one call to the store. Its answers take milliseconds; a silent connection is given up.
	storeTimeout = 800 * time.Millisecond
	// storeKeepAlive is the time between probes of a connection to the store. A watch waits on it for longer than a silent
	// connection may go unnoticed, and calls to the store are priced while probes are not.
	storeKeepAlive = time.Second
	// peerDialTimeout bounds connecting to a replica.
	peerDialTimeout = 400 * time.Millisecond
	// reloadInterval is the time between two looks at the settings file, which may change without a signal.
	reloadInterval = 2 * time.Second
	// collectPercent is the growth of the heap between two collections: there are many gateways, and memory is priced.
	collectPercent = 60
	// replicaCollectPercent is the same for replicas. They are few, and their processor bounds the turns a second of a
	// deployment: at 60, collections took 19% of it.
	replicaCollectPercent = 300
)

// process is what both roles need.
type process struct {
	site     site.Settings
	flags    roleFlags
	log      *slog.Logger
	metrics  *metrics.Set
	store    *store.Client
	tree     *suture.Supervisor
	tolerate atomic.Int64 // Follows the settings file.
}

// duty is one supervised goroutine.
type duty struct {
	name string
	run  func(ctx context.Context) error
}

// Serve implements suture.Service.
func (d duty) Serve(ctx context.Context) error { return d.run(ctx) }

// String names the duty in the supervisor's messages.
func (d duty) String() string { return d.name }

// runRole reads the settings, runs a role until SIGTERM, and returns the exit code.
func runRole(name string, flags roleFlags, start func(ctx context.Context, p *process) error) int {
	writer := logging.NewWriter(os.Stdout)
	defer writer.FlushQueue()
	level := slog.LevelInfo
	if err := level.UnmarshalText([]byte(flags.LogLevel)); err != nil {
		failSettings(errors.Newf("log-level: want debug, info, warn or error, have %q", flags.LogLevel))
	}
	set, err := platform.LoadSettings(platform.SettingsPath())
	if err != nil {
		failSettings(err)
	}
	log := slog.New(logging.NewHandler(writer, level)).With("role", name, "vm", set.VM)
	if set.MaxMemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(set.MaxMemoryBytes)))
	}
	debug.SetGCPercent(collectPercent)
	p := &process{site: set, flags: flags, log: log, metrics: metrics.NewSet()}
	p.tolerate.Store(int64(set.Tolerate))
	p.store = store.NewClient(store.Config{
		BaseURL:         "http://" + set.StoreAddress,
		Transport:       transport.Options{DialTimeout: storeTimeout, KeepAlive: storeKeepAlive},
		Timeout:         storeTimeout,
		WritesPerSecond: set.StoreWritesPerSecond,
		ReadsPerSecond:  set.StoreReadsPerSecond,
		Codec:           platform.StoreCodec{},
	})
	p.metrics.NewGauge(`jackdawbay_store_calls{verb="read"}`, func() float64 { return float64(p.store.Stats.Reads.Load()) })
	p.metrics.NewGauge(`jackdawbay_store_calls{verb="write"}`, func() float64 { return float64(p.store.Stats.Writes.Load()) })
	p.metrics.NewGauge(`jackdawbay_store_calls{verb="watch"}`, func() float64 { return float64(p.store.Stats.Watches.Load()) })
	p.tree = suture.New(name, suture.Spec{EventHook: func(e suture.Event) {
		if e.Type() != suture.EventTypeResume {
			log.Error("duty ended", "event", e.String())
		}
	}})
	root, stopAll := context.WithCancel(context.Background())
	defer stopAll()
	logDone := make(chan struct{})
	go func() {
		defer close(logDone)
		_ = writer.Run(root) // Ends with the context.
	}()
	p.tree.Add(duty{"settings", p.followSettings})
	p.addMetricsPort()
	log.Info("start", "data_centre", set.DataCentre, "region", set.Region, "memory_bytes", set.MaxMemoryBytes, "tolerate", set.Tolerate)
	err = start(root, p)
	if err != nil {
		log.Error("role failed", "error", err)
	}
	log.Info("stop", "store_reads", p.store.Stats.Reads.Load(), "store_writes", p.store.Stats.Writes.Load(), "store_watches", p.store.Stats.Watches.Load())
	stopAll()
	<-logDone
	if err != nil {
		return exitFailed
	}
	return 0
}

// addMetricsPort serves the metrics at the port of the flags. Another process may have the port; the role is worth more than its
// metrics, so it starts without.
func (p *process) addMetricsPort() {
	if p.flags.MetricsPort == 0 {
		return
	}
	address := net.JoinHostPort(p.site.IP, strconv.Itoa(int(p.flags.MetricsPort)))
	l, err := listen(address)
	if err != nil {
		p.log.Warn("metrics are not served at their port", "address", address, "error", err)
		return
	}
	p.tree.Add(serve("metrics port", &http.Server{Handler: p.metricsHandler(), ReadHeaderTimeout: headerTimeout}, l))
}

// metricsHandler serves /metrics and nothing else.
func (p *process) metricsHandler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/metrics", p.writeMetrics)
	return r
}

func (p *process) writeMetrics(w http.ResponseWriter, _ *http.Request) { p.metrics.WritePrometheus(w) }

// terminated returns a context that ends with SIGTERM or an interrupt.
func terminated() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
}

// followSettings reads the settings file again after SIGHUP and when it has changed.
func (p *process) followSettings(ctx context.Context) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	tick := time.NewTicker(reloadInterval)
	defer tick.Stop()
	last, err := os.ReadFile(platform.SettingsPath())
	if err != nil {
		p.log.Warn("settings file cannot be read", "error", err)
	}
	for {
		reason := "changed"
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-hup:
			reason = "signal"
		case <-tick.C:
		}
		raw, err := os.ReadFile(platform.SettingsPath())
		if err != nil {
			p.log.Warn("settings file cannot be read", "error", err)
			continue
		}
		if bytes.Equal(raw, last) && reason != "signal" {
			continue
		}
		last = raw
		set, err := platform.DecodeSettings(raw)
		if err != nil {
			p.log.Error("settings file refused, the settings before stay in force", "error", err)
			continue
		}
		p.tolerate.Store(int64(set.Tolerate))
		p.log.Info("settings reloaded", "reason", reason, "tolerate", set.Tolerate)
	}
}

// listen opens a listener.
func listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	return l, errors.Wrapf(err, "listen at %s", address)
}

// serve runs an HTTP server as a duty.
func serve(name string, server *http.Server, l net.Listener) duty {
	return duty{name, func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { _ = server.Close() }) // The process is ending.
		defer stop()
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return suture.ErrDoNotRestart
	}}
}
