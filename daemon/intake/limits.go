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

// MaxConnections returns the number of connections that a listener may have. A quarter of the descriptors, and at least 64, are
// left for connections to upstreams, replicas and the store, and for files. Without a limit of descriptors it returns zero.
func MaxConnections(maxFDs int) int {
	if maxFDs <= 0 {
		return 0
	}
	return max(maxFDs-max(64, maxFDs/4), 16)
}
