// Package event records what a process did, for its log and for the merged timeline of all processes.
//
// Each event is stamped with a hybrid logical clock: the later of the physical clock and the latest
// stamp received in any message, with a counter that breaks ties. A stamp received from another
// process is therefore always earlier than the stamps made afterwards, so that merged events keep
// cause before effect although the physical clocks differ. Events are stored in a ring buffer of
// fixed size that overwrites the oldest.
package event
