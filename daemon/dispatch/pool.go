// Package dispatch runs the dispatchers of the engine groups for which this daemon is responsible. It passes load reports
// and cache events to them, hands out slots, and sends cache release orders to the engines.
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

// Config holds the settings of a Pool.
type Config struct {
	DataCentre   string
	PollInterval time.Duration // Interval between polls of an engine's load and cache events.

	// EndedPrograms returns those of the programs that are certain to have ended.
	EndedPrograms func(ctx context.Context, programs []string) []string
}

// Records returns the records in force.
type Records func() *records.Set

// Term returns the roster term, which orders carry as their fencing token.
type Term func() uint64

// Pool manages one group per engine group that has been requested. It is safe for concurrent use.
type Pool struct {
	cfg     Config
	records Records
	term    Term
	engines *upstream.EngineClient
	log     *slog.Logger

	mu               sync.Mutex
	groups           map[string]*group
	leavingAddresses map[string]bool // Addresses of the VMs that are reported to be leaving.
	ctx              context.Context // Context of Run; nil before Run.
}

// NewPool returns an empty pool.
func NewPool(cfg Config, currentRecords Records, term Term, engines *upstream.EngineClient, log *slog.Logger) *Pool {
	return &Pool{cfg: cfg, records: currentRecords, term: term, engines: engines, log: log, groups: map[string]*group{}}
}

// Run ticks all groups until the context ends. A group that is created while Run is active also polls its engines.
func (p *Pool) Run(ctx context.Context) error {
	p.mu.Lock()
	p.ctx = ctx
	p.mu.Unlock()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			for _, g := range p.allGroups() {
				g.tick(now)
			}
		}
	}
}

const tickInterval = 50 * time.Millisecond

func (p *Pool) allGroups() []*group {
	p.mu.Lock()
	defer p.mu.Unlock()
	snapshot := make([]*group, 0, len(p.groups))
	for _, g := range p.groups {
		snapshot = append(snapshot, g)
	}
	return snapshot
}

func (p *Pool) group(name string) *group {
	p.mu.Lock()
	defer p.mu.Unlock()
	g, ok := p.groups[name]
	if !ok {
		g = newGroup(p, name)
		p.groups[name] = g
		go g.applyLeavingVMs()
		if p.ctx != nil {
			go g.runPolls(p.ctx)
		}
	}
	return g
}

// Acquire waits for a slot until the context ends. After an error, the call has not run.
func (p *Pool) Acquire(ctx context.Context, a peer.AcquireRequest) (peer.Slot, error) {
	g := p.group(a.Group)
	g.applyRecords()
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
	g.applyRecords()
	return g.load()
}

// Release releases a slot.
func (p *Pool) Release(r peer.ReleaseRequest) { p.group(r.Group).release(r) }

// SetLeaving sets the addresses of the VMs that are reported to be leaving.
func (p *Pool) SetLeaving(addresses []string) {
	leaving := make(map[string]bool, len(addresses))
	for _, a := range addresses {
		leaving[a] = true
	}
	p.mu.Lock()
	p.leavingAddresses = leaving
	p.mu.Unlock()
	for _, g := range p.allGroups() {
		g.applyLeavingVMs()
	}
}

// isLeaving reports whether an address, or its host, is in the list of leaving VMs.
func (p *Pool) isLeaving(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.leavingAddresses[address] {
		return true
	}
	host, _, err := net.SplitHostPort(address)
	return err == nil && p.leavingAddresses[host]
}

// DrainModel stops new calls of a model to an engine until a given time. The caller repeats it while the drain continues.
func (p *Pool) DrainModel(group, engine, model string, until time.Time) {
	p.group(group).drainModel(engine, model, until)
}

// ReleaseProgramCache releases the cache of an ended program in every group of this daemon.
func (p *Pool) ReleaseProgramCache(program string) {
	for _, g := range p.allGroups() {
		g.releaseProgramCache(program)
	}
}

// ReleaseIngressSlots releases the slots of a daemon incarnation that was removed from the roster.
func (p *Pool) ReleaseIngressSlots(incarnation string) {
	for _, g := range p.allGroups() {
		g.releaseIngressSlots(incarnation)
	}
}

// Stats is the state of a group for the metrics.
type Stats struct {
	Group   string
	Waiting int
	Granted int
}

// Stats returns the state of all groups.
func (p *Pool) Stats() []Stats {
	var groupStats []Stats
	for _, g := range p.allGroups() {
		groupStats = append(groupStats, g.stats())
	}
	return groupStats
}
