// Package poison records which requests may crash the upstream that runs them.
//
// A request is identified by its fingerprint over organisation, target, method, path and
// body, not by its request ID, which differs each time it is sent. All requests that were
// running when an upstream crashed are suspects. A suspect runs again only isolated, as the
// only request on its upstream. If the upstream crashes again, the request is convicted
// and rejected everywhere; if the run ends, the request is cleared.
//
// A Table is the view of one process. A verdict carries the time stamp of the process that
// observed the fact. The newest verdict on a fingerprint wins, except that a conviction
// stands until it expires. Tables are bounded. The package has no clock and no goroutines.
package poison
