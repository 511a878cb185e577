package routing

import "time"

// Distance is how far an upstream is from the entry.
type Distance int8

// Distances, nearest first.
const (
	SameZone Distance = iota
	SameRegion
	OtherRegion
)

// Candidate is the state of one upstream as known to an entry.
type Candidate struct {
	// Key is a hash of the upstream's ID.
	Key uint64
	// Seen is the time of the newest report, on the clock of Request.Now.
	Seen time.Duration
	// ServiceMillis is the mean service time in milliseconds, 0 while unknown.
	ServiceMillis float64
	// Limit, Running and Queued are those of the newest report.
	Limit   int32
	Running int32
	Queued  int32
	// Reported is the part of Running and Queued that this entry sent.
	Reported int32
	// Own is the number of attempts of this entry in progress at the upstream.
	Own int32
	// Cached is the number of leading blocks of the prompt that the upstream is known to hold.
	Cached   int32
	Distance Distance
	// Excluded is set when the upstream must not be chosen. One with a report older than
	// ReportLife is chosen only when none has a newer one.
	Excluded bool
	// Tried is set when an earlier attempt of the request was sent to the upstream.
	Tried bool
	// Cold is set while the upstream warms up.
	Cold bool

	// load is the work relative to the limit, filled in by a decision.
	load float64
}

// work returns the expected requests at c with one more, seen by one of the entries.
func (c *Candidate) work(entries int32) float64 {
	others := max(c.Running+c.Queued-c.Reported, 0)
	unseen := max(c.Own-c.Reported, 0)
	return float64(others + c.Own + unseen*(max(entries, 1)-1) + 1)
}

// room returns the requests that c can take now as far as the newest report tells.
func (c *Candidate) room() int32 {
	return c.Limit - c.Running - c.Queued
}

// Wait returns the expected wait of one more request at c, from the work that is
// known, 0 while the service time is unknown.
func (c *Candidate) Wait() time.Duration {
	ahead := c.work(1) - float64(c.Limit)
	if ahead <= 0 || c.Limit <= 0 {
		return 0
	}
	return time.Duration(ahead / float64(c.Limit) * c.ServiceMillis * float64(time.Millisecond))
}

// turn reports whether it is this entry's turn to send to a cold upstream. In each slot
// of time about as many entries have their turn as the upstream has room for requests.
func (c *Candidate) turn(r *Request) bool {
	if r.Entries <= 1 {
		return true
	}
	slot := uint64(r.Now / turnSlot)
	return int32(Rank(r.Self^slot*0x9e3779b97f4a7c15, c.Key)%uint64(r.Entries)) < c.room()
}

// Request is what a decision depends on besides the candidates.
type Request struct {
	// Now is the time since any epoch that is the same for all candidates.
	Now time.Duration
	// Self is a hash of the name of the choosing entry.
	Self uint64
	// Entries is the number of entries that choose among the same candidates.
	Entries int32
	// Start is the position at which ties are settled.
	Start int
	// Prefix is a hash of the beginning of the prompt; 0 means that it has none.
	Prefix uint64
	// Blocks is the number of whole blocks of the prompt.
	Blocks int32
}
