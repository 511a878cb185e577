// Package availability decides whether an upstream may get a request now.
//
// A gateway knows several things about an upstream that speak against a request: it leaves, its availability zone is
// out, it asked for a pause, it names a limit that is used up, it is cold and all starts are taken. Each of them is
// kept where it is learned; Check is the one place that weighs them. Every way in which a gateway sends asks it: first
// attempts, retries, resumed streams and trials of a service that does not answer.
//
// Some reasons exclude an upstream, whatever else there is. Others make it a last resort, which gets a request
// only if no other upstream may: connections to it failed, or its group is stalled. Check returns the reason that
// counts and the time until it is over, an Outlook the times of all upstreams of a service, from which a gateway
// tells clients when to come back.
//
// Pauses has the pauses that upstreams asked this gateway for. An upstream that turns a request away may name a
// time in which it wants nothing from the gateway. The pause ends at that time, and earlier only with another
// incarnation of the upstream: not with a later answer, an entry that leaves the list and returns, or a list that was
// restored. After it the upstream returns: it gets one request, and with each one that it serves one more at a time.
// Gateways return at different moments within a part of the pause.
//
// The package has no I/O, no clock, no random source and no goroutines.
package availability
