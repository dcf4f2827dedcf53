package node

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"jackdawbay.dev/api/errkind"
	"jackdawbay.dev/core/membership"
	"jackdawbay.dev/core/program"
	"jackdawbay.dev/core/schedule"
	"jackdawbay.dev/daemon/clock"
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

// Acquire gets an engine slot in the best data centre. When it has no usable engine or cannot be reached, the others
// follow by distance. A data centre of another region is used only while the byte budget of the link covers the call.
func (r *router) Acquire(ctx context.Context, a peer.AcquireRequest) (peer.Slot, error) {
	err := error(errkind.New(errkind.UpstreamUnavailable, "No engine serves the group "+a.Group+"."))
	for _, s := range r.sites(a) {
		if s.OtherRegion && !r.node.sites.covers(a) {
			err = errkind.New(errkind.QueueFull, "The byte budget of the link between regions is used up.").WithRetryAfter(time.Second)
			continue
		}
		var g grantedSlot
		g, err = r.acquireAt(ctx, s, a)
		if err == nil {
			r.granted(a, s, g)
			return g.slot, nil
		}
		if !r.nextSite(ctx, s, err) {
			return peer.Slot{}, err
		}
	}
	return peer.Slot{}, err
}

// remoteWait bounds the wait for a slot in a data centre other than the home. It was chosen because a slot should be free
// there, so a longer wait shows that it cannot be reached.
const remoteWait = 2 * time.Second

// grantedSlot is a slot with the dispatcher that granted it, which also takes it back.
type grantedSlot struct {
	slot       peer.Slot
	dispatcher membership.Member
}

func (r *router) acquireAt(ctx context.Context, s schedule.DataCentreLoad, a peer.AcquireRequest) (grantedSlot, error) {
	if s.IsHome {
		return r.acquireIn(ctx, s.DataCentre, a)
	}
	ctx, cancel := context.WithTimeout(ctx, remoteWait)
	defer cancel()
	return r.acquireIn(ctx, s.DataCentre, a)
}

// nextSite reports whether another data centre is tried after an error. One that did not answer is left out for a while.
func (r *router) nextSite(ctx context.Context, s schedule.DataCentreLoad, err error) bool {
	if ctx.Err() != nil {
		return false
	}
	if errkind.Is(err, errkind.UpstreamUnavailable) {
		return true
	}
	silent := errkind.Is(err, errkind.OwnerUnavailable) || errkind.Is(err, errkind.DeadlineUnreachable)
	if silent && !s.IsHome {
		r.node.sites.fail(s.DataCentre)
	}
	return silent
}

// granted notes a slot for its release and the load that came with it.
func (r *router) granted(a peer.AcquireRequest, s schedule.DataCentreLoad, g grantedSlot) {
	r.node.slots.put(a.Ticket, g.dispatcher)
	r.node.sites.observe(a.Group, g.slot.Load)
	if s.OtherRegion {
		r.node.sites.spend(a)
	}
}

// sites lists the data centres with engines of a group, the best one first.
func (r *router) sites(a peer.AcquireRequest) []schedule.DataCentreLoad {
	set := r.node.config.RecordSet()
	home, ok := program.DataCentreOf(a.Program)
	if !ok {
		home = r.node.set.DataCentre
	}
	holder := home
	if u, ok := set.Upstream(a.Preferred); ok {
		holder = u.DataCentre
	}
	list := r.node.sites.list(set, a, home, holder)
	if len(list) == 0 || (list[0].IsHome && !saturated(list[0])) {
		return list
	}
	for _, s := range list {
		if !s.IsHome {
			r.refreshLoad(a.Group, s.DataCentre)
		}
	}
	return r.node.sites.bestFirst(set, a, list)
}

// saturated reports whether calls queue in a data centre. Only then can another one finish a call sooner, so that the
// usual call depends on no other data centre.
func saturated(s schedule.DataCentreLoad) bool { return s.Waiting > 0 || s.Running >= s.Slots }

// refreshLoad reads the load of a group in another data centre, within a bound on the rate.
func (r *router) refreshLoad(group, dataCentre string) {
	if !r.node.sites.stale(group, dataCentre) {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		m, err := r.dispatcher(ctx, dataCentre, group, false, nil)
		if err != nil {
			return
		}
		var load peer.GroupLoad
		if err := r.node.peers.Post(ctx, m.PeerAddress, peer.PathGroupLoad, peer.GroupRef{Group: group}, &load); err == nil {
			r.node.sites.observe(group, load)
		}
	}()
}

func (r *router) acquireIn(ctx context.Context, dataCentre string, a peer.AcquireRequest) (grantedSlot, error) {
	var err error
	failures := map[string]int{}
	for try := range slotTries {
		var m membership.Member
		m, err = r.dispatcher(ctx, dataCentre, a.Group, try > 0, failures)
		if err != nil {
			return grantedSlot{}, err
		}
		g := grantedSlot{dispatcher: m}
		if m.Incarnation == r.node.agent.Incarnation() {
			g.slot, err = r.node.pool.Acquire(ctx, a)
			return g, err
		}
		err = r.askDispatcher(ctx, dataCentre, m, a, &g.slot)
		if err == nil || !errors.Is(err, peer.ErrUnreachable) {
			return g, err
		}
		failures[m.Incarnation]++
		if errors.Is(err, transport.ErrNotSent) && dataCentre == r.node.set.DataCentre {
			go r.node.agent.ReportSuspect(context.WithoutCancel(ctx), m, errors.Is(err, transport.ErrConnectionRefused))
		}
		if !clock.Sleep(ctx, ownerRetryInterval) {
			break
		}
	}
	if ctx.Err() != nil {
		return grantedSlot{}, errkind.Wrap(errkind.DeadlineUnreachable, ctx.Err(), "")
	}
	return grantedSlot{}, errkind.Wrap(errkind.OwnerUnavailable, err, "The dispatcher of the engine group does not answer.")
}

// askDispatcher waits for a slot of another daemon, until that daemon leaves the roster.
func (r *router) askDispatcher(ctx context.Context, dataCentre string, m membership.Member, a peer.AcquireRequest, slot *peer.Slot) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if dataCentre == r.node.set.DataCentre {
		go r.cancelWithMember(ctx, cancel, m.Incarnation)
	}
	go r.cancelWhenSilent(ctx, cancel, m)
	return r.node.peers.Post(ctx, m.PeerAddress, peer.PathAcquireSlot, a, slot)
}

// cancelWhenSilent cancels a wait at a dispatcher that does not answer probes any more. While the platform is down, such a
// daemon cannot be removed from the roster. It ends with the context.
func (r *router) cancelWhenSilent(ctx context.Context, cancel context.CancelFunc, m membership.Member) {
	failures := 0
	for failures < membership.ProbeFailureThreshold {
		if !clock.Sleep(ctx, membership.ProbeInterval) {
			return
		}
		if r.node.agent.RespondsToProbe(ctx, m) {
			failures = 0
		} else {
			failures++
		}
	}
	cancel()
}

// dispatcher returns the member that hands out the slots of an engine group in a data centre, without those that failed
// to answer often enough.
func (r *router) dispatcher(ctx context.Context, dataCentre, group string, fresh bool, failures map[string]int) (membership.Member, error) {
	roster, err := r.node.agent.RosterOf(ctx, dataCentre, fresh)
	if err != nil {
		return membership.Member{}, errkind.Wrap(errkind.OwnerUnavailable, err, "")
	}
	var answering, rest membership.Roster
	for _, m := range roster.Members {
		switch {
		case failures[m.Incarnation] >= dispatcherTries:
		case r.node.agent.IsUnresponsive(m.Incarnation):
			rest.Members = append(rest.Members, m)
		default:
			answering.Members = append(answering.Members, m)
		}
	}
	m, ok := answering.HashOwner(dispatcherKey(group))
	if !ok {
		m, ok = rest.HashOwner(dispatcherKey(group))
	}
	if !ok {
		return m, errkind.New(errkind.OwnerUnavailable, "No daemon of the data centre "+dataCentre+" answers.")
	}
	return m, nil
}

const releaseTimeout = 2 * time.Second

// Release gives a slot back in the background. A release that is lost ends with the expiry of the grant.
func (r *router) Release(rel peer.ReleaseRequest) {
	m, ok := r.node.slots.take(rel.Ticket)
	if !ok {
		return
	}
	if m.Incarnation == r.node.agent.Incarnation() {
		r.node.pool.Release(rel)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		if err := r.node.peers.Post(ctx, m.PeerAddress, peer.PathReleaseSlot, rel, nil); err != nil {
			r.node.log.Debug("slot was not released", "ticket", rel.Ticket, "error", err)
		}
	}()
}
