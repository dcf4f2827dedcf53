// Package route holds the routes of the operator's configuration: which requests they match, to which services they lead,
// and what may be repeated.
package route

import (
	"net"
	"sort"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind says what may be repeated on a route. It goes before the request's method.
type Kind string

// Kinds of routes.
const (
	Idempotent    Kind = "idempotent"
	NonIdempotent Kind = "non_idempotent"
	Stream        Kind = "stream"
)

// Backend is one service of a route with its share of the requests.
type Backend struct {
	Service string
	Weight  int
}

// Route is one route of the configuration.
type Route struct {
	Name           string
	Host           string
	PathPrefix     string // Begins and ends with a slash.
	Kind           Kind
	Timeout        time.Duration // Longest time that a request may be kept waiting.
	LatencyTarget  time.Duration // Time within which a response is on time.
	Priority       int           // Rank; 0 is the highest.
	MaxUpstreams   int           // Upstreams to which one attempt of a caller may be sent.
	Backends       []Backend
	HasPromptParts bool          // Requests name the parts of their prompt.
	Resumable      bool          // A stream may go on at another engine.
	StoreTurns     bool          // The system keeps what was said.
	Retention      time.Duration // Time for which a turn and the token count of a program are kept.
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) IsRepeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Service picks the service for a request by the weights, the same one for equal keys.
func (r *Route) SelectService(key string) string {
	total := 0
	for _, b := range r.Backends {
		total += b.Weight
	}
	if total <= 0 {
		if len(r.Backends) == 0 {
			return ""
		}
		return r.Backends[0].Service
	}
	n := int(xxhash.Sum64String(key) % uint64(total))
	for _, b := range r.Backends {
		if n < b.Weight {
			return b.Service
		}
		n -= b.Weight
	}
	return r.Backends[len(r.Backends)-1].Service
}

// Service is one service of the configuration.
type Service struct {
	Name           string
	HealthPath     string
	MaxConns       int // Connections that one engine accepts from all daemons together.
	IsEngine       bool
	TokensPerEvent int64 // Tokens of one event of a stream.
}

// Limits bound what a caller may send.
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
}

// Table finds the route of a request. It is immutable.
type Table struct {
	Config Config
	byHost map[string][]*Route // Longest prefix first.
}

// NewTable builds the table of a configuration.
func NewTable(c Config) *Table {
	t := &Table{Config: c, byHost: map[string][]*Route{}}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, routes := range t.byHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].PathPrefix) > len(routes[j].PathPrefix) })
	}
	return t
}

// Lookup returns the route with the longest prefix of the path, or nil.
func (t *Table) Lookup(host, path string) *Route {
	host = strings.ToLower(host)
	routes, ok := t.byHost[host]
	if !ok {
		if name, _, err := net.SplitHostPort(host); err == nil {
			routes = t.byHost[name]
		}
	}
	for _, r := range routes {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}
