// Package modelplan compares the wanted models, adapters and versions with the state that engines report, and returns the
// commands that bring the engines closer to it. It keeps no state and does no I/O: the same input gives the same orders.
package modelplan

import (
	"time"

	"jackdawbay.dev/api/records"
)

// ModelState is the state of a model on an engine.
type ModelState string

// States of a model on an engine.
const (
	Loading  ModelState = "loading"
	Ready    ModelState = "ready"
	Draining ModelState = "draining"
)

// LoadedModel is a model that an engine reports.
type LoadedModel struct {
	Name     string
	Version  string
	Adapters []string
	State    ModelState
}

// Engine is the reported state of one engine with the facts of its record.
type Engine struct {
	Name          string
	Group         string
	DataCentre    string
	Role          string
	WantedRole    string // Empty leaves the role as it is.
	Running       int    // Requests that run or wait on the engine.
	MaxModels     int    // Models that fit; zero means one.
	Models        []LoadedModel
	ChecksFencing bool // Refuses an order with an old fencing token.
	Reachable     bool
	Leaving       bool
	// ReadAfterLeaseExpiry is set when the state was read after the former coordinator's command lease had expired for certain.
	ReadAfterLeaseExpiry bool
}

// Input is what a plan depends on.
type Input struct {
	Now         time.Time
	Models      map[string]records.Model // Wanted models by name.
	InUse       map[string]bool          // Models with calls or programs under way.
	Engines     []Engine
	WeightStore WeightStoreLimits
	MaxOrders   int // Orders of one plan; zero takes DefaultMaxOrders.
	// FormerLeaseExpired is set when the former coordinator's command lease has expired for certain.
	FormerLeaseExpired bool
}

// WeightStoreLimits is the rate limit of the weight store, shared by all loads of a data centre.
type WeightStoreLimits struct {
	BytesPerSecond    float64 // Zero means no limit.
	MaxTransfers      int     // Loads at once; zero takes DefaultMaxTransfers.
	MinBytesPerSecond float64 // Bytes a second below which one more transfer is not started; zero takes the default.
}

// OrderType is the type of an Order, as in the engines' protocol.
type OrderType string

// Types of orders. Drain is for the dispatcher: it stops new calls of the model to the engine.
const (
	LoadModel   OrderType = "load_model"
	DropModel   OrderType = "drop_model"
	LoadAdapter OrderType = "load_adapter"
	DropAdapter OrderType = "drop_adapter"
	SetRole     OrderType = "set_role"
	Drain       OrderType = "drain"
)

// Order is one command.
type Order struct {
	Type    OrderType
	Engine  string
	Model   string
	Version string
	Adapter string
	Role    string
}

// Defaults of an Input.
const (
	DefaultMaxOrders         = 16
	DefaultMaxTransfers      = 2
	DefaultMinBytesPerSecond = 50e6 // Bytes a second; a load of 16 GB then takes about five minutes.
)

func (s WeightStoreLimits) transfers() int {
	n := s.MaxTransfers
	if n <= 0 {
		n = DefaultMaxTransfers
	}
	if s.BytesPerSecond <= 0 {
		return n
	}
	least := s.MinBytesPerSecond
	if least <= 0 {
		least = DefaultMinBytesPerSecond
	}
	return max(min(n, int(s.BytesPerSecond/least)), 1)
}

// CanOrder reports whether an engine may be given an order now. An engine that ignores fencing tokens obeys two
// coordinators at once, so it gets an order only after the former one can send none and the state was read after that.
func CanOrder(e Engine, formerLeaseExpired bool) bool {
	if !e.Reachable {
		return false
	}
	return e.ChecksFencing || (formerLeaseExpired && e.ReadAfterLeaseExpiry)
}
