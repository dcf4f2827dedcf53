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

	"jackdawbay.dev/core/memory"
	"jackdawbay.dev/core/placement"
	"jackdawbay.dev/daemon/intake"
	"jackdawbay.dev/daemon/logging"
	store "jackdawbay.dev/daemon/platform"
	"jackdawbay.dev/daemon/relay"
	"jackdawbay.dev/daemon/replica"
	"jackdawbay.dev/daemon/site"
	"jackdawbay.dev/daemon/transport"
	"jackdawbay.dev/platform"
)

const (
	// storeTimeout is the timeout of one call to the store, and of connecting to it. The store responds within milliseconds,
	// so a connection without a response for this time is abandoned.
	storeTimeout = 800 * time.Millisecond
	// storeKeepAlive is the interval of keep-alive probes on connections to the store. A watch lasts longer than a failed
	// connection may stay undetected. Probes are used to detect the failure, because calls to the store have a price and
	// probes have none.
	storeKeepAlive = time.Second
	// peerDialTimeout is the timeout of connecting to a replica.
	peerDialTimeout = 400 * time.Millisecond
	// reloadInterval is the interval of reading the settings file, which may change without a signal.
	reloadInterval = 2 * time.Second
	// defaultGCPercent is the heap growth in percent between two garbage collections. It is low because there are many
	// gateways and memory has a price.
	defaultGCPercent = 60
	// replicaGCPercent is the heap growth in percent between two garbage collections of a replica. There are few replicas,
	// and their CPU limits the turns per second of a deployment. At 60, garbage collections took 19% of the CPU time.
	replicaGCPercent = 300
)

// process is the common state of the gateway and replica roles.
type process struct {
	site              site.Settings
	flags             roleFlags
	log               *slog.Logger
	metrics           *metrics.Set
	store             *store.Client
	tree              *suture.Supervisor
	account           *memory.Account // Memory of requests and responses; nil without a memory limit.
	intake            *intake.Intake
	toleratedFailures atomic.Int64 // Number of VMs with a disk that may fail at the same time; updated from the settings file.
}

// supervisedTask is a named goroutine that the supervisor restarts.
type supervisedTask struct {
	name string
	run  func(ctx context.Context) error
}

// Serve implements suture.Service.
func (t supervisedTask) Serve(ctx context.Context) error { return t.run(ctx) }

// String returns the name that the supervisor logs.
func (t supervisedTask) String() string { return t.name }

// runRole reads the settings file, runs a role until SIGTERM or an interrupt, and returns the exit code. It exits if the
// settings are invalid.
func runRole(name string, flags roleFlags, start func(ctx context.Context, p *process) error) int {
	writer := logging.NewWriter(os.Stdout)
	defer writer.FlushQueue()
	level := slog.LevelInfo
	if err := level.UnmarshalText([]byte(flags.LogLevel)); err != nil {
		exitOnInvalidSettings(errors.Newf("log-level: want debug, info, warn or error, have %q", flags.LogLevel))
	}
	if percent := flags.SecondAttemptsPercent; !(percent >= 0 && percent <= 100) {
		exitOnInvalidSettings(errors.Newf("second-attempts-percent: want a number from 0 to 100, have %v", percent))
	}
	siteSettings, err := platform.LoadSettings(platform.SettingsPath())
	if err != nil {
		exitOnInvalidSettings(err)
	}
	log := slog.New(logging.NewHandler(writer, level)).With("role", name, "vm", siteSettings.VM)
	heapLimit := intake.HeapLimit(siteSettings.MaxMemoryBytes)
	if heapLimit > 0 {
		debug.SetMemoryLimit(heapLimit)
	}
	debug.SetGCPercent(defaultGCPercent)
	p := &process{site: siteSettings, flags: flags, log: log, metrics: metrics.NewSet()}
	p.account = intake.NewAccount(heapLimit, flags.CacheBytes, flags.RequestMemory)
	p.intake = intake.New(intake.Config{Account: p.account, BodyTimeout: flags.BodyTimeout, Log: log, Metrics: p.metrics})
	p.toleratedFailures.Store(int64(siteSettings.ToleratedFailures))
	p.store = store.NewClient(store.Config{
		BaseURL:         "http://" + siteSettings.StoreAddress,
		Transport:       transport.Options{DialTimeout: storeTimeout, KeepAlive: storeKeepAlive},
		RequestTimeout:  storeTimeout,
		WritesPerSecond: siteSettings.StoreWritesPerSecond,
		ReadsPerSecond:  siteSettings.StoreReadsPerSecond,
		Codec:           platform.StoreCodec{},
	})
	p.metrics.NewGauge(`jackdawbay_store_calls{verb="read"}`, func() float64 { return float64(p.store.Stats.Reads.Load()) })
	p.metrics.NewGauge(`jackdawbay_store_calls{verb="write"}`, func() float64 { return float64(p.store.Stats.Writes.Load()) })
	p.metrics.NewGauge(`jackdawbay_store_calls{verb="watch"}`, func() float64 { return float64(p.store.Stats.Watches.Load()) })
	p.tree = suture.New(name, suture.Spec{EventHook: func(e suture.Event) {
		if e.Type() != suture.EventTypeResume {
			log.Error("supervised task ended", "event", e.String())
		}
	}})
	root, stopAll := context.WithCancel(context.Background())
	defer stopAll()
	logDone := make(chan struct{})
	go func() {
		defer close(logDone)
		_ = writer.Run(root) // Ends with the context.
	}()
	p.tree.Add(supervisedTask{"settings", p.watchSettings})
	p.addMetricsPort()
	log.Info("start", "data_centre", siteSettings.DataCentre, "region", siteSettings.Region, "memory_bytes", siteSettings.MaxMemoryBytes, "tolerate", siteSettings.ToleratedFailures)
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

// newMirror returns the copy of the store's objects that this process reads from the replicas, or from the store if no replica
// has them. The function onSuspicions is called with upstreams that several VMs cannot reach; it may be nil.
func (p *process) newMirror(kinds []string, onSuspicions func(suspected []placement.Process)) *relay.Mirror {
	return relay.NewMirror(relay.MirrorConfig{
		VM: p.site.VM, Store: store.StoreFollower{Store: p.store}, Region: p.site.Region, RegionOf: p.site.RegionOf,
		Client:        transport.NewClient(transport.Options{DialTimeout: peerDialTimeout}),
		CandidateKind: replica.RegistrationKind, DecodeCandidates: replica.RelayCandidates, OnSuspicions: onSuspicions,
		Log: p.log, Metrics: p.metrics,
	}, kinds)
}

// maxHeaderBytes is the limit of a request head. It is four times the limit that the users' configurations set for callers.
const maxHeaderBytes = 64 << 10

// newServer returns an HTTP server for one of the listeners of the process.
func (p *process) newServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: p.flags.HeaderTimeout, MaxHeaderBytes: maxHeaderBytes}
}

// maxOpsConnections is the limit of connections for readiness checks and metrics. Few systems ask for them.
const maxOpsConnections = 16

// opsTask returns a task that serves readiness checks or metrics on a listener.
func (p *process) opsTask(name string, handler http.Handler, l intake.Listener) supervisedTask {
	server := p.newServer(handler)
	connections := intake.NewConnections(name, maxOpsConnections, p.account, p.log, p.metrics)
	return serverTask(name, server, connections.Attach(server, l, nil))
}

// limitConnections limits the connections of the server for clients. It calls the next hook for http.Server.ConnState, which may be
// nil. The server must serve the listener that is returned.
func (p *process) limitConnections(server *http.Server, l intake.Listener, next func(net.Conn, http.ConnState)) (*intake.Connections, net.Listener) {
	limit := p.flags.MaxConnections
	if limit <= 0 {
		limit = intake.MaxConnections(p.site.MaxFDs, p.site.MaxMemoryBytes)
	}
	connections := intake.NewConnections("clients", limit, p.account, p.log, p.metrics)
	return connections, connections.Attach(server, l, next)
}

// addMetricsPort serves the metrics at the port of the flag --metrics-port, if it is set. If another process uses the port,
// the role starts without it, since the role is more important than its metrics.
func (p *process) addMetricsPort() {
	if p.flags.MetricsPort == 0 {
		return
	}
	address := net.JoinHostPort(p.site.IP, strconv.Itoa(int(p.flags.MetricsPort)))
	l, err := intake.Listen(address, intake.CallerBuffers)
	if err != nil {
		p.log.Warn("metrics are not served at their port", "address", address, "error", err)
		return
	}
	p.tree.Add(p.opsTask("metrics_port", p.metricsHandler(), l))
}

// metricsHandler serves /metrics and nothing else.
func (p *process) metricsHandler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/metrics", p.writeMetrics)
	return r
}

func (p *process) writeMetrics(w http.ResponseWriter, _ *http.Request) { p.metrics.WritePrometheus(w) }

// notifyTermination returns a context that ends on SIGTERM or an interrupt.
func notifyTermination() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
}

// watchSettings reloads the settings file after SIGHUP and when its content has changed. Only the number of tolerated
// failures is applied.
func (p *process) watchSettings(ctx context.Context) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	tick := time.NewTicker(reloadInterval)
	defer tick.Stop()
	lastContent, err := os.ReadFile(platform.SettingsPath())
	if err != nil {
		p.log.Warn("cannot read settings file", "error", err)
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
			p.log.Warn("cannot read settings file", "error", err)
			continue
		}
		if bytes.Equal(raw, lastContent) && reason != "signal" {
			continue
		}
		lastContent = raw
		reloaded, err := platform.DecodeSettings(raw)
		if err != nil {
			p.log.Error("settings file is invalid; the previous settings stay in force", "error", err)
			continue
		}
		p.toleratedFailures.Store(int64(reloaded.ToleratedFailures))
		p.log.Info("settings reloaded", "reason", reason, "tolerate", reloaded.ToleratedFailures)
	}
}

// serverTask returns a task that serves HTTP on a listener until its context ends.
func serverTask(name string, server *http.Server, l net.Listener) supervisedTask {
	return supervisedTask{name, func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { _ = server.Close() }) // The process is ending.
		defer stop()
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return suture.ErrDoNotRestart
	}}
}
