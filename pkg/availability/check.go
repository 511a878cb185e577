package availability

import "time"

// Reason tells why an upstream gets no request now, or only as a last resort. It is used in logs.
type Reason string

// Reasons that exclude an upstream.
const (
	// NoReason means that the upstream may get a request.
	NoReason Reason = ""
	Leaving  Reason = "leaving"
	ZoneOut  Reason = "zone-out"
	// Paused upstreams asked for a pause, which is not over.
	Paused Reason = "paused"
	// Returning upstreams have as many requests as they get at a time after a pause.
	Returning Reason = "returning"
	// Limited upstreams named a limit that is used up.
	Limited Reason = "limited"
	// Cold upstreams get as many starts as they bear.
	Cold Reason = "cold"
)

// Reasons that make an upstream a last resort.
const (
	// Superseded upstreams have been replaced by a later one at their address.
	Superseded Reason = "superseded"
	// Unconfirmed upstreams are missing in the list after an outage of the store.
	Unconfirmed Reason = "unconfirmed"
	Unreachable Reason = "unreachable"
	Stalled     Reason = "stalled"
	Silent      Reason = "silent"
)

// Conditions are what a gateway knows about an upstream. Waits are 0 for what is not the case.
type Conditions struct {
	Leaving, ZoneOut bool
	// PauseWait is the time until the upstream returns from a pause, and ReturnWait the time after which to look again
	// if it has as many requests as it gets after one.
	PauseWait, ReturnWait time.Duration
	// LimitWait is the time until its limit may allow a request.
	LimitWait time.Duration
	// StartWait is the time until the gateway may start a request at it while it is cold. HasNoStarts is set if only
	// other gateways may.
	StartWait   time.Duration
	HasNoStarts bool

	Superseded, Unconfirmed, Unreachable, Stalled, Silent bool
}

// Decision tells whether an upstream may get a request.
type Decision struct {
	Reason Reason
	// Excluded is set if the upstream must not get a request; otherwise one with a reason is a last resort.
	Excluded bool
	// Wait is the time until the reason is over, 0 if that is not known.
	Wait time.Duration
}

// IsLastResort reports whether the upstream may get a request only if no other one may.
func (d Decision) IsLastResort() bool { return !d.Excluded && d.Reason != NoReason }

// Check decides whether an upstream may get a request. Of several reasons the first one counts that excludes it, and the
// longest wait.
func Check(c Conditions) Decision {
	wait := max(c.PauseWait, c.LimitWait, c.StartWait, c.ReturnWait)
	switch {
	case c.Leaving:
		return Decision{Reason: Leaving, Excluded: true}
	case c.ZoneOut:
		return Decision{Reason: ZoneOut, Excluded: true}
	case c.PauseWait > 0:
		return Decision{Reason: Paused, Excluded: true, Wait: wait}
	case c.LimitWait > 0:
		return Decision{Reason: Limited, Excluded: true, Wait: wait}
	case c.HasNoStarts:
		return Decision{Reason: Cold, Excluded: true}
	case c.StartWait > 0:
		return Decision{Reason: Cold, Excluded: true, Wait: wait}
	case c.ReturnWait > 0:
		return Decision{Reason: Returning, Excluded: true, Wait: wait}
	}
	return Decision{Reason: lastResortReason(c)}
}

func lastResortReason(c Conditions) Reason {
	switch {
	case c.Superseded:
		return Superseded
	case c.Unconfirmed:
		return Unconfirmed
	case c.Unreachable:
		return Unreachable
	case c.Stalled:
		return Stalled
	case c.Silent:
		return Silent
	}
	return NoReason
}

// Outlook summarises the decisions on the upstreams of a service. The zero value is that of a service without upstreams.
type Outlook struct {
	// IsServed is set if an upstream may get a request.
	IsServed bool
	// waits has the shortest wait for each reason.
	waits map[Reason]time.Duration
}

// Add adds the decision on an upstream.
func (o *Outlook) Add(d Decision) {
	if !d.Excluded {
		o.IsServed = true
		return
	}
	if shortest, ok := o.waits[d.Reason]; d.Wait == 0 || ok && shortest <= d.Wait {
		return
	}
	if o.waits == nil {
		o.waits = map[Reason]time.Duration{}
	}
	o.waits[d.Reason] = d.Wait
}

// Wait returns the shortest time until an upstream may get a request that does not for a reason, 0 if there is none.
func (o Outlook) Wait(r Reason) time.Duration { return o.waits[r] }

// First returns the reason that is over first and the time until then. It returns NoReason if no time is known.
func (o Outlook) First() (Reason, time.Duration) {
	first, shortest := NoReason, time.Duration(0)
	for _, r := range []Reason{Returning, Cold, Limited, Paused} {
		if wait, ok := o.waits[r]; ok && (first == NoReason || wait < shortest) {
			first, shortest = r, wait
		}
	}
	return first, shortest
}
