package mapswitch

// Target is a map that the group is being switched to.
type Target struct {
	// Version is higher than all versions before it and is never reused.
	Version int64
	Map     Map
	Epoch   int64
}

// Phase is the progress of a switch.
type Phase int

// Phases.
const (
	// Idle means that there is no target.
	Idle Phase = iota
	// Preparing means that ranks still load the target.
	Preparing
	// Switching means that a hold was ordered or is in force.
	Switching
	// NeedsTarget means that a hold is in force and there is no map that all ranks have
	// prepared. The caller must set a target, or the leader that has one must continue.
	NeedsTarget
	// Blocked means that the state of a rank is unknown or the group is not formed. The only orders
	// in this phase abandon holds.
	Blocked
)

// Number of passes between the newest pass and the one with which a map changes. The hold must
// arrive before that pass begins. The arm orders should too, as the group is stalled until they
// arrive.
const (
	// DefaultPassesAhead is used while ranks respond to orders at once.
	DefaultPassesAhead = 2
	// SafePassesAhead leaves time to send orders again.
	SafePassesAhead = 4
)

// Switch drives the map switches of one group. It is not safe for concurrent use.
type Switch struct {
	target *Target
	// holdPass is the pass for which a hold of the target was ordered, or None.
	holdPass int64
	// passesAhead is the number of passes between the newest pass and holdPass when a hold is
	// ordered.
	passesAhead int64
	// ownRank is the rank beside the process that drives the switch, or -1.
	ownRank int
	// abandonedVersion is the version with which the last hold was abandoned, or None, and
	// abandonedAtPass the newest pass when it was first seen.
	abandonedVersion int64
	abandonedAtPass  int64
}

// New returns a Switch without a target. Holds are ordered at other ranks than ownRank, which is the
// rank on the instance of the caller, or -1: if that instance freezes, the hold can still be
// released.
func New(ownRank int) *Switch {
	return &Switch{holdPass: None, passesAhead: DefaultPassesAhead, ownRank: ownRank, abandonedVersion: None}
}

// SetPassesAhead sets the number of passes between the newest pass and the one with which the
// map changes.
func (s *Switch) SetPassesAhead(passes int64) { s.passesAhead = passes }

// SetTarget sets the target. It replaces any former target, which is safe at any time.
func (s *Switch) SetTarget(t Target) {
	s.target = &t
	s.holdPass = None
}

// Target returns the current target, or nil.
func (s *Switch) Target() *Target { return s.target }

// ClearTarget removes the target. Orders already sent may still take effect; a hold among them
// is completed.
func (s *Switch) ClearTarget() { s.target = nil }

// NextOrders returns the orders that follow from up-to-date reports of all ranks, and the phase.
// The reports are indexed by rank.
func (s *Switch) NextOrders(ranks []RankState) ([]Order, Phase) {
	if !allFormedInSameEpoch(ranks) {
		return s.abandonOrders(ranks), Blocked
	}
	epoch := ranks[0].Epoch
	if s.target != nil && (s.target.Epoch != epoch || allRunning(ranks, s.target.Version) || anyPreparedAfter(ranks, s.target.Version)) {
		s.target = nil
	}
	if holder, pass := earliestHold(ranks); holder >= 0 {
		return s.completeHold(ranks, holder, pass)
	}
	if anyArmed(ranks) {
		// All ranks are armed and the pass has not begun yet: an idle group runs no passes.
		return nil, Switching
	}
	if s.target == nil {
		return nil, Idle
	}
	if s.isAbandonRecent(ranks) {
		return nil, Preparing
	}
	if !allPrepared(ranks, s.target.Version) {
		return s.prepareOrders(ranks), Preparing
	}
	return s.holdOrders(ranks), Switching
}

// allFormedInSameEpoch reports whether the state of all ranks is known and their group is formed
// in one epoch.
func allFormedInSameEpoch(ranks []RankState) bool {
	for _, r := range ranks {
		if !r.Known || !r.GroupFormed || r.Epoch != ranks[0].Epoch {
			return false
		}
	}
	return len(ranks) > 0
}

func allRunning(ranks []RankState, version int64) bool {
	for _, r := range ranks {
		if r.RunningVersion != version {
			return false
		}
	}
	return true
}

func allPrepared(ranks []RankState, version int64) bool {
	for _, r := range ranks {
		if r.PreparedVersion != version {
			return false
		}
	}
	return true
}

// anyPreparedAfter reports whether a rank has prepared a higher version, so that it rejects version.
func anyPreparedAfter(ranks []RankState, version int64) bool {
	for _, r := range ranks {
		if r.PreparedVersion > version {
			return true
		}
	}
	return false
}

// isAbandonRecent reports whether a hold was abandoned so recently that its pass may not have begun.
// Late copies of the orders that held and released that pass must not meet a new switch.
func (s *Switch) isAbandonRecent(ranks []RankState) bool {
	newest, marker := int64(0), None
	for _, r := range ranks {
		newest = max(newest, r.Pass)
		if isAbandoned(r.PreparedVersion) {
			marker = max(marker, r.PreparedVersion)
		}
	}
	if marker != s.abandonedVersion {
		s.abandonedVersion, s.abandonedAtPass = marker, newest
	}
	return marker != None && newest <= s.abandonedAtPass+SafePassesAhead
}

func anyArmed(ranks []RankState) bool {
	for _, r := range ranks {
		if r.Known && r.ArmedVersion != None {
			return true
		}
	}
	return false
}

// earliestHold returns the rank with the earliest held pass and that pass, or -1 and None.
func earliestHold(ranks []RankState) (int, int64) {
	holder, pass := -1, None
	for i, r := range ranks {
		if r.HeldPass != None && (holder < 0 || r.HeldPass < pass) {
			holder, pass = i, r.HeldPass
		}
	}
	return holder, pass
}

// abandonOrders returns the orders that release holds without a switch. They are safe while the
// holding rank is not armed, because it is the first to be armed: once it has prepared the
// abandoned version, it can no longer be armed with the version that the others have prepared, and
// once it is armed, it rejects the abandoned version.
func (s *Switch) abandonOrders(ranks []RankState) []Order {
	if anyArmed(ranks) {
		return nil // another hold is being completed
	}
	var orders []Order
	for i, r := range ranks {
		switch {
		case !r.holdsUnarmed():
		case isAbandoned(r.PreparedVersion):
			orders = append(orders, Order{Rank: i, Op: Release, Epoch: r.Epoch, Pass: r.HeldPass})
		case s.target != nil && s.target.Version == r.PreparedVersion && canAbandon(r.PreparedVersion):
			orders = append(orders, Order{Rank: i, Op: Prepare, Epoch: r.Epoch, Version: abandonedVersion(r.PreparedVersion), Map: s.target.Map})
		}
	}
	return orders
}

// completeHold returns the orders that arm all ranks for a held pass, first the holder and then the
// others, and finally the one that releases it. If the ranks have not all prepared the same map,
// they prepare the target first.
func (s *Switch) completeHold(ranks []RankState, holder int, pass int64) ([]Order, Phase) {
	epoch := ranks[0].Epoch
	if isAbandoned(ranks[holder].PreparedVersion) && ranks[holder].holdsUnarmed() {
		return s.abandonOrders(ranks), Switching
	}
	version := commonPrepared(ranks)
	if version == None {
		if s.target == nil || anyArmed(ranks) {
			return nil, NeedsTarget
		}
		return s.prepareOrders(ranks), Switching
	}
	if ranks[holder].holdsUnarmed() {
		return []Order{{Rank: holder, Op: Arm, Epoch: epoch, Version: version, Pass: pass}}, Switching
	}
	var orders []Order
	for i, r := range ranks {
		if r.ArmedVersion != version || r.ArmedPass != pass {
			orders = append(orders, Order{Rank: i, Op: Arm, Epoch: epoch, Version: version, Pass: pass})
		}
	}
	if len(orders) == 0 {
		orders = []Order{{Rank: holder, Op: Release, Epoch: epoch, Pass: pass}}
	}
	return orders, Switching
}

// commonPrepared returns the version that all ranks have prepared, or None.
func commonPrepared(ranks []RankState) int64 {
	version := ranks[0].PreparedVersion
	for _, r := range ranks {
		if r.PreparedVersion != version || r.PreparedVersion <= r.RunningVersion {
			return None
		}
	}
	return version
}

// prepareOrders returns Prepare orders for the ranks that have neither loaded the target nor are
// loading it.
func (s *Switch) prepareOrders(ranks []RankState) []Order {
	var orders []Order
	for i, r := range ranks {
		if r.PreparedVersion != s.target.Version && r.LoadingVersion != s.target.Version {
			orders = append(orders, Order{
				Rank: i, Op: Prepare, Epoch: s.target.Epoch, Version: s.target.Version, Map: s.target.Map,
			})
		}
	}
	return orders
}

// holdOrders returns the order to hold a pass ahead of the newest one. It names the same pass
// until that pass has begun.
func (s *Switch) holdOrders(ranks []RankState) []Order {
	newest := int64(0)
	for _, r := range ranks {
		newest = max(newest, r.Pass)
	}
	if s.holdPass == None || newest >= s.holdPass {
		s.holdPass = newest + s.passesAhead
	}
	return []Order{{Rank: s.holderRank(len(ranks)), Op: Hold, Epoch: s.target.Epoch, Pass: s.holdPass}}
}

// holderRank selects the rank that holds the pass, distributing holds over the ranks by version.
func (s *Switch) holderRank(ranks int) int {
	rank := int(s.target.Version % int64(ranks))
	if rank == s.ownRank {
		return (rank + 1) % ranks
	}
	return rank
}
