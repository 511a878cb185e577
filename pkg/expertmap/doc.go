// Package expertmap decides which expert map a rank group runs, and when it changes.
//
// A map is immutable and has an epoch. The platform's record of the group binds each epoch
// to one content digest. Changing the map takes three phases:
//
//  1. Stage: the owner writes the map with a new epoch into the record and orders each
//     rank to load the weights. The group continues to run the decided map.
//  2. Decide: when every rank of the map has loaded it, the owner makes it the decided map
//     by a conditional update of the record.
//  3. Switch: the leader, which is the first rank of the decided map, names the new
//     map in the steps that follow.
//
// Safety does not depend on these phases. Each step has its own barrier: the leader's
// JoinRequest names the step and the map. A rank responds with ResponseJoined only when it
// has loaded exactly that map, and computes only after a ComputeRequest, which the leader
// sends when all ranks have joined. A rank that does not have the map responds with
// ResponseNotReady, and the step ends before any rank computes. All ranks that compute a
// step therefore use the map that its JoinRequest named, even when messages are lost,
// duplicated, delayed or sent by a former owner.
//
// A ballot orders the leaders of a group. It consists of the term, which is incremented in
// the record with each change of the leading rank, and a round, which a restarted leader
// raises above every round of the term that the ranks have seen.
//
// Orders of owners carry a fencing token. FencingGuard rejects orders of former owners.
// After a start it rejects every order until the current fencing token has been read from the
// platform.
//
// Owner, Leader, Rank and FencingGuard are state machines: inputs are messages and ticks,
// outputs are messages and calls of an interface. They have no I/O, no clock and no
// goroutines.
package expertmap
