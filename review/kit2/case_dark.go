package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["dark-crash"] = darkCrash }

const (
	// poisonBody is the body of the request that crashes the workers that run it.
	poisonBody = "load 4711"
	// crashTime is how long a crashed worker is silent before it is back.
	crashTime = 4500 * time.Millisecond
	beatTime  = 1200 * time.Millisecond
)

// mortal is a worker that may go dark: it then answers nothing, keeps its channels open and says nothing to the store,
// whose entry of it expires. It is back with a new id at the same address, and its old channels are reset.
type mortal struct {
	store    *store
	number   int
	poisoned bool
	listener net.Listener

	mu       sync.Mutex
	life     int
	bornAt   time.Time
	dark     bool
	conns    map[net.Conn]bool
	runs     []run
	wakes    chan struct{}
	crashes  []time.Time
	sequence int
}

func newMortal(s *store, n int, poisoned bool) *mortal {
	m := &mortal{store: s, number: n, poisoned: poisoned, listener: listen(host(80 + n)), conns: map[net.Conn]bool{}, wakes: make(chan struct{}), bornAt: time.Now()}
	server := &http.Server{Handler: m, ConnState: func(c net.Conn, state http.ConnState) {
		m.mu.Lock()
		defer m.mu.Unlock()
		if state == http.StateClosed {
			delete(m.conns, c)
		} else {
			m.conns[c] = true
		}
	}}
	go func() { _ = server.Serve(m.listener) }()
	m.beat()
	go func() {
		for range time.Tick(beatTime) {
			m.beat()
		}
	}()
	return m
}

// id returns the id of the present life. The caller holds m.mu.
func (m *mortal) id() string { return fmt.Sprintf("i-%04d%03d", m.number, m.life) }

func (m *mortal) beat() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.dark {
		return
	}
	m.sequence++
	if m.sequence > 1 {
		return // nothing but the sequence would change
	}
	m.store.put("servers", m.id(), dict{
		"service": serviceName, "address": m.listener.Addr().String(), "zone": "zone-1", "version": "v1", "capacity": 6, "state": "ready",
		"warmup_left_ms": 0, "sequence": m.sequence, "born": m.bornAt.UnixMilli(),
	})
}

// crash lets the worker go dark. The caller holds m.mu.
func (m *mortal) crash() {
	m.dark = true
	m.crashes = append(m.crashes, time.Now())
	old, wakes := m.id(), m.wakes
	record("worker %s goes dark", old)
	time.AfterFunc(3*beatTime, func() { m.store.remove("servers", old) })
	time.AfterFunc(crashTime, func() {
		m.mu.Lock()
		for c := range m.conns {
			if t, ok := c.(*net.TCPConn); ok {
				_ = t.SetLinger(0)
			}
			c.Close()
		}
		m.dark, m.life, m.bornAt, m.wakes, m.sequence = false, m.life+1, time.Now(), make(chan struct{}), 0
		record("worker %s is back as %s", old, m.id())
		m.mu.Unlock()
		close(wakes)
		m.beat()
	})
}

// ServeHTTP implements http.Handler.
func (m *mortal) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	m.mu.Lock()
	if m.dark {
		wakes := m.wakes
		m.mu.Unlock()
		<-wakes
		panic(http.ErrAbortHandler)
	}
	self, life := m.id(), m.life
	if want := r.Header.Get("X-Expected-Instance"); want != "" && want != self {
		m.mu.Unlock()
		w.Header().Set("X-Instance-Id", self)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	m.runs = append(m.runs, run{id, r.Method, r.RequestURI, time.Now(), len(body)})
	if m.poisoned && string(body) == poisonBody {
		m.crash()
		wakes := m.wakes
		m.mu.Unlock()
		<-wakes
		panic(http.ErrAbortHandler)
	}
	m.mu.Unlock()
	time.Sleep(30 * time.Millisecond)
	m.mu.Lock()
	wakes, gone := m.wakes, m.dark || m.life != life
	m.mu.Unlock()
	if gone {
		<-wakes
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Attempt-Id", id)
	w.Header().Set("X-Response-Signature", "3e1b."+self)
	fmt.Fprintf(w, "answer to %s", id)
}

// darkCrash has one request that crashes the workers that run it. A crashed worker is silent, as one whose machine stands
// still, until it is back.
func darkCrash(trouble bool) {
	const contactTime = 3 * time.Second
	s := newStore(host(2))
	var workers []*mortal
	for i := range 12 {
		workers = append(workers, newMortal(s, i+1, trouble))
	}
	s.put("config", "main", configuration(1, []dict{plainRoute("r-booking", "/puxa403/", "unsafe")}))
	gateways := newGateways(2, s)
	startAll(gateways)
	c := newConsumers()
	for i := range 6 {
		c.add(gateways[i%2].caller, 150*time.Millisecond, 2500*time.Millisecond, booking(600))
	}
	time.Sleep(3 * time.Second)
	var poison []*attempt
	for end := time.Now().Add(45 * time.Second); time.Now().Before(end); {
		ch, err := dial(gateways[len(poison)%2].caller)
		if err != nil {
			cannotRun("%v", err)
		}
		a := ch.send(http.MethodPost, "/puxa403/4711", []byte(poisonBody), 2500*time.Millisecond)
		ch.close()
		record("%s, the request that crashes workers, gets %d %s from %s", a.id, a.status, a.problem, a.gateway)
		poison = append(poison, a)
		time.Sleep(1500 * time.Millisecond)
	}
	attempts := c.stop()
	isPoison := map[string]bool{}
	for _, a := range poison {
		isPoison[a.id] = true
	}
	var crashes []time.Time
	var reached []run
	for _, m := range workers {
		m.mu.Lock()
		crashes = append(crashes, m.crashes...)
		for _, r := range m.runs {
			if isPoison[r.id] {
				reached = append(reached, r)
			}
		}
		m.mu.Unlock()
	}
	sortTimes(crashes)
	late := 0
	for _, r := range reached {
		if len(crashes) >= 3 && r.at.After(crashes[2].Add(contactTime)) {
			late++
		}
	}
	lost := 0
	for _, a := range attempts {
		if a.status != 200 && a.status != 503 {
			lost++
		}
	}
	record("requests of others: %v", summary(attempts))
	record("%d crashes; the request ran at workers %d times, of these %d later than contact_ms after the third crash; %d requests of others failed or got no answer",
		len(crashes), len(reached), late, lost)
	if late > 3 {
		record("BUDGET is broken")
		finish(1)
	}
	finish(0)
}

func sortTimes(times []time.Time) {
	for i := range times {
		for k := i; k > 0 && times[k].Before(times[k-1]); k-- {
			times[k], times[k-1] = times[k-1], times[k]
		}
	}
}
