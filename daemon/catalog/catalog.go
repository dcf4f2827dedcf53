// Package catalog holds what a daemon believes of the operator's configuration and of the upstreams, as the platform's store
// reports them.
package catalog

import (
	"context"
	"log/slog"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"jackdawbay.dev/core/route"
	"jackdawbay.dev/daemon/platform"
)

// Upstream is one engine or plain service process that takes requests.
type Upstream struct {
	ID              string
	Service         string
	Address         string
	DataCentre      string
	Version         string // Version of its software.
	Slots           int
	Draining        bool
	WarmupRemaining time.Duration // How much longer it remains slow after its start.
	StartedAtMillis int64         // Start of the process in Unix milliseconds; tells two processes with one ID apart.
}

// Formats decodes the platform's objects.
type Decoder interface {
	ConfigKind() string
	DecodeConfig(objects map[string]platform.Object) (route.Config, error)
	UpstreamKind() string
	DecodeUpstream(o platform.Object) (Upstream, error)
}

// Times of the catalog.
const (
	// watchPause is far below the seconds within which a change has to be in force.
	watchPause = 300 * time.Millisecond
	// returnTime is the time in which upstreams whose entries lapsed while the store was away register again.
	returnTime = 2200 * time.Millisecond
)

// Catalog follows the configuration and the upstreams.
type Catalog struct {
	store   platform.Store
	formats Decoder
	log     *slog.Logger

	table     atomic.Pointer[route.Table]
	upstreams atomic.Pointer[Upstreams]

	mu        sync.Mutex
	known     map[string]Upstream
	bad       map[string]uint64 // Versions of entries that were reported as undecodable.
	lostSince time.Time         // Zero while the store answers.
	backSince time.Time
	held      map[string]bool // Upstreams whose entries are missing and may come back.

	onUpstreams   func(*Upstreams)
	configVersion *metrics.Gauge
}

// Upstreams is an immutable list of upstreams.
type Upstreams struct {
	ByService map[string][]Upstream
	ByID      map[string]Upstream
	Revision  uint64
}

// New returns a catalog. UpdateUpstreams is called with each new list.
func New(store platform.Store, formats Decoder, log *slog.Logger, set *metrics.Set, onUpstreams func(*Upstreams)) *Catalog {
	c := &Catalog{store: store, formats: formats, log: log, known: map[string]Upstream{}, bad: map[string]uint64{}, held: map[string]bool{}, onUpstreams: onUpstreams}
	c.upstreams.Store(&Upstreams{})
	c.configVersion = set.NewGauge("jackdawbay_config_version", func() float64 {
		if t := c.table.Load(); t != nil {
			return float64(t.Config.Version)
		}
		return 0
	})
	return c
}

// Table returns the routes in force, or nil while no configuration is known.
func (c *Catalog) Table() *route.Table { return c.table.Load() }

// Upstreams returns the present list.
func (c *Catalog) Upstreams() *Upstreams { return c.upstreams.Load() }

// FollowConfig follows the configuration until the context ends.
func (c *Catalog) FollowConfig(ctx context.Context) error {
	platform.Follow(ctx, c.store, c.formats.ConfigKind(), platform.FollowOptions{WatchDelay: watchPause, Log: c.log}, c.onConfig)
	return ctx.Err()
}

func (c *Catalog) onConfig(objects map[string]platform.Object) {
	cfg, err := c.formats.DecodeConfig(objects)
	if err != nil {
		c.log.Error("configuration cannot be decoded", "error", err)
		return
	}
	old := c.table.Load()
	if old != nil && cfg.Version <= old.Config.Version {
		if cfg.Version < old.Config.Version {
			c.log.Warn("older configuration ignored", "version", cfg.Version, "in_force", old.Config.Version)
		}
		return
	}
	c.table.Store(route.NewTable(cfg))
	c.log.Info("configuration in force", "version", cfg.Version, "routes", len(cfg.Routes), "services", len(cfg.Services))
}

// FollowUpstreams follows the list of upstreams until the context ends.
func (c *Catalog) FollowUpstreams(ctx context.Context) error {
	options := platform.FollowOptions{WatchDelay: watchPause, Log: c.log, OnResponse: c.onRead, OnError: c.onLost}
	platform.Follow(ctx, c.store, c.formats.UpstreamKind(), options, c.onEntries)
	return ctx.Err()
}

func (c *Catalog) onLost(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lostSince.IsZero() {
		c.lostSince = at
	}
}

func (c *Catalog) onRead(at time.Time) {
	c.mu.Lock()
	if !c.lostSince.IsZero() {
		c.lostSince, c.backSince = time.Time{}, at
	}
	c.mu.Unlock()
}

// dropHeld drops upstreams that have not come back in time after the store did.
func (c *Catalog) dropHeld(backSince time.Time) {
	c.mu.Lock()
	if !c.backSince.Equal(backSince) || !c.lostSince.IsZero() || len(c.held) == 0 {
		c.mu.Unlock()
		return
	}
	for id := range c.held {
		c.log.Info("upstream did not come back after the store did", "upstream", id, "address", c.known[id].Address)
		delete(c.known, id)
	}
	c.held = map[string]bool{}
	c.mu.Unlock()
	c.publish(0)
}

func (c *Catalog) onEntries(objects map[string]platform.Object) {
	c.mu.Lock()
	next := make(map[string]Upstream, len(objects))
	var revision uint64
	for name, o := range objects {
		u, err := c.formats.DecodeUpstream(o)
		if err != nil {
			if c.bad[name] != o.Version {
				c.bad[name] = o.Version
				c.log.Warn("entry of an upstream skipped", "name", name, "revision", o.Version, "error", err)
			}
			continue
		}
		next[name] = u
		revision = max(revision, o.Version)
	}
	now := time.Now()
	returning := !c.backSince.IsZero() && now.Sub(c.backSince) <= returnTime
	held := map[string]bool{}
	for id, u := range c.known {
		if n, ok := next[id]; ok {
			c.logChange(u, n)
			continue
		}
		if returning && !u.Draining {
			next[id], held[id] = u, true
			continue
		}
		c.log.Info("upstream gone", "upstream", id, "address", u.Address, "revision", revision)
	}
	for id, u := range next {
		if _, ok := c.known[id]; !ok {
			c.log.Info("upstream known", "upstream", id, "service", u.Service, "address", u.Address, "data_centre", u.DataCentre, "revision", revision)
		}
	}
	for name := range c.bad {
		if _, ok := objects[name]; !ok {
			delete(c.bad, name)
		}
	}
	c.known, c.held = next, held
	if len(held) > 0 {
		since := c.backSince
		time.AfterFunc(max(returnTime-now.Sub(since), 0), func() { c.dropHeld(since) })
	}
	c.mu.Unlock()
	c.publish(revision)
}

func (c *Catalog) logChange(old, now Upstream) {
	if old.Draining != now.Draining || old.Address != now.Address || old.StartedAtMillis != now.StartedAtMillis {
		c.log.Info("upstream changed", "upstream", now.ID, "draining", now.Draining, "address", now.Address, "born", now.StartedAtMillis)
	}
}

func (c *Catalog) publish(revision uint64) {
	c.mu.Lock()
	u := &Upstreams{ByService: map[string][]Upstream{}, ByID: make(map[string]Upstream, len(c.known)), Revision: revision}
	for id, up := range c.known {
		u.ByID[id] = up
		u.ByService[up.Service] = append(u.ByService[up.Service], up)
	}
	c.mu.Unlock()
	for _, list := range u.ByService {
		sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	}
	c.upstreams.Store(u)
	c.onUpstreams(u)
}
