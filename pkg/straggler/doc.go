// Package straggler distinguishes slow ranks from ranks with too much load.
//
// In each interval every rank reports its load and the time that it spent computing, without the
// time that it waited for others. The slowdown of a rank is its time per unit of load over the
// median of the group. A rank with a high load and a usual time per unit of load is overloaded,
// which package placement corrects. A rank with a high time per unit of load is slow, whatever
// its load.
//
// A rank becomes slow after several consecutive intervals above one threshold, and healthy again
// only after more intervals below a lower threshold. Load is moved off a slow rank in proportion
// to its slowdown. A rank that stays very slow, becomes slow repeatedly or stops reporting is to
// be replaced; at most one rank of a group is named for replacement at a time.
//
// The package has no I/O, no clock and no goroutines; time is counted in intervals.
package straggler
