// Package lease holds ownership of a named shard at the platform.
//
// A lease object names its holder, a fencing number and a duration. The number rises
// by conditional update at each change of holder and never falls. Receivers of
// orders compare numbers; the holder's own clock is never trusted alone. A candidate
// takes a lease over when it saw no renewal for the whole duration on its own clock.
package lease
