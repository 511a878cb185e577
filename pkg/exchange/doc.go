// Package exchange sends HTTP/1.1 requests to upstreams over connections that it keeps.
//
// It stands beside the transport of net/http because a proxy must know more of a failed
// exchange than that it failed: whether any byte of the request was sent, and whether an
// answer belongs to the request at all. The transport repeats some requests by itself;
// this package never does. Requests are written and answers are parsed by net/http.
//
// A connection carries one request at a time. Before it is used again it is checked for
// bytes that nobody asked for and for its end; an answer that belongs to an earlier
// request is skipped. A connection whose exchange did not end cleanly is closed.
package exchange
