// Package gossip decides with which other gateways a gateway exchanges its state, and keeps a table of
// all gateways from what they tell each other.
//
// All gateways that are not down form a few rings, each in another order. A gateway sends heartbeats to its
// successor in each ring, so that it has a fixed number of neighbours, and any gateway is a few hops away
// from any other. A gateway that its predecessor in a ring no longer hears from is marked as down once no
// other predecessor hears from it either. Only changes of the table are passed on, each once to
// each neighbour; the digest in each heartbeat shows when two tables differ all the same.
//
// A gateway numbers its own states. It contradicts a mark that is wrong with a state of a higher number, so
// that a mark costs the gateway at most the time of a few hops.
//
// The package does no I/O, reads no clock and starts no goroutines.
package gossip
