package intake

import (
	"time"

	"jackdawbay.dev/core/memory"
)

// Shares of the memory of a process. docs/design/memory.md has the figures behind them.
const (
	// baseBytes is the heap of a process without requests: the runtime, the tables of routes and upstreams, metrics and logs. An
	// idle gateway with few upstreams has 5 MB; the program file, 13 MB, is not part of the heap.
	baseBytes = 12 << 20
	// liveRatio is the part of the remaining heap that may be live. The rest is for garbage that is not collected yet, stacks,
	// and the buffers of connections.
	liveRatio = 0.75
	// minAccountBytes keeps a VM with a wrong memory setting usable.
	minAccountBytes = 8 << 20
	// reservedRatio is the part of the account for small requests and responses.
	reservedRatio = 0.25
	// smallBytes is the size of a small request, including its connection. The largest turns of the users' deployments have
	// 30 KB.
	smallBytes = 96 << 10
	// stalledAfter is the time after which a client counts as stopped. A VM with a small share of a CPU pauses for some
	// 100 ms, and the clients are not to be blamed for that.
	stalledAfter = time.Second
	// progressBytes is the progress that a client has to make within stalledAfter while memory is short. The slowest link of
	// the users' deployments transfers 3.7 MB in that time.
	progressBytes = 4 << 10
)

// heapRatio is the soft limit of the heap as a part of the memory of the process. The rest is for the program file, 13 MB, for what the
// runtime needs above its limit for a moment, and for the receive buffers of connections.
const heapRatio = 0.62

// HeapLimit returns the soft limit of the heap of a process, or zero if its memory has no limit.
func HeapLimit(memoryBytes int64) int64 { return int64(heapRatio * float64(memoryBytes)) }

// NewAccount returns the account of a process whose heap has a soft limit, and that holds a number of bytes for other
// purposes, such as a cache. If override is above zero, it is the size of the account. Without both limits the account is nil.
func NewAccount(heapLimit, otherBytes, override int64) *memory.Account {
	if heapLimit <= 0 && override <= 0 {
		return nil
	}
	n := max(int64(liveRatio*float64(heapLimit-baseBytes-otherBytes)), minAccountBytes)
	if override > 0 {
		n = override
	}
	return memory.New(memory.Config{
		Bytes: n, ReservedBytes: int64(reservedRatio * float64(n)), SmallBytes: smallBytes, StalledAfter: stalledAfter, ProgressBytes: progressBytes,
	})
}

// otherFDs is the number of descriptors that are neither of clients nor of upstreams: listeners, connections to replicas and the
// store, the settings file and the log.
const otherFDs = 40

// MaxUpstreamConnections returns the number of connections to upstreams that a process may have beside those of clients.
func MaxUpstreamConnections(maxFDs, clients int) int { return max(maxFDs-otherFDs-clients, 8) }

// memoryPerConnection is the memory of the VM for each connection. With it, the receive buffers of all connections and those of as many
// connections to upstreams have at most a quarter of the memory.
const memoryPerConnection = 128 << 10

// MaxConnections returns the number of connections that a listener may have. A quarter of the descriptors, and at least 64, are
// left for connections to upstreams, replicas and the store, and for files. Zero stands for no limit, also in the result.
func MaxConnections(maxFDs int, memoryBytes int64) int {
	limit := 0
	if maxFDs > 0 {
		limit = max(maxFDs-max(64, maxFDs/4), minConnections)
	}
	if memoryBytes > 0 {
		byMemory := max(int(memoryBytes/memoryPerConnection), minConnections)
		if limit == 0 || byMemory < limit {
			limit = byMemory
		}
	}
	return limit
}

// minConnections keeps a VM with a wrong setting usable.
const minConnections = 16
