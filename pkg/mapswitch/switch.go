package mapswitch

// Target is a map on its way into use.
type Target struct {
	// Version is higher than all before it and never used again.
	Version int64
	Map     Map
	Epoch   int64
}

// Phase says how far a target is.
type Phase int

// Phases.
const (
	// Idle means that there is no target.
	Idle Phase = iota
	Preparing
	// Switching means that a hold was ordered or is in force.
	Switching
	// Stuck means that a hold is in force and there is no map that all ranks have
	// prepared: a target is needed, or the one who has it must go on.
	Stuck
	// Blocked means that a rank is not known or the group is not open.
	Blocked
)

// Passes between the newest one and the pass at which a map changes. The hold must arrive
// before that pass begins, and the arms should, as the group stands still until they have.
const (
	// DefaultLead serves while orders are answered at once.
	DefaultLead = 2
	// SafeLead leaves time for orders that must be given again.
	SafeLead = 4
)

// Switch drives one group. It is not safe for concurrent use.
type Switch struct {
	target *Target
	// pass is the pass for which a hold of the target was ordered, None before.
	pass int64
	lead int64
}

// New returns a switch without a target.
func New() *Switch { return &Switch{pass: None, lead: DefaultLead} }

// SetLead sets the number of passes between the newest one and that of a change.
func (s *Switch) SetLead(passes int64) { s.lead = passes }

// Start sets the target; a former one is given up, which is safe at any time.
func (s *Switch) Start(t Target) {
	s.target = &t
	s.pass = None
}

// Target returns the map on its way, or nil.
func (s *Switch) Target() *Target { return s.target }

// Cancel gives the target up. What was ordered may still happen and is completed.
func (s *Switch) Cancel() { s.target = nil }

// Next returns the orders that follow from fresh reports of all ranks.
func (s *Switch) Next(ranks []Rank) ([]Order, Phase) {
	if !agree(ranks) {
		return nil, Blocked
	}
	epoch := ranks[0].Epoch
	if s.target != nil && (s.target.Epoch != epoch || allRunning(ranks, s.target.Version)) {
		s.target = nil
	}
	if holder, pass := firstHold(ranks); holder >= 0 {
		return s.complete(ranks, holder, pass)
	}
	if anyArmed(ranks) {
		// All are armed, and the pass has not begun yet: an idle group makes none.
		return nil, Switching
	}
	if s.target == nil {
		return nil, Idle
	}
	if !allPrepared(ranks, s.target.Version) {
		return s.prepare(ranks), Preparing
	}
	return s.hold(ranks), Switching
}

// agree reports whether all ranks are known, in the same epoch and open.
func agree(ranks []Rank) bool {
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

// firstHold returns the rank with the earliest hold and its pass, or -1.
func firstHold(ranks []Rank) (int, int64) {
	holder, pass := -1, None
	for i, r := range ranks {
		if r.Held != None && (holder < 0 || r.Held < pass) {
			holder, pass = i, r.Held
		}
	}
	return holder, pass
}

// complete arms all ranks for a held pass and then releases it. Where not all ranks have
// prepared the same map, that comes first.
func (s *Switch) complete(ranks []Rank, holder int, pass int64) ([]Order, Phase) {
	epoch := ranks[0].Epoch
	version := commonPrepared(ranks)
	if version == None {
		if s.target == nil || anyArmed(ranks) {
			return nil, Stuck
		}
		return s.prepare(ranks), Switching
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

// commonPrepared returns the version that every rank has prepared, or None.
func commonPrepared(ranks []Rank) int64 {
	version := ranks[0].Prepared
	for _, r := range ranks {
		if r.Prepared != version || r.Prepared <= r.Running {
			return None
		}
	}
	return version
}

// prepare returns orders for the ranks that have not loaded the target and are not at it.
func (s *Switch) prepare(ranks []Rank) []Order {
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

// hold asks a rank to hold a pass ahead, the same one until it has begun.
func (s *Switch) hold(ranks []Rank) []Order {
	newest := int64(0)
	for _, r := range ranks {
		newest = max(newest, r.Pass)
	}
	if s.pass == None || newest >= s.pass {
		s.pass = newest + s.lead
	}
	return []Order{{Rank: s.holder(len(ranks)), Op: Hold, Epoch: s.target.Epoch, Pass: s.pass}}
}

// holder spreads the holds over the ranks.
func (s *Switch) holder(ranks int) int { return int(s.target.Version % int64(ranks)) }
