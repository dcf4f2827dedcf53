package cluster

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/ulid/v2"

	"jackdawbay.dev/api/errkind"
	"jackdawbay.dev/core/membership"
	"jackdawbay.dev/daemon/owner"
	"jackdawbay.dev/daemon/peer"
	"jackdawbay.dev/daemon/platform"
)

// coordinatorState is what an agent keeps for the coordinator's work.
type coordinatorState struct {
	change     sync.Mutex // Held while a change of the roster is carried out.
	replacing  sync.Mutex // Held while a dead coordinator is replaced.
	joinedTerm uint64     // Term of the newest roster that listed this incarnation; guarded by Agent.mu.
	evicting   sync.Map   // Incarnations whose eviction is under way.
	lease      commandLease
	alone      membership.Isolation
	aloneMu    sync.Mutex
}

// basis is the roster that a change starts from.
type basis struct {
	roster  membership.Roster
	version uint64
}

// IsCoordinator reports whether this daemon writes the roster.
func (a *Agent) IsCoordinator() bool {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return a.loop != nil && a.roster.Coordinator == a.loop.Incarnation()
}

// change carries out a plan: it seals journals, asks owners to release shards, and writes the roster on the condition
// that it has not changed meanwhile. from is nil for the coordinator, which starts from the roster in memory.
func (a *Agent) change(ctx context.Context, plan func(membership.Roster) membership.Plan, from *basis) error {
	a.coordinator.change.Lock()
	defer a.coordinator.change.Unlock()
	if from == nil {
		b, err := a.ownBasis(ctx)
		if err != nil {
			return err
		}
		from = b
	}
	p := plan(from.roster)
	if p.Empty() {
		return nil
	}
	for _, incarnation := range p.Seals {
		if err := owner.Seal(ctx, a.store, incarnation, a.Incarnation(), "did not answer probes"); err != nil {
			return errors.Wrapf(err, "seal journal of %s", incarnation)
		}
	}
	a.release(ctx, from.roster, &p)
	if p.Unchanged() {
		return nil
	}
	p.Roster.WriteID = ulid.Make().String()
	version, err := a.writeRoster(ctx, p.Roster, from.version)
	if err != nil {
		return err
	}
	a.OfferRoster(p.Roster, version)
	a.log.Info("roster changed", "term", p.Roster.Term, "members", len(p.Roster.Members), "sealed", len(p.Seals))
	a.pushRoster(ctx, p.Roster, from.roster)
	return nil
}

// ownBasis returns the roster in memory with its platform version. A coordinator that got its roster from a peer reads
// the version from the platform first.
func (a *Agent) ownBasis(ctx context.Context) (*basis, error) {
	if !a.IsCoordinator() {
		return nil, errkind.New(errkind.NotOwner, "This daemon is not the coordinator.")
	}
	a.mu.RLock()
	b := &basis{roster: a.roster, version: a.version}
	a.mu.RUnlock()
	if b.version != 0 {
		return b, nil
	}
	r, version, err := a.newestRoster(ctx)
	if err != nil {
		return nil, err
	}
	if !a.IsCoordinator() {
		return nil, errkind.New(errkind.NotOwner, "This daemon is not the coordinator.")
	}
	return &basis{roster: r, version: version}, nil
}

// writeRoster stores a roster and resolves a lost answer by reading back.
func (a *Agent) writeRoster(ctx context.Context, r membership.Roster, ifVersion uint64) (uint64, error) {
	version, err := a.store.Put(ctx, platform.KindRoster, a.cfg.DataCentre, ifVersion, r)
	if err == nil {
		return version, nil
	}
	conflict, isConflict := platform.AsConflict(err)
	if !isConflict && !errors.Is(err, platform.ErrUnknown) {
		return 0, errors.Wrap(err, "write roster")
	}
	stored, storedVersion, readErr := readRoster(ctx, a.store, a.cfg.DataCentre)
	if readErr != nil {
		return 0, errors.Wrap(readErr, "read roster back")
	}
	if stored.Term == r.Term && stored.Coordinator == r.Coordinator && stored.WriteID == r.WriteID {
		return storedVersion, nil
	}
	a.OfferRoster(stored, storedVersion)
	if isConflict {
		return 0, errors.Wrap(conflict, "write roster")
	}
	return 0, errors.Wrap(err, "write roster")
}

// releaseTimeout bounds how long a shard has neither owner during a planned move.
const releaseTimeout = 2 * time.Second

// release asks the present owners to stop serving the shards that move. A shard that is not released stays.
func (a *Agent) release(ctx context.Context, before membership.Roster, p *membership.Plan) {
	var (
		group sync.WaitGroup
		mu    sync.Mutex
	)
	for incarnation, shards := range p.Releases {
		group.Go(func() {
			done := a.releaseFrom(ctx, before, incarnation, shards)
			kept := subtract(shards, done)
			mu.Lock()
			defer mu.Unlock()
			p.Keep(kept...)
		})
	}
	group.Wait()
}

func (a *Agent) releaseFrom(ctx context.Context, before membership.Roster, incarnation string, shards []int) []int {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	request := peer.Handover{Term: before.Term, Shards: shards}
	if incarnation == a.Incarnation() {
		return a.Handover(ctx, request).Released
	}
	m, ok := before.Member(incarnation)
	if !ok {
		return nil
	}
	var done peer.HandoverDone
	if err := a.peers.Post(ctx, m.PeerAddress, peer.PathHandover, request, &done); err != nil {
		a.log.Warn("owner did not release shards", "owner", m.VM, "shards", len(shards), "error", err)
		return nil
	}
	return done.Released
}

func subtract(all, without []int) []int {
	drop := make(map[int]bool, len(without))
	for _, s := range without {
		drop[s] = true
	}
	var left []int
	for _, s := range all {
		if !drop[s] {
			left = append(left, s)
		}
	}
	return left
}

// pushRoster sends a roster to its members and to those that it removes. Probes repair what a push misses.
func (a *Agent) pushRoster(ctx context.Context, r, before membership.Roster) {
	sent := map[string]bool{a.Incarnation(): true}
	var group sync.WaitGroup
	for _, m := range append(append([]membership.Member(nil), r.Members...), before.Members...) {
		if sent[m.Incarnation] {
			continue
		}
		sent[m.Incarnation] = true
		group.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, membership.ProbeTimeout)
			defer cancel()
			if err := a.peers.Post(ctx, m.PeerAddress, peer.PathRoster, peer.RosterPush{Roster: r}, nil); err != nil {
				a.log.Debug("roster was not pushed", "member", m.VM, "error", err)
			}
		})
	}
	group.Wait()
}

// AcceptJoin enters a member into the roster and returns the roster.
func (a *Agent) AcceptJoin(ctx context.Context, m membership.Member) (membership.Roster, error) {
	err := a.change(ctx, func(r membership.Roster) membership.Plan { return membership.Join(r, m) }, nil)
	if err != nil {
		return membership.Roster{}, err
	}
	return a.Roster(), nil
}

// AcceptLeave removes a member that stops in a planned way, after its shards were handed over.
func (a *Agent) AcceptLeave(ctx context.Context, incarnation string) (membership.Roster, error) {
	err := a.change(ctx, func(r membership.Roster) membership.Plan { return membership.Leave(r, incarnation) }, nil)
	if err != nil {
		return membership.Roster{}, err
	}
	return a.Roster(), nil
}

// AcceptSuspect handles a report about a member that does not answer.
func (a *Agent) AcceptSuspect(ctx context.Context, s peer.Suspect) {
	m, ok := a.Roster().Member(s.Incarnation)
	if ok && s.Incarnation != a.Incarnation() {
		a.Suspect(ctx, m, s.Refused)
	}
}

// confirmAndEvict probes a suspect itself and removes it from the roster when it does not answer either.
func (a *Agent) confirmAndEvict(ctx context.Context, incarnation string) {
	if _, busy := a.coordinator.evicting.LoadOrStore(incarnation, true); busy {
		return
	}
	defer a.coordinator.evicting.Delete(incarnation)
	m, ok := a.Roster().Member(incarnation)
	if !ok {
		return
	}
	result := a.probe(ctx, m)
	if result == membership.ProbeTimeOut {
		result = a.probe(ctx, m)
	}
	if result == membership.ProbeOK {
		return
	}
	if result == membership.ProbeTimeOut && !a.reachesEnough(ctx) && !a.mayEvictAlone(ctx, incarnation) {
		a.log.Warn("too few members answer; no one is removed", "suspect", m.VM)
		return
	}
	err := a.change(ctx, func(r membership.Roster) membership.Plan {
		return membership.Fail(r, a.Incarnation(), incarnation)
	}, nil)
	if err != nil {
		a.log.Warn("failed member was not removed", "member", m.VM, "error", err)
		return
	}
	a.log.Info("failed member removed", "member", m.VM)
}

// mayEvictAlone decides for a coordinator that reaches too few members. It gives the others time to replace it, and then
// reads the roster: when nobody has replaced it, the others are gone.
func (a *Agent) mayEvictAlone(ctx context.Context, incarnation string) bool {
	a.coordinator.aloneMu.Lock()
	long := a.coordinator.alone.Observe(time.Now())
	a.coordinator.aloneMu.Unlock()
	if !long {
		return false
	}
	r, version, err := readRoster(ctx, a.store, a.cfg.DataCentre)
	if err != nil {
		return false
	}
	a.OfferRoster(r, version)
	if _, ok := a.Roster().Member(incarnation); !ok || !a.IsCoordinator() {
		return false
	}
	a.log.Warn("no other daemon took over as coordinator; members are removed although too few answer")
	return true
}

// isAlone reports whether this coordinator reached too few members just now.
func (a *Agent) isAlone() bool {
	a.coordinator.aloneMu.Lock()
	defer a.coordinator.aloneMu.Unlock()
	return a.coordinator.alone.Active(time.Now())
}

// reachesEnough counts the members that answer this coordinator.
func (a *Agent) reachesEnough(ctx context.Context) bool {
	r := a.Roster()
	var (
		group     sync.WaitGroup
		reachable atomic.Int64
	)
	reachable.Add(1)
	for _, m := range r.Members {
		if m.Incarnation == a.Incarnation() {
			continue
		}
		group.Go(func() {
			if a.probe(ctx, m) == membership.ProbeOK {
				reachable.Add(1)
			}
		})
	}
	group.Wait()
	return membership.CanEvict(int(reachable.Load()), len(r.Members))
}

// AcceptCheckpoint records stored checkpoints in the roster and deletes what is not needed any more.
func (a *Agent) AcceptCheckpoint(ctx context.Context, list peer.Checkpoints) error {
	var before, after membership.Roster
	err := a.change(ctx, func(r membership.Roster) membership.Plan {
		p := membership.RecordCheckpoints(r, list.Owner, list.Shards)
		before, after = r, p.Roster
		return p
	}, nil)
	if err != nil {
		return err
	}
	go a.collectGarbage(context.WithoutCancel(ctx), before, after)
	return nil
}

// garbageTimeout bounds one round of deletions.
const garbageTimeout = 30 * time.Second

func (a *Agent) collectGarbage(ctx context.Context, before, after membership.Roster) {
	ctx, cancel := context.WithTimeout(ctx, garbageTimeout)
	defer cancel()
	for _, incarnation := range membership.Unreferenced(before, after) {
		if err := owner.DeleteSegments(ctx, a.store, platform.KindJournal, incarnation, 0); err != nil {
			a.log.Warn("journal was not deleted", "journal", incarnation, "error", err)
		}
	}
	for i, s := range before.Shards {
		old := s.Checkpoint
		if old == "" || old == after.Shards[i].Checkpoint {
			continue
		}
		if err := owner.DeleteSegments(ctx, a.store, platform.KindCheckpoint, old, 0); err != nil {
			a.log.Warn("checkpoint was not deleted", "checkpoint", old, "error", err)
		}
	}
}

const leadInterval = time.Second

// Lead is the sign of life of a coordinator.
type Lead struct {
	Coordinator string `json:"coordinator"`
	Term        uint64 `json:"term"`
	Beat        uint64 `json:"beat"`
}

// runCoordinator writes the sign of life while this daemon is the coordinator, and reads the roster back now and then, so
// that a coordinator that was replaced steps down.
func (a *Agent) runCoordinator(ctx context.Context) {
	tick := time.NewTicker(leadInterval)
	defer tick.Stop()
	var version, beat uint64
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if !a.IsCoordinator() {
			version = 0
			a.coordinator.lease.end()
			continue
		}
		if a.isAlone() {
			// Without the sign of life, a daemon that reaches the others can take this one's place.
			a.refreshFromPlatform(ctx)
			continue
		}
		beat++
		sent := time.Now()
		next, ok := a.beat(ctx, version, beat)
		version = next
		if ok {
			a.coordinator.lease.renew(sent)
		}
		if ok && beat%repairEvery == 0 {
			a.repair(ctx)
		}
	}
}

// repairEvery is how many signs of life pass between two looks for shards that are not where they belong.
const repairEvery = 5

func (a *Agent) repair(ctx context.Context) {
	if membership.Repair(a.Roster()).Empty() {
		return
	}
	if err := a.change(ctx, membership.Repair, nil); err != nil {
		a.log.Warn("roster was not repaired", "error", err)
	}
}

// beat writes the sign of life. It returns its version and whether the write succeeded. A version that falls shows that
// the platform was restored from an old backup.
func (a *Agent) beat(ctx context.Context, version, beat uint64) (uint64, bool) {
	r := a.Roster()
	lead := Lead{Coordinator: r.Coordinator, Term: r.Term, Beat: beat}
	next, err := a.store.Put(ctx, platform.KindLead, a.cfg.DataCentre, version, lead)
	if err == nil {
		if version != 0 && next < version {
			a.restored(ctx)
		}
		return next, true
	}
	conflict, ok := platform.AsConflict(err)
	if !ok {
		return version, false
	}
	if conflict.Current == nil {
		if version != 0 {
			a.restored(ctx)
		}
		return 0, false
	}
	if version != 0 && conflict.Current.Version < version {
		a.restored(ctx)
	}
	a.refreshFromPlatform(ctx)
	return conflict.Current.Version, false
}

// restored handles a platform that lost its newest writes: the roster in memory is written again, and each member then
// stores checkpoints of its shards, since their journals may have lost segments.
func (a *Agent) restored(ctx context.Context) {
	a.log.Warn("platform was restored from an old backup; roster and journals are written again")
	a.mu.Lock()
	a.version = 0
	a.mu.Unlock()
	err := a.change(ctx, membership.AfterRestore, nil)
	if err != nil {
		a.log.Error("roster was not written again", "error", err)
	}
	if a.onRestored != nil {
		a.onRestored()
	}
}
