package guard

import (
	"context"
	"net"
	"net/http"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/intake"
)

// ConnState follows the states of the connections of an http.Server.
func (g *Guard) ConnState(conn net.Conn, s http.ConnState) {
	c, ok := conn.(*Conn)
	if !ok {
		return
	}
	switch s {
	case http.StateActive:
		c.Enter(intake.Body)
	case http.StateIdle:
		c.Enter(intake.Idle)
	case http.StateHijacked, http.StateClosed:
		g.mu.Lock()
		defer g.mu.Unlock()
		g.ledger.Close(c.id)
		delete(g.conns, c.id)
	}
}

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// ConnContext adds the connection to the contexts of its requests; it is for http.Server.
func (g *Guard) ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// FromContext returns the connection of a request, nil for one that is not guarded.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// Serve lets a server accept the connections of l. It returns when l is closed.
func (g *Guard) Serve(s *http.Server, l net.Listener) error {
	s.ConnState, s.ConnContext = g.ConnState, g.ConnContext
	return s.Serve(g.Listener(l))
}
