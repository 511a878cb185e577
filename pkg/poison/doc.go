// Package poison keeps what is known of requests that may crash their upstream.
//
// A request is known by its fingerprint: organisation, target, method, path and body,
// not by its identity, which changes each time it is sent. The requests that ran when
// an upstream crashed are suspects. A suspect runs again only alone on its upstream. If
// the upstream crashes again, it is convicted and refused everywhere; if it ends, it is
// cleared.
//
// A Table is one process's view. Verdicts carry the stamp of the process that saw the
// fact; the newest verdict on a fingerprint counts, but for a conviction, which stands
// until it expires. Tables are bounded. The package has no clock and no goroutines.
package poison
