// Package news spreads the configuration and the instance list between entries and
// watches which of them, and which agents, live.
//
// Package membership decides whom an entry watches; this package makes the probes. Each
// probe and its answer carry the versions that both sides know. Who knows the newer
// configuration hands it to the other; an entry that cannot reach the platform is handed
// the instance list too, so that one that restarts during an outage takes work at once.
// Relays of different zones are neighbours, so that news crosses a zone that is cut off from
// the platform only.
package news
