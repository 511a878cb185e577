// Package roster lists the entries through the platform's store, and defines the call that
// assigns concurrency limits to them.
package roster

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/fanout"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/sharing"
	"github.com/coltsfootpitch/coltsfootpitch/platform"
)

// KindEntries holds one object for each entry, with the name of its instance.
const KindEntries = "entries"

// Entry describes a process that accepts requests of callers.
type Entry struct {
	// Name is the name of the instance.
	Name string `json:"name"`
	// Incarnation changes each time the entry starts.
	Incarnation string `json:"incarnation"`
	// CallerAddress and PeerAddress are the host:port for callers and for other processes.
	CallerAddress string `json:"caller_address"`
	PeerAddress   string `json:"peer_address"`
	Region        string `json:"region"`
	Zone          string `json:"zone"`
}

// List returns the entries in the store and the names of objects that cannot be decoded or
// have no peer address.
func List(ctx context.Context, s *platform.Store) (entries []Entry, unreadable []string, err error) {
	l, err := s.List(ctx, KindEntries)
	if err != nil {
		return nil, nil, err
	}
	for _, o := range l.Objects {
		var e Entry
		if err := json.Unmarshal(o.Spec, &e); err != nil || e.PeerAddress == "" {
			unreadable = append(unreadable, o.Name)
			continue
		}
		entries = append(entries, e)
	}
	return entries, unreadable, nil
}

// MethodLimit is the RPC by which the leader of a rank group sends a Limit to an entry.
const MethodLimit = "entry.limit"

// Limit is an entry's share of the concurrency limit of a rank group, with the state of the
// group.
type Limit struct {
	Service string `json:"service"`
	// Group is the name of one of the groups that serve Service.
	Group string `json:"group"`
	// FencingToken is the fencing token of the leader. Entries ignore a token lower than the
	// highest that they have received.
	FencingToken int64 `json:"fence"`
	// Share is the number of requests that the entry may have in progress; a negative number
	// requests the entry's demand only.
	Share int `json:"part"`
	// Stalled is set while the group runs no passes, and ResumesInMillis is the expected time
	// until it resumes, in milliseconds.
	Stalled         bool    `json:"still,omitempty"`
	ResumesInMillis float64 `json:"opens_ms,omitempty"`
	// PassMillis is the duration of a pass of the group, in milliseconds; 0 is unknown.
	PassMillis float64 `json:"pass_ms"`
	// EmptyPassMillis is the duration of a pass without work at the slowest rank, in milliseconds.
	EmptyPassMillis float64 `json:"empty_ms"`
	// Loads is the number of requests, running or queued, at each upstream of the group, by
	// address.
	Loads map[string]int `json:"loads,omitempty"`
	// Slowdowns is the duration of a pass of each slow upstream relative to its usual duration, by
	// address.
	Slowdowns map[string]float64 `json:"paces,omitempty"`
	// TokensPerPass is the number of tokens that a running request gains in a pass.
	TokensPerPass int `json:"tokens_per_pass"`
	// Part are other entries to which this one passes the limit on, each with its own share, and TimeoutMillis
	// the time that this may take, in milliseconds.
	Part          []EntryShare `json:"others,omitempty"`
	TimeoutMillis int64        `json:"timeout_ms,omitempty"`
}

// EntryShare is the share of an entry to which another one passes a limit on.
type EntryShare struct {
	Name        string `json:"name"`
	PeerAddress string `json:"address"`
	Share       int    `json:"part"`
}

// LimitResponse is the response to a Limit: the work that the entry has running and waiting.
type LimitResponse struct {
	Demand sharing.Demand `json:"demand"`
	// Demands are those of the entries of the part that responded, by name.
	Demands map[string]sharing.Demand `json:"demands,omitempty"`
}

// SendLimit sends a limit to entries along a tree until ctx ends, each with its share; call calls the entry at an
// address. It returns the demands of those that responded, by name.
func SendLimit(ctx context.Context, tree *fanout.Caller, maxDirect int, limit Limit, entries []EntryShare, call func(ctx context.Context, address string, l Limit) (LimitResponse, error)) map[string]sharing.Demand {
	var mu sync.Mutex
	demands := map[string]sharing.Demand{}
	send := func(ctx context.Context, to EntryShare, part []EntryShare) error {
		l := limit
		l.Share, l.Part, l.TimeoutMillis = to.Share, part, fanout.TimeoutMillis(ctx)
		response, err := call(ctx, to.PeerAddress, l)
		if err != nil {
			return err
		}
		mu.Lock()
		defer mu.Unlock()
		demands[to.Name] = response.Demand
		maps.Copy(demands, response.Demands)
		return nil
	}
	addresses := make([]string, len(entries))
	for i, e := range entries {
		addresses[i] = e.PeerAddress
	}
	tree.Do(ctx, addresses, maxDirect, fanout.Calls{
		Relay: func(ctx context.Context, part []int, at int) error {
			others := slices.DeleteFunc(slices.Clone(part), func(i int) bool { return i == at })
			return send(ctx, entries[at], fanout.At(entries, others))
		},
		// An entry that does not respond has no demand until it does.
		Direct: func(ctx context.Context, i int) { _ = send(ctx, entries[i], nil) },
	})
	return demands
}
