// Package event records what a process did, for its log and for the merged time line.
//
// Each event is stamped with a hybrid logical clock: the larger of the physical
// clock and the newest stamp seen in any message, with a counter that breaks
// ties. A stamp received from another process is therefore always smaller than
// the stamps given afterwards, so that merged events keep cause before effect
// although the physical clocks differ. Events are kept in a ring of fixed size;
// the oldest is overwritten.
package event
