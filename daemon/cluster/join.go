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

// newestRoster reads the roster of the own data centre with its platform version. When the platform was restored from an
// old backup, the newer roster in memory is returned, to be written over the old one.
func (a *Agent) newestRoster(ctx context.Context) (membership.Roster, uint64, error) {
	r, version, err := readRoster(ctx, a.store, a.cfg.DataCentre)
	if err != nil {
		return r, 0, err
	}
	a.ApplyRosterIfNewer(r, version)
	if known := a.Roster(); known.Term > r.Term {
		return known, version, nil
	}
	return r, version, nil
}

func (a *Agent) refreshFromPlatform(ctx context.Context) {
	r, version, err := readRoster(ctx, a.store, a.cfg.DataCentre)
	if err != nil {
		a.log.Warn("roster cannot be read", "error", err)
		return
	}
	a.ApplyRosterIfNewer(r, version)
}

// join asks the coordinator to enter this daemon into the roster. When there is no coordinator, it becomes one.
func (a *Agent) join(ctx context.Context) {
	r, version, err := a.newestRoster(ctx)
	if err != nil {
		a.log.Warn("cannot join: roster cannot be read", "error", err)
		return
	}
	if a.IsMember() {
		// The answer to the write that entered this daemon was lost.
		return
	}
	self := a.Self()
	if !a.reachable(ctx) {
		return
	}
	if r.Term == 0 {
		a.found(ctx, self)
		return
	}
	coordinator, ok := r.Member(r.Coordinator)
	if ok && coordinator.VM != self.VM {
		if a.askToJoin(ctx, coordinator, self) {
			return
		}
		if !a.coordinatorDead(ctx, coordinator) {
			return
		}
	}
	a.takeOver(ctx, r, version, self)
}

// reachable reports whether this daemon answers at its own advertised address. One that does not must not become
// coordinator: no other daemon could join.
func (a *Agent) reachable(ctx context.Context) bool {
	result := a.probe(ctx, a.Self())
	if result != membership.ProbeOK {
		a.log.Error("this daemon does not answer at its own peer address; check the setting peer-address", "address", a.cfg.PeerAddress)
	}
	return result == membership.ProbeOK
}

// found creates the first roster of the data centre. Of several daemons that start together, one wins.
func (a *Agent) found(ctx context.Context, self membership.Member) {
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

func (a *Agent) askToJoin(ctx context.Context, coordinator, self membership.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	var push peer.RosterUpdate
	if err := a.peers.Post(ctx, coordinator.PeerAddress, peer.PathJoin, self, &push); err != nil {
		a.log.Warn("coordinator did not accept the join", "coordinator", coordinator.VM, "error", err)
		return false
	}
	a.ApplyRosterIfNewer(push.Roster, 0)
	return true
}

// leadStaleAfter is how long the coordinator's sign of life may stand still before a daemon that cannot reach the
// coordinator takes its place.
const leadStaleAfter = 2500 * time.Millisecond

// coordinatorDead reports whether the coordinator is certainly or probably gone: nothing listens at its address, or its
// sign of life on the platform stands still.
func (a *Agent) coordinatorDead(ctx context.Context, coordinator membership.Member) bool {
	result := a.probe(ctx, coordinator)
	switch result {
	case membership.ProbeOK:
		return false
	case membership.ProbeRefused:
		return true
	}
	before, err := a.leadVersion(ctx)
	if err != nil {
		return false
	}
	if !clock.Sleep(ctx, leadStaleAfter) {
		return false
	}
	after, err := a.leadVersion(ctx)
	return err == nil && before == after
}

func (a *Agent) leadVersion(ctx context.Context) (uint64, error) {
	obj, err := a.store.Get(ctx, platform.KindCoordinatorHeartbeat, a.cfg.DataCentre)
	if errors.Is(err, platform.ErrNotFound) {
		return 0, nil
	}
	return obj.Version, err
}

// takeOver removes the dead coordinator and enters this daemon in one change of the roster.
func (a *Agent) takeOver(ctx context.Context, r membership.Roster, version uint64, self membership.Member) {
	failed := r.Coordinator
	err := a.change(ctx, func(membership.Roster) membership.Plan {
		p := membership.Fail(r, self.Incarnation, failed)
		if _, ok := r.Member(self.Incarnation); ok {
			return p
		}
		return membership.FailAndJoin(r, self, failed)
	}, &basis{roster: r, version: version})
	if err != nil {
		a.log.Warn("coordinator was not replaced", "error", err)
		return
	}
	a.log.Info("became coordinator", "former", failed)
}

// probe asks a member for its state once.
func (a *Agent) probe(ctx context.Context, m membership.Member) membership.ProbeResult {
	ctx, cancel := context.WithTimeout(ctx, membership.ProbeTimeout)
	defer cancel()
	var answer peer.ProbeResponse
	err := a.peers.Get(ctx, m.PeerAddress, peer.PathProbe, &answer)
	if err != nil {
		if isRefused(err) {
			return membership.ProbeRefused
		}
		return membership.ProbeTimedOut
	}
	if answer.Incarnation != m.Incarnation {
		// The VM runs a newer incarnation, so the one in the roster is gone.
		return membership.ProbeRefused
	}
	a.compareWithPeer(ctx, m, answer)
	return membership.ProbeOK
}

func isRefused(err error) bool {
	return errors.Is(err, transport.ErrConnectionRefused)
}
