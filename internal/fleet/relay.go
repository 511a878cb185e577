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
	// LinkUp passes everything on.
	LinkUp LinkState = "up"
	// LinkCut closes all connections and refuses new ones.
	LinkCut LinkState = "cut"
	// LinkFrozen accepts connections and passes nothing on.
	LinkFrozen LinkState = "frozen"
)

// Relay is a TCP link to a target that can be cut and frozen. It is safe for
// concurrent use.
type Relay struct {
	address  string
	target   string
	listener net.Listener

	mu    sync.Mutex
	wake  *sync.Cond
	state LinkState
	conns map[net.Conn]struct{}
}

// newRelay starts a relay to the target.
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
	r.wake = sync.NewCond(&r.mu)
	go r.accept()
	return r, nil
}

// Set changes the state of the link.
func (r *Relay) Set(s LinkState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state = s
	if s == LinkCut {
		for c := range r.conns {
			c.Close()
		}
	}
	r.wake.Broadcast()
}

func (r *Relay) close() {
	r.Set(LinkCut)
	r.listener.Close()
}

func (r *Relay) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(c)
	}
}

func (r *Relay) serve(near net.Conn) {
	defer near.Close()
	if !r.track(near) {
		return
	}
	defer r.forget(near)
	far, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer far.Close()
	go func() {
		r.pass(far, near)
		far.Close()
	}()
	r.pass(near, far)
}

// pass copies bytes while the link is up and holds them while it is frozen.
func (r *Relay) pass(to, from net.Conn) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if !r.thawed() {
			return
		}
		if _, e := to.Write(buf[:n]); e != nil {
			return
		}
		if err != nil && err != io.EOF || n == 0 {
			return
		}
	}
}

// thawed waits while the link is frozen and reports whether it is up.
func (r *Relay) thawed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.state == LinkFrozen {
		r.wake.Wait()
	}
	return r.state == LinkUp
}

func (r *Relay) track(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns[c] = struct{}{}
	return r.state != LinkCut
}

func (r *Relay) forget(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
}
