// Package dispatch dispatches the requests of callers to upstreams.
//
// The Table follows the instance list and asks each agent for its status; what it
// holds may be stale. The Dispatcher sends an attempt to the agent of the chosen
// upstream. An attempt that did not run is sent to another upstream while deadline
// and retry budget allow. An attempt whose outcome is unknown is repeated only when
// the request is idempotent; a stream is then resumed at the exact offset. Before a
// lost attempt counts as unknown, the agent is asked for a tombstone.
//
// The Quarantine keeps requests that may crash upstreams from running beside others.
//
// Lock order: Table.mu or Quarantine.mu, never both, then the mutex of the event
// recorder. None is held during I/O.
package dispatch
