package mapswitch

import (
	"math/rand/v2"
	"slices"
	"testing"
)

// simulation is a group of ranks that follow the order protocol. Orders may be lost, duplicated
// or delayed, stewards check fencing tokens, and leaders are replaced and freeze.
type simulation struct {
	rng     *rand.Rand
	ranks   []simulatedRank
	epoch   int64
	pass    int64
	now     int
	delayed []delayedOrder
	leaders []*simulatedLeader
	// stewardFencingTokens has the newest fencing token that each steward has seen. It is 0 after a
	// restart, when the steward rejects fenced orders until it has read the store.
	stewardFencingTokens []int64
	newestFencingToken   int64
	// switchCount counts the switches of single ranks to another map, and abandonedCount the holds
	// that were released without one.
	switchCount    int
	abandonedCount int
	// frozenRank is the rank of an instance that is frozen for frozenSteps: nobody can observe it,
	// and the orders sent to it arrive late.
	frozenRank  int
	frozenSteps int
	// defect is the protection that is disabled in this run.
	defect defect
}

type simulatedRank struct {
	running, prepared, armed, armedFor, held, highestPrepared int64
	loadedAt                                                  int
}

type delayedOrder struct {
	deliverAt int
	order     Order
}

// simulatedLeader is a leader with its fencing token. Several may be active at once.
type simulatedLeader struct {
	sw           *Switch
	fencingToken int64
	versionsUsed int64
	view         []RankState
	frozenSteps  int
}

// defect names a disabled protection.
type defect int

const (
	noDefect defect = iota
	// armWithoutHold arms the ranks instead of ordering a hold.
	armWithoutHold
	// releaseEarly releases a hold instead of arming the ranks.
	releaseEarly
	// armUnprepared sometimes arms ranks that may not have loaded the map.
	armUnprepared
	// ignoreFence lets stewards forward orders of former leaders.
	ignoreFence
	// ignoreEpoch lets ranks execute orders of an earlier epoch.
	ignoreEpoch
	// abandonWithoutMarker releases a hold without preparing the abandoned version.
	abandonWithoutMarker
	// armAllAtOnce arms the other ranks together with the one that has the hold.
	armAllAtOnce
)

func newSimulation(seed uint64, d defect) *simulation {
	s := &simulation{rng: rand.New(rand.NewPCG(seed, 1)), defect: d, ranks: make([]simulatedRank, 4), stewardFencingTokens: make([]int64, 4)}
	s.formGroup()
	s.electLeader()
	return s
}

// formGroup forms the group again in a new epoch.
func (s *simulation) formGroup() {
	s.epoch++
	s.pass = 0
	for i := range s.ranks {
		s.ranks[i] = simulatedRank{prepared: None, armed: None, held: None}
	}
}

// electLeader adds a leader with a higher fencing token. The previous leader continues.
func (s *simulation) electLeader() {
	s.newestFencingToken++
	s.leaders = append(s.leaders, &simulatedLeader{sw: New(s.rng.IntN(len(s.ranks))), fencingToken: s.newestFencingToken})
	if len(s.leaders) > 2 {
		s.leaders = slices.Delete(s.leaders, 0, 1)
	}
}

// rankState returns the report of a rank.
func (s *simulation) rankState(i int) RankState {
	r := s.ranks[i]
	prepared := r.prepared
	loading := None
	if s.now < r.loadedAt {
		prepared, loading = None, r.prepared
	}
	return RankState{
		Known: true, GroupFormed: true, Epoch: s.epoch, Pass: s.pass,
		RunningVersion: r.running, PreparedVersion: prepared, LoadingVersion: loading, ArmedVersion: r.armed, ArmedPass: r.armedFor, HeldPass: r.held,
	}
}

// step performs one random action and returns a description of the violated invariant, or "".
func (s *simulation) step() string {
	s.now++
	s.frozenSteps--
	s.deliverDelayed()
	switch x := s.rng.IntN(100); {
	case x < 30:
		return s.beginPass()
	case x < 90:
		s.runLeader(s.leaders[s.rng.IntN(len(s.leaders))])
	case x < 92:
		s.electLeader()
	case x < 94:
		s.leaders[s.rng.IntN(len(s.leaders))].frozenSteps = s.rng.IntN(60)
	case x < 95:
		s.stewardFencingTokens[s.rng.IntN(len(s.stewardFencingTokens))] = 0
	case x < 96 && s.rng.IntN(10) == 0:
		s.formGroup()
	}
	return s.deadlock()
}

// deadlock detects a rank that is armed with a map that another rank can no longer prepare: the
// hold would never be released.
func (s *simulation) deadlock() string {
	for _, a := range s.ranks {
		for _, b := range s.ranks {
			if a.armed != None && b.armed != a.armed && b.highestPrepared > a.armed {
				return "a hold can never be released"
			}
		}
	}
	return ""
}

// beginPass begins the next pass unless a rank holds it. It returns a violation if ranks then
// use different maps.
func (s *simulation) beginPass() string {
	next := s.pass + 1
	for _, r := range s.ranks {
		if r.held == next {
			return ""
		}
	}
	s.pass = next
	for i := range s.ranks {
		r := &s.ranks[i]
		if r.armed != None && r.armedFor == next {
			r.running, r.prepared, r.armed = r.armed, None, None
			s.switchCount++
		}
	}
	for _, r := range s.ranks {
		if r.running != s.ranks[0].running {
			return "a pass began with two maps"
		}
	}
	return ""
}

// runLeader makes a leader poll all ranks or act on its last poll. The poll of a leader that was
// frozen may be outdated.
func (s *simulation) runLeader(o *simulatedLeader) {
	if o.frozenSteps > 0 {
		o.frozenSteps--
		return
	}
	if s.rng.IntN(4) > 0 {
		o.view = nil
		for i := range s.ranks {
			if s.frozenSteps > 0 && s.frozenRank == i {
				o.view = append(o.view, RankState{})
				continue
			}
			o.view = append(o.view, s.rankState(i))
			s.updateStewardFencingToken(i, o.fencingToken)
		}
		return
	}
	if o.view == nil {
		return
	}
	orders, phase := o.sw.NextOrders(o.view)
	if phase == Idle || phase == NeedsTarget {
		o.versionsUsed++
		o.sw.SetTarget(Target{Version: VersionOf(o.fencingToken, o.versionsUsed), Epoch: o.view[0].Epoch})
	}
	orders = s.applyDefect(o, orders)
	for _, order := range orders {
		s.send(o, order)
	}
	// Each poll is used for one round of orders only.
	o.view = nil
}

// applyDefect changes orders to those of a leader without the disabled protection.
func (s *simulation) applyDefect(o *simulatedLeader, orders []Order) []Order {
	for i := range orders {
		order := &orders[i]
		switch {
		case s.defect == armWithoutHold && order.Op == Hold,
			s.defect == armUnprepared && order.Op == Hold && s.rng.IntN(2) == 0:
			orders = nil
			for k := range s.ranks {
				orders = append(orders, Order{Rank: k, Op: Arm, Epoch: order.Epoch, Version: o.sw.Target().Version, Pass: order.Pass})
			}
			return orders
		case s.defect == releaseEarly && order.Op == Arm && s.rng.IntN(2) == 0:
			orders = append(orders, Order{Rank: int(o.view[0].Epoch) % len(s.ranks), Op: Release, Epoch: order.Epoch, Pass: order.Pass})
			for k := range s.ranks {
				orders = append(orders, Order{Rank: k, Op: Release, Epoch: order.Epoch, Pass: order.Pass})
			}
			return orders
		case s.defect == abandonWithoutMarker && order.IsAbandon():
			*order = Order{Rank: order.Rank, Op: Release, Epoch: order.Epoch, Pass: o.view[order.Rank].HeldPass}
		case s.defect == ignoreEpoch:
			order.Epoch = 0
		case s.defect == armAllAtOnce && order.Op == Arm && len(orders) == 1:
			for k := range s.ranks {
				if k != order.Rank {
					orders = append(orders, Order{Rank: k, Op: Arm, Epoch: order.Epoch, Version: order.Version, Pass: order.Pass})
				}
			}
			return orders
		}
	}
	return orders
}

// updateStewardFencingToken records the fencing token of a leader's call at a steward.
func (s *simulation) updateStewardFencingToken(rank int, fencingToken int64) {
	if s.stewardFencingTokens[rank] != 0 {
		s.stewardFencingTokens[rank] = max(s.stewardFencingTokens[rank], fencingToken)
	} else if s.rng.IntN(2) == 0 {
		// The steward has read the newest fencing token from the store.
		s.stewardFencingTokens[rank] = s.newestFencingToken
	}
}

// send sends an order through the steward of its rank. The order is executed at once, late,
// twice or never.
func (s *simulation) send(o *simulatedLeader, order Order) {
	if order.Op == Prepare && !order.IsAbandon() || order.Op == Hold {
		f := s.stewardFencingTokens[order.Rank]
		if s.defect != ignoreFence && (f == 0 || o.fencingToken < f) {
			return
		}
	}
	if s.frozenSteps > 0 && s.frozenRank == order.Rank {
		s.delayed = append(s.delayed, delayedOrder{s.now + s.frozenSteps, order})
		return
	}
	switch s.rng.IntN(10) {
	case 0:
	case 1, 2, 3:
		s.delayed = append(s.delayed, delayedOrder{s.now + 5 + s.rng.IntN(200), order})
	case 4:
		s.executeOrder(order)
		s.delayed = append(s.delayed, delayedOrder{s.now + 5 + s.rng.IntN(200), order})
	default:
		s.executeOrder(order)
	}
}

// deliverDelayed executes the delayed orders that are due.
func (s *simulation) deliverDelayed() {
	kept := s.delayed[:0]
	for _, l := range s.delayed {
		if l.deliverAt > s.now {
			kept = append(kept, l)
			continue
		}
		s.executeOrder(l.order)
	}
	s.delayed = kept
}

// executeOrder executes an order as a rank does.
func (s *simulation) executeOrder(o Order) {
	if o.Epoch != s.epoch && o.Epoch != 0 {
		return
	}
	r := &s.ranks[o.Rank]
	switch o.Op {
	case Prepare:
		if o.Version > r.highestPrepared && r.armed == None {
			r.prepared, r.highestPrepared = o.Version, o.Version
			r.loadedAt = s.now + s.rng.IntN(8)
		}
	case Hold:
		if o.Pass > s.pass && r.held == None {
			r.held = o.Pass
			if s.frozenSteps <= 0 && s.rng.IntN(3) == 0 {
				s.frozenRank, s.frozenSteps = s.rng.IntN(len(s.ranks)), s.rng.IntN(200)
			}
		}
	case Arm:
		if r.prepared == o.Version && s.now >= r.loadedAt && o.Pass > s.pass {
			r.armed, r.armedFor = o.Version, o.Pass
		}
	case Release:
		if r.held == o.Pass {
			if r.armed == None {
				s.abandonedCount++
			}
			r.held = None
		}
	}
}

// runSimulation returns the first violation, or "", and the simulation at its end.
func runSimulation(seed uint64, steps int, d defect) (string, *simulation) {
	s := newSimulation(seed, d)
	for range steps {
		if violation := s.step(); violation != "" {
			return violation, s
		}
	}
	return "", s
}

const (
	fuzzSeeds = 100
	fuzzSteps = 10_000 // a million actions over all seeds
)

// Guards against a pass that begins while ranks use different maps: orders are lost, duplicated
// and delayed, and several leaders act at once.
func TestNoPassStartsWithTwoMaps(t *testing.T) {
	switched, abandoned := 0, 0
	for seed := range uint64(fuzzSeeds) {
		violation, s := runSimulation(seed, fuzzSteps, noDefect)
		if violation != "" {
			t.Fatalf("seed %d: %s", seed, violation)
		}
		switched += s.switchCount
		abandoned += s.abandonedCount
	}
	if switched < fuzzSeeds*20 || abandoned < fuzzSeeds {
		t.Fatalf("only %d rank switches and %d abandoned holds: the simulations cover too little", switched, abandoned)
	}
}

// Hold by a frozen owner: the instance of the leader freezes right after the group is held, and
// its own rank responds to nobody. Whoever sees the hold releases it in the next round, so that the
// group does not stand still until the instance wakes.
func TestHoldOfFrozenLeaderIsAbandoned(t *testing.T) {
	const frozen = 0
	s := newSimulation(1, noDefect)
	s.stewardFencingTokens = []int64{1, 1, 1, 1}
	leader := New(frozen)
	target := Target{Version: VersionOf(1, 1), Epoch: s.epoch}
	leader.SetTarget(target)
	view := func() []RankState {
		var out []RankState
		for i := range s.ranks {
			out = append(out, s.rankState(i))
		}
		return out
	}
	isHeld := func() bool {
		return slices.ContainsFunc(s.ranks, func(r simulatedRank) bool { return r.held != None })
	}
	for range 20 {
		orders, _ := leader.NextOrders(view())
		for _, o := range orders {
			s.executeOrder(o)
		}
		if isHeld() {
			break
		}
		s.now++
	}
	if !isHeld() || s.ranks[frozen].held != None {
		t.Fatal("no rank beside another instance holds the group")
	}
	late := view()
	seen := view()
	seen[frozen] = RankState{}
	other := New(-1)
	other.SetTarget(target)
	const roundsWhileLoading = 10
	for range roundsWhileLoading {
		s.now++
		orders, _ := other.NextOrders(seen)
		for _, o := range orders {
			s.executeOrder(o)
		}
		seen = view()
		seen[frozen] = RankState{}
	}
	if isHeld() {
		t.Fatal("the hold outlives its owner")
	}
	// The leader wakes and acts on what it saw before.
	orders, _ := leader.NextOrders(late)
	for _, o := range orders {
		s.executeOrder(o)
	}
	if slices.ContainsFunc(s.ranks, func(r simulatedRank) bool { return r.armed != None }) {
		t.Fatal("a rank is armed for a pass that nobody holds")
	}
}

// Late orders of an abandoned hold: a copy of the order to release it may still be on the way. If
// the next switch held the same pass at the same rank, that copy would release the group while only
// some ranks are armed, so no switch starts until the pass must have begun.
func TestNoSwitchWhileAnAbandonedPassMayBeAhead(t *testing.T) {
	sw := New(-1)
	ranks := make([]RankState, 3)
	for i := range ranks {
		ranks[i] = RankState{Known: true, GroupFormed: true, Epoch: 1, Pass: 10, PreparedVersion: VersionOf(1, 1), LoadingVersion: None, ArmedVersion: None, HeldPass: None}
	}
	ranks[2].PreparedVersion = abandonedVersion(VersionOf(1, 1))
	sw.SetTarget(Target{Version: VersionOf(1, 2), Epoch: 1})
	for pass := int64(10); pass <= 10+SafePassesAhead; pass++ {
		for i := range ranks {
			ranks[i].Pass = pass
		}
		if orders, phase := sw.NextOrders(ranks); len(orders) > 0 || phase != Preparing {
			t.Fatalf("pass %d: %v, phase %d", pass, orders, phase)
		}
	}
	for i := range ranks {
		ranks[i].Pass = 11 + SafePassesAhead
	}
	if orders, _ := sw.NextOrders(ranks); len(orders) != len(ranks) {
		t.Fatalf("the next map is not prepared: %v", orders)
	}
}

// Checks that the simulation detects the violation when any one protection is disabled.
func TestEachProtectionIsNeeded(t *testing.T) {
	for name, d := range map[string]defect{
		"arm only what is held":           armWithoutHold,
		"arm only what is prepared":       armUnprepared,
		"release only when all are armed": releaseEarly,
		"fence":                           ignoreFence,
		"epoch":                           ignoreEpoch,
		"abandon with a marker":           abandonWithoutMarker,
		"arm the holder first":            armAllAtOnce,
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(fuzzSeeds) {
				if violation, _ := runSimulation(seed, fuzzSteps, d); violation != "" {
					return
				}
			}
			t.Fatal("the disabled protection was not detected")
		})
	}
}

// The map with which a rank abandons a switch must be valid for the rank: each expert on some rank and
// no more experts on a rank than before.
func TestAbandonTargetKeepsTheLoadedExperts(t *testing.T) {
	target := Target{Version: VersionOf(1, 1), Map: Map{{{0, 1}, {2, 3}, {0, 4}}}}
	loaded := [][]int{{0, 3}}
	got := AbandonTarget(target, 0, loaded)
	if !slices.Equal(got.Map[0][0], loaded[0]) {
		t.Fatalf("the rank would load %v", got.Map[0][0])
	}
	on := map[int]bool{}
	for r, experts := range got.Map[0] {
		if len(experts) != len(target.Map[0][r]) {
			t.Fatalf("rank %d would have %v", r, experts)
		}
		for _, e := range experts {
			on[e] = true
		}
	}
	if len(on) != 5 || !slices.Equal(target.Map[0][0], []int{0, 1}) {
		t.Fatalf("%v, target %v", got.Map, target.Map)
	}
}
