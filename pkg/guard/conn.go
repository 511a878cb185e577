package guard

import (
	"errors"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/intake"
)

const (
	// defaultWriteTimeout limits a write for which the server sets no deadline.
	defaultWriteTimeout = 3 * time.Second
	// refusalWriteTimeout limits the write of a refusal: it fits into the buffer of a connection whose peer reads.
	refusalWriteTimeout = 10 * time.Millisecond
	// lingerTime and lingerBytes limit what is read after a refusal, so that the peer gets it before its connection is
	// reset.
	lingerTime  = 100 * time.Millisecond
	lingerBytes = 256 << 10
)

// Refusals of connections whose request is not read. The status 503 promises that it does not run.
const (
	refusalNoRoom   = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.50\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	refusalTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)

// ErrRefused is the error of a connection that was refused or evicted.
var ErrRefused = errors.New("guard: the connection was refused")

// Conn is a connection of a guarded listener. A nil *Conn grants everything. It is safe for concurrent use.
type Conn struct {
	net.Conn
	guard *Guard
	id    intake.ID
	// isReadingHead is set while the bytes that are read belong to a head.
	isReadingHead atomic.Bool
	// hasRequest is set while a request, or a part of one, has no answer.
	hasRequest atomic.Bool
	// isRefused is set once the connection was refused or evicted.
	isRefused atomic.Bool
	// writingSince is when the write in progress began, in Unix nanoseconds, 0 for none.
	writingSince atomic.Int64
	// hasWriteDeadline is set if the server has set a deadline for writes.
	hasWriteDeadline atomic.Bool
	// isExpired is set once the wait of the connection was ended for its time limit; guard.mu guards it.
	isExpired bool
}

// Read implements net.Conn. It accounts for the bytes of heads, and refuses a connection with a head that has no room or
// is too large.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 || !c.isReadingHead.Load() {
		return n, err
	}
	verdict := c.readHead(p[:n])
	switch verdict {
	case intake.Granted:
		return n, err
	case intake.TooLarge:
		c.refuseAndLinger(refusalTooLarge)
	default:
		c.refuseAndLinger(refusalNoRoom)
	}
	// net/http answers nothing to an error of the connection itself.
	return 0, &net.OpError{Op: "read", Net: "tcp", Err: ErrRefused}
}

// readHead accounts for a part of a head.
func (c *Conn) readHead(part []byte) intake.Verdict {
	c.hasRequest.Store(true)
	now := time.Now()
	g := c.guard
	g.mu.Lock()
	g.ledger.Enter(c.id, intake.Head, now)
	verdict, evicted := g.ledger.ReadHead(c.id, len(part), intake.HeadCost(part), now)
	g.count(verdict)
	victims := g.take(evicted)
	g.mu.Unlock()
	evictAll(victims)
	return verdict
}

// count counts a verdict in the tally. The caller holds g.mu.
func (g *Guard) count(v intake.Verdict) {
	switch v {
	case intake.NoRoom:
		g.tally.noRoom++
	case intake.TooLarge:
		g.tally.headsTooLarge++
	}
}

// Hold lets the connection hold more bytes. It returns false if there is no room.
func (c *Conn) Hold(size int64) bool {
	if c == nil {
		return true
	}
	g := c.guard
	g.mu.Lock()
	verdict, evicted := g.ledger.Hold(c.id, size, time.Now())
	g.count(verdict)
	victims := g.take(evicted)
	g.mu.Unlock()
	evictAll(victims)
	return verdict == intake.Granted
}

// HoldAtLeast lets the connection hold size bytes in all. It returns false if there is no room.
func (c *Conn) HoldAtLeast(size int64) bool {
	if c == nil {
		return true
	}
	c.guard.mu.Lock()
	missing := size - c.guard.ledger.Held(c.id)
	c.guard.mu.Unlock()
	return missing <= 0 || c.Hold(missing)
}

// Release returns bytes that the connection holds.
func (c *Conn) Release(size int64) {
	if c == nil {
		return
	}
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.guard.ledger.Release(c.id, size)
}

// Enter moves the connection to a stage. It returns false if the connection was evicted.
func (c *Conn) Enter(s intake.Stage) bool {
	if c == nil {
		return true
	}
	g := c.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	c.isReadingHead.Store(g.isHTTP && (s == intake.Idle || s == intake.Head))
	if s == intake.Idle {
		c.hasRequest.Store(false)
	}
	if c.isExpired {
		// The sweep may have chosen the connection after the server had read this request.
		c.isExpired = false
		_ = c.Conn.SetReadDeadline(time.Time{}) // a closed connection needs none
	}
	return g.ledger.Enter(c.id, s, time.Now())
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	if c.isRefused.Load() {
		return 0, ErrRefused
	}
	now := time.Now()
	if !c.hasWriteDeadline.Load() {
		if err := c.Conn.SetWriteDeadline(now.Add(defaultWriteTimeout)); err != nil {
			return 0, err
		}
	}
	c.writingSince.Store(now.UnixNano())
	n, err := c.Conn.Write(p)
	c.writingSince.Store(0)
	if time.Since(now) >= blockedAfter {
		c.unblock()
	}
	return n, err
}

// unblock moves a connection that was blocked back to Serving.
func (c *Conn) unblock() {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.guard.ledger.Unblock(c.id, time.Now())
}

// SetWriteDeadline implements net.Conn. A zero time stands for the default.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.hasWriteDeadline.Store(!t.IsZero())
	return c.Conn.SetWriteDeadline(t)
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	g := c.guard
	g.mu.Lock()
	g.ledger.Close(c.id)
	delete(g.conns, c.id)
	g.mu.Unlock()
	return c.Conn.Close()
}

// CloseWrite closes the sending side, for net/http.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// SetLinger sets what Close does with unsent data, see net.TCPConn.
func (c *Conn) SetLinger(sec int) error {
	if l, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		return l.SetLinger(sec)
	}
	return nil
}

// writeRefusal answers a peer whose request is not read, as far as its connection takes that at once.
func (c *Conn) writeRefusal(text string) {
	isAnswering := c.writingSince.Load() != 0
	if c.isRefused.Swap(true) || isAnswering || !c.guard.isHTTP || !c.hasRequest.Load() {
		return
	}
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalWriteTimeout)) // the connection is closed in any case
	_, _ = io.WriteString(c.Conn, text)
}

// refuse answers and closes the connection.
func (c *Conn) refuse(text string) {
	c.writeRefusal(text)
	_ = c.Conn.Close() // the peer may have closed it
}

// refuseAndLinger answers, and reads a little of what the peer still sends. The server closes the connection.
func (c *Conn) refuseAndLinger(text string) {
	c.writeRefusal(text)
	_ = c.CloseWrite()
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
}
