package dispatch

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/configuration"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/event"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/instancelist"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/peer"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/poison"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/prefix"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/routing"
)

// member is one instance of the list with the known state of its process.
type member struct {
	instance instancelist.Instance
	client   *peer.Client
	// idHash is the hash of the instance ID; it identifies the upstream in the prefix index.
	idHash   uint64
	distance routing.Distance
	status   peer.Status
	// requestedAt is the time at which the status was requested, and receivedAt the time at
	// which it arrived. The status is not older than requestedAt.
	requestedAt time.Time
	receivedAt  time.Time
	// inProgress counts the attempts of this entry in progress at the upstream.
	inProgress int32
	// cacheAfter is the sequence number of the first cache event not yet received.
	cacheAfter int64
	// lost is set when the process could not be reached, until its next status.
	lost bool
	// polled is set once a status call has ended, with or without a response.
	polled bool
	// slots are the positions of the upstream in the pools of its targets.
	slots []slot
}

// InstanceTable holds the instances with their newest status and chooses upstreams. It is safe
// for concurrent use.
type InstanceTable struct {
	opts    InstanceTableOptions
	metrics decisionMetrics

	// onVerdicts is called with the verdicts of each status; nil before it is set.
	onVerdicts func([]poison.Verdict)

	mu      sync.Mutex
	members map[string]*member
	// allPolled is set once every upstream of the first list was polled.
	allPolled bool
	// orderedIDs holds the IDs of the members in the order of the instance list.
	orderedIDs []string
	pools      map[workTarget]*pool
	// byIDHash holds the members by member.idHash.
	byIDHash map[uint64]*member
	// view is the configuration that the candidates reflect.
	view *configuration.View
	// regionEntries is the number of entries in the own region.
	regionEntries int32
	// tieOffset rises with each decision, so that ties are broken from different candidates.
	tieOffset int
	// nameHash is the hash of the name of this entry.
	nameHash uint64
	// createdAt is the time to which the times of candidates and prefixes are relative.
	createdAt time.Time
	// prefixes records which upstreams have cached the beginning of a prompt.
	prefixes *prefix.Index
	// matches is reused by each decision to avoid an allocation.
	matches prefix.Matches
}

// maxPrefixBlocks is the capacity of the prefix index in prompt blocks.
const maxPrefixBlocks = 1 << 15

// InstanceTableOptions configure a table.
type InstanceTableOptions struct {
	// Name, Zone and Region are the name and location of this entry.
	Name   string
	Zone   string
	Region string
	Config *configuration.Holder
	Events *event.Recorder
	// Credentials secure the connections to other processes.
	Credentials peer.Credentials
	// Registry receives the metrics; nil means a private registry.
	Registry metrics.Registry
	// Now returns the current time.
	Now func() time.Time
}

// MaxStatusAge is the age above which a status is out of date.
const MaxStatusAge = routing.ReportTTL

// NewInstanceTable returns an empty table.
func NewInstanceTable(o InstanceTableOptions) *InstanceTable {
	t := &InstanceTable{
		opts:      o,
		metrics:   newDecisionMetrics(o.Registry),
		prefixes:  prefix.New(maxPrefixBlocks),
		members:   map[string]*member{},
		pools:     map[workTarget]*pool{},
		byIDHash:  map[uint64]*member{},
		createdAt: o.Now(),
		// Entries with the same data break ties from different candidates.
		tieOffset: int(xxhash.Sum64String(o.Name) >> 1),
		nameHash:  xxhash.Sum64String(o.Name),
	}
	if o.Registry != nil {
		metrics.NewRegisteredFunctionalGauge("upstreams_reachable", o.Registry, t.reachableUpstreams)
	}
	return t
}

// SetInstances replaces the instance list. It keeps the state of instances that stay in the
// list with the same control address.
func (t *InstanceTable) SetInstances(list []instancelist.Instance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := make(map[string]*member, len(list))
	t.orderedIDs = t.orderedIDs[:0]
	for _, i := range list {
		m, ok := t.members[i.ID]
		if !ok || m.instance.ControlAddress != i.ControlAddress {
			m = &member{client: peer.NewClient(i.ControlAddress, t.opts.Credentials), idHash: xxhash.Sum64String(i.ID)}
			t.recordInstanceEvent(event.UpstreamFound, i)
		}
		if i.State == instancelist.StateLeaving && m.instance.State != instancelist.StateLeaving {
			t.recordInstanceEvent(event.InstanceLeaving, i)
		}
		m.instance = i
		m.distance = t.distance(i)
		next[i.ID] = m
		t.orderedIDs = append(t.orderedIDs, i.ID)
	}
	for id, m := range t.members {
		if next[id] == nil {
			t.recordInstanceEvent(event.UpstreamGone, m.instance)
			// Attempts in progress are not cancelled; the connection closes when the process
			// exits.
		}
	}
	t.members = next
	t.rebuildPools()
}

// recordInstanceEvent records an event about an instance.
func (t *InstanceTable) recordInstanceEvent(k event.Kind, i instancelist.Instance) {
	t.opts.Events.Record(event.Event{Kind: k, Upstream: i.ID, Zone: i.Zone})
}

// distance returns the distance of an instance from this entry.
func (t *InstanceTable) distance(i instancelist.Instance) routing.Distance {
	switch {
	case i.Zone == t.opts.Zone:
		return routing.SameZone
	case i.Region == t.opts.Region:
		return routing.SameRegion
	}
	return routing.OtherRegion
}

// observe stores a status of a member that was requested at requestedAt. It drops a status that
// is older than the stored one of the same incarnation.
func (t *InstanceTable) observe(id string, s peer.Status, requestedAt time.Time) {
	t.opts.Events.Clock().Observe(s.Stamp)
	if t.onVerdicts != nil && len(s.Verdicts) > 0 {
		t.onVerdicts(s.Verdicts)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.members[id]
	if m == nil || s.Incarnation == m.status.Incarnation && s.Stamp.Before(m.status.Stamp) {
		return
	}
	if s.Incarnation != m.status.Incarnation {
		// A new agent comes with a new upstream, whose cache is empty.
		t.prefixes.Invalidate(m.idHash, t.sinceCreated(t.opts.Now()))
		m.cacheAfter = 0
	}
	targetsChanged := !slices.Equal(s.Models, m.status.Models) || !slices.Equal(s.Services, m.status.Services)
	m.status = s
	m.requestedAt = requestedAt
	m.receivedAt = t.opts.Now()
	m.lost = false
	if targetsChanged {
		t.rebuildPools()
	}
	t.updateCandidate(m)
}

// workTarget identifies the model or service that an upstream must have loaded.
type workTarget struct {
	kind peer.WorkKind
	name string
}

// selection is the upstream chosen for an attempt.
type selection struct {
	id          string
	incarnation string
	client      *peer.Client
	member      *member
	// meanServiceTime is the mean service time of the upstream, 0 while unknown.
	meanServiceTime time.Duration
	// expectedWait is the expected queueing time at the upstream.
	expectedWait time.Duration
	// workAddress is the address at which the agent accepts attempts.
	workAddress string
	// issuedAt is the estimated time of the choice on the clock of the agent's incarnation,
	// never later than the true one.
	issuedAt time.Duration
}

// pick chooses an upstream for a prompt with the block hashes; it must have loaded the target and
// not be in tried. The attempt counts as in progress there until releaseAttempt. pick returns
// false when there is no such upstream.
func (t *InstanceTable) pick(wanted workTarget, blocks []uint64, tried []string) (selection, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.applyConfiguration()
	pool := t.pools[wanted]
	if pool == nil {
		t.metrics.noUpstream.Inc(1)
		return selection{}, false
	}
	t.tieOffset++
	now := t.sinceCreated(t.opts.Now())
	t.prefixes.Lookup(blocks, now, &t.matches)
	pool.setCached(t.byIDHash, &t.matches, true)
	pool.setTried(t.members, tried, true)
	i := routing.Choose(t.routingRequest(now, blocks), pool.candidates)
	pool.setTried(t.members, tried, false)
	if i >= 0 {
		t.metrics.recordChoice(&pool.candidates[i], len(blocks))
	}
	pool.setCached(t.byIDHash, &t.matches, false)
	if i < 0 {
		t.metrics.noUpstream.Inc(1)
		return selection{}, false
	}
	m := pool.members[i]
	wait := pool.candidates[i].ExpectedWait()
	m.inProgress++
	m.publishInProgress()
	return selection{
		expectedWait: wait, issuedAt: m.clockAt(t.opts.Now()),
		id: m.instance.ID, incarnation: m.status.Incarnation, client: m.client, member: m,
		workAddress:     m.status.WorkAddress,
		meanServiceTime: time.Duration(m.status.MeanServiceMillis * float64(time.Millisecond)),
	}, true
}

// routingRequest returns the input of a decision for a prompt with the block hashes.
func (t *InstanceTable) routingRequest(now time.Duration, blocks []uint64) routing.Request {
	r := routing.Request{Now: now, EntryHash: t.nameHash, Entries: t.regionEntries, TieOffset: t.tieOffset, PromptBlocks: int32(len(blocks))}
	if len(blocks) > 0 {
		r.PrefixHash = blocks[0]
	}
	return r
}

// sinceCreated returns the time from the creation of the table to at.
func (t *InstanceTable) sinceCreated(at time.Time) time.Duration { return at.Sub(t.createdAt) }

// addPrefix records that the chosen upstream will cache the blocks of a prompt.
func (t *InstanceTable) addPrefix(p selection, blocks []uint64) {
	if len(blocks) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prefixes.RecordCached(p.member.idHash, blocks, t.sinceCreated(t.opts.Now()))
}

// releaseAttempt ends the count of an attempt that pick started.
func (t *InstanceTable) releaseAttempt(p selection) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p.member.inProgress--
	p.member.publishInProgress()
}

// markLost excludes a member that could not be reached from new work until its next status.
func (t *InstanceTable) markLost(m *member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m.lost = true
	t.updateCandidate(m)
}

// applyConfiguration updates the candidates if a configuration was adopted since the last call.
// The caller holds InstanceTable.mu.
func (t *InstanceTable) applyConfiguration() {
	view := t.opts.Config.View()
	if view == t.view {
		return
	}
	t.view = view
	for _, m := range t.members {
		t.updateCandidate(m)
	}
}

// updateCandidate determines whether m is eligible for new work and writes its state to its
// candidates. The caller holds InstanceTable.mu.
func (t *InstanceTable) updateCandidate(m *member) {
	live := m.instance.Role == instancelist.RoleUpstream && m.instance.State == instancelist.StateLive
	acceptsWork := m.status.Reachable && !m.status.Leaving && !m.status.ZoneOut && !m.lost
	eligible := live && acceptsWork && t.view != nil && !t.view.IsZoneOut(m.instance.Zone)
	m.publish(routing.Candidate{
		IDHash:        m.idHash,
		ReportedAt:    t.sinceCreated(m.requestedAt),
		ServiceMillis: m.status.MeanServiceMillis,
		Limit:         int32(m.status.Limit),
		Running:       int32(m.status.Running),
		Queued:        int32(m.status.Queued),
		OwnReported:   int32(m.status.FromRequester),
		OwnInProgress: m.inProgress,
		Distance:      m.distance,
		Excluded:      !eligible,
		Cold:          m.status.Cold,
	})
}

// Ready reports whether at least one upstream is reachable and every upstream of the first list
// was polled. An entry that only knew the upstreams of one service would reject the requests for
// all others.
func (t *InstanceTable) Ready() bool {
	if t.opts.Config.View() == nil {
		return false
	}
	now := t.opts.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.hasPolledAll() {
		return false
	}
	return t.countReachable(now) > 0
}

// reachableUpstreams returns the number of reachable upstreams. It is the value of a gauge.
func (t *InstanceTable) reachableUpstreams() int64 {
	now := t.opts.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.countReachable(now)
}

// countReachable counts the upstreams whose recent status reports them as reachable. The caller
// holds InstanceTable.mu.
func (t *InstanceTable) countReachable(now time.Time) (n int64) {
	for _, m := range t.members {
		if m.status.Reachable && now.Sub(m.requestedAt) <= MaxStatusAge {
			n++
		}
	}
	return n
}

// hasPolledAll reports whether every upstream of the first list was polled. The caller holds
// InstanceTable.mu.
func (t *InstanceTable) hasPolledAll() bool {
	if t.allPolled {
		return true
	}
	for _, m := range t.members {
		if m.instance.Role == instancelist.RoleUpstream && m.instance.State == instancelist.StateLive && !m.polled {
			return false
		}
	}
	t.allPolled = len(t.members) > 0
	return t.allPolled
}

// markPolled records that a status call of the member has ended.
func (t *InstanceTable) markPolled(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m := t.members[id]; m != nil {
		m.polled = true
	}
}
