// Package node assembles a daemon: the supervisor tree, the listeners, and the routing between ingress, owner and
// dispatcher.
package node

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/thejerf/suture/v4"

	"jackdawbay.dev/core/journal"
	"jackdawbay.dev/core/memory"
	"jackdawbay.dev/core/program"
	"jackdawbay.dev/daemon/clock"
	"jackdawbay.dev/daemon/cluster"
	"jackdawbay.dev/daemon/config"
	"jackdawbay.dev/daemon/dispatch"
	"jackdawbay.dev/daemon/grants"
	"jackdawbay.dev/daemon/ingress"
	"jackdawbay.dev/daemon/intake"
	"jackdawbay.dev/daemon/peer"
	"jackdawbay.dev/daemon/platform"
	"jackdawbay.dev/daemon/transport"
	"jackdawbay.dev/daemon/upstream"
)

// Settings are the validated settings of a daemon.
type Settings struct {
	VM            string
	DataCentre    string
	CallerListen  string
	PeerListen    string
	PeerAddress   string // Address of the peer listener as other daemons reach it.
	OpsListen     string
	SourceAddress string
	PlatformURL   string
	PlatformKey   string
	PeerKeys      []string
	UpstreamKey   string
	StopTimeout   time.Duration
	DrainDelay    time.Duration
	PollInterval  time.Duration

	PlatformTimeout         time.Duration
	PlatformWritesPerSecond float64 // Maximum rate of platform writes of this daemon.
	PlatformReadsPerSecond  float64
	FleetWritesPerSecond    float64 // Maximum rate of platform writes of all daemons together.
	MaxPrograms             int

	MemoryBytes int64         // Memory of the daemon; zero sets no limit.
	MaxFDs      int           // File descriptors of the daemon; zero sets no limit.
	BodyTimeout time.Duration // Time without a byte of a request body after which it is ended; zero sets no limit.

	Journal journal.WriterConfig
	Ingress ingress.Config
}

// Node is one daemon.
type Node struct {
	settings        Settings
	log             *slog.Logger
	store           *platform.Client
	peers           *peer.Client
	engines         *upstream.EngineClient
	agent           *cluster.Agent
	config          *config.Agent
	pool            *dispatch.Pool
	ingress         *ingress.Server
	metrics         *metrics.Set
	callMetrics     *ingress.Metrics
	slotDispatchers *slotDispatchers
	dataCentreLoads *loadTable
	grants          *grants.Manager
	account         *memory.Account
	intake          *intake.Intake

	caller, peer, ops *http.Server
	listeners         [3]intake.Listener
	attached          [3]net.Listener // The listeners with the limits of connections.
}

const dialTimeout = 2 * time.Second

// responseMemoryDivisor is the share of the memory that responses of engines, services and other daemons hold while they are read, as
// the divisor of the memory. The account of the requests has at most half of it.
const responseMemoryDivisor = 4

// New builds a daemon. It opens the listeners of the daemon, so that a port in use is reported at once.
func New(settings Settings, log *slog.Logger) (*Node, error) {
	log = log.With("vm", settings.VM, "data_centre", settings.DataCentre)
	options := transport.Options{SourceAddress: settings.SourceAddress, DialTimeout: dialTimeout}
	options.Responses = transport.NewBudget(settings.MemoryBytes / responseMemoryDivisor)
	n := &Node{settings: settings, log: log, metrics: metrics.NewSet(), slotDispatchers: newSlotDispatchers(), dataCentreLoads: newLoadTable()}
	n.account = intake.NewAccount(intake.HeapLimit(settings.MemoryBytes), 0, 0)
	n.intake = intake.New(intake.Config{Account: n.account, BodyTimeout: settings.BodyTimeout, Log: log, Metrics: n.metrics})
	if err := n.listen(); err != nil {
		return nil, err
	}
	if _, port, err := net.SplitHostPort(settings.PeerAddress); err == nil && port == "0" {
		settings.PeerAddress = n.listeners[1].Addr().String()
	}
	n.store = platform.NewClient(platform.Config{
		BaseURL:         settings.PlatformURL,
		Key:             settings.PlatformKey,
		Transport:       options,
		RequestTimeout:  settings.PlatformTimeout,
		WritesPerSecond: settings.PlatformWritesPerSecond,
		ReadsPerSecond:  settings.PlatformReadsPerSecond,
		ReadRetries:     2,
	})
	n.peers = peer.NewClient(settings.PeerKeys, options)
	signer := newSigner(settings.PeerKeys)
	n.engines = upstream.NewEngineClient(settings.UpstreamKey, options)
	n.config = config.NewAgent(n.store, n.peers, log)
	n.agent = cluster.New(cluster.Config{
		VM:          settings.VM,
		DataCentre:  settings.DataCentre,
		PeerAddress: settings.PeerAddress,
		Signer:      signer,
		Journal:     settings.Journal,
		MaxPrograms: settings.MaxPrograms,
	}, n.store, n.peers, log, n.programsEnded, n.config.Digest)
	n.config.SetCluster(n.agent)
	n.agent.OnConfigMismatch(n.config.SyncFromPeer)
	n.agent.OnMembersRemoved(n.membersRemoved)
	n.agent.OnPlatformRestored(n.config.Relist)
	n.pool = dispatch.NewPool(dispatch.Config{DataCentre: settings.DataCentre, PollInterval: settings.PollInterval, EndedPrograms: n.findEndedPrograms},
		n.config.RecordSet, n.term, n.engines, log)
	members := func() int { return len(n.agent.Roster().Members) }
	n.grants = grants.NewManager(settings.DataCentre, n.store, n.config.RecordSet, members, log)
	n.callMetrics = ingress.NewMetrics(n.metrics)
	settings.Ingress.DataCentre = settings.DataCentre
	r := &router{node: n}
	n.ingress = ingress.New(settings.Ingress, ingress.Dependencies{
		Records:  n.config.RecordSet,
		Owners:   r,
		Slots:    r,
		Streams:  r,
		Engines:  n.engines,
		Services: upstream.NewServiceClient(settings.UpstreamKey, options),
		Signer:   signer,
		Metrics:  n.callMetrics,
		Log:      log,
		Intake:   n.intake,
	})
	n.buildServers(r)
	return n, nil
}

// newSigner derives the keys for receipts from the keys of the peer listener, which all daemons share.
func newSigner(keys []string) *program.Signer {
	secrets := make([][]byte, 0, len(keys))
	for _, k := range keys {
		secrets = append(secrets, []byte("receipt "+k))
	}
	return program.NewSigner(secrets...)
}

func (n *Node) term() uint64 { return n.agent.Roster().Term }

// Limits of the listeners.
const (
	// headerTimeout bounds how long a connection may take to send the headers of a request.
	headerTimeout  = 10 * time.Second
	maxHeaderBytes = 64 << 10
	// callerShare and peerShare are the shares of the connections of the daemon.
	callerShare, peerShare = 0.75, 0.25
	// maxOpsConnections is the limit for health checks and metrics. Few systems ask for them.
	maxOpsConnections = 16
)

func (n *Node) buildServers(r *router) {
	limit := func(share float64) int {
		return intake.MaxConnections(int(share*float64(n.settings.MaxFDs)), int64(share*float64(n.settings.MemoryBytes)))
	}
	n.caller = n.newServer(0, "callers", limit(callerShare), n.ingress.Handler())
	n.peer = n.newServer(1, "peers", limit(peerShare), n.newPeerHandler(r))
	n.ops = n.newServer(2, "ops", maxOpsConnections, n.newOpsHandler())
}

// newServer returns a server for one of the listeners.
func (n *Node) newServer(i int, name string, maxConnections int, handler http.Handler) *http.Server {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes}
	n.attached[i] = intake.NewConnections(name, maxConnections, n.account, n.log, n.metrics).Attach(server, n.listeners[i], nil)
	return server
}

func (n *Node) listen() error {
	for i, l := range []struct {
		address string
		buffers intake.Buffers
	}{
		{n.settings.CallerListen, intake.CallerBuffers}, {n.settings.PeerListen, intake.PeerBuffers}, {n.settings.OpsListen, intake.CallerBuffers},
	} {
		opened, err := intake.Listen(l.address, l.buffers)
		if err != nil {
			n.closeListeners()
			return err
		}
		n.listeners[i] = opened
	}
	return nil
}

func (n *Node) closeListeners() {
	for _, l := range n.listeners {
		if l.Listener != nil {
			// The listener is no longer used.
			_ = l.Close()
		}
	}
}

// Addresses returns the addresses of the caller, peer and operations listeners.
func (n *Node) Addresses() (callers, peers, ops string) {
	return n.listeners[0].Addr().String(), n.listeners[1].Addr().String(), n.listeners[2].Addr().String()
}

// supervisedTask is a named goroutine that the supervisor restarts.
type supervisedTask struct {
	name string
	run  func(context.Context) error
}

// Serve implements suture.Service.
func (s supervisedTask) Serve(ctx context.Context) error { return s.run(ctx) }

// String returns the name that the supervisor logs.
func (s supervisedTask) String() string { return s.name }

// Run serves until the context ends and then performs a planned stop: it accepts no new work, hands its shards over,
// finishes the calls in flight within the stop timeout, and closes its listeners.
func (n *Node) Run(ctx context.Context) error {
	supervisor := suture.New("jackdawbayd", suture.Spec{EventHook: n.logSupervisorEvent})
	workers := suture.NewSimple("workers")
	for _, s := range []supervisedTask{
		{"membership", n.agent.Run},
		{"config", n.config.Run},
		{"dispatch", n.pool.Run},
		{"status", n.runStatus},
		{"maintenance", n.runMaintenance},
		{"models", n.runModelPlanner},
		{"vm-list", n.runVMList},
		{"checkpoints", n.agent.RunCheckpoints},
	} {
		workers.Add(s)
	}
	servers := suture.NewSimple("listeners")
	for i, s := range []*http.Server{n.caller, n.peer, n.ops} {
		servers.Add(supervisedTask{"listener", func(context.Context) error { return serve(s, n.attached[i]) }})
	}
	supervisor.Add(workers)
	supervisor.Add(servers)
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	done := supervisor.ServeBackground(runCtx)
	<-ctx.Done()
	n.stop()
	cancel()
	<-done
	return nil
}

func serve(s *http.Server, l net.Listener) error {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve")
	}
	return suture.ErrDoNotRestart
}

func (n *Node) logSupervisorEvent(e suture.Event) {
	n.log.Error("supervisor event", "event", e.String())
}

// stop performs the planned stop.
func (n *Node) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.StopTimeout)
	defer cancel()
	start := time.Now()
	n.log.Info("stopping")
	n.agent.Leave(ctx)
	n.log.Info("shards handed over", "ms", time.Since(start).Milliseconds())
	// The load balancer detects the failed readiness check within the drain delay. Until then, calls are still
	// accepted.
	clock.Sleep(ctx, n.settings.DrainDelay)
	n.ingress.StopAccepting()
	if err := n.ingress.WaitForCalls(ctx); err != nil {
		n.log.Warn("calls were still under way at the stop timeout")
	}
	n.grants.ReturnUnspent(ctx)
	for _, s := range []*http.Server{n.caller, n.peer, n.ops} {
		if err := s.Shutdown(ctx); err != nil {
			n.log.Warn("listener was closed with requests under way", "error", err)
			// The process exits now, so no one can use the connections any more.
			_ = s.Close()
		}
	}
	n.log.Info("stopped", "ms", time.Since(start).Milliseconds())
}

// programsEnded records ended programs and releases their cache at every dispatcher of the data centre.
func (n *Node) programsEnded(ended []program.EndedProgram) {
	for _, e := range ended {
		n.callMetrics.ObserveProgram(e.Tenant, e.Class, e.Took, e.Turns)
		n.log.Info("program ended", "program", e.Program, "reason", e.Reason)
	}
	go n.releaseCaches(ended)
}

func (n *Node) membersRemoved(incarnations []string) {
	for _, i := range incarnations {
		n.pool.ReleaseIngressSlots(i)
	}
}
