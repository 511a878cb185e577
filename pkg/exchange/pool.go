package exchange

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
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
		h = &hostConns{}
		p.hosts[address] = h
	}
	return h
}

// errConnLimit means that the address has the maximum number of connections.
var errConnLimit = errors.New("connection limit of the address reached")

// acquireConn returns an idle connection, or opens one if there is none. The error is
// errConnLimit if the limit allows no further connection.
func (p *Pool) acquireConn(ctx context.Context, h *hostConns, address string, maxConns int, isResponseTo func(*http.Response) bool) (*conn, error) {
	if c := h.popIdle(time.Now(), isResponseTo); c != nil {
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
		c.netConn.Close()
		h.openCount--
	}
	return nil
}

// reserveSlot counts a connection that is about to be opened. It reports false if maxConns is
// reached.
func (h *hostConns) reserveSlot(maxConns int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if maxConns > 0 && h.openCount >= maxConns {
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
		c.netConn.Close()
		h.openCount--
	}
	h.idle = kept
}
