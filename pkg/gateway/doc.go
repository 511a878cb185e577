// Package gateway is the process that takes callers' requests on the users' platform and
// sends them straight to upstreams.
//
// Every gateway decides alone, from what it has learned of the configuration, the list of
// upstreams and the other gateways. What must hold over all of them is divided in advance:
// retries, starts at cold upstreams and running work are bounded for each gateway by its
// part of the whole.
//
// A request passes these steps, each in a file of its own: serve.go finds route and
// organisation; permits.go waits for a permit; attempt.go runs attempts until one is
// final; answer.go and stream.go pass the answer on.
//
// Lock order: Fleet.mu, Peers.mu and permits.mu are never held together.
package gateway
