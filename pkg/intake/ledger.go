package intake

import (
	"container/list"
	"time"
)

// ID identifies a connection in a ledger.
type ID uint64

// Stage is what a connection waits for.
type Stage int

// Stages. A connection begins as Head.
const (
	// Head means that no whole head or message has come yet.
	Head Stage = iota
	// Body means that the head has come and the body has not ended.
	Body
	// Serving means that a whole request is in progress.
	Serving
	// Blocked means that the peer does not read the answer.
	Blocked
	// Idle means that the last request has ended and nothing of the next one has come.
	Idle
	stageCount
)

const (
	// minUnfinishedTime is the time after which a connection in the stage Head or Body may be evicted: one that
	// has just come is not taken for one that stays unfinished.
	minUnfinishedTime = 200 * time.Millisecond
	// minBlockedTime is the time after which a connection in the stage Blocked may be evicted.
	minBlockedTime = time.Second
)

// Limits bound what each connection may send and how long it may take. Zero means no limit.
type Limits struct {
	// HeadBytes is the size of a head.
	HeadBytes int
	// HeadTimeout, BodyTimeout and IdleTimeout are how long a connection may stay in the stages Head, Body and
	// Idle.
	HeadTimeout, BodyTimeout, IdleTimeout time.Duration
	// KeepIdle is how long an idle connection keeps its place: the peer uses it again and again.
	KeepIdle time.Duration
}

// timeouts returns the time limits by stage.
func (l Limits) timeouts() [stageCount]time.Duration {
	return [stageCount]time.Duration{Head: l.HeadTimeout, Body: l.BodyTimeout, Idle: l.IdleTimeout}
}

// Verdict is the answer of a ledger to a connection that needs more.
type Verdict int

// Verdicts.
const (
	Granted Verdict = iota
	// NoRoom means that the listener has nothing left for this connection.
	NoRoom
	// TooLarge means that the head is over its limit.
	TooLarge
)

// Ledger accounts for the connections of one listener. It is not safe for concurrent use.
type Ledger struct {
	allotment Allotment
	limits    Limits
	conns     map[ID]*entry
	// stages has the connections of each stage in the order in which they entered it.
	stages [stageCount]*list.List
	held   int64
	nextID ID
}

// entry is a connection.
type entry struct {
	id        ID
	stage     Stage
	since     time.Time
	held      int64
	headBytes int
	element   *list.Element
}

// NewLedger returns a ledger without connections.
func NewLedger(a Allotment, l Limits) *Ledger {
	ledger := &Ledger{allotment: a, limits: l, conns: map[ID]*entry{}}
	for i := range ledger.stages {
		ledger.stages[i] = list.New()
	}
	return ledger
}

// SetLimits changes the limits, also for the connections that are open.
func (l *Ledger) SetLimits(limits Limits) { l.limits = limits }

// Limits returns the limits.
func (l *Ledger) Limits() Limits { return l.limits }

// Open adds a connection. evicted are the connections that make room for it, at most one; they are removed already. It
// returns false if there is no room.
func (l *Ledger) Open(now time.Time) (id ID, evicted []ID, ok bool) {
	if len(l.conns) >= l.allotment.Connections {
		victim := l.connectionVictim(now)
		if victim == nil {
			return 0, nil, false
		}
		evicted = append(evicted, victim.id)
		l.Close(victim.id)
	}
	l.nextID++
	e := &entry{id: l.nextID, stage: Head, since: now}
	e.element = l.stages[Head].PushBack(e)
	l.conns[e.id] = e
	return e.id, evicted, true
}

// Shed evicts the connection that would give way to a new one, if there is one.
func (l *Ledger) Shed(now time.Time) (evicted []ID) {
	victim := l.connectionVictim(now)
	if victim == nil {
		return nil
	}
	l.Close(victim.id)
	return []ID{victim.id}
}

// connectionVictim returns the connection that gives way to a new one, nil if all have a claim to stay.
func (l *Ledger) connectionVictim(now time.Time) *entry {
	if e := l.longestUnfinished(now); e != nil {
		return e
	}
	if front := l.stages[Idle].Front(); front != nil && now.Sub(front.Value.(*entry).since) >= l.limits.KeepIdle {
		return front.Value.(*entry)
	}
	return l.longestBlocked(now)
}

// longestUnfinished returns the connection that has been in the stage Head or Body longest, nil if none may be evicted.
func (l *Ledger) longestUnfinished(now time.Time) *entry {
	var oldest *entry
	for _, s := range []Stage{Head, Body} {
		front := l.stages[s].Front()
		if front == nil {
			continue
		}
		if e := front.Value.(*entry); oldest == nil || e.since.Before(oldest.since) {
			oldest = e
		}
	}
	if oldest == nil || now.Sub(oldest.since) < minUnfinishedTime {
		return nil
	}
	return oldest
}

// longestBlocked returns the connection that has been in the stage Blocked longest, nil if none may be evicted.
func (l *Ledger) longestBlocked(now time.Time) *entry {
	front := l.stages[Blocked].Front()
	if front == nil {
		return nil
	}
	e := front.Value.(*entry)
	if now.Sub(e.since) < minBlockedTime {
		return nil
	}
	return e
}

// Close removes a connection with all that it holds.
func (l *Ledger) Close(id ID) {
	e := l.conns[id]
	if e == nil {
		return
	}
	l.held -= e.held
	l.stages[e.stage].Remove(e.element)
	delete(l.conns, id)
}

// Enter moves a connection to a stage. A connection that becomes idle holds nothing any more. It returns false if the
// connection was evicted.
func (l *Ledger) Enter(id ID, s Stage, now time.Time) bool {
	e := l.conns[id]
	if e == nil {
		return false
	}
	if s == Idle {
		l.held -= e.held
		e.held, e.headBytes = 0, 0
	}
	if s == e.stage {
		return true
	}
	l.stages[e.stage].Remove(e.element)
	e.stage, e.since = s, now
	e.element = l.stages[s].PushBack(e)
	return true
}

// Block moves a connection from Serving to Blocked. It returns false if the connection is in another stage.
func (l *Ledger) Block(id ID, since time.Time) bool {
	e := l.conns[id]
	if e == nil || e.stage != Serving {
		return false
	}
	return l.Enter(id, Blocked, since)
}

// ReadHead adds size bytes to the head of a connection, which take up cost bytes once they are parsed.
func (l *Ledger) ReadHead(id ID, size int, cost int64, now time.Time) (verdict Verdict, evicted []ID) {
	e := l.conns[id]
	if e == nil {
		return NoRoom, nil
	}
	e.headBytes += size
	if l.limits.HeadBytes > 0 && e.headBytes > l.limits.HeadBytes {
		return TooLarge, nil
	}
	return l.Hold(id, cost, now)
}

// Hold lets a connection hold more bytes. evicted are the connections that make room; they are removed already.
func (l *Ledger) Hold(id ID, size int64, now time.Time) (verdict Verdict, evicted []ID) {
	e := l.conns[id]
	if e == nil {
		return NoRoom, nil
	}
	limit := l.allotment.Bytes
	isOrdinary := e.held+size <= OrdinaryBytes
	if !isOrdinary {
		limit -= l.allotment.ReservedBytes
	}
	if missing := l.held + size - limit; missing > 0 {
		victims, enough := l.byteVictims(e, isOrdinary, missing, now)
		if !enough {
			return NoRoom, nil
		}
		for _, v := range victims {
			evicted = append(evicted, v.id)
			l.Close(v.id)
		}
	}
	e.held += size
	l.held += size
	return Granted, evicted
}

// byteVictims returns connections that hold the missing bytes together and give way to another one, and whether there
// are enough. Connections that hold much go first, and give way to all; the others give way to ordinary requests only.
func (l *Ledger) byteVictims(other *entry, isOrdinary bool, missing int64, now time.Time) (victims []*entry, enough bool) {
	take := func(s Stage, minTime time.Duration, isVictim func(*entry) bool) {
		for element := l.stages[s].Front(); element != nil && missing > 0; element = element.Next() {
			e := element.Value.(*entry)
			if now.Sub(e.since) < minTime {
				return
			}
			if e != other && isVictim(e) {
				victims = append(victims, e)
				missing -= e.held
			}
		}
	}
	isLarge := func(e *entry) bool { return e.held > OrdinaryBytes }
	isSmall := func(e *entry) bool { return e.held > 0 && !isLarge(e) }
	for _, isVictim := range []func(*entry) bool{isLarge, isSmall} {
		take(Body, minUnfinishedTime, isVictim)
		take(Head, minUnfinishedTime, isVictim)
		take(Blocked, minBlockedTime, isVictim)
		if !isOrdinary {
			break
		}
	}
	return victims, missing <= 0
}

// Held returns the bytes that a connection holds, 0 if it was evicted.
func (l *Ledger) Held(id ID) int64 {
	if e := l.conns[id]; e != nil {
		return e.held
	}
	return 0
}

// Release returns bytes that a connection holds.
func (l *Ledger) Release(id ID, size int64) {
	e := l.conns[id]
	if e == nil {
		return
	}
	size = min(size, e.held)
	e.held -= size
	l.held -= size
}

// Expired returns the connections that have been in a stage for longer than its limit. They stay in the ledger until
// they are closed.
func (l *Ledger) Expired(now time.Time) []ID {
	var ids []ID
	for s, limit := range l.limits.timeouts() {
		if limit <= 0 {
			continue
		}
		for element := l.stages[s].Front(); element != nil; element = element.Next() {
			e := element.Value.(*entry)
			if now.Sub(e.since) <= limit {
				break
			}
			ids = append(ids, e.id)
		}
	}
	return ids
}

// Usage is what the connections of a listener hold.
type Usage struct {
	Connections int
	Bytes       int64
}

// Usage returns what the connections hold now.
func (l *Ledger) Usage() Usage { return Usage{Connections: len(l.conns), Bytes: l.held} }

// Unblock moves a connection from Blocked back to Serving.
func (l *Ledger) Unblock(id ID, now time.Time) {
	if e := l.conns[id]; e != nil && e.stage == Blocked {
		l.Enter(id, Serving, now)
	}
}
