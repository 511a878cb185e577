// Package fanout calls many processes along a tree, so that no process makes more than some ten calls, whatever the
// number of processes.
//
// The processes are divided into parts. One process of a part relays: it calls the others, divided in the same way.
// If it fails, the members of its part are called directly within the same call, and it relays nothing
// for a while. What a relay returns is up to the caller.
package fanout
