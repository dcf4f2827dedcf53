package gateway

import (
	"container/list"
	"context"
	"sync"
	"time"

	core "jackdawbay.dev/core/replica"
	"jackdawbay.dev/daemon/clock"
	"jackdawbay.dev/daemon/replica"
)

// Limits of the settlement of charges.
const (
	settlementQueueSize  = 4096 // If the queue is full, the charge remains at the upper bound of the turn.
	settlementWorkers    = 16
	settlementTimeout    = 1500 * time.Millisecond
	settlementAttempts   = 5
	settlementRetryDelay = 400 * time.Millisecond
)

// settlement stores charges of a program after the turn has been admitted: the tokens that reached the caller, in place of
// the upper bound of the turn, or earlier charges that not every replica of the quorum had.
type settlement struct {
	program   string // Stored ID of the program.
	request   string // ID of the turn.
	charges   []core.Charge
	retention time.Duration
}

func (g *Gateway) enqueueSettlement(s settlement) {
	select {
	case g.settlements <- s:
	default:
		g.stats.settlementsDropped.Inc()
		organisation, program := callerID(s.program)
		g.cfg.Log.Warn("charge was not settled: settlement queue is full", "program", program, "request", s.request, "organisation", organisation)
	}
}

// AllChargesSettled reports whether the settlement queue is empty.
func (g *Gateway) AllChargesSettled() bool { return len(g.settlements) == 0 }

func (g *Gateway) runSettlements(ctx context.Context) error {
	var wg sync.WaitGroup
	for range settlementWorkers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for {
				select {
				case <-ctx.Done():
					return
				case s := <-g.settlements:
					g.applySettlement(ctx, s)
				}
			}
		}()
	}
	wg.Wait()
	return ctx.Err()
}

func (g *Gateway) applySettlement(ctx context.Context, s settlement) {
	for range settlementAttempts {
		attempt, cancel := context.WithTimeout(ctx, settlementTimeout)
		err := g.cfg.Replicas.StoreCharges(attempt, s.program, s.charges, s.retention)
		cancel()
		if err == nil {
			return
		}
		if !clock.Sleep(ctx, settlementRetryDelay) {
			return
		}
	}
	g.stats.settlementsDropped.Inc()
	organisation, program := callerID(s.program)
	g.cfg.Log.Warn("charge was not settled: no quorum of replicas responded", "program", program, "request", s.request, "charges", len(s.charges),
		"organisation", organisation)
}

// turnCache caches the most recently used turns.
type turnCache struct {
	mu       sync.Mutex
	maxBytes int64
	bytes    int64
	items    map[string]*list.Element
	order    *list.List // Most recently used first.
}

func newTurnCache(maxBytes int64) *turnCache {
	return &turnCache{maxBytes: maxBytes, items: map[string]*list.Element{}, order: list.New()}
}

func turnSize(t replica.Turn) int64 { return int64(len(t.Input)+len(t.Output)) + 256 }

func (c *turnCache) get(id string) (replica.Turn, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, ok := c.items[id]
	if !ok {
		return replica.Turn{}, false
	}
	c.order.MoveToFront(e)
	return e.Value.(replica.Turn), true
}

func (c *turnCache) put(t replica.Turn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.items[t.ID]; ok {
		return
	}
	c.items[t.ID] = c.order.PushFront(t)
	c.bytes += turnSize(t)
	for c.bytes > c.maxBytes && c.order.Len() > 1 {
		oldest := c.order.Back()
		evicted := c.order.Remove(oldest).(replica.Turn)
		delete(c.items, evicted.ID)
		c.bytes -= turnSize(evicted)
	}
}
