// Package dispatch sends the requests of callers to upstreams.
//
// The InstanceTable follows the instance list and polls each agent for its status, so its data
// may be out of date. The Dispatcher sends an attempt to the agent of the chosen
// upstream. An attempt that did not run is retried on another upstream while the
// deadline and the retry budget allow it. An attempt whose outcome is unknown is repeated
// only when the request is idempotent; a stream then resumes at the exact offset. Before
// a lost attempt counts as unknown, the Dispatcher requests a tombstone from the agent.
//
// The Quarantine prevents requests that may crash upstreams from running at the same
// time as other requests.
//
// Lock order: InstanceTable.mu or Quarantine.mu, never both, then the mutex of the event
// recorder. No lock is held during I/O.
package dispatch
