package expertmap

import "slices"

func (sim *simulation) isEnabled(f fault) bool { return sim.enabledFaults[f] }

// occurs reports whether an enabled fault happens now, on average once in n calls.
func (sim *simulation) occurs(f fault, n int) bool {
	return sim.enabledFaults[f] && sim.random.IntN(n) == 0
}

// injectFaults injects the enabled faults that do not concern a single message or call, on
// average every eventsPerFault events. The desired map changes at the same rate.
func (sim *simulation) injectFaults() {
	if sim.random.IntN(sim.eventsPerFault) > 0 {
		return
	}
	sim.setDesiredMap(sim.owners[sim.random.IntN(len(sim.owners))])
	m := sim.ranks[sim.random.IntN(len(sim.ranks))]
	if sim.occurs(rankRestart, 2) {
		m.restart()
	}
	if sim.occurs(agentRestart, 2) && !m.dead {
		m.start()
	}
	if sim.occurs(rankStall, 2) {
		m.stallTicks = sim.random.IntN(20)
	}
	if sim.occurs(rankLost, 2) {
		m.toggleDead()
	}
	if sim.occurs(ownerPaused, 2) {
		sim.pauseTicks[sim.newestOwner()] = sim.random.IntN(40)
		sim.startOwner()
	}
	if sim.occurs(concurrentOwners, 2) {
		sim.startOwner()
	}
	if sim.occurs(platformDown, 2) {
		sim.platformDownTicks = sim.random.IntN(60)
	}
}

// restart restarts a rank and its engine, which loses the weights.
func (m *simulatedRank) restart() {
	if m.dead {
		return
	}
	m.loaded = nil
	m.loading = nil
	m.start()
}

// toggleDead makes a rank permanently dead, or replaces a dead one by a new one without weights.
// The last live rank stays alive.
func (m *simulatedRank) toggleDead() {
	others := func(o *simulatedRank) bool { return o != m && !o.dead }
	switch {
	case m.dead:
		m.dead = false
		m.restart()
	case slices.ContainsFunc(m.sim.ranks, others):
		m.dead = true
	}
}

// endFaults disables all faults and ends those in progress; dead ranks stay dead.
func (sim *simulation) endFaults() {
	sim.enabledFaults = make([]bool, faultKindCount)
	sim.eventsPerFault = 1 << 30
	sim.platformDownTicks = 0
	clear(sim.pauseTicks)
	for _, m := range sim.ranks {
		m.stallTicks = 0
	}
}

// runSteps advances until all ranks have computed n more steps, or limit events have passed. It
// reports whether the steps were computed.
func (sim *simulation) runSteps(n, limit int) bool {
	goal := sim.completedSteps + n
	for range limit {
		if sim.completedSteps >= goal {
			return true
		}
		sim.advance()
	}
	return sim.completedSteps >= goal
}

// hasConverged reports whether the group runs the desired map of the newest owner.
func (sim *simulation) hasConverged() bool {
	o := sim.newestOwner()
	return o.HasConverged() && o.Record().Decided.Ref == sim.record.Decided.Ref
}
