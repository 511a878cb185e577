package exchange

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// dialTimeout limits the time to open a connection. A round trip between zones takes a
	// few milliseconds, and a lost SYN packet is retransmitted only after a second.
	dialTimeout = 600 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount are the TCP keep-alive parameters
	// that detect an upstream which disappeared without closing its connections.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 3
)

// Pool holds connections to upstreams for reuse. It is safe for concurrent use.
type Pool struct {
	dialer net.Dialer

	// open is the number of connections that are idle, in use or being opened, and maxOpen limits it; 0 means no limit.
	open    atomic.Int64
	maxOpen int64

	mu    sync.Mutex
	hosts map[string]*hostConns
}

// NewPool returns an empty pool. maxOpen limits its connections; 0 means no limit.
func NewPool(maxOpen int) *Pool {
	return &Pool{
		maxOpen: int64(maxOpen),
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
	pool *Pool

	mu sync.Mutex
	// idle holds the idle connections, the most recently used last.
	idle []*conn
	// openCount is the number of connections that are idle, in use or being opened.
	openCount int
}

// Do sends req to address (host:port) and returns the response once its header has arrived.
// isResponseTo reports whether a response belongs to req, by its status and header; it is called only
// on a connection that carried another exchange before. maxConns limits the connections to the address; 0
// means no limit. When ctx ends, the connection is closed. maySend is asked just before the request is sent, as opening
// a connection takes time; nil allows it.
//
// The error is ErrNotSent if nothing was sent, with ErrNotAllowed if maySend did not allow it, ErrInvalidResponse if the received bytes are not
// a response to req, and otherwise ErrLost.
func (p *Pool) Do(ctx context.Context, address string, req *http.Request, maxConns int, maySend func() bool, isResponseTo func(*http.Response) bool) (*Response, error) {
	h := p.connsOf(address)
	c, err := p.acquireConn(ctx, h, address, maxConns, isResponseTo)
	if err != nil {
		return nil, errors.Join(ErrNotSent, err)
	}
	if maySend != nil && !maySend() {
		h.giveBack(c)
		return nil, errors.Join(ErrNotSent, ErrNotAllowed)
	}
	a, err := c.exchange(ctx, req, h, isResponseTo)
	if err != nil {
		h.releaseSlot()
	}
	return a, err
}

// IsRefused reports whether address refuses connections, so that no process listens there. Other
// errors and a timeout show nothing.
func (p *Pool) IsRefused(ctx context.Context, address string) bool {
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	raw.Close()
	return false
}

func (p *Pool) connsOf(address string) *hostConns {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[address]
	if h == nil {
		h = &hostConns{pool: p}
		p.hosts[address] = h
	}
	return h
}

// errConnLimit means that the address or the pool has the maximum number of connections.
var errConnLimit = errors.New("connection limit reached")

// acquireConn returns an idle connection, or opens one if there is none. The error is
// errConnLimit if the limit allows no further connection.
func (p *Pool) acquireConn(ctx context.Context, h *hostConns, address string, maxConns int, isResponseTo func(*http.Response) bool) (*conn, error) {
	if c := h.popIdle(time.Now(), isResponseTo); c != nil {
		return c, nil
	}
	p.makeRoom()
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

// popIdle returns the most recently used idle connection that is still reusable, and nil if
// there is none. It closes the ones it finds unusable. One whose latest response passes for the
// response to the next request is unusable: upstreams may send a response twice.
func (h *hostConns) popIdle(now time.Time, isResponseTo func(*http.Response) bool) *conn {
	h.mu.Lock()
	defer h.mu.Unlock()
	for len(h.idle) > 0 {
		last := len(h.idle) - 1
		c := h.idle[last]
		h.idle = h.idle[:last]
		if now.Before(c.expiresAt) && c.isReusable() && !c.mayRepeat(isResponseTo) {
			return c
		}
		h.closeIdle(c)
	}
	return nil
}

// closeIdle closes a connection that was taken from the idle ones. The caller holds h.mu.
func (h *hostConns) closeIdle(c *conn) {
	c.netConn.Close()
	h.openCount--
	h.pool.open.Add(-1)
}

// makeRoom closes an idle connection if the pool is full.
func (p *Pool) makeRoom() {
	if p.maxOpen == 0 || p.open.Load() < p.maxOpen {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range p.hosts {
		if h.closeOldestIdle() {
			return
		}
	}
}

// closeOldestIdle closes the idle connection that was not used for longest, if there is one.
func (h *hostConns) closeOldestIdle() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.idle) == 0 {
		return false
	}
	c := h.idle[0]
	h.idle = h.idle[1:]
	h.closeIdle(c)
	return true
}

// reserveSlot counts a connection that is about to be opened. It reports false if maxConns is
// reached, or the limit of the pool.
func (h *hostConns) reserveSlot(maxConns int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if maxConns > 0 && h.openCount >= maxConns {
		return false
	}
	if open := h.pool.open.Add(1); h.pool.maxOpen > 0 && open > h.pool.maxOpen {
		h.pool.open.Add(-1)
		return false
	}
	h.openCount++
	return true
}

// releaseSlot counts a connection that was closed or could not be opened.
func (h *hostConns) releaseSlot() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.openCount--
	h.pool.open.Add(-1)
}

// putIdle keeps c for reuse until idleTimeout has passed.
func (h *hostConns) putIdle(c *conn, idleTimeout time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c.expiresAt = time.Now().Add(idleTimeout)
	h.idle = append(h.idle, c)
}

// giveBack keeps a connection on which nothing was sent.
func (h *hostConns) giveBack(c *conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if c.expiresAt.IsZero() {
		c.expiresAt = time.Now().Add(defaultIdleTimeout)
	}
	h.idle = append(h.idle, c)
}

// CloseExpired closes the idle connections that have expired at now. It does not remove
// addresses: their number is limited by the upstreams that were listed since the process
// started.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range p.hosts {
		h.closeExpired(now)
	}
}

// closeExpired closes the idle connections that have expired at now.
func (h *hostConns) closeExpired(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	kept := h.idle[:0]
	for _, c := range h.idle {
		if now.Before(c.expiresAt) {
			kept = append(kept, c)
			continue
		}
		h.closeIdle(c)
	}
	h.idle = kept
}
