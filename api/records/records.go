// Package records defines the records that operators write. The types in this file are the internal form that daemons
// work with. The packages v1 and v2 hold the versioned forms that operators write; Decode and Encode convert both ways
// through the internal form.
package records

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
	"time"
)

// Kind names a kind of record.
type Kind string

// Kinds of records.
const (
	KindTenant     Kind = "Tenant"
	KindModel      Kind = "Model"
	KindUpstream   Kind = "Upstream"
	KindBudget     Kind = "Budget"
	KindLimit      Kind = "Limit"
	KindPlacement  Kind = "Placement"
	KindDataCentre Kind = "DataCentre"
	KindResolution Kind = "Resolution"
)

// Kinds lists every kind in the order in which records refer to each other.
var Kinds = []Kind{
	KindDataCentre, KindTenant, KindModel, KindUpstream, KindBudget, KindLimit, KindPlacement, KindResolution,
}

// DataCentre places a data centre in a region.
type DataCentre struct {
	Region                    string
	WeightStoreBytesPerSecond int64 // Share of the weight store's rate that engines of the data centre may use together.
}

// Tenant is a customer. KeyHashes holds the SHA-256 of each valid bearer key in hexadecimal, two during a rotation.
type Tenant struct {
	KeyHashes   []string
	Weight      float64 // Share of engine time relative to other tenants.
	MaxPrograms int     // Programs under way at once, for each data centre.
}

// Model describes a model and where it is wanted.
type Model struct {
	Group           string // Engine group that serves the model.
	Version         string
	Adapters        []string
	ContextTokens   int
	MaxOutputTokens int
	Replicas        map[string]int // Wanted ready engines by data centre.
	WeightBytes     int64
}

// UpstreamType tells how an upstream is spoken to.
type UpstreamType string

// Types of upstreams.
const (
	UpstreamEngine  UpstreamType = "engine"
	UpstreamService UpstreamType = "service" // A tool service or a plain service.
)

// Upstream is one back end: a model engine, a tool service or a plain service.
type Upstream struct {
	Type                   UpstreamType
	Group                  string // Engine group, for engines.
	DataCentre             string
	Address                string // Host and port.
	Slots                  int    // Requests that run at once without queueing inside the engine.
	CacheTokens            int64  // Size of the prefix cache in tokens.
	ChecksFencing          bool   // Refuses an order with an old fencing token.
	HonoursIdempotencyKeys bool   // Runs a repeated Idempotency-Key once and returns the first outcome.
	OutcomeLookup          bool   // Serves GET /v1/idempotency/{key}.
	Role                   string // Wanted role of an engine; empty leaves the role as it is.
	Leaving                bool   // Gets no new work.
	Routes                 []Route
}

// Route says how the calls of one path prefix behave. A call that no route names is not repeatable.
type Route struct {
	Method     string // Empty matches every method.
	PathPrefix string
	Repeatable bool
	Timeout    time.Duration
}

// Budget limits tokens of a tenant and of each of its programs.
type Budget struct {
	Tenant           string
	TokensPerProgram int64
	TokensPerDay     int64
	Shares           map[string]float64 // Fraction of TokensPerDay by data centre; equal shares when empty.
	LinkBytesPerDay  int64              // Bytes across regions.
}

// Limit bounds programs and calls of a class.
type Limit struct {
	Class         string
	MaxTurns      int
	QueueDepth    int           // Waiting calls for each engine group and data centre.
	CallTimeout   time.Duration // Default deadline of a call.
	ToolTimeout   time.Duration // Deadline of a service call that its route does not set.
	ProgramExpiry time.Duration // Idle time after which a program ends.
	RetryRatio    float64       // Retries allowed for each first attempt.
	MaxAttempts   int           // Attempts of one idempotent call, the first included.
	Weight        float64       // Share of engine time relative to other classes.
}

// Placement holds the weights of scheduling decisions for an engine group.
type Placement struct {
	Group              string
	LatencyWeight      float64
	CacheWeight        float64
	LinkBytesPerSecond int64   // Budget of the link between regions for moves of KV cache.
	AgeingPerSecond    float64 // Priority gained for each second of waiting.
	HoldPaused         time.Duration
}

// Resolution states the outcome of a non-idempotent call whose outcome was unknown.
type Resolution struct {
	Program string
	CallKey string
	Outcome ResolutionOutcome
	Reason  string
}

// ResolutionOutcome is what an operator found out about a call.
type ResolutionOutcome string

// Outcomes of a resolution.
const (
	OutcomeRan    ResolutionOutcome = "ran"
	OutcomeNotRun ResolutionOutcome = "not_run"
)

// Record is one record of any kind in its internal form. Exactly the field of its kind is set; none is set in a
// tombstone.
type Record struct {
	Kind       Kind
	Name       string
	Generation int64   // Rises by one with each accepted change; set by apply.
	Version    Version `json:",omitempty"` // Version in which the operator wrote the record.
	Deleted    bool    `json:",omitempty"` // Tombstone: the record was deleted with this generation.

	DataCentre *DataCentre `json:",omitempty"`
	Tenant     *Tenant     `json:",omitempty"`
	Model      *Model      `json:",omitempty"`
	Upstream   *Upstream   `json:",omitempty"`
	Budget     *Budget     `json:",omitempty"`
	Limit      *Limit      `json:",omitempty"`
	Placement  *Placement  `json:",omitempty"`
	Resolution *Resolution `json:",omitempty"`
}

// Key returns the name under which the platform holds the record.
func (r Record) Key() string { return string(r.Kind) + "." + r.Name }

// HashKey returns the form in which a record holds a bearer key.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// FindRoute returns the route that governs a call, and false when no record names it.
func (u Upstream) FindRoute(method, path string) (Route, bool) {
	best, found := Route{}, false
	for _, r := range u.Routes {
		if r.Method != "" && !strings.EqualFold(r.Method, method) {
			continue
		}
		if !strings.HasPrefix(path, r.PathPrefix) {
			continue
		}
		if !found || len(r.PathPrefix) > len(best.PathPrefix) {
			best, found = r, true
		}
	}
	return best, found
}
