// Package steward implements the process that runs beside an upstream that is a rank of a group.
//
// Each steward reads its own rank, where reads are up to date and cheap, and forwards the orders
// of the group's leader to it. One of the stewards is the leader: it collects the counts of
// chosen experts, plans expert maps (pkg/placement) and drives the switch to a new map
// (pkg/mapswitch).
//
// Leadership is a fencing token in the store, raised by a conditional update. There is no lease
// to renew: a steward that receives no call from a leader for a while takes the next fencing
// token. The stewards enforce the fence: they reject orders with a lower fencing token than the
// newest they have seen, and after a restart they accept none until they have read the newest
// one from the store. A former leader that continues to run therefore has no effect.
//
// A hold that a failed leader left in force is completed by any steward that finds it on its own
// rank, without a fencing token (see package mapswitch).
package steward
