// Package schedule decides the order and the placement of model calls. A Dispatcher manages the queue and the slots of one
// engine group in one data centre. The package does no I/O. Times are passed in, and equal inputs give equal decisions.
package schedule

import "time"

// Ticket is a call that waits for an engine slot. The ID is unique for each attempt.
type Ticket struct {
	ID              string
	Program         string
	Tenant          string
	Class           string
	Model           string
	Adapter         string // Empty for the base model.
	PromptTokens    int64
	HistoryTokens   int64 // Tokens of PromptTokens that earlier calls of the program sent or received.
	MaxTokens       int64
	SpentTokens     int64 // Tokens that the program has used so far, for a dispatcher that has no state of the program.
	Deadline        time.Time
	Enqueued        time.Time // Time of the first attempt to queue the call; in the past for a call that was rejected before.
	PreferredEngine string    // Engine of the last call, for a dispatcher that has no state of the program.
	Parent          string    // Program that started this one as a sub-agent.
}

// Grant assigns one slot of an engine to a ticket until Expires.
type Grant struct {
	Ticket       string
	Engine       string
	Expires      time.Time
	CachedTokens int64 // Prompt tokens that the engine is expected to have cached.
}

// ReadyModel is a model that an engine serves.
type ReadyModel struct {
	Name     string
	Adapters []string
}

// Engine describes one engine to a dispatcher.
type Engine struct {
	Name        string
	Slots       int
	CacheTokens int64 // Memory for contexts; zero means unknown, so no memory limit applies.
	Models      []ReadyModel
	Draining    bool          // The engine gets no new calls.
	Remote      bool          // The engine is in another region.
	RoundTrip   time.Duration // Network round trip that a call to the engine adds.
}

// CacheEventType is the type of a cache event of an engine.
type CacheEventType string

// Types of cache events.
const (
	CacheStored   CacheEventType = "stored"
	CacheEvicted  CacheEventType = "evicted"
	CacheReleased CacheEventType = "released"
	CacheGap      CacheEventType = "gap" // Events of the engine were lost.
)

// CacheEvent is a change in the prefix cache of an engine. Tokens is the length of the cached prefix for CacheStored, and
// the remaining length for CacheEvicted.
type CacheEvent struct {
	Engine  string
	Type    CacheEventType
	Program string
	Tokens  int64
}

// CachedPrefix is a prefix in a listing of an engine's cache.
type CachedPrefix struct {
	Program string
	Tokens  int64
}

// OrderType is the type of an Order.
type OrderType string

// OrderReleaseCache instructs an engine to release the prefix of a program.
const OrderReleaseCache OrderType = "release_cache"

// Order is a command for an engine.
type Order struct {
	Type    OrderType
	Engine  string
	Program string
}
