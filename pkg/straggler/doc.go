// Package straggler tells ranks that are slow from ranks that have too much to do.
//
// In each interval every rank tells the load that it bore and the time that it spent
// computing, without the time that it waited for others. The pace of a rank is its time
// for a unit of load; its slowness is its pace over the median pace of the group. A rank
// with much load and an ordinary pace is overloaded, which is for package placement to
// mend. A rank with a slow pace is slow whatever its load.
//
// A rank becomes slow when several intervals in a row confirm it, and healthy again only
// when more intervals show a pace well below the one at which it became slow. Load is
// moved off a slow rank in proportion; a rank that stays very slow, is slow again and
// again, or does not answer, is to be replaced. One rank of a group is named for
// replacement at a time.
//
// The package has no I/O, no clock and no goroutines; time is counted in intervals.
package straggler
