// Package roster names the entries in the store, where processes find one another.
package roster

import (
	"context"
	"encoding/json"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/sharing"
	"github.com/coltsfootpitch/coltsfootpitch/platform"
)

// KindEntries holds an object for each entry, named as its instance.
const KindEntries = "entries"

// Entry names a process that takes callers.
type Entry struct {
	Name string `json:"name"`
	// Incarnation tells two lives of an entry apart.
	Incarnation   string `json:"incarnation"`
	CallerAddress string `json:"caller_address"`
	PeerAddress   string `json:"peer_address"`
	Region        string `json:"region"`
	Zone          string `json:"zone"`
}

// List returns the entries in the store and the names of objects that cannot be read.
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

// MethodLimit is the call by which the leader of a group tells an entry its part.
const MethodLimit = "entry.limit"

// Limit is an entry's part of the work in progress in a group.
type Limit struct {
	Service string `json:"service"`
	// Group is one of the groups that serve it.
	Group string `json:"group"`
	// Fence is the fencing number of the leader; a lower one than seen is ignored.
	Fence int64 `json:"fence"`
	// Part is the work that the entry may have in progress; negative only asks.
	Part int `json:"part"`
	// Still is set while the group runs no passes, and OpensMillis is the expected time
	// until it does, in milliseconds.
	Still       bool    `json:"still,omitempty"`
	OpensMillis float64 `json:"opens_ms,omitempty"`
	// PassMillis is the time of a pass of the group, in milliseconds; 0 is not known.
	PassMillis float64 `json:"pass_ms"`
	// EmptyMillis is the time of a pass without any work, at the pace of the slowest rank.
	EmptyMillis float64 `json:"empty_ms"`
	// Loads is the work at each upstream of the group, running or queued, by address.
	Loads map[string]int `json:"loads,omitempty"`
	// Paces are how much longer than usual the slow upstreams of the group take, by address.
	Paces map[string]float64 `json:"paces,omitempty"`
	// TokensPerPass is what a running request gains in a pass.
	TokensPerPass int `json:"tokens_per_pass"`
}

// LimitAnswer is what the entry has to do.
type LimitAnswer struct {
	Demand sharing.Demand `json:"demand"`
}
