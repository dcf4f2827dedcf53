package dispatch

import (
	"context"
	"time"

	"jackdawbay.dev/api/caller"
	"jackdawbay.dev/api/errkind"
	"jackdawbay.dev/core/schedule"
	"jackdawbay.dev/daemon/peer"
)

func (g *group) acquire(ctx context.Context, a peer.AcquireRequest) (schedule.Grant, error) {
	ready := make(chan schedule.Grant, 1)
	if err := g.enqueue(a, ready); err != nil {
		return schedule.Grant{}, err
	}
	select {
	case grant := <-ready:
		return grant, nil
	case <-ctx.Done():
		if grant, ok := g.abandon(a.Ticket, ready); ok {
			g.release(peer.ReleaseRequest{Ticket: grant.Ticket})
		}
		return schedule.Grant{}, errkind.New(errkind.DeadlineUnreachable, "No slot came free in time.")
	}
}

func (g *group) enqueue(a peer.AcquireRequest, ready chan schedule.Grant) error {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, name := range a.Exclude {
		g.suspend(name)
	}
	err := g.d.Enqueue(now, schedule.Ticket{
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
	g.waiters[a.Ticket] = ready
	g.pump(now)
	return nil
}

// abandon withdraws a ticket. It returns the grant that came at the same moment, if any.
func (g *group) abandon(ticket string, ready chan schedule.Grant) (schedule.Grant, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case grant := <-ready:
		return grant, true
	default:
	}
	delete(g.waiters, ticket)
	g.d.Cancel(ticket)
	g.pump(time.Now())
	return schedule.Grant{}, false
}

// pump hands out slots while there are some.
func (g *group) pump(now time.Time) {
	for {
		grant, ok := g.d.NextGrant(now)
		if !ok {
			return
		}
		ready, waiting := g.waiters[grant.Ticket]
		if !waiting {
			g.d.Release(now, grant.Ticket, caller.Usage{})
			continue
		}
		delete(g.waiters, grant.Ticket)
		g.granted[grant.Ticket] = held{engine: grant.Engine, since: now}
		ready <- grant
	}
}

func (g *group) release(r peer.ReleaseRequest) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if r.Failed {
		if e, ok := g.engines[r.Engine]; ok {
			e.failures++
		}
	}
	g.observeService(now, r)
	delete(g.granted, r.Ticket)
	g.d.Release(now, r.Ticket, r.Usage)
	g.pump(now)
}

// serviceWeight is the weight of a new value in the moving mean of service times.
const serviceWeight = 0.05

func (g *group) observeService(now time.Time, r peer.ReleaseRequest) {
	slot, ok := g.granted[r.Ticket]
	if !ok || r.Failed {
		return
	}
	took := now.Sub(slot.since)
	if g.service == 0 {
		g.service = took
	}
	g.service += time.Duration(serviceWeight * float64(took-g.service))
}

// load returns the load of the group for the choice of a data centre.
func (g *group) load() peer.GroupLoad {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := peer.GroupLoad{
		DataCentre:    g.pool.cfg.DataCentre,
		Running:       len(g.granted),
		Waiting:       g.d.WaitingCount(),
		ServiceMillis: g.service.Milliseconds(),
	}
	for _, e := range g.engines {
		if !e.spec.Draining {
			l.Slots += e.spec.Slots
		}
	}
	return l
}

func (g *group) ingressLost(incarnation string) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for ticket, slot := range g.granted {
		ingress, attempt := peer.SplitTicket(ticket)
		if ingress != incarnation {
			continue
		}
		delete(g.granted, ticket)
		g.d.Release(now, ticket, caller.Usage{})
		if e, ok := g.engines[slot.engine]; ok {
			go g.cancel(e.address, attempt)
		}
	}
	g.pump(now)
}

// cancel stops the request of a lost ingress, which would go on in the engine for no reader.
func (g *group) cancel(address, attempt string) {
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	if err := g.pool.engines.CancelRequest(ctx, address, attempt); err != nil {
		g.pool.log.Debug("request of a lost daemon was not cancelled", "request", attempt, "error", err)
	}
}
