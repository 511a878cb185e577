// Package prefix tells which upstreams hold the beginning of a prompt in their cache.
//
// A prompt is cut into blocks; the hash of a block covers the prompt up to its end, so
// that equal hashes mean equal beginnings. The Index maps block hashes to the upstreams
// that hold them. It learns from the attempts that this entry sent, and from the cache
// events of the engines, which arrive late and with gaps. What it says is a hint: a
// wrong answer costs a prefill, never correctness.
//
// Each record of a holder has an age and is ignored after Life without news. A gap in the
// events of an upstream may hide removals, so the records from before the gap count only
// for Doubt more. The index keeps at most a fixed number of blocks and drops the oldest;
// a block keeps the newest Holders upstreams. The package has no clock and no goroutines.
package prefix
