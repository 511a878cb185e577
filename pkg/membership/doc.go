// Package membership decides which processes watch which, how news travels between
// them, and when a process counts as dead. It has no I/O, no clock and no goroutines.
//
// At 1,600 nodes and 12,000 agents no process can know all others at first hand.
// Subset chooses by rendezvous hash, within the availability zone first, so that a change
// of one process moves few choices. Tree arranges the entries of a zone in two trees of
// different order; the first entries of each are the relays, which alone watch the platform
// for their zone. A process hears news from a parent in each tree, so that the loss of
// one parent delays nothing.
//
// Detector watches the processes of a subset. A probe without an answer makes a
// process suspect, and other watchers are asked to probe it; only when none of them
// reaches it either does it count as dead, and that is spread as news. A watcher that
// was paused itself, or that misses more than half of its subset at once, accuses
// nobody: the fault is then on its own side. A closed connection of a known incarnation is
// the end of the process, without any wait.
package membership
