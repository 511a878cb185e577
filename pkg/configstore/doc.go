// Package configstore stores the configuration document in the platform's object store.
//
// The head object refers to the content of each section by its hash; the contents are
// separate, immutable objects. An edit reads the head, merges its sections with the current
// ones, validates the merged document, writes the contents and then the head with one
// conditional update. The edit is accepted by that update, so a reader sees either all of
// the edit or none of it. The history in the head records the ID of each accepted edit. When
// the response to a write is lost, the editor looks for its ID there: if present, the edit was
// accepted; if not, it is sent again at the same revision and is accepted at most once.
//
// Contents that the head and its history no longer refer to are removed. An editor writes its
// contents after it has read the head. A collector reads the revisions of unused contents
// before it writes the head, and then removes each at the revision that it read. An edit that
// uses such a content again has either changed its revision, so that the removal fails, or its
// own write of the head fails and the edit is retried.
//
// A follower that reads a head older than the document in force (because the object was
// restored or removed) writes the document in force back under a higher version.
package configstore
