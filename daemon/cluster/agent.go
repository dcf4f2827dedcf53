// Package cluster keeps a daemon in the roster of its data centre: it joins, probes its neighbours, opens and closes the
// shards that the roster gives it, and, as coordinator, carries out changes of the roster.
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

// Config describes an Agent.
type Config struct {
	VM          string
	DataCentre  string
	PeerAddress string // Address of the peer listener as other daemons reach it.
	Signer      *program.Signer
	Journal     journal.WriterConfig
	MaxPrograms int
}

// releasedShard is a shard that was handed over under an epoch.
type releasedShard struct {
	epoch uint64
	at    time.Time
}

// Agent is the membership of one daemon. It is safe for concurrent use.
type Agent struct {
	cfg   Config
	store platform.Store
	peers *peer.Client
	log   *slog.Logger

	onEnded func([]program.EndedProgram)
	digest  func() string // Digest of the configuration in force.

	onConfigDiffers func(membership.Member) // Called when a peer has another configuration.
	onMembersGone   func([]string)          // Called with incarnations that left the roster.
	onRestored      func()                  // Called when the platform was restored from an old backup.

	mu       sync.RWMutex
	roster   membership.Roster
	version  uint64 // Platform version of the roster, zero when it came from a peer.
	changed  chan struct{}
	loop     *owner.Loop
	cancel   context.CancelFunc
	released map[int]releasedShard // Shards that were handed over.
	opening  map[int]bool
	leaving  bool

	detector *membership.Detector
	detectMu sync.Mutex

	coordinator coordinatorState
	remote      directory
	answers     answerCache
	wake        chan struct{}
}

// New returns an agent that has not joined. onEnded gets the programs that ended while idle. digest returns the digest of
// the configuration in force.
func New(cfg Config, store platform.Store, peers *peer.Client, log *slog.Logger, onEnded func([]program.EndedProgram), digest func() string) *Agent {
	return &Agent{
		cfg:      cfg,
		store:    store,
		peers:    peers,
		log:      log,
		onEnded:  onEnded,
		digest:   digest,
		changed:  make(chan struct{}),
		released: map[int]releasedShard{},
		opening:  map[int]bool{},
		detector: membership.NewDetector(),
		remote:   newDirectory(),
		wake:     make(chan struct{}, 1),
	}
}

// OnConfigMismatch sets the function that is called when a peer has another configuration. It must be set before Run.
func (a *Agent) OnConfigMismatch(f func(membership.Member)) { a.onConfigDiffers = f }

// OnPlatformRestored sets the function that is called when the platform was restored from an old backup. It must be set before
// Run.
func (a *Agent) OnPlatformRestored(f func()) { a.onRestored = f }

// Loop returns the owner loop of the present incarnation.
func (a *Agent) Loop() *owner.Loop {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return a.loop
}

// Incarnation returns the id of the present incarnation, empty before the agent runs.
func (a *Agent) Incarnation() string {
	if l := a.Loop(); l != nil {
		return l.Incarnation()
	}
	return ""
}

// Roster returns the newest roster of the own data centre. It must not be changed.
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

// Self returns the member that this daemon is.
func (a *Agent) Self() membership.Member {
	return membership.Member{Incarnation: a.Incarnation(), VM: a.cfg.VM, PeerAddress: a.cfg.PeerAddress}
}

// Joined reports whether the roster lists the present incarnation.
func (a *Agent) IsMember() bool {
	a.mu.RLock()
	defer a.mu.RUnlock()
	if a.loop == nil {
		return false
	}
	_, ok := a.roster.Member(a.loop.Incarnation())
	return ok
}

// Timing of the agent's loop.
const (
	loopInterval = 100 * time.Millisecond
	joinInterval = 500 * time.Millisecond

	// pauseLimit is the pause after which the roster is read again before anything else is believed. It is above what a
	// busy machine costs and below the time in which a successor takes over.
	pauseLimit = 2 * time.Second
)

// Run keeps the membership until the context ends.
func (a *Agent) Run(ctx context.Context) error {
	a.startIncarnation(ctx)
	go a.runProbes(ctx)
	go a.runCoordinator(ctx)
	tick := time.NewTicker(loopInterval)
	defer tick.Stop()
	pause := membership.NewPauseDetector(time.Now(), pauseLimit)
	var lastJoin time.Time
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-a.wake:
		case <-tick.C:
		case <-a.Loop().Fenced():
			a.startIncarnation(ctx)
		}
		if pause.Tick(time.Now()) {
			a.log.Warn("process was paused; the roster is read again")
			a.refreshFromPlatform(ctx)
		}
		a.checkEvicted(ctx)
		if !a.IsMember() && !a.IsLeaving() && time.Since(lastJoin) > joinInterval {
			lastJoin = time.Now()
			a.join(ctx)
		}
		a.syncShards(ctx)
		a.reclaim(ctx)
	}
}

// Leaving reports whether the daemon stops in a planned way.
func (a *Agent) IsLeaving() bool {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return a.leaving
}

func (a *Agent) poke() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// startIncarnation drops all shards and begins with a new id and an empty journal.
func (a *Agent) startIncarnation(ctx context.Context) {
	id := a.cfg.VM + "-" + ulid.Make().String()
	loop := owner.NewLoop(program.Config{
		Incarnation: id,
		VM:          a.cfg.VM,
		DataCentre:  a.cfg.DataCentre,
		Signer:      a.cfg.Signer,
		Journal:     a.cfg.Journal,
		MaxPrograms: a.cfg.MaxPrograms,
	}, a.store, a.log, a.onEnded)
	loopCtx, cancel := context.WithCancel(ctx)
	a.mu.Lock()
	if a.cancel != nil {
		a.cancel()
	}
	a.loop, a.cancel = loop, cancel
	a.released = map[int]releasedShard{}
	a.opening = map[int]bool{}
	a.notifyLocked()
	a.mu.Unlock()
	go loop.Run(loopCtx)
	a.log.Info("incarnation started", "incarnation", id)
}

// checkEvicted begins a new incarnation when a roster of the data centre no longer lists this one.
func (a *Agent) checkEvicted(ctx context.Context) {
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

// ApplyRosterIfNewer takes over a roster if it is newer than the one known. Version is its platform version, zero if unknown.
func (a *Agent) ApplyRosterIfNewer(r membership.Roster, version uint64) {
	if r.DataCentre != a.cfg.DataCentre {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.Term < a.roster.Term || (r.Term == a.roster.Term && version <= a.version) {
		return
	}
	gone := missingMembers(a.roster, r)
	a.answers.forget(gone)
	a.roster, a.version = r, version
	if a.loop != nil {
		if _, ok := r.Member(a.loop.Incarnation()); ok {
			a.coordinator.joinedTerm = r.Term
		}
	}
	a.detectMu.Lock()
	a.detector.RetainMembers(r)
	a.detectMu.Unlock()
	a.notifyLocked()
	a.poke()
	for _, m := range gone {
		go a.loseMember(a.loop, m)
	}
}

func missingMembers(before, after membership.Roster) []membership.Member {
	var gone []membership.Member
	for _, m := range before.Members {
		if _, ok := after.Member(m.Incarnation); !ok {
			gone = append(gone, m)
		}
	}
	return gone
}

// maxFinishTime bounds how long a daemon that left the roster is taken to finish its calls. It is the longest stop timeout.
const maxFinishTime = time.Hour

// loseMember gives up the calls that a former member was sending, once it has ended. A daemon that stops in a planned way
// leaves the roster first and then finishes its calls.
func (a *Agent) loseMember(loop *owner.Loop, m membership.Member) {
	ctx, cancel := context.WithTimeout(context.Background(), maxFinishTime)
	defer cancel()
	for a.probe(ctx, m) == membership.ProbeOK && clock.Sleep(ctx, membership.ProbeInterval) {
	}
	if loop != nil {
		a.loseIngress(loop, m.Incarnation)
	}
	if a.onMembersGone != nil {
		a.onMembersGone([]string{m.Incarnation})
	}
}

// loseIngress gives up the calls that a dead daemon was sending.
func (a *Agent) loseIngress(loop *owner.Loop, incarnation string) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	err := loop.Do(ctx, func(_ time.Time, o *program.Owner) { o.AbandonIngressAttempts(incarnation) })
	if err != nil {
		a.log.Warn("attempts of a lost daemon are not given up yet", "error", err)
	}
}

// OwnerOf returns the member that owns a program of the own data centre. It returns OwnerUnavailable while there is none.
func (a *Agent) OwnerOf(programID string) (membership.Member, error) {
	m, ok := a.Roster().OwnerOf(programID)
	if !ok {
		return membership.Member{}, errkind.New(errkind.OwnerUnavailable, "").WithRetryAfter(joinInterval)
	}
	return m, nil
}
