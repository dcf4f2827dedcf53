// Package dispatch runs the dispatchers of the engine groups for which this daemon is responsible. It feeds them with load
// reports and cache events, hands out slots, and gives the orders that release cache.
package dispatch

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"jackdawbay.dev/api/errkind"
	"jackdawbay.dev/api/records"
	"jackdawbay.dev/daemon/peer"
	"jackdawbay.dev/daemon/upstream"
)

// Config describes a Pool.
type Config struct {
	DataCentre   string
	PollInterval time.Duration // Time between two reads of an engine's load and cache events.

	// Gone returns those programs that certainly do not run any more.
	EndedPrograms func(ctx context.Context, programs []string) []string
}

// Records returns the records in force.
type Records func() *records.Set

// Term returns the roster term, which orders carry as their fencing token.
type Term func() uint64

// Pool holds one group for each engine group that it was asked for. It is safe for concurrent use.
type Pool struct {
	cfg     Config
	records Records
	term    Term
	engines *upstream.EngineClient
	log     *slog.Logger

	mu      sync.Mutex
	groups  map[string]*group
	leaving map[string]bool // Addresses of VMs that are said to be leaving.
	ctx     context.Context
}

// NewPool returns an empty pool.
func NewPool(cfg Config, set Records, term Term, engines *upstream.EngineClient, log *slog.Logger) *Pool {
	return &Pool{cfg: cfg, records: set, term: term, engines: engines, log: log, groups: map[string]*group{}}
}

// Run polls the engines of the groups until the context ends.
func (p *Pool) Run(ctx context.Context) error {
	p.mu.Lock()
	p.ctx = ctx
	p.mu.Unlock()
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-tick.C:
			for _, g := range p.all() {
				g.tick(now)
			}
		}
	}
}

const tickInterval = 50 * time.Millisecond

func (p *Pool) all() []*group {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]*group, 0, len(p.groups))
	for _, g := range p.groups {
		list = append(list, g)
	}
	return list
}

func (p *Pool) group(name string) *group {
	p.mu.Lock()
	defer p.mu.Unlock()
	g, ok := p.groups[name]
	if !ok {
		g = newGroup(p, name)
		p.groups[name] = g
		go g.applyLeaving()
		if p.ctx != nil {
			go g.poll(p.ctx)
		}
	}
	return g
}

// Acquire waits for a slot. The caller's context ends the wait; the call has not run then.
func (p *Pool) Acquire(ctx context.Context, a peer.AcquireRequest) (peer.Slot, error) {
	g := p.group(a.Group)
	g.refresh()
	grant, err := g.acquire(ctx, a)
	if err != nil {
		return peer.Slot{}, err
	}
	u, ok := p.records().Upstream(grant.Engine)
	if !ok {
		g.release(peer.ReleaseRequest{Ticket: a.Ticket})
		return peer.Slot{}, errkind.New(errkind.UpstreamUnavailable, "The engine's record was deleted.")
	}
	return peer.Slot{Engine: grant.Engine, Address: u.Address, Expires: grant.Expires, Load: g.load()}, nil
}

// Load returns the load of an engine group in this data centre.
func (p *Pool) Load(group string) peer.GroupLoad {
	g := p.group(group)
	g.refresh()
	return g.load()
}

// Release gives a slot back.
func (p *Pool) Release(r peer.ReleaseRequest) { p.group(r.Group).release(r) }

// SetLeaving sets the addresses of VMs that are said to be leaving.
func (p *Pool) SetLeaving(addresses []string) {
	leaving := make(map[string]bool, len(addresses))
	for _, a := range addresses {
		leaving[a] = true
	}
	p.mu.Lock()
	p.leaving = leaving
	p.mu.Unlock()
	for _, g := range p.all() {
		g.applyLeaving()
	}
}

// saidToLeave reports whether the VM of an upstream is said to be leaving.
func (p *Pool) saidToLeave(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.leaving[address] {
		return true
	}
	host, _, err := net.SplitHostPort(address)
	return err == nil && p.leaving[host]
}

// Drain stops new calls of a model to an engine for a while. It is repeated while the drain lasts.
func (p *Pool) DrainModel(group, engine, model string, until time.Time) {
	p.group(group).drain(engine, model, until)
}

// ProgramEnded releases the cache of a program in every group of this daemon.
func (p *Pool) ReleaseProgramCache(program string) {
	for _, g := range p.all() {
		g.programEnded(program)
	}
}

// AbandonIngressAttempts frees the slots of a daemon incarnation that has left the roster.
func (p *Pool) ReleaseIngressSlots(incarnation string) {
	for _, g := range p.all() {
		g.ingressLost(incarnation)
	}
}

// Stats describes a group for the metrics.
type Stats struct {
	Group   string
	Waiting int
	Granted int
}

// Stats returns the state of all groups.
func (p *Pool) Stats() []Stats {
	var list []Stats
	for _, g := range p.all() {
		list = append(list, g.stats())
	}
	return list
}
