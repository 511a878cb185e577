// Package platform is the client of the platform's object API.
//
// Objects have a kind, a name, a JSON value and a revision. The platform assigns revisions from a
// single sequence for all objects. A write contains the revision that it expects (0 if the object
// must not exist) and fails with ErrConflict if the object has another one. A watch is a long poll:
// the platform holds the call until something changes after a revision. It fails with
// ErrRevisionExpired if the platform no longer stores all changes since that revision; the kind
// must then be listed again.
//
// After any error other than ErrConflict, ErrNotFound and ErrRevisionExpired, the outcome of
// a write is unknown: the writer must read the object back.
package platform
