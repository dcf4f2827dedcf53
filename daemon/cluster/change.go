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

// rosterBase is the roster on which a change is based, with its platform version.
type rosterBase struct {
	roster  membership.Roster
	version uint64
}

// applyChange carries out a plan: it seals journals, requests owners to release shards, and writes the roster on the
// condition that it has not changed meanwhile. If base is nil, this daemon must be the coordinator, and the change is
// based on the roster in memory.
func (a *Agent) applyChange(ctx context.Context, plan func(membership.Roster) membership.Plan, base *rosterBase) error {
	a.coordinator.changeMu.Lock()
	defer a.coordinator.changeMu.Unlock()
	if base == nil {
		b, err := a.currentBase(ctx)
		if err != nil {
			return err
		}
		base = b
	}
	planned := plan(base.roster)
	if planned.IsEmpty() {
		return nil
	}
	for _, incarnation := range planned.Seals {
		if err := owner.SealJournal(ctx, a.store, incarnation, a.Incarnation(), "did not answer probes"); err != nil {
			return errors.Wrapf(err, "seal journal of %s", incarnation)
		}
	}
	a.releaseMovedShards(ctx, base.roster, &planned)
	if planned.ChangesOnlyTerm() {
		return nil
	}
	planned.Roster.WriteID = ulid.Make().String()
	version, err := a.writeRoster(ctx, planned.Roster, base.version)
	if err != nil {
		return err
	}
	a.ApplyRosterIfNewer(planned.Roster, version)
	a.log.Info("roster changed", "term", planned.Roster.Term, "members", len(planned.Roster.Members), "sealed", len(planned.Seals))
	a.pushRoster(ctx, planned.Roster, base.roster)
	return nil
}

// currentBase returns the roster in memory with its platform version. A coordinator that received its roster from a
// peer reads the version from the platform first. It returns NotOwner if this daemon is not the coordinator.
func (a *Agent) currentBase(ctx context.Context) (*rosterBase, error) {
	if !a.IsCoordinator() {
		return nil, errkind.New(errkind.NotOwner, "This daemon is not the coordinator.")
	}
	a.mu.RLock()
	base := &rosterBase{roster: a.roster, version: a.rosterVersion}
	a.mu.RUnlock()
	if base.version != 0 {
		return base, nil
	}
	r, version, err := a.readNewestRoster(ctx)
	if err != nil {
		return nil, err
	}
	if !a.IsCoordinator() {
		return nil, errkind.New(errkind.NotOwner, "This daemon is not the coordinator.")
	}
	return &rosterBase{roster: r, version: version}, nil
}

// writeRoster stores a roster. If the response is lost, it reads the roster back to determine the result.
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

// releaseTimeout bounds how long a shard has no owner during a planned move.
const releaseTimeout = 2 * time.Second

// releaseMovedShards requests the current owners to stop serving the shards that move. A shard that is not released
// stays with its owner.
func (a *Agent) releaseMovedShards(ctx context.Context, before membership.Roster, p *membership.Plan) {
	var (
		wg sync.WaitGroup
		mu sync.Mutex
	)
	for incarnation, shards := range p.Releases {
		wg.Go(func() {
			released := a.requestRelease(ctx, before, incarnation, shards)
			unreleased := difference(shards, released)
			mu.Lock()
			defer mu.Unlock()
			p.RevertShards(unreleased...)
		})
	}
	wg.Wait()
}

func (a *Agent) requestRelease(ctx context.Context, before membership.Roster, incarnation string, shards []int) []int {
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
	var response peer.HandoverResponse
	if err := a.peers.Post(ctx, m.PeerAddress, peer.PathHandover, request, &response); err != nil {
		a.log.Warn("owner did not release shards", "owner", m.VM, "shards", len(shards), "error", err)
		return nil
	}
	return response.Released
}

func difference(shards, excluded []int) []int {
	isExcluded := make(map[int]bool, len(excluded))
	for _, s := range excluded {
		isExcluded[s] = true
	}
	var remaining []int
	for _, s := range shards {
		if !isExcluded[s] {
			remaining = append(remaining, s)
		}
	}
	return remaining
}

// pushRoster sends a roster to its members and to the members that it removes. Members that miss the push get the
// roster through probes.
func (a *Agent) pushRoster(ctx context.Context, r, before membership.Roster) {
	members := append(append([]membership.Member(nil), r.Members...), before.Members...)
	update := peer.RosterUpdate{Roster: r}
	a.peers.Broadcast(ctx, a.Incarnation(), members, peer.PathRoster, update, membership.ProbeTimeout, func(m membership.Member, err error) {
		a.log.Debug("roster was not pushed", "member", m.VM, "error", err)
	})
}
