// Package membership implements failure detection and the topology for distributing updates:
// which processes watch which, which entries forward updates to which, and when a process
// counts as dead. It does no I/O, reads no clock and starts no goroutines.
//
// With 1,600 nodes and 12,000 agents, a process cannot probe all others itself. Subset selects
// processes by rendezvous hashing, preferring the same availability zone, so that adding or
// removing one process changes few selections. DistributionTrees arranges the entries of a zone in
// two trees of different order. The roots are the relays, the only entries that watch the platform
// for their zone. A process receives updates from a parent in each tree, so that the loss of one
// parent causes no delay.
//
// Detector probes the processes of a subset. A process that misses a probe becomes suspect, and
// other watchers are requested to probe it. It counts as dead, and its death is distributed, only
// if none of them reaches it either. A watcher that was paused, or that misses responses from more
// than half of its subset at once, declares no process dead, as the fault is then likely its own.
// When the connection to a known incarnation is closed, the process counts as dead at once.
package membership
