package dispatch

import (
	"context"
	"time"

	"jackdawbay.dev/api/caller"
	"jackdawbay.dev/api/errkind"
	"jackdawbay.dev/core/schedule"
	"jackdawbay.dev/daemon/peer"
)

// acquire enqueues a ticket and waits for its grant until the context ends.
func (g *group) acquire(ctx context.Context, a peer.AcquireRequest) (schedule.Grant, error) {
	grantCh := make(chan schedule.Grant, 1)
	if err := g.enqueue(a, grantCh); err != nil {
		return schedule.Grant{}, err
	}
	select {
	case grant := <-grantCh:
		return grant, nil
	case <-ctx.Done():
		if grant, ok := g.cancelTicket(a.Ticket, grantCh); ok {
			g.release(peer.ReleaseRequest{Ticket: grant.Ticket})
		}
		return schedule.Grant{}, errkind.New(errkind.DeadlineUnreachable, "No slot came free in time.")
	}
}

func (g *group) enqueue(a peer.AcquireRequest, grantCh chan schedule.Grant) error {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, name := range a.Exclude {
		g.suspendEngine(name)
	}
	err := g.dispatcher.Enqueue(now, schedule.Ticket{
		ID:            a.Ticket,
		Program:       a.Program,
		Parent:        a.Parent,
		Tenant:        a.Tenant,
		Class:         a.Class,
		Model:         a.Model,
		PromptTokens:  a.PromptTokens,
		HistoryTokens: a.HistoryTokens,
		MaxTokens:     a.MaxTokens,
		SpentTokens:   a.SpentTokens,
		Deadline:      a.Deadline,
		Enqueued:      now,

		PreferredEngine: a.Preferred,
	})
	if err != nil {
		return err
	}
	g.pendingGrants[a.Ticket] = grantCh
	g.grantSlots(now)
	return nil
}

// cancelTicket withdraws a ticket. If a grant for it arrived in the meantime, it returns the grant and true.
func (g *group) cancelTicket(ticket string, grantCh chan schedule.Grant) (schedule.Grant, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case grant := <-grantCh:
		return grant, true
	default:
	}
	delete(g.pendingGrants, ticket)
	g.dispatcher.Cancel(ticket)
	g.grantSlots(time.Now())
	return schedule.Grant{}, false
}

// grantSlots grants free slots to waiting tickets until the dispatcher returns no grant.
func (g *group) grantSlots(now time.Time) {
	for {
		grant, ok := g.dispatcher.NextGrant(now)
		if !ok {
			return
		}
		grantCh, found := g.pendingGrants[grant.Ticket]
		if !found {
			g.dispatcher.Release(now, grant.Ticket, caller.Usage{})
			continue
		}
		delete(g.pendingGrants, grant.Ticket)
		g.slots[grant.Ticket] = grantedSlot{engine: grant.Engine, grantedAt: now}
		grantCh <- grant
	}
}

func (g *group) release(r peer.ReleaseRequest) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if r.Failed {
		if e, ok := g.engines[r.Engine]; ok {
			e.consecutiveFailures++
		}
	}
	g.recordSlotTime(now, r)
	delete(g.slots, r.Ticket)
	g.dispatcher.Release(now, r.Ticket, r.Usage)
	g.grantSlots(now)
}

// slotTimeWeight is the weight of a new value in the moving average of slot times.
const slotTimeWeight = 0.05

func (g *group) recordSlotTime(now time.Time, r peer.ReleaseRequest) {
	slot, ok := g.slots[r.Ticket]
	if !ok || r.Failed {
		return
	}
	slotTime := now.Sub(slot.grantedAt)
	if g.meanSlotTime == 0 {
		g.meanSlotTime = slotTime
	}
	g.meanSlotTime += time.Duration(slotTimeWeight * float64(slotTime-g.meanSlotTime))
}

// load returns the load of the group for the choice of a data centre.
func (g *group) load() peer.GroupLoad {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := peer.GroupLoad{
		DataCentre:    g.pool.cfg.DataCentre,
		Running:       len(g.slots),
		Waiting:       g.dispatcher.WaitingCount(),
		ServiceMillis: g.meanSlotTime.Milliseconds(),
	}
	for _, e := range g.engines {
		if !e.spec.Draining {
			l.Slots += e.spec.Slots
		}
	}
	return l
}

// releaseIngressSlots releases the slots of a removed daemon incarnation and cancels its requests at the engines.
func (g *group) releaseIngressSlots(incarnation string) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for ticket, slot := range g.slots {
		ingress, attempt := peer.SplitTicket(ticket)
		if ingress != incarnation {
			continue
		}
		delete(g.slots, ticket)
		g.dispatcher.Release(now, ticket, caller.Usage{})
		if e, ok := g.engines[slot.engine]; ok {
			go g.cancelRequest(e.address, attempt)
		}
	}
	g.grantSlots(now)
}

// cancelRequest cancels a request of a removed ingress, which would otherwise continue in the engine without a reader.
func (g *group) cancelRequest(address, attempt string) {
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	if err := g.pool.engines.CancelRequest(ctx, address, attempt); err != nil {
		g.pool.log.Debug("request of a removed daemon was not cancelled", "request", attempt, "error", err)
	}
}
