package dispatch

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/configuration"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/directory"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/event"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/instancelist"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/peer"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/poison"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/routing"
)

// member is one instance of the list with what is known of its process.
type member struct {
	instance instancelist.Instance
	client   *peer.Client
	status   peer.Status
	seen     time.Time
	// sent counts the attempts in progress that the newest status does not show yet.
	sent int
}

// Table holds the upstreams and the other entries. It is safe for concurrent use.
type Table struct {
	name        string
	zone        string
	config      *configuration.Holder
	events      *event.Recorder
	credentials peer.Credentials
	now         func() time.Time

	// onVerdicts receives the verdicts that come with a status; nil before it is set.
	onVerdicts func([]poison.Verdict)

	mu      sync.Mutex
	members map[string]*member
	order   []string
	turn    int
}

// StatusAge is the age at which a status no longer counts.
const StatusAge = 3 * time.Second

// NewTable returns an empty table for the entry with the name in the zone.
func NewTable(name, zone string, config *configuration.Holder, events *event.Recorder, c peer.Credentials, now func() time.Time) *Table {
	return &Table{name: name, zone: zone, config: config, events: events, credentials: c, now: now, members: map[string]*member{}}
}

// SetInstances replaces the instance list and keeps what is known of the instances that stay.
func (t *Table) SetInstances(list []instancelist.Instance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := make(map[string]*member, len(list))
	t.order = t.order[:0]
	for _, i := range list {
		m, ok := t.members[i.ID]
		if !ok || m.instance.Control != i.Control {
			m = &member{client: peer.NewClient(i.Control, t.credentials)}
			t.events.Record(event.Event{Kind: event.UpstreamFound, Upstream: i.ID, Zone: i.Zone})
		}
		m.instance = i
		next[i.ID] = m
		t.order = append(t.order, i.ID)
	}
	for id, m := range t.members {
		if next[id] == nil {
			t.events.Record(event.Event{Kind: event.UpstreamGone, Upstream: id, Zone: m.instance.Zone})
			// Attempts in progress end by themselves; the connection closes with the process.
		}
	}
	t.members = next
}

// observe takes in the status of a member.
func (t *Table) observe(id string, s peer.Status) {
	t.events.Clock().Observe(s.Stamp)
	if t.onVerdicts != nil && len(s.Verdicts) > 0 {
		t.onVerdicts(s.Verdicts)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.members[id]
	if m == nil {
		return
	}
	m.status = s
	m.seen = t.now()
	m.sent = 0
}

// target identifies what an upstream must hold.
type target struct {
	kind peer.WorkKind
	name string
}

// picked is the upstream chosen for an attempt.
type picked struct {
	id          string
	incarnation string
	client      *peer.Client
	// work is the agent's address for work.
	work string
	// issued is a time not after the pick, on the clock of the incarnation.
	issued time.Duration
}

// pick chooses an upstream that holds the target and is not in tried.
func (t *Table) pick(w target, tried []string) (picked, bool) {
	view := t.config.View()
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]routing.Candidate, 0, len(t.order))
	for _, id := range t.order {
		m := t.members[id]
		list = append(list, routing.Candidate{
			ID:       id,
			Zone:     m.instance.Zone,
			Limit:    m.status.Limit,
			Running:  m.status.Running,
			Queued:   m.status.Queued,
			Sent:     m.sent,
			Excluded: !t.usable(m, w, view) || slices.Contains(tried, id),
		})
	}
	t.turn++
	i := routing.Choose(t.zone, t.turn, list)
	if i < 0 {
		return picked{}, false
	}
	m := t.members[list[i].ID]
	m.sent++
	return picked{id: m.instance.ID, incarnation: m.status.Incarnation, client: m.client, work: m.status.WorkAddress, issued: m.issued(t.now())}, true
}

// usable reports whether m may receive new work for w. Table.mu is held.
func (t *Table) usable(m *member, w target, view *configuration.View) bool {
	if m.instance.Role != instancelist.Upstream || m.instance.State != instancelist.Live {
		return false
	}
	if view.ZoneOut(m.instance.Zone) || t.now().Sub(m.seen) > StatusAge {
		return false
	}
	if m.status.Leaving || !m.status.Reachable {
		return false
	}
	if w.kind == peer.ServiceWork {
		return slices.Contains(m.status.Services, w.name)
	}
	return slices.Contains(m.status.Models, w.name)
}

// Entries returns the entries as known here.
func (t *Table) Entries(selfUsable bool) []directory.Entry {
	view := t.config.View()
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []directory.Entry
	for _, id := range t.order {
		m := t.members[id]
		if m.instance.Role != instancelist.Entry {
			continue
		}
		fresh := t.now().Sub(m.seen) <= StatusAge && !m.status.Leaving
		if id == t.name {
			fresh = selfUsable
		}
		usable := fresh && m.instance.State == instancelist.Live && !view.ZoneOut(m.instance.Zone)
		out = append(out, directory.Entry{Address: m.instance.Address, Usable: usable})
	}
	return out
}

// Ready reports whether at least one upstream can take work.
func (t *Table) Ready() bool {
	view := t.config.View()
	if view == nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range t.members {
		if m.status.Reachable && t.now().Sub(m.seen) <= StatusAge {
			return true
		}
	}
	return false
}

// peers returns the IDs and clients of all other processes.
func (t *Table) peers() map[string]*peer.Client {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]*peer.Client, len(t.members))
	for id, m := range t.members {
		if id != t.name && m.instance.Control != "" {
			out[id] = m.client
		}
	}
	return out
}

// statusCall bounds a status call.
const statusCall = time.Second

// refresh asks one process for its status and hands it the configuration when it is behind.
func (t *Table) refresh(ctx context.Context, id string, c *peer.Client) {
	ctx, cancel := context.WithTimeout(ctx, statusCall)
	defer cancel()
	s, err := peer.Call[peer.Status](ctx, c, peer.MethodStatus, peer.StatusRequest{News: t.news(), From: t.name})
	if err != nil {
		return
	}
	t.observe(id, s)
	t.inform(ctx, c, s.ConfigVersion)
}

// inform hands the configuration in force to a process with an older one.
func (t *Table) inform(ctx context.Context, c *peer.Client, version int64) {
	// A failed call is made good by the next status call.
	_, _ = peer.Inform(ctx, c, t.news(), t.config, version)
}

func (t *Table) news() peer.News {
	return peer.News{Stamp: t.events.Clock().Now(), ConfigVersion: t.config.View().Version()}
}
