package cluster

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"jackdawbay.dev/core/membership"
	"jackdawbay.dev/daemon/clock"
	"jackdawbay.dev/daemon/peer"
	"jackdawbay.dev/daemon/platform"
	"jackdawbay.dev/daemon/transport"
)

// readRoster reads the roster of a data centre from the platform. A missing roster has term zero.
func readRoster(ctx context.Context, store platform.Store, dataCentre string) (membership.Roster, uint64, error) {
	obj, err := store.Get(ctx, platform.KindRoster, dataCentre)
	if errors.Is(err, platform.ErrNotFound) {
		return membership.Roster{DataCentre: dataCentre}, 0, nil
	}
	if err != nil {
		return membership.Roster{}, 0, err
	}
	var r membership.Roster
	if err := json.Unmarshal(obj.Value, &r); err != nil {
		return membership.Roster{}, 0, errors.Wrap(err, "decode roster")
	}
	return r, obj.Version, nil
}

// readNewestRoster reads the roster of this data centre with its platform version. If the platform was restored from an
// old backup, the newer roster in memory is returned, so that the caller replaces the old one on the platform by it.
func (a *Agent) readNewestRoster(ctx context.Context) (membership.Roster, uint64, error) {
	r, version, err := readRoster(ctx, a.store, a.cfg.DataCentre)
	if err != nil {
		return r, 0, err
	}
	a.ApplyRosterIfNewer(r, version)
	if current := a.Roster(); current.Term > r.Term {
		return current, version, nil
	}
	return r, version, nil
}

func (a *Agent) refreshRoster(ctx context.Context) {
	r, version, err := readRoster(ctx, a.store, a.cfg.DataCentre)
	if err != nil {
		a.log.Warn("cannot read roster", "error", err)
		return
	}
	a.ApplyRosterIfNewer(r, version)
}

// join requests the coordinator to add this daemon to the roster. If there is no coordinator, this daemon becomes the
// coordinator.
func (a *Agent) join(ctx context.Context) {
	r, version, err := a.readNewestRoster(ctx)
	if err != nil {
		a.log.Warn("cannot join: cannot read roster", "error", err)
		return
	}
	if a.IsMember() {
		// The write that added this daemon succeeded, but its response was lost.
		return
	}
	self := a.Self()
	if !a.isSelfReachable(ctx) {
		return
	}
	if r.Term == 0 {
		a.createRoster(ctx, self)
		return
	}
	coordinator, ok := r.Member(r.Coordinator)
	if ok && coordinator.VM != self.VM {
		if a.requestJoin(ctx, coordinator, self) {
			return
		}
		if !a.isCoordinatorFailed(ctx, coordinator) {
			return
		}
	}
	a.takeOver(ctx, r, version, self)
}

// isSelfReachable reports whether this daemon responds at its own advertised address. Otherwise it must not become
// coordinator, because no other daemon could join.
func (a *Agent) isSelfReachable(ctx context.Context) bool {
	result := a.probe(ctx, a.Self())
	if result != membership.ProbeOK {
		a.log.Error("this daemon does not respond at its own peer address; check the setting peer-address", "address", a.cfg.PeerAddress)
	}
	return result == membership.ProbeOK
}

// createRoster creates the first roster of the data centre. If several daemons start at the same time, one of them
// succeeds.
func (a *Agent) createRoster(ctx context.Context, self membership.Member) {
	r := membership.New(a.cfg.DataCentre, self)
	version, err := a.store.Put(ctx, platform.KindRoster, a.cfg.DataCentre, 0, r)
	if err != nil {
		a.log.Info("roster was not created", "error", err)
		return
	}
	a.log.Info("roster created", "term", r.Term)
	a.ApplyRosterIfNewer(r, version)
}

const joinTimeout = 5 * time.Second

func (a *Agent) requestJoin(ctx context.Context, coordinator, self membership.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	var response peer.RosterUpdate
	if err := a.peers.Post(ctx, coordinator.PeerAddress, peer.PathJoin, self, &response); err != nil {
		a.log.Warn("coordinator did not accept the join request", "coordinator", coordinator.VM, "error", err)
		return false
	}
	a.ApplyRosterIfNewer(response.Roster, 0)
	return true
}

// heartbeatStaleAfter is how long the coordinator's heartbeat may stay unchanged before a daemon that cannot reach the
// coordinator replaces it.
const heartbeatStaleAfter = 2500 * time.Millisecond

// isCoordinatorFailed reports whether the coordinator has certainly or probably failed: nothing listens at its address,
// or its heartbeat on the platform does not advance.
func (a *Agent) isCoordinatorFailed(ctx context.Context, coordinator membership.Member) bool {
	result := a.probe(ctx, coordinator)
	switch result {
	case membership.ProbeOK:
		return false
	case membership.ProbeRefused:
		return true
	}
	before, err := a.heartbeatVersion(ctx)
	if err != nil {
		return false
	}
	if !clock.Sleep(ctx, heartbeatStaleAfter) {
		return false
	}
	after, err := a.heartbeatVersion(ctx)
	return err == nil && before == after
}

func (a *Agent) heartbeatVersion(ctx context.Context) (uint64, error) {
	obj, err := a.store.Get(ctx, platform.KindCoordinatorHeartbeat, a.cfg.DataCentre)
	if errors.Is(err, platform.ErrNotFound) {
		return 0, nil
	}
	return obj.Version, err
}

// takeOver removes the failed coordinator and adds this daemon in one change of the roster.
func (a *Agent) takeOver(ctx context.Context, r membership.Roster, version uint64, self membership.Member) {
	failed := r.Coordinator
	err := a.applyChange(ctx, func(membership.Roster) membership.Plan {
		p := membership.Fail(r, self.Incarnation, failed)
		if _, ok := r.Member(self.Incarnation); ok {
			return p
		}
		return membership.FailAndJoin(r, self, failed)
	}, &rosterBase{roster: r, version: version})
	if err != nil {
		a.log.Warn("coordinator was not replaced", "error", err)
		return
	}
	a.log.Info("became coordinator", "former", failed)
}

// probe sends one probe to a member.
func (a *Agent) probe(ctx context.Context, m membership.Member) membership.ProbeResult {
	ctx, cancel := context.WithTimeout(ctx, membership.ProbeTimeout)
	defer cancel()
	var response peer.ProbeResponse
	err := a.peers.Get(ctx, m.PeerAddress, peer.PathProbe, &response)
	if err != nil {
		if isConnectionRefused(err) {
			return membership.ProbeRefused
		}
		return membership.ProbeTimedOut
	}
	if response.Incarnation != m.Incarnation {
		// The VM runs a newer incarnation, so the one in the roster has stopped.
		return membership.ProbeRefused
	}
	a.syncWithPeer(ctx, m, response)
	return membership.ProbeOK
}

func isConnectionRefused(err error) bool {
	return errors.Is(err, transport.ErrConnectionRefused)
}
