// Package route implements the routes of the operator's configuration: which requests they match, to which services they
// forward, and which requests may be repeated.
package route

import (
	"net"
	"sort"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind determines which requests of a route may be repeated. It takes precedence over the HTTP method.
type Kind string

// Kinds of routes.
const (
	Idempotent    Kind = "idempotent"
	NonIdempotent Kind = "non_idempotent"
	Stream        Kind = "stream"
)

// Backend is a service of a route with its weight in the traffic split.
type Backend struct {
	Service string
	Weight  int
}

// Route is one route of the configuration.
type Route struct {
	Name           string
	Host           string
	PathPrefix     string // Starts and ends with a slash.
	Kind           Kind
	Timeout        time.Duration // Max duration for which a request may wait.
	LatencyTarget  time.Duration // Target for the response time.
	Priority       int           // Priority rank; 0 is the highest.
	MaxUpstreams   int           // Max number of upstreams to which one attempt of a caller may be sent.
	Backends       []Backend
	HasPromptParts bool          // Requests list the parts of their prompt.
	Resumable      bool          // A stream may be resumed at another engine.
	StoreTurns     bool          // The turns are stored.
	Retention      time.Duration // Time for which a turn and the token count of a program are retained.
}

// IsRepeatable reports whether a request of the route may run more than once.
func (r *Route) IsRepeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// SelectService returns the service for a request by weight. Equal keys get the same service.
func (r *Route) SelectService(key string) string {
	totalWeight := 0
	for _, b := range r.Backends {
		totalWeight += b.Weight
	}
	if totalWeight <= 0 {
		if len(r.Backends) == 0 {
			return ""
		}
		return r.Backends[0].Service
	}
	position := int(xxhash.Sum64String(key) % uint64(totalWeight))
	for _, b := range r.Backends {
		if position < b.Weight {
			return b.Service
		}
		position -= b.Weight
	}
	return r.Backends[len(r.Backends)-1].Service
}

// Service is one service of the configuration.
type Service struct {
	Name           string
	HealthPath     string
	MaxConns       int // Max connections that one engine accepts from all daemons together.
	IsEngine       bool
	TokensPerEvent int64 // Tokens per event of a stream.
}

// Limits are the limits on requests from callers.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the operator's configuration.
type Config struct {
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Limits   Limits

	Organisations []Organisation
}

// Table maps requests to routes. It is immutable.
type Table struct {
	Config       Config
	routesByHost map[string][]*Route // Sorted by descending prefix length.
}

// NewTable returns the table of a configuration.
func NewTable(c Config) *Table {
	t := &Table{Config: c, routesByHost: map[string][]*Route{}}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		t.routesByHost[host] = append(t.routesByHost[host], r)
	}
	for _, routes := range t.routesByHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].PathPrefix) > len(routes[j].PathPrefix) })
	}
	return t
}

// Lookup returns the route with the longest prefix of the path, or nil if no route matches.
func (t *Table) Lookup(host, path string) *Route {
	host = strings.ToLower(host)
	routes, ok := t.routesByHost[host]
	if !ok {
		if name, _, err := net.SplitHostPort(host); err == nil {
			routes = t.routesByHost[name]
		}
	}
	for _, r := range routes {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}
