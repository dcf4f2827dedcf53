// Package v2 defines the document types of version jackdawbay/v2. Durations are strings with a unit, a route states its
// idempotency, and the shares of a budget are a list.
package v2

import v1 "jackdawbay.dev/api/records/v1"

// APIVersion is the value of the field apiVersion.
const APIVersion = "jackdawbay/v2"

// Specs that are identical in v1 and v2.
type (
	DataCentre = v1.DataCentre
	Tenant     = v1.Tenant
	Model      = v1.Model
	Resolution = v1.Resolution
)

// Upstream is the spec of kind Upstream.
type Upstream struct {
	Type                   string  `json:"type"`
	Group                  string  `json:"group,omitempty"`
	DataCentre             string  `json:"dataCentre"`
	Address                string  `json:"address"`
	Role                   string  `json:"role,omitempty"`
	Slots                  int     `json:"slots"`
	CacheTokens            int64   `json:"cacheTokens"`
	ChecksFencing          bool    `json:"checksFencing"`
	HonoursIdempotencyKeys bool    `json:"honoursIdempotencyKeys"`
	OutcomeLookup          bool    `json:"outcomeLookup"`
	Leaving                bool    `json:"leaving"`
	Routes                 []Route `json:"routes,omitempty"`
}

// Route is an entry of Upstream.Routes.
type Route struct {
	Method      string `json:"method,omitempty"`
	PathPrefix  string `json:"pathPrefix"`
	Idempotency string `json:"idempotency"`
	Timeout     string `json:"timeout"`
}

// Values of Route.Idempotency.
const (
	IdempotencySafe   = "safe"   // A call may be retried.
	IdempotencyUnsafe = "unsafe" // A call runs at most once.
)

// Budget is the spec of kind Budget.
type Budget struct {
	Tenant          string       `json:"tenant"`
	Tokens          BudgetTokens `json:"tokens"`
	Shares          []Share      `json:"shares,omitempty"`
	LinkBytesPerDay int64        `json:"linkBytesPerDay"`
}

// BudgetTokens contains the token limits of a Budget.
type BudgetTokens struct {
	PerProgram int64 `json:"perProgram"`
	PerDay     int64 `json:"perDay"`
}

// Share is the fraction of a Budget's daily tokens that one data centre may grant.
type Share struct {
	DataCentre string  `json:"dataCentre"`
	Fraction   float64 `json:"fraction"`
}

// Limit is the spec of kind Limit.
type Limit struct {
	Class         string  `json:"class"`
	MaxTurns      int     `json:"maxTurns"`
	QueueDepth    int     `json:"queueDepth"`
	CallTimeout   string  `json:"callTimeout"`
	ToolTimeout   string  `json:"toolTimeout"`
	ProgramExpiry string  `json:"programExpiry"`
	Retry         Retry   `json:"retry"`
	Weight        float64 `json:"weight"`
}

// Retry limits the retries of the idempotent calls of a class.
type Retry struct {
	Ratio       float64 `json:"ratio"`
	MaxAttempts int     `json:"maxAttempts"`
}

// Placement is the spec of kind Placement.
type Placement struct {
	Group              string  `json:"group"`
	LatencyWeight      float64 `json:"latencyWeight"`
	CacheWeight        float64 `json:"cacheWeight"`
	LinkBytesPerSecond int64   `json:"linkBytesPerSecond"`
	AgeingPerSecond    float64 `json:"ageingPerSecond"`
	HoldPaused         string  `json:"holdPaused"`
}
