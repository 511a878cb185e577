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
	// probeIdle, probeInterval and probeCount find a peer that is gone without a word.
	probeIdle     = time.Second
	probeInterval = 500 * time.Millisecond
	probeCount    = 3
)

// Pool keeps connections to upstreams. It is safe for concurrent use.
type Pool struct {
	dialer net.Dialer

	mu    sync.Mutex
	hosts map[string]*host
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{
		dialer: net.Dialer{
			Timeout: dialTimeout,
			KeepAliveConfig: net.KeepAliveConfig{
				Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount,
			},
		},
		hosts: map[string]*host{},
	}
}

// host holds the connections to one address.
type host struct {
	mu   sync.Mutex
	idle []*conn
	open int
}

// Do sends req to address. own reports whether an answer belongs to req; it matters only
// on a connection that carried another exchange before. Limit bounds the connections to
// the address; 0 means no bound. When ctx ends, the connection is closed.
//
// The error is ErrNotSent when nothing was sent, ErrNoAnswer when what came back is not
// an answer, and otherwise ErrLost.
func (p *Pool) Do(ctx context.Context, address string, req *http.Request, limit int, own func(*http.Response) bool) (*Answer, error) {
	h := p.host(address)
	c, err := p.take(ctx, h, address, limit)
	if err != nil {
		return nil, errors.Join(ErrNotSent, err)
	}
	a, err := c.exchange(ctx, req, h, own)
	if err != nil {
		h.drop()
	}
	return a, err
}

func (p *Pool) host(address string) *host {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[address]
	if h == nil {
		h = &host{}
		p.hosts[address] = h
	}
	return h
}

// errFull says that the address has as many connections as it may have.
var errFull = errors.New("all connections are in use")

// take returns an idle connection or opens one.
func (p *Pool) take(ctx context.Context, h *host, address string, limit int) (*conn, error) {
	if c := h.reuse(time.Now()); c != nil {
		return c, nil
	}
	if !h.admit(limit) {
		return nil, errFull
	}
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		h.drop()
		return nil, err
	}
	return newConn(raw), nil
}

// reuse returns the idle connection that was used last and is still good.
func (h *host) reuse(now time.Time) *conn {
	h.mu.Lock()
	defer h.mu.Unlock()
	for len(h.idle) > 0 {
		last := len(h.idle) - 1
		c := h.idle[last]
		h.idle = h.idle[:last]
		if now.Before(c.until) && c.clean() {
			return c
		}
		c.raw.Close()
		h.open--
	}
	return nil
}

func (h *host) admit(limit int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if limit > 0 && h.open >= limit {
		return false
	}
	h.open++
	return true
}

func (h *host) drop() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.open--
}

func (h *host) keep(c *conn, idle time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c.until = time.Now().Add(idle)
	h.idle = append(h.idle, c)
}

// Sweep closes the connections that were idle too long. Addresses are kept: there are as
// many as upstreams were ever listed in the life of the process.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range p.hosts {
		h.sweep(now)
	}
}

func (h *host) sweep(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	kept := h.idle[:0]
	for _, c := range h.idle {
		if now.Before(c.until) {
			kept = append(kept, c)
			continue
		}
		c.raw.Close()
		h.open--
	}
	h.idle = kept
}
