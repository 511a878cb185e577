package fleet

import (
	"io"
	"net"
	"sync"
)

// LinkState is the state of a relay.
type LinkState string

// States of a relay.
const (
	// LinkUp forwards all bytes.
	LinkUp LinkState = "up"
	// LinkCut closes all connections, and new ones as soon as they are accepted.
	LinkCut LinkState = "cut"
	// LinkFrozen accepts connections and forwards nothing until the state changes.
	LinkFrozen LinkState = "frozen"
)

// Relay is a TCP proxy to a target that simulates a link that is cut or frozen. It is safe for
// concurrent use.
type Relay struct {
	address  string
	target   string
	listener net.Listener

	mu           sync.Mutex
	stateChanged *sync.Cond
	state        LinkState
	// conns are the open connections from clients.
	conns map[net.Conn]struct{}
}

// newRelay starts a relay to the target host:port on a free address.
func newRelay(target string) (*Relay, error) {
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &Relay{address: address, target: target, listener: l, state: LinkUp, conns: map[net.Conn]struct{}{}}
	r.stateChanged = sync.NewCond(&r.mu)
	go r.acceptConns()
	return r, nil
}

// SetState changes the state of the link.
func (r *Relay) SetState(s LinkState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state = s
	if s == LinkCut {
		for c := range r.conns {
			c.Close()
		}
	}
	r.stateChanged.Broadcast()
}

func (r *Relay) close() {
	r.SetState(LinkCut)
	r.listener.Close()
}

func (r *Relay) acceptConns() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(c)
	}
}

// serve forwards between a connection from a client and a new one to the target.
func (r *Relay) serve(inbound net.Conn) {
	defer inbound.Close()
	if !r.track(inbound) {
		return
	}
	defer r.untrack(inbound)
	outbound, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer outbound.Close()
	go func() {
		r.forward(outbound, inbound)
		outbound.Close()
	}()
	r.forward(inbound, outbound)
}

// forward copies bytes while the link is up and stops the copy while it is frozen.
func (r *Relay) forward(to, from net.Conn) {
	buf := make([]byte, 16<<10)
	for {
		n, readErr := from.Read(buf)
		if !r.waitWhileFrozen() {
			return
		}
		if _, writeErr := to.Write(buf[:n]); writeErr != nil {
			return
		}
		if readErr != nil && readErr != io.EOF || n == 0 {
			return
		}
	}
}

// waitWhileFrozen waits while the link is frozen and then reports whether it is up.
func (r *Relay) waitWhileFrozen() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.state == LinkFrozen {
		r.stateChanged.Wait()
	}
	return r.state == LinkUp
}

// track adds an open connection and reports whether the link accepts it.
func (r *Relay) track(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns[c] = struct{}{}
	return r.state != LinkCut
}

func (r *Relay) untrack(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
}
