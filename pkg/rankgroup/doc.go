// Package rankgroup is the peer protocol of rank groups: orders from controllers to
// ranks, and step messages among ranks.
//
// Member connects the state machines of package expertmap to JSON-RPC, the platform and an
// engine. One mutex guards its state. Messages are sent through a bounded queue for each
// rank, so that a stalled rank does not delay messages to the others. A full queue drops
// messages, which the protocol repeats.
package rankgroup
