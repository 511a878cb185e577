// Package prefix estimates which upstreams have the prefix of a prompt in their cache.
//
// A prompt is split into blocks. The hash of a block covers the prompt up to the end of the
// block, so that equal hashes mean equal prefixes. The Index maps block hashes to the
// upstreams that have cached them. It is updated from the attempts that this entry sent and
// from the cache events of the engines, which arrive late and with gaps. Its matches are
// hints: a wrong one costs a prefill, never correctness.
//
// Each record of a cached block has an age and is ignored after RecordTTL without an update. A
// gap in the events of an upstream may hide removals, so records from before the gap are
// valid only for GapGracePeriod longer. The index stores a fixed maximum of blocks and drops the
// oldest; a block keeps the newest MaxUpstreamsPerBlock upstreams. The package has no clock and no
// goroutines.
package prefix
