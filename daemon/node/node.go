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
	"jackdawbay.dev/core/program"
	"jackdawbay.dev/daemon/clock"
	"jackdawbay.dev/daemon/cluster"
	"jackdawbay.dev/daemon/config"
	"jackdawbay.dev/daemon/dispatch"
	"jackdawbay.dev/daemon/grants"
	"jackdawbay.dev/daemon/ingress"
	"jackdawbay.dev/daemon/peer"
	"jackdawbay.dev/daemon/platform"
	"jackdawbay.dev/daemon/transport"
	"jackdawbay.dev/daemon/upstream"
)

// Settings are the checked settings of a daemon.
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
	PlatformWritesPerSecond float64 // Writes a second that this daemon may make.
	PlatformReadsPerSecond  float64
	FleetWritesPerSecond    float64 // Writes a second that the platform takes from all daemons together.
	MaxPrograms             int
	Journal                 journal.WriterConfig
	Ingress                 ingress.Config
}

// Node is one daemon.
type Node struct {
	set     Settings
	log     *slog.Logger
	store   *platform.Client
	peers   *peer.Client
	engines *upstream.EngineClient
	agent   *cluster.Agent
	config  *config.Agent
	pool    *dispatch.Pool
	ingress *ingress.Server
	metrics *metrics.Set
	calls   *ingress.Metrics
	slots   *heldSlots
	sites   *siteTable
	grants  *grants.Manager

	caller, peer, ops *http.Server
	listeners         [3]net.Listener
}

const dialTimeout = 2 * time.Second

// New builds a daemon. It opens its listeners, so that a port in use is reported at once.
func New(set Settings, log *slog.Logger) (*Node, error) {
	log = log.With("vm", set.VM, "data_centre", set.DataCentre)
	options := transport.Options{SourceAddress: set.SourceAddress, DialTimeout: dialTimeout}
	n := &Node{set: set, log: log, metrics: metrics.NewSet(), slots: newHeldSlots(), sites: newSiteTable()}
	if err := n.listen(); err != nil {
		return nil, err
	}
	if _, port, err := net.SplitHostPort(set.PeerAddress); err == nil && port == "0" {
		set.PeerAddress = n.listeners[1].Addr().String()
	}
	n.store = platform.NewClient(platform.Config{
		BaseURL:         set.PlatformURL,
		Key:             set.PlatformKey,
		Transport:       options,
		Timeout:         set.PlatformTimeout,
		WritesPerSecond: set.PlatformWritesPerSecond,
		ReadsPerSecond:  set.PlatformReadsPerSecond,
		ReadRetries:     2,
	})
	n.peers = peer.NewClient(set.PeerKeys, options)
	signer := newSigner(set.PeerKeys)
	n.engines = upstream.NewEngineClient(set.UpstreamKey, options)
	n.config = config.NewAgent(n.store, n.peers, log)
	n.agent = cluster.New(cluster.Config{
		VM:          set.VM,
		DataCentre:  set.DataCentre,
		PeerAddress: set.PeerAddress,
		Signer:      signer,
		Journal:     set.Journal,
		MaxPrograms: set.MaxPrograms,
	}, n.store, n.peers, log, n.programsEnded, n.config.Digest)
	n.config.SetCluster(n.agent)
	n.agent.OnConfigMismatch(n.config.SyncFromPeer)
	n.agent.OnMembersRemoved(n.membersGone)
	n.agent.OnPlatformRestored(n.config.Relist)
	n.pool = dispatch.NewPool(dispatch.Config{DataCentre: set.DataCentre, PollInterval: set.PollInterval, EndedPrograms: n.gone},
		n.config.RecordSet, n.term, n.engines, log)
	members := func() int { return len(n.agent.Roster().Members) }
	n.grants = grants.NewManager(set.DataCentre, n.store, n.config.RecordSet, members, log)
	n.calls = ingress.NewMetrics(n.metrics)
	set.Ingress.DataCentre = set.DataCentre
	r := &router{node: n}
	n.ingress = ingress.New(set.Ingress, ingress.Dependencies{
		Records:  n.config.RecordSet,
		Owners:   r,
		Slots:    r,
		Streams:  r,
		Engines:  n.engines,
		Services: upstream.NewServiceClient(set.UpstreamKey, options),
		Signer:   signer,
		Metrics:  n.calls,
		Log:      log,
	})
	n.buildServers(r)
	return n, nil
}

// newSigner derives the keys of receipts from the keys of the peer listener, which all daemons share.
func newSigner(keys []string) *program.Signer {
	list := make([][]byte, 0, len(keys))
	for _, k := range keys {
		list = append(list, []byte("receipt "+k))
	}
	return program.NewSigner(list...)
}

func (n *Node) term() uint64 { return n.agent.Roster().Term }

// headerTimeout bounds how long a connection may take to send its headers.
const headerTimeout = 10 * time.Second

func (n *Node) buildServers(r *router) {
	n.caller = &http.Server{Handler: n.ingress.Handler(), ReadHeaderTimeout: headerTimeout}
	n.peer = &http.Server{Handler: n.peerHandler(r), ReadHeaderTimeout: headerTimeout}
	n.ops = &http.Server{Handler: n.opsHandler(), ReadHeaderTimeout: headerTimeout}
}

func (n *Node) listen() error {
	for i, address := range []string{n.set.CallerListen, n.set.PeerListen, n.set.OpsListen} {
		l, err := net.Listen("tcp", address)
		if err != nil {
			n.closeListeners()
			return errors.Wrapf(err, "listen on %s", address)
		}
		n.listeners[i] = l
	}
	return nil
}

func (n *Node) closeListeners() {
	for _, l := range n.listeners {
		if l != nil {
			// The listener is not used any more.
			_ = l.Close()
		}
	}
}

// Addresses returns the addresses of the caller, peer and operations listeners.
func (n *Node) Addresses() (callers, peers, ops string) {
	return n.listeners[0].Addr().String(), n.listeners[1].Addr().String(), n.listeners[2].Addr().String()
}

// service adapts a function to the supervisor.
type service struct {
	name string
	run  func(context.Context) error
}

// Serve implements suture.Service.
func (s service) Serve(ctx context.Context) error { return s.run(ctx) }

// String names the service in the supervisor's events.
func (s service) String() string { return s.name }

// Run serves until the context ends, then stops in a planned way: it takes no new work, hands its shards over, finishes
// the calls under way within the stop timeout, and closes its listeners.
func (n *Node) Run(ctx context.Context) error {
	top := suture.New("jackdawbayd", suture.Spec{EventHook: n.supervisorEvent})
	workers := suture.NewSimple("workers")
	for _, s := range []service{
		{"membership", n.agent.Run},
		{"config", n.config.Run},
		{"dispatch", n.pool.Run},
		{"status", n.runStatus},
		{"maintenance", n.runMaintenance},
		{"models", n.runModels},
		{"vm-list", n.runVMList},
		{"checkpoints", n.agent.RunCheckpoints},
	} {
		workers.Add(s)
	}
	servers := suture.NewSimple("listeners")
	for i, s := range []*http.Server{n.caller, n.peer, n.ops} {
		servers.Add(service{"listener", func(context.Context) error { return serve(s, n.listeners[i]) }})
	}
	top.Add(workers)
	top.Add(servers)
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	done := top.ServeBackground(runCtx)
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

func (n *Node) supervisorEvent(e suture.Event) {
	n.log.Error("supervisor event", "event", e.String())
}

// stop carries out the planned stop.
func (n *Node) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), n.set.StopTimeout)
	defer cancel()
	start := time.Now()
	n.log.Info("stopping")
	n.agent.Leave(ctx)
	n.log.Info("shards handed over", "ms", time.Since(start).Milliseconds())
	// The balancer notices the failed readiness check within the drain delay. Until then calls are still taken.
	clock.Sleep(ctx, n.set.DrainDelay)
	n.ingress.StopAccepting()
	if err := n.ingress.WaitForCalls(ctx); err != nil {
		n.log.Warn("calls were still under way at the stop timeout")
	}
	n.grants.ReturnUnspent(ctx)
	for _, s := range []*http.Server{n.caller, n.peer, n.ops} {
		if err := s.Shutdown(ctx); err != nil {
			n.log.Warn("listener was closed with requests under way", "error", err)
			// The process exits now; nothing can use the connections.
			_ = s.Close()
		}
	}
	n.log.Info("stopped", "ms", time.Since(start).Milliseconds())
}

// programsEnded releases the cache of ended programs at every dispatcher of the data centre.
func (n *Node) programsEnded(list []program.EndedProgram) {
	for _, e := range list {
		n.calls.ProgramEnded(e.Tenant, e.Class, e.Took, e.Turns)
		n.log.Info("program ended", "program", e.Program, "reason", e.Reason)
	}
	go n.releaseCaches(list)
}

func (n *Node) membersGone(incarnations []string) {
	for _, i := range incarnations {
		n.pool.ReleaseIngressSlots(i)
	}
}
