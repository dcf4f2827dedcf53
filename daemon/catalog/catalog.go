// Package catalog caches the operator's configuration and the list of upstreams as read from the platform's store.
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

// Upstream is the process of an engine or a plain service that accepts requests.
type Upstream struct {
	ID              string
	Service         string
	Address         string
	DataCentre      string
	Version         string // Software version of the process.
	Slots           int
	Draining        bool
	WarmUpRemaining time.Duration // Time for which the process remains slow after its start.
	StartMillis     int64         // Start of the process in Unix milliseconds. Distinguishes two processes with the same ID.
}

// Decoder decodes the platform's objects.
type Decoder interface {
	ConfigKind() string
	DecodeConfig(objects map[string]platform.Object) (route.Config, error)
	UpstreamKind() string
	DecodeUpstream(o platform.Object) (Upstream, error)
}

// Intervals and timeouts of the catalog.
const (
	// watchInterval is the delay between two watches. It is far below the seconds within which a change must be in force.
	watchInterval = 300 * time.Millisecond
	// reregistrationTime is the time for upstreams to register again if their entries expired while the store was
	// unavailable.
	reregistrationTime = 2200 * time.Millisecond
)

// Catalog follows the configuration and the upstreams. It is safe for concurrent use.
type Catalog struct {
	store   platform.Follower
	decoder Decoder
	log     *slog.Logger

	routes    atomic.Pointer[route.Table]
	upstreams atomic.Pointer[Upstreams]

	mu                    sync.Mutex
	entries               map[string]Upstream
	undecodable           map[string]uint64 // Versions of entries that have been logged as undecodable.
	storeUnavailableSince time.Time         // Zero while the store responds.
	storeAvailableSince   time.Time
	retained              map[string]bool // Upstreams whose entries are missing and that may register again.

	onUpstreams   func(*Upstreams)
	configVersion *metrics.Gauge
}

// Upstreams is an immutable list of upstreams.
type Upstreams struct {
	ByService map[string][]Upstream
	ByID      map[string]Upstream
	Revision  uint64
}

// New returns a catalog. The function onUpstreams is called with each new list.
func New(store platform.Follower, decoder Decoder, log *slog.Logger, set *metrics.Set, onUpstreams func(*Upstreams)) *Catalog {
	c := &Catalog{store: store, decoder: decoder, log: log, entries: map[string]Upstream{}, undecodable: map[string]uint64{}, retained: map[string]bool{}, onUpstreams: onUpstreams}
	c.upstreams.Store(&Upstreams{})
	c.configVersion = set.NewGauge("jackdawbay_config_version", func() float64 {
		if t := c.routes.Load(); t != nil {
			return float64(t.Config.Version)
		}
		return 0
	})
	return c
}

// Table returns the routes in force, or nil before the first configuration has been read.
func (c *Catalog) Table() *route.Table { return c.routes.Load() }

// Upstreams returns the current list.
func (c *Catalog) Upstreams() *Upstreams { return c.upstreams.Load() }

// FollowConfig follows the configuration until the context ends.
func (c *Catalog) FollowConfig(ctx context.Context) error {
	c.store.Follow(ctx, c.decoder.ConfigKind(), platform.FollowOptions{WatchDelay: watchInterval, Log: c.log}, c.onConfig)
	return ctx.Err()
}

func (c *Catalog) onConfig(objects map[string]platform.Object) {
	cfg, err := c.decoder.DecodeConfig(objects)
	if err != nil {
		c.log.Error("cannot decode configuration", "error", err)
		return
	}
	current := c.routes.Load()
	if current != nil && cfg.Version <= current.Config.Version {
		if cfg.Version < current.Config.Version {
			c.log.Warn("ignored an older configuration", "version", cfg.Version, "in_force", current.Config.Version)
		}
		return
	}
	c.routes.Store(route.NewTable(cfg))
	attrs := []any{"version", cfg.Version, "routes", len(cfg.Routes), "services", len(cfg.Services)}
	if cfg.Organisations != nil {
		attrs = append(attrs, "organisations", len(cfg.Organisations.ByName))
	}
	c.log.Info("configuration in force", attrs...)
	for _, warning := range cfg.Warnings {
		c.log.Warn("invalid entry in the configuration", "version", cfg.Version, "entry", warning)
	}
}

// FollowUpstreams follows the list of upstreams until the context ends.
func (c *Catalog) FollowUpstreams(ctx context.Context) error {
	options := platform.FollowOptions{WatchDelay: watchInterval, Log: c.log, OnResponse: c.onStoreRead, OnError: c.onStoreUnavailable}
	c.store.Follow(ctx, c.decoder.UpstreamKind(), options, c.onEntries)
	return ctx.Err()
}

func (c *Catalog) onStoreUnavailable(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.storeUnavailableSince.IsZero() {
		c.storeUnavailableSince = at
	}
}

func (c *Catalog) onStoreRead(at time.Time) {
	c.mu.Lock()
	if !c.storeUnavailableSince.IsZero() {
		c.storeUnavailableSince, c.storeAvailableSince = time.Time{}, at
	}
	c.mu.Unlock()
}

// dropRetained removes the retained upstreams that have not registered again since the store became available.
func (c *Catalog) dropRetained(storeAvailableSince time.Time) {
	c.mu.Lock()
	if !c.storeAvailableSince.Equal(storeAvailableSince) || !c.storeUnavailableSince.IsZero() || len(c.retained) == 0 {
		c.mu.Unlock()
		return
	}
	for id := range c.retained {
		c.log.Info("upstream did not register again after the store became available", "upstream", id, "address", c.entries[id].Address)
		delete(c.entries, id)
	}
	c.retained = map[string]bool{}
	c.mu.Unlock()
	c.publish(0)
}

func (c *Catalog) onEntries(objects map[string]platform.Object) {
	c.mu.Lock()
	next := make(map[string]Upstream, len(objects))
	var revision uint64
	for name, o := range objects {
		u, err := c.decoder.DecodeUpstream(o)
		if err != nil {
			if c.undecodable[name] != o.Version {
				c.undecodable[name] = o.Version
				c.log.Warn("cannot decode upstream entry; skipped", "name", name, "revision", o.Version, "error", err)
			}
			continue
		}
		next[name] = u
		revision = max(revision, o.Version)
	}
	now := time.Now()
	inGracePeriod := !c.storeAvailableSince.IsZero() && now.Sub(c.storeAvailableSince) <= reregistrationTime
	retained := map[string]bool{}
	for id, u := range c.entries {
		if updated, ok := next[id]; ok {
			c.logChange(u, updated)
			continue
		}
		if inGracePeriod && !u.Draining {
			next[id], retained[id] = u, true
			continue
		}
		c.log.Info("upstream gone", "upstream", id, "address", u.Address, "revision", revision)
	}
	for id, u := range next {
		if _, ok := c.entries[id]; !ok {
			c.log.Info("upstream known", "upstream", id, "service", u.Service, "address", u.Address, "data_centre", u.DataCentre, "revision", revision)
		}
	}
	for name := range c.undecodable {
		if _, ok := objects[name]; !ok {
			delete(c.undecodable, name)
		}
	}
	c.entries, c.retained = next, retained
	if len(retained) > 0 {
		storeAvailableSince := c.storeAvailableSince
		time.AfterFunc(max(reregistrationTime-now.Sub(storeAvailableSince), 0), func() { c.dropRetained(storeAvailableSince) })
	}
	c.mu.Unlock()
	c.publish(revision)
}

func (c *Catalog) logChange(previous, current Upstream) {
	if previous.Draining != current.Draining || previous.Address != current.Address || previous.StartMillis != current.StartMillis {
		c.log.Info("upstream changed", "upstream", current.ID, "draining", current.Draining, "address", current.Address, "born", current.StartMillis)
	}
}

func (c *Catalog) publish(revision uint64) {
	c.mu.Lock()
	u := &Upstreams{ByService: map[string][]Upstream{}, ByID: make(map[string]Upstream, len(c.entries)), Revision: revision}
	for id, up := range c.entries {
		u.ByID[id] = up
		u.ByService[up.Service] = append(u.ByService[up.Service], up)
	}
	c.mu.Unlock()
	for _, serviceUpstreams := range u.ByService {
		sort.Slice(serviceUpstreams, func(i, j int) bool { return serviceUpstreams[i].ID < serviceUpstreams[j].ID })
	}
	c.upstreams.Store(u)
	c.onUpstreams(u)
}
