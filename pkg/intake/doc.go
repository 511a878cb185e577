// Package intake decides what peers that have proved nothing may make a process hold: connections, the bytes of heads
// as read and as parsed, of bodies and messages that are unfinished, wait or are in progress, and time.
//
// A Plan divides the memory and the descriptors of a machine among the listeners of a process. A Ledger accounts for one
// listener: each connection is in a stage, holds a number of bytes, and is granted more or refused. What is left of a
// full listener goes to ordinary requests, which are small; for them and for new connections, the ledger evicts the
// connections that have been unfinished longest.
//
// The package has no I/O, no clock and no goroutines. Callers pass the time, which must not fall.
package intake
