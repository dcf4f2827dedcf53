package intake

import (
	"context"
	"net"
	"net/http"
)

// Attach limits the connections that a server accepts from a listener. The server must serve the listener that Attach returns. The
// function next is a further hook for http.Server.ConnState; it may be nil.
func (c *Connections) Attach(server *http.Server, l Listener, next func(net.Conn, http.ConnState)) net.Listener {
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		c.OnStateChange(conn, state)
		if next != nil {
			next(conn, state)
		}
	}
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, conn)
	}
	return attachedListener{l, c}
}

type connKey struct{}

// connOf returns the connection of a request, or nil if its listener is not attached.
func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}

type attachedListener struct {
	Listener
	connections *Connections
}

// Accept implements net.Listener.
func (l attachedListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: raw, buffers: l.buffers, holder: l.connections.account.Open()}, nil
}
