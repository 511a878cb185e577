package gossip

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/roster"
)

// Status is the state of a gateway.
type Status int

// Statuses, in the order in which they replace each other under one sequence number.
const (
	// Unready gateways run and take no new callers: they start or are about to stop.
	Unready Status = iota
	// Ready gateways take callers.
	Ready
	// Down gateways are not heard from by those that send them heartbeats.
	Down
)

// String returns the name of the status in log lines.
func (s Status) String() string { return [...]string{"unready", "ready", "down"}[max(0, min(s, Down))] }

// Record is what gateways tell each other about one gateway.
type Record struct {
	roster.Entry
	// Sequence numbers the states of the gateway. The gateway itself raises it with each change; the
	// first one of a process is its start time in Unix milliseconds.
	Sequence int64  `json:"sequence"`
	Status   Status `json:"status"`
}

// size returns the length of the texts of the record, in bytes.
func (r Record) size() int {
	return len(r.Name) + len(r.Incarnation) + len(r.CallerAddress) + len(r.PeerAddress) + len(r.Region) + len(r.Zone)
}

// replaces reports whether r is newer than o, which is about the same gateway.
func (r Record) replaces(o Record) bool {
	return r.Sequence > o.Sequence || r.Sequence == o.Sequence && r.Status > o.Status
}

// hash returns a number that differs for other states of the gateway.
func (r Record) hash() uint64 {
	return xxhash.Sum64String(r.Name + "\x00" + strconv.FormatInt(r.Sequence, 36) + "\x00" + strconv.Itoa(int(r.Status)))
}
