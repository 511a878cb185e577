package steward

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/mapswitch"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/route"
	"github.com/coltsfootpitch/coltsfootpitch/platform"
)

const (
	// observeTimeout bounds a look at one rank: its steward's own calls and a round trip.
	observeTimeout = 150 * time.Millisecond
	// idleRound is the time between two looks while nothing changes, and loadRound while
	// ranks load experts.
	idleRound = 80 * time.Millisecond
	loadRound = 30 * time.Millisecond
	// switchRound is the time between two looks while a hold is in force.
	switchRound = 4 * time.Millisecond
	// listInterval is the time between two looks at the list of upstreams.
	listInterval = 2 * time.Second
	// loadMargin is how much longer than expected a rank may load before it is asked again.
	loadMargin = 150 * time.Millisecond
	// blockedLook is the time between two direct looks at ranks without stewards: one of
	// them may hold the group for a leader that is gone.
	blockedLook = 300 * time.Millisecond
	// aloneAfter is how long a leader that reaches fewer than half of the ranks goes on.
	aloneAfter = 2 * time.Second
	// cautionTime is how long after an unanswered order switches leave time for another.
	cautionTime = 10 * time.Second
	// versionsPerFence is the number of versions that a leader may use.
	versionsPerFence = 1_000_000
)

// leader drives one group while its fencing number is the newest.
type leader struct {
	s     *Steward
	fence int64
	size  int
	group string
	sw    *mapswitch.Switch
	phase mapswitch.Phase
	// looked is when ranks without stewards were last read directly.
	looked time.Time
	// switching is set from the order of a hold until it is known to be released, also
	// while some rank is not seen.
	switching bool
	loads     *Loads
	engine    *route.Engine
	// held is the map in use, as far as it is known, with its version.
	held        mapswitch.Map
	heldVersion int64
	versions    int64
	// planned is the map of the target, for when it is in use.
	planned mapswitch.Map
	// accepted is when each rank accepted to load the target.
	accepted map[int]time.Time
	// foreign is when ranks of other groups of the service were last seen, by address.
	foreign  map[string]time.Time
	loadTime time.Duration
	// listed is when the store was last read, listing is set while that goes on, and found
	// is the engine's description once it was read.
	listed  time.Time
	listing atomic.Bool
	found   atomic.Pointer[service]
	reached time.Time
	places  map[int]Member
	// paces are how much longer than usual each rank takes; see slowPace.
	paces  []float64
	passes passClock
	shares *shares
	// unanswered is when an order was last not answered.
	unanswered time.Time
}

// lead takes the next fencing number and leads until another steward does.
func (s *Steward) lead(ctx context.Context, r platform.RankReport) {
	s.mu.Lock()
	known := s.fence.newest
	s.mu.Unlock()
	n, won, err := takeTerm(ctx, s.store, r.Group, known, s.node.Name, uuid.NewString())
	if err != nil {
		s.log.Warn("term-not-taken", "group", r.Group, "error", err.Error())
		return
	}
	s.mu.Lock()
	s.fence.read(n, time.Now())
	s.mu.Unlock()
	if !won {
		return
	}
	s.log.Info("leader-began", "group", r.Group, "fence", n)
	l := &leader{
		s: s, fence: n, size: r.Size, group: r.Group, sw: mapswitch.New(), heldVersion: mapswitch.None,
		reached: time.Now(), accepted: map[int]time.Time{}, foreign: map[string]time.Time{},
	}
	l.shares = newShares(s, r.Group, n)
	reason := l.run(ctx)
	s.log.Info("leader-ended", "group", r.Group, "fence", n, "reason", reason)
}

// run leads until ctx ends or the leadership does, and returns the reason.
func (l *leader) run(ctx context.Context) string {
	for ctx.Err() == nil {
		if !l.refresh(ctx) {
			pause(ctx, idleRound)
			continue
		}
		seen, newest := l.observeAll(ctx, l.phase == mapswitch.Idle || l.phase == mapswitch.Blocked)
		if newest > l.fence {
			return "another leader"
		}
		if len(seen) > l.size/2 {
			l.reached = time.Now()
		} else if time.Since(l.reached) > aloneAfter {
			return "ranks not reached"
		}
		pause(ctx, l.round(ctx, seen))
	}
	return "stopping"
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// refresh reads what changes seldom, now and then and beside the rounds: a silent store
// must not keep the leader from its group. It reports false while the engine is not known.
func (l *leader) refresh(ctx context.Context) bool {
	if time.Since(l.listed) > listInterval && l.listing.CompareAndSwap(false, true) {
		l.listed = time.Now()
		go func() {
			defer l.listing.Store(false)
			l.readStore(ctx)
		}()
	}
	if l.engine == nil {
		if e := l.found.Load(); e != nil {
			l.engine = e.engine
			l.loads = NewLoads(e.engine.LayerSets)
			l.shares.engine(e.engine, l.size, e.gap)
		}
	}
	return l.engine != nil && l.engine.Experts > 0
}

// readStore reads the list of upstreams, the entries, and once the engine's description.
func (l *leader) readStore(ctx context.Context) {
	if l.found.Load() == nil {
		e, err := readService(ctx, l.s.store, l.s.node.UpstreamService)
		if err != nil || e == nil {
			l.s.log.Warn("engine-unknown", "service", l.s.node.UpstreamService)
		}
		l.found.Store(e)
	}
	members, err := l.s.listed(ctx)
	if err != nil {
		l.s.log.Warn("members-not-listed", "error", err.Error())
	} else {
		l.s.mu.Lock()
		l.s.members = members
		l.s.mu.Unlock()
	}
	l.shares.list(ctx)
}

// observeAll looks at all ranks at once. It returns what was seen by rank, and the newest
// fencing number that any steward has seen.
func (l *leader) observeAll(ctx context.Context, counts bool) (map[int]Observation, int64) {
	l.s.mu.Lock()
	members := l.ownMembers(l.s.members, time.Now())
	running := l.heldVersion
	l.s.mu.Unlock()
	request := ObserveRequest{Fence: l.fence, Leader: l.s.node.Name, Group: l.group, Members: members, Counts: counts, Lists: running == mapswitch.None}
	answers := l.s.observeMembers(ctx, members, request)
	if l.switching || l.phase == mapswitch.Blocked && time.Since(l.looked) > blockedLook {
		l.looked = time.Now()
		// A rank without its steward must not keep the group from going on.
		l.s.observeDirectly(ctx, members, answers)
	}
	now := time.Now()
	seen := map[int]Observation{}
	newest := int64(0)
	l.places = map[int]Member{}
	for i, o := range answers {
		if o == nil {
			continue
		}
		newest = max(newest, o.Fence)
		if o.Report.Group == l.group {
			seen[o.Report.Index] = *o
			l.places[o.Report.Index] = members[i]
		} else if o.Report.Group != "" {
			l.foreign[members[i].Upstream] = now
		}
	}
	return seen, newest
}

// ownMembers leaves out the ranks that belonged to another group a short while ago.
func (l *leader) ownMembers(members []Member, now time.Time) []Member {
	out := make([]Member, 0, len(members))
	for _, m := range members {
		if at, ok := l.foreign[m.Upstream]; !ok || now.Sub(at) > listInterval {
			out = append(out, m)
		}
	}
	return out
}

// round acts on what was seen and returns the time until the next look.
func (l *leader) round(ctx context.Context, seen map[int]Observation) time.Duration {
	now := time.Now()
	ranks := l.view(seen, now)
	if l.phase == mapswitch.Idle || l.phase == mapswitch.Blocked {
		l.count(seen, now)
	}
	l.paces = pacesOf(seen, l.size)
	l.passes.see(ranks, now)
	l.shares.update(ctx, l.passes.time(), ranks, seen, l.places, now)
	// Completing a hold needs no knowledge of the map in use; planning does.
	known := l.follow(seen, ranks)
	orders, phase := l.sw.Next(ranks)
	former := l.phase
	l.phase = phase
	if phase != mapswitch.Blocked {
		l.switching = phase == mapswitch.Switching
	}
	switch phase {
	case mapswitch.Idle:
		if former != mapswitch.Idle && former != mapswitch.Blocked {
			return 0 // The newest look had no counts.
		}
		if !known || anyDirect(seen) || !l.plan(ranks, runningIn(seen), now) {
			return idleRound
		}
		orders, phase = l.sw.Next(ranks)
	case mapswitch.Stuck:
		if !known {
			return idleRound
		}
		l.start(ranks[0].Epoch, l.held)
		orders, phase = l.sw.Next(ranks)
	case mapswitch.Blocked:
		if l.switching {
			return switchRound
		}
		return idleRound
	}
	l.phase = phase
	l.switching = phase == mapswitch.Switching
	l.give(ctx, orders, now)
	if phase == mapswitch.Preparing {
		return loadRound
	}
	return switchRound
}

// anyDirect reports whether a rank was seen without its steward, so that it cannot be told
// to load anything.
func anyDirect(seen map[int]Observation) bool {
	for _, o := range seen {
		if o.direct {
			return true
		}
	}
	return false
}

// slowPace is the pace from which on a rank counts as slow: less is not worth moving experts
// for, as the goal of a plan leaves as much.
const slowPace = 1.1

// pacesOf returns the paces of all ranks; those that are not known to be slow have 1.
func pacesOf(seen map[int]Observation, size int) []float64 {
	out := make([]float64, size)
	for i := range out {
		out[i] = 1
		if o, ok := seen[i]; ok && o.Report.Slowdown >= slowPace {
			out[i] = o.Report.Slowdown
		}
	}
	return out
}

// runningIn returns the requests that run at the ranks.
func runningIn(seen map[int]Observation) int {
	n := 0
	for _, o := range seen {
		n += o.Report.Running
	}
	return n
}

// view returns the ranks as the switch sees them.
func (l *leader) view(seen map[int]Observation, now time.Time) []mapswitch.Rank {
	ranks := make([]mapswitch.Rank, l.size)
	for i := range ranks {
		o, ok := seen[i]
		if !ok {
			continue
		}
		ranks[i] = o.Report.State
		if t := l.sw.Target(); t != nil && now.Sub(l.accepted[i]) < l.loadTime+loadMargin {
			ranks[i].Loading = t.Version
		}
	}
	return ranks
}

// count takes in the counts of the ranks.
func (l *leader) count(seen map[int]Observation, now time.Time) {
	l.loads.Begin(now)
	for i, o := range seen {
		l.loads.Add(i, o.Report.StartedAtMillis, o.Counts.unpack())
	}
}

// follow keeps track of the map in use. It reports false while that is not known.
func (l *leader) follow(seen map[int]Observation, ranks []mapswitch.Rank) bool {
	running := mapswitch.None
	for _, r := range ranks {
		if !r.Known {
			return true // The switch reports that it is blocked.
		}
		if running != mapswitch.None && r.Running != running {
			return true // The ranks are switching at this moment.
		}
		running = r.Running
	}
	if running == l.heldVersion {
		return true
	}
	if l.planned != nil && running == l.fence*versionsPerFence+l.versions {
		l.held, l.heldVersion = l.planned, running
		l.s.log.Info("map-in-use", "version", running, "pass", ranks[0].Pass, "epoch", ranks[0].Epoch)
		return true
	}
	return l.takeLists(seen, running)
}

// takeLists takes the map in use from the lists of the ranks.
func (l *leader) takeLists(seen map[int]Observation, running int64) bool {
	held := make(mapswitch.Map, l.engine.LayerSets)
	for i := range held {
		held[i] = make([][]int, l.size)
	}
	for r, o := range seen {
		if o.HeldVersion != running || len(o.Held) != l.engine.LayerSets {
			l.heldVersion = mapswitch.None // The next look asks for the lists.
			return false
		}
		for i, experts := range o.Held {
			held[i][r] = experts
		}
	}
	l.held, l.heldVersion = held, running
	l.s.log.Info("map-read", "version", running)
	return true
}

// start makes a map the target under a version that was never used.
func (l *leader) start(epoch int64, m mapswitch.Map) {
	l.versions++
	l.planned = m
	clear(l.accepted)
	l.sw.Start(mapswitch.Target{Version: l.fence*versionsPerFence + l.versions, Map: m, Epoch: epoch})
}

// give passes orders to the stewards of their ranks, all at once.
func (l *leader) give(ctx context.Context, orders []mapswitch.Order, now time.Time) {
	results := l.s.giveOrders(ctx, orders, l.places, l.fence)
	for i, r := range results {
		if r == nil || !r.Accepted && !r.Refused {
			l.unanswered = now
		} else if r.Accepted && orders[i].Op == mapswitch.Prepare {
			l.accepted[orders[i].Rank] = now
		}
	}
	l.sw.SetLead(mapswitch.DefaultLead)
	if now.Sub(l.unanswered) < cautionTime {
		l.sw.SetLead(mapswitch.SafeLead)
	}
}
