// Package mapswitch changes the expert map of a group whose ranks run passes in lock-step
// and do not compare maps, so that no pass begins while two ranks differ.
//
// Orders to ranks may be lost, repeated, or carried out seconds after they were given up.
// The package therefore remembers almost nothing and decides from fresh reports of all
// ranks, again and again, until they show what it wants:
//
//  1. Prepare: every rank loads the experts of the new map beside the running one.
//  2. Hold: when all ranks have it, one rank is asked to keep the group from beginning a
//     pass some passes ahead.
//  3. Arm: when a report shows the hold, every rank is armed with the new map for that
//     very pass. Nothing else is ever armed, so ranks can differ only while held.
//  4. Release: when the reports show all ranks armed with it, the hold is released.
//     Nothing else is ever released.
//
// A hold that is found, whoever set it, is completed in the same way. Arming and releasing
// are therefore safe for everybody, at once or twice, and need no owner. Preparing and
// holding need one: ranks take them only under the newest fencing number that their
// steward has seen, so that a map is not replaced while somebody arms it.
//
// When the group breaks, it forms anew with its first map and nothing prepared, armed or
// held, in a new epoch. Every order carries the epoch and is refused in another.
//
// The package has no I/O, no clock and no goroutines.
package mapswitch
