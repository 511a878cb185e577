// Package guard applies the decisions of package intake to the connections of a listener.
//
// A Guard wraps a listener. Its connections count the bytes of heads where they are first read, and answer and close
// when the ledger refuses. The http.Server that serves them reports their states to Guard.ConnState, and handlers
// reach their connection by FromContext, to account for bodies and answers. Other servers move their connections through
// the stages themselves.
//
// Locks: the lock of a Guard is held for decisions only, never during I/O.
package guard
