// Package steward is the process beside an upstream that is a rank of a group.
//
// Each steward reads its own rank, where reading is fresh and free, and gives its rank the
// orders of the group's leader. One of the stewards is the leader: it collects the counts
// of chosen experts, plans maps (pkg/placement) and drives the change (pkg/mapswitch).
//
// Leadership is a fencing number in the store, raised by a conditional update. There is no
// lease to renew: a steward that hears no leader for a while takes the next number. The
// stewards are the fence: they refuse orders under a lower number than they have seen, and
// after a restart they take none until they have read the newest number. A former leader
// that goes on therefore moves nothing.
//
// A hold that a dead leader left is completed by any steward that finds it on its own
// rank, without a number (see package mapswitch).
package steward
