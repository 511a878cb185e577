package availability

import (
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/requestlimit"
)

const (
	// fullReturn is the number of requests at a time with which the return of an upstream is complete.
	fullReturn = 16
	// unusedReturnTime is the time after a pause in which the upstream returns; one that is not used meanwhile has no
	// need to.
	unusedReturnTime = 5 * time.Second
	// returnRecheck is the time after which to look again for room at an upstream that returns. Answers make it.
	returnRecheck = 10 * time.Millisecond
	// returnSpacing is the mean time between the returns of two gateways to an upstream, and maxReturnShare the part of
	// a pause by which it may be extended for that.
	returnSpacing  = 20 * time.Millisecond
	maxReturnShare = 0.25
)

// Pauses has the pauses that upstreams asked this gateway for, and their return. It is not safe for concurrent use.
type Pauses struct {
	pauses map[requestlimit.Upstream]*pause
}

// pause is the newest pause of an upstream and the return after it.
type pause struct {
	until time.Time
	// allowed is the number of requests at a time after the pause, and running those in progress.
	allowed int
	running int
}

// NewPauses returns no pauses.
func NewPauses() *Pauses { return &Pauses{pauses: map[requestlimit.Upstream]*pause{}} }

// Record records that an upstream asks for a pause. The gateways that share the upstream return within some time after
// it, this one as early as the random number in [0, 1) says. A pause never shortens another one. It reports whether
// the upstream was not in a pause.
func (p *Pauses) Record(u requestlimit.Upstream, length time.Duration, gateways int, random float64, now time.Time) (isNew bool) {
	spread := min(time.Duration(gateways)*returnSpacing, time.Duration(maxReturnShare*float64(length)))
	until := now.Add(length + time.Duration(random*float64(spread)))
	known := p.pauses[u]
	if known == nil {
		p.pauses[u] = &pause{until: until, allowed: 1}
		return true
	}
	isNew = !now.Before(known.until)
	known.allowed = 1
	if until.After(known.until) {
		known.until = until
	}
	return isNew
}

// Wait returns the time until the pause of an upstream is over, 0 if it is in none.
func (p *Pauses) Wait(u requestlimit.Upstream, now time.Time) time.Duration {
	known := p.pauses[u]
	if known == nil {
		return 0
	}
	return max(0, known.until.Sub(now))
}

// ReturnWait returns when to look again if an upstream has as many requests as it gets after a pause, and 0 if it may
// get one.
func (p *Pauses) ReturnWait(u requestlimit.Upstream, now time.Time) time.Duration {
	known := p.pauses[u]
	if known == nil || now.Before(known.until) || known.isOver(now) || known.running < known.allowed {
		return 0
	}
	return returnRecheck
}

// isOver reports whether the upstream has returned.
func (p *pause) isOver(now time.Time) bool {
	return p.allowed > fullReturn || now.Sub(p.until) > unusedReturnTime
}

// Start records that a request is sent to an upstream. It reports whether that is a trial, which is to be ended with End.
func (p *Pauses) Start(u requestlimit.Upstream, now time.Time) (isTrial bool) {
	known := p.pauses[u]
	if known == nil || known.isOver(now) {
		return false
	}
	known.running++
	return true
}

// End records the end of a trial: served if the upstream began to answer it, and otherwise not.
func (p *Pauses) End(u requestlimit.Upstream, served bool, now time.Time) {
	known := p.pauses[u]
	if known == nil {
		return
	}
	known.running--
	if served && !now.Before(known.until) {
		known.allowed++
	}
}

// Prune forgets the upstreams that have returned.
func (p *Pauses) Prune(now time.Time) {
	for u, known := range p.pauses {
		if known.isOver(now) && known.running <= 0 {
			delete(p.pauses, u)
		}
	}
}
