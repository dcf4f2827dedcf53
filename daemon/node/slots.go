package node

import (
	"context"
	"sort"
	"time"

	"github.com/cockroachdb/errors"

	"jackdawbay.dev/api/errkind"
	"jackdawbay.dev/core/membership"
	"jackdawbay.dev/core/program"
	"jackdawbay.dev/daemon/peer"
	"jackdawbay.dev/daemon/transport"
)

const (
	// slotTries bounds how often a slot is asked for again when the dispatcher cannot be reached.
	slotTries = 6

	// dispatcherTries is how often one dispatcher is asked. Afterwards the next in rendezvous order is, since a roster cannot
	// be changed while the platform is down. Two dispatchers can overload an engine, which costs time only.
	dispatcherTries = 2
)

// Acquire gets an engine slot. The data centre of the program comes first, since the program's cache is there; the others
// follow by distance when the first has no engine.
func (r *router) Acquire(ctx context.Context, a peer.Acquire) (peer.Slot, error) {
	var err error
	for _, dataCentre := range r.dataCentres(a) {
		var slot peer.Slot
		slot, err = r.acquireIn(ctx, dataCentre, a)
		if err == nil {
			r.node.slots.put(a.Ticket, dataCentre)
			return slot, nil
		}
		if !errkind.Is(err, errkind.UpstreamUnavailable) && !errkind.Is(err, errkind.OwnerUnavailable) {
			return peer.Slot{}, err
		}
	}
	if err == nil {
		err = errkind.New(errkind.UpstreamUnavailable, "No engine serves the group "+a.Group+".")
	}
	return peer.Slot{}, err
}

// dataCentres lists the data centres with engines of a group: that of the program, then those of its region, then others.
func (r *router) dataCentres(a peer.Acquire) []string {
	set := r.node.config.Set()
	home, ok := program.DataCentreOf(a.Program)
	if !ok {
		home = r.node.set.DataCentre
	}
	found := map[string]bool{}
	for _, name := range set.Engines(a.Group) {
		if u, ok := set.Upstream(name); ok && !u.Leaving {
			found[u.DataCentre] = true
		}
	}
	list := make([]string, 0, len(found))
	for dc := range found {
		list = append(list, dc)
	}
	distance := func(dc string) int {
		switch {
		case dc == home:
			return 0
		case set.Region(dc) == set.Region(home):
			return 1
		default:
			return 2
		}
	}
	sort.Slice(list, func(i, j int) bool {
		if distance(list[i]) != distance(list[j]) {
			return distance(list[i]) < distance(list[j])
		}
		return list[i] < list[j]
	})
	return list
}

func (r *router) acquireIn(ctx context.Context, dataCentre string, a peer.Acquire) (peer.Slot, error) {
	var err error
	failures := map[string]int{}
	for try := range slotTries {
		var m membership.Member
		m, err = r.dispatcher(ctx, dataCentre, a.Group, try > 0, failures)
		if err != nil {
			return peer.Slot{}, err
		}
		var slot peer.Slot
		if m.Incarnation == r.node.agent.Incarnation() {
			return r.node.pool.Acquire(ctx, a)
		}
		err = r.askDispatcher(ctx, dataCentre, m, a, &slot)
		if err == nil || !errors.Is(err, peer.ErrUnreachable) {
			return slot, err
		}
		failures[m.Incarnation]++
		if errors.Is(err, transport.ErrNotSent) && dataCentre == r.node.set.DataCentre {
			go r.node.agent.Suspect(context.WithoutCancel(ctx), m, errors.Is(err, transport.ErrConnectionRefused))
		}
		if !pause(ctx, ownerRetryInterval) {
			break
		}
	}
	if ctx.Err() != nil {
		return peer.Slot{}, errkind.Wrap(errkind.DeadlineUnreachable, ctx.Err(), "")
	}
	return peer.Slot{}, errkind.Wrap(errkind.OwnerUnavailable, err, "The dispatcher of the engine group does not answer.")
}

// askDispatcher waits for a slot of another daemon, until that daemon leaves the roster.
func (r *router) askDispatcher(ctx context.Context, dataCentre string, m membership.Member, a peer.Acquire, slot *peer.Slot) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if dataCentre == r.node.set.DataCentre {
		go r.cancelWithMember(ctx, cancel, m.Incarnation)
	}
	return r.node.peers.Post(ctx, m.PeerAddress, peer.PathAcquire, a, slot)
}

// dispatcher returns the member that hands out the slots of an engine group in a data centre, without those that failed
// to answer often enough.
func (r *router) dispatcher(ctx context.Context, dataCentre, group string, fresh bool, failures map[string]int) (membership.Member, error) {
	roster, err := r.node.agent.RosterOf(ctx, dataCentre, fresh)
	if err != nil {
		return membership.Member{}, errkind.Wrap(errkind.OwnerUnavailable, err, "")
	}
	var answering membership.Roster
	for _, m := range roster.Members {
		if failures[m.Incarnation] < dispatcherTries {
			answering.Members = append(answering.Members, m)
		}
	}
	m, ok := answering.HashOwner("dispatcher/" + group)
	if !ok {
		return m, errkind.New(errkind.OwnerUnavailable, "No daemon of the data centre "+dataCentre+" answers.")
	}
	return m, nil
}

const releaseTimeout = 2 * time.Second

// Release gives a slot back in the background. A release that is lost ends with the expiry of the grant.
func (r *router) Release(rel peer.Release) {
	dataCentre, ok := r.node.slots.take(rel.Ticket)
	if !ok {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		m, err := r.dispatcher(ctx, dataCentre, rel.Group, false, nil)
		if err != nil {
			return
		}
		if m.Incarnation == r.node.agent.Incarnation() {
			r.node.pool.Release(rel)
			return
		}
		if err := r.node.peers.Post(ctx, m.PeerAddress, peer.PathRelease, rel, nil); err != nil {
			r.node.log.Debug("slot was not released", "ticket", rel.Ticket, "error", err)
		}
	}()
}

func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
