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
	// maxSlotAttempts bounds the requests for a slot while the dispatcher cannot be reached.
	maxSlotAttempts = 6

	// maxDispatcherAttempts bounds the requests to one dispatcher. Afterwards the next member in rendezvous order is
	// used, because the roster cannot be changed while the platform is down. Two dispatchers of one group can overload
	// an engine, which costs only time.
	maxDispatcherAttempts = 2
)

// Acquire acquires an engine slot in the best data centre. If that data centre has no usable engine or cannot be
// reached, the others are tried in order of distance. A data centre of another region is used only while the byte budget
// of the link covers the call.
func (r *router) Acquire(ctx context.Context, request peer.AcquireRequest) (peer.Slot, error) {
	err := error(errkind.New(errkind.UpstreamUnavailable, "No engine serves the group "+request.Group+"."))
	for _, s := range r.candidateDataCentres(request) {
		if s.OtherRegion && !r.node.dataCentreLoads.linkBudgetCovers(request) {
			err = errkind.New(errkind.QueueFull, "The byte budget of the link between regions is used up.").WithRetryAfter(time.Second)
			continue
		}
		var g grantedSlot
		g, err = r.acquireFrom(ctx, s, request)
		if err == nil {
			r.recordGrant(request, s, g)
			return g.slot, nil
		}
		if !r.shouldTryNext(ctx, s, err) {
			return peer.Slot{}, err
		}
	}
	return peer.Slot{}, err
}

// remoteSlotTimeout bounds the wait for a slot in a data centre other than the home. The data centre was chosen because
// a slot should be free there, so a longer wait shows that it cannot be reached.
const remoteSlotTimeout = 2 * time.Second

// grantedSlot is a slot with the dispatcher that granted it. The slot is released at the same dispatcher.
type grantedSlot struct {
	slot       peer.Slot
	dispatcher membership.Member
}

func (r *router) acquireFrom(ctx context.Context, s schedule.DataCentreLoad, request peer.AcquireRequest) (grantedSlot, error) {
	if s.IsHome {
		return r.acquireInDataCentre(ctx, s.DataCentre, request)
	}
	ctx, cancel := context.WithTimeout(ctx, remoteSlotTimeout)
	defer cancel()
	return r.acquireInDataCentre(ctx, s.DataCentre, request)
}

// shouldTryNext reports whether to try another data centre after an error. It marks a remote data centre that did not
// respond, so that it is skipped for a while.
func (r *router) shouldTryNext(ctx context.Context, s schedule.DataCentreLoad, err error) bool {
	if ctx.Err() != nil {
		return false
	}
	if errkind.Is(err, errkind.UpstreamUnavailable) {
		return true
	}
	unresponsive := errkind.Is(err, errkind.OwnerUnavailable) || errkind.Is(err, errkind.DeadlineUnreachable)
	if unresponsive && !s.IsHome {
		r.node.dataCentreLoads.markUnresponsive(s.DataCentre)
	}
	return unresponsive
}

// recordGrant stores the dispatcher of a slot for its release, and the load that came with the slot.
func (r *router) recordGrant(request peer.AcquireRequest, s schedule.DataCentreLoad, g grantedSlot) {
	r.node.slotDispatchers.add(request.Ticket, g.dispatcher)
	r.node.dataCentreLoads.observe(request.Group, g.slot.Load)
	if s.OtherRegion {
		r.node.dataCentreLoads.spendLinkBudget(request)
	}
}

// candidateDataCentres returns the data centres with engines of a group, the best one first.
func (r *router) candidateDataCentres(request peer.AcquireRequest) []schedule.DataCentreLoad {
	set := r.node.config.RecordSet()
	home, ok := program.DataCentreOf(request.Program)
	if !ok {
		home = r.node.settings.DataCentre
	}
	historyDataCentre := home
	if u, ok := set.Upstream(request.Preferred); ok {
		historyDataCentre = u.DataCentre
	}
	candidates := r.node.dataCentreLoads.listDataCentres(set, request, home, historyDataCentre)
	if len(candidates) == 0 || (candidates[0].IsHome && !isSaturated(candidates[0])) {
		return candidates
	}
	for _, s := range candidates {
		if !s.IsHome {
			r.refreshLoad(request.Group, s.DataCentre)
		}
	}
	return r.node.dataCentreLoads.moveBestFirst(set, request, candidates)
}

// isSaturated reports whether calls queue in a data centre. Only then can another data centre finish a call sooner, so
// calls do not depend on other data centres in normal operation.
func isSaturated(s schedule.DataCentreLoad) bool { return s.Waiting > 0 || s.Running >= s.Slots }

// refreshLoad reads the load of a group in another data centre, at most once in maxLoadAge.
func (r *router) refreshLoad(group, dataCentre string) {
	if !r.node.dataCentreLoads.claimRefresh(group, dataCentre) {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), peerMessageTimeout)
		defer cancel()
		m, err := r.selectDispatcher(ctx, dataCentre, group, false, nil)
		if err != nil {
			return
		}
		var load peer.GroupLoad
		if err := r.node.peers.Post(ctx, m.PeerAddress, peer.PathGroupLoad, peer.GroupRef{Group: group}, &load); err == nil {
			r.node.dataCentreLoads.observe(group, load)
		}
	}()
}

func (r *router) acquireInDataCentre(ctx context.Context, dataCentre string, request peer.AcquireRequest) (grantedSlot, error) {
	var err error
	failures := map[string]int{}
	for try := range maxSlotAttempts {
		var m membership.Member
		m, err = r.selectDispatcher(ctx, dataCentre, request.Group, try > 0, failures)
		if err != nil {
			return grantedSlot{}, err
		}
		g := grantedSlot{dispatcher: m}
		if m.Incarnation == r.node.agent.Incarnation() {
			g.slot, err = r.node.pool.Acquire(ctx, request)
			return g, err
		}
		err = r.requestSlot(ctx, dataCentre, m, request, &g.slot)
		if err == nil || !errors.Is(err, peer.ErrUnreachable) {
			return g, err
		}
		failures[m.Incarnation]++
		if errors.Is(err, transport.ErrNotSent) && dataCentre == r.node.settings.DataCentre {
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

// requestSlot waits for a slot of another daemon, until that daemon is removed from the roster or becomes unresponsive.
func (r *router) requestSlot(ctx context.Context, dataCentre string, m membership.Member, request peer.AcquireRequest, slot *peer.Slot) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if dataCentre == r.node.settings.DataCentre {
		go r.cancelOnRemoval(ctx, cancel, m.Incarnation)
	}
	go r.cancelWhenUnresponsive(ctx, cancel, m)
	return r.node.peers.Post(ctx, m.PeerAddress, peer.PathAcquireSlot, request, slot)
}

// cancelWhenUnresponsive cancels a wait at a dispatcher that no longer responds to probes. While the platform is down,
// such a daemon cannot be removed from the roster. It returns when the context ends.
func (r *router) cancelWhenUnresponsive(ctx context.Context, cancel context.CancelFunc, m membership.Member) {
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

// selectDispatcher returns the member that grants the slots of an engine group in a data centre. It skips members with
// too many failed requests. It selects an unresponsive member only if all others are skipped.
func (r *router) selectDispatcher(ctx context.Context, dataCentre, group string, refresh bool, failures map[string]int) (membership.Member, error) {
	roster, err := r.node.agent.RosterOf(ctx, dataCentre, refresh)
	if err != nil {
		return membership.Member{}, errkind.Wrap(errkind.OwnerUnavailable, err, "")
	}
	var responsive, unresponsive membership.Roster
	for _, m := range roster.Members {
		switch {
		case failures[m.Incarnation] >= maxDispatcherAttempts:
		case r.node.agent.IsUnresponsive(m.Incarnation):
			unresponsive.Members = append(unresponsive.Members, m)
		default:
			responsive.Members = append(responsive.Members, m)
		}
	}
	m, ok := responsive.HashOwner(dispatcherKey(group))
	if !ok {
		m, ok = unresponsive.HashOwner(dispatcherKey(group))
	}
	if !ok {
		return m, errkind.New(errkind.OwnerUnavailable, "No daemon of the data centre "+dataCentre+" answers.")
	}
	return m, nil
}

const peerMessageTimeout = 2 * time.Second

// Release releases a slot in the background. If the release is lost, the slot is freed when its grant expires.
func (r *router) Release(rel peer.ReleaseRequest) {
	m, ok := r.node.slotDispatchers.remove(rel.Ticket)
	if !ok {
		return
	}
	if m.Incarnation == r.node.agent.Incarnation() {
		r.node.pool.Release(rel)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), peerMessageTimeout)
		defer cancel()
		if err := r.node.peers.Post(ctx, m.PeerAddress, peer.PathReleaseSlot, rel, nil); err != nil {
			r.node.log.Debug("slot was not released", "ticket", rel.Ticket, "error", err)
		}
	}()
}
