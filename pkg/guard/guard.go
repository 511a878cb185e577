package guard

import (
	"errors"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/intake"
)

const (
	// blockedAfter is how long a write takes before its peer counts as one that does not read.
	blockedAfter = 250 * time.Millisecond
	// acceptRetryDelay is the pause after a failed accept, such as one without a free descriptor.
	acceptRetryDelay = 10 * time.Millisecond
)

// past is a deadline that ends a read at once.
var past = time.Unix(1, 0)

// Guard accounts for the connections of one listener. It is safe for concurrent use.
type Guard struct {
	name    string
	log     hclog.Logger
	metrics metrics.Registry
	isHTTP  bool

	mu     sync.Mutex
	ledger *intake.Ledger
	conns  map[intake.ID]*Conn
	// tally counts the refusals since they were last logged.
	tally tally
}

// tally counts refusals.
type tally struct{ refusedConnections, evicted, expired, headsTooLarge, noRoom int }

// NewHTTP returns the guard of a listener for HTTP/1; name stands in logs and metrics.
func NewHTTP(name string, a intake.Allotment, l intake.Limits, log hclog.Logger, m metrics.Registry) *Guard {
	g := New(name, a, l, log, m)
	g.isHTTP = true
	return g
}

// New returns the guard of a listener whose server moves the connections through the stages itself.
func New(name string, a intake.Allotment, l intake.Limits, log hclog.Logger, m metrics.Registry) *Guard {
	return &Guard{name: name, log: log, metrics: m, ledger: intake.NewLedger(a, l), conns: map[intake.ID]*Conn{}}
}

// SetLimits changes the limits, also for the connections that are open.
func (g *Guard) SetLimits(l intake.Limits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.SetLimits(l)
}

// OpenCount returns the number of open connections.
func (g *Guard) OpenCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ledger.Usage().Connections
}

// Listener returns a listener whose connections are accounted for.
func (g *Guard) Listener(l net.Listener) net.Listener { return &listener{Listener: l, guard: g} }

// listener is a guarded listener.
type listener struct {
	net.Listener
	guard *Guard
}

// Accept implements net.Listener. It returns only connections that are admitted, and no error but that of a closed
// listener: one that fails for want of descriptors succeeds once others are closed.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil, err
		case err != nil:
			l.guard.log.Warn("accept-failed", "listener", l.guard.name, "error", err.Error())
			l.guard.shed()
			time.Sleep(acceptRetryDelay)
		default:
			if c := l.guard.admit(raw); c != nil {
				return c, nil
			}
		}
	}
}

// admit returns the guarded connection, or nil if it was refused and closed.
func (g *Guard) admit(raw net.Conn) *Conn {
	c := &Conn{Conn: raw, guard: g}
	c.isReadingHead.Store(g.isHTTP)
	g.mu.Lock()
	id, evicted, ok := g.ledger.Open(time.Now())
	victims := g.take(evicted)
	if ok {
		c.id = id
		g.conns[id] = c
	} else {
		g.tally.refusedConnections++
	}
	g.mu.Unlock()
	evictAll(victims)
	if !ok {
		c.hasRequest.Store(true) // it sends one
		c.refuse(refusalNoRoom)
		return nil
	}
	return c
}

// shed evicts a connection, if one may be evicted, so that its descriptor can be used.
func (g *Guard) shed() {
	g.mu.Lock()
	victims := g.take(g.ledger.Shed(time.Now()))
	g.mu.Unlock()
	evictAll(victims)
}

// take removes evicted connections, and returns them to be closed without the lock. The caller holds g.mu.
func (g *Guard) take(ids []intake.ID) []*Conn {
	victims := make([]*Conn, 0, len(ids))
	for _, id := range ids {
		if c := g.conns[id]; c != nil {
			victims = append(victims, c)
			delete(g.conns, id)
			g.tally.evicted++
		}
	}
	return victims
}

func evictAll(victims []*Conn) {
	for _, c := range victims {
		c.refuse(refusalNoRoom)
	}
}

// Sweep ends the waits of connections that are over their time, and finds those whose peers do not read. It is to be
// called about twice a second.
func (g *Guard) Sweep(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, id := range g.ledger.Expired(now) {
		c := g.conns[id]
		if !c.isExpired {
			c.isExpired = true
			g.tally.expired++
		}
		// It ends the wait of the server: closing the connection here could cut a request that has just arrived.
		_ = c.Conn.SetReadDeadline(past) // a closed connection needs none
	}
	for id, c := range g.conns {
		if since := c.writingSince.Load(); since != 0 && now.Sub(time.Unix(0, since)) >= blockedAfter {
			g.ledger.Block(id, time.Unix(0, since))
		}
	}
	g.report()
}

// report logs and counts the refusals since the last report, in one line. The caller holds g.mu.
func (g *Guard) report() {
	t := g.tally
	if t == (tally{}) {
		return
	}
	g.tally = tally{}
	u := g.ledger.Usage()
	for name, n := range map[string]int{
		"refused_connections": t.refusedConnections, "evicted": t.evicted, "expired": t.expired,
		"heads_too_large": t.headsTooLarge, "no_room": t.noRoom,
	} {
		metrics.GetOrRegisterCounter("intake_"+g.name+"_"+name, g.metrics).Inc(int64(n))
	}
	if t == (tally{expired: t.expired}) {
		return // connections that end by their time limits are no sign of pressure
	}
	g.log.Info("intake-refused", "listener", g.name, "refused_connections", t.refusedConnections, "evicted", t.evicted,
		"heads_too_large", t.headsTooLarge, "no_room", t.noRoom, "connections", u.Connections, "held_bytes", u.Bytes)
}
