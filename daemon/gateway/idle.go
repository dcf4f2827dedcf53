package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleConns closes connections of callers that are idle for longer than the configuration in force allows. The server's own
// bound is fixed when it starts, and the configuration changes.
type idleConns struct {
	g  *Gateway
	mu sync.Mutex
	at map[net.Conn]*time.Timer
}

// ConnState returns the hook of an http.Server that bounds idle connections.
func (g *Gateway) ConnState() func(net.Conn, http.ConnState) {
	i := &idleConns{g: g, at: map[net.Conn]*time.Timer{}}
	return i.changed
}

func (i *idleConns) changed(c net.Conn, s http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if t, ok := i.at[c]; ok {
		t.Stop()
		delete(i.at, c)
	}
	table := i.g.cfg.Catalog.Table()
	if s != http.StateIdle || table == nil || table.Config.Limits.IdleTimeout <= 0 {
		return
	}
	i.at[c] = time.AfterFunc(table.Config.Limits.IdleTimeout, func() { _ = c.Close() }) // The connection holds no request.
}
