// Package gateway implements the process that accepts callers' requests on the users' platform
// and sends them directly to upstreams.
//
// Every gateway decides alone, from its copy of the configuration, the list of upstreams and the
// reports of other gateways and group leaders. Limits that apply to all gateways together are
// divided in advance: each gateway uses only its share of retries, of starts at cold upstreams
// and of concurrent work.
//
// A request passes these steps, each in a file of its own: serve.go finds route and
// organisation; permits.go waits for a permit; attempt.go runs attempts until one is final, or until a
// group refuses the request before its leader has reported, which sends it back to the queue;
// response.go forwards the response to the caller. availability.go asks package availability whether an upstream may
// get a request now; nothing is sent that it does not allow.
// A stop is planned: plannedstop.go takes what can end before the process does.
// A request that is known to crash upstreams is not sent to any (crashes.go).
//
// Lock order: Gateway.mu may be held when Fleet.mu or permits.mu is taken, and silenceReporter.mu when
// Fleet.mu is. Fleet.mu, Peers.mu and
// permits.mu are never held together. crashWatch.mu may be taken with any of them held, and nothing is
// locked while it is held.
package gateway
