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
	// Stuck means that a hold is in force and there is no map that all ranks have prepared. The
	// caller must set a target, or the leader that has one must continue.
	Stuck
	// Blocked means that the state of a rank is unknown or the group runs no passes.
	Blocked
)

// Number of passes between the newest pass and the one with which a map changes. The hold must
// arrive before that pass begins. The arm orders should too, as the group is stalled until they
// arrive.
const (
	// DefaultLead is used while ranks respond to orders at once.
	DefaultLead = 2
	// SafeLead leaves time to send orders again.
	SafeLead = 4
)

// Switch drives the map switches of one group. It is not safe for concurrent use.
type Switch struct {
	target *Target
	// holdPass is the pass for which a hold of the target was ordered, or None.
	holdPass int64
	// passesAhead is the number of passes between the newest pass and holdPass when a hold is
	// ordered.
	passesAhead int64
}

// New returns a Switch without a target.
func New() *Switch { return &Switch{holdPass: None, passesAhead: DefaultLead} }

// SetLead sets the number of passes between the newest pass and the one with which the map
// changes.
func (s *Switch) SetLead(passes int64) { s.passesAhead = passes }

// Start sets the target. It replaces any former target, which is safe at any time.
func (s *Switch) Start(t Target) {
	s.target = &t
	s.holdPass = None
}

// Target returns the current target, or nil.
func (s *Switch) Target() *Target { return s.target }

// Cancel removes the target. Orders already sent may still take effect; a hold among them is
// completed.
func (s *Switch) Cancel() { s.target = nil }

// Next returns the orders that follow from up-to-date reports of all ranks, and the phase. The
// reports are indexed by rank.
func (s *Switch) Next(ranks []Rank) ([]Order, Phase) {
	if !allOpenInSameEpoch(ranks) {
		return nil, Blocked
	}
	epoch := ranks[0].Epoch
	if s.target != nil && (s.target.Epoch != epoch || allRunning(ranks, s.target.Version)) {
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
	if !allPrepared(ranks, s.target.Version) {
		return s.prepareOrders(ranks), Preparing
	}
	return s.holdOrders(ranks), Switching
}

// allOpenInSameEpoch reports whether the state of all ranks is known and they run passes in the
// same epoch.
func allOpenInSameEpoch(ranks []Rank) bool {
	for _, r := range ranks {
		if !r.Known || !r.Open || r.Epoch != ranks[0].Epoch {
			return false
		}
	}
	return len(ranks) > 0
}

func allRunning(ranks []Rank, version int64) bool {
	for _, r := range ranks {
		if r.Running != version {
			return false
		}
	}
	return true
}

func allPrepared(ranks []Rank, version int64) bool {
	for _, r := range ranks {
		if r.Prepared != version {
			return false
		}
	}
	return true
}

func anyArmed(ranks []Rank) bool {
	for _, r := range ranks {
		if r.Armed != None {
			return true
		}
	}
	return false
}

// earliestHold returns the rank with the earliest held pass and that pass, or -1 and None.
func earliestHold(ranks []Rank) (int, int64) {
	holder, pass := -1, None
	for i, r := range ranks {
		if r.Held != None && (holder < 0 || r.Held < pass) {
			holder, pass = i, r.Held
		}
	}
	return holder, pass
}

// completeHold returns the orders that arm all ranks for a held pass, and then the one that
// releases it. If the ranks have not all prepared the same map, they prepare the target first.
func (s *Switch) completeHold(ranks []Rank, holder int, pass int64) ([]Order, Phase) {
	epoch := ranks[0].Epoch
	version := commonPrepared(ranks)
	if version == None {
		if s.target == nil || anyArmed(ranks) {
			return nil, Stuck
		}
		return s.prepareOrders(ranks), Switching
	}
	var orders []Order
	for i, r := range ranks {
		if r.Armed != version || r.ArmedFor != pass {
			orders = append(orders, Order{Rank: i, Op: Arm, Epoch: epoch, Version: version, Pass: pass})
		}
	}
	if len(orders) == 0 {
		orders = []Order{{Rank: holder, Op: Release, Epoch: epoch, Pass: pass}}
	}
	return orders, Switching
}

// commonPrepared returns the version that all ranks have prepared, or None.
func commonPrepared(ranks []Rank) int64 {
	version := ranks[0].Prepared
	for _, r := range ranks {
		if r.Prepared != version || r.Prepared <= r.Running {
			return None
		}
	}
	return version
}

// prepareOrders returns Prepare orders for the ranks that have neither loaded the target nor are
// loading it.
func (s *Switch) prepareOrders(ranks []Rank) []Order {
	var orders []Order
	for i, r := range ranks {
		if r.Prepared != s.target.Version && r.Loading != s.target.Version {
			orders = append(orders, Order{
				Rank: i, Op: Prepare, Epoch: s.target.Epoch, Version: s.target.Version, Map: s.target.Map,
			})
		}
	}
	return orders
}

// holdOrders returns the order to hold a pass ahead of the newest one. It names the same pass
// until that pass has begun.
func (s *Switch) holdOrders(ranks []Rank) []Order {
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
func (s *Switch) holderRank(ranks int) int { return int(s.target.Version % int64(ranks)) }
