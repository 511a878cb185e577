// Package news distributes the configuration and the instance list between entries and detects
// failures of entries and agents.
//
// Package membership decides which processes an entry watches; this package probes them. Each
// probe and its response carry the versions that both sides have. The prober sends its
// configuration to a process that has an older one. It also sends the instance list to an entry
// that cannot reach the platform, so that an entry that restarts during an outage accepts work at
// once. Relays of different zones probe each other, so that updates reach a zone that has lost
// only its connection to the platform.
package news
