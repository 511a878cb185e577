// Package agent implements the process beside one upstream; all work for the upstream goes
// through it.
//
// Every attempt passes the fence, which decides whether it may still start, waits in the
// fairness queue, and is started by a worker when the admission limit of the upstream allows
// it. Responses are returned as frames; the result is the terminal frame. The agent rejects
// new work while its availability zone is out, while it or its upstream is leaving, and
// before it has a configuration.
//
// When the upstream crashes, the requests that were running become suspects. A suspect
// starts only alone, and a convicted request is rejected (package poison).
//
// A pool of workers shares the tables (fence, queue, limiter, tasks, verdicts). One mutex
// guards them all. Lock order: Agent.mu, then the mutex of the event recorder. No I/O is
// done while Agent.mu is held.
package agent
