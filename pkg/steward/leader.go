package steward

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/fanout"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/mapswitch"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/route"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/standstill"
	"github.com/coltsfootpitch/coltsfootpitch/platform"
)

const (
	// observeTimeout limits a poll of one rank: the calls of its steward to the rank and one
	// round trip.
	observeTimeout = 150 * time.Millisecond
	// firstObserveTimeout limits a poll of a large group by a new leader: it and the relays have to open connections
	// first and to send the list of members. A relay that responds late would be replaced by one that has to open its
	// connections as well.
	firstObserveTimeout = 2 * observeTimeout
	// largePrepareTimeout limits the orders to load a map of a large group: the map takes the links of the relays
	// some time. It is short of the time after which a leader counts as silent.
	largePrepareTimeout = 300 * time.Millisecond
	// idlePollInterval is the time between two polls while no map is prepared or switched, and
	// loadPollInterval while ranks load experts.
	idlePollInterval = 80 * time.Millisecond
	loadPollInterval = 30 * time.Millisecond
	// ranksAtIdlePollInterval is the number of ranks up to which idlePollInterval holds. Each further rank adds its
	// state to a poll, so that larger groups are polled less often.
	ranksAtIdlePollInterval = 80
	// switchPollInterval is the time between two polls while a hold is in force.
	switchPollInterval = 4 * time.Millisecond
	// listRefreshInterval is the time between two reads of the list of upstreams.
	listRefreshInterval = 2 * time.Second
	// loadTimeMargin is how much longer than expected a rank may load before the order is sent
	// again.
	loadTimeMargin = 150 * time.Millisecond
	// directPollInterval is the time between two direct polls of ranks without reachable
	// stewards: one of them may have a hold of a failed leader in force.
	directPollInterval = 300 * time.Millisecond
	// minorityTimeout is how long a leader continues while it reaches at most half of the ranks.
	minorityTimeout = 2 * time.Second
	// After an order without a response, switches are scheduled more passes ahead for
	// safePassesAheadPeriod, which leaves time to send orders again.
	safePassesAheadPeriod = 10 * time.Second
)

// leader drives one group while its fencing token is the newest.
type leader struct {
	steward      *Steward
	fencingToken int64
	rankCount    int
	group        string
	mapSwitch    *mapswitch.Switch
	phase        mapswitch.Phase
	// lastDirectPoll is when ranks without reachable stewards were last read directly.
	lastDirectPoll time.Time
	// switching is set from the order of a hold until the hold is known to be released, also
	// while the state of some rank is unknown.
	switching bool
	loads     *ExpertLoads
	engine    *route.Engine
	// currentMap is the map in use with its version, or version None while it is unknown.
	currentMap     mapswitch.Map
	currentVersion int64
	// versionsUsed is the number of map versions used under the fencing token.
	versionsUsed int64
	// targetMap is the map that becomes current once the switch completes.
	targetMap mapswitch.Map
	// targetSpeedup is the factor by which the target map shortens the work of a request in a pass.
	targetSpeedup float64
	// loadAcceptedAt is when each rank accepted the order to load the target map.
	loadAcceptedAt map[int]time.Time
	// foreignSeenAt is when ranks of other groups of the service were last seen, by address.
	foreignSeenAt map[string]time.Time
	// targetLoadTime is how long a rank is expected to load the experts of the target map.
	targetLoadTime time.Duration
	// lastStoreRead is when the store was last read, storeReadRunning is set during a read, and
	// description is the service description once it was read.
	lastStoreRead    time.Time
	storeReadRunning atomic.Bool
	description      atomic.Pointer[serviceDescription]
	// startedAt is when this leader made its first poll, and reachedAll is set once a poll has reached all ranks.
	startedAt  time.Time
	reachedAll bool
	// sendsMembers is set if a steward of the group has another list of members.
	sendsMembers bool
	// lastMajority is when more than half of the ranks were last reached.
	lastMajority time.Time
	// memberByRank has the members that responded to the last poll, by rank index.
	memberByRank map[int]Member
	// slowdowns has how much longer than usual each rank takes; see minSlowdown.
	slowdowns []float64
	passTimer passTimer
	limits    *limitPublisher
	// lastOrderWithoutResponse is when an order last got no response.
	lastOrderWithoutResponse time.Time
}

// lead acquires the next fencing token and leads the group until another steward takes over.
func (s *Steward) lead(ctx context.Context, r platform.RankReport) {
	s.mu.Lock()
	known := s.fence.newestFencingToken
	s.mu.Unlock()
	fencingToken, won, err := acquireTerm(ctx, s.store, r.Group, known, s.settings.Name, uuid.NewString())
	if err != nil {
		s.log.Warn("term-not-acquired", "group", r.Group, "error", err.Error())
		return
	}
	s.mu.Lock()
	s.fence.recordStored(fencingToken, time.Now())
	s.mu.Unlock()
	if !won {
		return
	}
	s.log.Info("leader-began", "group", r.Group, "fence", fencingToken)
	l := &leader{
		steward: s, fencingToken: fencingToken, rankCount: r.Size, group: r.Group, mapSwitch: mapswitch.New(r.Index), currentVersion: mapswitch.None,
		lastMajority: time.Now(), loadAcceptedAt: map[int]time.Time{}, foreignSeenAt: map[string]time.Time{},
	}
	l.mapSwitch.SetPassesAhead(passesAhead(r.Size, safePassesAheadPeriod))
	l.limits = newLimitPublisher(s, r.Group, fencingToken)
	reason := l.run(ctx)
	s.log.Info("leader-ended", "group", r.Group, "fence", fencingToken, "reason", reason)
}

// run leads until ctx ends or the leadership does, and returns the reason.
func (l *leader) run(ctx context.Context) string {
	for ctx.Err() == nil {
		if !l.refresh(ctx) {
			sleep(ctx, idlePollInterval)
			continue
		}
		begun := time.Now()
		observations, newestFencingToken := l.observeAll(ctx, l.phase == mapswitch.Idle || l.phase == mapswitch.Blocked)
		l.recordPoll(len(observations), time.Since(begun))
		if newestFencingToken > l.fencingToken {
			return "newer leader"
		}
		if len(observations) > l.rankCount/2 {
			l.lastMajority = time.Now()
		} else if time.Since(l.lastMajority) > minorityTimeout {
			return "majority of ranks unreachable"
		}
		sleep(ctx, l.runRound(ctx, observations))
	}
	return "stopping"
}

// recordPoll counts a poll of the group, how many ranks it saw and how long it took.
func (l *leader) recordPoll(seen int, took time.Duration) {
	count := func(name string, n int64) { metrics.GetOrRegisterCounter("peer_polls"+name, l.steward.metrics).Inc(n) }
	count("", 1)
	count("_ranks_seen", int64(seen))
	count("_ms", took.Milliseconds())
	if seen < l.rankCount {
		count("_incomplete", 1)
	}
}

// pollInterval returns the time between two polls of a group while no map is prepared or switched.
func pollInterval(ranks int) time.Duration {
	return idlePollInterval * time.Duration(max(ranks, ranksAtIdlePollInterval)) / ranksAtIdlePollInterval
}

// sleep waits for a duration or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// refresh reads configuration and lists from the store from time to time. The reads run in the
// background: an unresponsive store must not block the leader. It reports false while the engine
// description is unknown.
func (l *leader) refresh(ctx context.Context) bool {
	if time.Since(l.lastStoreRead) > listRefreshInterval && l.storeReadRunning.CompareAndSwap(false, true) {
		l.lastStoreRead = time.Now()
		go func() {
			defer l.storeReadRunning.Store(false)
			l.readStore(ctx)
		}()
	}
	if l.engine == nil {
		if e := l.description.Load(); e != nil {
			l.engine = e.engine
			l.loads = NewExpertLoads(e.engine.LayerSets)
			l.limits.configure(e.engine, l.rankCount, e.eventGap)
		}
	}
	return l.engine != nil && l.engine.Experts > 0
}

// readStore reads the lists of upstreams and entries, and the service description until it is
// known.
func (l *leader) readStore(ctx context.Context) {
	if l.description.Load() == nil {
		e, err := readService(ctx, l.steward.store, l.steward.settings.UpstreamService)
		if err != nil || e == nil {
			l.steward.log.Warn("engine-description-missing", "service", l.steward.settings.UpstreamService)
		}
		if e != nil {
			if missing := setDefaultSizes(e.engine); len(missing) > 0 {
				l.steward.log.Warn("engine-sizes-missing", "service", l.steward.settings.UpstreamService, "missing", missing)
			}
		}
		l.description.Store(e)
	}
	members, err := l.steward.fetchMembers(ctx)
	if err != nil {
		l.steward.log.Warn("member-list-failed", "error", err.Error())
	} else {
		l.steward.mu.Lock()
		l.steward.members, l.steward.membersDigest = members, digestOf(members)
		l.steward.mu.Unlock()
	}
	l.limits.refreshEntries(ctx)
}

// observeAll polls all ranks concurrently. It returns the observations by rank index and the
// newest fencing token that any steward has seen. With choices, it adds the choices of experts to the loads.
func (l *leader) observeAll(ctx context.Context, choices bool) (map[int]Observation, int64) {
	request := ObserveRequest{
		FencingToken: l.fencingToken, Leader: l.steward.settings.Name, Group: l.group, IncludeChoices: choices,
		IncludeExperts: l.currentVersion == mapswitch.None,
	}
	l.steward.mu.Lock()
	members := l.groupMembers(l.steward.members, time.Now())
	request.MembersDigest = l.steward.membersDigest
	if l.sendsMembers {
		request.Members = packMembers(l.steward.members)
	}
	l.steward.mu.Unlock()
	begun := time.Now()
	responses, sum := l.steward.observeMembers(ctx, l.observeTimeout(begun), members, request)
	if choices {
		l.loads.StartSample(begun)
		l.loads.AddChoices(sum)
	}
	l.sendsMembers = slices.ContainsFunc(responses, func(o *Observation) bool {
		return o != nil && o.NeedsMembers && o.Report.Group == l.group
	})
	if l.switching || l.phase == mapswitch.Blocked && time.Since(l.lastDirectPoll) > directPollInterval {
		l.lastDirectPoll = time.Now()
		// A rank whose steward is down must not keep the group stalled.
		l.steward.observeDirectly(ctx, members, responses)
	}
	now := time.Now()
	observations := map[int]Observation{}
	newestFencingToken := int64(0)
	l.memberByRank = map[int]Member{}
	for i, o := range responses {
		if o == nil {
			continue
		}
		newestFencingToken = max(newestFencingToken, o.NewestFencingToken)
		if o.Report.Group == l.group {
			observations[o.Report.Index] = *o
			l.memberByRank[o.Report.Index] = members[i]
		} else if o.Report.Group != "" {
			l.foreignSeenAt[members[i].Upstream] = now
		}
	}
	l.reachedAll = l.reachedAll || len(observations) == l.rankCount
	return observations, newestFencingToken
}

// observeTimeout returns the limit for a poll.
func (l *leader) observeTimeout(now time.Time) time.Duration {
	if l.startedAt.IsZero() {
		l.startedAt = now
	}
	if l.rankCount > fanout.MaxDirect && (!l.reachedAll || l.sendsMembers) && now.Sub(l.startedAt) < standstill.FirstContactTime {
		return firstObserveTimeout
	}
	return observeTimeout
}

// groupMembers returns the members without those that were recently seen in another group.
func (l *leader) groupMembers(members []Member, now time.Time) []Member {
	out := make([]Member, 0, len(members))
	for _, m := range members {
		if at, ok := l.foreignSeenAt[m.Upstream]; !ok || now.Sub(at) > listRefreshInterval {
			out = append(out, m)
		}
	}
	return out
}

// runRound acts on the observations and returns the time until the next poll.
func (l *leader) runRound(ctx context.Context, observations map[int]Observation) time.Duration {
	now := time.Now()
	ranks := l.rankStates(observations, now)
	l.slowdowns = slowdownsOf(observations, l.rankCount)
	l.passTimer.update(ranks, runningRequests(observations), now)
	l.limits.update(ctx, l.passTimer.mean(), ranks, observations, l.memberByRank, now)
	// Planning needs the map in use; completing a hold does not.
	mapKnown := l.trackCurrentMap(observations, ranks)
	orders, phase := l.mapSwitch.NextOrders(ranks)
	previous := l.phase
	l.phase = phase
	if phase != mapswitch.Blocked {
		l.switching = phase == mapswitch.Switching
	}
	switch phase {
	case mapswitch.Idle:
		if previous != mapswitch.Idle && previous != mapswitch.Blocked {
			return 0 // The last poll did not request counts.
		}
		if !mapKnown || hasDirectObservation(observations) || !l.startWorthwhilePlan(ranks, runningRequests(observations), now) {
			return pollInterval(l.rankCount)
		}
		orders, phase = l.mapSwitch.NextOrders(ranks)
	case mapswitch.NeedsTarget:
		if !mapKnown {
			return pollInterval(l.rankCount)
		}
		l.startSwitch(ranks[0].Epoch, l.currentMap)
		orders, phase = l.mapSwitch.NextOrders(ranks)
	case mapswitch.Blocked:
		if len(orders) > 0 {
			l.steward.log.Warn("hold-abandoned", "group", l.group, "seen", len(observations))
			l.sendOrders(ctx, orders, now)
			// The next reports show whether the release took effect.
			l.switching = false
			return switchPollInterval
		}
		if l.switching {
			return switchPollInterval
		}
		return pollInterval(l.rankCount)
	}
	l.phase = phase
	l.switching = phase == mapswitch.Switching
	l.sendOrders(ctx, orders, now)
	if phase == mapswitch.Preparing {
		return loadPollInterval
	}
	return switchPollInterval
}

// hasDirectObservation reports whether a rank was read without its steward. Such a rank cannot
// be ordered to load experts.
func hasDirectObservation(observations map[int]Observation) bool {
	for _, o := range observations {
		if o.direct {
			return true
		}
	}
	return false
}

// minSlowdown is the slowdown from which a rank counts as slow. Smaller ones are not worth
// moving experts for, as they are within the target skew of a plan.
const minSlowdown = 1.1

// slowdownsOf returns the slowdowns of all ranks, with 1 for ranks that are not known to be
// slow.
func slowdownsOf(observations map[int]Observation, rankCount int) []float64 {
	out := make([]float64, rankCount)
	for i := range out {
		out[i] = 1
		if o, ok := observations[i]; ok && o.Report.Slowdown >= minSlowdown {
			out[i] = o.Report.Slowdown
		}
	}
	return out
}

// runningRequests returns the number of requests that run on all observed ranks.
func runningRequests(observations map[int]Observation) int {
	n := 0
	for _, o := range observations {
		n += o.Report.Running
	}
	return n
}

// rankStates returns the state of all ranks for the map switch. A rank that accepted the target
// map counts as loading it until its expected load time plus a margin has passed.
func (l *leader) rankStates(observations map[int]Observation, now time.Time) []mapswitch.RankState {
	ranks := make([]mapswitch.RankState, l.rankCount)
	for i := range ranks {
		o, ok := observations[i]
		if !ok {
			continue
		}
		ranks[i] = o.Report.State
		if t := l.mapSwitch.Target(); t != nil && now.Sub(l.loadAcceptedAt[i]) < l.targetLoadTime+loadTimeMargin {
			ranks[i].LoadingVersion = t.Version
		}
	}
	return ranks
}

// trackCurrentMap keeps track of the map in use. It reports false while that map is unknown.
func (l *leader) trackCurrentMap(observations map[int]Observation, ranks []mapswitch.RankState) bool {
	version := mapswitch.None
	for _, r := range ranks {
		if !r.Known {
			return true // The map switch returns Blocked.
		}
		if version != mapswitch.None && r.RunningVersion != version {
			return true // The ranks are in the middle of a switch.
		}
		version = r.RunningVersion
	}
	if version == l.currentVersion {
		return true
	}
	if l.targetMap != nil && version == mapswitch.VersionOf(l.fencingToken, l.versionsUsed) {
		l.currentMap, l.currentVersion = l.targetMap, version
		l.limits.limit.Rescale(l.targetSpeedup)
		l.passTimer.restart(ranks, time.Now())
		l.steward.log.Info("map-in-use", "version", version, "pass", ranks[0].Pass, "epoch", ranks[0].Epoch)
		return true
	}
	return l.assembleCurrentMap(observations, version)
}

// assembleCurrentMap builds the map in use from the experts that the ranks report.
func (l *leader) assembleCurrentMap(observations map[int]Observation, version int64) bool {
	assembled := make(mapswitch.Map, l.engine.LayerSets)
	for i := range assembled {
		assembled[i] = make([][]int, l.rankCount)
	}
	for r, o := range observations {
		if o.MapVersion != version || len(o.LoadedExperts) != l.engine.LayerSets {
			l.currentVersion = mapswitch.None // The next poll requests the lists again.
			return false
		}
		for i, experts := range o.LoadedExperts {
			assembled[i][r] = experts
		}
	}
	l.currentMap, l.currentVersion = assembled, version
	l.steward.log.Info("map-read", "version", version)
	return true
}

// startSwitch makes a map the target, under a version that was never used before.
func (l *leader) startSwitch(epoch int64, m mapswitch.Map) {
	l.versionsUsed++
	l.targetMap, l.targetSpeedup = m, 1
	clear(l.loadAcceptedAt)
	l.mapSwitch.SetTarget(mapswitch.Target{Version: mapswitch.VersionOf(l.fencingToken, l.versionsUsed), Map: m, Epoch: epoch})
}

// sendOrders sends orders to the stewards of their ranks concurrently and records the results.
func (l *leader) sendOrders(ctx context.Context, orders []mapswitch.Order, now time.Time) {
	results := l.steward.sendOrders(ctx, orders, l.memberByRank, l.fencingToken)
	for i, r := range results {
		if r == nil || !r.Accepted && !r.Refused {
			l.lastOrderWithoutResponse = now
		} else if r.Accepted && orders[i].Op == mapswitch.Prepare {
			l.loadAcceptedAt[orders[i].Rank] = now
		}
	}
	l.mapSwitch.SetPassesAhead(passesAhead(l.rankCount, now.Sub(l.lastOrderWithoutResponse)))
}

// passesAhead returns the number of passes before a switch. Orders to a large group go through relays and reach its
// ranks only after some passes; the group would stand still until then.
func passesAhead(ranks int, sinceOrderWithoutResponse time.Duration) int64 {
	if ranks > fanout.MaxDirect || sinceOrderWithoutResponse < safePassesAheadPeriod {
		return mapswitch.SafePassesAhead
	}
	return mapswitch.DefaultPassesAhead
}
