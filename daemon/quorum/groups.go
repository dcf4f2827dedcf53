package quorum

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	core "jackdawbay.dev/core/replica"
	"jackdawbay.dev/daemon/platform"
	"jackdawbay.dev/daemon/replica"
	"jackdawbay.dev/daemon/transport"
)

// Groups is the client of all replica groups. A program's charges and turns are stored by the group to which the program
// hashes. It is safe for concurrent use.
type Groups struct {
	cfg Config
	ctx context.Context

	mu             sync.Mutex
	layout         core.Layout
	layoutRevision uint64
	clients        []*Client // By group; at least one.
}

// New returns a client of all groups. Its senders run until the context ends.
func New(ctx context.Context, cfg Config) *Groups {
	cfg.bodies = transport.NewBodyReader(maxLargeResponses)
	g := &Groups{cfg: cfg, ctx: ctx, layout: core.SingleGroup(), clients: []*Client{newClient(ctx, cfg, 0)}}
	g.registerMetrics()
	return g
}

// FollowViews updates the layout and the views from the platform's store until the context ends.
func (g *Groups) FollowViews(ctx context.Context, store platform.Follower) error {
	onRead := func(at time.Time) {
		for _, c := range g.all() {
			c.onStoreResponse(at)
		}
	}
	store.Follow(ctx, replica.ViewKind, platform.FollowOptions{Log: g.cfg.Log, OnResponse: onRead}, g.onViews)
	return ctx.Err()
}

func (g *Groups) onViews(objects map[string]platform.Object) {
	if o, ok := objects[replica.LayoutName]; ok {
		g.onLayout(o)
	}
	for group, c := range g.all() {
		if o, ok := objects[core.ViewName(group)]; ok {
			c.onViewObject(o)
		}
	}
}

// onLayout adopts a layout. The number of groups is adopted once: a program must not hash to another group later.
func (g *Groups) onLayout(o platform.Object) {
	var l core.Layout
	if err := json.Unmarshal(o.Value, &l); err != nil || !l.IsValid() {
		g.cfg.Log.Error("cannot decode layout of the replicas", "error", err, "revision", o.Version, "groups", l.Groups)
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if o.Version <= g.layoutRevision {
		return
	}
	if g.layoutRevision > 0 && l.Groups != g.layout.Groups {
		g.cfg.Log.Error("ignored a layout with another number of groups", "revision", o.Version, "groups", l.Groups, "in_force", g.layout.Groups)
		return
	}
	isFirst := g.layoutRevision == 0
	g.layout, g.layoutRevision = l, o.Version
	for group := len(g.clients); group < l.Groups; group++ {
		g.clients = append(g.clients, newClient(g.ctx, g.cfg, group))
	}
	if isFirst {
		g.cfg.Log.Info("layout of the replicas in force", "groups", l.Groups, "vms", len(l.GroupOf), "revision", o.Version)
	}
}

// all returns the clients of all groups, by group.
func (g *Groups) all() []*Client {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.clients[:len(g.clients):len(g.clients)]
}

// client returns the client of the group that stores a program.
func (g *Groups) client(program string) *Client {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.clients[g.layout.GroupOfProgram(program)]
}

// HasQuorum reports whether the responsive replicas are a quorum of at least half of the groups. A gateway without them cannot
// serve most turns, while another gateway may.
func (g *Groups) HasQuorum() bool {
	clients := g.all()
	n := 0
	for _, c := range clients {
		if c.HasQuorum() {
			n++
		}
	}
	return n > 0 && 2*n >= len(clients)
}

// StoreTurn stores a complete turn and settles its charge, as Client.StoreTurn does. If the turn continues a turn of another
// program, the group of its own program stores that chain as well.
func (g *Groups) StoreTurn(ctx context.Context, turn *replica.Turn, program string, charge *core.Charge, retention time.Duration, cached func(id string) (replica.Turn, bool)) error {
	return g.client(program).storeTurn(ctx, turn, program, charge, retention, func(ctx context.Context, last string) ([]replica.Turn, error) {
		return wholeChain(g.BeginTurn(ctx, program, nil, last, 0, cached))
	})
}

// StoreCharges stores charges of a program, as Client.StoreCharges does.
func (g *Groups) StoreCharges(ctx context.Context, program string, charges []core.Charge, retention time.Duration) error {
	return g.client(program).StoreCharges(ctx, program, charges, retention)
}

// StoreEvents stores events of a stream that is under way, as Client.StoreEvents does.
func (g *Groups) StoreEvents(ctx context.Context, program string, events []replica.Turn, retention time.Duration) error {
	return g.client(program).StoreEvents(ctx, program, events, retention)
}

// BeginTurn charges the upper bound of a turn and reads its chain, as Client.BeginTurn does. A program may continue a turn of
// another program, which another group may store. A turn is missing only if no group has it, and none may have lost it.
func (g *Groups) BeginTurn(ctx context.Context, program string, charge *core.Charge, previousTurn string, retention time.Duration, cached func(id string) (replica.Turn, bool)) (BeginResult, error) {
	own := g.client(program)
	result, err := own.BeginTurn(ctx, program, charge, previousTurn, retention, cached)
	asked := own
	for err == nil && result.MissingTurn != "" {
		var rest BeginResult
		rest, asked, err = g.readChainElsewhere(ctx, asked, program, result.MissingTurn, cached)
		if err != nil || len(rest.Chain) == 0 {
			break
		}
		result.Chain, result.MissingTurn = append(result.Chain, rest.Chain...), rest.MissingTurn
	}
	if err != nil {
		return BeginResult{}, err
	}
	if result.MissingTurn != "" {
		for _, c := range g.all() {
			if c.View().MayLackWrites(time.Now(), retention) {
				return BeginResult{}, &noQuorumError{c.newFailure(CauseMayBeLost, nil)}
			}
		}
	}
	return result, nil
}

// readChainElsewhere reads the chain that ends with a turn from all groups but one, which does not have the turn. It returns
// the result of the group that has the turn, or an empty result if certainly no group has it. If a group is not available, it
// may have the turn, and the error is that of the group.
func (g *Groups) readChainElsewhere(ctx context.Context, except *Client, program, turn string, cached func(id string) (replica.Turn, bool)) (BeginResult, *Client, error) {
	type groupResult struct {
		client *Client
		result BeginResult
		err    error
	}
	clients := g.all()
	results := make(chan groupResult, len(clients))
	count := 0
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for _, c := range clients {
		if c == except {
			continue
		}
		count++
		go func() {
			result, err := c.BeginTurn(ctx, program, nil, turn, 0, cached)
			results <- groupResult{c, result, err}
		}()
	}
	var unavailable error
	for range count {
		r := <-results
		if r.err != nil {
			unavailable = errors.CombineErrors(unavailable, r.err)
			continue
		}
		if len(r.result.Chain) > 0 {
			return r.result, r.client, nil
		}
	}
	return BeginResult{}, nil, unavailable
}
