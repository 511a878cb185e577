// Package mapswitch changes the expert map of a group whose ranks run passes in lock-step and do
// not compare maps, so that no pass begins while two ranks use different maps.
//
// Orders to ranks may be lost, repeated, or executed seconds after the sender abandoned them.
// The package therefore keeps almost no state. It derives the next orders from up-to-date
// reports of all ranks, repeatedly, until the reports show the wanted result:
//
//  1. Prepare: every rank loads the experts of the new map beside the one in use.
//  2. Hold: when all ranks have loaded it, one rank is ordered to keep the group from
//     beginning a certain pass, a few passes ahead.
//  3. Arm: when a report shows the hold, every rank is armed with the new map for exactly
//     that pass, first the one that has the hold. Ranks are armed for no other pass, so they
//     can differ only while the group is held.
//  4. Release: when the reports show that all ranks are armed for the pass, the hold is
//     released. It is not released in any other case.
//
// A hold whose rank is not armed yet is abandoned when some rank does not respond, so that the
// group runs on with its map: the rank with the hold prepares the same map under a version that no
// other rank prepares, and the hold is released. That rank decides between the switch and its end,
// because it can be armed only with the version that it has prepared, and rejects another version
// once it is armed.
//
// Any other hold that is found is completed in the same way, whichever process set it. Arm and Release
// are therefore safe from any sender, concurrently or repeatedly, and need no leader. Prepare
// and Hold need one: stewards forward them only under the newest fencing token that they have
// seen, so that a prepared map is not replaced while ranks are being armed with it.
//
// When the group breaks, it forms again in a new epoch, with its first map and with nothing
// prepared, armed or held. Every order carries an epoch and is rejected in any other.
//
// The package does no I/O, reads no clock and starts no goroutines.
package mapswitch
