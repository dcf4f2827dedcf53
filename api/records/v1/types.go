// Package v1 defines the document types of version jackdawbay/v1. Durations are numbers of seconds, and a boolean of a
// route states whether its calls may be retried.
package v1

// APIVersion is the value of the field apiVersion.
const APIVersion = "jackdawbay/v1"

// DataCentre is the spec of kind DataCentre.
type DataCentre struct {
	Region                    string `json:"region"`
	WeightStoreBytesPerSecond int64  `json:"weightStoreBytesPerSecond"`
}

// Tenant is the spec of kind Tenant.
type Tenant struct {
	KeyHashes   []string `json:"keyHashes"`
	Weight      float64  `json:"weight"`
	MaxPrograms int      `json:"maxPrograms"`
}

// Model is the spec of kind Model.
type Model struct {
	Group           string         `json:"group"`
	Version         string         `json:"version"`
	Adapters        []string       `json:"adapters,omitempty"`
	ContextTokens   int            `json:"contextTokens"`
	MaxOutputTokens int            `json:"maxOutputTokens"`
	Replicas        map[string]int `json:"replicas,omitempty"`
	WeightBytes     int64          `json:"weightBytes"`
}

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
	Method         string  `json:"method,omitempty"`
	PathPrefix     string  `json:"pathPrefix"`
	Repeatable     bool    `json:"repeatable"`
	TimeoutSeconds float64 `json:"timeoutSeconds"`
}

// Budget is the spec of kind Budget.
type Budget struct {
	Tenant           string             `json:"tenant"`
	TokensPerProgram int64              `json:"tokensPerProgram"`
	TokensPerDay     int64              `json:"tokensPerDay"`
	Shares           map[string]float64 `json:"shares,omitempty"`
	LinkBytesPerDay  int64              `json:"linkBytesPerDay"`
}

// Limit is the spec of kind Limit.
type Limit struct {
	Class                string  `json:"class"`
	MaxTurns             int     `json:"maxTurns"`
	QueueDepth           int     `json:"queueDepth"`
	CallTimeoutSeconds   float64 `json:"callTimeoutSeconds"`
	ToolTimeoutSeconds   float64 `json:"toolTimeoutSeconds"`
	ProgramExpirySeconds float64 `json:"programExpirySeconds"`
	RetryRatio           float64 `json:"retryRatio"`
	MaxAttempts          int     `json:"maxAttempts"`
	Weight               float64 `json:"weight"`
}

// Placement is the spec of kind Placement.
type Placement struct {
	Group              string  `json:"group"`
	LatencyWeight      float64 `json:"latencyWeight"`
	CacheWeight        float64 `json:"cacheWeight"`
	LinkBytesPerSecond int64   `json:"linkBytesPerSecond"`
	AgeingPerSecond    float64 `json:"ageingPerSecond"`
	HoldPausedSeconds  float64 `json:"holdPausedSeconds"`
}

// Resolution is the spec of kind Resolution.
type Resolution struct {
	Program string `json:"program"`
	CallKey string `json:"callKey"`
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
}
