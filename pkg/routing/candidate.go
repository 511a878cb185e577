package routing

import "time"

// Distance is the distance of an upstream from the entry.
type Distance int8

// Distances in increasing order.
const (
	SameZone Distance = iota
	SameRegion
	OtherRegion
)

// Candidate is the state of one upstream as known to the choosing entry.
type Candidate struct {
	// IDHash is a hash of the upstream's ID.
	IDHash uint64
	// ReportedAt is the time of the newest status report, on the clock of Request.Now.
	ReportedAt time.Duration
	// ServiceMillis is the mean service time in milliseconds; 0 while unknown.
	ServiceMillis float64
	// Limit is the concurrency limit, Running and Queued the numbers of requests that run
	// and wait, as in the newest report.
	Limit   int32
	Running int32
	Queued  int32
	// OwnReported is the number of requests in Running and Queued that this entry sent.
	OwnReported int32
	// OwnInProgress is the number of attempts of this entry in progress at the upstream.
	OwnInProgress int32
	// CachedBlocks is the number of leading blocks of the prompt that are known to be in the
	// prefix cache of the upstream.
	CachedBlocks int32
	Distance     Distance
	// Excluded is set when the upstream must not be chosen.
	Excluded bool
	// Tried is set when an earlier attempt of the request was sent to the upstream.
	Tried bool
	// Cold is set while the upstream warms up.
	Cold bool

	// load is the work relative to the limit. Choose sets it.
	load float64
}

// work returns the expected number of requests at c if one more is sent. Own attempts that
// the report does not show yet count once per entry, as the other entries are expected to
// send as many.
func (c *Candidate) work(entries int32) float64 {
	others := max(c.Running+c.Queued-c.OwnReported, 0)
	unseen := max(c.OwnInProgress-c.OwnReported, 0)
	return float64(others + c.OwnInProgress + unseen*(max(entries, 1)-1) + 1)
}

// freeSlots returns the number of free slots according to the newest report.
func (c *Candidate) freeSlots() int32 {
	return c.Limit - c.Running - c.Queued
}

// ExpectedWait returns the expected wait of one more request at c, based on the newest report and
// this entry's attempts. It is 0 while the service time or the limit is unknown.
func (c *Candidate) ExpectedWait() time.Duration {
	ahead := c.work(1) - float64(c.Limit)
	if ahead <= 0 || c.Limit <= 0 {
		return 0
	}
	return time.Duration(ahead / float64(c.Limit) * c.ServiceMillis * float64(time.Millisecond))
}

// hasTurn reports whether this entry may send to the cold upstream c in the current time slot. In
// each time slot about as many entries may send as the upstream has room for requests.
func (c *Candidate) hasTurn(r *Request) bool {
	if r.Entries <= 1 {
		return true
	}
	slot := uint64(r.Now / turnLength)
	return int32(Score(r.EntryHash^slot*0x9e3779b97f4a7c15, c.IDHash)%uint64(r.Entries)) < c.freeSlots()
}

// Request is the input of Choose besides the candidates.
type Request struct {
	// Now is the current time, as time since an arbitrary origin that all candidates share.
	Now time.Duration
	// EntryHash is a hash of the name of the choosing entry.
	EntryHash uint64
	// Entries is the number of entries that choose among the same candidates.
	Entries int32
	// TieOffset is the position from which ties are broken.
	TieOffset int
	// PrefixHash is a hash of the beginning of the prompt; 0 means that there is no prompt.
	PrefixHash uint64
	// PromptBlocks is the number of complete blocks of the prompt.
	PromptBlocks int32
}
