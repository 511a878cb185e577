// Package rankgroup is the peer protocol of rank groups: orders from controllers to
// ranks, and the steps among ranks.
//
// Member binds the state machines of package expertmap to JSON-RPC, the platform and an
// engine. Its tables are guarded by one mutex; messages leave through a bounded queue
// for each rank, so that a rank that stalls holds up none of the others. A full queue
// drops messages, which the protocol repeats.
package rankgroup
