// Package cluster manages the membership of a daemon in its data centre. The agent joins the roster, probes its ring
// neighbours, and opens and closes the shards that the roster assigns to it. On the coordinator, it also carries out
// changes of the roster.
package cluster

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/oklog/ulid/v2"

	"jackdawbay.dev/api/errkind"
	"jackdawbay.dev/core/journal"
	"jackdawbay.dev/core/membership"
	"jackdawbay.dev/core/program"
	"jackdawbay.dev/daemon/clock"
	"jackdawbay.dev/daemon/owner"
	"jackdawbay.dev/daemon/peer"
	"jackdawbay.dev/daemon/platform"
)

// Config configures an Agent.
type Config struct {
	VM          string
	DataCentre  string
	PeerAddress string // Address of the peer listener as other daemons reach it.
	Signer      *program.Signer
	Journal     journal.WriterConfig
	MaxPrograms int
}

// releasedShard records when a shard was handed over, and under which epoch.
type releasedShard struct {
	epoch      uint64
	releasedAt time.Time
}

// Agent manages the membership of one daemon. It is safe for concurrent use.
type Agent struct {
	cfg   Config
	store platform.Store
	peers *peer.Client
	log   *slog.Logger

	onProgramsEnded func([]program.EndedProgram)
	configDigest    func() string // Digest of the configuration in force.

	onConfigMismatch   func(membership.Member) // Called when a peer has a different configuration.
	onMembersRemoved   func([]string)          // Called with removed incarnations that no longer respond.
	onPlatformRestored func()                  // Called when the platform was restored from an old backup.

	mu             sync.RWMutex
	roster         membership.Roster
	rosterVersion  uint64 // Platform version of the roster; zero if the roster came from a peer.
	changed        chan struct{}
	loop           *owner.Loop
	cancelLoop     context.CancelFunc
	releasedShards map[int]releasedShard // Shards that were handed over.
	openingShards  map[int]bool
	leaving        bool

	// coveredRestores is the number of platform restores after which this incarnation has stored checkpoints of its shards.
	coveredRestores uint64

	detector   *membership.Detector
	detectorMu sync.Mutex

	coordinator   coordinatorState
	remoteRosters rosterCache
	probeResults  probeCache
	wakeRequested chan struct{}
}

// New returns an agent that has not joined. onProgramsEnded is called with the programs that ended because they were
// idle. configDigest returns the digest of the configuration in force.
func New(cfg Config, store platform.Store, peers *peer.Client, log *slog.Logger, onProgramsEnded func([]program.EndedProgram), configDigest func() string) *Agent {
	return &Agent{
		cfg:             cfg,
		store:           store,
		peers:           peers,
		log:             log,
		onProgramsEnded: onProgramsEnded,
		configDigest:    configDigest,
		changed:         make(chan struct{}),
		releasedShards:  map[int]releasedShard{},
		openingShards:   map[int]bool{},
		detector:        membership.NewDetector(),
		remoteRosters:   newRosterCache(),
		wakeRequested:   make(chan struct{}, 1),
	}
}

// OnConfigMismatch sets the function that is called when a peer has a different configuration. It must be called before
// Run.
func (a *Agent) OnConfigMismatch(f func(membership.Member)) { a.onConfigMismatch = f }

// OnPlatformRestored sets the function that is called when the platform was restored from an old backup. It must be
// called before Run.
func (a *Agent) OnPlatformRestored(f func()) { a.onPlatformRestored = f }

// Loop returns the owner loop of the current incarnation.
func (a *Agent) Loop() *owner.Loop {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return a.loop
}

// Incarnation returns the id of the current incarnation. It is empty before the agent runs.
func (a *Agent) Incarnation() string {
	if l := a.Loop(); l != nil {
		return l.Incarnation()
	}
	return ""
}

// Roster returns the newest roster of this data centre. The caller must not modify it.
func (a *Agent) Roster() membership.Roster {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return a.roster
}

// Changed returns a channel that is closed at the next change of the roster or of the open shards.
func (a *Agent) Changed() <-chan struct{} {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return a.changed
}

func (a *Agent) notifyLocked() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// Self returns this daemon as a member of the roster.
func (a *Agent) Self() membership.Member {
	return membership.Member{Incarnation: a.Incarnation(), VM: a.cfg.VM, PeerAddress: a.cfg.PeerAddress}
}

// IsMember reports whether the roster lists the current incarnation.
func (a *Agent) IsMember() bool {
	a.mu.RLock()
	defer a.mu.RUnlock()
	if a.loop == nil {
		return false
	}
	_, ok := a.roster.Member(a.loop.Incarnation())
	return ok
}

// Intervals of the agent's loop.
const (
	loopInterval = 100 * time.Millisecond
	joinInterval = 500 * time.Millisecond

	// pauseThreshold is the length of a pause of the process after which the agent re-reads the roster before it does
	// anything else. It exceeds the delays on a busy machine and is shorter than the time in which a successor takes
	// over.
	pauseThreshold = 2 * time.Second
)

// Run manages the membership until the context ends.
func (a *Agent) Run(ctx context.Context) error {
	a.startIncarnation(ctx)
	go a.runProbes(ctx)
	go a.runCoordinator(ctx)
	tick := time.NewTicker(loopInterval)
	defer tick.Stop()
	pause := membership.NewPauseDetector(time.Now(), pauseThreshold)
	var lastJoin time.Time
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-a.wakeRequested:
		case <-tick.C:
		case <-a.Loop().Fenced():
			a.startIncarnation(ctx)
		}
		if pause.Tick(time.Now()) {
			a.log.Warn("process was paused; re-reading the roster")
			a.refreshRoster(ctx)
		}
		a.restartIfEvicted(ctx)
		if !a.IsMember() && !a.IsLeaving() && time.Since(lastJoin) > joinInterval {
			lastJoin = time.Now()
			a.join(ctx)
		}
		a.syncShards(ctx)
		a.requestReclaim(ctx)
	}
}

// IsLeaving reports whether a planned stop of the daemon is in progress.
func (a *Agent) IsLeaving() bool {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return a.leaving
}

func (a *Agent) wakeLoop() {
	select {
	case a.wakeRequested <- struct{}{}:
	default:
	}
}

// startIncarnation drops all shards and starts a new incarnation with a new id and an empty journal.
func (a *Agent) startIncarnation(ctx context.Context) {
	id := a.cfg.VM + "-" + ulid.Make().String()
	loop := owner.NewLoop(program.Config{
		Incarnation: id,
		VM:          a.cfg.VM,
		DataCentre:  a.cfg.DataCentre,
		Signer:      a.cfg.Signer,
		Journal:     a.cfg.Journal,
		MaxPrograms: a.cfg.MaxPrograms,
	}, a.store, a.log, a.onProgramsEnded)
	loopCtx, cancel := context.WithCancel(ctx)
	a.mu.Lock()
	if a.cancelLoop != nil {
		a.cancelLoop()
	}
	a.loop, a.cancelLoop = loop, cancel
	a.releasedShards = map[int]releasedShard{}
	a.openingShards = map[int]bool{}
	a.notifyLocked()
	a.mu.Unlock()
	go loop.Run(loopCtx)
	a.log.Info("incarnation started", "incarnation", id)
}

// restartIfEvicted starts a new incarnation if a newer roster no longer lists the current one.
func (a *Agent) restartIfEvicted(ctx context.Context) {
	a.mu.RLock()
	joinedTerm := a.coordinator.joinedTerm
	term := a.roster.Term
	a.mu.RUnlock()
	if joinedTerm == 0 || a.IsMember() || a.IsLeaving() || term <= joinedTerm {
		return
	}
	a.log.Warn("roster no longer lists this daemon", "term", term)
	a.mu.Lock()
	a.coordinator.joinedTerm = 0
	a.mu.Unlock()
	a.startIncarnation(ctx)
}

// ApplyRosterIfNewer replaces the roster in memory by r if r is newer. version is the platform version of r, zero if
// unknown.
func (a *Agent) ApplyRosterIfNewer(r membership.Roster, version uint64) {
	if r.DataCentre != a.cfg.DataCentre {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.Term < a.roster.Term || (r.Term == a.roster.Term && version <= a.rosterVersion) {
		return
	}
	removed := removedMembers(a.roster, r)
	a.probeResults.remove(removed)
	a.roster, a.rosterVersion = r, version
	if a.loop != nil {
		if _, ok := r.Member(a.loop.Incarnation()); ok {
			a.coordinator.joinedTerm = r.Term
		}
	}
	a.detectorMu.Lock()
	a.detector.RetainMembers(r)
	a.detectorMu.Unlock()
	a.notifyLocked()
	a.wakeLoop()
	for _, m := range removed {
		go a.handleRemovedMember(a.loop, m)
	}
}

func removedMembers(before, after membership.Roster) []membership.Member {
	var removed []membership.Member
	for _, m := range before.Members {
		if _, ok := after.Member(m.Incarnation); !ok {
			removed = append(removed, m)
		}
	}
	return removed
}

// maxStopDuration bounds how long a daemon that was removed from the roster may take to finish its calls. It equals the
// longest stop timeout.
const maxStopDuration = time.Hour

// handleRemovedMember waits until a member that was removed from the roster no longer responds, and then abandons the
// attempts that it was sending. A daemon in a planned stop leaves the roster first and finishes its calls afterwards.
func (a *Agent) handleRemovedMember(loop *owner.Loop, m membership.Member) {
	ctx, cancel := context.WithTimeout(context.Background(), maxStopDuration)
	defer cancel()
	for a.probe(ctx, m) == membership.ProbeOK && clock.Sleep(ctx, membership.ProbeInterval) {
	}
	if loop != nil {
		a.abandonIngressAttempts(loop, m.Incarnation)
	}
	if a.onMembersRemoved != nil {
		a.onMembersRemoved([]string{m.Incarnation})
	}
}

// abandonIngressAttempts abandons the attempts that a removed daemon was sending.
func (a *Agent) abandonIngressAttempts(loop *owner.Loop, incarnation string) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	err := loop.Do(ctx, func(_ time.Time, o *program.Owner) { o.AbandonIngressAttempts(incarnation) })
	if err != nil {
		a.log.Warn("attempts of a removed daemon were not abandoned", "error", err)
	}
}

// OwnerOf returns the member that owns a program of this data centre. It returns OwnerUnavailable while there is none.
func (a *Agent) OwnerOf(programID string) (membership.Member, error) {
	m, ok := a.Roster().OwnerOf(programID)
	if !ok {
		return membership.Member{}, errkind.New(errkind.OwnerUnavailable, "").WithRetryAfter(joinInterval)
	}
	return m, nil
}
