// Package expertmap decides which expert map a rank group runs, and when it changes.
//
// A map is immutable and has an epoch, which the platform's record of the group binds
// to one digest. Changing the map takes three phases:
//
//  1. Stage: the owner writes the map with a new epoch into the record and orders each
//     rank to load the weights. The group goes on running the decided map.
//  2. Decide: when every rank of the map holds it, the owner makes it the decided map
//     by a conditional update of the record.
//  3. Switch: the leader, which is the first rank of the decided map, names the new
//     map in the steps that follow.
//
// No phase is relied on for safety. Each step is a barrier of its own: the leader's
// Begin names the step and the map; a rank answers Join only when it holds that very
// map, and computes only after Go, which the leader sends when all ranks have joined.
// A rank that lacks the map answers Lack, and the step ends before any rank computes.
// All ranks that compute a step therefore compute it on the map that its Begin named,
// whatever was lost, doubled, late or sent by a former owner.
//
// A leader is told from a former one by a ballot: the term, which the record raises
// with each change of the leading rank, and a run, which a restarted leader raises
// above every run that the ranks have seen.
//
// Orders of owners carry a fencing number. Guard refuses orders of former owners, and
// every order until the number in force was read from the platform after a start.
//
// Owner, Leader, Rank and Guard are state machines: inputs are messages and ticks,
// outputs are messages and actions. They have no I/O, no clock and no goroutines.
package expertmap
