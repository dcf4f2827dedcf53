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

// Bounds of the settlement of charges.
const (
	settleRing    = 4096 // Charges that wait; a full ring leaves the charge at its worst case.
	settleWorkers = 16
	settleTimeout = 1500 * time.Millisecond
	settleTries   = 5
	settlePause   = 400 * time.Millisecond
)

// settlement lowers the charge of a turn to the tokens that reached the caller.
type settlement struct {
	program string
	charge  core.Charge
	retain  time.Duration
}

func (g *Gateway) enqueueSettlement(s settlement) {
	select {
	case g.settle <- s:
	default:
		g.stats.settleDropped.Inc()
		g.cfg.Log.Warn("charge is not settled: too many wait", "program", s.program, "request", s.charge.Turn)
	}
}

// Settled reports whether no charge waits for its settlement.
func (g *Gateway) AllChargesSettled() bool { return len(g.settle) == 0 }

func (g *Gateway) runSettle(ctx context.Context) error {
	var wg sync.WaitGroup
	for range settleWorkers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for {
				select {
				case <-ctx.Done():
					return
				case s := <-g.settle:
					g.settleOne(ctx, s)
				}
			}
		}()
	}
	wg.Wait()
	return ctx.Err()
}

func (g *Gateway) settleOne(ctx context.Context, s settlement) {
	for range settleTries {
		attempt, cancel := context.WithTimeout(ctx, settleTimeout)
		err := g.cfg.Replicas.StoreTurn(attempt, nil, s.program, &s.charge, s.retain)
		cancel()
		if err == nil {
			return
		}
		if !clock.Sleep(ctx, settlePause) {
			return
		}
	}
	g.stats.settleDropped.Inc()
	g.cfg.Log.Warn("charge is not settled: too few replicas answer", "program", s.program, "request", s.charge.Turn, "tokens", s.charge.Tokens)
}

// turnCache keeps the turns that this daemon has seen last.
type turnCache struct {
	mu    sync.Mutex
	limit int64
	bytes int64
	items map[string]*list.Element
	order *list.List // Most recently used first.
}

func newTurnCache(limit int64) *turnCache {
	return &turnCache{limit: limit, items: map[string]*list.Element{}, order: list.New()}
}

func turnBytes(t replica.Turn) int64 { return int64(len(t.Input)+len(t.Output)) + 256 }

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
	c.bytes += turnBytes(t)
	for c.bytes > c.limit && c.order.Len() > 1 {
		last := c.order.Back()
		old := c.order.Remove(last).(replica.Turn)
		delete(c.items, old.ID)
		c.bytes -= turnBytes(old)
	}
}
