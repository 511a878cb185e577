package steward

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/mapswitch"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/peer"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/placement"
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
	loadTime time.Duration
	// listed is when the store was last read, listing is set while that goes on, and found
	// is the engine's description once it was read.
	listed  time.Time
	listing atomic.Bool
	found   atomic.Pointer[route.Engine]
	reached time.Time
	places  map[int]Member
	passes  passClock
	shares  *shares
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
		reached: time.Now(), accepted: map[int]time.Time{},
	}
	l.shares = newShares(s, n)
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
			l.engine = e
			l.loads = NewLoads(e.Layers)
			l.shares.engine(e, l.size)
		}
	}
	return l.engine != nil && l.engine.Experts > 0
}

// readStore reads the list of upstreams, the entries, and once the engine's description.
func (l *leader) readStore(ctx context.Context) {
	if l.found.Load() == nil {
		e, err := readEngine(ctx, l.s.store, l.s.node.UpstreamService)
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

// listMembers returns the upstreams of the own service with their stewards.
func listMembers(ctx context.Context, s *platform.Store, n platform.Node) ([]Member, error) {
	list, err := s.List(ctx, platform.KindUpstreams)
	if err != nil {
		return nil, err
	}
	var out []Member
	for _, o := range list.Objects {
		u, err := platform.DecodeUpstream(o)
		if err != nil || u.Service != n.UpstreamService {
			continue
		}
		host, _, err := net.SplitHostPort(u.Address)
		if err != nil {
			continue
		}
		out = append(out, Member{Upstream: u.Address, Steward: n.PortAddress(host, 0)})
	}
	return out, nil
}

// readEngine returns the description of a service's engines, or nil where there is none.
func readEngine(ctx context.Context, s *platform.Store, service string) (*route.Engine, error) {
	o, err := s.Get(ctx, platform.KindConfiguration, platform.NameConfiguration)
	if err != nil {
		return nil, err
	}
	c, err := platform.DecodeConfiguration(o.Spec)
	if err != nil {
		return nil, err
	}
	for _, v := range c.Services {
		if v.Name == service {
			return v.Engine, nil
		}
	}
	return nil, nil
}

// observeAll looks at all ranks at once. It returns what was seen by rank, and the newest
// fencing number that any steward has seen.
func (l *leader) observeAll(ctx context.Context, counts bool) (map[int]Observation, int64) {
	l.s.mu.Lock()
	members := l.s.members
	running := l.heldVersion
	l.s.mu.Unlock()
	request := ObserveRequest{Fence: l.fence, Leader: l.s.node.Name, Members: members, Counts: counts, Lists: running == mapswitch.None}
	answers := l.s.observeMembers(ctx, members, request)
	if l.switching || l.phase == mapswitch.Blocked && time.Since(l.looked) > blockedLook {
		l.looked = time.Now()
		// A rank without its steward must not keep the group from going on.
		l.s.observeDirectly(ctx, members, answers)
	}
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
		}
	}
	return seen, newest
}

// observeMembers looks at members at once; the answer of one that gave none is nil.
func (s *Steward) observeMembers(ctx context.Context, members []Member, r ObserveRequest) []*Observation {
	ctx, cancel := context.WithTimeout(ctx, observeTimeout)
	defer cancel()
	out := make([]*Observation, len(members))
	var wait sync.WaitGroup
	for i, m := range members {
		wait.Go(func() {
			o, err := s.observeMember(ctx, m, r)
			if err != nil {
				s.log.Debug("rank-not-seen", "steward", m.Steward, "error", err.Error())
				return
			}
			out[i] = &o
		})
	}
	wait.Wait()
	return out
}

func (s *Steward) observeMember(ctx context.Context, m Member, r ObserveRequest) (Observation, error) {
	if m.Upstream == s.node.UpstreamAddress {
		return s.observe(ctx, r)
	}
	return callSteward[Observation](ctx, s, m, methodObserve, r)
}

// callSteward calls another steward. A connection on which an answer did not come in time
// may be silent for good, as after a loss of power at its other end: the next call opens
// another one.
func callSteward[R any](ctx context.Context, s *Steward, m Member, method string, params any) (R, error) {
	c := s.client(m.Steward)
	result, err := peer.Call[R](ctx, c, method, params)
	if errors.Is(err, context.DeadlineExceeded) {
		c.Close()
	}
	return result, err
}

// round acts on what was seen and returns the time until the next look.
func (l *leader) round(ctx context.Context, seen map[int]Observation) time.Duration {
	now := time.Now()
	ranks := l.view(seen, now)
	if l.phase == mapswitch.Idle || l.phase == mapswitch.Blocked {
		l.count(seen, now)
	}
	l.passes.see(ranks, now)
	l.shares.update(ctx, l.passes.time(), seen, l.places, now)
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
		l.loads.Add(i, o.Report.Born, o.Counts.unpack())
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
	held := make(mapswitch.Map, l.engine.Layers)
	for i := range held {
		held[i] = make([][]int, l.size)
	}
	for r, o := range seen {
		if o.HeldVersion != running || len(o.Held) != l.engine.Layers {
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

// plan starts a new map where that pays.
func (l *leader) plan(ranks []mapswitch.Rank, running int, now time.Time) bool {
	loads := l.loads.Recent(now)
	if loads == nil || l.heldVersion == mapswitch.None {
		return false
	}
	g := placement.EvenGroup{Slots: l.engine.Slots, Reserve: l.engine.Reserve, Loads: loadsPerPlan, Goal: skewGoal}
	skew := g.Skew(l.held, loads)
	pass := max(l.passes.time(), expectedPass(l.engine, float64(running)/float64(l.size), skew))
	l.s.log.Debug("skew", "skew", skew, "pass_time", pass.Round(time.Millisecond), "running", running)
	if !worth(placement.EvenPlan{Before: skew, After: 1, Loaded: 1, Copies: 1}, l.engine.LoadTime, pass) {
		return false // Even a perfect map would not pay.
	}
	p := g.Plan(l.held, loads)
	if !worth(p, l.engine.LoadTime, pass) {
		return false
	}
	l.s.log.Info("map-planned", "version", l.fence*versionsPerFence+l.versions+1, "skew", p.Before,
		"skew_after", p.After, "loads", p.Loaded, "copies", p.Copies, "pass", ranks[0].Pass, "pass_time", pass.Round(time.Millisecond))
	l.loadTime = time.Duration(p.Loaded) * l.engine.LoadTime
	l.start(ranks[0].Epoch, p.Held)
	return true
}

// readingFactor is how much longer a pass takes for the prompts that are read in it.
const readingFactor = 1.3

// expectedPass returns the time of a pass with a number of running requests per rank, when
// experts are skewed.
func expectedPass(e *route.Engine, running, skew float64) time.Duration {
	step := float64(e.StepTime) + float64(e.StepPerRequest)*running*(1-e.ExpertShare+e.ExpertShare*skew)
	return time.Duration(readingFactor * float64(e.TokensPerPass) * step)
}

// start makes a map the target under a version that was never used.
func (l *leader) start(epoch int64, m mapswitch.Map) {
	l.versions++
	l.planned = m
	clear(l.accepted)
	l.sw.Start(mapswitch.Target{Version: l.fence*versionsPerFence + l.versions, Map: m, Epoch: epoch})
}

const (
	// loadsPerPlan bounds the experts that one rank loads for one map: short rounds bring
	// the first relief soon.
	loadsPerPlan = 2
	// planHorizon is the time over which a better map counts: what is in demand was seen
	// to change every few seconds.
	planHorizon = 2500 * time.Millisecond
	// expertPart is the part of a pass that experts take in a busy group.
	expertPart = 0.7
	// loadSlowdown is the part by which passes take longer while ranks load experts.
	loadSlowdown = 0.15
	// switchCost is the time that the group stands still for a switch.
	switchCost = 20 * time.Millisecond
	// copyPrice is what the copy of one expert is worth, in time of the whole group's
	// service, by the price that operators put on the bytes.
	copyPrice = 1400 * time.Microsecond
	// planMargin is how often over a plan must pay for itself.
	planMargin = 1.5
	// skewGoal is the skew of a layer that is good enough: further copies gain less than
	// they cost.
	skewGoal = 1.1
	// easyPass is the time of a pass that nobody feels: a third of the usual longest pause
	// between events.
	easyPass = 40 * time.Millisecond
)

// worth reports whether a plan pays for itself, given the time of a pass.
func worth(p placement.EvenPlan, loadTime, pass time.Duration) bool {
	if p.Before <= 0 || p.Copies == 0 {
		return false
	}
	felt := min(1, max(0, float64(pass-easyPass)/float64(easyPass)))
	saved := felt * expertPart * (p.Before - p.After) / p.Before * planHorizon.Seconds()
	cost := loadSlowdown*float64(p.Loaded)*loadTime.Seconds() + switchCost.Seconds() +
		float64(p.Copies)*copyPrice.Seconds()
	return saved > planMargin*cost
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

// giveOrders passes orders on; the result of one whose steward gave none is nil.
func (s *Steward) giveOrders(ctx context.Context, orders []mapswitch.Order, places map[int]Member, fence int64) []*OrderResult {
	ctx, cancel := context.WithTimeout(ctx, observeTimeout)
	defer cancel()
	out := make([]*OrderResult, len(orders))
	var wait sync.WaitGroup
	for i, o := range orders {
		wait.Go(func() {
			r, err := s.giveOrder(ctx, places[o.Rank], OrderRequest{Fence: fence, Order: o})
			if err != nil {
				s.log.Info("order-not-passed", "rank", o.Rank, "op", o.Op.String(), "error", err.Error())
				return
			}
			out[i] = &r
		})
	}
	wait.Wait()
	return out
}

func (s *Steward) giveOrder(ctx context.Context, m Member, r OrderRequest) (OrderResult, error) {
	if m.Upstream == s.node.UpstreamAddress {
		return s.order(ctx, r), nil
	}
	result, err := callSteward[OrderResult](ctx, s, m, methodOrder, r)
	if err != nil && (r.Order.Op == mapswitch.Arm || r.Order.Op == mapswitch.Release) {
		return s.orderDirectly(ctx, m, r), nil
	}
	return result, err
}
