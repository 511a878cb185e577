// Package configstore keeps the configuration document at the platform.
//
// The head object names the content of each section by its hash; the contents are
// objects of their own that never change. An edit reads the head, merges its sections
// with it, validates the whole, writes the contents and then the head by one
// conditional update. That update is the point of acceptance: a reader sees all of an
// edit or nothing of it. Each accepted edit leaves its id in the history of the head,
// which settles an answer that was lost: an edit whose id is there was accepted, and
// one that is sent again on the same revision is accepted at most once.
//
// Contents that fell out of the history are removed. An editor writes its contents
// after it read the head; a collector reads the revisions of unused contents before it
// writes the head and removes them after that, each at the revision read. An edit that
// re-uses such a content has either changed its revision, which keeps it, or fails its
// write of the head and starts over.
//
// A follower that sees a head older than the document in force (the object was restored
// or removed) puts the document in force back under a higher version.
package configstore
