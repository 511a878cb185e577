// Package lease implements leases on shared decisions, stored as objects of the platform.
//
// A lease object names its holder, a fencing token and a duration. The fencing token rises by
// conditional update at each change of holder and never falls, even when the object is
// removed: a fencing token is never larger than the platform revision at which it was assigned, and
// a new object starts above the current revision. Receivers of orders compare fencing tokens;
// safety never depends on the holder's clock alone.
//
// A candidate takes a lease over when it has seen no renewal for the whole duration on its
// own clock. A holder counts its duration from before it sent the renewal, less a margin
// for clocks that run at different speeds, so that its lease ends before another candidate
// may take over. A renewal whose response was lost is resolved by reading the object back.
//
// Controllers do not hold one lease for each shard. There are a few lease slots, as many as
// the number of shards requires, and each slot is one lease. Shards are assigned to the
// holders of the slots by rendezvous hashing. A shard has a fencing token of its own, which
// rises when another holder claims it.
package lease
