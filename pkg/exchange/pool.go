package exchange

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// dialTimeout bounds the opening of a connection: a round trip between zones takes a
	// few milliseconds, and a lost opening packet is sent again after a second.
	dialTimeout = 600 * time.Millisecond
	// keepAliveIdle, probeInterval and probeCount find a peer that is gone without a word.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 3
)

// Pool keeps connections to upstreams. It is safe for concurrent use.
type Pool struct {
	dialer net.Dialer

	mu    sync.Mutex
	hosts map[string]*hostConns
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{
		dialer: net.Dialer{
			Timeout: dialTimeout,
			KeepAliveConfig: net.KeepAliveConfig{
				Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
			},
		},
		hosts: map[string]*hostConns{},
	}
}

// hostConns holds the connections to one address.
type hostConns struct {
	mu        sync.Mutex
	idle      []*conn
	openCount int
}

// Do sends req to address. own reports whether an answer belongs to req; it matters only
// on a connection that carried another exchange before. Limit bounds the connections to
// the address; 0 means no bound. When ctx ends, the connection is closed.
//
// The error is ErrNotSent when nothing was sent, ErrNoAnswer when what came back is not
// an answer, and otherwise ErrLost.
func (p *Pool) Do(ctx context.Context, address string, req *http.Request, maxConns int, isResponseTo func(*http.Response) bool) (*Answer, error) {
	h := p.connsOf(address)
	c, err := p.acquireConn(ctx, h, address, maxConns)
	if err != nil {
		return nil, errors.Join(ErrNotSent, err)
	}
	a, err := c.exchange(ctx, req, h, isResponseTo)
	if err != nil {
		h.releaseSlot()
	}
	return a, err
}

func (p *Pool) connsOf(address string) *hostConns {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[address]
	if h == nil {
		h = &hostConns{}
		p.hosts[address] = h
	}
	return h
}

// errConnLimit says that the address has as many connections as it may have.
var errConnLimit = errors.New("all connections are in use")

// acquireConn returns an idle connection or opens one.
func (p *Pool) acquireConn(ctx context.Context, h *hostConns, address string, maxConns int) (*conn, error) {
	if c := h.popIdle(time.Now()); c != nil {
		return c, nil
	}
	if !h.reserveSlot(maxConns) {
		return nil, errConnLimit
	}
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		h.releaseSlot()
		return nil, err
	}
	return newConn(raw), nil
}

// popIdle returns the idle connection that was used last and is still good.
func (h *hostConns) popIdle(now time.Time) *conn {
	h.mu.Lock()
	defer h.mu.Unlock()
	for len(h.idle) > 0 {
		last := len(h.idle) - 1
		c := h.idle[last]
		h.idle = h.idle[:last]
		if now.Before(c.expiresAt) && c.isReusable() {
			return c
		}
		c.netConn.Close()
		h.openCount--
	}
	return nil
}

func (h *hostConns) reserveSlot(maxConns int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if maxConns > 0 && h.openCount >= maxConns {
		return false
	}
	h.openCount++
	return true
}

func (h *hostConns) releaseSlot() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.openCount--
}

func (h *hostConns) putIdle(c *conn, idleTimeout time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c.expiresAt = time.Now().Add(idleTimeout)
	h.idle = append(h.idle, c)
}

// Sweep closes the connections that were idle too long. Addresses are kept: there are as
// many as upstreams were ever listed in the life of the process.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range p.hosts {
		h.closeExpired(now)
	}
}

func (h *hostConns) closeExpired(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	kept := h.idle[:0]
	for _, c := range h.idle {
		if now.Before(c.expiresAt) {
			kept = append(kept, c)
			continue
		}
		c.netConn.Close()
		h.openCount--
	}
	h.idle = kept
}
