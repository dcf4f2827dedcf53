// Package config keeps the records in force in a daemon. The coordinator of a data centre watches the platform and pushes
// changes to its members; all others learn from their peers. A newer generation always wins, whatever its source.
package config

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"jackdawbay.dev/api/records"
	"jackdawbay.dev/core/configstate"
	"jackdawbay.dev/core/membership"
	"jackdawbay.dev/daemon/clock"
	"jackdawbay.dev/daemon/peer"
	"jackdawbay.dev/daemon/platform"
)

// Cluster is what the agent needs of the membership.
type Cluster interface {
	IsCoordinator() bool
	Incarnation() string
	Roster() membership.Roster
}

// Agent holds the records in force. It is safe for concurrent use.
type Agent struct {
	store   platform.Store
	peers   *peer.Client
	cluster Cluster
	log     *slog.Logger

	mu      sync.RWMutex
	state   *configstate.State
	syncing map[string]bool // Peers that are asked now.
	relist  chan struct{}
	lists   atomic.Int64
	loaded  atomic.Bool
}

// NewAgent returns an agent without records. The cluster is set with SetCluster before Run.
func NewAgent(store platform.Store, peers *peer.Client, log *slog.Logger) *Agent {
	return &Agent{
		store:   store,
		peers:   peers,
		log:     log,
		state:   configstate.New(records.DecodeStored),
		syncing: map[string]bool{},
		relist:  make(chan struct{}, 1),
	}
}

// SetCluster connects the agent with the membership.
func (a *Agent) SetCluster(c Cluster) { a.cluster = c }

// Set returns the records in force.
func (a *Agent) RecordSet() *records.Set {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return a.state.RecordSet()
}

// Digest identifies the configuration in force.
func (a *Agent) Digest() string {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return a.state.Digest()
}

// Generations returns the generations in force.
func (a *Agent) Generations() map[string]int64 {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return a.state.Generations()
}

// Newer returns the records that are newer here than at a peer.
func (a *Agent) NewerThan(than map[string]int64) []configstate.StoredRecord {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return a.state.NewerThan(than)
}

// Lists returns how often all records were read from the platform.
func (a *Agent) ListCount() int64 { return a.lists.Load() }

// Loaded reports whether the records were read from the platform or from a peer. Before that, every key is unknown.
func (a *Agent) IsLoaded() bool { return a.loaded.Load() }

// Offer applies stored records that are newer than those in force and returns their keys.
func (a *Agent) ApplyNewer(source string, values ...[]byte) []string {
	a.mu.Lock()
	applied, faults := a.state.ApplyNewer(values...)
	a.mu.Unlock()
	for _, f := range faults {
		a.log.Error("record was not applied", "source", source, "error", f)
	}
	if len(applied) > 0 {
		a.log.Info("records applied", "source", source, "count", len(applied), "digest", a.Digest())
	}
	return applied
}

// Accept applies records that a peer sent.
func (a *Agent) ApplyFromPeer(r peer.Records) {
	values := make([][]byte, 0, len(r.Records))
	for _, s := range r.Records {
		values = append(values, s.Value)
	}
	if len(a.ApplyNewer("peer", values...)) > 0 {
		a.loaded.Store(true)
	}
}

const (
	syncTimeout   = 2 * time.Second
	retryInterval = 500 * time.Millisecond
	catchUpWait   = time.Millisecond // The shortest wait; the events that exist are returned at once.
)

// Sync fetches what a peer has newer. Several calls for one peer at the same time do it once.
func (a *Agent) SyncFromPeer(m membership.Member) {
	a.mu.Lock()
	busy := a.syncing[m.Incarnation]
	a.syncing[m.Incarnation] = true
	a.mu.Unlock()
	if busy {
		return
	}
	defer func() {
		a.mu.Lock()
		delete(a.syncing, m.Incarnation)
		a.mu.Unlock()
	}()
	ctx, cancel := context.WithTimeout(context.Background(), syncTimeout)
	defer cancel()
	var r peer.Records
	err := a.peers.Post(ctx, m.PeerAddress, peer.PathGenerations, peer.Generations{Generations: a.Generations()}, &r)
	if err != nil {
		a.log.Debug("records were not fetched", "peer", m.VM, "error", err)
		return
	}
	a.ApplyFromPeer(r)
}

// Run reads the records once, and then watches the platform while this daemon is the coordinator.
func (a *Agent) Run(ctx context.Context) error {
	if err := a.load(ctx); err != nil {
		a.log.Warn("records cannot be read from the platform", "error", err)
	}
	for ctx.Err() == nil {
		if !a.cluster.IsCoordinator() {
			clock.Sleep(ctx, retryInterval)
			if !a.IsLoaded() {
				// The next round tries again, or a peer sends the records.
				_ = a.load(ctx)
			}
			continue
		}
		if err := a.watch(ctx); err != nil && ctx.Err() == nil {
			a.log.Warn("watch of records ended", "error", err)
		}
		// A platform that reports a gap at every watch would otherwise be listed without a pause.
		clock.Sleep(ctx, retryInterval)
	}
	return ctx.Err()
}

// load reads the records at the start. A list can lag behind the last write, so the events after it are read as well before
// the daemon acts on the records.
func (a *Agent) load(ctx context.Context) error {
	revision, err := a.list(ctx)
	if err != nil {
		return err
	}
	_, events, err := a.store.Watch(ctx, platform.KindConfig, revision, catchUpWait)
	if err != nil && !errors.Is(err, platform.ErrHistoryGap) {
		a.log.Warn("events after the list of records cannot be read", "error", err)
	}
	a.applyEvents(ctx, events)
	a.loaded.Store(true)
	return nil
}

// watch lists the records, writes back what the platform lost, and follows the changes.
func (a *Agent) watch(ctx context.Context) error {
	revision, err := a.list(ctx)
	if err != nil {
		return err
	}
	a.loaded.Store(true)
	for ctx.Err() == nil && a.cluster.IsCoordinator() {
		next, events, err := a.watchOnce(ctx, revision)
		if errors.Is(err, errRelist) {
			return nil
		}
		if errors.Is(err, platform.ErrHistoryGap) {
			a.log.Info("watch has a gap; records are listed again")
			return nil
		}
		if err != nil {
			return err
		}
		if next < revision {
			a.log.Warn("platform revision fell; records are listed again")
			return nil
		}
		revision = next
		a.applyEvents(ctx, events)
	}
	return nil
}

// errRelist ends a watch whose records have to be listed again.
var errRelist = errors.New("records have to be listed again")

// watchOnce makes one watch, which Relist ends early.
func (a *Agent) watchOnce(ctx context.Context, revision uint64) (uint64, []platform.Event, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		select {
		case <-a.relist:
			cancel(errRelist)
		case <-ended:
		}
	}()
	next, events, err := a.store.Watch(ctx, platform.KindConfig, revision, platform.MaxWatchWait)
	if errors.Is(context.Cause(ctx), errRelist) {
		return 0, nil, errRelist
	}
	return next, events, err
}

// Relist lists the records again. A watch that waits on a platform that was restored from an old backup may never notice
// the restore.
func (a *Agent) Relist() {
	select {
	case a.relist <- struct{}{}:
	default:
	}
}

func (a *Agent) applyEvents(ctx context.Context, events []platform.Event) {
	var values [][]byte
	for _, e := range events {
		if e.Type == "put" {
			values = append(values, e.Object.Value)
		}
	}
	if len(values) == 0 {
		return
	}
	if applied := a.ApplyNewer("platform", values...); len(applied) > 0 {
		a.push(ctx, applied)
	}
}

// list applies all records of the platform. The coordinator writes back those that are newer in memory, which happens
// when the platform was restored from an old backup.
func (a *Agent) list(ctx context.Context) (uint64, error) {
	revision, items, err := platform.ListAll(ctx, a.store, platform.KindConfig, "")
	if err != nil {
		return 0, err
	}
	a.lists.Add(1)
	values := make([][]byte, 0, len(items))
	versions := map[string]uint64{}
	for _, o := range items {
		values = append(values, o.Value)
		versions[o.Name] = o.Version
	}
	applied := a.ApplyNewer("platform", values...)
	if !a.cluster.IsCoordinator() {
		return revision, nil
	}
	if len(applied) > 0 {
		a.push(ctx, applied)
	}
	a.writeBack(ctx, values, versions)
	return revision, nil
}

func (a *Agent) writeBack(ctx context.Context, values [][]byte, versions map[string]uint64) {
	stored := configstate.New(records.DecodeStored)
	stored.ApplyNewer(values...)
	for _, s := range a.NewerThan(stored.Generations()) {
		_, err := a.store.Put(ctx, platform.KindConfig, s.Key, versions[s.Key], s.Value)
		if err != nil {
			a.log.Warn("newer record was not written back", "record", s.Key, "generation", s.Generation, "error", err)
			continue
		}
		a.log.Warn("newer record written back", "record", s.Key, "generation", s.Generation)
	}
}

// push sends records to every member. Probes repair what a push misses.
func (a *Agent) push(ctx context.Context, keys []string) {
	message := peer.Records{Records: a.records(keys)}
	members := a.cluster.Roster().Members
	a.peers.Broadcast(ctx, a.cluster.Incarnation(), members, peer.PathRecords, message, syncTimeout, func(m membership.Member, err error) {
		a.log.Debug("records were not pushed", "member", m.VM, "error", err)
	})
}

func (a *Agent) records(keys []string) []configstate.StoredRecord {
	wanted := map[string]bool{}
	for _, k := range keys {
		wanted[k] = true
	}
	all := a.NewerThan(nil)
	list := make([]configstate.StoredRecord, 0, len(keys))
	for _, s := range all {
		if wanted[s.Key] {
			list = append(list, s)
		}
	}
	return list
}
