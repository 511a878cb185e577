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

// statusCall bounds a status call.
const statusCall = time.Second

// probe is one status call to make.
type probe struct {
	id     string
	client *peer.Client
	listed peer.Listed
	// cacheAfter is the number of the first cache event that the table lacks.
	cacheAfter int64
}

// probes appends a status call for each other process to out.
func (t *Table) probes(out []probe) []probe {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range t.order {
		m := t.members[id]
		if id == t.opts.Name || m.instance.Control == "" {
			continue
		}
		listed := peer.Listed{Leaving: m.instance.State == instancelist.Leaving, Revision: m.instance.Revision}
		out = append(out, probe{id: id, client: m.client, listed: listed, cacheAfter: m.cacheAfter})
	}
	return out
}

// peers returns the IDs and clients of all other processes.
func (t *Table) peers() map[string]*peer.Client {
	out := map[string]*peer.Client{}
	for _, p := range t.probes(nil) {
		out[p.id] = p.client
	}
	return out
}

// refresh asks one process for its status and hands it the configuration when it is behind.
func (t *Table) refresh(ctx context.Context, p probe) {
	ctx, cancel := context.WithTimeout(ctx, statusCall)
	defer cancel()
	asked := t.opts.Now()
	r := peer.StatusRequest{News: t.news(), From: t.opts.Name, Listed: p.listed, CacheAfter: p.cacheAfter}
	s, err := peer.Call[peer.Status](ctx, p.client, peer.MethodStatus, r)
	defer t.asked(p.id)
	if errors.Is(err, syscall.ECONNREFUSED) {
		t.loseByID(p.id)
	}
	if err != nil {
		return
	}
	t.observe(p.id, s, asked)
	t.learnEvents(p, s.Cache)
	t.inform(ctx, p.client, s.ConfigVersion)
}

// learnEvents takes in the cache events of an upstream.
func (t *Table) learnEvents(p probe, e prefix.Events) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.members[p.id]
	if m == nil || m.cacheAfter != p.cacheAfter {
		return
	}
	t.prefixes.Apply(m.key, e, t.since(t.opts.Now()))
	m.cacheAfter = e.Next
}

func (t *Table) loseByID(id string) {
	t.mu.Lock()
	m := t.members[id]
	t.mu.Unlock()
	if m != nil {
		t.lose(m)
	}
}

// inform hands the configuration in force to a process with an older one.
func (t *Table) inform(ctx context.Context, c *peer.Client, version int64) {
	// A failed call is made good by the next status call.
	_, _ = peer.Inform(ctx, c, t.news(), t.opts.Config, version)
}

func (t *Table) news() peer.News {
	return peer.News{Stamp: t.opts.Events.Clock().Now(), ConfigVersion: t.opts.Config.View().Version()}
}
