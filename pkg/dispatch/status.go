package dispatch

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/instancelist"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/peer"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/prefix"
)

// statusCallTimeout is the timeout of a status call.
const statusCallTimeout = time.Second

// probe describes one status call.
type probe struct {
	id     string
	client *peer.Client
	// listing is the state of the process in the instance list, reported to the process.
	listing peer.Listing
	// cacheAfter is the sequence number of the first cache event to request.
	cacheAfter int64
}

// probes appends a probe for each other process to out and returns it.
func (t *InstanceTable) probes(out []probe) []probe {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range t.orderedIDs {
		m := t.members[id]
		if id == t.opts.Name || m.instance.ControlAddress == "" {
			continue
		}
		listing := peer.Listing{Leaving: m.instance.State == instancelist.StateLeaving, Revision: m.instance.Revision}
		out = append(out, probe{id: id, client: m.client, listing: listing, cacheAfter: m.cacheAfter})
	}
	return out
}

// peerClients returns the clients of all other processes by ID.
func (t *InstanceTable) peerClients() map[string]*peer.Client {
	out := map[string]*peer.Client{}
	for _, p := range t.probes(nil) {
		out[p.id] = p.client
	}
	return out
}

// pollStatus requests the status of a process and sends it the configuration when it has an
// older version.
func (t *InstanceTable) pollStatus(ctx context.Context, p probe) {
	ctx, cancel := context.WithTimeout(ctx, statusCallTimeout)
	defer cancel()
	requestedAt := t.opts.Now()
	r := peer.StatusRequest{SenderState: t.senderState(), Requester: t.opts.Name, Listing: p.listing, NextCacheEvent: p.cacheAfter}
	s, err := peer.Call[peer.Status](ctx, p.client, peer.MethodStatus, r)
	defer t.markPolled(p.id)
	if errors.Is(err, syscall.ECONNREFUSED) {
		t.markLostByID(p.id)
	}
	if err != nil {
		return
	}
	t.observe(p.id, s, requestedAt)
	t.applyCacheEvents(p, s.CacheEvents)
	t.sendConfiguration(ctx, p.client, s.ConfigVersion)
}

// applyCacheEvents applies the cache events of an upstream to the prefix index. It ignores
// events that a later status call has already covered.
func (t *InstanceTable) applyCacheEvents(p probe, e prefix.Events) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.members[p.id]
	if m == nil || m.cacheAfter != p.cacheAfter {
		return
	}
	t.prefixes.Apply(m.idHash, e, t.sinceCreated(t.opts.Now()))
	m.cacheAfter = e.Next
}

// markLostByID marks the member with the ID as lost, if there is one.
func (t *InstanceTable) markLostByID(id string) {
	t.mu.Lock()
	m := t.members[id]
	t.mu.Unlock()
	if m != nil {
		t.markLost(m)
	}
}

// sendConfiguration sends the configuration in force to a process with an older version.
func (t *InstanceTable) sendConfiguration(ctx context.Context, c *peer.Client, version int64) {
	// A failed call is retried after the next status call.
	_, _ = peer.SendConfiguration(ctx, c, t.senderState(), t.opts.Config, version)
}

// senderState returns the stamp and configuration version that each message carries.
func (t *InstanceTable) senderState() peer.SenderState {
	return peer.SenderState{Stamp: t.opts.Events.Clock().Now(), ConfigVersion: t.opts.Config.View().Version()}
}
