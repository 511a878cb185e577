// Package platform is the client of the platform's object API.
//
// Objects have a kind, a name, a JSON value and a revision. Revisions are given by
// the platform, one sequence over all objects. A write names the revision it
// expects (0: the object must not exist) and is refused with ErrConflict when
// another is current. A watch waits at the platform for changes after a revision;
// ErrGap says that the platform no longer holds all changes since then and that the
// kind must be listed anew.
//
// An error that is neither ErrConflict, ErrNotFound nor ErrGap leaves the effect of
// a write unknown: the writer must read the object back.
package platform
