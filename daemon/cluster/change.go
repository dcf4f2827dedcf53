package cluster

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/ulid/v2"

	"jackdawbay.dev/api/errkind"
	"jackdawbay.dev/core/membership"
	"jackdawbay.dev/daemon/owner"
	"jackdawbay.dev/daemon/peer"
	"jackdawbay.dev/daemon/platform"
)

// basis is the roster that a change starts from.
type basis struct {
	roster  membership.Roster
	version uint64
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
	if p.IsEmpty() {
		return nil
	}
	for _, incarnation := range p.Seals {
		if err := owner.SealJournal(ctx, a.store, incarnation, a.Incarnation(), "did not answer probes"); err != nil {
			return errors.Wrapf(err, "seal journal of %s", incarnation)
		}
	}
	a.release(ctx, from.roster, &p)
	if p.ChangesOnlyTerm() {
		return nil
	}
	p.Roster.WriteID = ulid.Make().String()
	version, err := a.writeRoster(ctx, p.Roster, from.version)
	if err != nil {
		return err
	}
	a.ApplyRosterIfNewer(p.Roster, version)
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
	if !isConflict && !errors.Is(err, platform.ErrOutcomeUnknown) {
		return 0, errors.Wrap(err, "write roster")
	}
	stored, storedVersion, readErr := readRoster(ctx, a.store, a.cfg.DataCentre)
	if readErr != nil {
		return 0, errors.Wrap(readErr, "read roster back")
	}
	if stored.Term == r.Term && stored.Coordinator == r.Coordinator && stored.WriteID == r.WriteID {
		return storedVersion, nil
	}
	a.ApplyRosterIfNewer(stored, storedVersion)
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
			p.RevertShards(kept...)
		})
	}
	group.Wait()
}

func (a *Agent) releaseFrom(ctx context.Context, before membership.Roster, incarnation string, shards []int) []int {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	request := peer.HandoverRequest{Term: before.Term, Shards: shards}
	if incarnation == a.Incarnation() {
		return a.ReleaseShards(ctx, request).Released
	}
	m, ok := before.Member(incarnation)
	if !ok {
		return nil
	}
	var done peer.HandoverResponse
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
	members := append(append([]membership.Member(nil), r.Members...), before.Members...)
	push := peer.RosterUpdate{Roster: r}
	a.peers.Broadcast(ctx, a.Incarnation(), members, peer.PathRoster, push, membership.ProbeTimeout, func(m membership.Member, err error) {
		a.log.Debug("roster was not pushed", "member", m.VM, "error", err)
	})
}
