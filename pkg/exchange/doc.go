// Package exchange sends HTTP/1.1 requests to upstreams over pooled connections.
//
// It replaces the transport of net/http because a proxy must know more about a failed
// exchange than the transport reports: whether any byte of the request was sent, and whether
// a response belongs to the request at all. The transport also repeats some requests by
// itself; this package never does. Requests are written and responses are parsed by net/http.
//
// A connection carries one request at a time. Before a connection is reused, it is checked
// for unsolicited bytes and for its end. A response that belongs to an earlier request is
// skipped. A connection whose exchange did not end cleanly is closed.
package exchange
