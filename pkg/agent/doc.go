// Package agent is the process beside one upstream and the only way to it.
//
// Every attempt passes the fence, which decides whether it may still start, waits
// in the fairness queue, and is started by a worker when the admission limit of the
// upstream allows it. Answers travel back as frames; the result is the terminal
// frame. The agent refuses new work while its availability zone is out, while it or
// its upstream leaves, and before it knows a configuration.
//
// When the upstream crashes, the requests that were cut off become suspects. A suspect
// starts only alone, and a convicted request not at all (package poison).
//
// A pool of workers shares the tables (fence, queue, limiter, tasks, verdicts). One mutex
// guards them all. Lock order: Agent.mu, then the mutex of the event recorder. No
// I/O is done while Agent.mu is held.
package agent
