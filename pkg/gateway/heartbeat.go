package gateway

import (
	"context"
	"encoding/json"
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/crashcause"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/gossip"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/inventory"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/peer"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/requestlimit"
)

// Heartbeat is the state that two neighbours exchange in a heartbeat and its response. Its size depends on what
// has changed and not on the number of gateways.
type Heartbeat struct {
	// From is the name of the sender.
	From string `json:"from"`
	// Version is the version of the configuration in force.
	Version int64 `json:"version"`
	// Records are those that the receiver is not known to have, and Digest identifies all records of the
	// sender.
	Records []gossip.Record `json:"records,omitempty"`
	Digest  uint64          `json:"digest"`
	// Unknown is set in a response if the sender lacks the record of the receiver, or has it as down.
	Unknown bool `json:"unknown,omitempty"`
	// CrashDigest identifies the sender's evidence on crashes, 0 for none.
	CrashDigest uint64 `json:"crash_digest,omitempty"`
	// Silent are the upstreams that count as silent, by ID, with the time in milliseconds for which they do.
	Silent map[string]int64 `json:"silent_ms,omitempty"`
	// Feeds tell how far the sender has read each kind of objects of the store.
	Feeds []FeedReport `json:"feeds,omitempty"`
	// Limits are the statements of upstreams on their limits that the sender knows.
	Limits []requestlimit.Statement `json:"limits,omitempty"`
}

// Snapshot passes the state of a gateway to one that cannot reach the store.
type Snapshot struct {
	Configuration json.RawMessage      `json:"configuration,omitempty"`
	Upstreams     []inventory.Upstream `json:"upstreams,omitempty"`
	ZonesOut      []string             `json:"zones_out,omitempty"`
}

// upstreamBytes is about the size of an encoded upstream.
const upstreamBytes = 256

// EncodedSize implements peer.Sized.
func (s Snapshot) EncodedSize() int { return len(s.Configuration) + upstreamBytes*len(s.Upstreams) }

// buildHeartbeat returns the heartbeat for a gateway; an empty name stands for one that is not known.
func (p *Peers) buildHeartbeat(to string, now time.Time) Heartbeat {
	h := Heartbeat{
		Version: p.gateway.Version(), CrashDigest: p.gateway.crashes.digest(),
		Silent: p.gateway.fleet.silentFor(now), Limits: p.gateway.fleet.limits.statements(now),
		Feeds: p.gateway.feed.reports(now),
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	h.From, h.Digest, h.Records = p.table.Self().Name, p.table.Digest(), p.table.RecordsFor(to)
	return h
}

// startHeartbeat exchanges heartbeats with a gateway in the background, unless that is in progress.
func (p *Peers) startHeartbeat(ctx context.Context, name, address string) {
	p.mu.Lock()
	skip := address == p.table.Self().PeerAddress || p.inProgress[address]
	if !skip {
		p.inProgress[address] = true
	}
	p.mu.Unlock()
	if skip {
		return
	}
	go func() {
		p.exchangeHeartbeat(ctx, name, address)
		p.mu.Lock()
		delete(p.inProgress, address)
		hasNews := name != "" && p.table.HeardLately(name, time.Now()) && p.table.HasNewsFor(name)
		p.mu.Unlock()
		if hasNews {
			p.wakeUp()
		}
	}()
}

func (p *Peers) exchangeHeartbeat(ctx context.Context, name, address string) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	h := p.buildHeartbeat(name, time.Now())
	response, err := p.transport.heartbeat(ctx, address, h)
	if err != nil {
		p.log.Debug("heartbeat-failed", "peer", address, "error", err.Error())
		return
	}
	p.mu.Lock()
	if response.Unknown {
		p.table.Resend(response.From)
	} else {
		p.table.Delivered(response.From, h.Records)
	}
	p.mu.Unlock()
	p.applyHeartbeat(response, time.Now())
}

// answerHeartbeat applies the heartbeat of a neighbour and returns the response.
func (p *Peers) answerHeartbeat(h Heartbeat, now time.Time) Heartbeat {
	unknown := !p.applyHeartbeat(h, now)
	response := p.buildHeartbeat(h.From, now)
	response.Unknown = unknown
	p.mu.Lock()
	defer p.mu.Unlock()
	// If the response is lost, the digests differ and all records are sent again.
	p.table.Delivered(h.From, response.Records)
	return response
}

// applyHeartbeat applies the state of another gateway. It returns false if the record of that gateway is
// missing or has it as down.
func (p *Peers) applyHeartbeat(h Heartbeat, now time.Time) bool {
	toldSilent := p.gateway.fleet.SetSilent(h.Silent, now)
	toldLimits := p.gateway.fleet.limits.merge(h.Limits, now)
	p.mu.Lock()
	news := p.table.Merge(h.From, h.Records, now)
	known := p.table.Heard(h.From, now)
	p.table.CompareDigest(h.From, h.Digest)
	entry, _ := p.table.Entry(h.From)
	fetchesEvidence := known && h.CrashDigest != 0 && h.CrashDigest != p.gateway.crashes.digest() && now.Sub(p.evidenceAt) >= evidenceInterval
	if fetchesEvidence {
		p.evidenceAt = now
	}
	p.mu.Unlock()
	p.logChanges(news, h.From)
	if missing := p.gateway.feed.handleReports(h.Feeds, now); known && len(missing) > 0 {
		p.pullChanges(missing, entry.Name, entry.PeerAddress)
	}
	switch {
	case toldSilent || toldLimits:
		p.tell()
	case len(news) > 0:
		p.wakeUp()
	}
	if known && p.gateway.needsSnapshot(h.Version, now) && p.fetchingSnapshot.CompareAndSwap(false, true) {
		go func() {
			defer p.fetchingSnapshot.Store(false)
			p.fetchSnapshot(entry.Name, entry.PeerAddress)
		}()
	}
	if fetchesEvidence {
		go p.fetchEvidence(entry.Name, entry.PeerAddress)
	}
	return known
}

func (p *Peers) logChanges(news []gossip.Record, source string) {
	for _, r := range news {
		p.log.Info("peer-changed", "peer", r.Name, "status", r.Status.String(), "sequence", r.Sequence, "source", source)
	}
}

// fetchEvidence requests and merges the evidence of a peer on crashes.
func (p *Peers) fetchEvidence(name, address string) {
	ctx, cancel := context.WithTimeout(context.Background(), heartbeatTimeout)
	defer cancel()
	evidence, err := peer.Call[[]crashcause.Crash](ctx, p.clients.get(address), methodCrashes, struct{}{})
	if err != nil {
		p.log.Debug("crash-evidence-failed", "peer", name, "error", err.Error())
		return
	}
	if p.gateway.crashes.merge(evidence, time.Now()) {
		p.tell()
	}
}

// fetchSnapshot requests and applies the state of a peer while the store is unreachable.
func (p *Peers) fetchSnapshot(name, address string) {
	ctx, cancel := context.WithTimeout(context.Background(), heartbeatTimeout)
	defer cancel()
	s, err := p.transport.snapshot(ctx, address)
	if err != nil {
		p.log.Debug("snapshot-failed", "peer", name, "error", err.Error())
		return
	}
	p.gateway.applySnapshot(s, name)
}
