// Package records defines the configuration records that operators write. The types in this file are the internal form
// that daemons use. The packages v1 and v2 define the versioned documents that operators write. Decode and Encode
// convert between documents and the internal form.
package records

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
	"time"
)

// Kind is the kind of a record.
type Kind string

// Record kinds.
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

// Kinds lists all kinds. Each kind comes after the kinds that its records refer to.
var Kinds = []Kind{
	KindDataCentre, KindTenant, KindModel, KindUpstream, KindBudget, KindLimit, KindPlacement, KindResolution,
}

// DataCentre assigns a data centre to a region.
type DataCentre struct {
	Region                    string
	WeightStoreBytesPerSecond int64 // Total rate at which the engines of the data centre may read the weight store.
}

// Tenant is a customer. KeyHashes contains the hexadecimal SHA-256 of each valid bearer key. There are two during a key
// rotation.
type Tenant struct {
	KeyHashes   []string
	Weight      float64 // Share of engine time relative to other tenants.
	MaxPrograms int     // Concurrent programs in each data centre.
}

// Model describes a model and the wanted number of engines per data centre.
type Model struct {
	Group           string // Engine group that serves the model.
	Version         string
	Adapters        []string
	ContextTokens   int
	MaxOutputTokens int
	Replicas        map[string]int // Wanted number of ready engines by data centre.
	WeightBytes     int64
}

// UpstreamType is the type of an upstream.
type UpstreamType string

// Upstream types.
const (
	UpstreamEngine  UpstreamType = "engine"
	UpstreamService UpstreamType = "service" // A tool service or a plain service.
)

// Upstream is a back end: a model engine, a tool service or a plain service.
type Upstream struct {
	Type                   UpstreamType
	Group                  string // Engine group, for engines.
	DataCentre             string
	Address                string // Host and port.
	Slots                  int    // Concurrent requests that do not queue inside the upstream.
	CacheTokens            int64  // Size of the prefix cache in tokens.
	ChecksFencing          bool   // Rejects an order with an old fencing token.
	HonoursIdempotencyKeys bool   // Runs a request with a repeated Idempotency-Key once and returns the first outcome.
	OutcomeLookup          bool   // Serves GET /v1/idempotency/{key}.
	Role                   string // Wanted role of an engine; empty means that the role is not changed.
	Leaving                bool   // Receives no new requests.
	Routes                 []Route
}

// Route defines how calls with a path prefix are handled. A call that matches no route must not be retried.
type Route struct {
	Method     string // Empty matches every method.
	PathPrefix string
	Repeatable bool          // Calls may be retried.
	Timeout    time.Duration // Zero means the tool timeout of the class.
}

// Budget limits the tokens of a tenant and of each of its programs.
type Budget struct {
	Tenant           string
	TokensPerProgram int64
	TokensPerDay     int64
	Shares           map[string]float64 // Fraction of TokensPerDay by data centre; equal shares if empty.
	LinkBytesPerDay  int64              // Bytes of KV cache that may be transferred between regions.
}

// Limit contains the limits on the programs and calls of a class.
type Limit struct {
	Class         string
	MaxTurns      int
	QueueDepth    int           // Waiting calls for each engine group and data centre.
	CallTimeout   time.Duration // Timeout of a call without a deadline.
	ToolTimeout   time.Duration // Timeout of a service call whose route sets none.
	ProgramExpiry time.Duration // Idle time after which a program ends.
	RetryRatio    float64       // Allowed number of retries per first attempt.
	MaxAttempts   int           // Attempts of one idempotent call, including the first.
	Weight        float64       // Share of engine time relative to other classes.
}

// Placement contains the scheduling weights of an engine group.
type Placement struct {
	Group              string
	LatencyWeight      float64
	CacheWeight        float64
	LinkBytesPerSecond int64         // Rate limit of KV cache transfers between regions.
	AgeingPerSecond    float64       // Priority that a waiting call gains per second.
	HoldPaused         time.Duration // Maximum time to retain the KV cache of a paused program.
}

// Resolution sets the outcome of a non-idempotent call whose outcome was unknown.
type Resolution struct {
	Program string
	CallKey string
	Outcome ResolutionOutcome
	Reason  string
}

// ResolutionOutcome is the outcome of a call as determined by an operator.
type ResolutionOutcome string

// Values of ResolutionOutcome.
const (
	OutcomeRan    ResolutionOutcome = "ran"
	OutcomeNotRun ResolutionOutcome = "not_run"
)

// Record is a record of any kind in its internal form. Only the field of its kind is set. A tombstone has none of these
// fields set.
type Record struct {
	Kind       Kind
	Name       string
	Generation int64   // Incremented by apply with each accepted change.
	Version    Version `json:",omitempty"` // Version in which the operator wrote the record.
	Deleted    bool    `json:",omitempty"` // The record is a tombstone: it was deleted with this generation.

	DataCentre *DataCentre `json:",omitempty"`
	Tenant     *Tenant     `json:",omitempty"`
	Model      *Model      `json:",omitempty"`
	Upstream   *Upstream   `json:",omitempty"`
	Budget     *Budget     `json:",omitempty"`
	Limit      *Limit      `json:",omitempty"`
	Placement  *Placement  `json:",omitempty"`
	Resolution *Resolution `json:",omitempty"`
}

// Key returns the name of the platform object that stores the record.
func (r Record) Key() string { return string(r.Kind) + "." + r.Name }

// HashKey returns the hash of a bearer key for Tenant.KeyHashes.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// FindRoute returns the matching route with the longest path prefix. It returns false if no route matches the call.
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
