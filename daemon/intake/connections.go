package intake

import (
	"container/list"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"jackdawbay.dev/core/memory"
	"jackdawbay.dev/daemon/logging"
)

// Connections limits the connections of an http.Server. At the limit, another connection gives way to a new one: the oldest that
// has not sent a whole request head, else a client that has stopped sending its body, else the longest idle one. If all others
// are being served, the new connection is closed.
type Connections struct {
	limit   int
	account *memory.Account
	log     *slog.Logger
	closed  func(reason string)

	mu      sync.Mutex
	entries map[net.Conn]*list.Element // Element of waiting or idle; nil for a connection with a request.
	waiting *list.List                 // Connections without a whole first request head, oldest first.
	idle    *list.List                 // Connections between two requests, longest idle first.
}

// NewConnections returns a limit for the listener with a name; zero sets none. The server must call OnStateChange.
func NewConnections(listener string, limit int, account *memory.Account, log *slog.Logger, set *metrics.Set) *Connections {
	c := &Connections{
		limit: limit, account: account, log: log, entries: map[net.Conn]*list.Element{}, waiting: list.New(), idle: list.New(),
		closed: func(reason string) {
			set.GetOrCreateCounter(`jackdawbay_connections_closed_total{listener="` + listener + `",reason="` + reason + `"}`).Inc()
		},
	}
	set.NewGauge(`jackdawbay_connections{listener="`+listener+`"}`, func() float64 { return float64(c.Count()) })
	return c
}

// Limit returns the limit, or zero if there is none.
func (c *Connections) Limit() int { return c.limit }

// Count returns the number of connections.
func (c *Connections) Count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.entries)
}

// OnStateChange is a hook for http.Server.ConnState.
func (c *Connections) OnStateChange(connection net.Conn, state http.ConnState) {
	if counted, ok := connection.(*conn); ok {
		counted.enter(state)
	}
	if victim, reason := c.update(connection, state); victim != nil {
		c.closed(reason)
		c.log.Warn("connection closed at the limit", logging.LimitPerSource("reason", reason), "caller", victim.RemoteAddr().String(), "limit", c.limit)
		_ = victim.Close() // The server notices it by itself.
	}
}

// update records the state of a connection. It returns a connection that has to be closed, or nil.
func (c *Connections) update(conn net.Conn, state http.ConnState) (victim net.Conn, reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if element := c.entries[conn]; element != nil {
		c.waiting.Remove(element) // Does nothing if the element is of the other list.
		c.idle.Remove(element)
	}
	switch state {
	case http.StateNew:
		if c.limit > 0 && len(c.entries) >= c.limit {
			var hasRoom bool
			if victim, reason, hasRoom = c.makeRoom(); !hasRoom {
				return conn, "all_busy"
			}
		}
		c.entries[conn] = c.waiting.PushBack(conn)
	case http.StateActive:
		if _, ok := c.entries[conn]; ok {
			c.entries[conn] = nil
		}
	case http.StateIdle:
		if _, ok := c.entries[conn]; ok {
			c.entries[conn] = c.idle.PushBack(conn)
		}
	case http.StateClosed, http.StateHijacked:
		delete(c.entries, conn)
	}
	return victim, reason
}

// makeRoom chooses who gives way to a new connection. It returns the connection to close, or nil if a client that has stopped
// sending its body was told to give way, whose connection ends soon. It reports false if all connections are being served.
func (c *Connections) makeRoom() (victim net.Conn, reason string, hasRoom bool) {
	if front := c.waiting.Front(); front != nil {
		return c.remove(c.waiting, front), "no_head", true
	}
	if c.account.EvictStalled(time.Now()) {
		return nil, "", true
	}
	if front := c.idle.Front(); front != nil {
		return c.remove(c.idle, front), "idle", true
	}
	return nil, "", false
}

func (c *Connections) remove(from *list.List, element *list.Element) net.Conn {
	conn := from.Remove(element).(net.Conn)
	delete(c.entries, conn)
	return conn
}
