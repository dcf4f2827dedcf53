package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleConns closes connections of callers that are idle for longer than the configuration in force allows. The idle timeout
// of http.Server is fixed at its start, while the configuration changes at run time.
type idleConns struct {
	g      *Gateway
	mu     sync.Mutex
	timers map[net.Conn]*time.Timer
}

// ConnState returns a hook for http.Server.ConnState that closes idle connections.
func (g *Gateway) ConnState() func(net.Conn, http.ConnState) {
	i := &idleConns{g: g, timers: map[net.Conn]*time.Timer{}}
	return i.onStateChange
}

func (i *idleConns) onStateChange(c net.Conn, s http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if timer, ok := i.timers[c]; ok {
		timer.Stop()
		delete(i.timers, c)
	}
	table := i.g.cfg.Catalog.Table()
	if s != http.StateIdle || table == nil || table.Config.Limits.IdleTimeout <= 0 {
		return
	}
	i.timers[c] = time.AfterFunc(table.Config.Limits.IdleTimeout, func() { _ = c.Close() }) // An idle connection has no request in flight.
}
