// Package config maintains the configuration records in force in a daemon. The coordinator of a data centre watches the
// platform and pushes changes to the members of its roster. The other daemons receive changes from their peers. A record is
// replaced only by a newer generation, whatever the source.
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

// Cluster provides the membership state that the agent uses.
type Cluster interface {
	IsCoordinator() bool
	Incarnation() string
	Roster() membership.Roster
}

// Agent maintains the records in force in this daemon. It is safe for concurrent use.
type Agent struct {
	store   platform.Store
	peers   *peer.Client
	cluster Cluster
	log     *slog.Logger

	mu             sync.RWMutex
	state          *configstate.State
	syncing        map[string]bool // By incarnation; peers with a sync in progress.
	relistRequests chan struct{}
	listCount      atomic.Int64
	loaded         atomic.Bool
}

// NewAgent returns an agent without records. SetCluster must be called before Run.
func NewAgent(store platform.Store, peers *peer.Client, log *slog.Logger) *Agent {
	return &Agent{
		store:          store,
		peers:          peers,
		log:            log,
		state:          configstate.New(records.DecodeStored),
		syncing:        map[string]bool{},
		relistRequests: make(chan struct{}, 1),
	}
}

// SetCluster sets the source of the membership state.
func (a *Agent) SetCluster(c Cluster) { a.cluster = c }

// RecordSet returns the records in force.
func (a *Agent) RecordSet() *records.Set {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return a.state.RecordSet()
}

// Digest returns a hash that identifies the configuration in force.
func (a *Agent) Digest() string {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return a.state.Digest()
}

// Generations returns the generation in force of every record, by key.
func (a *Agent) Generations() map[string]int64 {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return a.state.Generations()
}

// NewerThan returns the stored records whose generation is above the given one. A key that is not given counts as
// generation zero.
func (a *Agent) NewerThan(generations map[string]int64) []configstate.StoredRecord {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return a.state.NewerThan(generations)
}

// ListCount returns how often the agent has listed all records on the platform.
func (a *Agent) ListCount() int64 { return a.listCount.Load() }

// IsLoaded reports whether the records have been read from the platform or received from a peer. Before that, every key is
// unknown.
func (a *Agent) IsLoaded() bool { return a.loaded.Load() }

// ApplyNewer applies the stored records that are newer than those in force and returns their keys. It logs an error for
// each record that cannot be decoded.
func (a *Agent) ApplyNewer(source string, values ...[]byte) []string {
	a.mu.Lock()
	applied, errs := a.state.ApplyNewer(values...)
	a.mu.Unlock()
	for _, err := range errs {
		a.log.Error("cannot apply record", "source", source, "error", err)
	}
	if len(applied) > 0 {
		a.log.Info("records applied", "source", source, "count", len(applied), "digest", a.Digest())
	}
	return applied
}

// ApplyFromPeer applies records received from a peer.
func (a *Agent) ApplyFromPeer(r peer.Records) {
	values := make([][]byte, 0, len(r.Records))
	for _, s := range r.Records {
		values = append(values, s.Value)
	}
	if len(a.ApplyNewer("peer", values...)) > 0 {
		a.loaded.Store(true)
	}
}

// Timeouts and intervals of the agent.
const (
	syncTimeout   = 2 * time.Second
	retryInterval = 500 * time.Millisecond
	minWatchWait  = time.Millisecond // The shortest wait; the platform returns existing events at once.
)

// SyncFromPeer fetches and applies the records of which a peer has a newer generation. It returns at once if a sync with
// the same peer is in progress.
func (a *Agent) SyncFromPeer(m membership.Member) {
	a.mu.Lock()
	inProgress := a.syncing[m.Incarnation]
	a.syncing[m.Incarnation] = true
	a.mu.Unlock()
	if inProgress {
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
		a.log.Debug("cannot fetch records", "peer", m.VM, "error", err)
		return
	}
	a.ApplyFromPeer(r)
}

// Run reads the records from the platform. While this daemon is the coordinator, it then watches the platform for changes.
// It returns when the context ends.
func (a *Agent) Run(ctx context.Context) error {
	if err := a.loadAtStart(ctx); err != nil {
		a.log.Warn("cannot read records from the platform", "error", err)
	}
	for ctx.Err() == nil {
		if !a.cluster.IsCoordinator() {
			clock.Sleep(ctx, retryInterval)
			if !a.IsLoaded() {
				// After a failure, the next iteration retries, or a peer sends the records.
				_ = a.loadAtStart(ctx)
			}
			continue
		}
		if err := a.watch(ctx); err != nil && ctx.Err() == nil {
			a.log.Warn("cannot watch records", "error", err)
		}
		// Limits the rate of lists if the platform reports a gap in the history at every watch.
		clock.Sleep(ctx, retryInterval)
	}
	return ctx.Err()
}

// loadAtStart reads the records before the daemon acts on them. A list can be older than the last write, so the events after
// the list are also read.
func (a *Agent) loadAtStart(ctx context.Context) error {
	revision, err := a.listAndApply(ctx)
	if err != nil {
		return err
	}
	_, events, err := a.store.Watch(ctx, platform.KindConfig, revision, minWatchWait)
	if err != nil && !errors.Is(err, platform.ErrHistoryGap) {
		a.log.Warn("cannot read events after the list of records", "error", err)
	}
	a.applyEvents(ctx, events)
	a.loaded.Store(true)
	return nil
}

// watch lists the records, writes back those that the platform lost, and then applies the changes. It returns nil when the
// records must be listed again or this daemon is no longer the coordinator.
func (a *Agent) watch(ctx context.Context) error {
	revision, err := a.listAndApply(ctx)
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
			a.log.Info("platform no longer has the events since the last revision; listing records again")
			return nil
		}
		if err != nil {
			return err
		}
		if next < revision {
			a.log.Warn("platform revision decreased; listing records again")
			return nil
		}
		revision = next
		a.applyEvents(ctx, events)
	}
	return nil
}

// errRelist is the cancellation cause of a watch that Relist ends.
var errRelist = errors.New("records must be listed again")

// watchOnce makes one watch. It returns errRelist if Relist ends the watch early.
func (a *Agent) watchOnce(ctx context.Context, revision uint64) (uint64, []platform.Event, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	done := make(chan struct{})
	defer close(done)
	go func() {
		select {
		case <-a.relistRequests:
			cancel(errRelist)
		case <-done:
		}
	}()
	next, events, err := a.store.Watch(ctx, platform.KindConfig, revision, platform.MaxWatchWait)
	if errors.Is(context.Cause(ctx), errRelist) {
		return 0, nil, errRelist
	}
	return next, events, err
}

// Relist ends the watch in progress, so that the records are listed again. A watch in flight while the platform is restored
// from an old backup may never detect the restore.
func (a *Agent) Relist() {
	select {
	case a.relistRequests <- struct{}{}:
	default:
	}
}

// applyEvents applies the records that were written and pushes those that were newer to the members.
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
		a.pushToMembers(ctx, applied)
	}
}

// listAndApply lists and applies all records of the platform and returns the revision of the list. The coordinator writes
// back the records that are newer in memory; these exist after the platform was restored from an old backup.
func (a *Agent) listAndApply(ctx context.Context) (uint64, error) {
	revision, items, err := platform.ListAll(ctx, a.store, platform.KindConfig, "")
	if err != nil {
		return 0, err
	}
	a.listCount.Add(1)
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
		a.pushToMembers(ctx, applied)
	}
	a.writeBack(ctx, values, versions)
	return revision, nil
}

// writeBack writes the records to the platform that are newer in memory than the given values. The argument versions has
// the object versions for the conditional writes.
func (a *Agent) writeBack(ctx context.Context, values [][]byte, versions map[string]uint64) {
	stored := configstate.New(records.DecodeStored)
	stored.ApplyNewer(values...)
	for _, s := range a.NewerThan(stored.Generations()) {
		_, err := a.store.Put(ctx, platform.KindConfig, s.Key, versions[s.Key], s.Value)
		if err != nil {
			a.log.Warn("cannot write back newer record", "record", s.Key, "generation", s.Generation, "error", err)
			continue
		}
		a.log.Warn("newer record written back", "record", s.Key, "generation", s.Generation)
	}
}

// pushToMembers sends records to every member of the roster. A member that misses a push receives the records after a
// probe.
func (a *Agent) pushToMembers(ctx context.Context, keys []string) {
	message := peer.Records{Records: a.recordsByKey(keys)}
	members := a.cluster.Roster().Members
	a.peers.Broadcast(ctx, a.cluster.Incarnation(), members, peer.PathRecords, message, syncTimeout, func(m membership.Member, err error) {
		a.log.Debug("cannot push records", "member", m.VM, "error", err)
	})
}

// recordsByKey returns the stored records with the given keys.
func (a *Agent) recordsByKey(keys []string) []configstate.StoredRecord {
	wanted := map[string]bool{}
	for _, k := range keys {
		wanted[k] = true
	}
	all := a.NewerThan(nil)
	selected := make([]configstate.StoredRecord, 0, len(keys))
	for _, s := range all {
		if wanted[s.Key] {
			selected = append(selected, s)
		}
	}
	return selected
}
