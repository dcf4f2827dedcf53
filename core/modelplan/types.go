// Package modelplan compares the wanted models, adapters and versions with the state that engines report. It returns the
// orders that bring the engines closer to the wanted state. It has no state and does no I/O: the same input gives the same
// orders.
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

// LoadedModel is a model in the report of an engine.
type LoadedModel struct {
	Name     string
	Version  string
	Adapters []string
	State    ModelState
}

// Engine is the reported state of an engine, with the settings of its record.
type Engine struct {
	Name          string
	Group         string
	DataCentre    string
	Role          string
	WantedRole    string // Empty if the role stays unchanged.
	Running       int    // Requests that run or wait on the engine.
	MaxModels     int    // Models that fit on the engine; zero means one.
	Models        []LoadedModel
	ChecksFencing bool // The engine rejects an order with an old fencing token.
	Reachable     bool
	Leaving       bool
	// ReadAfterLeaseExpiry is set if the state was read after the command lease of the former coordinator had certainly
	// expired.
	ReadAfterLeaseExpiry bool
}

// Input holds the inputs of a plan.
type Input struct {
	Now         time.Time
	Models      map[string]records.Model // Wanted models by name.
	InUse       map[string]bool          // Models with calls or programs in progress.
	Engines     []Engine
	WeightStore WeightStoreLimits
	MaxOrders   int // Max orders of one plan; zero means DefaultMaxOrders.
	// FormerLeaseExpired is set if the command lease of the former coordinator has certainly expired.
	FormerLeaseExpired bool
}

// WeightStoreLimits limits the transfers from the weight store. All loads in a data centre share the limits.
type WeightStoreLimits struct {
	BytesPerSecond    float64 // Zero means no limit.
	MaxTransfers      int     // Concurrent loads; zero means DefaultMaxTransfers.
	MinBytesPerSecond float64 // Bytes per second for each transfer. Another transfer starts only if each still has this rate. Zero means DefaultMinBytesPerSecond.
}

// OrderType is the type of an Order, as in the protocol of the engines.
type OrderType string

// Types of orders. Drain is an order for the dispatcher, which then sends no new calls of the model to the engine.
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
	DefaultMinBytesPerSecond = 50e6 // Bytes per second; at this rate a load of 16 GB takes about five minutes.
)

func (l WeightStoreLimits) transferLimit() int {
	n := l.MaxTransfers
	if n <= 0 {
		n = DefaultMaxTransfers
	}
	if l.BytesPerSecond <= 0 {
		return n
	}
	minRate := l.MinBytesPerSecond
	if minRate <= 0 {
		minRate = DefaultMinBytesPerSecond
	}
	return max(min(n, int(l.BytesPerSecond/minRate)), 1)
}

// CanOrder reports whether an engine may get an order now. An engine that ignores fencing tokens would execute orders of two
// coordinators at once. It therefore gets an order only if the former coordinator can send none any more, and the engine's
// state was read after that.
func CanOrder(e Engine, formerLeaseExpired bool) bool {
	if !e.Reachable {
		return false
	}
	return e.ChecksFencing || (formerLeaseExpired && e.ReadAfterLeaseExpiry)
}
