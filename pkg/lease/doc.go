// Package lease holds ownership of shared decisions at the platform.
//
// A lease object names its holder, a fencing number and a duration. The number rises
// by conditional update at each change of holder and never falls, also when the
// object is removed: it is never larger than the revision of the platform at which it
// was given, and a new object starts above the current revision. Receivers of orders
// compare numbers; the holder's own clock is never trusted alone.
//
// A candidate takes a lease over when it saw no renewal for the whole duration on its
// own clock. A holder counts its duration from before it sent the renewal, less a margin
// for clocks that run at different speeds, so it gives up before others may take over.
// A renewal whose answer was lost is settled by reading the object back.
//
// Controllers do not hold one lease for each shard. A few seats exist, as many as the
// shards need; each is a lease. Shards are assigned to the holders of the seats by
// rendezvous hash, and a shard has a fencing number of its own, which rises when
// another holder claims it.
package lease
